#include "entry/meters.h"

/* Times are recorded in microseconds and shown in seconds. */
#define TIME_SCALE 1e6

static const CmMetricDef first_token_def = {
  .name = "alderturn_first_token_seconds",
  .help = "Time from the reception of a request to its first token",
  .type = CM_METRIC_HISTOGRAM,
  .labels = { "workspace", "class" },
  .scale = TIME_SCALE,
};

static const CmMetricDef between_tokens_def = {
  .name = "alderturn_between_tokens_seconds",
  .help = "Time between later parts of an answer",
  .type = CM_METRIC_HISTOGRAM,
  .labels = { "workspace", "class" },
  .scale = TIME_SCALE,
};

static const CmMetricDef queue_wait_def = {
  .name = "alderturn_queue_wait_seconds",
  .help = "Time that a request waited for an engine",
  .type = CM_METRIC_HISTOGRAM,
  .labels = { "workspace", "class" },
  .scale = TIME_SCALE,
};

static const CmMetricDef ended_def = {
  .name = "alderturn_requests_total",
  .help = "Admitted requests that have ended",
  .type = CM_METRIC_COUNTER,
  .labels = { "workspace", "class", "outcome" },
};

static const CmMetricDef refused_def = {
  .name = "alderturn_refused_total",
  .help = "Requests refused before or instead of being run",
  .type = CM_METRIC_COUNTER,
  .labels = { "workspace", "code" },
};

static const CmMetricDef retries_def = {
  .name = "alderturn_retries_total",
  .help = "Attempts after a request's first",
  .type = CM_METRIC_COUNTER,
  .labels = { "service", "result" },
};

static const CmMetricDef losses_def = {
  .name = "alderturn_attempts_lost_total",
  .help = "Attempts that did not end well",
  .type = CM_METRIC_COUNTER,
  .labels = { "service", "kind" },
};

static const CmMetricDef tokens_def = {
  .name = "alderturn_tokens_total",
  .help = "Tokens of prompts dispatched and of answers given",
  .type = CM_METRIC_COUNTER,
  .labels = { "workspace", "kind" },
};

static const CmMetricDef in_flight_def = {
  .name = "alderturn_requests_in_flight",
  .help = "Requests that have not ended",
  .type = CM_METRIC_GAUGE,
};

static const CmMetricDef queued_def = {
  .name = "alderturn_requests_queued",
  .help = "Requests that wait for an engine",
  .type = CM_METRIC_GAUGE,
};

static const CmMetricDef cancels_def = {
  .name = "alderturn_cancels_pending",
  .help = "Cancellations that engines have not acknowledged",
  .type = CM_METRIC_GAUGE,
};

static const CmMetricDef granted_def = {
  .name = "alderturn_credits_granted_tokens",
  .help = "Engine memory granted to this entry",
  .type = CM_METRIC_GAUGE,
};

static const CmMetricDef used_def = {
  .name = "alderturn_credits_used_tokens",
  .help = "Engine memory that this entry uses",
  .type = CM_METRIC_GAUGE,
};

static const CmMetricDef invariants_def = {
  .name = "alderturn_invariant_failures",
  .help = "Invariants that have failed in this process",
  .type = CM_METRIC_GAUGE,
};

EnMeters *
en_meters_new (void)
{
  EnMeters *self = g_new0 (EnMeters, 1);
  CmMetrics *metrics = cm_metrics_new ();

  self->metrics = metrics;
  self->first_token = cm_metrics_add (metrics, &first_token_def);
  self->between_tokens = cm_metrics_add (metrics, &between_tokens_def);
  self->queue_wait = cm_metrics_add (metrics, &queue_wait_def);
  self->ended = cm_metrics_add (metrics, &ended_def);
  self->refused = cm_metrics_add (metrics, &refused_def);
  self->retries = cm_metrics_add (metrics, &retries_def);
  self->losses = cm_metrics_add (metrics, &losses_def);
  self->tokens = cm_metrics_add (metrics, &tokens_def);
  self->in_flight = cm_metric_series (cm_metrics_add (metrics, &in_flight_def), NULL, NULL, NULL);
  self->queued = cm_metric_series (cm_metrics_add (metrics, &queued_def), NULL, NULL, NULL);
  self->cancels = cm_metric_series (cm_metrics_add (metrics, &cancels_def), NULL, NULL, NULL);
  self->credits_granted =
      cm_metric_series (cm_metrics_add (metrics, &granted_def), NULL, NULL, NULL);
  self->credits_used = cm_metric_series (cm_metrics_add (metrics, &used_def), NULL, NULL, NULL);
  self->invariants = cm_metric_series (cm_metrics_add (metrics, &invariants_def), NULL, NULL, NULL);
  return self;
}

void
en_meters_free (EnMeters *self)
{
  if (self == NULL)
    return;
  cm_metrics_free (self->metrics);
  g_free (self);
}

void
en_meters_token (EnMeters *self, const EnRequest *request, KnlTime now)
{
  gboolean first = request->last_token_at == 0;
  CmMetric *metric = first ? self->first_token : self->between_tokens;
  KnlTime since = first ? request->received_at : request->last_token_at;

  cm_series_record (cm_metric_series (metric, request->workspace,
                                      en_length_class_name (request->length_class), NULL),
                    (guint64)MAX (now - since, 0));
}

void
en_meters_ended (EnMeters *self, const EnRequest *request, EnOutcome outcome)
{
  cm_series_add (cm_metric_series (self->ended, request->workspace,
                                   en_length_class_name (request->length_class),
                                   en_outcome_name (outcome)),
                 1);
}
