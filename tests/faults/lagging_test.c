/** Tests alderturnctl wait with an instance that lags behind, with real processes. */

#include "../unit/suite.h"
#include "cluster.h"

#include <string.h>

/* Runs one command with JSON output; returns the exit status and sets `*answer` to the object, to
 * be released by json_decref(). */
static int
run_ctl (HnCluster *cluster, const char *command, json_t **answer)
{
  const char *arguments[] = { "--controller-address",
                              cluster->instances[0].operators,
                              "--operator-token",
                              HN_OPERATOR,
                              "--json",
                              command,
                              NULL };
  HnProcess *process = hn_start (cluster->harness, "alderturnctl", "ctl/alderturnctl", arguments);
  int status = hn_await_exit (process, HN_TIMEOUT);

  /* It has ended, and the test checks its status. Marked as killed, so that the harness doesn't
   * treat a status other than 0 as a fault. */
  hn_kill (process);
  *answer = json_loads (hn_output (process), 0, NULL);
  CU_ASSERT_PTR_NOT_NULL (*answer);
  return status;
}

/* Runs "wait revision"; returns its exit status. */
static int
run_ctl_wait (HnCluster *cluster, json_int_t revision, guint seconds, json_t **answer)
{
  char *command = g_strdup_printf ("wait revision %d for %u", (int)revision, seconds);
  int status = run_ctl (cluster, command, answer);

  g_free (command);
  return status;
}

/*
 * Guards against a change being reported as in force everywhere while an instance still uses an
 * older revision: an entry's process is stopped while a change is accepted, and the acceptance, or
 * a report of the controller of the same instance, is mistaken for the entry's confirmation.
 */
static void
test_wait_names_the_instance_that_lags (void)
{
  HnCluster *cluster = hn_cluster_new (&(HnClusterOptions){ 0 });
  HnInstance *instance = &cluster->instances[2];
  json_int_t revision;
  json_t *answer;
  json_t *row;

  hn_signal (instance->entry.process, SIGSTOP);
  CU_ASSERT_EQUAL (run_ctl (cluster, "set workspace lantern weight = 2", &answer), 0);
  revision = json_integer_value (json_object_get (answer, "revision"));
  json_decref (answer);
  CU_ASSERT_EQUAL (run_ctl_wait (cluster, revision, 2, &answer), 4);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (answer, "rows")), 1);
  row = json_array_get (json_object_get (answer, "rows"), 0);
  CU_ASSERT_TRUE (g_strcmp0 (json_string_value (json_object_get (row, "instance")), instance->name)
                  == 0);
  json_decref (answer);
  CU_ASSERT_EQUAL (run_ctl (cluster, "show requests", &answer), 5);
  json_decref (answer);

  hn_signal (instance->entry.process, SIGCONT);
  CU_ASSERT_EQUAL (run_ctl_wait (cluster, revision, 60, &answer), 0);
  json_decref (answer);
  CU_ASSERT_TRUE (hn_cluster_free (cluster));
}

static const SuiteCase cases[] = {
  { "wait names the instance that lags", test_wait_names_the_instance_that_lags },
};

SUITE_MAIN ("lagging", cases)
