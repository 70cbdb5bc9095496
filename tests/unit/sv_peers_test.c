/** Exchange of loads, prefills and losses between instances, with lost datagrams. */

#include <string.h>

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

static void
note_crash (PeersFixture *fixture, guint i, guint64 fingerprint)
{
  SvPeerLink *link = sv_peers_link (fixture->peers[i]);
  SvCrash crash = { fingerprint, 1, knl_kernel_now (fixture->kernel) };

  sv_crashes_note_loss (fixture->crashes[i], &crash, SV_CRASH_OWN);
  link->klass->crashes_changed (link);
}

static void
test_one_introduction_is_enough (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (
        sv_peers_link (fixture.peers[i])->klass->n_instances (sv_peers_link (fixture.peers[i])),
        INSTANCES);
  peers_fixture_close (&fixture);
}

/*
 * Symptom: several instances fill one endpoint, or prefill long prompts there at the same time.
 * Sequence: one places a prompt; another places its own on the same endpoint right after.
 * Cause: the first placement reached the other instances too late, or not at all.
 */
static void
test_load_and_prefills_are_announced (void)
{
  static const SvLoad load = { .calls = 1, .decoding_streams = { 0, 1, 0 }, .tokens = 5000 };
  PeersFixture fixture;
  SvPrefill prefill = { .prompt = 5, .length = 300 * KNL_MSEC, .until_ended = TRUE };
  SvEndpoint *endpoint;
  SvPeerLink *link;

  fixture_open (&fixture);
  link = sv_peers_link (fixture.peers[0]);
  endpoint = peers_fixture_endpoint (&fixture, 0);
  sv_endpoint_charge (endpoint, &load, 1);
  link->klass->prefill_placed (link, &prefill, &endpoint->key, 1);
  note_crash (&fixture, 0, 77);
  knl_paused_clock_advance (fixture.clock, 3 * KNL_MSEC);
  while (peers_fixture_load (&fixture, 2).calls == 0
         || sv_crashes_count (fixture.crashes[2], 77) == 0)
    event_base_loop (fixture.base, EVLOOP_ONCE);
  CU_ASSERT_EQUAL (peers_fixture_load (&fixture, 2).decoding_streams[SV_GAP_MEDIUM], 1);
  CU_ASSERT_EQUAL (peers_fixture_load (&fixture, 2).tokens, 5000);
  CU_ASSERT (sv_endpoint_prefill_left (peers_fixture_endpoint (&fixture, 2),
                                       knl_kernel_now (fixture.kernel))
             > 290 * KNL_MSEC);
  CU_ASSERT_EQUAL (sv_crashes_count (fixture.crashes[2], 77), 1);
  link->klass->prefill_ended (link, prefill.prompt);
  knl_paused_clock_advance (fixture.clock, 3 * KNL_MSEC);
  while (sv_endpoint_prefill_left (peers_fixture_endpoint (&fixture, 2),
                                   knl_kernel_now (fixture.kernel))
         > 0)
    event_base_loop (fixture.base, EVLOOP_ONCE);
  peers_fixture_close (&fixture);
}

/*
 * Symptom: an endpoint looks idle between two full datagrams, or busy forever.
 * Sequence: a peer's load is announced once; heartbeats without loads follow, and then the next
 * full datagram. Later the datagram that announces the end of its requests is lost.
 * Cause: a heartbeat was handled as if nothing were in flight, or full datagrams were never sent.
 */
static void
test_loads_outlive_heartbeats_and_are_repaired (void)
{
  static const SvLoad load = { .calls = 3 };
  static const KnlTime step = 100 * KNL_MSEC;
  PeersFixture fixture;
  guint steps = 0;

  fixture_open (&fixture);
  sv_endpoint_charge (peers_fixture_endpoint (&fixture, 1), &load, 1);
  sv_peers_link (fixture.peers[1])->klass->load_changed (sv_peers_link (fixture.peers[1]));
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  CU_ASSERT_EQUAL (peers_fixture_load (&fixture, 0).calls, 3);
  for (guint i = 0; i < 30; i++)
    {
      knl_paused_clock_advance (fixture.clock, step);
      event_base_loop (fixture.base, EVLOOP_NONBLOCK);
      CU_ASSERT_EQUAL (peers_fixture_load (&fixture, 0).calls, 3);
    }
  /* This change isn't announced on its own. */
  sv_endpoint_charge (peers_fixture_endpoint (&fixture, 1), &load, -1);
  while (peers_fixture_load (&fixture, 0).calls != 0 && steps++ < 100)
    {
      knl_paused_clock_advance (fixture.clock, step);
      event_base_loop (fixture.base, EVLOOP_NONBLOCK);
    }
  CU_ASSERT (steps <= 20);
  peers_fixture_close (&fixture);
}

/*
 * Symptom: an instance that was restarted isn't listed to callers, and its requests aren't counted,
 * until its clock has caught up.
 * Sequence: its wall clock jumps back; it is killed and starts again with a lower incarnation.
 * Cause: incarnations are wall-clock times, and datagrams with a lower one were dropped as those of
 * an earlier start.
 */
