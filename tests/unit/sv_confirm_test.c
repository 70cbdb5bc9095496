/** Confirmations of the configuration that instances request from each other, also delayed and old
 * ones. */

#include <string.h>

#include "confirm_fixture.h"
#include "suite.h"

static void
test_few_query_the_store_and_all_are_confirmed (void)
{
  ConfirmFixture fixture;
  guint n_followers = 0;

  confirm_fixture_open (&fixture);
  for (guint i = 0; i < INSTANCES; i++)
    n_followers += sv_confirm_polls_store (fixture.instances[i].confirm);
  CU_ASSERT_EQUAL (n_followers, 2);
  confirm_fixture_advance (&fixture, 10 * KNL_SEC, TRUE);
  for (guint i = 0; i < INSTANCES; i++)
    {
      CU_ASSERT (confirm_fixture_age (&fixture, &fixture.instances[i]) < MAX_STALENESS / 2);
      CU_ASSERT_EQUAL (fixture.instances[i].n_store_queries, 0);
    }
  confirm_fixture_close (&fixture);
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
  ConfirmFixture fixture;
  ConfirmInstance *other;
  KnlTime requested_at;

  confirm_fixture_open (&fixture);
  other = confirm_fixture_non_follower (&fixture);
  confirm_fixture_advance (&fixture, 2 * REQUEST_INTERVAL, TRUE);
  /* Requests are sent now, and no instance reads for a while, including the one that will answer.
   */
  confirm_fixture_advance (&fixture, 2 * REQUEST_INTERVAL - STEP, FALSE);
  knl_paused_clock_advance (fixture.clock, STEP);
  requested_at = knl_kernel_now (fixture.kernel);
  confirm_fixture_confirm_followers (&fixture);
  knl_paused_clock_advance (fixture.clock, answer_delay);
  confirm_fixture_run_loop (&fixture);
  CU_ASSERT (other->confirmed_at <= requested_at - answer_delay);
  CU_ASSERT (other->confirmed_at > requested_at - REQUEST_INTERVAL);
  confirm_fixture_close (&fixture);
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
  ConfirmFixture fixture;
  ConfirmInstance *other;
  KnlTime last;

  confirm_fixture_open (&fixture);
  other = confirm_fixture_non_follower (&fixture);
  confirm_fixture_advance (&fixture, 2 * KNL_SEC, TRUE);
  last = knl_kernel_now (fixture.kernel);
  confirm_fixture_advance (&fixture, 6 * KNL_SEC, FALSE);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT (fixture.instances[i].confirmed_at <= last);
  CU_ASSERT (other->n_store_queries > 0);
  confirm_fixture_close (&fixture);
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
      ConfirmFixture fixture;
      ConfirmInstance *other;
      KnlTime before;

      confirm_fixture_open (&fixture);
      other = confirm_fixture_non_follower (&fixture);
      before = other->confirmed_at;
      for (guint j = 0; j < INSTANCES; j++)
        {
          if (sv_confirm_polls_store (fixture.instances[j].confirm))
            fixture.instances[j].version = rows[i].version;
        }
      confirm_fixture_advance (&fixture, 3 * REQUEST_INTERVAL, TRUE);
      CU_ASSERT_EQUAL (other->confirmed_at, before);
      CU_ASSERT_EQUAL (other->n_store_queries > 0, rows[i].expects_query);
      confirm_fixture_close (&fixture);
    }
}

/* Guards against a cell that queries the store while its followers are already sending it the
 * update. */
static void
test_updates_on_their_way_are_not_requested (void)
{
  ConfirmFixture fixture;
  ConfirmInstance *other;

  confirm_fixture_open (&fixture);
  other = confirm_fixture_non_follower (&fixture);
  for (guint j = 0; j < INSTANCES; j++)
    {
      if (sv_confirm_polls_store (fixture.instances[j].confirm))
        fixture.instances[j].version = 8;
    }
  for (KnlTime passed = 0; passed < 3 * REQUEST_INTERVAL; passed += STEP)
    {
      other->endpoints_last_seen_at = knl_kernel_now (fixture.kernel);
      confirm_fixture_advance (&fixture, STEP, TRUE);
    }
  CU_ASSERT_EQUAL (other->n_store_queries, 0);
  confirm_fixture_close (&fixture);
}

/*
 * Symptom: requests reach an endpoint seconds after it announced that it leaves.
 * Sequence: an instance's request for endpoints is lost at the store; peers have the newer entry.
 * Cause: only the request's own timeout of some seconds ended it.
 */
