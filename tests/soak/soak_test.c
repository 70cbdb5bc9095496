/**
 * Randomised runs for CI: the seeds FIRST to FIRST + COUNT - 1 from the command line,
 * each for 30 minutes of the paused clock. Violations are printed with their seed;
 * build/tests/soak/soak SEED 1 30 verbose repeats the run and prints its faults.
 */

#include <stdlib.h>

#include "common/log.h"
#include "soak.h"
#include "tests/unit/suite.h"

#define DURATION ((KnlTime)30 * 60 * KNL_SEC)

static guint32 first;
static guint count;

static void
test_promises_hold_under_random_faults (void)
{
  for (guint32 seed = first; seed < first + count; seed++)
    {
      SoakOptions options = { .seed = seed, .duration = DURATION };
      SoakResult result = soak_run (&options);

      CU_ASSERT_EQUAL (result.violations, 0);
      CU_ASSERT (result.done > 0);
    }
}

static const SuiteCase cases[] = {
  { "promises hold under random faults", test_promises_hold_under_random_faults },
};

int
main (int argc, char **argv)
{
  if (argc != 3)
    return EXIT_FAILURE;
  first = (guint32)strtoul (argv[1], NULL, 10);
  count = (guint)strtoul (argv[2], NULL, 10);
  cm_log_init ("soak", "", CM_LOG_CRIT);
  return suite_run ("soak", cases, G_N_ELEMENTS (cases));
}
