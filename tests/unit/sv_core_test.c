/** Tests of the core with a caller and failing endpoints, over loopback, with a paused clock. */

#include <string.h>

#include "suite.h"
#include "sv_fixture.h"

static const ScriptedAnswer good = { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood",
                                     FALSE };

/* One request; the last endpoint answers `last`, all others answer `first`. */
typedef struct
{
  const char *name;
  const char *path;
  guint n_endpoints;
  ScriptedAnswer first;
  ScriptedAnswer last;
  const char *wanted;   /* text the caller must receive */
  const char *unwanted; /* text the caller must not receive; NULL: none */
  guint requests;       /* requests that reach endpoints */
} Row;

/*
 * Guards against at-most-once requests that run twice, requests that have run but are answered as
 * not run, and requests that fail although another endpoint would have answered. It happens when an
 * endpoint closes the connection, truncates its answer, sends an invalid answer, or rejects, and
 * whether the request may have run isn't decided by the bytes sent and the endpoint's answer alone.
 */
static const Row rows[] = {
  { "answered",
    "/once/1",
    1,
    { 0 },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood" },
    "good",
    NULL,
    1 },
  { "closed, once", "/once/1", 2, { NULL, TRUE }, { "never" }, "HTTP/1.1 502", NULL, 1 },
  { "closed, once though two attempts are allowed",
    "/once-of-two/1",
    2,
    { NULL, TRUE },
    { "never" },
    "HTTP/1.1 502",
    NULL,
    1 },
  { "closed, again",
    "/again/1",
    2,
    { NULL, TRUE },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood" },
    "good",
    NULL,
    2 },
  { "torn, once",
    "/once/1",
    2,
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 9\r\n\r\ngood", TRUE },
    { "never" },
    "HTTP/1.1 502",
    "good",
    1 },
  { "torn, again",
    "/again/1",
    2,
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 9\r\n\r\ntorn", TRUE },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood" },
    "good",
    "torn",
    2 },
  { "unsigned",
    "/once/1",
    1,
    { 0 },
    { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake" },
    "HTTP/1.1 502",
    "fake",
    1 },
  { "encoded",
    "/once/1",
    1,
    { 0 },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nfake" },
    "HTTP/1.1 502",
    "fake",
    1 },
  { "no answer of the protocol",
    "/once/1",
    1,
    { 0 },
    { "\x01\x02\x03\r\n\r\n" },
    "HTTP/1.1 502",
    NULL,
    1 },
  { "another request's answer first",
    "/once/1",
    1,
    { 0 },
    { "HTTP/1.1 200 OK\r\nX-Attempt-Id: old\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nother"
      "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood" },
    "good",
    "other",
    1 },
  { "rejected, then run once",
    "/once/1",
    2,
    { "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood" },
    "good",
    NULL,
    2 },
  { "another endpoint has the address",
    "/once/1",
    2,
    { "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n" },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood" },
    "good",
    NULL,
    2 },
  { "rejected by all",
    "/once/1",
    2,
    { "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" },
    { "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" },
    "Retry-After: 0.",
    NULL,
    2 },
  { "503 without the promise, once",
    "/once/1",
    2,
    { "HTTP/1.1 503 Service Unavailable\r\n" SIGNED "Content-Length: 0\r\n\r\n" },
    { "never" },
    "HTTP/1.1 502",
    "X-Server-Stamp",
    1 },
  { "503 without the promise, again",
    "/again/1",
    1,
    { 0 },
    { "HTTP/1.1 503 Service Unavailable\r\n" SIGNED "Content-Length: 0\r\n\r\n" },
    "X-Server-Stamp: s",
    "HTTP/1.1 502",
    1 },
  { "failed, again",
    "/again/1",
    2,
    { "HTTP/1.1 500 E\r\n" SIGNED "Content-Length: 3\r\n\r\nbad" },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood" },
    "good",
    "bad",
    2 },
  { "failed, and no other left",
    "/again/1",
    1,
    { 0 },
    { "HTTP/1.1 500 E\r\n" SIGNED "Content-Length: 3\r\n\r\nbad" },
    "bad",
    "HTTP/1.1 502",
    1 },
  { "no such route", "/none/1", 1, { 0 }, { "never" }, "HTTP/1.1 404", NULL, 0 },
};

