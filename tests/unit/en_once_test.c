/** Requests that may run at most once, and requests that crash engines. */

#include <string.h>

#include "suite.h"
#include "tests/unit/en_fixture.h"

#define LIMIT (30 * KNL_SEC)
#define BYTES "closure 7 confirmed"

static guint64
confirm (EnFixture *fixture, EnTestCaller *caller, const char *key)
{
  EnSubmission submission = {
    .token = "t1",
    .service = "app",
    .key = key,
    .non_idempotent = TRUE,
    .timeout = LIMIT,
    .method = "POST",
    .path = "/confirm",
    .content_type = "text/plain",
    .body = BYTES,
    .body_bytes = strlen (BYTES),
  };

  return en_core_submit (fixture->core, &submission, &caller->base);
}

static guint
runs_of (EnFixture *fixture, const char *key)
{
  return sd_service_runs (fk_fleet_service (fixture->fleet, EN_FIXTURE_SERVICE), key);
}

typedef struct
{
  const char *name;
  Alderturn__IdemVerdict verdict;
  gboolean ignores_begin;
  gboolean done;
  EnErrorCode code;
  EnOutcome outcome;
  guint runs;
} VerdictCase;

/*
 * Guards against a request running twice, or one that never ran being reported as run. Its key
 * already has a record, or no record can be made; the endpoint must not be contacted before the
 * record's verdict.
 */
static const VerdictCase verdict_cases[] = {
  { "run", ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_RUN, FALSE, TRUE, 0, EN_OUTCOME_DONE, 1 },
  { "no answer", ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_RUN, TRUE, FALSE, EN_ERROR_UNAVAILABLE,
    EN_OUTCOME_NOT_RUN, 0 },
  { "busy", ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_BUSY, FALSE, FALSE, EN_ERROR_KEY_IN_USE,
    EN_OUTCOME_UNKNOWN, 0 },
  { "done", ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_DONE, FALSE, TRUE, 0, EN_OUTCOME_DONE, 0 },
  { "failed", ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_FAILED, FALSE, FALSE, EN_ERROR_ENDPOINT_FAILED,
    EN_OUTCOME_FAILED, 0 },
  { "unknown", ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_UNKNOWN, FALSE, FALSE, EN_ERROR_KEY_IN_USE,
    EN_OUTCOME_UNKNOWN, 0 },
  { "mismatch", ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_MISMATCH, FALSE, FALSE, EN_ERROR_KEY_MISMATCH,
    EN_OUTCOME_NOT_RUN, 0 },
  { "refused", ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_REFUSED, FALSE, FALSE, EN_ERROR_UNAVAILABLE,
    EN_OUTCOME_NOT_RUN, 0 },
};

static void
test_verdicts (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (verdict_cases); i++)
    {
      const VerdictCase *c = &verdict_cases[i];
      g_autoptr (EnFixture) fixture = en_fixture_new (NULL);

      fixture->uplink.verdict = c->verdict;
      fixture->uplink.ignores_begin = c->ignores_begin;
      fixture->uplink.stored = c->done && c->runs == 0 ? "kept" : NULL;
      confirm (fixture, &fixture->caller, "k");
      CU_ASSERT_TRUE (en_fixture_wait (fixture, &fixture->caller, LIMIT));
      CU_ASSERT_EQUAL (fixture->caller.done, c->done);
      CU_ASSERT_TRUE (c->done || fixture->caller.code == c->code);
      CU_ASSERT_EQUAL (fixture->caller.outcome, c->outcome);
      en_fixture_advance (fixture, 5 * KNL_SEC);
      CU_ASSERT_EQUAL (runs_of (fixture, "k"), c->runs);
      /* An attempt that may have been recorded is reported as not run, which frees the key. */
      CU_ASSERT_EQUAL (fixture->uplink.finishes, (guint)(c->runs == 1 || c->ignores_begin));
      CU_ASSERT_TRUE (!c->ignores_begin
                      || fixture->uplink.last_state == ALDERTURN__IDEM_STATE__IDEM_STATE_NOT_RUN);
    }
}

