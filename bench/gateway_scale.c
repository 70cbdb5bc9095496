/**
 * Measures what instances of alderturn-gateway cost each other and the store at several sizes, at a
 * constant number of endpoints for each instance: whole gateways in one process on a paused clock,
 * without callers.
 *
 * usage: gateway-scale ZONES INSTANCES...
 *
 * Prints a line for each size and the powers between the first and the last one. Processor time is
 * that of the whole process, the fake store included.
 */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "tests/fakes/gateway_fleet.h"

#define MAX_SIZES 8

/* Machines that are started together start within this. */
#define START_SPAN (300 * KNL_MSEC)

/* Time limit of each start, and the span over which costs at rest are measured. */
#define START_LIMIT (20 * KNL_SEC)
#define REST_SPAN   (5 * KNL_SEC)

/* Time for which the store turns a third of the instances away; a second after its start the
 * configuration changes. */
#define OUTAGE_SPAN (9 * KNL_SEC)

#define CHECK_INTERVAL (20 * KNL_MSEC)

typedef struct
{
  guint instances;
  double calls_a_start;
  double start_ms; /* from the last start until all know each other and are ready */
  double restart_calls;
  double restart_ms;
  double rest_calls;     /* a second, of all */
  double rest_datagrams; /* a second and instance */
  double rest_bytes;     /* a second and instance */
  double rest_cpu;       /* of a core, an instance */
  double config_ms;      /* until a new configuration is used by all */
  double outage_calls;   /* a second, of all, while a third is turned away */
  double memory_kb;      /* an instance */
} Figures;

static const struct
{
  const char *name;
  gsize offset;
} columns[] = {
  { "calls-a-start", G_STRUCT_OFFSET (Figures, calls_a_start) },
  { "start-ms", G_STRUCT_OFFSET (Figures, start_ms) },
  { "restart-calls", G_STRUCT_OFFSET (Figures, restart_calls) },
  { "restart-ms", G_STRUCT_OFFSET (Figures, restart_ms) },
  { "rest-calls-s", G_STRUCT_OFFSET (Figures, rest_calls) },
  { "datagrams-s", G_STRUCT_OFFSET (Figures, rest_datagrams) },
  { "bytes-s", G_STRUCT_OFFSET (Figures, rest_bytes) },
  { "core", G_STRUCT_OFFSET (Figures, rest_cpu) },
  { "config-ms", G_STRUCT_OFFSET (Figures, config_ms) },
  { "outage-calls-s", G_STRUCT_OFFSET (Figures, outage_calls) },
  { "memory-kb", G_STRUCT_OFFSET (Figures, memory_kb) },
};

static double
figure (const Figures *self, guint column)
{
  return G_STRUCT_MEMBER (double, self, columns[column].offset);
}

