/**
 * Passes requests on to a peer while this instance has lost its links to endpoints. The peer
 * handles them as those of its own callers, and doesn't pass them on again.
 */

#include "common/log.h"
#include "serve/core_internal.h"

/* Peers that a request may be passed on to, one after the other. */
#define MAX_PASSES 2

/* A peer that takes this long to accept a connection is cut off from this instance. */
#define CONNECT_TIMEOUT (150 * KNL_MSEC)

/* Longest idle time of a kept connection to a peer that is reused. */
#define MAX_REUSE_IDLE (1 * KNL_SEC)

/* The peer is given less time by this much, so that its answer at the deadline arrives in time. */
#define DEADLINE_MARGIN (10 * KNL_MSEC)

/* Requests that peers may have passed on to this instance at the same time: MIN_TAKEN, or if it is
 * more TAKEN_PER_OWN for each of its own callers' requests. With more, many instances that are cut
 * off would overload the few that are not. */
#define MIN_TAKEN     32U
#define TAKEN_PER_OWN 2

static void
log_pass (const SvRequest *self, const char *event, const char *result)
{
  cm_log (CM_LOG_INFO, event, "s", "request", self->params.id, "s", "peer", self->passed_to, "i",
          "pass", (gint64)self->passes, "i", "waited-us", sv_request_now (self) - self->begun_at,
          "s", "last-fault", self->last_fault, "s", "result", result);
}

static void
end_pass (SvRequest *self, const char *result)
{
  self->pass = NULL;
  self->answer = NULL;
  sv_request_note_arrival (self);
  sv_meters_note_pass (self->core->meters, "to-peer", result);
}

/* This instance hands the endpoint's word on to its caller, and has to keep to it, too. */
static void
note_signals (const SvRequest *self)
{
  SvEndpoint *endpoint = self->reply.endpoint != NULL
                             ? sv_fleet_by_id (self->core->parts.fleet, self->reply.endpoint)
                             : NULL;

  if (endpoint != NULL && sv_reply_note_signals (&self->reply, endpoint, sv_request_now (self)))
    self->core->parts.link->klass->load_changed (self->core->parts.link);
}

static HtHeadVerdict
on_head (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  SvRequest *self = data;
  SvDialect *dialect = self->core->parts.dialect;
  HtHeadVerdict verdict = sv_request_read_head (self, exchange, answer);

  if (verdict != HT_HEAD_ACCEPT)
    return verdict;
  self->answer = answer;
  note_signals (self);
  if (sv_request_is_streaming (self))
    self->fields = dialect->klass->write_reply (dialect, answer, NULL);
  return HT_HEAD_ACCEPT;
}

static void
begin_answer (SvRequest *self)
{
  if (ht_call_has_begun (self->call))
    return;
  self->first_sent_at = sv_request_now (self);
  ht_call_begin (self->call, self->reply.status, self->fields->str);
}

static void
on_body (HtExchange *exchange, const char *bytes, gsize length, gpointer data)
{
  SvRequest *self = data;

  if (!sv_request_is_streaming (self))
    {
      g_string_append_len (self->answer->body, bytes, (gssize)length);
      return;
    }
  begin_answer (self);
  ht_call_send (self->call, bytes, length);
}

/* A peer that is itself full, stopping or cut off has not run the request, and says so. Its status
 * alone may be that of an endpoint which has. */
static gboolean
is_refusal (const SvRequest *self)
{
  return self->reply.status == 503 && !self->reply.is_signed && self->reply.not_run
         && self->reply.id != NULL;
}

/* What the next peer sends first is a retry if endpoints of this one have got the request. */
static gboolean
pass_again (SvRequest *self)
{
  if (self->reply.was_sent && !sv_request_spend_retry (self))
    return FALSE;
  return sv_request_pass (self);
}

static void
forward (SvRequest *self, const HtMessage *answer)
{
  if (self->reply.is_signed)
    sv_request_forward_endpoint (self, answer);
  else
    sv_request_forward (self, answer);
}

static void
on_done (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  SvRequest *self = data;
  gboolean streaming = sv_request_is_streaming (self);

  end_pass (self, is_refusal (self) ? "refused" : "answered");
  if (streaming)
    {
      begin_answer (self);
      sv_request_complete_stream (self);
    }
  else if (!is_refusal (self) || !pass_again (self))
    forward (self, answer);
}

static void
on_failed (HtExchange *exchange, HtFailure failure, gpointer data)
{
  SvRequest *self = data;

  end_pass (self, ht_failure_name (failure));
  self->last_fault = "peer-lost";
  log_pass (self, "pass-failed", ht_failure_name (failure));
  if (!ht_exchange_has_sent (exchange))
    {
      sv_request_send (self);
      return;
    }
  self->runs++;
  sv_request_fail (self, 502, "peer-lost");
}

static const HtExchangeEvents pass_events = {
  .head = on_head,
  .body = on_body,
  .done = on_done,
  .failed = on_failed,
};

static void
start_pass (SvRequest *self)
{
  SvCore *core = self->core;
  const HtMessage *request = ht_call_request (self->call);
  KnlTime left = self->deadline != KNL_NEVER ? self->deadline - sv_request_now (self) : 0;
  GString *head = core->parts.dialect->klass->write_pass (
      core->parts.dialect, request, left > 2 * DEADLINE_MARGIN ? left - DEADLINE_MARGIN : left);
  HtExchangeRequest exchange = {
    .address = self->passed_to,
    .body = request->body->str,
    .body_length = request->body->len,
    .is_head = g_strcmp0 (request->method, "HEAD") == 0,
    .connect_timeout = CONNECT_TIMEOUT,
    .max_idle = sv_route_is_idempotent (self->route) ? MAX_REUSE_IDLE : 0,
    .forward_to = self->call,
  };

  if (request->body->len > 0 || ht_message_get (request, "content-length") != NULL
      || ht_message_get (request, "transfer-encoding") != NULL)
    g_string_append_printf (head, "Content-Length: %" G_GSIZE_FORMAT "\r\n", request->body->len);
  exchange.head = head->str;
  self->pass = ht_client_send (core->parts.client, &exchange, &pass_events, self);
  g_string_free (head, TRUE);
}

/* Of a request that couldn't reach its endpoint while a peer has heard from that endpoint: it is
 * this instance's link that has failed, even if others have not. */
static gboolean
is_cut_off_from_endpoint (const SvRequest *self)
{
  return self->unreached && self->placement.first->last_seen_at > self->sent_at;
}

gboolean
sv_request_pass (SvRequest *self)
{
  SvPeerLink *link = self->core->parts.link;
  char *address;

  if (self->is_passed || ht_call_has_begun (self->call) || self->passes >= MAX_PASSES)
    return FALSE;
  if (!sv_reach_is_lost (sv_request_reach (self)) && !is_cut_off_from_endpoint (self))
    return FALSE;
  if (!sv_request_can_end (self))
    return FALSE;
  address = link->klass->passing_address (link, self->passed_to);
  if (address == NULL)
    return FALSE;
  g_free (self->passed_to);
  self->passed_to = address;
  self->passes++;
  log_pass (self, "request-passed", NULL);
  start_pass (self);
  return TRUE;
}

void
sv_request_cancel_pass (SvRequest *self)
{
  if (self->pass == NULL)
    return;
  ht_exchange_cancel (self->pass);
  end_pass (self, "cancelled");
}

gboolean
sv_core_takes_passed (const SvCore *self)
{
  guint own = sv_core_n_requests (self) - self->n_passed;

  return self->n_passed <= MAX (MIN_TAKEN, TAKEN_PER_OWN * own);
}
