/** Tests of endpoints that advertise a limit on their request rate. */

#include <string.h>

#include "common/log.h"
#include "suite.h"
#include "sv_fixture.h"

#define ANSWER(fields) "HTTP/1.1 200 OK\r\n" SIGNED fields "Content-Length: 4\r\n\r\ngood"

static const ScriptedAnswer good = { ANSWER (""), FALSE };
static const ScriptedAnswer limited = { ANSWER ("Server-Limit: 2.0\r\n"), FALSE };

static void
fixture_open (SvFixture *self, const ScriptedAnswer *script, guint n)
{
  sv_fixture_open (self);
  sv_fixture_use_config (self, 1, "key");
  sv_fixture_add_endpoint (self, script, n);
}

static void
on_line (const char *line, gpointer data)
{
  g_string_append (data, line);
  g_string_append_c (data, '\n');
}

/* The log shows when an endpoint advertised a limit, when it was lifted, and which sends were made
 * under it. */
static void
test_limits_are_logged (void)
{
  const ScriptedAnswer script[] = { limited, good };
  g_autoptr (GString) lines = g_string_new (NULL);
  SvFixture fixture;

  fixture_open (&fixture, script, 2);
  cm_log_init ("test", "n", CM_LOG_INFO);
  cm_log_set_sink (on_line, lines);
  sv_fixture_request (&fixture, "/again/1");
  sv_fixture_wait_for (&fixture, "good");
  CU_ASSERT_PTR_NULL (strstr (lines->str, "\"endpoint-limit\":"));
  CU_ASSERT_PTR_NOT_NULL (strstr (lines->str, "\"requests-a-second\":2"));
  knl_paused_clock_advance (fixture.clock, KNL_SEC);
  sv_fixture_request (&fixture, "/again/2");
  sv_fixture_wait_for (&fixture, "good");
  cm_log_set_sink (NULL, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (lines->str, "\"endpoint-limit\":\"2.00\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (lines->str, "\"requests-a-second\":-1"));
  sv_fixture_close (&fixture);
}

/* Guards against requests that are queued or sent while the limits of all endpoints are used up. */
static void
test_requests_beyond_limits_are_refused (void)
{
  static const ScriptedAnswer slow = { ANSWER ("Server-Limit: 0.5\r\n"), FALSE };
  SvFixture fixture;

  fixture_open (&fixture, &slow, 1);
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_for (&fixture, "good");
  sv_fixture_request (&fixture, "/once/2");
  sv_fixture_wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "503"));
  /* Two seconds until the limit permits a request, and up to 0.3 s that spread the callers. */
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "Retry-After: 2."));
  CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), 1);
  knl_paused_clock_advance (fixture.clock, 2001 * KNL_MSEC);
  sv_fixture_request (&fixture, "/once/3");
  sv_fixture_wait_for (&fixture, "good");
  sv_fixture_close (&fixture);
}

/* Guards against an endpoint that is never sent requests again after it advertised a limit of 0. */
static void
test_zero_limit_is_tried_again (void)
{
  static const ScriptedAnswer script[] = { { ANSWER ("Server-Limit: 0\r\n"), FALSE },
                                           { ANSWER (""), FALSE } };
  SvFixture fixture;

  fixture_open (&fixture, script, 2);
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_for (&fixture, "good");
  knl_paused_clock_advance (fixture.clock, 5 * KNL_SEC);
  sv_core_confirm (fixture.core, knl_kernel_now (fixture.kernel));
  sv_fixture_request (&fixture, "/once/2");
  sv_fixture_wait_for (&fixture, "503");
  knl_paused_clock_advance (fixture.clock, 6 * KNL_SEC);
  sv_core_confirm (fixture.core, knl_kernel_now (fixture.kernel));
  for (guint i = 3; i < 8; i++)
    {
      sv_fixture_request (&fixture, "/once/3");
      sv_fixture_wait_for (&fixture, "good");
    }
  sv_fixture_close (&fixture);
}

/* Guards against retries of a request that aren't counted against the limit. */
static void
test_second_sends_count (void)
{
  static const ScriptedAnswer full = { "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
                                       "Server-Limit: 2\r\nContent-Length: 0\r\n\r\n",
                                       FALSE };
  ScriptedAnswer script[40];
  SvFixture fixture;

  for (guint i = 0; i < G_N_ELEMENTS (script); i++)
    script[i] = i % 2 == 0 ? full : limited;
  fixture_open (&fixture, script, G_N_ELEMENTS (script));
  sv_fixture_add_endpoint (&fixture, script, G_N_ELEMENTS (script));
  for (KnlTime at = 0; at < 4 * KNL_SEC; at += 50 * KNL_MSEC)
    {
      sv_fixture_request (&fixture, "/again/1");
      sv_fixture_wait_for (&fixture, "\r\n\r\n");
      knl_paused_clock_advance (fixture.clock, 50 * KNL_MSEC);
      sv_core_confirm (fixture.core, knl_kernel_now (fixture.kernel));
    }
  for (guint i = 0; i < 2; i++)
    CU_ASSERT (scripted_endpoint_n_requests (fixture.endpoints[i]) <= 9);
  CU_ASSERT (sv_fixture_all_requests (&fixture) >= 8);
  sv_fixture_close (&fixture);
}

/* Guards against applying the limit of another endpoint that now has the address. */
static void
test_another_endpoints_limit_is_ignored (void)
{
  static const ScriptedAnswer script[] = {
    { "HTTP/1.1 421 Misdirected Request\r\nServer-Limit: 0\r\nContent-Length: 0\r\n\r\n", FALSE },
    { ANSWER (""), FALSE }
  };
  SvFixture fixture;

  fixture_open (&fixture, script, 2);
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_for (&fixture, "\r\n\r\n");
  knl_paused_clock_advance (fixture.clock, KNL_SEC);
  sv_fixture_request (&fixture, "/once/2");
  sv_fixture_wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "good"));
  sv_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "limits are logged", test_limits_are_logged },
  { "requests are refused when all limits are used up", test_requests_beyond_limits_are_refused },
  { "an endpoint with a limit of 0 is tried again", test_zero_limit_is_tried_again },
  { "second sends count", test_second_sends_count },
  { "another endpoint's limit is ignored", test_another_endpoints_limit_is_ignored },
};

SUITE_MAIN ("sv_limit", cases)
