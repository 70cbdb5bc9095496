/** Tests of the simulated engines, which work in forward passes, and of the placement of short and
 * long prompts on them. */

#include "bench/policies.h"
#include "kernel/paused.h"
#include "serve/engine_model.h"
#include "suite.h"
#include "tests/fakes/pass_engine.h"

static const SvEngineSpec spec = {
  .slots = 4,
  .memory_tokens = 100000,
  .stride = 50,
  .step_ms = 1,
  .prefill_tokens_per_ms = 100,
  .chunk = 1000,
};

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  FkPassEngine *engines[3];
} Fixture;

/* Times of the first and the last event of a request. */
typedef struct
{
  Fixture *fixture;
  KnlTime first;
  KnlTime last;
  gboolean is_done;
} RequestTimes;

static void
on_event (gpointer data, guint index)
{
  RequestTimes *seen = data;

  seen->last = knl_kernel_now (seen->fixture->kernel);
  if (index == 0)
    seen->first = seen->last;
}

static void
on_done (gpointer data)
{
  ((RequestTimes *)data)->is_done = TRUE;
}

static const FkPassEvents events = { .event = on_event, .done = on_done };

static void
fixture_open (Fixture *self)
{
  self->clock = knl_paused_clock_new ();
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 1);
  for (guint i = 0; i < G_N_ELEMENTS (self->engines); i++)
    self->engines[i] = fk_pass_engine_new (self->kernel, &spec);
}

static void
fixture_close (Fixture *self)
{
  for (guint i = 0; i < G_N_ELEMENTS (self->engines); i++)
    fk_pass_engine_free (self->engines[i]);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
}

static void
submit (Fixture *self,
        RequestTimes *seen,
        guint engine,
        guint64 tokens,
        guint n_events,
        guint helpers)
{
  FkPassDemand demand = { .prompt_tokens = tokens, .events = n_events, .n_helpers = helpers };

  *seen = (RequestTimes){ .fixture = self };
  for (guint i = 0; i < helpers; i++)
    demand.helpers[i] = self->engines[(engine + 1 + i) % G_N_ELEMENTS (self->engines)];
  fk_pass_engine_submit (self->engines[engine], &demand, &events, seen);
}

/* Paused clocks start at one second. */
static gboolean
is_within (KnlTime time, double from_ms, double to_ms)
{
  double ms = (double)(time - KNL_SEC) / KNL_MSEC;

  return ms >= from_ms && ms <= to_ms;
}

static void
test_engines_work_in_passes (void)
{
  Fixture fixture;
  RequestTimes alone;
  RequestTimes second;
  RequestTimes wide;

  fixture_open (&fixture);
  submit (&fixture, &alone, 0, 10000, 10, 0);
  knl_paused_clock_advance (fixture.clock, 300 * KNL_MSEC);
  /* Prefill of ten chunks of 10 ms, and their steps; then an event in each pass of 50 steps. */
  CU_ASSERT (is_within (alone.first, 109, 111));
  CU_ASSERT (is_within (alone.last, 259, 261));
  /* The prefill of a second prompt makes the pass that it is part of longer. */
  submit (&fixture, &second, 0, 10000, 1, 0);
  knl_paused_clock_advance (fixture.clock, 400 * KNL_MSEC);
  CU_ASSERT (is_within (second.first, 459, 461));
  CU_ASSERT_TRUE (second.is_done);
  /* Each of three engines processes a third of the prompt. */
  submit (&fixture, &wide, 1, 30000, 1, 2);
  knl_paused_clock_advance (fixture.clock, KNL_SEC);
  CU_ASSERT_TRUE (wide.is_done && alone.is_done);
  CU_ASSERT (is_within (wide.first, 800, 920));
  fixture_close (&fixture);
}

static void
test_engines_hold_what_fits (void)
{
  Fixture fixture;
  RequestTimes large;
  RequestTimes waits;
  RequestTimes slots[6];

  fixture_open (&fixture);
  submit (&fixture, &large, 0, 90000, 20, 0);
  submit (&fixture, &waits, 0, 20000, 1, 0);
  knl_paused_clock_advance (fixture.clock, 1500 * KNL_MSEC);
  CU_ASSERT (large.first > 0 && waits.first == 0);
  knl_paused_clock_advance (fixture.clock, 3 * KNL_SEC);
  CU_ASSERT_TRUE (large.is_done && waits.is_done && waits.first > large.last);
  for (guint i = 0; i < G_N_ELEMENTS (slots); i++)
    submit (&fixture, &slots[i], 1, 100, 20, 0);
  knl_paused_clock_advance (fixture.clock, 500 * KNL_MSEC);
  CU_ASSERT (slots[3].first > 0 && slots[4].first == 0);
  knl_paused_clock_advance (fixture.clock, 5 * KNL_SEC);
  CU_ASSERT_TRUE (slots[5].is_done);
  fixture_close (&fixture);
}

/* Mean of `in_time` and sums of the other results over four seeds. */
static BenchPolicyResult
run (const char *policy, guint instances, double load)
{
  BenchPolicyResult sum = { 0 };

  for (guint seed = 1; seed <= 4; seed++)
    {
      BenchPolicyOptions options = { .policy = policy,
                                     .engines = 18,
                                     .instances = instances,
                                     .delay = 4 * KNL_MSEC,
                                     .load = load,
                                     .seconds = 30,
                                     .seed = seed };
      BenchPolicyResult result;

      CU_ASSERT_TRUE (bench_policy_run (&options, &result));
      sum.in_time += result.in_time / 4;
      for (guint i = 0; i < BENCH_KINDS; i++)
        {
          sum.kinds[i].submitted += result.kinds[i].submitted;
          sum.kinds[i].in_time += result.kinds[i].in_time;
        }
      bench_policy_result_clear (&result);
    }
  return sum;
}

static double
in_time (const BenchPolicyResult *result, guint kind)
{
  return (double)result->kinds[kind].in_time / result->kinds[kind].submitted;
}

/*
 * Guards against short prompts whose answers are late or have gaps while long prompts are in
 * prefill on the same engines. The load changes between many short and many long prompts every ten
 * seconds; the fault comes about when prompts go to the engine with the fewest requests, regardless
 * of its prefill and decode load.
 */
static void
test_short_prompts_do_not_wait_behind_long_ones (void)
{
  BenchPolicyResult fewest = run ("fewest", 6, 0.6);
  BenchPolicyResult routed = run ("routed", 6, 0.6);

  CU_ASSERT (in_time (&routed, 0) > 0.9);
  CU_ASSERT (in_time (&routed, 0) > in_time (&fewest, 0));
  CU_ASSERT (in_time (&routed, 2) > in_time (&fewest, 2));
  CU_ASSERT (routed.in_time > fewest.in_time + 0.05);
}

/*
 * Guards against many instances that serve one fleet worse than a single instance would. Each
 * places prompts by the load and prefills that the others announced some milliseconds ago; if
 * announcements are missing or late, they fill the same engines.
 */
static void
test_many_instances_are_like_one (void)
{
  BenchPolicyResult one = run ("routed", 1, 0.6);
  BenchPolicyResult nine = run ("routed", 9, 0.6);

  CU_ASSERT (nine.in_time > 0.9 * one.in_time);
}

static const SuiteCase cases[] = {
  { "engines work in passes", test_engines_work_in_passes },
  { "engines hold what fits", test_engines_hold_what_fits },
  { "short prompts do not wait behind long ones", test_short_prompts_do_not_wait_behind_long_ones },
  { "many instances are like one", test_many_instances_are_like_one },
};

SUITE_MAIN ("sv_load", cases)
