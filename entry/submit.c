/** Admission of requests: authenticates the caller, checks the content and whether the request can
 * be served in time. */

#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "common/prefix.h"
#include "entry/core_internal.h"

/* Time after which an overloaded entry is likely to have capacity again. */
#define BUSY_RETRY_AFTER (1 * KNL_SEC)

/*
 * Weights of the two estimates that decide on a refusal. The measured rate of an engine can be off
 * by half, and a refusal is final: the service time counts by half only. The wait is raised, as
 * work on a request that then misses its limit is wasted.
 */
#define SERVICE_TIME_FRACTION 0.5
#define WAIT_FACTOR           1.25

/* Retries of a service at one entry: a tenth of its load, plus a fixed number for low load. */
#define RETRY_WINDOW (10 * KNL_SEC)
const PolBudgetRule en_retry_budget = { .ratio = 0.1,
                                        .slack = 20,
                                        .window = RETRY_WINDOW,
                                        .used_fraction = 0.75,
                                        .settle_time = RETRY_WINDOW,
                                        .settling_fraction = 0.25 };

/* Prefix blocks that are looked up in engines' caches; covers the first million tokens. */
#define MAX_BLOCKS 256

static void
index_workspace (const CoObject *object, gpointer data)
{
  EnCore *core = data;
  const char *token = co_object_string (object, "token");

  if (token != NULL)
    g_hash_table_insert (core->tokens, g_strdup (token), g_strdup (object->name));
  en_shares_set_weight (core->shares, object->name, co_object_integer (object, "weight"));
}

void
en_core_index_workspaces (EnCore *core)
{
  g_hash_table_remove_all (core->tokens);
  co_config_foreach (core->config, "workspace", index_workspace, core);
}

char *
en_core_next_id (EnCore *core)
{
  return g_strdup_printf ("%s~%" G_GUINT64_FORMAT "~%" G_GUINT64_FORMAT, core->instance,
                          core->incarnation, ++core->last_number);
}

const CoObject *
en_core_service (const EnCore *core, const char *name)
{
  return name != NULL ? co_config_find (core->config, "service", name) : NULL;
}

static gboolean
workspace_may_use (const CoObject *workspace, const char *service)
{
  json_t *names = json_object_get (workspace->fields, "services");
  size_t index;
  json_t *name;

  if (json_array_size (names) == 0)
    return TRUE;
  json_array_foreach (names, index, name)
  {
    if (g_strcmp0 (json_string_value (name), service) == 0)
      return TRUE;
  }
  return FALSE;
}

/* Context of the checks of a submission. A check that refuses fills `error` and returns FALSE. */
typedef struct
{
  EnCore *core;
  const EnSubmission *submission;
  EnRequest *request;
  const CoObject *workspace;
  const CoObject *service;
  EnError *error;
} Check;

static gboolean
refuse (Check *check, EnErrorCode code, const char *message, KnlTime retry_after)
{
  *check->error = (EnError){
    .code = code, .outcome = EN_OUTCOME_NOT_RUN, .message = message, .retry_after = retry_after
  };
  return FALSE;
}

static gboolean
check_workspace (Check *check)
{
  const char *token = check->submission->token;
  const char *name = token != NULL ? g_hash_table_lookup (check->core->tokens, token) : NULL;

  if (*co_config_revision (check->core->config) == 0)
    return refuse (check, EN_ERROR_UNAVAILABLE, "no configuration is known here yet", KNL_SEC);
  if (name == NULL)
    return refuse (check, EN_ERROR_UNAUTHORIZED, "unknown workspace token", 0);
  check->workspace = co_config_find (check->core->config, "workspace", name);
  check->request->workspace = g_strdup (name);
  en_request_set_state (check->request, EN_STATE_AUTHENTICATED);
  return TRUE;
}

static gboolean
check_draining (Check *check)
{
  if (check->core->drain < EN_DRAIN_REFUSING)
    return TRUE;
  return refuse (check, EN_ERROR_DRAINING, "this entry is leaving; use another one",
                 100 * KNL_MSEC);
}

static gboolean
check_service (Check *check)
{
  EnRequest *request = check->request;
  gboolean is_model;

  check->service = en_core_service (check->core, check->submission->service);
  if (check->service == NULL)
    return refuse (check, EN_ERROR_NOT_FOUND, "no such service", 0);
  request->service = g_strdup (check->service->name);
  if (!workspace_may_use (check->workspace, check->service->name))
    return refuse (check, EN_ERROR_FORBIDDEN, "this workspace may not use that service", 0);
  is_model = g_strcmp0 (co_object_string (check->service, "kind"), "model") == 0;
  if (is_model != (check->submission->prompt != NULL))
    return refuse (check, EN_ERROR_BAD_REQUEST, "that service is of the other kind", 0);
  request->label = g_strdup (co_object_string (check->service, "endpoints"));
  if (!is_model)
    return TRUE;
  request->model = g_strdup (co_object_string (check->service, "model"));
  request->adapter = g_strdup (co_object_string (check->service, "adapter"));
  if (request->model == NULL)
    return refuse (check, EN_ERROR_UNAVAILABLE, "that service has no model", 0);
  return TRUE;
}

