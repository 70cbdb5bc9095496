#include "suite.h"

#include <glib.h>
#include <unistd.h>

int
suite_run (const char *name, const SuiteCase *cases, unsigned int count)
{
  CU_pSuite suite;
  unsigned int failures;

  /* GLib's critical warnings abort the test, as failed invariants do. */
  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_ERROR);
  g_setenv ("ALDERTURN_INVARIANTS", "fatal", TRUE);
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  suite = CU_add_suite (name, NULL, NULL);
  for (unsigned int i = 0; i < count; i++)
    CU_add_test (suite, cases[i].name, cases[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures () + CU_get_number_of_tests_failed ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}

char *
suite_loopback_ip (guint index)
{
  guint process = (guint)getpid ();

  return g_strdup_printf ("127.%u.%u.%u", 1 + process / 256 % 254, process % 256, 1 + index);
}
