#pragma once

/**
 * Requests that may crash the endpoint that runs them, recognised by a
 * fingerprint.
 *
 * A caller that repeats such a request crashes one endpoint after another; the
 * log shows the same fingerprint just before each restart. After the first crash
 * the fingerprint is suspect and the request may only be run alone, so that a
 * second crash is evidence against it and not against requests running next to
 * it. After the number of crashes in the rule it is refused.
 */

#include "kernel/kernel.h"

typedef struct PolSuspects PolSuspects;

typedef enum
{
  POL_SUSPICION_NONE,
  POL_SUSPICION_RUN_ALONE, /**< it was in flight at a crash, and may only be run alone */
  POL_SUSPICION_REFUSED,   /**< it isn't run */
} PolSuspicion;

typedef struct
{
  guint refuse_at; /**< number of crashes from which a fingerprint is refused */
  KnlTime ttl;     /**< time after the last crash until the fingerprint is dropped */
} PolSuspectRule;

/** The rule is copied. */
PolSuspects *pol_suspects_new (KnlKernel *kernel, const PolSuspectRule *rule);
void pol_suspects_free (PolSuspects *suspects);

PolSuspicion pol_suspects_check (PolSuspects *suspects, guint64 fingerprint);

/** An endpoint crashed while this instance or a peer had this fingerprint in flight there. */
void pol_suspects_note_crash (PolSuspects *suspects, guint64 fingerprint);

/** Sets the number of crashes that all instances together have counted; valid for `ttl`. */
void pol_suspects_note_total (PolSuspects *suspects,
                              guint64 fingerprint,
                              guint crashes,
                              gboolean is_refused,
                              KnlTime ttl);

/** A suspect request ended without a crash: clears the suspicion, unless all instances together
 * have counted crashes or refuse it. */
void pol_suspects_note_success (PolSuspects *suspects, guint64 fingerprint);
