#include "tests/fakes/memory_engine_internal.h"

#include "endpoint/http_json.h"

#define ANSWER_LIMIT  (2 * KNL_SEC)
#define CONFIRM_DELAY (50 * KNL_MSEC)
#define SLOW_DELAY    KNL_SEC

typedef struct
{
  int status; /* HTTP status; 0: the call failed without an answer */
  EpFailureKind failure;
  json_t *json;
} Answer;

typedef struct Call Call;

/* A call that isn't a stream. */
struct Call
{
  FkCall base;
  Endpoint *endpoint;
  FkConnectionFault fault;
  const char *path; /* of a call to an engine; NULL: a call to a plain service */
  json_t *body;
  char *service_path;
  char *key;
  GBytes *bytes;
  void (*finish) (Call *call, const Answer *answer);
  union
  {
    EpDoneFunc done;
    EpReportFunc report;
    EpOrderFunc order;
    EpCacheFunc cache;
    EpServiceFunc service;
  } func;
  gpointer data;
};

static void
answer_free (gpointer data)
{
  json_decref (((Answer *)data)->json);
  g_free (data);
}

static void
call_destroy (FkCall *base)
{
  Call *call = (Call *)base;

  json_decref (call->body);
  g_clear_pointer (&call->bytes, g_bytes_unref);
  g_free (call->service_path);
  g_free (call->key);
  g_free (call);
}

static void
finish_cancel (Call *call, const Answer *answer)
{
  call->func.done (answer->status == 200, call->data);
}

static void
finish_report (Call *call, const Answer *answer)
{
  EpReport report = { 0 };
  gboolean good = answer->status == 200 && ep_json_to_report (answer->json, &report);

  call->func.report (good ? &report : NULL, call->data);
  g_free ((gpointer)report.running);
}

static void
finish_order (Call *call, const Answer *answer)
{
  EpOrderResult result = answer->status == 200 ? EP_ORDER_DONE : EP_ORDER_STALE;
  guint64 fence = (guint64)json_integer_value (json_object_get (answer->json, "fence"));

  call->func.order (answer->status != 0 ? result : EP_ORDER_UNKNOWN, fence, call->data);
}

static void
finish_cache (Call *call, const Answer *answer)
{
  guint64 last = 0;
  g_autoptr (GArray) events = ep_json_to_cache_events (answer->json, &last);

  call->func.cache (answer->status == 200, (const EpCacheEvent *)(gpointer)events->data,
                    events->len, last, call->data);
}

static void
finish_service (Call *call, const Answer *answer)
{
  const EpFailure failure = { .kind = answer->failure, .detail = "call failed" };
  gsize bytes;
  const char *body = g_bytes_get_data (call->bytes, &bytes);

  if (answer->status == 200)
    call->func.service (NULL, 200, "application/octet-stream", body, bytes, call->data);
  else
    call->func.service (&failure, 0, NULL, NULL, 0, call->data);
}

static void
call_receive (FkCall *base, gpointer piece)
{
  Call *call = (Call *)base;
  gboolean sent = call->fault != FK_CONNECTION_NO_CONNECT;
  const Answer none = { .failure = sent ? EP_CUT : EP_NOT_SENT };

  fk_call_end (base);
  call->finish (call, piece != NULL ? piece : &none);
}

/* Takes ownership of `json`. */
static void
answer (Call *call, int status, json_t *json, EpFailureKind failure, KnlTime delay)
{
  Answer *piece = g_new0 (Answer, 1);
  gboolean cut = call->fault == FK_CONNECTION_CUT;

  piece->status = cut ? 0 : status;
  piece->failure = cut ? EP_CUT : failure;
  piece->json = json;
  if (call->fault != FK_CONNECTION_SILENT)
    fk_call_answer (&call->base, delay, piece);
  else
    answer_free (piece);
}

static void
call_lost (FkCall *base)
{
  answer ((Call *)base, 0, NULL, EP_CUT, 0);
}

static void
run_service (Call *call, SdService *service)
{
  KnlTime delay = g_str_has_prefix (call->service_path, "/confirm") ? CONFIRM_DELAY : 0;

  if (service->fault == SD_SERVICE_HANG)
    return;
  if (service->fault == SD_SERVICE_REFUSE)
    {
      answer (call, 0, NULL, EP_REFUSED, 0);
      return;
    }
  sd_service_run (service, call->key != NULL ? call->key : "");
  delay += service->fault == SD_SERVICE_SLOW ? SLOW_DELAY : 0;
  answer (call, service->fault != SD_SERVICE_CUT_AFTER_RUN ? 200 : 0, NULL, EP_CUT, delay);
}

