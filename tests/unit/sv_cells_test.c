/** What cells know of each other through their relays, while relays and datagrams are lost. */

#include <string.h>

#include "peers_fixture.h"
#include "suite.h"

/* Three instances in each of two zones. */
#define INSTANCES 6

/* More endpoints than one description of a cell contains, so that most changes are announced
 * separately. */
#define ENDPOINTS 40

/* Time until a stopped relay is replaced: three missed heartbeats, and the next one. */
#define RELAY_REPLACEMENT_TIME (4 * PEERS_HEARTBEAT_INTERVAL + PEERS_PROPAGATION_TIME)

static const char *const zones[INSTANCES] = { "a", "a", "a", "b", "b", "b" };

static void
fixture_open (PeersFixture *self)
{
  peers_fixture_open (self, zones, INSTANCES, ENDPOINTS);
  peers_fixture_connect (self);
}

static guint
relay_of (PeersFixture *self, guint first)
{
  for (guint i = first; i < first + 3; i++)
    {
      if (self->peers[i] != NULL && sv_peers_is_relay (self->peers[i]))
        return i;
    }
  CU_FAIL_FATAL ("no relay");
  return first;
}

static void
check_loads (PeersFixture *self, guint calls)
{
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (self->peers[i] != NULL)
        CU_ASSERT_EQUAL (peers_fixture_load (self, i).calls, calls);
    }
}

/* Each zone has one relay, and all instances know the load of all others within some milliseconds.
 */
static void
test_sums_are_known_everywhere (void)
{
  PeersFixture fixture;
  guint calls = 0;

  fixture_open (&fixture);
  for (guint zone = 0; zone < INSTANCES; zone += 3)
    {
      guint relays = 0;

      for (guint i = zone; i < zone + 3; i++)
        relays += sv_peers_is_relay (fixture.peers[i]);
      CU_ASSERT_EQUAL (relays, 1);
    }
  for (guint i = 0; i < INSTANCES; i++)
    {
      peers_fixture_call (&fixture, i, (gint)i + 1);
      calls += i + 1;
    }
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  check_loads (&fixture, calls);
  peers_fixture_call (&fixture, 1, -2);
  peers_fixture_call (&fixture, 5, -6);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  check_loads (&fixture, calls - 8);
  peers_fixture_close (&fixture);
}

/*
 * Symptom: a zone's engines look idle from other zones, or busy forever.
 * Sequence: the zone's relay loses power; its peers go on placing requests.
 * Cause: no peer became relay, or the new relay announced only changes made since then.
 */
static void
test_a_lost_relay_is_replaced (void)
{
  PeersFixture fixture;
  guint lost;
  guint other;

  fixture_open (&fixture);
  lost = relay_of (&fixture, 0);
  other = lost == 0 ? 1 : 0;
  peers_fixture_call (&fixture, lost, 5);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  check_loads (&fixture, 5);
  peers_fixture_stop (&fixture, lost);
  peers_fixture_advance (&fixture, RELAY_REPLACEMENT_TIME);
  check_loads (&fixture, 0);
  peers_fixture_call (&fixture, other, 3);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  check_loads (&fixture, 3);
  /* Announcements of other zones reach this zone, too. */
  peers_fixture_call (&fixture, 4, 10);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  check_loads (&fixture, 13);
  peers_fixture_close (&fixture);
}

/*
 * Symptom: after a zone has failed or is cut off, its requests still make engines look busy.
 * Sequence: all instances of a zone lose power at once.
 * Cause: the sums of a silent cell were kept.
 */
static void
test_a_silent_cell_is_ignored (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  peers_fixture_call (&fixture, 0, 1);
  peers_fixture_call (&fixture, 4, 9);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  check_loads (&fixture, 10);
  for (guint i = 3; i < INSTANCES; i++)
    peers_fixture_stop (&fixture, i);
  peers_fixture_advance (&fixture, 2 * KNL_SEC + PEERS_HEARTBEAT_INTERVAL + PEERS_PROPAGATION_TIME);
  check_loads (&fixture, 1);
  peers_fixture_close (&fixture);
}

