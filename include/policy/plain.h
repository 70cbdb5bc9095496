#pragma once

/** Cost of sending a request to an endpoint of a plain service; the cheapest one is chosen. */

#include "policy/health.h"

/** An endpoint that the request could be sent to. */
typedef struct
{
  guint calls;            /**< requests in flight there */
  guint slots;            /**< requests that it processes at once; 0: not known */
  gboolean is_other_zone; /**< in another availability zone */
  const PolHealth *health;
  double pace; /**< how many times slower than others it is; 0: not known, counts as 1 */
} PolPlainCandidate;

/** The cost, in requests in flight per slot. */
double pol_plain_cost (const PolPlainCandidate *candidate);
