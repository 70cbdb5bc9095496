/** Crashes under a request that an instance which has just started is told of. */

#include "peers_fixture.h"
#include "suite.h"

#define INSTANCES   4
#define FINGERPRINT 77

/* Time after which an instance that finds its peers may get the first request. */
#define FIRST_REQUEST (50 * KNL_MSEC)

static const char *const zones[INSTANCES] = { "a", "a", "a", "b" };

static void
fixture_open (PeersFixture *self)
{
  peers_fixture_open (self, zones, INSTANCES, 1);
  peers_fixture_connect (self);
}

/* Instance `i` loses an endpoint under the request. */
static void
note_crash (PeersFixture *self, guint i, guint64 endpoint)
{
  SvPeerLink *link = sv_peers_link (self->peers[i]);
  SvCrash crash = { FINGERPRINT, endpoint, knl_kernel_now (self->kernel) };

  sv_crashes_note_loss (self->crashes[i], &crash, SV_CRASH_OWN);
  link->klass->crashes_changed (link);
  peers_fixture_advance (self, 200 * KNL_MSEC);
}

/* Whether the instance would refuse the request. */
static gboolean
is_refused (PeersFixture *self, guint i)
{
  gboolean is_test = FALSE;

  return sv_crashes_is_refused (self->crashes[i], FINGERPRINT, &is_test)
         || sv_quarantine_contains (self->quarantines[i], SV_QUARANTINE_REQUESTS, FINGERPRINT);
}

static void
start (PeersFixture *self, guint i)
{
  self->incarnation++;
  peers_fixture_start (self, i);
}

/* Guards against an instance that starts, is told of some crashes, and sends the request on before
 * it hears of the last one, whose witness has been killed with it. */
static void
test_all_is_told_at_once (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  note_crash (&fixture, 0, 1);
  note_crash (&fixture, 0, 2);
  note_crash (&fixture, 2, 3);
  peers_fixture_advance (&fixture, PEERS_HEARTBEAT_INTERVAL);
  peers_fixture_stop (&fixture, 2);
  start (&fixture, 2);
  peers_fixture_discover (&fixture, 2, 0);
  peers_fixture_discover (&fixture, 2, 1);
  peers_fixture_advance (&fixture, FIRST_REQUEST);
  CU_ASSERT_TRUE (is_refused (&fixture, 2));
  peers_fixture_close (&fixture);
}

/* Guards against an instance that is killed with the witness of the third crash, before it is
 * certain that the endpoints have ended, and is told of the crashes one by one. */
static void
test_losses_are_told_at_once (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  note_crash (&fixture, 0, 1);
  note_crash (&fixture, 0, 2);
  note_crash (&fixture, 2, 3);
  peers_fixture_stop (&fixture, 2);
  start (&fixture, 2);
  peers_fixture_discover (&fixture, 2, 0);
  peers_fixture_discover (&fixture, 2, 1);
  peers_fixture_advance (&fixture, FIRST_REQUEST / 2);
  CU_ASSERT_EQUAL (sv_quarantine_n (fixture.quarantines[0]), 0);
  CU_ASSERT_TRUE (is_refused (&fixture, 2));
  peers_fixture_close (&fixture);
}

/* Guards against crashes that are forgotten in an availability zone whose instances have all been
 * killed, as other zones tell only what they have seen themselves. */
static void
test_a_zone_that_starts_again_is_told (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  for (guint i = 1; i <= 3; i++)
    note_crash (&fixture, 3, i);
  peers_fixture_advance (&fixture, PEERS_HEARTBEAT_INTERVAL);
  peers_fixture_stop (&fixture, 3);
  peers_fixture_advance (&fixture, KNL_SEC);
  start (&fixture, 3);
  peers_fixture_discover (&fixture, 3, 0);
  /* Other zones know of it with its first heartbeat. */
  peers_fixture_advance (&fixture, PEERS_HEARTBEAT_INTERVAL + FIRST_REQUEST);
  CU_ASSERT_TRUE (is_refused (&fixture, 3));
  peers_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "all is told at once", test_all_is_told_at_once },
  { "losses are told at once", test_losses_are_told_at_once },
  { "a zone that starts again is told", test_a_zone_that_starts_again_is_told },
};

SUITE_MAIN ("sv_crash_start", cases)
