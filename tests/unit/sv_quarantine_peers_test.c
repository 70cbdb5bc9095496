/** Quarantined segments of prompts that instances tell each other. */

#include "common/log.h"
#include "peers_fixture.h"
#include "suite.h"

#include <string.h>

#define INSTANCES   3
#define N_ENDPOINTS 6
#define SERVICE     7
#define DEADLY      0xdead

/* Time between two crashes. */
#define PAUSE (500 * KNL_MSEC)

static const char *const zones[INSTANCES] = { "a", "b", "a" };

static void
fixture_open (PeersFixture *self)
{
  peers_fixture_open (self, zones, INSTANCES, N_ENDPOINTS);
  peers_fixture_connect (self);
}

static SvEndpoint *
endpoint_at (PeersFixture *self, guint i, guint endpoint)
{
  return g_ptr_array_index (sv_fleet_all (self->fleets[i]), endpoint);
}

static void
announce (PeersFixture *self, guint i)
{
  SvPeerLink *link = sv_peers_link (self->peers[i]);

  link->klass->crashes_changed (link);
}

/* Instance `i` loses the endpoint under a request of its own. */
static void
crash (PeersFixture *self, guint i, guint endpoint)
{
  SvSegmentUse use = { .request = 1000 + endpoint,
                       .endpoint = endpoint_at (self, i, endpoint)->key,
                       .service = SERVICE,
                       .at = knl_kernel_now (self->kernel),
                       .segments = { { DEADLY }, 1 } };

  sv_quarantine_note_loss (self->quarantines[i], &use, SV_CRASH_OWN);
  for (guint j = 0; j < INSTANCES; j++)
    sv_quarantine_note_closed (self->quarantines[j], use.endpoint, 1, use.at);
  announce (self, i);
}

/* Each instance loses one of three endpoints. */
static void
crash_three (PeersFixture *self)
{
  for (guint i = 0; i < 3; i++)
    {
      crash (self, i % INSTANCES, i);
      peers_fixture_advance (self, PAUSE);
    }
  peers_fixture_advance (self, 2 * PEERS_HEARTBEAT_INTERVAL);
}

static gboolean
is_refused (PeersFixture *self, guint i)
{
  SvSegments segments = { { DEADLY }, 1 };
  gboolean is_test = FALSE;

  return sv_quarantine_check (self->quarantines[i], SERVICE, &segments, &is_test) != NULL;
}

/* Guards against a segment of which each instance knows one crash, and none refuses it. */
static void
test_losses_of_all_instances_count_together (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  crash_three (&fixture);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_TRUE (is_refused (&fixture, i));
  peers_fixture_close (&fixture);
}

/* Guards against an instance that starts later, or was frozen, and lets the prompts through. */
static void
test_quarantines_are_repeated (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  crash_three (&fixture);
  peers_fixture_stop (&fixture, 2);
  fixture.incarnation++;
  peers_fixture_start (&fixture, 2);
  CU_ASSERT_FALSE (is_refused (&fixture, 2));
  peers_fixture_discover (&fixture, 2, 0);
  peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
  CU_ASSERT_TRUE (is_refused (&fixture, 2));
  peers_fixture_close (&fixture);
}

/* Guards against sound prompts that go on being refused at instances which have missed that an
 * endpoint has survived one. */
static void
test_a_survival_ends_the_quarantine_everywhere (void)
{
  PeersFixture fixture;
  SvSegmentSurvival survival = { .service = SERVICE, .segments = { { DEADLY }, 1 } };
  SvQuarantineNews lost;

  fixture_open (&fixture);
  crash_three (&fixture);
  survival.at = knl_kernel_now (fixture.kernel);
  CU_ASSERT_TRUE (sv_quarantine_note_survival (fixture.quarantines[1], &survival, SV_CRASH_OWN));
  /* All datagrams that tell the others are lost. */
  for (guint i = 0; i < SV_CRASHES_N_AUDIENCES; i++)
    sv_quarantine_take_news (fixture.quarantines[1], i, &lost);
  peers_fixture_advance (&fixture, 10 * PEERS_HEARTBEAT_INTERVAL);
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_FALSE (is_refused (&fixture, i));
  peers_fixture_close (&fixture);
}

/* Guards against a shared segment that is quarantined for losses at one instance while prompts with
 * it are answered at others. */
