/** Configuration in the table: order of changes, lost answers, racing applies, readiness. */

#include "coord/config_store.h"
#include "daemons.h"
#include "suite.h"

#include <stdio.h>

#define STORES 3

typedef struct
{
  Daemons daemons;
  CoConfig *configs[STORES];
  CoConfigStore *stores[STORES];
} Fixture;

typedef struct
{
  guint calls;
  CoApplyStatus status;
  guint64 revision;
  guint64 found;
  guint findings;
  char by[16];
} Outcome;

static void
start (Fixture *fixture, guint i)
{
  CoConfigStoreOptions options = {
    .kernel = fixture->daemons.kernels[i],
    .platform = fixture->daemons.platforms[i],
    .poll_interval = KNL_SEC,
    .idle_interval = 15 * KNL_SEC,
    .apply_timeout = 5 * KNL_SEC,
  };

  options.replica = fixture->configs[i] = co_config_new ();
  fixture->stores[i] = co_config_store_new (&options);
  co_config_store_set_reader (fixture->stores[i], TRUE);
}

static Fixture
fixture_new (void)
{
  Fixture fixture = { 0 };

  daemons_init (&fixture.daemons, STORES, 1);
  for (guint i = 0; i < STORES; i++)
    start (&fixture, i);
  return fixture;
}

static void
clear (Fixture *fixture)
{
  for (guint i = 0; i < STORES; i++)
    {
      co_config_store_free (fixture->stores[i]);
      co_config_free (fixture->configs[i]);
    }
  daemons_clear (&fixture->daemons);
}

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (Fixture, clear)

static void
on_applied (const CoApplyResult *result, gpointer data)
{
  Outcome *outcome = data;

  outcome->calls++;
  outcome->status = result->status;
  outcome->revision = result->revision;
  outcome->found = result->conflict.found;
  outcome->findings = result->findings != NULL ? cm_findings_count (result->findings) : 0;
  if (result->conflict.by != NULL)
    g_strlcpy (outcome->by, result->conflict.by, sizeof (outcome->by));
}

static void
apply (Fixture *fixture, guint i, const char *operation, const char *changes, Outcome *outcome)
{
  CoApply request = {
    .operation = operation,
    .by = i == 0 ? "ann" : "bob",
    .changes = json_loads (changes, 0, NULL),
  };

  CU_ASSERT_PTR_NOT_NULL_FATAL (request.changes);
  *outcome = (Outcome){ 0 };
  co_config_store_apply (fixture->stores[i], &request, on_applied, outcome);
  CU_ASSERT_EQUAL (outcome->calls, 0);
  json_decref (request.changes);
}

static void
run (Fixture *fixture, KnlTime time)
{
  knl_paused_clock_advance (fixture->daemons.clock, time);
}

#define SET(weight, extra)                                                                         \
  "[{\"op\":\"set\",\"kind\":\"workspace\",\"name\":\"a\",\"fields\":{\"token\":\"t\","            \
  "\"weight\":" weight "}" extra "}]"

static guint64
revision_at (const Fixture *fixture, guint i)
{
  return *co_config_revision (fixture->configs[i]);
}

static gint64
weight_at (const Fixture *fixture, guint i)
{
  const CoObject *object = co_config_find (fixture->configs[i], "workspace", "a");

  return object != NULL ? co_object_integer (object, "weight") : 0;
}

/*
 * Guards against one operator's change being silently overwritten by another's. Two
 * operators apply at the same time through two controllers, both based on revision 1;
 * a write that doesn't check the revision it is based on would undo the other.
 */
