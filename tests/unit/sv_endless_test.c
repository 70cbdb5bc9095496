/** Endpoints in trouble that send bytes which are no answer, without end, until their connection is
 * closed. */

#include <event2/buffer.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <string.h>

#include "http/reader.h"
#include "suite.h"
#include "sv_fixture.h"

#define GOOD_BYTES "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood"
#define HEAD       "HTTP/1.1 200 OK\r\n" SIGNED
#define CHUNKED    HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define EVENTS     "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

/* Bytes that are written at a time, and after which the endpoint gives up: no answer is so long. */
#define PIECE_BYTES 16384
#define MAX_BYTES   ((gsize)256 << 20)

/* Interval between bytes of an endpoint that drips, and time by which it is given up: three times
 * the silence that is borne within a stream. */
#define DRIP_INTERVAL (100 * KNL_MSEC)
#define DRIP_TIME     (3 * KNL_SEC)

static const ScriptedAnswer good = { GOOD_BYTES, FALSE };
static const ScriptedAnswer rest_of_stream = { HEAD "\r\nid: 3\ndata: c\n\n", TRUE };

typedef struct
{
  const char *name;
  const char *prefix; /* "%ID" is replaced by the request's id */
  const char *filler; /* repeated without end */
} Stream;

static const Stream heads[] = {
  { "no HTTP", "", "x" },
  { "blank lines", "", "\r\n" },
  { "a status line", "HTTP/1.1 200 ", "O" },
  { "a field", "HTTP/1.1 200 OK\r\nX-A: ", "a" },
  { "a field's name", "HTTP/1.1 200 OK\r\n", "a" },
  { "fields", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n" },
  { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "interim answers with fields", "", "HTTP/1.1 103 Early\r\nX-A: a\r\n\r\n" },
};

static const Stream others[] = {
  { "answers to others", "",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 1\r\n\r\na" },
  { "an answer to another that ends its connection",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nConnection: close\r\nContent-Length: 1\r\n\r\na",
    "x" },
  { "answers to others in chunks", "",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"
    "1\r\na\r\n0\r\n\r\n" },
};

static const Stream bodies[] = {
  { "without a length", HEAD "\r\n", "x" },
  { "in chunks", CHUNKED, "5\r\nxxxxx\r\n" },
  { "an extension of a chunk", CHUNKED "5;a=", "b" },
  { "a chunk's size", CHUNKED, "0" },
  { "trailers", CHUNKED "0\r\n", "X-A: a\r\n" },
  { "of an answer to another request", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\n", "x" },
  { "of an unsigned answer", "HTTP/1.1 200 OK\r\nX-Attempt-Id: %ID\r\n\r\n", "x" },
};

static const Stream streams[] = {
  { "no line end", HEAD "\r\n", "x" },    { "a line of an event", HEAD "\r\ndata: ", "x" },
  { "lines", HEAD "\r\n", "xxxx\n" },     { "lines of an event", HEAD "\r\n", "data: x\n" },
  { "empty lines", HEAD "\r\n", "\n" },   { "blocks of lines", HEAD "\r\n", "xxxx\n\n" },
  { "comments", HEAD "\r\n", ": x\n\n" },
};

static const Stream begun_streams[] = {
  { "no line end after events", HEAD "\r\n" EVENTS, "x" },
  { "blocks of lines after events", HEAD "\r\n" EVENTS, "xxxx\n\n" },
};

/* An endpoint that answers each request with a stream of bytes. */
typedef struct
{
  const Stream *stream;
  gboolean drips; /* sends one byte only when it is told to */
  struct evconnlistener *listener;
  struct bufferevent *link; /* NULL: none, or closed */
  GString *piece;
  gboolean has_answered;
  gsize n_written;
  guint n_closed;
} Endless;

static void
write_piece (Endless *self)
{
  self->n_written += self->piece->len;
  bufferevent_write (self->link, self->piece->str, self->piece->len);
}

static void
on_written (struct bufferevent *link, void *data)
{
  Endless *self = data;

  if (self->has_answered && !self->drips && self->n_written < MAX_BYTES)
    write_piece (self);
}

static void
on_request_read (struct bufferevent *link, void *data)
{
  Endless *self = data;
  struct evbuffer *input = bufferevent_get_input (link);
  g_autofree char *request =
      g_strndup ((const char *)evbuffer_pullup (input, -1), evbuffer_get_length (input));
  const char *id = strstr (request, "X-Attempt-Id: ");
  GString *prefix = g_string_new (self->stream->prefix);

  evbuffer_drain (input, evbuffer_get_length (input));
  if (id == NULL || self->has_answered)
    {
      g_string_free (prefix, TRUE);
      return;
    }
  self->has_answered = TRUE;
  id += strlen ("X-Attempt-Id: ");
  request[(gsize)(id - request) + strcspn (id, "\r")] = '\0';
  g_string_replace (prefix, "%ID", id, 0);
  bufferevent_write (link, prefix->str, prefix->len);
  if (!self->drips)
    write_piece (self);
  g_string_free (prefix, TRUE);
}

static void
on_link_event (struct bufferevent *link, short what, void *data)
{
  Endless *self = data;

  self->n_closed++;
  g_clear_pointer (&self->link, bufferevent_free);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *peer,
           int length,
           void *data)
{
  Endless *self = data;

  self->link =
      bufferevent_socket_new (evconnlistener_get_base (listener), fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (self->link, on_request_read, on_written, on_link_event, self);
  bufferevent_enable (self->link, EV_READ | EV_WRITE);
}

/* Requests go to it first. */
static void
endless_open (Endless *self, SvFixture *fixture, const Stream *stream)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  SvEndpointEntry entry = { .id = "endless", .service = "s", .zone = "a", .slots = 4 };
  g_autofree char *text = NULL;

  *self = (Endless){ .stream = stream, .piece = g_string_new (NULL) };
  while (self->piece->len < PIECE_BYTES)
    g_string_append (self->piece, stream->filler);
  self->listener = evconnlistener_new_bind (fixture->base, on_accept, self, LEV_OPT_CLOSE_ON_FREE,
                                            -1, (struct sockaddr *)&address, sizeof address);
  g_assert_nonnull (self->listener);
  getsockname (evconnlistener_get_fd (self->listener), (struct sockaddr *)&address, &length);
  text = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
  entry.address = text;
  sv_fleet_update (fixture->fleet, &entry);
}

static void
endless_close (Endless *self)
{
  if (self->link != NULL)
    bufferevent_free (self->link);
  evconnlistener_free (self->listener);
  g_string_free (self->piece, TRUE);
}

/* Whether the caller has its whole answer, or none will come. */
static gboolean
is_over (const SvFixture *fixture, const Endless *endless, gboolean is_stream)
{
  const char *received = fixture->received->str;

  if (fixture->ended || endless->n_written >= MAX_BYTES)
    return TRUE;
  if (is_stream && strstr (received, "Transfer-Encoding: chunked") != NULL)
    return strstr (received, "\r\n0\r\n\r\n") != NULL;
  return strstr (received, "\r\n\r\n") != NULL;
}

/* Sends a request to the endless endpoint; another one, with `next`, is added then. */
static void
check (const Stream *stream, const char *path, const ScriptedAnswer *next, const char *wanted)
{
  SvFixture fixture;
  Endless endless;
  gboolean is_answered;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  endless_open (&endless, &fixture, stream);
  sv_fixture_request (&fixture, path);
  while (!endless.has_answered)
    event_base_loop (fixture.base, EVLOOP_ONCE);
  sv_fixture_add_endpoint (&fixture, next, 1);
  while (strstr (fixture.received->str, wanted) == NULL
         && !is_over (&fixture, &endless, g_str_has_prefix (path, "/stream")))
    {
      event_base_loop (fixture.base, EVLOOP_ONCE);
      knl_kernel_run_due (fixture.kernel);
    }
  is_answered = strstr (fixture.received->str, wanted) != NULL;
  if (!is_answered)
    g_printerr ("%s: %s: not answered after %" G_GSIZE_FORMAT " bytes\n", path, stream->name,
                endless.n_written);
  CU_ASSERT_TRUE (is_answered);
  for (guint i = 0; i < 100 && endless.n_closed == 0; i++)
    event_base_loop (fixture.base, EVLOOP_NONBLOCK);
  CU_ASSERT_EQUAL (endless.n_closed, 1);
  endless_close (&endless);
  sv_fixture_close (&fixture);
}

/* Guards against an answer to another request that is delivered after several were skipped. */
static void
test_answers_to_others_are_not_delivered (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (others); i++)
    {
      check (&others[i], "/again/1", &good, "good");
      check (&others[i], "/once/1", &good, "HTTP/1.1 502");
      check (&others[i], "/stream/1", &rest_of_stream, "id: 3");
    }
}

/* Guards against a caller that waits for as long as its endpoint sends a head, or a body, that
 * doesn't end, and against memory or time that such bytes take without a bound. */
static void
test_endless_answers_are_given_up (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      check (&heads[i], "/again/1", &good, "good");
      check (&heads[i], "/once/1", &good, "HTTP/1.1 502");
      check (&heads[i], "/stream/1", &rest_of_stream, "id: 3");
    }
  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      check (&bodies[i], "/again/1", &good, "good");
      check (&bodies[i], "/once/1", &good, "HTTP/1.1 502");
    }
}

