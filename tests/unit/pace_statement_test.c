/** What an endpoint states of its own pace, together with samples and reports of peers. */

#include <math.h>

#include "policy/pace.h"
#include "suite.h"

#define NOW (100 * KNL_SEC)

typedef struct
{
  const char *name;
  double stated; /* by the endpoint to this instance; 0: nothing */
  KnlTime stated_age;
  double sampled; /* ratio of this instance's samples */
  guint n_samples;
  PolPaceEstimate peer; /* reported by a peer; `at` is its age */
  gboolean is_cell;     /* another cell's relay reported it */
  double combined;
  gboolean is_stated; /* the statement decided */
} Row;

/*
 * Guards against a statement without effect where nothing else is known, and against one that
 * outweighs samples: an endpoint may state anything.
 */
static const Row rows[] = {
  { "nothing", .combined = 1 },
  { "slow alone", .stated = 2.5, .combined = 2.5, .is_stated = TRUE },
  { "normal alone", .stated = 1, .combined = 1, .is_stated = TRUE },
  { "below 1", .stated = 0.2, .combined = 1, .is_stated = TRUE },
  { "far above 10", .stated = 1e6, .combined = 10, .is_stated = TRUE },
  { "of 4 s ago", .stated = 3, .stated_age = 4 * KNL_SEC, .combined = 3, .is_stated = TRUE },
  { "of 12 s ago, half of it", .stated = 3, .stated_age = 12 * KNL_SEC, .combined = 2,
    .is_stated = TRUE },
  { "normal, samples are slow", .stated = 1, .sampled = 3, .n_samples = 10, .combined = 3 },
  { "normal, few samples are slow", .stated = 1, .sampled = 3, .n_samples = 5, .combined = 1,
    .is_stated = TRUE },
  { "slow, samples are normal", .stated = 3, .sampled = 1, .n_samples = 10, .combined = 1 },
  { "slow, three samples are normal", .stated = 3, .sampled = 1, .n_samples = 3, .combined = 1 },
  { "slow, few samples confirm it", .stated = 3, .sampled = 3, .n_samples = 2, .combined = 3,
    .is_stated = TRUE },
  { "normal, a peer's samples are slow", .stated = 1, .peer = { .ratio = 3, .samples = 8 },
    .combined = 3 },
  { "slow, a peer has a few normal samples", .stated = 3, .peer = { .ratio = 1, .samples = 3 },
    .combined = 1 },
  { "slow, stated to a peer", .peer = { .ratio = 2, .samples = 7, .is_stated = TRUE },
    .combined = 2, .is_stated = TRUE },
  { "slow, stated to another cell", .peer = { .ratio = 2, .samples = 7, .is_stated = TRUE },
    .is_cell = TRUE, .combined = 2, .is_stated = TRUE },
  { "normal, stated to a peer, samples are slow", .sampled = 3, .n_samples = 10,
    .peer = { .ratio = 1, .samples = 7, .is_stated = TRUE }, .combined = 3 },
  { "the newer statement is a peer's", .stated = 3, .stated_age = 2 * KNL_SEC,
    .peer = { .ratio = 2, .samples = 7, .at = KNL_SEC, .is_stated = TRUE }, .combined = 2,
    .is_stated = TRUE },
  { "the older statement is a peer's", .stated = 3, .stated_age = KNL_SEC,
    .peer = { .ratio = 2, .samples = 7, .at = 2 * KNL_SEC, .is_stated = TRUE }, .combined = 3,
    .is_stated = TRUE },
};

static void
pace_of (const Row *row, PolPace *pace)
{
  static const PolPaceReference reference = { .ratio = 1, .n = 8 };
  PolPaceReport report = { .source = 1, .is_cell = row->is_cell, .estimate = row->peer };

  pol_pace_init (pace);
  if (row->stated > 0)
    pol_pace_add_statement (pace, row->stated, NOW - row->stated_age);
  for (guint i = row->n_samples; i > 0; i--)
    pol_pace_add_sample (pace, row->sampled, NOW - (KnlTime)i * 60 * KNL_MSEC);
  report.estimate.at = NOW - row->peer.at;
  if (row->peer.samples > 0)
    pol_pace_add_report (pace, &report, NOW);
  pol_pace_update (pace, &reference, NOW);
}

static void
test_statement_and_samples (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      PolPace pace;

      pace_of (&rows[i], &pace);
      if (fabs (pace.combined - rows[i].combined) > 0.01
          || pace.decided_by_statement != rows[i].is_stated)
        printf ("\n  %s: %f, %d", rows[i].name, pace.combined, pace.decided_by_statement);
      CU_ASSERT_DOUBLE_EQUAL (pace.combined, rows[i].combined, 0.01);
      CU_ASSERT_EQUAL (pace.decided_by_statement, rows[i].is_stated);
    }
}

/* Guards against peers that ask an endpoint which has told this instance already, normal or not. */
static void
test_statements_are_announced (void)
{
  static const double stated[] = { 1, 2.5 };

  for (guint i = 0; i < G_N_ELEMENTS (stated); i++)
    {
      Row row = { .stated = stated[i], .stated_age = KNL_SEC };
      PolPaceEstimate estimate;
      PolPace pace;

      pace_of (&row, &pace);
      CU_ASSERT_EQUAL (pol_pace_newest (&pace), NOW - KNL_SEC);
      CU_ASSERT_TRUE (pol_pace_own_report (&pace, NOW, &estimate));
      CU_ASSERT_DOUBLE_EQUAL (estimate.ratio, stated[i], 0.01);
      CU_ASSERT_TRUE (estimate.is_stated);
      CU_ASSERT_EQUAL (estimate.at, NOW - KNL_SEC);
      CU_ASSERT_TRUE (pol_pace_cell_report (&pace, NOW, &estimate));
      CU_ASSERT_DOUBLE_EQUAL (estimate.ratio, stated[i], 0.01);
      CU_ASSERT_TRUE (estimate.is_stated);
    }
}

/* Guards against an instance that announces what the endpoint states where its samples differ. */
static void
test_samples_are_announced_first (void)
{
  Row row = { .stated = 1, .sampled = 3, .n_samples = 10 };
  PolPaceEstimate estimate;
  PolPace pace;

  pace_of (&row, &pace);
  CU_ASSERT_TRUE (pol_pace_own_report (&pace, NOW, &estimate));
  CU_ASSERT_DOUBLE_EQUAL (estimate.ratio, 3, 0.01);
  CU_ASSERT_FALSE (estimate.is_stated);
}

/* Guards against an endpoint that stays slow after it states that it no longer is, and against one
 * that is trusted at once. */
static void
test_recovers_slowly (void)
{
  static const PolPaceReference reference = { .ratio = 1, .n = 8 };
  Row row = { .stated = 3 };
  PolPace pace;

  pace_of (&row, &pace);
  for (guint i = 1; i <= 20; i++)
    {
      KnlTime now = NOW + (KnlTime)i * KNL_SEC;

      pol_pace_add_statement (&pace, 1, now);
      pol_pace_update (&pace, &reference, now);
      if (i == 1)
        CU_ASSERT (pace.combined > 2);
    }
  CU_ASSERT (pace.combined < POL_PACE_MIN_SLOW);
}

static const SuiteCase cases[] = {
  { "statement and samples", test_statement_and_samples },
  { "statements are announced", test_statements_are_announced },
  { "samples are announced first", test_samples_are_announced_first },
  { "recovers slowly", test_recovers_slowly },
};

SUITE_MAIN ("pace_statement", cases)
