/** Handles the result of a send: answer, failure, and whether the request is sent again. */

#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "policy/retry.h"
#include "serve/core_internal.h"

/* Sends allowed beyond the route's max_attempts if they certainly did not run. */
#define MAX_EXTRA_NOT_RUN_SENDS 3

/* A stream that breaks this soon after it wasn't read was cut off by its endpoint for that: what
 * the sockets' buffers still had of it is read within milliseconds. */
#define UNREAD_WINDOW (1 * KNL_SEC)

static void
exclude (SvRequest *self, SvEndpoint *endpoint)
{
  g_ptr_array_add (self->excluded, sv_endpoint_ref (endpoint));
}

void
sv_request_charge (SvRequest *self, gint sign)
{
  SvPeerLink *link = self->core->parts.link;

  sv_endpoint_charge (self->placement.first, &self->placement.load, sign);
  if (sign < 0 && self->placement.is_prompt)
    sv_queue_wake (sv_core_queue (self->core, self->service));
  link->klass->load_changed (link);
}

void
sv_request_register_prefill (SvRequest *self)
{
  SvCore *core = self->core;
  guint64 keys[SV_MAX_HELPERS + 1];
  guint n = sv_placement_prefill_keys (&self->placement, keys);
  SvPrefill prefill = {
    .prompt = XXH64 (self->params.id, strlen (self->params.id), self->sends),
    .length = self->placement.prefill,
    .until_ended = self->placement.is_split,
  };

  if (self->placement.part == 0)
    return;
  self->prefill = prefill;
  self->is_prefilling = TRUE;
  sv_fleet_add_prefill (core->parts.fleet, &prefill, keys, n);
  core->parts.link->klass->prefill_placed (core->parts.link, &prefill, keys, n);
}

/*
 * Called at the first event, when the prefill is complete, and when the send was
 * rejected or cancelled before that. A prefill left registered would make its
 * endpoints look busy.
 */
void
sv_request_end_prefill (SvRequest *self)
{
  SvCore *core = self->core;

  if (!self->is_prefilling)
    return;
  self->is_prefilling = FALSE;
  sv_fleet_end_prefill (core->parts.fleet, self->prefill.prompt);
  /* Peers let the prefill of an unsplit prompt expire by its expected time: announcing the end of
   * each would double the number of announcements. */
  if (self->prefill.until_ended || self->answer == NULL)
    core->parts.link->klass->prefill_ended (core->parts.link, self->prefill.prompt);
}

static void
drop_reservation (SvRequest *self)
{
  knl_timer_stop (self->core->parts.kernel, &self->hold_timer);
  sv_reservation_release (self->reservation);
  self->reservation = NULL;
}

void
sv_request_cancel_send (SvRequest *self)
{
  knl_timer_stop (self->core->parts.kernel, &self->watch_timer);
  sv_request_leave_queue (self);
  knl_timer_stop (self->core->parts.kernel, &self->migrate_timer);
  drop_reservation (self);
  if (self->exchange == NULL)
    return;
  if (self->answer == NULL && ht_exchange_has_sent (self->exchange))
    sv_request_note_unread (self);
  ht_exchange_cancel (self->exchange);
  sv_request_forget_begun (self);
  self->exchange = NULL;
  self->answer = NULL;
  sv_request_end_prefill (self);
  sv_request_charge (self, -1);
}

/* Records the loss in the shared health too, and announces it to the other instances. */
static void
announce_loss (const SvRequest *self)
{
  SvPeerLink *link = self->core->parts.link;
  SvEndpoint *endpoint = self->placement.first;

  sv_endpoint_note_reported_loss (endpoint, 0, sv_request_now (self));
  link->klass->health_changed (link, endpoint, TRUE);
}

static void
note_answer (const SvRequest *self)
{
  SvPeerLink *link = self->core->parts.link;

  if (sv_endpoint_note_success (self->placement.first, sv_request_now (self)))
    link->klass->health_changed (link, self->placement.first, FALSE);
}

/* Answers to prompts say little: how long they take depends on their length. */
static void
note_plain_pace (SvRequest *self)
{
  KnlTime now = sv_request_now (self);

  if (self->reply.status < 300 && self->params.prompt_tokens == 0
      && sv_pace_note_answer (self->core->parts.fleet, self->placement.first, now - self->sent_at,
                              now))
    sv_request_note_pace (self);
}

