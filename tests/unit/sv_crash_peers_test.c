/** Crashes under a request that instances tell each other. */

#include "peers_fixture.h"
#include "suite.h"

#define INSTANCES 3

static const char *const zones[INSTANCES] = { "a", "b", "a" };

static void
fixture_open (PeersFixture *self)
{
  peers_fixture_open (self, zones, INSTANCES, 1);
  peers_fixture_connect (self);
}

/* Guards against an instance that starts, or misses a datagram, and doesn't know of crashes that
 * its peers were told of before. */
static void
test_crashes_are_repeated (void)
{
  PeersFixture fixture;
  SvPeerLink *link;

  fixture_open (&fixture);
  peers_fixture_stop (&fixture, 2);
  link = sv_peers_link (fixture.peers[0]);
  for (guint i = 0; i < 3; i++)
    link->klass->suspect (link, 77);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  fixture.suspect = 0;
  fixture.incarnation++;
  peers_fixture_start (&fixture, 2);
  peers_fixture_discover (&fixture, 2, 0);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  CU_ASSERT_EQUAL (fixture.suspect, 77);
  peers_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "crashes are repeated", test_crashes_are_repeated },
};

SUITE_MAIN ("sv_crash_peers", cases)
