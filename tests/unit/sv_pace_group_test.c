/** Which endpoints an update of the estimates looks at, and what the estimates are made from. */

#include "kernel/paused.h"
#include "serve/engine_model.h"
#include "serve/pace.h"
#include "suite.h"

#define MANY 3000
#define FEW  12

/* Time between two passes of the compared updates; more than the shortest between two updates. */
#define PASS (60 * KNL_MSEC)

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  SvFleet *fleet;
} Fixture;

static void
add_endpoint (Fixture *self, guint i)
{
  g_autofree char *id = g_strdup_printf ("e-%u", i);
  SvEndpointEntry entry = {
    .id = id, .service = "s", .address = "127.0.0.1:9", .zone = "a", .slots = 16
  };

  sv_fleet_update (self->fleet, &entry);
}

static void
fixture_open (Fixture *self, guint n)
{
  self->clock = knl_paused_clock_new ();
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 3);
  self->fleet = sv_fleet_new (self->kernel, KNL_SEC);
  for (guint i = 0; i < n; i++)
    add_endpoint (self, i);
  knl_paused_clock_advance (self->clock, KNL_SEC);
}

static void
fixture_close (Fixture *self)
{
  sv_fleet_free (self->fleet);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
}

static SvEndpoint *
endpoint_at (const Fixture *self, guint i)
{
  return g_ptr_array_index (sv_fleet_service (self->fleet, "s"), i);
}

static gint
refresh (Fixture *self)
{
  knl_paused_clock_advance (self->clock, PASS);
  return sv_pace_refresh (self->fleet, "s", knl_kernel_now (self->kernel));
}

static guint
count_watched (const Fixture *self)
{
  return endpoint_at (self, 0)->pace.group->watched->len;
}

/* Guards against updates that cost as much as the service has endpoints although nearly all are
 * idle: with thousands of them a small instance would spend its processor time on these. */
static void
test_idle_endpoints_are_not_looked_at (void)
{
  Fixture fixture;
  PolPaceReport report = { .source = 1, .estimate = { .ratio = 4, .samples = 8 } };

  fixture_open (&fixture, MANY);
  CU_ASSERT_EQUAL (refresh (&fixture), 0);
  CU_ASSERT_EQUAL (count_watched (&fixture), 0);
  pol_pace_add_sample (&endpoint_at (&fixture, 5)->pace, 1, knl_kernel_now (fixture.kernel));
  report.estimate.at = knl_kernel_now (fixture.kernel);
  sv_pace_note_report (endpoint_at (&fixture, 7), &report, report.estimate.at);
  CU_ASSERT_EQUAL (refresh (&fixture), 1);
  CU_ASSERT_EQUAL (count_watched (&fixture), 2);
  /* The sample has expired, the report has an effect for longer. */
  knl_paused_clock_advance (fixture.clock, 5 * KNL_SEC);
  CU_ASSERT_EQUAL (refresh (&fixture), 1);
  CU_ASSERT_EQUAL (count_watched (&fixture), 1);
  for (guint i = 0; i < 200; i++)
    {
      knl_paused_clock_advance (fixture.clock, KNL_SEC);
      refresh (&fixture);
    }
  CU_ASSERT_EQUAL (count_watched (&fixture), 0);
  CU_ASSERT_EQUAL (endpoint_at (&fixture, 7)->pace.factor, 1);
  fixture_close (&fixture);
}

/* Guards against a dropped endpoint that updates still look at. */
static void
test_dropped_endpoints_are_not_looked_at (void)
{
  Fixture fixture;
  SvEndpoint *dropped;

  fixture_open (&fixture, FEW);
  for (guint i = 0; i < FEW; i++)
    pol_pace_add_sample (&endpoint_at (&fixture, i)->pace, 1, knl_kernel_now (fixture.kernel));
  dropped = sv_endpoint_ref (endpoint_at (&fixture, 3));
  sv_fleet_remove (fixture.fleet, dropped->id);
  knl_paused_clock_advance (fixture.clock, 2 * KNL_SEC);
  sv_fleet_sweep (fixture.fleet);
  CU_ASSERT_EQUAL (count_watched (&fixture), FEW - 1);
  pol_pace_add_sample (&dropped->pace, 1, knl_kernel_now (fixture.kernel));
  CU_ASSERT_EQUAL (count_watched (&fixture), FEW - 1);
  sv_endpoint_unref (dropped);
  CU_ASSERT_EQUAL (refresh (&fixture), 0);
  fixture_close (&fixture);
}

