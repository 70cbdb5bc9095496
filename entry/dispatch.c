/** Dispatch of queued requests to engines. */

#include "common/log.h"
#include "entry/core_internal.h"

/* How long a request waits for free capacity before an engine is kept free for it. */
#define HOLD_DELAY (200 * KNL_MSEC)

/* How long a request waits while no engine of its service is usable. */
#define NO_ENGINE_TIMEOUT (2 * KNL_SEC)

/* How long a request waits while a usable engine is large enough, but no holder of its shard grants
 * enough. By then the lease and grants of a lost holder have lapsed, and the next holder grants. */
#define NO_HOLDER_TIMEOUT (15 * KNL_SEC)

static EnRoute
route_of (EnCore *core, const EnRequest *request)
{
  return (EnRoute){
    .label = request->label,
    .service = request->service,
    .zone = core->zone,
    .need = request->need,
    .number = request->number,
    .blocks = request->blocks,
    .n_blocks = request->n_blocks,
    .now = knl_kernel_now (core->kernel),
  };
}

void
en_core_release_holds (EnCore *core, const EnRequest *request)
{
  const GPtrArray *endpoints = en_fleet_endpoints (core->fleet);

  for (guint i = 0; i < endpoints->len; i++)
    {
      EnEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (endpoint->held_for == request->number)
        endpoint->held_for = 0;
    }
}

static void
count_prefill (EnRequest *request, EnEndpoint *endpoint, guint64 tokens)
{
  g_free (request->endpoint);
  request->endpoint = g_strdup (endpoint->name);
  request->prefill_ahead = request->need.is_long
                               ? endpoint->pending_prefill
                               : endpoint->pending_prefill - endpoint->pending_long;
  request->pending_prefill = tokens;
  request->pending_epoch = endpoint->epoch;
  endpoint->pending_prefill += tokens;
  endpoint->recent_tokens += tokens;
  if (request->need.is_long)
    endpoint->pending_long += tokens;
}

/* The engine's cache will soon hold this prompt; the engine's cache events correct it later. */
static void
add_prefixes (EnEndpoint *endpoint, const EnRequest *request)
{
  for (gsize i = 0; i < request->n_blocks; i++)
    en_core_add_prefix (endpoint, request->blocks[i]);
}

void
en_core_note_lane (EnCore *core, const EnRequest *request)
{
  if (request->model != NULL)
    en_estimates_note_waiting (core->estimates, request->service,
                               request->need.is_long ? EN_LANE_LONG : EN_LANE_SHORT);
}

void
en_core_dequeue (EnCore *core, EnRequest *request)
{
  KnlTime now = knl_kernel_now (core->kernel);

  en_queue_remove (core->queue, request);
  en_core_note_lane (core, request);
  en_core_release_holds (core, request);
  en_request_set_state (request, EN_STATE_DISPATCHED);
  request->attempts++;
  request->dispatched_at = now;
  en_shares_note_dispatched (core->shares, request->workspace, request->need.tokens);
  cm_series_add (cm_metric_series (core->meters->tokens, request->workspace, "prompt", NULL),
                 (double)request->need.prefill);
  cm_series_record (cm_metric_series (core->meters->queue_wait, request->workspace,
                                      en_length_class_name (request->length_class), NULL),
                    (guint64)(now - request->queued_at));
  en_core_set_deadline_timer (core, request, request->deadline);
}

static void
dispatch (EnCore *core, EnRequest *request, const EnRoute *route, EnEndpoint *endpoint)
{
  guint64 cached = en_route_cached_tokens (route, endpoint);

  en_core_dequeue (core, request);
  endpoint->exclusive = request->need.alone;
  count_prefill (request, endpoint, request->need.prefill - cached);
  add_prefixes (endpoint, request);
  en_core_start_attempt (core, request, endpoint, en_charge_new (endpoint, request->need.tokens, 1),
                         NULL);
}

static void
hold_engine (EnCore *core, const EnRequest *request, const EnRoute *route)
{
  const GPtrArray *endpoints = en_fleet_endpoints (core->fleet);
  EnEndpoint *endpoint;

  if (route->now - request->queued_at < HOLD_DELAY)
    return;
  for (guint i = 0; i < endpoints->len; i++)
    {
      if (((EnEndpoint *)g_ptr_array_index (endpoints, i))->held_for == request->number)
        return;
    }
  endpoint = en_router_choose_to_hold (core->router, route);
  if (endpoint != NULL)
    endpoint->held_for = request->number;
}