/* Guards against a stream that never reaches its next event, as its endpoint sends other bytes: the
 * rest comes from another endpoint. */
static void
test_endless_streams_are_given_up (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (streams); i++)
    check (&streams[i], "/stream/1", &rest_of_stream, "id: 3");
  for (guint i = 0; i < G_N_ELEMENTS (begun_streams); i++)
    check (&begun_streams[i], "/stream/1", &rest_of_stream, "id: 3");
}

/* Guards against a stream whose endpoint shows with each byte that it lives, but sends no event. */
static void
test_dripping_streams_are_given_up (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (begun_streams); i++)
    {
      SvFixture fixture;
      Endless endless;

      sv_fixture_open (&fixture);
      sv_fixture_use_config (&fixture, 1, "key");
      endless_open (&endless, &fixture, &begun_streams[i]);
      endless.drips = TRUE;
      sv_fixture_request (&fixture, "/stream/1");
      sv_fixture_wait_for (&fixture, "id: 2");
      sv_fixture_add_endpoint (&fixture, &rest_of_stream, 1);
      for (guint j = 0; endless.link != NULL && j < DRIP_TIME / DRIP_INTERVAL; j++)
        {
          bufferevent_write (endless.link, &endless.piece->str[j], 1);
          knl_paused_clock_advance (fixture.clock, DRIP_INTERVAL);
          sv_core_confirm (fixture.core, knl_kernel_now (fixture.kernel));
          for (guint k = 0; k < 5; k++)
            event_base_loop (fixture.base, EVLOOP_NONBLOCK);
        }
      CU_ASSERT_EQUAL (endless.n_closed, 1);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "id: 3"));
      endless_close (&endless);
      sv_fixture_close (&fixture);
    }
}

