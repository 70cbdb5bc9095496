/** Confirmations of the configuration that instances request from each other, also delayed and old
 * ones. */

#include <string.h>

#include "kernel/paused.h"
#include "serve/confirm.h"
#include "suite.h"

/* Enough instances for them to request confirmations from each other; two of them query the store.
 */
#define INSTANCES      14
#define TEST_TIMEOUT_S 20

#define MAX_STALENESS    (4500 * KNL_MSEC)
#define REQUEST_INTERVAL (MAX_STALENESS / 5)
#define STEP             (100 * KNL_MSEC)

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
  KnlTime endpoints_last_seen_at;
  guint n_store_queries;
  guint n_endpoint_queries;
} Instance;

typedef struct
{
  struct event_base *base;
  struct event *test_timeout;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  const char *last_zone; /* of the last two instances; the others are in "a" */
  Instance instances[INSTANCES];
} Fixture;

static void
on_test_timeout (evutil_socket_t fd, short what, void *data)
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
query_store (gpointer data)
{
  ((Instance *)data)->n_store_queries++;
}

static SvPosition
endpoints (gpointer data)
{
  const Instance *self = data;

  return (SvPosition){ .era = self->era, .version = self->endpoints };
}

static KnlTime
endpoints_last_seen_at (gpointer data)
{
  return ((Instance *)data)->endpoints_last_seen_at;
}

static void
query_endpoints (gpointer data)
{
  ((Instance *)data)->n_endpoint_queries++;
}

static const SvConfirmEvents confirm_events = {
  .version = version,
  .confirmed_at = confirmed_at,
  .confirm = confirm,
  .query_store = query_store,
  .endpoints = endpoints,
  .endpoints_known = endpoints,
  .endpoints_last_seen_at = endpoints_last_seen_at,
  .query_endpoints = query_endpoints,
  .config_last_seen_at = endpoints_last_seen_at,
  .query_config = query_store,
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
  g_autofree char *ip = suite_loopback_ip (0);
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
      instance->link = g_strdup_printf ("%s:%u", ip, port++);
      member.link_address = instance->link;
      instance->peers = sv_peers_new (self->kernel, self->base, instance->fleet, &member);
    }
  instance->version = 7;
  instance->confirmed_at = knl_kernel_now (self->kernel);
  instance->endpoints_last_seen_at = instance->confirmed_at;
  instance->confirm =
      sv_confirm_new (self->kernel, instance->peers, MAX_STALENESS, &confirm_events, instance);
}

static void
run_loop (Fixture *self)
{
  for (guint i = 0; i < 4 * INSTANCES; i++)
    event_base_loop (self->base, EVLOOP_NONBLOCK);
}

static void
fixture_open_in (Fixture *self, const char *last_zone)
{
  struct timeval limit = { .tv_sec = TEST_TIMEOUT_S };

  *self = (Fixture){ .base = event_base_new (),
                     .clock = knl_paused_clock_new (),
                     .last_zone = last_zone };
  self->test_timeout = evtimer_new (self->base, on_test_timeout, NULL);
  evtimer_add (self->test_timeout, &limit);
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

        sv_peers_discover (self->instances[i].peers, &member);
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
  event_free (self->test_timeout);
  event_base_free (self->base);
}

/* Returns an instance that doesn't query the store itself. */
static Instance *
choose_non_follower (Fixture *self)
{
  Instance *other = NULL;

  for (guint i = 0; i < INSTANCES; i++)
    {
      if (!sv_confirm_polls_store (self->instances[i].confirm))
        other = &self->instances[i];
    }
  return other;
}

static void
confirm_followers (Fixture *self)
{
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (sv_confirm_polls_store (self->instances[i].confirm))
        self->instances[i].confirmed_at = knl_kernel_now (self->kernel);
    }
}

/* Advances the clock in small steps; all datagrams are delivered. If `confirmed`, the instances
 * that query the store are confirmed at each step. */
static void
advance (Fixture *self, KnlTime time, gboolean confirmed)
{
  for (KnlTime passed = 0; passed < time; passed += STEP)
    {
      if (confirmed)
        confirm_followers (self);
      knl_paused_clock_advance (self->clock, STEP);
      run_loop (self);
    }
}

static KnlTime
age_of (const Fixture *self, const Instance *instance)
{
  return knl_kernel_now (self->kernel) - instance->confirmed_at;
}

