/** What callers and endpoints see of evacuated zones. The first endpoint is in zone "a", the others
 * are in zone "b". */

#include <string.h>

#include "serve/reach.h"
#include "suite.h"
#include "zones_fixture.h"

/* `wanted`: the endpoint that gets the request; -1: it is refused. */
static void
check_request (const char *path, const ScriptedAnswer *answer, const char *evacuated, gint wanted)
{
  SvFixture fixture;

  zones_fixture_open (&fixture, answer, answer);
  zones_fixture_evacuate (&fixture, evacuated);
  sv_fixture_request (&fixture, path);
  sv_fixture_wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_EQUAL (zones_fixture_n_requests (&fixture, 0), wanted == 0);
  CU_ASSERT_EQUAL (zones_fixture_n_requests (&fixture, 1), wanted == 1);
  if (wanted < 0)
    zones_fixture_check_refused (&fixture, "zones-evacuated");
  sv_fixture_close (&fixture);
}

/* Guards against requests to endpoints of evacuated zones, whatever their route, and against
 * callers that wait, or are told nothing, when no other endpoint is left. */
static void
test_requests_avoid_evacuated_zones (void)
{
  static const struct
  {
    const char *evacuated;
    gint endpoint;
  } rows[] = { { "", 0 }, { "a", 1 }, { "b", 0 }, { "c", 0 }, { "cb", 0 }, { "ab", -1 } };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      check_request ("/again/1", &zones_good, rows[i].evacuated, rows[i].endpoint);
      check_request ("/once/1", &zones_good, rows[i].evacuated, rows[i].endpoint);
      check_request ("/stream/1", &zones_begun, rows[i].evacuated, rows[i].endpoint);
    }
}

/* Guards against an endpoint that is judged by the zone of its earlier row, and against one that is
 * never used again after the evacuation. */
static void
test_the_zone_of_the_last_row_counts (void)
{
  SvFixture fixture;

  zones_fixture_open (&fixture, &zones_good, &zones_good);
  zones_fixture_evacuate (&fixture, "ac");
  zones_fixture_update (&fixture, 1, "c");
  sv_fixture_request (&fixture, "/again/1");
  sv_fixture_wait_for (&fixture, "\r\n\r\n");
  zones_fixture_check_refused (&fixture, "zones-evacuated");
  zones_fixture_update (&fixture, 1, "b");
  sv_fixture_request (&fixture, "/again/1");
  sv_fixture_wait_for (&fixture, "good");
  CU_ASSERT_EQUAL (zones_fixture_n_requests (&fixture, 1), 1);
  sv_evacuations_remove (sv_fleet_evacuations (fixture.fleet), "a", (SvPosition){ 1, 6 });
  sv_fixture_request (&fixture, "/again/1");
  sv_fixture_wait_for (&fixture, "good");
  CU_ASSERT_EQUAL (zones_fixture_n_requests (&fixture, 0), 1);
  sv_fixture_close (&fixture);
}

/* Guards against a last resort, or a wait for a Retry-After, that counts endpoints of evacuated
 * zones, and against a healthy endpoint that is refused because most others are evacuated. */
static void
test_other_endpoints_decide (void)
{
  SvFixture fixture;
  KnlTime now;

  zones_fixture_open (&fixture, &zones_good, &zones_good);
  now = knl_kernel_now (fixture.kernel);
  zones_fixture_evacuate (&fixture, "a");
  zones_fixture_endpoint (&fixture, 1)->retry_after_until = now + 3 * KNL_SEC;
  sv_fixture_request (&fixture, "/again/1");
  sv_fixture_wait_for (&fixture, "\r\n\r\n");
  zones_fixture_check_refused (&fixture, "endpoints-limited");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "Retry-After: 3."));
  zones_fixture_endpoint (&fixture, 1)->retry_after_until = 0;
  sv_endpoint_begin_leaving (zones_fixture_endpoint (&fixture, 0), now);
  sv_endpoint_begin_leaving (zones_fixture_endpoint (&fixture, 1), now);
  sv_fixture_request (&fixture, "/again/1");
  sv_fixture_wait_for (&fixture, "good");
  CU_ASSERT_EQUAL (zones_fixture_n_requests (&fixture, 0), 0);
  sv_fixture_close (&fixture);
}

/* Guards against requests to an endpoint that rests after losses, because endpoints of evacuated
 * zones are counted among the healthy ones that are missing. */
