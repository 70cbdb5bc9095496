/** Leases: at most one holder at any time, with paused processes, lost answers and outages. */

#include "coord/lease.h"
#include "coord/shard.h"
#include "daemons.h"
#include "suite.h"

#define SHARDS   8
#define HOLDERS  3
#define DURATION (6 * KNL_SEC)
#define STEP     (100 * KNL_MSEC)

typedef struct
{
  Daemons daemons;
  CoLeases *leases[HOLDERS];
  guint64 fences[SHARDS]; /* highest one seen valid */
  guint holders[SHARDS];  /* index of the last valid holder */
  guint changes;
} Fixture;

static const char *const names[HOLDERS] = { "c1", "c2", "c3" };

static void
start (Fixture *fixture, guint i, guint64 incarnation)
{
  CoLeasesOptions options = {
    .kernel = fixture->daemons.kernels[i],
    .platform = fixture->daemons.platforms[i],
    .name = names[i],
    .incarnation = incarnation,
    .n_shards = SHARDS,
    .duration = DURATION,
  };

  fixture->leases[i] = co_leases_new (&options);
  co_leases_set_candidates (fixture->leases[i], names, HOLDERS);
}

static Fixture *
fixture_new (guint32 seed)
{
  Fixture *fixture = g_new0 (Fixture, 1);

  daemons_init (&fixture->daemons, HOLDERS, seed);
  for (guint i = 0; i < HOLDERS; i++)
    start (fixture, i, 1);
  return fixture;
}

static void
fixture_free (Fixture *fixture)
{
  for (guint i = 0; i < HOLDERS; i++)
    co_leases_free (fixture->leases[i]);
  daemons_clear (&fixture->daemons);
  g_free (fixture);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Fixture, fixture_free)

/*
 * At any time, also with paused processes: each shard has at most one holder,
 * and fencing numbers only rise. Returns the number of shards held.
 */
static guint
check (Fixture *fixture)
{
  guint held = 0;

  for (guint s = 0; s < SHARDS; s++)
    {
      guint holders = 0;

      for (guint i = 0; i < HOLDERS; i++)
        {
          guint64 fence = 0;

          if (!co_lease_valid (fixture->leases[i], s, &fence))
            continue;
          holders++;
          if (fence < fixture->fences[s]
              || (fence == fixture->fences[s] && fixture->holders[s] != i))
            CU_FAIL ("fencing number was used by another holder before");
          fixture->changes += fence > fixture->fences[s] ? 1 : 0;
          fixture->fences[s] = fence;
          fixture->holders[s] = i;
        }
      if (holders > 1)
        CU_FAIL ("more than one holder");
      held += holders;
    }
  return held;
}

static guint
run (Fixture *fixture, KnlTime time)
{
  guint held = 0;

  for (KnlTime t = 0; t < time; t += STEP)
    {
      knl_paused_clock_advance (fixture->daemons.clock, STEP);
      held = check (fixture);
    }
  return held;
}

static void
test_shards_go_to_their_first_candidates (void)
{
  g_autoptr (Fixture) fixture = fixture_new (1);

  CU_ASSERT_EQUAL (run (fixture, KNL_SEC), SHARDS);
  CU_ASSERT_EQUAL (run (fixture, 60 * KNL_SEC), SHARDS);
  CU_ASSERT_EQUAL (fixture->changes, SHARDS);
  for (guint s = 0; s < SHARDS; s++)
    {
      g_autofree char *hash_key = g_strdup_printf ("shard/%u", s);

      CU_ASSERT_EQUAL (co_rendezvous_rank (names, HOLDERS, names[fixture->holders[s]], hash_key),
                       0);
      CU_ASSERT_STRING_EQUAL (co_lease_view (fixture->leases[0], s).holder,
                              names[fixture->holders[s]]);
    }
}

/*
 * Guards against two processes acting for one shard: a holder's process is
 * paused for longer than its lease and another acquires it. The first one
 * resumes and must not use its old state, even before any of its timers has
 * run.
 */
static void
test_a_paused_holder_does_not_hold_a_lease (void)
{
  g_autoptr (Fixture) fixture = fixture_new (2);

  run (fixture, 10 * KNL_SEC);
  for (guint i = 0; i < HOLDERS; i++)
    {
      knl_paused_runtime_set_frozen (fixture->daemons.runtimes[i], TRUE);
      run (fixture, DURATION + DURATION / 8 + 4 * KNL_SEC);
      CU_ASSERT_EQUAL (co_leases_held (fixture->leases[i]), 0);
      CU_ASSERT_EQUAL (check (fixture), SHARDS);
      knl_paused_runtime_set_frozen (fixture->daemons.runtimes[i], FALSE);
      CU_ASSERT_EQUAL (run (fixture, 100 * KNL_SEC), SHARDS);
    }
}

