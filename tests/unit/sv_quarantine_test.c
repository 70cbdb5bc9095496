/** Tests of segments of prompts that crash the endpoints that answer them. */

#include <string.h>
#include <xxhash.h>

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

static const char *const segments_of_crash[] = { "aa:40" DEADLY, "bb:40" DEADLY, "cc:40" DEADLY };

/* Endpoints end, each under another request, which share one segment. */
static void
crash_endpoints (SvFixture *fixture, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      sv_fixture_add_endpoint (fixture, &crashes, 1);
      request_prompt (fixture, "/once/1", segments_of_crash[i]);
      sv_fixture_wait_for (fixture, "HTTP/1.1 502");
      remove_endpoint (fixture, i);
    }
}

/* After three crashes there is a fourth endpoint. */
static void
crash_three (SvFixture *fixture)
{
  crash_endpoints (fixture, 3);
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

/* Guards against sound prompts that are refused with the crashing ones, whose caller and other
 * segments they share. */
static void
test_prompts_without_the_segment_are_served (void)
{
  static const char *const sound[] = { "aa:40", "bb:40", "aa:40,cc:40", "ee:100" };
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  crash_three (&fixture);
  for (guint i = 0; i < G_N_ELEMENTS (sound); i++)
    {
      request_prompt (&fixture, "/once/1", sound[i]);
      sv_fixture_wait_for (&fixture, "good");
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 200"));
    }
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[3]), G_N_ELEMENTS (sound));
  sv_fixture_close (&fixture);
}

/* Guards against a prompt that still waits at its endpoint when its segment is quarantined, and
 * that ends the endpoint although it could be taken back. */
static void
test_waiting_prompts_are_taken_back (void)
{
  static const ScriptedAnswer silent = { NULL, FALSE };
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  crash_endpoints (&fixture, 2);
  sv_fixture_add_endpoint (&fixture, &crashes, 1);
  request_prompt (&fixture, "/once/1", segments_of_crash[2]);
  sv_fixture_wait_for (&fixture, "HTTP/1.1 502");
  sv_quarantine_note_refused (
      sv_core_quarantine (fixture.core),
      ((SvEndpoint *)g_ptr_array_index (sv_fleet_all (fixture.fleet), 0))->key);
  sv_fleet_remove (fixture.fleet, "i-2");
  sv_fixture_add_endpoint (&fixture, &silent, 1);
  request_prompt (&fixture, "/once/1", "ee:40" DEADLY);
  sv_fixture_wait_requests (&fixture, 3, 1);
  knl_paused_clock_advance (fixture.clock, 500 * KNL_MSEC);
  sv_quarantine_tick (sv_core_quarantine (fixture.core));
  knl_kernel_run_due (fixture.kernel);
  sv_fixture_wait_for (&fixture, "HTTP/1.1 502");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 502"));
  while (scripted_endpoint_n_closed_by_peer (fixture.endpoints[3]) == 0)
    event_base_loop (fixture.base, EVLOOP_ONCE);
  sv_fixture_close (&fixture);
}

/* Guards against a segment that is acquitted by an endpoint which has refused the prompt. */
static void
test_error_answers_acquit_nothing (void)
{
  static const ScriptedAnswer rejects = { "HTTP/1.1 400 B\r\n" SIGNED
                                          "Content-Length: 3\r\n\r\nbad",
                                          FALSE };
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  crash_endpoints (&fixture, 2);
  sv_fixture_add_endpoint (&fixture, &rejects, 1);
  for (guint i = 0; i < 2; i++)
    {
      request_prompt (&fixture, "/once/1", "aa:40" DEADLY);
      sv_fixture_wait_for (&fixture, "bad");
      knl_paused_clock_advance (fixture.clock, KNL_SEC);
    }
  sv_fleet_remove (fixture.fleet, "i-2");
  knl_paused_clock_advance (fixture.clock, 2 * KNL_SEC);
  sv_fleet_sweep (fixture.fleet);
  sv_core_confirm (fixture.core, knl_kernel_now (fixture.kernel));
  sv_fixture_add_endpoint (&fixture, &crashes, 1);
  request_prompt (&fixture, "/once/1", segments_of_crash[2]);
  sv_fixture_wait_for (&fixture, "HTTP/1.1 502");
  remove_endpoint (&fixture, 3);
  sv_fixture_add_endpoint (&fixture, &good, 1);
  request_prompt (&fixture, "/once/1", "aa:40" DEADLY);
  sv_fixture_wait_for (&fixture, "HTTP/1.1");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 503"));
  sv_fixture_close (&fixture);
}

