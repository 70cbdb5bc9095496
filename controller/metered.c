#include "controller/metered.h"

typedef enum
{
  OP_TRANSACT,
  OP_READ,
  OP_SCAN,
  OP_INSTANCES,
} Operation;

static const char *const operation_names[] = {
  [OP_TRANSACT] = "transact",
  [OP_READ] = "read",
  [OP_SCAN] = "scan",
  [OP_INSTANCES] = "instances",
};

typedef struct
{
  TbTable base;
  TbTable *inner;
  KnlKernel *kernel;
  CmMetric *calls;
  CmMetric *times;
  GHashTable *pending; /* id -> Call */
} Metered;

typedef struct
{
  TbCallId id;
  Metered *metered;
  Operation operation;
  KnlTime started;
  union
  {
    TbTransactFunc transact;
    TbRowsFunc rows;
    TbInstancesFunc instances;
  } done;
  gpointer data;
} Call;

static const CmMetricDef calls_def = {
  .name = "alderturn_platform_calls_total",
  .help = "Calls to the platform that have ended",
  .type = CM_METRIC_COUNTER,
  .labels = { "operation", "status" },
};

static const CmMetricDef times_def = {
  .name = "alderturn_platform_call_seconds",
  .help = "Time from a call to the platform to its end",
  .type = CM_METRIC_HISTOGRAM,
  .labels = { "operation" },
  .scale = 1e6,
};

static Call *
call_new (TbTable *platform, Operation operation, gpointer data)
{
  Call *call = g_new0 (Call, 1);

  call->metered = (Metered *)platform;
  call->operation = operation;
  call->started = knl_kernel_now (call->metered->kernel);
  call->data = data;
  return call;
}

static TbCallId
call_opened (Call *call, TbCallId id)
{
  call->id = id;
  g_hash_table_insert (call->metered->pending, &call->id, call);
  return id;
}

static void
record_call (Call *call, TbStatus status)
{
  Metered *metered = call->metered;
  const char *name = operation_names[call->operation];

  cm_series_add (cm_metric_series (metered->calls, name, tb_status_name (status), NULL), 1);
  cm_series_record (cm_metric_series (metered->times, name, NULL, NULL),
                    (guint64)(knl_kernel_now (metered->kernel) - call->started));
  g_hash_table_steal (metered->pending, &call->id);
}

static void
on_transacted (TbStatus status, guint64 version, gpointer data)
{
  Call *call = data;

  record_call (call, status);
  call->done.transact (status, version, call->data);
  g_free (call);
}

static void
on_rows (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  Call *call = data;

  record_call (call, status);
  call->done.rows (status, rows, n_rows, more, call->data);
  g_free (call);
}

static void
on_instances (TbStatus status, Alderturn__Member *const *members, guint n_members, gpointer data)
{
  Call *call = data;

  record_call (call, status);
  call->done.instances (status, members, n_members, call->data);
  g_free (call);
}

static TbCallId
metered_transact (TbTable *platform,
                  const TbTransaction *transaction,
                  TbTransactFunc done,
                  gpointer data)
{
  Call *call = call_new (platform, OP_TRANSACT, data);

  call->done.transact = done;
  return call_opened (call, tb_transact (call->metered->inner, transaction, on_transacted, call));
}

static TbCallId
metered_read (TbTable *platform,
              const char *key,
              gboolean prefix,
              const char *after,
              guint limit,
              TbRowsFunc done,
              gpointer data)
{
  Call *call = call_new (platform, prefix ? OP_SCAN : OP_READ, data);
  TbTable *inner = call->metered->inner;

  call->done.rows = done;
  return call_opened (call, inner->klass->read (inner, key, prefix, after, limit, on_rows, call));
}

static TbCallId
metered_instances (TbTable *platform, TbInstancesFunc done, gpointer data)
{
  Call *call = call_new (platform, OP_INSTANCES, data);

  call->done.instances = done;
  return call_opened (call, tb_instances (call->metered->inner, on_instances, call));
}

static void
metered_cancel (TbTable *platform, TbCallId id)
{
  Metered *metered = (Metered *)platform;
  TbCallId inner = id;

  tb_call_cancel (metered->inner, &inner);
  g_hash_table_remove (metered->pending, &id);
}

static void
metered_free (TbTable *platform)
{
  Metered *metered = (Metered *)platform;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, metered->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TbCallId inner = ((Call *)value)->id;

      tb_call_cancel (metered->inner, &inner);
    }
  g_hash_table_destroy (metered->pending);
  g_free (metered);
}

static const TbTableClass metered_class = {
  .transact = metered_transact,
  .read = metered_read,
  .instances = metered_instances,
  .cancel = metered_cancel,
  .free = metered_free,
};

TbTable *
ct_metered_platform_new (TbTable *inner, KnlKernel *kernel, CmMetrics *metrics)
{
  Metered *metered = g_new0 (Metered, 1);

  metered->base.klass = &metered_class;
  metered->inner = inner;
  metered->kernel = kernel;
  metered->calls = cm_metrics_add (metrics, &calls_def);
  metered->times = cm_metrics_add (metrics, &times_def);
  metered->pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return &metered->base;
}
