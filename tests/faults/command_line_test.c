/** The command line against real controllers: races, repeated operations, lost answers. */

#include "../unit/suite.h"
#include "cluster.h"

#include <string.h>

#define MAX_ARGUMENTS 12

/* A proxy between the command line and one controller, which can drop answers. */
typedef struct
{
  HnHarness *harness;
  const char *address;
  const char *control;
} Proxy;

static Proxy
proxy_start (HnHarness *harness, const char *target)
{
  Proxy proxy = { harness, hn_address_new (harness), hn_address_new (harness) };
  const char *arguments[] = {
    "--listen-address", proxy.address, "--target-address", target, "--control-address",
    proxy.control,      NULL
  };
  HnProcess *process = hn_start (harness, "proxy", "tests/standins/standin-proxy", arguments);

  CU_ASSERT_TRUE (hn_await_count (process, "ready", NULL, NULL, 1));
  return proxy;
}

static void
post_fault (HnHarness *harness, const char *address, const char *fault)
{
  HnRequest request = { .address = address, .method = "POST", .path = "/fault", .body = fault };

  CU_ASSERT_EQUAL (hn_request (harness, &request, NULL), 200);
}

/* Starts alderturnctl with JSON output; `flags` is NULL-terminated, or NULL. */
static HnProcess *
ctl_start (HnHarness *harness,
           const char *controllers,
           const char *const *flags,
           const char *command)
{
  const char *arguments[MAX_ARGUMENTS] = { "--controller-address", controllers, "--operator-token",
                                           HN_OPERATOR, "--json" };
  guint count = 5;

  while (flags != NULL && *flags != NULL)
    arguments[count++] = *flags++;
  arguments[count++] = command;
  g_assert (count < MAX_ARGUMENTS);
  return hn_start (harness, "alderturnctl", "ctl/alderturnctl", arguments);
}

/* Waits until the process ends. Returns the exit status, and its JSON output in `*answer`, to be
 * freed with json_decref(). */
static int
ctl_await (HnProcess *process, json_t **answer)
{
  int status = hn_await_exit (process, HN_TIMEOUT);

  /* It has ended, and the test checks its status. Marked as killed, so that the harness doesn't
   * treat a status other than 0 as a fault. */
  hn_kill (process);
  *answer = json_loads (hn_output (process), 0, NULL);
  CU_ASSERT_PTR_NOT_NULL (*answer);
  return status;
}

/* Runs one command and checks its exit status against `wanted`. Returns the number in `member` of
 * its JSON output, or 0. */
static json_int_t
ctl_run_for_number (HnHarness *harness,
                    const char *controllers,
                    const char *const *flags,
                    const char *command,
                    int wanted,
                    const char *member)
{
  json_t *answer;
  json_int_t number;

  CU_ASSERT_EQUAL (ctl_await (ctl_start (harness, controllers, flags, command), &answer), wanted);
  number = json_integer_value (json_object_get (answer, member));
  json_decref (answer);
  return number;
}

/* The number of changes that the history holds for an operation. */
static size_t
history_count (HnHarness *harness, const char *controllers, const char *operation)
{
  char *command = g_strdup_printf ("show configuration where operation = %s", operation);
  json_t *answer;
  size_t count;

  CU_ASSERT_EQUAL (ctl_await (ctl_start (harness, controllers, NULL, command), &answer), 0);
  count = json_array_size (json_object_get (answer, "rows"));
  json_decref (answer);
  g_free (command);
  return count;
}

/* The revision in which the workspace was last changed. */
static json_int_t
workspace_revision (HnHarness *harness, const char *controllers)
{
  json_t *answer;
  json_int_t revision;

  CU_ASSERT_EQUAL (ctl_await (ctl_start (harness, controllers, NULL, "show workspaces"), &answer),
                   0);
  revision = json_integer_value (
      json_object_get (json_array_get (json_object_get (answer, "rows"), 0), "revision"));
  json_decref (answer);
  return revision;
}

/*
 * Symptom: an operator's change is silently overwritten by another operator's.
 * Sequence: three operators read the same revision and change the same object
 * concurrently, each through a different controller.
 * Cause: a write that doesn't check the revision that it is based on.
 */
