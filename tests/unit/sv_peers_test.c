/** Instances that tell each other what they do, over datagrams that may be lost. */

#include <string.h>

#include "kernel/paused.h"
#include "serve/peers.h"
#include "suite.h"

#define INSTANCES 3
#define STUCK_S   20

/* What an instance has seen is known in all cells within this, and within a heartbeat if a datagram
 * was lost. */
#define ACROSS (20 * KNL_MSEC)
#define BEAT   (400 * KNL_MSEC)

typedef struct
{
  struct event_base *base;
  struct event *stuck;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  SvFleet *fleets[INSTANCES];
  SvPeers *peers[INSTANCES];
  char *links[INSTANCES];
  guint64 suspect;
  guint64 incarnation; /* of instances that are opened */
} Fixture;

static void
on_stuck (evutil_socket_t fd, short what, void *data)
{
  g_error ("nothing happens any more");
}

static void
on_suspect (guint64 fingerprint, gpointer data)
{
  ((Fixture *)data)->suspect = fingerprint;
}

static const char *const zones[INSTANCES] = { "a", "b", "a" };

static void
open_instance (Fixture *self, guint i)
{
  static guint port = 22000;
  g_autofree char *name = g_strdup_printf ("n%u", i);
  g_autofree char *callers = g_strdup_printf ("10.0.0.%u:80", i);
  SvEndpointEntry entry = {
    .id = "i-1", .service = "s", .address = "127.0.0.1:9", .zone = "a", .slots = 8
  };

  self->fleets[i] = sv_fleet_new (self->kernel, KNL_SEC);
  sv_fleet_update (self->fleets[i], &entry);
  while (self->peers[i] == NULL)
    {
      SvMember member = { .name = name,
                          .incarnation = self->incarnation,
                          .callers_address = callers,
                          .zone = zones[i],
                          .region = "r",
                          .strength = 100 };

      /* One that is opened again keeps its address. */
      if (self->links[i] == NULL)
        self->links[i] = g_strdup_printf ("127.0.0.1:%u", port++);
      member.link_address = self->links[i];
      self->peers[i] = sv_peers_new (self->kernel, self->base, self->fleets[i], &member);
      if (self->peers[i] == NULL)
        g_clear_pointer (&self->links[i], g_free);
    }
  sv_peers_on_suspect (self->peers[i], on_suspect, self);
}

static void
fixture_open (Fixture *self)
{
  struct timeval limit = { .tv_sec = STUCK_S };

  *self =
      (Fixture){ .base = event_base_new (), .clock = knl_paused_clock_new (), .incarnation = 9 };
  self->stuck = evtimer_new (self->base, on_stuck, NULL);
  evtimer_add (self->stuck, &limit);
  knl_paused_clock_advance (self->clock, 10 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 5);
  for (guint i = 0; i < INSTANCES; i++)
    open_instance (self, i);
}

static void
fixture_close (Fixture *self)
{
  for (guint i = 0; i < INSTANCES; i++)
    {
      sv_peers_free (self->peers[i]);
      sv_fleet_free (self->fleets[i]);
      g_free (self->links[i]);
    }
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
  event_free (self->stuck);
  event_base_free (self->base);
}

/* Time passes in steps in which all datagrams are delivered. */
static void
pass (Fixture *self, KnlTime time)
{
  static const KnlTime step = 1 * KNL_MSEC;

  for (KnlTime passed = 0; passed < time; passed += step)
    {
      knl_paused_clock_advance (self->clock, step);
      for (guint turn = 0; turn < 2 * INSTANCES; turn++)
        event_base_loop (self->base, EVLOOP_NONBLOCK);
    }
}

static void
learn (Fixture *self, guint i, guint j)
{
  SvMember member = { .link_address = self->links[j], .zone = zones[j], .strength = 100 };

  sv_peers_learn (self->peers[i], &member);
}

/* Instances 1 and 2 learn of 0 from the store's rows, as they would after their start; a heartbeat
 * later the cells know of each other. */
static void
meet (Fixture *self)
{
  for (guint i = 1; i < INSTANCES; i++)
    for (guint j = 0; j < i; j++)
      learn (self, i, j);
  pass (self, 2 * BEAT + ACROSS);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL_FATAL (sv_peers_n_alive (self->peers[i]), INSTANCES - 1);
}

static SvEndpoint *
endpoint_of (Fixture *self, guint i)
{
  return g_ptr_array_index (sv_fleet_all (self->fleets[i]), 0);
}

static SvLoad
load_at (Fixture *self, guint i)
{
  return sv_endpoint_load (endpoint_of (self, i), knl_kernel_now (self->kernel));
}

static void
test_a_greeting_is_enough (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  meet (&fixture);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (
        sv_peers_link (fixture.peers[i])->klass->n_instances (sv_peers_link (fixture.peers[i])),
        INSTANCES);
  fixture_close (&fixture);
}

