/** How instances find their cell, and what that costs at the store, at several sizes. */

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "suite.h"
#include "tests/fakes/gateway_fleet.h"

#define ZONES 3

/* Machines that are started together start within this. */
#define START_SPAN (300 * KNL_MSEC)

/* Instances that start together are served within this. */
#define START_TIME (3 * KNL_SEC)

/* Calls to the store for each further instance that starts. */
#define MAX_CALLS_PER_START 1.5

/* Time for which the store turns some instances away. */
#define OUTAGE_TIME (9 * KNL_SEC)

/* A relay that was lost is replaced, and the cell's row with it. */
#define RELAY_REPLACEMENT_TIME (4 * KNL_SEC)

static const GfSize small = { .n_instances = 18,
                              .n_zones = ZONES,
                              .n_endpoints = 30,
                              .strong_every = 5 };
static const GfSize large = { .n_instances = 90,
                              .n_zones = ZONES,
                              .n_endpoints = 30,
                              .strong_every = 5 };

/* Calls of a fleet that starts with an empty table of cells. */
static guint
calls_of_first_start (const GfSize *size)
{
  GfFleet fleet;
  guint calls;

  gf_fleet_open (&fleet, size);
  gf_fleet_start_all (&fleet, START_SPAN);
  CU_ASSERT (gf_fleet_settle (&fleet, START_TIME) < START_TIME);
  calls = row_store_n_calls (fleet.store);
  gf_fleet_close (&fleet);
  return calls;
}

static void
test_first_start (void)
{
  guint further = large.n_instances - small.n_instances;
  guint calls = calls_of_first_start (&large) - calls_of_first_start (&small);

  CU_ASSERT (calls <= MAX_CALLS_PER_START * further);
}

/* Calls of half of the instances that are killed and start again together. */
static guint
calls_of_restart (const GfSize *size)
{
  GfFleet fleet;
  guint calls;

  gf_fleet_open (&fleet, size);
  gf_fleet_start_all (&fleet, START_SPAN);
  gf_fleet_settle (&fleet, START_TIME);
  gf_fleet_advance (&fleet, START_TIME);
  for (guint i = 0; i < size->n_instances; i += 2)
    gf_fleet_kill (&fleet, i);
  gf_fleet_advance (&fleet, KNL_SEC);
  calls = row_store_n_calls (fleet.store);
  gf_fleet_start_all (&fleet, START_SPAN);
  CU_ASSERT (gf_fleet_settle (&fleet, START_TIME) < START_TIME);
  calls = row_store_n_calls (fleet.store) - calls;
  gf_fleet_close (&fleet);
  return calls;
}

static void
test_restart_of_half (void)
{
  guint further = (large.n_instances - small.n_instances) / 2;
  guint calls = calls_of_restart (&large) - calls_of_restart (&small);

  CU_ASSERT (calls <= MAX_CALLS_PER_START * further);
}

/* An instance is lost if its cell's row names only instances that are gone for good. */
static void
test_contacts_are_gone (void)
{
  GfFleet fleet;
  guint n = small.n_instances;

  gf_fleet_open (&fleet, &small);
  for (guint i = 0; i < n / 2; i++)
    gf_fleet_start (&fleet, i);
  gf_fleet_settle (&fleet, START_TIME);
  gf_fleet_advance (&fleet, START_TIME);
  for (guint i = 0; i < n / 2; i++)
    gf_fleet_kill (&fleet, i);
  for (guint i = n / 2; i < n; i++)
    gf_fleet_start (&fleet, i);
  CU_ASSERT (gf_fleet_settle (&fleet, START_TIME) < START_TIME);
  gf_fleet_close (&fleet);
}

/* A relay that is lost leaves a row that later names only instances that are gone. */
static void
test_lost_contacts_are_replaced (void)
{
  GfFleet fleet;
  guint n = small.n_instances;

  gf_fleet_open (&fleet, &small);
  gf_fleet_start_all (&fleet, START_SPAN);
  gf_fleet_settle (&fleet, START_TIME);
  gf_fleet_advance (&fleet, START_TIME);
  for (guint i = 0; i < n; i++)
    {
      if (sv_peers_is_relay (fleet.instances[i].gateway.peers))
        gf_fleet_kill (&fleet, i);
    }
  gf_fleet_advance (&fleet, RELAY_REPLACEMENT_TIME);
  for (guint i = 0; i < n; i++)
    {
      const GfInstance *instance = &fleet.instances[i];

      if (instance->is_running && sv_peers_is_relay (instance->gateway.peers))
        CU_ASSERT (strstr (row_store_value (fleet.store, instance->gateway.boot->zone),
                           instance->gateway.boot->link_address)
                   != NULL);
    }
  gf_fleet_close (&fleet);
}

/* An instance that hears a peer that it doesn't know, since its introduction was lost, would wait
 * for the peer's next full datagram. */
