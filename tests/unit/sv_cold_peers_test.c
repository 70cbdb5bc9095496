/** Cold endpoints, and instances that know each other only from datagrams. */

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "peers_fixture.h"
#include "suite.h"
#include "wire/datagram.pb-c.h"

#define INSTANCES 8
#define ENDPOINTS 6

#define RATE      17.0
#define BOUND     (1.5 * RATE + 5)
#define STEP      (2 * KNL_MSEC)
#define COLD_TIME (3 * KNL_SEC)

static const char *const zones[INSTANCES] = { "a", "a", "a", "a", "b", "b", "b", "c" };

typedef struct
{
  PeersFixture peers;
  SvConfig *config;
  GArray *sends[ENDPOINTS]; /* KnlTime */
} Cluster;

static void
set_rules (Cluster *self, guint i)
{
  static const SvBounds bounds = { .cold_overage = 1.5, .cold_slack = 5 };

  sv_fleet_set_cold_bounds (self->peers.fleets[i], &bounds);
  sv_fleet_set_cold_config (self->peers.fleets[i], self->config);
}

/* Each has read how many instances there are. */
static void
note_counted (Cluster *self, guint n)
{
  for (guint i = 0; i < n; i++)
    sv_peers_note_counted (self->peers.peers[i]);
}

static void
cluster_open (Cluster *self)
{
  *self = (Cluster){ .config = sv_config_new (1) };
  sv_config_add_service (self->config, "s")->cold =
      (SvColdSpec){ .duration = COLD_TIME, .rate = RATE };
  peers_fixture_open (&self->peers, zones, INSTANCES, ENDPOINTS);
  note_counted (self, INSTANCES);
  peers_fixture_connect (&self->peers);
  peers_fixture_advance (&self->peers, 3 * PEERS_HEARTBEAT_INTERVAL);
  for (guint i = 0; i < ENDPOINTS; i++)
    self->sends[i] = g_array_new (FALSE, FALSE, sizeof (KnlTime));
  for (guint i = 0; i < INSTANCES; i++)
    set_rules (self, i);
}

static void
cluster_close (Cluster *self)
{
  for (guint i = 0; i < ENDPOINTS; i++)
    g_array_unref (self->sends[i]);
  peers_fixture_close (&self->peers);
  sv_config_unref (self->config);
}

static SvEndpoint *
endpoint_at (Cluster *self, guint instance, guint endpoint)
{
  g_autofree char *id = g_strdup_printf ("i-%u", endpoint);
  const GPtrArray *all = sv_fleet_all (self->peers.fleets[instance]);
  guint i = 0;

  while (g_strcmp0 (((SvEndpoint *)g_ptr_array_index (all, i))->id, id) != 0)
    i++;
  return g_ptr_array_index (all, i);
}

/* The instance learns from the endpoints' rows that they are cold. */
static void
learn_cold (Cluster *self, guint i)
{
  KnlTime now = knl_kernel_now (self->peers.kernel);

  for (guint j = 0; j < ENDPOINTS; j++)
    sv_endpoint_note_cold_row (endpoint_at (self, i, j), 9 * KNL_SEC, (SvPosition){ 1, 7 }, 0, now);
}

static void
send_if_allowed (Cluster *self, guint i, guint j)
{
  static const SvLoad one = { .calls = 1 };
  KnlTime now = knl_kernel_now (self->peers.kernel);
  SvEndpoint *endpoint = endpoint_at (self, i, j);

  while (sv_endpoint_wait_time (self->peers.fleets[i], endpoint, now) <= 0)
    {
      sv_endpoint_charge (endpoint, &one, 1);
      g_array_append_val (self->sends[j], now);
    }
}

/* Every instance has more requests than it may send. */
static void
run (Cluster *self, KnlTime time)
{
  for (KnlTime passed = 0; passed < time; passed += STEP)
    {
      for (guint i = 0; i < INSTANCES; i++)
        for (guint j = 0; self->peers.peers[i] != NULL && j < ENDPOINTS; j++)
          send_if_allowed (self, i, j);
      peers_fixture_advance (&self->peers, STEP);
    }
}

static guint
max_in_second (const GArray *sends)
{
  guint max_count = 0;
  guint first = 0;

  for (guint i = 0; i < sends->len; i++)
    {
      while (g_array_index (sends, KnlTime, i) - g_array_index (sends, KnlTime, first) >= KNL_SEC)
        first++;
      max_count = MAX (max_count, i + 1 - first);
    }
  return max_count;
}

