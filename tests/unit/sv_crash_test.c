/** Tests of requests that crash the endpoints that run them. */

#include <string.h>

#include "suite.h"
#include "sv_fixture.h"

#define GOOD_BYTES "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood"

static const ScriptedAnswer good = { GOOD_BYTES, FALSE };
static const ScriptedAnswer crashes = { NULL, TRUE };
static const ScriptedAnswer serves_one_then_crashes[] = { { GOOD_BYTES, FALSE }, { NULL, TRUE } };

static const char *const endpoint_ids[] = { "i-0", "i-1", "i-2", "i-3", "i-4" };

/* The endpoint's process is gone for good: its row is removed, and its leave grace passes. */
static void
remove_endpoint (SvFixture *fixture, guint i)
{
  sv_fleet_remove (fixture->fleet, endpoint_ids[i]);
  knl_paused_clock_advance (fixture->clock, 2 * KNL_SEC);
  sv_fleet_sweep (fixture->fleet);
  sv_core_confirm (fixture->core, knl_kernel_now (fixture->kernel));
}

/* Guards against a request that ends one endpoint after another where each crash closes a kept
 * connection. */
static void
test_crashes_on_kept_connections_are_counted (void)
{
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  for (guint i = 0; i < 3; i++)
    {
      sv_fixture_add_endpoint (&fixture, serves_one_then_crashes, 2);
      sv_fixture_request (&fixture, "/once/good");
      sv_fixture_wait_for (&fixture, "good");
      sv_fixture_request (&fixture, "/once/crash");
      sv_fixture_wait_for (&fixture, "HTTP/1.1 502");
      remove_endpoint (&fixture, i);
    }
  sv_fixture_add_endpoint (&fixture, &good, 1);
  sv_fixture_request (&fixture, "/once/crash");
  sv_fixture_wait_for (&fixture, "HTTP/1.1");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 503"));
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[3]), 0);
  sv_fixture_close (&fixture);
}

/* Guards against a retry of a request that has just crashed the third endpoint. */
static void
test_no_retry_after_the_third_crash (void)
{
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  for (guint i = 0; i < 4; i++)
    sv_fixture_add_endpoint (&fixture, &crashes, 1);
  for (guint i = 0; i < 2; i++)
    {
      sv_fixture_request (&fixture, "/again/crash");
      sv_fixture_wait_for (&fixture, "HTTP/1.1 502");
    }
  CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), 3);
  sv_fixture_close (&fixture);
}

/* Guards against a harmless request that is refused after its kept connections had been closed by
 * endpoints that live. */
static void
test_closed_idle_connections_are_no_crashes (void)
{
  static const ScriptedAnswer closes_once[] = { { GOOD_BYTES, FALSE },
                                                { NULL, TRUE },
                                                { GOOD_BYTES, FALSE } };
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  for (guint i = 0; i < 4; i++)
    {
      sv_fixture_add_endpoint (&fixture, closes_once, 3);
      sv_fixture_request (&fixture, "/once/other");
      sv_fixture_wait_for (&fixture, "good");
      sv_fixture_request (&fixture, "/once/1");
      sv_fixture_wait_for (&fixture, "HTTP/1.1 502");
      knl_paused_clock_advance (fixture.clock, 500 * KNL_MSEC);
      sv_fixture_request (&fixture, "/once/other");
      sv_fixture_wait_for (&fixture, "good");
      if (i < 3)
        sv_fleet_remove (fixture.fleet, endpoint_ids[i]);
      sv_core_confirm (fixture.core, knl_kernel_now (fixture.kernel));
    }
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_for (&fixture, "HTTP/1.1");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 200"));
  sv_fixture_close (&fixture);
}

/* Guards against a request that runs well and is refused, as endpoints crashed under it for another
 * reason. */
static void
test_an_answer_clears_crashes (void)
{
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  for (guint i = 0; i < 4; i++)
    {
      sv_fixture_add_endpoint (&fixture, i == 2 ? &good : &crashes, 1);
      sv_fixture_request (&fixture, "/once/1");
      sv_fixture_wait_for (&fixture, i == 2 ? "good" : "HTTP/1.1 502");
      remove_endpoint (&fixture, i);
    }
  sv_fixture_add_endpoint (&fixture, &good, 1);
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_for (&fixture, "HTTP/1.1");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 200"));
  sv_fixture_close (&fixture);
}

/* Guards against a request whose crashes are cleared by endpoints that have refused it, or failed
 * before they ran it; any other answer shows that the endpoint has survived the request. */
static void
test_error_answers_clear_nothing (void)
{
  static const struct
  {
    ScriptedAnswer answer;
    gboolean is_cleared;
  } rows[] = {
    { { "HTTP/1.1 500 E\r\n" SIGNED "Content-Length: 4\r\n\r\nfail", FALSE }, FALSE },
    { { "HTTP/1.1 504 T\r\n" SIGNED "Content-Length: 4\r\n\r\nfail", FALSE }, FALSE },
    { { "HTTP/1.1 404 N\r\n" SIGNED "Content-Length: 4\r\n\r\nfail", FALSE }, TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      SvFixture fixture;

      sv_fixture_open (&fixture);
      sv_fixture_use_config (&fixture, 1, "key");
      for (guint j = 0; j < 4; j++)
        {
          sv_fixture_add_endpoint (&fixture, j == 2 ? &rows[i].answer : &crashes, 1);
          sv_fixture_request (&fixture, "/once/1");
          sv_fixture_wait_for (&fixture, j == 2 ? "fail" : "HTTP/1.1 502");
          remove_endpoint (&fixture, j);
        }
      sv_fixture_add_endpoint (&fixture, &good, 1);
      sv_fixture_request (&fixture, "/once/1");
      sv_fixture_wait_for (&fixture, "HTTP/1.1");
      CU_ASSERT_EQUAL (strstr (fixture.received->str, "HTTP/1.1 200") != NULL, rows[i].is_cleared);
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[4]), rows[i].is_cleared);
      sv_fixture_close (&fixture);
    }
}

/* Guards against a request that ends endpoints which then stay silent, as after a loss of power. */
static void
test_endpoints_that_go_dark_are_counted (void)
{
  static const ScriptedAnswer dark = { NULL, FALSE };
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  for (guint i = 0; i < 3; i++)
    {
      sv_fixture_add_endpoint (&fixture, &dark, 1);
      sv_fixture_request (&fixture, "/once/1");
      sv_fixture_wait_requests (&fixture, i, 1);
      knl_paused_clock_advance (fixture.clock, 4 * KNL_SEC);
      sv_fixture_wait_for (&fixture, "HTTP/1.1 504");
      remove_endpoint (&fixture, i);
    }
  sv_fixture_add_endpoint (&fixture, &good, 1);
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_for (&fixture, "HTTP/1.1");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 503"));
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[3]), 0);
  sv_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "crashes on kept connections are counted", test_crashes_on_kept_connections_are_counted },
  { "no retry after the third crash", test_no_retry_after_the_third_crash },
  { "closed idle connections are no crashes", test_closed_idle_connections_are_no_crashes },
  { "an answer clears crashes", test_an_answer_clears_crashes },
  { "error answers clear nothing", test_error_answers_clear_nothing },
  { "endpoints that go dark are counted", test_endpoints_that_go_dark_are_counted },
};

SUITE_MAIN ("sv_crash", cases)
