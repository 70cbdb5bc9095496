/** Estimates of how slow endpoints are, at several instances that exchange reports. */

#include "policy/pace.h"
#include "suite.h"

#define INSTANCES 4
#define ENDPOINTS 6
#define NONE      99

/* Duration of a pass; each instance gets at most one sample from each endpoint in it. */
#define PASS (60 * KNL_MSEC)

/* Largest lengthening of a pass by a prefill that nobody knows of. */
#define MAX_NOISE 5.0

typedef struct
{
  PolPace paces[INSTANCES][ENDPOINTS];
  KnlTime now;
  GRand *rand;
} Fleet;

/* What the passes of the endpoints are like. */
typedef struct
{
  double slowdown;         /* of endpoint 0 */
  double slowdown_all;     /* of all: the declared figures are wrong by this factor */
  gboolean noisy;          /* half of the passes are up to MAX_NOISE times longer */
  guint slow_instance;     /* index, or NONE */
  gboolean instance_noisy; /* the slow instance's samples differ by a factor of 2, as in bunches */
} Condition;

static void
fleet_open (Fleet *self)
{
  self->now = KNL_SEC;
  self->rand = g_rand_new_with_seed (7);
  for (guint i = 0; i < INSTANCES; i++)
    {
      for (guint j = 0; j < ENDPOINTS; j++)
        pol_pace_init (&self->paces[i][j]);
    }
}

static void
fleet_close (Fleet *self)
{
  g_rand_free (self->rand);
}

static void
exchange (Fleet *self, guint from, guint endpoint)
{
  PolPaceReport report = { .source = from + 1 };

  if (!pol_pace_own_report (&self->paces[from][endpoint], self->now, &report.estimate))
    return;
  for (guint to = 0; to < INSTANCES; to++)
    {
      if (to != from)
        pol_pace_add_report (&self->paces[to][endpoint], &report, self->now);
    }
}

static void
refresh (Fleet *self, guint instance)
{
  double ratios[ENDPOINTS];
  PolPaceReference reference;
  double median;
  guint n = 0;

  for (guint j = 0; j < ENDPOINTS; j++)
    {
      PolPaceEstimate measured = pol_pace_measure (&self->paces[instance][j], self->now);

      if (measured.samples > 0)
        ratios[n++] = measured.ratio;
    }
  reference = pol_pace_reference (ratios, n);
  for (guint j = 0; j < ENDPOINTS; j++)
    ratios[j] = pol_pace_update (&self->paces[instance][j], &reference, self->now);
  median = pol_pace_median (ratios, ENDPOINTS);
  for (guint j = 0; j < ENDPOINTS; j++)
    self->paces[instance][j].factor = pol_pace_factor (self->paces[instance][j].combined, median);
}

static double
pass_length (Fleet *self, const Condition *condition, guint endpoint)
{
  double ratio = condition->slowdown_all * g_rand_double_range (self->rand, 0.95, 1.05);

  if (endpoint == 0)
    ratio *= condition->slowdown;
  if (condition->noisy && g_rand_boolean (self->rand))
    ratio *= g_rand_double_range (self->rand, 1, MAX_NOISE);
  return ratio;
}

/* One pass at the first `n` endpoints, seen by all instances; reports are exchanged afterwards. */
static void
run_pass (Fleet *self, const Condition *condition, guint n)
{
  self->now += PASS;
  for (guint j = 0; j < n; j++)
    {
      double ratio = pass_length (self, condition, j);

      for (guint i = 0; i < INSTANCES; i++)
        {
          double seen = i == condition->slow_instance ? 5 * ratio : ratio;

          if (i == condition->slow_instance && condition->instance_noisy)
            seen *= g_rand_double_range (self->rand, 0.7, 1.4);
          pol_pace_add_sample (&self->paces[i][j], seen, self->now);
        }
    }
  for (guint i = 0; i < INSTANCES; i++)
    refresh (self, i);
  for (guint i = 0; i < INSTANCES * n; i++)
    exchange (self, i / n, i % n);
}

/* Passes without any sample. */
static void
run_idle (Fleet *self, KnlTime time)
{
  for (KnlTime until = self->now + time; self->now < until; self->now += PASS)
    {
      for (guint i = 0; i < INSTANCES; i++)
        refresh (self, i);
    }
}

