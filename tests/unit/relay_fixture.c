#include "relay_fixture.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "common/log.h"
#include "tests/fakes/small_buffers.h"

/* Time limit of a test, long enough that a slow machine doesn't exceed it. */
#define TEST_TIMEOUT_S 20

/* The endpoint sends its answers in pieces of this size. */
#define PIECE_BYTES 10000

#define MAX_BYTES ((gsize)64 << 20)

typedef struct
{
  RelayFixture *fixture;
  HtCall *call;
  HtExchange *exchange;
  gboolean streams;
} Relay;

/* A connection to the endpoint that doesn't read. */
typedef struct
{
  RelayFixture *fixture;
  struct bufferevent *stream;
  HtReader *reader;
} DeafLink;

static struct
{
  struct evconnlistener *listener;
  GPtrArray *links; /* DeafLink */
  gboolean reads;
} deaf;

static const HtLimits limits = { 16384, MAX_BYTES };
static const HtReaderEvents no_events = { 0 };

static char
byte_at (gsize position)
{
  return (char)('a' + position % 23);
}

static GString *
body_of (gsize length)
{
  GString *body = g_string_sized_new (length);

  for (gsize i = 0; i < length; i++)
    g_string_append_c (body, byte_at (i));
  return body;
}

/* The endpoint that reads */

static void
on_endpoint_request (HtCall *call, gpointer data)
{
  RelayFixture *self = data;
  const HtMessage *request = ht_call_request (call);
  gsize length = strtoul (strrchr (request->target, '/') + 1, NULL, 10);
  GString *body = body_of (length);

  self->n_requests++;
  self->body_length = request->body->len;
  ht_call_begin (call, 200, NULL);
  for (gsize sent = 0; sent < length; sent += PIECE_BYTES)
    ht_call_send (call, body->str + sent, MIN (PIECE_BYTES, length - sent));
  ht_call_end (call);
  g_string_free (body, TRUE);
}

static const HtServerEvents endpoint_events = { .request = on_endpoint_request };

/* The endpoint that doesn't */

static void
on_deaf_readable (struct bufferevent *stream, void *data)
{
  DeafLink *link = data;
  struct evbuffer *input = bufferevent_get_input (stream);
  gsize length = evbuffer_get_length (input);
  gsize consumed = 0;
  static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  if (ht_reader_feed (link->reader, (const char *)evbuffer_pullup (input, -1), length, &consumed)
      == HT_READ_COMPLETE)
    {
      link->fixture->n_requests++;
      link->fixture->body_length = ht_reader_message (link->reader)->body->len;
      bufferevent_write (stream, answer, strlen (answer));
    }
  evbuffer_drain (input, length);
}

static void
on_deaf_accept (struct evconnlistener *listener,
                evutil_socket_t fd,
                struct sockaddr *address,
                int length,
                void *data)
{
  DeafLink *link = g_new0 (DeafLink, 1);

  link->fixture = data;
  link->stream = bufferevent_socket_new (link->fixture->base, fd, BEV_OPT_CLOSE_ON_FREE);
  link->reader = ht_reader_new (FALSE, &limits, &no_events, NULL);
  bufferevent_setcb (link->stream, on_deaf_readable, NULL, NULL, link);
  if (deaf.reads)
    bufferevent_enable (link->stream, EV_READ);
  else
    bufferevent_disable (link->stream, EV_READ);
  g_ptr_array_add (deaf.links, link);
}

static void
deaf_link_free (gpointer data)
{
  DeafLink *link = data;

  bufferevent_free (link->stream);
  ht_reader_free (link->reader);
  g_free (link);
}

void
relay_fixture_use_deaf_endpoint (RelayFixture *self)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;

  deaf.links = g_ptr_array_new_with_free_func (deaf_link_free);
  deaf.reads = FALSE;
  deaf.listener = evconnlistener_new_bind (self->base, on_deaf_accept, self, LEV_OPT_CLOSE_ON_FREE,
                                           -1, (struct sockaddr *)&address, sizeof address);
  g_assert_nonnull (deaf.listener);
  small_buffers_set (evconnlistener_get_fd (deaf.listener));
  getsockname (evconnlistener_get_fd (deaf.listener), (struct sockaddr *)&address, &length);
  g_free (self->endpoint_address);
  self->endpoint_address = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
}

void
relay_fixture_let_endpoint_read (RelayFixture *self)
{
  deaf.reads = TRUE;
  for (guint i = 0; i < deaf.links->len; i++)
    bufferevent_enable (((DeafLink *)g_ptr_array_index (deaf.links, i))->stream, EV_READ);
}

/* The relay */

static HtHeadVerdict
on_relay_head (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  Relay *relay = data;

  if (relay->streams)
    ht_call_begin (relay->call, answer->status, NULL);
  return HT_HEAD_ACCEPT;
}

