/** alderturn-gateway: one complete instance on the users' platform, in one process. */

#include <signal.h>
#include <stdlib.h>

#include "common/log.h"
#include "gateway.h"
#include "settings.h"

#define PROGRAM "alderturn-gateway"

static void
on_stop_signal (evutil_socket_t number, short what, void *data)
{
  gateway_drain (data);
}

static void
on_reload_signal (evutil_socket_t number, short what, void *data)
{
  gateway_reload (data, TRUE);
}

static void
run (Gateway *self)
{
  self->reload_signal = evsignal_new (self->process.base, SIGHUP, on_reload_signal, self);
  event_add (self->reload_signal, NULL);
  knl_process_catch_signals (&self->process, on_stop_signal, self);
  gateway_start (self);
  cm_log (CM_LOG_NOTICE, "started", "s", "address", self->boot->callers_address, "s", "zone",
          self->boot->zone);
  event_base_dispatch (self->process.base);
  cm_log (CM_LOG_NOTICE, "stopped", "i", "requests", (gint64)sv_core_n_requests (self->core), "i",
          "unsent-bytes", (gint64)gateway_unsent_bytes (self));
}

static int
run_gateway (Gateway *self, const GatewaySettings *settings, CmLogSeverity severity)
{
  /* The only use of wall time: a process started later has a higher incarnation. */
  guint64 incarnation = (guint64)g_get_real_time ();
  int status = EXIT_FAILURE;

  cm_log_init (PROGRAM, self->boot->name, severity);
  cm_log_to_stdout ();
  knl_process_open (&self->process, (guint32)incarnation);
  if (gateway_open (self, incarnation))
    {
      gateway_start_callback_meter (self, settings->turn_limit_us * KNL_USEC);
      run (self);
      gateway_stop_callback_meter (self);
      status = EXIT_SUCCESS;
    }
  gateway_close (self);
  g_clear_pointer (&self->reload_signal, event_free);
  knl_process_close (&self->process);
  return status;
}

static void
check_settings (const GatewaySettings *settings,
                Gateway *self,
                CmLogSeverity *severity,
                CmFindings *findings)
{
  if (settings->log_severity != NULL && !cm_log_severity_parse (settings->log_severity, severity))
    cm_findings_add (findings, "flag", 0, 0, "--log-severity", "\"%s\" is not a syslog severity",
                     settings->log_severity);
  self->boot_path = settings->boot;
  if (settings->boot != NULL)
    self->boot = pl_boot_load (settings->boot, findings);
}

int
main (int argc, char **argv)
{
  Gateway self = { 0 };
  GatewaySettings settings = { 0 };
  CmFindings findings;
  CmLogSeverity severity = CM_LOG_INFO;
  CmSettingsAction action;
  int status = EXIT_SUCCESS;

  knl_process_hold_signals ();
  g_set_prgname (PROGRAM);
  signal (SIGPIPE, SIG_IGN);
  cm_findings_init (&findings);
  action = cm_settings_parse (gateway_settings_table,
                              "Routes callers' requests to endpoints on the platform.", argc, argv,
                              &settings, NULL, &findings);
  if (action != CM_SETTINGS_EXIT)
    check_settings (&settings, &self, &severity, &findings);
  if (cm_findings_report (&findings))
    status = 2;
  else if (action == CM_SETTINGS_RUN && self.boot != NULL)
    status = run_gateway (&self, &settings, severity);
  cm_findings_clear (&findings);
  pl_boot_free (self.boot);
  cm_settings_clear (gateway_settings_table, &settings);
  return status;
}
