#pragma once

/**
 * Expires idempotency records without synchronized clocks. The table has an epoch,
 * which the holder of one shard raises after it has itself seen the same epoch for
 * `epoch_time`. Records carry the epoch of their last write; those older than the
 * retention are deleted in small batches, conditional on each row's version. While
 * there is no holder, an epoch lasts longer, so that records are never deleted too early.
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
  CoIdem *idem;       /**< receives the current epoch */
  KnlTime epoch_time; /**< minimum duration of an epoch */
  guint64 keep;       /**< minimum number of epochs that a record is kept */
  KnlTime page_delay; /**< between two pages of a sweep */
} CoIdemSweepOptions;

CoIdemSweep *co_idem_sweep_new (const CoIdemSweepOptions *options);
void co_idem_sweep_free (CoIdemSweep *sweep);

/** Number of records deleted so far. */
guint64 co_idem_sweep_deleted (const CoIdemSweep *sweep);
