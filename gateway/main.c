/** alderturn-gateway: one complete instance on the users' platform, in one process. */

#include <signal.h>
#include <stdlib.h>

#include "common/log.h"
#include "gateway.h"
#include "settings.h"

#define PROGRAM "alderturn-gateway"

/* Interval between checks of readiness, removed endpoints, the settings file and the drain's end.
 */
#define TICK_INTERVAL (250 * KNL_MSEC)

/* After the signal to stop, callers may arrive for as long as they keep old answers of the
 * directory: three times their time to live. */
#define MIN_DRAIN_PERIOD (6500 * KNL_MSEC)

/* Time before the end of the grace period at which unfinished requests are ended with an error, and
 * at which the process exits at the latest. */
#define DRAIN_ANSWER_MARGIN (900 * KNL_MSEC)
#define DRAIN_EXIT_MARGIN   (300 * KNL_MSEC)

/* Limits for one answer of an endpoint or the store. */
#define MAX_ANSWER_HEAD_BYTES 32768
#define MAX_ANSWER_BODY_BYTES ((gsize)64 << 20)

/* Idle connections to endpoints and the store are closed after this at the latest. */
#define IDLE_TIMEOUT (20 * KNL_SEC)

static void
stop (Gateway *self)
{
  event_base_loopexit (self->process.base, NULL);
}

static gboolean
is_drained (const Gateway *self)
{
  KnlTime since = knl_kernel_now (self->process.kernel) - self->drain_since;

  if (since > self->boot->bounds.grace - DRAIN_EXIT_MARGIN)
    return TRUE;
  return since > MIN_DRAIN_PERIOD && ht_server_n_busy (self->caller_server) == 0;
}

static void
end_overdue_requests (Gateway *self)
{
  KnlTime since = knl_kernel_now (self->process.kernel) - self->drain_since;

  if (since > self->boot->bounds.grace - DRAIN_ANSWER_MARGIN)
    sv_core_end_requests (self->core);
}

/* An instance that is cut off from the store alone depends on its peers' confirmations: if they
 * stop, it has to refuse all requests. It serves the callers that arrive, but isn't ready, so that
 * the directory lists other instances. */
gboolean
gateway_is_ready (const Gateway *self)
{
  return sv_core_is_ready (self->core) && !sv_peers_is_cut_off_alone (self->peers);
}

static void
on_tick (gpointer data)
{
  Gateway *self = data;

  sv_peers_set_ready (self->peers, gateway_is_ready (self));
  sv_fleet_sweep (self->fleet);
  if (self->drain_since == 0)
    gateway_reload (self, FALSE);
  else
    {
      end_overdue_requests (self);
      if (is_drained (self))
        stop (self);
    }
  self->tick_timer = knl_timer_start (self->process.kernel, TICK_INTERVAL, on_tick, self);
}

static void
on_stop_signal (evutil_socket_t number, short what, void *data)
{
  Gateway *self = data;

  if (self->drain_since != 0)
    return;
  self->drain_since = knl_kernel_now (self->process.kernel);
  cm_log (CM_LOG_NOTICE, "stopping", "i", "requests", (gint64)sv_core_n_requests (self->core));
  sv_core_drain (self->core);
  sv_peers_leave (self->peers);
  sv_peers_set_ready (self->peers, FALSE);
  ht_server_drain (self->caller_server);
}

static void
on_reload_signal (evutil_socket_t number, short what, void *data)
{
  gateway_reload (data, TRUE);
}

static void
on_suspect (guint64 fingerprint, gpointer data)
{
  sv_core_note_suspect (((Gateway *)data)->core, fingerprint);
}

/* Idle connections to the address belong to the endpoint's previous process. */
static void
on_endpoint_replaced (SvEndpoint *endpoint, gpointer data)
{
  Gateway *self = data;

  cm_log (CM_LOG_NOTICE, "endpoint-replaced", "s", "endpoint", endpoint->id, "s", "address",
          endpoint->address, "i", "start", (gint64)endpoint->start, "i", "losses",
          (gint64)endpoint->health.losses);
  ht_client_close_idle (self->endpoints_client, endpoint->address);
  sv_core_note_replaced (self->core, endpoint);
}

