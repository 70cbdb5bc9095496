#include "tests/standins/http_internal.h"

#include "common/log.h"
#include "kernel/event_runtime.h"

#include <signal.h>

#define RETRY_DELAY          (200 * KNL_MSEC)
#define DRAIN_CHECK_INTERVAL (50 * KNL_MSEC)
#define REQUEST_TIMEOUT_S    5

/* Settings of every endpoint's stand-in; "name", whose default is the kind, is added to them. */
static const CmSetting endpoint_settings[] = {
  SD_ADDRESS (SdServer, "listen-address", address, FALSE, "Address to listen at"),
  SD_ADDRESS (SdServer,
              "advertised-address",
              advertised_address,
              TRUE,
              "Address in the instance list; default: the listen address"),
  SD_ADDRESS (SdServer, "platform-address", platform_address, TRUE, "Platform to register with"),
  SD_TEXT (SdServer, "zone", zone, "a", "Availability zone"),
  SD_TEXT (SdServer, "region", region, "local", "Region"),
  SD_TEXT (SdServer, "label", label, "", "Label that services choose endpoints by"),
};

static GArray *
settings_table (const SdProgram *program)
{
  CmSetting name = SD_TEXT (SdServer, "name", name, program->kind, "Name of the instance");
  GArray *table = g_array_new (TRUE, FALSE, sizeof (CmSetting));

  if (program->kind != NULL)
    {
      g_array_append_vals (table, endpoint_settings, G_N_ELEMENTS (endpoint_settings));
      g_array_append_val (table, name);
    }
  for (const CmSetting *row = program->settings; row->name != NULL; row++)
    g_array_append_vals (table, row, 1);
  return table;
}

/* Returns -1 to run the program, otherwise its exit status. */
static int
parse_settings (SdServer *server, const CmSetting *table, int argc, char **argv)
{
  g_auto (CmFindings) findings;
  CmSettingsAction action;
  int status;

  cm_findings_init (&findings);
  action = cm_settings_parse (table, server->program->summary, argc, argv, server, NULL, &findings);
  status = action == CM_SETTINGS_RUN ? -1 : 0;
  if (cm_findings_report (&findings))
    status = 2;
  return status;
}

static void
call_platform (SdServer *server, enum evhttp_cmd_type method, json_t *body, SdAnswerFunc done)
{
  g_autofree char *path =
      g_strconcat ("/instances/", server->program->kind, "/", server->name, NULL);

  sd_server_request (server, server->platform_address, method, path, body, REQUEST_TIMEOUT_S, done,
                     server);
}

static void put_instance (gpointer data);

static void
on_put (int status, json_t *body, gpointer data)
{
  SdServer *server = data;

  if (status != 200 && server->retry == 0 && !server->removing)
    server->retry = knl_timer_start (server->kernel, RETRY_DELAY, put_instance, server);
}

/* Registers the instance with the platform; retried until it succeeds. */
static void
put_instance (gpointer data)
{
  SdServer *server = data;
  gboolean has_advertised_address = server->advertised_address != NULL;

  server->retry = 0;
  if (server->platform_address == NULL)
    return;
  call_platform (server, EVHTTP_REQ_PUT,
                 json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "name", server->name, "kind",
                            server->program->kind, "address",
                            has_advertised_address ? server->advertised_address : server->address,
                            "zone", server->zone, "region", server->region, "service",
                            server->label, "state", server->leaving ? "leaving" : "live"),
                 on_put);
}

static void
on_removed (int status, json_t *body, gpointer data)
{
  sd_server_stop (data);
}

static void
remove_instance (SdServer *server)
{
  server->removing = TRUE;
  knl_timer_stop (server->kernel, &server->retry);
  if (server->platform_address != NULL)
    call_platform (server, EVHTTP_REQ_DELETE, NULL, on_removed);
  else
    sd_server_stop (server);
}

void
sd_server_leave (SdServer *server)
{
  server->leaving = TRUE;
  if (server->program->leave != NULL)
    server->program->leave (server);
  put_instance (server);
}

static void
remove_when_idle (gpointer data)
{
  SdServer *server = data;

  if (server->program->is_idle (server))
    remove_instance (server);
  else
    knl_timer_start (server->kernel, DRAIN_CHECK_INTERVAL, remove_when_idle, server);
}

static void
on_signal (evutil_socket_t number, short what, void *data)
{
  SdServer *server = data;

  cm_log (CM_LOG_INFO, "stopping", "i", "signal", (gint64)number);
  if (server->program->kind == NULL)
    sd_server_stop (server);
  else if (!server->draining)
    {
      server->draining = TRUE;
      sd_server_leave (server);
      remove_when_idle (server);
    }
}

void
sd_server_stop (SdServer *server)
{
  /* Flush the ends of streams from libevent's buffers; otherwise their callers see a cut stream. */
  const struct timeval flush = { .tv_usec = 100000 };

  event_base_loopexit (server->base, &flush);
}

static void
server_init (SdServer *server)
{
  static const int numbers[] = { SIGTERM, SIGINT };
  const char *name = server->name != NULL ? server->name : server->address;

  cm_log_init (server->program->name, name != NULL ? name : "", CM_LOG_INFO);
  signal (SIGPIPE, SIG_IGN);
  server->base = event_base_new ();
  server->runtime = knl_event_runtime_new (server->base);
  server->kernel = knl_kernel_new (server->runtime, 1);
  server->exchanges = g_ptr_array_new_with_free_func (sd_exchange_free);
  server->clients = g_hash_table_new_full (g_direct_hash, g_direct_equal, sd_client_free, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      server->signals[i] = evsignal_new (server->base, numbers[i], on_signal, server);
      evsignal_add (server->signals[i], NULL);
    }
}

static void
server_clear (SdServer *server)
{
  for (guint i = 0; i < server->exchanges->len; i++)
    ((SdExchange *)g_ptr_array_index (server->exchanges, i))->on_closed = NULL;
  if (server->http != NULL)
    evhttp_free (server->http);
  g_ptr_array_unref (server->exchanges);
  g_hash_table_unref (server->clients);
  for (guint i = 0; i < G_N_ELEMENTS (server->signals); i++)
    event_free (server->signals[i]);
  knl_kernel_free (server->kernel);
  knl_event_runtime_free (server->runtime);
  event_base_free (server->base);
}

static void
run (SdServer *server)
{
  const SdProgram *program = server->program;

  server_init (server);
  server->status = 1;
  if ((program->start == NULL || program->start (server))
      && (program->routes == NULL || sd_server_listen (server)))
    {
      server->status = 0;
      if (program->kind != NULL)
        put_instance (server);
      if (program->routes != NULL)
        cm_log (CM_LOG_INFO, "ready", "s", "address", server->address);
      event_base_dispatch (server->base);
    }
  if (program->clear != NULL)
    program->clear (server);
  server_clear (server);
}

int
sd_server_main (SdServer *server, const SdProgram *program, int argc, char **argv)
{
  g_autoptr (GArray) table = settings_table (program);
  const CmSetting *rows = (const CmSetting *)(gpointer)table->data;
  int status;

  server->program = program;
  status = parse_settings (server, rows, argc, argv);
  if (status < 0)
    {
      run (server);
      status = server->status;
    }
  cm_settings_clear (rows, server);
  return status;
}
