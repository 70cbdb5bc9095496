#include "endpoint/http.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "endpoint/exchange.h"
#include "endpoint/http_json.h"
#include "endpoint/http_stream.h"

/* Calls to engines except streams: their bodies are small and their answers quick. */
#define CALL_CONNECT_TIMEOUT  (1 * KNL_SEC)
#define CALL_ANSWER_TIMEOUT   (2 * KNL_SEC)
#define MAX_CALL_ANSWER_BYTES ((gsize)4 * 1024 * 1024)
#define ORDER_ANSWER_TIMEOUT  (5 * KNL_SEC)

/*
 * A report shows whether an engine is alive. An entry requests one only after a stream has
 * been silent for its timeout, so this timeout is short.
 */
#define REPORT_TIMEOUT (1 * KNL_SEC)

/* A plain service adds it to a 503 answer to say that it did not run the call. */
#define NOT_RUN_HEADER "Alderturn-Not-Run"

typedef struct
{
  EpClient base;
  KnlKernel *kernel;
  struct event_base *events;
  GHashTable *streams; /* set of EpStream */
  GHashTable *calls;   /* EpCallId -> Call */
  EpCallId last_call;
} HttpClient;

typedef struct Call Call;

/* Decodes the answer of a call that has ended and calls back its caller. */
typedef void (*CallFinish) (Call *call, EpExchangeEnd end, const char *detail);

struct Call
{
  EpCallId id;
  HttpClient *client;
  EpExchange *exchange;
  GByteArray *body;
  CallFinish finish;
  gpointer data;
  union
  {
    EpDoneFunc done;
    EpReportFunc report;
    EpOrderFunc order;
    EpCacheFunc cache;
    EpServiceFunc service;
  } func;
};

static void
call_free (gpointer data)
{
  Call *call = data;

  if (call->exchange != NULL)
    ep_exchange_close (call->exchange);
  g_byte_array_unref (call->body);
  g_free (call);
}

static void
on_call_data (EpExchange *exchange, struct evbuffer *data, gpointer user)
{
  Call *call = user;
  gsize length = evbuffer_get_length (data);

  g_byte_array_append (call->body, evbuffer_pullup (data, -1), (guint)length);
  evbuffer_drain (data, length);
}

static void
on_call_end (EpExchange *exchange, EpExchangeEnd end, const char *detail, gpointer user)
{
  Call *call = user;

  g_hash_table_steal (call->client->calls, &call->id);
  call->finish (call, end, detail);
  call->exchange = NULL;
  call_free (call);
}

static const EpExchangeEvents call_events = {
  .on_data = on_call_data,
  .on_end = on_call_end,
};

static Call *
call_start (HttpClient *self, const EpExchangeStart *start, CallFinish finish, gpointer data)
{
  Call *call = g_new0 (Call, 1);

  call->id = ++self->last_call;
  call->client = self;
  call->body = g_byte_array_new ();
  call->finish = finish;
  call->data = data;
  call->exchange = ep_exchange_start (self->kernel, self->events, start, &call_events, call);
  g_hash_table_insert (self->calls, &call->id, call);
  return call;
}

static EpExchangeStart
engine_call_params (const char *address, const char *method, const char *path, const char *body)
{
  return (EpExchangeStart){
    .address = address,
    .method = method,
    .path = path,
    .content_type = body != NULL ? "application/json" : NULL,
    .body = body,
    .body_bytes = body != NULL ? strlen (body) : 0,
    .max_answer_bytes = MAX_CALL_ANSWER_BYTES,
    .connect_timeout = CALL_CONNECT_TIMEOUT,
    .first_byte_timeout = CALL_ANSWER_TIMEOUT,
    .idle_timeout = CALL_ANSWER_TIMEOUT,
  };
}

/* The answer as JSON if it is complete and its status is 200, otherwise NULL. */
static json_t *
call_json (Call *call, EpExchangeEnd end)
{
  if (end != EP_EXCHANGE_COMPLETE || ep_exchange_status (call->exchange) != 200)
    return NULL;
  return ep_json_parse ((const char *)call->body->data, call->body->len);
}

static void
finish_cancel (Call *call, EpExchangeEnd end, const char *detail)
{
  gboolean acknowledged = end == EP_EXCHANGE_COMPLETE && ep_exchange_status (call->exchange) == 200;

  call->func.done (acknowledged, call->data);
}

static EpCallId
http_cancel (EpClient *client,
             const char *address,
             const char *request,
             EpDoneFunc done,
             gpointer data)
{
  json_t *json = json_pack ("{s:s}", "request", request);
  char *body = json_dumps (json, JSON_COMPACT);
  EpExchangeStart start = engine_call_params (address, "POST", "/v1/cancel", body);
  Call *call = call_start ((HttpClient *)client, &start, finish_cancel, data);

  call->func.done = done;
  json_decref (json);
  free (body);
  return call->id;
}

static void
finish_report (Call *call, EpExchangeEnd end, const char *detail)
{
  json_t *json = call_json (call, end);
  EpReport report = { 0 };

  if (json != NULL && ep_json_to_report (json, &report))
    call->func.report (&report, call->data);
  else
    call->func.report (NULL, call->data);
  g_free ((gpointer)report.running);
  json_decref (json);
}

static EpCallId
http_report (EpClient *client, const char *address, EpReportFunc done, gpointer data)
{
  EpExchangeStart start = engine_call_params (address, "GET", "/v1/load", NULL);
  Call *call;

  start.first_byte_timeout = REPORT_TIMEOUT;
  start.idle_timeout = REPORT_TIMEOUT;
  call = call_start ((HttpClient *)client, &start, finish_report, data);
  call->func.report = done;
  return call->id;
}