typedef struct
{
  const char *name;
  FkConnectionFault connection;
  SdServiceFault service;
  Alderturn__IdemState state;
  guint max_runs;
  gboolean done;
} EndpointCase;

/*
 * Guards against a non-idempotent call running twice. The connection is refused or cut before or
 * after the service ran the call; a call with an unknown outcome must not be repeated, and its
 * record must not say "not run".
 */
static const EndpointCase endpoint_cases[] = {
  { "refused once", FK_CONNECTION_REFUSED, SD_SERVICE_NORMAL,
    ALDERTURN__IDEM_STATE__IDEM_STATE_DONE, 1, TRUE },
  { "cut after it ran", FK_CONNECTION_NORMAL, SD_SERVICE_CUT_AFTER_RUN,
    ALDERTURN__IDEM_STATE__IDEM_STATE_UNKNOWN, 1, FALSE },
  { "never answered", FK_CONNECTION_NORMAL, SD_SERVICE_HANG,
    ALDERTURN__IDEM_STATE__IDEM_STATE_UNKNOWN, 1, FALSE },
  { "said not to run", FK_CONNECTION_NORMAL, SD_SERVICE_REFUSE,
    ALDERTURN__IDEM_STATE__IDEM_STATE_NOT_RUN, 0, FALSE },
};

static void
test_endpoint_outcomes (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (endpoint_cases); i++)
    {
      const EndpointCase *c = &endpoint_cases[i];
      g_autoptr (EnFixture) fixture = en_fixture_new (NULL);

      fk_fleet_service (fixture->fleet, EN_FIXTURE_SERVICE)->fault = c->service;
      if (c->connection != FK_CONNECTION_NORMAL)
        fk_fleet_set_fault (fixture->fleet, EN_FIXTURE_SERVICE, c->connection, 0, 1);
      confirm (fixture, &fixture->caller, "k");
      CU_ASSERT_TRUE (en_fixture_wait (fixture, &fixture->caller, LIMIT));
      en_fixture_advance (fixture, KNL_SEC);
      if (fixture->uplink.last_state != c->state)
        printf ("\n  %s: state %d", c->name, fixture->uplink.last_state);
      CU_ASSERT_EQUAL (fixture->uplink.last_state, c->state);
      CU_ASSERT_EQUAL (fixture->caller.done, c->done);
      CU_ASSERT_TRUE (runs_of (fixture, "k") <= c->max_runs);
      CU_ASSERT_EQUAL (fixture->uplink.begins, 1);
    }
}

/*
 * Guards against a retry getting "outcome unknown" for a call that succeeded. The caller's
 * connection is lost while the call runs; the call must continue without its caller, or its record
 * would end as unknown.
 */
static void
test_recorded_request_outlives_its_caller (void)
{
  g_autoptr (EnFixture) fixture = en_fixture_new (NULL);
  guint64 number;

  number = confirm (fixture, &fixture->caller, "k");
  while (runs_of (fixture, "k") == 0)
    en_fixture_advance (fixture, KNL_MSEC);
  en_core_caller_disconnected (fixture->core, number);
  en_fixture_advance (fixture, 10 * KNL_SEC);
  CU_ASSERT_EQUAL (fixture->caller.ended, 0);
  CU_ASSERT_EQUAL (fixture->uplink.last_state, ALDERTURN__IDEM_STATE__IDEM_STATE_DONE);
  CU_ASSERT_EQUAL (runs_of (fixture, "k"), 1);
}

/*
 * Guards against the caller of a request that ran getting no answer, or "not run". The holder of
 * the key's shard is down when the outcome is to be recorded; the answer must wait for the record
 * only for a limited time.
 */
