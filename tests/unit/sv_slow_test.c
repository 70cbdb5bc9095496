/** Streams whose caller doesn't read for a while, through the whole core. */

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "common/log.h"
#include "suite.h"
#include "sv_fixture.h"

#define N_EVENTS    200
#define EVENT_BYTES 4000

/* Most bytes that an instance may hold for one stream. */
#define MAX_UNSENT ((gsize)300 << 10)

static GString *
events_up_to (guint n)
{
  g_autofree char *filler = g_strnfill (EVENT_BYTES, 'x');
  GString *events = g_string_new (NULL);

  for (guint i = 1; i <= n; i++)
    g_string_append_printf (events, "id: %u\ndata: %s\n\n", i, filler);
  return events;
}

/* An answer with a stream; if `is_cut`, one that ends within an event. */
static char *
answer_with_stream (gboolean has_length, gboolean is_cut)
{
  GString *events = events_up_to (N_EVENTS);
  GString *answer = g_string_new ("HTTP/1.1 200 OK\r\n" SIGNED);

  if (has_length)
    g_string_append_printf (answer, "Content-Length: %" G_GSIZE_FORMAT "\r\n", events->len);
  g_string_append (answer, "\r\n");
  if (is_cut)
    g_string_truncate (events, events->len * 3 / 4 - EVENT_BYTES / 2);
  g_string_append_len (answer, events->str, (gssize)events->len);
  g_string_free (events, TRUE);
  return g_string_free (answer, FALSE);
}

static void
on_caller_readable (struct bufferevent *stream, void *data)
{
  SvFixture *fixture = data;
  struct evbuffer *input = bufferevent_get_input (stream);
  gsize length = evbuffer_get_length (input);

  g_string_append_len (fixture->received, (const char *)evbuffer_pullup (input, -1),
                       (gssize)length);
  evbuffer_drain (input, length);
}

static void
on_caller_event (struct bufferevent *stream, short what, void *data)
{
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    ((SvFixture *)data)->ended = TRUE;
}

/* The caller's socket has small buffers and segments, so that what it leaves unread stays with the
 * instance, and not in the kernel. */
static void
open_slow_caller (SvFixture *fixture)
{
  const int buffer = 16384;
  const int segment = 2048;
  evutil_socket_t fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct sockaddr_storage peer;
  int length = sizeof peer;

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  fixture->caller = bufferevent_socket_new (fixture->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (fixture->caller, on_caller_readable, NULL, on_caller_event, fixture);
  evutil_parse_sockaddr_port (fixture->address, (struct sockaddr *)&peer, &length);
  bufferevent_socket_connect (fixture->caller, (struct sockaddr *)&peer, length);
  bufferevent_disable (fixture->caller, EV_READ);
}

/* Requests a stream, and lets it run until the caller's not reading has stopped it. */
static void
start_unread_stream (SvFixture *fixture)
{
  open_slow_caller (fixture);
  sv_fixture_request (fixture, "/stream/1");
  sv_fixture_wait_requests (fixture, 0, 1);
  while (ht_server_unsent (fixture->front) < MAX_UNSENT / 2)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
}

static void
check_has_each_event_once (const SvFixture *fixture)
{
  for (guint i = 1; i <= N_EVENTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("id: %u\n", i);
      const char *found = strstr (fixture->received->str, id);

      CU_ASSERT_PTR_NOT_NULL (found);
      CU_ASSERT (found == NULL || strstr (found + 1, id) == NULL);
    }
}

/* Guards against a stream that is taken away from its endpoint as silent while it is its caller
 * that doesn't read, and against one that is read on without bound meanwhile. */
static void
test_endpoint_is_not_silent_while_its_caller_pauses (void)
{
  g_autofree char *answer = answer_with_stream (TRUE, FALSE);
  const ScriptedAnswer script = { answer, FALSE };
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  sv_fixture_add_endpoint (&fixture, &script, 1);
  sv_fixture_add_endpoint (&fixture, &script, 1);
  start_unread_stream (&fixture);
  for (guint i = 0; i < 30; i++)
    {
      knl_paused_clock_advance (fixture.clock, 100 * KNL_MSEC);
      event_base_loop (fixture.base, EVLOOP_NONBLOCK);
      CU_ASSERT (ht_server_unsent (fixture.front) <= MAX_UNSENT);
    }
  bufferevent_enable (fixture.caller, EV_READ);
  sv_fixture_wait_for (&fixture, "\r\n0\r\n\r\n");
  CU_ASSERT_FALSE (fixture.ended);
  CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), 1);
  check_has_each_event_once (&fixture);
  sv_fixture_close (&fixture);
}

static void
count_crash_lines (const char *line, gpointer data)
{
  *(guint *)data += strstr (line, "\"crash-suspected\"") != NULL;
}

static const SvEndpoint *
find_endpoint (const SvFleet *fleet, const char *id)
{
  const GPtrArray *endpoints = sv_fleet_all (fleet);

  for (guint i = 0; i < endpoints->len; i++)
    {
      const SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (g_str_equal (endpoint->id, id))
        return endpoint;
    }
  return NULL;
}

/* Guards against a request that is refused as one that crashes endpoints, and against an endpoint
 * that gets no more requests, after an endpoint has cut off what a caller left unread. */
static void
test_cut_off_of_unread_stream_is_no_crash (void)
{
  static const gboolean have_length[] = { TRUE, FALSE };

  for (guint i = 0; i < G_N_ELEMENTS (have_length); i++)
    {
      g_autofree char *cut = answer_with_stream (have_length[i], TRUE);
      g_autofree char *whole = answer_with_stream (TRUE, FALSE);
      const ScriptedAnswer cuts = { cut, TRUE };
      const ScriptedAnswer completes = { whole, FALSE };
      SvFixture fixture;
      guint n_crashes = 0;
      const SvEndpoint *first;

      sv_fixture_open (&fixture);
      cm_log_set_sink (count_crash_lines, &n_crashes);
      sv_fixture_use_config (&fixture, 1, "key");
      sv_fixture_add_endpoint (&fixture, &cuts, 1);
      sv_fixture_add_endpoint (&fixture, &completes, 1);
      start_unread_stream (&fixture);
      knl_paused_clock_advance (fixture.clock, 2 * KNL_SEC);
      bufferevent_enable (fixture.caller, EV_READ);
      sv_fixture_wait_for (&fixture, "\r\n0\r\n\r\n");
      CU_ASSERT_FALSE (fixture.ended);
      check_has_each_event_once (&fixture);
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[1]), 1);
      CU_ASSERT_EQUAL (n_crashes, 0);
      first = find_endpoint (fixture.fleet, "i-0");
      CU_ASSERT_EQUAL (first->health.losses, 0);
      cm_log_set_sink (NULL, NULL);
      sv_fixture_close (&fixture);
    }
}

static const SuiteCase cases[] = {
  { "an endpoint isn't silent while its caller pauses",
    test_endpoint_is_not_silent_while_its_caller_pauses },
  { "a cut-off of an unread stream is no crash", test_cut_off_of_unread_stream_is_no_crash },
};

SUITE_MAIN ("sv_slow", cases)
