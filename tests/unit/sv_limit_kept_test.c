/** Rate of the requests that one instance, or many, send to endpoints that advertise a limit. */

#include <string.h>

#include "common/log.h"
#include "peers_fixture.h"
#include "serve/router.h"
#include "suite.h"
#include "sv_fixture.h"

/* The limit that the endpoint advertises, in requests per second, and the maximum that it may get
 * in a span: 1.5 times the limit, plus 5. */
#define RATE         2.0
#define SPAN         (4 * KNL_SEC)
#define MAX_PER_SPAN ((guint)(1.5 * RATE * SPAN / KNL_SEC) + 5)

/* With fewer requests than this in a span, the endpoint's own capacity is idle although callers
 * want it. */
#define MIN_PER_SPAN ((guint)(0.5 * RATE * SPAN / KNL_SEC))

#define ANSWER(fields) "HTTP/1.1 200 OK\r\n" SIGNED fields "Content-Length: 4\r\n\r\ngood"

static const ScriptedAnswer good = { ANSWER (""), FALSE };
static const ScriptedAnswer limited = { ANSWER ("Server-Limit: 2.0\r\n"), FALSE };

/* Guards against an instance that reports a limit to its caller and goes on sending as before. */
static void
test_one_instance_keeps_a_limit (void)
{
  guint n = 0;
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  sv_fixture_add_endpoint (&fixture, &limited, 1);
  sv_fixture_add_endpoint (&fixture, &good, 1);
  for (KnlTime at = 0; at < SPAN; at += 100 * KNL_MSEC)
    {
      sv_fixture_request (&fixture, n++ % 2 == 0 ? "/again/1" : "/once/1");
      sv_fixture_wait_for (&fixture, "good");
      knl_paused_clock_advance (fixture.clock, 100 * KNL_MSEC);
      sv_core_confirm (fixture.core, knl_kernel_now (fixture.kernel));
    }
  CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), n);
  CU_ASSERT (scripted_endpoint_n_requests (fixture.endpoints[0]) <= MAX_PER_SPAN);
  CU_ASSERT (scripted_endpoint_n_requests (fixture.endpoints[0]) >= MIN_PER_SPAN);
  sv_fixture_close (&fixture);
}

#define INSTANCES 6

/* Interval of requests, each to the next instance, and the number of intervals that each takes at
 * its endpoint. */
#define CALL_INTERVAL (20 * KNL_MSEC)
#define CALL_STEPS    2

static const char *const zones[INSTANCES] = { "a", "a", "a", "b", "b", "b" };

typedef struct
{
  PeersFixture peers;
  SvConfig *config;
  GArray *arrivals;                /* KnlTime, at the endpoint that advertises a limit */
  SvEndpoint *running[CALL_STEPS]; /* endpoints of the newest requests; NULL: not placed */
  guint sender[CALL_STEPS];        /* the instance that sent each */
  guint n_calls;
} Cluster;

static void
cluster_open (Cluster *self, guint n_endpoints)
{
  *self = (Cluster){ .config = sv_config_new (1),
                     .arrivals = g_array_new (FALSE, FALSE, sizeof (KnlTime)) };
  sv_config_add_service (self->config, "s");
  peers_fixture_open (&self->peers, zones, INSTANCES, n_endpoints);
  peers_fixture_connect (&self->peers);
}

static void
cluster_close (Cluster *self)
{
  peers_fixture_close (&self->peers);
  sv_config_unref (self->config);
  g_array_unref (self->arrivals);
}

/* The endpoint answers instance `i` and advertises `rate`. */
static void
cluster_advertise_limit (Cluster *self, guint i, double rate)
{
  SvEndpoint *endpoint = peers_fixture_endpoint (&self->peers, i);

  sv_endpoint_note_limit (endpoint, rate, knl_kernel_now (self->peers.kernel));
  sv_peers_link (self->peers.peers[i])->klass->load_changed (sv_peers_link (self->peers.peers[i]));
}

static void
cluster_charge (Cluster *self, guint i, SvEndpoint *endpoint, gint sign)
{
  static const SvLoad load = { .calls = 1 };
  SvPeerLink *link = sv_peers_link (self->peers.peers[i]);

  sv_endpoint_charge (endpoint, &load, sign);
  link->klass->load_changed (link);
}

