#include "fleet.h"

#include <math.h>
#include <string.h>

#include "tests/fakes/caller.h"
#include "tests/fakes/deployment.h"

#define WARM_UP         (15 * KNL_SEC)
#define SAMPLE_INTERVAL (100 * KNL_MSEC)
#define MAX_TOKENS      60

/* Request deadlines: callers of long prompts wait longer than those of short ones. */
#define SHORT_TIMEOUT (20 * KNL_SEC)
#define LONG_TIMEOUT  (180 * KNL_SEC)
#define LONG_TOKENS   100000

/* Fraction of all requests in each range of prompt tokens: one in fifty exceeds 100,000. */
static const struct
{
  double fraction;
  double from;
  double to;
} lengths[] = {
  { 0.70, 1000, 4000 },
  { 0.20, 4000, 16000 },
  { 0.08, 16000, 100000 },
  { 0.02, 100000, 1000000 },
};

/* Three large workspaces and seven small ones. */
static const double workspace_fractions[BENCH_WORKSPACES] = { 0.25, 0.25, 0.22, 0.04, 0.04,
                                                              0.04, 0.04, 0.04, 0.04, 0.04 };

static const BenchProfile profiles[] = {
  { "lantern", 20, 1200 * KNL_USEC },
  { "groove", 15, 500 * KNL_USEC },
};

const BenchProfile *
bench_profile_find (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (profiles); i++)
    {
      if (strcmp (profiles[i].name, name) == 0)
        return &profiles[i];
    }
  return NULL;
}

/* Mean prompt length; within each range the logarithm of the length is distributed uniformly. */
static double
mean_tokens (void)
{
  double mean = 0;

  for (guint i = 0; i < G_N_ELEMENTS (lengths); i++)
    mean += lengths[i].fraction * (lengths[i].to - lengths[i].from)
            / log (lengths[i].to / lengths[i].from);
  return mean;
}

static guint64
draw_length (GRand *rand)
{
  double at = g_rand_double (rand);
  guint range = 0;

  while (range + 1 < G_N_ELEMENTS (lengths) && at >= lengths[range].fraction)
    at -= lengths[range++].fraction;
  return (guint64)(lengths[range].from
                   * pow (lengths[range].to / lengths[range].from, g_rand_double (rand)));
}

static guint
draw_workspace (GRand *rand)
{
  double at = g_rand_double (rand);
  guint workspace = 0;

  while (workspace + 1 < BENCH_WORKSPACES && at >= workspace_fractions[workspace])
    at -= workspace_fractions[workspace++];
  return workspace;
}

typedef struct
{
  const BenchOptions *options;
  BenchResult *result;
  FkDeployment *deployment;
  KnlPausedClock *clock;
  GRand *rand;
  GPtrArray *callers;
  GArray *tokens; /* guint64, prompt tokens of each caller */
  guint64 next;
  KnlTime next_sample;
} Bench;

static void
submit (Bench *bench, guint64 tokens, guint workspace, guint entry)
{
  char text[64];
  FkCaller *caller;

  g_snprintf (text, sizeof text, "prompt %u %" G_GUINT64_FORMAT " ", bench->options->seed,
              ++bench->next);
  caller = fk_caller_complete (bench->clock, fk_deployment_core (bench->deployment, entry),
                               workspace, text, tokens, MAX_TOKENS,
                               tokens >= LONG_TOKENS ? LONG_TIMEOUT : SHORT_TIMEOUT);
  g_ptr_array_add (bench->callers, caller);
  g_array_append_val (bench->tokens, tokens);
}

/* All random values of an arrival are drawn before it may be left out, so that runs with and
 * without long prompts see the same other arrivals. */
static void
arrive (Bench *bench)
{
  const BenchOptions *options = bench->options;
  guint64 tokens = draw_length (bench->rand);
  guint workspace = draw_workspace (bench->rand);
  guint entry = (guint)g_rand_int_range (bench->rand, 0, (gint32)options->entries);

  if (tokens < LONG_TOKENS || options->with_long)
    submit (bench, tokens, workspace, entry);
  if (workspace == BENCH_WORKSPACES - 1)
    {
      for (guint i = 0; i < options->flood; i++)
        submit (bench, MIN (tokens, 16000), workspace, entry);
    }
}

static void
sample (Bench *bench)
{
  gboolean idle = FALSE;
  gboolean waiting = FALSE;

  for (guint i = 0; i < bench->options->profile->engines; i++)
    {
      SdEngine *engine = fk_fleet_engine (fk_deployment_fleet (bench->deployment),
                                          fk_deployment_engine_address (bench->deployment, i));

      idle = idle || sd_engine_is_idle (engine);
      waiting = waiting || sd_engine_report (engine)->waiting > 0;
    }
  bench->result->samples++;
  bench->result->idle_while_waiting += idle && waiting;
}

static void
advance (Bench *bench, KnlTime delta)
{
  KnlTime end = knl_paused_clock_now (bench->clock) + delta;

  while (bench->next_sample <= end)
    {
      knl_paused_clock_advance (bench->clock,
                                MAX (bench->next_sample - knl_paused_clock_now (bench->clock), 0));
      sample (bench);
      bench->next_sample += SAMPLE_INTERVAL;
    }
  knl_paused_clock_advance (bench->clock, end - knl_paused_clock_now (bench->clock));
}

