/** Reports of slow endpoints between instances and cells, the gauge, and a restart. */

#include <string.h>

#include "peers_fixture.h"
#include "serve/pace.h"
#include "suite.h"
#include "sv_fixture.h"

#define INSTANCES 6

/* More endpoints than fit into a datagram. */
#define MANY_ENDPOINTS 60
#define N_SLOW         25

/* Loads that a datagram of changes has space for. */
#define LOADS_PER_CHANGE 18

static const char *const zones[INSTANCES] = { "a", "a", "a", "b", "b", "b" };

static void
fixture_open (PeersFixture *self, guint n_endpoints)
{
  peers_fixture_open (self, zones, INSTANCES, n_endpoints);
  peers_fixture_connect (self);
}

static void
refresh_all (PeersFixture *self)
{
  for (guint i = 0; i < INSTANCES; i++)
    sv_pace_refresh (self->fleets[i], "s", knl_kernel_now (self->kernel));
}

static void
add_samples (PeersFixture *self, SvEndpoint *endpoint, double ratio)
{
  KnlTime now = knl_kernel_now (self->kernel);

  for (guint i = 10; i > 0; i--)
    pol_pace_add_sample (&endpoint->pace, ratio, now - (KnlTime)i * 50 * KNL_MSEC);
}

/* Adds samples of `ratio` at the endpoint, and normal ones at four others. */
static void
measure (PeersFixture *self, guint i, SvEndpoint *endpoint, double ratio)
{
  KnlTime now = knl_kernel_now (self->kernel);
  const GPtrArray *all = sv_fleet_service (self->fleets[i], "s");
  guint n_normal = 0;

  add_samples (self, endpoint, ratio);
  for (guint j = 0; j < all->len && n_normal < 4; j++)
    {
      SvEndpoint *other = g_ptr_array_index (all, j);

      if (other == endpoint)
        continue;
      add_samples (self, other, 1);
      n_normal++;
    }
  sv_pace_refresh (self->fleets[i], "s", now);
  if (sv_pace_mark_changed (endpoint, now))
    sv_peers_link (self->peers[i])->klass->load_changed (sv_peers_link (self->peers[i]));
}

static guint
count_slow (PeersFixture *self)
{
  guint n = 0;

  refresh_all (self);
  for (guint i = 0; i < INSTANCES; i++)
    n += peers_fixture_endpoint (self, i)->pace.factor > 1;
  return n;
}

/* Guards against each instance having to find out on its own that an endpoint is slow. */
static void
test_slow_endpoints_are_announced_to_all_cells (void)
{
  PeersFixture fixture;

  fixture_open (&fixture, 8);
  measure (&fixture, 1, peers_fixture_endpoint (&fixture, 1), 4);
  peers_fixture_advance (&fixture, 2 * PEERS_PROPAGATION_TIME + 60 * KNL_MSEC);
  CU_ASSERT_EQUAL (count_slow (&fixture), INSTANCES);
  CU_ASSERT_DOUBLE_EQUAL (peers_fixture_endpoint (&fixture, 4)->pace.factor, 4, 0.1);
  peers_fixture_close (&fixture);
}

/* Guards against instances that start, or lost a datagram, and never hear of a slow endpoint that
 * nobody sends anything to any more. */
static void
test_idle_slow_endpoints_are_announced (void)
{
  PeersFixture fixture;

  fixture_open (&fixture, 8);
  measure (&fixture, 1, peers_fixture_endpoint (&fixture, 1), 4);
  peers_fixture_advance (&fixture, 100 * KNL_MSEC);
  peers_fixture_stop (&fixture, 0);
  peers_fixture_advance (&fixture, 2 * KNL_SEC);
  fixture.incarnation++;
  peers_fixture_start (&fixture, 0);
  peers_fixture_discover (&fixture, 0, 1);
  peers_fixture_advance (&fixture, 2 * KNL_SEC);
  sv_pace_refresh (fixture.fleets[0], "s", knl_kernel_now (fixture.kernel));
  CU_ASSERT (peers_fixture_endpoint (&fixture, 0)->pace.factor > 2);
  /* After a while all trust it again. */
  peers_fixture_advance (&fixture, 40 * KNL_SEC);
  CU_ASSERT_EQUAL (count_slow (&fixture), 0);
  peers_fixture_close (&fixture);
}

