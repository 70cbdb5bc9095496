#include "controller/order.h"

#include "common/log.h"
#include "common/retry.h"

/* Longest time that an order may be in flight: the timeout of a call to an engine and a margin. */
#define MAX_ORDER_DELAY (5 * KNL_SEC)

/* Time between an order and its repetition, for the engine to load weights and report them; grows
   from the first value to the second. */
#define FIRST_SETTLE_DELAY (2 * KNL_SEC)
#define MAX_SETTLE_DELAY   (60 * KNL_SEC)

struct CtOrder
{
  CtOrders *orders;
  char *name;
  guint shard;
  KnlTime gained_at;
  KnlTime not_before; /* earliest time of the next order */
  CmBackoff settle_backoff;
  EpCallId call;
};

CtOrder *
ct_order_new (CtOrders *orders, const char *name, guint shard)
{
  CtOrder *order = g_new0 (CtOrder, 1);

  order->orders = orders;
  order->name = g_strdup (name);
  order->shard = shard;
  order->gained_at = knl_kernel_now (orders->kernel);
  order->settle_backoff = (CmBackoff){ .first = FIRST_SETTLE_DELAY, .limit = MAX_SETTLE_DELAY };
  return order;
}

void
ct_order_free (CtOrder *order)
{
  if (order == NULL)
    return;
  ep_call_cancel (order->orders->endpoints, &order->call);
  g_free (order->name);
  g_free (order);
}

static gboolean
text_equal (const char *have, const char *wanted)
{
  return g_strcmp0 (have != NULL ? have : "", wanted != NULL ? wanted : "") == 0;
}

static void
on_ordered (EpOrderResult result, guint64 engine_fence, gpointer data)
{
  CtOrder *order = data;

  order->call = 0;
  if (result == EP_ORDER_STALE)
    cm_log (CM_LOG_WARNING, "order-stale", "s", "engine", order->name, "i", "engine_fence",
            (gint64)engine_fence);
}

/*
 * An engine that doesn't check fencing numbers also executes an order of the
 * shard's former holder that is still in flight, which would revert an order sent
 * now. So the first order waits until the former lease has expired and its last
 * order must have arrived. A stale order that arrives even later shows in the
 * engine's report and is corrected by another order.
 */
static gboolean
must_wait_for_former_holder (const CtOrder *order, const EpReport *report)
{
  KnlTime since = knl_kernel_now (order->orders->kernel) - order->gained_at;

  return !report->checks_fence
         && since < co_leases_duration (order->orders->leases) + MAX_ORDER_DELAY;
}

static gboolean
try_load (CtOrders *orders, KnlTime now)
{
  if (orders->last_load != 0 && now - orders->last_load < orders->load_interval)
    return FALSE;
  orders->last_load = now;
  return TRUE;
}

void
ct_order_handle_report (CtOrder *order,
                        const char *address,
                        const EpReport *report,
                        const CtPlaced *wanted)
{
  CtOrders *orders = order->orders;
  KnlTime now = knl_kernel_now (orders->kernel);
  gboolean loads;
  EpOrder message = { 0 };

  if (wanted == NULL || order->call != 0)
    return;
  loads =
      !text_equal (report->model, wanted->model) || !text_equal (report->adapter, wanted->adapter);
  if (!loads && text_equal (report->role, wanted->role))
    {
      cm_backoff_reset (&order->settle_backoff);
      return;
    }
  if (now < order->not_before || must_wait_for_former_holder (order, report)
      || (loads && !try_load (orders, now)))
    return;
  message.model = wanted->model;
  message.adapter = wanted->adapter;
  message.role = wanted->role;
  /* Checked right before sending, as this process may have been paused since the report arrived. */
  if (!co_lease_valid (orders->leases, order->shard, &message.fence))
    return;
  cm_log (CM_LOG_INFO, "order", "s", "engine", order->name, "s", "model", message.model, "s",
          "adapter", message.adapter, "s", "role", message.role, "i", "fence",
          (gint64)message.fence);
  orders->sent++;
  order->not_before = now + cm_backoff_next (&order->settle_backoff, orders->kernel);
  order->call = ep_client_order (orders->endpoints, address, &message, on_ordered, order);
}
