/** Answers that come before the whole request has been sent, and end with their connection. */

#include <string.h>

#include "links_fixture.h"
#include "suite.h"
#include "sv_fixture.h"

/* Larger than the buffers of both sockets of a connection that isn't read. */
#define UPLOAD_BYTES ((gsize)512 << 10)

#define EVENT     "id: 1\ndata: a\n\n"
#define ELSEWHERE "id: 2\ndata: e\n\n"

#define UNFRAMED "HTTP/1.1 200 OK\r\n" SIGNED "\r\n"

#define GOOD                                                                                       \
  {                                                                                                \
    "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood", FALSE                            \
  }

static const ScriptedAnswer good = GOOD;
static const ScriptedAnswer elsewhere = { "HTTP/1.1 200 OK\r\n" SIGNED
                                          "Content-Length: 15\r\n\r\n" ELSEWHERE,
                                          FALSE };

static const char *const paths[] = { "/once-of-two/1", "/again/1", "/stream/1" };

/* Sends an upload to an endpoint that answers early, on a new connection or on a kept one. */
static void
open_and_upload (SvFixture *self,
                 const char *path,
                 const ScriptedAnswer script[2],
                 gboolean is_kept)
{
  sv_fixture_open (self);
  sv_fixture_use_config (self, 1, "key");
  sv_fixture_add_endpoint (self, is_kept ? script : &script[1], is_kept ? 2 : 1);
  if (is_kept)
    {
      sv_fixture_request (self, "/again/first");
      sv_fixture_wait_for (self, "good");
    }
  for (guint i = 0; i < 10; i++)
    event_base_loop (self->base, EVLOOP_NONBLOCK);
  sv_fixture_add_endpoint (self, &elsewhere, 1);
  sv_fixture_request_upload (self, path, UPLOAD_BYTES);
}

static void
check_reset (const char *path, const char *bytes, gboolean is_kept)
{
  const ScriptedAnswer script[] = { good, { .bytes = bytes, .is_early = TRUE, .resets = TRUE } };
  gboolean runs_once = strstr (path, "once") != NULL;
  const char *wanted = runs_once ? "HTTP/1.1 502" : ELSEWHERE;
  SvFixture fixture;

  open_and_upload (&fixture, path, script, is_kept);
  sv_fixture_wait_answer (&fixture);
  if (strstr (fixture.received->str, wanted) == NULL)
    fprintf (stderr, "%s, kept %d, after '%s': got %s\n", path, is_kept, bytes,
             fixture.received->str);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, wanted));
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[1]), !runs_once);
  sv_fixture_close (&fixture);
}

/* Guards against a part of an answer that passes for the whole one: an endpoint sends it without a
 * length while the request is still being written, and resets the connection. */
static void
test_resets (void)
{
  static const char *const answers[] = {
    UNFRAMED "do",
    UNFRAMED,
    "HTTP/1.1 100 Continue\r\n\r\n" UNFRAMED "do",
    "HTTP/1.1 500 E\r\n" SIGNED "\r\ndo",
    "HTTP/1.1 417 E\r\n" SIGNED "\r\ndo",
    "HTTP/1.0 200 OK\r\n" SIGNED "\r\ndo",
    "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ndo",
    "HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n2\r\ndo\r\n",
  };

  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      for (guint j = 0; j < G_N_ELEMENTS (paths); j++)
        {
          check_reset (paths[j], answers[i], FALSE);
          check_reset (paths[j], answers[i], TRUE);
        }
    }
}

/* Guards against a stream that looks complete although its connection was reset behind a whole
 * event, or within one: it goes on at another endpoint. */
static void
test_resets_of_streams (void)
{
  for (guint i = 0; i < 2; i++)
    {
      check_reset ("/stream/1", UNFRAMED EVENT, i == 1);
      check_reset ("/stream/1", UNFRAMED EVENT "id: 2", i == 1);
    }
}

/* Guards against a stream that looks complete although the endpoint that goes on with it resets the
 * connection: no other endpoint is left, so it ends visibly. */
