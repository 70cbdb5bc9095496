/** One instance: its parts and its readiness. */

#include "common/log.h"
#include "gateway.h"

/* Interval between checks of readiness, removed endpoints, the settings file and the drain. */
#define TICK_INTERVAL (250 * KNL_MSEC)

/* Limits for one answer of an endpoint or the store. */
#define MAX_ANSWER_HEAD_BYTES 32768
#define MAX_ANSWER_BODY_BYTES ((gsize)64 << 20)

/* Part of the instance's memory that may hold bytes for slow readers, and answers of endpoints, the
 * store and peers that are collected whole. */
#define UNSENT_MEMORY_DIVISOR 4

/* Part of it that may hold bodies of requests. They are held once more while they are sent. */
#define BODIES_MEMORY_DIVISOR 4

/* Idle connections to endpoints and the store are closed after this at the latest. */
#define IDLE_TIMEOUT (20 * KNL_SEC)

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
  gateway_note_quarantined (self);
  gateway_note_doubt (self);
  if (self->drain_since == 0)
    gateway_reload (self, FALSE);
  else
    gateway_review_drain (self);
  self->tick_timer = knl_timer_start (self->process.kernel, TICK_INTERVAL, on_tick, self);
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

  self->unsent = ht_unsent_new (self->process.kernel, self->boot->memory / UNSENT_MEMORY_DIVISOR);
  self->endpoints_client =
      ht_client_new (self->process.kernel, self->process.base, &limits, IDLE_TIMEOUT);
  ht_client_count_unsent (self->endpoints_client, self->unsent);
  self->bodies = ht_bodies_new (self->boot->memory / BODIES_MEMORY_DIVISOR);
  self->store_client =
      ht_client_new (self->process.kernel, self->process.base, &limits, IDLE_TIMEOUT);
  ht_client_count_unsent (self->store_client, self->unsent);
  self->store = pl_store_new (self->process.kernel, self->store_client, self->boot->store_address);
  gateway_watch_era (self, self->store);
}

static gboolean
open_peers (Gateway *self, guint64 incarnation)
{
  self->fleet = sv_fleet_new (self->process.kernel, sv_bounds_leave_grace (&self->boot->bounds));
  gateway_apply_evacuation_bound (self);
  self->member = (SvMember){
    .name = self->boot->name,
    .incarnation = incarnation,
    .link_address = self->boot->link_address,
    .callers_address = self->boot->callers_address,
    .zone = self->boot->zone,
    .region = self->boot->region,
    .strength = self->boot->strength,
    .passing_port = self->boot->passing_port,
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
  gateway_add_memory_metrics (self);
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
  sv_peers_set_crashes (self->peers, sv_core_crashes (self->core));
  sv_peers_set_quarantine (self->peers, sv_core_quarantine (self->core));
  sv_peers_set_offered (self->peers, sv_core_offered (self->core));
  gateway_start_quarantine_tests (self);
  sv_fleet_on_replaced (self->fleet, on_endpoint_replaced, self);
}

gboolean
gateway_open (Gateway *self, guint64 incarnation)
{
  open_clients (self);
  if (!open_peers (self, incarnation))
    return FALSE;
  open_core (self);
  return gateway_open_servers (self);
}

void
gateway_start (Gateway *self)
{
  gateway_note_settings (self);
  gateway_start_following (self);
  gateway_start_membership (self);
  on_tick (self);
}

/* Frees users of an object before the object. */
void
gateway_close (Gateway *self)
{
  knl_timer_stop (self->process.kernel, &self->tick_timer);
  knl_timer_stop (self->process.kernel, &self->flush_timer);
  gateway_stop_watching_era (self);
  gateway_stop_following (self);
  gateway_stop_reading_watermarks (self);
  gateway_stop_membership (self);
  gateway_stop_quarantine_tests (self);
  if (self->peers != NULL)
    {
      sv_peers_set_crashes (self->peers, NULL);
      sv_peers_set_quarantine (self->peers, NULL);
      sv_peers_set_offered (self->peers, NULL);
    }
  sv_core_free (self->core);
  gateway_close_servers (self);
  sv_peers_free (self->peers);
  sv_fleet_free (self->fleet);
  pl_store_free (self->store);
  ht_client_free (self->endpoints_client);
  ht_client_free (self->store_client);
  ht_unsent_free (self->unsent);
  ht_bodies_free (self->bodies);
  pl_dialect_free (self->dialect);
  cm_metrics_free (self->metrics);
}
