/** What whole instances know of endpoints, and when. */

#include <string.h>

#include "suite.h"
#include "tests/fakes/gateway_fleet.h"

#define START_TIME (3 * KNL_SEC)

static const GfSize size = { .n_instances = 12, .n_zones = 2, .n_endpoints = 4 };

static SvEndpoint *
find_endpoint (const SvFleet *fleet, const char *id)
{
  const GPtrArray *all = sv_fleet_all (fleet);

  for (guint i = 0; i < all->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (all, i);

      if (strcmp (endpoint->id, id) == 0)
        return endpoint;
    }
  return NULL;
}

/* Guards against requests to an endpoint after its time to leave: the change was made while the
 * feeds paused after another one, and the time as a last resort was counted from when it was
 * noticed. */
static void
test_pauses_count_toward_the_time_to_leave (void)
{
  static const KnlTime after_other_change[] = { 10 * KNL_MSEC, 150 * KNL_MSEC, 390 * KNL_MSEC,
                                                500 * KNL_MSEC };

  for (guint i = 0; i < G_N_ELEMENTS (after_other_change); i++)
    {
      GfFleet fleet;

      gf_fleet_open (&fleet, &size);
      gf_fleet_start_all (&fleet, 0);
      gf_fleet_settle (&fleet, START_TIME);
      gf_fleet_advance (&fleet, START_TIME);
      gf_fleet_put_endpoint (&fleet, 1, "draining");
      gf_fleet_advance (&fleet, after_other_change[i]);
      gf_fleet_put_endpoint (&fleet, 0, "draining");
      gf_fleet_advance (&fleet, GF_LEAVING);
      for (guint j = 0; j < size.n_instances; j++)
        {
          const SvFleet *endpoints = fleet.instances[j].gateway.fleet;
          const SvEndpoint *endpoint = find_endpoint (endpoints, "i-0");

          CU_ASSERT_PTR_NOT_NULL_FATAL (endpoint);
          CU_ASSERT_FALSE (sv_endpoint_is_last_resort (endpoints, endpoint));
        }
      gf_fleet_close (&fleet);
    }
}

static const SuiteCase cases[] = {
  { "pauses count toward the time to leave", test_pauses_count_toward_the_time_to_leave },
};

SUITE_MAIN ("gw_endpoints", cases)
