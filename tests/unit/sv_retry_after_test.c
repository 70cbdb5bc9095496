/** Tests of endpoints that reject requests with a Retry-After. */

#include <string.h>

#include "suite.h"
#include "sv_fixture.h"

#define N_ENDPOINTS 3

#define ANSWER      "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood"
#define RETRY_AFTER (3 * KNL_SEC)
#define STEP        (400 * KNL_MSEC)

static const ScriptedAnswer good = { ANSWER, FALSE };
static const ScriptedAnswer rejects = {
  "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nRetry-After: 3\r\n"
  "Content-Length: 0\r\n\r\n",
  FALSE
};
static const ScriptedAnswer fails = { "HTTP/1.1 503 Service Unavailable\r\n" SIGNED
                                      "Retry-After: 3\r\n"
                                      "Content-Length: 0\r\n\r\n",
                                      FALSE };
static const ScriptedAnswer another_rejects = {
  "HTTP/1.1 421 Misdirected Request\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", FALSE
};

static const ScriptedAnswer stream = { "HTTP/1.1 200 OK\r\n" SIGNED
                                       "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n",
                                       FALSE };

static void
fixture_open (SvFixture *self, const ScriptedAnswer *first_answer, gboolean has_other)
{
  static ScriptedAnswer script[2];

  script[0] = *first_answer;
  script[1] = good;
  sv_fixture_open (self);
  sv_fixture_use_config (self, 1, "key");
  sv_fixture_add_endpoint (self, script, 2);
  if (has_other)
    sv_fixture_add_endpoint (self, &good, 1);
  sv_fixture_request (self, "/again/1");
  sv_fixture_wait_for (self, "\r\n\r\n");
}

static void
request_after (SvFixture *self, KnlTime time)
{
  knl_paused_clock_advance (self->clock, time);
  sv_core_confirm (self->core, knl_kernel_now (self->kernel));
  sv_fixture_request (self, "/again/1");
  sv_fixture_wait_for (self, "\r\n\r\n");
}

static guint
n_at_first (const SvFixture *self)
{
  return scripted_endpoint_n_requests (self->endpoints[0]);
}

static void
request_stream (SvFixture *self)
{
  sv_core_confirm (self->core, knl_kernel_now (self->kernel));
  sv_fixture_request_prompt (self, "/stream/1", 2000);
  sv_fixture_wait_for (self, "\r\n\r\n");
  while (sv_core_n_requests (self->core) > 0)
    event_base_loop (self->base, EVLOOP_ONCE);
}

/* Opens a fixture with three engines; `first_answer` is the first answer of the endpoint
 * `advertiser`. */
static void
engines_open (SvFixture *self, guint advertiser, const ScriptedAnswer *first_answer)
{
  static ScriptedAnswer script[2];

  script[0] = *first_answer;
  script[1] = stream;
  sv_fixture_open (self);
  sv_fixture_use_engines (self, 1, &sv_fixture_small_engine);
  for (guint i = 0; i < N_ENDPOINTS; i++)
    sv_fixture_add_endpoint (self, i == advertiser ? script : &stream, i == advertiser ? 2 : 1);
}

/* Index of the engine that a short prompt is sent to first; the hashes of their ids decide it. */
static guint
first_choice (void)
{
  SvFixture fixture;
  guint first = 0;

  engines_open (&fixture, 0, &stream);
  request_stream (&fixture);
  while (scripted_endpoint_n_requests (fixture.endpoints[first]) == 0)
    first++;
  sv_fixture_close (&fixture);
  return first;
}

/* Guards against retries that pile up at an engine whose Retry-After has not passed. */
static void
test_nothing_is_sent_before_retry_after (void)
{
  static const ScriptedAnswer *const first_answers[] = { &rejects, &fails };
  guint first = first_choice ();

  for (guint i = 0; i < G_N_ELEMENTS (first_answers); i++)
    {
      SvFixture fixture;

      engines_open (&fixture, first, first_answers[i]);
      for (KnlTime at = 0; at < RETRY_AFTER; at += STEP)
        {
          request_stream (&fixture);
          CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 200"));
          knl_paused_clock_advance (fixture.clock, STEP);
        }
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[first]), 1);
      request_stream (&fixture);
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[first]), 2);
      sv_fixture_close (&fixture);
    }
}

/* Guards against requests that are sent, or queued, before the Retry-After of all endpoints has
 * passed. */
static void
test_callers_get_retry_after (void)
{
  SvFixture fixture;

  fixture_open (&fixture, &rejects, FALSE);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 503"));
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "Retry-After: 3."));
  for (guint i = 0; i < 5; i++)
    request_after (&fixture, STEP);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 503"));
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "Retry-After: 1."));
  CU_ASSERT_EQUAL (n_at_first (&fixture), 1);
  request_after (&fixture, RETRY_AFTER - 5 * STEP);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "good"));
  sv_fixture_close (&fixture);
}

/* Guards against a Retry-After that is taken from another endpoint's answer, or ended early by the
 * answer to an earlier request. */
static void
test_only_own_retry_after_counts (void)
{
  SvFixture fixture;

  fixture_open (&fixture, &another_rejects, FALSE);
  request_after (&fixture, STEP + KNL_SEC);
  CU_ASSERT_EQUAL (n_at_first (&fixture), 2);
  sv_fixture_close (&fixture);

  fixture_open (&fixture, &rejects, TRUE);
  sv_endpoint_note_success (g_ptr_array_index (sv_fleet_all (fixture.fleet), 0),
                            knl_kernel_now (fixture.kernel));
  request_after (&fixture, STEP);
  CU_ASSERT_EQUAL (n_at_first (&fixture), 1);
  sv_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "nothing is sent before the Retry-After has passed", test_nothing_is_sent_before_retry_after },
  { "callers get the endpoint's Retry-After", test_callers_get_retry_after },
  { "only the endpoint's own Retry-After counts", test_only_own_retry_after_counts },
};

SUITE_MAIN ("sv_rest", cases)