static void
finish_order (Call *call, EpExchangeEnd end, const char *detail)
{
  int status = end == EP_EXCHANGE_COMPLETE ? ep_exchange_status (call->exchange) : 0;
  json_t *json = ep_json_parse ((const char *)call->body->data, call->body->len);
  guint64 fence = (guint64)json_integer_value (json_object_get (json, "fence"));
  EpOrderResult result = EP_ORDER_UNKNOWN;

  if (status == 200)
    result = EP_ORDER_DONE;
  else if (status == 409)
    result = EP_ORDER_STALE;
  call->func.order (result, fence, call->data);
  json_decref (json);
}

static EpCallId
http_order (EpClient *client,
            const char *address,
            const EpOrder *order,
            EpOrderFunc done,
            gpointer data)
{
  char *body = ep_json_from_order (order);
  EpExchangeStart start = engine_call_params (address, "POST", "/v1/orders", body);
  Call *call;

  start.first_byte_timeout = ORDER_ANSWER_TIMEOUT;
  call = call_start ((HttpClient *)client, &start, finish_order, data);
  call->func.order = done;
  free (body);
  return call->id;
}

static void
finish_cache (Call *call, EpExchangeEnd end, const char *detail)
{
  json_t *json = call_json (call, end);
  guint64 last = 0;
  GArray *events = ep_json_to_cache_events (json, &last);

  call->func.cache (json != NULL, (const EpCacheEvent *)(gpointer)events->data, events->len, last,
                    call->data);
  g_array_unref (events);
  json_decref (json);
}

static EpCallId
http_cache_events (EpClient *client,
                   const char *address,
                   guint64 after,
                   EpCacheFunc done,
                   gpointer data)
{
  char *path = g_strdup_printf ("/v1/cache-events?after=%" G_GUINT64_FORMAT, after);
  EpExchangeStart start = engine_call_params (address, "GET", path, NULL);
  Call *call = call_start ((HttpClient *)client, &start, finish_cache, data);

  call->func.cache = done;
  g_free (path);
  return call->id;
}

static void
finish_service (Call *call, EpExchangeEnd end, const char *detail)
{
  EpFailure failure = { .kind = EP_CUT, .detail = detail };
  int status = ep_exchange_status (call->exchange);

  if (end == EP_EXCHANGE_NOT_SENT)
    failure.kind = EP_NOT_SENT;
  else if (end == EP_EXCHANGE_COMPLETE && status == 503
           && g_strcmp0 (ep_exchange_header (call->exchange, NOT_RUN_HEADER), "true") == 0)
    failure.kind = EP_REFUSED;
  else if (end == EP_EXCHANGE_COMPLETE)
    {
      call->func.service (NULL, status, ep_exchange_header (call->exchange, "Content-Type"),
                          (const char *)call->body->data, call->body->len, call->data);
      return;
    }
  call->func.service (&failure, 0, NULL, NULL, 0, call->data);
}

static EpCallId
http_service_call (EpClient *client,
                   const EpServiceCall *service,
                   EpServiceFunc done,
                   gpointer data)
{
  EpExchangeStart start = {
    .address = service->address,
    .method = service->method,
    .path = service->path,
    .content_type = service->content_type,
    .idempotency_key = service->idempotency_key,
    .request = service->request,
    .body = service->body,
    .body_bytes = service->body_bytes,
    .max_answer_bytes = service->max_answer_bytes,
    .connect_timeout = service->connect_timeout,
    .first_byte_timeout = service->answer_timeout,
    .idle_timeout = service->answer_timeout,
  };
  Call *call = call_start ((HttpClient *)client, &start, finish_service, data);

  call->func.service = done;
  return call->id;
}

static void
http_call_cancel (EpClient *client, EpCallId id)
{
  g_hash_table_remove (((HttpClient *)client)->calls, &id);
}

static void
on_stream_ended (EpStream *stream, gpointer owner)
{
  g_hash_table_remove (((HttpClient *)owner)->streams, stream);
}

static EpStream *
http_generate (EpClient *client,
               const EpGenerate *generate,
               const EpStreamEvents *events,
               gpointer data)
{
  HttpClient *self = (HttpClient *)client;
  EpStream *stream = ep_http_stream_new (self->kernel, self->events, generate, events, data);

  ep_http_stream_set_owner (stream, on_stream_ended, self);
  g_hash_table_add (self->streams, stream);
  return stream;
}

static void
http_stream_close (EpClient *client, EpStream *stream)
{
  g_hash_table_remove (((HttpClient *)client)->streams, stream);
  ep_http_stream_free (stream);
}

static void
http_free (EpClient *client)
{
  HttpClient *self = (HttpClient *)client;
  GHashTableIter iter;
  gpointer stream;

  g_hash_table_iter_init (&iter, self->streams);
  while (g_hash_table_iter_next (&iter, &stream, NULL))
    ep_http_stream_free (stream);
  g_hash_table_unref (self->streams);
  g_hash_table_unref (self->calls);
  g_free (self);
}

static const EpClientClass http_class = {
  .generate = http_generate,
  .stream_close = http_stream_close,
  .cancel = http_cancel,
  .report = http_report,
  .order = http_order,
  .cache_events = http_cache_events,
  .service_call = http_service_call,
  .call_cancel = http_call_cancel,
  .free = http_free,
};

EpClient *
ep_http_client_new (KnlKernel *kernel, struct event_base *base)
{
  HttpClient *self = g_new0 (HttpClient, 1);

  self->base.klass = &http_class;
  self->kernel = kernel;
  self->events = base;
  self->streams = g_hash_table_new (g_direct_hash, g_direct_equal);
  self->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, call_free);
  return &self->base;
}
