/** standin-service: serves the model of a plain service over HTTP. */

#include "tests/standins/http_server.h"
#include "tests/standins/service_model.h"

#include <string.h>

typedef struct
{
  SdServer server;
  gint64 confirm_ms;
  SdService service;
  KnlTime slow_by;
  guint calls;
} Program;

static const CmSetting settings[] = {
  SD_NUMBER (Program, "confirm-ms", confirm_ms, "50", "Time of POST /confirm, in milliseconds"),
  { .name = NULL },
};

static void
answer_call (gpointer data)
{
  SdExchange *exchange = data;
  Program *program = (Program *)exchange->server;
  const char *type;
  const char *body;
  gsize bytes;

  program->calls--;
  if (exchange->request == NULL)
    sd_exchange_end (exchange);
  else if (strcmp (exchange->path, "/confirm") == 0)
    sd_exchange_reply (exchange, 200,
                       json_pack ("{s:i}", "confirmed", (int)program->service.total));
  else
    {
      type = sd_exchange_header (exchange, "Content-Type");
      bytes = sd_exchange_bytes (exchange, &body);
      sd_exchange_reply_bytes (exchange, 200, type != NULL ? type : "application/octet-stream",
                               body, bytes);
    }
}

static void
start_call (SdExchange *exchange, gpointer data)
{
  Program *program = data;
  SdServiceFault fault = program->service.fault;
  const char *key = sd_exchange_header (exchange, "Idempotency-Key");
  KnlTime delay = strcmp (exchange->path, "/confirm") == 0 ? program->confirm_ms * KNL_MSEC : 0;

  if (fault == SD_SERVICE_HANG)
    {
      sd_exchange_hang (exchange);
      return;
    }
  if (fault == SD_SERVICE_REFUSE || program->server.leaving)
    {
      evhttp_add_header (evhttp_request_get_output_headers (exchange->request), "Alderturn-Not-Run",
                         "true");
      sd_exchange_refuse (exchange, 503, "refused");
      return;
    }
  sd_service_run (&program->service, key != NULL ? key : "");
  if (fault == SD_SERVICE_CUT_AFTER_RUN)
    {
      sd_exchange_drop (exchange);
      return;
    }
  program->calls++;
  delay += fault == SD_SERVICE_SLOW ? program->slow_by : 0;
  knl_timer_start (program->server.kernel, delay, answer_call, exchange);
}

static void
set_fault (SdExchange *exchange, gpointer data)
{
  Program *program = data;
  const char *mode = sd_json_text (exchange->body, "mode", "none");

  program->slow_by = sd_json_number (exchange->body, "ms", 1000) * KNL_MSEC;
  sd_exchange_confirm (exchange, sd_service_fault_parse (mode, &program->service.fault));
}

static void
ran (SdExchange *exchange, gpointer data)
{
  const SdService *service = &((Program *)data)->service;
  const char *key = sd_exchange_query (exchange, "key", NULL);
  guint count = key != NULL ? sd_service_runs (service, key) : service->total;

  sd_exchange_reply (exchange, 200, json_pack ("{s:i}", "ran", (int)count));
}

static gboolean
start (gpointer program)
{
  sd_service_init (&((Program *)program)->service);
  return TRUE;
}

static gboolean
is_idle (gpointer program)
{
  return ((Program *)program)->calls == 0;
}

static void
clear (gpointer program)
{
  sd_service_clear (&((Program *)program)->service);
}

static const SdRoute routes[] = {
  { EVHTTP_REQ_POST, "/fault", set_fault },
  { EVHTTP_REQ_GET, "/ran", ran },
  { SD_ANY_METHOD, "/", start_call },
  { .path = NULL },
};

static const SdProgram service_program = {
  .name = "standin-service",
  .kind = "service",
  .summary = "Stand-in of a plain service, for tests.",
  .settings = settings,
  .routes = routes,
  .start = start,
  .is_idle = is_idle,
  .clear = clear,
};

int
main (int argc, char **argv)
{
  Program program = { 0 };

  return sd_server_main (&program.server, &service_program, argc, argv);
}
