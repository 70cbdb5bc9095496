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
} PolPlainCandidate;

/** The cost, in requests in flight per slot. */
double pol_plain_cost (const PolPlainCandidate *candidate);
