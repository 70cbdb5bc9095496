/** Answers of a server's calls, and what they leave to their connection. */

#include <event2/buffer.h>
#include <http_parser.h>
#include <string.h>
#include <sys/socket.h>

#include "http/server_internal.h"
#include "http/socket.h"

/* Resets the connection when it is closed: an answer that ends with its connection would appear
 * complete if the connection were closed in order. */
void
ht_connection_set_reset (Connection *self)
{
  static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (bufferevent_getfd (self->stream), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

gsize
ht_connection_unsent (const Connection *self)
{
  return evbuffer_get_length (bufferevent_get_output (self->stream));
}

/*
 * Closing a socket with unread input resets the connection, and the reset discards answer bytes
 * that the caller hasn't read yet. So only the sending side is shut down, and further input is
 * dropped until the caller closes its side.
 */
void
ht_connection_shut_down (Connection *self)
{
  self->half_closed = TRUE;
  self->since = knl_kernel_now (self->server->kernel);
  shutdown (bufferevent_getfd (self->stream), SHUT_WR);
}

void
ht_connection_close_after_answer (Connection *self)
{
  self->closing = TRUE;
  self->since = knl_kernel_now (self->server->kernel);
  if (ht_connection_unsent (self) == 0)
    ht_connection_shut_down (self);
}

void
ht_connection_write (Connection *self, const char *text, gsize length)
{
  ht_socket_write (self->stream, text, length);
}

void
ht_connection_release_body (Connection *self)
{
  if (self->server->bodies != NULL)
    ht_bodies_change (self->server->bodies, self->body, 0);
  self->body = 0;
}

void
ht_call_free (HtCall *call)
{
  ht_connection_release_body (call->connection);
  ht_flow_disconnect (&call->flow);
  ht_message_free (call->request);
  g_free (call);
}

static void
write_head (HtCall *call, guint status, const char *fields, const char *framing)
{
  Connection *self = call->connection;
  g_autofree char *head = NULL;

  self->is_undelivered = TRUE;
  if (self->server->draining)
    call->keep_alive = FALSE;
  head = g_strdup_printf ("HTTP/1.1 %u %s\r\n%s%s%s\r\n", status,
                          http_status_str ((enum http_status)status), fields != NULL ? fields : "",
                          framing, call->keep_alive ? "" : "Connection: close\r\n");
  ht_connection_write (self, head, strlen (head));
}

static void
finish_answer (HtCall *call)
{
  Connection *self = call->connection;
  gboolean keep = call->keep_alive && !self->server->draining;

  self->call = NULL;
  ht_call_free (call);
  if (keep)
    {
      self->since = knl_kernel_now (self->server->kernel);
      ht_reader_begin (self->reader, FALSE);
    }
  else
    ht_connection_close_after_answer (self);
  if (evbuffer_get_length (bufferevent_get_input (self->stream)) > 0)
    bufferevent_trigger (self->stream, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
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
    ht_connection_write (self, body, length);
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
      ht_connection_write (call->connection, size, strlen (size));
    }
  ht_connection_write (call->connection, bytes, length);
  if (call->request->supports_chunked)
    ht_connection_write (call->connection, "\r\n", 2);
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
    ht_connection_write (call->connection, "0\r\n\r\n", 5);
  finish_answer (call);
}

gsize
ht_call_unsent (const HtCall *call)
{
  return ht_connection_unsent (call->connection);
}

void
ht_call_abort (HtCall *call)
{
  Connection *self = call->connection;

  self->call = NULL;
  ht_call_free (call);
  ht_connection_set_reset (self);
  g_hash_table_remove (self->server->connections, self);
}