static void
test_an_answer_waits_a_limited_time_for_its_record (void)
{
  g_autoptr (EnFixture) fixture = en_fixture_new (NULL);

  fixture->uplink.ignores_finish = TRUE;
  confirm (fixture, &fixture->caller, "k");
  CU_ASSERT_TRUE (en_fixture_wait (fixture, &fixture->caller, 5 * KNL_SEC));
  CU_ASSERT_TRUE (fixture->caller.done);
  CU_ASSERT_TRUE (fixture->uplink.finishes > 1);
  fixture->uplink.ignores_finish = FALSE;
  en_fixture_advance (fixture, 10 * KNL_SEC);
  CU_ASSERT_EQUAL (fixture->uplink.last_state, ALDERTURN__IDEM_STATE__IDEM_STATE_DONE);
  CU_ASSERT_EQUAL (runs_of (fixture, "k"), 1);
}

/* The complete answer of a stream that may run once is stored with its record and replayed. */
static void
test_a_stream_answer_is_replayed (void)
{
  const char *prompt = "press 300 copies of side B";
  EnSubmission submission = {
    .token = "t1",
    .service = "chat",
    .key = "k",
    .non_idempotent = TRUE,
    .timeout = LIMIT,
    .prompt = prompt,
    .prompt_bytes = strlen (prompt),
    .max_tokens = 20,
  };
  g_autoptr (EnFixture) fixture = en_fixture_new (NULL);
  g_auto (EnTestCaller) resubmitted = en_test_caller_make (fixture->kernel);

  en_core_submit (fixture->core, &submission, &fixture->caller.base);
  CU_ASSERT_TRUE (en_fixture_wait (fixture, &fixture->caller, LIMIT));
  CU_ASSERT_TRUE (en_test_caller_has_answer (&fixture->caller, prompt, 20));
  fixture->uplink.verdict = ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_DONE;
  fixture->uplink.stored = fixture->uplink.last_body->str;
  en_core_submit (fixture->core, &submission, &resubmitted.base);
  CU_ASSERT_TRUE (en_fixture_wait (fixture, &resubmitted, LIMIT));
  CU_ASSERT_TRUE (en_test_caller_has_answer (&resubmitted, prompt, 20));
  CU_ASSERT_EQUAL (en_fixture_runs (fixture), 1);
}

/*
 * Guards against retries that multiply the load when a fault hits every call. A service runs each
 * call and closes the connection without an answer; retries must stay within the service's budget.
 */
static void
test_retries_keep_to_their_budget (void)
{
  enum
  {
    CALLS = 300
  };
  EnTestCaller callers[CALLS];
  EnSubmission submission = {
    .token = "t1", .service = "app", .timeout = LIMIT, .method = "POST", .path = "/echo"
  };
  g_autoptr (EnFixture) fixture = en_fixture_new (NULL);
  SdService *service;

  service = fk_fleet_service (fixture->fleet, EN_FIXTURE_SERVICE);
  service->fault = SD_SERVICE_CUT_AFTER_RUN;
  for (guint i = 0; i < 2 * CALLS; i++)
    {
      if (i < CALLS)
        {
          callers[i] = en_test_caller_make (fixture->kernel);
          en_core_submit (fixture->core, &submission, &callers[i].base);
        }
      en_fixture_advance (fixture, KNL_SEC / 30);
      /* Simulates that there is always another endpoint that hasn't failed yet. */
      en_endpoint_note_success (en_fleet_find (en_core_fleet (fixture->core), "app-1"));
    }
  en_fixture_advance (fixture, LIMIT);
  for (guint i = 0; i < CALLS; i++)
    {
      CU_ASSERT_EQUAL (callers[i].ended, 1);
      en_test_caller_clear (&callers[i]);
    }
  /* Retries allowed: 50 at the start, a tenth of the calls, and 2 in each of 20 seconds. */
  printf ("ran %u times for %d calls ...", service->total, CALLS);
  CU_ASSERT_TRUE (service->total <= CALLS + 50 + CALLS / 10 + 40);
}

