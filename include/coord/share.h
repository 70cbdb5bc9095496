#pragma once

/**
 * Each workspace's use summed over all entries. The holder of the workspace's
 * shard sums up the tokens that the entries have served for it, with
 * exponential decay, so that a workspace that floods one entry is throttled at
 * all of them.
 */

#include "kernel/kernel.h"
#include "wire/alderturn.pb-c.h"

typedef struct CoShares CoShares;

/** The weight of served tokens halves every `half_life`. */
CoShares *co_shares_new (KnlKernel *kernel, KnlTime half_life);
void co_shares_free (CoShares *shares);

/** Applies one entry's reported demand and fills in its share, except `share->workspace`. */
void co_shares_report (CoShares *shares,
                       const char *entry,
                       guint64 incarnation,
                       const Alderturn__ShareReport__Demand *demand,
                       Alderturn__ShareUpdate__Share *share);

/** Removes each workspace for which `lost` is TRUE: this process no longer holds its shard. */
void co_shares_forget (CoShares *shares,
                       gboolean (*lost) (const char *workspace, gpointer data),
                       gpointer data);
