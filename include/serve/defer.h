#pragma once

/**
 * Whether a long prompt that has been placed goes now or waits to be placed again.
 *
 * Sent at once, long prompts would queue at the endpoints, where they can't be
 * put in order any more, and parts of several would meet in one pass and stretch
 * the pauses of all streams there. One after the other, each in many parts, they
 * need no more time in all, and the shorter ones need not wait for the longest.
 */

#include "serve/router.h"

typedef struct
{
  const SvPlacement *placement;
  KnlTime objective; /**< of the route, for the first event */
  KnlTime waited;    /**< since the request came */
  KnlTime left;      /**< until its caller leaves; KNL_NEVER: not known */
} SvDeferCase;

/** Time until it is to be placed again; 0: it goes now. */
KnlTime sv_defer_decide (const SvDeferCase *defer);
