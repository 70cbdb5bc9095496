/** The entry core's behaviour towards callers, operators and controllers. */

#include "suite.h"
#include "tests/unit/en_fixture.h"

#define LIMIT (60 * KNL_SEC)

typedef struct
{
  const char *name;
  const char *token;
  const char *service;
  gsize bytes;
  guint64 max_tokens;
  gboolean non_idempotent;
  EnErrorCode code;
} RefusalCase;

static const RefusalCase refusal_cases[] = {
  { "no token", NULL, "chat", 1, 1, FALSE, EN_ERROR_UNAUTHORIZED },
  { "wrong token", "x", "chat", 1, 1, FALSE, EN_ERROR_UNAUTHORIZED },
  { "no such service", "t1", "x", 1, 1, FALSE, EN_ERROR_NOT_FOUND },
  { "not its service", "t3", "chat", 1, 1, FALSE, EN_ERROR_FORBIDDEN },
  { "a plain service asked for tokens", "t1", "app", 1, 1, FALSE, EN_ERROR_BAD_REQUEST },
  { "empty prompt", "t1", "chat", 0, 1, FALSE, EN_ERROR_BAD_REQUEST },
  { "no tokens wanted", "t1", "chat", 1, 0, FALSE, EN_ERROR_BAD_REQUEST },
  { "too many tokens wanted", "t1", "chat", 1, 10001, FALSE, EN_ERROR_BAD_REQUEST },
  { "longer than the model's context", "t1", "chat", 4000000, 1, FALSE, EN_ERROR_TOO_LARGE },
  { "no key", "t1", "chat", 1, 1, TRUE, EN_ERROR_BAD_REQUEST },
  { "its workspace is full", "t4", "chat", 1, 1, FALSE, EN_ERROR_OVERLOADED },
};

static void
test_refusals (void)
{
  g_autofree char *text = g_strnfill (4000000, 'p');
  g_autoptr (EnFixture) fixture = en_fixture_new (NULL);
  EnSubmission full = {
    .token = "t4", .service = "chat", .prompt = "p", .prompt_bytes = 1, .max_tokens = 1
  };
  g_auto (EnTestCaller) first = en_test_caller_make (fixture->kernel);

  en_fixture_set (fixture, "workspace", "w3", "{\"token\":\"t3\",\"services\":[\"app\"]}");
  en_fixture_set (fixture, "workspace", "w4", "{\"token\":\"t4\",\"max-in-flight\":1}");
  CU_ASSERT_NOT_EQUAL (en_core_submit (fixture->core, &full, &first.base), 0);
  for (guint i = 0; i < G_N_ELEMENTS (refusal_cases); i++)
    {
      const RefusalCase *c = &refusal_cases[i];
      EnSubmission submission = {
        .token = c->token,
        .service = c->service,
        .prompt = text,
        .prompt_bytes = c->bytes,
        .max_tokens = c->max_tokens,
        .non_idempotent = c->non_idempotent,
      };
      g_auto (EnTestCaller) caller = en_test_caller_make (fixture->kernel);

      CU_ASSERT_EQUAL (en_core_submit (fixture->core, &submission, &caller.base), 0);
      if (caller.code != c->code || caller.ended != 1)
        printf ("\n  %s: ended %u, code %d", c->name, caller.ended, caller.code);
      CU_ASSERT_EQUAL (caller.ended, 1);
      CU_ASSERT_EQUAL (caller.code, c->code);
      CU_ASSERT_EQUAL (caller.outcome, EN_OUTCOME_NOT_RUN);
    }
  CU_ASSERT_TRUE (en_fixture_wait (fixture, &first, LIMIT));
  CU_ASSERT_EQUAL (en_fixture_runs (fixture), 1);
}

/*
 * Guards against an engine that is leaving getting new requests. It may advertise this itself, the
 * member list may say so, or an operator may drain it; all three must be checked. Requests that it
 * already runs continue.
 */
