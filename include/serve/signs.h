#pragma once

/**
 * Signs of life of an endpoint, and whether they are of the process that its row is about. An
 * endpoint that starts again under its id answers at the same address, under the same key until its
 * row is read anew: for long while the store is away. Its next process shows nothing of whether the
 * one before has ended.
 */

#include "kernel/kernel.h"

typedef struct
{
  KnlTime proven_at;   /**< latest sign that is certainly of its row's process; 0: none yet */
  KnlTime heard_at;    /**< latest sign, of whatever process; 0: none yet */
  KnlTime unproven_at; /**< oldest sign since `proven_at` that is waiting for proof; 0: none */
  KnlTime since;       /**< one process, whichever it is, has answered this instance from here */
  KnlTime until;       /**< to here; 0: none has */
} SvSigns;

/** The endpoint sent bytes at `at`, or later, on a connection that was established at
 * `connected_at`; `listed_at`: time as of which its row is known to be current, 0: none. */
void sv_signs_note_bytes (SvSigns *self, KnlTime connected_at, KnlTime at, KnlTime listed_at);

/** Another instance heard from it at `at`. */
void sv_signs_note_told (SvSigns *self, KnlTime at);

/** Another instance has proof that the process which its row is about was alive at `at`. */
void sv_signs_note_proof (SvSigns *self, KnlTime at);

/** Its row was current at `listed_at`. */
void sv_signs_note_listed (SvSigns *self, KnlTime listed_at);

/** Whether the process that ran at `since` was alive at `until`, or later. */
gboolean sv_signs_prove_life (const SvSigns *self, KnlTime since, KnlTime until);

/** Whether that, or the next process at its address, was. */
gboolean sv_signs_show_life (const SvSigns *self, KnlTime until);
