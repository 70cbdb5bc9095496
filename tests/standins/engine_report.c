#include "tests/standins/engine_internal.h"

/* Number of snapshots taken within the lag. */
#define SNAPSHOTS_PER_LAG 4

static void
running_clear (gpointer data)
{
  g_free (((EpRunning *)data)->request);
}

void
sd_snapshot_free (gpointer data)
{
  Snapshot *snapshot = data;

  g_array_unref (snapshot->running);
  g_free (snapshot);
}

static void
add_request (Snapshot *snapshot, const Request *request)
{
  EpRunning running = { .tokens = request->memory };

  if (request->state == REQUEST_WAITING || request->state == REQUEST_PREFILL)
    snapshot->report.prefill_backlog += (guint64)request->prefill_left;
  if (request->state == REQUEST_WAITING || request->state == REQUEST_ENDED)
    return;
  running.request = g_strdup (request->id);
  g_array_append_val (snapshot->running, running);
}

static Snapshot *
snapshot_new (SdEngine *engine)
{
  Snapshot *snapshot = g_new0 (Snapshot, 1);
  const SdEngineSettings *settings = &engine->settings;
  guint64 cached = sd_prefix_cache_tokens (engine->cache);
  gboolean loading = sd_engine_is_loading (engine);

  snapshot->taken_at = knl_kernel_now (engine->kernel);
  snapshot->running = g_array_new (FALSE, FALSE, sizeof (EpRunning));
  g_array_set_clear_func (snapshot->running, running_clear);
  snapshot->report = (EpReport){
    .incarnation = settings->incarnation,
    .capacity_tokens = settings->capacity_tokens,
    .used_tokens = engine->reserved_tokens + cached,
    .cached_tokens = cached,
    .capacity_slots = (guint)settings->slots,
    .used_slots = engine->used_slots,
    .waiting = engine->waiting,
    .prefill_rate = settings->prefill_rate * settings->clock_factor,
    .decode_rate = settings->decode_rate * settings->clock_factor,
    .fence = engine->fence,
    .model = loading ? "" : settings->model,
    .adapter = loading ? "" : settings->adapter,
    .role = settings->role,
    .leaving = engine->leaving,
    .checks_fence = settings->checks_fence,
  };
  for (guint i = 0; i < engine->requests->len; i++)
    add_request (snapshot, g_ptr_array_index (engine->requests, i));
  snapshot->report.running = (const EpRunning *)(gpointer)snapshot->running->data;
  snapshot->report.n_running = snapshot->running->len;
  return snapshot;
}

void
sd_engine_changed (SdEngine *engine)
{
  KnlTime now = knl_kernel_now (engine->kernel);
  KnlTime lag = engine->settings.load_lag;
  const Snapshot *last = g_queue_peek_tail (&engine->snapshots);

  engine->changed_at = now;
  if (last != NULL && now - last->taken_at < lag / SNAPSHOTS_PER_LAG)
    return;
  g_queue_push_tail (&engine->snapshots, snapshot_new (engine));
  /* Keep one snapshot older than the lag: reports are answered from it. */
  while (g_queue_get_length (&engine->snapshots) > 1
         && now - ((Snapshot *)g_queue_peek_nth (&engine->snapshots, 1))->taken_at >= lag)
    sd_snapshot_free (g_queue_pop_head (&engine->snapshots));
}

static const Snapshot *
lagging_snapshot (const SdEngine *engine, KnlTime until)
{
  const Snapshot *best = NULL;

  for (GList *l = engine->snapshots.head; l != NULL; l = l->next)
    {
      const Snapshot *snapshot = l->data;

      if (best == NULL || snapshot->taken_at <= until)
        best = snapshot;
    }
  return best;
}

const EpReport *
sd_engine_report (SdEngine *engine)
{
  KnlTime now = knl_kernel_now (engine->kernel);
  KnlTime until = now - engine->settings.load_lag;
  const Snapshot *old = lagging_snapshot (engine, until);

  g_clear_pointer (&engine->answer, sd_snapshot_free);
  engine->answer = snapshot_new (engine);
  engine->answer->report.age = 0;
  if (old == NULL || engine->changed_at <= until)
    return &engine->answer->report;
  engine->answer->report = old->report;
  engine->answer->report.age = now - old->taken_at;
  return &engine->answer->report;
}