static void
test_newer_endpoints_are_requested (void)
{
  ConfirmFixture fixture;
  ConfirmInstance *other;

  confirm_fixture_open (&fixture);
  other = confirm_fixture_non_follower (&fixture);
  confirm_fixture_advance (&fixture, 2 * REQUEST_INTERVAL, TRUE);
  CU_ASSERT_EQUAL (other->n_endpoint_queries, 0);
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (&fixture.instances[i] != other)
        fixture.instances[i].endpoints = 12;
    }
  confirm_fixture_advance (&fixture, 2 * REQUEST_INTERVAL, TRUE);
  CU_ASSERT (other->n_endpoint_queries > 0);
  confirm_fixture_close (&fixture);
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
  ConfirmFixture fixture;

  confirm_fixture_open_in (&fixture, "b");
  for (guint i = INSTANCES - 2; i < INSTANCES; i++)
    sv_peers_set_cut_off (fixture.instances[i].peers, TRUE);
  for (KnlTime passed = 0; passed < 2 * MAX_STALENESS; passed += STEP)
    {
      for (guint i = 0; i < INSTANCES - 2; i++)
        fixture.instances[i].confirmed_at = knl_kernel_now (fixture.kernel);
      confirm_fixture_advance (&fixture, STEP, FALSE);
      for (guint i = INSTANCES - 2; i < INSTANCES; i++)
        CU_ASSERT (confirm_fixture_age (&fixture, &fixture.instances[i]) < MAX_STALENESS);
    }
  confirm_fixture_close (&fixture);
}

/* Guards against an answer, of any age, from an instance that was never confirmed. */
static void
test_a_never_confirmed_instance_confirms_nothing (void)
{
  ConfirmFixture fixture;
  ConfirmInstance *other;
  KnlTime before;

  confirm_fixture_open (&fixture);
  other = confirm_fixture_non_follower (&fixture);
  before = other->confirmed_at;
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (&fixture.instances[i] != other)
        fixture.instances[i].confirmed_at = -KNL_NEVER;
    }
  confirm_fixture_advance (&fixture, 3 * REQUEST_INTERVAL, FALSE);
  CU_ASSERT_EQUAL (other->confirmed_at, before);
  confirm_fixture_close (&fixture);
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
      ConfirmFixture fixture;
      ConfirmInstance *other;
      KnlTime before;

      confirm_fixture_open (&fixture);
      other = confirm_fixture_non_follower (&fixture);
      before = other->confirmed_at;
      for (guint j = 0; j < INSTANCES; j++)
        {
          ConfirmInstance *instance = &fixture.instances[j];

          instance->era = sv_confirm_polls_store (instance->confirm) ? rows[i].era : 2;
        }
      confirm_fixture_advance (&fixture, 3 * REQUEST_INTERVAL, TRUE);
      CU_ASSERT_EQUAL (other->confirmed_at > before, rows[i].expects_confirmation);
      CU_ASSERT_EQUAL (other->n_store_queries > 0, rows[i].expects_query);
      confirm_fixture_close (&fixture);
    }
}

/* Guards against a withdrawn key that is valid again because the store has lost its withdrawal. */
static void
test_a_lost_configuration_is_remembered (void)
{
  ConfirmFixture fixture;
  ConfirmInstance *other;
  KnlTime before;

  confirm_fixture_open (&fixture);
  other = confirm_fixture_non_follower (&fixture);
  before = knl_kernel_now (fixture.kernel);
  other->version = 6;
  for (guint j = 0; j < INSTANCES; j++)
    {
      ConfirmInstance *instance = &fixture.instances[j];

      sv_peers_set_versions (instance->peers, instance->version, (SvPosition){ 0 });
    }
  confirm_fixture_advance (&fixture, KNL_SEC, TRUE);
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
  confirm_fixture_advance (&fixture, 31 * KNL_SEC, TRUE);
  CU_ASSERT_FALSE (sv_confirm_store_lost_config (other->confirm, knl_kernel_now (fixture.kernel)));
  confirm_fixture_close (&fixture);
}

/* Guards against a follower that refuses callers while the store leaves its requests unanswered,
 * and calls to it take seconds to time out: the other follower confirms it. */
static void
test_followers_confirm_each_other (void)
{
  ConfirmFixture fixture;
  ConfirmInstance *unanswered = NULL;

  confirm_fixture_open (&fixture);
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (sv_confirm_polls_store (fixture.instances[i].confirm))
        unanswered = &fixture.instances[i];
    }
  for (KnlTime passed = 0; passed < 2 * MAX_STALENESS; passed += STEP)
    {
      KnlTime before = unanswered->confirmed_at;

      confirm_fixture_confirm_followers (&fixture);
      unanswered->confirmed_at = before;
      confirm_fixture_advance (&fixture, STEP, FALSE);
      CU_ASSERT (confirm_fixture_age (&fixture, unanswered) < MAX_STALENESS);
    }
  CU_ASSERT (unanswered->n_store_queries > 0);
  confirm_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "followers confirm each other", test_followers_confirm_each_other },
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
