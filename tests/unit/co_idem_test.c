/** Idempotency records: at most one attempt runs, despite lost answers, pauses and outages. */

#include "coord/idem.h"
#include "daemons.h"
#include "suite.h"

#include <string.h>

#define HOLDERS 2
#define SHARDS  4
#define KEYS    6

typedef struct
{
  Daemons daemons;
  CoLeases *leases[HOLDERS];
  CoIdem *idems[HOLDERS];
  gboolean attempts_ended; /* whether every attempt's process is reported as ended */
} Fixture;

/* The result of one begin or finish. */
typedef struct
{
  guint answers;
  Alderturn__IdemVerdict verdict;
  guint32 status;
  char body[16];
  gboolean durable;
} Result;

static const char *const names[HOLDERS] = { "c1", "c2" };

static gboolean
attempt_has_ended (const char *attempt, gpointer data)
{
  return ((Fixture *)data)->attempts_ended;
}

static Fixture *
fixture_new (guint32 seed)
{
  Fixture *fixture = g_new0 (Fixture, 1);

  daemons_init (&fixture->daemons, HOLDERS, seed);
  for (guint i = 0; i < HOLDERS; i++)
    {
      CoLeasesOptions leases = {
        .kernel = fixture->daemons.kernels[i],
        .platform = fixture->daemons.platforms[i],
        .name = names[i],
        .incarnation = 1,
        .n_shards = SHARDS,
        .duration = 6 * KNL_SEC,
      };
      CoIdemOptions options = {
        .kernel = fixture->daemons.kernels[i],
        .platform = fixture->daemons.platforms[i],
        .batch_delay = 3 * KNL_MSEC,
        .begin_timeout = 2 * KNL_SEC,
        .finish_timeout = 2 * KNL_SEC,
        .attempt_timeout = 600 * KNL_SEC,
        .answer_bytes = 8,
        .max_cached = 4,
        .attempt_ended = attempt_has_ended,
        .data = fixture,
      };

      options.leases = fixture->leases[i] = co_leases_new (&leases);
      fixture->idems[i] = co_idem_new (&options);
      co_leases_set_candidates (fixture->leases[i], names, HOLDERS);
    }
  knl_paused_clock_advance (fixture->daemons.clock, KNL_SEC);
  return fixture;
}

static void
fixture_free (Fixture *fixture)
{
  for (guint i = 0; i < HOLDERS; i++)
    {
      co_idem_free (fixture->idems[i]);
      co_leases_free (fixture->leases[i]);
    }
  daemons_clear (&fixture->daemons);
  g_free (fixture);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Fixture, fixture_free)

static void
run (Fixture *fixture, KnlTime time)
{
  knl_paused_clock_advance (fixture->daemons.clock, time);
}

static guint
holder_of (Fixture *fixture, const char *key)
{
  return co_lease_valid (fixture->leases[0], co_idem_shard ("w", key, SHARDS), NULL) ? 0 : 1;
}

static void
on_begun (const Alderturn__IdemReply *reply, gpointer data)
{
  Result *result = data;

  result->answers++;
  result->verdict = reply->verdict;
  result->status = reply->status;
  memset (result->body, 0, sizeof (result->body));
  if (reply->body.len > 0)
    memcpy (result->body, reply->body.data, MIN (reply->body.len, sizeof (result->body) - 1));
}

static void
on_finished (gboolean durable, gpointer data)
{
  ((Result *)data)->answers++;
  ((Result *)data)->durable = durable;
}

static void
begin_at (Fixture *fixture,
          guint i,
          const char *key,
          const char *attempt,
          guint64 digest,
          Result *result)
{
  Alderturn__IdemBegin begin = ALDERTURN__IDEM_BEGIN__INIT;

  begin.workspace = "w";
  begin.key = (char *)key;
  begin.attempt = (char *)attempt;
  begin.digest = digest;
  *result = (Result){ 0 };
  co_idem_begin (fixture->idems[i], &begin, on_begun, result);
}

