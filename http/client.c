#include "http/client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "http/delivery.h"
#include "http/flow_internal.h"
#include "http/socket.h"

/* Fraction of the idle time advertised by the peer for which connections are kept: the peer began
 * to count it earlier. */
#define IDLE_FRACTION 0.6

/* Idle time where the peer advertises none. */
#define DEFAULT_IDLE_TIMEOUT (1500 * KNL_MSEC)

/* Requests with more bytes may not fit into the receive buffer of a peer that doesn't read.
 * Interval between looks at whether such a peer is alive. */
#define LARGE_REQUEST_BYTES ((gsize)16 << 10)
#define DELIVERY_INTERVAL   (250 * KNL_MSEC)

/* Answers to other requests that are skipped on one connection before the exchange fails. */
#define MAX_SKIPPED 2

typedef struct Connection Connection;

struct HtExchange
{
  Connection *connection;
  const HtExchangeEvents *events;
  gpointer data;
  gboolean reused;
  guint64 sent_before; /* bytes that the connection had sent before this request */
  gsize held;          /* bytes of its answer that its user holds */
  gboolean skipping;
  guint skipped;
};

struct HtProbe
{
  Connection *connection;
  HtProbeFunc func;
  gpointer data;
};

struct Connection
{
  HtClient *client;
  char *address;
  HtHolder holder;
  HtSource source;    /* of the call that the answer is forwarded to */
  KnlTime resumed_at; /* when the source was last resumed in this exchange; 0: never */
  struct bufferevent *stream;
  HtReader *reader;
  HtExchange *exchange; /* NULL: idle, or probed */
  HtProbe *probe;       /* NULL: none */
  KnlTimerId timer;     /* connect timeout, or end of the idle time */
  KnlTime idle_since;
  guint64 n_sent; /* bytes of requests that have left this process */
  struct evbuffer_cb_entry *output_watch;
  KnlTimerId delivery_timer; /* when its request's delivery is looked at; 0: it isn't */
  guint timeout_ms;          /* that the kernel was told last */
  gboolean connected;
  KnlTime connected_at;
  gboolean close_after;  /* close the connection after this exchange */
  gboolean in_callbacks; /* an exchange callback is running: don't free the connection */
  gboolean cancelled;    /* the exchange was cancelled by that callback */
};

struct HtClient
{
  KnlKernel *kernel;
  struct event_base *base;
  HtLimits limits;
  KnlTime idle_timeout;
  HtUnsent *unsent;        /* NULL: its connections aren't counted */
  GHashTable *connections; /* set of all Connection */
  GHashTable *idle;        /* address -> GPtrArray of Connection, most recently used last */
  guint64 n_opened;
};

const char *
ht_failure_name (HtFailure failure)
{
  static const char *const names[] = { "connect", "closed", "bad-answer", "large-answer",
                                       "unsent" };

  return names[failure];
}

static void
stop_forwarding (Connection *self)
{
  if (self->source.flow != NULL)
    ht_flow_disconnect (self->source.flow);
}

static void
connection_free (Connection *self)
{
  knl_timer_stop (self->client->kernel, &self->timer);
  knl_timer_stop (self->client->kernel, &self->delivery_timer);
  stop_forwarding (self);
  ht_holder_leave (&self->holder);
  evbuffer_remove_cb_entry (bufferevent_get_output (self->stream), self->output_watch);
  /* The stream outlives a callback of it that is pending, and must not write meanwhile: what hasn't
   * left by now never does. */
  bufferevent_disable (self->stream, EV_READ | EV_WRITE);
  bufferevent_free (self->stream);
  ht_reader_free (self->reader);
  g_free (self->exchange);
  g_free (self->probe);
  g_free (self->address);
  g_free (self);
}

static void
remove_from_idle (Connection *self)
{
  GPtrArray *idle = g_hash_table_lookup (self->client->idle, self->address);

  if (idle != NULL && g_ptr_array_remove (idle, self) && idle->len == 0)
    g_hash_table_remove (self->client->idle, self->address);
}

