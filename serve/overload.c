#include "serve/overload.h"

#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "serve/engine_model.h"
#include "serve/router_internal.h"

/* Interval of the measurements: about the time of two passes, within which loads change. */
#define INTERVAL (100 * KNL_MSEC)

/* A service is saturated when this fraction of its slots is taken: packing leaves a quarter of the
 * slots of an endpoint free for requests that other instances send at the same time, and beyond
 * that first events are late. Prefill is no measure: long prompts wait for it at the instance. */
#define SATURATED_SLOTS 0.8

/* Shares are in force for this long after the last saturation. */
#define SHARING_TIME (2 * KNL_SEC)

/* Planned utilisation: its bounds, and its change in each interval. It falls faster than it rises,
 * so that queues at the engines are short-lived. From its minimum it rises above SATURATED_SLOTS
 * within SHARING_TIME, so that shares don't lapse while a surge goes on. */
#define MIN_UTILISATION 0.5
#define MAX_UTILISATION 1.0
#define FALL_FACTOR     0.95
#define RISE            0.02

/* There are no shares until this fraction of the instances has reported what they are offered:
 * scaled to all instances, uneven arrivals at a few of them would pass for overload. */
#define MIN_HEARD_FRACTION 0.5

/* Minimum that each class gets of what it offers, so that long prompts keep a share beside a surge
 * of short ones. It decides only on the order within a rank. */
#define MIN_CLASS_FRACTION 0.2

/* Prompts with a longer prefill, in ms, are long. */
#define MEDIUM_PREFILL_MS 1000.0

/* Distinguishes the hash that selects the requests within a share from the one that selects a
 * route's service. */
#define SHARE_SEED 1

struct SvOverload
{
  SvOverloadParts parts;
  char *service;
  guint32 id;
  SvEngineSpec spec;
  double utilisation;
  KnlTime saturated_at; /* -KNL_NEVER: never */
  KnlTimerId timer;
  CmLogRateLimit over_share; /* limits log lines about requests beyond a share */
  CmSeries *offered_gauge;
  CmSeries *planned_gauge;
  CmSeries *admitted_gauge;

  /* the plan; all zero while none is in force */
  gboolean is_planned;
  PolAdmissionClass classes[SV_OFFERED_CLASSES];
  GHashTable *loads; /* &key of class and workspace -> guint64, load of one workspace */
  guint64 offered;
  guint64 capacity;
  guint heard;
  KnlTime age; /* of the oldest report that the plan is made of, at `planned_at` */
  KnlTime planned_at;
};

static const CmMetricDef offered_def = {
  .name = "alderturn_offered_load",
  .help = "Engine time that all callers ask for, s/s, while the service is saturated",
  .type = CM_METRIC_GAUGE,
  .labels = { "service" },
};

static const CmMetricDef planned_def = {
  .name = "alderturn_planned_load",
  .help = "Engine time that is planned to be used, s/s",
  .type = CM_METRIC_GAUGE,
  .labels = { "service" },
};

static const CmMetricDef admitted_def = {
  .name = "alderturn_admitted_load",
  .help = "Engine time of the requests that are admitted, s/s, while the service is saturated",
  .type = CM_METRIC_GAUGE,
  .labels = { "service" },
};

/* Load of the service's usable endpoints. */
typedef struct
{
  guint n;
  guint calls; /* at each endpoint up to its slots */
  guint slots;
} EnginesLoad;

static EnginesLoad
measure (const SvOverload *self, KnlTime now)
{
  const GPtrArray *endpoints = sv_fleet_service (self->parts.fleet, self->service);
  EnginesLoad sum = { 0 };

  for (guint i = 0; endpoints != NULL && i < endpoints->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (!sv_endpoint_is_usable (endpoint, now))
        continue;
      sum.n++;
      sum.slots += self->spec.slots;
      sum.calls += MIN (sv_endpoint_load (endpoint, now).calls, self->spec.slots);
    }
  return sum;
}

static gboolean
is_saturated (const EnginesLoad *load)
{
  return load->n > 0 && load->calls >= SATURATED_SLOTS * load->slots;
}

