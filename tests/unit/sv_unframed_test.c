/** Answers that have neither a length nor chunks and end with their connection. */

#include <string.h>

#include "suite.h"
#include "sv_fixture.h"

#define UNFRAMED "HTTP/1.1 200 OK\r\n" SIGNED "\r\n"
#define EVENTS   "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

static const ScriptedAnswer good = { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood",
                                     FALSE };

static guint
count (const char *text, const char *wanted)
{
  guint n = 0;

  for (const char *at = strstr (text, wanted); at != NULL; at = strstr (at + 1, wanted))
    n++;
  return n;
}

/* Guards against an answer that is taken for a broken one, or that its caller can't tell from a
 * broken one, as it has no length: on a new connection, and on a kept one. */
static void
test_whole_answers_are_delivered (void)
{
  static const struct
  {
    ScriptedAnswer script[2];
    const char *path;
    const char *wanted;
  } rows[] = {
    { { { UNFRAMED "whole", TRUE } }, "/once/1", "\r\n\r\nwhole" },
    { { { UNFRAMED "whole", TRUE } }, "/again/1", "\r\n\r\nwhole" },
    { { { UNFRAMED EVENTS, TRUE } }, "/stream/1", "\r\n0\r\n\r\n" },
    { { { "HTTP/1.1 404 N\r\n" SIGNED "\r\nnone", TRUE } }, "/once/1", "\r\n\r\nnone" },
  };

  for (guint i = 0; i < 2 * G_N_ELEMENTS (rows); i++)
    {
      const ScriptedAnswer kept[] = { good, rows[i / 2].script[0] };
      gboolean is_kept = i % 2 == 1;
      SvFixture fixture;

      sv_fixture_open (&fixture);
      sv_fixture_use_config (&fixture, 1, "key");
      sv_fixture_add_endpoint (&fixture, is_kept ? kept : rows[i / 2].script, is_kept ? 2 : 1);
      if (is_kept)
        {
          sv_fixture_request (&fixture, "/once/0");
          sv_fixture_wait_for (&fixture, "good");
        }
      sv_fixture_request (&fixture, rows[i / 2].path);
      sv_fixture_wait_for (&fixture, rows[i / 2].wanted);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, rows[i / 2].wanted));
      CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), is_kept + 1u);
      CU_ASSERT_FALSE (fixture.ended);
      sv_fixture_close (&fixture);
    }
}

/* Guards against a stream that is passed on as complete although it ended inside an event: the rest
 * comes from another endpoint, in whole events. */
static void
test_streams_cut_inside_an_event_resume (void)
{
  static const char *const cuts[] = { "id: 3", "id: 3\ndata: c", "id: 3\ndata: c\n", "\n", "data" };
  static const ScriptedAnswer remainder = {
    UNFRAMED "id: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n", TRUE
  };

  for (guint i = 0; i < G_N_ELEMENTS (cuts); i++)
    {
      g_autofree char *bytes = g_strconcat (UNFRAMED EVENTS, cuts[i], NULL);
      const ScriptedAnswer broken = { bytes, TRUE };
      SvFixture fixture;

      sv_fixture_open (&fixture);
      sv_fixture_use_config (&fixture, 1, "key");
      sv_fixture_add_endpoint (&fixture, &broken, 1);
      sv_fixture_add_endpoint (&fixture, &remainder, 1);
      sv_fixture_request (&fixture, "/stream/1");
      sv_fixture_wait_for (&fixture, "\r\n0\r\n\r\n");
      CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), 2);
      CU_ASSERT_STRING_EQUAL (scripted_endpoint_field (fixture.endpoints[1], "last-event-id"), "2");
      for (guint id = 1; id <= 4; id++)
        {
          g_autofree char *event = g_strdup_printf ("id: %u\ndata: %c\n\n", id, 'a' + id - 1);

          CU_ASSERT_EQUAL (count (fixture.received->str, event), 1);
        }
      sv_fixture_close (&fixture);
    }
}

/* Guards against a broken stream that looks complete to its caller where nothing resumes it. */
static void
test_streams_that_stay_broken_are_aborted (void)
{
  static const ScriptedAnswer broken = { UNFRAMED EVENTS "id: 3\ndata", TRUE };
  static const ScriptedAnswer broken_again = { UNFRAMED "id: 3\ndata: c\n\nid: 4", TRUE };
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  sv_fixture_add_endpoint (&fixture, &broken, 1);
  sv_fixture_add_endpoint (&fixture, &broken_again, 1);
  sv_fixture_request (&fixture, "/stream/1");
  while (!fixture.ended)
    event_base_loop (fixture.base, EVLOOP_ONCE);
  CU_ASSERT_EQUAL (count (fixture.received->str, "id: 3\ndata: c\n\n"), 1);
  CU_ASSERT_EQUAL (count (fixture.received->str, "id: 4"), 0);
  CU_ASSERT_PTR_NULL (strstr (fixture.received->str, "\r\n0\r\n\r\n"));
  sv_fixture_close (&fixture);
}

/* Guards against an answer that acquits a segment of its prompt although its stream broke off. */
static void
test_broken_streams_acquit_no_segment (void)
{
  static const ScriptedAnswer broken = { UNFRAMED "id: 1\ndata: a\n\nid: 2", TRUE };
  SvFixture fixture;
  SvQuarantine *quarantine;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  quarantine = sv_core_quarantine (fixture.core);
  for (guint i = 0; i < 4; i++)
    {
      g_autofree char *request = g_strdup_printf (
          "POST /stream/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a%u\r\nX-Deadline-Ms: 4000\r\n"
          "X-Token-Counts: 200,10\r\nX-Prompt-Prefix: %u:40,dead:100,1f:60\r\n"
          "Authorization: Bearer key\r\nContent-Length: 1\r\n\r\n%u",
          i, i, i);

      sv_fixture_add_endpoint (&fixture, &broken, 1);
      g_string_truncate (fixture.received, 0);
      fixture.ended = FALSE;
      g_clear_pointer (&fixture.caller, bufferevent_free);
      sv_fixture_send (&fixture, request);
      while (!fixture.ended)
        event_base_loop (fixture.base, EVLOOP_ONCE);
      for (guint j = 0; j <= i; j++)
        {
          g_autofree char *id = g_strdup_printf ("i-%u", j);

          sv_fleet_remove (fixture.fleet, id);
        }
      knl_paused_clock_advance (fixture.clock, 2 * KNL_SEC);
      sv_fleet_sweep (fixture.fleet);
      sv_core_confirm (fixture.core, knl_kernel_now (fixture.kernel));
      sv_quarantine_tick (quarantine);
      CU_ASSERT_EQUAL (sv_quarantine_n (quarantine), i >= 2);
      if (i >= 2)
        break;
    }
  sv_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "whole answers are delivered", test_whole_answers_are_delivered },
  { "streams cut inside an event resume", test_streams_cut_inside_an_event_resume },
  { "streams that stay broken are aborted", test_streams_that_stay_broken_are_aborted },
  { "broken streams acquit no segment", test_broken_streams_acquit_no_segment },
};

SUITE_MAIN ("sv_unframed", cases)
