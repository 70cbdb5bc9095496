/** Tests of which requests are quarantined, and for how long they are remembered. */

#include "kernel/paused.h"
#include "serve/quarantine.h"
#include "suite.h"

#define N_ENDPOINTS 12
#define REQUEST     77
#define MINUTE      (60 * KNL_SEC)

/* Interval at which peers call the ticks. */
#define STEP (400 * KNL_MSEC)

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  SvFleet *fleet;
  SvQuarantine *quarantine;
  SvCrashes *crashes;
  guint64 keys[N_ENDPOINTS]; /* of the endpoints */
} Fixture;

static void
add_endpoint (Fixture *self, guint i)
{
  g_autofree char *id = g_strdup_printf ("i-%u", i);
  SvEndpointEntry entry = { .id = id, .service = "s", .zone = "a", .slots = 4 };

  entry.address = "127.0.0.1:1";
  sv_fleet_update (self->fleet, &entry);
  self->keys[i] = ((SvEndpoint *)g_ptr_array_index (sv_fleet_all (self->fleet), i))->key;
}

static void
fixture_open (Fixture *self)
{
  *self = (Fixture){ .clock = knl_paused_clock_new () };
  knl_paused_clock_advance (self->clock, 100 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 5);
  self->fleet = sv_fleet_new (self->kernel, KNL_SEC);
  self->quarantine = sv_quarantine_new (self->kernel, self->fleet);
  self->crashes = sv_crashes_new (self->kernel, self->fleet);
  sv_crashes_set_quarantine (self->crashes, self->quarantine);
  for (guint i = 0; i < N_ENDPOINTS; i++)
    add_endpoint (self, i);
}

static void
fixture_close (Fixture *self)
{
  sv_crashes_free (self->crashes);
  sv_quarantine_free (self->quarantine);
  sv_fleet_free (self->fleet);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
}

static void
pass (Fixture *self, KnlTime time)
{
  for (KnlTime passed = 0; passed < time; passed += STEP)
    {
      knl_paused_clock_advance (self->clock, STEP);
      sv_fleet_sweep (self->fleet);
      sv_crashes_tick (self->crashes);
      sv_quarantine_tick (self->quarantine);
    }
}

static void
remove_endpoint (Fixture *self, guint i)
{
  g_autofree char *id = g_strdup_printf ("i-%u", i);

  sv_fleet_remove (self->fleet, id);
  pass (self, 2 * KNL_SEC);
}

/* The endpoint's connection closes under the request. */
static void
lose (Fixture *self, guint i, guint64 request)
{
  SvCrash crash = { request, self->keys[i], knl_kernel_now (self->kernel) };

  sv_quarantine_note_closed (self->quarantine, crash.endpoint, request, crash.lost_at);
  sv_crashes_note_loss (self->crashes, &crash, SV_CRASH_OWN);
}

/* The endpoint ends under the request. */
static void
crash (Fixture *self, guint i, guint64 request)
{
  lose (self, i, request);
  remove_endpoint (self, i);
}

static gboolean
is_quarantined (const Fixture *self, guint64 request)
{
  return sv_quarantine_contains (self->quarantine, SV_QUARANTINE_REQUESTS, request);
}

/* Guards against a request that ends an endpoint each time it comes, and comes too rarely for its
 * losses to count together. */
static void
test_rare_requests_are_quarantined (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 3; i++)
    {
      crash (&fixture, i, REQUEST);
      pass (&fixture, 30 * MINUTE);
    }
  CU_ASSERT_TRUE (is_quarantined (&fixture, REQUEST));
  fixture_close (&fixture);
}

/* Guards against an instance whose records a mass outage has filled, and which knows no new request
 * that crashes endpoints for hours. */
static void
test_records_are_bounded (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  for (guint64 i = 0; i < 20000; i++)
    lose (&fixture, 0, 1000 + i);
  CU_ASSERT (sv_crashes_n_requests (fixture.crashes) <= 8192);
  remove_endpoint (&fixture, 0);
  pass (&fixture, 61 * KNL_SEC);
  for (guint i = 1; i <= 3; i++)
    crash (&fixture, i, REQUEST);
  CU_ASSERT_TRUE (is_quarantined (&fixture, REQUEST));
  fixture_close (&fixture);
}

/* Guards against a request that is refused for endpoints which lived on and were scaled in later.
 */
