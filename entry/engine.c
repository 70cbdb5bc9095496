/** Attempts at engines: handles their events, and retries or ends requests after a loss. */

#include "common/log.h"
#include "entry/core_internal.h"

/* Engines run shorter classes first, so that none waits for the prefill of a longer prompt. */
static const int priorities[EN_LENGTH_CLASSES] = {
  [EN_LENGTH_4K] = 30,
  [EN_LENGTH_16K] = 20,
  [EN_LENGTH_100K] = 10,
  [EN_LENGTH_1M] = 0,
};

/*
 * Deducted from the priorities of a workspace that floods the fleet. Its shortest
 * class then ranks below all classes of other workspaces except the longest.
 */
#define FLOOD_PENALTY 25

static int
priority_of (EnCore *core, const EnRequest *request)
{
  int priority = priorities[request->length_class];

  return en_shares_is_flooding (core->shares, request->workspace) ? priority - FLOOD_PENALTY
                                                                  : priority;
}

/* Shortest prompt that may lower the estimate of an engine's prefill rate. */
#define MIN_RATE_SAMPLE_TOKENS 2000

#define MIN_RETRY_DELAY (20 * KNL_MSEC)
#define MAX_RETRY_DELAY (1 * KNL_SEC)

static void
settle_prefill (EnCore *core, EnRequest *request)
{
  EnEndpoint *endpoint =
      request->pending_prefill > 0 ? en_fleet_find (core->fleet, request->endpoint) : NULL;

  if (endpoint != NULL && endpoint->epoch == request->pending_epoch)
    {
      cm_invariant (endpoint->pending_prefill >= request->pending_prefill,
                    "pending prefill is counted once");
      endpoint->pending_prefill -= request->pending_prefill;
      if (request->need.is_long)
        endpoint->pending_long -= request->pending_prefill;
    }
  request->pending_prefill = 0;
}

static void
settle_exclusive (EnCore *core, const EnRequest *request)
{
  EnEndpoint *endpoint =
      request->endpoint != NULL ? en_fleet_find (core->fleet, request->endpoint) : NULL;

  if (endpoint != NULL && request->need.alone)
    endpoint->exclusive = FALSE;
}

void
en_core_release_engine (EnCore *core, EnRequest *request)
{
  EnAttempt *attempt = request->attempt;

  settle_prefill (core, request);
  settle_exclusive (core, request);
  en_core_release_holds (core, request);
  request->attempt = NULL;
  if (attempt != NULL)
    en_attempt_abort (attempt);
  if (core->acquiring == request->number)
    core->acquiring = 0;
  en_reservation_free (request->reservation);
  request->reservation = NULL;
  request->reservation_started = FALSE;
}

static void
on_accepted (EnAttempt *attempt, gpointer data)
{
  EnRequest *request = data;
  EnCore *core = request->core;
  EnEndpoint *endpoint = en_fleet_find (core->fleet, request->endpoint);

  en_request_note (request, knl_kernel_now (core->kernel), "accepted", "%s", request->endpoint);
  if (endpoint == NULL)
    return;
  en_endpoint_note_success (endpoint);
  /* The engine is alive in this epoch, so a later crash of the same incarnation is reported. */
  endpoint->crash_reported = MIN (endpoint->crash_reported, endpoint->epoch);
}

/*
 * Keeps the best rate seen, with a slow decay: a late first token may only mean
 * that prompts of other entries were ahead. Small prompts don't lower the rate, as
 * fixed costs dominate their time.
 */
static void
update_prefill_rate (EnEndpoint *endpoint, guint64 tokens, KnlTime duration)
{
  double rate = (double)tokens * (double)KNL_SEC / (double)MAX (duration, KNL_MSEC);

  if (rate >= endpoint->prefill_rate)
    endpoint->prefill_rate = rate;
  else if (tokens >= MIN_RATE_SAMPLE_TOKENS)
    endpoint->prefill_rate += (rate - endpoint->prefill_rate) * 0.02;
}

