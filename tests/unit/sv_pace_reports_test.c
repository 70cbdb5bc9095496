/** Which endpoints are asked how slow they are, and how often. */

#include <string.h>

#include "serve/cold.h"
#include "serve/pace_reports.h"
#include "suite.h"
#include "sv_fixture.h"

#define MANY_ENDPOINTS   40
#define CALLS_PER_SECOND 17

typedef struct
{
  const char *name;
  KnlTime expected;
  KnlTime waited;
  guint n_helpers;
  gboolean is_late;
} LateRow;

/* Guards against calls because of prompts that are on time, or not split. */
static const LateRow late_rows[] = {
  { "on time", 400 * KNL_MSEC, 400 * KNL_MSEC, 3, FALSE },
  { "early", 400 * KNL_MSEC, 100 * KNL_MSEC, 3, FALSE },
  { "below the factor", 400 * KNL_MSEC, 599 * KNL_MSEC, 3, FALSE },
  { "late", 400 * KNL_MSEC, 600 * KNL_MSEC, 3, TRUE },
  { "short, late by less than 100 ms", 50 * KNL_MSEC, 149 * KNL_MSEC, 3, FALSE },
  { "short, late by 100 ms", 50 * KNL_MSEC, 150 * KNL_MSEC, 3, TRUE },
  { "late, not split", 400 * KNL_MSEC, 2 * KNL_SEC, 0, FALSE },
};

static void
test_is_late (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (late_rows); i++)
    {
      const LateRow *row = &late_rows[i];
      SvPlacement placement = { .expected = row->expected, .n_helpers = row->n_helpers };
      gboolean is_late = sv_pace_reports_is_late (&placement, row->waited);

      if (is_late != row->is_late)
        printf ("\n  %s", row->name);
      CU_ASSERT_EQUAL (is_late, row->is_late);
    }
}

/* What is known of an endpoint; ages are 0 where there is none. */
typedef struct
{
  const char *name;
  KnlTime stated_age;
  KnlTime reported_age; /* of a peer's estimate */
  KnlTime asked_age;
  gboolean is_asked;
  gboolean is_slow;
  gboolean is_evacuated;
  gboolean is_leaving;
  gboolean is_cold;
  gboolean is_limited;
  gboolean is_resting; /* it has asked for a pause */
  gboolean is_lost;    /* requests there were lost */
  gboolean if_late;    /* due because of a late prompt */
  gboolean if_slow;    /* due because some endpoint is slow */
} DueRow;

/* Guards against calls whose answer is known already, and against calls to endpoints that nothing
 * may be sent to. */
static const DueRow due_rows[] = {
  { "nothing known", .if_late = TRUE, .if_slow = TRUE },
  { "stated recently", .stated_age = KNL_SEC },
  { "stated 4 s ago", .stated_age = 4 * KNL_SEC },
  { "stated more than 4 s ago", .stated_age = 4001 * KNL_MSEC, .if_late = TRUE },
  { "stated more than 10 s ago", .stated_age = 10001 * KNL_MSEC, .if_late = TRUE, .if_slow = TRUE },
  { "reported by a peer", .reported_age = KNL_SEC },
  { "reported long ago", .reported_age = 11 * KNL_SEC, .if_late = TRUE, .if_slow = TRUE },
  { "slow, stated 2 s ago", .stated_age = 2 * KNL_SEC, .is_slow = TRUE },
  { "slow, stated more than 2 s ago", .stated_age = 2001 * KNL_MSEC, .is_slow = TRUE,
    .if_slow = TRUE },
  { "asked", .asked_age = 5 * KNL_SEC, .is_asked = TRUE },
  { "asked less than 2 s ago", .asked_age = 1999 * KNL_MSEC },
  { "asked 2 s ago", .asked_age = 2 * KNL_SEC, .if_late = TRUE, .if_slow = TRUE },
  { "evacuated", .is_evacuated = TRUE },
  { "leaving", .is_leaving = TRUE },
  { "cold", .is_cold = TRUE },
  { "with a limit", .is_limited = TRUE },
  { "asked for a pause", .is_resting = TRUE },
  { "lost", .is_lost = TRUE },
};

