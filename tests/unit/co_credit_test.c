/** The credit ledger: grants within the engine's capacity, fair shares, and leaked requests. */

#include "coord/credit.h"
#include "kernel/paused.h"
#include "suite.h"

#include <string.h>

#define TTL      (2 * KNL_SEC)
#define CAPACITY 10000
#define SLOTS    64
#define ENTRIES  4

/* Simulates an entry: a grant is valid for the TTL from when its request was sent. */
typedef struct
{
  char name[8];
  guint64 granted;
  KnlTime expires;
  guint64 used;
  /* The answer in transit: */
  guint64 delayed_tokens;
  KnlTime sent_at;
  KnlTime arrives_at; /* 0: none */
} Entry;

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  CoCreditOptions options;
  CoCredit *credit;
  Entry entries[ENTRIES];
} Fixture;

static void
report (Fixture *fixture, const EpRunning *running, guint n_running)
{
  EpReport engine_report = {
    .capacity_tokens = CAPACITY,
    .capacity_slots = SLOTS,
    .running = running,
    .n_running = n_running,
  };

  co_credit_report (fixture->credit, &engine_report);
}

static Fixture *
fixture_new (double reserve)
{
  Fixture *fixture = g_new0 (Fixture, 1);

  fixture->clock = knl_paused_clock_new ();
  fixture->kernel = knl_kernel_new (knl_paused_clock_runtime (fixture->clock), 1);
  fixture->options = (CoCreditOptions){ .kernel = fixture->kernel, .ttl = TTL, .reserve = reserve };
  fixture->credit = co_credit_new (&fixture->options, 0);
  report (fixture, NULL, 0);
  for (guint i = 0; i < ENTRIES; i++)
    g_snprintf (fixture->entries[i].name, sizeof (fixture->entries[i].name), "e%u", i);
  return fixture;
}

static void
fixture_free (Fixture *fixture)
{
  co_credit_free (fixture->credit);
  knl_kernel_free (fixture->kernel);
  knl_paused_clock_free (fixture->clock);
  g_free (fixture);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Fixture, fixture_free)

static guint64
request_grant_with_largest (Fixture *fixture,
                            const char *entry,
                            guint64 used,
                            guint64 wanted,
                            guint64 largest)
{
  Alderturn__CreditWant want = ALDERTURN__CREDIT_WANT__INIT;
  Alderturn__CreditGrant grant = ALDERTURN__CREDIT_GRANT__INIT;

  want.used_tokens = used;
  want.used_slots = used > 0 ? 1 : 0;
  want.wanted_tokens = wanted;
  want.wanted_slots = 1;
  want.largest_tokens = largest;
  return co_credit_grant (fixture->credit, entry, 1, &want, &grant) ? grant.tokens : 0;
}

static guint64
request_grant (Fixture *fixture, const char *entry, guint64 used, guint64 wanted)
{
  return request_grant_with_largest (fixture, entry, used, wanted, 0);
}

static void
test_shares_by_table (void)
{
  static const struct
  {
    double reserve;
    guint64 wants[ENTRIES];
    guint64 grants[ENTRIES];
  } rows[] = {
    { 0.0, { 1000, 1000, 1000, 1000 }, { 2500, 2500, 2500, 2500 } },
    { 0.0, { 100, 9000, 9000, 9000 }, { 100, 3300, 3300, 3300 } },
    { 0.0, { 0, 0, 5000, 9000 }, { 0, 0, 5000, 5000 } },
    { 0.2, { 0, 0, 0, 20000 }, { 500, 500, 500, 8500 } },
    { 0.2, { 20000, 20000, 20000, 20000 }, { 2500, 2500, 2500, 2500 } },
    { 0.2, { 0, 0, 0, 0 }, { 2500, 2500, 2500, 2500 } },
  };

  for (guint r = 0; r < G_N_ELEMENTS (rows); r++)
    {
      g_autoptr (Fixture) fixture = fixture_new (rows[r].reserve);

      knl_paused_clock_advance (fixture->clock, 2 * TTL);
      /* Shares settle once all entries have sent requests and older, larger grants have expired. */
      for (guint round = 0; round < 12; round++)
        {
          for (guint i = 0; i < ENTRIES; i++)
            {
              guint64 granted =
                  request_grant (fixture, fixture->entries[i].name, 0, rows[r].wants[i]);

              if (round == 11)
                CU_ASSERT_EQUAL (granted, rows[r].grants[i]);
            }
          knl_paused_clock_advance (fixture->clock, 250 * KNL_MSEC);
        }
    }
}

