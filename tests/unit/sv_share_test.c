/** By how many instances an allowance is divided, as each knows it. */

#include "peers_fixture.h"
#include "suite.h"

#define INSTANCES 4
#define STRONG    1000

static const char *const zones[INSTANCES] = { "a", "a", "b", "b" };

static SvShare
share_of (PeersFixture *self, guint i)
{
  SvPeerLink *link = sv_peers_link (self->peers[i]);

  return link->klass->share (link);
}

static gboolean
has_share (PeersFixture *self, guint i)
{
  return share_of (self, i).known_since != KNL_NEVER;
}

/* The first instance is the relay of its cell. */
static void
fixture_open (PeersFixture *self)
{
  peers_fixture_open (self, zones, INSTANCES, 1);
  self->strength[0] = STRONG;
  peers_fixture_stop (self, 0);
  peers_fixture_start (self, 0);
  peers_fixture_connect (self);
}

/* Guards against instances that take few others for all: none has read how many there are. */
static void
test_no_share_before_others_are_counted (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_FALSE (has_share (&fixture, i));
  sv_peers_note_counted (fixture.peers[0]);
  peers_fixture_advance (&fixture, 2 * PEERS_HEARTBEAT_INTERVAL);
  CU_ASSERT_TRUE (has_share (&fixture, 0));
  CU_ASSERT_TRUE (has_share (&fixture, 1));
  CU_ASSERT_FALSE (has_share (&fixture, 2));
  CU_ASSERT_EQUAL (share_of (&fixture, 1).instances, INSTANCES);
  peers_fixture_close (&fixture);
}

/* Guards against parts that grow while others start anew and know few of their zone. */
static void
test_the_number_falls_late (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  sv_peers_note_counted (fixture.peers[0]);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  peers_fixture_stop (&fixture, 2);
  peers_fixture_stop (&fixture, 3);
  peers_fixture_start (&fixture, 2);
  peers_fixture_discover (&fixture, 2, 0);
  for (guint i = 0; i < 20; i++)
    {
      peers_fixture_advance (&fixture, PEERS_HEARTBEAT_INTERVAL);
      CU_ASSERT_EQUAL (share_of (&fixture, 0).instances, INSTANCES);
    }
  peers_fixture_close (&fixture);
}

/* Guards against parts of a fleet that don't hear each other, each with all of an allowance. */
static void
test_no_share_while_parted (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  sv_peers_note_counted (fixture.peers[0]);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  CU_ASSERT_TRUE (has_share (&fixture, 0));
  for (guint i = 1; i < INSTANCES; i++)
    peers_fixture_stop (&fixture, i);
  peers_fixture_advance (&fixture, 8 * PEERS_HEARTBEAT_INTERVAL);
  CU_ASSERT_FALSE (has_share (&fixture, 0));
  peers_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "no share before others are counted", test_no_share_before_others_are_counted },
  { "the number falls late", test_the_number_falls_late },
  { "no share while parted", test_no_share_while_parted },
};

SUITE_MAIN ("sv_share", cases)
