/** Tests of shares while a service is overloaded: whose requests are within them, and when. */

#include <string.h>

#include "common/log.h"
#include "kernel/paused.h"
#include "serve/engine_model.h"
#include "serve/overload.h"
#include "suite.h"

#define ENGINES  10
#define INTERVAL (100 * KNL_MSEC)

/* play_saturated() keeps the planned utilisation between 0.95 times this and this plus 0.02. */
#define UTILISATION 0.9

/* Of what it offers, each class gets this at least. */
#define MINIMUM 0.2

static const SvEngineSpec spec = {
  .slots = 10,
  .memory_tokens = 1000000,
  .stride = 50,
  .step_ms = 1,
  .prefill_tokens_per_ms = 100,
};

/* Requests of a second, by kind. */
typedef struct
{
  const char *workspace;
  guint64 prompt_tokens;
  guint priority;
  double rate;
  KnlTime gap_objective;
} Kind;

typedef struct
{
  guint offered;
  guint in_share;
} Count;

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  SvFleet *fleet;
  SvOffered *offered;
  CmMetrics *metrics;
  SvOverload *overload;
  guint instances;
  guint n_requests;
  KnlTime played;
  SvLoad load;
} Fixture;

static guint
n_instances (gpointer data)
{
  return ((Fixture *)data)->instances;
}

static void
fixture_open (Fixture *self)
{
  SvOverloadParts parts;

  *self = (Fixture){ .clock = knl_paused_clock_new (), .instances = 1 };
  knl_paused_clock_advance (self->clock, 10 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 1);
  self->fleet = sv_fleet_new (self->kernel, KNL_SEC);
  self->offered = sv_offered_new (self->kernel);
  self->metrics = cm_metrics_new ();
  for (guint i = 0; i < ENGINES; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", i);
      SvEndpointEntry entry = {
        .id = id, .service = "s", .address = "127.0.0.1:9", .zone = "a", .slots = spec.slots
      };

      sv_fleet_update (self->fleet, &entry);
    }
  parts = (SvOverloadParts){ .kernel = self->kernel,
                             .fleet = self->fleet,
                             .offered = self->offered,
                             .metrics = self->metrics,
                             .n_instances = n_instances,
                             .data = self };
  self->overload = sv_overload_new (&parts, "s", &spec);
}

static void
fixture_close (Fixture *self)
{
  sv_overload_free (self->overload);
  cm_metrics_free (self->metrics);
  sv_offered_free (self->offered);
  sv_fleet_free (self->fleet);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
}

/* Sets the calls at each engine, as other instances would report them. */
static void
set_calls (Fixture *self, guint calls)
{
  const GPtrArray *endpoints = sv_fleet_all (self->fleet);

  self->load.calls = calls;
  for (guint i = 0; i < endpoints->len; i++)
    sv_endpoint_set_peer (g_ptr_array_index (endpoints, i), 1, &self->load);
}

static gboolean
request (Fixture *self, const Kind *kind, gboolean is_exempt)
{
  g_autofree char *id = g_strdup_printf ("r%u", self->n_requests++);
  SvOverloadRequest offered = { .id = id,
                                .workspace = kind->workspace,
                                .prompt_tokens = kind->prompt_tokens,
                                .answer_tokens = 100,
                                .priority = kind->priority,
                                .gap_objective = kind->gap_objective,
                                .is_exempt = is_exempt };

  return sv_overload_is_in_share (self->overload, &offered);
}

/* Plays the kinds for `time`, evenly, and counts them. */
static void
play (Fixture *self, const Kind *kinds, guint n, KnlTime time, Count *counts)
{
  for (KnlTime passed = 0; passed < time; passed += 10 * KNL_MSEC)
    {
      for (guint i = 0; i < n; i++)
        {
          double before = kinds[i].rate * (double)self->played / KNL_SEC;
          double after = kinds[i].rate * (double)(self->played + 10 * KNL_MSEC) / KNL_SEC;

          for (guint j = (guint)before; j < (guint)after; j++)
            {
              gboolean in_share = request (self, &kinds[i], FALSE);

              if (counts == NULL)
                continue;
              counts[i].offered++;
              counts[i].in_share += in_share;
            }
        }
      self->played += 10 * KNL_MSEC;
      knl_paused_clock_advance (self->clock, 10 * KNL_MSEC);
    }
}