/* A request arrives at an instance; an earlier one has been answered. */
static void
cluster_call (Cluster *self)
{
  guint i = self->n_calls % INSTANCES;
  guint slot = self->n_calls++ % CALL_STEPS;
  KnlTime now = knl_kernel_now (self->peers.kernel);
  SvDemand demand = { .config = self->config,
                      .service = sv_config_service (self->config, "s"),
                      .zone = zones[i] };
  SvPlacement placement;

  if (self->running[slot] != NULL)
    cluster_charge (self, self->sender[slot], self->running[slot], -1);
  self->running[slot] = NULL;
  if (!sv_router_place (self->peers.fleets[i], &demand, now, &placement))
    return;
  cluster_charge (self, i, placement.first, 1);
  self->running[slot] = placement.first;
  self->sender[slot] = i;
  if (placement.first == peers_fixture_endpoint (&self->peers, i))
    g_array_append_val (self->arrivals, now);
}

static void
cluster_run (Cluster *self, KnlTime time)
{
  for (KnlTime passed = 0; passed < time; passed += CALL_INTERVAL)
    {
      cluster_call (self);
      peers_fixture_advance (&self->peers, CALL_INTERVAL);
    }
}

/* Arrivals in the span with the most of them. */
static guint
cluster_max_in_span (const Cluster *self)
{
  guint max_count = 0;
  guint from = 0;

  for (guint i = 0; i < self->arrivals->len; i++)
    {
      while (g_array_index (self->arrivals, KnlTime, i)
                 - g_array_index (self->arrivals, KnlTime, from)
             >= SPAN)
        from++;
      max_count = MAX (max_count, i - from + 1);
    }
  return max_count;
}

/* Guards against instances that each keep to the limit on their own, but exceed it together. */
static void
test_instances_keep_a_limit_together (void)
{
  Cluster cluster;

  cluster_open (&cluster, 3);
  cluster_advertise_limit (&cluster, 0, RATE);
  peers_fixture_advance (&cluster.peers, PEERS_PROPAGATION_TIME);
  cluster_run (&cluster, 3 * SPAN);
  CU_ASSERT (cluster_max_in_span (&cluster) <= MAX_PER_SPAN);
  CU_ASSERT (cluster.arrivals->len >= 3 * MIN_PER_SPAN);
  cluster_close (&cluster);
}

/* Guards against zones that are cut off from each other and use the whole limit each. */
static void
test_cut_off_zones_share_a_limit (void)
{
  Cluster cluster;

  cluster_open (&cluster, 3);
  cluster_advertise_limit (&cluster, 0, RATE);
  peers_fixture_advance (&cluster.peers, PEERS_PROPAGATION_TIME);
  /* Datagrams of the other zone's instances are no longer delivered. */
  for (guint i = 0; i < INSTANCES / 2; i++)
    peers_fixture_stop (&cluster.peers, i);
  peers_fixture_advance (&cluster.peers, 6 * PEERS_HEARTBEAT_INTERVAL);
  cluster.arrivals = g_array_set_size (cluster.arrivals, 0);
  for (KnlTime passed = 0; passed < 2 * SPAN; passed += CALL_INTERVAL)
    {
      cluster.n_calls = INSTANCES / 2 + cluster.n_calls % (INSTANCES / 2);
      cluster_call (&cluster);
      peers_fixture_advance (&cluster.peers, CALL_INTERVAL);
    }
  CU_ASSERT (cluster_max_in_span (&cluster) <= MAX_PER_SPAN / 2);
  CU_ASSERT (cluster.arrivals->len > 0);
  cluster_close (&cluster);
}

/* Guards against a limit that stays in use at instances that didn't receive its end. */
static void
test_the_end_of_a_limit_is_announced (void)
{
  Cluster cluster;

  cluster_open (&cluster, 3);
  cluster_advertise_limit (&cluster, 0, RATE);
  cluster_run (&cluster, SPAN);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (peers_fixture_endpoint (&cluster.peers, i)->limit.rate, RATE);
  cluster_advertise_limit (&cluster, 4, POL_NO_LIMIT);
  peers_fixture_advance (&cluster.peers, 2 * PEERS_PROPAGATION_TIME);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_FALSE (pol_limit_is_advertised (&peers_fixture_endpoint (&cluster.peers, i)->limit));
  cluster_close (&cluster);
}

/* Guards against counts of sent requests that stay wrong after an instance that holds them is
 * restarted. */
