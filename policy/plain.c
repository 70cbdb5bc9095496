#include "policy/plain.h"

/* Another availability zone costs a few ms, less than one queued request at six slots. A failure
 * rate of 1, as an average over about the last dozen answers, costs as much as two full queues. */
#define OTHER_ZONE_COST   0.15
#define FAILURE_RATE_COST 2.0

double
pol_plain_cost (const PolPlainCandidate *candidate)
{
  double cost = (double)candidate->calls / MAX (candidate->slots, 1);

  if (candidate->is_other_zone)
    cost += OTHER_ZONE_COST;
  return cost + FAILURE_RATE_COST * candidate->health->failure_rate;
}
