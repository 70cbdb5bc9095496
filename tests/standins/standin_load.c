/** standin-load: load generator; sends requests to entries and reports results by prompt length. */

#include "tests/standins/completion_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_ATTEMPTS      3
#define RETRY_DELAY       (100 * KNL_MSEC)
#define MAX_ENTRIES_POLLS 50
#define REQUEST_TIMEOUT_S 5

typedef struct
{
  const char *name;
  guint percent;
  gint32 min_length;
  gint32 max_length;
} LengthClass;

/* Distribution of the users' prompt lengths: one in fifty is longer than 100,000 tokens. */
static const LengthClass classes[] = {
  { "4k", 70, 1000, 4000 },
  { "16k", 20, 4001, 16000 },
  { "100k", 8, 16001, 100000 },
  { "1m", 2, 100001, 1000000 },
};

typedef struct
{
  GArray *first_tokens; /* KnlTime */
  guint started;
  guint complete;
  guint wrong;
  guint retries;
  json_t *outcomes; /* "outcome/code": count */
} ClassResult;

typedef struct
{
  SdServer server;
  char *entry_addresses; /* this and the fields up to `seed` are settings */
  char *workspace_tokens;
  char *service;
  gboolean once;
  gint64 prompt_tokens;
  gint64 max_tokens;
  gint64 timeout_ms;
  double rate;
  gint64 count;
  gint64 duration_ms;
  gint64 seed;
  char **tokens;
  char **seeds;    /* addresses of entries from the command line */
  json_t *entries; /* latest list of entries, initially the seeds */
  KnlTime entries_expire_at;
  gboolean polling;
  guint failed_polls; /* consecutive failed requests for the list of entries */
  GQueue waiting;     /* Call that wait for a fresh list of entries */
  GRand *rand;
  guint started;
  guint running;
  KnlTime started_at;
  gboolean once_complete;
  ClassResult results[G_N_ELEMENTS (classes)];
} Program;

static const CmSetting settings[] = {
  SD_TEXT (Program,
           "entry-address",
           entry_addresses,
           NULL,
           "Initial entries, IP:PORT, separated by commas"),
  SD_TEXT (Program, "token", workspace_tokens, NULL, "Workspace tokens, separated by commas"),
  SD_TEXT (Program, "service", service, NULL, "Name of the service"),
  SD_FLAG (Program, "once", once, "Request one completion of --tokens and print its result"),
  SD_NUMBER (Program, "tokens", prompt_tokens, "1000", "Length of the prompt of --once"),
  SD_NUMBER (Program, "max-tokens", max_tokens, "20", "Length of an answer"),
  SD_NUMBER (Program, "timeout-ms", timeout_ms, "60000", "Timeout of a request"),
  SD_RATE (Program, "rate", rate, "10", "Requests started per second"),
  SD_NUMBER (Program, "count", count, "100", "Total number of requests"),
  SD_NUMBER (Program, "duration-ms", duration_ms, "60000", "No request is started later"),
  SD_NUMBER (Program, "seed", seed, "1", "Seed of lengths and prompts"),
  { .name = NULL },
};

typedef struct
{
  Program *program;
  guint class_index;
  guint attempts;
  char *prompt;
  const char *token;
} Call;

static void start_call (gpointer data);
static void poll_entries (gpointer data);
static void finish_call (Call *call, const SdCompletionResult *result);

static const char *
pick_entry (Program *program)
{
  gint32 count = (gint32)json_array_size (program->entries);
  gint32 index = g_rand_int_range (program->rand, 0, count);

  return sd_json_text (json_array_get (program->entries, (size_t)index), "address", "");
}

static void
store_entries (Program *program, json_t *list, KnlTime ttl)
{
  json_decref (program->entries);
  program->entries = json_incref (list);
  program->entries_expire_at = knl_kernel_now (program->server.kernel) + ttl;
}

static void
on_entries (int status, json_t *body, gpointer data)
{
  Program *program = data;
  json_t *list = json_object_get (body, "entries");
  const SdCompletionResult none = {
    .request = "", .outcome = "no-entries", .code = "", .first_token = -1
  };
  gboolean is_valid = status == 200 && json_array_size (list) > 0;
  GQueue waiting = program->waiting;
  Call *call;

  program->polling = FALSE;
  if (!is_valid && ++program->failed_polls < MAX_ENTRIES_POLLS)
    {
      knl_timer_start (program->server.kernel, RETRY_DELAY, poll_entries, program);
      return;
    }
  if (is_valid)
    store_entries (program, list, sd_json_number (body, "keep_ms", 1000) * KNL_MSEC);
  program->failed_polls = 0;
  g_queue_init (&program->waiting);
  while ((call = g_queue_pop_head (&waiting)) != NULL)
    {
      if (is_valid)
        start_call (call);
      else
        finish_call (call, &none);
    }
}