static void
open_clients (Gateway *self)
{
  HtLimits limits = { MAX_ANSWER_HEAD_BYTES, MAX_ANSWER_BODY_BYTES };

  self->endpoints_client =
      ht_client_new (self->process.kernel, self->process.base, &limits, IDLE_TIMEOUT);
  self->store_client =
      ht_client_new (self->process.kernel, self->process.base, &limits, IDLE_TIMEOUT);
  self->store = pl_store_new (self->process.kernel, self->store_client, self->boot->store_address);
  gateway_watch_era (self, self->store);
}

static gboolean
open_peers (Gateway *self, guint64 incarnation)
{
  self->fleet = sv_fleet_new (self->process.kernel, sv_bounds_leave_grace (&self->boot->bounds));
  self->member = (SvMember){
    .name = self->boot->name,
    .incarnation = incarnation,
    .link_address = self->boot->link_address,
    .callers_address = self->boot->callers_address,
    .zone = self->boot->zone,
    .region = self->boot->region,
    .strength = self->boot->strength,
  };
  self->peers = sv_peers_new (self->process.kernel, self->process.base, self->fleet, &self->member);
  if (self->peers != NULL)
    return TRUE;
  cm_log (CM_LOG_ERR, "listen-failed", "s", "address", self->boot->link_address);
  return FALSE;
}

static void
open_core (Gateway *self)
{
  SvCoreParts parts;

  self->metrics = cm_metrics_new ();
  gateway_add_era_metric (self);
  self->dialect = pl_dialect_new ();
  parts = (SvCoreParts){
    .kernel = self->process.kernel,
    .client = self->endpoints_client,
    .dialect = self->dialect,
    .fleet = self->fleet,
    .link = sv_peers_link (self->peers),
    .metrics = self->metrics,
    .zone = self->boot->zone,
  };
  self->core = sv_core_new (&parts, &self->boot->bounds);
  sv_peers_on_suspect (self->peers, on_suspect, self);
  sv_fleet_on_replaced (self->fleet, on_endpoint_replaced, self);
}

static void
run (Gateway *self)
{
  self->reload_signal = evsignal_new (self->process.base, SIGHUP, on_reload_signal, self);
  event_add (self->reload_signal, NULL);
  knl_process_catch_signals (&self->process, on_stop_signal, self);
  gateway_note_settings (self);
  gateway_start_following (self);
  gateway_start_membership (self);
  on_tick (self);
  cm_log (CM_LOG_NOTICE, "started", "s", "address", self->boot->callers_address, "s", "zone",
          self->boot->zone);
  event_base_dispatch (self->process.base);
  cm_log (CM_LOG_NOTICE, "stopped", "i", "requests", (gint64)sv_core_n_requests (self->core));
}

/* Frees users of an object before the object. */
static void
gateway_close (Gateway *self)
{
  knl_timer_stop (self->process.kernel, &self->tick_timer);
  gateway_stop_callback_meter (self);
  gateway_stop_watching_era (self);
  gateway_stop_following (self);
  gateway_stop_membership (self);
  sv_core_free (self->core);
  gateway_close_servers (self);
  sv_peers_free (self->peers);
  sv_fleet_free (self->fleet);
  pl_store_free (self->store);
  ht_client_free (self->endpoints_client);
  ht_client_free (self->store_client);
  pl_dialect_free (self->dialect);
  cm_metrics_free (self->metrics);
  g_clear_pointer (&self->reload_signal, event_free);
  knl_process_close (&self->process);
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
  open_clients (self);
  if (open_peers (self, incarnation))
    {
      open_core (self);
      gateway_start_callback_meter (self, settings->turn_limit_us * KNL_USEC);
      if (gateway_open_servers (self))
        {
          run (self);
          status = EXIT_SUCCESS;
        }
    }
  gateway_close (self);
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
