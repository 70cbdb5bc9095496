#include "tests/standins/engine_internal.h"

#include <string.h>

/* Size of an adapter's weights as a fraction of its model's. */
#define ADAPTER_WEIGHT_FRACTION 0.01

const SdEngineSettings sd_engine_defaults = {
  .incarnation = 1,
  .capacity_tokens = 400000,
  .slots = 32,
  .max_waiting = 64,
  .prefill_rate = 20000,
  .decode_rate = 50,
  .transfer_rate = 500000,
  .clock_factor = 1,
  .step = 20 * KNL_MSEC,
  .hold_timeout = 30 * KNL_SEC,
  .load_lag = 500 * KNL_MSEC,
  .cache_lag = 500 * KNL_MSEC,
  .cache_gap_percent = 2,
  .model_load_time = 5 * KNL_SEC,
  .weight_bytes = 14e9,
  .max_short_prompt_tokens = 32768,
  .checks_fence = TRUE,
  .role = "any",
};

const char *
sd_admission_name (SdAdmission admission)
{
  static const char *const names[] = { "accepted", "leaving",   "busy",  "role",
                                       "model",    "duplicate", "import" };

  return names[admission];
}

static void
request_free (gpointer data)
{
  Request *request = data;

  g_array_unref (request->blocks);
  g_free (request->id);
  g_free (request);
}

static void
ran_clear (gpointer data)
{
  g_free (((SdRan *)data)->request);
}

static const char *
intern (const char *text)
{
  return g_intern_string (text != NULL ? text : "");
}

SdEngine *
sd_engine_new (KnlKernel *kernel,
               const SdEngineSettings *settings,
               const SdEngineHost *host,
               gpointer data)
{
  SdEngine *engine = g_new0 (SdEngine, 1);

  engine->kernel = kernel;
  engine->host = host;
  engine->host_data = data;
  engine->imports = g_hash_table_new_full (g_direct_hash, g_direct_equal, sd_import_free, NULL);
  engine->settings = *settings;
  engine->settings.model = intern (settings->model);
  engine->settings.adapter = intern (settings->adapter);
  engine->settings.role = g_intern_string (settings->role != NULL ? settings->role : "any");
  engine->requests = g_ptr_array_new_with_free_func (request_free);
  engine->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  engine->ran = g_array_new (FALSE, FALSE, sizeof (SdRan));
  g_array_set_clear_func (engine->ran, ran_clear);
  engine->cache = sd_prefix_cache_new (kernel, settings->cache_lag, settings->cache_gap_percent);
  engine->changed_at = knl_kernel_now (kernel);
  engine->stepped_at = engine->changed_at;
  g_queue_init (&engine->snapshots);
  sd_engine_changed (engine);
  return engine;
}

void
sd_engine_free (SdEngine *engine)
{
  if (engine == NULL)
    return;
  knl_timer_stop (engine->kernel, &engine->timer);
  g_hash_table_unref (engine->imports);
  g_hash_table_unref (engine->by_id);
  g_ptr_array_unref (engine->requests);
  g_array_unref (engine->ran);
  sd_prefix_cache_free (engine->cache);
  g_queue_clear_full (&engine->snapshots, sd_snapshot_free);
  g_clear_pointer (&engine->answer, sd_snapshot_free);
  g_free (engine->crash_text);
  g_free (engine);
}

void
sd_engine_set_fault (SdEngine *engine, SdEngineFault fault, guint count)
{
  engine->fault = fault;
  engine->fault_count = count;
  engine->fault_counts = count > 0;
}

gboolean
sd_engine_consume_fault (SdEngine *engine, SdEngineFault fault)
{
  if (engine->fault != fault)
    return FALSE;
  if (engine->fault_counts && --engine->fault_count == 0)
    engine->fault = SD_FAULT_NONE;
  return TRUE;
}

void
sd_engine_set_crash (SdEngine *engine, const char *text)
{
  g_free (engine->crash_text);
  engine->crash_text = g_strdup (text);
}

void
sd_engine_set_load_lag (SdEngine *engine, KnlTime lag)
{
  engine->settings.load_lag = lag;
}

SdPrefixCache *
sd_engine_cache (SdEngine *engine)
{
  return engine->cache;
}

gboolean
sd_engine_is_loading (const SdEngine *engine)
{
  return engine->weights_missing || knl_kernel_now (engine->kernel) < engine->model_ready_at;
}

