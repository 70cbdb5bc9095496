/** Memory reserved at engines for a prompt that one of them doesn't begin. */

#include <string.h>
#include <xxhash.h>

#include "serve/quarantine.h"
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

/* Until the caller has its answer and all reserved memory is released. */
static void
pass_until_released (SvFixture *fixture)
{
  for (KnlTime passed = 0; passed < 2 * IDLE_BOUND; passed += STEP)
    {
      knl_paused_clock_advance (fixture->clock, STEP);
      for (guint iteration = 0; iteration < 5; iteration++)
        event_base_loop (fixture->base, EVLOOP_NONBLOCK);
    }
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
  pass_until_released (&fixture);
  sv_fixture_close (&fixture);
}

#define TARGET  "/long/1"
#define BODY    "hi"
#define SEGMENT 0xdead

/* The request is known to have crashed three endpoints just now. */
static void
note_crashes (SvFixture *fixture)
{
  guint64 fingerprint = XXH64 (TARGET, strlen (TARGET), 0);

  fingerprint = XXH64 ("key", strlen ("key"), fingerprint);
  fingerprint = XXH64 (BODY, strlen (BODY), fingerprint);
  for (guint64 i = 1; i <= 3; i++)
    {
      SvCrash crash = { fingerprint, i, knl_kernel_now (fixture->kernel) };

      CU_ASSERT_TRUE (
          sv_crashes_note_loss (sv_core_crashes (fixture->core), &crash, SV_CRASH_OF_CELL));
    }
}

/* A peer has quarantined the prompt's segment, for the ends of three endpoints. */
static void
quarantine_segment (SvFixture *fixture)
{
  SvQuarantined told = { .service = sv_quarantine_service ("s"),
                         .segment = SEGMENT,
                         .since = knl_kernel_now (fixture->kernel),
                         .n_losses = 3 };

  for (guint i = 0; i < told.n_losses; i++)
    told.losses[i] = (PolBlameLoss){ .endpoint = i + 1, .lost_at = told.since };
  CU_ASSERT_TRUE (
      sv_quarantine_adopt (sv_core_quarantine (fixture->core), &told, SV_CRASH_OF_CELL));
}

static void (*const evidences[]) (SvFixture *fixture) = { note_crashes, quarantine_segment };

/* Guards against a prompt that is sent, as memory has been reserved for it, though its request or a
 * segment has been found meanwhile to crash endpoints. */
static void
test_no_crashing_prompt_after_waiting (void)
{
  static const ScriptedAnswer accepted[] = { { ACCEPTED, FALSE } };

  for (guint i = 0; i < G_N_ELEMENTS (evidences); i++)
    {
      SvFixture fixture;

      sv_fixture_open (&fixture);
      sv_fixture_use_engines (&fixture, 1, &sv_fixture_small_engine);
      for (guint j = 0; j < N_ENDPOINTS; j++)
        sv_fixture_add_endpoint (&fixture, accepted, 1);
      sv_fixture_send (&fixture,
                       "POST " TARGET " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"
                       "X-Deadline-Ms: 15000\r\nX-Token-Counts: 120000,100\r\n"
                       "X-Prompt-Prefix: dead:100,1000:60\r\nAuthorization: Bearer key\r\n"
                       "Content-Length: 2\r\n\r\n" BODY);
      sv_fixture_wait_requests (&fixture, HOLDER, 1);
      evidences[i](&fixture);
      sv_fixture_wait_for (&fixture, "HTTP/1.1 ");
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 503"));
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[RUNNER]), 0);
      pass_until_released (&fixture);
      sv_fixture_close (&fixture);
    }
}

static const SuiteCase cases[] = {
  { "memory is not held for a prompt that waits", test_memory_is_not_held_for_a_prompt_that_waits },
  { "no prompt is sent before the Retry-After has passed", test_no_prompt_after_retry_after },
  { "no crashing prompt is sent after waiting", test_no_crashing_prompt_after_waiting },
};

SUITE_MAIN ("sv_memory", cases)
