/** Old configuration changes and idempotency records are deleted, later ones are kept. */

#include "coord/config_compact.h"
#include "coord/config_store.h"
#include "coord/idem_sweep.h"
#include "daemons.h"
#include "suite.h"

#define KEEP  20
#define EPOCH (60 * KNL_SEC)

typedef struct
{
  Daemons daemons;
  CoLeases *leases;
  CoConfig *config;
  CoConfigStore *store;
  CoConfigCompact *compact;
  CoIdem *idem;
  CoIdemSweep *sweep;
} Fixture;

static gboolean
never_ended (const char *attempt, gpointer data)
{
  return FALSE;
}

static Fixture *
fixture_new (void)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  static const char *const names[] = { "c1" };
  CoLeasesOptions leases = {
    .name = "c1", .incarnation = 1, .n_shards = 4, .duration = 6 * KNL_SEC
  };
  CoConfigStoreOptions store = { .poll_interval = KNL_SEC,
                                 .idle_interval = KNL_SEC,
                                 .apply_timeout = 5 * KNL_SEC };
  CoConfigCompactOptions compact = { .keep = KEEP, .interval = 10 * KNL_SEC };
  CoIdemOptions idem = { .batch_delay = KNL_MSEC,
                         .begin_timeout = KNL_SEC,
                         .finish_timeout = KNL_SEC,
                         .attempt_timeout = KNL_NEVER,
                         .max_cached = 1,
                         .attempt_ended = never_ended };
  CoIdemSweepOptions sweep = { .epoch_time = EPOCH, .keep = 48, .page_delay = KNL_SEC };

  daemons_init (&fixture->daemons, 1, 1);
  leases.kernel = store.kernel = compact.kernel = idem.kernel = sweep.kernel =
      fixture->daemons.kernels[0];
  leases.platform = store.platform = compact.platform = idem.platform = sweep.platform =
      fixture->daemons.platforms[0];
  compact.leases = idem.leases = sweep.leases = fixture->leases = co_leases_new (&leases);
  compact.replica = store.replica = fixture->config = co_config_new ();
  sweep.idem = fixture->idem = co_idem_new (&idem);
  fixture->store = co_config_store_new (&store);
  fixture->compact = co_config_compact_new (&compact);
  fixture->sweep = co_idem_sweep_new (&sweep);
  co_leases_set_candidates (fixture->leases, names, 1);
  knl_paused_clock_advance (fixture->daemons.clock, KNL_SEC);
  return fixture;
}

static void
fixture_free (Fixture *fixture)
{
  co_idem_sweep_free (fixture->sweep);
  co_config_compact_free (fixture->compact);
  co_config_store_free (fixture->store);
  co_idem_free (fixture->idem);
  co_leases_free (fixture->leases);
  co_config_free (fixture->config);
  daemons_clear (&fixture->daemons);
  g_free (fixture);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Fixture, fixture_free)

static guint
count_rows (Fixture *fixture, const char *prefix)
{
  json_t *answer =
      sd_table_read (fk_store_table (fixture->daemons.store), prefix, TRUE, NULL, 10000);
  guint count = (guint)json_array_size (json_object_get (answer, "rows"));

  json_decref (answer);
  return count;
}

static void
on_applied (const CoApplyResult *result, gpointer data)
{
  CU_ASSERT_EQUAL (result->status, CO_APPLY_DONE);
}

