/** Confirmations of the configuration that are passed on between instances, also delayed and old
 * ones. */

#include <string.h>

#include "kernel/paused.h"
#include "serve/confirm.h"
#include "suite.h"

/* Enough instances for confirmations to be passed on; two of them query the store. */
#define INSTANCES 14
#define STUCK_S   20

#define TRUST (4500 * KNL_MSEC)
#define TICK  (TRUST / 5)
#define STEP  (100 * KNL_MSEC)

typedef struct
{
  SvFleet *fleet;
  SvPeers *peers;
  SvConfirm *confirm;
  char *link;
  guint64 era;
  guint64 version;
  KnlTime confirmed_at;
  guint64 endpoints;
  KnlTime endpoints_heard_at;
  guint n_asked_store;
  guint n_asked_endpoints;
} Instance;

typedef struct
{
  struct event_base *base;
  struct event *stuck;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  const char *last_zone; /* of the last two instances; the others are in "a" */
  Instance instances[INSTANCES];
} Fixture;

static void
on_stuck (evutil_socket_t fd, short what, void *data)
{
  g_error ("the test timed out");
}

static SvPosition
version (gpointer data)
{
  const Instance *self = data;

  return (SvPosition){ .era = self->era, .version = self->version };
}

static KnlTime
confirmed_at (gpointer data)
{
  return ((Instance *)data)->confirmed_at;
}

static void
confirm (KnlTime at, gpointer data)
{
  Instance *self = data;

  self->confirmed_at = MAX (self->confirmed_at, at);
}

static void
ask_store (gpointer data)
{
  ((Instance *)data)->n_asked_store++;
}

static SvPosition
endpoints (gpointer data)
{
  const Instance *self = data;

  return (SvPosition){ .era = self->era, .version = self->endpoints };
}

static KnlTime
endpoints_heard_at (gpointer data)
{
  return ((Instance *)data)->endpoints_heard_at;
}

static void
ask_endpoints (gpointer data)
{
  ((Instance *)data)->n_asked_endpoints++;
}

static const SvConfirmEvents confirm_events = {
  .version = version,
  .confirmed_at = confirmed_at,
  .confirm = confirm,
  .ask_store = ask_store,
  .endpoints = endpoints,
  .endpoints_known = endpoints,
  .endpoints_heard_at = endpoints_heard_at,
  .ask_endpoints = ask_endpoints,
  .config_heard_at = endpoints_heard_at,
  .ask_config = ask_store,
};

static const char *
zone_of (const Fixture *self, guint i)
{
  return i >= INSTANCES - 2 ? self->last_zone : "a";
}

static void
open_instance (Fixture *self, guint i)
{
  static guint port = 25000;
  Instance *instance = &self->instances[i];
  g_autofree char *name = g_strdup_printf ("n%u", i);

  instance->fleet = sv_fleet_new (self->kernel, KNL_SEC);
  while (instance->peers == NULL)
    {
      SvMember member = { .name = name,
                          .incarnation = 9,
                          .callers_address = "",
                          .zone = zone_of (self, i),
                          .strength = 1 };

      g_free (instance->link);
      instance->link = g_strdup_printf ("127.0.0.1:%u", port++);
      member.link_address = instance->link;
      instance->peers = sv_peers_new (self->kernel, self->base, instance->fleet, &member);
    }
  instance->version = 7;
  instance->confirmed_at = knl_kernel_now (self->kernel);
  instance->endpoints_heard_at = instance->confirmed_at;
  instance->confirm =
      sv_confirm_new (self->kernel, instance->peers, TRUST, &confirm_events, instance);
}

static void
turn (Fixture *self)
{
  for (guint i = 0; i < 4 * INSTANCES; i++)
    event_base_loop (self->base, EVLOOP_NONBLOCK);
}