static void
connection_drop (Connection *self)
{
  if (self->exchange == NULL)
    remove_from_idle (self);
  g_hash_table_remove (self->client->connections, self);
}

/* Closes the connection, and reports. */
static void
end_probe (Connection *self, gboolean connected)
{
  HtProbe probe = *self->probe;

  g_hash_table_remove (self->client->connections, self);
  probe.func (connected, probe.data);
}

/* Fails the exchange, if there is one, and closes the connection. */
static void
fail (Connection *self, HtFailure failure)
{
  HtExchange *exchange = self->exchange;

  if (self->probe != NULL)
    {
      end_probe (self, FALSE);
      return;
    }
  if (exchange == NULL)
    {
      connection_drop (self);
      return;
    }
  exchange->events->failed (exchange, failure, exchange->data);
  g_hash_table_remove (self->client->connections, self);
}

/*
 * A request is sent as soon as the connection is established, but the event loop reports the
 * connection in a later callback. In a busy process the connect timeout may expire in between. If
 * that counted as a failure to connect, the request would be refused as not run, or sent to another
 * endpoint, although this endpoint runs it.
 */
static gboolean
has_sent (const Connection *self)
{
  return self->exchange != NULL && self->n_sent > self->exchange->sent_before;
}

static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *data)
{
  ((Connection *)data)->n_sent += info->n_deleted;
}

static void
on_timer (gpointer data)
{
  Connection *self = data;

  self->timer = 0;
  if (has_sent (self))
    return;
  fail (self, HT_FAIL_CONNECT);
}

static KnlTime
allowed_idle_time (const Connection *self, const HtMessage *answer)
{
  const char *keep_alive_field = ht_message_get (answer, "keep-alive");
  const char *timeout = keep_alive_field != NULL ? strstr (keep_alive_field, "timeout=") : NULL;
  KnlTime max_idle_time = DEFAULT_IDLE_TIMEOUT;

  if (timeout != NULL)
    max_idle_time =
        (KnlTime)(IDLE_FRACTION * strtod (timeout + strlen ("timeout="), NULL) * KNL_SEC);
  return MIN (max_idle_time, self->client->idle_timeout);
}

static void
add_to_idle (Connection *self, KnlTime max_idle_time)
{
  HtClient *client = self->client;
  GPtrArray *idle = g_hash_table_lookup (client->idle, self->address);

  if (idle == NULL)
    {
      idle = g_ptr_array_new ();
      g_hash_table_insert (client->idle, g_strdup (self->address), idle);
    }
  g_ptr_array_add (idle, self);
  self->idle_since = knl_kernel_now (client->kernel);
  self->timer = knl_timer_start (client->kernel, max_idle_time, on_timer, self);
}

static gboolean
is_reusable (const Connection *self, const HtMessage *answer)
{
  return !self->close_after && answer->keep_alive && !ht_reader_ends_by_close (self->reader)
         && self->exchange->skipped == 0
         && evbuffer_get_length (bufferevent_get_input (self->stream)) == 0
         && evbuffer_get_length (bufferevent_get_output (self->stream)) == 0
         && allowed_idle_time (self, answer) > 0;
}

static void
complete (Connection *self)
{
  g_autoptr (HtMessage) answer = ht_reader_steal (self->reader);
  HtExchange *exchange = self->exchange;
  KnlTime max_idle_time = allowed_idle_time (self, answer);

  if (is_reusable (self, answer))
    {
      self->exchange = NULL;
      stop_forwarding (self);
      ht_holder_set_body (&self->holder, 0);
      add_to_idle (self, max_idle_time);
      exchange->events->done (exchange, answer, exchange->data);
      g_free (exchange);
      return;
    }
  exchange->events->done (exchange, answer, exchange->data);
  g_hash_table_remove (self->client->connections, self);
}

/* The answer to another request has ended; the next message on the connection may answer this one.
 * FALSE: none can, or too many others came before it. */
static gboolean
skip_answer (Connection *self)
{
  if (++self->exchange->skipped > MAX_SKIPPED || !ht_reader_message (self->reader)->keep_alive)
    return FALSE;
  self->exchange->skipping = FALSE;
  ht_reader_begin (self->reader, FALSE);
  return TRUE;
}

