#include "cluster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SECRET        "shared-secret"
#define MAX_ARGUMENTS 40

/* Fast engines, each with memory for every prompt of the load. */
static const char *const standard_engine[] = {
  "--capacity-tokens", "2000000", "--clock-factor", "40", NULL,
};

static const char *const zones[] = { "a", "b", "c" };

static const char standard_configuration[] =
    "model lantern { version = \"1\" }\n"
    "service letters { kind = model  endpoints = engines  model = lantern }\n"
    "service desk { kind = plain  endpoints = desk  idempotent = false }\n"
    "workspace lantern { token = \"" HN_TOKEN "\"  services = [letters, desk] }\n";

typedef struct
{
  const char *list[MAX_ARGUMENTS];
  guint count;
} Arguments;

static void
add (Arguments *arguments, const char *flag, const char *value)
{
  g_assert (arguments->count + 2 < MAX_ARGUMENTS);
  arguments->list[arguments->count++] = flag;
  if (value != NULL)
    arguments->list[arguments->count++] = value;
}

static void
add_all (Arguments *arguments, const char *const *further)
{
  for (guint i = 0; further != NULL && further[i] != NULL; i++)
    add (arguments, further[i], NULL);
}

/** Starts a proxy in front of a node whose address is already set. */
static void
start_proxy (HnCluster *cluster, HnNode *node, const char *name)
{
  Arguments arguments = { 0 };

  node->connect_address = hn_address_new (cluster->harness);
  node->control = hn_address_new (cluster->harness);
  add (&arguments, "--listen-address", node->connect_address);
  add (&arguments, "--target-address", node->address);
  add (&arguments, "--control-address", node->control);
  node->proxy = hn_start (cluster->harness, name, "tests/standins/standin-proxy", arguments.list);
  g_assert (hn_await_count (node->proxy, "ready", NULL, NULL, 1));
}

static void
node_init (HnCluster *cluster, HnNode *node, HnProxies proxied, const char *name)
{
  node->address = hn_address_new (cluster->harness);
  node->connect_address = node->address;
  if (cluster->options.proxies & proxied)
    start_proxy (cluster, node, name);
}

static void
start_platform (HnCluster *cluster)
{
  Arguments arguments = { 0 };

  node_init (cluster, &cluster->platform, 0, NULL);
  add (&arguments, "--listen-address", cluster->platform.address);
  cluster->platform.process =
      hn_start (cluster->harness, "platform", "tests/standins/standin-platform", arguments.list);
  g_assert (hn_await_count (cluster->platform.process, "ready", NULL, NULL, 1));
}

void
hn_cluster_start_engine (HnCluster *cluster, guint index)
{
  HnNode *node = &cluster->engines[index];
  Arguments arguments = { 0 };
  char name[16];

  g_snprintf (name, sizeof name, "engine-%u", index);
  add (&arguments, "--name", name);
  add (&arguments, "--label", "engines");
  add (&arguments, "--zone", zones[index % G_N_ELEMENTS (zones)]);
  add (&arguments, "--listen-address", node->address);
  add (&arguments, "--advertised-address", node->connect_address);
  add (&arguments, "--platform-address", cluster->platform.address);
  add_all (&arguments, standard_engine);
  add_all (&arguments, cluster->options.engine_arguments);
  node->process =
      hn_start (cluster->harness, name, "tests/standins/standin-engine", arguments.list);
  g_assert (hn_await_count (node->process, "ready", NULL, NULL, 1));
}

static void
start_service (HnCluster *cluster)
{
  HnNode *node = &cluster->service;
  Arguments arguments = { 0 };

  node_init (cluster, node, HN_PROXY_SERVICE, "service-proxy");
  add (&arguments, "--name", "desk-0");
  add (&arguments, "--label", "desk");
  add (&arguments, "--listen-address", node->address);
  add (&arguments, "--advertised-address", node->connect_address);
  add (&arguments, "--platform-address", cluster->platform.address);
  node->process =
      hn_start (cluster->harness, "service", "tests/standins/standin-service", arguments.list);
  g_assert (hn_await_count (node->process, "ready", NULL, NULL, 1));
}

/** Adds the flags that all daemons of an instance share. */
static void
add_common (Arguments *arguments, const HnInstance *instance)
{
  add (arguments, "--instance", instance->name);
  add (arguments, "--zone", instance->zone);
  add (arguments, "--secret", SECRET);
  add (arguments, "--operator-token", HN_OPERATOR);
}