static void
check_sends (const Cluster *self, double max_in_any_second, guint min_count)
{
  for (guint j = 0; j < ENDPOINTS; j++)
    {
      CU_ASSERT (max_in_second (self->sends[j]) <= max_in_any_second);
      CU_ASSERT (self->sends[j]->len >= min_count);
    }
}

static guint
count_senders (Cluster *self, guint endpoint)
{
  guint n = 0;

  for (guint i = 0; i < INSTANCES; i++)
    n += self->peers.peers[i] != NULL
         && endpoint_at (self, i, endpoint)->cold.bucket.share.is_sender;
  return n;
}

/* Guards against instances that all send at once when a zone's endpoints come back cold, and
 * against senders that not all instances agree on. */
static void
test_all_learn_at_once (void)
{
  Cluster cluster;

  cluster_open (&cluster);
  for (guint i = 0; i < INSTANCES; i++)
    learn_cold (&cluster, i);
  for (guint j = 0; j < ENDPOINTS; j++)
    {
      CU_ASSERT_EQUAL (count_senders (&cluster, j), 6);
      for (guint i = 0; i < INSTANCES; i++)
        CU_ASSERT_EQUAL (endpoint_at (&cluster, i, j)->cold.bucket.share.n_senders, 6);
    }
  run (&cluster, COLD_TIME);
  check_sends (&cluster, BOUND, (guint)(0.9 * RATE * COLD_TIME / KNL_SEC));
  cluster_close (&cluster);
}

/* Guards against cells that are cut off from each other and each send the whole rate. */
static void
test_partition (void)
{
  Cluster cluster;

  cluster_open (&cluster);
  for (guint i = 0; i < INSTANCES; i++)
    learn_cold (&cluster, i);
  run (&cluster, 500 * KNL_MSEC);
  /* Datagrams of the other zones' instances are no longer delivered. */
  for (guint i = 4; i < INSTANCES; i++)
    peers_fixture_stop (&cluster.peers, i);
  /* Another cell counts as silent after 2 s. */
  run (&cluster, 8 * PEERS_HEARTBEAT_INTERVAL);
  for (guint j = 0; j < ENDPOINTS; j++)
    {
      CU_ASSERT_EQUAL (count_senders (&cluster, j), 3);
      g_array_set_size (cluster.sends[j], 0);
    }
  run (&cluster, 4 * KNL_SEC);
  check_sends (&cluster, BOUND / 2, 1);
  cluster_close (&cluster);
}

static void
stop_all (Cluster *self, const guint *instances, guint n)
{
  for (guint i = 0; i < n; i++)
    peers_fixture_stop (&self->peers, instances[i]);
}

/* Guards against a side of a partition that counts all known instances of another cell as heard,
 * though only some of them are on its side. */
static void
test_partition_through_zones (void)
{
  static const guint cut_off[] = { 2, 3, 6 };
  Cluster cluster;

  cluster_open (&cluster);
  for (guint i = 0; i < INSTANCES; i++)
    learn_cold (&cluster, i);
  stop_all (&cluster, cut_off, G_N_ELEMENTS (cut_off));
  peers_fixture_advance (&cluster.peers, 8 * PEERS_HEARTBEAT_INTERVAL);
  for (guint j = 0; j < ENDPOINTS; j++)
    {
      CU_ASSERT_EQUAL (count_senders (&cluster, j), 3);
      CU_ASSERT_EQUAL (endpoint_at (&cluster, 0, j)->cold.bucket.share.n_senders, 3);
    }
  /* The described numbers, by which advertised limits are divided, are those that are known. */
  CU_ASSERT_EQUAL (sv_peers_n_alive (cluster.peers.peers[0]), 1 + 3 + 1);
  cluster_close (&cluster);
}

static int
compare_times (gconstpointer a, gconstpointer b)
{
  KnlTime x = *(const KnlTime *)a;
  KnlTime y = *(const KnlTime *)b;

  return (x > y) - (x < y);
}

static void
drop_sends (Cluster *self)
{
  for (guint j = 0; j < ENDPOINTS; j++)
    g_array_set_size (self->sends[j], 0);
}