/*
 * Symptom: several instances fill one endpoint, or read long prompts there at once.
 * Sequence: one places a prompt; another places its own on the same endpoint right after.
 * Cause: what one placed reached the others too late, or not at all.
 */
static void
test_load_and_reads_are_told (void)
{
  static const SvLoad load = { .calls = 1, .writers = { 0, 1, 0 }, .tokens = 5000 };
  Fixture fixture;
  SvRead read = { .prompt = 5, .length = 300 * KNL_MSEC, .until_told = TRUE };
  SvEndpoint *endpoint;
  SvPeerLink *link;

  fixture_open (&fixture);
  meet (&fixture);
  link = sv_peers_link (fixture.peers[0]);
  endpoint = endpoint_of (&fixture, 0);
  sv_endpoint_charge (endpoint, &load, 1);
  link->klass->read_placed (link, &read, &endpoint->key, 1);
  link->klass->suspect (link, 77);
  knl_paused_clock_advance (fixture.clock, 3 * KNL_MSEC);
  while (load_at (&fixture, 2).calls == 0 || fixture.suspect == 0)
    event_base_loop (fixture.base, EVLOOP_ONCE);
  CU_ASSERT_EQUAL (load_at (&fixture, 2).writers[SV_PAUSE_MEDIUM], 1);
  CU_ASSERT_EQUAL (load_at (&fixture, 2).tokens, 5000);
  CU_ASSERT (sv_endpoint_read_left (endpoint_of (&fixture, 2), knl_kernel_now (fixture.kernel))
             > 290 * KNL_MSEC);
  CU_ASSERT_EQUAL (fixture.suspect, 77);
  link->klass->read_ended (link, read.prompt);
  knl_paused_clock_advance (fixture.clock, 3 * KNL_MSEC);
  while (sv_endpoint_read_left (endpoint_of (&fixture, 2), knl_kernel_now (fixture.kernel)) > 0)
    event_base_loop (fixture.base, EVLOOP_ONCE);
  fixture_close (&fixture);
}

/*
 * Symptom: an endpoint looks free between two whole datagrams, or busy for ever.
 * Sequence: a peer's load is told once; heartbeats without loads follow, and only then the next
 * whole datagram. Later the word that its requests have ended is lost.
 * Cause: a heartbeat was taken to say that nothing is in flight, or whole datagrams never came.
 */
static void
test_loads_outlive_heartbeats_and_are_mended (void)
{
  static const SvLoad load = { .calls = 3 };
  static const KnlTime step = 100 * KNL_MSEC;
  Fixture fixture;
  guint steps = 0;

  fixture_open (&fixture);
  meet (&fixture);
  sv_endpoint_charge (endpoint_of (&fixture, 1), &load, 1);
  sv_peers_link (fixture.peers[1])->klass->load_changed (sv_peers_link (fixture.peers[1]));
  pass (&fixture, ACROSS);
  CU_ASSERT_EQUAL (load_at (&fixture, 0).calls, 3);
  for (guint i = 0; i < 30; i++)
    {
      knl_paused_clock_advance (fixture.clock, step);
      event_base_loop (fixture.base, EVLOOP_NONBLOCK);
      CU_ASSERT_EQUAL (load_at (&fixture, 0).calls, 3);
    }
  /* Its change is not told by itself. */
  sv_endpoint_charge (endpoint_of (&fixture, 1), &load, -1);
  while (load_at (&fixture, 0).calls != 0 && steps++ < 100)
    {
      knl_paused_clock_advance (fixture.clock, step);
      event_base_loop (fixture.base, EVLOOP_NONBLOCK);
    }
  CU_ASSERT (steps <= 20);
  fixture_close (&fixture);
}

/*
 * Symptom: an instance that has started again is not named to callers, and its requests are not
 * counted, until its clock has caught up.
 * Sequence: its time of day jumps back; it is killed and starts again with a lower incarnation.
 * Cause: incarnations are times of day, and a lower one was taken for an earlier start's datagram.
 */
static void
test_restart_after_the_clock_jumped_back (void)
{
  static const SvLoad load = { .calls = 2 };
  Fixture fixture;

  fixture_open (&fixture);
  meet (&fixture);
  sv_peers_free (fixture.peers[1]);
  sv_fleet_free (fixture.fleets[1]);
  fixture.peers[1] = NULL;
  knl_paused_clock_advance (fixture.clock, 2 * KNL_SEC);
  fixture.incarnation = 1;
  open_instance (&fixture, 1);
  learn (&fixture, 1, 0);
  sv_endpoint_charge (endpoint_of (&fixture, 1), &load, 1);
  sv_peers_set_ready (fixture.peers[1], TRUE);
  pass (&fixture, BEAT + ACROSS);
  CU_ASSERT_EQUAL (load_at (&fixture, 0).calls, 2);
  CU_ASSERT (sv_peers_n_alive (fixture.peers[0]) >= 1);
  fixture_close (&fixture);
}