static double
fraction (const Count *count)
{
  return (double)count->in_share / count->offered;
}

/* Engine time a second that the kinds offer, in engines. */
static double
offered_engines (const Kind *kinds, guint n)
{
  double sum = 0;

  for (guint i = 0; i < n; i++)
    sum += kinds[i].rate * sv_model_request_ms (&spec, (double)kinds[i].prompt_tokens, 100) / 1000;
  return sum;
}

/* Keeps the planned utilisation near UTILISATION, as engines with room only now and then would. */
static void
play_saturated (Fixture *self, const Kind *kinds, guint n, KnlTime time, Count *counts)
{
  for (KnlTime passed = 0; passed < time; passed += INTERVAL)
    {
      set_calls (self, sv_overload_utilisation (self->overload) > UTILISATION ? spec.slots : 5);
      play (self, kinds, n, INTERVAL, counts);
    }
}

/* 3.5 times what ten engines can do, a third of it from the workspace "w0", most of it short. */
static const Kind surge[] = {
  { "w0", 1000, 0, 580 }, { "w1", 1000, 0, 10 }, { "w2", 1000, 0, 500 },
  { "w3", 1000, 0, 370 }, { "w0", 60000, 0, 3 }, { "w1", 60000, 0, 0.25 },
  { "w2", 200000, 0, 1 }, { "w3", 1000, 2, 50 }, { "w3", 1000, 4, 50 },
};

/* Guards against a workspace that takes the capacity of a small one, and against classes that get
 * less than their minimum, when far more is offered than the engines can do. */
static void
test_surge_leaves_small_workspaces_alone (void)
{
  Count counts[G_N_ELEMENTS (surge)] = { 0 };
  double offered = offered_engines (surge, G_N_ELEMENTS (surge));
  double shorts = offered_engines (surge, 4);
  double level;
  double in_share = 0;
  Fixture self;

  CU_ASSERT_DOUBLE_EQUAL (offered, 35, 3);
  fixture_open (&self);
  play_saturated (&self, surge, G_N_ELEMENTS (surge), 3 * KNL_SEC, NULL);
  play_saturated (&self, surge, G_N_ELEMENTS (surge), 60 * KNL_SEC, counts);
  CU_ASSERT_EQUAL (fraction (&counts[1]), 1);
  CU_ASSERT_EQUAL (fraction (&counts[5]), 1);
  /* Short prompts that are urgent get all but the others' minimums. The three large
   * workspaces divide it evenly, whatever they ask for. */
  level =
      (UTILISATION * ENGINES - MINIMUM * (offered - shorts) - offered_engines (&surge[1], 1)) / 3;
  for (guint i = 0; i < 4; i++)
    {
      if (i != 1)
        CU_ASSERT_DOUBLE_EQUAL (fraction (&counts[i]), level / offered_engines (&surge[i], 1),
                                0.04);
    }
  CU_ASSERT_DOUBLE_EQUAL (counts[0].in_share / (double)counts[2].in_share, 1, 0.1);
  CU_ASSERT_DOUBLE_EQUAL (counts[3].in_share / (double)counts[2].in_share, 1, 0.1);
  /* Less urgent and long requests get their minimum. Of the long ones there are only 60. */
  CU_ASSERT_DOUBLE_EQUAL (fraction (&counts[7]), MINIMUM, 0.03);
  CU_ASSERT_DOUBLE_EQUAL (fraction (&counts[8]), MINIMUM, 0.03);
  CU_ASSERT_DOUBLE_EQUAL (fraction (&counts[6]), MINIMUM, 0.1);
  for (guint i = 0; i < G_N_ELEMENTS (surge); i++)
    in_share += fraction (&counts[i]) * offered_engines (&surge[i], 1);
  CU_ASSERT_DOUBLE_EQUAL (in_share, UTILISATION * ENGINES, 0.1 * ENGINES);
  fixture_close (&self);
}

