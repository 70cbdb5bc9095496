/** Tests of an instance that has lost its links to endpoints, and of requests passed on to a peer.
 */

#include <string.h>

#include "serve/core_internal.h"
#include "suite.h"
#include "sv_fixture.h"

/* Nothing listens there: connections are refused. */
#define UNREACHABLE "127.0.0.1:1"

#define STEP (10 * KNL_MSEC)

/* Larger than the buffers of both sockets of a connection that isn't read. */
#define UPLOAD_BYTES ((gsize)512 << 10)

#define UNFRAMED "HTTP/1.1 200 OK\r\n" SIGNED "\r\n"

#define GOOD                                                                                       \
  {                                                                                                \
    "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood", FALSE                            \
  }

static const ScriptedAnswer good = GOOD;

typedef struct
{
  SvFixture core;
  ScriptedEndpoint *peer;
} Fixture;

static void
set_addresses (Fixture *self, const char *address)
{
  static const char *const ids[] = { "u-0", "u-1", "u-2", "u-3" };

  for (guint i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      SvEndpointEntry entry = {
        .id = ids[i], .service = "s", .address = address, .zone = "a", .slots = 4
      };

      sv_fleet_update (self->core.fleet, &entry);
    }
}

static void
fixture_open (Fixture *self, const ScriptedAnswer *peer_script, guint n)
{
  sv_fixture_open (&self->core);
  sv_fixture_use_config (&self->core, 1, "key");
  set_addresses (self, UNREACHABLE);
  self->peer = scripted_endpoint_new (self->core.base, peer_script, n);
  sv_fixture_set_peer (scripted_endpoint_address (self->peer));
}

static void
fixture_close (Fixture *self)
{
  sv_fixture_set_peer (NULL);
  scripted_endpoint_free (self->peer);
  sv_fixture_close (&self->core);
}

/* Peers hear from all endpoints. */
static void
note_seen_by_peers (Fixture *self)
{
  const GPtrArray *endpoints = sv_fleet_all (self->core.fleet);

  for (guint i = 0; i < endpoints->len; i++)
    ((SvEndpoint *)g_ptr_array_index (endpoints, i))->last_seen_at =
        knl_kernel_now (self->core.kernel);
}

/* Runs the loop while time passes, and peers hear from all endpoints. */
static void
advance (Fixture *self, KnlTime time)
{
  for (KnlTime passed = 0; passed < time; passed += STEP)
    {
      knl_paused_clock_advance (self->core.clock, STEP);
      note_seen_by_peers (self);
      sv_core_confirm (self->core.core, knl_kernel_now (self->core.kernel));
      for (guint i = 0; i < 10; i++)
        {
          event_base_loop (self->core.base, EVLOOP_NONBLOCK);
          knl_kernel_run_due (self->core.kernel);
        }
    }
}

/* The instance notices that it has lost its links, by a request of its own. */
static void
lose_links (Fixture *self)
{
  sv_fixture_request (&self->core, "/again/first");
  advance (self, 2 * KNL_SEC);
}

/* Guards against callers that are refused by an instance that reaches no endpoint while its peers
 * reach all. */
static void
test_callers_are_served_through_a_peer (void)
{
  static const char *const paths[] = { "/again/1", "/once/1", "/stream/1" };

  for (guint i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      Fixture fixture;

      fixture_open (&fixture, &good, 1);
      lose_links (&fixture);
      sv_fixture_request (&fixture.core, paths[i]);
      advance (&fixture, 200 * KNL_MSEC);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, "HTTP/1.1 200"));
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, "good"));
      fixture_close (&fixture);
    }
}

/* The peer gets the request as the caller sent it, with less time. */
static void
test_requests_are_passed_on_unchanged (void)
{
  Fixture fixture;

  fixture_open (&fixture, &good, 1);
  lose_links (&fixture);
  sv_fixture_request (&fixture.core, "/once/1");
  advance (&fixture, 200 * KNL_MSEC);
  CU_ASSERT_STRING_EQUAL (scripted_endpoint_field (fixture.peer, "x-attempt-id"), "a1");
  CU_ASSERT_STRING_EQUAL (scripted_endpoint_field (fixture.peer, "authorization"), "Bearer key");
  CU_ASSERT_STRING_EQUAL (scripted_endpoint_field (fixture.peer, "x-deadline-ms"), "3990");
  CU_ASSERT_STRING_EQUAL (scripted_endpoint_body (fixture.peer), "hi");
  fixture_close (&fixture);
}

/* Guards against a peer's refusal that its caller is told as a failure, or an answer lost at the
 * peer that is told as a refusal. */
