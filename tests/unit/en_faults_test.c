/** Failures of engines and of connections to them, in each phase of a request. */

#include <string.h>

#include "suite.h"
#include "tests/unit/en_fixture.h"

#define PROMPT "when do the barriers on Zhongshan Road go up?"
#define TOKENS 40
#define LIMIT  (60 * KNL_SEC)

/* How long callers may wait beyond their limit: no time at all on a paused clock. */
#define MARGIN 0

typedef struct
{
  const char *name;
  FkConnectionFault connection;
  guint frames;
  guint count;
  SdEngineFault engine;
  gboolean ran_once; /* the same engine continues; the request runs only once */
} FaultCase;

/*
 * Guards against a caller waiting indefinitely, or getting a partial or another request's answer.
 * The connection to the engine is refused, cut or silent in some phase of the request, or the
 * engine's frames are late, duplicated, another request's, or too few. The fault: relying on the
 * connection, or resuming a stream without checking its text.
 */
static const FaultCase fault_cases[] = {
  { "refused", FK_CONNECTION_REFUSED, 0, 1, SD_FAULT_NONE, TRUE },
  { "connects never", FK_CONNECTION_NO_CONNECT, 0, 1, SD_FAULT_NONE, TRUE },
  { "silent before the request arrives", FK_CONNECTION_NO_REQUEST, 0, 1, SD_FAULT_NONE, TRUE },
  { "silent after acceptance", FK_CONNECTION_SILENT, 1, 1, SD_FAULT_NONE, TRUE },
  { "silent in the stream", FK_CONNECTION_SILENT, 4, 1, SD_FAULT_NONE, TRUE },
  { "silent before the end", FK_CONNECTION_SILENT, FK_ALL_BUT_LAST, 1, SD_FAULT_NONE, TRUE },
  { "cut after acceptance", FK_CONNECTION_CUT, 1, 1, SD_FAULT_NONE, TRUE },
  { "cut in the stream", FK_CONNECTION_CUT, 4, 1, SD_FAULT_NONE, TRUE },
  { "cut before the end", FK_CONNECTION_CUT, FK_ALL_BUT_LAST, 1, SD_FAULT_NONE, TRUE },
  { "cut three times", FK_CONNECTION_CUT, 4, 3, SD_FAULT_NONE, TRUE },
  { "late frames", FK_CONNECTION_NORMAL, 0, 0, SD_FAULT_LATE_FRAMES, TRUE },
  { "doubled frames", FK_CONNECTION_NORMAL, 0, 0, SD_FAULT_DOUBLE_FRAMES, TRUE },
  { "another request's frames", FK_CONNECTION_NORMAL, 0, 0, SD_FAULT_WRONG_REQUEST, TRUE },
  { "a short count", FK_CONNECTION_NORMAL, 0, 0, SD_FAULT_SHORT_COUNT, TRUE },
};

static void
set_faults (EnFixture *fixture, const FaultCase *c)
{
  for (guint i = 0; i < EN_FIXTURE_ENGINES; i++)
    {
      SdEngine *engine = fk_fleet_engine (fixture->fleet, en_fixture_engine (i));

      if (c->count > 0)
        fk_fleet_set_fault (fixture->fleet, en_fixture_engine (i), c->connection, c->frames,
                            c->count);
      if (c->engine != SD_FAULT_NONE)
        sd_engine_set_fault (engine, c->engine, 2);
    }
}

static void
test_faults (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (fault_cases); i++)
    {
      const FaultCase *c = &fault_cases[i];
      g_autoptr (EnFixture) fixture = en_fixture_new (NULL);
      gboolean complete;

      set_faults (fixture, c);
      en_fixture_submit (fixture, &fixture->caller, PROMPT, TOKENS, LIMIT);
      en_fixture_wait (fixture, &fixture->caller, LIMIT + MARGIN);
      complete = en_test_caller_has_answer (&fixture->caller, PROMPT, TOKENS);
      if (!complete || fixture->caller.ended != 1
          || (c->ran_once && en_fixture_runs (fixture) != 1))
        printf ("\n  %s: ended %u, done %d, code %d, tokens %d, runs %u", c->name,
                fixture->caller.ended, fixture->caller.done, fixture->caller.code,
                (int)fixture->caller.tokens, en_fixture_runs (fixture));
      CU_ASSERT_TRUE (complete);
      CU_ASSERT_EQUAL (fixture->caller.ended, 1);
      CU_ASSERT_TRUE (!c->ran_once || en_fixture_runs (fixture) == 1);
      en_fixture_advance (fixture, 35 * KNL_SEC);
      CU_ASSERT_EQUAL (en_fixture_in_use (fixture), 0);
    }
}

/* Guards against entries that are restarted again and again, each process of which would send what
 * its engines lose again by an allowance of its own. */
