/** Tests failures of engines, entries and a plain service during requests, with real processes. */

#include "../unit/suite.h"
#include "cluster.h"
#include "tests/standins/engine_model.h"

#include <string.h>

/* The time limit that callers set, and the tolerance for answers beyond it. */
#define LIMIT_TEXT "20000"
#define LIMIT      (20 * KNL_SEC)
#define MARGIN     (2 * KNL_SEC)

#define ENGINES       4
#define PROMPT_TOKENS 30000
#define ANSWER_TOKENS 300

#define FREEZE     "{\"mode\":\"freeze\"}"
#define FREEZE_NEW "{\"mode\":\"freeze\",\"new\":true}"
#define HEAL       "{\"mode\":\"none\"}"

/* Slow enough for faults to be injected during prefill and during decode. */
static const char *const slow_engine[] = {
  "--clock-factor", "2", "--decode-rate", "100", "--hold-ms", "600000", NULL,
};

typedef enum
{
  FAULT_KILLED,
  FAULT_STOPPED,
  FAULT_SILENT, /* connections go silent permanently; in PHASE_CONNECT new ones too */
  FAULTS,
} Fault;

typedef enum
{
  PHASE_CONNECT, /* affects all engines, before the request is sent */
  PHASE_PREFILL, /* affects the engine that runs the request, before its first token */
  PHASE_STREAM,  /* affects that engine after some tokens */
  PHASES,
} Phase;

static const char *const fault_names[] = { "killed", "stopped", "silent" };
static const char *const phase_names[] = { "connect", "prefill", "stream" };

/* A completion requested from the first entry, and its prompt. */
typedef struct
{
  HnCall *call;
  char *prompt;
} Completion;

static Completion
completion_start (HnCluster *cluster,
                  const char *unique,
                  guint tokens,
                  guint max,
                  const char *limit)
{
  gsize bytes = MAX ((gsize)tokens * 4, strlen (unique));
  Completion completion = { .prompt = g_strnfill (bytes, 'x') };
  char *body;

  memcpy (completion.prompt, unique, strlen (unique));
  body = g_strdup_printf ("{\"service\":\"letters\",\"prompt\":\"%s\",\"max_tokens\":%u,"
                          "\"stream\":true}",
                          completion.prompt, max);
  completion.call =
      hn_call_start (cluster->harness, &(HnRequest){ .address = cluster->instances[0].entry.address,
                                                     .method = "POST",
                                                     .path = "/v1/completions",
                                                     .token = HN_TOKEN,
                                                     .timeout_ms = limit,
                                                     .body = body });
  g_free (body);
  return completion;
}

static void
completion_clear (Completion *completion)
{
  hn_call_free (completion->call);
  g_free (completion->prompt);
}

/* The concatenated text of all token events in `body`. */
static GString *
streamed_text (const char *body)
{
  GString *text = g_string_new (NULL);
  char **lines = g_strsplit (body, "\n", -1);

  for (guint i = 0; lines[i] != NULL; i++)
    {
      json_t *data =
          g_str_has_prefix (lines[i], "data: ") ? json_loads (lines[i] + 6, 0, NULL) : NULL;
      const char *part = json_string_value (json_object_get (data, "text"));

      if (part != NULL)
        g_string_append (text, part);
      json_decref (data);
    }
  g_strfreev (lines);
  return text;
}

typedef enum
{
  ANSWER_COMPLETE,
  ANSWER_ERROR, /* ended by an error event; the tokens before it are the start of the answer */
  ANSWER_WRONG, /* has wrong tokens, is cut without an error, or hasn't ended at the limit */
} Answer;

/* Waits for the end of the answer, at most for the limit plus the margin. */
static Answer
completion_await (Completion *completion)
{
  gboolean over = hn_call_await (completion->call, LIMIT + MARGIN);
  const char *body = hn_call_body (completion->call);
  GString *text = streamed_text (body);
  GString *expected = g_string_new (NULL);
  Answer answer = ANSWER_WRONG;

  sd_answer_append (expected, sd_prompt_hash (completion->prompt, strlen (completion->prompt)), 0,
                    ANSWER_TOKENS);
  if (!over)
    answer = ANSWER_WRONG;
  else if (strstr (body, "event: done") != NULL && g_string_equal (text, expected))
    answer = ANSWER_COMPLETE;
  else if (strstr (body, "\"error\":{") != NULL && g_str_has_prefix (expected->str, text->str))
    answer = ANSWER_ERROR;
  if (answer == ANSWER_WRONG)
    printf ("[over %d, status %d, %u of %u bytes] ", over, hn_call_status (completion->call),
            (guint)text->len, (guint)expected->len);
  g_string_free (text, TRUE);
  g_string_free (expected, TRUE);
  return answer;
}

