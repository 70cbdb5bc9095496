#include "tests/fakes/deployment_internal.h"

#define SECRET              "secret"
#define INSTANCE_LIST_DELAY (1 * KNL_SEC)
#define DELAY_WITHIN_ZONE   (200 * KNL_USEC)
#define KEEP_DURATION       (5 * KNL_SEC)
#define MAX_FLAGS           40
#define FIRST_INCARNATION   1000

static void
start_entry (FkDaemon *daemon, const FkInstance *instance)
{
  FkDeployment *deployment = daemon->deployment;
  EnCoreParts parts;
  EnCoreSettings settings = {
    .instance = instance->name,
    .zone = instance->zone,
    .incarnation = daemon->identity.incarnation,
    .router = deployment->options.router,
    .max_in_flight = 100000,
    .max_queued = 100000,
    .max_new_tokens = 100000,
    .max_timeout = 3600 * KNL_SEC,
    .entries_ttl = KEEP_DURATION,
  };

  daemon->uplink = en_uplink_new (daemon->kernel, daemon->transport, instance->link_address);
  parts = (EnCoreParts){ .kernel = daemon->kernel,
                         .client = daemon->client,
                         .uplink = daemon->uplink,
                         .config = daemon->config };
  daemon->core = en_core_new (&parts, &settings);
}

static void
start_controller (FkDaemon *daemon, FkInstance *instance)
{
  CtControllerOptions options;

  daemon->metrics = cm_metrics_new ();
  daemon->platform = fk_memory_platform_new (daemon->deployment->store, daemon->kernel);
  options = (CtControllerOptions){ .kernel = daemon->kernel,
                                   .transport = daemon->transport,
                                   .identity = &daemon->identity,
                                   .platform = daemon->platform,
                                   .endpoints = daemon->client,
                                   .config = daemon->config,
                                   .metrics = daemon->metrics,
                                   .settings = &instance->settings };
  daemon->controller = ct_controller_new (&options);
  g_assert (daemon->controller != NULL);
}

void
fk_deployment_start (FkDeployment *deployment, guint index, FkDaemonKind kind)
{
  FkInstance *instance = &deployment->instances[index];
  FkDaemon *daemon = &instance->daemons[kind];
  gboolean entry = kind == FK_ENTRY;

  if (daemon->kernel != NULL)
    return;
  daemon->drained = FALSE;
  daemon->kernel =
      knl_kernel_new (daemon->runtime, deployment->options.seed * 64 + index * 2 + kind);
  daemon->identity = (WrIdentity){
    .instance = instance->name,
    .incarnation = ++deployment->last_incarnation,
    .role = entry ? ALDERTURN__ROLE__ROLE_ENTRY : ALDERTURN__ROLE__ROLE_CONTROLLER,
    .zone = instance->zone,
    .region = "local",
    .address = entry ? "" : instance->link_address,
    .caller_address = instance->caller_address,
    .secret = SECRET,
  };
  daemon->config = co_config_new ();
  daemon->transport = fk_network_transport_new (
      deployment->network, daemon->kernel, &daemon->identity, co_config_revision (daemon->config));
  daemon->client = fk_fleet_client_new (deployment->fleet, daemon->kernel);
  if (entry)
    start_entry (daemon, instance);
  else
    start_controller (daemon, instance);
}

static void
daemon_stop (FkDaemon *daemon)
{
  if (daemon->kernel == NULL)
    return;
  knl_paused_runtime_set_frozen (daemon->runtime, FALSE);
  g_clear_pointer (&daemon->core, en_core_free);
  g_clear_pointer (&daemon->uplink, en_uplink_free);
  g_clear_pointer (&daemon->controller, ct_controller_free);
  wr_transport_free (daemon->transport);
  ep_client_free (daemon->client);
  g_clear_pointer (&daemon->platform, tb_platform_free);
  co_config_free (daemon->config);
  g_clear_pointer (&daemon->metrics, cm_metrics_free);
  g_clear_pointer (&daemon->kernel, knl_kernel_free);
}

static FkDaemon *
daemon_at (const FkDeployment *deployment, guint instance, FkDaemonKind kind)
{
  return &deployment->instances[instance].daemons[kind];
}

void
fk_deployment_kill (FkDeployment *deployment, guint instance, FkDaemonKind kind)
{
  daemon_stop (daemon_at (deployment, instance, kind));
}

/* Frees a drained daemon. A daemon can't be freed inside its own callback, so this runs in the
   deployment's kernel. */
static void
on_drained_outside (gpointer data)
{
  FkDaemon *daemon = data;

  if (daemon->drained)
    daemon_stop (daemon);
}