gboolean
sv_overload_is_saturated (const SvOverload *self)
{
  return self->saturated_at != -KNL_NEVER
         && knl_kernel_now (self->parts.kernel) - self->saturated_at < SHARING_TIME;
}

static guint64
row_key (guint class, guint32 workspace)
{
  return (guint64) class << 32 | workspace;
}

static void
note_load (SvOverload *self, const PolOfferedRow *row)
{
  guint64 *load = g_new (guint64, 2);

  load[0] = row_key (row->class, row->workspace);
  load[1] = row->load / MAX (row->n, 1);
  g_hash_table_replace (self->loads, load, load);
}

static void
drop_plan (SvOverload *self)
{
  self->is_planned = FALSE;
  g_hash_table_remove_all (self->loads);
  cm_series_set (self->offered_gauge, 0);
  cm_series_set (self->admitted_gauge, 0);
}

static void
make_plan (SvOverload *self, KnlTime now)
{
  guint known = self->parts.n_instances (self->parts.data);
  SvOfferedTotals totals = sv_offered_totals (self->parts.offered, self->id, known);
  guint64 admitted = 0;

  pol_admission_plan (self->capacity, self->classes, SV_OFFERED_CLASSES,
                      (PolOfferedRow *)(gpointer)totals.rows->data, totals.rows->len);
  self->offered = 0;
  for (guint i = 0; i < SV_OFFERED_CLASSES; i++)
    {
      self->offered += self->classes[i].offered;
      admitted += self->classes[i].capacity;
    }
  g_hash_table_remove_all (self->loads);
  for (guint i = 0; i < totals.rows->len; i++)
    note_load (self, &g_array_index (totals.rows, PolOfferedRow, i));
  self->is_planned = totals.heard >= MIN_HEARD_FRACTION * known;
  self->heard = totals.heard;
  self->age = totals.age;
  self->planned_at = now;
  cm_series_set (self->offered_gauge, (double)self->offered / KNL_SEC);
  cm_series_set (self->admitted_gauge, (double)admitted / KNL_SEC);
  sv_offered_totals_clear (&totals);
}

static void
on_due (gpointer data)
{
  SvOverload *self = data;
  KnlTime now = knl_kernel_now (self->parts.kernel);
  EnginesLoad load = measure (self, now);
  gboolean saturated = is_saturated (&load);

  self->timer = knl_timer_start (self->parts.kernel, INTERVAL, on_due, self);
  self->utilisation = CLAMP (saturated ? self->utilisation * FALL_FACTOR : self->utilisation + RISE,
                             MIN_UTILISATION, MAX_UTILISATION);
  self->capacity = (guint64)(self->utilisation * load.n * KNL_SEC);
  cm_series_set (self->planned_gauge, (double)self->capacity / KNL_SEC);
  if (saturated)
    {
      self->saturated_at = now;
      sv_offered_note_saturated (self->parts.offered, self->id);
    }
  if (sv_overload_is_saturated (self))
    make_plan (self, now);
  else if (self->is_planned)
    drop_plan (self);
}

SvOverload *
sv_overload_new (const SvOverloadParts *parts, const char *service, const SvEngineSpec *spec)
{
  SvOverload *self = g_new0 (SvOverload, 1);

  self->parts = *parts;
  self->service = g_strdup (service);
  self->id = sv_offered_service_id (service);
  self->spec = *spec;
  self->utilisation = MAX_UTILISATION;
  self->saturated_at = -KNL_NEVER;
  self->loads = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  for (guint i = 0; i < SV_OFFERED_CLASSES; i++)
    self->classes[i] = (PolAdmissionClass){ .min_fraction = MIN_CLASS_FRACTION };
  self->offered_gauge =
      cm_metric_series (cm_metrics_add (parts->metrics, &offered_def), service, NULL, NULL);
  self->planned_gauge =
      cm_metric_series (cm_metrics_add (parts->metrics, &planned_def), service, NULL, NULL);
  self->admitted_gauge =
      cm_metric_series (cm_metrics_add (parts->metrics, &admitted_def), service, NULL, NULL);
  self->timer = knl_timer_start (parts->kernel, INTERVAL, on_due, self);
  return self;
}

