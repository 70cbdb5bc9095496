/** Sends a request to an endpoint: places it, reserves the memory it needs, watches for silence. */

#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "serve/core_internal.h"

/* Round trips between zones take a few ms; an endpoint that takes this long is unreachable. */
#define CONNECT_TIMEOUT (300 * KNL_MSEC)

/* Longest idle time of a kept connection that is reused. After a longer one the endpoint may have
 * closed it unnoticed. A request that may run only once must not risk that, so it uses only
 * connections used very recently. */
#define MAX_REUSE_IDLE      (8 * KNL_SEC)
#define MAX_REUSE_IDLE_ONCE (1 * KNL_SEC)

/* A request with less time than this to its deadline isn't sent. */
#define MIN_TIME_LEFT (5 * KNL_MSEC)

static guint64
expected_answer (const SvRequest *self)
{
  guint64 max_tokens = self->params.answer_tokens;

  return self->params.answer_hint > 0 ? MIN (self->params.answer_hint, max_tokens) : max_tokens;
}

/* Expected length of the answer; 0: neither its caller nor the service says anything of it. */
static guint64
known_answer (const SvRequest *self)
{
  if (self->params.answer_hint == 0 && self->service->engine.mean_answer_tokens <= 0)
    return 0;
  return sv_request_usual_answer (self);
}

static void
refresh_pace (const SvRequest *self)
{
  SvCore *core = self->core;
  gint n_slow = sv_pace_refresh (core->parts.fleet, self->service->name, sv_request_now (self));

  if (n_slow >= 0)
    sv_meters_set_slow_endpoints (core->meters, self->service->name, (guint)n_slow);
  if (n_slow > 0 && sv_service_is_engine (self->service) && !sv_core_has_stale_zones (core))
    sv_pace_reports_check (core->pace_reports, self->service->name);
}

void
sv_request_note_pace (SvRequest *self)
{
  SvPeerLink *link = self->core->parts.link;

  refresh_pace (self);
  if (sv_pace_mark_changed (self->placement.first, sv_request_now (self)))
    link->klass->load_changed (link);
}

static gboolean
find_placement (SvRequest *self, const GPtrArray *excluded, SvPlacement *placement)
{
  SvCore *core = self->core;
  KnlTime now = sv_request_now (self);
  SvDemand demand = {
    .config = self->config,
    .service = self->service,
    .zone = core->parts.zone,
    .prompt_tokens = self->params.prompt_tokens,
    .answer_tokens = expected_answer (self),
    .usual_answer_tokens = known_answer (self),
    .event_left = sv_request_event_left (self),
    .gap_objective = self->route->gap_objective,
    .seed = XXH64 (self->params.id, strlen (self->params.id), self->sends),
    .excluded = excluded,
  };

  refresh_pace (self);
  return sv_router_place (core->parts.fleet, &demand, now, placement);
}

static gboolean
place (SvRequest *self)
{
  SvPlacement before = self->placement;
  gboolean placed = find_placement (self, self->excluded, &self->placement);

  if (placed)
    sv_placement_ref (&self->placement);
  sv_placement_clear (&before);
  return placed;
}

gboolean
sv_request_try_place (SvRequest *self, SvEndpoint *endpoint, SvPlacement *placement)
{
  g_autoptr (GPtrArray) excluded = g_ptr_array_copy (self->excluded, NULL, NULL);

  g_ptr_array_set_free_func (excluded, NULL);
  g_ptr_array_add (excluded, endpoint);
  return find_placement (self, excluded, placement) && !placement->is_full;
}

static GString *
write_head (SvRequest *self, const char *last_event)
{
  SvDialect *dialect = self->core->parts.dialect;
  SvHelper helpers[SV_MAX_HELPERS];
  const HtMessage *request = ht_call_request (self->call);
  SvForward forward = {
    .request = request,
    .params = &self->params,
    .endpoint = self->placement.first,
    .workspace = self->workspace != NULL ? self->workspace->name : NULL,
    .left = self->deadline != KNL_NEVER ? self->deadline - sv_request_now (self) : 0,
    .last_event = last_event,
    .urgency = sv_request_urgency (self),
    .helpers = helpers,
    .n_helpers = self->placement.n_helpers,
  };
  GString *head;

  for (guint i = 0; i < forward.n_helpers; i++)
    {
      helpers[i] = (SvHelper){ .endpoint = self->placement.helpers[i] };
      if (self->reservation != NULL)
        helpers[i].reservation = sv_reservation_id (self->reservation, self->placement.helpers[i]);
    }
  head = dialect->klass->write_forward (dialect, &forward);
  if (request->body->len > 0 || ht_message_get (request, "content-length") != NULL
      || ht_message_get (request, "transfer-encoding") != NULL)
    g_string_append_printf (head, "Content-Length: %" G_GSIZE_FORMAT "\r\n", request->body->len);
  return head;
}