static void
call_arrive (FkCall *base)
{
  Call *call = (Call *)base;
  Endpoint *endpoint = call->endpoint;
  json_t *json;
  int status;

  if (call->path == NULL && endpoint->service != NULL)
    run_service (call, endpoint->service);
  else if (call->path != NULL && endpoint->engine != NULL)
    {
      status = sd_engine_call (endpoint->engine, call->path, call->body, &json);
      if (status != 0)
        answer (call, status, json, EP_CUT, 0);
    }
  else
    answer (call, 0, NULL, EP_CUT, 0);
}

static const FkCallClass call_class = {
  .arrive = call_arrive,
  .receive = call_receive,
  .lost = call_lost,
  .destroy = call_destroy,
  .free_piece = answer_free,
};

/* Copies `from` and takes ownership of its allocated members. */
static EpCallId
call_start (EpClient *base, const char *address, KnlTime limit, const Call *from)
{
  FleetClient *client = (FleetClient *)base;
  Call *call = g_memdup2 (from, sizeof *from);
  guint frames;

  call->endpoint = fk_fleet_find (client->fleet, address);
  call->fault = fk_endpoint_connect (call->endpoint, &frames);
  fk_call_open (&call->base, &call_class, &client->calls, limit);
  if (call->fault == FK_CONNECTION_REFUSED)
    answer (call, 0, NULL, EP_NOT_SENT, 0);
  else if (call->fault != FK_CONNECTION_NO_CONNECT && call->fault != FK_CONNECTION_NO_REQUEST)
    fk_call_send (&call->base, call->endpoint->kernel, call->endpoint->in_flight);
  return call->base.id;
}

static EpCallId
client_cancel (EpClient *client,
               const char *address,
               const char *request,
               EpDoneFunc done,
               gpointer data)
{
  Call call = { .path = "/v1/cancel",
                .body = json_pack ("{s:s}", "request", request),
                .finish = finish_cancel,
                .func.done = done,
                .data = data };

  return call_start (client, address, ANSWER_LIMIT, &call);
}

static EpCallId
client_report (EpClient *client, const char *address, EpReportFunc done, gpointer data)
{
  Call call = { .path = "/v1/load", .finish = finish_report, .func.report = done, .data = data };

  return call_start (client, address, ANSWER_LIMIT, &call);
}

static EpCallId
client_order (EpClient *client,
              const char *address,
              const EpOrder *order,
              EpOrderFunc done,
              gpointer data)
{
  Call call = { .path = "/v1/orders",
                .body = json_pack ("{s:I, s:s*, s:s*, s:s*}", "fence", (json_int_t)order->fence,
                                   "model", order->model, "adapter", order->adapter, "role",
                                   order->role),
                .finish = finish_order,
                .func.order = done,
                .data = data };

  return call_start (client, address, ANSWER_LIMIT, &call);
}

static EpCallId
client_cache_events (EpClient *client,
                     const char *address,
                     guint64 after,
                     EpCacheFunc done,
                     gpointer data)
{
  g_autofree char *text = g_strdup_printf ("%" G_GUINT64_FORMAT, after);
  Call call = { .path = "/v1/cache-events",
                .body = json_pack ("{s:s}", "after", text),
                .finish = finish_cache,
                .func.cache = done,
                .data = data };

  return call_start (client, address, ANSWER_LIMIT, &call);
}

static EpCallId
client_service_call (EpClient *client,
                     const EpServiceCall *service,
                     EpServiceFunc done,
                     gpointer data)
{
  Call call = { .service_path = g_strdup (service->path),
                .key = g_strdup (service->idempotency_key),
                .bytes = g_bytes_new (service->body, service->body_bytes),
                .finish = finish_service,
                .func.service = done,
                .data = data };

  return call_start (client, service->address, service->answer_timeout, &call);
}

static EpStream *
client_generate (EpClient *client,
                 const EpGenerate *generate,
                 const EpStreamEvents *events,
                 gpointer data)
{
  return fk_stream_new ((FleetClient *)client, generate, events, data);
}

static void
client_stream_close (EpClient *client, EpStream *stream)
{
  fk_call_end ((FkCall *)stream);
}

static void
client_call_cancel (EpClient *client, EpCallId id)
{
  fk_calls_drop (&((FleetClient *)client)->calls, id);
}

static void
client_free (EpClient *client)
{
  fk_calls_clear (&((FleetClient *)client)->calls);
  g_free (client);
}

static const EpClientClass client_class = {
  .generate = client_generate,
  .stream_close = client_stream_close,
  .cancel = client_cancel,
  .report = client_report,
  .order = client_order,
  .cache_events = client_cache_events,
  .service_call = client_service_call,
  .call_cancel = client_call_cancel,
  .free = client_free,
};

EpClient *
fk_fleet_client_new (FkFleet *fleet, KnlKernel *kernel)
{
  FleetClient *self = g_new0 (FleetClient, 1);

  self->base.klass = &client_class;
  self->fleet = fleet;
  fk_calls_init (&self->calls, kernel);
  return &self->base;
}