/* Each operation makes three changes: it sets "a", and creates and removes an object "bN". */
static void
test_history_is_bounded_and_a_replica_behind_it_catches_up (void)
{
  g_autoptr (Fixture) fixture = fixture_new ();
  CoConfigStoreOptions options = { .poll_interval = KNL_SEC,
                                   .idle_interval = KNL_SEC,
                                   .apply_timeout = 5 * KNL_SEC };
  CoConfigStore *replica_store;

  options.kernel = fixture->daemons.kernels[0];
  options.platform = fixture->daemons.platforms[0];
  options.replica = co_config_new ();
  for (guint i = 0; i < 60; i++)
    {
      g_autofree char *operation = g_strdup_printf ("o%u", i);
      g_autofree char *text = g_strdup_printf (
          "[{\"op\":\"set\",\"kind\":\"model\",\"name\":\"a\",\"fields\":{\"version\":\"%u\"}},"
          "{\"op\":\"set\",\"kind\":\"model\",\"name\":\"b%u\"},"
          "{\"op\":\"remove\",\"kind\":\"model\",\"name\":\"b%u\"}]",
          i, i, i);
      CoApply request = { .operation = operation, .by = "ann" };

      request.changes = json_loads (text, 0, NULL);
      co_config_store_apply (fixture->store, &request, on_applied, NULL);
      knl_paused_clock_advance (fixture->daemons.clock, KNL_SEC);
      json_decref (request.changes);
    }
  knl_paused_clock_advance (fixture->daemons.clock, 30 * KNL_SEC);
  CU_ASSERT_EQUAL (*co_config_revision (fixture->config), 180);
  CU_ASSERT_TRUE (count_rows (fixture, "config/change/") <= KEEP + 3);
  CU_ASSERT_TRUE (count_rows (fixture, "config/change/") >= KEEP);
  CU_ASSERT_EQUAL (count_rows (fixture, "config/operation/"),
                   count_rows (fixture, "config/change/") / 3);
  CU_ASSERT_EQUAL (count_rows (fixture, "config/object/"),
                   1 + count_rows (fixture, "config/change/") / 3);
  replica_store = co_config_store_new (&options);
  knl_paused_clock_advance (fixture->daemons.clock, KNL_SEC);
  CU_ASSERT_EQUAL (*co_config_revision (options.replica), 180);
  CU_ASSERT_STRING_EQUAL (
      co_object_string (co_config_find (options.replica, "model", "a"), "version"), "59");
  co_config_store_free (replica_store);
  co_config_free (options.replica);
}

static void
on_begun (const Alderturn__IdemReply *reply, gpointer data)
{
  *(Alderturn__IdemVerdict *)data = reply->verdict;
}

static Alderturn__IdemVerdict
begin (Fixture *fixture, const char *key, const char *attempt)
{
  Alderturn__IdemBegin request = ALDERTURN__IDEM_BEGIN__INIT;
  Alderturn__IdemVerdict verdict = ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_UNSPECIFIED;

  request.workspace = "w";
  request.key = (char *)key;
  request.attempt = (char *)attempt;
  co_idem_begin (fixture->idem, &request, on_begun, &verdict);
  knl_paused_clock_advance (fixture->daemons.clock, 10 * KNL_MSEC);
  return verdict;
}

/*
 * Guards against records that are never deleted, so that the table fills up, and records
 * deleted before their retention ends, so that a key would run again. 120 records are
 * written, then the epochs pass by the holder's own clock.
 */
static void
test_records_are_kept_for_the_retention_and_no_longer_than_two_epochs_more (void)
{
  g_autoptr (Fixture) fixture = fixture_new ();

  /* Starts long after the first epochs, in which there is nothing to delete. */
  knl_paused_clock_advance (fixture->daemons.clock, 60 * EPOCH + EPOCH / 4);
  for (guint i = 0; i < 120; i++)
    {
      g_autofree char *key = g_strdup_printf ("k%u", i);

      CU_ASSERT_EQUAL (begin (fixture, key, "a"), ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_RUN);
    }
  for (guint epoch = 0; epoch < 54; epoch++)
    {
      if (epoch == 48)
        CU_ASSERT_EQUAL (begin (fixture, "k7", "b"), ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_BUSY);
      knl_paused_clock_advance (fixture->daemons.clock, EPOCH);
    }
  knl_paused_clock_advance (fixture->daemons.clock, 4 * EPOCH);
  CU_ASSERT_EQUAL (count_rows (fixture, "idem/"), 0);
  CU_ASSERT_EQUAL (co_idem_sweep_deleted (fixture->sweep), 120);
}

static const SuiteCase cases[] = {
  { "history is bounded and a replica behind it catches up",
    test_history_is_bounded_and_a_replica_behind_it_catches_up },
  { "records are kept for the retention and no longer than two epochs more",
    test_records_are_kept_for_the_retention_and_no_longer_than_two_epochs_more },
};

SUITE_MAIN ("co_housekeeping", cases)