static void
test_a_leaving_engine_gets_no_new_work (void)
{
  for (guint variant = 0; variant < 3; variant++)
    {
      EnTestCaller callers[8];
      g_autoptr (EnFixture) fixture = en_fixture_new (NULL);

      en_fixture_submit (fixture, &fixture->caller, "running", 100, LIMIT);
      while (fixture->caller.tokens == 0)
        en_fixture_advance (fixture, 10 * KNL_MSEC);
      /* The other engines are busier, so that the leaving one would be chosen. */
      for (guint i = 0; i < 2; i++)
        {
          callers[i] = en_test_caller_make (fixture->kernel);
          en_fixture_submit (fixture, &callers[i], "new", 2000, LIMIT);
          en_fixture_advance (fixture, 100 * KNL_MSEC);
        }
      CU_ASSERT_EQUAL (en_fixture_busy_engine (fixture), 0);
      if (variant == 0)
        sd_engine_leave (fk_fleet_engine (fixture->fleet, en_fixture_engine (0)));
      else if (variant == 1)
        en_fixture_member (fixture, "engine-1", ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE,
                           ALDERTURN__MEMBER_STATE__MEMBER_STATE_LEAVING, 0);
      else
        en_fixture_set (fixture, "instance", "engine-1", "{\"state\":\"draining\"}");
      for (guint i = 2; i < G_N_ELEMENTS (callers); i++)
        {
          callers[i] = en_test_caller_make (fixture->kernel);
          en_fixture_submit (fixture, &callers[i], "new", 5, LIMIT);
        }
      for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
        {
          CU_ASSERT_TRUE (en_fixture_wait (fixture, &callers[i], LIMIT));
          CU_ASSERT_TRUE (en_test_caller_has_answer (&callers[i], "new", i < 2 ? 2000 : 5));
          en_test_caller_clear (&callers[i]);
        }
      CU_ASSERT_TRUE (en_fixture_wait (fixture, &fixture->caller, LIMIT));
      CU_ASSERT_TRUE (en_test_caller_has_answer (&fixture->caller, "running", 100));
      CU_ASSERT_EQUAL (sd_engine_ran (fk_fleet_engine (fixture->fleet, en_fixture_engine (0)))->len,
                       1);
    }
}

static void
on_drained (gpointer data)
{
  (*(guint *)data)++;
}

/*
 * Guards against callers with a valid list of entries reaching one that has stopped. The entry is
 * drained while it streams and while cached lists still contain it; it must not refuse requests
 * before those lists have expired, nor stop before its work is done.
 */
static void
test_drain_cuts_off_nothing (void)
{
  g_autoptr (EnFixture) fixture = en_fixture_new (NULL);
  guint drained = 0;
  json_t *entries;
  g_auto (EnTestCaller) with_old_list = en_test_caller_make (fixture->kernel);
  g_auto (EnTestCaller) too_late = en_test_caller_make (fixture->kernel);

  en_fixture_submit (fixture, &fixture->caller, "long stream", 500, LIMIT);
  en_core_drain (fixture->core, on_drained, &drained);
  en_core_drain (fixture->core, on_drained, &drained);
  entries = en_core_entries (fixture->core);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (entries, "entries")), 0);
  json_decref (entries);
  en_fixture_advance (fixture, 900 * KNL_MSEC);
  CU_ASSERT_TRUE (fixture->uplink.last_status.draining);
  en_fixture_submit (fixture, &with_old_list, "by an old list", 5, LIMIT);
  CU_ASSERT_TRUE (en_fixture_wait (fixture, &with_old_list, LIMIT));
  CU_ASSERT_TRUE (en_test_caller_has_answer (&with_old_list, "by an old list", 5));
  en_fixture_advance (fixture, 5 * KNL_SEC);
  en_fixture_submit (fixture, &too_late, "late", 5, LIMIT);
  CU_ASSERT_EQUAL (too_late.code, EN_ERROR_DRAINING);
  CU_ASSERT_EQUAL (too_late.outcome, EN_OUTCOME_NOT_RUN);
  CU_ASSERT_TRUE (too_late.retry_after > 0);
  CU_ASSERT_EQUAL (drained, 0);
  CU_ASSERT_TRUE (en_fixture_wait (fixture, &fixture->caller, LIMIT));
  CU_ASSERT_TRUE (en_test_caller_has_answer (&fixture->caller, "long stream", 500));
  en_fixture_advance (fixture, 5 * KNL_SEC);
  CU_ASSERT_EQUAL (drained, 1);
}