/* Cleans up after an exchange that ended without being cancelled. */
static void
close_send (SvRequest *self, const char *result)
{
  self->exchange = NULL;
  self->answer = NULL;
  sv_request_note_arrival (self);
  drop_reservation (self);
  knl_timer_stop (self->core->parts.kernel, &self->watch_timer);
  knl_timer_stop (self->core->parts.kernel, &self->migrate_timer);
  sv_request_end_prefill (self);
  sv_request_charge (self, -1);
  sv_meters_note_send (self->core->meters, self->service->name, result);
}

static void
log_loss (const SvRequest *self, const char *fault, PolEnd end)
{
  SvEndpoint *endpoint = self->placement.first;
  KnlTime now = sv_request_now (self);
  SvLoad load = sv_endpoint_load (endpoint, now);

  cm_log (CM_LOG_INFO, "send-failed", "s", "request", self->params.id, "s", "endpoint",
          endpoint->id, "s", "address", endpoint->address, "s", "fault", fault, "b", "may-have-run",
          pol_end_may_have_run (end), "i", "endpoint-losses", (gint64)endpoint->health.losses, "i",
          "since-sent-us", now - self->sent_at, "i", "sends", (gint64)self->sends, "i",
          "endpoint-calls", (gint64)load.calls, "i", "endpoint-tokens", (gint64)load.tokens, "i",
          "prefill-us", sv_endpoint_prefill_left (endpoint, now), "i", "silent-us",
          endpoint->last_seen_at > 0 ? now - endpoint->last_seen_at : (gint64)-1, "b", "begun",
          self->first_sent_at > 0);
}

void
sv_request_give_up (SvRequest *self, const char *reason)
{
  if (self->failure != NULL && !ht_call_has_begun (self->call))
    sv_request_forward_endpoint (self, self->failure);
  else if (self->runs > 0)
    sv_request_fail (self, 502, reason);
  else
    sv_request_refuse (self, 503, reason);
}

static gboolean
spend_retry (SvRequest *self, PolRetry decision)
{
  return decision == POL_RETRY_BUDGET && sv_request_spend_retry (self);
}

void
sv_request_handle_loss (SvRequest *self, const char *fault, PolEnd end)
{
  /* The retry budget counts all sends that arrive at endpoints, whether they run or not. */
  PolRetryRule rule = {
    .not_run_attempts = self->route->max_attempts + MAX_EXTRA_NOT_RUN_SENDS,
    .run_attempts = self->route->max_attempts,
    .budgets_not_run = TRUE,
  };
  PolRetryCase retry = {
    .kind = pol_end_loss (end),
    .accepted = pol_end_may_have_run (end),
    .non_idempotent = !sv_route_is_idempotent (self->route),
    .attempts = self->sends,
  };
  const char *refusal;
  PolRetry decision;

  log_loss (self, fault, end);
  self->is_test = self->is_crash_test = FALSE;
  self->last_fault = fault;
  self->runs += pol_end_may_have_run (end);
  exclude (self, self->placement.first);
  retry.costly = self->runs;
  retry.may_have_run = self->runs > 0;
  decision = pol_retry_decide (&rule, &retry);
  if (decision == POL_RETRY_NEVER)
    sv_request_give_up (self, fault);
  else if ((refusal = sv_request_crash_refusal (self)) != NULL)
    sv_request_give_up (self, refusal);
  else if (!spend_retry (self, decision))
    sv_request_give_up (self, "no-retry-left");
  else
    sv_request_send (self);
}

/* The caller has left so much unread that the endpoint's answer wasn't read, and the endpoint is
 * not at fault if it cut the answer off. */
static gboolean
was_unread (const SvRequest *self, const HtExchange *exchange)
{
  KnlTime resumed_at = ht_exchange_resumed_at (exchange);

  return resumed_at > 0 && sv_request_now (self) - resumed_at < UNREAD_WINDOW;
}