static void
on_drained (gpointer data)
{
  FkDaemon *daemon = data;

  daemon->drained = TRUE;
  knl_timer_start (daemon->deployment->control_kernel, KNL_MSEC, on_drained_outside, daemon);
}

void
fk_deployment_drain (FkDeployment *deployment, guint instance, FkDaemonKind kind)
{
  FkDaemon *daemon = daemon_at (deployment, instance, kind);

  if (daemon->kernel == NULL)
    return;
  if (kind == FK_ENTRY)
    en_core_drain (daemon->core, on_drained, daemon);
  else
    ct_controller_drain (daemon->controller, on_drained, daemon);
}

void
fk_deployment_set_frozen (FkDeployment *deployment,
                          guint instance,
                          FkDaemonKind kind,
                          gboolean frozen)
{
  knl_paused_runtime_set_frozen (daemon_at (deployment, instance, kind)->runtime, frozen);
}

gboolean
fk_deployment_is_up (const FkDeployment *deployment, guint instance, FkDaemonKind kind)
{
  return daemon_at (deployment, instance, kind)->kernel != NULL;
}

EnCore *
fk_deployment_core (FkDeployment *deployment, guint instance)
{
  return daemon_at (deployment, instance, FK_ENTRY)->core;
}

CtController *
fk_deployment_controller (FkDeployment *deployment, guint instance)
{
  return daemon_at (deployment, instance, FK_CONTROLLER)->controller;
}

TbTable *
fk_deployment_platform (FkDeployment *deployment, guint instance)
{
  return daemon_at (deployment, instance, FK_CONTROLLER)->platform;
}

guint64
fk_deployment_revision (const FkDeployment *deployment, guint instance, FkDaemonKind kind)
{
  const FkDaemon *daemon = daemon_at (deployment, instance, kind);

  return daemon->kernel != NULL ? *co_config_revision (daemon->config) : 0;
}

KnlPausedClock *
fk_deployment_clock (FkDeployment *deployment)
{
  return deployment->clock;
}

FkNetwork *
fk_deployment_network (FkDeployment *deployment)
{
  return deployment->network;
}

FkFleet *
fk_deployment_fleet (FkDeployment *deployment)
{
  return deployment->fleet;
}

FkStore *
fk_deployment_store (FkDeployment *deployment)
{
  return deployment->store;
}

const char *
fk_deployment_engine_address (FkDeployment *deployment, guint engine)
{
  return g_ptr_array_index (deployment->engines, engine);
}

const char *
fk_deployment_service_address (FkDeployment *deployment, guint service)
{
  return g_ptr_array_index (deployment->services, service);
}

static void
list_endpoint (FkDeployment *deployment,
               const char *kind,
               const char *label,
               guint index,
               const char *address,
               const char *state)
{
  SdInstanceList *list = fk_store_instances (deployment->store);
  g_autofree char *name = g_strdup_printf ("%s-%u", kind, index);
  char zone[2] = { (char)('a' + (char)(index % 3)), '\0' };
  SdInstance instance = { .name = name,
                          .kind = (char *)kind,
                          .address = (char *)address,
                          .zone = zone,
                          .region = (char *)"local",
                          .service = (char *)label,
                          .state = (char *)state };

  if (state != NULL)
    sd_instance_list_put (list, &instance);
  else
    sd_instance_list_remove (list, kind, name);
}

void
fk_deployment_list_engine (FkDeployment *deployment, guint engine, const char *state)
{
  list_endpoint (deployment, "engine", "gpu", engine,
                 fk_deployment_engine_address (deployment, engine), state);
}

static void
add_endpoints (FkDeployment *deployment)
{
  const FkDeploymentOptions *options = &deployment->options;

  for (guint i = 0; i < options->engines; i++)
    {
      char *address = g_strdup_printf ("10.1.%u.%u:80", i / 250, i % 250 + 1);

      g_ptr_array_add (deployment->engines, address);
      fk_fleet_add_engine (deployment->fleet, address, &options->engine);
      fk_deployment_list_engine (deployment, i, "live");
    }
  for (guint i = 0; i < options->services; i++)
    {
      char *address = g_strdup_printf ("10.2.0.%u:80", i + 1);

      g_ptr_array_add (deployment->services, address);
      fk_fleet_add_service (deployment->fleet, address);
      list_endpoint (deployment, "service", "desk", i, address, "live");
    }
}