static void
handle_first_token (EnCore *core, EnRequest *request, KnlTime now)
{
  EnEndpoint *endpoint = en_fleet_find (core->fleet, request->endpoint);

  if (endpoint != NULL)
    update_prefill_rate (endpoint, request->prefill_ahead + request->pending_prefill,
                         now - request->dispatched_at);
  if (request->last_token_at == 0)
    en_estimates_note_served (core->estimates, request->service,
                              request->need.is_long ? EN_LANE_LONG : EN_LANE_SHORT,
                              request->need.prefill);
  settle_prefill (core, request);
  if (request->state == EN_STATE_STREAMING)
    return;
  en_request_set_state (request, EN_STATE_STREAMING);
  en_request_note (request, now, "first-token", NULL);
}

static void
end_slow_caller (EnCore *core, EnRequest *request)
{
  EnError error = {
    .code = EN_ERROR_CUT,
    .outcome = EN_OUTCOME_UNKNOWN,
    .message = "the caller reads too slowly",
  };

  en_core_end_error (core, request, &error);
}

static void
on_tokens (EnAttempt *attempt, guint64 offset, guint count, const char *text, gpointer data)
{
  EnRequest *request = data;
  EnCore *core = request->core;
  EnCaller *caller = request->caller;
  KnlTime now = knl_kernel_now (core->kernel);

  if (request->state != EN_STATE_STREAMING || request->pending_prefill > 0)
    handle_first_token (core, request, now);
  en_meters_token (core->meters, request, now);
  en_core_append_answer (request, text);
  if (caller != NULL && request->last_token_at == 0)
    caller->klass->begin (caller, request->id);
  request->last_token_at = now;
  if (caller != NULL && !caller->klass->tokens (caller, request->id, offset, count, text))
    end_slow_caller (core, request);
}

static void
on_end (EnAttempt *attempt, guint64 count, const char *finish, gpointer data)
{
  EnRequest *request = data;
  EnCore *core = request->core;
  EnAnswer answer = { .count = count, .finish = finish, .outcome = EN_OUTCOME_DONE };

  request->attempt = NULL;
  request->may_have_run = TRUE;
  en_core_release_engine (core, request);
  if (request->need.alone)
    pol_suspects_note_success (core->suspects, request->fingerprint);
  if (request->caller != NULL && request->last_token_at == 0)
    request->caller->klass->begin (request->caller, request->id);
  cm_series_add (cm_metric_series (core->meters->tokens, request->workspace, "answer", NULL),
                 (double)count);
  en_core_complete (core, request, &answer);
}

static const char *const loss_names[] = {
  [POL_LOSS_NOT_RUN] = "not-run",
  [POL_LOSS_FAILED] = "failed",
  [POL_LOSS_UNKNOWN] = "unknown",
  [POL_LOSS_MISMATCH] = "mismatch",
};

static void
note_loss (EnCore *core, EnRequest *request, const EnLoss *loss)
{
  EnEndpoint *endpoint = en_fleet_find (core->fleet, request->endpoint);
  KnlTime now = knl_kernel_now (core->kernel);

  en_request_note (request, now, "lost", "%s: %s, %s", request->endpoint, loss_names[loss->kind],
                   loss->detail);
  cm_series_add (
      cm_metric_series (core->meters->losses, request->service, loss_names[loss->kind], NULL), 1);
  if (endpoint == NULL)
    return;
  if (loss->leaving)
    en_endpoint_note_leaving (endpoint, now);
  en_endpoint_note_failure (endpoint, now);
  if (loss->kind == POL_LOSS_UNKNOWN || (loss->kind == POL_LOSS_NOT_RUN && !loss->refused))
    en_endpoint_note_loss (endpoint);
}

static void
on_retry_due (gpointer data)
{
  EnRequest *request = data;

  request->retry_timer = 0;
  en_core_enqueue (request->core, request);
}

