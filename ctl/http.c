#include "ctl/transport.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <string.h>
#include <sys/socket.h>

#include "common/settings.h"
#include "http/answer_check.h"
#include "kernel/event_runtime.h"

/* Larger than the rows of 10,000 engines; bounds the memory used by an endless answer. */
#define MAX_ANSWER_BYTES ((gssize)64 * 1024 * 1024)

/* Calls made concurrently. High enough that thousands of entries are queried in seconds and that
 * entries which don't answer time out in parallel; low enough for the limit on file descriptors. */
#define MAX_CONNECTIONS 64

typedef struct
{
  ClTransport transport;
  struct event_base *base;
  KnlRuntime *runtime;
  KnlKernel *kernel;
} HttpTransport;

/* Calls that are made concurrently. */
typedef struct
{
  HttpTransport *http;
  const ClCall *calls;
  ClReply **replies;
  guint count;
  guint started;
  guint ended;
} Batch;

typedef struct
{
  Batch *batch;
  const ClCall *call;
  ClReply *reply;
  struct evhttp_connection *connection; /* NULL: the address is invalid */
  HtAnswerCheck *check;                 /* of the connection */
  KnlTimerId timer;
  gboolean failed; /* after the connection was established */
} Exchange;

void
cl_reply_free (ClReply *reply)
{
  if (reply == NULL)
    return;
  json_decref (reply->body);
  g_free (reply->problem);
  g_free (reply);
}

static void batch_fill (Batch *batch);

static void
exchange_end (gpointer data)
{
  Exchange *exchange = data;
  Batch *batch = exchange->batch;

  knl_timer_stop (batch->http->kernel, &exchange->timer);
  ht_answer_check_free (exchange->check);
  if (exchange->connection != NULL)
    evhttp_connection_free (exchange->connection);
  g_free (exchange);
  batch->ended++;
  batch_fill (batch);
  if (batch->ended == batch->count)
    event_base_loopbreak (batch->http->base);
}

/* Deferred to a timer, because a connection must not be freed inside its own callback. */
static void
exchange_schedule_end (Exchange *exchange)
{
  KnlKernel *kernel = exchange->batch->http->kernel;

  knl_timer_stop (kernel, &exchange->timer);
  exchange->timer = knl_timer_start (kernel, 0, exchange_end, exchange);
}

static void
on_error (enum evhttp_request_error error, void *data)
{
  Exchange *exchange = data;

  exchange->failed = TRUE;
}

static void
on_answer (struct evhttp_request *request, void *data)
{
  Exchange *exchange = data;
  ClReply *reply = exchange->reply;
  gboolean has_status = request != NULL && evhttp_request_get_response_code (request) != 0;
  struct evbuffer *input;

  if (has_status && !ht_answer_check_has_passed (exchange->check))
    {
      reply->state = CL_REPLY_LOST;
      reply->problem = g_strdup ("the answer's head is not valid HTTP");
    }
  else if (has_status)
    {
      reply->state = CL_REPLY_ANSWERED;
      reply->status = evhttp_request_get_response_code (request);
      input = evhttp_request_get_input_buffer (request);
      reply->body = json_loadb ((const char *)evbuffer_pullup (input, -1),
                                evbuffer_get_length (input), 0, NULL);
    }
  else if (request != NULL && !exchange->failed)
    reply->problem = g_strdup ("no connection");
  else
    {
      reply->state = CL_REPLY_LOST;
      reply->problem = g_strdup ("the connection ended without an answer");
    }
  exchange_schedule_end (exchange);
}

static gboolean
is_connected (struct evhttp_connection *connection)
{
  evutil_socket_t fd = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));
  struct sockaddr_storage peer;
  socklen_t length = sizeof peer;

  return fd >= 0 && getpeername (fd, (struct sockaddr *)&peer, &length) == 0;
}

/* The time limit covers connecting, sending and the complete answer. Without it a connection that
 * stops responding would block the program indefinitely. */
static void
on_limit (gpointer data)
{
  Exchange *exchange = data;

  if (is_connected (exchange->connection))
    exchange->reply->state = CL_REPLY_LOST;
  exchange->reply->problem = g_strdup ("no answer in time");
  exchange_end (exchange);
}

