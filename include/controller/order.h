#pragma once

/**
 * Orders to one engine, to make it run what the placement wants. Each order
 * holds the complete wanted state and the fencing number of the lease, which is
 * checked right before the order is sent. The engine's next reports show whether
 * the order took effect; if they still differ from the wanted state, it is repeated.
 */

#include "controller/placement.h"
#include "coord/lease.h"
#include "endpoint/endpoint.h"

typedef struct CtOrder CtOrder;

/** State shared by the orders of one controller. */
typedef struct
{
  KnlKernel *kernel;
  EpClient *endpoints;
  CoLeases *leases;
  KnlTime load_interval; /**< minimum time between two orders that load weights */
  KnlTime last_load;     /**< when the last such order was sent; 0: never */
  guint64 sent;          /**< orders sent so far */
} CtOrders;

/** For the engine `name`, whose shard this controller has just gained. `orders` must outlive it. */
CtOrder *ct_order_new (CtOrders *orders, const char *name, guint shard);
void ct_order_free (CtOrder *order);

/**
 * Handles a report of the engine at `address`: sends an order if it differs from `wanted`. NULL:
 * no service wants the engine, no order is sent.
 */
void ct_order_handle_report (CtOrder *order,
                             const char *address,
                             const EpReport *report,
                             const CtPlaced *wanted);
