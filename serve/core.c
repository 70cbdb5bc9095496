#include "common/log.h"
#include "serve/core_internal.h"

static void
on_reach_changed (gboolean is_lost, gpointer data)
{
  SvCore *self = data;
  SvPeerLink *link = self->parts.link;
  gboolean were_lost = self->n_lost > 0;

  self->n_lost += is_lost ? 1 : -1;
  if ((self->n_lost > 0) != were_lost)
    link->klass->reach_changed (link, is_lost);
}

static guint
n_instances (gpointer data)
{
  SvPeerLink *link = ((SvCore *)data)->parts.link;

  return link->klass->n_instances (link);
}

static void
update_overload (SvCore *self, const SvService *service)
{
  SvOverload *overload = g_hash_table_lookup (self->overloads, service->name);
  SvOverloadParts parts = {
    .kernel = self->parts.kernel,
    .fleet = self->parts.fleet,
    .offered = self->offered,
    .metrics = self->parts.metrics,
    .n_instances = n_instances,
    .data = self,
  };

  if (overload != NULL)
    sv_overload_set_spec (overload, &service->engine);
  else
    g_hash_table_insert (self->overloads, g_strdup (service->name),
                         sv_overload_new (&parts, service->name, &service->engine));
}

static gboolean
is_no_engine (gpointer name, gpointer overload, gpointer config)
{
  return !sv_service_is_engine (sv_config_service (config, name));
}

/* Saturation is measured for all services of engines, also those that no caller of this instance
 * uses: peers count on its report that it is offered nothing. */
static void
update_overloads (SvCore *self)
{
  GHashTableIter iter;
  gpointer service;

  if (!self->bounds.sheds_load)
    {
      g_hash_table_remove_all (self->overloads);
      return;
    }
  g_hash_table_foreach_remove (self->overloads, is_no_engine, self->config);
  g_hash_table_iter_init (&iter, self->config->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    {
      if (sv_service_is_engine (service))
        update_overload (self, service);
    }
}

void
sv_core_set_bounds (SvCore *self, const SvBounds *bounds)
{
  self->bounds = *bounds;
  sv_retries_set_rule (self);
  sv_fleet_set_cold_bounds (self->parts.fleet, bounds);
  if (self->config != NULL)
    update_overloads (self);
}

static SvPaceReports *
new_pace_reports (const SvCore *self)
{
  SvPaceReportsParts parts = {
    .kernel = self->parts.kernel,
    .client = self->parts.client,
    .dialect = self->parts.dialect,
    .fleet = self->parts.fleet,
    .link = self->parts.link,
    .meters = self->meters,
  };

  return sv_pace_reports_new (&parts);
}

static gboolean
is_elected (guint64 seed, gpointer data)
{
  const SvPeerLink *link = ((SvCore *)data)->parts.link;

  return link->klass->is_elected (link, seed);
}

SvCore *
sv_core_new (const SvCoreParts *parts, const SvBounds *bounds)
{
  SvCore *self = g_new0 (SvCore, 1);

  self->parts = *parts;
  sv_core_set_bounds (self, bounds);
  self->begun_at = knl_kernel_now (parts->kernel);
  self->confirmed_at = -KNL_NEVER;
  self->requests = g_hash_table_new (NULL, NULL);
  sv_retries_init (self);
  self->durations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->queues =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)sv_queue_free);
  self->crashes = sv_crashes_new (parts->kernel, parts->fleet);
  self->quarantine = sv_quarantine_new (parts->kernel, parts->fleet);
  sv_quarantine_on_changed (self->quarantine, sv_core_note_quarantine, self);
  sv_quarantine_set_election (self->quarantine, is_elected, self);
  sv_crashes_set_quarantine (self->crashes, self->quarantine);
  self->reach =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)sv_reach_free);
  self->meters = sv_meters_new (parts->metrics);
  self->pace_reports = new_pace_reports (self);
  self->offered = sv_offered_new (parts->kernel);
  self->overloads =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)sv_overload_free);
  sv_fleet_on_prefill (parts->fleet, sv_core_note_prefill, self);
  return self;
}