/* All entries of the latest list may have been replaced meanwhile: alternate with the seeds. */
static void
poll_entries (gpointer data)
{
  Program *program = data;
  guint seeds = g_strv_length (program->seeds);
  const char *address = program->failed_polls % 2 == 0
                            ? pick_entry (program)
                            : program->seeds[program->failed_polls / 2 % seeds];

  if (program->polling)
    return;
  program->polling = TRUE;
  sd_server_request (&program->server, address, EVHTTP_REQ_GET, "/v1/entries", NULL,
                     REQUEST_TIMEOUT_S, on_entries, program);
}

static void
count_outcome (ClassResult *result, const SdCompletionResult *completion)
{
  char *name = g_strconcat (completion->outcome, *completion->code != '\0' ? "/" : "",
                            completion->code, NULL);
  json_int_t count = json_integer_value (json_object_get (result->outcomes, name));

  json_object_set_new (result->outcomes, name, json_integer (count + 1));
  g_free (name);
  result->complete += completion->complete ? 1 : 0;
  result->wrong += completion->wrong ? 1 : 0;
  if (completion->first_token >= 0)
    g_array_append_val (result->first_tokens, completion->first_token);
}

static double
milliseconds (KnlTime time)
{
  return (double)time / (double)KNL_MSEC;
}

static void
print_json (json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT | JSON_PRESERVE_ORDER | JSON_REAL_PRECISION (6));

  puts (text);
  free (text);
  json_decref (object);
}

static void
print_once (const SdCompletionResult *r)
{
  print_json (json_pack ("{s:s, s:s, s:s, s:I, s:b, s:b, s:f, s:f}", "request", r->request,
                         "outcome", r->outcome, "code", r->code, "tokens", (json_int_t)r->tokens,
                         "whole", r->complete, "wrong", r->wrong, "first_token_ms",
                         milliseconds (r->first_token), "total_ms", milliseconds (r->total)));
}

static gboolean
may_start_more (const Program *program)
{
  KnlTime passed = knl_kernel_now (program->server.kernel) - program->started_at;

  if (program->once)
    return program->started < 1;
  return program->started < program->count && passed < program->duration_ms * KNL_MSEC;
}

static void
end_call (Call *call)
{
  Program *program = call->program;

  g_free (call->prompt);
  g_free (call);
  program->running--;
  if (program->running == 0 && !may_start_more (program))
    sd_server_stop (&program->server);
}

/* A request that certainly did not run is sent to another entry, as callers are told to do. */
static gboolean
retry_if_not_run (Call *call, const SdCompletionResult *result)
{
  Program *program = call->program;
  gboolean not_run = result->unreachable || strcmp (result->code, "draining") == 0;

  if (!not_run || call->attempts >= MAX_ATTEMPTS)
    return FALSE;
  program->results[call->class_index].retries++;
  program->entries_expire_at = 0;
  knl_timer_start (program->server.kernel, RETRY_DELAY, start_call, call);
  return TRUE;
}

static void
finish_call (Call *call, const SdCompletionResult *result)
{
  Program *program = call->program;

  count_outcome (&program->results[call->class_index], result);
  if (program->once)
    print_once (result);
  program->once_complete = result->complete;
  end_call (call);
}

static void
on_completion (const SdCompletionResult *result, gpointer data)
{
  if (!retry_if_not_run (data, result))
    finish_call (data, result);
}

static void
start_call (gpointer data)
{
  Call *call = data;
  Program *program = call->program;
  SdCompletion completion = {
    .token = call->token,
    .service = program->service,
    .prompt = call->prompt,
    .max_tokens = (guint64)program->max_tokens,
    .timeout_ms = program->timeout_ms,
  };

  if (knl_kernel_now (program->server.kernel) >= program->entries_expire_at)
    {
      g_queue_push_tail (&program->waiting, call);
      if (program->failed_polls == 0)
        poll_entries (program);
      return;
    }
  completion.address = pick_entry (program);
  call->attempts++;
  sd_completion_start (&program->server, &completion, on_completion, call);
}