static void
finish_at (Fixture *fixture,
           guint i,
           const char *key,
           const char *attempt,
           Alderturn__IdemState state,
           Result *result)
{
  Alderturn__IdemFinish finish = ALDERTURN__IDEM_FINISH__INIT;

  finish.workspace = "w";
  finish.key = (char *)key;
  finish.attempt = (char *)attempt;
  finish.state = state;
  finish.status = 200;
  finish.body.data = (guint8 *)"answer";
  finish.body.len = 6;
  *result = (Result){ 0 };
  co_idem_finish (fixture->idems[i], &finish, on_finished, result);
}

#define STATE(name)   ALDERTURN__IDEM_STATE__IDEM_STATE_##name
#define VERDICT(name) ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_##name

static void
test_verdicts_by_table (void)
{
  /* Applied in order to one key: an attempt's finish, or its begin with the expected verdict. */
  static const struct
  {
    const char *attempt;
    Alderturn__IdemState finish; /* 0: a begin */
    guint64 digest;
    Alderturn__IdemVerdict verdict;
    gboolean attempts_ended;
  } rows[] = {
    { "a", 0, 1, VERDICT (RUN), FALSE },    { "a", 0, 1, VERDICT (RUN), FALSE },
    { "b", 0, 1, VERDICT (BUSY), FALSE },   { "b", 0, 2, VERDICT (MISMATCH), FALSE },
    { "a", STATE (NOT_RUN), 0, 0, FALSE },  { "a", 0, 1, VERDICT (REFUSED), FALSE },
    { "b", 0, 2, VERDICT (RUN), FALSE },    { "a", STATE (DONE), 0, 0, FALSE },
    { "c", 0, 2, VERDICT (UNKNOWN), TRUE }, { "c", 0, 2, VERDICT (UNKNOWN), FALSE },
    { "b", STATE (NOT_RUN), 0, 0, FALSE },  { "c", 0, 2, VERDICT (UNKNOWN), FALSE },
    { "b", STATE (DONE), 0, 0, FALSE },     { "c", 0, 2, VERDICT (DONE), FALSE },
    { "b", STATE (UNKNOWN), 0, 0, FALSE },  { "c", 0, 2, VERDICT (DONE), TRUE },
  };
  g_autoptr (Fixture) fixture = fixture_new (1);
  Result result;

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      guint holder = holder_of (fixture, "k");

      fixture->attempts_ended = rows[i].attempts_ended;
      if (rows[i].finish != 0)
        finish_at (fixture, holder, "k", rows[i].attempt, rows[i].finish, &result);
      else
        begin_at (fixture, holder, "k", rows[i].attempt, rows[i].digest, &result);
      run (fixture, 50 * KNL_MSEC);
      CU_ASSERT_EQUAL (result.answers, 1);
      CU_ASSERT_EQUAL (result.verdict, rows[i].verdict);
      CU_ASSERT_EQUAL (result.durable, rows[i].finish != 0);
    }
  CU_ASSERT_EQUAL (result.status, 200);
  CU_ASSERT_STRING_EQUAL (result.body, "answer");
}

/*
 * Guards against a request that runs twice. A holder is frozen while it processes a begin;
 * another takes over and lets a second attempt run; then the first holder resumes and
 * writes. Its write must depend on the lease and on the row's version.
 */
static void
test_a_paused_holder_writes_nothing (void)
{
  for (KnlTime pause_after = 0; pause_after <= 6 * KNL_MSEC; pause_after += KNL_MSEC)
    {
      g_autoptr (Fixture) fixture = fixture_new (2);
      Result first;
      Result second;
      guint holder;

      holder = holder_of (fixture, "k");
      begin_at (fixture, holder, "k", "a", 1, &first);
      run (fixture, pause_after);
      knl_paused_runtime_set_frozen (fixture->daemons.runtimes[holder], TRUE);
      run (fixture, 12 * KNL_SEC);
      begin_at (fixture, 1 - holder, "k", "b", 1, &second);
      run (fixture, KNL_SEC);
      knl_paused_runtime_set_frozen (fixture->daemons.runtimes[holder], FALSE);
      run (fixture, 5 * KNL_SEC);
      CU_ASSERT_EQUAL (first.answers + second.answers, 2);
      CU_ASSERT_TRUE ((first.verdict == VERDICT (RUN)) + (second.verdict == VERDICT (RUN)) <= 1);
      CU_ASSERT_TRUE (second.verdict == VERDICT (RUN) || second.verdict == VERDICT (BUSY));
      CU_ASSERT_EQUAL (first.verdict,
                       pause_after < 5 * KNL_MSEC ? VERDICT (REFUSED) : VERDICT (RUN));
    }
}

