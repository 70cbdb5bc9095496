#pragma once

/**
 * Configurations that peers have told of and this instance does not have yet:
 * since when it has gone without.
 */

#include "kernel/kernel.h"

#define SV_AWAITED_MOST 16

/** Zeroed at first. */
typedef struct
{
  struct
  {
    guint64 version;
    KnlTime since;         /* a peer told of it for the first time */
  } rows[SV_AWAITED_MOST]; /* by version */
  guint n;
  KnlTime told_at; /* that one of them was told of last */
} SvAwaited;

/** A peer has this version, the own one being `own`. */
void sv_awaited_note (SvAwaited *self, guint64 own, guint64 version, KnlTime now);

/** When a peer told first of a version that is newer than `own`; KNL_NEVER: none has lately. */
KnlTime sv_awaited_since (const SvAwaited *self, guint64 own, KnlTime now);