static void
check_row (const Row *row)
{
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  for (guint i = 0; i < row->n_endpoints; i++)
    sv_fixture_add_endpoint (&fixture, i + 1 < row->n_endpoints ? &row->first : &row->last, 1);
  sv_fixture_request (&fixture, row->path);
  sv_fixture_wait_for (&fixture, row->wanted);
  if (strstr (fixture.received->str, row->wanted) == NULL
      || sv_fixture_all_requests (&fixture) != row->requests)
    printf ("%s: %u requests, got %s\n", row->name, sv_fixture_all_requests (&fixture),
            fixture.received->str);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, row->wanted));
  CU_ASSERT_TRUE (row->unwanted == NULL || strstr (fixture.received->str, row->unwanted) == NULL);
  CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), row->requests);
  CU_ASSERT_EQUAL (sv_core_n_requests (fixture.core), 0);
  sv_fixture_close (&fixture);
}

static void
test_endpoints_that_fail (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    check_row (&rows[i]);
}

/*
 * Guards against streams that end early or repeat an event although another endpoint could resume
 * them. An endpoint closes the connection within its third event; the fault was that parts of
 * events were forwarded, or that the second run started from the first event.
 */
static void
test_broken_stream_resumes (void)
{
  static const ScriptedAnswer broken = {
    "HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n"
    "2a\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: \r\n",
    TRUE
  };
  static const ScriptedAnswer remainder = {
    "HTTP/1.1 200 OK\r\n" SIGNED
    "Content-Length: 45\r\n\r\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n",
    FALSE
  };
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  sv_fixture_add_endpoint (&fixture, &broken, 1);
  sv_fixture_add_endpoint (&fixture, &remainder, 1);
  sv_fixture_request (&fixture, "/stream/1");
  sv_fixture_wait_for (&fixture, "\r\n0\r\n\r\n");
  CU_ASSERT_STRING_EQUAL (scripted_endpoint_field (fixture.endpoints[1], "last-event-id"), "2");
  for (guint i = 1; i <= 4; i++)
    {
      g_autofree char *event = g_strdup_printf ("id: %u\n", i);
      const char *at = strstr (fixture.received->str, event);

      CU_ASSERT_TRUE (at != NULL && strstr (at + 1, event) == NULL);
    }
  sv_fixture_close (&fixture);
}

/*
 * Guards against the head of another answer in the middle of a stream. A stream breaks, and the
 * endpoint that should resume it sends a different answer, which was forwarded as if none had
 * begun.
 */
static void
test_broken_stream_is_not_mixed (void)
{
  static const ScriptedAnswer broken = { "HTTP/1.1 200 OK\r\n" SIGNED
                                         "Transfer-Encoding: chunked\r\n\r\n"
                                         "f\r\nid: 1\ndata: a\n\n\r\n",
                                         TRUE };
  static const ScriptedAnswer others[] = {
    { "HTTP/1.1 500 E\r\n" SIGNED "Content-Length: 3\r\n\r\nbad", FALSE },
    { "HTTP/1.1 400 B\r\n" SIGNED "Content-Length: 3\r\n\r\nbad", FALSE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (others); i++)
    {
      SvFixture fixture;

      sv_fixture_open (&fixture);
      sv_fixture_use_config (&fixture, 1, "key");
      sv_fixture_add_endpoint (&fixture, &broken, 1);
      sv_fixture_add_endpoint (&fixture, &others[i], 1);
      sv_fixture_request (&fixture, "/stream/1");
      while (!fixture.ended)
        event_base_loop (fixture.base, EVLOOP_ONCE);
      CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), 2);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "id: 1"));
      CU_ASSERT_PTR_NULL (strstr (fixture.received->str, "bad"));
      CU_ASSERT_PTR_NULL (strstr (fixture.received->str, "0\r\n\r\n"));
      sv_fixture_close (&fixture);
    }
}

/*
 * Guards against requests that run with a key withdrawn longer ago than the bound. This instance is
 * cut off from the store when the operator withdraws the key; the fault was that keys were accepted
 * without a bound, or that the bound was counted from the store's answer instead of the request.
 */
static void
test_keys_need_confirmation (void)
{
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_add_endpoint (&fixture, &good, 1);
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 503"));
  sv_fixture_use_config (&fixture, 1, "key");
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_for (&fixture, "good");
  knl_paused_clock_advance (fixture.clock, 2900 * KNL_MSEC);
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_for (&fixture, "good");
  knl_paused_clock_advance (fixture.clock, 200 * KNL_MSEC);
  CU_ASSERT_FALSE (sv_core_is_ready (fixture.core));
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 503"));
  CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), 2);
  sv_fixture_close (&fixture);
}