/* Passes until all instances hold the endpoint for slow, or NONE. */
static guint
passes_until_slow (Fleet *self, const Condition *condition)
{
  for (guint n = 1; n < NONE; n++)
    {
      guint slow = 0;

      run_pass (self, condition, ENDPOINTS);
      for (guint i = 0; i < INSTANCES; i++)
        slow += self->paces[i][0].factor > 1;
      if (slow == INSTANCES)
        return n;
    }
  return NONE;
}

/*
 * Guards against equal endpoints that count as slow: because their streams wait for prefills that
 * nobody announced, because one instance has too little processor time, or because the declared
 * figures are wrong.
 */
static void
test_equal_endpoints_stay_at_one (void)
{
  static const struct
  {
    const char *name;
    Condition condition;
  } rows[] = {
    { "quiet", { 1, 1, FALSE, NONE, FALSE } },
    { "prefills in half of the passes", { 1, 1, TRUE, NONE, FALSE } },
    { "a slow instance", { 1, 1, FALSE, 2, FALSE } },
    { "a slow instance with bunched events", { 1, 1, FALSE, 2, TRUE } },
    { "a slow instance and prefills", { 1, 1, TRUE, 1, TRUE } },
    { "declared 2.5 times too fast", { 1, 2.5, FALSE, NONE, FALSE } },
    { "declared 2.5 times too slow", { 1, 0.4, FALSE, NONE, FALSE } },
    { "a slowdown of 1.2", { 1.2, 1, FALSE, NONE, FALSE } },
  };

  for (guint row = 0; row < G_N_ELEMENTS (rows); row++)
    {
      Fleet fleet;
      guint slow = 0;

      fleet_open (&fleet);
      for (guint pass = 0; pass < 500; pass++)
        {
          run_pass (&fleet, &rows[row].condition, ENDPOINTS);
          for (guint i = 0; i < INSTANCES * ENDPOINTS; i++)
            slow += fleet.paces[i / ENDPOINTS][i % ENDPOINTS].factor != 1
                    && i / ENDPOINTS != rows[row].condition.slow_instance;
        }
      if (slow > 0)
        printf ("\n  %s: %u of %u", rows[row].name, slow, 500 * INSTANCES * ENDPOINTS);
      CU_ASSERT_EQUAL (slow, 0);
      fleet_close (&fleet);
    }
}

/* Guards against a slow endpoint that takes dozens of prompts before the fleet notices. */
static void
test_slow_endpoints_are_noticed (void)
{
  static const struct
  {
    const char *name;
    Condition condition;
    guint max_passes; /* a pass gives one sample at each instance */
    double min;
    double max;
  } rows[] = {
    { "2.5 times slower", { 2.5, 1, FALSE, NONE, FALSE }, 10, 2, 3 },
    { "4 times slower", { 4, 1, FALSE, NONE, FALSE }, 10, 3.2, 4.8 },
    { "4 times slower, with prefills", { 4, 1, TRUE, NONE, FALSE }, 14, 3, 8 },
    { "4 times slower, figures wrong by 2", { 4, 2, FALSE, NONE, FALSE }, 10, 3.2, 4.8 },
    { "4 times slower, one instance slow", { 4, 1, FALSE, 3, TRUE }, 16, 3, 5 },
    { "100 times slower", { 100, 1, FALSE, NONE, FALSE }, 10, 10, 10 },
  };

  for (guint row = 0; row < G_N_ELEMENTS (rows); row++)
    {
      Fleet fleet;
      guint passes;

      fleet_open (&fleet);
      passes = passes_until_slow (&fleet, &rows[row].condition);
      if (passes > rows[row].max_passes)
        printf ("\n  %s: %u passes", rows[row].name, passes);
      CU_ASSERT (passes <= rows[row].max_passes);
      for (guint i = 0; i < 16; i++)
        run_pass (&fleet, &rows[row].condition, ENDPOINTS);
      for (guint i = 0; i < INSTANCES; i++)
        {
          if (i == rows[row].condition.slow_instance)
            continue;
          CU_ASSERT (fleet.paces[i][0].factor >= rows[row].min);
          CU_ASSERT (fleet.paces[i][0].factor <= rows[row].max);
          CU_ASSERT_EQUAL (fleet.paces[i][1].factor, 1);
        }
      fleet_close (&fleet);
    }
}