static KnlTime
max_reuse_idle (const SvRequest *self)
{
  if (sv_request_was_sent_to (self, self->placement.first->address))
    return 0;
  return sv_route_is_idempotent (self->route) ? MAX_REUSE_IDLE : MAX_REUSE_IDLE_ONCE;
}

static void
start_exchange (SvRequest *self, const GString *head)
{
  const HtMessage *request = ht_call_request (self->call);
  HtExchangeRequest exchange = {
    .address = self->placement.first->address,
    .head = head->str,
    .body = request->body->str,
    .body_length = request->body->len,
    .is_head = g_strcmp0 (request->method, "HEAD") == 0,
    .connect_timeout = CONNECT_TIMEOUT,
    .max_idle = max_reuse_idle (self),
    .forward_to = self->call,
  };

  self->exchange = ht_client_send (self->core->parts.client, &exchange, &sv_request_events, self);
}

/* Logs the reasons for the placement, with the endpoint's load as known here. */
static void
log_send (const SvRequest *self)
{
  const SvPlacement *placement = &self->placement;
  const SvEndpoint *endpoint = placement->first;
  SvLoad load = sv_endpoint_load (endpoint, self->sent_at);
  g_autoptr (GString) helpers = g_string_new (NULL);
  g_autofree char *limit = NULL;

  for (guint i = 0; i < placement->n_helpers; i++)
    g_string_append_printf (helpers, "%s%s", i > 0 ? "," : "", placement->helpers[i]->id);
  if (pol_limit_is_advertised (&endpoint->limit))
    limit = g_strdup_printf ("%.2f", endpoint->limit.rate);
  cm_log (CM_LOG_INFO, "request-sent", "s", "request", self->params.id, "s", "endpoint",
          endpoint->id, "s", "helpers", helpers->str, "i", "send", (gint64)self->sends, "i",
          "prompt-tokens", (gint64)self->params.prompt_tokens, "i", "waited-us",
          self->sent_at - self->begun_at, "i", "part-us", placement->part, "i", "expected-us",
          placement->expected, "i", "rest-us", placement->rest, "i", "left-us",
          self->deadline != KNL_NEVER ? self->deadline - self->sent_at : (KnlTime)-1, "i",
          "free-slots", (gint64)placement->free_slots, "i", "room-age-us",
          sv_request_room_age (self), "i", "backlog-us", placement->backlog, "i", "endpoint-calls",
          (gint64)load.calls, "i", "endpoint-tokens", (gint64)load.tokens, "s", "endpoint-limit",
          limit, "b", "reserved", self->reservation != NULL, "s", "sent-before-to",
          sv_request_was_sent_to (self, endpoint->address) ? endpoint->address : NULL);
}

/* Sends the request, which is placed and has its memory reserved. */
static void
send_now (SvRequest *self)
{
  char resumed[32];
  const char *last_event = self->params.last_event;
  GString *head;

  sv_request_register_prefill (self);
  self->unreached = FALSE;
  self->sent_at = sv_request_now (self);
  if (self->last_event >= 0)
    {
      g_snprintf (resumed, sizeof resumed, "%" G_GINT64_FORMAT, self->last_event);
      last_event = resumed;
    }
  log_send (self);
  if (pol_limit_is_advertised (&self->placement.first->limit))
    sv_meters_note_limited_send (self->core->meters, self->service->name);
  if (sv_endpoint_is_cold (self->placement.first, self->sent_at))
    sv_meters_note_cold_send (self->core->meters, self->service->name);
  sv_request_charge (self, 1);
  head = write_head (self, last_event);
  start_exchange (self, head);
  g_string_free (head, TRUE);
  if (sv_route_is_idempotent (self->route))
    sv_request_watch (self);
}

/* Places the request anew, without counting this send. */
static void
place_again (SvRequest *self)
{
  sv_request_cancel_send (self);
  self->sends--;
  sv_request_send (self);
}