static gsize
listed_entries (EnFixture *fixture)
{
  json_auto_t *entries = en_core_entries (fixture->core);
  gsize count = json_array_size (json_object_get (entries, "entries"));

  return count;
}

/* An operator drains the entry and cancels the drain, before and after it refuses requests. */
static void
test_declared_drain (void)
{
  for (guint seconds = 1; seconds <= 10; seconds += 9)
    {
      g_autoptr (EnFixture) fixture = en_fixture_new (NULL);

      CU_ASSERT_EQUAL (listed_entries (fixture), 1);
      en_fixture_set (fixture, "instance", "e1", "{\"state\":\"draining\"}");
      CU_ASSERT_EQUAL (listed_entries (fixture), 0);
      en_fixture_advance (fixture, seconds * KNL_SEC);
      en_fixture_submit (fixture, &fixture->caller, "meanwhile", 5, LIMIT);
      CU_ASSERT_EQUAL (fixture->caller.ended, (guint)(seconds > 5));
      en_fixture_set (fixture, "instance", "e1", "{\"state\":\"serving\"}");
      CU_ASSERT_EQUAL (listed_entries (fixture), 1);
      CU_ASSERT_TRUE (en_fixture_wait (fixture, &fixture->caller, LIMIT));
      en_test_caller_clear (&fixture->caller);
      fixture->caller = en_test_caller_make (fixture->kernel);
      en_fixture_submit (fixture, &fixture->caller, "again", 5, LIMIT);
      CU_ASSERT_TRUE (en_fixture_wait (fixture, &fixture->caller, LIMIT));
      CU_ASSERT_TRUE (en_test_caller_has_answer (&fixture->caller, "again", 5));
    }
}

/*
 * Guards against prompts that exceed one engine's memory failing, or leaving memory in use on some
 * engines. Cases: no fault, an engine crashes while parts are held, the caller disconnects then.
 * The parts must be cancelled on every path.
 */
static void
test_prompts_above_one_engine (void)
{
  g_autofree char *prompt = g_strnfill ((gsize)4 * 700000, 'o');

  for (guint variant = 0; variant < 3; variant++)
    {
      g_autoptr (EnFixture) fixture = en_fixture_new (NULL);
      guint64 number;

      en_fixture_set (fixture, "service", "chat",
                      "{\"kind\":\"model\",\"endpoints\":\"gpu\",\"model\":\"m\","
                      "\"long-share\":1}");
      CU_ASSERT_TRUE (sd_engine_defaults.capacity_tokens < 700000);
      number = en_fixture_submit (fixture, &fixture->caller, prompt, 20, 600 * KNL_SEC);
      en_fixture_advance (fixture, 5 * KNL_SEC);
      CU_ASSERT_NOT_EQUAL (en_fixture_in_use (fixture), 0);
      if (variant == 1)
        {
          fk_fleet_crash (fixture->fleet, en_fixture_engine (1));
          fk_fleet_restart (fixture->fleet, en_fixture_engine (1));
        }
      if (variant == 2)
        en_core_caller_disconnected (fixture->core, number);
      else
        {
          CU_ASSERT_TRUE (en_fixture_wait (fixture, &fixture->caller, 600 * KNL_SEC));
          CU_ASSERT_TRUE (en_test_caller_has_answer (&fixture->caller, prompt, 20));
        }
      en_fixture_advance (fixture, 35 * KNL_SEC);
      CU_ASSERT_EQUAL (en_fixture_in_use (fixture), 0);
    }
}

/*
 * Guards against a prompt over 100,000 tokens timing out without an engine. It arrives while the
 * second engine is new or has no grant, and a part of the first engine is enough. The fault: a
 * reservation of a single part waited for other parts to be held, and there were none.
 */
