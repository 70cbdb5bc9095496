#include "common/metrics.h"

#include <string.h>

#define DEFAULT_FIRST_EXPONENT 10
#define DEFAULT_LAST_EXPONENT  26
#define KEY_SEPARATOR          "\x1f"

struct CmSeries
{
  const CmMetric *metric;
  char *labels; /* as rendered, without braces; "" for none */
  union
  {
    double value;
    CmHistogram histogram;
  };
};

struct CmMetric
{
  const CmMetricDef *def;
  GHashTable *series; /* label values joined -> CmSeries */
};

struct CmMetrics
{
  GPtrArray *metrics; /* CmMetric, sorted by name */
};

static void
series_free (gpointer data)
{
  CmSeries *series = data;

  if (series->metric->def->type == CM_METRIC_HISTOGRAM)
    cm_histogram_clear (&series->histogram);
  g_free (series->labels);
  g_free (series);
}

static void
metric_free (gpointer data)
{
  CmMetric *metric = data;

  g_hash_table_unref (metric->series);
  g_free (metric);
}

CmMetrics *
cm_metrics_new (void)
{
  CmMetrics *metrics = g_new0 (CmMetrics, 1);

  metrics->metrics = g_ptr_array_new_with_free_func (metric_free);
  return metrics;
}

void
cm_metrics_free (CmMetrics *metrics)
{
  if (metrics == NULL)
    return;
  g_ptr_array_unref (metrics->metrics);
  g_free (metrics);
}

CmMetric *
cm_metrics_add (CmMetrics *metrics, const CmMetricDef *def)
{
  CmMetric *metric;
  guint position = 0;

  while (position < metrics->metrics->len)
    {
      int order;

      metric = g_ptr_array_index (metrics->metrics, position);
      order = strcmp (metric->def->name, def->name);
      if (order == 0)
        return metric;
      if (order > 0)
        break;
      position++;
    }
  metric = g_new0 (CmMetric, 1);
  metric->def = def;
  metric->series = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, series_free);
  g_ptr_array_insert (metrics->metrics, (gint)position, metric);
  return metric;
}

static void
append_escaped (GString *text, const char *value, gboolean quotes)
{
  for (const char *c = value; *c != '\0'; c++)
    {
      if (*c == '\n')
        g_string_append (text, "\\n");
      else if (*c == '\\' || (quotes && *c == '"'))
        g_string_append_printf (text, "\\%c", *c);
      else
        g_string_append_c (text, *c);
    }
}

static char *
render_labels (const CmMetricDef *def, const char *const *values)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < CM_METRIC_LABELS && def->labels[i] != NULL; i++)
    {
      g_string_append_printf (text, "%s%s=\"", i > 0 ? "," : "", def->labels[i]);
      append_escaped (text, values[i], TRUE);
      g_string_append_c (text, '"');
    }
  return g_string_free (text, FALSE);
}

static CmSeries *
metric_find (CmMetric *metric, const char *const *values, gboolean create)
{
  char *key = g_strjoin (KEY_SEPARATOR, values[0], values[1], values[2], NULL);
  CmSeries *series = g_hash_table_lookup (metric->series, key);

  if (series != NULL || !create)
    {
      g_free (key);
      return series;
    }
  series = g_new0 (CmSeries, 1);
  series->metric = metric;
  series->labels = render_labels (metric->def, values);
  g_hash_table_insert (metric->series, key, series);
  return series;
}

static guint
metric_bound (const CmMetricDef *def)
{
  if (def->bound > 0)
    return def->bound;
  return def->type == CM_METRIC_HISTOGRAM ? CM_METRIC_HISTOGRAM_BOUND : CM_METRIC_SERIES_BOUND;
}

CmSeries *
cm_metric_series (CmMetric *metric, const char *first, const char *second, const char *third)
{
  const char *values[CM_METRIC_LABELS] = { first != NULL ? first : "", second != NULL ? second : "",
                                           third != NULL ? third : "" };
  guint bound = metric_bound (metric->def);
  CmSeries *series = metric_find (metric, values, FALSE);

  if (series != NULL)
    return series;
  /* Label values come from requests. Without a bound, a caller that keeps sending new names would
   * grow memory (visible in cm_metrics_bytes()) and every scrape. At the bound only the first label
   * is replaced, so that classes and outcomes stay distinct; at twice the bound all labels are. */
  if (g_hash_table_size (metric->series) >= bound)
    values[0] = CM_METRIC_OTHER;
  if (g_hash_table_size (metric->series) >= 2 * bound)
    values[1] = values[2] = CM_METRIC_OTHER;
  return metric_find (metric, values, TRUE);
}

void
cm_series_add (CmSeries *series, double amount)
{
  g_return_if_fail (series->metric->def->type != CM_METRIC_HISTOGRAM);
  series->value += amount;
}

void
cm_series_set (CmSeries *series, double value)
{
  g_return_if_fail (series->metric->def->type == CM_METRIC_GAUGE);
  series->value = value;
}