static void
test_endpoints_that_leave_later_have_not_crashed (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 4; i++)
    {
      lose (&fixture, i, REQUEST);
      pass (&fixture, KNL_SEC);
      sv_fleet_by_key (fixture.fleet, fixture.keys[i])->alive_at = knl_kernel_now (fixture.kernel);
      pass (&fixture, KNL_SEC);
      remove_endpoint (&fixture, i);
    }
  CU_ASSERT_FALSE (is_quarantined (&fixture, REQUEST));
  CU_ASSERT_FALSE (sv_crashes_is_refused (fixture.crashes, REQUEST));
  fixture_close (&fixture);
}

/* Guards against a request that is refused for connections which closed at idle endpoints, of which
 * nothing was heard until they left. */
static void
test_idle_endpoints_that_leave_have_not_crashed (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 4; i++)
    lose (&fixture, i, REQUEST);
  pass (&fixture, 62 * KNL_SEC);
  for (guint i = 0; i < 4; i++)
    remove_endpoint (&fixture, i);
  CU_ASSERT_FALSE (is_quarantined (&fixture, REQUEST));
  CU_ASSERT_FALSE (sv_crashes_is_refused (fixture.crashes, REQUEST));
  fixture_close (&fixture);
}

/* Guards against requests that are refused for hours since the endpoints of a rack ended at once.
 */
static void
test_an_outage_quarantines_no_request (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 4; i++)
    lose (&fixture, i, REQUEST);
  for (guint i = 0; i < 4; i++)
    remove_endpoint (&fixture, i);
  pass (&fixture, 61 * KNL_SEC);
  CU_ASSERT_FALSE (is_quarantined (&fixture, REQUEST));
  CU_ASSERT_FALSE (sv_crashes_is_refused (fixture.crashes, REQUEST));
  pass (&fixture, SV_QUARANTINE_TTL);
  CU_ASSERT_EQUAL (sv_crashes_n_requests (fixture.crashes), 0);
  fixture_close (&fixture);
}

/* Guards against a request that is refused for ends between which it was answered. */
static void
test_answered_requests_are_not_quarantined (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 6; i++)
    {
      SvAcquittal acquittal = { .fingerprint = REQUEST };

      crash (&fixture, i, REQUEST);
      pass (&fixture, 10 * MINUTE);
      acquittal.answered_at = knl_kernel_now (fixture.kernel);
      if (i % 2 == 1)
        sv_crashes_note_answer (fixture.crashes, &acquittal, SV_CRASH_OWN);
    }
  CU_ASSERT_FALSE (is_quarantined (&fixture, REQUEST));
  CU_ASSERT_FALSE (sv_crashes_is_refused (fixture.crashes, REQUEST));
  fixture_close (&fixture);
}

/* Guards against a request that goes on being refused after an endpoint has answered it. */
static void
test_an_answer_ends_the_quarantine (void)
{
  SvSegmentSurvival survival = { SV_QUARANTINE_REQUESTS, 0, { { REQUEST }, 1 } };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 3; i++)
    crash (&fixture, i, REQUEST);
  CU_ASSERT_TRUE (is_quarantined (&fixture, REQUEST));
  survival.at = knl_kernel_now (fixture.kernel);
  CU_ASSERT_TRUE (sv_quarantine_note_survival (fixture.quarantine, &survival, SV_CRASH_OWN));
  CU_ASSERT_FALSE (is_quarantined (&fixture, REQUEST));
  fixture_close (&fixture);
}

/* Guards against prompts that are refused for a segment which was lost with a request that crashes
 * endpoints by itself, and against losses of a segment that count for nothing. */
static void
test_requests_and_segments_are_kept_apart (void)
{
  SvSegments segments = { { REQUEST }, 1 };
  gboolean is_test = FALSE;
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 3; i++)
    crash (&fixture, i, REQUEST);
  CU_ASSERT_PTR_NULL (sv_quarantine_check (fixture.quarantine, 7, &segments, &is_test));
  CU_ASSERT_FALSE (sv_quarantine_explains (fixture.quarantine, fixture.keys[0]));
  fixture_close (&fixture);
}

/* A segment is known to have ended three endpoints, from that one on. */
static void
quarantine_segment (Fixture *self, guint64 segment, guint first)
{
  SvQuarantined told = {
    .service = 7, .segment = segment, .since = knl_kernel_now (self->kernel), .n_losses = 3
  };

  for (guint i = 0; i < told.n_losses; i++)
    told.losses[i] = (PolBlameLoss){ .endpoint = self->keys[first + i], .lost_at = told.since };
  CU_ASSERT_TRUE (sv_quarantine_adopt (self->quarantine, &told, SV_CRASH_OF_CELL));
}

/* Guards against a request of which no further loss is recorded, as it had been lost beside
 * segments that explain so many ends. */
