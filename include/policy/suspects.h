#pragma once

/**
 * Requests that may crash whatever runs them, recognised by a fingerprint.
 *
 * A caller that repeats such a request takes down one endpoint after another;
 * one would see endpoints restart while the same fingerprint stands in the log
 * lines just before. After the first crash it is suspect and may be run alone,
 * so that a second one convicts it and no innocent beside it; after as many as
 * the rule says it is refused.
 */

#include "kernel/kernel.h"

typedef struct PolSuspects PolSuspects;

typedef enum
{
  POL_SUSPICION_NONE,
  POL_SUSPICION_ALONE,   /**< it was in flight at a crash */
  POL_SUSPICION_REFUSED, /**< it is refused at once */
} PolSuspicion;

typedef struct
{
  guint refuse_at; /**< crashes from which on a fingerprint is refused */
  KnlTime life;    /**< it is forgotten so long after its last crash */
} PolSuspectRule;

/** The rule is copied. */
PolSuspects *pol_suspects_new (KnlKernel *kernel, const PolSuspectRule *rule);
void pol_suspects_free (PolSuspects *suspects);

PolSuspicion pol_suspects_check (PolSuspects *suspects, guint64 fingerprint);

/** An endpoint died with this fingerprint in flight, here or at a peer. */
void pol_suspects_note_crash (PolSuspects *suspects, guint64 fingerprint);

/** All instances together count so many crashes; that is believed for `life`. */
void pol_suspects_note_total (PolSuspects *suspects,
                              guint64 fingerprint,
                              guint crashes,
                              gboolean is_refused,
                              KnlTime life);

/** It ended well although it was suspect; a total from others is not forgotten. */
void pol_suspects_note_survived (PolSuspects *suspects, guint64 fingerprint);
