/** Migration of streams from an engine that is about to prefill a long prompt. */

#include <string.h>

#include "suite.h"
#include "sv_fixture.h"

#define PROMPT_TOKENS     5000
#define SETTLE_ITERATIONS 20

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

/* Sends two events and leaves the stream open. */
static const ScriptedAnswer begun[] = { { "HTTP/1.1 200 OK\r\n" SIGNED
                                          "Transfer-Encoding: chunked\r\n\r\n"
                                          "1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n",
                                          FALSE } };

typedef struct
{
  const char *name;
  KnlTime part;         /* prefill time of the long prompt's part */
  gboolean elsewhere;   /* at another engine than the stream */
  gboolean until_ended; /* the prompt is split over several engines */
  guint n_endpoints;
  gboolean no_retries;
  gboolean migrates;
  double pace; /* of the stream's engine; 0: not slow */
} Row;

/*
 * Guards against gaps of a second in short streams while other engines are free.
 * A stream has begun; another instance places the prefill of a long prompt at its
 * engine, where each pass then takes as long as the part. The stream must migrate.
 */
static const Row rows[] = {
  { "a long part", 900 * KNL_MSEC, FALSE, TRUE, 2, FALSE, TRUE },
  { "a part shorter than its gap objective", 100 * KNL_MSEC, FALSE, TRUE, 2, FALSE, FALSE },
  { "a part shorter than its gap objective at a slow engine", 40 * KNL_MSEC, FALSE, TRUE, 2, FALSE,
    TRUE, 4 },
  { "a long part elsewhere", 900 * KNL_MSEC, TRUE, TRUE, 2, FALSE, FALSE },
  { "a short prompt", 900 * KNL_MSEC, FALSE, FALSE, 2, FALSE, FALSE },
  { "nowhere to go", 900 * KNL_MSEC, FALSE, TRUE, 1, FALSE, FALSE },
  { "no retry is left", 900 * KNL_MSEC, FALSE, TRUE, 2, TRUE, FALSE },
};

static void
settle (SvFixture *fixture)
{
  for (guint i = 0; i < SETTLE_ITERATIONS; i++)
    event_base_loop (fixture->base, EVLOOP_NONBLOCK);
}

static SvEndpoint *
endpoint_of (const SvFixture *fixture, guint index)
{
  const GPtrArray *all = sv_fleet_all (fixture->fleet);

  for (guint i = 0; i < all->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (all, i);

      if (strcmp (endpoint->address, scripted_endpoint_address (fixture->endpoints[index])) == 0)
        return endpoint;
    }
  return NULL;
}

/* Index of the endpoint that sends the caller's stream. */
static guint
runner_of (const SvFixture *fixture)
{
  return scripted_endpoint_n_requests (fixture->endpoints[0]) > 0 ? 0 : 1;
}

static guint
count_of (const GString *text, const char *part)
{
  guint n = 0;

  for (const char *at = strstr (text->str, part); at != NULL; at = strstr (at + 1, part))
    n++;
  return n;
}

static void
check_row (const Row *row)
{
  static const SvBounds no_retries = { .key_withdrawal = 10 * KNL_SEC,
                                       .new_config = 5 * KNL_SEC,
                                       .grace = 8 * KNL_SEC,
                                       .retries = { .window = 10 * KNL_SEC } };
  SvPrefill prefill = { .prompt = 7, .length = row->part, .until_ended = row->until_ended };
  SvFixture fixture;
  guint runner;
  guint target;

  sv_fixture_open (&fixture);
  if (row->no_retries)
    sv_core_set_bounds (fixture.core, &no_retries);
  sv_fixture_use_engines (&fixture, 1, &spec);
  for (guint i = 0; i < row->n_endpoints; i++)
    sv_fixture_add_endpoint (&fixture, begun, 1);
  sv_fixture_request_prompt (&fixture, "/stream/1", PROMPT_TOKENS);
  sv_fixture_wait_for (&fixture, "id: 2");
  runner = runner_of (&fixture);
  target = row->elsewhere ? 1 - runner : runner;
  if (row->pace > 0)
    {
      PolPace *pace = &endpoint_of (&fixture, runner)->pace;

      pace->factor = pace->combined = row->pace;
      pace->combined_at = knl_kernel_now (fixture.kernel);
    }
  sv_fleet_add_prefill (fixture.fleet, &prefill, &endpoint_of (&fixture, target)->key, 1);
  knl_paused_clock_advance (fixture.clock, 40 * KNL_MSEC);
  settle (&fixture);
  if ((sv_fixture_all_requests (&fixture) == 2) != row->migrates)
    printf ("\n  %s: %u requests", row->name, sv_fixture_all_requests (&fixture));
  CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), row->migrates ? 2 : 1);
  CU_ASSERT_EQUAL (scripted_endpoint_n_closed_by_peer (fixture.endpoints[runner]),
                   row->migrates ? 1 : 0);
  if (row->migrates)
    CU_ASSERT_STRING_EQUAL (
        scripted_endpoint_field (fixture.endpoints[1 - runner], "last-event-id"), "2");
  /* The caller gets one answer, with each event once. */
  CU_ASSERT_EQUAL (count_of (fixture.received, "HTTP/1.1 200"), 1);
  CU_ASSERT_EQUAL (count_of (fixture.received, "id: 1\n"), 1);
  CU_ASSERT_EQUAL (count_of (fixture.received, "id: 2\n"), 1);
  sv_fixture_close (&fixture);
}

static void
test_streams_migrate (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    check_row (&rows[i]);
}

static const SuiteCase cases[] = {
  { "streams migrate", test_streams_migrate },
};

SUITE_MAIN ("sv_move", cases)