/* The index of the engine that runs the entry's only request; -1 when it was never sent to one. */
static int
await_engine (HnCluster *cluster, const Completion *completion)
{
  HnRequest request = { .address = cluster->instances[0].entry.address,
                        .path = "/v1/operator/requests",
                        .token = HN_OPERATOR };
  KnlTime end = knl_kernel_now (cluster->harness->kernel) + HN_TIMEOUT;
  int found = -1;

  while (found < 0 && knl_kernel_now (cluster->harness->kernel) < end
         && !hn_call_await (completion->call, 5 * KNL_MSEC))
    {
      json_t *answer = NULL;
      json_t *row;
      const char *engine;

      hn_request (cluster->harness, &request, &answer);
      row = json_array_get (json_object_get (answer, "rows"), 0);
      engine = json_string_value (json_object_get (row, "engine"));
      if (engine != NULL && g_str_has_prefix (engine, "engine-"))
        found = engine[strlen ("engine-")] - '0';
      json_decref (answer);
    }
  return found;
}

static void
begin_fault (HnCluster *cluster, guint engine, Fault fault, gboolean new_ones)
{
  HnNode *node = &cluster->engines[engine];

  if (fault == FAULT_KILLED)
    hn_kill (node->process);
  else if (fault == FAULT_STOPPED)
    hn_signal (node->process, SIGSTOP);
  else
    hn_fault (cluster, node, new_ones ? FREEZE_NEW : FREEZE);
}

static void
end_fault (HnCluster *cluster, guint engine, Fault fault)
{
  HnNode *node = &cluster->engines[engine];

  if (fault == FAULT_KILLED)
    hn_cluster_start_engine (cluster, engine);
  else if (fault == FAULT_STOPPED)
    hn_signal (node->process, SIGCONT);
  else
    hn_fault (cluster, node, HEAL);
}

/* Repeats a request until it is answered completely, as before the fault. */
static void
await_healthy (HnCluster *cluster, const char *unique)
{
  Answer answer = ANSWER_WRONG;

  for (guint tries = 0; answer != ANSWER_COMPLETE && tries < 30; tries++)
    {
      Completion completion = completion_start (cluster, unique, 1000, ANSWER_TOKENS, LIMIT_TEXT);

      answer = completion_await (&completion);
      completion_clear (&completion);
      hn_run_for (cluster->harness, answer != ANSWER_COMPLETE ? KNL_SEC : 0);
    }
  CU_ASSERT_EQUAL (answer, ANSWER_COMPLETE);
}

static void
check_engine_fault (HnCluster *cluster, Fault fault, Phase phase)
{
  guint first = 0;
  guint last = ENGINES - 1;
  char unique[32];
  Completion completion;
  Answer answer;

  g_snprintf (unique, sizeof unique, "%s %s ", fault_names[fault], phase_names[phase]);
  for (guint i = 0; phase == PHASE_CONNECT && i < ENGINES; i++)
    begin_fault (cluster, i, fault, TRUE);
  completion = completion_start (cluster, unique, PROMPT_TOKENS, ANSWER_TOKENS, LIMIT_TEXT);
  if (phase == PHASE_STREAM)
    CU_ASSERT_TRUE (hn_call_await_text (completion.call, "\"offset\":20"));
  if (phase != PHASE_CONNECT)
    {
      int engine = await_engine (cluster, &completion);

      CU_ASSERT_TRUE_FATAL (engine >= 0 && engine < ENGINES);
      first = last = (guint)engine;
      begin_fault (cluster, first, fault, FALSE);
      CU_ASSERT_PTR_NULL (strstr (hn_call_body (completion.call), "event: done"));
      CU_ASSERT_EQUAL (strstr (hn_call_body (completion.call), "\"offset\"") != NULL,
                       phase == PHASE_STREAM);
    }
  answer = completion_await (&completion);
  if (answer != (phase == PHASE_CONNECT ? ANSWER_ERROR : ANSWER_COMPLETE))
    printf ("[%s: answer %d: %.300s] ", unique, answer, hn_call_body (completion.call));
  CU_ASSERT_EQUAL (answer, phase == PHASE_CONNECT ? ANSWER_ERROR : ANSWER_COMPLETE);
  completion_clear (&completion);
  for (guint i = first; i <= last; i++)
    end_fault (cluster, i, fault);
  await_healthy (cluster, unique);
}