void
hn_cluster_start_controller (HnCluster *cluster, guint index)
{
  HnInstance *instance = &cluster->instances[index];
  Arguments arguments = { 0 };

  add_common (&arguments, instance);
  add (&arguments, "--listen-address", instance->controller.address);
  add (&arguments, "--http-address", instance->operators);
  add (&arguments, "--platform-address", instance->platform.connect_address);
  add (&arguments, "--entry-address", instance->entry.address);
  add_all (&arguments, cluster->options.controller_arguments);
  instance->controller.process =
      hn_start (cluster->harness, "controller", "controller/alderturn-controller", arguments.list);
}

void
hn_cluster_start_entry (HnCluster *cluster, guint index)
{
  HnInstance *instance = &cluster->instances[index];
  Arguments arguments = { 0 };

  add_common (&arguments, instance);
  add (&arguments, "--listen-address", instance->entry.address);
  add (&arguments, "--controller-address", instance->controller.connect_address);
  add (&arguments, "--keep-ms", "1000");
  add_all (&arguments, cluster->options.entry_arguments);
  instance->entry.process =
      hn_start (cluster->harness, "entry", "entry/alderturn-entry", arguments.list);
}

/** Registers a process in the platform's list of instances. A real platform knows its instances;
 * the stand-in needs them registered. */
static void
register_process (HnCluster *cluster,
                  const HnInstance *instance,
                  const char *kind,
                  const char *address)
{
  char *path = g_strdup_printf ("/instances/%s/%s", kind, instance->name);
  char *body = g_strdup_printf ("{\"name\":\"%s\",\"kind\":\"%s\",\"address\":\"%s\","
                                "\"zone\":\"%s\",\"region\":\"local\",\"state\":\"live\"}",
                                instance->name, kind, address, instance->zone);
  HnRequest request = {
    .address = cluster->platform.address, .method = "PUT", .path = path, .body = body
  };

  g_assert (hn_request (cluster->harness, &request, NULL) == 200);
  g_free (body);
  g_free (path);
}

static void
start_instance (HnCluster *cluster, guint index)
{
  HnInstance *instance = &cluster->instances[index];

  g_snprintf (instance->name, sizeof instance->name, "instance-%u", index);
  instance->zone = zones[index % G_N_ELEMENTS (zones)];
  instance->operators = hn_address_new (cluster->harness);
  instance->platform = cluster->platform;
  if (cluster->options.proxies & HN_PROXY_PLATFORM)
    start_proxy (cluster, &instance->platform, "platform-proxy");
  node_init (cluster, &instance->controller, HN_PROXY_LINK, "link-proxy");
  node_init (cluster, &instance->entry, 0, NULL);
  hn_cluster_start_controller (cluster, index);
  hn_cluster_start_entry (cluster, index);
  register_process (cluster, instance, "controller", instance->controller.address);
  register_process (cluster, instance, "entry", instance->entry.address);
}

/** Sends requests until one is answered with 200: credits are granted only once the controllers
 * hold their leases. */
static void
await_service (HnCluster *cluster, const HnInstance *instance)
{
  HnRequest request = {
    .address = instance->entry.address,
    .method = "POST",
    .path = "/v1/completions",
    .token = HN_TOKEN,
    .body = "{\"service\":\"letters\",\"prompt\":\"a question\",\"max_tokens\":1}",
  };
  guint tries = 0;

  while (hn_request (cluster->harness, &request, NULL) != 200)
    g_assert (++tries < 10);
}

/** Applies the configuration from a file by alderturnctl, as an operator would. */
static void
configure (HnCluster *cluster)
{
  const char *text = cluster->options.configuration != NULL ? cluster->options.configuration
                                                            : standard_configuration;
  char *path = NULL;
  int file = g_file_open_tmp ("alderturn-XXXXXX.conf", &path, NULL);
  char *command = g_strdup_printf ("apply \"%s\"", path);
  char *output;

  g_assert (file >= 0);
  close (file);
  g_assert (g_file_set_contents (path, text, -1, NULL));
  if (hn_run_alderturnctl (cluster, command, &output) != 0)
    g_error ("%s: %s", command, output);
  g_free (output);
  g_free (command);
  remove (path);
  g_free (path);
}