static double
cpu_seconds (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
         + (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

static double
resident_kb (void)
{
  g_autofree char *text = NULL;
  gulong pages = 0;

  if (g_file_get_contents ("/proc/self/statm", &text, NULL, NULL))
    pages = strtoul (strchr (text, ' '), NULL, 10);
  return (double)pages * (double)getpagesize () / 1024;
}

static SvPeerTraffic
sent (const GfFleet *fleet)
{
  SvPeerTraffic sum = { 0 };

  for (guint i = 0; i < fleet->size.n_instances; i++)
    {
      SvPeerTraffic one = sv_peers_sent (fleet->instances[i].gateway.peers);

      sum.datagrams += one.datagrams;
      sum.bytes += one.bytes;
    }
  return sum;
}

static double
in_ms (KnlTime time)
{
  return (double)time / (double)KNL_MSEC;
}

static void
measure_start (GfFleet *fleet, Figures *figures)
{
  double n = figures->instances;

  gf_fleet_start_all (fleet, START_SPAN);
  figures->start_ms = in_ms (gf_fleet_settle (fleet, START_LIMIT));
  figures->calls_a_start = row_store_n_calls (fleet->store) / n;
}

static void
measure_restart (GfFleet *fleet, Figures *figures)
{
  guint calls;
  guint n = 0;

  for (guint i = 0; i < figures->instances; i += 2, n++)
    gf_fleet_kill (fleet, i);
  gf_fleet_advance (fleet, 2 * KNL_SEC);
  calls = row_store_n_calls (fleet->store);
  gf_fleet_start_all (fleet, START_SPAN);
  figures->restart_ms = in_ms (gf_fleet_settle (fleet, START_LIMIT));
  figures->restart_calls = (row_store_n_calls (fleet->store) - calls) / (double)n;
}

static void
measure_rest (GfFleet *fleet, Figures *figures)
{
  double seconds = (double)REST_SPAN / (double)KNL_SEC;
  double n = figures->instances;
  SvPeerTraffic first = sent (fleet);
  guint calls = row_store_n_calls (fleet->store);
  double cpu = cpu_seconds ();
  SvPeerTraffic last;

  gf_fleet_advance (fleet, REST_SPAN);
  last = sent (fleet);
  figures->rest_cpu = (cpu_seconds () - cpu) / seconds / n;
  figures->rest_calls = (row_store_n_calls (fleet->store) - calls) / seconds;
  figures->rest_datagrams = (double)(last.datagrams - first.datagrams) / seconds / n;
  figures->rest_bytes = (double)(last.bytes - first.bytes) / seconds / n;
}

static void
measure_config (GfFleet *fleet, Figures *figures)
{
  KnlTime passed = 0;

  gf_fleet_put_config (fleet, 2, "key");
  while (gf_fleet_n_outdated (fleet, 2) > 0 && passed < START_LIMIT)
    {
      gf_fleet_advance (fleet, CHECK_INTERVAL);
      passed += CHECK_INTERVAL;
    }
  figures->config_ms = in_ms (passed);
}

static void
measure_outage (GfFleet *fleet, Figures *figures)
{
  guint calls = row_store_n_calls (fleet->store);

  row_store_set_door_mode (fleet->store, GF_DOOR_SIDE, ROW_STORE_SILENT);
  gf_fleet_advance (fleet, KNL_SEC);
  gf_fleet_put_config (fleet, 3, "key");
  gf_fleet_advance (fleet, OUTAGE_SPAN - KNL_SEC);
  row_store_set_door_mode (fleet->store, GF_DOOR_SIDE, ROW_STORE_SERVES);
  figures->outage_calls =
      (row_store_n_calls (fleet->store) - calls) / ((double)OUTAGE_SPAN / (double)KNL_SEC);
}

static Figures
measure (guint n_instances, guint n_zones)
{
  GfSize size = {
    .n_instances = n_instances,
    .n_zones = n_zones,
    .n_endpoints = n_instances,
    .strong_every = 7,
    .side_every = 3,
  };
  Figures figures = { .instances = n_instances };
  double memory = resident_kb ();
  GfFleet fleet;

  gf_fleet_open (&fleet, &size);
  measure_start (&fleet, &figures);
  gf_fleet_advance (&fleet, REST_SPAN);
  measure_restart (&fleet, &figures);
  gf_fleet_advance (&fleet, REST_SPAN);
  measure_rest (&fleet, &figures);
  measure_config (&fleet, &figures);
  figures.memory_kb = (resident_kb () - memory) / n_instances;
  measure_outage (&fleet, &figures);
  gf_fleet_close (&fleet);
  return figures;
}

static void
print_figures (const Figures *figures)
{
  printf ("%-10u", figures->instances);
  for (guint i = 0; i < G_N_ELEMENTS (columns); i++)
    printf (" %14.4g", figure (figures, i));
  printf ("\n");
  fflush (stdout);
}

static void
print_powers (const Figures *first, const Figures *last)
{
  double ratio = log ((double)last->instances / first->instances);

  printf ("%-10s", "power");
  for (guint i = 0; i < G_N_ELEMENTS (columns); i++)
    printf (" %14.2f", log (figure (last, i) / figure (first, i)) / ratio);
  printf ("\n");
}

int
main (int argc, char **argv)
{
  Figures figures[MAX_SIZES];
  guint n = 0;

  if (argc < 3 || argc > 2 + MAX_SIZES)
    {
      fprintf (stderr, "usage: gateway-scale ZONES INSTANCES...\n");
      return EXIT_FAILURE;
    }
  printf ("%-10s", "instances");
  for (guint i = 0; i < G_N_ELEMENTS (columns); i++)
    printf (" %14s", columns[i].name);
  printf ("\n");
  for (int i = 2; i < argc; i++)
    {
      figures[n] = measure ((guint)strtoul (argv[i], NULL, 10), (guint)strtoul (argv[1], NULL, 10));
      print_figures (&figures[n++]);
    }
  if (n > 1)
    print_powers (&figures[0], &figures[n - 1]);
  return EXIT_SUCCESS;
}
