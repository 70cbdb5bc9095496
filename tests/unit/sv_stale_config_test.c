/** Instances that know of a newer configuration but don't have it. */

#include <string.h>

#include "serve/pending_configs.h"
#include "suite.h"
#include "sv_fixture.h"

/* The fixture's bound is 1,250 ms, of which half is used here. */
#define WITHIN_BOUND (600 * KNL_MSEC)
#define PAST_BOUND   (640 * KNL_MSEC)

static const ScriptedAnswer good = { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood",
                                     FALSE };

static KnlTime
since (gpointer data)
{
  return *(const KnlTime *)data;
}

/* Guards against callers that are served by a route or key that was replaced longer ago than the
 * bound. */
static void
test_a_stale_instance_refuses_callers (void)
{
  static const struct
  {
    KnlTime age; /* of the first report of a newer one; KNL_NEVER: there was none */
    const char *path;
    const char *wanted;
    gboolean is_ready;
  } rows[] = {
    { KNL_NEVER, "/once/1", "good", TRUE },
    { WITHIN_BOUND, "/once/1", "good", TRUE },
    { PAST_BOUND, "/once/1", "HTTP/1.1 503", FALSE },
    { PAST_BOUND, "/stream/1", "HTTP/1.1 503", FALSE },
    { PAST_BOUND, "/none/1", "HTTP/1.1 503", FALSE },
    { WITHIN_BOUND, "/none/1", "HTTP/1.1 404", TRUE },
    { PAST_BOUND, "/once/1", "\r\nRetry-After: ", FALSE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      SvFixture fixture;
      KnlTime reported_at = KNL_NEVER;

      sv_fixture_open (&fixture);
      sv_fixture_use_config (&fixture, 1, "key");
      sv_fixture_add_endpoint (&fixture, &good, 1);
      sv_core_set_stale_since (fixture.core, since, &reported_at);
      if (rows[i].age != KNL_NEVER)
        reported_at = knl_kernel_now (fixture.kernel) - rows[i].age;
      CU_ASSERT_EQUAL (sv_core_is_ready (fixture.core), rows[i].is_ready);
      sv_fixture_request (&fixture, rows[i].path);
      sv_fixture_wait_for (&fixture, rows[i].wanted);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, rows[i].wanted));
      CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), strcmp (rows[i].wanted, "good") == 0);
      sv_fixture_close (&fixture);
    }
}

typedef struct
{
  KnlTime at;
  guint64 version;
} Report;

/* Guards against an instance that is always one version behind and counts its staleness from the
 * newest version only. */
static void
test_staleness_counts_from_the_first_report (void)
{
  static const struct
  {
    Report reports[4]; /* reports by peers */
    guint64 own;
    KnlTime now;
    KnlTime since;
  } rows[] = {
    { { { 0 } }, 7, 9 * KNL_SEC, KNL_NEVER },
    { { { 2 * KNL_SEC, 6 }, { 3 * KNL_SEC, 7 } }, 7, 9 * KNL_SEC, KNL_NEVER },
    { { { 2 * KNL_SEC, 8 } }, 7, 9 * KNL_SEC, 2 * KNL_SEC },
    { { { 2 * KNL_SEC, 8 }, { 3 * KNL_SEC, 8 } }, 7, 9 * KNL_SEC, 2 * KNL_SEC },
    { { { 2 * KNL_SEC, 8 }, { 3 * KNL_SEC, 9 }, { 4 * KNL_SEC, 8 } }, 7, 9 * KNL_SEC, 2 * KNL_SEC },
    { { { 2 * KNL_SEC, 8 }, { 3 * KNL_SEC, 9 } }, 8, 9 * KNL_SEC, 3 * KNL_SEC },
    { { { 2 * KNL_SEC, 8 }, { 3 * KNL_SEC, 9 } }, 9, 9 * KNL_SEC, KNL_NEVER },
    { { { 2 * KNL_SEC, 8 } }, 7, 40 * KNL_SEC, KNL_NEVER },
    { { { 2 * KNL_SEC, 8 }, { 35 * KNL_SEC, 8 } }, 7, 40 * KNL_SEC, 35 * KNL_SEC },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      SvPendingConfigs pending_configs = { 0 };

      for (guint j = 0; j < G_N_ELEMENTS (rows[i].reports) && rows[i].reports[j].version > 0; j++)
        sv_pending_configs_note (&pending_configs, rows[i].own, rows[i].reports[j].version,
                                 rows[i].reports[j].at);
      CU_ASSERT_EQUAL (sv_pending_configs_since (&pending_configs, rows[i].own, rows[i].now),
                       rows[i].since);
    }
}

/* Guards against a sequence of configurations that is longer than the number of rows kept. */
static void
test_a_long_sequence_counts_from_its_first (void)
{
  SvPendingConfigs pending_configs = { 0 };
  guint64 last = 3 * (guint64)SV_PENDING_CONFIGS_MAX;

  for (guint64 version = 1; version <= last; version++)
    sv_pending_configs_note (&pending_configs, 0, version, (KnlTime)version * KNL_MSEC);
  CU_ASSERT_EQUAL (sv_pending_configs_since (&pending_configs, 0, KNL_SEC), KNL_MSEC);
  CU_ASSERT_EQUAL (sv_pending_configs_since (&pending_configs, 5, KNL_SEC), 6 * KNL_MSEC);
  CU_ASSERT (sv_pending_configs_since (&pending_configs, last - 1, KNL_SEC)
             <= (KnlTime)last * KNL_MSEC);
  CU_ASSERT_EQUAL (sv_pending_configs_since (&pending_configs, last, KNL_SEC), KNL_NEVER);
}

static const SuiteCase cases[] = {
  { "a stale instance refuses callers", test_a_stale_instance_refuses_callers },
  { "staleness counts from the first report", test_staleness_counts_from_the_first_report },
  { "a long sequence counts from its first", test_a_long_sequence_counts_from_its_first },
};

SUITE_MAIN ("sv_outdated", cases)