/* Adds what the other side has sent. */
static void
add_sends (Cluster *self, const Cluster *other)
{
  for (guint j = 0; j < ENDPOINTS; j++)
    {
      g_array_append_vals (self->sends[j], other->sends[j]->data, other->sends[j]->len);
      g_array_sort (self->sends[j], compare_times);
    }
}

/* Only the instances of that side, "x" or "y" in `sides`, are heard from now on. */
static void
cut_off_others (Cluster *self, const char *sides, char side)
{
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (sides[i] != side)
        peers_fixture_stop (&self->peers, i);
    }
}

/* Each side is run by a cluster of its own, since all datagrams within one are delivered. Both are
 * the same until the partition. */
static void
check_both_sides (const char *sides)
{
  static const KnlTime transition = 8 * PEERS_HEARTBEAT_INTERVAL;
  static const guint max_senders = 6;
  Cluster clusters[2];

  for (guint k = 0; k < 2; k++)
    {
      cluster_open (&clusters[k]);
      for (guint i = 0; i < INSTANCES; i++)
        learn_cold (&clusters[k], i);
      run (&clusters[k], 500 * KNL_MSEC);
      cut_off_others (&clusters[k], sides, k == 0 ? 'x' : 'y');
    }
  drop_sends (&clusters[1]);
  for (guint k = 0; k < 2; k++)
    run (&clusters[k], transition);
  add_sends (&clusters[0], &clusters[1]);
  check_sends (&clusters[0], BOUND, 1);
  for (guint k = 0; k < 2; k++)
    {
      drop_sends (&clusters[k]);
      run (&clusters[k], COLD_TIME);
    }
  add_sends (&clusters[0], &clusters[1]);
  check_sends (&clusters[0], BOUND, 1);
  for (guint j = 0; j < ENDPOINTS; j++)
    CU_ASSERT (clusters[0].sends[j]->len <= RATE * COLD_TIME / KNL_SEC + max_senders);
  for (guint k = 0; k < 2; k++)
    cluster_close (&clusters[k]);
}

/* Guards against sides of a partition that each keep to the bound, but not both together. */
static void
test_sum_of_both_sides (void)
{
  /* In the order of the zones "aaaabbbc". */
  static const char *const sides[] = { "xxxxyyyy", "xxyyxxyx", "xyxyxyxy", "xxxyyyyx" };

  for (guint i = 0; i < G_N_ELEMENTS (sides); i++)
    check_both_sides (sides[i]);
}

/* Guards against an instance that starts while endpoints are cold and sends as one that knows the
 * others. */
static void
test_starts_while_endpoints_are_cold (void)
{
  Cluster cluster;

  cluster_open (&cluster);
  for (guint i = 0; i < INSTANCES; i++)
    learn_cold (&cluster, i);
  for (guint i = 0; i < INSTANCES; i++)
    {
      run (&cluster, 700 * KNL_MSEC);
      peers_fixture_stop (&cluster.peers, i);
      peers_fixture_start (&cluster.peers, i);
      sv_peers_note_counted (cluster.peers.peers[i]);
      set_rules (&cluster, i);
      learn_cold (&cluster, i);
      for (guint j = 0; j < INSTANCES; j++)
        if (j != i)
          peers_fixture_discover (&cluster.peers, i, j);
    }
  run (&cluster, KNL_SEC);
  check_sends (&cluster, BOUND, 1);
  cluster_close (&cluster);
}

/* Guards against an isolated instance that takes itself for the only one. */
static void
test_isolated_instance (void)
{
  Cluster cluster;

  cluster_open (&cluster);
  for (guint i = 0; i + 1 < INSTANCES; i++)
    peers_fixture_stop (&cluster.peers, i);
  peers_fixture_advance (&cluster.peers, 6 * PEERS_HEARTBEAT_INTERVAL);
  learn_cold (&cluster, INSTANCES - 1);
  run (&cluster, 4 * KNL_SEC);
  for (guint j = 0; j < ENDPOINTS; j++)
    CU_ASSERT (cluster.sends[j]->len <= 4 * RATE / INSTANCES);
  cluster_close (&cluster);
}

/* Guards against an instance that hears few of its cell, as after its start, and takes itself for a
 * sender in place of those that it doesn't hear. */
