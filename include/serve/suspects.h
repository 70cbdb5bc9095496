#pragma once

/**
 * Requests that may crash whatever runs them, recognised by a fingerprint.
 *
 * A caller that repeats such a request takes down one endpoint after another;
 * one would see endpoints restart while the same fingerprint stands in the log
 * lines just before. From the third loss on it is refused.
 */

#include "kernel/kernel.h"

typedef struct SvSuspects SvSuspects;

SvSuspects *sv_suspects_new (KnlKernel *kernel);
void sv_suspects_free (SvSuspects *suspects);

/** The endpoint that ran a request with this fingerprint was lost, here or at a peer. */
void sv_suspects_note (SvSuspects *suspects, guint64 fingerprint);

gboolean sv_suspects_is_refused (SvSuspects *suspects, guint64 fingerprint);
