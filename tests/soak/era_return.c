/**
 * Measures how long real gateways take, after the store was restored from an older
 * copy, until all run the same configuration and until all cells are listed again, and
 * how many store calls that takes. Run by hand; checks nothing.
 *
 * usage: era_return INSTANCES ZONES; prints one JSON line.
 */

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "tests/fakes/row_store.h"
#include "tests/faults/harness.h"
#include "tests/unit/suite.h"

/* Number of addresses that suite_loopback_ip() can give in one loopback network. */
#define MAX_INSTANCES 250

/* Time after the start of all instances until only feeds use the store. */
#define SETTLE_TIME (5 * KNL_SEC)

/* Delay after the restoration until the operator writes the lost configuration again. */
#define REWRITE_DELAY (300 * KNL_MSEC)

#define SETTINGS_FORMAT                                                                            \
  "{\"nodeName\":\"n%u\",\"zone\":\"z%u\",\"region\":\"r\",\"ip\":\"%s\","                         \
  "\"portRange\":[%s,%s],\"listen\":{\"front\":\"%s\",\"ready\":\"%s\",\"directory\":\"%s\"},"     \
  "\"limits\":{\"maxFds\":4000,\"cpuShare\":0.25,\"cores\":1,\"linkMbps\":200},\"platform\":{"     \
  "\"address\":\"%s\",\"readsPerS\":2000},"                                                        \
  "\"bounds\":{\"strictRevoke\":true,\"revokeMs\":5000,\"configApplyMs\":3000,\"stall_ms\":1500,"  \
  "\"graceS\":8,\"freeMs\":4000,\"retryBudgetRatio\":0.2,\"retrySlack\":100,\"budgetWindowS\":10," \
  "\"drainMs\":2000,\"ttl_max_s\":5}}"

#define CONFIG_FORMAT                                                                              \
  "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"prefix\":\"/a/\","             \
  "\"routeKind\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":100,\"service\":\"s\"}],"         \
  "\"services\":[{\"name\":\"s\"}],\"tenants\":[{\"name\":\"w\",\"apiKeys\":[\"key\"]}]}"

typedef struct
{
  HnHarness *harness;
  RowStore *store;
  guint n;
  guint n_zones;
  HnProcess *processes[MAX_INSTANCES];
  char *files[MAX_INSTANCES];
  const char *version; /* of the configuration that all instances should run */
} Fleet;

static void
put_config (Fleet *self, guint version)
{
  g_autofree char *text = g_strdup_printf (CONFIG_FORMAT, version);

  row_store_put_in (self->store, "op", "config", text);
}

static void
start_instance (Fleet *self, guint i)
{
  g_autofree char *ip = suite_loopback_ip (i);
  g_autofree char *name = g_strdup_printf ("n%u", i);
  g_autofree char *text = NULL;
  const char *callers = hn_address_new (self->harness);
  const char *ready = hn_address_new (self->harness);
  const char *directory = hn_address_new (self->harness);
  const char *link = hn_address_new (self->harness);
  const char *port = strchr (link, ':') + 1;
  gint file = g_file_open_tmp ("alderturn-XXXXXX", &self->files[i], NULL);

  g_assert (file >= 0);
  close (file);
  text = g_strdup_printf (SETTINGS_FORMAT, i, i % self->n_zones, ip, port, port, callers, ready,
                          directory, row_store_address (self->store));
  g_file_set_contents (self->files[i], text, -1, NULL);
  self->processes[i] =
      hn_start (self->harness, name, "gateway/alderturn-gateway",
                (const char *const[]){ "--boot", self->files[i], "--log-severity", "info", NULL });
}

static gboolean
all_listed (gpointer data)
{
  const Fleet *self = data;

  for (guint i = 0; i < MIN (self->n_zones, self->n); i++)
    {
      g_autofree char *zone = g_strdup_printf ("z%u", i);

      if (!row_store_has (self->store, "cells", zone))
        return FALSE;
    }
  return TRUE;
}

static gboolean
all_run (gpointer data)
{
  const Fleet *self = data;
  g_autofree char *line =
      g_strdup_printf ("\"event\":\"configuration-in-use\",\"version\":%s,", self->version);

  for (guint i = 0; i < self->n; i++)
    {
      if (strstr (hn_output (self->processes[i]), line) == NULL)
        return FALSE;
    }
  return TRUE;
}

static gboolean
all_run_and_listed (gpointer data)
{
  return all_listed (data) && all_run (data);
}

/* Measures from `from` on. The highest rate of calls a second is ten times the calls in the busiest
 * 100 ms. */
static void
measure (Fleet *self, KnlTime from)
{
  KnlTime listed_at = 0;
  KnlTime runs_at = 0;
  guint calls = row_store_n_calls (self->store);
  guint first = calls;
  guint busiest = 0;

  while ((listed_at == 0 || runs_at == 0)
         && knl_kernel_now (self->harness->kernel) - from < HN_TIMEOUT)
    {
      hn_run_for (self->harness, 100 * KNL_MSEC);
      busiest = MAX (busiest, row_store_n_calls (self->store) - calls);
      calls = row_store_n_calls (self->store);
      if (knl_kernel_now (self->harness->kernel) - from > REWRITE_DELAY
          && strcmp (self->version, "2") == 0)
        {
          put_config (self, 3);
          self->version = "3";
        }
      if (listed_at == 0 && all_listed (self))
        listed_at = knl_kernel_now (self->harness->kernel);
      if (runs_at == 0 && strcmp (self->version, "3") == 0 && all_run (self))
        runs_at = knl_kernel_now (self->harness->kernel);
    }
  printf ("{\"instances\":%u,\"zones\":%u,\"listed-ms\":%d,\"one-configuration-ms\":%d,"
          "\"calls\":%u,\"calls-a-second-most\":%u}\n",
          self->n, self->n_zones, listed_at > 0 ? (int)((listed_at - from) / KNL_MSEC) : -1,
          runs_at > 0 ? (int)((runs_at - from) / KNL_MSEC) : -1, calls - first, 10 * busiest);
}

int
main (int argc, char **argv)
{
  Fleet fleet = { 0 };
  guint64 copy;

  if (argc != 3)
    return EXIT_FAILURE;
  signal (SIGPIPE, SIG_IGN);
  fleet.n = MIN ((guint)strtoul (argv[1], NULL, 10), MAX_INSTANCES);
  fleet.n_zones = MAX ((guint)strtoul (argv[2], NULL, 10), 1);
  fleet.harness = hn_harness_new ();
  fleet.store = row_store_new (fleet.harness->kernel, fleet.harness->base);
  row_store_set_era (fleet.store, 0);
  put_config (&fleet, 1);
  copy = row_store_version (fleet.store);
  for (guint i = 0; i < fleet.n; i++)
    start_instance (&fleet, i);
  fleet.version = "1";
  if (!hn_await (fleet.harness, 4 * HN_TIMEOUT, all_run_and_listed, &fleet))
    fprintf (stderr, "not all cells are listed, or not all instances run the configuration\n");
  put_config (&fleet, 2);
  fleet.version = "2";
  hn_await (fleet.harness, HN_TIMEOUT, all_run, &fleet);
  hn_run_for (fleet.harness, SETTLE_TIME);
  row_store_restore (fleet.store, copy);
  measure (&fleet, knl_kernel_now (fleet.harness->kernel));
  for (guint i = 0; i < fleet.n; i++)
    {
      hn_kill (fleet.processes[i]);
      unlink (fleet.files[i]);
      g_free (fleet.files[i]);
    }
  row_store_free (fleet.store);
  hn_harness_free (fleet.harness);
  return EXIT_SUCCESS;
}