static void
test_few_of_the_cell_are_heard (void)
{
  static const guint half[] = { 1, 2 };
  static const guint third[] = { 3 };
  Cluster cluster;
  guint n_senders = 0;

  cluster_open (&cluster);
  stop_all (&cluster, half, G_N_ELEMENTS (half));
  peers_fixture_advance (&cluster.peers, 8 * PEERS_HEARTBEAT_INTERVAL);
  learn_cold (&cluster, 0);
  for (guint j = 0; j < ENDPOINTS; j++)
    n_senders += endpoint_at (&cluster, 0, j)->cold.bucket.share.is_sender;
  CU_ASSERT (n_senders > 0);
  stop_all (&cluster, third, G_N_ELEMENTS (third));
  peers_fixture_advance (&cluster.peers, 8 * PEERS_HEARTBEAT_INTERVAL);
  for (guint j = 0; j < ENDPOINTS; j++)
    CU_ASSERT_FALSE (endpoint_at (&cluster, 0, j)->cold.bucket.share.is_sender);
  cluster_close (&cluster);
}

static void
send_datagram (const char *address, const Alderturn__Datagram *datagram)
{
  guint8 bytes[1024];
  gsize length = alderturn__datagram__pack (datagram, bytes);
  struct sockaddr_storage receiver;
  int receiver_length = sizeof receiver;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  evutil_parse_sockaddr_port (address, (struct sockaddr *)&receiver, &receiver_length);
  CU_ASSERT_EQUAL (
      sendto (fd, bytes, length, 0, (struct sockaddr *)&receiver, (socklen_t)receiver_length),
      (gssize)length);
  close (fd);
}

/* Describes a cell "b" of five instances to the instance at that address. */
static void
describe_cell (const char *address, guint heard)
{
  Alderturn__Datagram datagram = ALDERTURN__DATAGRAM__INIT;
  Alderturn__Sender sender = ALDERTURN__SENDER__INIT;
  Alderturn__Cell cell = ALDERTURN__CELL__INIT;

  sender.name = "x";
  sender.link_address = "127.0.0.1:9";
  sender.callers_address = "127.0.0.1:9";
  sender.zone = "b";
  sender.region = "r";
  cell.id = (guint32)XXH64 ("b", 1, 0);
  cell.described = TRUE;
  cell.instances = 5;
  cell.heard = heard;
  datagram.sender = (guint32)XXH64 ("x", 1, 0);
  datagram.incarnation = 1;
  datagram.sequence = 1;
  datagram.from = &sender;
  datagram.cell = &cell;
  send_datagram (address, &datagram);
}

/* Guards against relays that don't state how many instances they hear, as those of an earlier
 * version, and whose cells would count as nearly empty. */
static void
test_relays_that_state_nothing (void)
{
  static const struct
  {
    guint heard;
    guint n_senders;
  } rows[] = { { 0, 6 }, { 2, 3 }, { 5, 6 } };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Cluster cluster = { .config = sv_config_new (1) };

      sv_config_add_service (cluster.config, "s")->cold =
          (SvColdSpec){ .duration = COLD_TIME, .rate = RATE };
      peers_fixture_open (&cluster.peers, zones, 1, 1);
      note_counted (&cluster, 1);
      set_rules (&cluster, 0);
      peers_fixture_advance (&cluster.peers, 2 * KNL_SEC);
      describe_cell (cluster.peers.links[0], rows[i].heard);
      peers_fixture_advance (&cluster.peers, PEERS_HEARTBEAT_INTERVAL + PEERS_PROPAGATION_TIME);
      sv_endpoint_note_cold_answer (endpoint_at (&cluster, 0, 0), 9 * KNL_SEC,
                                    knl_kernel_now (cluster.peers.kernel));
      CU_ASSERT_EQUAL (endpoint_at (&cluster, 0, 0)->cold.bucket.share.n_senders,
                       rows[i].n_senders);
      peers_fixture_close (&cluster.peers);
      sv_config_unref (cluster.config);
    }
}

static const SuiteCase cases[] = {
  { "relays that state nothing", test_relays_that_state_nothing },
  { "all learn at once", test_all_learn_at_once },
  { "a partition", test_partition },
  { "the sum of both sides", test_sum_of_both_sides },
  { "a partition through zones", test_partition_through_zones },
  { "instances start while endpoints are cold", test_starts_while_endpoints_are_cold },
  { "few of the cell are heard", test_few_of_the_cell_are_heard },
  { "an isolated instance", test_isolated_instance },
};

SUITE_MAIN ("sv_cold_peers", cases)