static void
test_restart_after_the_clock_jumped_back (void)
{
  static const SvLoad load = { .calls = 2 };
  PeersFixture fixture;

  fixture_open (&fixture);
  peers_fixture_stop (&fixture, 1);
  knl_paused_clock_advance (fixture.clock, 2 * KNL_SEC);
  fixture.incarnation = 1;
  peers_fixture_start (&fixture, 1);
  peers_fixture_discover (&fixture, 1, 0);
  sv_endpoint_charge (peers_fixture_endpoint (&fixture, 1), &load, 1);
  sv_peers_set_ready (fixture.peers[1], TRUE);
  peers_fixture_advance (&fixture, PEERS_HEARTBEAT_INTERVAL + PEERS_PROPAGATION_TIME);
  CU_ASSERT_EQUAL (peers_fixture_load (&fixture, 0).calls, 2);
  CU_ASSERT (sv_peers_n_alive (fixture.peers[0]) >= 1);
  peers_fixture_close (&fixture);
}

/*
 * Symptom: callers are sent to an instance that is down, or its requests are still counted.
 * Sequence: an instance loses power and sends nothing more.
 * Cause: its last datagram was relied on indefinitely.
 */
static void
test_silent_peer_is_ignored (void)
{
  static const SvLoad load = { .calls = 3 };
  PeersFixture fixture;
  g_autoptr (GPtrArray) before = NULL;
  g_autoptr (GPtrArray) after = NULL;

  fixture_open (&fixture);
  sv_endpoint_charge (peers_fixture_endpoint (&fixture, 1), &load, 1);
  for (guint i = 0; i < INSTANCES; i++)
    sv_peers_set_ready (fixture.peers[i], TRUE);
  peers_fixture_advance (&fixture, PEERS_HEARTBEAT_INTERVAL + PEERS_PROPAGATION_TIME);
  CU_ASSERT_EQUAL (peers_fixture_load (&fixture, 0).calls, 3);
  before = sv_peers_ready_addresses (fixture.peers[0], "a", 10);
  CU_ASSERT_EQUAL (before->len, 3);
  CU_ASSERT_STRING_EQUAL (g_ptr_array_index (before, 2), "10.0.0.1:80");
  /* The sockets aren't read from here on, so all peers are silent. */
  knl_paused_clock_advance (fixture.clock, 2 * KNL_SEC);
  after = sv_peers_ready_addresses (fixture.peers[0], "a", 10);
  CU_ASSERT_EQUAL (after->len, 1);
  CU_ASSERT_EQUAL (peers_fixture_load (&fixture, 0).calls, 0);
  peers_fixture_close (&fixture);
}

/* Instance `i` reports a lost request at its endpoint. */
static void
report_loss (PeersFixture *self, guint i)
{
  SvPeerLink *link = sv_peers_link (self->peers[i]);

  link->klass->health_changed (link, peers_fixture_endpoint (self, i), TRUE);
  peers_fixture_advance (self, PEERS_PROPAGATION_TIME);
}

static gboolean
has_shared_backoff_at (PeersFixture *self, guint i)
{
  return sv_endpoint_has_shared_backoff (peers_fixture_endpoint (self, i),
                                         knl_kernel_now (self->kernel));
}

/*
 * Symptom: each instance detects anew that an endpoint resets every request; of 80 instances, 77
 * lost requests there, one after the other.
 * Sequence: two instances lose a request each within a second; a third one places its own there.
 * Cause: losses weren't shared between instances.
 */
static void
test_losses_of_two_peers_are_accepted (void)
{
  PeersFixture fixture;
  SvPeerLink *link;

  fixture_open (&fixture);
  report_loss (&fixture, 0);
  /* A single instance may itself be cut off or faulty. */
  CU_ASSERT_FALSE (has_shared_backoff_at (&fixture, 2));
  report_loss (&fixture, 0);
  CU_ASSERT_FALSE (has_shared_backoff_at (&fixture, 2));
  report_loss (&fixture, 1);
  CU_ASSERT_TRUE (has_shared_backoff_at (&fixture, 2));
  /* An answer that the instance itself just received outweighs the reports. */
  CU_ASSERT_TRUE (sv_endpoint_note_success (peers_fixture_endpoint (&fixture, 2),
                                            knl_kernel_now (fixture.kernel)));
  CU_ASSERT_FALSE (has_shared_backoff_at (&fixture, 2));
  /* An answer to one instance clears the endpoint at all of them. */
  report_loss (&fixture, 1);
  link = sv_peers_link (fixture.peers[2]);
  link->klass->health_changed (link, peers_fixture_endpoint (&fixture, 2), FALSE);
  peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
  CU_ASSERT_FALSE (has_shared_backoff_at (&fixture, 0));
  peers_fixture_close (&fixture);
}

/* Guards against reports from an instance that loses requests at all endpoints, as it is probably
 * cut off itself. */
static void
test_losses_at_all_endpoints_are_not_accepted (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 5; i++)
    report_loss (&fixture, 0);
  pol_shared_health_note_success (&peers_fixture_endpoint (&fixture, 2)->shared_health);
  report_loss (&fixture, 0);
  report_loss (&fixture, 1);
  CU_ASSERT_FALSE (has_shared_backoff_at (&fixture, 2));
  peers_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "one introduction is enough", test_one_introduction_is_enough },
  { "load and prefills are announced", test_load_and_prefills_are_announced },
  { "loads outlive heartbeats and are repaired", test_loads_outlive_heartbeats_and_are_repaired },
  { "a restart after the clock jumped back", test_restart_after_the_clock_jumped_back },
  { "a silent peer is ignored", test_silent_peer_is_ignored },
  { "losses of two peers are accepted", test_losses_of_two_peers_are_accepted },
  { "losses at all endpoints are not accepted", test_losses_at_all_endpoints_are_not_accepted },
};

SUITE_MAIN ("sv_peers", cases)