static void
on_relay_body (HtExchange *exchange, const char *bytes, gsize length, gpointer data)
{
  ht_call_send (((Relay *)data)->call, bytes, length);
}

static void
on_relay_done (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  Relay *relay = data;

  if (relay->streams)
    ht_call_end (relay->call);
  else
    ht_call_answer (relay->call, answer->status, NULL, answer->body->str, answer->body->len);
  g_free (relay);
}

static void
on_relay_failed (HtExchange *exchange, HtFailure failure, gpointer data)
{
  Relay *relay = data;

  relay->fixture->n_unsent += failure == HT_FAIL_UNSENT;
  ht_call_abort (relay->call);
  g_free (relay);
}

static const HtExchangeEvents stream_events = {
  .head = on_relay_head,
  .body = on_relay_body,
  .done = on_relay_done,
  .failed = on_relay_failed,
};

static const HtExchangeEvents whole_events = {
  .head = on_relay_head,
  .done = on_relay_done,
  .failed = on_relay_failed,
};

static void
on_front_request (HtCall *call, gpointer data)
{
  RelayFixture *self = data;
  const HtMessage *request = ht_call_request (call);
  Relay *relay = g_new0 (Relay, 1);
  g_autofree char *head =
      g_strdup_printf ("%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %" G_GSIZE_FORMAT "\r\n",
                       request->method, request->target, request->body->len);
  HtExchangeRequest exchange = {
    .address = self->endpoint_address,
    .head = head,
    .body = request->body->str,
    .body_length = request->body->len,
    .connect_timeout = KNL_SEC,
    .max_idle = KNL_SEC,
    .forward_to = call,
  };

  relay->fixture = self;
  relay->call = call;
  relay->streams = g_str_has_prefix (request->target, "/stream/");
  ht_call_set_data (call, relay);
  relay->exchange = ht_client_send (self->client, &exchange,
                                    relay->streams ? &stream_events : &whole_events, relay);
}

static void
on_front_disconnected (HtCall *call, gpointer data)
{
  Relay *relay = ht_call_data (call);

  ht_exchange_cancel (relay->exchange);
  g_free (relay);
}

static const HtServerEvents front_events = { .request = on_front_request,
                                             .disconnected = on_front_disconnected };

/* The fixture */

static void
on_log_line (const char *line, gpointer data)
{
  RelayFixture *self = data;

  if (strstr (line, "slow-reader-ended") == NULL)
    return;
  self->n_ended++;
  g_string_append_printf (self->ended, "%s\n", line);
}

static void
on_test_timeout (evutil_socket_t fd, short what, void *data)
{
  g_error ("test did not finish in time");
}

static HtServer *
open_server (RelayFixture *self, gsize max_unsent, const HtServerEvents *events, char **address)
{
  HtServerLimits server_limits = {
    .message = limits,
    .head_timeout = KNL_SEC,
    .request_timeout = KNL_SEC,
    .idle_timeout = 15 * KNL_SEC,
    .max_connections = 100,
    .max_unsent = max_unsent,
  };
  HtServer *server = NULL;

  for (guint port = 21000; server == NULL; port++)
    {
      g_free (*address);
      *address = g_strdup_printf ("127.0.0.1:%u", port);
      server = ht_server_new (self->kernel, self->base, *address, &server_limits, events, self);
    }
  return server;
}

void
relay_fixture_open (RelayFixture *self, gsize bound)
{
  struct timeval limit = { .tv_sec = TEST_TIMEOUT_S };

  /* As in the programs: callers still send when they are ended. */
  signal (SIGPIPE, SIG_IGN);
  *self = (RelayFixture){ .base = event_base_new (), .clock = knl_paused_clock_new () };
  self->test_timeout = evtimer_new (self->base, on_test_timeout, NULL);
  evtimer_add (self->test_timeout, &limit);
  knl_paused_clock_advance (self->clock, 100 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 5);
  self->ended = g_string_new (NULL);
  cm_log_set_sink (on_log_line, self);
  self->unsent = ht_unsent_new (self->kernel, bound);
  self->client = ht_client_new (self->kernel, self->base, &limits, 10 * KNL_SEC);
  ht_client_count_unsent (self->client, self->unsent);
  self->endpoint = open_server (self, G_MAXSIZE, &endpoint_events, &self->endpoint_address);
  self->front = open_server (self, HT_DEFAULT_MAX_UNSENT, &front_events, &self->front_address);
  ht_server_count_unsent (self->front, self->unsent);
}