HnCluster *
hn_cluster_new (const HnClusterOptions *options)
{
  HnCluster *cluster = g_new0 (HnCluster, 1);

  cluster->options = *options;
  cluster->options.engines = options->engines > 0 ? options->engines : 2;
  cluster->options.instances = options->instances > 0 ? options->instances : 3;
  g_assert (cluster->options.engines <= HN_ENGINES);
  g_assert (cluster->options.instances <= HN_INSTANCES);
  cluster->harness = hn_harness_new ();
  start_platform (cluster);
  for (guint i = 0; i < cluster->options.engines; i++)
    {
      node_init (cluster, &cluster->engines[i], HN_PROXY_ENGINE, "engine-proxy");
      hn_cluster_start_engine (cluster, i);
    }
  start_service (cluster);
  for (guint i = 0; i < cluster->options.instances; i++)
    start_instance (cluster, i);
  for (guint i = 0; i < cluster->options.instances; i++)
    g_assert (hn_await_status (cluster->harness, cluster->instances[i].operators, "/readyz", 200));
  configure (cluster);
  for (guint i = 0; i < cluster->options.instances; i++)
    g_assert (
        hn_await_status (cluster->harness, cluster->instances[i].entry.address, "/readyz", 200));
  for (guint i = 0; i < cluster->options.instances; i++)
    await_service (cluster, &cluster->instances[i]);
  return cluster;
}

gboolean
hn_cluster_free (HnCluster *cluster)
{
  gboolean clean = hn_harness_free (cluster->harness);

  g_free (cluster);
  return clean;
}

void
hn_fault (HnCluster *cluster, const HnNode *node, const char *fault)
{
  HnRequest request = {
    .address = node->control != NULL ? node->control : node->address,
    .method = "POST",
    .path = "/fault",
    .body = fault,
  };

  g_assert (hn_request (cluster->harness, &request, NULL) == 200);
}

int
hn_run_alderturnctl (HnCluster *cluster, const char *command, char **output)
{
  Arguments arguments = { 0 };
  char *addresses = g_strdup (cluster->instances[0].operators);
  HnProcess *process;
  int status;

  for (guint i = 1; i < cluster->options.instances; i++)
    {
      char *longer = g_strconcat (addresses, ",", cluster->instances[i].operators, NULL);

      g_free (addresses);
      addresses = longer;
    }
  add (&arguments, "--controller-address", addresses);
  add (&arguments, "--operator-token", HN_OPERATOR);
  add (&arguments, command, NULL);
  process = hn_start (cluster->harness, "alderturnctl", "ctl/alderturnctl", arguments.list);
  status = hn_await_exit (process, HN_TIMEOUT);
  if (output != NULL)
    *output = g_strdup (hn_output (process));
  g_free (addresses);
  return status;
}

HnProcess *
hn_load_start (HnCluster *cluster, guint rate, guint milliseconds)
{
  Arguments arguments = { 0 };
  GString *entries = g_string_new (NULL);
  char rate_text[16];
  char time_text[16];
  HnProcess *process;

  for (guint i = 0; i < cluster->options.instances; i++)
    g_string_append_printf (entries, "%s%s", i > 0 ? "," : "", cluster->instances[i].entry.address);
  g_snprintf (rate_text, sizeof rate_text, "%u", rate);
  g_snprintf (time_text, sizeof time_text, "%u", milliseconds);
  add (&arguments, "--entry-address", entries->str);
  add (&arguments, "--token", HN_TOKEN);
  add (&arguments, "--service", "letters");
  add (&arguments, "--rate", rate_text);
  add (&arguments, "--duration-ms", time_text);
  add (&arguments, "--count", "1000000");
  add (&arguments, "--max-tokens", "800");
  process = hn_start (cluster->harness, "load", "tests/standins/standin-load", arguments.list);
  g_string_free (entries, TRUE);
  return process;
}

HnLoad
hn_load_await (HnProcess *load)
{
  HnLoad result = { 0 };
  int status = hn_await_exit (load, 3 * HN_TIMEOUT);
  json_t *output = json_loads (hn_output (load), 0, NULL);
  json_t *classes = json_object_get (output, "classes");

  g_assert (status == 0);
  for (size_t i = 0; i < json_array_size (classes); i++)
    {
      json_t *row = json_array_get (classes, i);

      result.started += (guint)json_integer_value (json_object_get (row, "started"));
      result.completed += (guint)json_integer_value (json_object_get (row, "whole"));
      result.wrong += (guint)json_integer_value (json_object_get (row, "wrong"));
      result.retries += (guint)json_integer_value (json_object_get (row, "retries"));
    }
  printf ("[%u started, %u completed, %u retries] ", result.started, result.completed,
          result.retries);
  if (result.completed < result.started)
    puts (hn_output (load));
  json_decref (output);
  return result;
}
