#pragma once

/**
 * Bounds that the deployment states, and how much of each is used: what is known
 * here is some time old, timers are late, and messages take time.
 */

#include "policy/budget.h"

typedef struct
{
  KnlTime key_withdrawal; /**< a withdrawn key must be out of use within this; 0: no bound */
  KnlTime new_config;     /**< a new configuration must be in force within this */
  KnlTime leaving;        /**< a leaving endpoint may be sent requests for so long */
  KnlTime unused_memory;  /**< memory set aside that is not used must be free within this */
  KnlTime idle_memory;    /**< memory may be set aside for so long before it is used; 0: no bound */
  KnlTime grace;          /**< from the order to stop to the end of the process */
  PolBudgetRule retries;  /**< of each service, over all instances */
} SvBounds;

/** How long after a confirmation of the configuration its keys are trusted; KNL_NEVER: always. */
KnlTime sv_bounds_key_trust (const SvBounds *bounds);

/** How long after a confirmation what the configuration lacks is denied. */
KnlTime sv_bounds_denial_trust (const SvBounds *bounds);

/** How long callers are served by a configuration after a peer told of a newer one; KNL_NEVER: for
 * ever. */
KnlTime sv_bounds_outdated (const SvBounds *bounds);

/** How long an endpoint that is leaving is still sent requests where nothing else is left. */
KnlTime sv_bounds_leave_grace (const SvBounds *bounds);

/** How long memory is held for a prompt that doesn't begin; KNL_NEVER: no bound. */
KnlTime sv_bounds_memory_hold (const SvBounds *bounds);

/** The lease of memory that is set aside. */
KnlTime sv_bounds_memory_lease (const SvBounds *bounds);