static void
test_answers_of_a_peer (void)
{
  static const struct
  {
    const char *path;
    ScriptedAnswer answer;
    const char *wanted;
  } rows[] = {
    { "/once/1",
      { "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %ID\r\nRetry-After: 0.200\r\n"
        "Content-Length: 0\r\n\r\n",
        FALSE },
      "HTTP/1.1 503" },
    { "/once/1", { NULL, TRUE }, "HTTP/1.1 502" },
    { "/once/1",
      { "HTTP/1.1 500 Internal Server Error\r\n" SIGNED "Content-Length: 4\r\n\r\ngood", FALSE },
      "HTTP/1.1 500" },
    { "/stream/1",
      { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Type: text/event-stream\r\n"
        "Content-Length: 20\r\n\r\nid: 0\ndata: x\n\n",
        TRUE },
      "HTTP/1.1 200" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Fixture fixture;

      fixture_open (&fixture, &rows[i].answer, 1);
      lose_links (&fixture);
      sv_fixture_request (&fixture.core, rows[i].path);
      advance (&fixture, 200 * KNL_MSEC);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, rows[i].wanted));
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.peer), 1);
      /* A stream that breaks off doesn't look complete. */
      CU_ASSERT_EQUAL (fixture.core.ended, rows[i].answer.closes && rows[i].answer.bytes != NULL);
      fixture_close (&fixture);
    }
}

/* Guards against a part of a peer's head that passes for a whole answer. */
static void
test_torn_heads_of_a_peer (void)
{
  static const char *const paths[] = { "/once/1", "/again/1", "/stream/1" };
  static const char head[] = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";

  for (gsize length = 1; length < strlen (head); length++)
    {
      g_autofree char *torn = g_strndup (head, length);
      const ScriptedAnswer script = { torn, TRUE };
      Fixture fixture;

      fixture_open (&fixture, &script, 1);
      lose_links (&fixture);
      sv_fixture_request (&fixture.core, paths[length % G_N_ELEMENTS (paths)]);
      advance (&fixture, 200 * KNL_MSEC);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, "HTTP/1.1 502"));
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.peer), 1);
      fixture_close (&fixture);
    }
}

/* Guards against a process that ends because of a peer's head that is no answer's, and one that is
 * passed on. */
static void
test_broken_heads_of_a_peer (void)
{
  static const char *const paths[] = { "/once/1", "/again/1", "/stream/1" };
  static const char *const heads[] = {
    "HTTP/1.1 100 C\r\nContent-Length: 4\r\n\r\nabcd",
    "HTTP/1.1 101 C\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
    "HTTP/1.1 000 N\r\n" SIGNED "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 00200 N\r\n" SIGNED "Content-Length: 4\r\n\r\ngood",
    "HTTP/1.1 999 N\r\n" SIGNED "Content-Length: 4\r\n\r\ngood",
    "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length : 4\r\n\r\ngood",
    "HTTP/1.1 200 OK\r\nX\001Foo: 1\r\n" SIGNED "Content-Length: 4\r\n\r\ngood",
  };

  for (guint i = 0; i < G_N_ELEMENTS (heads) * G_N_ELEMENTS (paths); i++)
    {
      const ScriptedAnswer script = { heads[i / G_N_ELEMENTS (paths)], TRUE };
      Fixture fixture;

      fixture_open (&fixture, &script, 1);
      lose_links (&fixture);
      sv_fixture_request (&fixture.core, paths[i % G_N_ELEMENTS (paths)]);
      advance (&fixture, 200 * KNL_MSEC);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, "HTTP/1.1 502"));
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.peer), 1);
      fixture_close (&fixture);
    }
}

/* Guards against a part of a peer's answer that passes for the whole one: it comes without a length
 * while the request is still being written, and the connection is reset. */
static void
test_early_resets_of_a_peer (void)
{
  static const ScriptedAnswer scripts[][2] = {
    { GOOD, { .bytes = UNFRAMED "do", .is_early = TRUE, .resets = TRUE } },
    { GOOD, { .bytes = UNFRAMED, .is_early = TRUE, .resets = TRUE } },
  };

  for (guint i = 0; i < G_N_ELEMENTS (scripts); i++)
    {
      Fixture fixture;

      fixture_open (&fixture, scripts[i], 2);
      lose_links (&fixture);
      sv_fixture_request (&fixture.core, "/again/1");
      advance (&fixture, 200 * KNL_MSEC);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, "good"));
      sv_fixture_request_upload (&fixture.core, "/again/2", UPLOAD_BYTES);
      advance (&fixture, 200 * KNL_MSEC);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, "HTTP/1.1 502"));
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.peer), 2);
      fixture_close (&fixture);
    }
}