/* Guards against a class that takes the capacity of one that precedes it: of two that together
 * offer more than is planned, the first is served in full and the second gets what is left. */
static void
test_classes_are_served_in_order (void)
{
  static const struct
  {
    Kind kinds[2];
  } rows[] = {
    /* Urgent before less urgent, also if the urgent ones are longer. */
    { { { "w0", 1000, 0, 300 }, { "w1", 1000, 1, 300 } } },
    { { { "w0", 60000, 0, 10 }, { "w1", 1000, 1, 300 } } },
    /* Short before medium before long. */
    { { { "w0", 1000, 0, 300 }, { "w1", 60000, 0, 10 } } },
    { { { "w0", 60000, 0, 10 }, { "w1", 200000, 0, 3 } } },
    /* A tight gap objective makes a prompt short, whatever its length; a wide one doesn't. */
    { { { "w0", 60000, 0, 10, 250 * KNL_MSEC }, { "w1", 60000, 0, 10, KNL_SEC } } },
    { { { "w0", 1000, 0, 300 }, { "w1", 60000, 0, 10, 400 * KNL_MSEC } } },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const Kind *kinds = rows[i].kinds;
      double left = UTILISATION * ENGINES - offered_engines (&kinds[0], 1);
      Count counts[2] = { 0 };
      Fixture self;

      fixture_open (&self);
      play_saturated (&self, kinds, 2, 3 * KNL_SEC, NULL);
      play_saturated (&self, kinds, 2, 60 * KNL_SEC, counts);
      CU_ASSERT_EQUAL (fraction (&counts[0]), 1);
      CU_ASSERT_DOUBLE_EQUAL (fraction (&counts[1]), left / offered_engines (&kinds[1], 1), 0.1);
      fixture_close (&self);
    }
}

/* Guards against prompts of streams with a tight gap objective that don't divide the capacity with
 * short prompts: workspaces that ask for as much get the same part. */
static void
test_prompts_with_tight_gaps_are_short (void)
{
  static const Kind kinds[] = { { "w0", 1000, 0, 610 }, { "w1", 60000, 0, 20, 250 * KNL_MSEC } };
  double expected = UTILISATION * ENGINES / offered_engines (kinds, G_N_ELEMENTS (kinds));
  Count counts[G_N_ELEMENTS (kinds)] = { 0 };
  Fixture self;

  fixture_open (&self);
  play_saturated (&self, kinds, G_N_ELEMENTS (kinds), 3 * KNL_SEC, NULL);
  play_saturated (&self, kinds, G_N_ELEMENTS (kinds), 60 * KNL_SEC, counts);
  for (guint i = 0; i < G_N_ELEMENTS (kinds); i++)
    CU_ASSERT_DOUBLE_EQUAL (fraction (&counts[i]), expected, 0.05);
  fixture_close (&self);
}

/* Guards against shares that stay in force when the load is no longer above what is planned. */
static void
test_shares_end_with_the_surge (void)
{
  static const Kind calm[] = { { "w0", 1000, 0, 60 }, { "w1", 60000, 0, 1 } };
  Count counts[G_N_ELEMENTS (calm)] = { 0 };
  Fixture self;

  fixture_open (&self);
  play_saturated (&self, surge, G_N_ELEMENTS (surge), 8 * KNL_SEC, NULL);
  /* The engines' queues empty meanwhile. */
  set_calls (&self, spec.slots);
  play (&self, calm, G_N_ELEMENTS (calm), 500 * KNL_MSEC, NULL);
  set_calls (&self, 5);
  play (&self, calm, G_N_ELEMENTS (calm), 1500 * KNL_MSEC, NULL);
  play (&self, calm, G_N_ELEMENTS (calm), 5 * KNL_SEC, counts);
  for (guint i = 0; i < G_N_ELEMENTS (calm); i++)
    CU_ASSERT_EQUAL (counts[i].in_share, counts[i].offered);
  fixture_close (&self);
}

/* Guards against shares while the engines have room, however much the model says is offered, and
 * against requests beyond a share while less is offered than planned, as engines are saturated for
 * a moment. */