/*
 * Symptom: callers are sent to an instance that is gone, or keep counting its requests.
 * Sequence: an instance loses power; nothing more is heard of it.
 * Cause: its last word was believed for ever.
 */
static void
test_silent_peer_is_left_out (void)
{
  static const SvLoad load = { .calls = 3 };
  Fixture fixture;
  g_autoptr (GPtrArray) before = NULL;
  g_autoptr (GPtrArray) after = NULL;

  fixture_open (&fixture);
  meet (&fixture);
  sv_endpoint_charge (endpoint_of (&fixture, 1), &load, 1);
  for (guint i = 0; i < INSTANCES; i++)
    sv_peers_set_ready (fixture.peers[i], TRUE);
  pass (&fixture, BEAT + ACROSS);
  CU_ASSERT_EQUAL (load_at (&fixture, 0).calls, 3);
  before = sv_peers_ready_addresses (fixture.peers[0], "a", 10);
  CU_ASSERT_EQUAL (before->len, 3);
  CU_ASSERT_STRING_EQUAL (g_ptr_array_index (before, 2), "10.0.0.1:80");
  /* Nothing is read from the sockets any more: all peers are silent. */
  knl_paused_clock_advance (fixture.clock, 2 * KNL_SEC);
  after = sv_peers_ready_addresses (fixture.peers[0], "a", 10);
  CU_ASSERT_EQUAL (after->len, 1);
  CU_ASSERT_EQUAL (load_at (&fixture, 0).calls, 0);
  fixture_close (&fixture);
}

/* What one instance loses at its endpoint number `i`. */
static void
lose (Fixture *self, guint i)
{
  SvPeerLink *link = sv_peers_link (self->peers[i]);

  link->klass->health_changed (link, endpoint_of (self, i), TRUE);
  pass (self, ACROSS);
}

static gboolean
is_doubted_at (Fixture *self, guint i)
{
  return sv_endpoint_is_doubted (endpoint_of (self, i), knl_kernel_now (self->kernel));
}

/*
 * Symptom: an endpoint that resets every request is found out by each instance anew; of 80, 77 lost
 * requests there, one after the other.
 * Sequence: two instances lose a request each within a second; a third one places its own there.
 * Cause: what an instance had seen of an endpoint it kept to itself.
 */
static void
test_losses_of_two_are_believed (void)
{
  Fixture fixture;
  SvPeerLink *link;

  fixture_open (&fixture);
  meet (&fixture);
  lose (&fixture, 0);
  /* One alone may be cut off or sick itself. */
  CU_ASSERT_FALSE (is_doubted_at (&fixture, 2));
  lose (&fixture, 0);
  CU_ASSERT_FALSE (is_doubted_at (&fixture, 2));
  lose (&fixture, 1);
  CU_ASSERT_TRUE (is_doubted_at (&fixture, 2));
  /* Our own answer of just now speaks louder. */
  CU_ASSERT_TRUE (
      sv_endpoint_note_success (endpoint_of (&fixture, 2), knl_kernel_now (fixture.kernel)));
  CU_ASSERT_FALSE (is_doubted_at (&fixture, 2));
  /* An answer that one of them gets lets it back everywhere. */
  lose (&fixture, 1);
  link = sv_peers_link (fixture.peers[2]);
  link->klass->health_changed (link, endpoint_of (&fixture, 2), FALSE);
  pass (&fixture, ACROSS);
  CU_ASSERT_FALSE (is_doubted_at (&fixture, 0));
  fixture_close (&fixture);
}

/* One that loses requests everywhere is the one that is cut off. */
static void
test_who_loses_everywhere_is_not_believed (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  meet (&fixture);
  for (guint i = 0; i < 5; i++)
    lose (&fixture, 0);
  pol_belief_note_success (&endpoint_of (&fixture, 2)->belief);
  lose (&fixture, 0);
  lose (&fixture, 1);
  CU_ASSERT_FALSE (is_doubted_at (&fixture, 2));
  fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "a greeting is enough", test_a_greeting_is_enough },
  { "load and reads are told", test_load_and_reads_are_told },
  { "loads outlive heartbeats and are mended", test_loads_outlive_heartbeats_and_are_mended },
  { "a restart after the clock jumped back", test_restart_after_the_clock_jumped_back },
  { "a silent peer is left out", test_silent_peer_is_left_out },
  { "losses of two are believed", test_losses_of_two_are_believed },
  { "who loses everywhere is not believed", test_who_loses_everywhere_is_not_believed },
};

SUITE_MAIN ("sv_peers", cases)