/* Guards against a stream that looks complete although its peer has reset the connection. */
static void
test_early_resets_of_streams_of_a_peer (void)
{
  static const ScriptedAnswer script[] = {
    GOOD,
    { .bytes = UNFRAMED "id: 1\ndata: a\n\n", .is_early = TRUE, .resets = TRUE },
  };
  Fixture fixture;

  fixture_open (&fixture, script, 2);
  lose_links (&fixture);
  sv_fixture_request (&fixture.core, "/again/1");
  advance (&fixture, 200 * KNL_MSEC);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, "good"));
  sv_fixture_request_upload (&fixture.core, "/stream/2", UPLOAD_BYTES);
  advance (&fixture, 200 * KNL_MSEC);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, "data: a"));
  CU_ASSERT_PTR_NULL (strstr (fixture.core.received->str, "\r\n0\r\n\r\n"));
  CU_ASSERT_TRUE (fixture.core.ended);
  fixture_close (&fixture);
}

/* Guards against a request that a second peer runs once more, because what an endpoint said after
 * it had run was taken for the first peer's refusal. */
static void
test_only_refusals_of_a_peer_are_passed_on (void)
{
  static const struct
  {
    ScriptedAnswer answer;
    guint passed_on;
  } rows[] = {
    { { "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %ID\r\nX-Not-Run: 1\r\n"
        "Content-Length: 0\r\n\r\n",
        FALSE },
      1 },
    { { "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %ID\r\nContent-Length: 0\r\n\r\n",
        FALSE },
      0 },
    { { "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", FALSE },
      0 },
    { { "HTTP/1.1 503 Service Unavailable\r\n" SIGNED "Content-Length: 0\r\n\r\n", FALSE }, 0 },
    { { NULL, TRUE }, 0 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      ScriptedEndpoint *second;
      Fixture fixture;

      fixture_open (&fixture, &rows[i].answer, 1);
      second = scripted_endpoint_new (fixture.core.base, &good, 1);
      lose_links (&fixture);
      sv_fixture_request (&fixture.core, "/once/1");
      while (scripted_endpoint_n_requests (fixture.peer) == 0)
        event_base_loop (fixture.core.base, EVLOOP_ONCE);
      sv_fixture_set_peer (scripted_endpoint_address (second));
      advance (&fixture, 200 * KNL_MSEC);
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.peer), 1);
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (second), rows[i].passed_on);
      CU_ASSERT_EQUAL (strstr (fixture.core.received->str, "good") != NULL, rows[i].passed_on > 0);
      scripted_endpoint_free (second);
      fixture_close (&fixture);
    }
}

/* Guards against requests that a second peer sends to endpoints again, as what those of the first
 * have rejected is no retry of anybody's. */
static void
test_a_second_peer_needs_a_retry (void)
{
  static const struct
  {
    ScriptedAnswer answer;
    guint passed_on;
  } rows[] = {
    { { "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %ID\r\nX-Not-Run: 1\r\n"
        "Content-Length: 0\r\n\r\n",
        FALSE },
      1 },
    { { "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %ID\r\nX-Not-Run: 1\r\n"
        "Alderturn-Was-Sent: 1\r\nContent-Length: 0\r\n\r\n",
        FALSE },
      0 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      ScriptedEndpoint *second;
      Fixture fixture;

      fixture_open (&fixture, &rows[i].answer, 1);
      second = scripted_endpoint_new (fixture.core.base, &good, 1);
      lose_links (&fixture);
      fixture.core.core->bounds.retries.slack = 0;
      sv_fixture_request (&fixture.core, "/once/1");
      while (scripted_endpoint_n_requests (fixture.peer) == 0)
        event_base_loop (fixture.core.base, EVLOOP_ONCE);
      sv_fixture_set_peer (scripted_endpoint_address (second));
      advance (&fixture, 200 * KNL_MSEC);
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (second), rows[i].passed_on);
      scripted_endpoint_free (second);
      fixture_close (&fixture);
    }
}

#define PASSED 20

/* Guards against requests that earn retries twice: at the instance that passes them on, and at the
 * one that takes them. The latter says whether endpoints have got them. */
