#include "entry/core.h"

#include <string.h>

#include "entry/core_internal.h"

#define MAX_ENDED_REQUESTS 1000

static void
on_cancels_freed (gpointer data)
{
  EnCore *core = data;

  en_core_wake_queue (core);
  en_core_check_drained (core);
}

static void
create_tables (EnCore *core)
{
  core->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  core->tokens = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->in_flight = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  core->budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Controllers apply the same rule and send their totals; a count that isn't refreshed for an hour
 * is stale and dropped. */
static const PolSuspectRule suspect_rule = { .refuse_at = 2, .ttl = 3600 * KNL_SEC };

static void
create_components (EnCore *core)
{
  const char *strategy = core->settings.router != NULL ? core->settings.router : "credits";

  core->fleet = en_fleet_new (core->kernel);
  en_fleet_set_self (core->fleet, core->instance, core->zone);
  core->cancels = en_cancels_new (core->kernel, core->client, core->fleet);
  core->credits = en_credits_new (core->kernel, core->fleet, core->instance);
  core->router = en_router_new (strategy, core->kernel, core->fleet, core->credits);
  core->shares = en_shares_new (core->kernel);
  core->queue = en_queue_new (core->shares);
  core->estimates = en_estimates_new (core->kernel, core->queue);
  core->records = en_records_new (core->kernel, core->uplink);
  core->suspects = pol_suspects_new (core->kernel, &suspect_rule);
  core->history = en_history_new (MAX_ENDED_REQUESTS);
  core->meters = en_meters_new ();
  core->host = (EnAttemptHost){
    .kernel = core->kernel,
    .client = core->client,
    .fleet = core->fleet,
    .cancels = core->cancels,
  };
  en_credits_set_incarnation (core->credits, core->incarnation);
  en_fleet_on_restart (core->fleet, en_core_engine_restarted, core);
  en_cancels_on_freed (core->cancels, on_cancels_freed, core);
}

EnCore *
en_core_new (const EnCoreParts *parts, const EnCoreSettings *settings)
{
  EnCore *core = g_new0 (EnCore, 1);

  core->kernel = parts->kernel;
  core->begun_at = knl_kernel_now (parts->kernel);
  core->client = parts->client;
  core->uplink = parts->uplink;
  core->config = parts->config;
  core->instance = g_strdup (settings->instance);
  core->zone = g_strdup (settings->zone);
  core->incarnation = settings->incarnation;
  core->settings = *settings;
  core->settings.instance = core->instance;
  core->settings.zone = core->zone;
  create_tables (core);
  create_components (core);
  en_core_start_cache (core);
  en_core_start_control (core);
  return core;
}

static void
drop_requests (EnCore *core)
{
  GHashTableIter iter;
  gpointer request;

  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &request))
    {
      EnRequest *self = request;

      g_hash_table_iter_steal (&iter);
      knl_timer_stop (core->kernel, &self->deadline_timer);
      knl_timer_stop (core->kernel, &self->retry_timer);
      en_core_release_engine (core, self);
      ep_call_cancel (core->client, &self->call);
      if (self->charge != NULL)
        en_charge_return (self->charge, core->fleet);
      en_queue_remove (core->queue, self);
      en_request_free (self);
    }
}

void
en_core_free (EnCore *core)
{
  if (core == NULL)
    return;
  en_core_stop_control (core);
  en_core_stop_cache (core);
  knl_timer_stop (core->kernel, &core->queue_timer);
  knl_timer_stop (core->kernel, &core->drain_timer);
  drop_requests (core);
  en_records_free (core->records);
  pol_suspects_free (core->suspects);
  en_router_free (core->router);
  en_estimates_free (core->estimates);
  en_queue_free (core->queue);
  en_shares_free (core->shares);
  en_credits_free (core->credits);
  en_cancels_free (core->cancels);
  en_history_free (core->history);
  en_meters_free (core->meters);
  en_fleet_free (core->fleet);
  g_hash_table_unref (core->requests);
  g_hash_table_unref (core->tokens);
  g_hash_table_unref (core->in_flight);
  g_hash_table_unref (core->budgets);
  g_free (core->instance);
  g_free (core->zone);
  g_free (core);
}

gboolean
en_core_is_ready (const EnCore *core)
{
  return core->drain == EN_DRAIN_SERVING && core->has_members
         && *co_config_revision (core->config) > 0;
}

gboolean
en_core_has_token (const EnCore *core, const char *token)
{
  return g_hash_table_contains (core->tokens, token);
}

static gboolean
is_listed (const EnPeer *peer)
{
  return peer->state == ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE && !peer->drained
         && peer->address[0] != '\0';
}

json_t *
en_core_entries (const EnCore *core)
{
  const GPtrArray *entries = en_fleet_entries (core->fleet);
  json_t *rows = json_array ();

  for (guint i = 0; i < entries->len; i++)
    {
      const EnPeer *peer = g_ptr_array_index (entries, i);
      gboolean self_leaving =
          strcmp (peer->name, core->instance) == 0 && core->drain != EN_DRAIN_SERVING;

      if (is_listed (peer) && !self_leaving)
        json_array_append_new (
            rows, json_pack ("{s:s, s:s}", "address", peer->address, "zone", peer->zone));
    }
  return json_pack ("{s:o, s:I}", "entries", rows, "keep_ms",
                    (json_int_t)(core->settings.entries_ttl / KNL_MSEC));
}

static json_t *
request_row (const EnCore *core, const EnRequest *request)
{
  KnlTime now = knl_kernel_now (core->kernel);

  return json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s*, s:I, s:I, s:I}", "request", request->id,
                    "workspace", request->workspace, "service", request->service, "class",
                    en_length_class_name (request->length_class), "state",
                    en_state_name (request->state), "engine", request->endpoint, "age_ms",
                    (json_int_t)((now - request->received_at) / KNL_MSEC), "deadline_ms",
                    (json_int_t)((request->deadline - now) / KNL_MSEC), "tokens",
                    (json_int_t)request->need.tokens);
}

json_t *
en_core_requests (const EnCore *core)
{
  json_t *rows = json_array ();
  GHashTableIter iter;
  gpointer request;

  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &request))
    json_array_append_new (rows, request_row (core, request));
  return json_pack ("{s:o}", "rows", rows);
}

json_t *
en_core_request (const EnCore *core, const char *id)
{
  const EnRequest *ended = en_history_find (core->history, id);
  GHashTableIter iter;
  gpointer request;

  if (ended != NULL)
    return en_history_events (ended);
  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &request))
    {
      if (strcmp (((EnRequest *)request)->id, id) == 0)
        return en_history_events (request);
    }
  return NULL;
}

CmMetrics *
en_core_metrics (EnCore *core)
{
  return core->meters->metrics;
}

EnFleet *
en_core_fleet (EnCore *core)
{
  return core->fleet;
}