gboolean
en_core_may_retry (EnCore *core, const EnRequest *request, PolRetry decision)
{
  PolBudget *budget = g_hash_table_lookup (core->budgets, request->service);

  if (decision != POL_RETRY_BUDGET)
    return decision == POL_RETRY_FREE;
  return budget != NULL
         && pol_budget_spend (budget, &en_retry_budget, 1, knl_kernel_now (core->kernel));
}

static void
retry_or_end (EnCore *core, EnRequest *request, const PolRetryCase *retry, const char *detail)
{
  PolRetry decision = pol_retry_decide (&en_retry_rule, retry);
  CmBackoff backoff = { .first = MIN_RETRY_DELAY,
                        .limit = MAX_RETRY_DELAY,
                        .retries = request->attempts };
  gboolean may_retry;
  EnError error;

  if (en_core_refuse_quarantined (core, request))
    return;
  may_retry = en_core_may_retry (core, request, decision);
  cm_series_add (cm_metric_series (core->meters->retries, request->service,
                                   may_retry ? "made" : "refused", NULL),
                 1);
  if (may_retry)
    {
      request->retry_timer = knl_timer_start (
          core->kernel, cm_backoff_next (&backoff, core->kernel), on_retry_due, request);
      return;
    }
  error = en_retry_error (retry, detail);
  en_core_end_error (core, request, &error);
}

static void
handle_loss (EnCore *core, EnRequest *request, const EnLoss *loss, gboolean attempt_ended)
{
  EnEndpoint *endpoint = en_fleet_find (core->fleet, request->endpoint);
  PolRetryCase retry = {
    .kind = loss->kind,
    .accepted = loss->accepted,
    .non_idempotent = request->non_idempotent,
    .attempts = request->attempts,
  };

  if (loss->kind != POL_LOSS_NOT_RUN && loss->accepted)
    request->costly++;
  retry.costly = request->costly;
  if (loss->crashed && endpoint != NULL)
    en_core_report_crash (core, endpoint, request->pending_epoch, endpoint->incarnation);
  note_loss (core, request, loss);
  if (attempt_ended)
    request->attempt = NULL;
  en_core_release_engine (core, request);
  if (loss->kind != POL_LOSS_NOT_RUN)
    request->may_have_run = TRUE;
  retry.may_have_run = request->may_have_run;
  retry_or_end (core, request, &retry, loss->detail);
}

/*
 * A part held by a reservation can be lost while the attempt that imports it still
 * runs. That attempt must be aborted, or it would end the request a second time.
 */
void
en_core_handle_loss (EnCore *core, EnRequest *request, const EnLoss *loss)
{
  handle_loss (core, request, loss, FALSE);
}

static void
on_lost (EnAttempt *attempt, const EnLoss *loss, gpointer data)
{
  EnRequest *request = data;

  handle_loss (request->core, request, loss, TRUE);
}

static const EnAttemptEvents attempt_events = {
  .on_accepted = on_accepted,
  .on_tokens = on_tokens,
  .on_end = on_end,
  .on_lost = on_lost,
};

void
en_core_start_attempt (EnCore *core,
                       EnRequest *request,
                       EnEndpoint *endpoint,
                       EnCharge *charge,
                       const char *imports)
{
  char *id = request->attempts == 1 ? g_strdup (request->id) : en_core_next_id (core);
  EnAttemptStart start = {
    .request = id,
    .model = request->model,
    .adapter = request->adapter,
    .prompt = request->prompt,
    .prompt_tokens = request->need.prefill,
    .max_tokens = request->max_tokens,
    .priority = priority_of (core, request),
    .imports = imports,
    .deadline = request->deadline,
    .progress = &request->progress,
  };

  g_free (request->endpoint);
  request->endpoint = g_strdup (endpoint->name);
  request->pending_epoch = endpoint->epoch;
  en_request_note (request, knl_kernel_now (core->kernel), "dispatched", "%s as %s", endpoint->name,
                   id);
  request->attempt =
      en_attempt_new (&core->host, endpoint, charge, &start, &attempt_events, request);
  g_free (id);
}
