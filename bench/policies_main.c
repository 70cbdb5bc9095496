/** Compares placement policies over several seeds; prints medians and ranges. */

#include <stdio.h>
#include <stdlib.h>

#include "policies.h"

#define MAX_SEEDS 50

typedef struct
{
  char *policy;
  int engines;
  int instances;
  int delay_ms;
  double load;
  int seconds;
  int seeds;
} Flags;

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

static void
print_range (double *values, guint n)
{
  qsort (values, n, sizeof *values, compare_doubles);
  printf (" %5.3f (%5.3f to %5.3f)", values[n / 2], values[0], values[n - 1]);
}

static void
run_seeds (const Flags *flags, const char *policy)
{
  double all_in_time[MAX_SEEDS];
  double in_time[BENCH_KINDS][MAX_SEEDS];
  double first = 0;
  double busy = 0;
  guint n = (guint)CLAMP (flags->seeds, 1, MAX_SEEDS);

  for (guint i = 0; i < n; i++)
    {
      BenchPolicyOptions options = {
        .policy = policy,
        .engines = (guint)flags->engines,
        .instances = (guint)flags->instances,
        .delay = flags->delay_ms * KNL_MSEC,
        .load = flags->load,
        .seconds = (guint)flags->seconds,
        .seed = 1 + i,
      };
      BenchPolicyResult result;

      bench_policy_run (&options, &result);
      all_in_time[i] = result.in_time;
      for (guint k = 0; k < BENCH_KINDS; k++)
        in_time[k][i] = (double)result.kinds[k].in_time / MAX (result.kinds[k].submitted, 1);
      first += (double)cm_histogram_quantile (&result.kinds[0].first, 0.95) / 1000 / n;
      busy += result.busy / n;
      bench_policy_result_clear (&result);
    }
  printf ("%-11s %2d instances, %3d ms:", policy, flags->instances, flags->delay_ms);
  print_range (all_in_time, n);
  for (guint k = 0; k < BENCH_KINDS; k++)
    print_range (in_time[k], n);
  printf (" %6.0f %5.2f\n", first, busy);
}

int
main (int argc, char **argv)
{
  Flags flags = {
    .engines = 18, .instances = 6, .delay_ms = 4, .load = 1, .seconds = 40, .seeds = 7
  };
  GOptionEntry entries[] = {
    { "policy", 0, 0, G_OPTION_ARG_STRING, &flags.policy, "run only this policy", "NAME" },
    { "engines", 0, 0, G_OPTION_ARG_INT, &flags.engines, NULL, "N" },
    { "instances", 0, 0, G_OPTION_ARG_INT, &flags.instances, NULL, "N" },
    { "delay-ms", 0, 0, G_OPTION_ARG_INT, &flags.delay_ms, "delay from one instance to another",
      "MS" },
    { "load", 0, 0, G_OPTION_ARG_DOUBLE, &flags.load, "factor of all arrival rates", "X" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &flags.seconds, NULL, "S" },
    { "seeds", 0, 0, G_OPTION_ARG_INT, &flags.seeds, NULL, "N" },
    { NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new ("- placement policies side by side");
  g_autoptr (GError) error = NULL;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "policy-bench: %s\n", error->message);
      return 2;
    }
  if (flags.engines < 1 || flags.instances < 1 || flags.seconds < 1 || flags.delay_ms < 0)
    {
      fprintf (stderr, "policy-bench: engines, instances and seconds must be 1 or more\n");
      return 2;
    }
  printf ("%-32s %-22s %-22s %-22s %-22s %6s %5s\n", "", "in time", "short in time", "middle",
          "long", "p95 ms", "busy");
  for (const char *const *name = bench_policy_names (); *name != NULL; name++)
    {
      if (flags.policy == NULL || g_strcmp0 (flags.policy, *name) == 0)
        run_seeds (&flags, *name);
    }
  return 0;
}