static void
set_crash_text (EnFixture *fixture, const char *text)
{
  for (guint e = 0; e < EN_FIXTURE_ENGINES; e++)
    sd_engine_set_crash (fk_fleet_engine (fixture->fleet, en_fixture_engine (e)), text);
}

static guint
count_crashed_engines (EnFixture *fixture)
{
  guint down = 0;

  for (guint e = 0; e < EN_FIXTURE_ENGINES; e++)
    down += fk_fleet_engine (fixture->fleet, en_fixture_engine (e)) == NULL;
  return down;
}

/*
 * Guards against one prompt crashing the whole fleet and failing the requests that run with it. It
 * crashes its engine, is retried on the next ones, and its caller submits it again; the crashes
 * must be attributed to the prompt.
 */
static void
test_a_crashing_request_is_quarantined (void)
{
  const char *harmless_prompt = "which streets are closed tonight?";
  const char *crashing_prompt = "lacquer list KILLS this engine";
  g_autoptr (EnFixture) fixture = en_fixture_new (NULL);
  g_auto (EnTestCaller) bystander = en_test_caller_make (fixture->kernel);
  g_auto (EnTestCaller) resubmitted = en_test_caller_make (fixture->kernel);

  set_crash_text (fixture, "KILLS");
  fk_fleet_crash (fixture->fleet, en_fixture_engine (0));
  fk_fleet_crash (fixture->fleet, en_fixture_engine (1));
  en_fixture_submit (fixture, &bystander, harmless_prompt, 400, 60 * KNL_SEC);
  while (bystander.tokens == 0)
    en_fixture_advance (fixture, 10 * KNL_MSEC);
  en_fixture_submit (fixture, &fixture->caller, crashing_prompt, 10, 60 * KNL_SEC);
  en_fixture_advance (fixture, 2 * KNL_SEC);
  CU_ASSERT_EQUAL (count_crashed_engines (fixture), 3);
  for (guint e = 0; e < EN_FIXTURE_ENGINES; e++)
    fk_fleet_restart (fixture->fleet, en_fixture_engine (e));
  set_crash_text (fixture, "KILLS");
  CU_ASSERT_TRUE (en_fixture_wait (fixture, &fixture->caller, 60 * KNL_SEC));
  CU_ASSERT_EQUAL (fixture->caller.code, EN_ERROR_QUARANTINED);
  CU_ASSERT_TRUE (en_fixture_wait (fixture, &bystander, 60 * KNL_SEC));
  CU_ASSERT_TRUE (en_test_caller_has_answer (&bystander, harmless_prompt, 400));
  CU_ASSERT_EQUAL (count_crashed_engines (fixture), 1);
  CU_ASSERT_EQUAL (fixture->uplink.crashes->len, 3);
  en_fixture_submit (fixture, &resubmitted, crashing_prompt, 10, 60 * KNL_SEC);
  CU_ASSERT_EQUAL (resubmitted.code, EN_ERROR_QUARANTINED);
  CU_ASSERT_EQUAL (resubmitted.outcome, EN_OUTCOME_NOT_RUN);
}

static const SuiteCase cases[] = {
  { "a record's verdict decides before the endpoint is contacted", test_verdicts },
  { "a call runs at most once with every fault of its endpoint", test_endpoint_outcomes },
  { "a recorded request outlives its caller", test_recorded_request_outlives_its_caller },
  { "an answer waits for its record for a limited time",
    test_an_answer_waits_a_limited_time_for_its_record },
  { "a stream's answer is stored and replayed", test_a_stream_answer_is_replayed },
  { "retries keep to their budget", test_retries_keep_to_their_budget },
  { "a crashing request is quarantined and concurrent ones are answered",
    test_a_crashing_request_is_quarantined },
};

SUITE_MAIN ("en_once", cases)
