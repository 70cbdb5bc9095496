#include "serve/meters.h"

static const CmMetricDef requests_def = {
  .name = "alderturn_requests_total",
  .help = "Requests that have ended, by outcome",
  .type = CM_METRIC_COUNTER,
  .labels = { "workspace", "class", "outcome" },
};

static const CmMetricDef first_def = {
  .name = "alderturn_first_answer_seconds",
  .help = "From the request to its first event or whole answer",
  .type = CM_METRIC_HISTOGRAM,
  .labels = { "workspace", "class" },
  .scale = 1e6,
};

static const CmMetricDef total_def = {
  .name = "alderturn_request_seconds",
  .help = "From the request to the end of its answer",
  .type = CM_METRIC_HISTOGRAM,
  .labels = { "workspace", "class" },
  .scale = 1e6,
};

static const CmMetricDef sends_def = {
  .name = "alderturn_sends_total",
  .help = "Requests sent to endpoints, by result",
  .type = CM_METRIC_COUNTER,
  .labels = { "service", "result" },
};

static const CmMetricDef limited_def = {
  .name = "alderturn_limited_sends_total",
  .help = "Requests sent to endpoints that name a limit",
  .type = CM_METRIC_COUNTER,
  .labels = { "service" },
};

static const CmMetricDef cold_def = {
  .name = "alderturn_cold_sends_total",
  .help = "Requests sent to endpoints that are cold",
  .type = CM_METRIC_COUNTER,
  .labels = { "service" },
};

static const CmMetricDef crashes_def = {
  .name = "alderturn_crashes_suspected_total",
  .help = "Endpoints lost under a request that this instance sent",
  .type = CM_METRIC_COUNTER,
  .labels = { "service" },
};

static const CmMetricDef passed_def = {
  .name = "alderturn_passed_requests_total",
  .help = "Requests passed on to a peer, or taken from one, by result",
  .type = CM_METRIC_COUNTER,
  .labels = { "direction", "result" },
};

static const CmMetricDef first_event_error_def = {
  .name = "alderturn_first_event_error_seconds",
  .help = "Distance between the expected and the seen time to the first event",
  .type = CM_METRIC_HISTOGRAM,
  .labels = { "direction" },
  .scale = 1e6,
};

static const CmMetricDef slow_def = {
  .name = "alderturn_slow_endpoints",
  .help = "Endpoints that count as slow",
  .type = CM_METRIC_GAUGE,
  .labels = { "service" },
};

static const CmMetricDef pace_reports_def = {
  .name = "alderturn_pace_reports_total",
  .help = "Calls that ask endpoints how slow they are, by result",
  .type = CM_METRIC_COUNTER,
  .labels = { "service", "result" },
};

static const CmMetricDef quarantined_def = {
  .name = "alderturn_quarantined_segments",
  .help = "Segments of prompts that are quarantined, as they crash endpoints",
  .type = CM_METRIC_GAUGE,
};

struct SvMeters
{
  CmMetric *requests;
  CmMetric *first;
  CmMetric *total;
  CmMetric *sends;
  CmMetric *limited;
  CmMetric *cold;
  CmMetric *crashes;
  CmMetric *quarantined;
  CmMetric *passed;
  CmMetric *first_event_error;
  CmMetric *slow;
  CmMetric *pace_reports;
};

SvMeters *
sv_meters_new (CmMetrics *metrics)
{
  SvMeters *self = g_new0 (SvMeters, 1);

  self->requests = cm_metrics_add (metrics, &requests_def);
  self->first = cm_metrics_add (metrics, &first_def);
  self->total = cm_metrics_add (metrics, &total_def);
  self->sends = cm_metrics_add (metrics, &sends_def);
  self->limited = cm_metrics_add (metrics, &limited_def);
  self->cold = cm_metrics_add (metrics, &cold_def);
  self->crashes = cm_metrics_add (metrics, &crashes_def);
  self->quarantined = cm_metrics_add (metrics, &quarantined_def);
  self->passed = cm_metrics_add (metrics, &passed_def);
  self->first_event_error = cm_metrics_add (metrics, &first_event_error_def);
  self->slow = cm_metrics_add (metrics, &slow_def);
  self->pace_reports = cm_metrics_add (metrics, &pace_reports_def);
  return self;
}

void
sv_meters_free (SvMeters *self)
{
  g_free (self);
}

void
sv_meters_note_request (SvMeters *self, const SvRequestMeasures *measured)
{
  const char *workspace = measured->workspace;
  const char *class = measured->route_class;

  cm_series_add (cm_metric_series (self->requests, workspace, class, measured->outcome), 1);
  if (measured->first > 0)
    cm_series_record (cm_metric_series (self->first, workspace, class, NULL),
                      (guint64)measured->first);
  cm_series_record (cm_metric_series (self->total, workspace, class, NULL),
                    (guint64)measured->total);
}

void
sv_meters_note_send (SvMeters *self, const char *service, const char *result)
{
  cm_series_add (cm_metric_series (self->sends, service, result, NULL), 1);
}

void
sv_meters_note_limited_send (SvMeters *self, const char *service)
{
  cm_series_add (cm_metric_series (self->limited, service, NULL, NULL), 1);
}

void
sv_meters_note_cold_send (SvMeters *self, const char *service)
{
  cm_series_add (cm_metric_series (self->cold, service, NULL, NULL), 1);
}

void
sv_meters_note_crash (SvMeters *self, const char *service)
{
  cm_series_add (cm_metric_series (self->crashes, service, NULL, NULL), 1);
}

void
sv_meters_set_quarantined (SvMeters *self, guint n)
{
  cm_series_set (cm_metric_series (self->quarantined, NULL, NULL, NULL), n);
}

void
sv_meters_note_pass (SvMeters *self, const char *direction, const char *result)
{
  cm_series_add (cm_metric_series (self->passed, direction, result, NULL), 1);
}

void
sv_meters_note_prediction (SvMeters *self, KnlTime expected, KnlTime actual)
{
  KnlTime error = actual - expected;

  cm_series_record (
      cm_metric_series (self->first_event_error, error > 0 ? "late" : "early", NULL, NULL),
      (guint64)ABS (error));
}

void
sv_meters_set_slow_endpoints (SvMeters *self, const char *service, guint n)
{
  cm_series_set (cm_metric_series (self->slow, service, NULL, NULL), n);
}

void
sv_meters_note_pace_report (SvMeters *self, const char *service, const char *result)
{
  cm_series_add (cm_metric_series (self->pace_reports, service, result, NULL), 1);
}