static gboolean
check_content (Check *check)
{
  const EnSubmission *submission = check->submission;
  EnRequest *request = check->request;
  const CoObject *model;

  if (submission->prompt == NULL)
    return TRUE;
  request->max_tokens = submission->max_tokens;
  if (request->max_tokens == 0 || request->max_tokens > check->core->settings.max_new_tokens)
    return refuse (check, EN_ERROR_BAD_REQUEST, "max_tokens is out of bounds", 0);
  if (submission->prompt_bytes == 0)
    return refuse (check, EN_ERROR_BAD_REQUEST, "the prompt is empty", 0);
  request->need.prefill = en_tokens_of_bytes (submission->prompt_bytes);
  request->need.tokens = request->need.prefill + request->max_tokens;
  model = co_config_find (check->core->config, "model", request->model);
  if (model != NULL && request->need.tokens > (guint64)co_object_integer (model, "context-tokens"))
    return refuse (check, EN_ERROR_TOO_LARGE, "prompt and answer exceed the model's context", 0);
  request->need.is_long =
      request->need.prefill >= (guint64)co_object_integer (check->service, "long-tokens");
  request->length_class = en_length_class (request->need.prefill);
  return TRUE;
}

static gboolean
check_idempotence (Check *check)
{
  EnRequest *request = check->request;

  request->non_idempotent =
      check->submission->non_idempotent || !co_object_boolean (check->service, "idempotent");
  request->key = g_strdup (check->submission->key);
  if (!request->non_idempotent || request->key != NULL)
    return TRUE;
  return refuse (check, EN_ERROR_BAD_REQUEST,
                 "a request that is not idempotent needs an Idempotency-Key", 0);
}

static gboolean
check_in_flight (Check *check)
{
  EnCore *core = check->core;
  gint64 bound = co_object_integer (check->workspace, "max-in-flight");
  guint used = GPOINTER_TO_UINT (g_hash_table_lookup (core->in_flight, check->workspace->name));

  if (bound > 0 && used >= (guint64)bound)
    return refuse (check, EN_ERROR_OVERLOADED, "too many requests of this workspace",
                   BUSY_RETRY_AFTER);
  if (g_hash_table_size (core->requests) >= core->settings.max_in_flight
      || en_queue_length (core->queue) >= core->settings.max_queued)
    return refuse (check, EN_ERROR_OVERLOADED, "too many requests at this entry", BUSY_RETRY_AFTER);
  return TRUE;
}

static KnlTime
request_timeout (const Check *check)
{
  KnlTime timeout = check->submission->timeout;

  if (timeout <= 0)
    timeout = co_object_integer (check->service, "timeout-ms") * KNL_MSEC;
  return MIN (timeout, check->core->settings.max_timeout);
}

/* Total memory of the engines that may run the request; 0 while any engine's size is unknown. */
static guint64
fleet_capacity (const Check *check)
{
  const GPtrArray *endpoints = en_fleet_endpoints (check->core->fleet);
  guint64 sum = 0;

  for (guint i = 0; i < endpoints->len; i++)
    {
      const EnEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (!en_endpoint_is_for (endpoint, check->request->label, check->request->service,
                               check->request->need.is_long))
        continue;
      if (endpoint->capacity_tokens == 0)
        return 0;
      sum += endpoint->capacity_tokens;
    }
  return sum;
}

/* Refuses at once what can't be served in time, while the caller can still try another entry. */
static gboolean
check_deadline (Check *check)
{
  EnCore *core = check->core;
  EnRequest *request = check->request;
  KnlTime timeout = request_timeout (check);
  guint64 capacity;
  KnlTime wait;
  KnlTime expected;

  request->deadline = request->received_at + timeout;
  if (request->model == NULL)
    return TRUE;
  capacity = fleet_capacity (check);
  if (capacity > 0 && request->need.tokens > capacity)
    return refuse (check, EN_ERROR_TOO_LARGE, "the service's engines have not that much memory", 0);
  wait = en_estimates_wait (core->estimates, request->service,
                            request->need.is_long ? EN_LANE_LONG : EN_LANE_SHORT,
                            request->workspace, request->deadline);
  expected = (KnlTime)(SERVICE_TIME_FRACTION * (double)en_core_service_time (core, request)
                       + WAIT_FACTOR * (double)wait);
  if (expected <= timeout)
    return TRUE;
  return refuse (check, EN_ERROR_OVERLOADED, "it can't be served within its limit",
                 MAX (expected - timeout, BUSY_RETRY_AFTER));
}