static void
test_few_query_the_store_and_all_are_confirmed (void)
{
  Fixture fixture;
  guint n_followers = 0;

  fixture_open (&fixture);
  for (guint i = 0; i < INSTANCES; i++)
    n_followers += sv_confirm_polls_store (fixture.instances[i].confirm);
  CU_ASSERT_EQUAL (n_followers, 2);
  advance (&fixture, 10 * KNL_SEC, TRUE);
  for (guint i = 0; i < INSTANCES; i++)
    {
      CU_ASSERT (age_of (&fixture, &fixture.instances[i]) < MAX_STALENESS / 2);
      CU_ASSERT_EQUAL (fixture.instances[i].n_store_queries, 0);
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
  static const KnlTime answer_delay = 800 * KNL_MSEC;
  Fixture fixture;
  Instance *other;
  KnlTime requested_at;

  fixture_open (&fixture);
  other = choose_non_follower (&fixture);
  advance (&fixture, 2 * REQUEST_INTERVAL, TRUE);
  /* Requests are sent now, and no instance reads for a while, including the one that will answer.
   */
  advance (&fixture, 2 * REQUEST_INTERVAL - STEP, FALSE);
  knl_paused_clock_advance (fixture.clock, STEP);
  requested_at = knl_kernel_now (fixture.kernel);
  confirm_followers (&fixture);
  knl_paused_clock_advance (fixture.clock, answer_delay);
  run_loop (&fixture);
  CU_ASSERT (other->confirmed_at <= requested_at - answer_delay);
  CU_ASSERT (other->confirmed_at > requested_at - REQUEST_INTERVAL);
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
  other = choose_non_follower (&fixture);
  advance (&fixture, 2 * KNL_SEC, TRUE);
  last = knl_kernel_now (fixture.kernel);
  advance (&fixture, 6 * KNL_SEC, FALSE);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT (fixture.instances[i].confirmed_at <= last);
  CU_ASSERT (other->n_store_queries > 0);
  fixture_close (&fixture);
}

/*
 * Symptom: an instance serves by an older configuration after others have a newer one.
 * Sequence: its feed is silent, and its peers confirm their own version.
 * Cause: a confirmation of another version was accepted for its own version.
 */
static void
test_other_versions_confirm_nothing (void)
{
  static const struct
  {
    guint64 version;
    gboolean expects_query;
  } rows[] = { { 6, FALSE }, { 8, TRUE } };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Fixture fixture;
      Instance *other;
      KnlTime before;

      fixture_open (&fixture);
      other = choose_non_follower (&fixture);
      before = other->confirmed_at;
      for (guint j = 0; j < INSTANCES; j++)
        {
          if (sv_confirm_polls_store (fixture.instances[j].confirm))
            fixture.instances[j].version = rows[i].version;
        }
      advance (&fixture, 3 * REQUEST_INTERVAL, TRUE);
      CU_ASSERT_EQUAL (other->confirmed_at, before);
      CU_ASSERT_EQUAL (other->n_store_queries > 0, rows[i].expects_query);
      fixture_close (&fixture);
    }
}

/* Guards against a cell that queries the store while its followers are already sending it the
 * update. */
static void
test_updates_on_their_way_are_not_requested (void)
{
  Fixture fixture;
  Instance *other;

  fixture_open (&fixture);
  other = choose_non_follower (&fixture);
  for (guint j = 0; j < INSTANCES; j++)
    {
      if (sv_confirm_polls_store (fixture.instances[j].confirm))
        fixture.instances[j].version = 8;
    }
  for (KnlTime passed = 0; passed < 3 * REQUEST_INTERVAL; passed += STEP)
    {
      other->endpoints_last_seen_at = knl_kernel_now (fixture.kernel);
      advance (&fixture, STEP, TRUE);
    }
  CU_ASSERT_EQUAL (other->n_store_queries, 0);
  fixture_close (&fixture);
}

/*
 * Symptom: requests reach an endpoint seconds after it announced that it leaves.
 * Sequence: an instance's request for endpoints is lost at the store; peers have the newer entry.
 * Cause: only the request's own timeout of some seconds ended it.
 */