/* Tokens that all entries together can have in use now. */
static guint64
tokens_in_use (const Fixture *fixture)
{
  guint64 sum = 0;

  for (guint i = 0; i < ENTRIES; i++)
    {
      const Entry *entry = &fixture->entries[i];
      gboolean valid = knl_kernel_now (fixture->kernel) < entry->expires;

      sum += MAX (entry->used, valid ? entry->granted : 0);
    }
  return sum;
}

static void
step_entry (Fixture *fixture, Entry *entry, GRand *rand)
{
  KnlTime now = knl_kernel_now (fixture->kernel);

  if (entry->arrives_at != 0 && now >= entry->arrives_at)
    {
      entry->arrives_at = 0;
      entry->granted = entry->delayed_tokens;
      entry->expires = entry->sent_at + TTL;
    }
  if (now < entry->expires && g_rand_int_range (rand, 0, 4) == 0)
    entry->used = (guint64)g_rand_int_range (rand, 0, (gint32)entry->granted + 1);
  if (entry->arrives_at != 0 || g_rand_int_range (rand, 0, 3) != 0)
    return;
  entry->sent_at = now;
  entry->delayed_tokens = request_grant (fixture, entry->name, entry->used,
                                         (guint64)g_rand_int_range (rand, 0, 3 * CAPACITY));
  /* One in five answers is lost. */
  if (entry->delayed_tokens > 0 && g_rand_int_range (rand, 0, 5) > 0)
    entry->arrives_at = now + g_rand_int_range (rand, 1, 300) * KNL_MSEC;
}

static void
report_running (Fixture *fixture)
{
  EpRunning running[ENTRIES];
  char names[ENTRIES][24];
  guint n = 0;

  for (guint i = 0; i < ENTRIES; i++)
    {
      if (fixture->entries[i].used == 0)
        continue;
      g_snprintf (names[n], sizeof (names[n]), "%s~1~7", fixture->entries[i].name);
      running[n] = (EpRunning){ .request = names[n], .tokens = fixture->entries[i].used };
      n++;
    }
  report (fixture, running, n);
}

/*
 * Guards against an engine that runs out of memory although every entry keeps to its grant,
 * because the ledger doesn't count an unexpired grant, its own or one of the former holder.
 * Entries' demands change, answers are delayed or lost, and occasionally another holder takes
 * over with an empty ledger.
 */
static void
test_entries_together_never_hold_more_than_the_engine_has (void)
{
  for (guint32 seed = 1; seed <= 10; seed++)
    {
      g_autoptr (Fixture) fixture = fixture_new (0.1);
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      guint64 peak = 0;

      for (guint i = 0; i < 36000; i++)
        {
          if (g_rand_int_range (rand, 0, 1000) == 0)
            {
              co_credit_free (fixture->credit);
              fixture->credit = co_credit_new (&fixture->options,
                                               knl_kernel_now (fixture->kernel)
                                                   + co_credit_grant_lifetime (&fixture->options));
              report_running (fixture);
            }
          if (i % 10 == 0)
            report_running (fixture);
          for (guint e = 0; e < ENTRIES; e++)
            step_entry (fixture, &fixture->entries[e], rand);
          if (tokens_in_use (fixture) > CAPACITY)
            CU_FAIL ("more is held than the engine has");
          peak = MAX (peak, tokens_in_use (fixture));
          knl_paused_clock_advance (fixture->clock, 50 * KNL_MSEC);
        }
      CU_ASSERT_TRUE (peak > CAPACITY / 2);
    }
}

/*
 * Guards against granting an engine's memory twice after an entry has died. The entry
 * stops sending credit requests while its callers' requests still run, and its grants expire; a
 * ledger that counts only grants would miss the requests that the engine still lists.
 */
static void
test_a_dead_entrys_memory_counts_until_it_is_freed (void)
{
  g_autoptr (Fixture) fixture = fixture_new (0.0);

  fixture->entries[0].used = 9000;
  knl_paused_clock_advance (fixture->clock, 2 * TTL);
  report_running (fixture);
  CU_ASSERT_EQUAL (request_grant (fixture, "e1", 0, CAPACITY), 1000);
  fixture->entries[0].used = 0;
  report_running (fixture);
  CU_ASSERT_EQUAL (request_grant (fixture, "e1", 0, CAPACITY), CAPACITY);
}