static void
fixture_open_in (Fixture *self, const char *last_zone)
{
  struct timeval limit = { .tv_sec = STUCK_S };

  *self = (Fixture){ .base = event_base_new (),
                     .clock = knl_paused_clock_new (),
                     .last_zone = last_zone };
  self->stuck = evtimer_new (self->base, on_stuck, NULL);
  evtimer_add (self->stuck, &limit);
  knl_paused_clock_advance (self->clock, 100 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 5);
  for (guint i = 0; i < INSTANCES; i++)
    open_instance (self, i);
  for (guint i = 0; i < INSTANCES; i++)
    for (guint j = 0; j < i; j++)
      {
        g_autofree char *name = g_strdup_printf ("n%u", j);
        SvMember member = { .name = name,
                            .link_address = self->instances[j].link,
                            .zone = zone_of (self, j),
                            .strength = 1 };

        sv_peers_learn (self->instances[i].peers, &member);
      }
  for (guint i = 0; i < INSTANCES; i++)
    {
      guint others = 0;

      for (guint j = 0; j < INSTANCES; j++)
        others += j != i && strcmp (zone_of (self, i), zone_of (self, j)) == 0;
      while (sv_peers_n_alive_in_cell (self->instances[i].peers) < others)
        event_base_loop (self->base, EVLOOP_ONCE);
    }
}

static void
fixture_open (Fixture *self)
{
  fixture_open_in (self, "a");
}

static void
fixture_close (Fixture *self)
{
  for (guint i = 0; i < INSTANCES; i++)
    {
      sv_confirm_free (self->instances[i].confirm);
      sv_peers_free (self->instances[i].peers);
      sv_fleet_free (self->instances[i].fleet);
      g_free (self->instances[i].link);
    }
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
  event_free (self->stuck);
  event_base_free (self->base);
}

/* Returns an instance that doesn't query the store itself. */
static Instance *
choose_other (Fixture *self)
{
  Instance *other = NULL;

  for (guint i = 0; i < INSTANCES; i++)
    {
      if (!sv_confirm_asks_store (self->instances[i].confirm))
        other = &self->instances[i];
    }
  return other;
}

static void
confirm_askers (Fixture *self)
{
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (sv_confirm_asks_store (self->instances[i].confirm))
        self->instances[i].confirmed_at = knl_kernel_now (self->kernel);
    }
}

/* Advances the clock in small steps; all datagrams are delivered. If `confirmed`, the instances
 * that query the store are confirmed at each step. */
static void
pass (Fixture *self, KnlTime time, gboolean confirmed)
{
  for (KnlTime passed = 0; passed < time; passed += STEP)
    {
      if (confirmed)
        confirm_askers (self);
      knl_paused_clock_advance (self->clock, STEP);
      turn (self);
    }
}

static KnlTime
age_of (const Fixture *self, const Instance *instance)
{
  return knl_kernel_now (self->kernel) - instance->confirmed_at;
}

static void
test_few_ask_and_all_know (void)
{
  Fixture fixture;
  guint n_askers = 0;

  fixture_open (&fixture);
  for (guint i = 0; i < INSTANCES; i++)
    n_askers += sv_confirm_asks_store (fixture.instances[i].confirm);
  CU_ASSERT_EQUAL (n_askers, 2);
  pass (&fixture, 10 * KNL_SEC, TRUE);
  for (guint i = 0; i < INSTANCES; i++)
    {
      CU_ASSERT (age_of (&fixture, &fixture.instances[i]) < TRUST / 2);
      CU_ASSERT_EQUAL (fixture.instances[i].n_asked_store, 0);
    }
  fixture_close (&fixture);
}

/*
 * Symptom: a key works longer than its bound after it was withdrawn.
 * Sequence: an instance sends a request; it freezes, or the answer is delayed, for three seconds;
 * meanwhile a configuration without the key is acknowledged.
 * Cause: the age of the confirmation was counted from when the answer was read.
 */
static void
test_late_answers_are_old (void)
{
  static const KnlTime held_up = 800 * KNL_MSEC;
  Fixture fixture;
  Instance *other;
  KnlTime asked_at;

  fixture_open (&fixture);
  other = choose_other (&fixture);
  pass (&fixture, 2 * TICK, TRUE);
  /* Requests are sent now, and no instance reads for a while, including the one that will answer.
   */
  pass (&fixture, 2 * TICK - STEP, FALSE);
  knl_paused_clock_advance (fixture.clock, STEP);
  asked_at = knl_kernel_now (fixture.kernel);
  confirm_askers (&fixture);
  knl_paused_clock_advance (fixture.clock, held_up);
  turn (&fixture);
  CU_ASSERT (other->confirmed_at <= asked_at - held_up);
  CU_ASSERT (other->confirmed_at > asked_at - TICK);
  fixture_close (&fixture);
}