/*
 * Guards against a caller that waits past its limit, or receives a mixed or silently cut answer.
 * Engines are killed, stopped, or their connections go silent permanently: all engines before the
 * request, or the one that runs it, before its first token or between two. It comes about when an
 * instance waits for the end of a connection that is never closed, or continues an answer of one
 * engine with that of another without comparing them.
 */
static void
test_an_answer_is_complete_or_an_error_within_its_limit (void)
{
  HnCluster *cluster = hn_cluster_new (&(HnClusterOptions){
      .engines = ENGINES, .proxies = HN_PROXY_ENGINE, .engine_arguments = slow_engine });

  for (guint fault = 0; fault < FAULTS; fault++)
    for (guint phase = 0; phase < PHASES; phase++)
      check_engine_fault (cluster, (Fault)fault, (Phase)phase);
  CU_ASSERT_TRUE (hn_cluster_free (cluster));
}

typedef struct
{
  HnCluster *cluster;
  gboolean is_used; /* the expected state */
} Memory;

/* Whether the engines report memory in use, or none, as expected. */
static gboolean
memory_use_is (gpointer data)
{
  const Memory *wanted = data;
  HnCluster *cluster = wanted->cluster;
  json_int_t used = 0;

  for (guint i = 0; i < cluster->options.engines; i++)
    {
      json_t *report = NULL;

      hn_request (cluster->harness,
                  &(HnRequest){ .address = cluster->engines[i].address, .path = "/v1/load" },
                  &report);
      /* Cached tokens don't count: the prefix cache frees them when a request needs the memory. */
      used += json_integer_value (json_object_get (report, "used_tokens"))
              - json_integer_value (json_object_get (report, "cached_tokens"));
      used += (json_int_t)json_array_size (json_object_get (report, "running"));
      json_decref (report);
    }
  hn_run_for (cluster->harness, 100 * KNL_MSEC);
  return (used > 0) == wanted->is_used;
}

/*
 * Guards against engine memory that stays in use after an entry died: the entry is killed while it
 * streams a long answer, and a new process replaces it. The engine keeps a request for
 * ten minutes after its connection closed and would go on with it, and no other process knows of
 * the request to cancel it.
 */
static void
test_memory_of_a_killed_entry_is_freed (void)
{
  HnCluster *cluster = hn_cluster_new (&(HnClusterOptions){ .engine_arguments = slow_engine });
  Memory wanted = { cluster, TRUE };
  Completion completion = completion_start (cluster, "long answer", 20000, 30000, "600000");

  CU_ASSERT_TRUE (hn_call_await_text (completion.call, "\"offset\":20"));
  CU_ASSERT_TRUE (hn_await (cluster->harness, HN_TIMEOUT, memory_use_is, &wanted));
  hn_kill (cluster->instances[0].entry.process);
  hn_cluster_start_entry (cluster, 0);
  wanted.is_used = FALSE;
  CU_ASSERT_TRUE (hn_await (cluster->harness, HN_TIMEOUT, memory_use_is, &wanted));
  completion_clear (&completion);
  CU_ASSERT_TRUE (hn_cluster_free (cluster));
}

static json_int_t
runs_of (HnCluster *cluster, const char *key)
{
  char *path = g_strconcat ("/ran?key=", key, NULL);
  json_t *answer = NULL;
  json_int_t ran;

  hn_request (cluster->harness, &(HnRequest){ .address = cluster->service.address, .path = path },
              &answer);
  ran = json_integer_value (json_object_get (answer, "ran"));
  json_decref (answer);
  g_free (path);
  return ran;
}

static HnCall *
confirm (HnCluster *cluster, guint entry, const char *key)
{
  return hn_call_start (cluster->harness,
                        &(HnRequest){ .address = cluster->instances[entry].entry.address,
                                      .method = "POST",
                                      .path = "/s/desk/confirm",
                                      .token = HN_TOKEN,
                                      .key = key,
                                      .timeout_ms = LIMIT_TEXT,
                                      .body = "{}" });
}

typedef struct
{
  const char *name;
  const char *service_fault; /* fault of the service, or NULL */
  const char *platform;      /* fault of the platform, or NULL */
  gboolean kills_entry;      /* the first entry is killed once the service has run the call */
  int runs;                  /* expected number of executions; -1: at most one */
} OnceRow;

