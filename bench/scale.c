/**
 * Measures the cost of coordination per daemon, from few to many instances: bytes
 * on links, processor time, memory, and the total reads and writes of the table,
 * without requests, with or without configuration changes. The slopes go into
 * docs/CAPACITY.md. All daemons run in this process over links in memory; the
 * processor time is that of the whole process, engine models included.
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "common/log.h"
#include "tests/fakes/deployment.h"

#define WARM_UP            (60 * KNL_SEC)
#define ENGINES_PER_DAEMON 3
#define WORKSPACES         10

typedef struct
{
  guint instances;
  guint seconds;
  guint change_interval; /* seconds between configuration changes; 0: none */
} Scale;

typedef struct
{
  guint64 bytes;
  guint64 reads;
  guint64 writes;
  double processor; /* seconds */
} Totals;

static double
processor_seconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static Totals
totals_now (FkDeployment *deployment)
{
  SdTable *table = fk_store_table (fk_deployment_store (deployment));

  return (Totals){ .bytes = fk_network_bytes_sent (fk_deployment_network (deployment)),
                   .reads = sd_table_reads (table),
                   .writes = sd_table_writes (table),
                   .processor = processor_seconds () };
}

static void
ignore_answer (int status, const char *body, gpointer data)
{
}

static void
change_configuration (FkDeployment *deployment, guint number)
{
  char *body = g_strdup_printf ("{\"operation\":\"bench-%u\",\"by\":\"bench\",\"changes\":[{\"op\":"
                                "\"set\",\"kind\":\"workspace\",\"name\":\"w1\",\"fields\":"
                                "{\"weight\":%u}}]}",
                                number, number % 9 + 1);

  fk_deployment_operator_call (deployment, 0, "POST", "/v1/apply", NULL, body, ignore_answer, NULL);
  g_free (body);
}

static void
run_for (FkDeployment *deployment, const Scale *scale)
{
  for (guint second = 1; second <= scale->seconds; second++)
    {
      if (scale->change_interval > 0 && second % scale->change_interval == 0)
        change_configuration (deployment, second);
      knl_paused_clock_advance (fk_deployment_clock (deployment), KNL_SEC);
    }
}

static void
measure (const Scale *scale)
{
  gsize before = mallinfo2 ().uordblks;
  guint daemons = scale->instances * FK_DAEMONS;
  FkDeploymentOptions options = { .instances = scale->instances,
                                  .engines = daemons * ENGINES_PER_DAEMON,
                                  .services = 1,
                                  .seed = 1,
                                  .engine = sd_engine_defaults };
  FkDeployment *deployment;
  char *changes = fk_deployment_default_changes (WORKSPACES);
  Totals from;
  Totals to;
  double seconds = scale->seconds;

  options.engine.any_model = TRUE;
  deployment = fk_deployment_new (&options);
  if (!fk_deployment_apply (deployment, changes))
    printf ("the configuration was not in force on all instances within 30 s\n");
  knl_paused_clock_advance (fk_deployment_clock (deployment), WARM_UP);
  from = totals_now (deployment);
  run_for (deployment, scale);
  to = totals_now (deployment);
  printf ("%9u %8u %8u %14.2f %14.3f %12.0f %10.1f %10.1f\n", scale->instances, daemons,
          options.engines, (double)(to.bytes - from.bytes) / seconds / daemons / 1000,
          100.0 * (to.processor - from.processor) / seconds / daemons,
          (double)(mallinfo2 ().uordblks - before) / daemons / 1000,
          (double)(to.reads - from.reads) / seconds, (double)(to.writes - from.writes) / seconds);
  fflush (stdout);
  fk_deployment_free (deployment);
  g_free (changes);
}

int
main (int argc, char **argv)
{
  static const guint sizes[] = { 3, 6, 12, 24, 48, 96 };
  guint largest = argc > 1 ? (guint)strtoul (argv[1], NULL, 10) : 96;
  guint interval = argc > 2 ? (guint)strtoul (argv[2], NULL, 10) : 6;

  cm_log_init ("bench", "", CM_LOG_CRIT);
  printf ("%9s %8s %8s %14s %14s %12s %10s %10s\n", "instances", "daemons", "engines",
          "sent kB/s each", "core % each", "memory kB", "reads/s", "writes/s");
  for (guint i = 0; i < G_N_ELEMENTS (sizes) && sizes[i] <= largest; i++)
    {
      Scale scale = { .instances = sizes[i], .seconds = 60, .change_interval = interval };

      measure (&scale);
    }
  return EXIT_SUCCESS;
}
