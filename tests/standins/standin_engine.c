/** standin-engine: serves the engine model over HTTP. */

#include "common/log.h"
#include "tests/standins/engine_model.h"
#include "tests/standins/http_server.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Rates are divisors, so they must not be 0. */
#define MIN_RATE 0.001

#define EXPORT_TIMEOUT_S 5

/* The weight store serves one download after the other, so a fetch may wait for many others. */
#define WEIGHTS_TIMEOUT_S   3600
#define WEIGHTS_RETRY_DELAY KNL_SEC

typedef struct
{
  SdServer server;
  SdEngineSettings settings; /* times in milliseconds */
  SdEngine *engine;
  guint streams;
  SdClient *weights;        /* request for weights in flight */
  KnlTimerId weights_retry; /* after a failed request */
  const char *weights_name; /* interned */
  double weights_bytes;
} Program;

static const CmSetting settings[] = {
  SD_TEXT (Program,
           "model",
           settings.model,
           "any",
           "Loaded at start; any: accept all until ordered"),
  SD_TEXT (Program, "adapter", settings.adapter, "", "Adapter loaded at the start"),
  SD_TEXT (Program, "role", settings.role, "any", "any, short or long"),
  SD_NUMBER (Program, "capacity-tokens", settings.capacity_tokens, "400000", "Memory in tokens"),
  SD_NUMBER (Program, "slots", settings.slots, "32", "Requests in one batch"),
  SD_NUMBER (Program, "max-waiting", settings.max_waiting, "64", "Maximum length of the queue"),
  SD_RATE (Program, "prefill-rate", settings.prefill_rate, "20000", "Tokens per second in total"),
  SD_RATE (Program, "decode-rate", settings.decode_rate, "50", "Tokens per second of a stream"),
  SD_RATE (Program, "clock-factor", settings.clock_factor, "1", "Engine seconds per real second"),
  SD_FLAG (Program, "check-fence", settings.checks_fence, "Refuse orders with a stale number"),
  SD_NUMBER (Program,
             "hold-ms",
             settings.hold_timeout,
             "30000",
             "How long unread answers are kept"),
  SD_NUMBER (Program, "load-lag-ms", settings.load_lag, "500", "Age of the load report"),
  SD_NUMBER (Program, "cache-lag-ms", settings.cache_lag, "500", "Lag of published cache events"),
  SD_NUMBER (Program, "model-load-ms", settings.model_load_time, "2000", "Minimum time to load"),
  SD_RATE (Program, "weight-bytes", settings.weight_bytes, "1e8", "Size of a model's weights"),
  { .name = NULL },
};

static json_t *
frame_to_json (const SdFrame *frame)
{
  json_int_t count = (json_int_t)frame->count;

  switch (frame->type)
    {
    case SD_FRAME_ACCEPTED:
      return json_pack ("{s:s, s:b}", "request", frame->request, "accepted", 1);
    case SD_FRAME_TOKENS:
      return json_pack ("{s:s, s:I, s:I, s:s}", "request", frame->request, "offset",
                        (json_int_t)frame->offset, "n", count, "text", frame->text);
    case SD_FRAME_HELD:
      return json_pack ("{s:s, s:b, s:I}", "request", frame->request, "held", 1, "tokens", count);
    case SD_FRAME_END:
      return json_pack ("{s:s, s:b, s:I, s:s}", "request", frame->request, "end", 1, "count", count,
                        "finish", frame->text);
    case SD_FRAME_ERROR:
      return json_pack ("{s:s, s:s}", "request", frame->request, "error", frame->text);
    }
  return NULL;
}

static void
end_stream (SdExchange *exchange)
{
  ((Program *)exchange->server)->streams--;
  sd_exchange_end (exchange);
}

static void
on_frame (const SdFrame *frame, gpointer data)
{
  json_t *line = frame_to_json (frame);
  char *text = json_dumps (line, JSON_COMPACT);

  sd_exchange_send (data, text, strlen (text));
  sd_exchange_send (data, "\n", 1);
  json_decref (line);
  free (text);
  if (frame->type == SD_FRAME_END || frame->type == SD_FRAME_ERROR)
    end_stream (data);
}

static void
on_client_closed (gpointer data)
{
  SdExchange *exchange = data;
  SdEngine *engine = ((Program *)exchange->server)->engine;

  sd_engine_detach (engine, sd_json_text (exchange->body, "request", ""), exchange);
  end_stream (exchange);
}

/* Prepares the exchange for streaming: it is detached from the engine if its client disconnects. */
static void
open_stream (SdExchange *exchange)
{
  exchange->on_closed = on_client_closed;
  exchange->closed_data = exchange;
  ((Program *)exchange->server)->streams++;
}

static void
refuse_stream (SdExchange *exchange, int status, const char *error)
{
  exchange->on_closed = NULL;
  ((Program *)exchange->server)->streams--;
  sd_exchange_refuse (exchange, status, error);
}