/*
 * Symptom: a key works longer than its bound after it was withdrawn, at an instance cut off from
 * the store.
 * Sequence: no instance gets answers from the store any more; they confirm each other forever.
 * Cause: the age stated in an answer was not added.
 */
static void
test_ages_add_up (void)
{
  Fixture fixture;
  Instance *other;
  KnlTime last;

  fixture_open (&fixture);
  other = choose_other (&fixture);
  pass (&fixture, 2 * KNL_SEC, TRUE);
  last = knl_kernel_now (fixture.kernel);
  pass (&fixture, 6 * KNL_SEC, FALSE);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT (fixture.instances[i].confirmed_at <= last);
  CU_ASSERT (other->n_asked_store > 0);
  fixture_close (&fixture);
}

/*
 * Symptom: an instance serves by an older configuration after others have a newer one.
 * Sequence: its feed is silent, and its peers confirm their own version.
 * Cause: a confirmation of another version was taken for one of its own.
 */
static void
test_other_versions_confirm_nothing (void)
{
  static const struct
  {
    guint64 version;
    gboolean asks;
  } rows[] = { { 6, FALSE }, { 8, TRUE } };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Fixture fixture;
      Instance *other;
      KnlTime before;

      fixture_open (&fixture);
      other = choose_other (&fixture);
      before = other->confirmed_at;
      for (guint j = 0; j < INSTANCES; j++)
        {
          if (sv_confirm_asks_store (fixture.instances[j].confirm))
            fixture.instances[j].version = rows[i].version;
        }
      pass (&fixture, 3 * TICK, TRUE);
      CU_ASSERT_EQUAL (other->confirmed_at, before);
      CU_ASSERT_EQUAL (other->n_asked_store > 0, rows[i].asks);
      fixture_close (&fixture);
    }
}

/* Guards against a cell that queries the store while its followers are already sending it the
 * update. */
static void
test_news_under_way_are_not_asked_for (void)
{
  Fixture fixture;
  Instance *other;

  fixture_open (&fixture);
  other = choose_other (&fixture);
  for (guint j = 0; j < INSTANCES; j++)
    {
      if (sv_confirm_asks_store (fixture.instances[j].confirm))
        fixture.instances[j].version = 8;
    }
  for (KnlTime passed = 0; passed < 3 * TICK; passed += STEP)
    {
      other->endpoints_heard_at = knl_kernel_now (fixture.kernel);
      pass (&fixture, STEP, TRUE);
    }
  CU_ASSERT_EQUAL (other->n_asked_store, 0);
  fixture_close (&fixture);
}

/*
 * Symptom: requests reach an endpoint seconds after it announced that it leaves.
 * Sequence: an instance's request for endpoints is lost at the store; peers have the newer entry.
 * Cause: only the request's own timeout of some seconds ended it.
 */
static void
test_newer_endpoints_are_asked_for (void)
{
  Fixture fixture;
  Instance *other;

  fixture_open (&fixture);
  other = choose_other (&fixture);
  pass (&fixture, 2 * TICK, TRUE);
  CU_ASSERT_EQUAL (other->n_asked_endpoints, 0);
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (&fixture.instances[i] != other)
        fixture.instances[i].endpoints = 12;
    }
  pass (&fixture, 2 * TICK, TRUE);
  CU_ASSERT (other->n_asked_endpoints > 0);
  fixture_close (&fixture);
}

/*
 * Symptom: all instances of a zone refuse callers some seconds after the zone was cut off from the
 * store, although they reach instances of other zones, which the store answers.
 * Sequence: an instance that is cut off queries another zone's relay, which doesn't know it.
 * Cause: the request held only the hash of its sender's name, and was ignored.
 */
static void
test_other_zones_confirm (void)
{
  Fixture fixture;

  fixture_open_in (&fixture, "b");
  for (guint i = INSTANCES - 2; i < INSTANCES; i++)
    sv_peers_set_cut_off (fixture.instances[i].peers, TRUE);
  for (KnlTime passed = 0; passed < 2 * TRUST; passed += STEP)
    {
      for (guint i = 0; i < INSTANCES - 2; i++)
        fixture.instances[i].confirmed_at = knl_kernel_now (fixture.kernel);
      pass (&fixture, STEP, FALSE);
      for (guint i = INSTANCES - 2; i < INSTANCES; i++)
        CU_ASSERT (age_of (&fixture, &fixture.instances[i]) < TRUST);
    }
  fixture_close (&fixture);
}