static void
test_prompts_that_part_of_an_engine_can_hold (void)
{
  static const struct
  {
    const char *second; /* engine besides the first one of 400,000 tokens */
    gsize tokens;
  } rows[] = {
    { NULL, 150000 },   { "engine-2", 150000 }, { "engine-2", 350000 },
    { "new-2", 90000 }, { "new-2", 150000 },    { "new-2", 250000 },
  };
  static const char *const dead[] = { "engine-2", "engine-3" };

  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *prompt = g_strnfill (rows[i].tokens * 4, 'o');
      g_autoptr (EnFixture) fixture = en_fixture_new (NULL);

      en_fixture_set (fixture, "service", "chat",
                      "{\"kind\":\"model\",\"endpoints\":\"gpu\",\"model\":\"m\","
                      "\"long-share\":1}");
      for (gsize j = 0; j < G_N_ELEMENTS (dead); j++)
        en_fixture_member (fixture, dead[j], ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE,
                           ALDERTURN__MEMBER_STATE__MEMBER_STATE_DEAD, 0);
      if (rows[i].second != NULL)
        en_fixture_member (fixture, rows[i].second, ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE,
                           ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE, 0);
      en_fixture_submit (fixture, &fixture->caller, prompt, 20, 60 * KNL_SEC);
      CU_ASSERT_TRUE (en_fixture_wait (fixture, &fixture->caller, 70 * KNL_SEC));
      CU_ASSERT_TRUE (en_test_caller_has_answer (&fixture->caller, prompt, 20));
    }
}

/*
 * Guards against an entry serving nothing in a long outage. No controller answers for ten minutes
 * while short and long prompts arrive; without grants the entry must use its static shares.
 */
static void
test_outage_of_all_controllers (void)
{
  g_autofree char *prompt = g_strnfill ((gsize)4 * 100000, 'l');
  g_autoptr (EnFixture) fixture = en_fixture_new (NULL);

  fixture->uplink.down = TRUE;
  for (guint minute = 0; minute < 10; minute++)
    {
      g_auto (EnTestCaller) short_caller = en_test_caller_make (fixture->kernel);
      g_auto (EnTestCaller) long_caller = en_test_caller_make (fixture->kernel);

      en_fixture_submit (fixture, &long_caller, prompt, 5, LIMIT);
      en_fixture_submit (fixture, &short_caller, "short", 5, LIMIT);
      CU_ASSERT_TRUE (en_fixture_wait (fixture, &short_caller, LIMIT));
      CU_ASSERT_TRUE (en_test_caller_has_answer (&short_caller, "short", 5));
      CU_ASSERT_TRUE (en_fixture_wait (fixture, &long_caller, LIMIT));
      CU_ASSERT_TRUE (en_test_caller_has_answer (&long_caller, prompt, 5));
      en_fixture_advance (fixture, LIMIT);
    }
}

/*
 * Guards against callers waiting for their entire time limit under overload while few are served.
 * Three times the load that the engines can serve arrives, with a limit of 5 s; requests that can't
 * be served in time must be refused and not queued.
 */
static void
test_overload_is_refused_at_once (void)
{
  enum
  {
    SECONDS = 20,
    EACH = 30
  };
  EnTestCaller *callers = g_new0 (EnTestCaller, SECONDS * EACH);
  g_autofree char *prompt = g_strnfill ((gsize)4 * 6000, 'q');
  guint done = 0;
  guint refused_at_once = 0;
  guint late = 0;
  g_autoptr (EnFixture) fixture = en_fixture_new (NULL);

  for (guint i = 0; i < SECONDS * EACH; i++)
    {
      callers[i] = en_test_caller_make (fixture->kernel);
      /* Each prompt begins differently, so that no prefix cache helps. */
      g_snprintf (prompt, 8, "%07u", i);
      prompt[7] = ' ';
      en_fixture_submit (fixture, &callers[i], prompt, 5, 5 * KNL_SEC);
      refused_at_once += callers[i].ended > 0;
      en_fixture_advance (fixture, KNL_SEC / EACH);
    }
  en_fixture_advance (fixture, 10 * KNL_SEC);
  for (guint i = 0; i < SECONDS * EACH; i++)
    {
      CU_ASSERT_EQUAL (callers[i].ended, 1);
      done += callers[i].done;
      late += !callers[i].done && callers[i].code == EN_ERROR_TIMEOUT;
      CU_ASSERT_TRUE (callers[i].done || callers[i].retry_after > 0);
      en_test_caller_clear (&callers[i]);
    }
  /* The engines prefill 60,000 tokens a second: 10 of the 30 prompts. */
  if (done < 200 || refused_at_once < 150 || late > SECONDS * EACH / 10)
    printf ("\n  done %u, refused at once %u, late %u", done, refused_at_once, late);
  CU_ASSERT_TRUE (done >= 200);
  CU_ASSERT_TRUE (refused_at_once >= 150);
  CU_ASSERT_TRUE (late <= SECONDS * EACH / 10);
  g_free (callers);
}

