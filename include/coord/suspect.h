#pragma once

/**
 * Requests that endpoints crash on, by the fingerprint of their content. One
 * crash makes a fingerprint suspect, a second one, of whatever endpoint, has it
 * quarantined on every entry. Kept in memory everywhere, told by crash reports
 * between controllers, and in the table as long as that can be written, so that
 * it outlives a restart of all. Entries expire; their number is bounded.
 *
 * Rows: "suspect/HEX16".
 */

#include "table/table.h"

typedef struct CoSuspects CoSuspects;

/** Entries that have become worse; `update` is valid during the call. */
typedef void (*CoSuspectFunc) (const Alderturn__SuspectUpdate *update, gpointer data);

typedef struct
{
  KnlKernel *kernel;
  TbTable *platform;
  KnlTime ttl;           /**< of an entry, from the last crash that it was told of */
  KnlTime scan_interval; /**< between reads of the rows */
  guint limit;           /**< entries at most; the one expiring first goes */
  CoSuspectFunc changed;
  gpointer data;
} CoSuspectOptions;

CoSuspects *co_suspects_new (const CoSuspectOptions *options);
void co_suspects_free (CoSuspects *suspects);

/** An endpoint crashed. `own`: this process is the one to write it to the table. FALSE: no news. */
gboolean
co_suspects_crash (CoSuspects *suspects, const Alderturn__CrashReport *report, gboolean own);

/** What another controller knows. */
void co_suspects_hear (CoSuspects *suspects, const Alderturn__SuspectUpdate *update);

/** All entries; free with alderturn__suspect_update__free_unpacked. */
Alderturn__SuspectUpdate *co_suspects_all (CoSuspects *suspects);

guint co_suspects_count (const CoSuspects *suspects);
