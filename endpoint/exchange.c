#include "endpoint/exchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "common/settings.h"
#include "http/answer_check.h"

/* evhttp's own timeout must never fire: each phase of an exchange has its own timeout here. */
#define EVHTTP_TIMEOUT_S 1000000

struct EpExchange
{
  KnlKernel *kernel;
  struct event_base *base;
  const EpExchangeEvents *events;
  gpointer user;
  char *host;
  guint16 port;
  enum evhttp_cmd_type method;
  char *path;
  KnlTime connect_timeout;
  KnlTime first_byte_timeout;
  KnlTime idle_timeout;
  gsize max_answer_bytes;
  struct evhttp_connection *connection;
  struct evhttp_request *request; /* owned by `connection` after evhttp_make_request() */
  HtAnswerCheck *check;           /* of the connection */
  struct evkeyvalq *answer_headers;
  int status;
  gboolean sent;   /* bytes were handed to the connection */
  gboolean closed; /* emits no further events; the timer `deferred` frees it */
  KnlTimerId timeout;
  KnlTimerId deferred;
};

static void
exchange_free (EpExchange *self)
{
  knl_timer_stop (self->kernel, &self->timeout);
  knl_timer_stop (self->kernel, &self->deferred);
  ht_answer_check_free (self->check);
  if (self->connection != NULL)
    evhttp_connection_free (self->connection);
  else if (self->request != NULL)
    evhttp_request_free (self->request);
  g_free (self->host);
  g_free (self->path);
  g_free (self);
}

static void
on_free_due (gpointer data)
{
  EpExchange *self = data;

  self->deferred = 0;
  exchange_free (self);
}

/*
 * evhttp still uses a connection after its callbacks return, so freeing it
 * inside one is a use after free. A timer frees it from the event loop instead.
 */
void
ep_exchange_close (EpExchange *self)
{
  if (self->closed)
    return;
  self->closed = TRUE;
  knl_timer_stop (self->kernel, &self->timeout);
  knl_timer_stop (self->kernel, &self->deferred);
  self->deferred = knl_timer_start (self->kernel, 0, on_free_due, self);
}

static void
finish (EpExchange *self, EpExchangeEnd end, const char *detail)
{
  if (self->closed)
    return;
  ep_exchange_close (self);
  self->events->on_end (self, end, detail, self->user);
}

static void
finish_incomplete (EpExchange *self, const char *detail)
{
  finish (self, self->sent ? EP_EXCHANGE_CUT : EP_EXCHANGE_NOT_SENT, detail);
}

static void
on_limit (gpointer data)
{
  EpExchange *self = data;

  self->timeout = 0;
  finish_incomplete (self, self->sent ? "silent" : "connect-timeout");
}

static void
restart_timeout (EpExchange *self, KnlTime timeout)
{
  knl_timer_stop (self->kernel, &self->timeout);
  if (!self->closed)
    self->timeout = knl_timer_start (self->kernel, timeout, on_limit, self);
}

/*
 * Whether a byte can have reached the endpoint decides between the outcomes "not
 * run" and "unknown". evhttp doesn't report when it writes the request to the
 * connection, so the output buffer is watched.
 */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *data)
{
  EpExchange *self = data;

  if (self->sent || info->n_added == 0)
    return;
  self->sent = TRUE;
  restart_timeout (self, self->first_byte_timeout);
}

static void
read_status (EpExchange *self, struct evhttp_request *request)
{
  self->status = evhttp_request_get_response_code (request);
  self->answer_headers = evhttp_request_get_input_headers (request);
}

static void
on_chunk (struct evhttp_request *request, void *data)
{
  EpExchange *self = data;

  if (self->closed)
    return;
  if (!ht_answer_check_has_passed (self->check))
    {
      finish_incomplete (self, "bad-answer");
      return;
    }
  restart_timeout (self, self->idle_timeout);
  read_status (self, request);
  self->events->on_data (self, evhttp_request_get_input_buffer (request), self->user);
}

