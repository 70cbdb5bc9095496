/** Tests of the reports of offered load between instances and cells. */

#include "peers_fixture.h"
#include "suite.h"

#define INSTANCES 6
#define SERVICE   7

/* Time in which each instance reports, and its relay thereafter. */
#define REPORTING_TIME (400 * KNL_MSEC + PEERS_PROPAGATION_TIME)

static const char *const zones[INSTANCES] = { "a", "a", "a", "b", "b", "b" };

typedef struct
{
  guint64 load;
  guint heard;
} Totals;

static Totals
totals_at (PeersFixture *self, guint i)
{
  SvOfferedTotals totals = sv_offered_totals (self->offered[i], SERVICE, INSTANCES);
  Totals sum = { .heard = totals.heard };

  for (guint j = 0; j < totals.rows->len; j++)
    sum.load += g_array_index (totals.rows, PolOfferedRow, j).load;
  sv_offered_totals_clear (&totals);
  return sum;
}

static void
note_saturated (PeersFixture *self)
{
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (self->offered[i] != NULL)
        sv_offered_note_saturated (self->offered[i], SERVICE);
    }
}

/* Callers offer each instance but the last 100 requests a second, of 1 ms each. */
static void
play (PeersFixture *self, KnlTime time)
{
  for (KnlTime passed = 0; passed < time; passed += 10 * KNL_MSEC)
    {
      for (guint i = 0; i + 1 < INSTANCES; i++)
        {
          if (self->offered[i] != NULL)
            sv_offered_note_request (self->offered[i], SERVICE, 0, i + 1, KNL_MSEC);
        }
      peers_fixture_advance (self, 10 * KNL_MSEC);
    }
}

static void
check_totals (PeersFixture *self, guint64 load, guint heard)
{
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (self->offered[i] == NULL)
        continue;
      CU_ASSERT_EQUAL (totals_at (self, i).heard, heard);
      CU_ASSERT_DOUBLE_EQUAL ((double)totals_at (self, i).load, (double)load, 0.03 * (double)load);
    }
}

/* Guards against an instance that doesn't know what is offered elsewhere, and one without callers
 * that counts as not heard. */
static void
test_all_know_the_sum (void)
{
  PeersFixture fixture;

  peers_fixture_open (&fixture, zones, INSTANCES, 2);
  peers_fixture_connect (&fixture);
  note_saturated (&fixture);
  play (&fixture, 2 * KNL_SEC);
  check_totals (&fixture, 500 * KNL_MSEC, INSTANCES);
  peers_fixture_close (&fixture);
}

/* Guards against reports when nothing is saturated, which cost processor time for nothing, and more
 * than five of them a second. */
static void
test_reports_only_while_saturated (void)
{
  PeersFixture fixture;
  guint64 before;
  guint64 sent;

  peers_fixture_open (&fixture, zones, INSTANCES, 2);
  peers_fixture_connect (&fixture);
  before = sv_peers_sent (fixture.peers[0]).datagrams;
  play (&fixture, 2 * KNL_SEC);
  CU_ASSERT_EQUAL (totals_at (&fixture, 0).heard, 1);
  sent = sv_peers_sent (fixture.peers[0]).datagrams - before;
  note_saturated (&fixture);
  before = sv_peers_sent (fixture.peers[0]).datagrams;
  play (&fixture, 2 * KNL_SEC);
  /* Five a second to two peers of its cell, and to a relay if it is one itself. */
  CU_ASSERT (sv_peers_sent (fixture.peers[0]).datagrams - before <= sent + 32);
  CU_ASSERT (sv_peers_sent (fixture.peers[0]).datagrams - before >= sent + 16);
  play (&fixture, 6 * KNL_SEC);
  CU_ASSERT_EQUAL (totals_at (&fixture, 0).heard, 1);
  peers_fixture_close (&fixture);
}

/* Guards against sums that keep the load of instances that are gone, or miss that of an instance
 * that has started again. */
static void
test_lost_and_restarted_instances (void)
{
  PeersFixture fixture;

  peers_fixture_open (&fixture, zones, INSTANCES, 2);
  peers_fixture_connect (&fixture);
  note_saturated (&fixture);
  play (&fixture, 2 * KNL_SEC);
  /* Both zones are cut off from each other: each stands for all. */
  for (guint i = 3; i < INSTANCES; i++)
    peers_fixture_stop (&fixture, i);
  play (&fixture, 2500 * KNL_MSEC);
  note_saturated (&fixture);
  play (&fixture, 500 * KNL_MSEC);
  check_totals (&fixture, 600 * KNL_MSEC, 3);
  fixture.incarnation++;
  for (guint i = 3; i < INSTANCES; i++)
    {
      peers_fixture_start (&fixture, i);
      for (guint j = 0; j < i; j++)
        peers_fixture_discover (&fixture, i, j);
    }
  play (&fixture, 2 * KNL_SEC);
  note_saturated (&fixture);
  play (&fixture, REPORTING_TIME + KNL_SEC);
  check_totals (&fixture, 500 * KNL_MSEC, INSTANCES);
  peers_fixture_close (&fixture);
}

/* Guards against reports that exceed the size of a datagram and are dropped, when there are more
 * workspaces and classes than a report has rows. */
static void
test_largest_report_fits (void)
{
  PeersFixture fixture;
  guint64 load = 0;

  peers_fixture_open (&fixture, zones, INSTANCES, 2);
  peers_fixture_connect (&fixture);
  note_saturated (&fixture);
  for (guint i = 0; i < INSTANCES; i++)
    for (guint row = 0; row < 30 * SV_OFFERED_CLASSES; row++)
      {
        guint64 cost = 20 * KNL_MSEC + row * KNL_MSEC / 10;

        sv_offered_note_request (fixture.offered[i], SERVICE, row % SV_OFFERED_CLASSES,
                                 G_MAXUINT32 - row, cost);
        load += cost;
      }
  peers_fixture_advance (&fixture, REPORTING_TIME);
  check_totals (&fixture, load, INSTANCES);
  peers_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "all know the sum", test_all_know_the_sum },
  { "reports only while saturated", test_reports_only_while_saturated },
  { "lost and restarted instances", test_lost_and_restarted_instances },
  { "the largest report fits", test_largest_report_fits },
};

SUITE_MAIN ("sv_offered_peers", cases)
