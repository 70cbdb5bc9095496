/** The program alderturn-controller: settings, sockets, signals and HTTP for a CtController. */

#include <signal.h>
#include <stdlib.h>

#include "common/log.h"
#include "controller/controller.h"
#include "controller/http.h"
#include "endpoint/http.h"
#include "kernel/process.h"
#include "table/http.h"
#include "wire/tcp.h"

#define PROGRAM "alderturn-controller"

typedef struct
{
  CtSettings settings;
  KnlProcess process;
  WrIdentity identity;
  CoConfig *config;
  CmMetrics *metrics;
  TbTable *platform;
  EpClient *endpoints;
  WrTransport *transport;
  CtController *controller;
} Program;

static void
on_drained (gpointer data)
{
  event_base_loopexit (((Program *)data)->process.base, NULL);
}

static void
on_signal (evutil_socket_t number, short what, void *data)
{
  Program *program = data;

  cm_log (CM_LOG_NOTICE, "draining", "i", "signal", (gint64)number);
  ct_controller_drain (program->controller, on_drained, program);
}

static void
program_open (Program *program)
{
  const CtSettings *settings = &program->settings;
  /* Wall time is used for the incarnation only: a process started later has a higher one. */
  guint64 incarnation = (guint64)g_get_real_time ();

  knl_process_open (&program->process, (guint32)incarnation);
  program->config = co_config_new ();
  program->metrics = cm_metrics_new ();
  program->platform =
      tb_http_platform_new (program->process.kernel, program->process.base,
                            settings->platform_address, settings->platform_timeout_ms * KNL_MSEC);
  program->endpoints = ep_http_client_new (program->process.kernel, program->process.base);
  program->identity = (WrIdentity){
    .instance = settings->instance,
    .incarnation = incarnation,
    .role = ALDERTURN__ROLE__ROLE_CONTROLLER,
    .zone = settings->zone,
    .region = settings->region,
    .address = settings->listen_address,
    .caller_address = settings->entry_address != NULL ? settings->entry_address : "",
    .secret = settings->secret,
  };
  program->transport =
      wr_tcp_transport_new (program->process.kernel, program->process.base, &program->identity,
                            co_config_revision (program->config));
}

static gboolean
program_start (Program *program)
{
  const CtSettings *settings = &program->settings;
  CtControllerOptions options = {
    .kernel = program->process.kernel,
    .transport = program->transport,
    .identity = &program->identity,
    .platform = program->platform,
    .endpoints = program->endpoints,
    .config = program->config,
    .metrics = program->metrics,
    .settings = settings,
  };

  program->controller = ct_controller_new (&options);
  if (program->controller == NULL)
    {
      cm_log (CM_LOG_ERR, "listen-failed", "s", "address", settings->listen_address);
      return FALSE;
    }
  if (ct_http_start (program->process.kernel, program->process.base, settings->http_address,
                     (gsize)settings->body_bytes)
      == 0)
    {
      cm_log (CM_LOG_ERR, "listen-failed", "s", "address", settings->http_address);
      return FALSE;
    }
  knl_process_catch_signals (&program->process, on_signal, program);
  cm_log (CM_LOG_NOTICE, "started", "s", "listen", settings->listen_address, "s", "http",
          settings->http_address);
  return TRUE;
}

static void
program_close (Program *program)
{
  ct_controller_free (program->controller);
  knl_kernel_run_due (program->process.kernel);
  wr_transport_free (program->transport);
  ep_client_free (program->endpoints);
  tb_platform_free (program->platform);
  co_config_free (program->config);
  cm_metrics_free (program->metrics);
  knl_process_close (&program->process);
}

static int
run (Program *program)
{
  int status = EXIT_FAILURE;

  program_open (program);
  if (program_start (program))
    {
      event_base_dispatch (program->process.base);
      cm_log (CM_LOG_NOTICE, "ended");
      status = EXIT_SUCCESS;
    }
  program_close (program);
  return status;
}

int
main (int argc, char **argv)
{
  Program program = { 0 };
  CmFindings findings;
  CmSettingsAction action;
  CmLogSeverity severity = CM_LOG_INFO;
  int status = EXIT_SUCCESS;

  knl_process_hold_signals ();
  g_set_prgname (PROGRAM);
  signal (SIGPIPE, SIG_IGN);
  cm_findings_init (&findings);
  action = cm_settings_parse (ct_settings_table (),
                              "Coordinates the entries of alderturn: configuration, leases, "
                              "credits, orders to engines.",
                              argc, argv, &program.settings, NULL, &findings);
  if (program.settings.log_severity != NULL
      && !cm_log_severity_parse (program.settings.log_severity, &severity))
    cm_findings_add (&findings, "flag", 0, 0, "--log-severity", "is not a syslog severity");
  if (cm_findings_report (&findings))
    status = EXIT_FAILURE;
  else if (action == CM_SETTINGS_RUN)
    {
      cm_log_init (PROGRAM, program.settings.instance, severity);
      status = run (&program);
    }
  cm_findings_clear (&findings);
  cm_settings_clear (ct_settings_table (), &program.settings);
  return status;
}