static void
offer_load (Bench *bench)
{
  const BenchOptions *options = bench->options;
  double capacity = (double)options->profile->engines * sd_engine_defaults.prefill_rate;
  double rate = options->load * capacity / mean_tokens ();
  KnlTime end = knl_paused_clock_now (bench->clock) + options->duration;

  bench->next_sample = knl_paused_clock_now (bench->clock);
  while (knl_paused_clock_now (bench->clock) < end)
    {
      double gap = -log (1 - g_rand_double (bench->rand)) / rate;

      advance (bench, (KnlTime)(gap * (double)KNL_SEC));
      arrive (bench);
    }
  bench->result->span = options->duration;
  advance (bench, LONG_TIMEOUT);
}

static void
count (Bench *bench, guint index)
{
  const FkCaller *caller = g_ptr_array_index (bench->callers, index);
  BenchResult *result = bench->result;
  EnLengthClass length = caller->length_class;

  result->requests[length]++;
  if (caller->first_at > 0)
    {
      guint64 time_to_first = (guint64)(caller->first_at - caller->submitted_at);

      cm_histogram_record (&result->time_to_first[length], time_to_first);
      if (length <= EN_LENGTH_16K)
        cm_histogram_record (&result->workspace_time_to_first[caller->workspace], time_to_first);
    }
  if (caller->ends == 1 && !caller->failed && !caller->wrong)
    {
      result->done[length]++;
      result->done_tokens += g_array_index (bench->tokens, guint64, index);
    }
  else if (caller->ends == 1 && caller->outcome == EN_OUTCOME_NOT_RUN)
    result->refused[length]++;
  else
    result->failed[length]++;
}

static void
set_long_share (Bench *bench)
{
  char *changes;

  if (bench->options->long_share <= 0)
    return;
  changes = g_strdup_printf ("[{\"op\":\"set\",\"kind\":\"service\",\"name\":\"letters\","
                             "\"fields\":{\"long-share\":%.2f}}]",
                             bench->options->long_share);
  if (!fk_deployment_apply (bench->deployment, changes))
    g_error ("the change of long-share was not accepted");
  g_free (changes);
}

void
bench_run (const BenchOptions *options, BenchResult *result)
{
  FkDeploymentOptions deployment = { .instances = options->entries,
                                     .engines = options->profile->engines,
                                     .between_zones = options->profile->between_zones,
                                     .seed = options->seed,
                                     .router = options->router,
                                     .engine = sd_engine_defaults };
  Bench bench = { .options = options, .result = result };
  char *changes = fk_deployment_default_changes (BENCH_WORKSPACES);
  SdTable *table;

  *result = (BenchResult){ 0 };
  deployment.engine.any_model = TRUE;
  bench.rand = g_rand_new_with_seed (options->seed);
  bench.callers = g_ptr_array_new_with_free_func ((GDestroyNotify)fk_caller_free);
  bench.tokens = g_array_new (FALSE, FALSE, sizeof (guint64));
  bench.deployment = fk_deployment_new (&deployment);
  bench.clock = fk_deployment_clock (bench.deployment);
  if (!fk_deployment_apply (bench.deployment, changes))
    g_error ("the configuration was not accepted");
  set_long_share (&bench);
  knl_paused_clock_advance (bench.clock, WARM_UP);
  table = fk_store_table (fk_deployment_store (bench.deployment));
  result->platform_writes = sd_table_writes (table);
  result->platform_reads = sd_table_reads (table);
  offer_load (&bench);
  result->platform_writes = sd_table_writes (table) - result->platform_writes;
  result->platform_reads = sd_table_reads (table) - result->platform_reads;
  for (guint i = 0; i < bench.callers->len; i++)
    count (&bench, i);
  for (guint i = 0; i < options->profile->engines; i++)
    result->memory_waits += sd_engine_memory_waits (
        fk_fleet_engine (fk_deployment_fleet (bench.deployment),
                         fk_deployment_engine_address (bench.deployment, i)));
  fk_deployment_free (bench.deployment);
  g_ptr_array_unref (bench.callers);
  g_array_unref (bench.tokens);
  g_rand_free (bench.rand);
  g_free (changes);
}

void
bench_result_clear (BenchResult *result)
{
  for (guint i = 0; i < BENCH_CLASSES; i++)
    cm_histogram_clear (&result->time_to_first[i]);
  for (guint i = 0; i < BENCH_WORKSPACES; i++)
    cm_histogram_clear (&result->workspace_time_to_first[i]);
}

void
bench_result_merge (BenchResult *into, const BenchResult *from)
{
  for (guint i = 0; i < BENCH_CLASSES; i++)
    {
      cm_histogram_merge (&into->time_to_first[i], &from->time_to_first[i]);
      into->requests[i] += from->requests[i];
      into->done[i] += from->done[i];
      into->refused[i] += from->refused[i];
      into->failed[i] += from->failed[i];
    }
  for (guint i = 0; i < BENCH_WORKSPACES; i++)
    cm_histogram_merge (&into->workspace_time_to_first[i], &from->workspace_time_to_first[i]);
  into->done_tokens += from->done_tokens;
  into->memory_waits += from->memory_waits;
  into->idle_while_waiting += from->idle_while_waiting;
  into->samples += from->samples;
  into->platform_writes += from->platform_writes;
  into->platform_reads += from->platform_reads;
  into->span += from->span;
}
