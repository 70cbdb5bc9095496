/** Rows of the configuration's table that evacuate zones, and the gauges of evacuated zones. */

#include <string.h>

#include "common/log.h"
#include "gateway.h"

static const CmMetricDef zones_gauge = {
  .name = "alderturn_evacuated_zones",
  .help = "Zones that are evacuated",
  .type = CM_METRIC_GAUGE,
};

static const CmMetricDef requests_gauge = {
  .name = "alderturn_evacuated_requests",
  .help = "Requests of this instance in flight at endpoints of evacuated zones",
  .type = CM_METRIC_GAUGE,
};

/* The list's position is known at its end. */
void
gateway_begin_evacuations (Gateway *self)
{
  sv_evacuations_begin_list (sv_fleet_evacuations (self->fleet));
}

void
gateway_end_evacuations (Gateway *self)
{
  sv_evacuations_end_list (sv_fleet_evacuations (self->fleet),
                           pl_feed_position (self->config_feed));
}

/* Rate-limited, since a faulty writer may fill the table with such rows. */
static void
log_unreadable (Gateway *self, const PlRow *row)
{
  if (cm_log_rate_limit_allows (&self->evacuation_log_limit, knl_kernel_now (self->process.kernel)))
    cm_log (CM_LOG_WARNING, "evacuation-unreadable", "i", "key-bytes", (gint64)strlen (row->key),
            "i", "row-version", (gint64)row->version, "i", "so-far",
            self->evacuation_log_limit.count);
}

gboolean
gateway_take_evacuation (Gateway *self, const PlRow *row)
{
  SvEvacuations *evacuations = sv_fleet_evacuations (self->fleet);
  SvPosition position = { .era = pl_feed_position (self->config_feed).era,
                          .version = row->version };
  const char *zone;

  if (!pl_decode_evacuation (row->key, &zone))
    return FALSE;
  if (zone == NULL)
    log_unreadable (self, row);
  else if (row->removed)
    sv_evacuations_remove (evacuations, zone, position);
  else
    sv_evacuations_put (evacuations, zone, position);
  return TRUE;
}

void
gateway_apply_evacuation_bound (Gateway *self)
{
  sv_evacuations_set_restore_delay (sv_fleet_evacuations (self->fleet),
                                    self->boot->bounds.evacuation);
}

static void
set_gauge (Gateway *self, const CmMetricDef *def, guint value)
{
  CmMetric *metric = cm_metrics_add (self->metrics, def);

  cm_series_set (cm_metric_series (metric, NULL, NULL, NULL), value);
}

void
gateway_update_evacuation_gauges (Gateway *self)
{
  set_gauge (self, &zones_gauge, sv_evacuations_count (sv_fleet_evacuations (self->fleet)));
  set_gauge (self, &requests_gauge, sv_fleet_n_evacuated_requests (self->fleet));
}
