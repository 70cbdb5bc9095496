/** Which peers take the requests of an instance that has lost its links to endpoints. */

#include <string.h>

#include "peers_fixture.h"
#include "suite.h"

#define INSTANCES 4

static const char *const zones[INSTANCES] = { "a", "a", "b", "b" };

static void
fixture_open (PeersFixture *self)
{
  peers_fixture_open (self, zones, INSTANCES, 1);
  peers_fixture_connect (self);
  for (guint i = 0; i < INSTANCES; i++)
    sv_peers_set_ready (self->peers[i], TRUE);
  peers_fixture_advance (self, 5 * PEERS_HEARTBEAT_INTERVAL);
}

static void
set_links_lost (PeersFixture *self, guint i, gboolean is_lost)
{
  SvPeerLink *link = sv_peers_link (self->peers[i]);

  link->klass->reach_changed (link, is_lost);
  peers_fixture_advance (self, PEERS_HEARTBEAT_INTERVAL);
}

/* Number of instances that instance `i` lists to callers. */
static guint
n_listed (PeersFixture *self, guint i)
{
  g_autoptr (GPtrArray) listed = sv_peers_ready_addresses (self->peers[i], zones[i], 64);

  return listed->len;
}

static char *
passing_address (PeersFixture *self, guint i, const char *avoid)
{
  SvPeerLink *link = sv_peers_link (self->peers[i]);

  return link->klass->passing_address (link, avoid);
}

/* Guards against requests that cross zones while a peer of the same zone could take them. */
static void
test_peers_of_the_cell_come_first (void)
{
  PeersFixture fixture;
  g_autofree char *first = NULL;
  g_autofree char *second = NULL;

  fixture_open (&fixture);
  set_links_lost (&fixture, 0, TRUE);
  first = passing_address (&fixture, 0, NULL);
  CU_ASSERT_STRING_EQUAL (first, "10.0.0.1:7341");
  second = passing_address (&fixture, 0, first);
  CU_ASSERT_PTR_NOT_NULL_FATAL (second);
  CU_ASSERT_TRUE (g_str_has_prefix (second, "10.0.0.2:") || g_str_has_prefix (second, "10.0.0.3:"));
  peers_fixture_close (&fixture);
}

/* Guards against callers of a zone that has lost its links as a whole. */
static void
test_other_zones_take_over_for_a_whole_zone (void)
{
  PeersFixture fixture;
  g_autofree char *address = NULL;

  fixture_open (&fixture);
  set_links_lost (&fixture, 0, TRUE);
  set_links_lost (&fixture, 1, TRUE);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  address = passing_address (&fixture, 0, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (address);
  CU_ASSERT_TRUE (g_str_has_prefix (address, "10.0.0.2:")
                  || g_str_has_prefix (address, "10.0.0.3:"));
  peers_fixture_close (&fixture);
}

/* Guards against callers that are sent to an instance which would only pass them on. */
static void
test_instances_without_links_are_not_listed (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  CU_ASSERT_EQUAL (n_listed (&fixture, 1), INSTANCES);
  set_links_lost (&fixture, 0, TRUE);
  CU_ASSERT_EQUAL (n_listed (&fixture, 1), INSTANCES - 1);
  set_links_lost (&fixture, 0, FALSE);
  CU_ASSERT_EQUAL (n_listed (&fixture, 1), INSTANCES);
  peers_fixture_close (&fixture);
}

/* Guards against a directory without addresses: the last ready instance stays listed. */
static void
test_the_last_ready_instance_stays_listed (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < INSTANCES; i++)
    {
      set_links_lost (&fixture, i, TRUE);
      peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
    }
  CU_ASSERT_EQUAL (n_listed (&fixture, INSTANCES - 1), 1);
  peers_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "peers of the cell come first", test_peers_of_the_cell_come_first },
  { "other zones take over for a whole zone", test_other_zones_take_over_for_a_whole_zone },
  { "instances without links are not listed", test_instances_without_links_are_not_listed },
  { "the last ready instance stays listed", test_the_last_ready_instance_stays_listed },
};

SUITE_MAIN ("sv_pass_peers", cases)