/* Guards against an answer, of any age, from an instance that was never confirmed. */
static void
test_who_was_never_confirmed_confirms_nothing (void)
{
  Fixture fixture;
  Instance *other;
  KnlTime before;

  fixture_open (&fixture);
  other = choose_other (&fixture);
  before = other->confirmed_at;
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (&fixture.instances[i] != other)
        fixture.instances[i].confirmed_at = -KNL_NEVER;
    }
  pass (&fixture, 3 * TICK, FALSE);
  CU_ASSERT_EQUAL (other->confirmed_at, before);
  fixture_close (&fixture);
}

/* Guards against a confirmation by the same version in another era. */
static void
test_other_eras_confirm_nothing (void)
{
  static const struct
  {
    guint64 era; /* of those that query the store; the other one is in era 2 */
    gboolean confirms;
    gboolean asks; /* queries the store for the update that it missed */
  } rows[] = { { 2, TRUE, FALSE }, { 3, FALSE, TRUE }, { 1, FALSE, FALSE }, { 0, FALSE, FALSE } };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Fixture fixture;
      Instance *other;
      KnlTime before;

      fixture_open (&fixture);
      other = choose_other (&fixture);
      before = other->confirmed_at;
      for (guint j = 0; j < INSTANCES; j++)
        {
          Instance *instance = &fixture.instances[j];

          instance->era = sv_confirm_asks_store (instance->confirm) ? rows[i].era : 2;
        }
      pass (&fixture, 3 * TICK, TRUE);
      CU_ASSERT_EQUAL (other->confirmed_at > before, rows[i].confirms);
      CU_ASSERT_EQUAL (other->n_asked_store > 0, rows[i].asks);
      fixture_close (&fixture);
    }
}

/* Guards against a withdrawn key that is valid again because the store has lost its withdrawal. */
static void
test_a_lost_configuration_is_remembered (void)
{
  Fixture fixture;
  Instance *other;
  KnlTime before;

  fixture_open (&fixture);
  other = choose_other (&fixture);
  before = knl_kernel_now (fixture.kernel);
  other->version = 6;
  for (guint j = 0; j < INSTANCES; j++)
    {
      Instance *instance = &fixture.instances[j];

      sv_peers_set_versions (instance->peers, instance->version, (SvPosition){ 0 });
    }
  pass (&fixture, KNL_SEC, TRUE);
  CU_ASSERT_TRUE (sv_confirm_lacks_config (other->confirm, knl_kernel_now (fixture.kernel)));
  /* An answer from before any peer had the newer version is no contradiction. */
  CU_ASSERT_FALSE (sv_confirm_lacks_config (other->confirm, before));
  other->version = 7;
  CU_ASSERT_FALSE (sv_confirm_lacks_config (other->confirm, knl_kernel_now (fixture.kernel)));
  other->version = 6;
  for (guint j = 0; j < INSTANCES; j++)
    {
      fixture.instances[j].version = 6;
      sv_peers_set_versions (fixture.instances[j].peers, 6, (SvPosition){ 0 });
    }
  pass (&fixture, 31 * KNL_SEC, TRUE);
  CU_ASSERT_FALSE (sv_confirm_lacks_config (other->confirm, knl_kernel_now (fixture.kernel)));
  fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "other zones confirm", test_other_zones_confirm },
  { "few query the store and all are confirmed", test_few_ask_and_all_know },
  { "late answers are old", test_late_answers_are_old },
  { "ages add up", test_ages_add_up },
  { "other versions confirm nothing", test_other_versions_confirm_nothing },
  { "updates on their way are not requested", test_news_under_way_are_not_asked_for },
  { "other eras confirm nothing", test_other_eras_confirm_nothing },
  { "a lost configuration is remembered", test_a_lost_configuration_is_remembered },
  { "newer endpoints are requested", test_newer_endpoints_are_asked_for },
  { "a never confirmed instance confirms nothing", test_who_was_never_confirmed_confirms_nothing },
};

SUITE_MAIN ("sv_confirm", cases)