static void
test_racing_applies_are_ordered_and_a_stale_one_conflicts (void)
{
  static const struct
  {
    const char *expect;
    CoApplyStatus second;
    guint64 revision; /* at the end */
  } rows[] = {
    { ",\"expect\":1", CO_APPLY_CONFLICT, 2 },
    { "", CO_APPLY_DONE, 3 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_auto (Fixture) fixture = fixture_new ();
      Outcome outcomes[2];
      g_autofree char *second = g_strdup_printf (SET ("3", "%s"), rows[i].expect);

      apply (&fixture, 0, "o1", SET ("1", ""), &outcomes[0]);
      run (&fixture, 3 * KNL_SEC);
      apply (&fixture, 0, "o2", SET ("2", ",\"expect\":1"), &outcomes[0]);
      apply (&fixture, 1, "o3", second, &outcomes[1]);
      run (&fixture, 3 * KNL_SEC);
      CU_ASSERT_EQUAL (outcomes[0].calls + outcomes[1].calls, 2);
      CU_ASSERT_EQUAL (outcomes[0].status, CO_APPLY_DONE);
      CU_ASSERT_EQUAL (outcomes[1].status, rows[i].second);
      if (rows[i].second == CO_APPLY_CONFLICT)
        {
          CU_ASSERT_EQUAL (outcomes[1].found, 2);
          CU_ASSERT_STRING_EQUAL (outcomes[1].by, "ann");
        }
      for (guint d = 0; d < STORES; d++)
        CU_ASSERT_EQUAL (revision_at (&fixture, d), rows[i].revision);
    }
}

/*
 * Guards against a change that is applied twice, or reported as failed although it is in
 * force. The table executes the write but its answer is lost, up to three times, and the
 * operator's tool sends the operation again; a lost answer must not count as a failure.
 */
static void
test_a_lost_answer_is_resolved_and_an_operation_counts_once (void)
{
  g_auto (Fixture) fixture = fixture_new ();
  Outcome outcome;

  for (guint lost = 1; lost <= 3; lost++)
    {
      g_autofree char *operation = g_strdup_printf ("o%u", lost);

      sd_table_set_fault (fk_store_table (fixture.daemons.store), SD_TABLE_LOSE_ANSWERS, 0, lost);
      apply (&fixture, 0, operation, SET ("4", ""), &outcome);
      run (&fixture, 5 * KNL_SEC);
      CU_ASSERT_EQUAL (outcome.status, CO_APPLY_DONE);
      CU_ASSERT_EQUAL (outcome.revision, lost);
      sd_table_set_fault (fk_store_table (fixture.daemons.store), SD_TABLE_NORMAL, 0, 0);
      apply (&fixture, 1, operation, SET ("4", ""), &outcome);
      run (&fixture, 3 * KNL_SEC);
      CU_ASSERT_EQUAL (outcome.status, CO_APPLY_DONE);
      CU_ASSERT_EQUAL (outcome.revision, lost);
      CU_ASSERT_EQUAL (revision_at (&fixture, 2), lost);
    }
  apply (&fixture, 1, "o1", SET ("5", ""), &outcome);
  run (&fixture, 3 * KNL_SEC);
  CU_ASSERT_EQUAL (outcome.status, CO_APPLY_FINDINGS);
}

static void
test_an_apply_without_the_table_ends_as_not_run_or_unknown (void)
{
  static const struct
  {
    FkPlatformFault fault;
    CoApplyStatus status;
  } rows[] = {
    { FK_PLATFORM_UNREACHABLE, CO_APPLY_NOT_RUN },
    { FK_PLATFORM_SILENT, CO_APPLY_NOT_RUN },
  };
  g_auto (Fixture) fixture = fixture_new ();
  Outcome outcome;

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      fk_memory_platform_set_fault (fixture.daemons.platforms[0], rows[i].fault);
      apply (&fixture, 0, "o1", SET ("1", ""), &outcome);
      run (&fixture, 6 * KNL_SEC);
      CU_ASSERT_EQUAL (outcome.calls, 1);
      CU_ASSERT_EQUAL (outcome.status, rows[i].status);
    }
  fk_memory_platform_set_fault (fixture.daemons.platforms[0], FK_PLATFORM_NORMAL);
  sd_table_set_fault (fk_store_table (fixture.daemons.store), SD_TABLE_LOSE_ANSWERS, 0, 100);
  apply (&fixture, 0, "o1", SET ("1", ""), &outcome);
  run (&fixture, 5 * KNL_MSEC);
  fk_memory_platform_set_fault (fixture.daemons.platforms[0], FK_PLATFORM_UNREACHABLE);
  run (&fixture, 6 * KNL_SEC);
  CU_ASSERT_EQUAL (outcome.status, CO_APPLY_UNKNOWN);
}