static void
test_a_limit_outlives_restarts (void)
{
  Cluster cluster;

  cluster_open (&cluster, 3);
  cluster_advertise_limit (&cluster, 0, RATE);
  for (guint i = 0; i < INSTANCES; i++)
    {
      cluster_run (&cluster, SPAN / 4);
      memset (cluster.running, 0, sizeof cluster.running);
      peers_fixture_stop (&cluster.peers, i);
      peers_fixture_start (&cluster.peers, i);
      for (guint j = 0; j < INSTANCES; j++)
        {
          if (j != i)
            peers_fixture_discover (&cluster.peers, i, j);
        }
      peers_fixture_advance (&cluster.peers, 2 * PEERS_HEARTBEAT_INTERVAL);
    }
  CU_ASSERT (cluster_max_in_span (&cluster) <= MAX_PER_SPAN);
  cluster.arrivals = g_array_set_size (cluster.arrivals, 0);
  cluster_run (&cluster, 2 * SPAN);
  CU_ASSERT (cluster_max_in_span (&cluster) <= MAX_PER_SPAN);
  CU_ASSERT (cluster.arrivals->len >= 2 * MIN_PER_SPAN);
  cluster_close (&cluster);
}

/* Guards against datagrams that grow for endpoints that never advertised a limit. */
static void
test_an_absent_limit_is_not_announced (void)
{
  Cluster cluster;
  SvEndpoint *endpoint;
  KnlTime now;

  cluster_open (&cluster, 3);
  cluster_advertise_limit (&cluster, 0, POL_NO_LIMIT);
  endpoint = peers_fixture_endpoint (&cluster.peers, 0);
  now = knl_kernel_now (cluster.peers.kernel);
  CU_ASSERT_FALSE (sv_endpoint_announces_limit (endpoint, now));
  cluster_advertise_limit (&cluster, 0, RATE);
  CU_ASSERT_TRUE (sv_endpoint_announces_limit (endpoint, now));
  cluster_advertise_limit (&cluster, 0, POL_NO_LIMIT);
  CU_ASSERT_TRUE (sv_endpoint_announces_limit (endpoint, now));
  CU_ASSERT_FALSE (sv_endpoint_announces_limit (endpoint, now + 10 * KNL_SEC));
  cluster_close (&cluster);
}

static void
on_line (const char *line, gpointer data)
{
  *(guint *)data += strstr (line, "datagram-too-large") != NULL;
}

/* Guards against datagrams that aren't sent because limits make them too large. */
static void
test_many_limits_fit_into_datagrams (void)
{
  static const guint max_count = 1 << 21;
  const SvLoad load = { .calls = max_count,
                        .decoding_streams = { max_count, max_count, max_count },
                        .tokens = 1ULL << 40 };
  guint n_too_large = 0;
  Cluster cluster;
  SvPeerLink *link;

  cluster_open (&cluster, 40);
  cm_log_set_sink (on_line, &n_too_large);
  link = sv_peers_link (cluster.peers.peers[0]);
  for (guint i = 0; i < 40; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (sv_fleet_all (cluster.peers.fleets[0]), i);

      endpoint->signs.heard_at = endpoint->signs.proven_at = 1;
      sv_endpoint_note_limit (endpoint, RATE, 1);
      endpoint->limit.advertised_at = -G_MAXINT32 * KNL_MSEC;
      endpoint->sent = G_MAXUINT32 / 2;
      sv_endpoint_charge (endpoint, &load, 1);
      for (guint j = 0; j < 3; j++)
        {
          SvCrash crash = { i, j, knl_kernel_now (cluster.peers.kernel) };

          sv_crashes_note_loss (cluster.peers.crashes[0], &crash, SV_CRASH_OWN);
        }
    }
  link->klass->load_changed (link);
  peers_fixture_advance (&cluster.peers, 4 * PEERS_HEARTBEAT_INTERVAL + PEERS_PROPAGATION_TIME);
  cm_log_set_sink (NULL, NULL);
  CU_ASSERT_EQUAL (n_too_large, 0);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (peers_fixture_load (&cluster.peers, i).calls, max_count);
  cluster_close (&cluster);
}

/* Instances that share one endpoint and receive each other's counts of sent requests with a delay.
 */
#define HERD       200
#define HERD_DELAY (100 * KNL_MSEC)
#define HERD_STEP  (5 * KNL_MSEC)
#define HERD_STEPS ((guint)(3 * SPAN / HERD_STEP))