/* Calls `end` on each request; `end` must remove it from the table. */
static void
end_requests (SvCore *self, void (*end) (SvRequest *request))
{
  GHashTableIter iter;
  gpointer request;

  for (;;)
    {
      g_hash_table_iter_init (&iter, self->requests);
      if (!g_hash_table_iter_next (&iter, &request, NULL))
        return;
      end (request);
    }
}

void
sv_core_free (SvCore *self)
{
  if (self == NULL)
    return;
  sv_fleet_on_prefill (self->parts.fleet, NULL, NULL);
  knl_timer_stop (self->parts.kernel, &self->quarantine_timer);
  end_requests (self, sv_request_note_disconnect);
  sv_pace_reports_free (self->pace_reports);
  g_hash_table_unref (self->overloads);
  sv_offered_free (self->offered);
  sv_meters_free (self->meters);
  sv_crashes_free (self->crashes);
  sv_quarantine_free (self->quarantine);
  g_hash_table_unref (self->reach);
  g_hash_table_unref (self->queues);
  sv_retries_clear (self);
  g_hash_table_unref (self->durations);
  g_hash_table_unref (self->requests);
  sv_config_unref (self->config);
  g_free (self);
}

gboolean
sv_core_set_config (SvCore *self, SvConfig *config)
{
  if (self->config != NULL && config->version <= self->config->version)
    return FALSE;
  cm_log (CM_LOG_NOTICE, "configuration-in-use", "i", "version", (gint64)config->version, "i",
          "replaces", self->config != NULL ? (gint64)self->config->version : (gint64)-1);
  sv_config_unref (self->config);
  self->config = sv_config_ref (config);
  sv_fleet_set_cold_config (self->parts.fleet, config);
  update_overloads (self);
  return TRUE;
}

const SvConfig *
sv_core_config (const SvCore *self)
{
  return self->config;
}

void
sv_core_confirm (SvCore *self, KnlTime requested_at)
{
  if (self->confirmed_at == -KNL_NEVER)
    cm_log (CM_LOG_NOTICE, "configuration-confirmed", "i", "version",
            self->config != NULL ? (gint64)self->config->version : (gint64)-1, "i", "age-us",
            knl_kernel_now (self->parts.kernel) - requested_at);
  self->confirmed_at = MAX (self->confirmed_at, requested_at);
}

KnlTime
sv_core_confirmed_at (const SvCore *self)
{
  return self->confirmed_at;
}

static void
init_request (SvRequest *self)
{
  self->excluded = g_ptr_array_new_with_free_func ((GDestroyNotify)sv_endpoint_unref);
  self->last_event = -1;
  sv_events_init (&self->events);
  self->begun_at = ht_call_begun_at (self->call);
  self->core->parts.dialect->klass->read_request (self->core->parts.dialect,
                                                  ht_call_request (self->call), &self->params);
}

static void
handle_request (SvCore *self, HtCall *call, gboolean is_passed)
{
  SvRequest *request = g_new0 (SvRequest, 1);

  request->core = self;
  request->call = call;
  request->is_passed = is_passed;
  self->n_passed += is_passed;
  self->last_request_at = knl_kernel_now (self->parts.kernel);
  ht_call_set_data (call, request);
  g_hash_table_add (self->requests, request);
  init_request (request);
  if (sv_request_admit (request))
    sv_request_send (request);
}

void
sv_core_handle_request (SvCore *self, HtCall *call)
{
  handle_request (self, call, FALSE);
}

void
sv_core_handle_passed (SvCore *self, HtCall *call)
{
  handle_request (self, call, TRUE);
}

void
sv_core_note_disconnect (SvCore *self, HtCall *call)
{
  sv_request_note_disconnect (ht_call_data (call));
}

KnlTime
sv_core_config_age (const SvCore *self)
{
  if (self->confirmed_at == -KNL_NEVER)
    return KNL_NEVER;
  return knl_kernel_now (self->parts.kernel) - self->confirmed_at;
}

void
sv_core_drain (SvCore *self, KnlTime left)
{
  if (self->drain_since != 0)
    return;
  self->drain_since = knl_kernel_now (self->parts.kernel);
  self->stops_at = self->drain_since + left;
}

void
sv_core_stop_admitting (SvCore *self)
{
  self->admits_none = TRUE;
}

KnlTime
sv_core_last_request_at (const SvCore *self)
{
  return self->last_request_at;
}