/* Adds the query parameters to the body, where sd_engine_call() expects them. */
static void
add_query (SdExchange *exchange)
{
  const struct evkeyval *parameter = exchange->query.tqh_first;

  for (; parameter != NULL; parameter = parameter->next.tqe_next)
    json_object_set_new (exchange->body, parameter->key, json_string (parameter->value));
}

static void
admit (gboolean held, guint64 imported, gpointer data)
{
  SdExchange *exchange = data;
  Program *program = (Program *)exchange->server;
  const json_t *body = exchange->body;
  SdRequest request = {
    .request = sd_json_text (body, "request", ""),
    .model = sd_json_text (body, "model", ""),
    .adapter = sd_json_text (body, "adapter", ""),
    .prompt = sd_json_text (body, "prompt", ""),
    .prompt_bytes = json_string_length (json_object_get (body, "prompt")),
    .prompt_tokens = (guint64)sd_json_number (body, "prompt_tokens", 0),
    .max_tokens = (guint64)sd_json_number (body, "max_tokens", 1),
    .priority = (int)sd_json_number (body, "priority", 0),
    .hold = sd_json_true (body, "hold"),
    .imports = json_object_get (body, "imports"),
    .imported_tokens = imported,
  };
  SdAdmission admission = SD_IMPORT_LOST;

  if (exchange->request == NULL)
    {
      sd_exchange_end (exchange);
      return;
    }
  open_stream (exchange);
  if (held)
    admission = sd_engine_generate (program->engine, &request, on_frame, exchange);
  if (admission == SD_WRONG_MODEL)
    refuse_stream (exchange, 404, sd_admission_name (admission));
  else if (admission != SD_ACCEPTED)
    refuse_stream (exchange, admission == SD_DUPLICATE ? 409 : 503, sd_admission_name (admission));
}

static void
generate (SdExchange *exchange, gpointer data)
{
  sd_engine_check_imports (((Program *)data)->engine, json_object_get (exchange->body, "imports"),
                           admit, exchange);
}

static void
resume (SdExchange *exchange, gpointer data)
{
  guint64 offset = g_ascii_strtoull (sd_exchange_query (exchange, "offset", "0"), NULL, 10);

  add_query (exchange);
  open_stream (exchange);
  if (!sd_engine_resume (((Program *)data)->engine, sd_json_text (exchange->body, "request", ""),
                         offset, on_frame, exchange))
    refuse_stream (exchange, 404, "request");
}

static void
answer_call (SdExchange *exchange, gpointer data)
{
  json_t *answer;
  int status;

  add_query (exchange);
  status = sd_engine_call (((Program *)data)->engine, exchange->path, exchange->body, &answer);
  if (status != 0)
    sd_exchange_reply (exchange, status, answer);
  else
    sd_exchange_drop (exchange);
}

static void
on_held (int status, json_t *answer, gpointer data)
{
  SdExchange *exchange = data;
  guint64 tokens = (guint64)sd_json_number (answer, "tokens", 0);
  gboolean done = exchange->request != NULL && status == 200
                  && sd_engine_import (((Program *)exchange->server)->engine,
                                       sd_json_text (exchange->body, "request", ""), tokens);

  sd_exchange_reply (exchange, done ? 200 : 503, json_pack ("{s:I}", "tokens", (json_int_t)tokens));
}

static void
request_export (Program *program,
                const char *address,
                const char *request,
                SdAnswerFunc done,
                gpointer data)
{
  sd_server_request (&program->server, address, EVHTTP_REQ_POST, "/v1/kv/export",
                     json_pack ("{s:s}", "request", request), EXPORT_TIMEOUT_S, done, data);
}

static void
import_held (SdExchange *exchange, gpointer data)
{
  request_export (data, sd_json_text (exchange->body, "from", ""),
                  sd_json_text (exchange->body, "request", ""), on_held, exchange);
}

static void
leave_by_request (SdExchange *exchange, gpointer data)
{
  sd_server_leave (data);
  sd_exchange_refuse (exchange, 200, NULL);
}

static gboolean
set_named_fault (SdEngine *engine, const char *mode, const json_t *body)
{
  static const char *const names[] = { "none",          "late-frames", "double-frames",
                                       "wrong-request", "short-count", "lose-cancel" };
  int fault = sd_name_index (names, G_N_ELEMENTS (names), mode);

  if (fault >= 0)
    sd_engine_set_fault (engine, (SdEngineFault)fault, (guint)sd_json_number (body, "count", 0));
  return fault >= 0;
}

static void
set_fault (SdExchange *exchange, gpointer data)
{
  SdEngine *engine = ((Program *)data)->engine;
  const json_t *body = exchange->body;
  const char *mode = sd_json_text (body, "mode", "none");
  gboolean known = TRUE;

  if (strcmp (mode, "crash-on") == 0)
    sd_engine_set_crash (engine, sd_json_text (body, "text", NULL));
  else if (strcmp (mode, "lag-ms") == 0)
    sd_engine_set_load_lag (engine, sd_json_number (body, "ms", 0) * KNL_MSEC);
  else if (strcmp (mode, "drop-cache-events") == 0)
    sd_prefix_cache_set_gaps (sd_engine_cache (engine), 100);
  else
    known = set_named_fault (engine, mode, body);
  sd_exchange_confirm (exchange, known);
}