void
sv_overload_free (SvOverload *self)
{
  if (self == NULL)
    return;
  knl_timer_stop (self->parts.kernel, &self->timer);
  drop_plan (self);
  g_hash_table_unref (self->loads);
  g_free (self->service);
  g_free (self);
}

void
sv_overload_set_spec (SvOverload *self, const SvEngineSpec *spec)
{
  self->spec = *spec;
}

double
sv_overload_utilisation (const SvOverload *self)
{
  return self->utilisation;
}

static SvPrefillLength
length_of (const SvOverloadRequest *request, double prefill_ms)
{
  /* Prompts of streams with a tight gap objective are placed like short ones. */
  if (prefill_ms <= SV_SPLIT_MS || sv_gap_class_of (request->gap_objective) == SV_GAP_TIGHT)
    return SV_PREFILL_SHORT;
  return prefill_ms <= MEDIUM_PREFILL_MS ? SV_PREFILL_MEDIUM : SV_PREFILL_LONG;
}

static guint
class_of (const SvOverload *self, const SvOverloadRequest *request)
{
  double prefill_ms = sv_model_prefill_ms (&self->spec, (double)request->prompt_tokens);
  SvOfferedClass class = {
    .priority = request->priority,
    .length = length_of (request, prefill_ms),
  };

  return sv_offered_class_index (&class);
}

/* The workspace's load in the class; one without a row of its own is one of the others. */
static guint64
load_of_workspace (const SvOverload *self, guint class, guint32 workspace)
{
  guint64 key = row_key (class, workspace);
  const guint64 *load = g_hash_table_lookup (self->loads, &key);

  if (load == NULL)
    {
      key = row_key (class, 0);
      load = g_hash_table_lookup (self->loads, &key);
    }
  return load != NULL ? load[1] : 0;
}

static double
share_of (const SvOverload *self, guint class, guint32 workspace)
{
  if (!self->is_planned || !sv_overload_is_saturated (self))
    return 1;
  return pol_admission_fraction (&self->classes[class], load_of_workspace (self, class, workspace));
}

static void
log_over_share (SvOverload *self, const SvOverloadRequest *request, guint class, double fraction)
{
  KnlTime now = knl_kernel_now (self->parts.kernel);
  g_autofree char *name = NULL;
  guint32 workspace = sv_offered_workspace_id (request->workspace);

  if (!cm_log_rate_limit_allows (&self->over_share, now))
    return;
  name = sv_offered_class_name (class);
  cm_log (CM_LOG_NOTICE, "over-share", "s", "request", request->id, "s", "service", self->service,
          "s", "class", name, "s", "workspace", request->workspace, "f", "share", fraction, "f",
          "workspace-load", (double)load_of_workspace (self, class, workspace) / KNL_SEC, "f",
          "class-offered", (double)self->classes[class].offered / KNL_SEC, "f", "class-planned",
          (double)self->classes[class].capacity / KNL_SEC, "f", "offered",
          (double)self->offered / KNL_SEC, "f", "planned", (double)self->capacity / KNL_SEC, "i",
          "instances-heard", (gint64)self->heard, "i", "age-us", self->age + now - self->planned_at,
          "i", "so-far", self->over_share.count);
}

gboolean
sv_overload_is_in_share (SvOverload *self, const SvOverloadRequest *request)
{
  guint class = class_of (self, request);
  guint32 workspace = sv_offered_workspace_id (request->workspace);
  double cost_ms = sv_model_request_ms (&self->spec, (double)request->prompt_tokens,
                                        (double)request->answer_tokens);
  guint64 hash = XXH64 (request->id, strlen (request->id), SHARE_SEED);
  double fraction;

  sv_offered_note_request (self->parts.offered, self->id, class, workspace,
                           (guint64)(cost_ms * KNL_MSEC));
  if (request->is_exempt)
    return TRUE;
  fraction = share_of (self, class, workspace);
  if ((double)(hash >> 11) / 0x1p53 < fraction)
    return TRUE;
  log_over_share (self, request, class, fraction);
  return FALSE;
}