static void
test_only_one_racing_operator_wins (void)
{
  static const char *const flags[][2] = { { "--by=ann", NULL },
                                          { "--by=ben", NULL },
                                          { "--by=cyd", NULL } };
  HnCluster *cluster = hn_cluster_new (&(HnClusterOptions){ 0 });
  HnHarness *harness = cluster->harness;
  json_int_t before = workspace_revision (harness, cluster->instances[0].operators);
  HnProcess *operators[G_N_ELEMENTS (flags)];
  json_t *answers[G_N_ELEMENTS (flags)];
  const char *winner = NULL;
  guint won = 0;

  for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
    {
      char *command =
          g_strdup_printf ("set workspace lantern weight = %u if revision %d", i + 2, (int)before);

      operators[i] = ctl_start (harness, cluster->instances[i].operators, flags[i], command);
      g_free (command);
    }
  for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
    {
      int status = ctl_await (operators[i], &answers[i]);

      CU_ASSERT_TRUE (status == 0 || status == 3);
      if (status != 0)
        continue;
      won++;
      winner = json_string_value (json_object_get (answers[i], "operation"));
    }
  CU_ASSERT_EQUAL (won, 1);
  for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
    {
      json_t *conflict = json_object_get (answers[i], "conflict");

      if (conflict != NULL)
        CU_ASSERT_TRUE (
            g_strcmp0 (json_string_value (json_object_get (conflict, "operation")), winner) == 0);
    }
  for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
    json_decref (answers[i]);
  CU_ASSERT_TRUE (hn_cluster_free (cluster));
}

/*
 * Symptom: a script that is run again applies its change twice, the second time over a later one.
 * Sequence: the same operation id is used twice, with another change in between.
 * Cause: no record is kept that the operation has been applied.
 */
static void
test_one_operation_is_applied_once (void)
{
  static const char *const flags[] = { "--operation=night-job", NULL };
  HnCluster *cluster = hn_cluster_new (&(HnClusterOptions){ 0 });
  HnHarness *harness = cluster->harness;
  const char *first = cluster->instances[0].operators;
  const char *second = cluster->instances[1].operators;
  json_int_t revision =
      ctl_run_for_number (harness, first, flags, "set workspace lantern weight = 5", 0, "revision");
  json_int_t later =
      ctl_run_for_number (harness, first, NULL, "set workspace lantern weight = 6", 0, "revision");

  CU_ASSERT_EQUAL (later, revision + 1);
  CU_ASSERT_EQUAL (ctl_run_for_number (harness, second, flags, "set workspace lantern weight = 5",
                                       0, "revision"),
                   revision);
  ctl_run_for_number (harness, second, flags, "set workspace lantern weight = 7", 2, "exit");
  CU_ASSERT_EQUAL (workspace_revision (harness, first), later);
  CU_ASSERT_EQUAL (history_count (harness, first, "night-job"), 1);
  CU_ASSERT_TRUE (hn_cluster_free (cluster));
}

/*
 * Symptom: a change is applied twice, or reported as not applied although it was.
 * Sequence: the change is applied, but an answer is lost, either between the store and the
 * controller or between the controller and the operator.
 * Cause: a request without an answer is treated as not run.
 */
static void
test_lost_answers (void)
{
  static const char *const flags[] = { "--operation=lost", "--call-timeout-ms=2000",
                                       "--timeout-ms=4000", NULL };
  static const char *const table_flags[] = { "--operation=table", NULL };
  HnCluster *cluster = hn_cluster_new (&(HnClusterOptions){ 0 });
  HnHarness *harness = cluster->harness;
  const char *other = cluster->instances[1].operators;
  Proxy proxy = proxy_start (harness, cluster->instances[0].operators);
  char *both = g_strconcat (proxy.address, ",", other, NULL);
  json_int_t revision;

  post_fault (harness, cluster->platform.address, "{\"mode\":\"lose-answers\",\"count\":2}");
  ctl_run_for_number (harness, other, table_flags, "set workspace lantern weight = 2", 0,
                      "revision");
  CU_ASSERT_EQUAL (history_count (harness, other, "table"), 1);

  post_fault (harness, proxy.control,
              "{\"mode\":\"freeze\",\"new\":true,\"direction\":\"from-target\"}");
  ctl_run_for_number (harness, proxy.address, flags, "set workspace lantern weight = 3", 6, "exit");
  CU_ASSERT_EQUAL (history_count (harness, other, "lost"), 1);
  revision = workspace_revision (harness, other);
  CU_ASSERT_EQUAL (
      ctl_run_for_number (harness, both, flags, "set workspace lantern weight = 3", 0, "revision"),
      revision);
  CU_ASSERT_EQUAL (history_count (harness, other, "lost"), 1);
  g_free (both);
  CU_ASSERT_TRUE (hn_cluster_free (cluster));
}

static const SuiteCase cases[] = {
  { "of racing operators one wins", test_only_one_racing_operator_wins },
  { "one operation is applied once", test_one_operation_is_applied_once },
  { "lost answers", test_lost_answers },
};

SUITE_MAIN ("command_line", cases)