static void
test_resets_of_resumed_streams (void)
{
  static const ScriptedAnswer begins[] = {
    GOOD,
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 99\r\n\r\n" EVENT, TRUE },
  };
  static const char *const rests[] = { ELSEWHERE, ELSEWHERE "id: 3", "" };

  for (guint i = 0; i < G_N_ELEMENTS (rests); i++)
    {
      g_autofree char *rest = g_strconcat (UNFRAMED, rests[i], NULL);
      const ScriptedAnswer goes_on[] = {
        { "HTTP/1.1 503 S\r\nX-Attempt-Id: %ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
          FALSE },
        { .bytes = rest, .is_early = TRUE, .resets = TRUE },
      };
      SvFixture fixture;

      sv_fixture_open (&fixture);
      sv_fixture_use_config (&fixture, 1, "key");
      sv_fixture_add_endpoint (&fixture, goes_on, 2);
      sv_fixture_add_endpoint (&fixture, begins, 2);
      /* Rejected by the first endpoint, whose connection is kept, and which isn't preferred then.
       */
      sv_fixture_request (&fixture, "/again/first");
      sv_fixture_wait_for (&fixture, "good");
      sv_fixture_request_upload (&fixture, "/stream/1", UPLOAD_BYTES);
      sv_fixture_wait_answer (&fixture);
      CU_ASSERT_TRUE (fixture.ended);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, EVENT));
      CU_ASSERT_PTR_NULL (strstr (fixture.received->str, "\r\n0\r\n\r\n"));
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[0]), 2);
      CU_ASSERT_STRING_EQUAL (scripted_endpoint_field (fixture.endpoints[0], "last-event-id"), "1");
      sv_fixture_close (&fixture);
    }
}

/* Guards against an answer that is lost because it is complete before its request: its endpoint has
 * ended it in order, or it has a length. */
static void
test_whole_answers (void)
{
  static const ScriptedAnswer answers[] = {
    { .bytes = UNFRAMED "whole", .is_early = TRUE, .closes = TRUE },
    { .bytes = "HTTP/1.1 417 E\r\n" SIGNED "\r\nwhole", .is_early = TRUE, .closes = TRUE },
    { .bytes = "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 5\r\n\r\nwhole",
      .is_early = TRUE,
      .resets = TRUE },
    { .bytes = "HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n"
               "5\r\nwhole\r\n0\r\n\r\n",
      .is_early = TRUE,
      .resets = TRUE },
  };

  for (guint i = 0; i < 4 * G_N_ELEMENTS (answers); i++)
    {
      const ScriptedAnswer script[] = { good, answers[i / 4] };
      SvFixture fixture;

      open_and_upload (&fixture, paths[i % 2], script, i % 4 >= 2);
      sv_fixture_wait_answer (&fixture);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "whole"));
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[1]), 0);
      sv_fixture_close (&fixture);
    }
}

/* Guards against a write that counts as done on a part of the store's answer. */
static void
test_store (void)
{
  static const ScriptedAnswer script[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"version\":5}", FALSE },
    { .bytes = "HTTP/1.1 200 OK\r\n\r\n{\"version\":5}", .is_early = TRUE, .resets = TRUE },
  };

  for (guint i = 0; i < 2; i++)
    {
      LinksStoreResult result = links_call_store (&script[1 - i], i + 1, UPLOAD_BYTES);

      CU_ASSERT_EQUAL (result.read, PL_UNKNOWN);
      CU_ASSERT_EQUAL (result.written, PL_UNKNOWN);
    }
}

/* Guards against a part of an answer that passes for the whole one on the product's own interface:
 * of an endpoint, and of the table. */
static void
test_own_interface (void)
{
  static const ScriptedAnswer script = { .bytes = "HTTP/1.1 200 OK\r\n\r\n{\"version\":5}",
                                         .is_early = TRUE,
                                         .resets = TRUE };
  static const gsize lengths[] = { 2, UPLOAD_BYTES };

  for (guint i = 0; i < G_N_ELEMENTS (lengths); i++)
    {
      LinksOwnInterfaceResult result = links_call_own_interface (&script, lengths[i]);

      CU_ASSERT_EQUAL (result.end, EP_EXCHANGE_CUT);
      CU_ASSERT_EQUAL (result.written, TB_UNKNOWN);
    }
}

static const SuiteCase cases[] = {
  { "resets", test_resets },
  { "resets of streams", test_resets_of_streams },
  { "resets of resumed streams", test_resets_of_resumed_streams },
  { "whole answers", test_whole_answers },
  { "the store", test_store },
  { "the product's own interface", test_own_interface },
};

SUITE_MAIN ("early_ends", cases)
