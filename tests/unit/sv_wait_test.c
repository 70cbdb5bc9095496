/** How long requests wait for room, when they are refused and how urgent they are at the endpoint,
 * with a core between a caller and one engine whose slots other instances take. */

#include <stdlib.h>
#include <string.h>

#include "suite.h"
#include "sv_fixture.h"

#define STEP     (10 * KNL_MSEC)
#define MAX_TIME (8 * KNL_SEC)

#define STREAM                                                                                     \
  "HTTP/1.1 200 OK\r\n" SIGNED "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n"     \
  "id: 1\ndata: a\n\n"

static const ScriptedAnswer good = { STREAM, FALSE };

static const SvEngineSpec spec = {
  .slots = 4,
  .memory_tokens = 100000,
  .stride = 50,
  .step_ms = 1,
  .prefill_tokens_per_ms = 20,
  .mean_prompt_tokens = 200,
  .mean_answer_tokens = 100,
};

/* What a caller brings along, and what the engine does meanwhile. */
typedef struct
{
  guint tokens;
  guint left_ms;
  guint calls;        /* of other instances, all of them streams */
  KnlTime free_after; /* when these end */
  guint max_answer;   /* tokens; 0: 100, as usual; else the service declares no usual answer */
} Row;

/* What the route declares beside that. */
typedef struct
{
  KnlTime timeout;
  KnlTime objective;
} Route;

typedef struct
{
  KnlTime sent_at;    /* from the request; -1: never */
  char urgency[8];    /* at the engine */
  double retry_after; /* seconds; -1: none */
  KnlTime refused_at;
} Outcome;

static void
use_config (SvFixture *self, const Route *declared, const Row *row)
{
  g_autoptr (SvConfig) config = sv_config_new (1);
  SvEngineSpec *engine = &sv_config_add_service (config, "s")->engine;
  SvRoute *route = sv_route_new ();

  *engine = spec;
  if (row->max_answer > 0)
    engine->mean_answer_tokens = 0;
  route->name = g_strdup ("/p/");
  route->host = g_strdup ("h");
  route->prefix = g_strdup ("/p/");
  route->kind = SV_STREAM;
  route->resumable = TRUE;
  route->max_attempts = 2;
  route->priority = 1;
  route->timeout = declared->timeout;
  route->objective = declared->objective;
  route->gap_objective = 400 * KNL_MSEC;
  sv_route_add_split (route, "s", 1);
  sv_config_add_route (config, route);
  sv_core_set_config (self->core, config);
  sv_core_confirm (self->core, knl_kernel_now (self->kernel));
}

static void
set_calls (SvFixture *self, guint calls)
{
  SvLoad load = { .calls = calls, .decoding_streams = { [SV_GAP_MEDIUM] = calls } };

  sv_endpoint_set_peer (g_ptr_array_index (sv_fleet_all (self->fleet), 0), 1, &load);
}

static guint
n_own_calls (const SvFixture *self)
{
  return ((SvEndpoint *)g_ptr_array_index (sv_fleet_all (self->fleet), 0))->own.calls;
}

static void
note_answer (SvFixture *self, Outcome *outcome)
{
  const char *after;
  const char *urgency;

  sv_fixture_wait_for (self, "\r\n\r\n");
  after = strstr (self->received->str, "Retry-After: ");
  outcome->retry_after = after != NULL ? atof (after + strlen ("Retry-After: ")) : -1;
  urgency = outcome->sent_at >= 0
                ? scripted_endpoint_field (self->endpoints[0], "x-request-urgency")
                : NULL;
  g_strlcpy (outcome->urgency, urgency != NULL ? urgency : "", sizeof outcome->urgency);
}

static void
play (const Row *row, const Route *route, Outcome *outcome)
{
  g_autofree char *request =
      g_strdup_printf ("POST /p/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: %u\r\n"
                       "X-Token-Counts: %u,%u\r\nContent-Length: 2\r\n\r\nhi",
                       row->left_ms, row->tokens, row->max_answer > 0 ? row->max_answer : 100);
  SvFixture self;
  KnlTime begun_at;

  *outcome = (Outcome){ .sent_at = -1 };
  sv_fixture_open_without_shedding (&self);
  use_config (&self, route, row);
  sv_fixture_add_endpoint (&self, &good, 1);
  set_calls (&self, row->calls);
  sv_fixture_send (&self, request);
  while (self.received->len == 0 && sv_core_n_requests (self.core) == 0)
    event_base_loop (self.base, EVLOOP_ONCE);
  begun_at = knl_kernel_now (self.kernel);
  for (KnlTime time = 0; time < MAX_TIME && sv_core_n_requests (self.core) > 0; time += STEP)
    {
      if (time >= row->free_after)
        set_calls (&self, 0);
      if (n_own_calls (&self) > 0)
        {
          outcome->sent_at = knl_kernel_now (self.kernel) - begun_at;
          break;
        }
      knl_paused_clock_advance (self.clock, STEP);
    }
  outcome->refused_at = knl_kernel_now (self.kernel) - begun_at;
  note_answer (&self, outcome);
  sv_fixture_close (&self);
}

static const Route routes[] = {
  { 7 * KNL_SEC, 300 * KNL_MSEC },  { 7 * KNL_SEC, 1 * KNL_SEC },  { 7 * KNL_SEC, 3 * KNL_SEC },
  { 10 * KNL_SEC, 300 * KNL_MSEC }, { 10 * KNL_SEC, 1 * KNL_SEC }, { 10 * KNL_SEC, 3 * KNL_SEC },
};

