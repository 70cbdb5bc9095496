#pragma once

/**
 * The platform's transactional table, as a model without I/O. The HTTP
 * stand-in and the fake in memory both answer from it.
 *
 * A call first waits for sd_table_delay(); a write therefore takes effect late
 * when the table is slow, perhaps after its caller has given up.
 */

#include "table/table.h"

#include <jansson.h>

typedef struct SdTable SdTable;

typedef enum
{
  SD_TABLE_NORMAL,
  SD_TABLE_OUTAGE,       /**< every call is refused without effect */
  SD_TABLE_HANG,         /**< no call has an effect or an answer */
  SD_TABLE_SLOW,         /**< every call waits for the fault's delay */
  SD_TABLE_LOSE_ANSWERS, /**< the next transactions take effect, their answers are lost */
} SdTableFault;

/** Limits in calls a second, 0: none. A second's worth may come at once. */
SdTable *sd_table_new (KnlKernel *kernel, double writes_per_second, double reads_per_second);
void sd_table_free (SdTable *table);

/** `delay` is for SD_TABLE_SLOW, `count` (transactions) for SD_TABLE_LOSE_ANSWERS. */
void sd_table_set_fault (SdTable *table, SdTableFault fault, KnlTime delay, guint count);

/** How long a call that arrives now waits before it is carried out; KNL_NEVER: for good. */
KnlTime sd_table_delay (const SdTable *table);

/** TRUE while every call is refused. */
gboolean sd_table_refuses (const SdTable *table);

/**
 * Carries out a transaction of docs/ADAPTERS.md: TB_OK, TB_CONFLICT, TB_UNAVAILABLE, or
 * TB_UNKNOWN when it took effect and its answer is lost. `*answer` is new, NULL unless
 * TB_OK or TB_CONFLICT.
 */
TbStatus sd_table_transact (SdTable *table, const json_t *body, json_t **answer);

/** Rows as docs/ADAPTERS.md has them; NULL: unavailable. Arguments as in TbTableClass.read. */
json_t *
sd_table_read (SdTable *table, const char *key, gboolean prefix, const char *after, guint limit);

/** Transactions carried out and reads answered, for tests of their rates. */
guint64 sd_table_writes (const SdTable *table);
guint64 sd_table_reads (const SdTable *table);
