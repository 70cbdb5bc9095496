#pragma once

/**
 * The zones that the operator has evacuated: nothing new may be sent to their endpoints.
 *
 * The set is fed by the rows of the store. Each row and each list has a position; what is older
 * than the state already applied changes nothing. A complete list of the same era without a zone's
 * row ends its evacuation at once. A list of another era ends it after a delay, since the store may
 * have lost the row, and the operator writes it again. An instance that starts in between learns of
 * such evacuations from others.
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

/** An evacuation that an instance reports to others. */
typedef struct
{
  const char *zone;
  SvPosition position; /**< of its row */
  KnlTime until;       /**< when it ends if the store has lost the row */
} SvEvacuation;

/** Maximum number of evacuations in a report. */
#define SV_MAX_REPORTED_EVACUATIONS 16

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

/** Lists at most `max` evacuations of stores that state eras. Returns their number; the names are
 * borrowed until the set changes. */
guint sv_evacuations_list (const SvEvacuations *evacuations, SvEvacuation *list, guint max);

/** Another instance, which knows the store's era `era`, has reported the evacuation. If its row may
 * have been lost here, the zone is evacuated until `reported->until`, but no longer than the delay
 * for restored zones. Returns whether the set has changed. */
gboolean sv_evacuations_note_reported (SvEvacuations *evacuations,
                                       const SvEvacuation *reported,
                                       guint64 era);

/** `zone` may be NULL. */
gboolean sv_evacuations_has (const SvEvacuations *evacuations, const char *zone);

/** Number of evacuated zones. */
guint sv_evacuations_count (const SvEvacuations *evacuations);

/** Position of the newest row that was applied, including removed ones; version 0: none was. */
SvPosition sv_evacuations_newest (const SvEvacuations *evacuations);
