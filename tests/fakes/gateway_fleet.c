#include "tests/fakes/gateway_fleet.h"

#include <sys/resource.h>

/* Instances' addresses are 127.OCTET.ZONE.NUMBER with the same ports. */
#define FIRST_OCTET       64
#define LAST_OCTET        127
#define LINK_PORT         7340
#define FIRST_SERVER_PORT 8220

/* Strength, in thousandths of a core. */
#define WEAK   120
#define STRONG 1000

#define STEP            (2 * KNL_MSEC)
#define ROUNDS_PER_STEP 8

#define CONFIG_FORMAT                                                                              \
  "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"prefix\":\"/a/\","             \
  "\"routeKind\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":100,\"service\":\"s\"}],"         \
  "\"services\":[{\"name\":\"s\"}],\"tenants\":[{\"name\":\"w\",\"apiKeys\":[\"%s\"]}]}"

void
gf_fleet_put_config (GfFleet *self, guint version, const char *key)
{
  g_autofree char *text = g_strdup_printf (CONFIG_FORMAT, version, key);

  row_store_put_in (self->store, PL_CONFIG_TABLE, PL_CONFIG_KEY, text);
}

void
gf_fleet_put_endpoint (GfFleet *self, guint i, const char *state)
{
  g_autofree char *id = g_strdup_printf ("i-%u", i);
  g_autofree char *text = g_strdup_printf ("{\"service\":\"s\",\"address\":\"127.0.0.1:9\","
                                           "\"zone\":\"z%u\",\"state\":\"%s\",\"slots\":8}",
                                           i % self->size.n_zones, state);

  row_store_put_in (self->store, PL_ENDPOINT_TABLE, id, text);
}

static char *
address_of (const GfFleet *self, guint i, guint port)
{
  return g_strdup_printf ("127.%u.%u.%u:%u", self->octet, i % self->size.n_zones,
                          i / self->size.n_zones + 1, port);
}

static gboolean
is_every (guint i, guint every)
{
  return every > 0 && i % every == 0;
}

static PlBoot *
boot_new (const GfFleet *self, guint i)
{
  GfDoor door = is_every (i, self->size.side_every) ? GF_DOOR_SIDE : GF_DOOR_MAIN;
  PlBoot *boot = g_new0 (PlBoot, 1);

  *boot = (PlBoot){
    .name = g_strdup_printf ("n%u", i),
    .zone = g_strdup_printf ("z%u", i % self->size.n_zones),
    .region = g_strdup ("r"),
    .callers_address = address_of (self, i, FIRST_SERVER_PORT),
    .ready_address = address_of (self, i, FIRST_SERVER_PORT + 1),
    .directory_address = address_of (self, i, FIRST_SERVER_PORT + 2),
    .metrics_address = address_of (self, i, FIRST_SERVER_PORT + 3),
    .link_address = address_of (self, i, LINK_PORT),
    .store_address = g_strdup (row_store_door_address (self->store, door)),
    .strength = is_every (i, self->size.strong_every) ? STRONG : WEAK,
    .link_rate = 2.5e6,
    .store_reads = 2000,
    .memory = GF_MEMORY,
    .max_files = 1000,
    .directory_ttl_s = 5,
    .is_first_start = self->size.is_first_start,
    .bounds = {
      .key_withdrawal = self->size.evacuation > 0 ? 4 * self->size.evacuation : 5 * KNL_SEC,
      .evacuation = self->size.evacuation,
      .new_config = 5 * KNL_SEC,
      .leaving = GF_LEAVING,
      .unused_memory = 4 * KNL_SEC,
      .grace = 8 * KNL_SEC,
      .retries = { .ratio = 0.2, .slack = 100, .window = 10 * KNL_SEC },
      .cold_overage = 1.5,
      .cold_slack = 5,
    },
  };
  return boot;
}

/* Another program may have a fleet, too. */
static void
choose_octet (GfFleet *self)
{
  static const HtServerLimits limits = { .max_connections = 1 };
  static const HtServerEvents no_events = { 0 };

  for (self->octet = FIRST_OCTET; self->octet < LAST_OCTET; self->octet++)
    {
      g_autofree char *address = address_of (self, 0, LINK_PORT - 1);

      self->guard = ht_server_new (self->kernel, self->base, address, &limits, &no_events, NULL);
      if (self->guard != NULL)
        return;
    }
  g_error ("no loopback network is free");
}

static void
raise_file_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

