#pragma once

/**
 * Model of the platform's transactional table, without I/O. Both the HTTP
 * stand-in and the in-memory fake use it.
 *
 * Each call first waits for sd_table_delay(), so with a slow table a write may
 * take effect after its caller has timed out.
 */

#include "table/table.h"

#include <jansson.h>

typedef struct SdTable SdTable;

typedef enum
{
  SD_TABLE_NORMAL,
  SD_TABLE_OUTAGE,       /**< every call is refused without effect */
  SD_TABLE_HANG,         /**< calls have neither an effect nor an answer */
  SD_TABLE_SLOW,         /**< every call waits for the fault's delay */
  SD_TABLE_LOSE_ANSWERS, /**< the next transactions take effect, but their answers are lost */
} SdTableFault;

/** Limits in calls per second, 0: unlimited; bursts of one second's calls are allowed. */
SdTable *sd_table_new (KnlKernel *kernel, double writes_per_second, double reads_per_second);
void sd_table_free (SdTable *table);

/** `delay` is for SD_TABLE_SLOW, `count` (transactions) for SD_TABLE_LOSE_ANSWERS. */
void sd_table_set_fault (SdTable *table, SdTableFault fault, KnlTime delay, guint count);

/** How long a call that arrives now waits before it is carried out; KNL_NEVER: indefinitely. */
KnlTime sd_table_delay (const SdTable *table);

/** TRUE while every call is refused. */
gboolean sd_table_refuses (const SdTable *table);

/**
 * Carries out a transaction in the format of docs/ADAPTERS.md. Returns TB_OK, TB_CONFLICT,
 * TB_UNAVAILABLE, or TB_UNKNOWN when its answer is to be lost. `*answer` is a new reference, NULL
 * unless TB_OK or TB_CONFLICT.
 */
TbStatus sd_table_transact (SdTable *table, const json_t *body, json_t **answer);

/** Rows in the format of docs/ADAPTERS.md, or NULL if unavailable. Arguments: TbTableClass.read. */
json_t *
sd_table_read (SdTable *table, const char *key, gboolean prefix, const char *after, guint limit);

/** Numbers of transactions and reads carried out, for tests of their rates. */
guint64 sd_table_writes (const SdTable *table);
guint64 sd_table_reads (const SdTable *table);
