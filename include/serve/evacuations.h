#pragma once

/**
 * The zones that the operator has evacuated: nothing new may be sent to their endpoints.
 *
 * The set is fed by the rows of the store. Each row and each list has a position; what is older
 * than the state already applied changes nothing. A complete list of the same era without a zone's
 * row ends its evacuation at once. A list of another era ends it after a delay, since the store may
 * have lost the row, and the operator writes it again.
 */

#include "kernel/kernel.h"
#include "serve/position.h"

typedef struct SvEvacuations SvEvacuations;

/** Called when a zone enters or leaves the set, by a change at `position`, and for the removal of a
 * row that this instance had not applied; must not change the set.
 */
typedef void (*SvEvacuationFunc) (const char *zone, SvPosition position, gpointer data);

typedef struct
{
  SvEvacuationFunc evacuated;
  SvEvacuationFunc restored;
} SvEvacuationEvents;

/** `events` must outlive the set. */
SvEvacuations *
sv_evacuations_new (KnlKernel *kernel, const SvEvacuationEvents *events, gpointer data);
void sv_evacuations_free (SvEvacuations *evacuations);

/** Sets how long after the first list of another era an evacuation lasts that isn't in that list;
 * 0: it ends with the list, which is the default. */
void sv_evacuations_set_restore_delay (SvEvacuations *evacuations, KnlTime delay);

/** The row of an evacuated zone was written. Rows of a list are applied at its end. */
void sv_evacuations_put (SvEvacuations *evacuations, const char *zone, SvPosition position);

/** The row of the zone was removed by a change at `position`. */
void sv_evacuations_remove (SvEvacuations *evacuations, const char *zone, SvPosition position);

/** Begins a complete list: each row follows by sv_evacuations_put(). A list that was begun before
 * and has not ended is dropped. */
void sv_evacuations_begin_list (SvEvacuations *evacuations);

/** Ends the list, which is as of `position`, and applies it. */
void sv_evacuations_end_list (SvEvacuations *evacuations, SvPosition position);

/** `zone` may be NULL. */
gboolean sv_evacuations_has (const SvEvacuations *evacuations, const char *zone);

/** Number of evacuated zones. */
guint sv_evacuations_count (const SvEvacuations *evacuations);

/** Position of the newest row that was applied, including removed ones; version 0: none was. */
SvPosition sv_evacuations_newest (const SvEvacuations *evacuations);
