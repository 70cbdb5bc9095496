#include "policy/plain.h"

/* Weighed by hand: a zone away costs a few ms, less than a queue of one in six slots; an endpoint
 * that failed all of its last dozen answers is worse than two full queues. */
#define FAR_COST          0.15
#define FAILURE_RATE_COST 2.0

double
pol_plain_cost (const PolPlainCandidate *candidate)
{
  double cost = (double)candidate->calls / MAX (candidate->slots, 1);

  if (candidate->is_far)
    cost += FAR_COST;
  return cost + FAILURE_RATE_COST * candidate->health->failure_rate;
}
