#include "tests/standins/http_internal.h"

#include "common/log.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

/* Long because streams are silent during a long prefill, and hung exchanges until closed. */
#define CONNECTION_TIMEOUT_S (24 * 3600)

void
sd_exchange_free (gpointer data)
{
  SdExchange *exchange = data;

  json_decref (exchange->body);
  evhttp_clear_headers (&exchange->query);
  g_free (exchange);
}

/* Ends and frees the exchange. Returns its request, to be answered, or NULL if disconnected. */
static struct evhttp_request *
exchange_finish (SdExchange *exchange)
{
  struct evhttp_request *request = exchange->request;
  struct evhttp_connection *connection =
      request != NULL ? evhttp_request_get_connection (request) : NULL;

  if (connection != NULL)
    evhttp_connection_set_closecb (connection, NULL, NULL);
  g_ptr_array_remove_fast (exchange->server->exchanges, exchange);
  return request;
}

/*
 * When a connection breaks before the answer, libevent detaches the request and
 * doesn't free it. Unless it is freed here, each client that disconnects leaks one.
 */
static void
on_connection_closed (struct evhttp_connection *connection, void *data)
{
  SdExchange *exchange = data;
  void (*on_closed) (gpointer data) = exchange->on_closed;
  gpointer closed_data = exchange->closed_data;

  if (evhttp_request_get_connection (exchange->request) == NULL)
    evhttp_request_free (exchange->request);
  exchange->request = NULL;
  if (on_closed != NULL)
    on_closed (closed_data);
}

json_t *
sd_json_parse (struct evbuffer *input)
{
  gsize bytes = evbuffer_get_length (input);

  if (bytes == 0)
    return NULL;
  return json_loadb ((const char *)evbuffer_pullup (input, -1), bytes, JSON_ALLOW_NUL, NULL);
}

static SdExchange *
exchange_new (SdServer *server, struct evhttp_request *request)
{
  SdExchange *exchange = g_new0 (SdExchange, 1);
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *query = evhttp_uri_get_query (uri);

  exchange->server = server;
  exchange->request = request;
  exchange->path = evhttp_uri_get_path (uri);
  if (exchange->path == NULL)
    exchange->path = "/";
  exchange->body = sd_json_parse (evhttp_request_get_input_buffer (request));
  if (exchange->body == NULL)
    exchange->body = json_object ();
  evhttp_parse_query_str (query != NULL ? query : "", &exchange->query);
  g_ptr_array_add (server->exchanges, exchange);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_connection_closed,
                                 exchange);
  return exchange;
}

static gboolean
route_matches (const SdRoute *route, int method, const char *path)
{
  gboolean is_prefix = g_str_has_suffix (route->path, "/");

  return (route->methods & method) != 0
         && (is_prefix ? g_str_has_prefix (path, route->path) : strcmp (path, route->path) == 0);
}

static void
on_request (struct evhttp_request *request, void *data)
{
  SdServer *server = data;
  SdExchange *exchange = exchange_new (server, request);
  int method = evhttp_request_get_command (request);
  const SdRoute *route = server->program->routes;

  while (route->path != NULL && !route_matches (route, method, exchange->path))
    route++;
  if (strcmp (exchange->path, "/healthz") == 0)
    sd_exchange_refuse (exchange, 200, NULL);
  else if (route->path != NULL)
    route->answer (exchange, server);
  else
    sd_exchange_refuse (exchange, 404, NULL);
}

gboolean
sd_server_listen (SdServer *server)
{
  char *host = NULL;
  guint16 port;
  gboolean bound;

  server->http = evhttp_new (server->base);
  evhttp_set_timeout (server->http, CONNECTION_TIMEOUT_S);
  evhttp_set_gencb (server->http, on_request, server);
  bound = cm_address_parse (server->address, &host, &port)
          && evhttp_bind_socket (server->http, host, port) == 0;
  if (!bound)
    cm_log (CM_LOG_ERR, "listen-failed", "s", "address", server->address);
  g_free (host);
  return bound;
}

const char *
sd_exchange_query (const SdExchange *exchange, const char *name, const char *fallback)
{
  const char *value = evhttp_find_header (&exchange->query, name);

  return value != NULL ? value : fallback;
}

const char *
sd_exchange_header (const SdExchange *exchange, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (exchange->request), name);
}

gsize
sd_exchange_bytes (const SdExchange *exchange, const char **data)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (exchange->request);

  *data = (const char *)evbuffer_pullup (input, -1);
  return evbuffer_get_length (input);
}

void
sd_exchange_reply_bytes (SdExchange *exchange,
                         int status,
                         const char *content_type,
                         const char *body,
                         gsize bytes)
{
  struct evbuffer *output = evbuffer_new ();
  struct evhttp_request *request;

  evbuffer_add (output, body, bytes);
  request = exchange_finish (exchange);
  if (request != NULL)
    {
      evhttp_add_header (evhttp_request_get_output_headers (request), "Content-Type", content_type);
      evhttp_send_reply (request, status, NULL, output);
    }
  evbuffer_free (output);
}

void
sd_exchange_reply (SdExchange *exchange, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  sd_exchange_reply_bytes (exchange, status, "application/json", text, strlen (text));
  free (text);
  json_decref (body);
}