/*
 * Guards against a shard without a holder, or a holder that counts a lease it
 * doesn't have: the table carries out an acquisition or renewal and its answer
 * is lost. The writer must read the rows again instead of assuming an outcome.
 */
static void
test_lost_answers_are_read_back (void)
{
  g_autoptr (Fixture) fixture = fixture_new (3);

  sd_table_set_fault (fk_store_table (fixture->daemons.store), SD_TABLE_LOSE_ANSWERS, 0, HOLDERS);
  CU_ASSERT_EQUAL (run (fixture, 4 * KNL_SEC), SHARDS);
  for (guint s = 0; s < SHARDS; s++)
    CU_ASSERT_EQUAL (fixture->fences[s], 1);
  for (guint i = 0; i < 20; i++)
    {
      sd_table_set_fault (fk_store_table (fixture->daemons.store), SD_TABLE_LOSE_ANSWERS, 0, 2);
      CU_ASSERT_EQUAL (run (fixture, 5 * KNL_SEC), SHARDS);
    }
  CU_ASSERT_EQUAL (fixture->changes, SHARDS);
}

static void
on_released (gpointer data)
{
  *(gboolean *)data = TRUE;
}

static void
test_released_shards_are_acquired_immediately (void)
{
  g_autoptr (Fixture) fixture = fixture_new (4);
  gboolean released = FALSE;

  run (fixture, 10 * KNL_SEC);
  co_leases_release (fixture->leases[0], on_released, &released);
  CU_ASSERT_FALSE (released);
  CU_ASSERT_EQUAL (run (fixture, 2 * KNL_SEC), SHARDS);
  CU_ASSERT_TRUE (released);
  CU_ASSERT_EQUAL (co_leases_held (fixture->leases[0]), 0);
}

/*
 * Guards against shards that keep a holder during an outage of the store, or
 * have none after it. The table refuses all calls for 10 minutes: a holder must
 * not continue when it can't renew, nor wait for its own expired lease
 * afterwards.
 */
static void
test_an_outage_ends_all_leases_and_they_return (void)
{
  g_autoptr (Fixture) fixture = fixture_new (5);

  run (fixture, 10 * KNL_SEC);
  sd_table_set_fault (fk_store_table (fixture->daemons.store), SD_TABLE_OUTAGE, 0, 0);
  CU_ASSERT_EQUAL (run (fixture, 600 * KNL_SEC), 0);
  sd_table_set_fault (fk_store_table (fixture->daemons.store), SD_TABLE_NORMAL, 0, 0);
  CU_ASSERT_EQUAL (run (fixture, 3 * KNL_SEC), SHARDS);
}

static void
test_a_restarted_process_waits_for_its_predecessors_lease (void)
{
  g_autoptr (Fixture) fixture = fixture_new (6);

  run (fixture, 10 * KNL_SEC);
  co_leases_free (fixture->leases[0]);
  start (fixture, 0, 2);
  run (fixture, DURATION / 2);
  CU_ASSERT_EQUAL (co_leases_held (fixture->leases[0]), 0);
  CU_ASSERT_EQUAL (run (fixture, 2 * DURATION), SHARDS);
}

static void
test_writes_do_not_grow_with_holders (void)
{
  guint64 writes[2];

  for (guint round = 0; round < 2; round++)
    {
      g_autoptr (Fixture) fixture = fixture_new (7);

      for (guint i = 0; round == 0 && i < 2; i++)
        co_leases_release (fixture->leases[i], NULL, NULL);
      if (round == 0)
        co_leases_set_candidates (fixture->leases[2], &names[2], 1);
      run (fixture, 20 * KNL_SEC);
      writes[round] = sd_table_writes (fk_store_table (fixture->daemons.store));
      run (fixture, 60 * KNL_SEC);
      writes[round] = sd_table_writes (fk_store_table (fixture->daemons.store)) - writes[round];
    }
  /* Each holder sends one transaction every 2 s; at most one holder per shard. */
  CU_ASSERT_TRUE (writes[0] >= 28 && writes[0] <= 31);
  CU_ASSERT_TRUE (writes[1] <= 3 * writes[0]);
}

/*
 * Half an hour of simulated time for each seed, with paused processes,
 * platforms that are unreachable, silent or deaf, and a table with outages,
 * lost and slow answers.
 */
