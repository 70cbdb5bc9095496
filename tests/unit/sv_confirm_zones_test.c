/** Evacuated zones in what instances tell and confirm each other. */

#include "confirm_fixture.h"
#include "suite.h"

/* Applies a row of an evacuated zone at the instance. */
static void
evacuate (ConfirmInstance *instance, SvPosition row)
{
  instance->config_known = row.version;
  sv_evacuations_put (sv_fleet_evacuations (instance->fleet), "z", row);
}

/* Guards against an instance that goes on sending requests to an evacuated zone because a peer has
 * confirmed the configuration, while the instance has missed the row. */
static void
test_missed_evacuations_confirm_nothing (void)
{
  static const struct
  {
    guint64 followers_era;
    guint64 followers_row; /* 0: they have applied none */
    guint64 known;         /* row up to which the other one, which is in era 2, has all changes */
    gboolean expects_confirmation;
    gboolean expects_query;
  } rows[] = {
    { 2, 0, 0, TRUE, FALSE },   { 2, 30, 30, TRUE, FALSE }, { 2, 30, 31, TRUE, FALSE },
    { 2, 30, 29, FALSE, TRUE }, { 2, 30, 0, FALSE, TRUE },  { 1, 30, 30, FALSE, FALSE },
  };

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
          gboolean follows = sv_confirm_polls_store (instance->confirm);

          instance->era = follows ? rows[i].followers_era : 2;
          instance->config_known = rows[i].known;
          if (follows && rows[i].followers_row > 0)
            evacuate (instance, (SvPosition){ instance->era, rows[i].followers_row });
        }
      confirm_fixture_advance (&fixture, 3 * REQUEST_INTERVAL, TRUE);
      CU_ASSERT_EQUAL (other->confirmed_at > before, rows[i].expects_confirmation);
      CU_ASSERT_EQUAL (other->n_store_queries > 0, rows[i].expects_query);
      confirm_fixture_close (&fixture);
    }
}

/* Guards against a proof that is lost because the evacuation arrives after it. */
static void
test_a_proof_waits_for_its_evacuations (void)
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
        evacuate (&fixture.instances[i], (SvPosition){ 0, 30 });
    }
  confirm_fixture_advance (&fixture, 2 * REQUEST_INTERVAL, TRUE);
  CU_ASSERT_EQUAL (other->confirmed_at, before);
  other->config_known = 30;
  sv_confirm_note_config (other->confirm);
  CU_ASSERT (other->confirmed_at > before);
  confirm_fixture_close (&fixture);
}

/* All instances are in era 2 and announce their versions. */
static void
begin_era (ConfirmFixture *self)
{
  for (guint i = 0; i < INSTANCES; i++)
    {
      ConfirmInstance *instance = &self->instances[i];

      instance->era = 2;
      sv_peers_set_versions (instance->peers, instance->version, (SvPosition){ 2, 0 });
    }
}

/* Guards against an evacuation that an instance notices only when its feed's request times out: its
 * peers tell the newest row with each heartbeat. Rows of an earlier era aren't missed. */