/*
 * Guards against reporting a change as not run that takes effect later. The write is
 * delayed in transit and its answer times out; a read doesn't find it in the table yet;
 * then the table becomes unreachable. The write may still take effect: unknown.
 */
static void
test_a_write_in_transit_is_not_reported_as_not_run (void)
{
  guint unknown = 0;

  for (guint cut = 0; cut < 40; cut++)
    {
      g_auto (Fixture) fixture = fixture_new ();
      Outcome outcome;
      SdTable *table;

      table = fk_store_table (fixture.daemons.store);
      run (&fixture, KNL_SEC / 2);
      apply (&fixture, 0, "o1", SET ("1", ""), &outcome);
      run (&fixture, 4 * KNL_MSEC);
      sd_table_set_fault (table, SD_TABLE_SLOW, 10 * KNL_SEC, 0);
      run (&fixture, KNL_MSEC);
      sd_table_set_fault (table, SD_TABLE_NORMAL, 0, 0);
      run (&fixture, 1999 * KNL_MSEC + cut * KNL_MSEC / 2);
      fk_memory_platform_set_fault (fixture.daemons.platforms[0], FK_PLATFORM_UNREACHABLE);
      run (&fixture, 20 * KNL_SEC);
      CU_ASSERT_EQUAL (revision_at (&fixture, 1), 1);
      CU_ASSERT_NOT_EQUAL (outcome.status, CO_APPLY_NOT_RUN);
      unknown += outcome.status == CO_APPLY_UNKNOWN ? 1 : 0;
    }
  CU_ASSERT_TRUE (unknown > 0);
}

/*
 * Guards against a restarted instance serving an older configuration than before. The
 * store is unreachable, the instance has no configuration, and a heartbeat reports
 * revision 5: it must not become ready below that revision.
 */
static void
test_an_instance_is_ready_only_at_the_highest_known_revision (void)
{
  g_auto (Fixture) fixture = fixture_new ();
  Outcome outcome;
  Alderturn__ConfigPush *push;

  for (guint i = 0; i < 5; i++)
    {
      g_autofree char *operation = g_strdup_printf ("o%u", i);

      apply (&fixture, 0, operation, SET ("7", ""), &outcome);
      run (&fixture, 2 * KNL_SEC);
    }
  fk_memory_platform_set_fault (fixture.daemons.platforms[2], FK_PLATFORM_UNREACHABLE);
  co_config_store_free (fixture.stores[2]);
  co_config_free (fixture.configs[2]);
  start (&fixture, 2);
  run (&fixture, 60 * KNL_SEC);
  CU_ASSERT_TRUE (co_config_store_ready (fixture.stores[1]));
  CU_ASSERT_FALSE (co_config_store_ready (fixture.stores[2]));
  co_config_store_note_revision (fixture.stores[2], 5);
  co_config_store_note_peer_sync (fixture.stores[2]);
  CU_ASSERT_FALSE (co_config_store_ready (fixture.stores[2]));
  push = co_config_push_since (fixture.configs[1], 0);
  co_config_apply (fixture.configs[2], push);
  alderturn__config_push__free_unpacked (push, NULL);
  CU_ASSERT_TRUE (co_config_store_ready (fixture.stores[2]));
  CU_ASSERT_EQUAL (weight_at (&fixture, 2), 7);
}

/* One operator's apply in the random test. */
typedef struct
{
  guint store;
  guint number;
  Outcome outcome;
} Attempt;

