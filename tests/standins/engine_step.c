#include "tests/standins/engine_internal.h"

#include <math.h>
#include <xxhash.h>

/* Maximum number of tokens in one frame. */
#define MAX_FRAME_TOKENS 256

/* Maximum work in one step, in steps: a stopped process doesn't make up for the time it missed. */
#define MAX_STEP_FACTOR 4

guint64
sd_prompt_hash (const char *prompt, gsize bytes)
{
  return XXH64 (prompt, bytes, 0);
}

void
sd_answer_append (GString *text, guint64 prompt_hash, guint64 from, guint64 to)
{
  for (guint64 k = from; k < to; k++)
    g_string_append_printf (text, "%08x ", XXH32 (&prompt_hash, sizeof prompt_hash, (guint32)k));
}

void
sd_engine_send (Request *request, SdFrameType type, guint64 offset, guint64 count, const char *text)
{
  SdFrame frame = {
    .type = type, .request = request->id, .offset = offset, .count = count, .text = text
  };
  SdReaderFunc reader = request->reader;

  if (type == SD_FRAME_END || type == SD_FRAME_ERROR)
    request->reader = NULL;
  if (reader != NULL)
    reader (&frame, request->reader_data);
}

static void
send_tokens (Request *request, guint64 from, guint64 to)
{
  g_autoptr (GString) text = g_string_new (NULL);

  sd_answer_append (text, request->prompt_hash, from, to);
  sd_engine_send (request, SD_FRAME_TOKENS, from, to - from, text->str);
}

static void
send_foreign (Request *request, guint64 from)
{
  SdFrame frame = {
    .type = SD_FRAME_TOKENS, .request = "other~1~1", .offset = from, .count = 1, .text = "foreign "
  };

  request->reader (&frame, request->reader_data);
}

static void
send_late (Request *request)
{
  guint64 from = request->late_from;
  guint64 to = request->late_to;

  request->late_from = 0;
  request->late_to = 0;
  if (to > from)
    send_tokens (request, from, to);
}

static void
send_with_faults (SdEngine *engine, Request *request, guint64 from, guint64 to)
{
  gboolean last = to == request->max_tokens;

  if (last && sd_engine_consume_fault (engine, SD_FAULT_SHORT_COUNT))
    return;
  if (!last && request->late_to == 0 && sd_engine_consume_fault (engine, SD_FAULT_LATE_FRAMES))
    {
      request->late_from = from;
      request->late_to = to;
      return;
    }
  if (sd_engine_consume_fault (engine, SD_FAULT_WRONG_REQUEST))
    send_foreign (request, from);
  if (request->reader != NULL && sd_engine_consume_fault (engine, SD_FAULT_DOUBLE_FRAMES))
    send_tokens (request, from, to);
  send_tokens (request, from, to);
  send_late (request);
}

void
sd_engine_deliver (SdEngine *engine, Request *request)
{
  while (request->reader != NULL && request->sent < request->produced)
    {
      guint64 from = request->sent;

      request->sent = MIN (request->produced, from + MAX_FRAME_TOKENS);
      send_with_faults (engine, request, from, request->sent);
    }
  if (request->reader == NULL)
    return;
  if (request->state == REQUEST_HELD)
    sd_engine_send (request, SD_FRAME_HELD, 0, request->memory, NULL);
  if (request->state == REQUEST_HELD || request->state == REQUEST_ENDED)
    sd_engine_send (request, SD_FRAME_END, 0, request->produced,
                    request->state == REQUEST_HELD ? "held" : "stop");
}

void
sd_engine_release (SdEngine *engine, Request *request)
{
  if (request->state == REQUEST_WAITING)
    engine->waiting--;
  else if (request->state != REQUEST_ENDED)
    {
      g_assert (engine->reserved_tokens >= request->memory);
      engine->reserved_tokens -= request->memory;
      engine->used_slots--;
    }
  if (request->state == REQUEST_DECODE)
    sd_prefix_cache_add (engine->cache, request->blocks,
                         engine->settings.capacity_tokens - engine->reserved_tokens);
  request->state = REQUEST_ENDED;
  request->unread_since = knl_kernel_now (engine->kernel);
}

void
sd_engine_drop (SdEngine *engine, Request *request)
{
  g_hash_table_remove (engine->by_id, request->id);
  g_ptr_array_remove (engine->requests, request);
}

static void
start_request (SdEngine *engine, Request *request)
{
  guint64 free_tokens =
      engine->settings.capacity_tokens - engine->reserved_tokens - request->memory;
  guint64 cached;
  SdRan ran = { .request = g_strdup (request->id), .prompt_hash = request->prompt_hash };

  engine->waiting--;
  engine->used_slots++;
  engine->reserved_tokens += request->memory;
  cached = sd_prefix_cache_match (engine->cache, request->blocks);
  sd_prefix_cache_shrink (engine->cache, free_tokens);
  request->prefill_left = MAX (request->prefill_left - (double)cached, 1);
  request->state = REQUEST_PREFILL;
  request->ran = (int)engine->ran->len;
  g_array_append_val (engine->ran, ran);
  engine->crashed = engine->crashed || request->crashes;
}

