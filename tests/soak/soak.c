#include "soak_internal.h"

#include <stdio.h>

#define WORKSPACES     4
#define STEP           (250 * KNL_MSEC)
#define FAULT_INTERVAL (8 * KNL_SEC)
#define SETTLE_TIME    (180 * KNL_SEC)
#define LIMIT_MARGIN   (500 * KNL_MSEC)
#define LEAVING_MARGIN (3 * KNL_SEC)

static void
report_violation (Soak *soak, const char *what, const char *detail)
{
  soak->result.violations++;
  printf ("seed %u: violated: %s: %s\n", soak->options->seed, what, detail != NULL ? detail : "");
}

/* Load. */

static guint64
random_length (GRand *rand)
{
  static const guint64 lengths[] = { 200, 1000, 1000, 2000, 4000, 12000, 60000, 150000 };

  return lengths[g_rand_int_range (rand, 0, G_N_ELEMENTS (lengths))];
}

static void
submit (Soak *soak)
{
  guint entry = (guint)g_rand_int_range (soak->rand, 0, INSTANCES);
  guint workspace = (guint)g_rand_int_range (soak->rand, 0, WORKSPACES);
  EnCore *core = fk_deployment_core (soak->deployment, entry);
  KnlTime limit = (KnlTime)g_rand_int_range (soak->rand, 1, 30) * KNL_SEC;
  FkCaller *caller;
  char text[64];

  if (core == NULL)
    return;
  if (g_rand_int_range (soak->rand, 0, 3) == 0)
    {
      /* Some keys are reused at any entry, as by callers that repeat a request. */
      guint64 key = g_rand_boolean (soak->rand) && soak->next > 4
                        ? soak->next - (guint64)g_rand_int_range (soak->rand, 0, 4)
                        : ++soak->next;

      g_snprintf (text, sizeof text, "key-%" G_GUINT64_FORMAT, key);
      caller = fk_caller_confirm (soak->clock, core, workspace % 1, text, limit);
    }
  else
    {
      g_snprintf (text, sizeof text, "prompt %u %" G_GUINT64_FORMAT " ", soak->options->seed,
                  ++soak->next);
      caller = fk_caller_complete (soak->clock, core, workspace, text, random_length (soak->rand),
                                   (guint64)g_rand_int_range (soak->rand, 1, 60), limit);
    }
  caller->entry = entry;
  caller->entry_incarnation = soak->incarnations[entry];
  soak->result.requests++;
  g_ptr_array_add (soak->callers, caller);
}

static void
disconnect_some (Soak *soak)
{
  FkCaller *caller;

  if (soak->callers->len == 0 || g_rand_int_range (soak->rand, 0, 20) != 0)
    return;
  caller = g_ptr_array_index (soak->callers, soak->callers->len - 1);
  if (caller->ends > 0 || caller->number == 0
      || caller->entry_incarnation != soak->incarnations[caller->entry]
      || fk_deployment_core (soak->deployment, caller->entry) == NULL)
    return;
  en_core_caller_disconnected (fk_deployment_core (soak->deployment, caller->entry),
                               caller->number);
  caller->entry_incarnation = G_MAXUINT64;
}

/* Guarantees. */

static char *
describe (const FkCaller *caller)
{
  return g_strdup_printf ("request %s key %s entry %u submitted %.3f ended %.3f limit %.3f "
                          "outcome %s received %" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
                          caller->request, caller->key, caller->entry,
                          (double)caller->submitted_at / KNL_SEC,
                          (double)caller->ended_at / KNL_SEC, (double)caller->limit / KNL_SEC,
                          caller->ends > 0 ? en_outcome_name (caller->outcome) : "none",
                          caller->received, caller->max_tokens);
}

static void
check_caller (Soak *soak, const FkCaller *caller)
{
  gboolean lost = caller->entry_incarnation != soak->incarnations[caller->entry];
  g_autofree char *text = describe (caller);

  if (caller->ends == 0 && lost)
    soak->result.lost++;
  else if (caller->ends != 1)
    report_violation (soak, "ends exactly once", text);
  else if (caller->ended_at > caller->submitted_at + caller->limit + LIMIT_MARGIN)
    report_violation (soak, "ends within its limit", text);
  else if (!caller->failed)
    soak->result.done++;
  else if (caller->outcome == EN_OUTCOME_NOT_RUN)
    soak->result.refused++;
  else
    soak->result.failed++;
  if (caller->wrong)
    report_violation (soak, "complete and own answer", text);
}

static guint
runs_of_key (Soak *soak, const char *key)
{
  guint runs = 0;

  for (guint i = 0; i < SERVICES; i++)
    runs += sd_service_runs (fk_fleet_service (fk_deployment_fleet (soak->deployment),
                                               fk_deployment_service_address (soak->deployment, i)),
                             key);
  return runs;
}

typedef struct
{
  GHashTable *prompts; /* hashes of prompts that an engine ran */
} Ran;

static void
note_ran (const char *address, const SdRan *ran, gpointer data)
{
  g_hash_table_add (((Ran *)data)->prompts, g_memdup2 (&ran->prompt_hash, sizeof (guint64)));
}