static void
test_an_entry_starts_without_slack (void)
{
  g_autoptr (EnFixture) fixture = en_fixture_new_at_start ();

  en_fixture_submit (fixture, &fixture->caller, PROMPT, TOKENS, LIMIT);
  while (fixture->caller.tokens < 3)
    en_fixture_advance (fixture, 10 * KNL_MSEC);
  fk_fleet_crash (fixture->fleet, en_fixture_engine ((guint)en_fixture_busy_engine (fixture)));
  CU_ASSERT_TRUE (en_fixture_wait (fixture, &fixture->caller, LIMIT + MARGIN));
  CU_ASSERT_FALSE (en_test_caller_has_answer (&fixture->caller, PROMPT, TOKENS));
  CU_ASSERT_EQUAL (fixture->caller.ended, 1);
  CU_ASSERT_EQUAL (en_fixture_runs (fixture), 1);
}

typedef enum
{
  LOSS_CRASH,
  LOSS_RESTART,
  LOSS_FREEZE,
} EngineLoss;

/*
 * Guards against a caller with part of its answer getting the rest of a different one, or none. The
 * engine crashes, restarts or freezes while it streams; the answer must be repeated elsewhere and
 * compared with what the caller already has.
 */
static void
test_engine_lost_in_the_stream (void)
{
  static const EngineLoss losses[] = { LOSS_CRASH, LOSS_RESTART, LOSS_FREEZE };

  for (guint i = 0; i < G_N_ELEMENTS (losses); i++)
    {
      g_autoptr (EnFixture) fixture = en_fixture_new (NULL);
      int engine;

      en_fixture_submit (fixture, &fixture->caller, PROMPT, TOKENS, LIMIT);
      while (fixture->caller.tokens < 3)
        en_fixture_advance (fixture, 10 * KNL_MSEC);
      CU_ASSERT_EQUAL (fixture->caller.ended, 0);
      engine = en_fixture_busy_engine (fixture);
      if (losses[i] == LOSS_FREEZE)
        fk_fleet_set_frozen (fixture->fleet, en_fixture_engine ((guint)engine), TRUE);
      else
        fk_fleet_crash (fixture->fleet, en_fixture_engine ((guint)engine));
      if (losses[i] == LOSS_RESTART)
        fk_fleet_restart (fixture->fleet, en_fixture_engine ((guint)engine));
      CU_ASSERT_TRUE (en_fixture_wait (fixture, &fixture->caller, LIMIT + MARGIN));
      CU_ASSERT_TRUE (en_test_caller_has_answer (&fixture->caller, PROMPT, TOKENS));
      CU_ASSERT_EQUAL (fixture->uplink.crashes->len, losses[i] == LOSS_FREEZE ? 0 : 1);
      if (losses[i] == LOSS_FREEZE)
        fk_fleet_set_frozen (fixture->fleet, en_fixture_engine ((guint)engine), FALSE);
      else if (losses[i] == LOSS_CRASH)
        fk_fleet_restart (fixture->fleet, en_fixture_engine ((guint)engine));
      en_fixture_advance (fixture, 35 * KNL_SEC);
      CU_ASSERT_EQUAL (en_fixture_in_use (fixture), 0);
    }
}

typedef struct
{
  const char *name;
  FkConnectionFault fault;
  guint frames;
  gboolean frozen;
  EnErrorCode code;
  EnOutcome outcome;
} LimitCase;

/*
 * Guards against a caller waiting past its limit, or getting "not run" for a request that an engine
 * has. Every engine fails permanently in the same way; the end of the request must depend on the
 * entry's timer, not on an engine's answer.
 */
static const LimitCase limit_cases[] = {
  { "all frozen", FK_CONNECTION_NORMAL, 0, TRUE, EN_ERROR_TIMEOUT, EN_OUTCOME_UNKNOWN },
  { "all refuse", FK_CONNECTION_REFUSED, 0, FALSE, EN_ERROR_UNAVAILABLE, EN_OUTCOME_NOT_RUN },
  { "none connects", FK_CONNECTION_NO_CONNECT, 0, FALSE, EN_ERROR_TIMEOUT, EN_OUTCOME_NOT_RUN },
  { "all silent", FK_CONNECTION_SILENT, 1, FALSE, EN_ERROR_TIMEOUT, EN_OUTCOME_UNKNOWN },
};

