/** Measures the callbacks of the event loop: while one runs, all streams of this instance are
 * delayed. */

#include <string.h>

#include "gateway.h"

/* Callback names in the metric; further ones are counted together. */
#define NAMES_MOST 128

static const CmMetricDef turn_metric = {
  .name = "alderturn_turn_seconds",
  .help = "Time that one callback of the event loop took, by its place in the source",
  .type = CM_METRIC_HISTOGRAM,
  .labels = { "callback" },
  .bound = NAMES_MOST,
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
  CmSeries *series = g_hash_table_lookup (self->turn_series, name);

  if (series != NULL)
    return series;
  series = cm_metric_series (cm_metrics_add (self->metrics, &turn_metric), short_name (name), NULL,
                             NULL);
  g_hash_table_insert (self->turn_series, (gpointer)name, series);
  return series;
}

static void
on_turn (const char *name, KnlTime took, gpointer data)
{
  Gateway *self = data;

  cm_series_record (series_of (self, name), (guint64)MAX (took, 0));
  if (took <= self->turn_limit
      || !cm_log_limit (&self->long_turns, knl_kernel_now (self->process.kernel)))
    return;
  cm_log (CM_LOG_WARNING, "turn-long", "s", "callback", short_name (name), "i", "took-us", took,
          "i", "limit-us", self->turn_limit, "i", "so-far", (gint64)self->long_turns.count);
}

void
gateway_meter_turns (Gateway *self, KnlTime limit)
{
  guint strength = MAX (self->boot->strength, 1);

  self->turn_series = g_hash_table_new (NULL, NULL);
  self->turn_limit = limit * 1000 / MIN (strength, 1000);
  knl_kernel_set_meter (self->process.kernel, on_turn, self);
}

void
gateway_stop_meter (Gateway *self)
{
  knl_kernel_set_meter (self->process.kernel, NULL, NULL);
  g_clear_pointer (&self->turn_series, g_hash_table_unref);
}
