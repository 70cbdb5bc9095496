/** Whether a request may still be sent as it was placed, after its memory was reserved. */

#include "serve/core_internal.h"

/* An endpoint that was dropped or replaced in the fleet isn't told of its zone's evacuation, or
 * that it is cold. */
static gboolean
is_endpoint_outdated (const SvRequest *self, const SvEndpoint *endpoint)
{
  return endpoint->is_evacuated
         || sv_fleet_by_key (self->core->parts.fleet, endpoint->key) != endpoint;
}

static gboolean
has_outdated_endpoint (const SvRequest *self)
{
  const SvPlacement *placement = &self->placement;
  gboolean found = is_endpoint_outdated (self, placement->first);

  for (guint i = 0; i < placement->n_helpers; i++)
    found |= is_endpoint_outdated (self, placement->helpers[i]);
  return found;
}

static gboolean
has_cold_helper (const SvRequest *self)
{
  for (guint i = 0; i < self->placement.n_helpers; i++)
    {
      if (sv_endpoint_is_cold (self->placement.helpers[i], sv_request_now (self)))
        return TRUE;
    }
  return FALSE;
}

gboolean
sv_request_is_placement_outdated (const SvRequest *self)
{
  SvEndpoint *first = self->placement.first;
  KnlTime now = sv_request_now (self);

  return first->retry_after_until > now || sv_endpoint_cold_wait (first, now) > 0
         || has_cold_helper (self) || has_outdated_endpoint (self)
         || sv_core_has_stale_zones (self->core);
}