static gboolean
on_head (HtMessage *message, gpointer data)
{
  Connection *self = data;
  HtExchange *exchange = self->exchange;

  switch (exchange->events->head (exchange, message, exchange->data))
    {
    case HT_HEAD_ACCEPT:
      return TRUE;
    case HT_HEAD_SKIP:
      exchange->skipping = TRUE;
      return TRUE;
    case HT_HEAD_REFUSE:
      return FALSE;
    }
  return FALSE;
}

static void
on_body (const char *bytes, gsize length, gpointer data)
{
  Connection *self = data;
  HtExchange *exchange = self->exchange;

  if (exchange->skipping || self->cancelled)
    return;
  if (exchange->events->body != NULL)
    exchange->events->body (exchange, bytes, length, exchange->data);
  else
    g_string_append_len (ht_reader_message (self->reader)->body, bytes, (gssize)length);
  if (!self->cancelled)
    ht_holder_set_body (&self->holder,
                        ht_reader_message (self->reader)->body->len + exchange->held);
}

static const HtReaderEvents reader_events = { .head = on_head, .body = on_body };

static void
process_input (Connection *self, struct bufferevent *stream)
{
  struct evbuffer *input = bufferevent_get_input (stream);
  HtReadStatus status = HT_READ_COMPLETE;

  if (self->exchange == NULL)
    {
      connection_drop (self);
      return;
    }
  self->in_callbacks = TRUE;
  while (evbuffer_get_length (input) > 0)
    {
      gsize length = evbuffer_get_length (input);
      gsize consumed = 0;

      status = ht_reader_feed (self->reader, (const char *)evbuffer_pullup (input, -1), length,
                               &consumed);
      evbuffer_drain (input, consumed);
      if (self->cancelled)
        break;
      if (status == HT_READ_COMPLETE && self->exchange->skipping)
        status = skip_answer (self) ? HT_READ_MORE : HT_READ_BAD;
      if (status != HT_READ_MORE)
        break;
    }
  self->in_callbacks = FALSE;
  if (self->cancelled)
    g_hash_table_remove (self->client->connections, self);
  else if (status == HT_READ_MORE)
    return;
  else if (status == HT_READ_COMPLETE && !self->exchange->skipping
           && ht_reader_has_head (self->reader))
    complete (self);
  else if (status == HT_READ_HEAD_LARGE || status == HT_READ_BODY_LARGE)
    fail (self, HT_FAIL_LARGE);
  else if (status != HT_READ_COMPLETE || evbuffer_get_length (input) > 0)
    fail (self, HT_FAIL_BAD);
}

static void
on_readable (struct bufferevent *stream, void *data)
{
  KnlKernel *kernel = ((Connection *)data)->client->kernel;
  KnlTime begun = knl_kernel_now (kernel);

  process_input (data, stream);
  knl_span_end (kernel, begun, __FILE__ ":on_readable");
}

/*
 * An answer without a length ends when its connection closes. A connection that is reset within the
 * answer differs from that by the error only, so just an orderly close completes the answer. A
 * write that fails with the reset takes the socket's error: the read after it sees an end of
 * stream, and both are reported in one event.
 */
static gboolean
is_orderly (short what)
{
  return (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == BEV_EVENT_EOF;
}

static void
handle_close (Connection *self, gboolean orderly)
{
  if (self->exchange == NULL)
    connection_drop (self);
  else if (orderly && !self->exchange->skipping
           && ht_reader_finish (self->reader) == HT_READ_COMPLETE)
    {
      self->close_after = TRUE;
      complete (self);
    }
  else
    fail (self, HT_FAIL_CLOSED);
}

static void
on_event (struct bufferevent *stream, short what, void *data)
{
  Connection *self = data;

  if ((what & BEV_EVENT_CONNECTED) != 0)
    {
      self->connected = TRUE;
      self->connected_at = knl_kernel_now (self->client->kernel);
      knl_timer_stop (self->client->kernel, &self->timer);
      if (self->probe != NULL)
        end_probe (self, TRUE);
    }
  else if (!self->connected && !has_sent (self))
    fail (self, HT_FAIL_CONNECT);
  else
    handle_close (self, is_orderly (what));
}

HtClient *
ht_client_new (KnlKernel *kernel,
               struct event_base *base,
               const HtLimits *limits,
               KnlTime idle_timeout)
{
  HtClient *self = g_new0 (HtClient, 1);

  self->kernel = kernel;
  self->base = base;
  self->limits = *limits;
  self->idle_timeout = idle_timeout;
  self->connections = g_hash_table_new_full (NULL, NULL, (GDestroyNotify)connection_free, NULL);
  self->idle =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  return self;
}

void
ht_client_free (HtClient *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->idle);
  g_hash_table_unref (self->connections);
  g_free (self);
}