/* Updates all of them, as if none was left out. */
static void
update_all (PolPace paces[FEW], KnlTime now)
{
  double ratios[FEW];
  PolPaceReference reference;
  guint n = 0;

  for (guint i = 0; i < FEW; i++)
    {
      PolPaceEstimate measured = pol_pace_measure (&paces[i], now);

      if (measured.samples > 0)
        ratios[n++] = measured.ratio;
    }
  reference = pol_pace_reference (ratios, n);
  for (guint i = 0; i < FEW; i++)
    ratios[i] = pol_pace_update (&paces[i], &reference, now);
  pol_pace_median (ratios, FEW);
  n = 0;
  for (guint i = 0; i < FEW; i++)
    {
      paces[i].factor = pol_pace_factor (paces[i].combined, ratios[(FEW - 1) / 2]);
      n += paces[i].factor > 1;
    }
  for (guint i = 0; i < FEW && n > 0; i++)
    pol_pace_announce (&paces[i], now);
}

static void
compare (Fixture *self, const PolPace paces[FEW], KnlTime now)
{
  for (guint i = 0; i < FEW; i++)
    {
      const PolPace *pace = &endpoint_at (self, i)->pace;
      PolPaceEstimate estimate;
      PolPaceEstimate expected;

      CU_ASSERT_DOUBLE_EQUAL (pace->factor, paces[i].factor, 0.002);
      CU_ASSERT_EQUAL (pol_pace_own_report (pace, now, &estimate),
                       pol_pace_own_report (&paces[i], now, &expected));
      CU_ASSERT_EQUAL (pol_pace_cell_report (pace, now, &estimate),
                       pol_pace_cell_report (&paces[i], now, &expected));
    }
}

/* Endpoints get samples and reports in some seconds, and none in others. */
static void
add_evidence (Fixture *self, PolPace paces[FEW], GRand *rand, KnlTime now)
{
  for (guint i = 0; i < FEW; i++)
    {
      double ratio = (i % 4 == 0 ? 3 : 1) * g_rand_double_range (rand, 1, 1.1);
      PolPaceReport report = { .source = 1, .estimate = { ratio, 8, now } };

      if ((now / (3 * KNL_SEC) + i) % 5 > 1)
        continue;
      pol_pace_add_sample (&endpoint_at (self, i)->pace, ratio, now);
      pol_pace_add_sample (&paces[i], ratio, now);
      if (g_rand_int_range (rand, 0, 10) > 0)
        continue;
      sv_pace_note_report (endpoint_at (self, i), &report, now);
      pol_pace_add_report (&paces[i], &report, now);
    }
}

/* Guards against results that depend on which endpoints an update leaves out. */
static void
test_results_are_those_of_updating_all (void)
{
  for (guint32 seed = 1; seed <= 5; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      PolPace paces[FEW];
      Fixture fixture;

      fixture_open (&fixture, FEW);
      for (guint i = 0; i < FEW; i++)
        pol_pace_init (&paces[i]);
      for (guint i = 0; i < 2000; i++)
        {
          KnlTime now = knl_kernel_now (fixture.kernel);

          /* All are idle for a while. */
          if (i / 400 != 2)
            add_evidence (&fixture, paces, rand, now);
          refresh (&fixture);
          now = knl_kernel_now (fixture.kernel);
          update_all (paces, now);
          compare (&fixture, paces, now);
        }
      fixture_close (&fixture);
    }
}

/* Answers take `time` at endpoint `i`. Returns whether that gave a sample. */
static gboolean
answer (Fixture *self, guint i, KnlTime time)
{
  return sv_pace_note_answer (self->fleet, endpoint_at (self, i), time,
                              knl_kernel_now (self->kernel));
}

/* Guards against answers that are each compared with a median computed anew from all endpoints, and
 * against one that contains means of a time with another load. */