static CoEntryState
state_of (const char *entry, guint64 incarnation, gpointer data)
{
  if (strcmp (entry, "e9") == 0)
    return CO_ENTRY_REPLACED;
  return strcmp (entry, "e7") == 0 || strcmp (entry, "e1") == 0 ? CO_ENTRY_MISSING
                                                                : CO_ENTRY_PRESENT;
}

/*
 * Guards against engine memory that is never freed. An entry dies or its cancel is lost,
 * and the engine still lists the request; the ledger must compare the engine's list with
 * what entries claim.
 */
static void
test_leaks_by_table (void)
{
  static const struct
  {
    const char *request;
    guint64 claimed; /* by e1, which keeps sending requests although membership has it as missing */
    KnlTime after;   /* time of the first cancel; 0: never */
  } rows[] = {
    { "e9~1~1", 0, 3 * KNL_SEC }, { "e7~1~1", 0, 60 * KNL_SEC }, { "e1~1~1", 0, 3 * KNL_SEC },
    { "e1~1~1", 50, 0 },          { "elsewhere", 0, 0 },         { "e8~1~1", 0, 0 },
  };

  for (guint r = 0; r < G_N_ELEMENTS (rows); r++)
    {
      g_autoptr (Fixture) fixture = fixture_new (0.1);
      EpRunning running = { .request = (char *)rows[r].request, .tokens = 50 };
      KnlTime first = 0;
      guint leaks = 0;

      for (KnlTime t = 0; t < 70 * KNL_SEC; t += 250 * KNL_MSEC)
        {
          GPtrArray *found;

          report (fixture, &running, 1);
          request_grant (fixture, "e1", rows[r].claimed, 0);
          found = co_credit_leaks (fixture->credit, state_of, NULL);
          if (found->len > 0 && first == 0)
            first = t;
          leaks += found->len;
          g_ptr_array_free (found, TRUE);
          knl_paused_clock_advance (fixture->clock, 250 * KNL_MSEC);
        }
      CU_ASSERT_EQUAL (first, rows[r].after);
      /* A leak is reported repeatedly as long as it is listed. */
      CU_ASSERT_EQUAL (leaks > 20, rows[r].after > 0);
    }
}

/*
 * Guards against prompts nearly as large as an engine's memory timing out on a busy fleet,
 * although the engine could run them one after another. Several entries each wait with such
 * a prompt; with an even division no entry gets enough, and none returns its share.
 */
static void
test_large_requests_are_granted_in_queue_order (void)
{
  enum
  {
    LARGE = 8000,
    ROUND = 250,
    ROUNDS = 200
  };
  g_autoptr (Fixture) fixture = fixture_new (0.2);
  gboolean served[ENTRIES] = { FALSE };
  guint order = 0;

  knl_paused_clock_advance (fixture->clock, 2 * TTL);
  for (guint round = 0; round < ROUNDS; round++)
    {
      for (guint i = 0; i < ENTRIES; i++)
        {
          guint64 largest = served[i] ? 0 : LARGE;
          guint64 granted =
              request_grant_with_largest (fixture, fixture->entries[i].name, 0, largest, largest);

          CU_ASSERT (co_credit_committed (fixture->credit) <= CAPACITY);
          if (served[i] || granted < LARGE)
            continue;
          served[i] = TRUE;
          CU_ASSERT_EQUAL (i, order++);
        }
      knl_paused_clock_advance (fixture->clock, ROUND * KNL_MSEC);
    }
  CU_ASSERT_EQUAL (order, ENTRIES);
}

static const SuiteCase cases[] = {
  { "large requests are granted in queue order", test_large_requests_are_granted_in_queue_order },
  { "shares by table", test_shares_by_table },
  { "entries together never hold more than the engine has",
    test_entries_together_never_hold_more_than_the_engine_has },
  { "a dead entry's memory counts until it is freed",
    test_a_dead_entrys_memory_counts_until_it_is_freed },
  { "leaks by table", test_leaks_by_table },
};

SUITE_MAIN ("co_credit", cases)
