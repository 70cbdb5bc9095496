#pragma once

/** Chooses the engines that this entry uses when there are many; see coord/subset.h. */

#include "entry/fleet.h"

/**
 * Sets `other_subset` of each EnEndpoint of `endpoints`, whose placement must be
 * known. The engines of each service and role are chosen separately, so that the
 * entry can serve short and long prompts of all services.
 */
void en_subset_update (const GPtrArray *endpoints,
                       const GPtrArray *entries,
                       const char *self,
                       const char *zone);