void
sv_request_note_alive (SvRequest *self)
{
  SvEndpoint *endpoint = self->placement.first;

  endpoint->last_seen_at = MAX (endpoint->last_seen_at, self->last_received_at);
  sv_request_note_read (self);
  if (self->exchange != NULL && !was_unread (self, self->exchange))
    sv_signs_note_bytes (&endpoint->signs, ht_exchange_connected_at (self->exchange),
                         knl_kernel_earliest_arrival (self->core->parts.kernel),
                         self->core->listed_at);
}

static HtHeadVerdict
on_head (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  SvRequest *self = data;
  SvDialect *dialect = self->core->parts.dialect;
  SvPeerLink *link = self->core->parts.link;
  HtHeadVerdict verdict = sv_request_read_head (self, exchange, answer);
  gboolean succeeded;

  if (verdict != HT_HEAD_ACCEPT)
    return verdict;
  succeeded = self->reply.status < 300;
  if (succeeded && (!self->reply.is_signed || self->reply.is_encoded))
    return HT_HEAD_REFUSE;
  self->answer = answer;
  sv_request_note_arrival (self);
  self->last_received_at = sv_request_now (self);
  if (!ht_exchange_is_reused (exchange))
    sv_reach_note_connected (sv_request_reach (self));
  if (self->reply.in_service >= 0)
    sv_endpoint_note_report (self->placement.first, (guint)self->reply.in_service,
                             self->last_received_at);
  /* Another process answers at the address of one that has ended. */
  if (self->reply.status != SV_STATUS_MISDIRECTED)
    sv_request_note_alive (self);
  if (sv_reply_note_signals (&self->reply, self->placement.first, self->last_received_at))
    link->klass->load_changed (link);
  if (sv_request_is_streaming (self) && self->fields == NULL)
    self->fields =
        dialect->klass->write_reply (dialect, answer, sv_request_told_endpoint (self, answer));
  return HT_HEAD_ACCEPT;
}

static void
on_body (HtExchange *exchange, const char *bytes, gsize length, gpointer data)
{
  SvRequest *self = data;

  if (sv_request_is_streaming (self))
    sv_request_handle_bytes (self, bytes, length);
  else
    g_string_append_len (self->answer->body, bytes, (gssize)length);
}

/* Handles an answer in which the endpoint promises that the request has not run. */
static void
handle_rejection (SvRequest *self, const HtExchange *exchange)
{
  SvEndpoint *endpoint = self->placement.first;
  SvEndpoint *at_fault = endpoint;
  gboolean is_reused = ht_exchange_is_reused (exchange);

  for (guint i = 0; self->reply.at_fault != NULL && i < self->placement.n_helpers; i++)
    {
      if (g_strcmp0 (self->placement.helpers[i]->address, self->reply.at_fault) == 0)
        at_fault = self->placement.helpers[i];
    }
  close_send (self, "rejected");
  cm_log (CM_LOG_INFO, "send-rejected", "s", "request", self->params.id, "s", "endpoint",
          endpoint->id, "s", "at-fault", at_fault->id, "i", "status", (gint64)self->reply.status,
          "b", "names-request", self->reply.id != NULL, "b", "reused", is_reused);
  if (at_fault != endpoint)
    sv_endpoint_note_helper_rejection (at_fault, sv_request_now (self));
  else if (self->reply.status == SV_STATUS_MISDIRECTED)
    {
      sv_endpoint_note_loss (endpoint, sv_request_now (self));
      sv_quarantine_note_refused (self->core->quarantine, endpoint->key);
    }
  else
    sv_endpoint_note_error (endpoint, sv_request_now (self));
  if (at_fault != endpoint)
    exclude (self, at_fault);
  sv_request_handle_loss (self, "rejected", POL_END_PROMISED);
}

/* Handles an error answer of the endpoint; it is kept and forwarded if no retry gives a better
 * one. */
static void
handle_error_answer (SvRequest *self, const HtMessage *answer)
{
  close_send (self, "failed");
  sv_endpoint_note_error (self->placement.first, sv_request_now (self));
  ht_message_free (self->failure);
  self->failure = ht_message_copy (answer);
  sv_endpoint_unref (self->failed_at);
  self->failed_at = sv_endpoint_ref (self->placement.first);
  sv_request_handle_loss (self, "endpoint-error", POL_END_FAILED);
}

