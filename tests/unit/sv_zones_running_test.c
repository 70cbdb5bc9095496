/** Requests, streams and reservations that are under way when a zone is evacuated. */

#include <string.h>

#include "suite.h"
#include "zones_fixture.h"

#define STEP (50 * KNL_MSEC)

/* Of three engines, the one that runs a long prompt, and the one that reserves memory for it, as
 * the hashes of their ids decide. */
#define RUNNER 1
#define HOLDER 2

/* Guards against running work that is ended by an evacuation, and against retries and resumed
 * streams that go to a zone which was evacuated meanwhile, or isn't confirmed any more. */
static void
test_running_requests_stay_and_are_not_sent_again (void)
{
  static const struct
  {
    const char *path;
    const ScriptedAnswer *answer;
    const char *evacuated;
    KnlTime age; /* of the confirmation when the request is lost */
    guint n_sent_again;
  } rows[] = {
    { "/again/1", &zones_silent, "", STEP, 1 },
    { "/again/1", &zones_silent, "a", STEP, 1 },
    { "/again/1", &zones_silent, "b", STEP, 0 },
    { "/stream/1", &zones_begun, "", STEP, 1 },
    { "/stream/1", &zones_begun, "a", STEP, 1 },
    { "/stream/1", &zones_begun, "b", STEP, 0 },
    { "/again/1", &zones_silent, "", WITHIN_BOUND, 1 },
    { "/again/1", &zones_silent, "", PAST_BOUND, 0 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      SvFixture fixture;

      zones_fixture_open (&fixture, rows[i].answer, &zones_good);
      knl_paused_clock_advance (fixture.clock, rows[i].age - STEP);
      sv_fixture_request (&fixture, rows[i].path);
      sv_fixture_wait_requests (&fixture, 0, 1);
      zones_fixture_evacuate (&fixture, rows[i].evacuated);
      knl_paused_clock_advance (fixture.clock, STEP);
      zones_fixture_settle (&fixture);
      CU_ASSERT_EQUAL (sv_core_n_requests (fixture.core), 1);
      CU_ASSERT_EQUAL (scripted_endpoint_n_closed_by_peer (fixture.endpoints[0]), 0);
      CU_ASSERT_EQUAL (sv_fleet_n_evacuated_requests (fixture.fleet),
                       strcmp (rows[i].evacuated, "a") == 0);
      sv_core_note_replaced (fixture.core, zones_fixture_endpoint (&fixture, 0));
      zones_fixture_settle (&fixture);
      CU_ASSERT_EQUAL (zones_fixture_n_requests (&fixture, 1), rows[i].n_sent_again);
      sv_fixture_close (&fixture);
    }
}

/* Guards against a stream that gives way to a long prompt by migrating to an evacuated zone, or by
 * ending when no zone is confirmed. */
static void
test_streams_do_not_migrate_there (void)
{
  static const SvPrefill prefill = { .prompt = 7, .length = 900 * KNL_MSEC, .until_ended = TRUE };
  static const struct
  {
    gboolean is_evacuated;
    KnlTime age;
    guint n_requests;
  } rows[] = { { FALSE, 0, 2 }, { TRUE, 0, 1 }, { FALSE, PAST_BOUND, 1 } };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      SvFixture fixture;
      guint runner;

      sv_fixture_open (&fixture);
      zones_fixture_set_bounds (&fixture, EVACUATION);
      sv_fixture_use_engines (&fixture, 1, &sv_fixture_small_engine);
      for (guint j = 0; j < 2; j++)
        sv_fixture_add_endpoint (&fixture, &zones_begun, 1);
      knl_paused_clock_advance (fixture.clock, rows[i].age > 0 ? rows[i].age - STEP : 0);
      sv_fixture_request_prompt (&fixture, "/stream/1", 5000);
      sv_fixture_wait_for (&fixture, "id: 1");
      runner = zones_fixture_n_requests (&fixture, 0) > 0 ? 0 : 1;
      if (rows[i].is_evacuated)
        zones_fixture_evacuate (&fixture, runner == 0 ? "b" : "a");
      knl_paused_clock_advance (fixture.clock, rows[i].age > 0 ? STEP : 0);
      sv_fleet_add_prefill (fixture.fleet, &prefill,
                            &zones_fixture_endpoint (&fixture, runner)->key, 1);
      knl_paused_clock_advance (fixture.clock, STEP);
      zones_fixture_settle (&fixture);
      CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), rows[i].n_requests);
      CU_ASSERT_EQUAL (sv_core_n_requests (fixture.core), 1);
      sv_fixture_close (&fixture);
    }
}

static gboolean
has_order (const SvFixture *self, guint endpoint, const char *operation)
{
  return strstr (scripted_endpoint_body (self->endpoints[endpoint]), operation) != NULL;
}

/* Advances until the endpoint has an order with that operation, by 5 s at most. */
static void
wait_order (SvFixture *self, guint endpoint, const char *operation)
{
  for (guint i = 0; i < 100 && !has_order (self, endpoint, operation); i++)
    {
      zones_fixture_settle (self);
      knl_paused_clock_advance (self->clock, STEP);
    }
  CU_ASSERT_TRUE (has_order (self, endpoint, operation));
}