static void
on_done (struct evhttp_request *request, void *data)
{
  EpExchange *self = data;
  struct evbuffer *remaining;

  self->request = NULL;
  if (self->closed)
    return;
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    {
      finish_incomplete (self, self->sent ? "closed" : "unreachable");
      return;
    }
  if (!ht_answer_check_has_passed (self->check))
    {
      finish_incomplete (self, "bad-answer");
      return;
    }
  read_status (self, request);
  remaining = evhttp_request_get_input_buffer (request);
  if (evbuffer_get_length (remaining) > 0)
    self->events->on_data (self, remaining, self->user);
  finish (self, EP_EXCHANGE_COMPLETE, "complete");
  self->answer_headers = NULL;
}

static struct evhttp_connection *
open_connection (EpExchange *self)
{
  struct bufferevent *stream = bufferevent_socket_new (self->base, -1, BEV_OPT_CLOSE_ON_FREE);
  struct evhttp_connection *connection;

  if (stream == NULL)
    return NULL;
  evbuffer_add_cb (bufferevent_get_output (stream), on_output, self);
  connection =
      evhttp_connection_base_bufferevent_new (self->base, NULL, stream, self->host, self->port);
  if (connection == NULL)
    {
      bufferevent_free (stream);
      return NULL;
    }
  self->check = ht_answer_check_new (bufferevent_get_input (stream));
  evhttp_connection_set_timeout (connection, EVHTTP_TIMEOUT_S);
  evhttp_connection_set_retries (connection, 0);
  if (self->max_answer_bytes > 0)
    evhttp_connection_set_max_body_size (connection, (ev_ssize_t)self->max_answer_bytes);
  return connection;
}

static void
on_start (gpointer data)
{
  EpExchange *self = data;
  struct evhttp_request *request = self->request;

  self->deferred = 0;
  self->connection = self->host != NULL ? open_connection (self) : NULL;
  if (self->connection == NULL)
    {
      finish_incomplete (self, "address");
      return;
    }
  restart_timeout (self, self->connect_timeout);
  if (evhttp_make_request (self->connection, request, self->method, self->path) != 0)
    {
      self->request = NULL;
      finish_incomplete (self, "unreachable");
    }
}

static enum evhttp_cmd_type
parse_method (const char *name)
{
  if (strcmp (name, "POST") == 0)
    return EVHTTP_REQ_POST;
  if (strcmp (name, "PUT") == 0)
    return EVHTTP_REQ_PUT;
  if (strcmp (name, "DELETE") == 0)
    return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_GET;
}

static void
fill_request (struct evhttp_request *request, const EpExchangeStart *start)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);

  evhttp_add_header (headers, "Host", start->address);
  evhttp_add_header (headers, "Connection", "close");
  if (start->content_type != NULL)
    evhttp_add_header (headers, "Content-Type", start->content_type);
  if (start->idempotency_key != NULL)
    evhttp_add_header (headers, "Idempotency-Key", start->idempotency_key);
  if (start->request != NULL)
    evhttp_add_header (headers, "Alderturn-Request-Id", start->request);
  if (start->body_bytes > 0)
    evbuffer_add (evhttp_request_get_output_buffer (request), start->body, start->body_bytes);
}

EpExchange *
ep_exchange_start (KnlKernel *kernel,
                   struct event_base *base,
                   const EpExchangeStart *start,
                   const EpExchangeEvents *events,
                   gpointer user)
{
  EpExchange *self = g_new0 (EpExchange, 1);

  self->kernel = kernel;
  self->base = base;
  self->events = events;
  self->user = user;
  self->method = parse_method (start->method);
  self->path = g_strdup (start->path);
  self->connect_timeout = start->connect_timeout;
  self->first_byte_timeout = start->first_byte_timeout;
  self->idle_timeout = start->idle_timeout;
  self->max_answer_bytes = start->max_answer_bytes;
  cm_address_parse (start->address, &self->host, &self->port);
  self->request = evhttp_request_new (on_done, self);
  evhttp_request_set_chunked_cb (self->request, on_chunk);
  fill_request (self->request, start);
  self->deferred = knl_timer_start (kernel, 0, on_start, self);
  return self;
}

int
ep_exchange_status (const EpExchange *self)
{
  return self->status;
}

const char *
ep_exchange_header (const EpExchange *self, const char *name)
{
  return self->answer_headers != NULL ? evhttp_find_header (self->answer_headers, name) : NULL;
}