static void
test_evacuated_endpoints_are_not_missing_ones (void)
{
  SvFixture fixture;
  SvEndpoint *lost;

  zones_fixture_open (&fixture, &zones_good, &zones_good);
  for (guint i = 2; i < MAX_ENDPOINTS; i++)
    {
      sv_fixture_add_endpoint (&fixture, &zones_good, 1);
      zones_fixture_update (&fixture, i, "c");
    }
  zones_fixture_evacuate (&fixture, "c");
  lost = zones_fixture_endpoint (&fixture, 0);
  for (guint32 reporter = 1; reporter <= 2; reporter++)
    sv_endpoint_note_reported_loss (lost, reporter, knl_kernel_now (fixture.kernel));
  CU_ASSERT_TRUE (sv_endpoint_has_shared_backoff (lost, knl_kernel_now (fixture.kernel)));
  for (guint i = 0; i < 4; i++)
    {
      sv_fixture_request (&fixture, "/again/1");
      sv_fixture_wait_for (&fixture, "good");
    }
  CU_ASSERT_EQUAL (zones_fixture_n_requests (&fixture, 1), 4);
  sv_fixture_close (&fixture);
}

/* Guards against requests by an instance that can't know whether a zone has been evacuated, public
 * routes included, and against refusals where there is no such bound. */
static void
test_zones_must_be_confirmed (void)
{
  static const struct
  {
    KnlTime bound;
    KnlTime age;
    gboolean is_public;
    gboolean is_served;
  } rows[] = {
    { EVACUATION, WITHIN_BOUND, FALSE, TRUE }, { EVACUATION, PAST_BOUND, FALSE, FALSE },
    { EVACUATION, WITHIN_BOUND, TRUE, TRUE },  { EVACUATION, PAST_BOUND, TRUE, FALSE },
    { 0, 15 * KNL_SEC, FALSE, TRUE },          { 0, 15 * KNL_SEC, TRUE, TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      SvFixture fixture;

      zones_fixture_open (&fixture, &zones_good, &zones_good);
      zones_fixture_set_bounds (&fixture, rows[i].bound);
      ((SvRoute *)sv_config_route (sv_core_config (fixture.core), "h", "/once/1"))->is_public =
          rows[i].is_public;
      knl_paused_clock_advance (fixture.clock, rows[i].age);
      CU_ASSERT_EQUAL (sv_core_is_ready (fixture.core), rows[i].is_served);
      sv_fixture_request (&fixture, "/once/1");
      sv_fixture_wait_for (&fixture, "\r\n\r\n");
      CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), rows[i].is_served);
      if (!rows[i].is_served)
        zones_fixture_check_refused (&fixture, "zones-not-confirmed");
      sv_fixture_close (&fixture);
    }
}

static void
on_reach_changed (gboolean is_lost, gpointer data)
{
}

/* Guards against connection probes to endpoints of evacuated zones. */
static void
test_probes_avoid_evacuated_zones (void)
{
  static const char *const zones[] = { "", "a" };

  for (guint i = 0; i < G_N_ELEMENTS (zones); i++)
    {
      SvFixture fixture;
      SvReach *reach;

      zones_fixture_open (&fixture, &zones_good, &zones_good);
      sv_fixture_add_endpoint (&fixture, &zones_good, 1);
      zones_fixture_evacuate (&fixture, zones[i]);
      reach =
          sv_reach_new (fixture.kernel, fixture.client, fixture.fleet, "s", on_reach_changed, NULL);
      for (guint j = 1; j <= 2; j++)
        sv_reach_note_failure (reach, zones_fixture_endpoint (&fixture, j));
      zones_fixture_settle (&fixture);
      CU_ASSERT_EQUAL (scripted_endpoint_n_closed_by_peer (fixture.endpoints[0]), 1 - i);
      sv_reach_free (reach);
      sv_fixture_close (&fixture);
    }
}

static const SuiteCase cases[] = {
  { "requests avoid evacuated zones", test_requests_avoid_evacuated_zones },
  { "the zone of the last row counts", test_the_zone_of_the_last_row_counts },
  { "other endpoints decide", test_other_endpoints_decide },
  { "evacuated endpoints are not missing ones", test_evacuated_endpoints_are_not_missing_ones },
  { "zones must be confirmed", test_zones_must_be_confirmed },
  { "probes avoid evacuated zones", test_probes_avoid_evacuated_zones },
};

SUITE_MAIN ("sv_zones", cases)
