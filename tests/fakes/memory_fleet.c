#include "tests/fakes/memory_engine_internal.h"

#define WEIGHT_RATE 10e9

FkFleet *
fk_fleet_new (KnlPausedClock *clock)
{
  FkFleet *fleet = g_new0 (FkFleet, 1);

  fleet->clock = clock;
  fleet->weights.rate = WEIGHT_RATE;
  fleet->endpoints = g_hash_table_new (g_str_hash, g_str_equal);
  return fleet;
}

static void
endpoint_free (Endpoint *endpoint)
{
  fk_calls_abort (endpoint->in_flight, FALSE);
  g_hash_table_unref (endpoint->in_flight);
  sd_engine_free (endpoint->engine);
  g_ptr_array_unref (endpoint->ran);
  if (endpoint->service != NULL)
    sd_service_clear (endpoint->service);
  g_free (endpoint->service);
  knl_kernel_free (endpoint->kernel);
  g_free (endpoint->address);
  g_free (endpoint);
}

void
fk_fleet_free (FkFleet *fleet)
{
  GHashTableIter iter;
  gpointer endpoint;

  if (fleet == NULL)
    return;
  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &endpoint))
    endpoint_free (endpoint);
  g_hash_table_unref (fleet->endpoints);
  g_free (fleet);
}

static Endpoint *
endpoint_new (FkFleet *fleet, const char *address)
{
  Endpoint *endpoint = g_new0 (Endpoint, 1);

  endpoint->fleet = fleet;
  endpoint->address = g_strdup (address);
  endpoint->in_flight = g_hash_table_new (g_direct_hash, g_direct_equal);
  endpoint->ran = g_ptr_array_new_with_free_func ((GDestroyNotify)g_array_unref);
  endpoint->runtime = knl_paused_clock_runtime (fleet->clock);
  endpoint->kernel = knl_kernel_new (endpoint->runtime, g_str_hash (address));
  g_hash_table_insert (fleet->endpoints, endpoint->address, endpoint);
  return endpoint;
}

static void
crash_now (gpointer data)
{
  Endpoint *endpoint = data;

  endpoint->crash = 0;
  fk_fleet_crash (endpoint->fleet, endpoint->address);
}

static void
on_crash (gpointer data)
{
  Endpoint *endpoint = data;

  endpoint->crash = knl_timer_start (endpoint->kernel, 0, crash_now, endpoint);
}

static void
export_from (const char *address, const char *request, SdImport *import, gpointer data)
{
  Endpoint *from = fk_fleet_find (((Endpoint *)data)->fleet, address);
  guint64 tokens = 0;
  gboolean held =
      from != NULL && from->engine != NULL && sd_engine_export (from->engine, request, &tokens);

  sd_engine_exported (import, held, tokens);
}

static void
on_weights (gpointer data)
{
  Endpoint *endpoint = data;

  endpoint->weights = 0;
  sd_engine_receive_weights (endpoint->engine);
}

static void
fetch_weights (const char *name, double bytes, gpointer data)
{
  Endpoint *endpoint = data;
  KnlTime wait =
      sd_weight_store_enqueue (&endpoint->fleet->weights, knl_kernel_now (endpoint->kernel), bytes);

  knl_timer_stop (endpoint->kernel, &endpoint->weights);
  endpoint->weights = knl_timer_start (endpoint->kernel, wait, on_weights, endpoint);
}

static void
start_engine (Endpoint *endpoint)
{
  static const SdEngineHost host = { .crash = on_crash,
                                     .export_from = export_from,
                                     .fetch_weights = fetch_weights };

  endpoint->engine = sd_engine_new (endpoint->kernel, &endpoint->settings, &host, endpoint);
  g_ptr_array_add (endpoint->ran, g_array_ref ((GArray *)sd_engine_ran (endpoint->engine)));
}

void
fk_fleet_add_engine (FkFleet *fleet, const char *address, const SdEngineSettings *settings)
{
  Endpoint *endpoint = endpoint_new (fleet, address);

  endpoint->settings = *settings;
  endpoint->settings.model = g_intern_string (settings->model);
  endpoint->settings.adapter = g_intern_string (settings->adapter);
  endpoint->settings.role = g_intern_string (settings->role);
  start_engine (endpoint);
}

void
fk_fleet_add_service (FkFleet *fleet, const char *address)
{
  Endpoint *endpoint = endpoint_new (fleet, address);

  endpoint->service = g_new0 (SdService, 1);
  sd_service_init (endpoint->service);
}

Endpoint *
fk_fleet_find (FkFleet *fleet, const char *address)
{
  return g_hash_table_lookup (fleet->endpoints, address);
}

SdEngine *
fk_fleet_engine (FkFleet *fleet, const char *address)
{
  return fk_fleet_find (fleet, address)->engine;
}

SdService *
fk_fleet_service (FkFleet *fleet, const char *address)
{
  return fk_fleet_find (fleet, address)->service;
}

void
fk_fleet_crash (FkFleet *fleet, const char *address)
{
  Endpoint *endpoint = fk_fleet_find (fleet, address);

  if (endpoint->down)
    return;
  endpoint->down = TRUE;
  knl_timer_stop (endpoint->kernel, &endpoint->crash);
  knl_timer_stop (endpoint->kernel, &endpoint->weights);
  g_clear_pointer (&endpoint->engine, sd_engine_free);
  fk_calls_abort (endpoint->in_flight, TRUE);
}

void
fk_fleet_restart (FkFleet *fleet, const char *address)
{
  Endpoint *endpoint = fk_fleet_find (fleet, address);

  if (!endpoint->down)
    return;
  endpoint->down = FALSE;
  if (endpoint->service != NULL)
    return;
  endpoint->settings.incarnation++;
  start_engine (endpoint);
}

void
fk_fleet_set_weight_rate (FkFleet *fleet, double rate)
{
  fleet->weights.rate = rate;
}

void
fk_fleet_set_frozen (FkFleet *fleet, const char *address, gboolean frozen)
{
  knl_paused_runtime_set_frozen (fk_fleet_find (fleet, address)->runtime, frozen);
}

void
fk_fleet_set_fault (FkFleet *fleet,
                    const char *address,
                    FkConnectionFault fault,
                    guint frames,
                    guint count)
{
  Endpoint *endpoint = fk_fleet_find (fleet, address);

  endpoint->fault = fault;
  endpoint->fault_frames = frames;
  endpoint->fault_count = count;
  endpoint->fault_counts = count > 0;
}

FkConnectionFault
fk_endpoint_connect (Endpoint *endpoint, guint *frames)
{
  FkConnectionFault fault;

  *frames = 0;
  if (endpoint == NULL || endpoint->down)
    return FK_CONNECTION_REFUSED;
  fault = endpoint->fault;
  *frames = endpoint->fault_frames;
  if (endpoint->fault_counts && --endpoint->fault_count == 0)
    endpoint->fault = FK_CONNECTION_NORMAL;
  return fault;
}

void
fk_fleet_foreach_ran (FkFleet *fleet, FkRanFunc func, gpointer data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Endpoint *endpoint = value;

      for (guint e = 0; e < endpoint->ran->len; e++)
        {
          const GArray *ran = g_ptr_array_index (endpoint->ran, e);

          for (guint i = 0; i < ran->len; i++)
            func (endpoint->address, &g_array_index (ran, SdRan, i), data);
        }
    }
}
