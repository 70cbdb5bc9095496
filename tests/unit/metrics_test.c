/** Metrics: error bound of histograms, bounded label sets, text format, memory use. */

#include "common/metrics.h"
#include "suite.h"

#include <stdio.h>
#include <string.h>

static void
test_quantiles_within_bound (void)
{
  static const guint64 rows[] = { 0, 1, 31, 32, 33, 1000, 65535, 1000000, 123456789, G_MAXINT64 };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      CmHistogram histogram = { 0 };
      double found;

      cm_histogram_record (&histogram, rows[i]);
      cm_histogram_record (&histogram, G_MAXUINT64);
      found = (double)cm_histogram_quantile (&histogram, 0.5);
      CU_ASSERT (ABS (found - (double)rows[i]) <= (double)rows[i] / 64);
      cm_histogram_clear (&histogram);
    }
}

static void
test_merge_is_as_recorded_together (void)
{
  CmHistogram parts[2] = { 0 };
  CmHistogram combined = { 0 };

  for (guint64 value = 1; value < 100000; value += 7)
    {
      cm_histogram_record (&parts[value % 2], value);
      cm_histogram_record (&combined, value);
    }
  cm_histogram_merge (&parts[0], &parts[1]);
  CU_ASSERT_EQUAL (parts[0].count, combined.count);
  CU_ASSERT_EQUAL (parts[0].sum, combined.sum);
  for (guint step = 0; step <= 20; step++)
    CU_ASSERT_EQUAL (cm_histogram_quantile (&parts[0], step / 20.0),
                     cm_histogram_quantile (&combined, step / 20.0));
  CU_ASSERT_EQUAL (cm_histogram_count_below (&combined, 1024), (1023 + 6) / 7);
  cm_histogram_clear (&parts[0]);
  cm_histogram_clear (&parts[1]);
  cm_histogram_clear (&combined);
}

static const CmMetricDef ended = {
  .name = "ended_total",
  .help = "Requests",
  .type = CM_METRIC_COUNTER,
  .labels = { "workspace", "outcome" },
  .bound = 2,
};

static const CmMetricDef waited = {
  .name = "waited_seconds",
  .help = "Wait",
  .type = CM_METRIC_HISTOGRAM,
  .labels = { "workspace", "class" },
  .scale = 1e6,
  .first_exponent = 10,
  .last_exponent = 11,
};

static void
test_text_and_bounded_labels (void)
{
  static const char expected[] =
      "# HELP ended_total Requests\n# TYPE ended_total counter\n"
      "ended_total{workspace=\"a\\\"b\",outcome=\"done\"} 2\n"
      "ended_total{workspace=\"c\",outcome=\"done\"} 1\n"
      "ended_total{workspace=\"other\",outcome=\"done\"} 2\n"
      "ended_total{workspace=\"other\",outcome=\"failed\"} 1\n"
      "ended_total{workspace=\"other\",outcome=\"other\"} 1\n"
      "# HELP waited_seconds Wait\n# TYPE waited_seconds histogram\n"
      "waited_seconds_bucket{workspace=\"a\",class=\"s\",le=\"0.001024\"} 1\n"
      "waited_seconds_bucket{workspace=\"a\",class=\"s\",le=\"0.002048\"} 2\n"
      "waited_seconds_bucket{workspace=\"a\",class=\"s\",le=\"+Inf\"} 2\n"
      "waited_seconds_sum{workspace=\"a\",class=\"s\"} 0.0025\n"
      "waited_seconds_count{workspace=\"a\",class=\"s\"} 2\n";
  g_autoptr (CmMetrics) metrics = cm_metrics_new ();
  CmMetric *histogram = cm_metrics_add (metrics, &waited);
  CmMetric *counter = cm_metrics_add (metrics, &ended);
  GString *text;

  CU_ASSERT_PTR_EQUAL (cm_metrics_add (metrics, &ended), counter);
  cm_series_add (cm_metric_series (counter, "a\"b", "done", NULL), 2);
  cm_series_add (cm_metric_series (counter, "c", "done", NULL), 1);
  cm_series_add (cm_metric_series (counter, "d", "done", NULL), 1);
  cm_series_add (cm_metric_series (counter, "e", "done", NULL), 1);
  cm_series_add (cm_metric_series (counter, "e", "failed", NULL), 1);
  cm_series_add (cm_metric_series (counter, "e", "unknown", NULL), 1);
  cm_series_record (cm_metric_series (histogram, "a", "s", NULL), 1000);
  cm_series_record (cm_metric_series (histogram, "a", "s", NULL), 1500);
  text = cm_metrics_render (metrics);
  CU_ASSERT_STRING_EQUAL (text->str, expected);
  g_string_free (text, TRUE);
}

/* 600 workspaces with 5 length classes; values from 1 ms to 60 s, in every bucket. */
static void
test_memory_at_600_workspaces (void)
{
  g_autoptr (CmMetrics) metrics = cm_metrics_new ();
  CmMetric *histogram = cm_metrics_add (metrics, &waited);
  gsize bytes;

  for (guint series = 0; series < 3000; series++)
    {
      g_autofree char *workspace = g_strdup_printf ("workspace-%u", series / 5);
      g_autofree char *class = g_strdup_printf ("class-%u", series % 5);

      for (guint64 value = 1000; value < 60000000; value += value / 64)
        cm_series_record (cm_metric_series (histogram, workspace, class, NULL), value);
    }
  bytes = cm_metrics_bytes (metrics);
  printf ("%" G_GSIZE_FORMAT " bytes for 3000 histograms with every bucket hit ... ", bytes);
  CU_ASSERT (bytes < (gsize)24 * 1024 * 1024);
}

/* The number of series of an instance with 600 workspaces, 4 length classes and 4 outcomes. */
static void
test_default_bound_suffices_for_600_workspaces (void)
{
  static const CmMetricDef def = {
    .name = "requests_total",
    .help = "Requests",
    .type = CM_METRIC_COUNTER,
    .labels = { "workspace", "class", "outcome" },
  };
  g_autoptr (CmMetrics) metrics = cm_metrics_new ();
  CmMetric *counter = cm_metrics_add (metrics, &def);
  GString *text;

  for (guint series = 0; series < 9600; series++)
    {
      char workspace[8];
      char class[8];
      char outcome[8];

      g_snprintf (workspace, sizeof workspace, "w%u", series / 16);
      g_snprintf (class, sizeof class, "c%u", series / 4 % 4);
      g_snprintf (outcome, sizeof outcome, "o%u", series % 4);
      cm_series_add (cm_metric_series (counter, workspace, class, outcome), 1);
    }
  text = cm_metrics_render (metrics);
  CU_ASSERT_PTR_NULL (strstr (text->str, "\"other\""));
  printf ("%" G_GSIZE_FORMAT " bytes ... ", cm_metrics_bytes (metrics));
  g_string_free (text, TRUE);
}

static const SuiteCase cases[] = {
  { "quantiles are within 1/64", test_quantiles_within_bound },
  { "merging equals recording together", test_merge_is_as_recorded_together },
  { "text format and bounded labels", test_text_and_bounded_labels },
  { "memory at 600 workspaces", test_memory_at_600_workspaces },
  { "the default bound is enough for 600 workspaces",
    test_default_bound_suffices_for_600_workspaces },
};

SUITE_MAIN ("metrics", cases)
