#include "controller/http.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

#include "common/settings.h"
#include "controller/operators.h"

#define MAX_HEADER_BYTES 16384
#define IDLE_TIMEOUT_S   60

/* Maximum number of pending requests; further ones are answered with 503. */
#define MAX_PENDING 256

typedef struct
{
  KnlTask base;
  struct evhttp *server;
  guint64 last_number;
  GHashTable *pending; /* number -> `PendingRequest` */
} Http;

typedef struct
{
  guint64 number;
  Http *http;
  struct evhttp_request *request;
  struct evhttp_connection *connection;
} PendingRequest;

/*
 * The operator has disconnected. evhttp frees the request, so the pending answer
 * is dropped: sending it later would access freed memory.
 */
static void
on_connection_closed (struct evhttp_connection *connection, void *data)
{
  PendingRequest *pending = data;

  g_hash_table_remove (pending->http->pending, &pending->number);
}

static const char *
method_name (enum evhttp_cmd_type method)
{
  if (method == EVHTTP_REQ_GET)
    return "GET";
  return method == EVHTTP_REQ_POST ? "POST" : "OTHER";
}

static char *
bearer_token (struct evhttp_request *request)
{
  const char *header =
      evhttp_find_header (evhttp_request_get_input_headers (request), "Authorization");

  return header != NULL && g_ascii_strncasecmp (header, "Bearer ", 7) == 0 ? g_strdup (header + 7)
                                                                           : NULL;
}

static char *
decoded_path (struct evhttp_request *request)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *path = uri != NULL ? evhttp_uri_get_path (uri) : NULL;
  char *decoded = evhttp_uridecode (path != NULL ? path : "/", 0, NULL);
  char *copy = g_strdup (decoded != NULL ? decoded : "/");

  free (decoded);
  return copy;
}

static KnlMessage *
call_from_request (struct evhttp_request *request, guint64 number)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  gsize bytes = evbuffer_get_length (body);
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  char *path = decoded_path (request);
  CtOperatorCall *call =
      ct_operator_call_new (number, method_name (evhttp_request_get_command (request)), path);

  g_free (path);
  call->query = uri != NULL ? g_strdup (evhttp_uri_get_query (uri)) : NULL;
  call->token = bearer_token (request);
  if (bytes > 0)
    call->body = g_strndup ((const char *)evbuffer_pullup (body, -1), bytes);
  return &call->base;
}

static void
on_request (struct evhttp_request *request, void *data)
{
  Http *http = data;
  PendingRequest *pending;
  KnlMessage *message;

  if (g_hash_table_size (http->pending) >= MAX_PENDING)
    {
      evhttp_send_error (request, HTTP_SERVUNAVAIL, "too many requests wait");
      return;
    }
  pending = g_new0 (PendingRequest, 1);
  pending->number = ++http->last_number;
  pending->http = http;
  pending->request = request;
  pending->connection = evhttp_request_get_connection (request);
  evhttp_connection_set_closecb (pending->connection, on_connection_closed, pending);
  g_hash_table_insert (http->pending, &pending->number, pending);
  message = call_from_request (request, pending->number);
  message->sender = http->base.id;
  if (knl_post (http->base.kernel, knl_registry_find (http->base.kernel, CT_OPERATORS_SERVICE),
                message))
    return;
  evhttp_connection_set_closecb (pending->connection, NULL, NULL);
  g_hash_table_remove (http->pending, &pending->number);
  evhttp_send_error (request, HTTP_SERVUNAVAIL, "ending");
}

static void
http_receive (KnlTask *task, KnlMessage *message)
{
  Http *http = (Http *)task;
  const CtOperatorAnswer *answer = (const CtOperatorAnswer *)message;
  const PendingRequest *pending = g_hash_table_lookup (http->pending, &answer->number);
  struct evhttp_request *request;

  if (pending == NULL)
    return;
  request = pending->request;
  evhttp_connection_set_closecb (pending->connection, NULL, NULL);
  g_hash_table_remove (http->pending, &answer->number);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Content-Type",
                     answer->content_type);
  evbuffer_add (evhttp_request_get_output_buffer (request), answer->body, strlen (answer->body));
  evhttp_send_reply (request, answer->status, NULL, NULL);
}

static void
http_destroy (KnlTask *task)
{
  Http *http = (Http *)task;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, http->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    evhttp_connection_set_closecb (((PendingRequest *)value)->connection, NULL, NULL);
  evhttp_free (http->server);
  g_hash_table_destroy (http->pending);
  g_free (http);
}

static const KnlTaskClass http_class = {
  .name = "operators-http",
  .receive = http_receive,
  .destroy = http_destroy,
};

KnlTaskId
ct_http_start (KnlKernel *kernel, struct event_base *base, const char *address, gsize body_bytes)
{
  Http *http;
  struct evhttp *server = evhttp_new (base);
  char *host = NULL;
  guint16 port = 0;

  if (!cm_address_parse (address, &host, &port) || evhttp_bind_socket (server, host, port) != 0)
    {
      evhttp_free (server);
      g_free (host);
      return 0;
    }
  g_free (host);
  evhttp_set_max_body_size (server, (ev_ssize_t)body_bytes);
  evhttp_set_max_headers_size (server, MAX_HEADER_BYTES);
  evhttp_set_timeout (server, IDLE_TIMEOUT_S);
  evhttp_set_allowed_methods (server, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
  http = g_new0 (Http, 1);
  http->base.klass = &http_class;
  http->server = server;
  http->pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  evhttp_set_gencb (server, on_request, http);
  return knl_task_start (kernel, &http->base, "operators-http");
}