static void
test_passed_requests_earn_no_retries (void)
{
  static const ScriptedAnswer rejects = { "HTTP/1.1 503 Service Unavailable\r\n"
                                          "X-Attempt-Id: %ID\r\nX-Not-Run: 1\r\n"
                                          "Content-Length: 0\r\n\r\n",
                                          FALSE };
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  for (guint i = 0; i < 3; i++)
    sv_fixture_add_endpoint (&fixture, &rejects, 1);
  fixture.core->bounds.retries.slack = 0;
  fixture.is_passed = TRUE;
  for (guint i = 0; i < PASSED; i++)
    {
      guint sent = sv_fixture_all_requests (&fixture);

      sv_fixture_request (&fixture, "/again/1");
      sv_fixture_wait_for (&fixture, "\r\n\r\n");
      CU_ASSERT_EQUAL (strstr (fixture.received->str, "alderturn-was-sent: 1") != NULL,
                       sv_fixture_all_requests (&fixture) > sent);
    }
  CU_ASSERT (sv_fixture_all_requests (&fixture) > 0);
  CU_ASSERT (sv_fixture_all_requests (&fixture) <= PASSED);
  sv_fixture_close (&fixture);
}

/* Guards against a peer that can't tell this instance's refusal from an endpoint's status. */
static void
test_refusals_to_a_peer_say_that_nothing_ran (void)
{
  SvFixture fixture;

  for (guint passed = 0; passed < 2; passed++)
    {
      sv_fixture_open (&fixture);
      sv_fixture_use_config (&fixture, 1, "key");
      fixture.is_passed = passed;
      sv_fixture_request (&fixture, "/once/1");
      sv_fixture_wait_for (&fixture, "\r\n\r\n");
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 503"));
      CU_ASSERT_EQUAL (strstr (fixture.received->str, "X-Not-Run: 1") != NULL, passed);
      sv_fixture_close (&fixture);
    }
}

/* Guards against an instance that has passed on the word that an endpoint leaves, and goes on
 * sending to that endpoint: its peer had got the answer. */
static void
test_leaving_endpoints_of_a_peer_are_noted (void)
{
  static const ScriptedAnswer leaving = { "HTTP/1.1 200 OK\r\n" SIGNED "X-Instance-Id: u-1\r\n"
                                          "Server-Leaving: 1\r\nContent-Length: 4\r\n\r\ngood",
                                          FALSE };
  static const char *const paths[] = { "/once/1", "/stream/1" };

  for (guint i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      Fixture fixture;

      fixture_open (&fixture, &leaving, 1);
      lose_links (&fixture);
      sv_fixture_request (&fixture.core, paths[i]);
      advance (&fixture, 200 * KNL_MSEC);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, "good"));
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, "Server-Leaving"));
      CU_ASSERT_PTR_NULL (strstr (fixture.core.received->str, "X-Instance-Id"));
      for (guint j = 0; j < 4; j++)
        {
          const SvEndpoint *endpoint = g_ptr_array_index (sv_fleet_all (fixture.core.fleet), j);

          CU_ASSERT_EQUAL (endpoint->advertised_leaving_at > 0, strcmp (endpoint->id, "u-1") == 0);
        }
      fixture_close (&fixture);
    }
}

/* Guards against a peer that can't tell which endpoint's answer it hands over. */
static void
test_answers_to_a_peer_name_their_endpoint (void)
{
  static const ScriptedAnswer stream = { "HTTP/1.1 200 OK\r\n" SIGNED
                                         "Content-Length: 15\r\n\r\nid: 0\ndata: x\n\n",
                                         FALSE };
  static const char *const paths[] = { "/once/1", "/stream/1" };

  for (guint i = 0; i < 2 * G_N_ELEMENTS (paths); i++)
    {
      SvFixture fixture;

      sv_fixture_open (&fixture);
      sv_fixture_use_config (&fixture, 1, "key");
      sv_fixture_add_endpoint (&fixture, i / 2 == 0 ? &good : &stream, 1);
      fixture.is_passed = i % 2;
      sv_fixture_request (&fixture, paths[i / 2]);
      sv_fixture_wait_for (&fixture, "\r\n\r\n");
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 200"));
      CU_ASSERT_EQUAL (strstr (fixture.received->str, "X-Instance-Id: i-0") != NULL, i % 2);
      sv_fixture_close (&fixture);
    }
}

/* Guards against work for callers that have left: the peer is told by the end of its connection. */
static void
test_disconnected_callers_are_cancelled_at_the_peer (void)
{
  static const ScriptedAnswer silent = { NULL, FALSE };
  Fixture fixture;

  fixture_open (&fixture, &silent, 1);
  lose_links (&fixture);
  sv_fixture_request (&fixture.core, "/once/1");
  advance (&fixture, 100 * KNL_MSEC);
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.peer), 1);
  g_clear_pointer (&fixture.core.caller, bufferevent_free);
  advance (&fixture, 100 * KNL_MSEC);
  CU_ASSERT_EQUAL (scripted_endpoint_n_closed_by_peer (fixture.peer), 1);
  CU_ASSERT_EQUAL (sv_core_n_requests (fixture.core.core), 0);
  fixture_close (&fixture);
}

