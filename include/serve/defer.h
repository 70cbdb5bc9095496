#pragma once

/**
 * Decides whether a long prompt that has been placed is sent now, or waits and is
 * placed again.
 *
 * Sent at once, long prompts would queue at the endpoints, where they can't be
 * reordered, and parts of several prompts would share a pass and lengthen the
 * gaps of all streams there. Sent one after the other, each split into many
 * parts, they need no more time in total, and shorter ones don't wait for the
 * longest.
 */

#include "serve/router.h"

typedef struct
{
  const SvPlacement *placement;
  KnlTime objective; /**< of the route, for the first event */
  KnlTime waited;    /**< since the request arrived */
  KnlTime left;      /**< until the deadline of its caller; KNL_NEVER: not known */
} SvDeferCase;

/** Time until the prompt is placed again; 0: send it now. */
KnlTime sv_defer_decide (const SvDeferCase *defer);
