/** Reacts to a restoration of the store from an older copy (a new era): tables are read again, and
 * this instance writes its own row again. */

#include "gateway.h"

/* Instances write their rows again after a random delay of up to this, so that a store that has
 * just been restored isn't hit by all of them at once. */
#define ENTER_SPREAD (1200 * KNL_MSEC)

static const CmMetricDef eras_def = {
  .name = "alderturn_store_eras_total",
  .help = "Restorations of the store from an older copy",
  .type = CM_METRIC_COUNTER,
};

static void
read_all_anew (Gateway *self)
{
  if (self->config_feed == NULL)
    return;
  pl_feed_note_era (self->config_feed);
  pl_feed_note_era (self->endpoints_feed);
}

static void
on_enter_due (gpointer data)
{
  Gateway *self = data;

  self->enter_timer = 0;
  gateway_enter_again (self);
}

static void
on_era (PlStore *store, gpointer data)
{
  Gateway *self = data;
  KnlKernel *kernel = self->process.kernel;
  guint64 before = self->era;

  if (pl_store_era (store) <= self->era)
    return;
  self->era = pl_store_era (store);
  pl_store_note_era (self->store, self->era);
  if (self->peer_store != NULL)
    pl_store_note_era (self->peer_store, self->era);
  if (before == 0)
    return;
  cm_series_add (self->eras, 1);
  read_all_anew (self);
  knl_timer_stop (kernel, &self->enter_timer);
  self->enter_timer = knl_timer_start (
      kernel, g_rand_int_range (knl_kernel_rand (kernel), 0, ENTER_SPREAD), on_enter_due, self);
}

void
gateway_meter_eras (Gateway *self)
{
  self->eras = cm_metric_series (cm_metrics_add (self->metrics, &eras_def), NULL, NULL, NULL);
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
  knl_timer_stop (self->process.kernel, &self->enter_timer);
}