void
sd_exchange_refuse (SdExchange *exchange, int status, const char *error)
{
  sd_exchange_reply (exchange, status, json_pack ("{s:s*}", "error", error));
}

void
sd_exchange_confirm (SdExchange *exchange, gboolean known)
{
  sd_exchange_refuse (exchange, known ? 200 : 400, NULL);
}

void
sd_exchange_send (SdExchange *exchange, const char *text, gsize bytes)
{
  struct evhttp_request *request = exchange->request;
  struct evbuffer *output;

  if (request == NULL)
    return;
  if (!exchange->streams)
    {
      evhttp_add_header (evhttp_request_get_output_headers (request), "Content-Type",
                         "application/x-ndjson");
      evhttp_send_reply_start (request, 200, NULL);
    }
  exchange->streams = TRUE;
  output = evbuffer_new ();
  evbuffer_add (output, text, bytes);
  evhttp_send_reply_chunk (request, output);
  evbuffer_free (output);
}

void
sd_exchange_end (SdExchange *exchange)
{
  struct evhttp_request *request = exchange_finish (exchange);

  if (request != NULL)
    evhttp_send_reply_end (request);
}

/* Runs from a timer: inside the request's own callback libevent still uses the connection. */
static void
drop_now (gpointer data)
{
  struct evhttp_request *request = exchange_finish (data);

  if (request != NULL)
    evhttp_connection_free (evhttp_request_get_connection (request));
}

void
sd_exchange_drop (SdExchange *exchange)
{
  knl_timer_start (exchange->server->kernel, 0, drop_now, exchange);
}

static void
finish_hung (gpointer data)
{
  exchange_finish (data);
}

void
sd_exchange_hang (SdExchange *exchange)
{
  exchange->on_closed = finish_hung;
  exchange->closed_data = exchange;
}

gint64
sd_json_number (const json_t *object, const char *name, gint64 fallback)
{
  const json_t *value = json_object_get (object, name);

  return json_is_number (value) ? (gint64)json_number_value (value) : fallback;
}

const char *
sd_json_text (const json_t *object, const char *name, const char *fallback)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text != NULL ? text : fallback;
}

gboolean
sd_json_true (const json_t *object, const char *name)
{
  return json_is_true (json_object_get (object, name));
}

int
sd_name_index (const char *const *names, guint count, const char *name)
{
  for (guint i = 0; i < count; i++)
    {
      if (strcmp (names[i], name) == 0)
        return (int)i;
    }
  return -1;
}

/*
 * libevent's free_on_completion isn't used because it never frees a connection
 * that could not be established: each retry would leak one.
 */
void
sd_client_free (gpointer data)
{
  SdClient *client = data;

  evhttp_connection_free (client->connection);
  g_free (client->owned);
  g_free (client);
}

void
sd_client_start (SdClient **client_out,
                 SdServer *server,
                 struct evhttp_request *request,
                 enum evhttp_cmd_type method,
                 const char *address,
                 const char *path,
                 json_t *body,
                 int timeout_s)
{
  SdClient *client = g_new0 (SdClient, 1);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;
  char *host = NULL;
  guint16 port = 0;

  cm_address_parse (address, &host, &port);
  client->server = server;
  client->connection = evhttp_connection_base_new (server->base, NULL, host, port);
  evhttp_connection_set_timeout (client->connection, timeout_s);
  g_hash_table_add (server->clients, client);
  *client_out = client;
  evhttp_add_header (headers, "Host", address);
  evhttp_add_header (headers, "Connection", "close");
  if (text != NULL)
    {
      evhttp_add_header (headers, "Content-Type", "application/json");
      evbuffer_add (evhttp_request_get_output_buffer (request), text, strlen (text));
    }
  evhttp_make_request (client->connection, request, method, path);
  free (text);
  json_decref (body);
  g_free (host);
}

void
sd_client_drop (SdClient *client)
{
  g_hash_table_remove (client->server->clients, client);
}

static void
end_client (gpointer data)
{
  sd_client_drop (data);
}

void
sd_client_end (SdClient *client)
{
  knl_timer_start (client->server->kernel, 0, end_client, client);
}

typedef struct
{
  SdClient *client;
  gboolean ended;
  SdAnswerFunc done;
  gpointer data;
} JsonCall;

static void
on_answer (struct evhttp_request *request, void *data)
{
  JsonCall *json_call = data;
  int status = request != NULL ? evhttp_request_get_response_code (request) : 0;
  json_t *body = status != 0 ? sd_json_parse (evhttp_request_get_input_buffer (request)) : NULL;

  json_call->ended = TRUE;
  json_call->done (status, body, json_call->data);
  json_decref (body);
  sd_client_end (json_call->client);
}

SdClient *
sd_server_request (SdServer *server,
                   const char *address,
                   enum evhttp_cmd_type method,
                   const char *path,
                   json_t *body,
                   int timeout_s,
                   SdAnswerFunc done,
                   gpointer data)
{
  JsonCall *json_call = g_new0 (JsonCall, 1);

  json_call->done = done;
  json_call->data = data;
  sd_client_start (&json_call->client, server, evhttp_request_new (on_answer, json_call), method,
                   address, path, body, timeout_s);
  json_call->client->owned = json_call;
  return json_call->ended ? NULL : json_call->client;
}
