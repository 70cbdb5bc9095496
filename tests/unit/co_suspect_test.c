/** Crash fingerprints shared by several controllers, and shares of several entries. */

#include "coord/share.h"
#include "coord/suspect.h"
#include "daemons.h"
#include "suite.h"

#define CONTROLLERS 2
#define TTL         (60 * KNL_SEC)

typedef struct
{
  Daemons daemons;
  CoSuspects *suspects[CONTROLLERS];
  guint notified[CONTROLLERS];
} Fixture;

static void
on_changed (const Alderturn__SuspectUpdate *update, gpointer data)
{
  (*(guint *)data)++;
}

static void
start (Fixture *fixture, guint i)
{
  CoSuspectOptions options = {
    .kernel = fixture->daemons.kernels[i],
    .platform = fixture->daemons.platforms[i],
    .ttl = TTL,
    .scan_interval = 10 * KNL_SEC,
    .max_suspects = 8,
    .changed = on_changed,
    .data = &fixture->notified[i],
  };

  fixture->suspects[i] = co_suspects_new (&options);
}

static Fixture *
fixture_new (void)
{
  Fixture *fixture = g_new0 (Fixture, 1);

  daemons_init (&fixture->daemons, CONTROLLERS, 1);
  for (guint i = 0; i < CONTROLLERS; i++)
    start (fixture, i);
  knl_paused_clock_advance (fixture->daemons.clock, KNL_SEC);
  return fixture;
}

static void
fixture_free (Fixture *fixture)
{
  for (guint i = 0; i < CONTROLLERS; i++)
    co_suspects_free (fixture->suspects[i]);
  daemons_clear (&fixture->daemons);
  g_free (fixture);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Fixture, fixture_free)

static void
crash (Fixture *fixture, guint i, const char *endpoint, guint64 incarnation, guint64 fingerprint)
{
  Alderturn__CrashReport report = ALDERTURN__CRASH_REPORT__INIT;

  report.endpoint = (char *)endpoint;
  report.endpoint_incarnation = incarnation;
  report.fingerprints = &fingerprint;
  report.n_fingerprints = 1;
  co_suspects_handle_crash (fixture->suspects[i], &report, TRUE);
}

/* Number of a fingerprint's crashes known to controller `i`; 0: not a suspect. */
static guint
crashes_at (Fixture *fixture, guint i, guint64 fingerprint)
{
  Alderturn__SuspectUpdate *all = co_suspects_all (fixture->suspects[i]);
  guint crashes = 0;

  for (size_t e = 0; e < all->n_entries; e++)
    {
      if (all->entries[e]->fingerprint == fingerprint)
        crashes = all->entries[e]->crashes;
      CU_ASSERT_EQUAL (all->entries[e]->quarantined, all->entries[e]->crashes >= 2);
    }
  alderturn__suspect_update__free_unpacked (all, NULL);
  return crashes;
}

/*
 * Guards against one request crashing one engine after another: it crashes an
 * engine through one entry, is sent again and crashes the next through another
 * entry, whose controller doesn't know of the first crash. Controllers must not
 * count only the crashes reported to themselves.
 */
static void
test_crashes_are_counted_together_through_the_table (void)
{
  static const struct
  {
    const char *endpoint;
    guint64 incarnation;
    guint crashes;
  } rows[] = { { "e1", 1, 1 }, { "e1", 1, 1 }, { "e2", 5, 2 }, { "e3", 1, 2 } };
  g_autoptr (Fixture) fixture = fixture_new ();

  for (guint r = 0; r < G_N_ELEMENTS (rows); r++)
    {
      crash (fixture, r % CONTROLLERS, rows[r].endpoint, rows[r].incarnation, 7);
      knl_paused_clock_advance (fixture->daemons.clock, 12 * KNL_SEC);
      for (guint i = 0; i < CONTROLLERS; i++)
        CU_ASSERT_EQUAL (crashes_at (fixture, i, 7), rows[r].crashes);
    }
  CU_ASSERT_EQUAL (fixture->notified[0], 2);
  /* The entry survives a restart, then expires on all controllers and in the table. */
  co_suspects_free (fixture->suspects[0]);
  start (fixture, 0);
  knl_paused_clock_advance (fixture->daemons.clock, KNL_SEC);
  CU_ASSERT_EQUAL (crashes_at (fixture, 0, 7), 2);
  knl_paused_clock_advance (fixture->daemons.clock, 2 * TTL);
  for (guint i = 0; i < CONTROLLERS; i++)
    CU_ASSERT_EQUAL (crashes_at (fixture, i, 7), 0);
}

