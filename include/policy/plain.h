#pragma once

/** Chooses among the endpoints of a plain service: the one with the least cost. */

#include "policy/health.h"

/** What is known of an endpoint that the request could go to. */
typedef struct
{
  guint calls;     /**< requests in flight there */
  guint slots;     /**< that it works on at once; 0: not known */
  gboolean is_far; /**< in another availability zone */
  const PolHealth *health;
} PolPlainCandidate;

/** In requests in flight a slot; the least is the best. */
double pol_plain_cost (const PolPlainCandidate *candidate);