static void
random_fault (Fixture *fixture, GRand *rand)
{
  static const SdTableFault faults[] = { SD_TABLE_NORMAL, SD_TABLE_NORMAL, SD_TABLE_LOSE_ANSWERS,
                                         SD_TABLE_SLOW, SD_TABLE_OUTAGE };
  static const FkPlatformFault platform_faults[] = { FK_PLATFORM_NORMAL, FK_PLATFORM_NORMAL,
                                                     FK_PLATFORM_UNREACHABLE, FK_PLATFORM_SILENT,
                                                     FK_PLATFORM_LOSES_ANSWERS };
  guint i = (guint)g_rand_int_range (rand, 0, STORES);

  sd_table_set_fault (fk_store_table (fixture->daemons.store),
                      faults[g_rand_int_range (rand, 0, 5)],
                      g_rand_int_range (rand, 1, 3000) * KNL_MSEC, 2);
  fk_memory_platform_set_fault (fixture->daemons.platforms[i],
                                platform_faults[g_rand_int_range (rand, 0, 5)]);
  knl_paused_runtime_set_frozen (fixture->daemons.runtimes[i], g_rand_int_range (rand, 0, 4) == 0);
}

/* Builds a peer's push from a random revision; the next call applies it, out of date. */
static void
random_push (Fixture *fixture, GRand *rand, Alderturn__ConfigPush **delayed)
{
  CoConfig *to = fixture->configs[g_rand_int_range (rand, 0, STORES)];
  const CoConfig *from = fixture->configs[g_rand_int_range (rand, 0, STORES)];

  if (*delayed != NULL)
    {
      co_config_apply (to, *delayed);
      alderturn__config_push__free_unpacked (*delayed, NULL);
    }
  *delayed = co_config_push_since (
      from, (guint64)g_rand_int_range (rand, 0, (gint32)*co_config_revision (from) + 1));
}

/* Each apply sets its own object, so that its effect can be checked at the end. */
static void
check_attempts (Fixture *fixture, const GPtrArray *attempts)
{
  guint64 last = 0;
  guint done = 0;

  for (guint t = 0; t < attempts->len; t++)
    {
      const Attempt *attempt = g_ptr_array_index (attempts, t);
      g_autofree char *name = g_strdup_printf ("m%u", attempt->number);
      const CoObject *object = co_config_find (fixture->configs[0], "model", name);

      CU_ASSERT_EQUAL (attempt->outcome.calls, 1);
      if (attempt->outcome.status == CO_APPLY_DONE)
        CU_ASSERT_TRUE (object != NULL && object->revision == attempt->outcome.revision);
      if (attempt->outcome.status == CO_APPLY_NOT_RUN)
        CU_ASSERT_PTR_NULL (object);
      done += object != NULL ? 1 : 0;
    }
  /* Each change made exactly one revision: none was applied twice, none was lost. */
  last = *co_config_revision (fixture->configs[0]);
  CU_ASSERT_EQUAL (last, done);
  CU_ASSERT_TRUE (done > 20);
  for (guint i = 0; i < STORES; i++)
    CU_ASSERT_EQUAL (*co_config_revision (fixture->configs[i]), last);
}

/*
 * Guards against an accepted change that is lost or applied twice, and a refused one that
 * is in force. Operators apply through all controllers at once, which are frozen, cut off or
 * lose answers, with up to two of the faults above at a time; peers push out-of-date states.
 * The replica's invariant that revisions only rise is fatal here.
 */
static void
test_random_operators_and_faults (void)
{
  for (guint32 seed = 1; seed <= 6; seed++)
    {
      g_auto (Fixture) fixture = fixture_new ();
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      g_autoptr (GPtrArray) attempts = g_ptr_array_new_with_free_func (g_free);
      Alderturn__ConfigPush *delayed = NULL;

      for (KnlTime t = 0; t < 1800 * KNL_SEC; t += 500 * KNL_MSEC)
        {
          Attempt *attempt;
          char *text;
          char *operation;

          if (g_rand_int_range (rand, 0, 20) == 0)
            random_fault (&fixture, rand);
          random_push (&fixture, rand, &delayed);
          run (&fixture, 500 * KNL_MSEC);
          if (g_rand_int_range (rand, 0, 8) != 0)
            continue;
          attempt = g_new0 (Attempt, 1);
          attempt->number = attempts->len;
          attempt->store = (guint)g_rand_int_range (rand, 0, STORES);
          operation = g_strdup_printf ("o%u", attempt->number);
          text = g_strdup_printf ("[{\"op\":\"set\",\"kind\":\"model\",\"name\":\"m%u\"}]",
                                  attempt->number);
          g_ptr_array_add (attempts, attempt);
          apply (&fixture, attempt->store, operation, text, &attempt->outcome);
          g_free (operation);
          g_free (text);
        }
      for (guint i = 0; i < STORES; i++)
        {
          knl_paused_runtime_set_frozen (fixture.daemons.runtimes[i], FALSE);
          fk_memory_platform_set_fault (fixture.daemons.platforms[i], FK_PLATFORM_NORMAL);
        }
      sd_table_set_fault (fk_store_table (fixture.daemons.store), SD_TABLE_NORMAL, 0, 0);
      run (&fixture, 30 * KNL_SEC);
      check_attempts (&fixture, attempts);
      alderturn__config_push__free_unpacked (delayed, NULL);
    }
}

