#pragma once

/** Shared by the fleet's own sources; not included elsewhere. */

#include "serve/fleet.h"

/* fleet_zones.c */

/** Applies changes of the set of evacuated zones to the endpoints; the data is the fleet. */
extern const SvEvacuationEvents sv_fleet_zone_events;
