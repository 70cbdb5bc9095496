#include "http/server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http_parser.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "common/settings.h"
#include "common/socket.h"
#include "http/flow_internal.h"
#include "http/socket.h"

/* Interval between checks for connections past their timeouts: a tenth of the shortest timeout. */
#define SWEEP_INTERVAL (250 * KNL_MSEC)

/* Bytes of the next request that are read ahead while one is answered; the rest stays in the
 * socket's receive buffer. Also the unsent answer bytes above which the next request isn't
 * processed. */
#define MAX_READ_AHEAD_BYTES 65536

/* How long a closing connection waits for the caller to receive more of the answer, and then to
 * close its side. */
#define CLOSE_TIMEOUT (2 * KNL_SEC)

#define CONTINUE_ANSWER "HTTP/1.1 100 Continue\r\n\r\n"

typedef struct Connection Connection;

struct HtCall
{
  Connection *connection;
  HtFlow flow;
  HtMessage *request;
  KnlTime begun_at;
  gboolean begun;
  gboolean keep_alive;
  gpointer data;
};

struct Connection
{
  HtServer *server;
  HtHolder holder;
  struct bufferevent *stream;
  HtReader *reader;
  HtCall *call;         /* the request being answered */
  KnlTime since;        /* start of the current timeout: connection accepted, first byte of
                           a request, end of an answer, or last progress in sending */
  gboolean reading;     /* part of a request has been received */
  gboolean closing;     /* waits only until the answer is sent and the caller has closed its side */
  gboolean half_closed; /* everything is sent, and the sending side is shut down */
  gboolean expect_handled; /* the Expect field of this request has been handled */
  gboolean is_behind;      /* the caller has left much of the answer unread */
  gsize unsent;            /* unsent answer bytes at the last sweep */
};

struct HtServer
{
  KnlKernel *kernel;
  struct event_base *base;
  struct evconnlistener *listener;
  HtServerLimits limits;
  HtUnsent *unsent; /* NULL: its connections aren't counted */
  const HtServerEvents *events;
  gpointer data;
  GHashTable *connections; /* set of Connection */
  KnlTimerId sweep_timer;
  gboolean draining;
};

static const HtReaderEvents reader_events = { 0 };

static void
call_free (HtCall *call)
{
  ht_flow_disconnect (&call->flow);
  ht_message_free (call->request);
  g_free (call);
}

static void
connection_free (Connection *self)
{
  if (self->call != NULL)
    call_free (self->call);
  ht_holder_leave (&self->holder);
  bufferevent_free (self->stream);
  ht_reader_free (self->reader);
  g_free (self);
}

static void
connection_drop (Connection *self)
{
  if (self->call != NULL && self->server->events->disconnected != NULL)
    self->server->events->disconnected (self->call, self->server->data);
  g_hash_table_remove (self->server->connections, self);
}

/* Resets the connection when it is closed: an answer that ends with its connection would appear
 * complete if the connection were closed in order. */