void
ht_client_count_unsent (HtClient *self, HtUnsent *unsent)
{
  self->unsent = unsent;
}

static void
holder_end (HtHolder *holder)
{
  fail ((Connection *)((char *)holder - G_STRUCT_OFFSET (Connection, holder)), HT_FAIL_UNSENT);
}

static char *
holder_address (HtHolder *holder)
{
  Connection *self = (Connection *)((char *)holder - G_STRUCT_OFFSET (Connection, holder));

  return g_strdup (self->address);
}

static const HtHolderClass holder_class = { .address = holder_address, .end = holder_end };

static void
set_paused (HtSource *source, gboolean paused)
{
  Connection *self = (Connection *)((char *)source - G_STRUCT_OFFSET (Connection, source));

  if (paused)
    {
      bufferevent_disable (self->stream, EV_READ);
      return;
    }
  bufferevent_enable (self->stream, EV_READ);
  self->resumed_at = knl_kernel_now (self->client->kernel);
}

static void on_delivery_due (gpointer data);

static void
watch_delivery (Connection *self)
{
  if (self->delivery_timer == 0)
    self->delivery_timer =
        knl_timer_start (self->client->kernel, DELIVERY_INTERVAL, on_delivery_due, self);
}

/* A peer that is alive, but doesn't read, isn't taken for a broken link; a request's own limits end
 * it. */
static void
on_delivery_due (gpointer data)
{
  Connection *self = data;
  evutil_socket_t fd = bufferevent_getfd (self->stream);
  HtDelivery delivery;
  guint timeout_ms;

  self->delivery_timer = 0;
  if (!self->connected)
    {
      watch_delivery (self);
      return;
    }
  if (!ht_delivery_read (fd, &delivery))
    return;
  timeout_ms = ht_delivery_timeout_ms (&delivery);
  if (timeout_ms != self->timeout_ms)
    ht_delivery_set_timeout (fd, timeout_ms);
  self->timeout_ms = timeout_ms;
  if (!ht_delivery_is_complete (&delivery)
      || evbuffer_get_length (bufferevent_get_output (self->stream)) > 0)
    watch_delivery (self);
}