static void
test_with_room_nothing_is_over_share (void)
{
  static const Kind calm[] = { { "w0", 1000, 0, 60 },
                               { "w1", 60000, 2, 1 },
                               { "w2", 1000, 4, 10 } };
  Count counts[G_N_ELEMENTS (surge)] = { 0 };
  Fixture self;

  fixture_open (&self);
  set_calls (&self, 7);
  play (&self, surge, G_N_ELEMENTS (surge), 10 * KNL_SEC, counts);
  knl_paused_clock_advance (self.clock, 2 * KNL_SEC);
  for (guint i = 0; i < 50; i++)
    {
      set_calls (&self, i % 5 == 0 ? spec.slots : 5);
      play (&self, calm, G_N_ELEMENTS (calm), INTERVAL, counts);
    }
  for (guint i = 0; i < G_N_ELEMENTS (surge); i++)
    CU_ASSERT_EQUAL (counts[i].in_share, counts[i].offered);
  fixture_close (&self);
}

/* Guards against prefill backlog that is taken for saturation while slots are free, and against
 * saturation that is seen where there are no engines. */
static void
test_only_taken_slots_are_saturation (void)
{
  static const struct
  {
    KnlTime backlog;
    guint calls;
    gboolean is_saturated;
  } rows[] = {
    { 0, 7, FALSE },
    { 0, 8, TRUE },
    { 400 * KNL_MSEC, 0, FALSE },
    { 10 * KNL_SEC, 7, FALSE },
    { 10 * KNL_SEC, 8, TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      SvPrefill prefill = { .prompt = 1, .length = rows[i].backlog + INTERVAL };
      guint64 keys[ENGINES];
      Fixture self;

      fixture_open (&self);
      for (guint j = 0; j < ENGINES; j++)
        keys[j] = ((SvEndpoint *)g_ptr_array_index (sv_fleet_all (self.fleet), j))->key;
      if (rows[i].backlog > 0)
        sv_fleet_add_prefill (self.fleet, &prefill, keys, ENGINES);
      set_calls (&self, rows[i].calls);
      knl_paused_clock_advance (self.clock, INTERVAL);
      CU_ASSERT_EQUAL (sv_overload_is_saturated (self.overload), rows[i].is_saturated);
      for (guint j = 0; j < ENGINES; j++)
        {
          g_autofree char *id = g_strdup_printf ("i-%u", j);

          sv_fleet_remove (self.fleet, id);
        }
      knl_paused_clock_advance (self.clock, 4 * KNL_SEC);
      CU_ASSERT_FALSE (sv_overload_is_saturated (self.overload));
      fixture_close (&self);
    }
}

/* Guards against a request that is beyond a share although a peer has given it its place, or its
 * stream has begun, and against such requests that aren't counted. */
static void
test_exempt_requests_are_counted (void)
{
  static const Kind kind = { "w0", 1000, 0, 0 };
  SvOfferedReport report;
  Fixture self;

  fixture_open (&self);
  play_saturated (&self, surge, G_N_ELEMENTS (surge), 3 * KNL_SEC, NULL);
  for (guint i = 0; i < 200; i++)
    CU_ASSERT_TRUE (request (&self, &surge[0], TRUE));
  knl_paused_clock_advance (self.clock, 1100 * KNL_MSEC);
  for (guint i = 0; i < 100; i++)
    CU_ASSERT_TRUE (request (&self, &kind, TRUE));
  sv_offered_report_own (self.offered, sv_offered_service_id ("s"), &report);
  CU_ASSERT_EQUAL_FATAL (report.n_rows, 1);
  CU_ASSERT_DOUBLE_EQUAL ((double)report.rows[0].load / KNL_MSEC,
                          100 * sv_model_request_ms (&spec, 1000, 100), 1);
  fixture_close (&self);
}

/* Guards against an instance that gives a repeated attempt another answer. */
static void
test_repeated_attempt_gets_the_same_answer (void)
{
  guint over_share = 0;
  Fixture self;

  fixture_open (&self);
  play_saturated (&self, surge, G_N_ELEMENTS (surge), 3 * KNL_SEC, NULL);
  for (guint i = 0; i < 200; i++)
    {
      guint id = self.n_requests;
      gboolean first = request (&self, &surge[0], FALSE);

      self.n_requests = id;
      CU_ASSERT_EQUAL (request (&self, &surge[0], FALSE), first);
      over_share += !first;
    }
  CU_ASSERT (over_share > 50);
  fixture_close (&self);
}

/* Guards against instances of which each leaves out as much as all together have to, or too
 * little: one that others report more load to decides by the sum. */
static void
test_load_of_other_instances_counts (void)
{
  static const Kind own[] = { { "w0", 1000, 0, 30 }, { "w1", 1000, 0, 5 } };
  Count counts[G_N_ELEMENTS (own)] = { 0 };
  SvOfferedReport others = { .service = sv_offered_service_id ("s"), .n_rows = 2 };
  SvOfferedSource cell = { .id = 4, .is_cell = TRUE, .instances = 9 };
  Fixture self;

  others.rows[0] = (PolOfferedRow){ 0, sv_offered_workspace_id ("w0"), 1, 30 * KNL_SEC };
  others.rows[1] = (PolOfferedRow){ 0, 0, 20, 4 * KNL_SEC };
  fixture_open (&self);
  self.instances = 10;
  for (guint i = 0; i < 100; i++)
    {
      sv_offered_note_report (self.offered, &cell, &others);
      play_saturated (&self, own, G_N_ELEMENTS (own), INTERVAL, i > 30 ? counts : NULL);
    }
  /* The others ask for less than their share; "w0" gets the rest for its 30.6 engines. */
  CU_ASSERT_DOUBLE_EQUAL (fraction (&counts[0]), (UTILISATION * ENGINES - 4.1) / 30.6, 0.06);
  CU_ASSERT_EQUAL (fraction (&counts[1]), 1);
  fixture_close (&self);
}

static void
count_lines (const char *line, gpointer data)
{
  if (strstr (line, "\"over-share\"") != NULL && strstr (line, "\"share\"") != NULL
      && strstr (line, "\"priority-0-short\"") != NULL && strstr (line, "\"so-far\"") != NULL)
    (*(guint *)data)++;
}

/* Guards against decisions that can't be explained, or fill the log. */
static void
test_shares_are_logged_and_measured (void)
{
  CmMetric *offered;
  guint lines = 0;
  Fixture self;

  fixture_open (&self);
  cm_log_set_sink (count_lines, &lines);
  play_saturated (&self, &surge[1], 1, 5 * KNL_SEC, NULL);
  CU_ASSERT_EQUAL (lines, 0);
  play_saturated (&self, surge, G_N_ELEMENTS (surge), 5 * KNL_SEC, NULL);
  cm_log_set_sink (NULL, NULL);
  CU_ASSERT (lines >= 1 && lines <= 5);
  offered = cm_metrics_add (self.metrics, &(CmMetricDef){ .name = "alderturn_offered_load" });
  CU_ASSERT_DOUBLE_EQUAL (cm_series_value (cm_metric_series (offered, "s", NULL, NULL)),
                          offered_engines (surge, G_N_ELEMENTS (surge)), 4);
  set_calls (&self, 0);
  knl_paused_clock_advance (self.clock, 3 * KNL_SEC);
  CU_ASSERT_EQUAL (cm_series_value (cm_metric_series (offered, "s", NULL, NULL)), 0);
  fixture_close (&self);
}

static const SuiteCase cases[] = {
  { "a surge leaves small workspaces alone", test_surge_leaves_small_workspaces_alone },
  { "classes are served in order", test_classes_are_served_in_order },
  { "prompts with tight gaps are short", test_prompts_with_tight_gaps_are_short },
  { "shares end with the surge", test_shares_end_with_the_surge },
  { "with room nothing is over share", test_with_room_nothing_is_over_share },
  { "only taken slots are saturation", test_only_taken_slots_are_saturation },
  { "exempt requests are counted", test_exempt_requests_are_counted },
  { "a repeated attempt gets the same answer", test_repeated_attempt_gets_the_same_answer },
  { "load of other instances counts", test_load_of_other_instances_counts },
  { "shares are logged and measured", test_shares_are_logged_and_measured },
};

SUITE_MAIN ("sv_overload", cases)