static void
test_explained_losses_leave_room (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 6; i++)
    lose (&fixture, i, REQUEST);
  quarantine_segment (&fixture, 1, 0);
  quarantine_segment (&fixture, 2, 3);
  CU_ASSERT_EQUAL (sv_crashes_count (fixture.crashes, REQUEST), 0);
  for (guint i = 6; i < 9; i++)
    crash (&fixture, i, REQUEST);
  CU_ASSERT_TRUE (is_quarantined (&fixture, REQUEST));
  fixture_close (&fixture);
}

/* The endpoint closes its connections under the request, and under another one with the segment,
 * which may be the same. */
static void
crash_beside_segment_now (Fixture *self, guint i, guint64 other, guint64 segment)
{
  SvSegmentUse use = { .request = other,
                       .endpoint = self->keys[i],
                       .service = 7,
                       .at = knl_kernel_now (self->kernel),
                       .segments = { { segment }, 1 } };

  sv_quarantine_note_loss (self->quarantine, &use, SV_CRASH_OWN);
  lose (self, i, REQUEST);
}

/* The same, and the endpoint has ended. */
static void
crash_beside_segment (Fixture *self, guint i, guint64 other, guint64 segment)
{
  crash_beside_segment_now (self, i, other, segment);
  remove_endpoint (self, i);
}

/* Guards against a shared segment that is quarantined for endpoints which a request has crashed
 * beside prompts with it. */
static void
test_segments_beside_a_request_are_not_blamed (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 3; i++)
    crash_beside_segment (&fixture, i, 1000 + i, 5);
  CU_ASSERT_TRUE (is_quarantined (&fixture, REQUEST));
  CU_ASSERT_FALSE (sv_quarantine_contains (fixture.quarantine, 7, 5));
  fixture_close (&fixture);
}

/* Guards against the same by a prompt that arrives before the next tick, and has its segments
 * decided on. */
static void
test_requests_are_decided_first (void)
{
  SvSegments segments = { { 5 }, 1 };
  gboolean is_test = FALSE;
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 2; i++)
    crash_beside_segment (&fixture, i, 1000 + i, 5);
  knl_paused_clock_advance (fixture.clock, KNL_SEC);
  sv_fleet_remove (fixture.fleet, "i-2");
  crash_beside_segment_now (&fixture, 2, 1002, 5);
  knl_paused_clock_advance (fixture.clock, 2 * KNL_SEC);
  sv_fleet_sweep (fixture.fleet);
  CU_ASSERT_PTR_NULL (sv_quarantine_check (fixture.quarantine, 7, &segments, &is_test));
  CU_ASSERT_TRUE (is_quarantined (&fixture, REQUEST));
  fixture_close (&fixture);
}

/* Guards against a segment that crashes endpoints and isn't blamed, since a request with it that
 * was repeated explains most of them. */
static void
test_segments_of_a_request_are_blamed (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 3; i++)
    crash_beside_segment (&fixture, i, REQUEST, 5);
  for (guint i = 3; i < 5; i++)
    {
      SvSegmentUse use = { .request = 1000 + i,
                           .endpoint = fixture.keys[i],
                           .service = 7,
                           .at = knl_kernel_now (fixture.kernel),
                           .segments = { { 5 }, 1 } };

      sv_quarantine_note_loss (fixture.quarantine, &use, SV_CRASH_OWN);
      remove_endpoint (&fixture, i);
    }
  CU_ASSERT_TRUE (sv_quarantine_contains (fixture.quarantine, 7, 5));
  fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "rare requests are quarantined", test_rare_requests_are_quarantined },
  { "records are bounded", test_records_are_bounded },
  { "endpoints that leave later have not crashed",
    test_endpoints_that_leave_later_have_not_crashed },
  { "idle endpoints that leave have not crashed", test_idle_endpoints_that_leave_have_not_crashed },
  { "an outage quarantines no request", test_an_outage_quarantines_no_request },
  { "answered requests are not quarantined", test_answered_requests_are_not_quarantined },
  { "explained losses leave room", test_explained_losses_leave_room },
  { "segments beside a request are not blamed", test_segments_beside_a_request_are_not_blamed },
  { "requests are decided first", test_requests_are_decided_first },
  { "segments of a request are blamed", test_segments_of_a_request_are_blamed },
  { "an answer ends the quarantine", test_an_answer_ends_the_quarantine },
  { "requests and segments are kept apart", test_requests_and_segments_are_kept_apart },
};

SUITE_MAIN ("sv_crash_rules", cases)
