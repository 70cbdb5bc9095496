/** One send of a request to an endpoint, and what becomes of it when it fails. */

#include "common/log.h"
#include "serve/core_internal.h"

/* Zones are a few ms apart; no connection after this means that nobody is there. */
#define CONNECT_TIMEOUT (300 * KNL_MSEC)

/* A kept connection that was idle for longer may have been dropped by the other side unnoticed.
 * What may run twice risks that, what may not takes a connection that was just in use. */
#define REUSE_IDLE      (8 * KNL_SEC)
#define REUSE_IDLE_ONCE (1 * KNL_SEC)

/* Sends that certainly did not run and may come on top of a route's attempts. */
#define EXTRA_OFFERS 3

/* A request whose caller waits for at least this part of the route's timeout was not refused
 * before. */
#define FIRST_TRY_PART 0.95

/* Urgency at endpoints: what will be late anyway lets the others go first. */
#define URGENCY_USUAL 4
#define URGENCY_LATE  7

/* With less time left than this, nothing is sent. */
#define LEAST_LEFT (5 * KNL_MSEC)

/* An endpoint is taken to be lost when a request that may run again has no answer after this many
 * of its objective, and a stream that has begun when it pauses for so many of its gap objective. */
#define SILENCE_OBJECTIVES 2.5
#define SILENCE_EXPECTED   2.0
#define SILENCE_GAPS       4.0
#define SILENCE_QUEUED     4
#define SILENCE_HEARD      (600 * KNL_MSEC)
#define SILENCE_LEAST      (250 * KNL_MSEC)
#define SILENCE_GAP_LEAST  (1 * KNL_SEC)

static KnlTime
now_of (const SvRequest *self)
{
  return knl_kernel_now (self->core->parts.kernel);
}

static void
exclude (SvRequest *self, SvEndpoint *endpoint)
{
  g_ptr_array_add (self->excluded, sv_endpoint_ref (endpoint));
}

static void
charge (SvRequest *self, gint sign)
{
  SvPeerLink *link = self->core->parts.link;

  sv_endpoint_charge (self->placement.first, &self->placement.load, sign);
  link->klass->load_changed (link);
}

static void
note_reads (SvRequest *self, gint sign)
{
  SvPeerLink *link = self->core->parts.link;

  if (self->placement.part == 0)
    return;
  sv_placement_note_reads (&self->placement, now_of (self), sign);
  link->klass->read_placed (link, &self->placement, sign);
}

/* A prompt that was turned away, or given up before its first event, is not read: entries for it
 * would make its endpoints look busy for seconds. */
static void
take_reads_back (SvRequest *self)
{
  if (!self->is_read)
    note_reads (self, -1);
}

static void
drop_reservation (SvRequest *self)
{
  sv_reservation_release (self->reservation);
  self->reservation = NULL;
}

void
sv_request_stop_send (SvRequest *self)
{
  knl_timer_stop (self->core->parts.kernel, &self->watch_timer);
  knl_timer_stop (self->core->parts.kernel, &self->defer_timer);
  drop_reservation (self);
  if (self->exchange == NULL)
    return;
  ht_exchange_cancel (self->exchange);
  take_reads_back (self);
  self->exchange = NULL;
  self->answer = NULL;
  charge (self, -1);
}

/* The exchange is over by itself. */
static void
close_send (SvRequest *self, const char *result)
{
  self->exchange = NULL;
  self->answer = NULL;
  drop_reservation (self);
  knl_timer_stop (self->core->parts.kernel, &self->watch_timer);
  charge (self, -1);
  sv_meters_note_send (self->core->meters, self->service->name, result);
}

static void
log_loss (const SvRequest *self, const char *fault, gboolean ran)
{
  const SvEndpoint *endpoint = self->placement.first;

  cm_log (CM_LOG_INFO, "send-failed", "s", "request", self->ask.id, "s", "endpoint", endpoint->id,
          "s", "address", endpoint->address, "s", "fault", fault, "b", "may-have-run", ran, "i",
          "endpoint-losses", (gint64)endpoint->losses, "i", "since-sent-us",
          now_of (self) - self->sent_at, "i", "sends", (gint64)self->offers);
}

static void
give_up (SvRequest *self, const char *reason)
{
  if (self->failure != NULL && !ht_call_has_begun (self->call))
    sv_request_pass (self, self->failure);
  else if (self->runs > 0)
    sv_request_fail (self, 502, reason);
  else
    sv_request_refuse (self, 503, reason);
}