/* Guards against an endpoint that counts as slow for good, or is trusted after one good answer. */
static void
test_a_slowdown_that_ends_is_noticed_slowly (void)
{
  static const Condition slow = { 4, 1, FALSE, NONE, FALSE };
  static const Condition equal = { 1, 1, FALSE, NONE, FALSE };
  Fleet fleet;
  guint passes = 0;

  fleet_open (&fleet);
  passes_until_slow (&fleet, &slow);
  for (guint i = 0; i < 20; i++)
    run_pass (&fleet, &slow, ENDPOINTS);
  for (; passes < 500 && fleet.paces[0][0].factor > 1; passes++)
    run_pass (&fleet, &equal, ENDPOINTS);
  CU_ASSERT (passes * PASS > 3 * KNL_SEC);
  CU_ASSERT (passes * PASS < 12 * KNL_SEC);
  fleet_close (&fleet);
}

/* Guards against an idle endpoint that is trusted at once, or never tried again. */
static void
test_an_idle_endpoint_is_trusted_slowly (void)
{
  static const Condition slow = { 4, 1, FALSE, NONE, FALSE };
  Fleet fleet;
  double before;

  fleet_open (&fleet);
  passes_until_slow (&fleet, &slow);
  for (guint i = 0; i < 20; i++)
    run_pass (&fleet, &slow, ENDPOINTS);
  run_idle (&fleet, 4 * KNL_SEC);
  for (guint i = 0; i < 12; i++)
    {
      before = fleet.paces[0][0].factor;
      run_idle (&fleet, 4 * KNL_SEC);
      if (fleet.paces[0][0].factor > 1)
        CU_ASSERT (fleet.paces[0][0].factor - 1 >= 0.49 * (before - 1));
    }
  CU_ASSERT_EQUAL (fleet.paces[0][0].factor, 1);
  fleet_close (&fleet);
}

/* Guards against one instance with a fault of its own that makes all others avoid an endpoint: it
 * has measured no other one, so its report counts only together with a second. */
static void
test_an_instance_with_few_endpoints_is_not_enough (void)
{
  static const PolPaceReference few = { .ratio = 1, .n = 3 };
  static const PolPaceReference several = { .ratio = 1, .n = 4 };
  PolPaceReport report = { .source = 1 };
  PolPace sender;
  PolPace pace;

  pol_pace_init (&sender);
  pol_pace_init (&pace);
  for (guint i = 0; i < 20; i++)
    pol_pace_add_sample (&sender, 5, KNL_SEC + i * PASS);
  pol_pace_update (&sender, &few, 2 * KNL_SEC);
  CU_ASSERT_TRUE (pol_pace_own_report (&sender, 2 * KNL_SEC, &report.estimate));
  for (guint i = 0; i < 10; i++)
    pol_pace_add_report (&pace, &report, 2 * KNL_SEC);
  CU_ASSERT_EQUAL (pol_pace_factor (pol_pace_update (&pace, &several, 2 * KNL_SEC), 1), 1);
  report.source = 2;
  pol_pace_add_report (&pace, &report, 2 * KNL_SEC);
  CU_ASSERT_EQUAL (pol_pace_factor (pol_pace_update (&pace, &several, 2 * KNL_SEC), 1), 5);
  /* With more endpoints that aren't slow, it knows that it isn't slow itself. */
  pol_pace_init (&pace);
  pol_pace_update (&sender, &several, 2 * KNL_SEC);
  CU_ASSERT_TRUE (pol_pace_own_report (&sender, 2 * KNL_SEC, &report.estimate));
  pol_pace_add_report (&pace, &report, 2 * KNL_SEC);
  CU_ASSERT_EQUAL (pol_pace_factor (pol_pace_update (&pace, &several, 2 * KNL_SEC), 1), 5);
}

