/** Calls that ask endpoints how slow they are, over HTTP, and what their answers change. */

#include <math.h>
#include <string.h>

#include "peers_fixture.h"
#include "serve/pace.h"
#include "serve/peers_internal.h"
#include "suite.h"
#include "sv_fixture.h"

#define PROMPT_TOKENS 60000
#define LATE          (1500 * KNL_MSEC)
#define CALL_TIMEOUT  (800 * KNL_MSEC)
#define N_ENDPOINTS   MAX_ENDPOINTS

static const SvEngineSpec spec = {
  .slots = 16,
  .memory_tokens = 300000,
  .stride = 50,
  .step_ms = 1,
  .prefill_tokens_per_ms = 180,
  .pair_ms_per_m = 0.18,
  .chunk = 2048,
  .mean_prompt_tokens = 10000,
  .mean_answer_tokens = 1000,
};

#define STREAM                                                                                     \
  "HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n"                                \
  "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"
#define VALUE  "Content-Length: 12\r\n\r\n{\"pace\":2.5}"
#define SLOW   "HTTP/1.1 200 OK\r\n" VALUE
#define NORMAL "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"pace\":1.0}"
#define TORN   "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"pace\":2.5}"

static guint
count_asked (const SvFixture *fixture)
{
  const GPtrArray *all = sv_fleet_all (fixture->fleet);
  guint n = 0;

  for (guint i = 0; i < all->len; i++)
    n += ((SvEndpoint *)g_ptr_array_index (all, i))->is_pace_asked;
  return n;
}

typedef struct
{
  const char *name;
  ScriptedAnswer answer; /* of one helper, when it is asked */
  KnlTime waited;
  double pace;          /* of that helper afterwards */
  gboolean is_answered; /* the call ends by itself */
  const char *result;   /* of the call, in the metrics; NULL: none was made */
} CallRow;

/* Guards against a slow helper that is chosen again, calls without a reason, and answers without a
 * value that change something. */
static const CallRow call_rows[] = {
  { "a slow helper", { SLOW, FALSE }, LATE, 2.5, TRUE, "slow" },
  { "on time", { SLOW, FALSE }, 0, 1, TRUE, NULL },
  { "a normal helper", { NORMAL, FALSE }, LATE, 1, TRUE, "normal" },
  { "no answer", { NULL, FALSE }, LATE, 1, FALSE, "timeout" },
  { "closed", { NULL, TRUE }, LATE, 1, TRUE, "failed" },
  { "404", { "HTTP/1.1 404 N\r\n" VALUE, FALSE }, LATE, 1, TRUE, "refused" },
  { "421", { "HTTP/1.1 421 N\r\n" VALUE, FALSE }, LATE, 1, TRUE, "misdirected" },
  { "000", { "HTTP/1.1 000 N\r\n" VALUE, TRUE }, LATE, 1, TRUE, "failed" },
  { "00200", { "HTTP/1.1 00200 N\r\n" VALUE, TRUE }, LATE, 1, TRUE, "failed" },
  { "999", { "HTTP/1.1 999 N\r\n" VALUE, TRUE }, LATE, 1, TRUE, "failed" },
  { "reset",
    { .bytes = "HTTP/1.1 200 OK\r\n\r\n{\"pace\":2.5}", .resets = TRUE },
    LATE,
    1,
    TRUE,
    "failed" },
  { "torn", { TORN, TRUE }, LATE, 1, TRUE, "failed" },
  { "no value",
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", FALSE },
    LATE,
    1,
    TRUE,
    "unreadable" },
};

typedef struct
{
  SvFixture base;
  ScriptedAnswer scripts[N_ENDPOINTS][2];
  guint runner; /* endpoint that got the first prompt */
  guint helper; /* one that had a part of it */
  guint n_helpers;
} CallFixture;

static SvEndpoint *
endpoint_of (const CallFixture *self, guint index)
{
  const GPtrArray *all = sv_fleet_all (self->base.fleet);

  for (guint i = 0; i < all->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (all, i);

      if (strcmp (endpoint->address, scripted_endpoint_address (self->base.endpoints[index])) == 0)
        return endpoint;
    }
  return NULL;
}

