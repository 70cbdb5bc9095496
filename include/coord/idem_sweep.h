#pragma once

/**
 * Ages idempotency records and deletes old ones, without shared clocks: an
 * epoch in the table, raised by the holder of one shard once it has itself
 * watched it for an epoch's time. Records carry the epoch of their last write;
 * those older than the retention are deleted in small batches, each row on the
 * check of its version. Time with no holder makes epochs longer, never shorter.
 *
 * Row: "idem-epoch".
 */

#include "coord/idem.h"

typedef struct CoIdemSweep CoIdemSweep;

typedef struct
{
  KnlKernel *kernel;
  TbTable *platform;
  CoLeases *leases;
  CoIdem *idem;       /**< is told the epoch */
  KnlTime epoch_time; /**< how long an epoch lasts at least */
  guint64 keep;       /**< epochs that a record is kept at least */
  KnlTime page_pause; /**< between two pages of a sweep */
} CoIdemSweepOptions;

CoIdemSweep *co_idem_sweep_new (const CoIdemSweepOptions *options);
void co_idem_sweep_free (CoIdemSweep *sweep);

/** Records deleted so far. */
guint64 co_idem_sweep_deleted (const CoIdemSweep *sweep);