static void
test_missed_evacuations_are_requested (void)
{
  static const struct
  {
    KnlTime time; /* since peers have the row */
    guint64 era;  /* of the row */
    gboolean is_silent;
    gboolean expects_query;
  } rows[] = {
    { 100 * KNL_MSEC, 2, TRUE, FALSE },
    { KNL_SEC, 2, TRUE, TRUE },
    { KNL_SEC, 2, FALSE, FALSE },
    { KNL_SEC, 1, TRUE, FALSE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      ConfirmFixture fixture;
      ConfirmInstance *other;

      confirm_fixture_open (&fixture);
      other = confirm_fixture_non_follower (&fixture);
      begin_era (&fixture);
      confirm_fixture_advance (&fixture, KNL_SEC, TRUE);
      for (guint j = 0; j < INSTANCES; j++)
        {
          if (&fixture.instances[j] != other)
            evacuate (&fixture.instances[j], (SvPosition){ rows[i].era, 30 });
        }
      for (KnlTime passed = 0; passed < rows[i].time; passed += STEP)
        {
          if (!rows[i].is_silent)
            other->endpoints_last_seen_at = knl_kernel_now (fixture.kernel);
          confirm_fixture_advance (&fixture, STEP, TRUE);
        }
      CU_ASSERT_EQUAL (other->n_store_queries > 0, rows[i].expects_query);
      confirm_fixture_close (&fixture);
    }
}

/* Guards against a zone whose instances all miss an evacuation that other zones have applied: the
 * relays tell it to each other. */
static void
test_other_zones_tell_of_evacuations (void)
{
  ConfirmFixture fixture;

  confirm_fixture_open_in (&fixture, "b");
  begin_era (&fixture);
  confirm_fixture_advance (&fixture, KNL_SEC, FALSE);
  for (guint i = 0; i < INSTANCES - 2; i++)
    evacuate (&fixture.instances[i], (SvPosition){ 2, 30 });
  confirm_fixture_advance (&fixture, 2 * KNL_SEC, FALSE);
  for (guint i = INSTANCES - 2; i < INSTANCES; i++)
    CU_ASSERT (fixture.instances[i].n_store_queries > 0);
  confirm_fixture_close (&fixture);
}

/* Guards against an instance that relies on the store although that has lost the row of a zone
 * which others keep evacuated. */
static void
test_kept_evacuations_come_with_the_confirmation (void)
{
  static const struct
  {
    KnlTime age; /* of the others' confirmations */
    gboolean is_known;
  } rows[] = { { KNL_SEC, TRUE }, { MAX_STALENESS + KNL_SEC, FALSE } };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      ConfirmFixture fixture;
      ConfirmInstance *asker;
      KnlTime at;

      confirm_fixture_open (&fixture);
      asker = &fixture.instances[0];
      at = knl_kernel_now (fixture.kernel);
      for (guint j = 0; j < INSTANCES; j++)
        {
          ConfirmInstance *instance = &fixture.instances[j];
          SvEvacuations *evacuations = sv_fleet_evacuations (instance->fleet);

          sv_evacuations_set_restore_delay (evacuations, MAX_STALENESS);
          if (instance != asker)
            evacuate (instance, (SvPosition){ 1, 30 });
          sv_evacuations_begin_list (evacuations);
          sv_evacuations_end_list (evacuations, (SvPosition){ 2, 20 });
          instance->era = 2;
          instance->config_known = 20;
          instance->confirmed_at = at - rows[i].age;
        }
      asker->confirmed_at = -KNL_NEVER;
      sv_confirm_note_store (asker->confirm, at);
      for (guint j = 0; j < 5 && asker->confirmed_at < at; j++)
        confirm_fixture_advance (&fixture, STEP, FALSE);
      CU_ASSERT_EQUAL (asker->confirmed_at >= at, rows[i].is_known);
      CU_ASSERT_EQUAL (sv_evacuations_has (sv_fleet_evacuations (asker->fleet), "z"),
                       rows[i].is_known);
      confirm_fixture_close (&fixture);
    }
}

/* Guards against a bound that becomes shorter while the process runs, and after which this instance
 * asks for confirmations as rarely as before. */
static void
test_shorter_bound (void)
{
  static const KnlTime bound = 600 * KNL_MSEC;
  ConfirmFixture fixture;
  ConfirmInstance *other;

  confirm_fixture_open (&fixture);
  other = confirm_fixture_non_follower (&fixture);
  sv_confirm_set_max_staleness (other->confirm, bound);
  confirm_fixture_advance (&fixture, bound, TRUE);
  for (guint i = 0; i < 20; i++)
    {
      CU_ASSERT (confirm_fixture_age (&fixture, other) < bound);
      confirm_fixture_advance (&fixture, STEP, TRUE);
    }
  confirm_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "a shorter bound", test_shorter_bound },
  { "missed evacuations confirm nothing", test_missed_evacuations_confirm_nothing },
  { "a proof waits for its evacuations", test_a_proof_waits_for_its_evacuations },
  { "kept evacuations come with the confirmation",
    test_kept_evacuations_come_with_the_confirmation },
  { "missed evacuations are requested", test_missed_evacuations_are_requested },
  { "other zones tell of evacuations", test_other_zones_tell_of_evacuations },
};

SUITE_MAIN ("sv_confirm_zones", cases)
