/** Controllers with their entries and engines, in a deployment in memory. */

#include "coord/idem.h"
#include "suite.h"
#include "tests/fakes/caller.h"
#include "tests/fakes/deployment.h"

#include <string.h>

/* Kinds of rounds, see begin_fault(): no fault, five faults, a holder that drains. */
#define ROUND_KINDS  7
#define ROUND_DRAINS 6

#define INSTANCES 3
#define ENGINES   4

/* Engines in role "long": the default of long-share is 0.5, and the result is rounded. */
#define LONG_ENGINES 2

typedef struct
{
  FkDeployment *deployment;
  KnlPausedClock *clock;
  int status;
  char *body;
} Fixture;

static Fixture *
fixture_new (gboolean checks_fence)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  FkDeploymentOptions options = {
    .instances = INSTANCES,
    .engines = ENGINES,
    .services = 1,
    .seed = 1,
    .engine = sd_engine_defaults,
  };
  g_autofree char *changes = fk_deployment_default_changes (1);

  options.engine.checks_fence = checks_fence;
  options.engine.hold_timeout = 3600 * KNL_SEC;
  fixture->deployment = fk_deployment_new (&options);
  fixture->clock = fk_deployment_clock (fixture->deployment);
  knl_paused_clock_advance (fixture->clock, 2 * KNL_SEC);
  CU_ASSERT_TRUE_FATAL (fk_deployment_apply (fixture->deployment, changes));
  return fixture;
}

static void
fixture_free (Fixture *fixture)
{
  g_free (fixture->body);
  fk_deployment_free (fixture->deployment);
  g_free (fixture);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Fixture, fixture_free)

static void
advance (Fixture *fixture, KnlTime time)
{
  knl_paused_clock_advance (fixture->clock, time);
}

static void
on_answer (int status, const char *body, gpointer data)
{
  Fixture *fixture = data;

  fixture->status = status;
  g_free (fixture->body);
  fixture->body = g_strdup (body);
}

/* The rows of `show TABLE` at a controller; a new reference. */
static json_t *
show_rows (Fixture *fixture, guint instance, const char *table)
{
  g_autofree char *path = g_strconcat ("/v1/show/", table, NULL);
  json_t *root;
  json_t *rows;

  fk_deployment_operator_call (fixture->deployment, instance, "GET", path, NULL, NULL, on_answer,
                               fixture);
  advance (fixture, KNL_SEC);
  CU_ASSERT_EQUAL (fixture->status, 200);
  root = json_loads (fixture->body, 0, NULL);
  rows = json_incref (json_object_get (root, "rows"));
  json_decref (root);
  return rows;
}

/* The number of rows with `value` in `column`. Releases `rows`. */
static guint
count_rows (json_t *rows, const char *column, const char *value)
{
  guint count = 0;
  size_t index;
  json_t *row;

  json_array_foreach (rows, index, row)
  {
    if (g_strcmp0 (json_string_value (json_object_get (row, column)), value) == 0)
      count++;
  }
  json_decref (rows);
  return count;
}

static SdEngine *
engine_at (Fixture *fixture, guint engine)
{
  return fk_fleet_engine (fk_deployment_fleet (fixture->deployment),
                          fk_deployment_engine_address (fixture->deployment, engine));
}

/* The number of endpoints that entry `instance` has in state leaving. */
static guint
leaving_at (Fixture *fixture, guint instance)
{
  const GPtrArray *endpoints =
      en_fleet_endpoints (en_core_fleet (fk_deployment_core (fixture->deployment, instance)));
  guint count = 0;

  for (guint i = 0; i < endpoints->len; i++)
    {
      const EnEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (endpoint->state == ALDERTURN__MEMBER_STATE__MEMBER_STATE_LEAVING)
        count++;
    }
  return count;
}

/*
 * Symptom: a leaving engine is sent new work until it refuses it.
 * Sequence: the engine's report says that it is leaving, or the platform's instance list does,
 * or an operator declares it to be draining.
 * Cause: a single controller receives this and doesn't forward it to the others and their entries.
 */