void
cm_series_record (CmSeries *series, guint64 value)
{
  g_return_if_fail (series->metric->def->type == CM_METRIC_HISTOGRAM);
  cm_histogram_record (&series->histogram, value);
}

double
cm_series_value (const CmSeries *series)
{
  g_return_val_if_fail (series->metric->def->type != CM_METRIC_HISTOGRAM, 0);
  return series->value;
}

const CmHistogram *
cm_series_histogram (const CmSeries *series)
{
  g_return_val_if_fail (series->metric->def->type == CM_METRIC_HISTOGRAM, NULL);
  return &series->histogram;
}

static void
append_number (GString *text, double value)
{
  char buffer[G_ASCII_DTOSTR_BUF_SIZE];

  g_string_append (text, g_ascii_formatd (buffer, sizeof buffer, "%.15g", value));
  g_string_append_c (text, '\n');
}

static void
append_sample (GString *text, const CmSeries *series, const char *suffix, double value)
{
  g_string_append_printf (text, "%s%s", series->metric->def->name, suffix);
  if (series->labels[0] != '\0')
    g_string_append_printf (text, "{%s}", series->labels);
  g_string_append_c (text, ' ');
  append_number (text, value);
}

static void
append_bucket (GString *text, const CmSeries *series, const char *le, guint64 count)
{
  g_string_append_printf (text, "%s_bucket{%s%sle=\"%s\"} %" G_GUINT64_FORMAT "\n",
                          series->metric->def->name, series->labels,
                          series->labels[0] != '\0' ? "," : "", le, count);
}

/* Prometheus' buckets include their upper bound, these buckets exclude it: with values in whole
 * microseconds the difference is one microsecond. */
static void
append_histogram (GString *text, const CmSeries *series)
{
  const CmMetricDef *def = series->metric->def;
  double scale = def->scale > 0 ? def->scale : 1;
  guint first = def->last_exponent > 0 ? def->first_exponent : DEFAULT_FIRST_EXPONENT;
  guint last = def->last_exponent > 0 ? def->last_exponent : DEFAULT_LAST_EXPONENT;

  for (guint exponent = first; exponent <= last; exponent++)
    {
      guint64 limit = (guint64)1 << exponent;
      char le[G_ASCII_DTOSTR_BUF_SIZE];

      g_ascii_formatd (le, sizeof le, "%.9g", (double)limit / scale);
      append_bucket (text, series, le, cm_histogram_count_below (&series->histogram, limit));
    }
  append_bucket (text, series, "+Inf", series->histogram.count);
  append_sample (text, series, "_sum", (double)series->histogram.sum / scale);
  append_sample (text, series, "_count", (double)series->histogram.count);
}

static gint
compare_series (gconstpointer a, gconstpointer b)
{
  return strcmp (((const CmSeries *)a)->labels, ((const CmSeries *)b)->labels);
}

static void
append_metric (GString *text, const CmMetric *metric)
{
  static const char *const types[] = {
    [CM_METRIC_COUNTER] = "counter",
    [CM_METRIC_GAUGE] = "gauge",
    [CM_METRIC_HISTOGRAM] = "histogram",
  };
  GList *all = g_list_sort (g_hash_table_get_values (metric->series), compare_series);

  g_string_append_printf (text, "# HELP %s ", metric->def->name);
  append_escaped (text, metric->def->help, FALSE);
  g_string_append_printf (text, "\n# TYPE %s %s\n", metric->def->name, types[metric->def->type]);
  for (GList *item = all; item != NULL; item = item->next)
    {
      const CmSeries *series = item->data;

      if (metric->def->type == CM_METRIC_HISTOGRAM)
        append_histogram (text, series);
      else
        append_sample (text, series, "", series->value);
    }
  g_list_free (all);
}

static void
append_metrics (const CmMetrics *metrics, gboolean histograms, GString *text)
{
  for (guint i = 0; i < metrics->metrics->len; i++)
    {
      const CmMetric *metric = g_ptr_array_index (metrics->metrics, i);

      if ((metric->def->type == CM_METRIC_HISTOGRAM) == histograms)
        append_metric (text, metric);
    }
}

GString *
cm_metrics_render (const CmMetrics *metrics)
{
  GString *text = g_string_new (NULL);

  append_metrics (metrics, FALSE, text);
  append_metrics (metrics, TRUE, text);
  return text;
}

gsize
cm_metrics_bytes (const CmMetrics *metrics)
{
  gsize bytes = 0;

  for (guint i = 0; i < metrics->metrics->len; i++)
    {
      const CmMetric *metric = g_ptr_array_index (metrics->metrics, i);
      GHashTableIter iter;
      gpointer key;
      gpointer value;

      g_hash_table_iter_init (&iter, metric->series);
      while (g_hash_table_iter_next (&iter, &key, &value))
        {
          const CmSeries *series = value;

          bytes += sizeof (CmSeries) + strlen (key) + strlen (series->labels) + 2;
          if (metric->def->type == CM_METRIC_HISTOGRAM)
            bytes += cm_histogram_bytes (&series->histogram) - sizeof (CmHistogram);
        }
    }
  return bytes;
}
