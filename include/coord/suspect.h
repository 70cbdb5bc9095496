#pragma once

/**
 * Requests that crash endpoints, identified by the fingerprint of their
 * content. One crash makes a fingerprint suspect; a second one, of any
 * endpoint, quarantines it on every entry. Each controller keeps the list in
 * memory and shares it with the others by crash reports. It is also written to
 * the table while that is available, so that it survives a restart of all
 * controllers. Suspects expire, and their number is bounded.
 *
 * Rows: "suspect/HEX16".
 */

#include "table/table.h"

typedef struct CoSuspects CoSuspects;

/** Called with suspects whose crash count has risen; `update` is valid during the call. */
typedef void (*CoSuspectFunc) (const Alderturn__SuspectUpdate *update, gpointer data);

typedef struct
{
  KnlKernel *kernel;
  TbTable *platform;
  KnlTime ttl;           /**< lifetime of a suspect; restarts when another crash becomes known */
  KnlTime scan_interval; /**< between two scans of the rows */
  guint max_suspects; /**< maximum number of suspects; those with the fewest crashes are evicted */
  CoSuspectFunc changed;
  gpointer data;
} CoSuspectOptions;

CoSuspects *co_suspects_new (const CoSuspectOptions *options);
void co_suspects_free (CoSuspects *suspects);

/**
 * Handles the report of an endpoint's crash. With `own` set, this process is
 * responsible for writing it to the table. Returns FALSE if the crash was known
 * already.
 */
gboolean
co_suspects_handle_crash (CoSuspects *suspects, const Alderturn__CrashReport *report, gboolean own);

/** Applies the suspects received from another controller. */
void co_suspects_handle_update (CoSuspects *suspects, const Alderturn__SuspectUpdate *update);

/** Returns all suspects; free with alderturn__suspect_update__free_unpacked(). */
Alderturn__SuspectUpdate *co_suspects_all (CoSuspects *suspects);

guint co_suspects_count (const CoSuspects *suspects);