static void
test_the_median_answer_is_kept (void)
{
  Fixture fixture;
  const PolPaceGroup *group;

  fixture_open (&fixture, FEW);
  group = endpoint_at (&fixture, 0)->pace.group;
  for (guint i = 0; i < 3; i++)
    CU_ASSERT_FALSE (answer (&fixture, i, 100 * KNL_MSEC));
  refresh (&fixture);
  CU_ASSERT_DOUBLE_EQUAL (group->median_answer, 100, 0.1);
  CU_ASSERT_TRUE (answer (&fixture, 3, 20 * KNL_MSEC));
  CU_ASSERT_DOUBLE_EQUAL (group->median_answer, 100, 0.1);
  knl_paused_clock_advance (fixture.clock, 11 * KNL_SEC);
  for (guint i = 4; i < 7; i++)
    answer (&fixture, i, 20 * KNL_MSEC);
  refresh (&fixture);
  CU_ASSERT_DOUBLE_EQUAL (group->median_answer, 20, 0.1);
  knl_paused_clock_advance (fixture.clock, 11 * KNL_SEC);
  refresh (&fixture);
  CU_ASSERT_EQUAL (group->median_answer, 0);
  CU_ASSERT_EQUAL (endpoint_at (&fixture, 4)->mean_answer, 0);
  fixture_close (&fixture);
}

static void
note_length (const SvPrefill *prefill, const guint64 *keys, guint n, gpointer length)
{
  *(KnlTime *)length = prefill->length;
}

/* Guards against samples and announced prefills that are wrong when an endpoint's factor has
 * changed since the prefill was placed there. */
static void
test_prefills_keep_the_declared_time (void)
{
  static const SvEngineSpec spec = { .slots = 16, .memory_tokens = 300000, .step_ms = 50 };
  static const double factors[] = { 1, 2.5, 10 };

  for (guint i = 0; i < G_N_ELEMENTS (factors); i++)
    {
      SvPrefill prefill = { .prompt = 1, .length = 40 * KNL_MSEC };
      SvPaceStream stream = { .n_events = 0 };
      double pass_ms = sv_model_pass_ms (&spec, 1, 0);
      Fixture fixture;
      SvEndpoint *endpoint;
      KnlTime length = 0;

      fixture_open (&fixture, 1);
      endpoint = endpoint_at (&fixture, 0);
      sv_pace_note_event (&stream, endpoint, &spec, knl_kernel_now (fixture.kernel));
      endpoint->pace.factor = factors[i];
      sv_fleet_add_prefill (fixture.fleet, &prefill, &endpoint->key, 1);
      endpoint->pace.factor = 2;
      knl_paused_clock_advance (fixture.clock, (KnlTime)(2 * (pass_ms + 40) * KNL_MSEC));
      sv_pace_note_event (&stream, endpoint, &spec, knl_kernel_now (fixture.kernel));
      /* A read gives its sample with the next one. */
      knl_paused_clock_advance (fixture.clock, 10 * KNL_MSEC);
      sv_pace_note_event (&stream, endpoint, &spec, knl_kernel_now (fixture.kernel));
      CU_ASSERT_EQUAL (endpoint->pace.n_samples, 1);
      CU_ASSERT_DOUBLE_EQUAL (endpoint->pace.samples[0].ratio, 2, 0.02);
      prefill = (SvPrefill){ .prompt = 2, .length = 100 * KNL_MSEC, .until_ended = TRUE };
      endpoint->pace.factor = factors[i];
      sv_fleet_add_prefill (fixture.fleet, &prefill, &endpoint->key, 1);
      endpoint->pace.factor = 2;
      sv_fleet_each_prefill (fixture.fleet, note_length, &length);
      CU_ASSERT_EQUAL (length, 100 * KNL_MSEC);
      fixture_close (&fixture);
    }
}

static const SuiteCase cases[] = {
  { "idle endpoints are not looked at", test_idle_endpoints_are_not_looked_at },
  { "dropped endpoints are not looked at", test_dropped_endpoints_are_not_looked_at },
  { "results are those of updating all", test_results_are_those_of_updating_all },
  { "the median answer is kept", test_the_median_answer_is_kept },
  { "prefills keep the declared time", test_prefills_keep_the_declared_time },
};

SUITE_MAIN ("sv_pace_group", cases)