static guint
pick_class (Program *program)
{
  guint roll = (guint)g_rand_int_range (program->rand, 0, 100);
  guint i = 0;

  while (i + 1 < G_N_ELEMENTS (classes) && roll >= classes[i].percent)
    roll -= classes[i++].percent;
  return i;
}

static guint
class_of (gint64 tokens)
{
  guint i = 0;

  while (i + 1 < G_N_ELEMENTS (classes) && tokens > classes[i].max_length)
    i++;
  return i;
}

static void
start_next (gpointer data)
{
  Program *program = data;
  const LengthClass *class;
  Call *call;
  gint64 tokens;

  if (!may_start_more (program))
    {
      if (program->running == 0)
        sd_server_stop (&program->server);
      return;
    }
  call = g_new0 (Call, 1);
  call->program = program;
  call->class_index = program->once ? class_of (program->prompt_tokens) : pick_class (program);
  class = &classes[call->class_index];
  tokens = program->once ? program->prompt_tokens
                         : g_rand_int_range (program->rand, class->min_length, class->max_length);
  call->prompt = sd_prompt_new ((guint64)tokens, g_rand_int (program->rand));
  call->token = program->tokens[program->started % g_strv_length (program->tokens)];
  program->results[call->class_index].started++;
  program->started++;
  program->running++;
  start_call (call);
  knl_timer_start (program->server.kernel, (KnlTime)((double)KNL_SEC / MAX (program->rate, 0.001)),
                   start_next, program);
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  KnlTime x = *(const KnlTime *)a;
  KnlTime y = *(const KnlTime *)b;

  return x < y ? -1 : x > y;
}

static double
percentile (const GArray *sorted, guint percent)
{
  if (sorted->len == 0)
    return -1;
  return milliseconds (g_array_index (sorted, KnlTime, (sorted->len - 1) * percent / 100));
}

static json_t *
class_to_json (const LengthClass *class, ClassResult *result)
{
  g_array_sort (result->first_tokens, compare_times);
  return json_pack ("{s:s, s:i, s:i, s:i, s:i, s:f, s:f, s:f, s:O}", "class", class->name,
                    "started", (int)result->started, "whole", (int)result->complete, "wrong",
                    (int)result->wrong, "retries", (int)result->retries, "first_token_p50_ms",
                    percentile (result->first_tokens, 50), "first_token_p90_ms",
                    percentile (result->first_tokens, 90), "first_token_p99_ms",
                    percentile (result->first_tokens, 99), "outcomes", result->outcomes);
}

static void
print_results (Program *program)
{
  json_t *list = json_array ();

  for (guint i = 0; i < G_N_ELEMENTS (classes); i++)
    json_array_append_new (list, class_to_json (&classes[i], &program->results[i]));
  print_json (json_pack ("{s:i, s:I, s:o}", "started", (int)program->started, "seed",
                         (json_int_t)program->seed, "classes", list));
}

static gboolean
start (gpointer data)
{
  Program *program = data;

  program->seeds = g_strsplit (program->entry_addresses, ",", -1);
  program->tokens = g_strsplit (program->workspace_tokens, ",", -1);
  program->entries = json_array ();
  program->rand = g_rand_new_with_seed ((guint32)program->seed);
  for (guint i = 0; program->seeds[i] != NULL; i++)
    json_array_append_new (program->entries, json_pack ("{s:s}", "address", program->seeds[i]));
  for (guint i = 0; i < G_N_ELEMENTS (classes); i++)
    {
      program->results[i].first_tokens = g_array_new (FALSE, FALSE, sizeof (KnlTime));
      program->results[i].outcomes = json_object ();
    }
  g_queue_init (&program->waiting);
  program->started_at = knl_kernel_now (program->server.kernel);
  start_next (program);
  return TRUE;
}

static void
clear (gpointer data)
{
  Program *program = data;

  if (!program->once)
    print_results (program);
  program->server.status = program->once && !program->once_complete ? 1 : 0;
  for (guint i = 0; i < G_N_ELEMENTS (classes); i++)
    {
      g_array_unref (program->results[i].first_tokens);
      json_decref (program->results[i].outcomes);
    }
  g_strfreev (program->tokens);
  g_strfreev (program->seeds);
  json_decref (program->entries);
  g_rand_free (program->rand);
}

static const SdProgram load_program = {
  .name = "standin-load",
  .summary = "Callers of alderturn's entries, for tests.",
  .settings = settings,
  .start = start,
  .clear = clear,
};

int
main (int argc, char **argv)
{
  Program program = { 0 };

  return sd_server_main (&program.server, &load_program, argc, argv);
}