/* An unknown key or route gets a definite error only while no newer configuration can be in force.
 */
static void
test_denied_only_when_certain (void)
{
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_add_endpoint (&fixture, &good, 1);
  sv_fixture_use_config (&fixture, 1, "other");
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 401"));
  knl_paused_clock_advance (fixture.clock, 1100 * KNL_MSEC);
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 503"));
  sv_fixture_use_config (&fixture, 2, "key");
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_for (&fixture, "good");
  /* An older configuration that arrives late is ignored. */
  sv_fixture_use_config (&fixture, 1, "other");
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_for (&fixture, "good");
  sv_fixture_close (&fixture);
}

/*
 * Guards against endpoints that keep working for disconnected callers. A caller sends a request and
 * the start of its next one, and closes its connection; the end was missed because the instance
 * stopped reading the connection after the first request.
 */
static void
test_caller_disconnection_is_noticed (void)
{
  static const ScriptedAnswer silent = { NULL, FALSE };
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  sv_fixture_add_endpoint (&fixture, &silent, 1);
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_send (&fixture, "POST /once/2 HTTP/1.1\r\nHost:");
  sv_fixture_wait_requests (&fixture, 0, 1);
  g_clear_pointer (&fixture.caller, bufferevent_free);
  while (scripted_endpoint_n_closed_by_peer (fixture.endpoints[0]) == 0)
    event_base_loop (fixture.base, EVLOOP_ONCE);
  CU_ASSERT_EQUAL (sv_core_n_requests (fixture.core), 0);
  sv_fixture_close (&fixture);
}

/*
 * Guards against requests of a less urgent route that run while more urgent ones are queued at the
 * endpoints. Their callers have as much time; the urgency sent to endpoints showed only how late
 * they were and ignored the configured priorities.
 */
static void
test_priorities_are_sent (void)
{
  static const struct
  {
    const char *path;
    const char *urgency;
  } routes[] = { { "/once/1", "1" }, { "/again/1", "5" } };
  static const ScriptedAnswer silent = { NULL, FALSE };

  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      SvFixture fixture;

      sv_fixture_open (&fixture);
      sv_fixture_use_config (&fixture, 1, "key");
      sv_fixture_add_endpoint (&fixture, &silent, 1);
      sv_fixture_request (&fixture, routes[i].path);
      sv_fixture_wait_requests (&fixture, 0, 1);
      CU_ASSERT_STRING_EQUAL (scripted_endpoint_field (fixture.endpoints[0], "x-request-urgency"),
                              routes[i].urgency);
      sv_fixture_close (&fixture);
    }
}

/* A request whose deadline passes is answered, and its endpoint was sent the time left. */
static void
test_deadline_is_answered (void)
{
  static const ScriptedAnswer silent = { NULL, FALSE };
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  sv_fixture_add_endpoint (&fixture, &silent, 1);
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_requests (&fixture, 0, 1);
  CU_ASSERT_STRING_EQUAL (scripted_endpoint_field (fixture.endpoints[0], "x-deadline-ms"), "4000");
  CU_ASSERT_STRING_EQUAL (scripted_endpoint_field (fixture.endpoints[0], "x-expect-instance"),
                          "i-0");
  CU_ASSERT_STRING_EQUAL (scripted_endpoint_field (fixture.endpoints[0], "x-tenant"), "w");
  CU_ASSERT_PTR_NULL (scripted_endpoint_field (fixture.endpoints[0], "authorization"));
  knl_paused_clock_advance (fixture.clock, 4 * KNL_SEC);
  sv_fixture_wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 504"));
  sv_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "endpoints that fail", test_endpoints_that_fail },
  { "a broken stream resumes", test_broken_stream_resumes },
  { "a broken stream is not mixed", test_broken_stream_is_not_mixed },
  { "keys need confirmation", test_keys_need_confirmation },
  { "denied only when certain", test_denied_only_when_certain },
  { "a caller's disconnection is noticed", test_caller_disconnection_is_noticed },
  { "priorities are sent to endpoints", test_priorities_are_sent },
  { "the deadline is answered", test_deadline_is_answered },
};

SUITE_MAIN ("sv_core", cases)