static void
test_findings_by_table (void)
{
  static const struct
  {
    const char *changes;
    guint findings;
  } rows[] = {
    { "[]", 1 },
    { "[{\"op\":\"set\",\"kind\":\"none\",\"name\":\"a\"}]", 1 },
    { "[{\"op\":\"set\",\"kind\":\"model\",\"name\":\"A b\"}]", 1 },
    { "[{\"op\":\"swap\",\"kind\":\"model\",\"name\":\"a\"}]", 1 },
    { "[{\"op\":\"remove\",\"kind\":\"model\",\"name\":\"a\"}]", 1 },
    { "[{\"op\":\"set\",\"kind\":\"workspace\",\"name\":\"a\",\"fields\":{\"weight\":0,\"x\":1}}]",
      3 },
    { "[{\"op\":\"set\",\"kind\":\"service\",\"name\":\"a\",\"fields\":{\"kind\":\"model\","
      "\"endpoints\":\"gpu\"}}]",
      1 },
    { "[{\"op\":\"set\",\"kind\":\"service\",\"name\":\"a\",\"fields\":{\"kind\":\"model\","
      "\"endpoints\":\"gpu\",\"model\":\"m\"}}]",
      1 },
    { "[{\"op\":\"set\",\"kind\":\"model\",\"name\":\"m\"},{\"op\":\"set\",\"kind\":\"service\","
      "\"name\":\"a\",\"fields\":{\"kind\":\"model\",\"endpoints\":\"gpu\",\"model\":\"m\"}}]",
      0 },
    { "[{\"op\":\"remove\",\"kind\":\"model\",\"name\":\"m\"}]", 1 },
  };
  g_auto (Fixture) fixture = fixture_new ();

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Outcome outcome;
      g_autofree char *operation = g_strdup_printf ("o%u", i);

      apply (&fixture, 0, operation, rows[i].changes, &outcome);
      run (&fixture, KNL_SEC);
      CU_ASSERT_EQUAL (outcome.findings, rows[i].findings);
      CU_ASSERT_EQUAL (outcome.status, rows[i].findings > 0 ? CO_APPLY_FINDINGS : CO_APPLY_DONE);
    }
  CU_ASSERT_EQUAL (revision_at (&fixture, 0), 2);
}

static const SuiteCase cases[] = {
  { "racing applies are ordered, and a stale one gets a conflict",
    test_racing_applies_are_ordered_and_a_stale_one_conflicts },
  { "a lost answer is resolved and an operation counts once",
    test_a_lost_answer_is_resolved_and_an_operation_counts_once },
  { "an apply that can't reach the table ends as not run or unknown",
    test_an_apply_without_the_table_ends_as_not_run_or_unknown },
  { "a write in transit is not reported as not run",
    test_a_write_in_transit_is_not_reported_as_not_run },
  { "an instance is ready only at the highest known revision",
    test_an_instance_is_ready_only_at_the_highest_known_revision },
  { "random operators and faults", test_random_operators_and_faults },
  { "findings by table", test_findings_by_table },
};

SUITE_MAIN ("co_config_store", cases)