/*
 * How long the request should wait for an engine. Without a holder, this entry's static share of
 * every engine may be too small for a prompt that another entry has capacity for, or that the next
 * holder will grant: refusing it at once would fail callers each time a controller is lost.
 */
static KnlTime
no_engine_timeout (EnCore *core, const EnRequest *request)
{
  const GPtrArray *endpoints = en_fleet_endpoints (core->fleet);
  KnlTime now = knl_kernel_now (core->kernel);
  KnlTime timeout = NO_ENGINE_TIMEOUT;

  for (guint i = 0; i < endpoints->len; i++)
    {
      const EnEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (!en_endpoint_is_for (endpoint, request->label, request->service, request->need.is_long)
          || !en_endpoint_usable (endpoint, now))
        continue;
      if (en_credits_max_tokens (core->credits, endpoint) >= request->need.tokens)
        return KNL_NEVER;
      if (endpoint->capacity_tokens >= request->need.tokens)
        timeout = NO_HOLDER_TIMEOUT;
    }
  return timeout;
}

/* Ends a request that no engine can run, so that its caller needn't wait for its time limit. */
static gboolean
end_without_engines (EnCore *core, EnRequest *request)
{
  EnError error = {
    .code = EN_ERROR_UNAVAILABLE,
    .outcome = en_core_outcome_if_ended (request),
    .message = "no engine can take it from this entry now",
    .retry_after = KNL_SEC,
  };

  if (knl_kernel_now (core->kernel) - request->queued_at < no_engine_timeout (core, request))
    return FALSE;
  en_core_end_error (core, request, &error);
  return TRUE;
}

static gboolean
try_reserve (EnCore *core, EnRequest *request)
{
  switch (en_core_reserve (core, request))
    {
    case EN_RESERVE_STARTED:
      return TRUE;
    case EN_RESERVE_IMPOSSIBLE:
      return end_without_engines (core, request);
    case EN_RESERVE_WAITS:
      break;
    }
  return FALSE;
}

static gboolean
try_dispatch (EnRequest *request, gpointer data)
{
  EnCore *core = data;
  EnRoute route;
  EnEndpoint *endpoint;

  if (en_core_refuse_quarantined (core, request))
    return TRUE;
  if (en_core_needs_reservation (core, request))
    return try_reserve (core, request);
  route = route_of (core, request);
  endpoint = en_router_choose (core->router, &route);
  if (endpoint == NULL && end_without_engines (core, request))
    return TRUE;
  if (endpoint == NULL)
    {
      hold_engine (core, request, &route);
      return FALSE;
    }
  dispatch (core, request, &route, endpoint);
  return TRUE;
}

static void
on_queue_timer (gpointer data)
{
  EnCore *core = data;

  core->queue_timer = 0;
  en_queue_run (core->queue, try_dispatch, core);
  cm_series_set (core->meters->queued, en_queue_length (core->queue));
  if (en_queue_length (core->queue) > 0)
    en_core_request_credits (core);
}

/* Deferred until the current events are handled, so that many of them cause a single run. */
void
en_core_wake_queue (EnCore *core)
{
  if (core->queue_timer == 0 && en_queue_length (core->queue) > 0)
    core->queue_timer = knl_timer_start (core->kernel, 0, on_queue_timer, core);
}

KnlTime
en_core_service_time (EnCore *core, const EnRequest *request)
{
  const GPtrArray *endpoints = en_fleet_endpoints (core->fleet);
  double rate = 0;

  for (guint i = 0; i < endpoints->len; i++)
    {
      const EnEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (g_strcmp0 (endpoint->label, request->label) == 0)
        rate = MAX (rate, endpoint->prefill_rate);
    }
  if (rate <= 0)
    return 0;
  return (KnlTime)((double)request->need.prefill / rate * (double)KNL_SEC);
}

/*
 * The request is ended when its prefill can no longer finish before the deadline, rather than at
 * the deadline: this leaves its caller time to retry elsewhere.
 */
void
en_core_enqueue (EnCore *core, EnRequest *request)
{
  KnlTime latest_start = request->deadline - en_core_service_time (core, request);

  request->queued_at = knl_kernel_now (core->kernel);
  en_request_set_state (request, EN_STATE_QUEUED);
  en_request_note (request, request->queued_at, "queued", NULL);
  en_queue_push (core->queue, request);
  en_core_note_lane (core, request);
  en_core_set_deadline_timer (core, request, MAX (latest_start, request->queued_at));
  en_core_wake_queue (core);
}
