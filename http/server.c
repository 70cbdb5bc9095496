#include "http/server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http_parser.h>
#include <string.h>

#include "common/settings.h"
#include "common/socket.h"
#include "http/delivery.h"
#include "http/server_internal.h"
#include "http/socket.h"

/* Interval between checks for connections past their timeouts: a tenth of the shortest timeout. */
#define SWEEP_INTERVAL (250 * KNL_MSEC)

/* How long a closing connection waits for the caller to receive more of the answer, and then to
 * close its side. */
#define CLOSE_TIMEOUT (2 * KNL_SEC)

/* Bytes that a caller must read between two checks of an answer that it has left too much of: half
 * a megabyte a second, at which the rest may take longer than callers wait. */
#define MIN_READ_PER_SWEEP ((gsize)128 << 10)

/* Of a refusal for lack of room: bodies are read and answered within about a second. */
#define RETRY_AFTER_BODIES "Retry-After: 1\r\n"

#define CONTINUE_ANSWER "HTTP/1.1 100 Continue\r\n\r\n"

static const HtReaderEvents reader_events = { 0 };

static void
connection_free (Connection *self)
{
  if (self->call != NULL)
    ht_call_free (self->call);
  ht_connection_release_body (self);
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

/* Ends a connection whose caller has left too much unread. */
static void
end_unread (Connection *self)
{
  ht_connection_set_reset (self);
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

static void
send_refusal (Connection *self, guint status)
{
  HtServer *server = self->server;
  GString *fields = g_string_new (NULL);
  GString *body = server->events->refusal != NULL
                      ? server->events->refusal (status, fields, server->data)
                      : g_string_new (NULL);
  g_autofree char *head = g_strdup_printf (
      "HTTP/1.1 %u %s\r\n%s%sContent-Length: %" G_GSIZE_FORMAT "\r\nConnection: close\r\n\r\n",
      status, http_status_str ((enum http_status)status), fields->str,
      status == 503 ? RETRY_AFTER_BODIES : "", body->len);

  self->reading = FALSE;
  ht_connection_release_body (self);
  ht_connection_write (self, head, strlen (head));
  ht_connection_write (self, body->str, body->len);
  g_string_free (body, TRUE);
  g_string_free (fields, TRUE);
  ht_connection_close_after_answer (self);
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
    ht_connection_write (self, CONTINUE_ANSWER, strlen (CONTINUE_ANSWER));
  else
    send_refusal (self, 417);
}

/* Bytes of the body that the request being read will hold, as far as its head says so. */
static gsize
wanted_body (const Connection *self)
{
  const HtMessage *message = ht_reader_message (self->reader);
  const char *length = ht_message_get (message, "content-length");

  return MAX (message->body->len,
              length != NULL ? (gsize)g_ascii_strtoull (length, NULL, 10) : (gsize)0);
}

/* FALSE: there is no room for the body. */
static gboolean
hold_body (Connection *self)
{
  HtServer *server = self->server;
  gsize wanted;

  if (server->bodies == NULL || !ht_reader_has_head (self->reader))
    return TRUE;
  wanted = wanted_body (self);
  if (ht_bodies_change (server->bodies, self->body, wanted))
    {
      self->body = wanted;
      return TRUE;
    }
  if (cm_log_rate_limit_allows (&server->bodies_log_limit, knl_kernel_now (server->kernel)))
    cm_log (CM_LOG_NOTICE, "body-refused", "i", "bytes", (gint64)wanted, "i", "held",
            (gint64)ht_bodies_bytes (server->bodies), "i", "so-far",
            (gint64)ht_bodies_n_refused (server->bodies));
  return FALSE;
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
  if (self->server->ignores_input && self->call == NULL)
    {
      set_reading (self, FALSE);
      return;
    }
  if (self->call != NULL || length == 0 || ht_connection_unsent (self) > MAX_READ_AHEAD_BYTES)
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
  if ((status == HT_READ_MORE || status == HT_READ_COMPLETE) && !hold_body (self))
    {
      send_refusal (self, 503);
      return;
    }
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

  if (self->call != NULL)
    ht_flow_update (&self->call->flow);
  if (self->closing && !self->half_closed)
    ht_connection_shut_down (self);
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
  connection->timeout_ms = HT_UNACKNOWLEDGED_TIMEOUT_MS;
  connection->stream = bufferevent_socket_new (self->base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->reader = ht_reader_new (FALSE, &self->limits.message, &reader_events, connection);
  bufferevent_setcb (connection->stream, on_readable, on_written, on_event, connection);
  bufferevent_setwatermark (connection->stream, EV_READ, 0, MAX_READ_AHEAD_BYTES);
  bufferevent_enable (connection->stream, EV_READ | EV_WRITE);
  ht_holder_join (&connection->holder, self->unsent, &holder_class,
                  bufferevent_get_output (connection->stream));
  g_hash_table_add (self->connections, connection);
}

/* A connection whose caller is alive, but doesn't read, isn't to be taken for a broken one; only
 * where a bound on the sum ends such callers. The kernel holds answers of some hundred kilobytes.
 */
static void
update_timeout (Connection *self)
{
  evutil_socket_t fd = bufferevent_getfd (self->stream);
  gsize unsent = ht_connection_unsent (self);
  HtDelivery delivery;
  gboolean is_told;
  guint timeout_ms;

  if (!ht_unsent_is_bounded (self->server->unsent) || (self->call == NULL && !self->is_undelivered))
    return;
  is_told = ht_delivery_read (fd, &delivery);
  self->is_undelivered = unsent > 0 || (is_told && !ht_delivery_is_complete (&delivery));
  timeout_ms = ht_delivery_known_timeout_ms (is_told ? &delivery : NULL, unsent);
  if (timeout_ms == self->timeout_ms)
    return;
  self->timeout_ms = timeout_ms;
  ht_delivery_set_timeout (fd, timeout_ms);
}

/* An answer that is written whole may be longer than what a caller may leave unread. Its caller has
 * to read it steadily. */
static gboolean
has_too_much_unread (const Connection *self, gsize unsent)
{
  gsize max_unsent = self->server->limits.max_unsent;

  return unsent > max_unsent && self->unsent > max_unsent
         && self->unsent < unsent + MIN_READ_PER_SWEEP;
}

static gboolean
is_overdue (Connection *self, KnlTime now)
{
  const HtServerLimits *limits = &self->server->limits;
  gsize unsent = ht_connection_unsent (self);
  gboolean makes_progress = unsent < self->unsent;
  gboolean is_unread = has_too_much_unread (self, unsent);

  self->unsent = unsent;
  if (is_unread)
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
      update_timeout (key);
      if (is_overdue (key, now))
        g_ptr_array_add (overdue, key);
    }
  for (guint i = 0; i < overdue->len; i++)
    {
      Connection *connection = g_ptr_array_index (overdue, i);

      if (connection->reading && connection->call == NULL && !connection->closing
          && ht_connection_unsent (connection) <= self->limits.max_unsent)
        send_refusal (connection, 408);
      else if (ht_connection_unsent (connection) > 0)
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
ht_server_count_bodies (HtServer *self, HtBodies *bodies)
{
  self->bodies = bodies;
}

void
ht_server_drain (HtServer *self)
{
  self->draining = TRUE;
}

void
ht_server_stop_reading (HtServer *self)
{
  GHashTableIter iter;
  gpointer key;

  self->ignores_input = TRUE;
  ht_server_stop_listening (self);
  g_hash_table_iter_init (&iter, self->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      Connection *connection = key;

      if (connection->call == NULL && !connection->closing)
        set_reading (connection, FALSE);
    }
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

      busy +=
          connection->call != NULL || connection->reading || ht_connection_unsent (connection) > 0;
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
    unsent += ht_connection_unsent (key);
  return unsent;
}