static void
apply_pace (const DueRow *row, SvEndpoint *endpoint, KnlTime now)
{
  PolPaceReport report = {
    .source = 1, .estimate = { .ratio = 1, .samples = 8, .at = now - row->reported_age }
  };

  if (row->stated_age > 0)
    pol_pace_add_statement (&endpoint->pace, 1, now - row->stated_age);
  if (row->reported_age > 0)
    pol_pace_add_report (&endpoint->pace, &report, now);
  if (row->is_slow)
    endpoint->pace.factor = 2;
  if (row->asked_age > 0)
    endpoint->pace_asked_at = now - row->asked_age;
  endpoint->is_pace_asked = row->is_asked;
}

static void
apply_state (const DueRow *row, SvEndpoint *endpoint, KnlTime now)
{
  endpoint->is_evacuated = row->is_evacuated;
  if (row->is_leaving)
    sv_endpoint_begin_leaving (endpoint, now);
  if (row->is_cold)
    sv_endpoint_note_cold_answer (endpoint, KNL_SEC, now);
  if (row->is_limited)
    sv_endpoint_note_limit (endpoint, 5, now);
  if (row->is_resting)
    endpoint->retry_after_until = now + KNL_SEC;
  for (guint i = 0; row->is_lost && i < 5; i++)
    sv_endpoint_note_loss (endpoint, now);
}

static SvEndpoint *
add_silent_endpoint (SvFixture *fixture, guint i)
{
  g_autofree char *id = g_strdup_printf ("silent-%u", i);
  SvEndpointEntry entry = {
    .id = id, .service = "s", .address = "127.0.0.1:1", .zone = "a", .slots = 4
  };
  const GPtrArray *all = sv_fleet_all (fixture->fleet);

  sv_fleet_update (fixture->fleet, &entry);
  for (guint j = 0; j < all->len; j++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (all, j);

      if (strcmp (endpoint->id, id) == 0)
        return endpoint;
    }
  return NULL;
}

static void
use_cold_service (SvFixture *fixture)
{
  g_autoptr (SvConfig) config = sv_config_new (1);

  sv_config_add_service (config, "s")->cold = (SvColdSpec){ .duration = KNL_SEC, .rate = 17 };
  sv_fleet_set_cold_config (fixture->fleet, config);
}

static void
test_is_due (void)
{
  SvFixture fixture;
  KnlTime now;

  sv_fixture_open (&fixture);
  use_cold_service (&fixture);
  now = knl_kernel_now (fixture.kernel);
  for (guint i = 0; i < G_N_ELEMENTS (due_rows); i++)
    {
      const DueRow *row = &due_rows[i];
      SvEndpoint *endpoint = add_silent_endpoint (&fixture, i);
      gboolean if_late;
      gboolean if_slow;

      apply_pace (row, endpoint, now);
      apply_state (row, endpoint, now);
      if_late = sv_pace_reports_is_due (endpoint, SV_PACE_LATE_PROMPT, now);
      if_slow = sv_pace_reports_is_due (endpoint, SV_PACE_SLOW_PEERS, now);
      if (if_late != row->if_late || if_slow != row->if_slow)
        printf ("\n  %s: %d, %d", row->name, if_late, if_slow);
      CU_ASSERT_EQUAL (if_late, row->if_late);
      CU_ASSERT_EQUAL (if_slow, row->if_slow);
    }
  sv_fixture_close (&fixture);
}

static const struct
{
  const char *body;
  double slowdown; /* 0: none */
} bodies[] = {
  { "{\"pace\": 2.5}", 2.5 },
  { "{\"pace\": 3, \"slots\": 16}", 3 },
  { "{\"pace\": 1}", 1 },
  { "{\"pace\": 0}", 1 },
  { "{\"pace\": 0.3}", 1 },
  { "{\"pace\": 11}", 10 },
  { "{\"pace\": 1e300}", 10 },
  { "{\"pace\": -1}", 0 },
  { "{\"pace\": 1e999}", 0 },
  { "{\"pace\": NaN}", 0 },
  { "{\"pace\": null}", 0 },
  { "{\"pace\": \"2.5\"}", 0 },
  { "{\"pace\": [2.5]}", 0 },
  { "{\"slots\": 16}", 0 },
  { "[2.5]", 0 },
  { "2.5", 0 },
  { "{\"pace\": 2.5", 0 },
  { "", 0 },
};

