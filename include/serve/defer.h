#pragma once

/**
 * Decides whether a prompt that has been placed is sent now, waits here and is placed again, or is
 * refused.
 *
 * Sent at once, long prompts would queue at the endpoints, where they can't be
 * reordered, and parts of several prompts would share a pass and lengthen the
 * gaps of all streams there. Sent one after the other, each split into many
 * parts, they need no more time in total, and shorter ones don't wait for the
 * longest.
 *
 * When more is asked for than the endpoints can do, what waits must wait here, where it can still
 * be refused: a short prompt that finds every slot taken, and a long one whose prefill would make
 * the streams of other callers late.
 */

#include "serve/router.h"

typedef struct
{
  const SvPlacement *placement;
  KnlTime objective;     /**< of the route, for the first event */
  KnlTime waited;        /**< since the request arrived */
  KnlTime left;          /**< until the deadline of its caller; KNL_NEVER: not known */
  gboolean is_first_try; /**< its caller hasn't been refused before */
  gboolean has_run;      /**< it continues at another endpoint; it waits for no slot */
} SvDeferCase;

/** Time until the prompt is placed again; 0: send or refuse it now. */
KnlTime sv_defer_decide (const SvDeferCase *defer);

/** Why a prompt that isn't deferred any more is refused rather than sent; NULL: it is sent. */
const char *sv_defer_refusal (const SvDeferCase *defer);