static Connection *
connect_to (HtClient *self, const char *address, KnlTime timeout)
{
  struct sockaddr_storage peer;
  int length = sizeof peer;
  Connection *connection = g_new0 (Connection, 1);
  evutil_socket_t fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  connection->client = self;
  connection->address = g_strdup (address);
  connection->timeout_ms = HT_UNACKNOWLEDGED_TIMEOUT_MS;
  connection->stream =
      bufferevent_socket_new (self->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  connection->reader = ht_reader_new (TRUE, &self->limits, &reader_events, connection);
  bufferevent_setcb (connection->stream, on_readable, NULL, on_event, connection);
  connection->source.set_paused = set_paused;
  connection->output_watch =
      evbuffer_add_cb (bufferevent_get_output (connection->stream), on_output, connection);
  ht_holder_join (&connection->holder, self->unsent, &holder_class,
                  bufferevent_get_output (connection->stream));
  g_hash_table_add (self->connections, connection);
  self->n_opened++;
  if (fd < 0 || evutil_parse_sockaddr_port (address, (struct sockaddr *)&peer, &length) != 0)
    timeout = 0;
  else
    {
      ht_socket_tune (fd);
      if (bufferevent_socket_connect (connection->stream, (struct sockaddr *)&peer, length) != 0)
        timeout = 0;
    }
  connection->timer = knl_timer_start (self->kernel, timeout, on_timer, connection);
  bufferevent_enable (connection->stream, EV_READ | EV_WRITE);
  return connection;
}

static Connection *
reuse_idle (HtClient *self, const char *address, KnlTime max_idle)
{
  GPtrArray *idle = g_hash_table_lookup (self->idle, address);
  Connection *connection;

  if (idle == NULL || max_idle == 0)
    return NULL;
  connection = g_ptr_array_index (idle, idle->len - 1);
  if (knl_kernel_now (self->kernel) - connection->idle_since > max_idle)
    return NULL;
  remove_from_idle (connection);
  knl_timer_stop (self->kernel, &connection->timer);
  return connection;
}

HtExchange *
ht_client_send (HtClient *self,
                const HtExchangeRequest *request,
                const HtExchangeEvents *events,
                gpointer data)
{
  HtExchange *exchange = g_new0 (HtExchange, 1);
  Connection *connection = reuse_idle (self, request->address, request->max_idle);

  exchange->reused = connection != NULL;
  if (connection == NULL)
    connection = connect_to (self, request->address, request->connect_timeout);
  exchange->connection = connection;
  exchange->sent_before = connection->n_sent;
  exchange->events = events;
  exchange->data = data;
  connection->exchange = exchange;
  connection->resumed_at = 0;
  ht_reader_begin (connection->reader, request->is_head);
  bufferevent_write (connection->stream, request->head, strlen (request->head));
  bufferevent_write (connection->stream, "\r\n", 2);
  ht_socket_write (connection->stream, request->body, request->body_length);
  if (request->body_length > LARGE_REQUEST_BYTES && ht_unsent_is_bounded (self->unsent))
    watch_delivery (connection);
  if (request->forward_to != NULL)
    ht_flow_connect (ht_call_flow (request->forward_to), &connection->source);
  return exchange;
}

void
ht_exchange_cancel (HtExchange *self)
{
  Connection *connection = self->connection;

  if (connection->in_callbacks)
    connection->cancelled = TRUE;
  else
    g_hash_table_remove (connection->client->connections, connection);
}

HtProbe *
ht_client_probe (HtClient *self,
                 const char *address,
                 KnlTime timeout,
                 HtProbeFunc func,
                 gpointer data)
{
  Connection *connection = connect_to (self, address, timeout);

  connection->probe = g_new0 (HtProbe, 1);
  *connection->probe = (HtProbe){ .connection = connection, .func = func, .data = data };
  return connection->probe;
}

void
ht_probe_cancel (HtProbe *self)
{
  g_hash_table_remove (self->connection->client->connections, self->connection);
}

void
ht_exchange_set_held (HtExchange *self, gsize bytes)
{
  self->held = bytes;
}

gboolean
ht_exchange_is_reused (const HtExchange *self)
{
  return self->reused;
}

KnlTime
ht_exchange_connected_at (const HtExchange *self)
{
  return self->connection->connected ? self->connection->connected_at : KNL_NEVER;
}

gboolean
ht_exchange_has_sent (const HtExchange *self)
{
  return has_sent (self->connection);
}

gboolean
ht_exchange_awaits_first_answer (const HtExchange *self)
{
  return !self->reused && self->skipped == 0;
}

KnlTime
ht_exchange_resumed_at (const HtExchange *self)
{
  const Connection *connection = self->connection;

  return connection->source.is_paused ? knl_kernel_now (connection->client->kernel)
                                      : connection->resumed_at;
}

void
ht_client_close_idle (HtClient *self, const char *address)
{
  GPtrArray *idle = g_hash_table_lookup (self->idle, address);

  while (idle != NULL)
    {
      connection_drop (g_ptr_array_index (idle, idle->len - 1));
      idle = g_hash_table_lookup (self->idle, address);
    }
}

guint64
ht_client_n_opened (const HtClient *self)
{
  return self->n_opened;
}