static void
test_all_entries_know_a_leaving_engine_within_three_seconds (void)
{
  for (guint source = 0; source < 3; source++)
    {
      g_autoptr (Fixture) fixture = fixture_new (TRUE);

      advance (fixture, 10 * KNL_SEC);
      if (source == 0)
        sd_engine_leave (engine_at (fixture, 0));
      else if (source == 1)
        fk_deployment_list_engine (fixture->deployment, 0, "leaving");
      else
        CU_ASSERT_TRUE (fk_deployment_apply (
            fixture->deployment, "[{\"op\":\"set\",\"kind\":\"instance\",\"name\":\"engine-0\","
                                 "\"fields\":{\"state\":\"draining\"}}]"));
      advance (fixture, 3 * KNL_SEC);
      for (guint i = 0; i < INSTANCES; i++)
        CU_ASSERT_EQUAL (leaving_at (fixture, i), 1);
    }
}

static void
test_a_drained_controller_releases_its_leases (void)
{
  g_autoptr (Fixture) fixture = fixture_new (TRUE);
  json_t *rows;

  advance (fixture, 60 * KNL_SEC);
  CU_ASSERT_TRUE (count_rows (show_rows (fixture, 1, "leases"), "holder", "instance-0") > 0);
  fk_deployment_drain (fixture->deployment, 0, FK_CONTROLLER);
  advance (fixture, 3 * KNL_SEC);
  CU_ASSERT_FALSE (fk_deployment_is_up (fixture->deployment, 0, FK_CONTROLLER));
  rows = show_rows (fixture, 1, "leases");
  CU_ASSERT_EQUAL (count_rows (json_incref (rows), "holder", "instance-0"), 0);
  CU_ASSERT_EQUAL (count_rows (rows, "state", "held"), 32);
}

/*
 * Symptom: engines don't run what the configuration declares.
 * Sequence: engines start with another model; later a delayed order of a former
 * lease holder reverts one of them.
 * Cause: orders are sent once and not compared with the engines' reports.
 */
static void
test_engines_converge_to_the_declared_configuration (void)
{
  for (guint checks = 0; checks < 2; checks++)
    {
      g_autoptr (Fixture) fixture = fixture_new (checks == 1);
      EpOrder old = { .fence = 0, .model = "other", .role = "any" };
      guint64 fence;
      json_t *rows;

      advance (fixture, 40 * KNL_SEC);
      rows = show_rows (fixture, 2, "engines");
      CU_ASSERT_EQUAL (json_array_size (rows), ENGINES);
      CU_ASSERT_EQUAL (count_rows (json_incref (rows), "model", "m7"), ENGINES);
      CU_ASSERT_EQUAL (count_rows (json_incref (rows), "role", "long"), LONG_ENGINES);
      CU_ASSERT_EQUAL (count_rows (rows, "role", "short"), ENGINES - LONG_ENGINES);
      CU_ASSERT_EQUAL (sd_engine_order (engine_at (fixture, 0), &old, &fence), checks == 0);
      advance (fixture, 10 * KNL_SEC);
      CU_ASSERT_EQUAL (count_rows (show_rows (fixture, 2, "engines"), "model", "m7"), ENGINES);
    }
}

/*
 * Symptom: an engine's memory stays occupied after an entry has died.
 * Sequence: the entry is killed while a long request runs on an engine that keeps requests whose
 * connection is lost.
 * Cause: only the engine still knows the request, and no controller cancels it.
 */
static void
check_dead_entry (gboolean restarts)
{
  g_autoptr (Fixture) fixture = fixture_new (TRUE);
  FkCaller *caller;
  guint64 used_tokens = 0;

  advance (fixture, 20 * KNL_SEC);
  caller = fk_caller_complete (fixture->clock, fk_deployment_core (fixture->deployment, 0), 0,
                               "long", 20000, 100000, 600 * KNL_SEC);
  advance (fixture, 5 * KNL_SEC);
  for (guint i = 0; i < ENGINES; i++)
    used_tokens += sd_engine_reserved_tokens (engine_at (fixture, i));
  CU_ASSERT_TRUE (used_tokens > 0);
  fk_deployment_kill (fixture->deployment, 0, FK_ENTRY);
  advance (fixture, restarts ? KNL_SEC : 80 * KNL_SEC);
  if (restarts)
    fk_deployment_start (fixture->deployment, 0, FK_ENTRY);
  advance (fixture, 10 * KNL_SEC);
  for (guint i = 0; i < ENGINES; i++)
    CU_ASSERT_EQUAL (sd_engine_reserved_tokens (engine_at (fixture, i)), 0);
  fk_caller_free (caller);
}