/* Guards against an endpoint that gets one request after another although each of its answers has
 * had to be ended to keep the memory that is held below its bound. */
static void
test_endpoints_of_endless_bodies_are_left (void)
{
  const SvEndpoint *endpoint;
  SvFixture fixture;
  Endless endless;

  sv_fixture_open (&fixture);
  sv_fixture_bound_unsent (&fixture, 2 * HT_DEFAULT_MAX_UNSENT);
  sv_fixture_use_config (&fixture, 1, "key");
  endless_open (&endless, &fixture, &bodies[0]);
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_for (&fixture, "HTTP/1.1 502");
  CU_ASSERT (endless.n_written < MAX_BYTES);
  endpoint = g_ptr_array_index (sv_fleet_all (fixture.fleet), 0);
  CU_ASSERT_EQUAL (endpoint->health.losses, 1);
  sv_fixture_add_endpoint (&fixture, &good, 1);
  sv_fixture_request (&fixture, "/once/2");
  sv_fixture_wait_for (&fixture, "HTTP/1.1 ");
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[0]), 1);
  endless_close (&endless);
  sv_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "answers to others are not delivered", test_answers_to_others_are_not_delivered },
  { "endless answers are given up", test_endless_answers_are_given_up },
  { "endless streams are given up", test_endless_streams_are_given_up },
  { "dripping streams are given up", test_dripping_streams_are_given_up },
  { "endpoints of endless bodies are left", test_endpoints_of_endless_bodies_are_left },
};

SUITE_MAIN ("sv_endless", cases)