static void
test_random_faults (void)
{
  static const FkPlatformFault faults[] = { FK_PLATFORM_NORMAL, FK_PLATFORM_NORMAL,
                                            FK_PLATFORM_UNREACHABLE, FK_PLATFORM_SILENT,
                                            FK_PLATFORM_LOSES_ANSWERS };
  static const SdTableFault table_faults[] = { SD_TABLE_NORMAL, SD_TABLE_NORMAL,
                                               SD_TABLE_LOSE_ANSWERS, SD_TABLE_SLOW,
                                               SD_TABLE_OUTAGE };

  for (guint32 seed = 100; seed < 106; seed++)
    {
      g_autoptr (Fixture) fixture = fixture_new (seed);
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);

      for (KnlTime t = 0; t < 1800 * KNL_SEC;)
        {
          KnlTime time = (KnlTime)g_rand_int_range (rand, 1, 400) * 50 * KNL_MSEC;
          guint i = (guint)g_rand_int_range (rand, 0, HOLDERS);

          knl_paused_runtime_set_frozen (fixture->daemons.runtimes[i], g_rand_boolean (rand));
          fk_memory_platform_set_fault (fixture->daemons.platforms[i],
                                        faults[g_rand_int_range (rand, 0, 5)]);
          sd_table_set_fault (fk_store_table (fixture->daemons.store),
                              table_faults[g_rand_int_range (rand, 0, 5)], KNL_SEC, 3);
          run (fixture, time);
          t += time;
        }
      for (guint i = 0; i < HOLDERS; i++)
        {
          knl_paused_runtime_set_frozen (fixture->daemons.runtimes[i], FALSE);
          fk_memory_platform_set_fault (fixture->daemons.platforms[i], FK_PLATFORM_NORMAL);
        }
      sd_table_set_fault (fk_store_table (fixture->daemons.store), SD_TABLE_NORMAL, 0, 0);
      CU_ASSERT_EQUAL (run (fixture, 30 * KNL_SEC), SHARDS);
      CU_ASSERT_TRUE (fixture->changes > SHARDS);
    }
}

typedef struct
{
  gboolean checking_leases;
  guint calls_while_checking;
  guint losses;
} ObserverCalls;

static void
on_change (CoLeases *leases, guint shard, guint64 fence, gpointer data)
{
  ObserverCalls *observer_calls = data;

  observer_calls->losses += fence == 0 ? 1 : 0;
  observer_calls->calls_while_checking += observer_calls->checking_leases ? 1 : 0;
}

/*
 * Guards against a controller's table of workspaces being modified during
 * iteration, which GLib reports as an invalid iterator. A paused holder
 * resumes; when notified that one lease has expired, it iterates over its table
 * and calls co_lease_valid() for each item's shard, whose leases have expired
 * too. That call must not notify the observers itself.
 */
static void
test_checking_a_lease_notifies_no_observers (void)
{
  g_autoptr (Fixture) fixture = fixture_new (9);
  ObserverCalls observer_calls = { 0 };

  run (fixture, 10 * KNL_SEC);
  co_leases_observe (fixture->leases[0], on_change, &observer_calls);
  knl_paused_runtime_set_frozen (fixture->daemons.runtimes[0], TRUE);
  knl_paused_clock_advance (fixture->daemons.clock, 2 * DURATION);
  observer_calls.checking_leases = TRUE;
  CU_ASSERT_EQUAL (co_leases_held (fixture->leases[0]), 0);
  observer_calls.checking_leases = FALSE;
  CU_ASSERT_EQUAL (observer_calls.calls_while_checking, 0);
  knl_paused_runtime_set_frozen (fixture->daemons.runtimes[0], FALSE);
  knl_paused_clock_advance (fixture->daemons.clock, 0);
  CU_ASSERT (observer_calls.losses > 0);
}

static const SuiteCase cases[] = {
  { "checking a lease notifies no observers", test_checking_a_lease_notifies_no_observers },
  { "shards go to their first candidates", test_shards_go_to_their_first_candidates },
  { "a paused holder does not hold a lease", test_a_paused_holder_does_not_hold_a_lease },
  { "lost answers are read back", test_lost_answers_are_read_back },
  { "released shards are acquired immediately", test_released_shards_are_acquired_immediately },
  { "an outage ends all leases and they return", test_an_outage_ends_all_leases_and_they_return },
  { "a restarted process waits for its predecessor's lease",
    test_a_restarted_process_waits_for_its_predecessors_lease },
  { "writes do not grow with holders", test_writes_do_not_grow_with_holders },
  { "random faults", test_random_faults },
};

SUITE_MAIN ("co_lease", cases)