/* Like a real crash: exits without answers or clean-up. */
static void
crash (gpointer data)
{
  cm_log (CM_LOG_CRIT, "crash-on-text", "s", "engine", ((Program *)data)->server.name);
  _exit (70);
}

static void
on_exported (int status, json_t *body, gpointer data)
{
  sd_engine_exported (data, status == 200, (guint64)sd_json_number (body, "tokens", 0));
}

static void
export_from (const char *address, const char *request, SdImport *import, gpointer data)
{
  request_export (data, address, request, on_exported, import);
}

static void request_weights (gpointer data);

/* The store may be down or slow for a long time; no model is served until it answers. */
static void
on_weights (int status, json_t *body, gpointer data)
{
  Program *program = data;

  program->weights = NULL;
  if (status == 200)
    sd_engine_receive_weights (program->engine);
  else
    program->weights_retry =
        knl_timer_start (program->server.kernel, WEIGHTS_RETRY_DELAY, request_weights, program);
}

static void
request_weights (gpointer data)
{
  Program *program = data;
  char *name = evhttp_encode_uri (program->weights_name);
  g_autofree char *path = g_strdup_printf ("/weights/%s?bytes=%.0f", name, program->weights_bytes);

  program->weights_retry = 0;
  program->weights =
      sd_server_request (&program->server, program->server.platform_address, EVHTTP_REQ_GET, path,
                         NULL, WEIGHTS_TIMEOUT_S, on_weights, program);
  free (name);
}

static void
fetch_weights (const char *name, double bytes, gpointer data)
{
  Program *program = data;

  knl_timer_stop (program->server.kernel, &program->weights_retry);
  g_clear_pointer (&program->weights, sd_client_drop);
  program->weights_name = g_intern_string (name);
  program->weights_bytes = bytes;
  if (program->server.platform_address != NULL)
    request_weights (program);
  else
    sd_engine_receive_weights (program->engine);
}

static const SdEngineHost host = {
  .crash = crash,
  .export_from = export_from,
  .fetch_weights = fetch_weights,
};

static gboolean
start (gpointer data)
{
  Program *program = data;
  SdEngineSettings values = program->settings;

  values.incarnation = (guint64)g_get_real_time ();
  values.prefill_rate = MAX (values.prefill_rate, MIN_RATE);
  values.decode_rate = MAX (values.decode_rate, MIN_RATE);
  values.clock_factor = MAX (values.clock_factor, MIN_RATE);
  values.hold_timeout *= KNL_MSEC;
  values.load_lag *= KNL_MSEC;
  values.cache_lag *= KNL_MSEC;
  values.model_load_time *= KNL_MSEC;
  values.any_model = strcmp (values.model, "any") == 0;
  if (values.any_model)
    values.model = "";
  program->engine = sd_engine_new (program->server.kernel, &values, &host, program);
  return TRUE;
}

static void
leave (gpointer data)
{
  sd_engine_leave (((Program *)data)->engine);
}

static gboolean
is_idle (gpointer data)
{
  const Program *program = data;

  return sd_engine_is_idle (program->engine) && program->streams == 0;
}

static void
clear (gpointer data)
{
  sd_engine_free (((Program *)data)->engine);
}

static const SdRoute routes[] = {
  { EVHTTP_REQ_POST, "/v1/generate", generate },
  { EVHTTP_REQ_GET, "/v1/resume", resume },
  { EVHTTP_REQ_POST, "/v1/kv/import", import_held },
  { EVHTTP_REQ_POST, "/v1/leave", leave_by_request },
  { EVHTTP_REQ_POST, "/fault", set_fault },
  { EVHTTP_REQ_POST, "/v1/cancel", answer_call },
  { EVHTTP_REQ_POST, "/v1/orders", answer_call },
  { EVHTTP_REQ_POST, "/v1/kv/export", answer_call },
  { EVHTTP_REQ_GET, "/v1/load", answer_call },
  { EVHTTP_REQ_GET, "/v1/cache-events", answer_call },
  { EVHTTP_REQ_GET, "/v1/ran", answer_call },
  { .path = NULL },
};

static const SdProgram engine_program = {
  .name = "standin-engine",
  .kind = "engine",
  .summary = "Stand-in of a model engine, for tests.",
  .settings = settings,
  .routes = routes,
  .start = start,
  .leave = leave,
  .is_idle = is_idle,
  .clear = clear,
};

int
main (int argc, char **argv)
{
  Program program = { .settings = sd_engine_defaults };

  program.settings.role = NULL; /* setting strings are freed, and the default is a literal */
  return sd_server_main (&program.server, &engine_program, argc, argv);
}
