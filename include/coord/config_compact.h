#pragma once

/**
 * Bounds the configuration history in the table: the holder of one shard deletes
 * the oldest change rows beyond `keep`, together with the rows of their operations
 * and the tombstones of the objects they removed. A replica that is behind the oldest
 * retained change reads a snapshot. An operation that is sent again after its row was
 * deleted counts as a new one.
 */

#include "coord/config.h"
#include "coord/lease.h"

typedef struct CoConfigCompact CoConfigCompact;

typedef struct
{
  KnlKernel *kernel;
  TbTable *platform;
  CoLeases *leases;
  const CoConfig *replica;
  guint keep;       /**< number of changes to retain */
  KnlTime interval; /**< between two checks */
} CoConfigCompactOptions;

CoConfigCompact *co_config_compact_new (const CoConfigCompactOptions *options);
void co_config_compact_free (CoConfigCompact *compact);
