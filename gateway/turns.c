/** Measures the callbacks of the event loop: while one runs, all streams of this instance are
 * delayed. */

#include <string.h>

#include "gateway.h"

/* Number of callback names in the metric; callbacks beyond it are counted together. */
#define MAX_NAMES 128

static const CmMetricDef callback_metric = {
  .name = "alderturn_turn_seconds",
  .help = "Time that one callback of the event loop took, by its place in the source",
  .type = CM_METRIC_HISTOGRAM,
  .labels = { "callback" },
  .bound = MAX_NAMES,
  .scale = 1e6,
  .first_exponent = 6,
  .last_exponent = 20,
};

/* Returns the name without the relative path from the build folder to the source. */
static const char *
short_name (const char *name)
{
  while (g_str_has_prefix (name, "../"))
    name += strlen ("../");
  return name;
}

static CmSeries *
series_of (Gateway *self, const char *name)
{
  CmSeries *series = g_hash_table_lookup (self->callback_series, name);

  if (series != NULL)
    return series;
  series = cm_metric_series (cm_metrics_add (self->metrics, &callback_metric), short_name (name),
                             NULL, NULL);
  g_hash_table_insert (self->callback_series, (gpointer)name, series);
  return series;
}

static void
on_callback_end (const char *name, KnlTime duration, gpointer data)
{
  Gateway *self = data;

  cm_series_record (series_of (self, name), (guint64)MAX (duration, 0));
  if (duration <= self->callback_time_limit
      || !cm_log_rate_limit_allows (&self->slow_callback_log_limit,
                                    knl_kernel_now (self->process.kernel)))
    return;
  cm_log (CM_LOG_WARNING, "turn-long", "s", "callback", short_name (name), "i", "took-us", duration,
          "i", "limit-us", self->callback_time_limit, "i", "so-far",
          (gint64)self->slow_callback_log_limit.count);
}

void
gateway_start_callback_meter (Gateway *self, KnlTime limit)
{
  guint strength = MAX (self->boot->strength, 1);

  self->callback_series = g_hash_table_new (NULL, NULL);
  self->callback_time_limit = limit * 1000 / MIN (strength, 1000);
  knl_kernel_set_meter (self->process.kernel, on_callback_end, self);
}

void
gateway_stop_callback_meter (Gateway *self)
{
  knl_kernel_set_meter (self->process.kernel, NULL, NULL);
  g_clear_pointer (&self->callback_series, g_hash_table_unref);
}
