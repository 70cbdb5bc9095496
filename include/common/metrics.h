#pragma once

/**
 * Metrics of a program: counters, gauges and histograms with up to three
 * labels, rendered in Prometheus' text format. A registry is owned by its
 * creator; there is no global registry.
 *
 *     static const CmMetricDef ended = {
 *       .name = "alderturn_requests_total", .help = "Requests that have ended",
 *       .type = CM_METRIC_COUNTER, .labels = { "workspace", "outcome" },
 *     };
 *     CmMetric *metric = cm_metrics_add (metrics, &ended);
 *     cm_series_add (cm_metric_series (metric, "a", "done", NULL), 1);
 */

#include <glib.h>

#include "common/histogram.h"

#define CM_METRIC_LABELS 3

/**
 * Default maximum number of series per metric: enough for 600 workspaces with
 * their length classes and, for counters, outcomes.
 */
#define CM_METRIC_SERIES_BOUND    32768
#define CM_METRIC_HISTOGRAM_BOUND 8192

/** Label value of new series once a metric has reached its bound. */
#define CM_METRIC_OTHER "other"

typedef struct CmMetrics CmMetrics;
typedef struct CmMetric CmMetric;
typedef struct CmSeries CmSeries;

typedef enum
{
  CM_METRIC_COUNTER,
  CM_METRIC_GAUGE,
  CM_METRIC_HISTOGRAM,
} CmMetricType;

/** Definition of a metric; must outlive the registry. */
typedef struct
{
  const char *name;
  const char *help;
  CmMetricType type;
  /** The label with the most values, such as the workspace, goes first. */
  const char *labels[CM_METRIC_LABELS];
  /** Maximum number of series; 0: CM_METRIC_SERIES_BOUND, for histograms CM_METRIC_HISTOGRAM_BOUND.
   * New series beyond it get "other" as their first label, beyond twice it as all labels. */
  guint bound;
  /** Histograms: divisor of recorded values when rendered; 0: 1. */
  double scale;
  /** Histograms: "le" bounds are the powers of two from the first exponent to the last; both 0: 10
   * to 26 (1 ms to 67 s for values in microseconds). */
  guint first_exponent;
  guint last_exponent;
} CmMetricDef;

CmMetrics *cm_metrics_new (void);
void cm_metrics_free (CmMetrics *metrics);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (CmMetrics, cm_metrics_free)

/** Adds a metric, or returns the existing metric of that name. */
CmMetric *cm_metrics_add (CmMetrics *metrics, const CmMetricDef *def);

/**
 * Returns the series of `metric` with these label values (NULL for labels that
 * the metric does not have) and creates it if needed. The pointer is valid as
 * long as the registry, so hot paths can cache it.
 */
CmSeries *
cm_metric_series (CmMetric *metric, const char *first, const char *second, const char *third);

/** For counters and gauges. */
void cm_series_add (CmSeries *series, double amount);

/** For gauges. */
void cm_series_set (CmSeries *series, double value);

/** For histograms. */
void cm_series_record (CmSeries *series, guint64 value);

/** The value of a counter or gauge. */
double cm_series_value (const CmSeries *series);

/** The histogram of a series; owned by the series. */
const CmHistogram *cm_series_histogram (const CmSeries *series);

/** All metrics in Prometheus' text format 0.0.4; free with g_string_free. Counters and gauges come
 * first, so that a scraper that limits what it reads gets them whole; each part is sorted by name.
 */
GString *cm_metrics_render (const CmMetrics *metrics);

/** Memory used by all series, in bytes, without GLib's hash tables. */
gsize cm_metrics_bytes (const CmMetrics *metrics);
