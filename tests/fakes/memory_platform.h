#pragma once

/**
 * The platform in memory, for tests under a paused clock: one store, and a
 * TbTable for each daemon's kernel.
 *
 * Calls travel to the store and are carried out by the store's kernel, so a
 * write that is under way takes effect even while its sender is frozen. The
 * store's own faults are those of its table and list; those here hit one client.
 */

#include "table/table.h"
#include "tests/standins/instance_list_model.h"
#include "tests/standins/table_model.h"

typedef struct FkStore FkStore;

typedef enum
{
  FK_PLATFORM_NORMAL,
  FK_PLATFORM_UNREACHABLE, /**< calls fail at once, without effect */
  FK_PLATFORM_SILENT,      /**< calls are lost on their way; they end at their limit */
  FK_PLATFORM_DEAF,        /**< calls arrive, answers are lost; they end at their limit */
} FkPlatformFault;

/** A store on `kernel`, which no daemon should share. Without rate limits. */
FkStore *fk_store_new (KnlKernel *kernel, KnlTime instances_lag);

/** After all its clients. */
void fk_store_free (FkStore *store);

SdTable *fk_store_table (FkStore *store);
SdInstanceList *fk_store_instances (FkStore *store);

/** A client of `store` for the daemon on `kernel`; free with tb_platform_free() before either. */
TbTable *fk_memory_platform_new (FkStore *store, KnlKernel *kernel);

void fk_memory_platform_set_fault (TbTable *platform, FkPlatformFault fault);