void
sv_request_take_loss (SvRequest *self, const char *fault, gboolean ran)
{
  SvCore *core = self->core;

  log_loss (self, fault, ran);
  self->last_fault = fault;
  self->runs += ran;
  exclude (self, self->placement.first);
  if (self->runs > 0 && !sv_route_is_idempotent (self->route))
    give_up (self, fault);
  else if (self->runs >= self->route->max_attempts
           || self->offers >= self->route->max_attempts + EXTRA_OFFERS)
    give_up (self, fault);
  else if (!sv_budget_spend (sv_core_budget (core, self->service->name), &core->bounds.retries,
                             core->parts.link->klass->n_instances (core->parts.link),
                             now_of (self)))
    give_up (self, "no-retry-left");
  else
    sv_request_send (self);
}

static void
note_crash (SvRequest *self)
{
  SvPeerLink *link = self->core->parts.link;

  sv_suspects_note (self->core->suspects, self->fingerprint);
  link->klass->suspect (link, self->fingerprint);
}

static HtHeadVerdict
on_head (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  SvRequest *self = data;
  SvDialect *dialect = self->core->parts.dialect;
  gboolean succeeded;

  dialect->klass->read_reply (dialect, answer, &self->reply);
  if (self->reply.id != NULL && g_strcmp0 (self->reply.id, self->ask.id) != 0)
    return HT_HEAD_SKIP;
  succeeded = self->reply.status < 300;
  if (succeeded && (!self->reply.is_signed || self->reply.is_encoded))
    return HT_HEAD_REFUSE;
  self->answer = answer;
  self->last_at = now_of (self);
  if (self->reply.in_service >= 0)
    sv_endpoint_note_report (self->placement.first, (guint)self->reply.in_service, self->last_at);
  self->placement.first->heard_at = self->last_at;
  if (sv_request_is_streaming (self) && self->fields == NULL)
    self->fields = dialect->klass->write_reply (dialect, answer);
  return HT_HEAD_TAKE;
}

static void
on_body (HtExchange *exchange, const char *bytes, gsize length, gpointer data)
{
  SvRequest *self = data;

  if (sv_request_is_streaming (self))
    sv_request_take_bytes (self, bytes, length);
  else
    g_string_append_len (self->answer->body, bytes, (gssize)length);
}

/* The endpoint promises that the request has not run. */
static void
take_rejection (SvRequest *self)
{
  SvEndpoint *endpoint = self->placement.first;
  SvEndpoint *at_fault = endpoint;

  for (guint i = 0; self->reply.at_fault != NULL && i < self->placement.n_helpers; i++)
    {
      if (g_strcmp0 (self->placement.helpers[i]->address, self->reply.at_fault) == 0)
        at_fault = self->placement.helpers[i];
    }
  close_send (self, "rejected");
  take_reads_back (self);
  if (self->reply.status == 421 || at_fault != endpoint)
    sv_endpoint_note_loss (at_fault, now_of (self));
  else
    sv_endpoint_note_error (endpoint, now_of (self));
  if (at_fault != endpoint)
    exclude (self, at_fault);
  sv_request_take_loss (self, "rejected", FALSE);
}

static gboolean
may_send_again (const SvRequest *self)
{
  return sv_route_is_idempotent (self->route) && self->runs + 1 < self->route->max_attempts;
}

static void
take_failure (SvRequest *self, const HtMessage *answer)
{
  SvCore *core = self->core;

  close_send (self, "failed");
  sv_endpoint_note_error (self->placement.first, now_of (self));
  if (may_send_again (self)
      && sv_budget_spend (sv_core_budget (core, self->service->name), &core->bounds.retries,
                          core->parts.link->klass->n_instances (core->parts.link), now_of (self)))
    {
      log_loss (self, "endpoint-error", TRUE);
      self->last_fault = "endpoint-error";
      self->runs++;
      ht_message_free (self->failure);
      self->failure = ht_message_copy (answer);
      exclude (self, self->placement.first);
      sv_request_send (self);
      return;
    }
  sv_request_pass (self, answer);
}