/* Guards against an endpoint that counts as living since its next process answers at its address.
 */
static void
test_the_next_process_clears_no_loss (void)
{
  static const ScriptedAnswer crashes_and_restarts[] = {
    { NULL, TRUE },
    { "HTTP/1.1 421 M\r\nX-Attempt-Id: %ID\r\nContent-Length: 0\r\n\r\n", FALSE },
  };
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  crash_endpoints (&fixture, 2);
  sv_fixture_add_endpoint (&fixture, crashes_and_restarts, 2);
  request_prompt (&fixture, "/once/1", segments_of_crash[2]);
  sv_fixture_wait_for (&fixture, "HTTP/1.1 502");
  knl_paused_clock_advance (fixture.clock, 2 * KNL_SEC);
  request_prompt (&fixture, "/once/1", "aa:40");
  sv_fixture_wait_for (&fixture, "HTTP/1.1 503");
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[2]), 2);
  request_prompt (&fixture, "/once/1", "aa:40" DEADLY);
  sv_fixture_wait_for (&fixture, "HTTP/1.1 503");
  CU_ASSERT_EQUAL (sv_quarantine_n (sv_core_quarantine (fixture.core)), 1);
  sv_fixture_close (&fixture);
}

/* Three endpoints end under prompts with the deadly segment, and start again at once under their
 * ids; their rows aren't read anew. */
static void
crash_restarting_endpoints (SvFixture *fixture)
{
  static const ScriptedAnswer crashes_once[] = { { NULL, TRUE }, { GOOD_BYTES, FALSE } };

  for (guint i = 0; i < 3; i++)
    sv_fixture_add_endpoint (fixture, crashes_once, 2);
  for (guint i = 0; i < 3; i++)
    {
      request_prompt (fixture, "/once/1", segments_of_crash[i]);
      sv_fixture_wait_for (fixture, "HTTP/1.1 502");
      knl_paused_clock_advance (fixture->clock, 120 * KNL_MSEC);
    }
  for (guint i = 0; i < 3; i++)
    {
      const SvEndpoint *endpoint = g_ptr_array_index (sv_fleet_all (fixture->fleet), i);

      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture->endpoints[i]), 1);
      sv_quarantine_note_refused (sv_core_quarantine (fixture->core), endpoint->key);
    }
  knl_paused_clock_advance (fixture->clock, 2 * KNL_SEC);
  sv_core_confirm (fixture->core, knl_kernel_now (fixture->kernel));
}

/* Sends a prompt with the deadly segment, and returns whether it was refused. */
static gboolean
is_deadly_refused (SvFixture *fixture)
{
  sv_quarantine_tick (sv_core_quarantine (fixture->core));
  request_prompt (fixture, "/once/1", "ee:40" DEADLY);
  sv_fixture_wait_for (fixture, "HTTP/1.1");
  return strstr (fixture->received->str, "HTTP/1.1 503") != NULL;
}

/* Guards against a quarantine that ends on the word of a crashed endpoint's next process, whose row
 * has not been read. */
static void
test_the_next_process_ends_no_quarantine (void)
{
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  crash_restarting_endpoints (&fixture);
  CU_ASSERT_TRUE (is_deadly_refused (&fixture));
  request_prompt (&fixture, "/once/1", "aa:40");
  sv_fixture_wait_for (&fixture, "good");
  knl_paused_clock_advance (fixture.clock, KNL_SEC);
  sv_core_confirm (fixture.core, knl_kernel_now (fixture.kernel));
  CU_ASSERT_TRUE (is_deadly_refused (&fixture));
  CU_ASSERT_EQUAL (sv_quarantine_n (sv_core_quarantine (fixture.core)), 1);
  sv_fixture_close (&fixture);
}

/* Guards against sound prompts that stay refused after endpoints which had only lost connections:
 * the list shows later that they haven't started again. */