/* Index of the endpoint whose newest request has helpers; runs the loop until there is one. */
static guint
wait_for_prompt (CallFixture *self)
{
  for (;;)
    {
      for (guint i = 0; i < N_ENDPOINTS; i++)
        {
          if (scripted_endpoint_field (self->base.endpoints[i], "x-helpers") != NULL)
            return i;
        }
      event_base_loop (self->base.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
}

static gboolean
has_helper (const CallFixture *self, const char *helpers, guint i)
{
  return strstr (helpers, scripted_endpoint_address (self->base.endpoints[i])) != NULL;
}

/* Sends a prompt; its endpoint has it, and its answer isn't read yet. */
static void
send_prompt (CallFixture *self, const CallRow *row)
{
  const char *helpers;

  sv_fixture_request_prompt (&self->base, "/long/1", PROMPT_TOKENS);
  self->runner = wait_for_prompt (self);
  helpers = scripted_endpoint_field (self->base.endpoints[self->runner], "x-helpers");
  self->n_helpers = 0;
  for (guint i = 0; i < N_ENDPOINTS; i++)
    {
      if (i != self->runner)
        self->scripts[i][0].bytes = NORMAL;
      if (!has_helper (self, helpers, i))
        continue;
      self->helper = i;
      self->n_helpers++;
    }
  self->scripts[self->helper][0] = row->answer;
  self->scripts[self->helper][1] = row->answer;
}

static void
call_fixture_open (CallFixture *self)
{
  sv_fixture_open (&self->base);
  sv_fixture_use_engines (&self->base, 1, &spec);
  for (guint i = 0; i < N_ENDPOINTS; i++)
    {
      self->scripts[i][0] = (ScriptedAnswer){ STREAM, FALSE };
      self->scripts[i][1] = (ScriptedAnswer){ NORMAL, FALSE };
      sv_fixture_add_endpoint (&self->base, self->scripts[i], 2);
    }
}

/* Runs the loop until all calls have ended. */
static void
wait_for_calls (CallFixture *self, const CallRow *row)
{
  guint last = row->is_answered ? 0 : 1;

  while (count_asked (&self->base) > last)
    event_base_loop (self->base.base, EVLOOP_NONBLOCK);
  if (row->is_answered)
    return;
  CU_ASSERT_TRUE (endpoint_of (self, self->helper)->is_pace_asked);
  knl_paused_clock_advance (self->base.clock, CALL_TIMEOUT);
  knl_kernel_run_due (self->base.kernel);
  CU_ASSERT_EQUAL (count_asked (&self->base), 0);
}

/* Number of endpoints that were asked at any time. */
static guint
count_ever_asked (const SvFixture *fixture)
{
  const GPtrArray *all = sv_fleet_all (fixture->fleet);
  guint n = 0;

  for (guint i = 0; i < all->len; i++)
    n += ((SvEndpoint *)g_ptr_array_index (all, i))->pace_asked_at > 0;
  return n;
}

static void
check_next_prompt (CallFixture *self, const CallRow *row)
{
  guint slow = self->helper;
  const char *helpers;
  guint runner;

  knl_paused_clock_advance (self->base.clock, 100 * KNL_MSEC);
  sv_fixture_request_prompt (&self->base, "/long/2", PROMPT_TOKENS);
  runner = wait_for_prompt (self);
  helpers = scripted_endpoint_field (self->base.endpoints[runner], "x-helpers");
  CU_ASSERT_EQUAL (runner != slow && !has_helper (self, helpers, slow), row->pace > 1);
  /* While one is slow, those that had no part of the late prompt are asked too. */
  CU_ASSERT_EQUAL (count_ever_asked (&self->base),
                   row->pace > 1 ? N_ENDPOINTS : self->n_helpers + 1);
}

static void
check_metrics (const CallFixture *self, const CallRow *row)
{
  g_autofree char *line =
      g_strdup_printf ("alderturn_pace_reports_total{service=\"s\",result=\"%s\"}", row->result);
  GString *metrics = cm_metrics_render (self->base.metrics);

  if (row->result != NULL)
    CU_ASSERT_PTR_NOT_NULL (strstr (metrics->str, line));
  if (row->result == NULL)
    CU_ASSERT_PTR_NULL (strstr (metrics->str, "alderturn_pace_reports_total{"));
  g_string_free (metrics, TRUE);
}

static void
check_call (const CallRow *row)
{
  CallFixture fixture = { 0 };
  SvEndpoint *helper;
  guint n_calls;

  call_fixture_open (&fixture);
  send_prompt (&fixture, row);
  helper = endpoint_of (&fixture, fixture.helper);
  knl_paused_clock_advance (fixture.base.clock, row->waited);
  sv_fixture_wait_for (&fixture.base, "\r\n0\r\n");
  CU_ASSERT_EQUAL (count_asked (&fixture.base), row->waited > 0 ? fixture.n_helpers + 1 : 0);
  wait_for_calls (&fixture, row);
  n_calls = sv_fixture_all_requests (&fixture.base) - 1;
  CU_ASSERT_EQUAL (n_calls, row->waited > 0 ? fixture.n_helpers + 1 : 0);
  if (n_calls > 0)
    CU_ASSERT_STRING_EQUAL (
        scripted_endpoint_field (fixture.base.endpoints[fixture.helper], "x-expect-instance"),
        helper->id);
  knl_paused_clock_advance (fixture.base.clock, 100 * KNL_MSEC);
  sv_pace_refresh (fixture.base.fleet, "s", knl_kernel_now (fixture.base.kernel));
  if (fabs (helper->pace.factor - row->pace) > 0.1)
    printf ("\n  %s: %f", row->name, helper->pace.factor);
  CU_ASSERT_DOUBLE_EQUAL (helper->pace.factor, row->pace, 0.1);
  CU_ASSERT_TRUE (sv_endpoint_is_usable (helper, knl_kernel_now (fixture.base.kernel)));
  check_metrics (&fixture, row);
  if (n_calls > 0)
    check_next_prompt (&fixture, row);
  sv_fixture_close (&fixture.base);
}

static void
test_calls (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (call_rows); i++)
    check_call (&call_rows[i]);
}

#define INSTANCES 4

/* Guards against instances that ask an endpoint although another one has just been told: also where
 * the value is the same as before, and in another cell. */
static void
test_statements_reach_all_instances (void)
{
  static const char *const zones[INSTANCES] = { "a", "a", "b", "b" };
  PeersFixture fixture;

  peers_fixture_open (&fixture, zones, INSTANCES, 8);
  peers_fixture_connect (&fixture);
  for (guint round = 0; round < 3; round++)
    {
      KnlTime stated_at = knl_kernel_now (fixture.kernel);
      SvPeerLink *link = sv_peers_link (fixture.peers[1]);

      sv_pace_note_statement (peers_fixture_endpoint (&fixture, 1), 2.5, stated_at);
      link->klass->load_changed (link);
      peers_fixture_advance (&fixture, 3 * PEERS_PROPAGATION_TIME);
      for (guint i = 0; i < INSTANCES; i++)
        {
          PolPace *pace = &peers_fixture_endpoint (&fixture, i)->pace;

          sv_pace_refresh (fixture.fleets[i], "s", knl_kernel_now (fixture.kernel));
          CU_ASSERT_DOUBLE_EQUAL (pace->factor, 2.5, 0.1);
          CU_ASSERT (stated_at - pol_pace_newest (pace) < 5 * KNL_MSEC);
          CU_ASSERT_TRUE (pace->decided_by_statement);
        }
      peers_fixture_advance (&fixture, 2 * KNL_SEC);
    }
  peers_fixture_close (&fixture);
}

typedef struct
{
  KnlTime newer_by; /* than the statement that other cells were told */
  gboolean is_told;
} RepeatedRow;

/* Guards against datagrams to other cells with each repetition of a statement, whose time varies by
 * some ms, and against other cells that don't hear of a new one of the same value. */
static const RepeatedRow repeated_rows[] = {
  { 0, TRUE },
  { 30 * KNL_MSEC, TRUE },
  { 2 * KNL_SEC, FALSE },
};

static void
test_repetitions_are_not_told (void)
{
  static const char *const zones[INSTANCES] = { "a", "a", "b", "b" };
  PeersFixture fixture;
  SvEndpoint *endpoint;
  KnlTime now;

  peers_fixture_open (&fixture, zones, INSTANCES, 8);
  endpoint = peers_fixture_endpoint (&fixture, 0);
  now = knl_kernel_now (fixture.kernel);
  endpoint->announced_cell_pace = 250;
  for (guint i = 0; i < G_N_ELEMENTS (repeated_rows); i++)
    {
      PolPaceReport report = {
        .source = 1,
        .estimate = { .ratio = 2.5, .samples = 7, .at = now, .is_stated = TRUE },
      };

      sv_pace_note_report (endpoint, &report, now);
      endpoint->announced_cell_statement = now - repeated_rows[i].newer_by;
      CU_ASSERT_EQUAL (sv_peers_has_told_cell_pace (fixture.peers[0], endpoint),
                       repeated_rows[i].is_told);
    }
  peers_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "calls", test_calls },
  { "statements reach all instances", test_statements_reach_all_instances },
  { "repetitions are not told", test_repetitions_are_not_told },
};

SUITE_MAIN ("sv_pace_calls", cases)