static void
on_done (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  SvRequest *self = data;
  gboolean streaming = sv_request_is_streaming (self);

  if (self->reply.not_run)
    {
      take_rejection (self);
      return;
    }
  if (answer->status >= 500)
    {
      take_failure (self, answer);
      return;
    }
  close_send (self, "answered");
  if (!streaming)
    {
      sv_endpoint_note_success (self->placement.first);
      sv_request_pass (self, answer);
      return;
    }
  if (sv_events_is_torn (&self->events))
    {
      sv_endpoint_note_loss (self->placement.first, now_of (self));
      sv_request_take_loss (self, "torn-stream", TRUE);
      return;
    }
  sv_endpoint_note_success (self->placement.first);
  sv_request_end_stream (self);
}

static void
on_failed (HtExchange *exchange, HtFailure failure, gpointer data)
{
  SvRequest *self = data;
  SvEndpoint *endpoint = self->placement.first;
  gboolean was_stale =
      ht_exchange_is_reused (exchange) && self->answer == NULL && failure == HT_FAIL_CLOSED;

  if (failure == HT_FAIL_CLOSED && !was_stale && self->first_at == 0)
    note_crash (self);
  close_send (self, ht_failure_name (failure));
  if (was_stale)
    ht_client_forget (self->core->parts.client, endpoint->address);
  else
    sv_endpoint_note_loss (endpoint, now_of (self));
  sv_request_take_loss (self, was_stale ? "stale-connection" : ht_failure_name (failure),
                        failure != HT_FAIL_CONNECT);
}

static const HtExchangeEvents exchange_events = {
  .head = on_head,
  .body = on_body,
  .done = on_done,
  .failed = on_failed,
};

/* How long the endpoint may say nothing from now on. */
static KnlTime
silence_limit (const SvRequest *self)
{
  double objective = (double)self->route->objective;

  if (self->first_at > 0)
    return MAX ((KnlTime)(SILENCE_GAPS * (double)self->route->gap_objective), SILENCE_GAP_LEAST);
  if (self->ask.prompt_tokens > 0)
    return MAX ((KnlTime)(SILENCE_EXPECTED * (objective + (double)self->placement.expected)),
                SILENCE_LEAST);
  return MAX ((KnlTime)(SILENCE_OBJECTIVES * objective), SILENCE_LEAST);
}

/*
 * An endpoint that is dark or cut off sends nothing, and its connection stays
 * open; without this the request would wait until its deadline. Only requests
 * that may run again are taken away from a silent endpoint.
 */
static void
on_watch (gpointer data)
{
  SvRequest *self = data;
  KnlTime since = MAX (self->sent_at, self->last_at);
  KnlTime left = since + silence_limit (self) - now_of (self);

  /* Reading that is known to be under way there explains a pause, and so does a queue: an endpoint
   * that answers other requests is not dark. */
  left += sv_endpoint_read_left (self->placement.first, now_of (self));
  if (left <= 0 && now_of (self) - since < SILENCE_QUEUED * silence_limit (self))
    left = self->placement.first->heard_at + SILENCE_HEARD - now_of (self);
  self->watch_timer = 0;
  if (left > 0)
    {
      self->watch_timer = knl_timer_start (self->core->parts.kernel, left, on_watch, self);
      return;
    }
  if (self->runs + 1 >= self->route->max_attempts)
    return;
  sv_endpoint_note_loss (self->placement.first, now_of (self));
  sv_request_stop_send (self);
  sv_request_take_loss (self, "silent", TRUE);
}

static guint64
expected_answer (const SvRequest *self)
{
  guint64 most = self->ask.answer_tokens;

  return self->ask.answer_hint > 0 ? MIN (self->ask.answer_hint, most) : most;
}

static gboolean
place (SvRequest *self)
{
  SvCore *core = self->core;
  KnlTime now = now_of (self);
  SvDemand demand = {
    .config = self->config,
    .service = self->service,
    .zone = core->parts.zone,
    .prompt_tokens = self->ask.prompt_tokens,
    .answer_tokens = expected_answer (self),
    .objective_left = MAX (self->begun_at + self->route->objective - now, 0),
    .gap_objective = self->route->gap_objective,
    .excluded = self->excluded,
  };
  SvEndpoint *before = self->placement.first;
  gboolean placed = sv_router_place (core->parts.fleet, &demand, now, &self->placement);

  sv_endpoint_unref (before);
  if (!placed)
    return FALSE;
  sv_endpoint_ref (self->placement.first);
  return TRUE;
}

/* A caller that was refused comes back with less time than the route allows. */
static gboolean
is_first_try (const SvRequest *self)
{
  return self->runs == 0 && self->ask.last_event == NULL
         && self->ask.limit >= (KnlTime)(FIRST_TRY_PART * (double)self->route->timeout);
}

