/** Ends requests: each gets one answer and one log line, and is freed. */

#include "common/log.h"
#include "serve/core_internal.h"

/* Retry-After of a refusal that says nothing of room: another instance may serve the caller now. A
 * random factor of 1 to 2 keeps callers that were refused together from returning together. */
#define RETRY_AFTER_OTHER (150 * KNL_MSEC)

/* Callers wait for at most this part of their remaining time before they return. */
#define MAX_HONOURED_DIVISOR 3

/* Classes of requests with prompts in the metrics, by the least number of prompt tokens. */
static const struct
{
  guint64 tokens;
  const char *name;
} length_classes[] = {
  { 100000, "prompt-100k" },
  { 20000, "prompt-20k" },
  { 1, "prompt" },
};

static const char *
metrics_class_of (const SvRequest *self)
{
  for (guint i = 0; i < G_N_ELEMENTS (length_classes); i++)
    {
      if (self->params.prompt_tokens >= length_classes[i].tokens)
        return length_classes[i].name;
    }
  if (self->route == NULL)
    return "none";
  return self->route->kind == SV_AT_MOST_ONCE ? "at-most-once" : "idempotent";
}

static void
log_end (const SvRequest *self, const SvOutcome *outcome, KnlTime now)
{
  const SvCore *core = self->core;
  g_autofree char *segments = sv_segments_format (&self->params.segments);

  cm_log (CM_LOG_INFO, "request-ended", "s", "request", self->params.id, "s", "route",
          self->route != NULL ? self->route->name : NULL, "s", "workspace",
          self->workspace != NULL ? self->workspace->name : NULL, "i", "status",
          (gint64)outcome->status, "s", "reason", outcome->reason, "s", "endpoint",
          self->placement.first != NULL ? self->placement.first->id : NULL, "i", "sends",
          (gint64)self->sends, "s", "passed-to", self->passed_to, "b", "passed-by-peer",
          self->is_passed, "s", "last-fault", self->last_fault, "i", "prompt-tokens",
          (gint64)self->params.prompt_tokens, "s", "segments", segments, "i", "parts",
          (gint64)self->placement.n_helpers + 1, "i", "expected-us",
          (gint64)self->placement.expected, "i", "first-us",
          self->first_sent_at > 0 ? self->first_sent_at - self->begun_at : (gint64)-1, "i",
          "total-us", now - self->begun_at, "i", "longest-gap-us", self->longest_gap, "i",
          "objective-us", self->route != NULL ? self->route->objective : 0, "i", "gap-objective-us",
          self->route != NULL ? self->route->gap_objective : 0, "i", "config",
          self->config != NULL ? (gint64)self->config->version : (gint64)-1, "i", "config-age-us",
          core->confirmed_at > 0 ? now - core->confirmed_at : (gint64)-1);
}

/* Must be called before the caller is answered: the answer frees the caller's request message and
 * the strings in it. */
static void
note_end (const SvRequest *self, const SvOutcome *outcome)
{
  KnlTime now = knl_kernel_now (self->core->parts.kernel);
  SvRequestMeasures measured = {
    .workspace = self->workspace != NULL ? self->workspace->name : "",
    .route_class = metrics_class_of (self),
    .outcome = outcome->reason,
    .first = self->first_sent_at > 0 ? self->first_sent_at - self->begun_at : 0,
    .total = now - self->begun_at,
  };

  sv_meters_note_request (self->core->meters, &measured);
  if (self->is_passed)
    sv_meters_note_pass (self->core->meters, "from-peer", outcome->reason);
  log_end (self, outcome, now);
}

static void
request_free (SvRequest *self)
{
  SvCore *core = self->core;

  sv_request_cancel_send (self);
  sv_request_cancel_pass (self);
  sv_request_end_retries (self);
  sv_request_note_duration (self);
  core->n_passed -= self->is_passed;
  knl_timer_stop (core->parts.kernel, &self->deadline_timer);
  g_hash_table_remove (core->requests, self);
  g_ptr_array_unref (self->excluded);
  sv_events_clear (&self->events);
  if (self->fields != NULL)
    g_string_free (self->fields, TRUE);
  sv_placement_clear (&self->placement);
  ht_message_free (self->failure);
  sv_endpoint_unref (self->failed_at);
  sv_config_unref (self->config);
  g_free (self->passed_to);
  g_free (self);
}

