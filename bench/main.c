/** Runs one measurement of a fleet from the command line; scripts/bench runs the comparisons. */

#include <stdio.h>
#include <stdlib.h>

#include "common/log.h"
#include "fleet.h"

static const char *const class_names[] = { "4k", "16k", "100k", "1m" };

typedef struct
{
  char *profile;
  char *router;
  int entries;
  double load;
  double long_share;
  gboolean no_long;
  int flood;
  int seed;
  int seeds;
  int seconds;
  gboolean header;
} Flags;

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

static void
print_quantiles (const CmHistogram *histogram)
{
  printf ("%7.0f %7.0f %8.0f", (double)cm_histogram_quantile (histogram, 0.5) / 1000,
          (double)cm_histogram_quantile (histogram, 0.95) / 1000,
          (double)cm_histogram_quantile (histogram, 0.99) / 1000);
}

/* Prints the median and the range over the seeds; sorts `values`. */
static void
print_range (const char *title, const char *what, GArray *values)
{
  g_array_sort (values, compare_doubles);
  printf ("%-42s %s: median %.0f, range %.0f to %.0f over %u seeds\n", title, what,
          g_array_index (values, double, values->len / 2), g_array_index (values, double, 0),
          g_array_index (values, double, values->len - 1), values->len);
}

static void
print_result (const char *title, const BenchResult *result)
{
  CmHistogram other_workspaces = { 0 };

  for (guint i = 0; i < BENCH_CLASSES; i++)
    {
      printf ("%-42s %-5s", title, class_names[i]);
      print_quantiles (&result->time_to_first[i]);
      printf ("  %6" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT
              " %6" G_GUINT64_FORMAT "\n",
              result->requests[i], result->done[i], result->refused[i], result->failed[i]);
    }
  for (guint i = 0; i < BENCH_WORKSPACES - 1; i++)
    cm_histogram_merge (&other_workspaces, &result->workspace_time_to_first[i]);
  printf ("%-42s small", title);
  print_quantiles (&other_workspaces);
  printf ("  goodput %.0f tokens/s, memory waits %" G_GUINT64_FORMAT
          ", idle beside waiting %.2f%%, table writes %.1f/s reads %.1f/s\n",
          (double)result->done_tokens / ((double)result->span / KNL_SEC), result->memory_waits,
          100.0 * (double)result->idle_while_waiting / (double)MAX (result->samples, 1),
          (double)result->platform_writes / ((double)result->span / KNL_SEC),
          (double)result->platform_reads / ((double)result->span / KNL_SEC));
  cm_histogram_clear (&other_workspaces);
}

static void
measure (const Flags *flags)
{
  BenchResult sum = { 0 };
  GArray *goodput = g_array_new (FALSE, FALSE, sizeof (double));
  GArray *time_to_first = g_array_new (FALSE, FALSE, sizeof (double));
  char title[64];

  g_snprintf (title, sizeof title, "%s %s e%d load %.2f ls %.1f%s%s", flags->profile, flags->router,
              flags->entries, flags->load, flags->long_share, flags->no_long ? " no-long" : "",
              flags->flood > 0 ? " flood" : "");
  for (int i = 0; i < flags->seeds; i++)
    {
      BenchOptions options = { .profile = bench_profile_find (flags->profile),
                               .router = flags->router,
                               .entries = (guint)flags->entries,
                               .load = flags->load,
                               .with_long = !flags->no_long,
                               .long_share = flags->long_share,
                               .flood = (guint)flags->flood,
                               .seed = (guint32)(flags->seed + i),
                               .duration = (KnlTime)flags->seconds * KNL_SEC };
      BenchResult result;

      double tokens;
      double p99;

      bench_run (&options, &result);
      tokens = (double)result.done_tokens / ((double)result.span / KNL_SEC);
      p99 = (double)cm_histogram_quantile (&result.time_to_first[EN_LENGTH_4K], 0.99) / 1000;
      g_array_append_val (goodput, tokens);
      g_array_append_val (time_to_first, p99);
      bench_result_merge (&sum, &result);
      bench_result_clear (&result);
    }
  print_result (title, &sum);
  print_range (title, "goodput tokens/s", goodput);
  print_range (title, "p99 ms of 4k", time_to_first);
  g_array_free (goodput, TRUE);
  g_array_free (time_to_first, TRUE);
  bench_result_clear (&sum);
}

int
main (int argc, char **argv)
{
  Flags flags = { .profile = g_strdup ("lantern"),
                  .router = g_strdup ("credits"),
                  .entries = 6,
                  .load = 0.9,
                  .seed = 1,
                  .seeds = 3,
                  .seconds = 120 };
  const GOptionEntry entries[] = {
    { "profile", 0, 0, G_OPTION_ARG_STRING, &flags.profile, "lantern or groove", "NAME" },
    { "router", 0, 0, G_OPTION_ARG_STRING, &flags.router, "Strategy for choosing engines", "NAME" },
    { "entries", 0, 0, G_OPTION_ARG_INT, &flags.entries, "Entry instances", "N" },
    { "load", 0, 0, G_OPTION_ARG_DOUBLE, &flags.load, "Load as a fraction of the engines' capacity",
      "X" },
    { "long-share", 0, 0, G_OPTION_ARG_DOUBLE, &flags.long_share,
      "Fraction of the engines for long prompts", "X" },
    { "no-long", 0, 0, G_OPTION_ARG_NONE, &flags.no_long, "Leave out prompts over 100,000 tokens",
      NULL },
    { "flood", 0, 0, G_OPTION_ARG_INT, &flags.flood,
      "Additional load of workspace 9, a multiple of its own", "N" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &flags.seed, "First seed", "N" },
    { "seeds", 0, 0, G_OPTION_ARG_INT, &flags.seeds, "Number of seeds", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &flags.seconds, "Duration of the offered load", "N" },
    { "header", 0, 0, G_OPTION_ARG_NONE, &flags.header, "Print the column names only", NULL },
    { NULL },
  };
  GOptionContext *context = g_option_context_new (NULL);
  int status = EXIT_SUCCESS;

  g_option_context_add_main_entries (context, entries, NULL);
  cm_log_init ("bench", "", g_getenv ("BENCH_LOG") != NULL ? CM_LOG_INFO : CM_LOG_CRIT);
  if (!g_option_context_parse (context, &argc, &argv, NULL)
      || bench_profile_find (flags.profile) == NULL)
    status = EXIT_FAILURE;
  else if (flags.header)
    printf ("%-42s class  p50 ms  p95 ms   p99 ms    sent   done refused failed\n",
            "time to first token");
  else
    measure (&flags);
  g_option_context_free (context);
  g_free (flags.profile);
  g_free (flags.router);
  return status;
}