static void
test_a_dead_entrys_requests_are_cancelled (void)
{
  check_dead_entry (FALSE);
  check_dead_entry (TRUE);
}

/*
 * Symptom: a restarted controller has an older configuration or doesn't become ready.
 * Sequence: a controller is killed and started again while the store is down.
 * Cause: the controller gets the configuration from the store only, not from its peers.
 */
static void
test_configuration_comes_from_peers_while_the_store_is_down (void)
{
  g_autoptr (Fixture) fixture = fixture_new (TRUE);
  guint64 revision;

  revision = fk_deployment_revision (fixture->deployment, 0, FK_CONTROLLER);
  CU_ASSERT_EQUAL (revision, 4);
  advance (fixture, 10 * KNL_SEC);
  sd_table_set_fault (fk_store_table (fk_deployment_store (fixture->deployment)), SD_TABLE_OUTAGE,
                      0, 0);
  fk_deployment_kill (fixture->deployment, 1, FK_CONTROLLER);
  advance (fixture, KNL_SEC);
  fk_deployment_start (fixture->deployment, 1, FK_CONTROLLER);
  advance (fixture, 10 * KNL_SEC);
  CU_ASSERT_EQUAL (fk_deployment_revision (fixture->deployment, 1, FK_CONTROLLER), revision);
  fk_deployment_operator_call (fixture->deployment, 1, "GET", "/readyz", NULL, NULL, on_answer,
                               fixture);
  advance (fixture, KNL_SEC);
  CU_ASSERT_EQUAL (fixture->status, 200);
}

/* The instance whose controller holds the shard of `key` in workspace "w0". */
static guint
holder_of (Fixture *fixture, const char *key)
{
  json_auto_t *rows = show_rows (fixture, 0, "leases");
  const json_t *row = json_array_get (rows, co_idem_shard ("w0", key, 32));
  const char *holder = json_string_value (json_object_get (row, "holder"));
  guint instance =
      holder != NULL ? (guint)g_ascii_strtoull (strchr (holder, '-') + 1, NULL, 10) : 0;

  return instance;
}

/* Starts the fault of a round, in the controller of instance `target` or in the table. */
static void
begin_fault (Fixture *fixture, guint round, guint target)
{
  SdTable *table = fk_store_table (fk_deployment_store (fixture->deployment));

  switch (round % ROUND_KINDS)
    {
    case ROUND_DRAINS:
      fk_deployment_drain (fixture->deployment, target, FK_CONTROLLER);
      break;
    case 1:
      fk_deployment_set_frozen (fixture->deployment, target, FK_CONTROLLER, TRUE);
      break;
    case 2:
      fk_deployment_kill (fixture->deployment, target, FK_CONTROLLER);
      break;
    case 3:
      sd_table_set_fault (table, SD_TABLE_LOSE_ANSWERS, 0, 4);
      break;
    case 4:
      sd_table_set_fault (table, SD_TABLE_SLOW, 1800 * KNL_MSEC, 0);
      break;
    case 5:
      sd_table_set_fault (table, SD_TABLE_OUTAGE, 0, 0);
      break;
    default:
      break;
    }
}

static void
end_faults (Fixture *fixture)
{
  for (guint i = 0; i < INSTANCES; i++)
    {
      fk_deployment_set_frozen (fixture->deployment, i, FK_CONTROLLER, FALSE);
      if (!fk_deployment_is_up (fixture->deployment, i, FK_CONTROLLER))
        fk_deployment_start (fixture->deployment, i, FK_CONTROLLER);
    }
  sd_table_set_fault (fk_store_table (fk_deployment_store (fixture->deployment)), SD_TABLE_NORMAL,
                      0, 0);
}

/*
 * Symptom: a request with an idempotency key runs twice, or is refused without any fault.
 * Sequence: the same key is sent through all entries at once, and again a few
 * milliseconds later or after another controller may have gained the shard, while
 * the controller that holds the record is frozen, killed or drained, or the table fails.
 * Cause: two holders, or one that has lost the record, each allow an attempt.
 */