static gboolean
model_fits (const SdEngine *engine, const SdRequest *request)
{
  if (engine->settings.any_model)
    return TRUE;
  if (sd_engine_is_loading (engine))
    return FALSE;
  if (request->model != NULL && *request->model != '\0'
      && g_strcmp0 (request->model, engine->settings.model) != 0)
    return FALSE;
  return request->adapter == NULL || *request->adapter == '\0'
         || g_strcmp0 (request->adapter, engine->settings.adapter) == 0;
}

static guint64
tokens_of (const SdRequest *request)
{
  return request->prompt_tokens > 0 ? request->prompt_tokens : (request->prompt_bytes + 3) / 4;
}

static SdAdmission
admit (const SdEngine *engine, const SdRequest *request)
{
  if (g_hash_table_contains (engine->by_id, request->request))
    return SD_DUPLICATE;
  if (engine->leaving)
    return SD_LEAVING;
  if (!model_fits (engine, request))
    return SD_WRONG_MODEL;
  if (strcmp (engine->settings.role, "short") == 0
      && tokens_of (request) > engine->settings.max_short_prompt_tokens)
    return SD_WRONG_ROLE;
  return engine->waiting >= engine->settings.max_waiting ? SD_BUSY : SD_ACCEPTED;
}

static gboolean
has_text (const SdRequest *request, const char *text)
{
  return text != NULL
         && memmem (request->prompt, request->prompt_bytes, text, strlen (text)) != NULL;
}

static Request *
request_new (SdEngine *engine, const SdRequest *from)
{
  Request *request = g_new0 (Request, 1);
  guint64 imported = MIN (from->imported_tokens, tokens_of (from));
  gboolean full = !from->hold && imported == 0;

  request->id = g_strdup (from->request);
  request->prompt_hash = sd_prompt_hash (from->prompt, from->prompt_bytes);
  request->blocks = sd_prompt_blocks (from->prompt, full ? from->prompt_bytes : 0);
  request->prompt_tokens = tokens_of (from);
  request->imported_tokens = imported;
  request->max_tokens = from->hold ? 0 : MAX (from->max_tokens, 1);
  request->priority = from->priority;
  request->hold = from->hold;
  request->crashes = has_text (from, engine->crash_text);
  request->memory = request->prompt_tokens - imported + request->max_tokens;
  request->prefill_left =
      (double)(request->prompt_tokens - imported)
      + (double)imported * engine->settings.prefill_rate / engine->settings.transfer_rate;
  request->ran = -1;
  request->unread_since = knl_kernel_now (engine->kernel);
  return request;
}

static void
insert_in_order (SdEngine *engine, Request *request)
{
  guint at = engine->requests->len;

  while (at > 0
         && ((Request *)g_ptr_array_index (engine->requests, at - 1))->priority < request->priority)
    at--;
  g_ptr_array_insert (engine->requests, (gint)at, request);
  g_hash_table_insert (engine->by_id, request->id, request);
}

SdAdmission
sd_engine_generate (SdEngine *engine, const SdRequest *from, SdReaderFunc reader, gpointer data)
{
  SdAdmission admission = admit (engine, from);
  Request *request;

  if (admission != SD_ACCEPTED)
    return admission;
  request = request_new (engine, from);
  request->reader = reader;
  request->reader_data = data;
  insert_in_order (engine, request);
  engine->waiting++;
  sd_engine_send (request, SD_FRAME_ACCEPTED, 0, 0, NULL);
  if (request->memory > engine->settings.capacity_tokens)
    sd_engine_fail (engine, request->id, "out-of-memory");
  sd_engine_start_waiting (engine);
  sd_engine_changed (engine);
  sd_engine_schedule (engine);
  if (json_array_size (from->imports) > 0)
    sd_engine_watch_imports (engine, from->request, from->imports);
  return SD_ACCEPTED;
}

gboolean
sd_engine_resume (SdEngine *engine,
                  const char *id,
                  guint64 offset,
                  SdReaderFunc reader,
                  gpointer data)
{
  Request *request = g_hash_table_lookup (engine->by_id, id);

  if (request == NULL || offset > request->produced)
    return FALSE;
  sd_engine_send (request, SD_FRAME_ERROR, 0, 0, "superseded");
  request->reader = reader;
  request->reader_data = data;
  request->sent = offset;
  sd_engine_send (request, SD_FRAME_ACCEPTED, 0, 0, NULL);
  sd_engine_deliver (engine, request);
  return TRUE;
}

void
sd_engine_detach (SdEngine *engine, const char *id, gpointer data)
{
  Request *request = g_hash_table_lookup (engine->by_id, id);

  if (request == NULL || request->reader == NULL || request->reader_data != data)
    return;
  request->reader = NULL;
  request->unread_since = knl_kernel_now (engine->kernel);
}

