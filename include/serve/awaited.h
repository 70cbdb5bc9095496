#pragma once

/** Configurations that peers have reported and this instance doesn't have yet, with the time since
 * when each is missing. */

#include "kernel/kernel.h"

#define SV_AWAITED_MOST 16

/** Initialize with zeros. */
typedef struct
{
  struct
  {
    guint64 version;
    KnlTime since;         /* time of the first report by a peer */
  } rows[SV_AWAITED_MOST]; /* by rising version */
  guint n;
  KnlTime told_at; /* time of the last report of the newest one */
} SvAwaited;

/** Notes that a peer has `version`; `own` is the version in use here. */
void sv_awaited_note (SvAwaited *self, guint64 own, guint64 version, KnlTime now);

/** Time of the first report of a version newer than `own`; KNL_NEVER if none was reported lately.
 */
KnlTime sv_awaited_since (const SvAwaited *self, guint64 own, KnlTime now);
