/** Answers that end within their head, on each link: none of them is an answer. */

#include <string.h>

#include "links_fixture.h"
#include "suite.h"
#include "sv_fixture.h"

#define EVENT     "id: 1\ndata: a\n\n"
#define ELSEWHERE "id: 1\ndata: e\n\n"
#define OK        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n"
#define UNFRAMED  "HTTP/1.1 200 OK\r\n" SIGNED "\r\n"

/* Heads in all the ways that a body may be framed. */
static const char *const heads[] = {
  OK "Content-Length: 15\r\n\r\n",
  OK "Transfer-Encoding: chunked\r\n\r\n",
  OK "Connection: close\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\n" OK "Content-Length: 15\r\n\r\n",
  "HTTP/1.1 200 OK\nX-Attempt-Id: a1\nX-Server-Stamp: s\nContent-Length: 15\n\n",
  "HTTP/1.0 200 OK\r\nContent-Length: 0\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n\r\n",
};

static const ScriptedAnswer good = { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood",
                                     FALSE };
static const ScriptedAnswer elsewhere = { "HTTP/1.1 200 OK\r\n" SIGNED
                                          "Content-Length: 15\r\n\r\n" ELSEWHERE,
                                          FALSE };

static void
run_loop (SvFixture *fixture)
{
  for (guint i = 0; i < 10; i++)
    event_base_loop (fixture->base, EVLOOP_NONBLOCK);
}

static void
check_endpoint (const char *path, const char *torn, gboolean is_kept)
{
  const ScriptedAnswer script[] = { good, { torn, TRUE } };
  gboolean runs_once = strstr (path, "once") != NULL;
  const char *wanted = runs_once ? "HTTP/1.1 502" : ELSEWHERE;
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  sv_fixture_add_endpoint (&fixture, is_kept ? script : &script[1], is_kept ? 2 : 1);
  if (is_kept)
    {
      sv_fixture_request (&fixture, "/again/first");
      sv_fixture_wait_for (&fixture, "good");
    }
  run_loop (&fixture);
  sv_fixture_add_endpoint (&fixture, &elsewhere, 1);
  sv_fixture_request (&fixture, path);
  sv_fixture_wait_for (&fixture, wanted);
  if (strstr (fixture.received->str, wanted) == NULL)
    fprintf (stderr, "%s after '%s': got %s\n", path, torn, fixture.received->str);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, wanted));
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[1]), !runs_once);
  sv_fixture_close (&fixture);
}

/* Guards against a part of an endpoint's head that passes for a whole answer, and a request that
 * may run once and is sent on after it. */
static void
test_endpoints (void)
{
  static const char *const paths[] = { "/once-of-two/1", "/again/1", "/stream/1" };

  for (guint i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      for (gsize length = 1; length < strlen (heads[i]); length++)
        {
          g_autofree char *torn = g_strndup (heads[i], length);

          check_endpoint (paths[length % G_N_ELEMENTS (paths)], torn, FALSE);
          check_endpoint (paths[(length + 1) % G_N_ELEMENTS (paths)], torn, TRUE);
        }
    }
}

/* Guards against a stream that looks complete, though the endpoint which goes on with it closes
 * within its head. */
static void
test_resumed_streams (void)
{
  static const ScriptedAnswer broken = { UNFRAMED EVENT "id: 2", TRUE };

  for (gsize length = 0; length < strlen (heads[1]); length++)
    {
      g_autofree char *torn = g_strndup (heads[1], length);
      const ScriptedAnswer script = { torn, TRUE };
      SvFixture fixture;

      sv_fixture_open (&fixture);
      sv_fixture_use_config (&fixture, 1, "key");
      sv_fixture_add_endpoint (&fixture, &broken, 1);
      sv_fixture_add_endpoint (&fixture, &script, 1);
      sv_fixture_request (&fixture, "/stream/1");
      while (!fixture.ended)
        event_base_loop (fixture.base, EVLOOP_ONCE);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, EVENT));
      CU_ASSERT_PTR_NULL (strstr (fixture.received->str, "\r\n0\r\n\r\n"));
      sv_fixture_close (&fixture);
    }
}

/* Guards against an answer that counts as whole before its trailers have ended. */
static void
test_trailers (void)
{
  static const char *const trailers[] = { "0", "0\r\n", "0\r\nX-Trailer: y",
                                          "0\r\nX-Trailer: y\r\n", "0\r\nX-Trailer: y\r\n\r" };

  for (guint i = 0; i < G_N_ELEMENTS (trailers); i++)
    {
      g_autofree char *torn =
          g_strconcat (OK "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n", trailers[i], NULL);

      check_endpoint ("/once-of-two/1", torn, FALSE);
      check_endpoint ("/again/1", torn, FALSE);
    }
}

/* Guards against a write that counts as done, or a row that counts as absent, on a part of the
 * store's head. */
static void
test_store (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      for (gsize length = 1; length < strlen (heads[i]); length++)
        {
          g_autofree char *torn = g_strndup (heads[i], length);
          const ScriptedAnswer script = { torn, TRUE };
          LinksStoreResult result = links_call_store (&script, 1, 2);

          CU_ASSERT_EQUAL (result.read, PL_UNKNOWN);
          CU_ASSERT_EQUAL (result.written, PL_UNKNOWN);
        }
    }
}

/* Guards against the same on the links of the product's own interface, to engines, services and its
 * table. */
static void
test_own_interface (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      for (gsize length = 1; length < strlen (heads[i]); length++)
        {
          g_autofree char *torn = g_strndup (heads[i], length);
          const ScriptedAnswer script = { torn, TRUE };
          LinksOwnInterfaceResult result = links_call_own_interface (&script, 2);

          if (result.end != EP_EXCHANGE_CUT || result.written != TB_UNKNOWN)
            fprintf (stderr, "'%s': end %u, written %u\n", torn, result.end, result.written);
          CU_ASSERT_EQUAL (result.end, EP_EXCHANGE_CUT);
          CU_ASSERT_EQUAL (result.written, TB_UNKNOWN);
        }
    }
}

/* Guards against an empty stream that looks complete: without a length or chunks only the
 * connection ended, and no event had come. */
static void
test_streams_without_an_event (void)
{
  static const ScriptedAnswer empty = { UNFRAMED, TRUE };
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  sv_fixture_add_endpoint (&fixture, &empty, 1);
  sv_fixture_add_endpoint (&fixture, &elsewhere, 1);
  sv_fixture_request (&fixture, "/stream/1");
  sv_fixture_wait_for (&fixture, "\r\n0\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, ELSEWHERE));
  CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), 2);
  sv_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "endpoints", test_endpoints },
  { "resumed streams", test_resumed_streams },
  { "trailers", test_trailers },
  { "the store", test_store },
  { "the product's own interface", test_own_interface },
  { "streams without an event", test_streams_without_an_event },
};

SUITE_MAIN ("torn_heads", cases)