/* Its first event can't count in full any more, and has not gone out. */
static gboolean
is_late (const SvRequest *self)
{
  KnlTime waited = now_of (self) - self->begun_at;

  return self->first_at == 0
         && (!is_first_try (self) || waited + self->placement.expected > self->route->objective);
}

static GString *
write_head (SvRequest *self, const char *last_event)
{
  SvDialect *dialect = self->core->parts.dialect;
  SvHelper helpers[SV_HELPERS];
  const HtMessage *request = ht_call_request (self->call);
  SvForward forward = {
    .request = request,
    .ask = &self->ask,
    .endpoint = self->placement.first,
    .workspace = self->workspace != NULL ? self->workspace->name : NULL,
    .left = self->deadline != KNL_NEVER ? self->deadline - now_of (self) : 0,
    .last_event = last_event,
    .urgency = is_late (self) ? URGENCY_LATE : URGENCY_USUAL,
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
    .max_idle = sv_route_is_idempotent (self->route) ? REUSE_IDLE : REUSE_IDLE_ONCE,
  };

  self->exchange = ht_client_send (self->core->parts.client, &exchange, &exchange_events, self);
}

/* Puts the request on its way; it is placed, and has the memory that it needs. */
static void
launch (SvRequest *self)
{
  char resumed[32];
  const char *last_event = self->ask.last_event;
  GString *head;

  note_reads (self, 1);
  self->sent_at = now_of (self);
  if (self->last_event >= 0)
    {
      g_snprintf (resumed, sizeof resumed, "%" G_GINT64_FORMAT, self->last_event);
      last_event = resumed;
    }
  charge (self, 1);
  head = write_head (self, last_event);
  start_exchange (self, head);
  g_string_free (head, TRUE);
  if (sv_route_is_idempotent (self->route))
    self->watch_timer =
        knl_timer_start (self->core->parts.kernel, silence_limit (self), on_watch, self);
}

static void
on_reserved (gboolean ready, gpointer data)
{
  SvRequest *self = data;

  if (ready)
    {
      launch (self);
      return;
    }
  self->reservation = NULL;
  sv_request_take_loss (self, "no-memory", FALSE);
}

static void
reserve (SvRequest *self)
{
  const SvCore *core = self->core;
  SvReservationParts parts = {
    .kernel = core->parts.kernel,
    .client = core->parts.client,
    .dialect = core->parts.dialect,
    .hold = core->bounds.reserve_hold,
  };
  SvEndpoint *endpoints[SV_HELPERS];
  guint64 tokens[SV_HELPERS];
  guint n = 0;

  for (guint i = 0; i < self->placement.n_helpers; i++)
    {
      if (self->placement.holds[i] == 0)
        continue;
      endpoints[n] = self->placement.helpers[i];
      tokens[n++] = self->placement.holds[i];
    }
  self->reservation =
      sv_reservation_new (&parts, self->ask.id, endpoints, tokens, n, on_reserved, self);
}

static gboolean
needs_reservation (const SvRequest *self)
{
  for (guint i = 0; i < self->placement.n_helpers; i++)
    {
      if (self->placement.holds[i] > 0)
        return TRUE;
    }
  return FALSE;
}

/* A long prompt whose caller leaves before it can be read would be read in vain, for seconds and
 * at the cost of others. */
static gboolean
is_hopeless (const SvRequest *self)
{
  return self->placement.is_split && self->deadline != KNL_NEVER
         && self->deadline - now_of (self) < self->placement.expected;
}

void
sv_request_send (SvRequest *self)
{
  if (self->deadline != KNL_NEVER && self->deadline - now_of (self) < LEAST_LEFT)
    {
      give_up (self, "no-time-left");
      return;
    }
  if (!place (self))
    {
      give_up (self, "no-endpoint");
      return;
    }
  if (is_hopeless (self))
    {
      give_up (self, "too-little-time");
      return;
    }
  if (sv_request_defer (self))
    return;
  if (self->placement.is_full && is_first_try (self))
    {
      sv_request_refuse (self, 503, "endpoints-full");
      return;
    }
  if (self->placement.lacks_memory)
    {
      give_up (self, "no-memory");
      return;
    }
  self->offers++;
  self->sent_at = now_of (self);
  self->last_at = 0;
  self->is_read = FALSE;
  sv_events_reset (&self->events);
  if (needs_reservation (self))
    reserve (self);
  else
    launch (self);
}