/* Guards against reports that fill the memory, or count from the future for ever. */
static void
test_reports_are_bounded (void)
{
  static const PolPaceReference none = { .ratio = 1 };
  PolPace pace;

  pol_pace_init (&pace);
  for (guint i = 0; i < 100; i++)
    {
      PolPaceReport report = { .source = 10 + i, .estimate = { 1e9, G_MAXUINT, KNL_NEVER } };

      pol_pace_add_report (&pace, &report, KNL_SEC);
    }
  CU_ASSERT_EQUAL (pace.n_reports, POL_PACE_MAX_REPORTS);
  CU_ASSERT_EQUAL (pol_pace_factor (pol_pace_update (&pace, &none, KNL_SEC), 1), POL_PACE_MAX);
  CU_ASSERT_EQUAL (pol_pace_factor (pol_pace_update (&pace, &none, 100 * KNL_SEC), 1), 1);
}

/* Guards against a single false report of a relay, which counts as many samples as several
 * instances have, that makes an endpoint slow at an instance that gets normal answers from it. */
static void
test_a_relay_cannot_outvote_own_samples (void)
{
  static const PolPaceReference several = { .ratio = 1, .n = 4 };
  static const struct
  {
    const char *name;
    guint n_own;
    double own;
    KnlTime age; /* of the newest own sample */
    double factor;
  } rows[] = {
    { "no own samples", 0, 1, 0, 4 },
    { "three normal samples", 3, 1, 0, 1 },
    { "normal samples", POL_PACE_MAX_SAMPLES, 1, 0, 1 },
    { "slow samples", POL_PACE_MAX_SAMPLES, 4, 0, 4 },
    { "old normal samples", POL_PACE_MAX_SAMPLES, 1, 5 * KNL_SEC, 4 },
  };

  for (guint row = 0; row < G_N_ELEMENTS (rows); row++)
    {
      KnlTime now = 10 * KNL_SEC;
      PolPaceReport report = { .source = 1, .is_cell = TRUE, .estimate = { 4, 1000, now } };
      PolPace pace;
      double factor;

      pol_pace_init (&pace);
      for (guint i = rows[row].n_own; i > 0; i--)
        pol_pace_add_sample (&pace, rows[row].own, now - rows[row].age - i * PASS);
      pol_pace_update (&pace, &several, now - rows[row].age);
      pol_pace_add_report (&pace, &report, now);
      factor = pol_pace_factor (pol_pace_update (&pace, &several, now), 1);
      if (factor != rows[row].factor)
        printf ("\n  %s: %.2f", rows[row].name, factor);
      CU_ASSERT_EQUAL (factor, rows[row].factor);
    }
}

/* Guards against a service of which nothing is left because most of it counts as slow. */
static void
test_most_endpoints_cannot_be_slow (void)
{
  static const struct
  {
    guint n_slow;
    double factor;
  } rows[] = { { 0, 1 }, { 1, 4 }, { 3, 4 }, { 4, 1 }, { 6, 1 } };

  for (guint row = 0; row < G_N_ELEMENTS (rows); row++)
    {
      double combined[ENDPOINTS];

      for (guint i = 0; i < ENDPOINTS; i++)
        combined[i] = i < rows[row].n_slow ? 4 : 1;
      CU_ASSERT_EQUAL (
          pol_pace_factor (rows[row].n_slow > 0 ? 4 : 1, pol_pace_median (combined, ENDPOINTS)),
          rows[row].factor);
    }
  CU_ASSERT_EQUAL (pol_pace_factor (1.24, 1), 1);
  CU_ASSERT_EQUAL (pol_pace_factor (1.25, 1), 1.25);
  CU_ASSERT_EQUAL (pol_pace_factor (11, 1), 10);
}

static const SuiteCase cases[] = {
  { "equal endpoints stay at one", test_equal_endpoints_stay_at_one },
  { "slow endpoints are noticed", test_slow_endpoints_are_noticed },
  { "a slowdown that ends is noticed slowly", test_a_slowdown_that_ends_is_noticed_slowly },
  { "an idle endpoint is trusted slowly", test_an_idle_endpoint_is_trusted_slowly },
  { "an instance with few endpoints is not enough",
    test_an_instance_with_few_endpoints_is_not_enough },
  { "reports are bounded", test_reports_are_bounded },
  { "a relay cannot outvote own samples", test_a_relay_cannot_outvote_own_samples },
  { "most endpoints cannot be slow", test_most_endpoints_cannot_be_slow },
};

SUITE_MAIN ("pace", cases)