/* Guards against an instance that stays cut off in its own eyes after its links are back. */
static void
test_links_are_regained (void)
{
  Fixture fixture;

  fixture_open (&fixture, &good, 1);
  lose_links (&fixture);
  sv_fixture_add_endpoint (&fixture.core, &good, 1);
  set_addresses (&fixture, scripted_endpoint_address (fixture.core.endpoints[0]));
  advance (&fixture, KNL_SEC);
  sv_fixture_request (&fixture.core, "/once/1");
  advance (&fixture, 100 * KNL_MSEC);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, "good"));
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.peer), 0);
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.core.endpoints[0]), 1);
  fixture_close (&fixture);
}

/* Guards against an instance that reaches one endpoint of many, and goes on losing its callers'
 * requests at the others. */
static void
test_one_endpoint_reached_is_not_enough (void)
{
  Fixture fixture;

  fixture_open (&fixture, &good, 1);
  lose_links (&fixture);
  sv_fixture_add_endpoint (&fixture.core, &good, 1);
  advance (&fixture, KNL_SEC);
  sv_fixture_request (&fixture.core, "/once/1");
  advance (&fixture, 100 * KNL_MSEC);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, "good"));
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.peer), 1);
  fixture_close (&fixture);
}

/* Guards against an outage of all endpoints that is taken for this instance's own: no peer could
 * serve the requests either. */
static void
test_an_outage_for_all_is_no_loss_of_links (void)
{
  Fixture fixture;

  fixture_open (&fixture, &good, 1);
  sv_fixture_request (&fixture.core, "/again/first");
  sv_fixture_wait_for (&fixture.core, "HTTP/1.1 503");
  for (guint i = 0; i < 10; i++)
    {
      knl_paused_clock_advance (fixture.core.clock, 100 * KNL_MSEC);
      event_base_loop (fixture.core.base, EVLOOP_NONBLOCK);
      knl_kernel_run_due (fixture.core.kernel);
    }
  sv_fixture_request (&fixture.core, "/again/1");
  sv_fixture_wait_for (&fixture.core, "HTTP/1.1 503");
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.peer), 0);
  fixture_close (&fixture);
}

/* Guards against a single endpoint that is down, and is taken for the loss of all links. */
static void
test_one_endpoint_down_is_no_loss_of_links (void)
{
  Fixture fixture;

  fixture_open (&fixture, &good, 1);
  for (guint i = 0; i < 3; i++)
    sv_fixture_add_endpoint (&fixture.core, &good, 1);
  for (guint i = 0; i < 5; i++)
    {
      sv_fixture_request (&fixture.core, "/again/1");
      advance (&fixture, 100 * KNL_MSEC);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, "good"));
    }
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.peer), 0);
  fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "callers are served through a peer", test_callers_are_served_through_a_peer },
  { "requests are passed on unchanged", test_requests_are_passed_on_unchanged },
  { "answers of a peer", test_answers_of_a_peer },
  { "torn heads of a peer", test_torn_heads_of_a_peer },
  { "broken heads of a peer", test_broken_heads_of_a_peer },
  { "early resets of a peer", test_early_resets_of_a_peer },
  { "early resets of streams of a peer", test_early_resets_of_streams_of_a_peer },
  { "only refusals of a peer are passed on", test_only_refusals_of_a_peer_are_passed_on },
  { "a second peer needs a retry", test_a_second_peer_needs_a_retry },
  { "passed requests earn no retries", test_passed_requests_earn_no_retries },
  { "refusals to a peer say that nothing ran", test_refusals_to_a_peer_say_that_nothing_ran },
  { "leaving endpoints of a peer are noted", test_leaving_endpoints_of_a_peer_are_noted },
  { "answers to a peer name their endpoint", test_answers_to_a_peer_name_their_endpoint },
  { "disconnected callers are cancelled at the peer",
    test_disconnected_callers_are_cancelled_at_the_peer },
  { "links are regained", test_links_are_regained },
  { "one endpoint reached is not enough", test_one_endpoint_reached_is_not_enough },
  { "an outage for all is no loss of links", test_an_outage_for_all_is_no_loss_of_links },
  { "one endpoint down is no loss of links", test_one_endpoint_down_is_no_loss_of_links },
};

SUITE_MAIN ("sv_pass", cases)