static void
set_reset_on_close (Connection *self)
{
  static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (bufferevent_getfd (self->stream), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

/* Ends a connection whose caller has left too much unread. */
static void
end_unread (Connection *self)
{
  set_reset_on_close (self);
  connection_drop (self);
}

static void
holder_end (HtHolder *holder)
{
  end_unread ((Connection *)((char *)holder - G_STRUCT_OFFSET (Connection, holder)));
}

static char *
holder_address (HtHolder *holder)
{
  Connection *self = (Connection *)((char *)holder - G_STRUCT_OFFSET (Connection, holder));

  return ht_socket_peer (bufferevent_getfd (self->stream));
}

static const HtHolderClass holder_class = { .address = holder_address, .end = holder_end };

static gsize
unsent_bytes (const Connection *self)
{
  return evbuffer_get_length (bufferevent_get_output (self->stream));
}

/* A connection whose caller is alive, but doesn't read, isn't to be taken for a broken one; only
 * where a bound on the sum ends such callers. */
static void
update_is_behind (Connection *self)
{
  gboolean is_behind = self->server->unsent != NULL && unsent_bytes (self) > MAX_READ_AHEAD_BYTES;

  if (is_behind == self->is_behind)
    return;
  self->is_behind = is_behind;
  ht_socket_tolerate_slow_reader (bufferevent_getfd (self->stream), is_behind);
}

/*
 * Closing a socket with unread input resets the connection, and the reset discards answer bytes
 * that the caller hasn't read yet. So only the sending side is shut down, and further input is
 * dropped until the caller closes its side.
 */
static void
shut_down_sending (Connection *self)
{
  self->half_closed = TRUE;
  self->since = knl_kernel_now (self->server->kernel);
  shutdown (bufferevent_getfd (self->stream), SHUT_WR);
}

static void
close_after_answer (Connection *self)
{
  self->closing = TRUE;
  self->since = knl_kernel_now (self->server->kernel);
  if (unsent_bytes (self) == 0)
    shut_down_sending (self);
}

static void
write_text (Connection *self, const char *text, gsize length)
{
  bufferevent_write (self->stream, text, length);
}

static void
write_head (HtCall *call, guint status, const char *fields, const char *framing)
{
  Connection *self = call->connection;
  g_autofree char *head = NULL;

  if (self->server->draining)
    call->keep_alive = FALSE;
  head = g_strdup_printf ("HTTP/1.1 %u %s\r\n%s%s%s\r\n", status,
                          http_status_str ((enum http_status)status), fields != NULL ? fields : "",
                          framing, call->keep_alive ? "" : "Connection: close\r\n");
  write_text (self, head, strlen (head));
}

static void
finish_answer (HtCall *call)
{
  Connection *self = call->connection;
  gboolean keep = call->keep_alive && !self->server->draining;

  self->call = NULL;
  call_free (call);
  update_is_behind (self);
  if (keep)
    {
      self->since = knl_kernel_now (self->server->kernel);
      ht_reader_begin (self->reader, FALSE);
    }
  else
    close_after_answer (self);
  if (evbuffer_get_length (bufferevent_get_input (self->stream)) > 0)
    bufferevent_trigger (self->stream, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

static void
send_refusal (Connection *self, guint status)
{
  HtServer *server = self->server;
  GString *fields = g_string_new (NULL);
  GString *body = server->events->refusal != NULL
                      ? server->events->refusal (status, fields, server->data)
                      : g_string_new (NULL);
  g_autofree char *head = g_strdup_printf (
      "HTTP/1.1 %u %s\r\n%sContent-Length: %" G_GSIZE_FORMAT "\r\nConnection: close\r\n\r\n",
      status, http_status_str ((enum http_status)status), fields->str, body->len);

  self->reading = FALSE;
  write_text (self, head, strlen (head));
  write_text (self, body->str, body->len);
  g_string_free (body, TRUE);
  g_string_free (fields, TRUE);
  close_after_answer (self);
}

static void
handle_request (Connection *self)
{
  HtCall *call = g_new0 (HtCall, 1);

  call->connection = self;
  call->flow.stream = self->stream;
  call->request = ht_reader_steal (self->reader);
  call->begun_at = self->since;
  call->keep_alive = call->request->keep_alive;
  self->call = call;
  self->reading = self->expect_handled = FALSE;
  self->server->events->request (call, self->server->data);
}

/* Handles the Expect field: a caller may wait for 100 Continue before it sends the body. */
static void
handle_expect (Connection *self)
{
  const char *expected;

  if (self->expect_handled || !ht_reader_has_head (self->reader))
    return;
  self->expect_handled = TRUE;
  expected = ht_message_get (ht_reader_message (self->reader), "expect");
  if (expected == NULL || !ht_reader_message (self->reader)->supports_chunked)
    return;
  if (g_ascii_strcasecmp (expected, "100-continue") == 0)
    write_text (self, CONTINUE_ANSWER, strlen (CONTINUE_ANSWER));
  else
    send_refusal (self, 417);
}

/* A bufferevent whose input has reached its high watermark and isn't consumed calls back again and
 * again, so it isn't read until the input can be processed. */
static void
set_reading (Connection *self, gboolean reads)
{
  if (reads == ((bufferevent_get_enabled (self->stream) & EV_READ) != 0))
    return;
  if (reads)
    bufferevent_enable (self->stream, EV_READ);
  else
    bufferevent_disable (self->stream, EV_READ);
}

static void
process_input (Connection *self)
{
  struct evbuffer *input = bufferevent_get_input (self->stream);
  gsize length = evbuffer_get_length (input);
  gsize consumed = 0;
  HtReadStatus status;

  if (self->closing)
    {
      evbuffer_drain (input, length);
      set_reading (self, TRUE);
      return;
    }
  if (self->call != NULL || length == 0 || unsent_bytes (self) > MAX_READ_AHEAD_BYTES)
    {
      set_reading (self, length < MAX_READ_AHEAD_BYTES);
      return;
    }
  set_reading (self, TRUE);
  if (!self->reading)
    {
      self->reading = TRUE;
      self->since = knl_kernel_now (self->server->kernel);
    }
  status =
      ht_reader_feed (self->reader, (const char *)evbuffer_pullup (input, -1), length, &consumed);
  evbuffer_drain (input, consumed);
  switch (status)
    {
    case HT_READ_MORE:
      handle_expect (self);
      return;
    case HT_READ_COMPLETE:
      handle_request (self);
      return;
    case HT_READ_HEAD_LARGE:
      send_refusal (self, 431);
      return;
    case HT_READ_BODY_LARGE:
      send_refusal (self, 413);
      return;
    case HT_READ_BAD:
      send_refusal (self, 400);
      return;
    }
}

static void
on_readable (struct bufferevent *stream, void *data)
{
  Connection *self = data;
  KnlKernel *kernel = self->server->kernel;
  KnlTime begun = knl_kernel_now (kernel);

  process_input (self);
  knl_span_end (kernel, begun, __FILE__ ":on_readable");
}

static void
on_written (struct bufferevent *stream, void *data)
{
  Connection *self = data;

  update_is_behind (self);
  if (self->call != NULL)
    ht_flow_update (&self->call->flow);
  if (self->closing && !self->half_closed)
    shut_down_sending (self);
  else if (!self->closing)
    process_input (self); /* the next request may have waited until this answer was sent */
}

static void
on_event (struct bufferevent *stream, short what, void *data)
{
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    connection_drop (data);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int length,
           void *data)
{
  HtServer *self = data;
  Connection *connection;

  if (g_hash_table_size (self->connections) >= self->limits.max_connections)
    {
      evutil_closesocket (fd);
      return;
    }
  ht_socket_tune (fd);
  connection = g_new0 (Connection, 1);
  connection->server = self;
  connection->since = knl_kernel_now (self->kernel);
  connection->stream = bufferevent_socket_new (self->base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->reader = ht_reader_new (FALSE, &self->limits.message, &reader_events, connection);
  bufferevent_setcb (connection->stream, on_readable, on_written, on_event, connection);
  bufferevent_setwatermark (connection->stream, EV_READ, 0, MAX_READ_AHEAD_BYTES);
  bufferevent_enable (connection->stream, EV_READ | EV_WRITE);
  ht_holder_join (&connection->holder, self->unsent, &holder_class,
                  bufferevent_get_output (connection->stream));
  g_hash_table_add (self->connections, connection);
}

static gboolean
is_overdue (Connection *self, KnlTime now)
{
  const HtServerLimits *limits = &self->server->limits;
  gsize unsent = unsent_bytes (self);
  gboolean makes_progress = unsent < self->unsent;

  self->unsent = unsent;
  if (unsent > limits->max_unsent)
    return TRUE;
  if (self->call != NULL)
    return FALSE;
  if (!self->reading && !self->half_closed && makes_progress)
    self->since = now;
  if (self->closing)
    return now - self->since > CLOSE_TIMEOUT;
  if (self->reading)
    return now - self->since
           > (ht_reader_has_head (self->reader) ? limits->request_timeout : limits->head_timeout);
  return now - self->since > limits->idle_timeout;
}

static void
on_sweep (gpointer data)
{
  HtServer *self = data;
  KnlTime now = knl_kernel_now (self->kernel);
  g_autoptr (GPtrArray) overdue = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, self->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      if (is_overdue (key, now))
        g_ptr_array_add (overdue, key);
    }
  for (guint i = 0; i < overdue->len; i++)
    {
      Connection *connection = g_ptr_array_index (overdue, i);

      if (connection->reading && connection->call == NULL && !connection->closing
          && unsent_bytes (connection) <= self->limits.max_unsent)
        send_refusal (connection, 408);
      else if (unsent_bytes (connection) > 0)
        end_unread (connection);
      else
        connection_drop (connection);
    }
  self->sweep_timer = knl_timer_start (self->kernel, SWEEP_INTERVAL, on_sweep, self);
}

HtServer *
ht_server_new (KnlKernel *kernel,
               struct event_base *base,
               const char *address,
               const HtServerLimits *limits,
               const HtServerEvents *events,
               gpointer data)
{
  struct sockaddr_storage bound;
  int length = sizeof bound;
  HtServer *self = g_new0 (HtServer, 1);

  self->kernel = kernel;
  self->base = base;
  self->limits = *limits;
  self->events = events;
  self->data = data;
  self->connections = g_hash_table_new_full (NULL, NULL, (GDestroyNotify)connection_free, NULL);
  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&bound, &length) == 0)
    self->listener = evconnlistener_new_bind (
        base, on_accept, self, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        HT_BACKLOG, (struct sockaddr *)&bound, length);
  if (self->listener == NULL)
    {
      ht_server_free (self);
      return NULL;
    }
  self->sweep_timer = knl_timer_start (kernel, SWEEP_INTERVAL, on_sweep, self);
  return self;
}

void
ht_server_free (HtServer *self)
{
  if (self == NULL)
    return;
  ht_server_stop_listening (self);
  knl_timer_stop (self->kernel, &self->sweep_timer);
  g_hash_table_unref (self->connections);
  g_free (self);
}

void
ht_server_set_limits (HtServer *self, const HtServerLimits *limits)
{
  GHashTableIter iter;
  gpointer key;

  self->limits = *limits;
  g_hash_table_iter_init (&iter, self->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    ht_reader_set_limits (((Connection *)key)->reader, &limits->message);
}

void
ht_server_count_unsent (HtServer *self, HtUnsent *unsent)
{
  self->unsent = unsent;
}

void
ht_server_drain (HtServer *self)
{
  self->draining = TRUE;
}

void
ht_server_stop_listening (HtServer *self)
{
  g_clear_pointer (&self->listener, evconnlistener_free);
}

guint16
ht_server_port (const HtServer *self)
{
  return cm_socket_port (evconnlistener_get_fd (self->listener));
}

guint
ht_server_n_connections (const HtServer *self)
{
  return g_hash_table_size (self->connections);
}

guint
ht_server_n_busy (const HtServer *self)
{
  guint busy = 0;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, self->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const Connection *connection = key;

      busy += connection->call != NULL || connection->reading || unsent_bytes (connection) > 0;
    }
  return busy;
}

gsize
ht_server_unsent (const HtServer *self)
{
  gsize unsent = 0;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, self->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    unsent += unsent_bytes (key);
  return unsent;
}

HtFlow *
ht_call_flow (HtCall *call)
{
  return &call->flow;
}

HtMessage *
ht_call_request (HtCall *call)
{
  return call->request;
}

void
ht_call_set_data (HtCall *call, gpointer data)
{
  call->data = data;
}

gpointer
ht_call_data (HtCall *call)
{
  return call->data;
}

KnlTime
ht_call_begun_at (const HtCall *call)
{
  return call->begun_at;
}

void
ht_call_answer (HtCall *call, guint status, const char *fields, const char *body, gsize length)
{
  char framing[48];
  Connection *self = call->connection;

  g_snprintf (framing, sizeof framing, "Content-Length: %" G_GSIZE_FORMAT "\r\n", length);
  write_head (call, status, fields, status == 204 || status == 304 ? "" : framing);
  if (length > 0 && strcmp (call->request->method, "HEAD") != 0)
    write_text (self, body, length);
  finish_answer (call);
}

static void
release_bytes (const void *data, size_t length, void *bytes)
{
  g_bytes_unref (bytes);
}

void
ht_call_answer_bytes (HtCall *call, guint status, const char *fields, GBytes *body)
{
  gsize length;
  const char *bytes = g_bytes_get_data (body, &length);
  struct evbuffer *output = bufferevent_get_output (call->connection->stream);
  char framing[48];

  g_snprintf (framing, sizeof framing, "Content-Length: %" G_GSIZE_FORMAT "\r\n", length);
  write_head (call, status, fields, framing);
  if (length > 0)
    evbuffer_add_reference (output, bytes, length, release_bytes, g_bytes_ref (body));
  finish_answer (call);
}

void
ht_call_begin (HtCall *call, guint status, const char *fields)
{
  call->begun = TRUE;
  call->keep_alive = call->keep_alive && call->request->supports_chunked;
  write_head (call, status, fields,
              call->request->supports_chunked ? "Transfer-Encoding: chunked\r\n" : "");
}

void
ht_call_send (HtCall *call, const char *bytes, gsize length)
{
  char size[24];

  if (length == 0)
    return;
  if (call->request->supports_chunked)
    {
      g_snprintf (size, sizeof size, "%" G_GSIZE_MODIFIER "x\r\n", length);
      write_text (call->connection, size, strlen (size));
    }
  write_text (call->connection, bytes, length);
  if (call->request->supports_chunked)
    write_text (call->connection, "\r\n", 2);
  update_is_behind (call->connection);
  ht_flow_update (&call->flow);
}

gboolean
ht_call_has_begun (const HtCall *call)
{
  return call->begun;
}

void
ht_call_end (HtCall *call)
{
  if (call->request->supports_chunked)
    write_text (call->connection, "0\r\n\r\n", 5);
  finish_answer (call);
}

gsize
ht_call_unsent (const HtCall *call)
{
  return unsent_bytes (call->connection);
}

void
ht_call_abort (HtCall *call)
{
  Connection *self = call->connection;

  self->call = NULL;
  call_free (call);
  set_reset_on_close (self);
  g_hash_table_remove (self->server->connections, self);
}