static void
test_limits (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (limit_cases); i++)
    {
      const LimitCase *c = &limit_cases[i];
      KnlTime limit = 5 * KNL_SEC;
      KnlTime submitted_at;
      g_autoptr (EnFixture) fixture = en_fixture_new (NULL);

      for (guint e = 0; e < EN_FIXTURE_ENGINES; e++)
        {
          fk_fleet_set_fault (fixture->fleet, en_fixture_engine (e), c->fault, c->frames, 0);
          fk_fleet_set_frozen (fixture->fleet, en_fixture_engine (e), c->frozen);
        }
      submitted_at = knl_kernel_now (fixture->kernel);
      en_fixture_submit (fixture, &fixture->caller, PROMPT, TOKENS, limit);
      CU_ASSERT_TRUE (en_fixture_wait (fixture, &fixture->caller, 10 * limit));
      if (fixture->caller.code != c->code || fixture->caller.outcome != c->outcome)
        printf ("\n  %s: code %d, outcome %d", c->name, fixture->caller.code,
                fixture->caller.outcome);
      CU_ASSERT_TRUE (fixture->caller.ended_at - submitted_at <= limit + MARGIN);
      CU_ASSERT_EQUAL (fixture->caller.code, c->code);
      CU_ASSERT_EQUAL (fixture->caller.outcome, c->outcome);
      CU_ASSERT_TRUE (c->outcome != EN_OUTCOME_NOT_RUN || en_fixture_runs (fixture) == 0);
      CU_ASSERT_TRUE (fixture->caller.retry_after > 0);
      for (guint e = 0; e < EN_FIXTURE_ENGINES; e++)
        {
          fk_fleet_set_fault (fixture->fleet, en_fixture_engine (e), FK_CONNECTION_NORMAL, 0, 0);
          fk_fleet_set_frozen (fixture->fleet, en_fixture_engine (e), FALSE);
        }
      en_fixture_advance (fixture, 60 * KNL_SEC);
      CU_ASSERT_EQUAL (fixture->caller.ended, 1);
      CU_ASSERT_EQUAL (en_fixture_in_use (fixture), 0);
    }
}

static guint64
engines_in_use (EnFixture *fixture)
{
  guint64 used = 0;

  for (guint e = 0; e < EN_FIXTURE_ENGINES; e++)
    used += sd_engine_reserved_tokens (fk_fleet_engine (fixture->fleet, en_fixture_engine (e)));
  return used;
}

/*
 * Guards against an engine's memory staying in use by a request without a caller. The caller
 * disconnects or reads too slowly, and the first cancels are lost; a cancel must be repeated until
 * it is acknowledged.
 */
static void
test_lost_cancels (void)
{
  for (int slow = 0; slow <= 1; slow++)
    {
      g_autoptr (EnFixture) fixture = en_fixture_new (NULL);
      guint64 number;

      fixture->caller.refuses_tokens = slow == 1;
      number = en_fixture_submit (fixture, &fixture->caller, PROMPT, 10000, LIMIT);
      while (engines_in_use (fixture) == 0)
        en_fixture_advance (fixture, KNL_MSEC);
      for (guint e = 0; e < EN_FIXTURE_ENGINES; e++)
        fk_fleet_set_fault (fixture->fleet, en_fixture_engine (e), FK_CONNECTION_REFUSED, 0, 5);
      while (fixture->caller.tokens < 1)
        en_fixture_advance (fixture, KNL_MSEC);
      CU_ASSERT_NOT_EQUAL (engines_in_use (fixture), 0);
      if (!slow)
        en_core_caller_disconnected (fixture->core, number);
      CU_ASSERT_EQUAL (fixture->caller.ended, slow);
      en_fixture_advance (fixture, 20 * KNL_SEC);
      CU_ASSERT_EQUAL (en_fixture_in_use (fixture), 0);
    }
}

/*
 * Guards against an entry that never completes its drain and counts memory of a removed engine as
 * used. An engine crashes with a request whose caller has disconnected, and doesn't come back; its
 * cancel must not be repeated indefinitely.
 */
static void
test_cancels_to_a_removed_engine (void)
{
  g_autoptr (EnFixture) fixture = en_fixture_new (NULL);
  guint64 number;
  int engine;
  char name[] = "engine-1";

  number = en_fixture_submit (fixture, &fixture->caller, PROMPT, 10000, LIMIT);
  while (fixture->caller.tokens < 1)
    en_fixture_advance (fixture, KNL_MSEC);
  engine = en_fixture_busy_engine (fixture);
  name[strlen (name) - 1] = (char)('1' + engine);
  fk_fleet_crash (fixture->fleet, en_fixture_engine ((guint)engine));
  en_core_caller_disconnected (fixture->core, number);
  en_fixture_member (fixture, name, ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE,
                     ALDERTURN__MEMBER_STATE__MEMBER_STATE_DEAD, 0);
  en_fixture_advance (fixture, 30 * KNL_SEC);
  CU_ASSERT_NOT_EQUAL (en_fixture_in_use (fixture), 0);
  en_fixture_advance (fixture, 40 * KNL_SEC);
  CU_ASSERT_EQUAL (en_fixture_in_use (fixture), 0);
}

static const SuiteCase cases[] = {
  { "an answer is complete and the caller's own despite connection faults", test_faults },
  { "an entry starts without slack", test_an_entry_starts_without_slack },
  { "a stream continues correctly after its engine is lost", test_engine_lost_in_the_stream },
  { "no caller waits past its limit", test_limits },
  { "memory comes back when cancels are lost", test_lost_cancels },
  { "cancels to a removed engine end", test_cancels_to_a_removed_engine },
};

SUITE_MAIN ("en_faults", cases)
