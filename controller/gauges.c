/** The gauges and counters of a controller, read when /metrics is requested. */

#include "controller/state.h"

typedef struct
{
  CmMetricDef def;
  double (*value) (CtController *controller);
} Gauge;

static double
leases_held (CtController *controller)
{
  return co_leases_held (controller->leases);
}

static double
revision (CtController *controller)
{
  return (double)*co_config_revision (controller->config);
}

static double
highest_revision (CtController *controller)
{
  return (double)co_config_store_highest (controller->store);
}

static double
reports (CtController *controller)
{
  return (double)ct_engines_counts (controller->engines).reports;
}

static double
grants (CtController *controller)
{
  return (double)ct_engines_counts (controller->engines).grants;
}

static double
orders (CtController *controller)
{
  return (double)ct_engines_counts (controller->engines).orders;
}

static double
leaks (CtController *controller)
{
  return (double)ct_engines_counts (controller->engines).leaks;
}

static double
batches (CtController *controller)
{
  return (double)co_idem_batches (controller->idem);
}

static double
records (CtController *controller)
{
  return co_idem_cached (controller->idem);
}

static double
swept (CtController *controller)
{
  return (double)co_idem_sweep_deleted (controller->sweep);
}

static double
relayed (CtController *controller)
{
  return ct_relay_pending (controller->relay);
}

static double
suspects (CtController *controller)
{
  return co_suspects_count (controller->suspects);
}

#define GAUGE(metric, text, kind, func)                                                            \
  {                                                                                                \
    .def = { .name = (metric), .help = (text), .type = (kind) }, .value = (func)                   \
  }

static const Gauge gauges[] = {
  GAUGE ("alderturn_leases_held",
         "Shards whose lease this controller holds",
         CM_METRIC_GAUGE,
         leases_held),
  GAUGE ("alderturn_config_revision",
         "Revision of the configuration in force here",
         CM_METRIC_GAUGE,
         revision),
  GAUGE ("alderturn_config_revision_highest",
         "Highest revision heard of",
         CM_METRIC_GAUGE,
         highest_revision),
  GAUGE ("alderturn_engine_reports_total", "Reports read from engines", CM_METRIC_COUNTER, reports),
  GAUGE ("alderturn_credit_grants_total", "Grants made to entries", CM_METRIC_COUNTER, grants),
  GAUGE ("alderturn_orders_total", "Orders sent to engines", CM_METRIC_COUNTER, orders),
  GAUGE ("alderturn_leaks_cancelled_total",
         "Cancels sent for requests that engines held for nobody",
         CM_METRIC_COUNTER,
         leaks),
  GAUGE ("alderturn_idem_transactions_total",
         "Transactions of idempotency records",
         CM_METRIC_COUNTER,
         batches),
  GAUGE ("alderturn_idem_records", "Idempotency records in memory", CM_METRIC_GAUGE, records),
  GAUGE ("alderturn_idem_records_deleted_total",
         "Idempotency records deleted after their retention",
         CM_METRIC_COUNTER,
         swept),
  GAUGE ("alderturn_relay_pending",
         "Requests for records on their way to a holder",
         CM_METRIC_GAUGE,
         relayed),
  GAUGE ("alderturn_suspects", "Crash fingerprints known", CM_METRIC_GAUGE, suspects),
};

void
ct_controller_update_metrics (CtController *controller)
{
  for (guint i = 0; i < G_N_ELEMENTS (gauges); i++)
    {
      CmMetric *metric = cm_metrics_add (controller->options.metrics, &gauges[i].def);
      CmSeries *series = cm_metric_series (metric, NULL, NULL, NULL);
      double value = gauges[i].value (controller);

      if (gauges[i].def.type == CM_METRIC_GAUGE)
        cm_series_set (series, value);
      else
        cm_series_add (series, value - cm_series_value (series));
    }
}