static gboolean
run_checks (Check *check)
{
  static gboolean (*const checks[]) (Check *) = {
    check_workspace,   check_draining,  check_service,  check_content,
    check_idempotence, check_in_flight, check_deadline,
  };

  for (guint i = 0; i < G_N_ELEMENTS (checks); i++)
    {
      if (!checks[i](check))
        return FALSE;
    }
  return TRUE;
}

static guint64
fingerprint_of (const EnRequest *request, const EnSubmission *submission)
{
  guint64 seed = XXH64 (request->service, strlen (request->service), 0);

  if (submission->prompt != NULL)
    {
      seed = XXH64 (&submission->max_tokens, sizeof submission->max_tokens, seed);
      return XXH64 (submission->prompt, submission->prompt_bytes, seed);
    }
  seed = XXH64 (submission->method, strlen (submission->method), seed);
  seed = XXH64 (submission->path, strlen (submission->path), seed);
  return XXH64 (submission->body != NULL ? submission->body : "", submission->body_bytes, seed);
}

static void
copy_content (EnRequest *request, const EnSubmission *submission)
{
  request->fingerprint = fingerprint_of (request, submission);
  if (submission->prompt != NULL)
    {
      request->prompt = g_bytes_new (submission->prompt, submission->prompt_bytes);
      request->blocks = g_new (guint64, MAX_BLOCKS);
      request->n_blocks = cm_prefix_hashes (submission->prompt, submission->prompt_bytes,
                                            request->blocks, MAX_BLOCKS);
      return;
    }
  request->method = g_strdup (submission->method);
  request->path = g_strdup (submission->path);
  request->content_type = g_strdup (submission->content_type);
  request->body = g_bytes_new (submission->body, submission->body_bytes);
}

static void
note_in_budget (EnCore *core, const char *service)
{
  PolBudget *budget = g_hash_table_lookup (core->budgets, service);

  if (budget == NULL)
    {
      budget = g_new0 (PolBudget, 1);
      budget->begun_at = core->begun_at;
      g_hash_table_insert (core->budgets, g_strdup (service), budget);
    }
  pol_budget_note_request (budget, &en_retry_budget, knl_kernel_now (core->kernel));
}

static void
admit (Check *check)
{
  EnCore *core = check->core;
  EnRequest *request = check->request;
  guint used = GPOINTER_TO_UINT (g_hash_table_lookup (core->in_flight, request->workspace));

  g_hash_table_insert (core->in_flight, g_strdup (request->workspace), GUINT_TO_POINTER (used + 1));
  g_hash_table_insert (core->requests, &request->number, request);
  en_request_set_state (request, EN_STATE_ADMITTED);
  en_request_note (request, request->received_at, "admitted", "%" G_GUINT64_FORMAT " tokens, %s",
                   request->need.prefill, request->need.is_long ? "long" : "short");
  cm_series_set (core->meters->in_flight, g_hash_table_size (core->requests));
  note_in_budget (core, request->service);
  en_core_set_deadline_timer (core, request, request->deadline);
}

static void
refuse_request (EnCore *core, EnRequest *request, const EnError *error)
{
  cm_series_add (cm_metric_series (core->meters->refused,
                                   request->workspace != NULL ? request->workspace : "",
                                   en_error_name (error->code), NULL),
                 1);
  cm_log (CM_LOG_INFO, "request-refused", "s", "request", request->id, "s", "workspace",
          request->workspace, "s", "service", request->service, "s", "code",
          en_error_name (error->code), "s", "outcome", en_outcome_name (error->outcome));
  en_request_note (request, request->received_at, "refused", "%s", error->message);
  request->state = EN_STATE_ENDED;
  request->caller->klass->error (request->caller, request->id, error);
  en_history_add (core->history, request);
}

void
en_core_run (EnCore *core, EnRequest *request)
{
  if (request->model != NULL)
    en_core_enqueue (core, request);
  else
    en_core_start_plain (core, request);
}

void
en_core_begin (EnCore *core, EnRequest *request)
{
  if (en_core_refuse_quarantined (core, request))
    return;
  if (request->non_idempotent)
    en_core_start_record (core, request);
  else
    en_core_run (core, request);
}

guint64
en_core_submit (EnCore *core, const EnSubmission *submission, EnCaller *caller)
{
  char *id = en_core_next_id (core);
  EnRequest *request = en_request_new (core, core->last_number, id, knl_kernel_now (core->kernel));
  EnError error;
  Check check = { .core = core, .submission = submission, .request = request, .error = &error };
  guint64 number = request->number;

  g_free (id);
  request->caller = caller;
  if (!run_checks (&check))
    {
      refuse_request (core, request, &error);
      return 0;
    }
  copy_content (request, submission);
  admit (&check);
  en_core_begin (core, request);
  return g_hash_table_contains (core->requests, &number) ? number : 0;
}