/* While memory was reserved, it may have shown that the prompt crashes endpoints, or the time that
 * is left of a drain may have become too short. */
static void
send_reserved (SvRequest *self)
{
  const char *refusal = sv_request_crash_refusal (self);

  if (refusal == NULL && !sv_request_can_end (self))
    refusal = "stopping";
  if (refusal == NULL)
    {
      send_now (self);
      return;
    }
  sv_request_cancel_send (self);
  self->sends--;
  sv_request_give_up (self, refusal);
}

static void
on_reserved (gboolean ready, gpointer data)
{
  SvRequest *self = data;

  if (ready && sv_request_is_placement_outdated (self))
    {
      place_again (self);
      return;
    }
  if (ready)
    {
      send_reserved (self);
      return;
    }
  self->reservation = NULL;
  knl_timer_stop (self->core->parts.kernel, &self->hold_timer);
  sv_request_handle_loss (self, "no-memory", POL_END_UNSENT);
}

/*
 * An engine may keep a prompt queued for its own memory while the helpers hold
 * reserved memory for it. Without this bound that memory would stay reserved for
 * as long as the caller waits, and shorter prompts would be refused there.
 */
static void
on_hold_due (gpointer data)
{
  SvRequest *self = data;
  PolEnd end =
      pol_end_of_withdrawn (self->exchange != NULL && ht_exchange_has_sent (self->exchange));

  self->hold_timer = 0;
  if (self->first_sent_at > 0)
    return;
  sv_request_cancel_send (self);
  sv_request_handle_loss (self, "memory-unused", end);
}

static void
reserve (SvRequest *self)
{
  const SvCore *core = self->core;
  SvReservationParts parts = {
    .kernel = core->parts.kernel,
    .client = core->parts.client,
    .dialect = core->parts.dialect,
    .hold = sv_bounds_memory_lease (&core->bounds),
  };
  SvEndpoint *endpoints[SV_MAX_HELPERS];
  guint64 tokens[SV_MAX_HELPERS];
  guint n = 0;

  for (guint i = 0; i < self->placement.n_helpers; i++)
    {
      if (self->placement.holds[i] == 0)
        continue;
      endpoints[n] = self->placement.helpers[i];
      tokens[n++] = self->placement.holds[i];
    }
  if (sv_bounds_memory_hold (&core->bounds) != KNL_NEVER)
    self->hold_timer = knl_timer_start (core->parts.kernel, sv_bounds_memory_hold (&core->bounds),
                                        on_hold_due, self);
  self->reservation =
      sv_reservation_new (&parts, self->params.id, endpoints, tokens, n, on_reserved, self);
}

static const char *
unplaced_reason (const SvPlacement *placement)
{
  if (placement->is_evacuated)
    return "zones-evacuated";
  return placement->limit_wait > 0 ? "endpoints-limited" : "no-endpoint";
}

gboolean
sv_request_prepare (SvRequest *self)
{
  const char *refusal;

  if (self->deadline != KNL_NEVER && self->deadline - sv_request_now (self) < MIN_TIME_LEFT)
    {
      sv_request_give_up (self, "no-time-left");
      return FALSE;
    }
  refusal = sv_request_crash_refusal (self);
  if (refusal != NULL)
    {
      sv_request_give_up (self, refusal);
      return FALSE;
    }
  if (sv_request_pass (self))
    {
      sv_request_leave_queue (self);
      return FALSE;
    }
  if (sv_core_has_stale_zones (self->core))
    {
      sv_request_give_up (self, "zones-not-confirmed");
      return FALSE;
    }
  if (!place (self))
    {
      sv_request_give_up (self, unplaced_reason (&self->placement));
      return FALSE;
    }
  if (sv_request_can_end (self))
    return TRUE;
  sv_request_give_up (self, "stopping");
  return FALSE;
}

void
sv_request_dispatch (SvRequest *self)
{
  self->sends++;
  self->is_unread = FALSE;
  self->sent_at = sv_request_now (self);
  self->last_received_at = 0;
  self->writing_since = 0;
  sv_events_reset (&self->events);
  self->pace = (SvPaceStream){ .n_events = 0 };
  if (sv_placement_needs_reservation (&self->placement))
    reserve (self);
  else
    send_now (self);
}

void
sv_request_send (SvRequest *self)
{
  if (sv_request_prepare (self) && sv_request_take_turn (self))
    sv_request_dispatch (self);
}