static void
test_gossip_works_while_the_store_is_down_and_memory_is_bounded (void)
{
  g_autoptr (Fixture) fixture = fixture_new ();
  Alderturn__SuspectUpdate *all;

  sd_table_set_fault (fk_store_table (fixture->daemons.store), SD_TABLE_OUTAGE, 0, 0);
  crash (fixture, 0, "e1", 1, 7);
  crash (fixture, 0, "e2", 1, 7);
  for (guint64 fingerprint = 100; fingerprint < 130; fingerprint++)
    crash (fixture, 0, "e1", 1, fingerprint);
  CU_ASSERT_EQUAL (co_suspects_count (fixture->suspects[0]), 8);
  CU_ASSERT_EQUAL (crashes_at (fixture, 0, 7), 2);
  all = co_suspects_all (fixture->suspects[0]);
  co_suspects_handle_update (fixture->suspects[1], all);
  alderturn__suspect_update__free_unpacked (all, NULL);
  CU_ASSERT_EQUAL (crashes_at (fixture, 1, 7), 2);
}

static void
test_a_workspace_is_counted_over_all_entries (void)
{
  static const struct
  {
    const char *entry;
    guint64 served;
    guint64 waiting;
    KnlTime later;
    guint64 all;
    double fraction;
  } rows[] = {
    { "e1", 1000, 0, 0, 1000, 1 },
    { "e2", 1000, 2000, 10 * KNL_SEC, 2000, 0.75 },
    { "e1", 500, 0, 10 * KNL_SEC, 1500, 0.2857 },
    { "e2", 0, 0, 60 * KNL_SEC, 7, 1 },
  };
  g_autoptr (Fixture) fixture = fixture_new ();
  CoShares *shares;

  shares = co_shares_new (fixture->daemons.kernels[0], 10 * KNL_SEC);
  for (guint r = 0; r < G_N_ELEMENTS (rows); r++)
    {
      Alderturn__ShareReport__Demand demand = ALDERTURN__SHARE_REPORT__DEMAND__INIT;
      Alderturn__ShareUpdate__Share share = ALDERTURN__SHARE_UPDATE__SHARE__INIT;

      if (r == 3)
        knl_paused_clock_advance (fixture->daemons.clock, 60 * KNL_SEC);
      demand.workspace = "w";
      demand.served_tokens = rows[r].served;
      demand.waiting_tokens = rows[r].waiting;
      co_shares_report (shares, rows[r].entry, 1, &demand, &share);
      CU_ASSERT_EQUAL (share.served_tokens, rows[r].all);
      CU_ASSERT_DOUBLE_EQUAL (share.fraction, rows[r].fraction, 0.001);
      if (r < 2)
        knl_paused_clock_advance (fixture->daemons.clock, rows[r].later);
    }
  co_shares_free (shares);
}

static const SuiteCase cases[] = {
  { "crashes are counted together through the table",
    test_crashes_are_counted_together_through_the_table },
  { "gossip works while the store is down, and memory is bounded",
    test_gossip_works_while_the_store_is_down_and_memory_is_bounded },
  { "a workspace is counted over all entries", test_a_workspace_is_counted_over_all_entries },
};

SUITE_MAIN ("co_suspect", cases)