/* Guards against bodies without a usable number that count as one. */
static void
test_reads_bodies (void)
{
  SvFixture fixture;
  SvDialect *dialect;

  sv_fixture_open (&fixture);
  dialect = fixture.dialect;
  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      double slowdown = 0;
      gboolean is_read =
          dialect->klass->read_pace (dialect, bodies[i].body, strlen (bodies[i].body), &slowdown);

      if (is_read != (bodies[i].slowdown > 0))
        printf ("\n  %s: %d", bodies[i].body, is_read);
      CU_ASSERT_EQUAL (is_read, bodies[i].slowdown > 0);
      CU_ASSERT_DOUBLE_EQUAL (slowdown, bodies[i].slowdown, 1e-9);
    }
  sv_fixture_close (&fixture);
}

static guint n_instances;

static void
link_load_changed (SvPeerLink *link)
{
}

static guint
link_n_instances (const SvPeerLink *link)
{
  return n_instances;
}

static gboolean
link_is_elected (const SvPeerLink *link, guint64 seed)
{
  return FALSE;
}

static const SvPeerLinkClass link_class = {
  .load_changed = link_load_changed,
  .n_instances = link_n_instances,
  .is_elected = link_is_elected,
};

static SvPeerLink peer_link = { &link_class };

static guint
count_asked (const SvFixture *fixture)
{
  const GPtrArray *all = sv_fleet_all (fixture->fleet);
  guint n = 0;

  for (guint i = 0; i < all->len; i++)
    n += ((SvEndpoint *)g_ptr_array_index (all, i))->is_pace_asked;
  return n;
}

/* Number of endpoints that one of `instances` instances asks in one check, of MANY_ENDPOINTS that
 * nobody knows. */
static guint
asked_in_check (guint instances, guint n_checks)
{
  SvFixture fixture;
  SvPaceReports *reports;
  CmMetrics *metrics;
  SvMeters *meters;
  guint n;

  n_instances = instances;
  sv_fixture_open (&fixture);
  metrics = cm_metrics_new ();
  meters = sv_meters_new (metrics);
  for (guint i = 0; i < MANY_ENDPOINTS; i++)
    add_silent_endpoint (&fixture, i);
  reports = sv_pace_reports_new (&(SvPaceReportsParts){
      .kernel = fixture.kernel,
      .client = fixture.client,
      .dialect = fixture.dialect,
      .fleet = fixture.fleet,
      .link = &peer_link,
      .meters = meters,
  });
  for (guint i = 0; i < n_checks; i++)
    sv_pace_reports_check (reports, "s");
  n = count_asked (&fixture);
  sv_pace_reports_free (reports);
  CU_ASSERT_EQUAL (count_asked (&fixture), 0);
  sv_meters_free (meters);
  cm_metrics_free (metrics);
  sv_fixture_close (&fixture);
  return n;
}

/* Guards against more calls of an instance than its bound allows in a second. */
static void
test_calls_are_bounded (void)
{
  CU_ASSERT_EQUAL (asked_in_check (1, 1), CALLS_PER_SECOND);
}

/* Guards against each instance asking each endpoint, and against checks at each request. */
static void
test_instances_share_the_calls (void)
{
  guint n = asked_in_check (20, 1);

  CU_ASSERT (n >= 1 && n <= 6);
  CU_ASSERT_EQUAL (asked_in_check (20, 100), n);
}

static const SuiteCase cases[] = {
  { "is late", test_is_late },
  { "is due", test_is_due },
  { "reads bodies", test_reads_bodies },
  { "calls are bounded", test_calls_are_bounded },
  { "instances share the calls", test_instances_share_the_calls },
};

SUITE_MAIN ("sv_pace_reports", cases)
