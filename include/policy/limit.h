#pragma once

/**
 * Rate limit that an endpoint advertises, as a token bucket. The requests of all
 * instances are charged to it, as far as they have been reported here.
 */

#include "kernel/kernel.h"

/** Rate of an endpoint that advertises no limit. */
#define POL_NO_LIMIT (-1.0)

typedef struct
{
  double rate;           /**< requests a second from all instances together, or POL_NO_LIMIT */
  KnlTime advertised_at; /**< when the endpoint last advertised a rate; 0: never */
  KnlTime changed_at;    /**< when the endpoint first advertised the current rate; 0: never */
  double allowance;      /**< requests that may be sent now; below 0: too many were sent */
  KnlTime filled_at;     /**< when `allowance` was last updated */
  guint n_charged;       /**< requests charged to `allowance` so far */
} PolLimit;

/** How an instance shares a limit with other instances. */
typedef struct
{
  double fraction; /**< fraction of the rate that this instance and those whose requests are
                    reported to it may use; above 0 and up to 1 */
  double spread;   /**< allowance left to other instances in addition to the one request, 0 to 1:
                        instances that use the same allowance at once learn of it too late */
} PolLimitShare;

void pol_limit_init (PolLimit *limit);

/** The endpoint advertised `rate` at `advertised_at`. Ignored if older than the known one. TRUE:
 * the rate has changed. */
gboolean pol_limit_set (PolLimit *limit, double rate, KnlTime advertised_at);

gboolean pol_limit_is_advertised (const PolLimit *limit);

/** Charges `n` requests that this or another instance sent to the endpoint. */
void pol_limit_charge (PolLimit *limit, guint n);

/** How long until a request may be sent; 0: now. */
KnlTime pol_limit_wait (PolLimit *limit, const PolLimitShare *share, KnlTime now);