static void
test_a_key_runs_at_most_once_through_all_entries (void)
{
  g_autoptr (Fixture) fixture = fixture_new (TRUE);
  SdService *service;

  service = fk_fleet_service (fk_deployment_fleet (fixture->deployment),
                              fk_deployment_service_address (fixture->deployment, 0));
  advance (fixture, 15 * KNL_SEC);
  for (guint round = 0; round < 42; round++)
    {
      FkCaller *callers[2 * INSTANCES];
      char key[16];
      guint done = 0;
      guint refused = 0;
      guint holder;

      g_snprintf (key, sizeof (key), "key-%u", round);
      holder = holder_of (fixture, key);
      for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
        {
          callers[i] = fk_caller_confirm (fixture->clock,
                                          fk_deployment_core (fixture->deployment, i % INSTANCES),
                                          0, key, 12 * KNL_SEC);
          if (i == INSTANCES - 1)
            {
              begin_fault (fixture, round, holder);
              advance (fixture, round < 21 ? round * KNL_MSEC : 9 * KNL_SEC);
            }
        }
      advance (fixture, 13 * KNL_SEC);
      for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
        {
          CU_ASSERT_EQUAL (callers[i]->ends, 1);
          done += !callers[i]->failed ? 1 : 0;
          refused += callers[i]->failed && callers[i]->code == EN_ERROR_UNAVAILABLE ? 1 : 0;
          fk_caller_free (callers[i]);
        }
      CU_ASSERT_TRUE (sd_service_runs (service, key) <= 1);
      if (round % ROUND_KINDS == 0 || round % ROUND_KINDS == ROUND_DRAINS)
        CU_ASSERT_TRUE (done > 0 && refused == 0 && sd_service_runs (service, key) == 1);
      end_faults (fixture);
      advance (fixture, 15 * KNL_SEC);
    }
}

static void
test_operators_are_authenticated_and_can_wait (void)
{
  static const struct
  {
    const char *method;
    const char *path;
    const char *query;
    const char *body;
    int status;
    const char *expected; /* contained in the answer's body */
  } rows[] = {
    { "GET", "/healthz", NULL, NULL, 200, "ok" },
    { "GET", "/metrics", NULL, NULL, 200, "alderturn_leases_held" },
    { "GET", "/v1/show/none", NULL, NULL, 404, "table" },
    { "GET", "/nowhere", NULL, NULL, 404, "path" },
    { "GET", "/v1/show/workspaces", NULL, NULL, 200, "\"token\":\"***\"" },
    { "GET", "/v1/show/configuration", NULL, NULL, 200, "\"change\":\"set\"" },
    { "GET", "/v1/revision", "wait=4&timeout_ms=500", NULL, 200, "\"in_force\":true" },
    { "GET", "/v1/revision", "wait=5&timeout_ms=500", NULL, 200, "\"lagging\":[{" },
    { "POST", "/v1/apply", NULL, "{", 422, "operation" },
    { "POST", "/v1/apply", NULL,
      "{\"operation\":\"x\",\"changes\":[{\"op\":\"remove\",\"kind\":\"model\",\"name\":\"m7\","
      "\"expect\":9}]}",
      409, "\"found\":1" },
  };
  g_autoptr (Fixture) fixture = fixture_new (TRUE);

  advance (fixture, 5 * KNL_SEC);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      fixture->status = 0;
      fk_deployment_operator_call (fixture->deployment, 1, rows[i].method, rows[i].path,
                                   rows[i].query, rows[i].body, on_answer, fixture);
      advance (fixture, 2 * KNL_SEC);
      CU_ASSERT_EQUAL (fixture->status, rows[i].status);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture->body, rows[i].expected));
    }
}

static const SuiteCase cases[] = {
  { "all entries know a leaving engine within three seconds",
    test_all_entries_know_a_leaving_engine_within_three_seconds },
  { "a drained controller releases its leases", test_a_drained_controller_releases_its_leases },
  { "engines converge to the declared configuration",
    test_engines_converge_to_the_declared_configuration },
  { "a dead entry's requests are cancelled", test_a_dead_entrys_requests_are_cancelled },
  { "configuration comes from peers while the store is down",
    test_configuration_comes_from_peers_while_the_store_is_down },
  { "a key runs at most once through all entries",
    test_a_key_runs_at_most_once_through_all_entries },
  { "operators are authenticated and can wait", test_operators_are_authenticated_and_can_wait },
};

SUITE_MAIN ("ct_controller", cases)