static void
test_an_endpoint_that_has_lived_on_ends_a_quarantine (void)
{
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  crash_restarting_endpoints (&fixture);
  CU_ASSERT_TRUE (is_deadly_refused (&fixture));
  request_prompt (&fixture, "/once/1", "aa:40");
  sv_fixture_wait_for (&fixture, "good");
  knl_paused_clock_advance (fixture.clock, KNL_SEC);
  sv_core_confirm (fixture.core, knl_kernel_now (fixture.kernel));
  sv_core_note_listed (fixture.core, knl_kernel_now (fixture.kernel));
  CU_ASSERT_TRUE (is_deadly_refused (&fixture));
  CU_ASSERT_TRUE (sv_quarantine_has_doubt (sv_core_quarantine (fixture.core)));
  knl_paused_clock_advance (fixture.clock, 2 * KNL_SEC);
  sv_core_confirm (fixture.core, knl_kernel_now (fixture.kernel));
  sv_core_note_listed (fixture.core, knl_kernel_now (fixture.kernel));
  CU_ASSERT_FALSE (is_deadly_refused (&fixture));
  CU_ASSERT_EQUAL (sv_quarantine_n (sv_core_quarantine (fixture.core)), 0);
  sv_fixture_close (&fixture);
}

/* The fingerprint of a request for "/once/1" with this body. */
static guint64
fingerprint_of (const char *body)
{
  guint64 fingerprint = XXH64 ("/once/1", strlen ("/once/1"), 0);

  fingerprint = XXH64 ("key", strlen ("key"), fingerprint);
  return XXH64 (body, strlen (body), fingerprint);
}

/* A peer tells that endpoints which aren't known here have ended under the deadly segment at
 * different moments, and, all at one moment, under the request with this body. */
static void
tell_of_crashes (SvFixture *fixture, const char *body)
{
  KnlTime now = knl_kernel_now (fixture->kernel);
  SvQuarantined quarantined = {
    .service = sv_quarantine_service ("s"), .segment = 0xdead, .since = now, .n_losses = 3
  };

  for (guint i = 0; i < 3; i++)
    {
      SvCrash crash = { fingerprint_of (body), 2000 + i, now };

      quarantined.losses[i] = (PolBlameLoss){ .endpoint = 1000 + i, .lost_at = now - i * KNL_SEC };
      sv_crashes_note_loss (sv_core_crashes (fixture->core), &crash, SV_CRASH_OF_CELL);
    }
  CU_ASSERT_TRUE (
      sv_quarantine_adopt (sv_core_quarantine (fixture->core), &quarantined, SV_CRASH_OF_CELL));
}

/* Guards against a quarantined segment that reaches endpoints twice more with each of its requests,
 * as a test of the request isn't counted as one of the segment. */
static void
test_a_test_of_a_request_is_none_of_its_segments (void)
{
  static const struct
  {
    const char *segments;
    gboolean is_refused;
  } rows[] = { { "ee:40" DEADLY ",1f:60", TRUE }, { "ee:40,1f:60", FALSE } };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *request = g_strdup_printf (
          "POST /once/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: 4000\r\n"
          "X-Token-Counts: 200,10\r\nX-Prompt-Prefix: %s\r\n"
          "Authorization: Bearer key\r\nContent-Length: 4\r\n\r\nsame",
          rows[i].segments);
      SvFixture fixture;

      sv_fixture_open (&fixture);
      sv_fixture_use_config (&fixture, 1, "key");
      sv_fixture_add_endpoint (&fixture, &good, 1);
      tell_of_crashes (&fixture, "same");
      knl_paused_clock_advance (fixture.clock, 180 * KNL_SEC);
      sv_core_confirm (fixture.core, knl_kernel_now (fixture.kernel));
      sv_fixture_send (&fixture, request);
      sv_fixture_wait_for (&fixture, "HTTP/1.1");
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[0]), !rows[i].is_refused);
      CU_ASSERT_EQUAL (strstr (fixture.received->str, "HTTP/1.1 503") != NULL, rows[i].is_refused);
      sv_fixture_close (&fixture);
    }
}

static const SuiteCase cases[] = {
  { "a segment that crashes endpoints is refused",
    test_a_segment_that_crashes_endpoints_is_refused },
  { "prompts without the segment are served", test_prompts_without_the_segment_are_served },
  { "the next process ends no quarantine", test_the_next_process_ends_no_quarantine },
  { "an endpoint that has lived on ends a quarantine",
    test_an_endpoint_that_has_lived_on_ends_a_quarantine },
  { "a test of a request is none of its segments",
    test_a_test_of_a_request_is_none_of_its_segments },
  { "error answers acquit nothing", test_error_answers_acquit_nothing },
  { "the next process clears no loss", test_the_next_process_clears_no_loss },
  { "waiting prompts are taken back", test_waiting_prompts_are_taken_back },
};

SUITE_MAIN ("sv_quarantine", cases)
