/** Long run of the soak. usage: soak SEED COUNT MINUTES [verbose]; prints a line for each seed. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "soak.h"

int
main (int argc, char **argv)
{
  guint32 first = argc > 1 ? (guint32)strtoul (argv[1], NULL, 10) : 1;
  guint count = argc > 2 ? (guint)strtoul (argv[2], NULL, 10) : 1;
  guint minutes = argc > 3 ? (guint)strtoul (argv[3], NULL, 10) : 30;
  gboolean verbose = argc > 4 && strcmp (argv[4], "verbose") == 0;
  guint violations = 0;

  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_ERROR);
  cm_log_init ("soak", "", verbose ? CM_LOG_INFO : CM_LOG_CRIT);
  for (guint i = 0; i < count; i++)
    {
      SoakOptions options = { .seed = first + i,
                              .duration = (KnlTime)minutes * 60 * KNL_SEC,
                              .verbose = verbose };
      SoakResult result = soak_run (&options);

      violations += result.violations;
      printf ("seed %u: %u requests, %u done, %u refused, %u failed or unknown, %u lost with their "
              "entry; %u faults; %u violations\n",
              options.seed, result.requests, result.done, result.refused, result.failed,
              result.lost, result.faults, result.violations);
      fflush (stdout);
    }
  return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