/*
 * Symptom: after many instances were restarted, half of the short prompts go to engines with a full
 * queue next to idle ones.
 * Sequence: an instance loses power and starts; it places requests before the descriptions of all
 * endpoints have arrived.
 * Cause: it considered endpoints idle whose loads it hadn't received yet, running prefills
 * included.
 */
static void
test_a_started_instance_gets_a_snapshot (void)
{
  PeersFixture fixture;
  SvPeerLink *link;
  SvPrefill prefill = { .prompt = 5, .length = 300 * KNL_MSEC, .until_ended = TRUE };
  SvEndpoint *endpoint;
  guint started;

  fixture_open (&fixture);
  started = relay_of (&fixture, 0) == 2 ? 1 : 2;
  peers_fixture_call (&fixture, 0, 1);
  peers_fixture_call (&fixture, 4, 9);
  endpoint = peers_fixture_endpoint (&fixture, 4);
  sv_fleet_add_prefill (fixture.fleets[4], &prefill, &endpoint->key, 1);
  link = sv_peers_link (fixture.peers[4]);
  link->klass->prefill_placed (link, &prefill, &endpoint->key, 1);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  peers_fixture_stop (&fixture, started);
  fixture.incarnation++;
  peers_fixture_start (&fixture, started);
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (i != started)
        peers_fixture_discover (&fixture, started, i);
    }
  peers_fixture_advance (&fixture, 3 * KNL_MSEC);
  CU_ASSERT_EQUAL (peers_fixture_load (&fixture, started).calls, 10);
  CU_ASSERT (sv_endpoint_prefill_left (peers_fixture_endpoint (&fixture, started),
                                       knl_kernel_now (fixture.kernel))
             > 250 * KNL_MSEC);
  peers_fixture_close (&fixture);
}

/*
 * Symptom: the loads of a zone alternate between two values.
 * Sequence: two of its instances are cut off from each other, and both act as its relay.
 * Cause: the sums of both were accepted.
 */
static void
test_one_relay_is_accepted_for_a_cell (void)
{
  PeersFixture fixture;
  guint relay;
  guint other;

  fixture_open (&fixture);
  relay = relay_of (&fixture, 0);
  other = relay == 0 ? 1 : 0;
  peers_fixture_call (&fixture, relay, 4);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  /* The started instance knows no peer of its own cell, only one of the other zone. */
  peers_fixture_stop (&fixture, other);
  fixture.strength[other] = 1;
  fixture.incarnation++;
  peers_fixture_start (&fixture, other);
  peers_fixture_discover (&fixture, other, 3);
  CU_ASSERT (sv_peers_is_relay (fixture.peers[other]));
  for (guint i = 0; i < 10; i++)
    {
      peers_fixture_advance (&fixture, 100 * KNL_MSEC);
      CU_ASSERT_EQUAL (peers_fixture_load (&fixture, 4).calls, 4);
    }
  peers_fixture_close (&fixture);
}

/* The same instances, all in one zone. */
static const char *const one_zone[INSTANCES] = { "a", "a", "a", "a", "a", "a" };

static guint
n_followers (const PeersFixture *self)
{
  guint n = 0;

  for (guint i = 0; i < INSTANCES; i++)
    n += sv_peers_follows_store (self->peers[i]);
  return n;
}

/*
 * Symptom: a whole zone stops serving while most of its instances reach the store.
 * Sequence: the store rejects the instances that follow it for the others.
 * Cause: no other instance replaced them. If the store answers no instance, all must try, so that
 * the first that gets an answer is one that the others query.
 */
