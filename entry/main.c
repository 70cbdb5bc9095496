/** Main program of alderturn-entry: settings, sockets, signals and the life of the core. */

#include <signal.h>
#include <stdlib.h>

#include "common/log.h"
#include "coord/config.h"
#include "endpoint/http.h"
#include "entry/front.h"
#include "entry/router.h"
#include "entry/settings.h"
#include "kernel/process.h"
#include "wire/tcp.h"

#define PROGRAM "alderturn-entry"

/* Interval at which a drained process checks whether all answers were written to the network. */
#define FLUSH_INTERVAL (50 * KNL_MSEC)
#define FLUSH_TIMEOUT  (10 * KNL_SEC)

/* The same for the errors that end what is left at the limit of a drain. */
#define LIMIT_FLUSH_TIMEOUT (1 * KNL_SEC)

typedef struct
{
  EntrySettings settings;
  KnlProcess process;
  WrIdentity identity;
  CoConfig *config;
  WrTransport *transport;
  EnUplink *uplink;
  EpClient *client;
  EnCore *core;
  EnFront *front;
  KnlTimerId drain_timer;
  KnlTime flush_until;
  gboolean cut_short;
} Program;

static void
stop (Program *program)
{
  event_base_loopexit (program->process.base, NULL);
}

static void
on_flush_due (gpointer data)
{
  Program *program = data;

  if (en_front_open_answers (program->front) == 0
      || knl_kernel_now (program->process.kernel) > program->flush_until)
    stop (program);
  else
    knl_timer_start (program->process.kernel, FLUSH_INTERVAL, on_flush_due, program);
}

static void
on_drained (gpointer data)
{
  Program *program = data;

  program->flush_until = knl_kernel_now (program->process.kernel) + FLUSH_TIMEOUT;
  knl_timer_start (program->process.kernel, FLUSH_INTERVAL, on_flush_due, program);
}

static void
on_drain_limit (gpointer data)
{
  Program *program = data;

  program->drain_timer = 0;
  program->cut_short = TRUE;
  cm_log (CM_LOG_ERR, "drain-limit-passed");
  en_core_end_requests (program->core);
  program->flush_until = knl_kernel_now (program->process.kernel) + LIMIT_FLUSH_TIMEOUT;
  knl_timer_start (program->process.kernel, FLUSH_INTERVAL, on_flush_due, program);
}

static void
on_signal (evutil_socket_t number, short what, void *data)
{
  Program *program = data;

  cm_log (CM_LOG_NOTICE, "signal", "i", "number", (gint64)number);
  if (program->drain_timer != 0)
    return;
  program->drain_timer = knl_timer_start (
      program->process.kernel, program->settings.drain_ms * KNL_MSEC, on_drain_limit, program);
  en_core_drain (program->core, on_drained, program);
}

static void
open_links (Program *program, guint64 incarnation)
{
  const EntrySettings *settings = &program->settings;

  program->identity = (WrIdentity){
    .instance = settings->instance,
    .incarnation = incarnation,
    .role = ALDERTURN__ROLE__ROLE_ENTRY,
    .zone = settings->zone,
    .region = settings->region,
    .address = "",
    .caller_address = settings->listen_address,
    .secret = settings->secret,
  };
  program->config = co_config_new ();
  program->transport =
      wr_tcp_transport_new (program->process.kernel, program->process.base, &program->identity,
                            co_config_revision (program->config));
  program->uplink =
      en_uplink_new (program->process.kernel, program->transport, settings->controller_address);
  program->client = ep_http_client_new (program->process.kernel, program->process.base);
}

static void
open_core (Program *program, guint64 incarnation)
{
  const EntrySettings *settings = &program->settings;
  EnCoreParts parts = {
    .kernel = program->process.kernel,
    .client = program->client,
    .uplink = program->uplink,
    .config = program->config,
  };
  EnCoreSettings core = {
    .instance = settings->instance,
    .zone = settings->zone,
    .incarnation = incarnation,
    .router = settings->router,
    .max_in_flight = (guint64)settings->max_in_flight,
    .max_queued = (guint64)settings->max_queued,
    .max_new_tokens = (guint64)settings->max_new_tokens,
    .max_timeout = settings->max_limit_ms * KNL_MSEC,
    .entries_ttl = settings->keep_ms * KNL_MSEC,
  };

  program->core = en_core_new (&parts, &core);
}

static gboolean
open_front (Program *program)
{
  const EntrySettings *settings = &program->settings;
  EnFrontSettings front = {
    .address = settings->listen_address,
    .operator_token = settings->operator_token,
    .max_body = (gsize)settings->max_body_bytes,
    .max_headers = (gsize)settings->max_header_bytes,
    .max_unread = (gsize)settings->max_unread_bytes,
  };

  program->front =
      en_front_new (program->process.kernel, program->process.base, program->core, &front);
  if (program->front != NULL)
    return TRUE;
  cm_log (CM_LOG_ERR, "listen-failed", "s", "address", settings->listen_address);
  return FALSE;
}

static void
program_close (Program *program)
{
  en_front_free (program->front);
  en_core_free (program->core);
  en_uplink_free (program->uplink);
  wr_transport_free (program->transport);
  ep_client_free (program->client);
  /* Closing connections are freed by timers that are already due. */
  knl_kernel_run_due (program->process.kernel);
  co_config_free (program->config);
  knl_process_close (&program->process);
}

static int
run (Program *program)
{
  /* Wall time is used only here, so that a process started later has a higher incarnation. */
  guint64 incarnation = (guint64)g_get_real_time ();
  int status = EXIT_FAILURE;

  knl_process_open (&program->process, (guint32)incarnation);
  open_links (program, incarnation);
  open_core (program, incarnation);
  if (open_front (program))
    {
      knl_process_catch_signals (&program->process, on_signal, program);
      cm_log (CM_LOG_NOTICE, "started", "s", "address", program->settings.listen_address);
      event_base_dispatch (program->process.base);
      cm_log (CM_LOG_NOTICE, "ended");
      status = program->cut_short ? EXIT_FAILURE : EXIT_SUCCESS;
    }
  program_close (program);
  return status;
}

static void
check_settings (const EntrySettings *settings, CmLogSeverity *severity, CmFindings *findings)
{
  if (settings->log_severity != NULL && !cm_log_severity_parse (settings->log_severity, severity))
    cm_findings_add (findings, "flag", 0, 0, "--log-severity", "\"%s\" is no syslog severity",
                     settings->log_severity);
  if (settings->router != NULL && !en_router_exists (settings->router))
    cm_findings_add (findings, "flag", 0, 0, "--router", "unknown routing strategy \"%s\"",
                     settings->router);
}

int
main (int argc, char **argv)
{
  Program program = { 0 };
  CmFindings findings;
  CmLogSeverity severity = CM_LOG_INFO;
  CmSettingsAction action;
  int status = EXIT_SUCCESS;

  knl_process_hold_signals ();
  g_set_prgname (PROGRAM);
  signal (SIGPIPE, SIG_IGN);
  cm_findings_init (&findings);
  action = cm_settings_parse (entry_settings_table, "Forwards callers' requests to endpoints.",
                              argc, argv, &program.settings, NULL, &findings);
  if (action != CM_SETTINGS_EXIT)
    check_settings (&program.settings, &severity, &findings);
  if (cm_findings_report (&findings))
    status = 2;
  else if (action == CM_SETTINGS_RUN)
    {
      cm_log_init (PROGRAM, program.settings.instance, severity);
      status = run (&program);
    }
  cm_findings_clear (&findings);
  cm_settings_clear (entry_settings_table, &program.settings);
  return status;
}
