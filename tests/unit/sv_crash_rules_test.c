/** Tests of which requests are quarantined, and for how long they are remembered. */

#include "kernel/paused.h"
#include "serve/quarantine.h"
#include "suite.h"

#define N_ENDPOINTS 96
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
tick (Fixture *self)
{
  sv_fleet_sweep (self->fleet);
  sv_crashes_tick (self->crashes);
  sv_quarantine_tick (self->quarantine);
}

static void
pass (Fixture *self, KnlTime time)
{
  for (KnlTime passed = 0; passed < time; passed += STEP)
    {
      knl_paused_clock_advance (self->clock, STEP);
      tick (self);
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

static gboolean
is_refused_by_record (const Fixture *self)
{
  gboolean is_test = FALSE;

  return sv_crashes_is_refused (self->crashes, REQUEST, &is_test);
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
      sv_fleet_by_key (fixture.fleet, fixture.keys[i])->signs.proven_at =
          knl_kernel_now (fixture.kernel);
      pass (&fixture, KNL_SEC);
      remove_endpoint (&fixture, i);
    }
  CU_ASSERT_FALSE (is_quarantined (&fixture, REQUEST));
  CU_ASSERT_FALSE (is_refused_by_record (&fixture));
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
  CU_ASSERT_FALSE (is_refused_by_record (&fixture));
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
  CU_ASSERT_FALSE (is_refused_by_record (&fixture));
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
  CU_ASSERT_FALSE (is_refused_by_record (&fixture));
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

/* How a request that crashes endpoints is sent: first several times in quick succession, then,
 * from RETURN_TIME on, twice a second. */
typedef struct
{
  KnlTime gap;  /* between the first sends */
  KnlTime work; /* from a send to the end of its endpoint */
  guint n_first;
  guint max_attempts; /* of a send, including retries */
} Succession;

#define RETURN_TIME  (8 * KNL_SEC)
#define RETURN_GAP   (500 * KNL_MSEC)
#define WATCHED_TIME (240 * KNL_SEC)
#define ROW_TTL      (3600 * KNL_MSEC)
#define CONTACT_TIME (3 * KNL_SEC)
#define MAX_LATE     3
#define TIME_STEP    (10 * KNL_MSEC)

/* An endpoint that the request is sent to, and ends. */
typedef struct
{
  KnlTime ends_at;
  guint attempts_left;
  gboolean has_ended;
  gboolean is_removed;
} Victim;

typedef struct
{
  Fixture fixture;
  const Succession *row;
  KnlTime begun_at;
  Victim victims[N_ENDPOINTS]; /* by endpoint */
  guint n_sent;
  guint n_ended;
  KnlTime third_at; /* when the third endpoint ended; 0: not yet */
  guint n_late;     /* sends later than CONTACT_TIME after that */
} Repetition;

static gboolean
elect_always (guint64 seed, gpointer data)
{
  return TRUE;
}

static gboolean
is_refused (const Fixture *self)
{
  SvSegments whole = { { REQUEST }, 1 };
  gboolean is_test = FALSE;

  return is_refused_by_record (self)
         || sv_quarantine_check (self->quarantine, SV_QUARANTINE_REQUESTS, &whole, &is_test)
                != NULL;
}

static void
send_deadly (Repetition *self, guint attempts_left)
{
  KnlTime now = knl_kernel_now (self->fixture.kernel);

  if (self->n_sent == N_ENDPOINTS || is_refused (&self->fixture))
    return;
  self->victims[self->n_sent++] = (Victim){ now + self->row->work, attempts_left, FALSE, FALSE };
  self->n_late += self->third_at > 0 && now > self->third_at + CONTACT_TIME;
}

static void
end_victim (Repetition *self, guint i)
{
  Victim *victim = &self->victims[i];

  victim->has_ended = TRUE;
  if (++self->n_ended == 3)
    self->third_at = victim->ends_at;
  lose (&self->fixture, i, REQUEST);
  if (victim->attempts_left > 1)
    send_deadly (self, victim->attempts_left - 1);
}

static void
update_victims (Repetition *self)
{
  KnlTime now = knl_kernel_now (self->fixture.kernel);

  for (guint i = 0; i < self->n_sent; i++)
    {
      Victim *victim = &self->victims[i];
      g_autofree char *id = g_strdup_printf ("i-%u", i);

      if (!victim->has_ended && victim->ends_at <= now)
        end_victim (self, i);
      if (victim->has_ended && !victim->is_removed && victim->ends_at + ROW_TTL <= now)
        {
          victim->is_removed = TRUE;
          sv_fleet_remove (self->fixture.fleet, id);
        }
    }
}

static gboolean
is_send_due (const Succession *row, KnlTime at)
{
  if (at >= RETURN_TIME)
    return at % RETURN_GAP == 0;
  return at % row->gap == 0 && at / row->gap < row->n_first;
}

/* Number of sends that are too late. */
static guint
repeat_deadly (const Succession *row)
{
  Repetition self = { .row = row };

  fixture_open (&self.fixture);
  sv_quarantine_set_election (self.fixture.quarantine, elect_always, NULL);
  for (KnlTime at = 0; at < WATCHED_TIME; at += TIME_STEP)
    {
      update_victims (&self);
      if (is_send_due (row, at))
        send_deadly (&self, row->max_attempts);
      if (at % STEP == 0)
        tick (&self.fixture);
      knl_paused_clock_advance (self.fixture.clock, TIME_STEP);
    }
  fixture_close (&self.fixture);
  return self.n_late;
}

static void
check_successions (const Succession *rows, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      guint n_late = repeat_deadly (&rows[i]);

      if (n_late > MAX_LATE)
        g_printerr ("row %u: %u late sends\n", i, n_late);
      CU_ASSERT (n_late <= MAX_LATE);
    }
}

static const Succession quick_successions[] = {
  { 60 * KNL_MSEC, 300 * KNL_MSEC, 6, 2 },  { 80 * KNL_MSEC, 300 * KNL_MSEC, 6, 2 },
  { 90 * KNL_MSEC, 300 * KNL_MSEC, 8, 2 },  { 90 * KNL_MSEC, 300 * KNL_MSEC, 12, 1 },
  { 50 * KNL_MSEC, 2 * KNL_SEC, 12, 2 },    { 100 * KNL_MSEC, 300 * KNL_MSEC, 4, 2 },
  { 140 * KNL_MSEC, 300 * KNL_MSEC, 6, 2 }, { 500 * KNL_MSEC, 2 * KNL_SEC, 6, 1 },
};

/* Guards against a request that crashes endpoints in quick succession, is quarantined by one count
 * of its losses, and let go by another. */
static void
test_quick_successions_are_refused (void)
{
  check_successions (quick_successions, G_N_ELEMENTS (quick_successions));
}

static const Succession momentary_successions[] = {
  { 10 * KNL_MSEC, 10 * KNL_MSEC, 6, 1 },  { 10 * KNL_MSEC, 300 * KNL_MSEC, 9, 1 },
  { 10 * KNL_MSEC, 300 * KNL_MSEC, 6, 2 }, { 20 * KNL_MSEC, 2 * KNL_SEC, 5, 2 },
  { 10 * KNL_MSEC, 3 * KNL_SEC, 9, 1 },    { 10 * KNL_MSEC, 10 * KNL_MSEC, 3, 1 },
  { 90 * KNL_MSEC, 10 * KNL_MSEC, 8, 2 },  { 90 * KNL_MSEC, 10 * KNL_MSEC, 8, 1 },
};

/* Guards against a request that crashes many endpoints at too few moments to be quarantined, and of
 * which no further crash is known once it has been refused for a while. */
static void
test_momentary_successions_are_refused (void)
{
  check_successions (momentary_successions, G_N_ELEMENTS (momentary_successions));
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
  { "quick successions are refused", test_quick_successions_are_refused },
  { "momentary successions are refused", test_momentary_successions_are_refused },
};

SUITE_MAIN ("sv_crash_rules", cases)