void
gf_fleet_open (GfFleet *self, const GfSize *size)
{
  *self = (GfFleet){ .size = *size,
                     .base = event_base_new (),
                     .clock = knl_paused_clock_new (),
                     .instances = g_new0 (GfInstance, size->n_instances) };
  cm_log_init ("fleet", "", CM_LOG_EMERG);
  raise_file_limit ();
  knl_paused_clock_advance (self->clock, 10 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 1);
  self->store = row_store_new (self->kernel, self->base);
  choose_octet (self);
  gf_fleet_put_config (self, 1, "key");
  for (guint i = 0; i < size->n_endpoints; i++)
    gf_fleet_put_endpoint (self, i, "ready");
}

void
gf_fleet_start (GfFleet *self, guint i)
{
  GfInstance *instance = &self->instances[i];

  if (instance->runtime == NULL)
    instance->runtime = knl_paused_clock_runtime (self->clock);
  instance->gateway = (Gateway){
    .boot_path = "",
    .boot = boot_new (self, i),
    .process = { .base = self->base, .kernel = knl_kernel_new (instance->runtime, i + 2) },
  };
  if (!gateway_open (&instance->gateway, ++self->incarnation))
    g_error ("instance %u can't be opened", i);
  gateway_start (&instance->gateway);
  instance->is_running = TRUE;
}

void
gf_fleet_kill (GfFleet *self, guint i)
{
  GfInstance *instance = &self->instances[i];

  gateway_close (&instance->gateway);
  knl_kernel_free (instance->gateway.process.kernel);
  pl_boot_free (instance->gateway.boot);
  instance->is_running = FALSE;
}

/* Ends the instances whose event loop ends: it doesn't begin another iteration. */
static void
end_stopped (GfFleet *self)
{
  for (guint i = 0; i < self->size.n_instances; i++)
    {
      if (self->instances[i].is_running && self->instances[i].gateway.has_ended)
        gf_fleet_kill (self, i);
    }
}

void
gf_fleet_advance (GfFleet *self, KnlTime time)
{
  for (KnlTime passed = 0; passed < time; passed += STEP)
    {
      knl_paused_clock_advance (self->clock, STEP);
      end_stopped (self);
      for (guint round = 0; round < ROUNDS_PER_STEP; round++)
        event_base_loop (self->base, EVLOOP_NONBLOCK);
    }
}

void
gf_fleet_start_all (GfFleet *self, KnlTime span)
{
  guint n = self->size.n_instances;
  KnlTime begun = knl_paused_clock_now (self->clock);

  for (guint i = 0; i < n; i++)
    {
      KnlTime at = begun + span * i / n;

      if (self->instances[i].is_running)
        continue;
      if (at > knl_paused_clock_now (self->clock))
        gf_fleet_advance (self, at - knl_paused_clock_now (self->clock));
      gf_fleet_start (self, i);
    }
}

void
gf_fleet_close (GfFleet *self)
{
  for (guint i = 0; i < self->size.n_instances; i++)
    {
      if (self->instances[i].is_running)
        gf_fleet_kill (self, i);
    }
  ht_server_free (self->guard);
  row_store_free (self->store);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
  event_base_free (self->base);
  g_free (self->instances);
}

guint
gf_fleet_n_unready (const GfFleet *self)
{
  guint n = 0;

  for (guint i = 0; i < self->size.n_instances; i++)
    n += self->instances[i].is_running && !gateway_is_ready (&self->instances[i].gateway);
  return n;
}

static guint
n_running_in_zone (const GfFleet *self, guint zone)
{
  guint n = 0;

  for (guint i = zone; i < self->size.n_instances; i += self->size.n_zones)
    n += self->instances[i].is_running;
  return n;
}

guint
gf_fleet_n_unknown (const GfFleet *self)
{
  guint unknown = 0;

  for (guint i = 0; i < self->size.n_instances; i++)
    {
      guint others = n_running_in_zone (self, i % self->size.n_zones) - 1;

      if (self->instances[i].is_running)
        unknown +=
            others - MIN (others, sv_peers_n_alive_in_cell (self->instances[i].gateway.peers));
    }
  return unknown;
}

KnlTime
gf_fleet_settle (GfFleet *self, KnlTime limit)
{
  static const KnlTime interval = 20 * KNL_MSEC;
  KnlTime passed = 0;

  while (passed < limit && gf_fleet_n_unknown (self) + gf_fleet_n_unready (self) > 0)
    {
      gf_fleet_advance (self, interval);
      passed += interval;
    }
  return passed;
}

guint
gf_fleet_n_outdated (const GfFleet *self, guint version)
{
  guint n = 0;

  for (guint i = 0; i < self->size.n_instances; i++)
    {
      const GfInstance *instance = &self->instances[i];
      const SvConfig *config =
          instance->is_running ? sv_core_config (instance->gateway.core) : NULL;

      n += instance->is_running && (config == NULL || config->version < version);
    }
  return n;
}
