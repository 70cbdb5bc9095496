#pragma once

/**
 * The platform in memory, for tests under a paused clock: one store, and a
 * TbTable for each daemon's kernel.
 *
 * Calls are transmitted to the store and executed on the store's kernel, so a
 * write in flight takes effect even while its sender is frozen. The faults here
 * affect one client; faults of the whole store are set at its table and list.
 */

#include "table/table.h"
#include "tests/standins/instance_list_model.h"
#include "tests/standins/table_model.h"

typedef struct FkStore FkStore;

typedef enum
{
  FK_PLATFORM_NORMAL,
  FK_PLATFORM_UNREACHABLE, /**< calls fail with TB_UNAVAILABLE after the latency, without effect */
  FK_PLATFORM_SILENT,      /**< calls are lost in transit and end at their time limit */
  FK_PLATFORM_LOSES_ANSWERS, /**< calls take effect, but the answers are lost; they end at their
                              * time limit
                              */
} FkPlatformFault;

/** A store without rate limits on `kernel`, which no daemon should share. */
FkStore *fk_store_new (KnlKernel *kernel, KnlTime instances_lag);

/** To be called after all clients are freed. */
void fk_store_free (FkStore *store);

SdTable *fk_store_table (FkStore *store);
SdInstanceList *fk_store_instances (FkStore *store);

/** A client of `store` for the daemon on `kernel`; free with tb_platform_free() before either. */
TbTable *fk_memory_platform_new (FkStore *store, KnlKernel *kernel);

void fk_memory_platform_set_fault (TbTable *platform, FkPlatformFault fault);