static void
open_with_engines (SvFixture *self, const ScriptedAnswer *answer)
{
  sv_fixture_open (self);
  zones_fixture_set_bounds (self, EVACUATION);
  sv_fixture_use_engines (self, 1, &sv_fixture_small_engine);
  for (guint i = 0; i < 3; i++)
    {
      sv_fixture_add_endpoint (self, i == RUNNER ? answer : &zones_accepted, 1);
      zones_fixture_update (self, i, i == RUNNER ? "r" : "h");
    }
  sv_fixture_request_prompt (self, "/long/1", 120000);
  sv_fixture_wait_requests (self, HOLDER, 1);
}

/* The fleet replaces each endpoint of these zones by its next start. */
static void
restart_zones (SvFixture *self, const char *zones)
{
  for (guint i = 0; i < 3; i++)
    {
      SvEndpoint *endpoint = sv_endpoint_ref (zones_fixture_endpoint (self, i));
      SvEndpointEntry entry = {
        .id = endpoint->id,
        .service = "s",
        .zone = endpoint->zone,
        .slots = 4,
        .start = endpoint->start + 1,
        .address = endpoint->address,
      };

      if (strstr (zones, endpoint->zone) != NULL)
        sv_fleet_update (self->fleet, &entry);
      sv_endpoint_unref (endpoint);
    }
}

/* Guards against a prompt that is sent with, or to, an endpoint whose zone was evacuated while its
 * memory was being reserved, also one that was replaced meanwhile, or when no zone is confirmed any
 * more. */
static void
test_reserved_prompts_are_checked_again (void)
{
  static const struct
  {
    const char *evacuated;
    gboolean is_stale;
    const char *reason;
    const char *restarted; /* zone whose endpoints restart before */
  } rows[] = { { "r", FALSE, NULL, "" },
               { "h", FALSE, NULL, "" },
               { "rh", FALSE, "zones-evacuated", "" },
               { "", TRUE, "zones-not-confirmed", "" },
               { "r", FALSE, NULL, "r" },
               { "h", FALSE, NULL, "h" },
               { "rh", FALSE, "zones-evacuated", "rh" } };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      SvFixture fixture;

      open_with_engines (&fixture, &zones_silent);
      restart_zones (&fixture, rows[i].restarted);
      zones_fixture_evacuate (&fixture, rows[i].evacuated);
      if (rows[i].is_stale)
        zones_fixture_set_bounds (&fixture, 1);
      knl_paused_clock_advance (fixture.clock, 1 * KNL_MSEC);
      wait_order (&fixture, HOLDER, "release");
      if (strchr (rows[i].evacuated, 'r') != NULL || rows[i].is_stale)
        CU_ASSERT_EQUAL (zones_fixture_n_requests (&fixture, RUNNER), 0);
      if (rows[i].reason != NULL)
        zones_fixture_check_refused (&fixture, rows[i].reason);
      sv_fixture_close (&fixture);
    }
}

/* Guards against reserved memory that is lost under a running prompt, since its renewals count as
 * new requests to the evacuated zone, and against memory that is never released. */
static void
test_reservations_are_renewed_and_released (void)
{
  SvFixture fixture;
  guint before;

  open_with_engines (&fixture, &zones_silent);
  sv_fixture_wait_requests (&fixture, RUNNER, 1);
  zones_fixture_evacuate (&fixture, "h");
  before = zones_fixture_n_requests (&fixture, HOLDER);
  for (guint i = 0; i < 40; i++)
    {
      knl_paused_clock_advance (fixture.clock, STEP);
      zones_fixture_settle (&fixture);
    }
  CU_ASSERT (zones_fixture_n_requests (&fixture, HOLDER) >= before + 2);
  CU_ASSERT_TRUE (has_order (&fixture, HOLDER, "reserve"));
  sv_core_note_replaced (fixture.core, zones_fixture_endpoint (&fixture, RUNNER));
  wait_order (&fixture, HOLDER, "release");
  sv_fixture_close (&fixture);
}

/* Of sv_fixture_request(): half of it is left for another endpoint. */
#define CALLERS_TIME (4 * KNL_SEC)

/* Guards against a slow request that is withdrawn from its endpoint, although it can't be sent to
 * another one while no zone is confirmed. */
static void
test_slow_requests_are_not_withdrawn (void)
{
  static const KnlTime ages[] = { 0, PAST_BOUND };

  for (guint i = 0; i < G_N_ELEMENTS (ages); i++)
    {
      SvFixture fixture;

      zones_fixture_open (&fixture, &zones_silent, &zones_good);
      knl_paused_clock_advance (fixture.clock, MAX (ages[i] - STEP, 0));
      sv_fixture_request (&fixture, "/again/1");
      sv_fixture_wait_requests (&fixture, 0, 1);
      for (KnlTime passed = 0; passed < CALLERS_TIME / 2 + STEP; passed += STEP)
        {
          knl_paused_clock_advance (fixture.clock, STEP);
          zones_fixture_settle (&fixture);
        }
      CU_ASSERT_EQUAL (zones_fixture_n_requests (&fixture, 1), 1 - i);
      CU_ASSERT_EQUAL (sv_core_n_requests (fixture.core), i);
      sv_fixture_close (&fixture);
    }
}

static const SuiteCase cases[] = {
  { "running requests stay and are not sent again",
    test_running_requests_stay_and_are_not_sent_again },
  { "streams do not migrate there", test_streams_do_not_migrate_there },
  { "reserved prompts are checked again", test_reserved_prompts_are_checked_again },
  { "reservations are renewed and released", test_reservations_are_renewed_and_released },
  { "slow requests are not withdrawn", test_slow_requests_are_not_withdrawn },
};

SUITE_MAIN ("sv_zones_running", cases)
