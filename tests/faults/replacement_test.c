/** Tests that kill, shut down and replace daemons under load. */

#include "../unit/suite.h"
#include "cluster.h"

#include <string.h>

static HnCluster *
cluster_new (void)
{
  return hn_cluster_new (&(HnClusterOptions){ .engines = 3 });
}

static void
assert_all_completed (HnProcess *load, guint min_started)
{
  HnLoad result = hn_load_await (load);

  CU_ASSERT_TRUE (result.started >= min_started);
  CU_ASSERT_EQUAL (result.completed, result.started);
  CU_ASSERT_EQUAL (result.wrong, 0);
}

/*
 * Guards against requests that fail when a controller dies: it is killed with SIGKILL under load,
 * its entry connects to another controller, and a new process starts at the same addresses some
 * seconds later.
 */
static void
test_a_killed_controller_fails_no_request (void)
{
  HnCluster *cluster = cluster_new ();
  HnInstance *instance = &cluster->instances[0];
  HnProcess *load = hn_load_start (cluster, 10, 12000);

  hn_run_for (cluster->harness, 2 * KNL_SEC);
  hn_kill (instance->controller.process);
  CU_ASSERT_TRUE (hn_await_count (instance->entry.process, "controller-link-open", NULL, NULL, 2));
  hn_cluster_start_controller (cluster, 0);
  CU_ASSERT_TRUE (hn_await_count (instance->entry.process, "controller-link-open", NULL, NULL, 3));
  CU_ASSERT_EQUAL (json_is_true (json_object_get (
                       hn_last (instance->entry.process, "controller-link-open"), "local")),
                   TRUE);
  assert_all_completed (load, 80);
  CU_ASSERT_TRUE (hn_cluster_free (cluster));
}

/*
 * Guards against streams that are cut when an entry is shut down gracefully: it receives SIGTERM
 * under load, and callers continue to use it until their lists of entries expire. The load fetches
 * the list as callers do.
 */
static void
test_a_graceful_entry_shutdown_cuts_no_stream (void)
{
  HnCluster *cluster = cluster_new ();
  HnInstance *instance = &cluster->instances[0];
  HnProcess *load = hn_load_start (cluster, 10, 12000);

  hn_run_for (cluster->harness, 2 * KNL_SEC);
  CU_ASSERT_TRUE (hn_count (instance->entry.process, "request-ended", NULL, NULL) > 0);
  hn_signal (instance->entry.process, SIGTERM);
  CU_ASSERT_EQUAL (hn_await_exit (instance->entry.process, HN_TIMEOUT), 0);
  assert_all_completed (load, 80);
  CU_ASSERT_TRUE (hn_cluster_free (cluster));
}

/*
 * Guards against requests that fail during a rolling replacement: under load, the entry and the
 * controller of one instance after the other are shut down gracefully and started again.
 */
static void
test_rolling_replacement_of_all_instances_fails_no_request (void)
{
  HnCluster *cluster = cluster_new ();
  HnProcess *load = hn_load_start (cluster, 10, 30000);

  hn_run_for (cluster->harness, KNL_SEC);
  for (guint i = 0; i < cluster->options.instances; i++)
    {
      HnInstance *instance = &cluster->instances[i];

      hn_signal (instance->entry.process, SIGTERM);
      CU_ASSERT_EQUAL (hn_await_exit (instance->entry.process, HN_TIMEOUT), 0);
      hn_signal (instance->controller.process, SIGTERM);
      CU_ASSERT_EQUAL (hn_await_exit (instance->controller.process, HN_TIMEOUT), 0);
      hn_cluster_start_controller (cluster, i);
      hn_cluster_start_entry (cluster, i);
      CU_ASSERT_TRUE (hn_await_status (cluster->harness, instance->entry.address, "/readyz", 200));
    }
  assert_all_completed (load, 200);
  CU_ASSERT_TRUE (hn_cluster_free (cluster));
}

static const SuiteCase cases[] = {
  { "a killed controller fails no request", test_a_killed_controller_fails_no_request },
  { "an entry ended gracefully cuts off nothing", test_a_graceful_entry_shutdown_cuts_no_stream },
  { "rolling replacement of all instances fails no request",
    test_rolling_replacement_of_all_instances_fails_no_request },
};

SUITE_MAIN ("replacement", cases)