static void
test_rejected_followers_are_skipped (void)
{
  PeersFixture fixture;

  peers_fixture_open (&fixture, one_zone, INSTANCES, 1);
  peers_fixture_connect (&fixture);
  CU_ASSERT_EQUAL (n_followers (&fixture), 2);
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (sv_peers_follows_store (fixture.peers[i]))
        sv_peers_set_cut_off (fixture.peers[i], TRUE);
    }
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  /* Rejected instances go on trying. */
  CU_ASSERT_EQUAL (n_followers (&fixture), 4);
  for (guint i = 0; i < INSTANCES; i++)
    sv_peers_set_cut_off (fixture.peers[i], TRUE);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  CU_ASSERT_EQUAL (n_followers (&fixture), INSTANCES);
  for (guint i = 0; i < INSTANCES; i++)
    sv_peers_set_cut_off (fixture.peers[i], FALSE);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  CU_ASSERT_EQUAL (n_followers (&fixture), 2);
  peers_fixture_close (&fixture);
}

static gboolean
is_address (const char *link_address, gpointer data)
{
  return g_strcmp0 (link_address, data) == 0;
}

/* The strongest instances follow the store, and each is queried by half of the others. */
static void
test_followers_are_the_strongest (void)
{
  PeersFixture fixture;

  peers_fixture_open (&fixture, one_zone, INSTANCES, 1);
  for (guint i = 4; i < INSTANCES; i++)
    {
      peers_fixture_stop (&fixture, i);
      fixture.strength[i] = 500;
      peers_fixture_start (&fixture, i);
    }
  peers_fixture_connect (&fixture);
  for (guint i = 0; i < INSTANCES; i++)
    {
      const char *follower = sv_peers_choose_follower (fixture.peers[i], is_address, NULL);
      const char *second =
          sv_peers_choose_follower (fixture.peers[i], is_address, (gpointer)follower);

      CU_ASSERT_EQUAL (sv_peers_follows_store (fixture.peers[i]), i >= 4);
      CU_ASSERT (sv_peers_is_source (fixture.peers[i], follower));
      CU_ASSERT_STRING_NOT_EQUAL (follower, second);
    }
  /* An instance that leaves is replaced at once. */
  sv_peers_leave (fixture.peers[4]);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  CU_ASSERT_FALSE (sv_peers_follows_store (fixture.peers[4]));
  CU_ASSERT_FALSE (sv_peers_is_relay (fixture.peers[4]));
  peers_fixture_close (&fixture);
}

static gboolean
is_in_first_zone (const char *link_address, gpointer data)
{
  const PeersFixture *fixture = data;

  for (guint i = 0; i < 3; i++)
    {
      if (strcmp (fixture->links[i], link_address) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Guards against a cell that turns to the store as a whole when both of its followers fail. */
static void
test_another_cells_relay_replaces_followers (void)
{
  PeersFixture fixture;
  guint relay;

  fixture_open (&fixture);
  relay = relay_of (&fixture, 3);
  for (guint i = 0; i < 3; i++)
    {
      const char *chosen = sv_peers_choose_follower (fixture.peers[i], is_in_first_zone, &fixture);

      CU_ASSERT_STRING_EQUAL (chosen, fixture.links[relay]);
      CU_ASSERT (sv_peers_is_source (fixture.peers[i], chosen));
    }
  sv_peers_set_cut_off (fixture.peers[relay], TRUE);
  peers_fixture_advance (&fixture, 2 * PEERS_HEARTBEAT_INTERVAL + PEERS_PROPAGATION_TIME);
  CU_ASSERT_PTR_NULL (sv_peers_choose_follower (fixture.peers[0], is_in_first_zone, &fixture));
  peers_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "sums are known everywhere", test_sums_are_known_everywhere },
  { "a lost relay is replaced", test_a_lost_relay_is_replaced },
  { "a silent cell is ignored", test_a_silent_cell_is_ignored },
  { "a started instance gets a snapshot", test_a_started_instance_gets_a_snapshot },
  { "one relay is accepted for a cell", test_one_relay_is_accepted_for_a_cell },
  { "rejected followers are skipped", test_rejected_followers_are_skipped },
  { "followers are the strongest", test_followers_are_the_strongest },
  { "another cell's relay replaces followers", test_another_cells_relay_replaces_followers },
};

SUITE_MAIN ("sv_cells", cases)