/* Guards against datagrams that are too large, and so not sent, where many endpoints have both a
 * limit and a slowdown. */
static void
test_many_slow_endpoints_fit_into_datagrams (void)
{
  static const SvLoad load = { .calls = 3, .decoding_streams = { 1, 1, 1 }, .tokens = 900000 };
  PeersFixture fixture;
  const GPtrArray *all;
  guint n_slow = 0;

  fixture_open (&fixture, MANY_ENDPOINTS);
  all = sv_fleet_service (fixture.fleets[1], "s");
  for (guint i = 0; i < all->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (all, i);

      sv_endpoint_charge (endpoint, &load, 1);
      sv_endpoint_note_limit (endpoint, 2.5, knl_kernel_now (fixture.kernel));
      add_samples (&fixture, endpoint, i >= 10 && i < 10 + N_SLOW ? 9.87 : 1);
    }
  knl_paused_clock_advance (fixture.clock, 60 * KNL_MSEC);
  sv_pace_refresh (fixture.fleets[1], "s", knl_kernel_now (fixture.kernel));
  for (guint i = 0; i < all->len; i++)
    sv_pace_mark_changed (g_ptr_array_index (all, i), knl_kernel_now (fixture.kernel));
  sv_peers_link (fixture.peers[1])->klass->load_changed (sv_peers_link (fixture.peers[1]));
  peers_fixture_advance (&fixture, 300 * KNL_MSEC);
  refresh_all (&fixture);
  all = sv_fleet_service (fixture.fleets[5], "s");
  for (guint i = 0; i < all->len; i++)
    {
      const SvEndpoint *endpoint = g_ptr_array_index (all, i);

      CU_ASSERT_EQUAL (sv_endpoint_load (endpoint, knl_kernel_now (fixture.kernel)).calls, 3);
      n_slow += endpoint->pace.factor > 1;
    }
  CU_ASSERT_EQUAL (n_slow, N_SLOW);
  peers_fixture_close (&fixture);
}

/* Lets time pass until the last datagram of each kind has arrived, with samples of all endpoints at
 * instance 1, of which the first `n_slow` are slow. */
static void
measure_all (PeersFixture *self, guint n_slow, KnlTime time)
{
  const GPtrArray *all = sv_fleet_service (self->fleets[1], "s");

  for (KnlTime passed = 0; passed < time; passed += 500 * KNL_MSEC)
    {
      for (guint i = 0; i < all->len; i++)
        add_samples (self, g_ptr_array_index (all, i), i < n_slow ? 4 : 1);
      sv_pace_refresh (self->fleets[1], "s", knl_kernel_now (self->kernel));
      peers_fixture_advance (self, 500 * KNL_MSEC);
    }
}

/* Guards against loads that stay after a lost datagram for as long as one endpoint is slow: full
 * datagrams had no space left for the announcements of all others, and so didn't end any load. */
static void
test_lost_changes_are_repaired_while_endpoints_are_slow (void)
{
  PeersFixture fixture;

  fixture_open (&fixture, 60);
  peers_fixture_call (&fixture, 1, 3);
  measure_all (&fixture, 1, KNL_SEC);
  CU_ASSERT_EQUAL (peers_fixture_load (&fixture, 0).calls, 3);
  sv_endpoint_charge (peers_fixture_endpoint (&fixture, 1), &(SvLoad){ .calls = 3 }, -1);
  /* As if the datagram that announces the change had been lost. */
  peers_fixture_endpoint (&fixture, 1)->own_changed = FALSE;
  measure_all (&fixture, 1, 4 * KNL_SEC);
  CU_ASSERT_EQUAL (peers_fixture_load (&fixture, 0).calls, 0);
  peers_fixture_close (&fixture);
}

/* Guards against slow endpoints that full datagrams never announce since the first ones fill them.
 */