static const OnceRow once_rows[] = {
  { "no fault", NULL, NULL, FALSE, 1 },
  { "the answer of the table lost", NULL, "{\"mode\":\"lose-answers\",\"count\":2}", FALSE, -1 },
  { "the table down", NULL, "{\"mode\":\"outage\"}", FALSE, 0 },
  { "the desk's answer lost", "{\"mode\":\"cut-after-run\"}", NULL, FALSE, 1 },
  { "the desk refuses", "{\"mode\":\"refuse\"}", NULL, FALSE, 0 },
  { "its entry killed", "{\"mode\":\"slow\",\"ms\":3000}", NULL, TRUE, 1 },
};

typedef struct
{
  HnCluster *cluster;
  const char *key;
} Ran;

static gboolean
has_run (gpointer data)
{
  const Ran *ran = data;

  return runs_of (ran->cluster, ran->key) > 0;
}

/* The outcome that a caller received: '.' none, 'd' done, 'n' not run, 'u' anything else. */
static char
confirm_await (HnCall *call)
{
  CU_ASSERT_TRUE (hn_call_await (call, LIMIT + MARGIN));
  if (hn_call_status (call) == 0)
    return '.';
  if (hn_call_status (call) == 200)
    return 'd';
  return strstr (hn_call_body (call), "\"not-run\"") != NULL ? 'n' : 'u';
}

static void
check_once (HnCluster *cluster, const OnceRow *row, guint round)
{
  char *key = g_strdup_printf ("order-%u", round);
  HnCall *calls[4];
  char outcomes[G_N_ELEMENTS (calls) + 1] = { 0 };
  json_int_t ran;

  if (row->service_fault != NULL)
    hn_fault (cluster, &cluster->service, row->service_fault);
  if (row->platform != NULL)
    hn_fault (cluster, &cluster->platform, row->platform);
  calls[0] = confirm (cluster, 0, key);
  if (row->kills_entry)
    {
      CU_ASSERT_TRUE (hn_await (cluster->harness, HN_TIMEOUT, has_run,
                                &(Ran){ .cluster = cluster, .key = key }));
      hn_kill (cluster->instances[0].entry.process);
    }
  calls[1] = confirm (cluster, 1, key);
  outcomes[0] = confirm_await (calls[0]);
  outcomes[1] = confirm_await (calls[1]);
  if (row->kills_entry)
    hn_cluster_start_entry (cluster, 0);
  if (row->kills_entry)
    CU_ASSERT_TRUE (
        hn_await_status (cluster->harness, cluster->instances[0].entry.address, "/readyz", 200));
  /* Both callers repeat their request. */
  for (guint i = 2; i < G_N_ELEMENTS (calls); i++)
    calls[i] = confirm (cluster, i - 2, key);
  for (guint i = 2; i < G_N_ELEMENTS (calls); i++)
    outcomes[i] = confirm_await (calls[i]);
  ran = runs_of (cluster, key);
  printf ("[%s: outcomes %s, ran %d] ", row->name, outcomes, (int)ran);
  CU_ASSERT_TRUE (ran <= 1);
  CU_ASSERT_TRUE (row->runs < 0 || ran == row->runs);
  CU_ASSERT_TRUE (ran == 1 || strchr (outcomes, 'd') == NULL);
  CU_ASSERT_TRUE (ran == 0 || strspn (outcomes, "n") < G_N_ELEMENTS (calls));
  if (row->service_fault != NULL)
    hn_fault (cluster, &cluster->service, HEAL);
  if (row->platform != NULL)
    hn_fault (cluster, &cluster->platform, HEAL);
  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    hn_call_free (calls[i]);
  g_free (key);
}

/*
 * Guards against a non-idempotent call that is executed twice, or executed although its caller
 * received "not-run". One Idempotency-Key is sent through two entries at the same time, and again
 * through both; the service or the table fails in between, or the entry is killed after the service
 * has the call. It comes about when an attempt runs without a record that the other entry sees, or
 * when an attempt without an answer is treated as one that didn't run.
 */
static void
test_a_confirmation_runs_at_most_once (void)
{
  HnCluster *cluster = hn_cluster_new (&(HnClusterOptions){ 0 });

  for (guint i = 0; i < G_N_ELEMENTS (once_rows); i++)
    for (guint round = 0; round < 1; round++)
      check_once (cluster, &once_rows[i], 2 * i + round);
  CU_ASSERT_TRUE (hn_cluster_free (cluster));
}

static const SuiteCase cases[] = {
  { "an answer is whole or an error within its limit",
    test_an_answer_is_complete_or_an_error_within_its_limit },
  { "memory of a killed entry comes back", test_memory_of_a_killed_entry_is_freed },
  { "a confirmation runs at most once", test_a_confirmation_runs_at_most_once },
};

SUITE_MAIN ("promises", cases)