static gboolean
exchange_send (Exchange *exchange)
{
  const ClCall *call = exchange->call;
  struct evhttp_request *request = evhttp_request_new (on_answer, exchange);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  enum evhttp_cmd_type method = call->body != NULL ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;

  evhttp_request_set_error_cb (request, on_error);
  evhttp_add_header (headers, "Host", call->address);
  evhttp_add_header (headers, "Connection", "close");
  if (call->token != NULL)
    {
      char *bearer = g_strconcat ("Bearer ", call->token, NULL);

      evhttp_add_header (headers, "Authorization", bearer);
      g_free (bearer);
    }
  if (call->body != NULL)
    {
      evhttp_add_header (headers, "Content-Type", "application/json");
      evbuffer_add (evhttp_request_get_output_buffer (request), call->body, strlen (call->body));
    }
  return evhttp_make_request (exchange->connection, request, method, call->path) == 0;
}

static void
exchange_start (Batch *batch, guint index)
{
  Exchange *exchange = g_new0 (Exchange, 1);
  HttpTransport *http = batch->http;
  char *host = NULL;
  guint16 port;

  exchange->batch = batch;
  exchange->call = &batch->calls[index];
  exchange->reply = batch->replies[index] = g_new0 (ClReply, 1);
  exchange->reply->state = CL_REPLY_NOT_SENT;
  if (!cm_address_parse (exchange->call->address, &host, &port))
    {
      exchange->reply->problem = g_strdup ("the address is not of the form IP:PORT");
      exchange_schedule_end (exchange);
      return;
    }
  exchange->connection = evhttp_connection_base_new (http->base, NULL, host, port);
  exchange->check = ht_answer_check_new (
      bufferevent_get_input (evhttp_connection_get_bufferevent (exchange->connection)));
  evhttp_connection_set_max_body_size (exchange->connection, MAX_ANSWER_BYTES);
  exchange->timer = knl_timer_start (http->kernel, exchange->call->timeout, on_limit, exchange);
  if (!exchange_send (exchange))
    {
      exchange->reply->problem = g_strdup ("no connection");
      exchange_schedule_end (exchange);
    }
  g_free (host);
}

static void
batch_fill (Batch *batch)
{
  while (batch->started < batch->count && batch->started - batch->ended < MAX_CONNECTIONS)
    exchange_start (batch, batch->started++);
}

static void
http_call (ClTransport *transport, const ClCall *calls, guint count, ClReply **replies)
{
  HttpTransport *http = (HttpTransport *)transport;
  Batch batch = { .http = http, .calls = calls, .replies = replies, .count = count };

  batch_fill (&batch);
  while (batch.ended < batch.count && event_base_dispatch (http->base) == 0)
    continue;
}

static void
on_pause_over (gpointer data)
{
  gboolean *over = data;

  *over = TRUE;
}

static void
http_pause (ClTransport *transport, KnlTime time)
{
  HttpTransport *http = (HttpTransport *)transport;
  gboolean over = FALSE;

  knl_timer_start (http->kernel, time, on_pause_over, &over);
  while (!over && event_base_loop (http->base, EVLOOP_ONCE) == 0)
    continue;
}

static KnlTime
http_now (ClTransport *transport)
{
  return knl_kernel_now (((HttpTransport *)transport)->kernel);
}

static void
http_destroy (ClTransport *transport)
{
  HttpTransport *http = (HttpTransport *)transport;

  knl_kernel_free (http->kernel);
  knl_event_runtime_free (http->runtime);
  event_base_free (http->base);
  g_free (http);
}

static const ClTransportClass http_class = {
  .call = http_call,
  .pause = http_pause,
  .now = http_now,
  .destroy = http_destroy,
};

ClTransport *
cl_http_new (void)
{
  HttpTransport *http = g_new0 (HttpTransport, 1);

  http->transport.klass = &http_class;
  http->base = event_base_new ();
  http->runtime = knl_event_runtime_new (http->base);
  http->kernel = knl_kernel_new (http->runtime, g_random_int ());
  return &http->transport;
}