/*
 * Guards against a former holder's write that takes effect without the new holder knowing.
 * The write is delayed in transit, the holder is frozen, another takes over, and only then
 * does the write arrive. It must depend on the lease.
 */
static void
test_a_late_write_of_a_former_holder_has_no_effect (void)
{
  g_autoptr (Fixture) fixture = fixture_new (5);
  Result result;
  guint holder;

  holder = holder_of (fixture, "k");
  begin_at (fixture, holder, "k", "a", 1, &result);
  run (fixture, 2 * KNL_MSEC);
  sd_table_set_fault (fk_store_table (fixture->daemons.store), SD_TABLE_SLOW, 20 * KNL_SEC, 0);
  run (fixture, 3 * KNL_MSEC);
  sd_table_set_fault (fk_store_table (fixture->daemons.store), SD_TABLE_NORMAL, 0, 0);
  knl_paused_runtime_set_frozen (fixture->daemons.runtimes[holder], TRUE);
  run (fixture, 30 * KNL_SEC);
  begin_at (fixture, 1 - holder, "k", "b", 1, &result);
  run (fixture, KNL_SEC);
  CU_ASSERT_EQUAL (result.verdict, VERDICT (RUN));
}

/*
 * Guards against a request that is refused as not run although its record is begun, or that
 * runs twice. The table writes the record and the answer is lost, or the table is down; a
 * lost answer must not count as a failure.
 */
static void
test_lost_answers_and_outages (void)
{
  g_autoptr (Fixture) fixture = fixture_new (3);
  Result result;
  guint holder;

  sd_table_set_fault (fk_store_table (fixture->daemons.store), SD_TABLE_OUTAGE, 0, 0);
  begin_at (fixture, holder_of (fixture, "k"), "k", "a", 1, &result);
  run (fixture, 3 * KNL_SEC);
  CU_ASSERT_EQUAL (result.verdict, VERDICT (REFUSED));
  sd_table_set_fault (fk_store_table (fixture->daemons.store), SD_TABLE_LOSE_ANSWERS, 0, 1);
  begin_at (fixture, holder_of (fixture, "k"), "k", "a", 1, &result);
  run (fixture, KNL_SEC);
  CU_ASSERT_EQUAL (result.verdict, VERDICT (RUN));
  /* The time limit passes with the write's effect unknown: refused, then recorded as not run. */
  holder = holder_of (fixture, "l");
  fk_memory_platform_set_fault (fixture->daemons.platforms[holder], FK_PLATFORM_LOSES_ANSWERS);
  begin_at (fixture, holder, "l", "a", 1, &result);
  run (fixture, 2100 * KNL_MSEC);
  CU_ASSERT_EQUAL (result.verdict, VERDICT (REFUSED));
  fk_memory_platform_set_fault (fixture->daemons.platforms[holder], FK_PLATFORM_NORMAL);
  run (fixture, KNL_SEC);
  begin_at (fixture, holder, "l", "b", 1, &result);
  run (fixture, KNL_SEC);
  CU_ASSERT_EQUAL (result.verdict, VERDICT (RUN));
}

static void
test_many_requests_share_a_transaction (void)
{
  g_autoptr (Fixture) fixture = fixture_new (4);
  Result result[200];
  guint64 before;

  before = co_idem_batches (fixture->idems[0]) + co_idem_batches (fixture->idems[1]);
  for (guint i = 0; i < G_N_ELEMENTS (result); i++)
    {
      g_autofree char *key = g_strdup_printf ("k%u", i);

      begin_at (fixture, holder_of (fixture, key), key, "a", 1, &result[i]);
    }
  run (fixture, 10 * KNL_MSEC);
  for (guint i = 0; i < G_N_ELEMENTS (result); i++)
    CU_ASSERT_EQUAL (result[i].verdict, VERDICT (RUN));
  CU_ASSERT_TRUE (co_idem_batches (fixture->idems[0]) + co_idem_batches (fixture->idems[1])
                  <= before + 3);
  CU_ASSERT_TRUE (co_idem_cached (fixture->idems[0]) + co_idem_cached (fixture->idems[1]) <= 8);
}