static void
check_runs (Soak *soak)
{
  Ran ran = { g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL) };
  GHashTable *done_keys = g_hash_table_new (g_str_hash, g_str_equal);

  fk_fleet_foreach_ran (fk_deployment_fleet (soak->deployment), note_ran, &ran);
  for (guint i = 0; i < soak->callers->len; i++)
    {
      const FkCaller *caller = g_ptr_array_index (soak->callers, i);

      if (caller->key != NULL && caller->ends > 0 && caller->outcome != EN_OUTCOME_NOT_RUN)
        g_hash_table_add (done_keys, caller->key);
    }
  for (guint i = 0; i < soak->callers->len; i++)
    {
      const FkCaller *caller = g_ptr_array_index (soak->callers, i);
      g_autofree char *text = describe (caller);
      guint runs = caller->key != NULL ? runs_of_key (soak, caller->key) : 0;

      if (runs > 1)
        report_violation (soak, "non-idempotent at most once", text);
      if (caller->ends > 0 && !caller->failed && caller->key != NULL && runs != 1)
        report_violation (soak, "done means run", text);
      if (caller->ends > 0 && caller->failed && caller->outcome == EN_OUTCOME_NOT_RUN
          && caller->key == NULL && g_hash_table_contains (ran.prompts, &caller->prompt_hash))
        report_violation (soak, "not run means not run", text);
    }
  g_hash_table_unref (done_keys);
  g_hash_table_unref (ran.prompts);
}

static void
check_memory (Soak *soak)
{
  for (guint i = 0; i < ENGINES; i++)
    {
      SdEngine *engine = fk_fleet_engine (fk_deployment_fleet (soak->deployment),
                                          fk_deployment_engine_address (soak->deployment, i));

      if (engine == NULL || sd_engine_reserved_tokens (engine) != 0)
        report_violation (soak, "memory is released",
                          fk_deployment_engine_address (soak->deployment, i));
    }
}

static void
check_configuration (Soak *soak)
{
  guint64 expected = fk_deployment_revision (soak->deployment, 0, FK_CONTROLLER);

  for (guint i = 0; i < INSTANCES; i++)
    {
      for (FkDaemonKind kind = 0; kind < FK_DAEMONS; kind++)
        {
          if (fk_deployment_revision (soak->deployment, i, kind) != expected)
            report_violation (soak, "configuration in force everywhere",
                              kind == FK_ENTRY ? "entry" : "controller");
        }
    }
}

static void
ignore_answer (int status, const char *body, gpointer data)
{
}

/* Sometimes changes a weight through a random controller, as an operator would. */
static void
maybe_change_weight (Soak *soak)
{
  char *body;

  if (g_rand_int_range (soak->rand, 0, 40) != 0)
    return;
  body = g_strdup_printf ("{\"operation\":\"op-%" G_GUINT64_FORMAT
                          "\",\"by\":\"soak\",\"changes\":[{\"op\":\"set\",\"kind\":\"workspace\","
                          "\"name\":\"w%d\",\"fields\":{\"weight\":%d}}]}",
                          ++soak->next, g_rand_int_range (soak->rand, 0, WORKSPACES),
                          g_rand_int_range (soak->rand, 1, 9));
  fk_deployment_operator_call (soak->deployment, (guint)g_rand_int_range (soak->rand, 0, INSTANCES),
                               "POST", "/v1/apply", NULL, body, ignore_answer, NULL);
  g_free (body);
}

static void
run_load (Soak *soak)
{
  g_autoptr (GArray) active = soak_faults_new ();
  KnlTime end = knl_paused_clock_now (soak->clock) + soak->options->duration;
  KnlTime next_fault = knl_paused_clock_now (soak->clock) + FAULT_INTERVAL;

  while (knl_paused_clock_now (soak->clock) < end)
    {
      if (g_rand_int_range (soak->rand, 0, 4) == 0)
        submit (soak);
      disconnect_some (soak);
      maybe_change_weight (soak);
      if (knl_paused_clock_now (soak->clock) >= next_fault)
        {
          soak_faults_begin (soak, active);
          next_fault = knl_paused_clock_now (soak->clock)
                       + (KnlTime)g_rand_int_range (soak->rand, 1, (gint32)(2 * FAULT_INTERVAL));
        }
      soak_faults_end (soak, active, FALSE);
      knl_paused_clock_advance (soak->clock, STEP);
    }
  soak_faults_end (soak, active, TRUE);
  knl_paused_clock_advance (soak->clock, SETTLE_TIME);
}

SoakResult
soak_run (const SoakOptions *options)
{
  Soak soak = { .options = options };
  FkDeploymentOptions deployment = { .instances = INSTANCES,
                                     .engines = ENGINES,
                                     .services = SERVICES,
                                     .seed = options->seed,
                                     .engine = sd_engine_defaults };
  g_autofree char *changes = fk_deployment_default_changes (WORKSPACES);

  deployment.engine.any_model = TRUE;
  soak.rand = g_rand_new_with_seed (options->seed);
  soak.callers = g_ptr_array_new_with_free_func ((GDestroyNotify)fk_caller_free);
  soak.deployment = fk_deployment_new (&deployment);
  soak.clock = fk_deployment_clock (soak.deployment);
  if (!fk_deployment_apply (soak.deployment, changes))
    report_violation (&soak, "configuration is accepted", NULL);
  knl_paused_clock_advance (soak.clock, 10 * KNL_SEC);
  run_load (&soak);
  for (guint i = 0; i < soak.callers->len; i++)
    check_caller (&soak, g_ptr_array_index (soak.callers, i));
  check_runs (&soak);
  check_memory (&soak);
  check_configuration (&soak);
  fk_deployment_free (soak.deployment);
  g_ptr_array_unref (soak.callers);
  g_rand_free (soak.rand);
  return soak.result;
}
