#pragma once

/**
 * Bounds that the deployment sets, and the part of each that this instance may
 * use: its information is some time old, timers fire late, and messages take
 * time.
 */

#include "policy/budget.h"

typedef struct
{
  KnlTime key_withdrawal; /**< a withdrawn key must be out of use within this; 0: no bound */
  KnlTime new_config;     /**< a new configuration must be in force within this */
  KnlTime leaving;        /**< how long a leaving endpoint may be sent requests */
  KnlTime unused_memory;  /**< reserved memory that isn't used must be free within this */
  KnlTime idle_memory;    /**< longest time from reserving memory to its use; 0: no bound */
  KnlTime grace;          /**< from the stop signal to the end of the process */
  PolBudgetRule retries;  /**< for each service, over all instances */
  gboolean sheds_load;    /**< requests are refused, by class and workspace, while the endpoints of
                             their service are overloaded */
  KnlTime evacuation;     /**< nothing may be sent to an evacuated zone after this; 0: no bound */
  double cold_overage;    /**< in any second a cold endpoint may be sent its rate times this, */
  double cold_slack;      /**< plus this many requests, by all instances together */
} SvBounds;

/** Largest age of the last confirmation at which keys of the configuration are accepted;
 * KNL_NEVER: any age. */
KnlTime sv_bounds_max_key_staleness (const SvBounds *bounds);

/** Largest age of the last confirmation at which a key or route that is absent from the
 * configuration is answered as absent. */
KnlTime sv_bounds_max_negative_staleness (const SvBounds *bounds);

/** How long callers are served with a configuration after a peer announced a newer one; KNL_NEVER:
 * indefinitely. */
KnlTime sv_bounds_max_config_staleness (const SvBounds *bounds);

/** Age of the last confirmation from which on no request is sent, since a zone may have been
 * evacuated after it; KNL_NEVER: requests are sent at any age. */
KnlTime sv_bounds_max_zone_staleness (const SvBounds *bounds);

/** Largest age that the last confirmation may have in calm operation: one of the above. */
KnlTime sv_bounds_max_confirmation_age (const SvBounds *bounds);

/** How long a leaving endpoint is still sent requests when no other endpoint is left. */
KnlTime sv_bounds_leave_grace (const SvBounds *bounds);

/** How long memory is held for a prompt that hasn't begun to run; KNL_NEVER: no bound. */
KnlTime sv_bounds_memory_hold (const SvBounds *bounds);

/** Length of the lease on reserved memory. */
KnlTime sv_bounds_memory_lease (const SvBounds *bounds);