/* What operators see of a request while it runs and after its end. */
static void
test_views (void)
{
  g_autoptr (EnFixture) fixture = en_fixture_new (NULL);
  json_t *rows;
  json_t *one;
  char *id;

  en_fixture_submit (fixture, &fixture->caller, "seen", 5, LIMIT);
  rows = en_core_requests (fixture->core);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (rows, "rows")), 1);
  id = g_strdup (json_string_value (
      json_object_get (json_array_get (json_object_get (rows, "rows"), 0), "request")));
  json_decref (rows);
  CU_ASSERT_TRUE (en_fixture_wait (fixture, &fixture->caller, LIMIT));
  one = en_core_request (fixture->core, id);
  CU_ASSERT_PTR_NOT_NULL_FATAL (one);
  CU_ASSERT_TRUE (json_array_size (json_object_get (one, "events")) >= 5);
  json_decref (one);
  CU_ASSERT_PTR_NULL (en_core_request (fixture->core, "e1~7~999"));
  g_free (id);
}

/* Guards against callers that get no answer as their entry's drain has reached its limit. */
static void
test_requests_at_the_limit_of_a_drain_are_answered (void)
{
  g_autoptr (EnFixture) fixture = en_fixture_new (NULL);
  guint drained = 0;
  g_auto (EnTestCaller) late = en_test_caller_make (fixture->kernel);

  en_fixture_submit (fixture, &fixture->caller, "long stream", 5000, LIMIT);
  en_fixture_advance (fixture, KNL_SEC);
  en_core_drain (fixture->core, on_drained, &drained);
  en_fixture_advance (fixture, KNL_SEC);
  en_core_end_requests (fixture->core);
  CU_ASSERT_EQUAL (fixture->caller.code, EN_ERROR_CUT);
  CU_ASSERT_EQUAL (fixture->caller.outcome, EN_OUTCOME_UNKNOWN);
  en_fixture_submit (fixture, &late, "late", 5, LIMIT);
  CU_ASSERT_EQUAL (late.code, EN_ERROR_DRAINING);
  CU_ASSERT_EQUAL (late.outcome, EN_OUTCOME_NOT_RUN);
  en_fixture_advance (fixture, 5 * KNL_SEC);
  CU_ASSERT_EQUAL (drained, 1);
}

static const SuiteCase cases[] = {
  { "what is refused, and as what", test_refusals },
  { "a leaving engine gets no new work", test_a_leaving_engine_gets_no_new_work },
  { "a drain cuts off nothing", test_drain_cuts_off_nothing },
  { "requests at the limit of a drain are answered",
    test_requests_at_the_limit_of_a_drain_are_answered },
  { "a declared drain, and its end", test_declared_drain },
  { "prompts above one engine's memory", test_prompts_above_one_engine },
  { "prompts that part of an engine can hold", test_prompts_that_part_of_an_engine_can_hold },
  { "an outage of all controllers", test_outage_of_all_controllers },
  { "overload is refused at once", test_overload_is_refused_at_once },
  { "operators' views", test_views },
};

SUITE_MAIN ("en_core", cases)
