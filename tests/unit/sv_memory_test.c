/** Memory reserved at engines for a prompt that one of them doesn't begin. */

#include <string.h>

#include "suite.h"
#include "sv_fixture.h"

#define N_ENDPOINTS 3

#define ACCEPTED "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"free\":10}"

#define IDLE_BOUND (9 * KNL_SEC)
/* Of the three endpoints, the one that runs the prompt and the one that reserves memory for it, as
 * the hashes of their ids decide. The third is kept for short prompts. */
#define RUNNER 1
#define HOLDER 2

#define STEP (50 * KNL_MSEC)

static gboolean
has_order (const SvFixture *fixture, guint endpoint, const char *operation)
{
  return strstr (scripted_endpoint_body (fixture->endpoints[endpoint]), operation) != NULL;
}

static void
wait_sent (SvFixture *fixture)
{
  while (sv_fixture_all_requests (fixture) < 2)
    event_base_loop (fixture->base, EVLOOP_ONCE);
}

/*
 * Guards against memory of an engine that stays reserved for 10 s without use. A prompt needs
 * memory of two engines: one reserves it; the other, which is to run the prompt, is full and
 * doesn't answer. The lease was renewed for as long as the caller waited.
 */
static void
test_memory_is_not_held_for_a_prompt_that_waits (void)
{
  static const ScriptedAnswer accepted[] = { { ACCEPTED, FALSE } };
  static const ScriptedAnswer silent[] = { { NULL, FALSE } };
  SvFixture fixture;
  KnlTime passed = 0;

  sv_fixture_open (&fixture);
  sv_fixture_use_engines (&fixture, 1, &sv_fixture_small_engine);
  for (guint i = 0; i < N_ENDPOINTS; i++)
    sv_fixture_add_endpoint (&fixture, i == RUNNER ? silent : accepted, 1);
  sv_fixture_request_prompt (&fixture, "/long/1", 120000);
  wait_sent (&fixture);
  CU_ASSERT_TRUE (has_order (&fixture, HOLDER, "reserve"));
  while (!has_order (&fixture, HOLDER, "release") && passed < IDLE_BOUND)
    {
      knl_paused_clock_advance (fixture.clock, STEP);
      passed += STEP;
      for (guint iteration = 0; iteration < 5; iteration++)
        event_base_loop (fixture.base, EVLOOP_NONBLOCK);
    }
  CU_ASSERT (passed < IDLE_BOUND);
  sv_fixture_wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 502"));
  sv_fixture_close (&fixture);
}

/* Guards against sending a prompt to an endpoint that asks for no requests (Retry-After) while
 * memory is being reserved for the prompt. */
static void
test_no_prompt_after_retry_after (void)
{
  static const ScriptedAnswer accepted[] = { { ACCEPTED, FALSE } };
  SvFixture fixture;
  const SvEndpoint *runner = NULL;

  sv_fixture_open (&fixture);
  sv_fixture_use_engines (&fixture, 1, &sv_fixture_small_engine);
  for (guint i = 0; i < N_ENDPOINTS; i++)
    sv_fixture_add_endpoint (&fixture, accepted, 1);
  sv_fixture_request_prompt (&fixture, "/long/1", 120000);
  sv_fixture_wait_requests (&fixture, HOLDER, 1);
  for (guint i = 0; i < N_ENDPOINTS; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (sv_fleet_all (fixture.fleet), i);

      if (strcmp (endpoint->address, scripted_endpoint_address (fixture.endpoints[RUNNER])) != 0)
        continue;
      endpoint->retry_after_until = knl_kernel_now (fixture.kernel) + 3 * KNL_SEC;
      runner = endpoint;
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (runner);
  while (!has_order (&fixture, HOLDER, "release"))
    event_base_loop (fixture.base, EVLOOP_ONCE);
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[RUNNER]), 0);
  /* Until the caller has its answer and all reserved memory is released. */
  for (KnlTime passed = 0; passed < 2 * IDLE_BOUND; passed += STEP)
    {
      knl_paused_clock_advance (fixture.clock, STEP);
      for (guint iteration = 0; iteration < 5; iteration++)
        event_base_loop (fixture.base, EVLOOP_NONBLOCK);
    }
  sv_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "memory is not held for a prompt that waits", test_memory_is_not_held_for_a_prompt_that_waits },
  { "no prompt is sent before the Retry-After has passed", test_no_prompt_after_retry_after },
};

SUITE_MAIN ("sv_memory", cases)
