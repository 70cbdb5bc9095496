#pragma once

/**
 * Bounds the history of the configuration in the table: the holder of one
 * shard deletes change rows beyond the number kept, with the rows of their
 * operations and the marks of objects that they removed. A replica further
 * behind than the history takes a snapshot. An operation sent again after that
 * counts as a new one.
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
  guint keep;       /**< changes */
  KnlTime interval; /**< between two looks */
} CoConfigCompactOptions;

CoConfigCompact *co_config_compact_new (const CoConfigCompactOptions *options);
void co_config_compact_free (CoConfigCompact *compact);
