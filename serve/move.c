/**
 * Migrates streams with a tight gap objective to another engine when a long prompt
 * is to be prefilled at theirs. The cost is the prefill of a short prompt at the
 * new engine. Packing short streams onto some engines doesn't suffice: when short
 * prompts become fewer, streams remain on engines that long prompts need.
 */

#include "common/log.h"
#include "serve/core_internal.h"
#include "serve/engine_model.h"

/* Random delay of a migration. All streams of an engine are notified of a prefill at the same time
 * and would choose the same target; the choice of one is known to the others after some 5 ms. */
#define MIGRATION_JITTER (30 * KNL_MSEC)

/* A gap is expected to exceed what callers tolerate from this fraction of it on: expectations may
 * be short by the rest. */
#define LATE_FRACTION 0.9

/* Gap expected at the current engine: its prefill backlog, the new part included, and a pass. */
static KnlTime
expected_gap (const SvRequest *self)
{
  SvEndpoint *endpoint = self->placement.first;
  KnlTime now = sv_request_now (self);
  SvLoad load = sv_endpoint_load (endpoint, now);
  double pass = sv_model_pass_ms (&self->service->engine, sv_load_decoding_streams (&load),
                                  (double)load.tokens);

  return sv_endpoint_prefill_left (endpoint, now)
         + (KnlTime)(pass * endpoint->pace.factor * KNL_MSEC);
}

static KnlTime
max_gap (const SvRequest *self)
{
  return (KnlTime)(LATE_FRACTION * (double)self->route->gap_objective);
}

static gboolean
can_migrate (const SvRequest *self)
{
  return self->exchange != NULL && self->last_event_at > 0 && self->route->resumable
         && !sv_core_has_stale_zones (self->core)
         && sv_gap_class_of (self->route->gap_objective) == SV_GAP_TIGHT
         && self->runs + 1 < self->route->max_attempts && sv_service_is_engine (self->service)
         && expected_gap (self) > max_gap (self);
}

static void
on_move_due (gpointer data)
{
  SvRequest *self = data;
  SvPlacement placement;
  KnlTime gap;

  self->migrate_timer = 0;
  if (!can_migrate (self) || !sv_request_has_retry_left (self))
    return;
  gap = sv_request_now (self) - self->last_event_at;
  if (!sv_request_try_place (self, self->placement.first, &placement)
      || gap + placement.expected > max_gap (self))
    return;
  cm_log (CM_LOG_INFO, "stream-moved", "s", "request", self->params.id, "s", "endpoint",
          self->placement.first->id, "s", "to", placement.first->id, "i", "gap-us", gap, "i",
          "expected-gap-us", expected_gap (self), "i", "expected-us", placement.expected);
  sv_request_cancel_send (self);
  sv_request_handle_loss (self, "made-way", POL_END_LOST);
}

static gboolean
is_prefilled_at (const SvRequest *self, const guint64 *keys, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      if (self->placement.first != NULL && self->placement.first->key == keys[i])
        return TRUE;
    }
  return FALSE;
}

void
sv_core_note_prefill (const SvPrefill *prefill, const guint64 *keys, guint n, gpointer data)
{
  SvCore *self = data;
  KnlKernel *kernel = self->parts.kernel;
  GHashTableIter iter;
  gpointer key;

  if (!prefill->until_ended)
    return;
  g_hash_table_iter_init (&iter, self->requests);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      SvRequest *request = key;

      if (request->migrate_timer != 0 || !is_prefilled_at (request, keys, n)
          || !can_migrate (request))
        continue;
      request->migrate_timer =
          knl_timer_start (kernel, g_rand_int_range (knl_kernel_rand (kernel), 0, MIGRATION_JITTER),
                           on_move_due, request);
    }
}