static void
test_all_paces_are_announced_in_turn (void)
{
  PeersFixture fixture;
  const GPtrArray *all;
  guint n_slow = 0;

  fixture_open (&fixture, MANY_ENDPOINTS);
  peers_fixture_stop (&fixture, 0);
  measure_all (&fixture, N_SLOW, KNL_SEC);
  fixture.incarnation++;
  peers_fixture_start (&fixture, 0);
  peers_fixture_discover (&fixture, 0, 1);
  measure_all (&fixture, N_SLOW, 8 * KNL_SEC);
  all = sv_fleet_service (fixture.fleets[0], "s");
  for (guint i = 0; i < all->len; i++)
    n_slow += ((SvEndpoint *)g_ptr_array_index (all, i))->pace.n_reports > 0;
  CU_ASSERT_EQUAL (n_slow, MANY_ENDPOINTS);
  peers_fixture_close (&fixture);
}

/* Guards against loads that are known later since the paces of their endpoints take their space. */
static void
test_paces_take_no_space_from_changed_loads (void)
{
  static const SvLoad load = { .calls = 1 };
  PeersFixture fixture;
  const GPtrArray *all;
  gint64 sent;

  fixture_open (&fixture, LOADS_PER_CHANGE);
  all = sv_fleet_service (fixture.fleets[1], "s");
  measure_all (&fixture, 3, KNL_SEC);
  for (guint i = 0; i < all->len; i++)
    sv_endpoint_charge (g_ptr_array_index (all, i), &load, 1);
  sent = (gint64)sv_peers_sent (fixture.peers[1]).datagrams;
  sv_peers_link (fixture.peers[1])->klass->load_changed (sv_peers_link (fixture.peers[1]));
  peers_fixture_advance (&fixture, 10 * KNL_MSEC);
  /* One to each of the two others in the cell. */
  CU_ASSERT_EQUAL ((gint64)sv_peers_sent (fixture.peers[1]).datagrams - sent, 2);
  CU_ASSERT_EQUAL (peers_fixture_load (&fixture, 0).calls, 1);
  peers_fixture_close (&fixture);
}

/* Guards against a restarted endpoint that counts as slow for what its earlier start did. */
static void
test_a_restart_resets_the_estimate (void)
{
  SvEndpointEntry entry = {
    .id = "i-0", .service = "s", .address = "127.0.0.1:9", .zone = "a", .slots = 8, .start = 7
  };
  PeersFixture fixture;

  fixture_open (&fixture, 1);
  peers_fixture_endpoint (&fixture, 0)->pace.factor = 4;
  sv_fleet_update (fixture.fleets[0], &entry);
  CU_ASSERT_EQUAL (peers_fixture_endpoint (&fixture, 0)->pace.factor, 1);
  CU_ASSERT_EQUAL (peers_fixture_endpoint (&fixture, 0)->pace.n_samples, 0);
  peers_fixture_close (&fixture);
}

/* Guards against an operator who can't see that endpoints count as slow. */
static void
test_slow_endpoints_are_counted (void)
{
  static const ScriptedAnswer good = { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood",
                                       FALSE };
  SvFixture fixture;
  SvEndpoint *endpoint;
  const char *line;
  GString *text;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  for (guint i = 0; i < 3; i++)
    sv_fixture_add_endpoint (&fixture, &good, 1);
  endpoint = g_ptr_array_index (sv_fleet_all (fixture.fleet), 0);
  endpoint->pace.combined = 4;
  endpoint->pace.combined_at = knl_kernel_now (fixture.kernel);
  sv_fixture_request (&fixture, "/again/1");
  sv_fixture_wait_for (&fixture, "good");
  text = cm_metrics_render (fixture.metrics);
  line = strstr (text->str, "alderturn_slow_endpoints{service=");
  CU_ASSERT_TRUE (line != NULL && strstr (line, "} 1\n") != NULL);
  g_string_free (text, TRUE);
  sv_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "slow endpoints are announced to all cells", test_slow_endpoints_are_announced_to_all_cells },
  { "idle slow endpoints are announced", test_idle_slow_endpoints_are_announced },
  { "many slow endpoints fit into datagrams", test_many_slow_endpoints_fit_into_datagrams },
  { "lost changes are repaired while endpoints are slow",
    test_lost_changes_are_repaired_while_endpoints_are_slow },
  { "all paces are announced in turn", test_all_paces_are_announced_in_turn },
  { "paces take no space from changed loads", test_paces_take_no_space_from_changed_loads },
  { "a restart resets the estimate", test_a_restart_resets_the_estimate },
  { "slow endpoints are counted", test_slow_endpoints_are_counted },
};

SUITE_MAIN ("sv_pace_peers", cases)
