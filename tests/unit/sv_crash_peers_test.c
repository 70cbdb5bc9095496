/** Crashes under a request that instances tell each other. */

#include "peers_fixture.h"
#include "suite.h"

#define INSTANCES   3
#define FINGERPRINT 77

static const char *const zones[INSTANCES] = { "a", "b", "a" };

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
}

static void
restart (PeersFixture *self, guint i)
{
  peers_fixture_stop (self, i);
  self->incarnation++;
  peers_fixture_start (self, i);
}

/* Guards against an instance that starts, or misses a datagram, and doesn't know of crashes that
 * its peers were told of before. */
static void
test_crashes_are_repeated (void)
{
  gboolean is_test = FALSE;
  PeersFixture fixture;

  fixture_open (&fixture);
  peers_fixture_stop (&fixture, 2);
  for (guint i = 1; i <= 3; i++)
    note_crash (&fixture, 0, i);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  fixture.incarnation++;
  peers_fixture_start (&fixture, 2);
  peers_fixture_discover (&fixture, 2, 0);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  CU_ASSERT_TRUE (sv_crashes_is_refused (fixture.crashes[2], FINGERPRINT, &is_test));
  peers_fixture_close (&fixture);
}

/* Guards against crashes that are forgotten with the instance that saw them. */
static void
test_crashes_outlive_who_saw_them (void)
{
  gboolean is_test = FALSE;
  PeersFixture fixture;

  fixture_open (&fixture);
  for (guint i = 1; i <= 3; i++)
    note_crash (&fixture, 2, i);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  restart (&fixture, 2);
  peers_fixture_discover (&fixture, 2, 0);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  CU_ASSERT_TRUE (sv_crashes_is_refused (fixture.crashes[2], FINGERPRINT, &is_test));
  peers_fixture_close (&fixture);
}

/* Guards against a request that each of several instances knows one crash of, and none refuses. */
static void
test_crashes_of_all_instances_count_together (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < INSTANCES; i++)
    note_crash (&fixture, i, 1 + i);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (sv_crashes_count (fixture.crashes[i], FINGERPRINT), 3);
  peers_fixture_close (&fixture);
}

/* Guards against one crash that several instances have seen and that counts several times. */
static void
test_one_crash_seen_by_all_counts_once (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < INSTANCES; i++)
    note_crash (&fixture, i, 1);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (sv_crashes_count (fixture.crashes[i], FINGERPRINT), 1);
  peers_fixture_close (&fixture);
}

/* Guards against a harmless request that is refused because its endpoints crashed for another
 * reason: it has been answered since. */
static void
test_an_answer_clears_crashes_everywhere (void)
{
  PeersFixture fixture;
  SvPeerLink *link;
  SvAcquittal acquittal = { .fingerprint = FINGERPRINT };

  fixture_open (&fixture);
  for (guint i = 1; i <= 2; i++)
    note_crash (&fixture, 0, i);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  acquittal.answered_at = knl_kernel_now (fixture.kernel);
  CU_ASSERT_TRUE (sv_crashes_note_answer (fixture.crashes[1], &acquittal, SV_CRASH_OWN));
  link = sv_peers_link (fixture.peers[1]);
  link->klass->crashes_changed (link);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (sv_crashes_count (fixture.crashes[i], FINGERPRINT), 0);
  peers_fixture_close (&fixture);
}

/* Guards against crashes counted of endpoints that go on answering a peer: the connection had been
 * idle for too long, or this instance has lost its own links. */
static void
test_endpoints_that_answer_a_peer_have_not_crashed (void)
{
  PeersFixture fixture;
  SvEndpoint *endpoint;

  fixture_open (&fixture);
  note_crash (&fixture, 0, peers_fixture_endpoint (&fixture, 0)->key);
  peers_fixture_advance (&fixture, KNL_SEC);
  CU_ASSERT_EQUAL (sv_crashes_count (fixture.crashes[0], FINGERPRINT), 1);
  endpoint = peers_fixture_endpoint (&fixture, 2);
  sv_signs_note_told (&endpoint->signs, knl_kernel_now (fixture.kernel));
  peers_fixture_call (&fixture, 2, 1);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  CU_ASSERT_EQUAL (sv_crashes_count (fixture.crashes[0], FINGERPRINT), 0);
  peers_fixture_close (&fixture);
}

