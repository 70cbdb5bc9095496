/** Reacts to a restoration of the store from an older copy (a new era): tables are read again, and
 * relays write the rows of their cells again. */

#include "gateway.h"

/* Relays read the rows of cells again after a random delay of up to this, so that a store that has
 * just been restored isn't hit by all of them at once. */
#define REREAD_JITTER (1200 * KNL_MSEC)

static const CmMetricDef era_metric = {
  .name = "alderturn_store_eras_total",
  .help = "Times that the store came back from an older copy",
  .type = CM_METRIC_COUNTER,
};

static void
reread_tables (Gateway *self)
{
  if (self->config_feed == NULL)
    return;
  pl_feed_note_era (self->config_feed);
  pl_feed_note_era (self->endpoints_feed);
}

static void
on_reread_due (gpointer data)
{
  Gateway *self = data;

  self->reread_timer = 0;
  gateway_reread_cells (self);
}

static void
on_era (PlStore *store, gpointer data)
{
  Gateway *self = data;
  KnlKernel *kernel = self->process.kernel;
  guint64 old_era = self->era;

  if (pl_store_era (store) <= self->era)
    return;
  self->era = pl_store_era (store);
  pl_store_note_era (self->store, self->era);
  if (self->peer_store != NULL)
    pl_store_note_era (self->peer_store, self->era);
  if (old_era == 0)
    return;
  cm_series_add (self->era_series, 1);
  reread_tables (self);
  knl_timer_stop (kernel, &self->reread_timer);
  self->reread_timer = knl_timer_start (
      kernel, g_rand_int_range (knl_kernel_rand (kernel), 0, REREAD_JITTER), on_reread_due, self);
}

void
gateway_add_era_metric (Gateway *self)
{
  self->era_series =
      cm_metric_series (cm_metrics_add (self->metrics, &era_metric), NULL, NULL, NULL);
}

void
gateway_watch_era (Gateway *self, PlStore *store)
{
  pl_store_note_era (store, self->era);
  pl_store_on_era (store, on_era, self);
}

void
gateway_stop_watching_era (Gateway *self)
{
  knl_timer_stop (self->process.kernel, &self->reread_timer);
}