static void
test_unknown_sender_is_answered (void)
{
  GfFleet fleet;

  gf_fleet_open (&fleet, &small);
  gf_fleet_start_all (&fleet, START_SPAN);
  gf_fleet_settle (&fleet, START_TIME);
  gf_fleet_advance (&fleet, START_TIME);
  gf_fleet_kill (&fleet, 1);
  /* The store doesn't serve it, so nobody introduces it. */
  row_store_set_mode (fleet.store, ROW_STORE_SILENT);
  gf_fleet_start (&fleet, 1);
  gf_fleet_advance (&fleet, KNL_SEC);
  CU_ASSERT_EQUAL (gf_fleet_n_unknown (&fleet), 0);
  gf_fleet_close (&fleet);
}

/* Guards against instances that serve without knowing of each other, each with the whole retry
 * budget: the store was away for a moment after all had started, the configuration was read as soon
 * as it was back, and the cell's row seconds later. */
static void
test_cell_is_found_with_the_configuration (void)
{
  static const KnlTime outage = 450 * KNL_MSEC;
  static const KnlTime limit = 800 * KNL_MSEC;
  GfFleet fleet;

  gf_fleet_open (&fleet, &small);
  gf_fleet_start_all (&fleet, 0);
  gf_fleet_settle (&fleet, START_TIME);
  gf_fleet_advance (&fleet, START_TIME);
  for (guint i = 0; i < small.n_instances; i++)
    gf_fleet_kill (&fleet, i);
  row_store_set_mode (fleet.store, ROW_STORE_REFUSES);
  gf_fleet_start_all (&fleet, 0);
  gf_fleet_advance (&fleet, outage);
  row_store_set_mode (fleet.store, ROW_STORE_SERVES);
  CU_ASSERT (gf_fleet_settle (&fleet, limit) < limit);
  gf_fleet_close (&fleet);
}

/* During an upgrade instances of the earlier release would not learn of new ones. */
static void
test_earlier_release_is_discovered (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  socklen_t length = sizeof address;
  int earlier = socket (AF_INET, SOCK_DGRAM, 0);
  g_autofree char *row = NULL;
  guint8 bytes[64];
  GfFleet fleet;

  CU_ASSERT_EQUAL_FATAL (bind (earlier, (struct sockaddr *)&address, length), 0);
  getsockname (earlier, (struct sockaddr *)&address, &length);
  row = g_strdup_printf ("{\"link\":\"127.0.0.1:%u\",\"callers\":\"127.0.0.1:8\",\"zone\":\"z0\","
                         "\"incarnation\":1,\"strength\":500}",
                         ntohs (address.sin_port));
  gf_fleet_open (&fleet, &small);
  /* The row is on the second page. */
  row_store_set_page (fleet.store, 2);
  row_store_put_in (fleet.store, PL_MEMBER_TABLE, "a", "{}");
  row_store_put_in (fleet.store, PL_MEMBER_TABLE, "b", "{}");
  row_store_put_in (fleet.store, PL_MEMBER_TABLE, "old", row);
  gf_fleet_start (&fleet, 0);
  gf_fleet_advance (&fleet, 200 * KNL_MSEC);
  CU_ASSERT (recv (earlier, bytes, sizeof bytes, MSG_DONTWAIT) > 0);
  gf_fleet_close (&fleet);
  close (earlier);
}

/* Calls while the store doesn't answer a third of the instances and the configuration changes. */
static guint
calls_of_partial_outage (guint n_instances, RowStoreMode mode)
{
  GfSize size = { .n_instances = n_instances,
                  .n_zones = ZONES,
                  .n_endpoints = 30,
                  .strong_every = 5,
                  .side_every = 3 };
  GfFleet fleet;
  guint calls;

  gf_fleet_open (&fleet, &size);
  gf_fleet_start_all (&fleet, START_SPAN);
  gf_fleet_settle (&fleet, START_TIME);
  gf_fleet_advance (&fleet, START_TIME);
  row_store_set_door_mode (fleet.store, GF_DOOR_SIDE, mode);
  calls = row_store_n_calls (fleet.store);
  gf_fleet_advance (&fleet, KNL_SEC);
  gf_fleet_put_config (&fleet, 2, "key");
  gf_fleet_advance (&fleet, OUTAGE_TIME - KNL_SEC);
  CU_ASSERT_EQUAL (gf_fleet_n_outdated (&fleet, 2), 0);
  calls = row_store_n_calls (fleet.store) - calls;
  gf_fleet_close (&fleet);
  return calls;
}

/* Guards against calls that grow with the number of instances: each turned to the store by itself,
 * and repeated its call with each heartbeat of its peers. */
static void
test_partial_outage (void)
{
  static const RowStoreMode modes[] = { ROW_STORE_SILENT, ROW_STORE_REFUSES, ROW_STORE_DROPS };

  for (guint i = 0; i < G_N_ELEMENTS (modes); i++)
    {
      guint few = calls_of_partial_outage (30, modes[i]);
      guint many = calls_of_partial_outage (90, modes[i]);

      CU_ASSERT (many <= 2 * few);
    }
}

/* Guards against an instance that keeps a source which has failed, since each further failure
 * postponed the choice of another one. */