/* Guards against a verdict that stands for hours at instances which read the list of endpoints from
 * a peer, and never have proof of their own that an endpoint has lived on. */
static void
test_proof_of_life_is_told (void)
{
  PeersFixture fixture;
  SvSigns *signs;
  KnlTime now;

  fixture_open (&fixture);
  now = knl_kernel_now (fixture.kernel);
  signs = &peers_fixture_endpoint (&fixture, 2)->signs;
  sv_signs_note_bytes (signs, now, now, 0);
  peers_fixture_call (&fixture, 2, 1);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  CU_ASSERT_FALSE (sv_signs_prove_life (&peers_fixture_endpoint (&fixture, 0)->signs, now - KNL_SEC,
                                        now - KNL_MSEC));
  sv_signs_note_listed (signs, now + 2 * KNL_SEC);
  peers_fixture_call (&fixture, 2, 1);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_TRUE (sv_signs_prove_life (&peers_fixture_endpoint (&fixture, i)->signs,
                                         now - KNL_SEC, now - 2 * KNL_MSEC));
  peers_fixture_close (&fixture);
}

/* Guards against more losses than fit into one datagram, of which the rest is never sent. */
static void
test_many_losses_are_all_told (void)
{
  static const guint n = 50;
  PeersFixture fixture;
  SvPeerLink *link;

  fixture_open (&fixture);
  link = sv_peers_link (fixture.peers[0]);
  for (guint i = 0; i < n; i++)
    {
      SvCrash crash = { 1000 + i, 1, knl_kernel_now (fixture.kernel) };

      sv_crashes_note_loss (fixture.crashes[0], &crash, SV_CRASH_OWN);
    }
  link->klass->crashes_changed (link);
  peers_fixture_advance (&fixture, 2 * PEERS_PROPAGATION_TIME);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (sv_crashes_n_requests (fixture.crashes[i]), n);
  peers_fixture_close (&fixture);
}

static void
check_records (PeersFixture *self, guint n)
{
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (sv_crashes_n_requests (self->crashes[i]), n);
}

/* Guards against records that are kept, and looked through, for as long as the process runs. */
static void
test_old_records_are_dropped (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  note_crash (&fixture, 0, peers_fixture_endpoint (&fixture, 0)->key);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  check_records (&fixture, 1);
  knl_paused_clock_advance (fixture.clock, 61 * KNL_SEC);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  check_records (&fixture, 0);
  peers_fixture_close (&fixture);
}

/* Guards against records of endpoints that have ended which are kept for ever. */
static void
test_records_of_ended_endpoints_are_dropped_later (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  note_crash (&fixture, 0, 1);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  knl_paused_clock_advance (fixture.clock, 61 * KNL_SEC);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  check_records (&fixture, 1);
  knl_paused_clock_advance (fixture.clock, SV_QUARANTINE_TTL);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  check_records (&fixture, 0);
  peers_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "crashes are repeated", test_crashes_are_repeated },
  { "crashes outlive who saw them", test_crashes_outlive_who_saw_them },
  { "crashes of all instances count together", test_crashes_of_all_instances_count_together },
  { "one crash seen by all counts once", test_one_crash_seen_by_all_counts_once },
  { "an answer clears crashes everywhere", test_an_answer_clears_crashes_everywhere },
  { "proof of life is told", test_proof_of_life_is_told },
  { "endpoints that answer a peer have not crashed",
    test_endpoints_that_answer_a_peer_have_not_crashed },
  { "many losses are all told", test_many_losses_are_all_told },
  { "old records are dropped", test_old_records_are_dropped },
  { "records of ended endpoints are dropped later",
    test_records_of_ended_endpoints_are_dropped_later },
};

SUITE_MAIN ("sv_crash_peers", cases)
