/** Tests of segments of prompts that crash the endpoints that answer them. */

#include <string.h>

#include "suite.h"
#include "sv_fixture.h"

#define GOOD_BYTES "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood"

#define DEADLY ",dead:100"

static const ScriptedAnswer good = { GOOD_BYTES, FALSE };
static const ScriptedAnswer crashes = { NULL, TRUE };

/* Sends a prompt with these shared segments; no two have the same body or last segment. */
static void
request_prompt (SvFixture *fixture, const char *path, const char *segments)
{
  static guint n;
  g_autofree char *request =
      g_strdup_printf ("POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a%u\r\nX-Deadline-Ms: 4000\r\n"
                       "X-Token-Counts: 200,10\r\nX-Prompt-Prefix: %s,%x:60\r\n"
                       "Authorization: Bearer key\r\nContent-Length: 4\r\n\r\n%04u",
                       path, n, segments, 0x1000 + n, n);

  n++;
  g_string_truncate (fixture->received, 0);
  sv_fixture_send (fixture, request);
}

/* The endpoint's process is gone for good: its row is removed, and its leave grace passes. */
static void
remove_endpoint (SvFixture *fixture, guint i)
{
  g_autofree char *id = g_strdup_printf ("i-%u", i);

  sv_fleet_remove (fixture->fleet, id);
  knl_paused_clock_advance (fixture->clock, 2 * KNL_SEC);
  sv_fleet_sweep (fixture->fleet);
  sv_core_confirm (fixture->core, knl_kernel_now (fixture->kernel));
}

/* Three endpoints end, each under another request, which share one segment. */
static void
crash_three (SvFixture *fixture)
{
  static const char *const segments[] = { "aa:40" DEADLY, "bb:40" DEADLY, "cc:40" DEADLY };

  for (guint i = 0; i < G_N_ELEMENTS (segments); i++)
    {
      sv_fixture_add_endpoint (fixture, &crashes, 1);
      request_prompt (fixture, "/once/1", segments[i]);
      sv_fixture_wait_for (fixture, "HTTP/1.1 502");
      remove_endpoint (fixture, i);
    }
  sv_fixture_add_endpoint (fixture, &good, 1);
}

/* Guards against requests of which no two are alike, and which end one endpoint after another by a
 * segment that they share. */
static void
test_a_segment_that_crashes_endpoints_is_refused (void)
{
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  crash_three (&fixture);
  request_prompt (&fixture, "/once/1", "aa:40" DEADLY);
  sv_fixture_wait_for (&fixture, "HTTP/1.1");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 503"));
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[3]), 0);
  sv_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "a segment that crashes endpoints is refused",
    test_a_segment_that_crashes_endpoints_is_refused },
};

SUITE_MAIN ("sv_quarantine", cases)
