#pragma once

/** Configurations that peers have reported and this instance doesn't have yet, with the time since
 * when each is missing. */

#include "kernel/kernel.h"
#include "serve/position.h"

#define SV_PENDING_CONFIGS_MAX 16

/** Initialize with zeros. */
typedef struct
{
  struct
  {
    guint64 version;
    KnlTime since;                /* time of the first report by a peer */
  } rows[SV_PENDING_CONFIGS_MAX]; /* by rising version */
  guint n;
  KnlTime reported_at;   /* time of the last report of the newest one */
  SvPosition confirmed;  /* configuration that was confirmed beside reports of newer ones */
  KnlTime refuted_since; /* time of the first such confirmation of it */
  guint64 lost;          /* newest version that counts as lost for good */
} SvPendingConfigs;

/** Notes that a peer has `version`; `own` is the version in use here. */
void sv_pending_configs_note (SvPendingConfigs *self, guint64 own, guint64 version, KnlTime now);

/** Notes an answer that the configuration in use here is the store's newest one. If such answers
 * have come for long enough, the versions that are reported count as lost for good, and further
 * reports of them are ignored. Returns whether this has just happened. */
gboolean sv_pending_configs_note_confirmed (SvPendingConfigs *self, SvPosition own, KnlTime now);

/** Time of the first report of a version newer than `own`; KNL_NEVER if none was reported lately.
 */
KnlTime sv_pending_configs_since (const SvPendingConfigs *self, guint64 own, KnlTime now);
