#pragma once

/**
 * The links between controllers that carry updates for all of them
 * (configuration, suspects): a full mesh while they are few, else a few links
 * each, chosen by hashing, so that an update reaches all controllers in a few
 * hops and the number of links of each does not grow with the fleet. Each
 * controller computes its own links from the same list.
 */

#include <glib.h>

#include "coord/subset.h"

/** Up to this number of controllers form a full mesh. */
#define CO_OVERLAY_FULL_MESH_MAX 12

/** Links that a controller opens in a larger fleet: in its own zone, and in each other zone. */
#define CO_OVERLAY_OWN_ZONE_LINKS   3
#define CO_OVERLAY_OTHER_ZONE_LINKS 1

/**
 * Sets `keep[i]` to whether `self` opens and keeps a link to `controllers[i]`.
 * Links that others open to `self` aren't included. `self` may be in the list.
 */
void co_overlay_choose (const CoNode *self,
                        const CoNode *controllers,
                        guint n_controllers,
                        gboolean *keep);
