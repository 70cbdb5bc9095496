#include "policy/plain.h"

/* Another availability zone costs a few ms, less than one queued request at six slots. A failure
 * rate of 1, as an average over about the last dozen answers, costs as much as two full queues. */
#define OTHER_ZONE_COST   0.15
#define FAILURE_RATE_COST 2.0

double
pol_plain_cost (const PolPlainCandidate *candidate)
{
  double pace = MAX (candidate->pace, 1);
  double slots = MAX (candidate->slots, 1);
  double cost = pace * ((double)candidate->calls / slots);

  /* The request itself takes longer, too. */
  cost += (pace - 1) / slots;

  if (candidate->is_other_zone)
    cost += OTHER_ZONE_COST;
  return cost + FAILURE_RATE_COST * candidate->health->failure_rate;
}