/* Guards against decisions that depend on the objective, or on how much longer than its caller the
 * route would have waited, as with a caller that comes back; and against refusals of requests for
 * which there is room in time. */
static void
test_only_the_callers_time_counts (void)
{
  static const struct
  {
    Row row;
    KnlTime earliest; /* when it is sent */
    KnlTime latest;
    const char *urgency;
  } rows[] = {
    { { 200, 7000, 0, 0 }, 0, 0, "3" },
    { { 200, 7000, 3, 1600 * KNL_MSEC }, 0, 0, "3" },
    { { 200, 7000, 4, 1600 * KNL_MSEC }, 1600 * KNL_MSEC, 1700 * KNL_MSEC, "3" },
    { { 20000, 7000, 0, 0 }, 0, 0, "3" },
    { { 20000, 7000, 2, 1600 * KNL_MSEC }, 0, 1800 * KNL_MSEC, "3" },
    { { 200, 1500, 3, 1600 * KNL_MSEC }, 0, 0, "3" },
    { { 200, 3000, 3, 1600 * KNL_MSEC }, 0, 0, "3" },
    { { 200, 150, 3, 1600 * KNL_MSEC }, 0, 0, "2" },
    /* An answer may be shorter than its caller allows. */
    { { 200, 7000, 3, 1600 * KNL_MSEC, 20000 }, 0, 0, "3" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Outcome first;

      play (&rows[i].row, &routes[0], &first);
      for (guint j = 0; j < G_N_ELEMENTS (routes); j++)
        {
          Outcome outcome;

          play (&rows[i].row, &routes[j], &outcome);
          CU_ASSERT (outcome.sent_at >= rows[i].earliest && outcome.sent_at <= rows[i].latest);
          CU_ASSERT_EQUAL (outcome.sent_at, first.sent_at);
          CU_ASSERT_STRING_EQUAL (outcome.urgency, rows[i].urgency);
        }
    }
}

/* Guards against callers that are told to come back after a part of their time, whenever there will
 * be room, or that are refused after a wait that was known to be in vain. */
static void
test_retry_after_says_when_there_is_room (void)
{
  static const struct
  {
    Row row;
    double seconds;
  } rows[] = {
    /* The engine takes 35 ms for one: 10 ms to read it, and a quarter of two passes. */
    { { 200, 180, 4, MAX_TIME }, 0.035 },
    { { 200, 150, 4, MAX_TIME }, 0.035 },
    /* A caller follows it for a third of its time at most. */
    { { 2000, 320, 4, MAX_TIME }, 0.320 / 3 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      for (guint j = 0; j < G_N_ELEMENTS (routes); j++)
        {
          Outcome outcome;

          play (&rows[i].row, &routes[j], &outcome);
          CU_ASSERT_EQUAL (outcome.sent_at, -1);
          CU_ASSERT_EQUAL (outcome.refused_at, 0);
          CU_ASSERT_DOUBLE_EQUAL (outcome.retry_after, rows[i].seconds, 0.001);
        }
    }
}

/* When the request has been sent twice, from the first time on. */
static KnlTime
time_of_second_send (const Row *row, const Route *route)
{
  g_autofree char *request =
      g_strdup_printf ("POST /p/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: %u\r\n"
                       "X-Token-Counts: %u,%u\r\nContent-Length: 2\r\n\r\nhi",
                       row->left_ms, row->tokens, row->max_answer > 0 ? row->max_answer : 100);
  static const ScriptedAnswer silent = { NULL, FALSE };
  KnlTime time = 0;
  SvFixture self;

  sv_fixture_open_without_shedding (&self);
  use_config (&self, route, row);
  sv_fixture_add_endpoint (&self, &silent, 1);
  sv_fixture_add_endpoint (&self, &silent, 1);
  sv_fixture_send (&self, request);
  while (sv_fixture_all_requests (&self) == 0)
    event_base_loop (self.base, EVLOOP_ONCE);
  for (; time < MAX_TIME && sv_fixture_all_requests (&self) < 2; time += STEP)
    {
      knl_paused_clock_advance (self.clock, STEP);
      for (guint i = 0; i < 5; i++)
        event_base_loop (self.base, EVLOOP_NONBLOCK);
    }
  sv_fixture_close (&self);
  return time;
}

/* Guards against endpoints that are given up sooner, or later, for the objective: half of its time
 * is left to the caller for another one. */
static void
test_silent_endpoints_are_left_in_time (void)
{
  static const struct
  {
    Row row;
    KnlTime left_after;
  } rows[] = {
    { { 200, 4000 }, 2 * KNL_SEC },
    { { 200, 1000 }, 500 * KNL_MSEC },
    { { 200, 400 }, 250 * KNL_MSEC },
    { { 20000, 6000 }, 3 * KNL_SEC },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      for (guint j = 0; j < G_N_ELEMENTS (routes); j++)
        {
          KnlTime time = time_of_second_send (&rows[i].row, &routes[j]);

          CU_ASSERT (time >= rows[i].left_after && time <= rows[i].left_after + 3 * STEP);
        }
    }
}

static const SuiteCase cases[] = {
  { "only the caller's time counts", test_only_the_callers_time_counts },
  { "Retry-After says when there is room", test_retry_after_says_when_there_is_room },
  { "silent endpoints are left in time", test_silent_endpoints_are_left_in_time },
};

SUITE_MAIN ("sv_wait", cases)