/* The state of a key as its callers know it. */
typedef struct
{
  char name[4];
  char attempt[16];
  Result result;
  gboolean runs;    /* `attempt` got the verdict RUN and isn't recorded as not run */
  gboolean ended;   /* recorded as done */
  gboolean pending; /* the last begin or finish has no result yet */
  Alderturn__IdemState finishing;
} KeyState;

static void
handle_result (KeyState *key_state)
{
  if (!key_state->pending || key_state->result.answers == 0)
    return;
  key_state->pending = FALSE;
  if (key_state->finishing != 0)
    {
      if (key_state->result.durable)
        {
          key_state->runs = FALSE;
          key_state->ended = key_state->ended || key_state->finishing == STATE (DONE);
          key_state->finishing = 0;
        }
      return;
    }
  if (key_state->result.verdict != VERDICT (RUN))
    return;
  if (key_state->runs || key_state->ended)
    CU_FAIL ("a second attempt was told to run");
  key_state->runs = TRUE;
}

static void
begin_or_finish (Fixture *fixture, KeyState *key_state, GRand *rand, guint number)
{
  guint holder = (guint)g_rand_int_range (rand, 0, HOLDERS);

  handle_result (key_state);
  if (key_state->pending)
    return;
  key_state->pending = TRUE;
  if (key_state->runs)
    {
      if (key_state->finishing == 0)
        key_state->finishing = g_rand_int_range (rand, 0, 5) == 0 ? STATE (DONE) : STATE (NOT_RUN);
      finish_at (fixture, holder, key_state->name, key_state->attempt, key_state->finishing,
                 &key_state->result);
      return;
    }
  g_snprintf (key_state->attempt, sizeof (key_state->attempt), "t%u", number);
  begin_at (fixture, holder, key_state->name, key_state->attempt, 1, &key_state->result);
}

static void
random_fault (Fixture *fixture, GRand *rand)
{
  static const SdTableFault faults[] = { SD_TABLE_NORMAL,       SD_TABLE_NORMAL, SD_TABLE_NORMAL,
                                         SD_TABLE_LOSE_ANSWERS, SD_TABLE_SLOW,   SD_TABLE_OUTAGE };

  sd_table_set_fault (fk_store_table (fixture->daemons.store),
                      faults[g_rand_int_range (rand, 0, G_N_ELEMENTS (faults))],
                      g_rand_int_range (rand, 1, 1500) * KNL_MSEC, 2);
  knl_paused_runtime_set_frozen (fixture->daemons.runtimes[g_rand_int_range (rand, 0, HOLDERS)],
                                 g_rand_int_range (rand, 0, 3) == 0);
}

static void
test_at_most_one_attempt_runs_under_random_faults (void)
{
  for (guint32 seed = 1; seed <= 6; seed++)
    {
      g_autoptr (Fixture) fixture = fixture_new (seed);
      KeyState key_states[KEYS] = { 0 };
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      guint ended = 0;

      for (guint i = 0; i < KEYS; i++)
        g_snprintf (key_states[i].name, sizeof (key_states[i].name), "k%u", i);
      for (guint i = 0; i < 18000; i++)
        {
          if (i % 50 == 0)
            random_fault (fixture, rand);
          begin_or_finish (fixture, &key_states[g_rand_int_range (rand, 0, KEYS)], rand, i);
          run (fixture, 100 * KNL_MSEC);
        }
      for (guint i = 0; i < KEYS; i++)
        ended += key_states[i].ended ? 1 : 0;
      CU_ASSERT_TRUE (ended > 0);
    }
}

static const SuiteCase cases[] = {
  { "verdicts by table", test_verdicts_by_table },
  { "a paused holder writes nothing", test_a_paused_holder_writes_nothing },
  { "a late write of a former holder has no effect",
    test_a_late_write_of_a_former_holder_has_no_effect },
  { "lost answers and outages", test_lost_answers_and_outages },
  { "many requests share a transaction", test_many_requests_share_a_transaction },
  { "at most one attempt runs under random faults",
    test_at_most_one_attempt_runs_under_random_faults },
};

SUITE_MAIN ("co_idem", cases)