static void
list_instance (FkDeployment *deployment, const FkInstance *instance, gboolean entry)
{
  SdInstance row = { .name = (char *)instance->name,
                     .kind = (char *)(entry ? "entry" : "controller"),
                     .address = (char *)(entry ? instance->caller_address : instance->link_address),
                     .zone = (char *)instance->zone,
                     .region = (char *)"local",
                     .service = (char *)"",
                     .state = (char *)"live" };

  sd_instance_list_put (fk_store_instances (deployment->store), &row);
}

/* Parses the controller's settings from a command line. */
static void
parse_settings (FkDeployment *deployment, FkInstance *instance)
{
  const char *argv[MAX_FLAGS] = {
    "alderturn-controller",
    "--instance",
    instance->name,
    "--zone",
    instance->zone,
    "--listen-address",
    instance->link_address,
    "--http-address",
    instance->operator_address,
    "--platform-address",
    "10.9.0.1:80",
    "--secret",
    SECRET,
    "--operator-token",
    FK_OPERATOR_TOKEN,
    "--entry-address",
    instance->caller_address,
  };
  int argc = 17;
  g_auto (CmFindings) findings;
  const char *const *flag = deployment->options.controller_flags;

  for (; flag != NULL && *flag != NULL; flag++)
    argv[argc++] = *flag;
  cm_findings_init (&findings);
  cm_settings_parse (ct_settings_table (), "", argc, (char **)argv, &instance->settings, NULL,
                     &findings);
  g_assert (cm_findings_count (&findings) == 0);
}

static void
add_instance (FkDeployment *deployment, guint index)
{
  FkInstance *instance = &deployment->instances[index];

  g_snprintf (instance->name, sizeof instance->name, "instance-%u", index);
  instance->zone[0] = (char)('a' + (char)(index % 3));
  g_snprintf (instance->link_address, sizeof instance->link_address, "10.0.0.%u:70", index + 1);
  g_snprintf (instance->caller_address, sizeof instance->caller_address, "10.0.0.%u:80", index + 1);
  g_snprintf (instance->operator_address, sizeof instance->operator_address, "10.0.0.%u:90",
              index + 1);
  parse_settings (deployment, instance);
  list_instance (deployment, instance, TRUE);
  list_instance (deployment, instance, FALSE);
  for (FkDaemonKind kind = 0; kind < FK_DAEMONS; kind++)
    {
      FkDaemon *daemon = &instance->daemons[kind];

      daemon->deployment = deployment;
      daemon->instance = index;
      daemon->kind = kind;
      daemon->runtime = knl_paused_clock_runtime (deployment->clock);
    }
  fk_deployment_start (deployment, index, FK_CONTROLLER);
  fk_deployment_start (deployment, index, FK_ENTRY);
}

FkDeployment *
fk_deployment_new (const FkDeploymentOptions *options)
{
  FkDeployment *deployment = g_new0 (FkDeployment, 1);

  deployment->options = *options;
  deployment->last_incarnation = FIRST_INCARNATION;
  deployment->clock = knl_paused_clock_new ();
  deployment->control_kernel =
      knl_kernel_new (knl_paused_clock_runtime (deployment->clock), options->seed);
  deployment->store_kernel =
      knl_kernel_new (knl_paused_clock_runtime (deployment->clock), options->seed);
  deployment->store = fk_store_new (deployment->store_kernel, INSTANCE_LIST_DELAY);
  deployment->network = fk_network_new ();
  fk_network_set_delay (deployment->network, DELAY_WITHIN_ZONE,
                        options->between_zones != 0 ? options->between_zones : KNL_MSEC);
  deployment->fleet = fk_fleet_new (deployment->clock);
  deployment->engines = g_ptr_array_new_with_free_func (g_free);
  deployment->services = g_ptr_array_new_with_free_func (g_free);
  add_endpoints (deployment);
  deployment->instances = g_new0 (FkInstance, options->instances);
  for (guint i = 0; i < options->instances; i++)
    add_instance (deployment, i);
  return deployment;
}

void
fk_deployment_free (FkDeployment *deployment)
{
  if (deployment == NULL)
    return;
  for (guint i = 0; i < deployment->options.instances; i++)
    {
      for (FkDaemonKind kind = 0; kind < FK_DAEMONS; kind++)
        daemon_stop (daemon_at (deployment, i, kind));
      cm_settings_clear (ct_settings_table (), &deployment->instances[i].settings);
    }
  g_free (deployment->instances);
  fk_fleet_free (deployment->fleet);
  fk_network_free (deployment->network);
  fk_store_free (deployment->store);
  knl_kernel_free (deployment->store_kernel);
  knl_kernel_free (deployment->control_kernel);
  knl_paused_clock_free (deployment->clock);
  g_ptr_array_unref (deployment->engines);
  g_ptr_array_unref (deployment->services);
  g_free (deployment);
}
