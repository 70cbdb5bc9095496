/** What an instance that was paused makes of datagrams which have waited in its socket. */

#include "peers_fixture.h"
#include "suite.h"

#define INSTANCES   3
#define FINGERPRINT 77

/* Duration of the pauses. */
#define PAUSE (3 * KNL_SEC)

static const char *const zones[INSTANCES] = { "a", "b", "a" };

/* Instance 2 can be frozen. */
static void
fixture_open (PeersFixture *self)
{
  peers_fixture_open (self, zones, INSTANCES, 1);
  peers_fixture_separate (self, 2);
  peers_fixture_connect (self);
  peers_fixture_advance (self, 3 * PEERS_HEARTBEAT_INTERVAL);
}

/* Instance `i` loses the endpoint under the request. */
static void
note_crash (PeersFixture *self, guint i)
{
  SvPeerLink *link = sv_peers_link (self->peers[i]);
  SvCrash crash = { FINGERPRINT, peers_fixture_endpoint (self, i)->key,
                    knl_kernel_now (self->kernel) };

  sv_crashes_note_loss (self->crashes[i], &crash, SV_CRASH_OWN);
  link->klass->crashes_changed (link);
}

/* Instance `i` hears from the endpoint, and tells the others with its load there. */
static void
hear_from_endpoint (PeersFixture *self, guint i)
{
  sv_signs_note_told (&peers_fixture_endpoint (self, i)->signs, knl_kernel_now (self->kernel));
  peers_fixture_call (self, i, 1);
  peers_fixture_advance (self, PEERS_PROPAGATION_TIME);
}

/* Guards against endpoints that count as living since an instance, after a pause, reads what its
 * peers had told before they ended. */
static void
test_signs_of_life_that_have_waited (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  peers_fixture_set_frozen (&fixture, 2, TRUE);
  hear_from_endpoint (&fixture, 0);
  note_crash (&fixture, 0);
  peers_fixture_advance (&fixture, PAUSE);
  peers_fixture_set_frozen (&fixture, 2, FALSE);
  peers_fixture_call (&fixture, 2, 1);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (sv_crashes_count (fixture.crashes[i], FINGERPRINT), 1);
  peers_fixture_close (&fixture);
}

/* Guards against losses that are cleared since an instance, after a pause, reads of an answer that
 * came before them. */
static void
test_answers_that_have_waited (void)
{
  PeersFixture fixture;
  SvPeerLink *link;
  SvAcquittal acquittal = { .fingerprint = FINGERPRINT };

  fixture_open (&fixture);
  link = sv_peers_link (fixture.peers[0]);
  note_crash (&fixture, 0);
  peers_fixture_advance (&fixture, KNL_SEC);
  peers_fixture_set_frozen (&fixture, 2, TRUE);
  acquittal.answered_at = knl_kernel_now (fixture.kernel);
  sv_crashes_note_answer (fixture.crashes[0], &acquittal, SV_CRASH_OWN);
  link->klass->crashes_changed (link);
  peers_fixture_advance (&fixture, KNL_SEC);
  note_crash (&fixture, 1);
  peers_fixture_advance (&fixture, PAUSE);
  peers_fixture_set_frozen (&fixture, 2, FALSE);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (sv_crashes_count (fixture.crashes[i], FINGERPRINT), 1);
  peers_fixture_close (&fixture);
}

/* Guards against a relay that, after a pause, passes on what another cell had told before it. */
static void
test_news_that_a_relay_has_held (void)
{
  PeersFixture fixture;

  peers_fixture_open (&fixture, zones, INSTANCES, 1);
  fixture.strength[2]++;
  peers_fixture_separate (&fixture, 2);
  peers_fixture_connect (&fixture);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  CU_ASSERT_TRUE (sv_peers_is_relay (fixture.peers[2]));
  peers_fixture_set_frozen (&fixture, 2, TRUE);
  hear_from_endpoint (&fixture, 1);
  peers_fixture_advance (&fixture, KNL_SEC / 2);
  note_crash (&fixture, 0);
  peers_fixture_advance (&fixture, KNL_SEC / 2);
  peers_fixture_set_frozen (&fixture, 2, FALSE);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  CU_ASSERT_EQUAL (sv_crashes_count (fixture.crashes[0], FINGERPRINT), 1);
  peers_fixture_close (&fixture);
}

/* Guards against endpoints that live and are taken for ended: what an instance hears after a pause
 * counts like anything else. */
static void
test_signs_of_life_after_a_pause (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  note_crash (&fixture, 0);
  peers_fixture_set_frozen (&fixture, 2, TRUE);
  peers_fixture_advance (&fixture, PAUSE);
  peers_fixture_set_frozen (&fixture, 2, FALSE);
  peers_fixture_advance (&fixture, KNL_SEC);
  hear_from_endpoint (&fixture, 1);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (sv_crashes_count (fixture.crashes[i], FINGERPRINT), 0);
  peers_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "signs of life that have waited", test_signs_of_life_that_have_waited },
  { "answers that have waited", test_answers_that_have_waited },
  { "news that a relay has held", test_news_that_a_relay_has_held },
  { "signs of life after a pause", test_signs_of_life_after_a_pause },
};

SUITE_MAIN ("sv_crash_paused", cases)