typedef struct
{
  SvFleet *fleets[HERD];
  guint senders[HERD_STEPS]; /* 1 + the instance that sent in that step; 0: none */
} Herd;

static SvEndpoint *
herd_endpoint (const Herd *self, guint i)
{
  return g_ptr_array_index (sv_fleet_all (self->fleets[i]), 0);
}

static void
herd_open (Herd *self, KnlKernel *kernel)
{
  SvEndpointEntry entry = {
    .id = "i", .service = "s", .address = "127.0.0.1:9", .zone = "a", .slots = 8
  };

  memset (self, 0, sizeof *self);
  for (guint i = 0; i < HERD; i++)
    {
      self->fleets[i] = sv_fleet_new (kernel, KNL_SEC);
      sv_fleet_set_instances (self->fleets[i], HERD, HERD);
      sv_fleet_update (self->fleets[i], &entry);
      sv_endpoint_note_limit (herd_endpoint (self, i), RATE, knl_kernel_now (kernel));
    }
}

/* Reports to all others what was sent HERD_DELAY ago. */
static void
herd_report (Herd *self, guint step)
{
  guint sender;
  SvReportedSends reported;

  if (step < HERD_DELAY / HERD_STEP)
    return;
  sender = self->senders[step - HERD_DELAY / HERD_STEP];
  if (sender == 0)
    return;
  reported = (SvReportedSends){ .source = sender, .reporter = sender };
  for (guint i = 0; i <= step - HERD_DELAY / HERD_STEP; i++)
    reported.sent += self->senders[i] == sender;
  for (guint i = 0; i < HERD; i++)
    {
      if (i + 1 != sender)
        sv_endpoint_note_reported_sends (herd_endpoint (self, i), &reported);
    }
}

static guint
herd_max_in_span (const Herd *self)
{
  guint max_count = 0;
  guint n = 0;

  for (guint i = 0; i < HERD_STEPS; i++)
    {
      n += self->senders[i] != 0;
      if (i >= SPAN / HERD_STEP)
        n -= self->senders[i - SPAN / HERD_STEP] != 0;
      max_count = MAX (max_count, n);
    }
  return max_count;
}

/* Guards against many instances that all use the same newly available allowance. */
static void
test_a_herd_keeps_a_limit (void)
{
  static const SvLoad load = { .calls = 1 };
  KnlPausedClock *clock = knl_paused_clock_new ();
  KnlKernel *kernel = knl_kernel_new (knl_paused_clock_runtime (clock), 5);
  g_autofree Herd *herd = g_new (Herd, 1);
  guint sent = 0;

  herd_open (herd, kernel);
  for (guint step = 0; step < HERD_STEPS; step++)
    {
      guint i = (guint)g_rand_int_range (knl_kernel_rand (kernel), 0, HERD);
      SvEndpoint *endpoint = herd_endpoint (herd, i);

      herd_report (herd, step);
      if (sv_endpoint_wait_time (herd->fleets[i], endpoint, knl_kernel_now (kernel)) == 0)
        {
          sv_endpoint_charge (endpoint, &load, 1);
          herd->senders[step] = i + 1;
          sent++;
        }
      knl_paused_clock_advance (clock, HERD_STEP);
    }
  CU_ASSERT (herd_max_in_span (herd) <= MAX_PER_SPAN);
  CU_ASSERT (sent >= 3 * MIN_PER_SPAN);
  for (guint i = 0; i < HERD; i++)
    sv_fleet_free (herd->fleets[i]);
  knl_kernel_free (kernel);
  knl_paused_clock_free (clock);
}

static const SuiteCase cases[] = {
  { "one instance keeps a limit", test_one_instance_keeps_a_limit },
  { "instances keep a limit together", test_instances_keep_a_limit_together },
  { "cut-off zones share a limit", test_cut_off_zones_share_a_limit },
  { "the end of a limit is announced", test_the_end_of_a_limit_is_announced },
  { "a limit outlives restarts", test_a_limit_outlives_restarts },
  { "an absent limit is not announced", test_an_absent_limit_is_not_announced },
  { "a herd keeps a limit", test_a_herd_keeps_a_limit },
  { "many limits fit into datagrams", test_many_limits_fit_into_datagrams },
};

SUITE_MAIN ("sv_limit_kept", cases)