void
sv_request_note_disconnect (SvRequest *self)
{
  static const SvOutcome disconnected = { .reason = "caller-left" };

  note_end (self, &disconnected);
  request_free (self);
}

static void
send_own_answer (SvRequest *self, guint status, const SvRefusal *refusal)
{
  SvDialect *dialect = self->core->parts.dialect;
  GString *fields = dialect->klass->write_refusal (dialect, &self->params, refusal);

  ht_call_answer (self->call, status, fields->str, NULL, 0);
  g_string_free (fields, TRUE);
}

/* Longest Retry-After that the caller follows; KNL_NEVER: not known, as its deadline isn't. */
static KnlTime
max_honoured (const SvRequest *self)
{
  KnlTime left = self->deadline - sv_request_now (self);

  if (self->deadline == KNL_NEVER || self->deadline <= 0)
    return KNL_NEVER;
  return MAX (left, 0) / MAX_HONOURED_DIVISOR;
}

/* When there will be room for it, as far as that is known. */
static KnlTime
retry_after_of (const SvRequest *self)
{
  KnlKernel *kernel = self->core->parts.kernel;
  KnlTime delay =
      (KnlTime)((double)RETRY_AFTER_OTHER * g_rand_double_range (knl_kernel_rand (kernel), 1, 2));
  KnlTime longest = max_honoured (self);

  if (self->placement.limit_wait > 0)
    return self->placement.limit_wait + delay;
  if (self->lacks_room)
    return sv_queue_return_time (sv_core_queue (self->core, self->service), &self->waiter, longest);
  /* Only the operator knows when an evacuation ends. */
  if (self->placement.is_evacuated && longest != KNL_NEVER)
    return longest;
  return MIN (delay, longest);
}

void
sv_request_refuse (SvRequest *self, guint status, const char *reason)
{
  SvOutcome outcome = { .status = status, .reason = reason };
  SvRefusal refusal = { .retry_after = retry_after_of (self),
                        .is_to_peer = self->is_passed,
                        .was_sent = self->sends > 0 };

  note_end (self, &outcome);
  send_own_answer (self, status, &refusal);
  request_free (self);
}

void
sv_request_fail (SvRequest *self, guint status, const char *reason)
{
  static const SvRefusal no_promise = { 0 };
  SvOutcome outcome = { .status = status, .reason = reason };

  note_end (self, &outcome);
  if (ht_call_has_begun (self->call))
    ht_call_abort (self->call);
  else
    send_own_answer (self, status, &no_promise);
  request_free (self);
}

void
sv_request_stop (SvRequest *self)
{
  if (sv_request_may_have_run (self))
    sv_request_fail (self, 504, "stopped");
  else
    sv_request_refuse (self, 503, "stopped");
}

static const char *
forward_reason (const SvRequest *self, const HtMessage *answer)
{
  if (answer->status < 300)
    return "answered";
  return self->passed_to != NULL && !self->reply.is_signed ? "refused-by-peer" : "endpoint-failed";
}

void
sv_request_forward (SvRequest *self, const HtMessage *answer)
{
  SvDialect *dialect = self->core->parts.dialect;
  GString *fields =
      dialect->klass->write_reply (dialect, answer, sv_request_told_endpoint (self, answer));
  SvOutcome outcome = {
    .status = answer->status,
    .reason = forward_reason (self, answer),
  };

  self->first_sent_at = knl_kernel_now (self->core->parts.kernel);
  note_end (self, &outcome);
  ht_call_answer (self->call, answer->status, fields->str, answer->body->str, answer->body->len);
  g_string_free (fields, TRUE);
  request_free (self);
}

void
sv_request_complete_stream (SvRequest *self)
{
  static const SvOutcome answered = { .status = 200, .reason = "answered" };

  note_end (self, &answered);
  ht_call_end (self->call);
  request_free (self);
}