static void
test_frequent_failures_postpone_nothing (void)
{
  static const KnlTime failure_interval = 20 * KNL_MSEC;
  g_autofree char *before = NULL;
  Gateway *gateway = NULL;
  GfFleet fleet;

  gf_fleet_open (&fleet, &small);
  gf_fleet_start_all (&fleet, START_SPAN);
  gf_fleet_settle (&fleet, START_TIME);
  gf_fleet_advance (&fleet, START_TIME);
  for (guint i = 0; i < small.n_instances; i++)
    {
      if (fleet.instances[i].gateway.peer_address != NULL)
        gateway = &fleet.instances[i].gateway;
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (gateway);
  before = g_strdup (gateway->peer_address);
  for (KnlTime passed = 0; passed < 200 * KNL_MSEC; passed += failure_interval)
    {
      /* Only the first source fails. */
      if (g_strcmp0 (gateway->peer_address, before) == 0)
        gateway_note_source_failed (gateway);
      gf_fleet_advance (&fleet, failure_interval);
    }
  CU_ASSERT (g_strcmp0 (gateway->peer_address, before) != 0);
  gf_fleet_close (&fleet);
}

#define SERVICE 7
#define SEGMENT 0xdead

/* Instance `i` has seen a segment crash three endpoints. */
static void
quarantine_segment (GfFleet *fleet, guint i)
{
  SvQuarantined quarantined = {
    .service = SERVICE, .segment = SEGMENT, .since = knl_kernel_now (fleet->kernel), .n_losses = 3
  };

  for (guint j = 0; j < quarantined.n_losses; j++)
    quarantined.losses[j] = (PolBlameLoss){ .endpoint = 100 + j, .lost_at = quarantined.since };
  sv_quarantine_adopt (sv_core_quarantine (fleet->instances[i].gateway.core), &quarantined,
                       SV_CRASH_OWN);
}

static guint
count_quarantined (const GfFleet *fleet)
{
  guint n = 0;

  for (guint i = 0; i < fleet->size.n_instances; i++)
    n += sv_quarantine_n (sv_core_quarantine (fleet->instances[i].gateway.core));
  return n;
}

/* Guards against a segment that crashes further endpoints after all instances have been killed. */
static void
test_quarantines_outlive_a_restart_of_all (void)
{
  GfFleet fleet;
  guint n = small.n_instances;
  guint calls;

  gf_fleet_open (&fleet, &small);
  gf_fleet_start_all (&fleet, START_SPAN);
  gf_fleet_settle (&fleet, START_TIME);
  gf_fleet_advance (&fleet, START_TIME);
  calls = row_store_n_calls (fleet.store);
  quarantine_segment (&fleet, 1);
  gf_fleet_advance (&fleet, START_TIME);
  CU_ASSERT_EQUAL (count_quarantined (&fleet), n);
  calls = row_store_n_calls (fleet.store) - calls;
  for (guint i = 0; i < n; i++)
    gf_fleet_kill (&fleet, i);
  gf_fleet_start_all (&fleet, START_SPAN);
  gf_fleet_settle (&fleet, START_TIME);
  gf_fleet_advance (&fleet, START_TIME);
  CU_ASSERT_EQUAL (count_quarantined (&fleet), n);
  /* A read and a write by each relay, besides the feeds' questions. */
  CU_ASSERT (calls <= 4 * ZONES * ZONES);
  gf_fleet_close (&fleet);
}

/* Guards against a segment or request that is forgotten since all instances are killed soon after
 * it was quarantined. */
static void
test_quarantines_are_written_at_once (void)
{
  GfFleet fleet;
  guint n = small.n_instances;

  gf_fleet_open (&fleet, &small);
  gf_fleet_start_all (&fleet, START_SPAN);
  gf_fleet_settle (&fleet, START_TIME);
  gf_fleet_advance (&fleet, START_TIME);
  quarantine_segment (&fleet, 1);
  gf_fleet_advance (&fleet, 300 * KNL_MSEC);
  for (guint i = 0; i < n; i++)
    gf_fleet_kill (&fleet, i);
  gf_fleet_start_all (&fleet, START_SPAN);
  gf_fleet_settle (&fleet, START_TIME);
  gf_fleet_advance (&fleet, START_TIME);
  CU_ASSERT_EQUAL (count_quarantined (&fleet), n);
  gf_fleet_close (&fleet);
}

static const SuiteCase cases[] = {
  { "calls of a first start grow with the instances alone", test_first_start },
  { "calls of a restart grow with the instances alone", test_restart_of_half },
  { "a cell whose contacts are gone is found", test_contacts_are_gone },
  { "lost contacts are replaced", test_lost_contacts_are_replaced },
  { "calls in a partial outage don't grow with the instances", test_partial_outage },
  { "an unknown sender is answered", test_unknown_sender_is_answered },
  { "the cell is found with the configuration", test_cell_is_found_with_the_configuration },
  { "instances of an earlier release are discovered", test_earlier_release_is_discovered },
  { "frequent failures postpone nothing", test_frequent_failures_postpone_nothing },
  { "quarantines outlive a restart of all", test_quarantines_outlive_a_restart_of_all },
  { "quarantines are written at once", test_quarantines_are_written_at_once },
};

SUITE_MAIN ("gw_members", cases)
