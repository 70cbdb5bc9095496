/** The end of an admitted request, which happens exactly once. */

#include "common/log.h"
#include "entry/core_internal.h"

static void
decrement_in_flight (EnCore *core, const EnRequest *request)
{
  guint used = GPOINTER_TO_UINT (g_hash_table_lookup (core->in_flight, request->workspace));

  cm_invariant (used > 0, "a workspace's requests in flight are counted");
  if (used > 1)
    g_hash_table_insert (core->in_flight, g_strdup (request->workspace),
                         GUINT_TO_POINTER (used - 1));
  else
    g_hash_table_remove (core->in_flight, request->workspace);
}

/* The event before the end. For a request that got no engine, it shows what it waited for. */
static const char *
last_event (const EnRequest *request)
{
  const GArray *events = request->events;

  return events->len > 1 ? g_array_index (events, EnRequestEvent, events->len - 2).event : NULL;
}

static void
log_end (EnCore *core, const EnRequest *request, EnOutcome outcome, const char *code)
{
  KnlTime now = knl_kernel_now (core->kernel);

  en_meters_ended (core->meters, request, outcome);
  cm_log (CM_LOG_INFO, "request-ended", "s", "request", request->id, "s", "workspace",
          request->workspace, "s", "service", request->service, "s", "class",
          en_length_class_name (request->length_class), "s", "outcome", en_outcome_name (outcome),
          "s", "code", code, "s", "endpoint", request->endpoint, "s", "last_event",
          code != NULL ? last_event (request) : NULL, "i", "attempts", (gint64)request->attempts,
          "i", "tokens", (gint64)request->progress.tokens, "i", "duration_ms",
          (now - request->received_at) / KNL_MSEC);
}

/* Releases all resources of the request; whatever still runs for it is cancelled. */
static void
release_all (EnCore *core, EnRequest *request)
{
  knl_timer_stop (core->kernel, &request->deadline_timer);
  knl_timer_stop (core->kernel, &request->retry_timer);
  en_queue_remove (core->queue, request);
  en_core_note_lane (core, request);
  en_core_release_engine (core, request);
  ep_call_cancel (core->client, &request->call);
  if (request->charge != NULL)
    en_charge_return (request->charge, core->fleet);
  request->charge = NULL;
  decrement_in_flight (core, request);
  g_hash_table_remove (core->requests, &request->number);
  cm_series_set (core->meters->in_flight, g_hash_table_size (core->requests));
}

static EnCaller *
end_request (EnCore *core, EnRequest *request, EnOutcome outcome, const char *code)
{
  EnCaller *caller = request->caller;

  release_all (core, request);
  en_core_close_record (core, request, outcome);
  en_request_set_state (request, EN_STATE_ENDED);
  en_request_note (request, knl_kernel_now (core->kernel), "ended", "%s, %s",
                   en_outcome_name (outcome), code != NULL ? code : "ok");
  log_end (core, request, outcome, code);
  request->caller = NULL;
  en_core_wake_queue (core);
  return caller;
}

void
en_core_end_error (EnCore *core, EnRequest *request, const EnError *error)
{
  EnCaller *caller = end_request (core, request, error->outcome, en_error_name (error->code));

  if (caller != NULL)
    caller->klass->error (caller, request->id, error);
  en_history_add (core->history, request);
  en_core_check_drained (core);
}

void
en_core_end_done (EnCore *core, EnRequest *request, const EnAnswer *answer)
{
  EnCaller *caller = end_request (core, request, answer->outcome, NULL);

  if (caller != NULL)
    caller->klass->done (caller, request->id, answer);
  en_history_add (core->history, request);
  en_core_check_drained (core);
}

void
en_core_end_disconnected (EnCore *core, EnRequest *request)
{
  request->caller = NULL;
  end_request (core, request, en_core_outcome_if_ended (request), "caller-gone");
  en_history_add (core->history, request);
  en_core_check_drained (core);
}

EnOutcome
en_core_outcome_if_ended (const EnRequest *request)
{
  gboolean running = request->attempt != NULL || request->call != 0 || request->reservation_started;

  return request->may_have_run || running ? EN_OUTCOME_UNKNOWN : EN_OUTCOME_NOT_RUN;
}

static void
on_limit (gpointer data)
{
  EnRequest *request = data;
  EnCore *core = request->core;
  gboolean early = knl_kernel_now (core->kernel) < request->deadline;
  EnError error = {
    .code = early ? EN_ERROR_OVERLOADED : EN_ERROR_TIMEOUT,
    .outcome = en_core_outcome_if_ended (request),
    .message = early ? "it can't be served any more within its limit" : "the time limit has passed",
    .retry_after = KNL_SEC,
  };

  request->deadline_timer = 0;
  if (request->non_idempotent && error.outcome != EN_OUTCOME_NOT_RUN)
    error.retry_after = 0;
  en_core_end_error (core, request, &error);
}

void
en_core_set_deadline_timer (EnCore *core, EnRequest *request, KnlTime at)
{
  knl_timer_stop (core->kernel, &request->deadline_timer);
  request->deadline_timer =
      knl_timer_start (core->kernel, at - knl_kernel_now (core->kernel), on_limit, request);
}

void
en_core_caller_disconnected (EnCore *core, guint64 number)
{
  EnRequest *request = g_hash_table_lookup (core->requests, &number);

  if (request == NULL)
    return;
  /*
   * A request that may run only once continues without its caller, whose connection may just have
   * been lost: a retry with the same key then gets the answer instead of "outcome unknown".
   */
  if (request->recorded)
    {
      request->caller = NULL;
      en_request_note (request, knl_kernel_now (core->kernel), "caller-gone", NULL);
    }
  else
    en_core_end_disconnected (core, request);
}