static void
test_survivals_of_others_clear_losses (void)
{
  PeersFixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 5; i++)
    {
      SvSegmentSurvival survival = { SERVICE, 0, { { DEADLY }, 1 } };

      crash (&fixture, 0, i);
      peers_fixture_advance (&fixture, PAUSE);
      survival.at = knl_kernel_now (fixture.kernel);
      sv_quarantine_note_survival (fixture.quarantines[1], &survival, SV_CRASH_OWN);
      announce (&fixture, 1);
      peers_fixture_advance (&fixture, PEERS_PROPAGATION_TIME);
    }
  for (guint i = 0; i < INSTANCES; i++)
    CU_ASSERT_FALSE (is_refused (&fixture, i));
  peers_fixture_close (&fixture);
}

static gboolean
is_elected (guint64 seed, gpointer data)
{
  const SvPeerLink *link = sv_peers_link (data);

  return link->klass->is_elected (link, seed);
}

static void
join_election (PeersFixture *self, guint i)
{
  sv_quarantine_set_election (self->quarantines[i], is_elected, self->peers[i]);
}

/* Asks each instance for the prompt once a second. Returns how many were let through. */
static guint
count_let_through (PeersFixture *self, guint seconds)
{
  guint n = 0;

  for (guint s = 0; s < seconds; s++)
    {
      for (guint i = 0; i < INSTANCES; i++)
        {
          n += !is_refused (self, i);
          announce (self, i);
          peers_fixture_advance (self, PEERS_PROPAGATION_TIME);
        }
      peers_fixture_advance (self, 940 * KNL_MSEC);
    }
  return n;
}

/* Guards against instances of which each puts a quarantine to the test by itself, and against one
 * that starts and makes all tests again: every one of them costs an endpoint. */
static void
test_tests_are_made_once_for_all (void)
{
  PeersFixture fixture;
  guint n;

  fixture_open (&fixture);
  for (guint i = 0; i < INSTANCES; i++)
    join_election (&fixture, i);
  crash_three (&fixture);
  n = count_let_through (&fixture, 40);
  CU_ASSERT (n <= 1);
  for (guint i = 0; i < INSTANCES; i++)
    {
      peers_fixture_stop (&fixture, i);
      fixture.incarnation++;
      peers_fixture_start (&fixture, i);
      join_election (&fixture, i);
      for (guint j = 0; j < INSTANCES; j++)
        peers_fixture_discover (&fixture, i, j);
      peers_fixture_advance (&fixture, 5 * PEERS_HEARTBEAT_INTERVAL);
    }
  n += count_let_through (&fixture, 200);
  CU_ASSERT (n >= 1 && n <= 2);
  peers_fixture_close (&fixture);
}

static void
count_too_large (const char *line, gpointer data)
{
  *(guint *)data += strstr (line, "datagram-too-large") != NULL;
}

/* Guards against losses that don't fit into a datagram and are never told: prompts have up to
 * sixteen shared segments. */
static void
test_the_longest_lists_of_segments_fit (void)
{
  PeersFixture fixture;
  guint n_too_large = 0;

  fixture_open (&fixture);
  cm_log_set_sink (count_too_large, &n_too_large);
  for (guint r = 0; r < 20; r++)
    {
      SvSegmentUse use = { .request = G_MAXUINT64 - r,
                           .endpoint = endpoint_at (&fixture, 0, r % N_ENDPOINTS)->key,
                           .service = G_MAXUINT32,
                           .at = knl_kernel_now (fixture.kernel) };
      SvSegmentSurvival survival = { SERVICE, use.at, { { 0 }, 0 } };

      for (guint64 s = 0; s < SV_MAX_SEGMENTS; s++)
        sv_segments_add (&use.segments, G_MAXUINT64 - 100ULL * r - s);
      survival.segments = use.segments;
      sv_quarantine_note_loss (fixture.quarantines[0], &use, SV_CRASH_OWN);
      if (r < 10)
        sv_quarantine_note_survival (fixture.quarantines[0], &survival, SV_CRASH_OWN);
    }
  announce (&fixture, 0);
  peers_fixture_advance (&fixture, 2 * PEERS_PROPAGATION_TIME);
  CU_ASSERT_EQUAL (sv_quarantine_n_suspects (fixture.quarantines[1]), 20 * SV_MAX_SEGMENTS);
  CU_ASSERT_EQUAL (n_too_large, 0);
  cm_log_set_sink (NULL, NULL);
  peers_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "losses of all instances count together", test_losses_of_all_instances_count_together },
  { "quarantines are repeated", test_quarantines_are_repeated },
  { "a survival ends the quarantine everywhere", test_a_survival_ends_the_quarantine_everywhere },
  { "survivals of others clear losses", test_survivals_of_others_clear_losses },
  { "tests are made once for all", test_tests_are_made_once_for_all },
  { "the longest lists of segments fit", test_the_longest_lists_of_segments_fit },
};

SUITE_MAIN ("sv_quarantine_peers", cases)
