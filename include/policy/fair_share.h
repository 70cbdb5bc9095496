#pragma once

/**
 * Max-min fair division of a capacity. Demands are offered in ascending order:
 * each one up to the equal share of what remains is met in full, and the first
 * larger one ends the division, as all that follow get the equal share.
 */

#include <glib.h>

typedef struct
{
  guint64 remaining;    /**< capacity that isn't granted yet */
  guint64 participants; /**< that have not been granted anything yet */
} PolFairShare;

/** Grants `n` participants a demand of `each` in full. FALSE: nothing was granted, as that exceeds
 * the equal share. */
gboolean pol_fair_share_meet (PolFairShare *share, guint64 each, guint64 n);

/** What each remaining participant gets; 0 if there is none. */
guint64 pol_fair_share_equal (const PolFairShare *share);