void
relay_fixture_close (RelayFixture *self)
{
  for (guint i = 0; i < self->n_callers; i++)
    {
      bufferevent_free (self->callers[i].stream);
      ht_reader_free (self->callers[i].reader);
    }
  /* The connections of callers that have left are closed, and their exchanges cancelled. */
  while (ht_server_n_connections (self->front) > 0)
    event_base_loop (self->base, EVLOOP_ONCE);
  ht_server_free (self->front);
  ht_client_free (self->client);
  ht_server_free (self->endpoint);
  if (deaf.listener != NULL)
    {
      evconnlistener_free (deaf.listener);
      g_ptr_array_unref (deaf.links);
      deaf.listener = NULL;
    }
  g_assert_cmpuint (ht_unsent_bytes (self->unsent), ==, 0);
  ht_unsent_free (self->unsent);
  cm_log_set_sink (NULL, NULL);
  /* Connections with a pending callback are freed by the loop. */
  event_base_loop (self->base, EVLOOP_NONBLOCK);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
  event_free (self->test_timeout);
  event_base_free (self->base);
  g_string_free (self->ended, TRUE);
  g_free (self->front_address);
  g_free (self->endpoint_address);
}

/* On a busy machine a test may take longer than the time after which the kernel ends connections
 * with closed windows. */
static void
disable_user_timeouts (void)
{
  static const int never = 0;

  for (int fd = 0; fd < RELAY_MAX_FD; fd++)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &never, sizeof never);
}

static void
turn (RelayFixture *self, int flags)
{
  if (!self->keeps_user_timeouts)
    disable_user_timeouts ();
  event_base_loop (self->base, flags);
  knl_kernel_run_due (self->kernel);
  self->peak = MAX (self->peak, ht_unsent_bytes (self->unsent));
}

void
relay_fixture_turn (RelayFixture *self, guint n)
{
  for (guint i = 0; i < n; i++)
    turn (self, EVLOOP_NONBLOCK);
}

/* The callers */

static void
on_caller_body (const char *bytes, gsize length, gpointer data)
{
  RelayCaller *self = data;

  for (gsize i = 0; i < length; i++)
    self->differs |= bytes[i] != byte_at (self->length + i);
  self->length += length;
}

static const HtReaderEvents caller_reader_events = { .body = on_caller_body };

static void
on_caller_readable (struct bufferevent *stream, void *data)
{
  RelayCaller *self = data;
  struct evbuffer *input = bufferevent_get_input (stream);
  gsize length = evbuffer_get_length (input);
  gsize consumed = 0;

  if (!self->complete)
    self->complete =
        ht_reader_feed (self->reader, (const char *)evbuffer_pullup (input, -1), length, &consumed)
        == HT_READ_COMPLETE;
  evbuffer_drain (input, length);
}

static void
on_caller_event (struct bufferevent *stream, short what, void *data)
{
  RelayCaller *self = data;

  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  self->has_ended = TRUE;
  if ((what & BEV_EVENT_EOF) != 0 && ht_reader_finish (self->reader) == HT_READ_COMPLETE)
    self->complete = TRUE;
}

static void
write_request (RelayCaller *self, const char *target, const char *version, gsize body_length)
{
  GString *request = g_string_new (NULL);
  char *zeros = g_malloc0 (body_length + 1);

  g_string_printf (request,
                   "%s %s HTTP/%s\r\nHost: h\r\nContent-Length: %" G_GSIZE_FORMAT "\r\n\r\n",
                   body_length > 0 ? "POST" : "GET", target, version, body_length);
  g_string_append_len (request, zeros, (gssize)body_length);
  g_free (zeros);
  bufferevent_write (self->stream, request->str, request->len);
  g_string_free (request, TRUE);
}

RelayCaller *
relay_fixture_call (RelayFixture *self, const char *target, const char *version, gsize body_length)
{
  RelayCaller *caller = &self->callers[self->n_callers++];
  struct sockaddr_storage peer;
  int length = sizeof peer;
  evutil_socket_t fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  small_buffers_set (fd);
  caller->fixture = self;
  caller->reader = ht_reader_new (TRUE, &limits, &caller_reader_events, caller);
  caller->stream = bufferevent_socket_new (self->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (caller->stream, on_caller_readable, NULL, on_caller_event, caller);
  evutil_parse_sockaddr_port (self->front_address, (struct sockaddr *)&peer, &length);
  bufferevent_socket_connect (caller->stream, (struct sockaddr *)&peer, length);
  bufferevent_enable (caller->stream, EV_WRITE);
  write_request (caller, target, version, body_length);
  return caller;
}

void
relay_caller_set_reading (RelayCaller *self, gboolean reads)
{
  if (reads)
    bufferevent_enable (self->stream, EV_READ);
  else
    bufferevent_disable (self->stream, EV_READ);
}

void
relay_caller_call_again (RelayCaller *self, const char *target)
{
  ht_reader_begin (self->reader, FALSE);
  self->complete = FALSE;
  self->length = 0;
  write_request (self, target, "1.1", 0);
}

void
relay_caller_wait (RelayCaller *self)
{
  while (!self->complete && !self->has_ended)
    turn (self->fixture, EVLOOP_ONCE);
}