/*
 * Without an answer from here, the connection of a prompt that is still queued, or
 * runs longer than the grace, would just be closed when the process exits, and its
 * caller could not tell whether it ran.
 */
void
sv_core_end_requests (SvCore *self)
{
  end_requests (self, sv_request_stop);
}

void
sv_core_set_stale_since (SvCore *self, SvStaleSinceFunc since, gpointer data)
{
  self->stale_since = since;
  self->stale_since_data = data;
}

gboolean
sv_core_is_stale (const SvCore *self)
{
  KnlTime since =
      self->stale_since != NULL ? self->stale_since (self->stale_since_data) : KNL_NEVER;
  KnlTime bound = sv_bounds_max_config_staleness (&self->bounds);

  if (since == KNL_NEVER || bound == KNL_NEVER)
    return FALSE;
  return knl_kernel_now (self->parts.kernel) - since >= bound;
}

gboolean
sv_core_has_stale_zones (const SvCore *self)
{
  KnlTime bound = sv_bounds_max_zone_staleness (&self->bounds);

  return bound != KNL_NEVER && sv_core_config_age (self) >= bound;
}

gboolean
sv_core_is_ready (const SvCore *self)
{
  if (self->config == NULL || self->drain_since != 0 || sv_core_is_stale (self)
      || sv_core_has_stale_zones (self))
    return FALSE;
  if (!self->config->has_workspaces)
    return TRUE;
  return sv_core_config_age (self) < sv_bounds_max_key_staleness (&self->bounds);
}

static GPtrArray *
requests_at (const SvCore *self, const SvEndpoint *endpoint)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer request;

  g_hash_table_iter_init (&iter, self->requests);
  while (g_hash_table_iter_next (&iter, &request, NULL))
    {
      const SvRequest *candidate = request;

      if (candidate->exchange != NULL && candidate->placement.first == endpoint)
        g_ptr_array_add (found, request);
    }
  return found;
}

/*
 * An engine that lost power or its network and then restarted leaves its old
 * connections open and silent. Without this its requests would wait for the
 * silence timeout, which is several seconds for a long prompt, or, if they may run
 * only once, for their deadline.
 */
void
sv_core_note_replaced (SvCore *self, const SvEndpoint *endpoint)
{
  g_autoptr (GPtrArray) lost = requests_at (self, endpoint);

  for (guint i = 0; i < lost->len; i++)
    {
      SvRequest *request = g_ptr_array_index (lost, i);

      sv_request_note_crash (request, "endpoint-restarted", TRUE);
      sv_request_cancel_send (request);
      sv_request_handle_loss (request, "endpoint-restarted", POL_END_LOST);
    }
}

void
sv_core_note_listed (SvCore *self, KnlTime at)
{
  const GPtrArray *endpoints = sv_fleet_all (self->parts.fleet);

  self->listed_at = MAX (self->listed_at, at);
  for (guint i = 0; i < endpoints->len; i++)
    sv_signs_note_listed (&((SvEndpoint *)g_ptr_array_index (endpoints, i))->signs,
                          self->listed_at);
}

guint
sv_core_n_requests (const SvCore *self)
{
  return g_hash_table_size (self->requests);
}

SvCrashes *
sv_core_crashes (SvCore *self)
{
  return self->crashes;
}

SvQuarantine *
sv_core_quarantine (SvCore *self)
{
  return self->quarantine;
}

SvOffered *
sv_core_offered (SvCore *self)
{
  return self->offered;
}

SvReach *
sv_core_reach (SvCore *self, const char *service)
{
  SvReach *reach = g_hash_table_lookup (self->reach, service);

  if (reach == NULL)
    {
      reach = sv_reach_new (self->parts.kernel, self->parts.client, self->parts.fleet, service,
                            on_reach_changed, self);
      g_hash_table_insert (self->reach, g_strdup (service), reach);
    }
  return reach;
}

SvQueue *
sv_core_queue (SvCore *self, const SvService *service)
{
  SvQueue *queue = g_hash_table_lookup (self->queues, service->name);

  if (queue == NULL)
    {
      queue = sv_queue_new (self->parts.kernel, sv_request_on_turn);
      g_hash_table_insert (self->queues, g_strdup (service->name), queue);
    }
  return queue;
}