/* The first request that doesn't fit blocks all behind it, as in engines that serve in order. */
void
sd_engine_start_waiting (SdEngine *engine)
{
  for (guint i = 0; i < engine->requests->len && engine->waiting > 0; i++)
    {
      Request *request = g_ptr_array_index (engine->requests, i);

      if (request->state != REQUEST_WAITING)
        continue;
      if (engine->used_slots >= engine->settings.slots)
        return;
      if (engine->reserved_tokens + request->memory > engine->settings.capacity_tokens)
        {
          engine->memory_waits += engine->head_waits ? 0 : 1;
          engine->head_waits = TRUE;
          return;
        }
      engine->head_waits = FALSE;
      start_request (engine, request);
    }
}

static void
prefill (SdEngine *engine, double budget)
{
  for (guint i = 0; i < engine->requests->len && budget > 0; i++)
    {
      Request *request = g_ptr_array_index (engine->requests, i);
      double processed;

      if (request->state != REQUEST_PREFILL)
        continue;
      processed = MIN (budget, request->prefill_left);
      budget -= processed;
      request->prefill_left -= processed;
      if (request->prefill_left > 0)
        continue;
      request->state = request->hold ? REQUEST_HELD : REQUEST_DECODE;
      request->produced = request->hold ? 0 : 1;
      request->unread_since = knl_kernel_now (engine->kernel);
    }
}

static void
decode (SdEngine *engine, double tokens)
{
  for (guint i = 0; i < engine->requests->len; i++)
    {
      Request *request = g_ptr_array_index (engine->requests, i);

      if (request->state != REQUEST_DECODE)
        continue;
      request->decoded = MIN (request->decoded + tokens, (double)request->max_tokens);
      request->produced = MIN ((guint64)floor (request->decoded) + 1, request->max_tokens);
      ((SdRan *)&g_array_index (engine->ran, SdRan, request->ran))->tokens = request->produced;
    }
}

static void
finish (SdEngine *engine, Request *request)
{
  SdRan *ran = &g_array_index (engine->ran, SdRan, request->ran);

  ran->tokens = request->produced;
  ran->finished = TRUE;
  sd_engine_release (engine, request);
}

static void
deliver_all (SdEngine *engine)
{
  for (guint i = 0; i < engine->requests->len; i++)
    {
      Request *request = g_ptr_array_index (engine->requests, i);

      if (request->state == REQUEST_DECODE && request->produced == request->max_tokens)
        finish (engine, request);
      if (request->reader != NULL && request->state > REQUEST_PREFILL)
        sd_engine_deliver (engine, request);
    }
}

static void
expire_unread (SdEngine *engine)
{
  KnlTime cutoff = knl_kernel_now (engine->kernel) - engine->settings.hold_timeout;

  for (guint i = engine->requests->len; i-- > 0;)
    {
      Request *request = g_ptr_array_index (engine->requests, i);

      if (request->reader != NULL || request->unread_since > cutoff)
        continue;
      sd_engine_release (engine, request);
      sd_engine_drop (engine, request);
    }
}

static gboolean
has_work (const SdEngine *engine)
{
  for (guint i = 0; i < engine->requests->len; i++)
    {
      const Request *request = g_ptr_array_index (engine->requests, i);

      if (request->state == REQUEST_PREFILL || request->state == REQUEST_DECODE)
        return TRUE;
    }
  return FALSE;
}

static void
on_step (gpointer data)
{
  SdEngine *engine = data;
  KnlTime now = knl_kernel_now (engine->kernel);
  KnlTime passed = MIN (now - engine->stepped_at, MAX_STEP_FACTOR * engine->settings.step);
  double seconds = (double)passed / (double)KNL_SEC * engine->settings.clock_factor;

  engine->timer = 0;
  engine->stepped_at = now;
  expire_unread (engine);
  decode (engine, seconds * engine->settings.decode_rate);
  prefill (engine, seconds * engine->settings.prefill_rate);
  deliver_all (engine);
  sd_engine_start_waiting (engine);
  sd_engine_changed (engine);
  if (engine->crashed && engine->host != NULL)
    engine->host->crash (engine->host_data);
  else
    sd_engine_schedule (engine);
}

void
sd_engine_schedule (SdEngine *engine)
{
  gboolean busy = engine->waiting > 0 || has_work (engine);
  KnlTime idle_step = MIN (engine->settings.hold_timeout / 4, KNL_SEC);

  if (busy && engine->timer_is_idle)
    {
      knl_timer_stop (engine->kernel, &engine->timer);
      engine->stepped_at = knl_kernel_now (engine->kernel);
    }
  if (engine->timer != 0 || engine->requests->len == 0)
    return;
  engine->timer_is_idle = !busy;
  engine->timer =
      knl_timer_start (engine->kernel, busy ? engine->settings.step : idle_step, on_step, engine);
}