static void
test_newer_endpoints_are_requested (void)
{
  Fixture fixture;
  Instance *other;

  fixture_open (&fixture);
  other = choose_non_follower (&fixture);
  advance (&fixture, 2 * REQUEST_INTERVAL, TRUE);
  CU_ASSERT_EQUAL (other->n_endpoint_queries, 0);
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (&fixture.instances[i] != other)
        fixture.instances[i].endpoints = 12;
    }
  advance (&fixture, 2 * REQUEST_INTERVAL, TRUE);
  CU_ASSERT (other->n_endpoint_queries > 0);
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
  for (KnlTime passed = 0; passed < 2 * MAX_STALENESS; passed += STEP)
    {
      for (guint i = 0; i < INSTANCES - 2; i++)
        fixture.instances[i].confirmed_at = knl_kernel_now (fixture.kernel);
      advance (&fixture, STEP, FALSE);
      for (guint i = INSTANCES - 2; i < INSTANCES; i++)
        CU_ASSERT (age_of (&fixture, &fixture.instances[i]) < MAX_STALENESS);
    }
  fixture_close (&fixture);
}

/* Guards against an answer, of any age, from an instance that was never confirmed. */
static void
test_a_never_confirmed_instance_confirms_nothing (void)
{
  Fixture fixture;
  Instance *other;
  KnlTime before;

  fixture_open (&fixture);
  other = choose_non_follower (&fixture);
  before = other->confirmed_at;
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (&fixture.instances[i] != other)
        fixture.instances[i].confirmed_at = -KNL_NEVER;
    }
  advance (&fixture, 3 * REQUEST_INTERVAL, FALSE);
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
    gboolean expects_confirmation;
    gboolean expects_query; /* queries the store for the update that it missed */
  } rows[] = { { 2, TRUE, FALSE }, { 3, FALSE, TRUE }, { 1, FALSE, FALSE }, { 0, FALSE, FALSE } };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Fixture fixture;
      Instance *other;
      KnlTime before;

      fixture_open (&fixture);
      other = choose_non_follower (&fixture);
      before = other->confirmed_at;
      for (guint j = 0; j < INSTANCES; j++)
        {
          Instance *instance = &fixture.instances[j];

          instance->era = sv_confirm_polls_store (instance->confirm) ? rows[i].era : 2;
        }
      advance (&fixture, 3 * REQUEST_INTERVAL, TRUE);
      CU_ASSERT_EQUAL (other->confirmed_at > before, rows[i].expects_confirmation);
      CU_ASSERT_EQUAL (other->n_store_queries > 0, rows[i].expects_query);
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
  other = choose_non_follower (&fixture);
  before = knl_kernel_now (fixture.kernel);
  other->version = 6;
  for (guint j = 0; j < INSTANCES; j++)
    {
      Instance *instance = &fixture.instances[j];

      sv_peers_set_versions (instance->peers, instance->version, (SvPosition){ 0 });
    }
  advance (&fixture, KNL_SEC, TRUE);
  CU_ASSERT_TRUE (sv_confirm_store_lost_config (other->confirm, knl_kernel_now (fixture.kernel)));
  /* An answer from before any peer had the newer version is no contradiction. */
  CU_ASSERT_FALSE (sv_confirm_store_lost_config (other->confirm, before));
  other->version = 7;
  CU_ASSERT_FALSE (sv_confirm_store_lost_config (other->confirm, knl_kernel_now (fixture.kernel)));
  other->version = 6;
  for (guint j = 0; j < INSTANCES; j++)
    {
      fixture.instances[j].version = 6;
      sv_peers_set_versions (fixture.instances[j].peers, 6, (SvPosition){ 0 });
    }
  advance (&fixture, 31 * KNL_SEC, TRUE);
  CU_ASSERT_FALSE (sv_confirm_store_lost_config (other->confirm, knl_kernel_now (fixture.kernel)));
  fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "other zones confirm", test_other_zones_confirm },
  { "few query the store and all are confirmed", test_few_query_the_store_and_all_are_confirmed },
  { "late answers are old", test_late_answers_are_old },
  { "ages add up", test_ages_add_up },
  { "other versions confirm nothing", test_other_versions_confirm_nothing },
  { "updates on their way are not requested", test_updates_on_their_way_are_not_requested },
  { "other eras confirm nothing", test_other_eras_confirm_nothing },
  { "a lost configuration is remembered", test_a_lost_configuration_is_remembered },
  { "newer endpoints are requested", test_newer_endpoints_are_requested },
  { "a never confirmed instance confirms nothing",
    test_a_never_confirmed_instance_confirms_nothing },
};

SUITE_MAIN ("sv_confirm", cases)