static void
end_with_error (SdEngine *engine, Request *request, const char *error)
{
  sd_engine_release (engine, request);
  sd_engine_send (request, SD_FRAME_ERROR, 0, 0, error);
  sd_engine_drop (engine, request);
  sd_engine_changed (engine);
  sd_engine_schedule (engine);
}

gboolean
sd_engine_cancel (SdEngine *engine, const char *id)
{
  Request *request = g_hash_table_lookup (engine->by_id, id);

  if (request == NULL)
    return FALSE;
  end_with_error (engine, request, "cancelled");
  return TRUE;
}

void
sd_engine_fail (SdEngine *engine, const char *id, const char *error)
{
  Request *request = g_hash_table_lookup (engine->by_id, id);

  if (request != NULL && request->state != REQUEST_ENDED)
    end_with_error (engine, request, error);
}

gboolean
sd_engine_export (SdEngine *engine, const char *id, guint64 *tokens)
{
  Request *request = g_hash_table_lookup (engine->by_id, id);

  if (request == NULL || request->state != REQUEST_HELD)
    return FALSE;
  request->unread_since = knl_kernel_now (engine->kernel);
  *tokens = request->memory;
  return TRUE;
}

gboolean
sd_engine_import (SdEngine *engine, const char *id, guint64 tokens)
{
  Request *request;

  if (g_hash_table_contains (engine->by_id, id)
      || engine->reserved_tokens + tokens > engine->settings.capacity_tokens
      || engine->used_slots >= engine->settings.slots)
    return FALSE;
  request = g_new0 (Request, 1);
  request->id = g_strdup (id);
  request->blocks = sd_prompt_blocks (NULL, 0);
  request->state = REQUEST_HELD;
  request->memory = tokens;
  request->ran = -1;
  request->unread_since = knl_kernel_now (engine->kernel);
  insert_in_order (engine, request);
  engine->reserved_tokens += tokens;
  engine->used_slots++;
  sd_prefix_cache_shrink (engine->cache,
                          engine->settings.capacity_tokens - engine->reserved_tokens);
  sd_engine_changed (engine);
  sd_engine_schedule (engine);
  return TRUE;
}

static void
load (SdEngine *engine, const char *model, const char *adapter)
{
  const SdEngineSettings *settings = &engine->settings;
  gboolean full = model != settings->model;
  KnlTime min_load_time = (KnlTime)((double)settings->model_load_time / settings->clock_factor);

  engine->model_ready_at = knl_kernel_now (engine->kernel) + min_load_time;
  engine->settings.model = model;
  engine->settings.adapter = adapter;
  if (engine->host == NULL || settings->weight_bytes <= 0)
    return;
  /* An adapter is useless without its model's weights: a pending fetch of the model is restarted.
   */
  full = full || engine->weights_missing;
  engine->weights_missing = TRUE;
  engine->host->fetch_weights (full ? model : adapter,
                               settings->weight_bytes * (full ? 1 : ADAPTER_WEIGHT_FRACTION),
                               engine->host_data);
}

void
sd_engine_receive_weights (SdEngine *engine)
{
  engine->weights_missing = FALSE;
  sd_engine_changed (engine);
}

gboolean
sd_engine_order (SdEngine *engine, const EpOrder *order, guint64 *fence)
{
  gboolean stale = engine->settings.checks_fence && order->fence < engine->fence;

  *fence = engine->fence;
  if (stale)
    return FALSE;
  if (intern (order->model) != engine->settings.model
      || intern (order->adapter) != engine->settings.adapter)
    load (engine, intern (order->model), intern (order->adapter));
  engine->fence = order->fence;
  engine->settings.any_model = FALSE;
  engine->settings.role = g_intern_string (order->role != NULL ? order->role : "any");
  *fence = engine->fence;
  sd_engine_changed (engine);
  return TRUE;
}

void
sd_engine_leave (SdEngine *engine)
{
  engine->leaving = TRUE;
  sd_engine_changed (engine);
}

gboolean
sd_engine_is_idle (const SdEngine *engine)
{
  return engine->waiting == 0 && engine->used_slots == 0;
}

const GArray *
sd_engine_ran (const SdEngine *engine)
{
  return engine->ran;
}

guint64
sd_engine_reserved_tokens (const SdEngine *engine)
{
  return engine->reserved_tokens;
}

guint64
sd_engine_memory_waits (const SdEngine *engine)
{
  return engine->memory_waits;
}