/* A resumed stream whose second endpoint sends an answer that isn't a stream can't continue. */
static void
handle_complete_answer (SvRequest *self, const HtMessage *answer)
{
  if (ht_call_has_begun (self->call))
    sv_request_fail (self, 502, "stream-not-resumed");
  else
    sv_request_forward_endpoint (self, answer);
}

static void
handle_torn_stream (SvRequest *self, const HtExchange *exchange)
{
  if (!was_unread (self, exchange))
    {
      sv_endpoint_note_loss (self->placement.first, sv_request_now (self));
      sv_request_note_crash (self, "torn-stream", TRUE);
    }
  sv_request_handle_loss (self, "torn-stream", POL_END_LOST);
}

/* The exchange held the most when the unsent bytes of this instance reached their bound. Another
 * send would make it hold as much again. An answer that is longer than a caller may leave unread is
 * one without an end, or as bad: its endpoint gets no more requests for a while. */
static void
handle_ended_exchange (SvRequest *self)
{
  if (self->answer != NULL && self->answer->body->len > HT_DEFAULT_MAX_UNSENT)
    {
      sv_endpoint_note_loss (self->placement.first, sv_request_now (self));
      announce_loss (self);
    }
  close_send (self, ht_failure_name (HT_FAIL_UNSENT));
  self->runs++;
  sv_request_give_up (self, "unsent-bytes");
}

static void
on_done (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  SvRequest *self = data;
  gboolean streaming = sv_request_is_streaming (self);

  if (self->reply.not_run)
    {
      handle_rejection (self, exchange);
      return;
    }
  sv_request_note_answered (self, answer);
  if (answer->status >= 500)
    {
      handle_error_answer (self, answer);
      return;
    }
  close_send (self, "answered");
  if (!streaming)
    {
      if (self->reply.status < 300)
        sv_request_note_begun (self);
      note_answer (self);
      note_plain_pace (self);
      handle_complete_answer (self, answer);
      return;
    }
  if (sv_request_is_stream_torn (self, answer))
    {
      handle_torn_stream (self, exchange);
      return;
    }
  note_answer (self);
  sv_request_end_stream (self);
}

/* The endpoint isn't blamed: it may have said nothing about this request. */
static void
handle_doubtful_answer (SvRequest *self)
{
  self->is_doubtful = FALSE;
  close_send (self, "doubtful");
  sv_request_handle_loss (self, "doubtful-answer", POL_END_LOST);
}

static void
on_failed (HtExchange *exchange, HtFailure failure, gpointer data)
{
  SvRequest *self = data;
  SvEndpoint *endpoint = self->placement.first;
  gboolean was_stale =
      ht_exchange_is_reused (exchange) && self->answer == NULL && failure == HT_FAIL_CLOSED;
  gboolean is_cut_off = failure == HT_FAIL_CLOSED && was_unread (self, exchange);
  PolEnd end = pol_end_of_withdrawn (ht_exchange_has_sent (exchange));

  if (failure == HT_FAIL_UNSENT)
    {
      handle_ended_exchange (self);
      return;
    }
  if (self->is_doubtful)
    {
      handle_doubtful_answer (self);
      return;
    }
  self->unreached = failure == HT_FAIL_CONNECT;
  if (self->unreached)
    {
      sv_reach_note_failure (sv_request_reach (self), endpoint);
      sv_quarantine_note_refused (self->core->quarantine, endpoint->key);
    }
  if (failure == HT_FAIL_CLOSED && !is_cut_off)
    sv_request_note_crash (self, was_stale ? "stale-connection" : ht_failure_name (failure), TRUE);
  close_send (self, ht_failure_name (failure));
  if (was_stale)
    ht_client_close_idle (self->core->parts.client, endpoint->address);
  else if (!is_cut_off)
    {
      sv_endpoint_note_loss (endpoint, sv_request_now (self));
      announce_loss (self);
    }
  sv_request_handle_loss (self, was_stale ? "stale-connection" : ht_failure_name (failure), end);
}

const HtExchangeEvents sv_request_events = {
  .head = on_head,
  .body = on_body,
  .done = on_done,
  .failed = on_failed,
};
