/** Endpoints of zones that are evacuated or restored. */

#include "common/log.h"
#include "serve/fleet_internal.h"

guint
sv_fleet_n_evacuated_requests (const SvFleet *self)
{
  const GPtrArray *endpoints = sv_fleet_all (self);
  guint n = 0;

  for (guint i = 0; i < endpoints->len; i++)
    {
      const SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (endpoint->is_evacuated)
        n += endpoint->own.calls;
    }
  return n;
}

/* Applies a change of the zone to its endpoints, and logs it with the number of this instance's own
 * requests there. */
static void
apply (SvFleet *self, const char *zone, SvPosition position, gboolean is_evacuated)
{
  const GPtrArray *endpoints = sv_fleet_all (self);
  guint n_endpoints = 0;
  guint n_requests = 0;

  for (guint i = 0; i < endpoints->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (g_strcmp0 (endpoint->zone, zone) != 0)
        continue;
      endpoint->is_evacuated = is_evacuated;
      n_endpoints++;
      n_requests += endpoint->own.calls;
    }
  cm_log (CM_LOG_NOTICE, is_evacuated ? "zone-evacuated" : "zone-restored", "s", "zone", zone, "i",
          "row-version", (gint64)position.version, "i", "endpoints", (gint64)n_endpoints, "i",
          "requests", (gint64)n_requests);
}

static void
on_evacuated (const char *zone, SvPosition position, gpointer data)
{
  apply (data, zone, position, TRUE);
}

static void
on_restored (const char *zone, SvPosition position, gpointer data)
{
  apply (data, zone, position, FALSE);
  sv_fleet_note_zone_restored (data, zone, position);
}

const SvEvacuationEvents sv_fleet_zone_events = {
  .evacuated = on_evacuated,
  .restored = on_restored,
};
