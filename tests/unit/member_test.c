/**
 * Membership among many controllers on one simulated clock; their frames are
 * packed and delayed.
 */

#include "../fakes/member_cluster.h"
#include "suite.h"

#define LIVE       ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE
#define SUSPECT    ALDERTURN__MEMBER_STATE__MEMBER_STATE_SUSPECT
#define LEAVING    ALDERTURN__MEMBER_STATE__MEMBER_STATE_LEAVING
#define DEAD       ALDERTURN__MEMBER_STATE__MEMBER_STATE_DEAD
#define ENTRY      ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENTRY
#define CONTROLLER ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER
#define ENGINE     ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE

static KnlTime
assert_state_reached (FkCluster *cluster,
                      Alderturn__MemberKind kind,
                      const char *name,
                      Alderturn__MemberState state,
                      KnlTime limit)
{
  KnlTime elapsed = fk_cluster_advance_to_state (cluster, kind, name, state, limit);

  CU_ASSERT_TRUE (elapsed >= 0);
  return elapsed;
}

/*
 * Guards against work being sent to a failed instance, or a healthy one being
 * declared dead: one controller of nine is killed and answers no probes, while
 * the others do.
 */
static void
test_a_killed_controller_is_dead_to_all_and_no_other_is (void)
{
  g_autoptr (FkCluster) cluster = fk_cluster_new (9);

  knl_paused_clock_advance (cluster->clock, 5 * KNL_SEC);
  fk_node_stop (&cluster->nodes[4]);
  assert_state_reached (cluster, CONTROLLER, "c4", DEAD, 30 * KNL_SEC);
  for (guint i = 0; i < 9; i++)
    CU_ASSERT_EQUAL (fk_node_state (&cluster->nodes[0], CONTROLLER, cluster->nodes[i].name),
                     i == 4 ? DEAD : LIVE);
  fk_node_start (&cluster->nodes[4], 1000);
  assert_state_reached (cluster, CONTROLLER, "c4", LIVE, 10 * KNL_SEC);
}

/*
 * Guards against a replaced controller staying dead to the others indefinitely:
 * it is killed, and its successor of the same name has a clock that is behind,
 * so that it starts with a lower incarnation.
 */
static void
test_a_successor_with_an_older_clock_is_accepted (void)
{
  g_autoptr (FkCluster) cluster = fk_cluster_new (5);

  knl_paused_clock_advance (cluster->clock, 5 * KNL_SEC);
  fk_node_stop (&cluster->nodes[1]);
  assert_state_reached (cluster, CONTROLLER, "c1", DEAD, 30 * KNL_SEC);
  fk_node_start (&cluster->nodes[1], 3);
  assert_state_reached (cluster, CONTROLLER, "c1", LIVE, 30 * KNL_SEC);
  CU_ASSERT_TRUE (co_members_self (cluster->nodes[1].members)->incarnation > 101);
}

/*
 * Guards against two members that can't reach each other declaring each other
 * dead, and the other members accepting that: nothing passes between two of
 * five controllers, while all other network paths work.
 */
static void
test_one_broken_path_makes_no_member_dead (void)
{
  g_autoptr (FkCluster) cluster = fk_cluster_new (5);

  cluster->broken_path_a = 0;
  cluster->broken_path_b = 1;
  for (guint i = 0; i < 600; i++)
    {
      knl_paused_clock_advance (cluster->clock, KNL_SEC / 2);
      for (guint j = 0; j < 5; j++)
        CU_ASSERT_EQUAL (co_members_count (cluster->nodes[j].members, CONTROLLER), 5);
    }
}

/** Advances until `node` has sent its next probe; the ack has not arrived yet. */
static void
advance_to_probe (FkCluster *cluster, FkNode *node)
{
  guint64 probes = node->probes;

  while (node->probes == probes)
    knl_paused_clock_advance (cluster->clock, FK_CLUSTER_DELAY / 4);
}

/*
 * Guards against a controller declaring others dead when it resumes after being
 * stopped for a minute with an open probe: its timers are due, but the ack was
 * lost or isn't read yet. Its kernel is frozen here, and the others declare it
 * dead meanwhile.
 */
static void
test_a_stopped_controller_resumes_and_suspects_no_other (void)
{
  g_autoptr (FkCluster) cluster = fk_cluster_new (5);

  knl_paused_clock_advance (cluster->clock, 5 * KNL_SEC);
  advance_to_probe (cluster, &cluster->nodes[0]);
  fk_node_set_stopped (&cluster->nodes[0], TRUE);
  knl_paused_clock_advance (cluster->clock, 60 * KNL_SEC);
  CU_ASSERT_EQUAL (fk_node_state (&cluster->nodes[1], CONTROLLER, "c0"), DEAD);
  fk_node_set_stopped (&cluster->nodes[0], FALSE);
  knl_paused_clock_advance (cluster->clock, 10 * KNL_SEC);
  CU_ASSERT_EQUAL (cluster->nodes[0].failures_seen, 0);
  CU_ASSERT_TRUE (fk_cluster_all_live (cluster));
}

static gboolean
first_suspects_second (gpointer data)
{
  return fk_node_state (&((FkCluster *)data)->nodes[0], CONTROLLER, "c1") == SUSPECT;
}

/*
 * Guards against a resumed controller declaring another dead that has already
 * refuted the suspicion: it suspects the other, is stopped itself and misses
 * the refutation. Both are stopped in turn here, and the suspicion's deadline
 * has passed when the first one resumes.
 */
static void
test_a_suspicion_is_extended_for_a_stopped_controller (void)
{
  g_autoptr (FkCluster) cluster = fk_cluster_new (5);

  knl_paused_clock_advance (cluster->clock, 5 * KNL_SEC);
  fk_node_set_stopped (&cluster->nodes[1], TRUE);
  CU_ASSERT_TRUE (knl_paused_clock_advance_until (cluster->clock, 20 * KNL_SEC,
                                                  first_suspects_second, cluster));
  fk_node_set_stopped (&cluster->nodes[0], TRUE);
  fk_node_set_stopped (&cluster->nodes[1], FALSE);
  knl_paused_clock_advance (cluster->clock, 20 * KNL_SEC);
  fk_node_set_stopped (&cluster->nodes[0], FALSE);
  knl_paused_clock_advance (cluster->clock, 10 * KNL_SEC);
  CU_ASSERT_EQUAL (cluster->nodes[0].deaths_seen, 0);
  CU_ASSERT_TRUE (fk_cluster_all_live (cluster));
}

/*
 * Guards against two regions not joining again after a network partition: for
 * an hour nothing passes between them and each declares the other dead, then
 * the network recovers. During the partition one region learns that an engine
 * is leaving; the other must learn it afterwards.
 */
static void
test_a_region_cut_for_an_hour_heals_by_itself (void)
{
  g_autoptr (FkCluster) cluster = fk_cluster_new (12);
  Alderturn__Member engine = fk_member (ENGINE, "e1", 0);
  Alderturn__Member *list[] = { &engine };
  KnlTime start;

  for (guint i = 0; i < 12; i++)
    co_members_seed (cluster->nodes[i].members, list, 1);
  knl_paused_clock_advance (cluster->clock, 10 * KNL_SEC);
  cluster->regions_partitioned = TRUE;
  knl_paused_clock_advance (cluster->clock, 1800 * KNL_SEC);
  co_members_mark_leaving (cluster->nodes[11].members, ENGINE, "e1");
  knl_paused_clock_advance (cluster->clock, 1800 * KNL_SEC);
  CU_ASSERT_EQUAL (co_members_count (cluster->nodes[0].members, CONTROLLER), 6);
  CU_ASSERT_EQUAL (fk_node_state (&cluster->nodes[0], ENGINE, "e1"), LIVE);
  cluster->regions_partitioned = FALSE;
  start = knl_paused_clock_now (cluster->clock);
  CU_ASSERT_TRUE (
      knl_paused_clock_advance_until (cluster->clock, 60 * KNL_SEC, fk_cluster_all_live, cluster));
  printf ("[healed in %.1f s] ",
          (double)(knl_paused_clock_now (cluster->clock) - start) / (double)KNL_SEC);
  assert_state_reached (cluster, ENGINE, "e1", LEAVING, 30 * KNL_SEC);
}

/*
 * Guards against a leaving engine receiving new work for a long time because
 * some controllers don't know that it is leaving: one of 50 controllers marks
 * it, and updates must not wait for the next probes.
 */
static void
test_leaving_is_known_to_all_within_two_seconds (void)
{
  g_autoptr (FkCluster) cluster = fk_cluster_new (50);
  Alderturn__Member engine = fk_member (ENGINE, "e1", 0);
  Alderturn__Member *list[] = { &engine };
  KnlTime elapsed;

  for (guint i = 0; i < 50; i++)
    co_members_seed (cluster->nodes[i].members, list, 1);
  knl_paused_clock_advance (cluster->clock, 20 * KNL_SEC);
  co_members_mark_leaving (cluster->nodes[7].members, ENGINE, "e1");
  elapsed = assert_state_reached (cluster, ENGINE, "e1", LEAVING, 2 * KNL_SEC);
  printf ("[engine %.2f s, ", (double)elapsed / (double)KNL_SEC);
  co_members_leave (cluster->nodes[3].members);
  elapsed = assert_state_reached (cluster, CONTROLLER, "c3", LEAVING, 2 * KNL_SEC);
  printf ("controller %.2f s] ", (double)elapsed / (double)KNL_SEC);
  fk_node_stop (&cluster->nodes[3]);
  assert_state_reached (cluster, CONTROLLER, "c3", DEAD, 30 * KNL_SEC);
}

/** Frames and bytes per second that each of `count` members sends when nothing changes. */
static void
measure_cost (guint count, double *frames, double *bytes)
{
  g_autoptr (FkCluster) cluster = fk_cluster_new (count);
  double seconds = 20;

  knl_paused_clock_advance (cluster->clock, 120 * KNL_SEC);
  cluster->frames = cluster->bytes = 0;
  knl_paused_clock_advance (cluster->clock, (KnlTime)seconds * KNL_SEC);
  *frames = (double)cluster->frames / seconds / count;
  *bytes = (double)cluster->bytes / seconds / count;
  printf ("[%u: %.2f frames/s %.0f B/s] ", count, *frames, *bytes);
}

static void
test_the_cost_of_a_member_does_not_grow_with_their_number (void)
{
  double frames[2];
  double bytes[2];

  measure_cost (10, &frames[0], &bytes[0]);
  measure_cost (120, &frames[1], &bytes[1]);
  CU_ASSERT_TRUE (frames[1] < frames[0] * 1.1);
  CU_ASSERT_TRUE (bytes[1] < 1024);
}

/* Entries */

static void
test_an_entry_follows_the_controllers_that_vouch_for_it (void)
{
  g_autoptr (FkCluster) cluster = fk_cluster_new (4);
  Alderturn__Member entry = fk_member (ENTRY, "c1", 500);

  co_members_vouch (cluster->nodes[1].members, &entry, FALSE);
  assert_state_reached (cluster, ENTRY, "c1", LIVE, 10 * KNL_SEC);
  /* Its controller is killed; it links to another one before its deadline. */
  fk_node_stop (&cluster->nodes[1]);
  co_members_vouch (cluster->nodes[2].members, &entry, FALSE);
  assert_state_reached (cluster, CONTROLLER, "c1", DEAD, 30 * KNL_SEC);
  knl_paused_clock_advance (cluster->clock, 60 * KNL_SEC);
  assert_state_reached (cluster, ENTRY, "c1", LIVE, 0);
  /* It links to its own controller again before the link to the other one closes. */
  fk_node_start (&cluster->nodes[1], 2000);
  knl_paused_clock_advance (cluster->clock, 10 * KNL_SEC);
  co_members_vouch (cluster->nodes[1].members, &entry, FALSE);
  knl_paused_clock_advance (cluster->clock, 2 * KNL_SEC);
  co_members_unvouch (cluster->nodes[2].members, "c1");
  knl_paused_clock_advance (cluster->clock, 60 * KNL_SEC);
  assert_state_reached (cluster, ENTRY, "c1", LIVE, 0);
  /* It is leaving, then its link closes. */
  co_members_vouch (cluster->nodes[1].members, &entry, TRUE);
  assert_state_reached (cluster, ENTRY, "c1", LEAVING, 2 * KNL_SEC);
  co_members_unvouch (cluster->nodes[1].members, "c1");
  assert_state_reached (cluster, ENTRY, "c1", DEAD, 30 * KNL_SEC);
  /* A new process of the same name, then the instance with its controller fails. */
  entry.incarnation = 900;
  co_members_vouch (cluster->nodes[1].members, &entry, FALSE);
  assert_state_reached (cluster, ENTRY, "c1", LIVE, 10 * KNL_SEC);
  fk_node_stop (&cluster->nodes[1]);
  assert_state_reached (cluster, ENTRY, "c1", DEAD, 60 * KNL_SEC);
}

/* Endpoints: steps on one controller, with the expected state after each. */

typedef enum
{
  STEP_LIST_LIVE,
  STEP_LIST_LEAVING,
  STEP_LIST_MOVED,
  STEP_LIST_EMPTY,
  STEP_LIST_EMPTY_LATER,
  STEP_ADVERTISES_LIVE,
  STEP_ADVERTISES_LEAVING,
  STEP_RESTARTED,
  STEP_GOSSIP_STALE_LIVE,
} StepKind;

typedef struct
{
  StepKind step;
  Alderturn__MemberState state; /* expected after the step; 0: member unknown */
} Step;

static const Step endpoint_steps[][7] = {
  { { STEP_LIST_EMPTY, 0 }, { STEP_LIST_LIVE, LIVE }, { STEP_ADVERTISES_LIVE, LIVE } },
  { { STEP_LIST_LEAVING, LEAVING },
    { STEP_ADVERTISES_LIVE, LEAVING },
    { STEP_LIST_LEAVING, LEAVING } },
  { { STEP_LIST_LIVE, LIVE },
    { STEP_ADVERTISES_LIVE, LIVE },
    { STEP_ADVERTISES_LEAVING, LEAVING },
    { STEP_LIST_LIVE, LEAVING },
    { STEP_ADVERTISES_LIVE, LEAVING },
    { STEP_RESTARTED, LIVE } },
  { { STEP_LIST_LIVE, LIVE },
    { STEP_LIST_EMPTY, LIVE },
    { STEP_LIST_EMPTY_LATER, DEAD },
    { STEP_ADVERTISES_LIVE, DEAD },
    { STEP_GOSSIP_STALE_LIVE, DEAD },
    { STEP_LIST_LIVE, LIVE } },
  { { STEP_LIST_LIVE, LIVE }, { STEP_ADVERTISES_LEAVING, LEAVING }, { STEP_LIST_MOVED, LIVE } },
  { { STEP_LIST_LEAVING, LEAVING }, { STEP_LIST_LIVE, LIVE }, { STEP_ADVERTISES_LIVE, LIVE } },
};

static void
seed_engine (CoMembers *members, Alderturn__MemberState state, const char *address)
{
  Alderturn__Member engine = fk_member (ENGINE, "e1", 0);
  Alderturn__Member *list[] = { &engine };

  engine.state = state;
  engine.address = (char *)address;
  co_members_seed (members, list, 1);
}

static void
run_step (FkCluster *cluster, StepKind step)
{
  CoMembers *members = cluster->nodes[0].members;
  Alderturn__Member stale = fk_member (ENGINE, "e1", 0);
  Alderturn__Member *list[] = { &stale };
  Alderturn__MemberUpdate update = ALDERTURN__MEMBER_UPDATE__INIT;

  knl_paused_clock_advance (cluster->clock, KNL_SEC);
  switch (step)
    {
    case STEP_LIST_LIVE:
    case STEP_LIST_LEAVING:
      seed_engine (members, step == STEP_LIST_LIVE ? LIVE : LEAVING, "10.0.0.1:1");
      break;
    case STEP_LIST_MOVED:
      seed_engine (members, LIVE, "10.0.0.2:1");
      break;
    case STEP_LIST_EMPTY_LATER:
      knl_paused_clock_advance (cluster->clock, 15 * KNL_SEC);
      co_members_seed (members, NULL, 0);
      break;
    case STEP_LIST_EMPTY:
      co_members_seed (members, NULL, 0);
      break;
    case STEP_ADVERTISES_LIVE:
    case STEP_ADVERTISES_LEAVING:
      co_members_note_endpoint (members, ENGINE, "e1", 700, step == STEP_ADVERTISES_LEAVING);
      break;
    case STEP_RESTARTED:
      co_members_note_endpoint (members, ENGINE, "e1", 800, FALSE);
      break;
    case STEP_GOSSIP_STALE_LIVE:
      update.n_members = 1;
      update.members = list;
      co_members_handle_update (members, "c0", &update);
      break;
    }
}

static void
test_endpoints_follow_the_list_and_what_they_advertise (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (endpoint_steps); i++)
    {
      g_autoptr (FkCluster) cluster = fk_cluster_new (1);

      for (guint j = 0; j < G_N_ELEMENTS (endpoint_steps[i]); j++)
        {
          const Step *step = &endpoint_steps[i][j];

          if (j > 0 && step->state == 0)
            break;
          run_step (cluster, step->step);
          CU_ASSERT_EQUAL (fk_node_state (&cluster->nodes[0], ENGINE, "e1"), step->state);
          if (fk_node_state (&cluster->nodes[0], ENGINE, "e1") != step->state)
            printf ("row %u step %u\n", i, j);
        }
    }
}

typedef struct
{
  guint changes;
  Alderturn__MemberState last;
} Observed;

static void
on_member (const Alderturn__Member *member, gpointer data)
{
  Observed *observed = data;

  observed->changes++;
  observed->last = member->state;
}

static void
test_observers_and_full_updates (void)
{
  g_autoptr (FkCluster) cluster = fk_cluster_new (2);
  Observed observed = { 0 };
  Alderturn__MemberUpdate *update;

  co_members_observe (cluster->nodes[0].members, on_member, &observed);
  seed_engine (cluster->nodes[0].members, LIVE, "10.0.0.1:1");
  seed_engine (cluster->nodes[0].members, LIVE, "10.0.0.1:1");
  CU_ASSERT_EQUAL (observed.changes, 1);
  co_members_mark_leaving (cluster->nodes[0].members, ENGINE, "e1");
  CU_ASSERT_EQUAL (observed.changes, 2);
  CU_ASSERT_EQUAL (observed.last, LEAVING);
  update = co_members_update_new (cluster->nodes[0].members);
  CU_ASSERT_TRUE (update->full);
  CU_ASSERT_EQUAL (update->n_members, 3);
  alderturn__member_update__free_unpacked (update, NULL);
}

static const SuiteCase cases[] = {
  { "a killed controller is dead to all, and no other is",
    test_a_killed_controller_is_dead_to_all_and_no_other_is },
  { "a successor with an older clock is accepted",
    test_a_successor_with_an_older_clock_is_accepted },
  { "one broken path makes no member dead", test_one_broken_path_makes_no_member_dead },
  { "a stopped controller resumes and suspects no other",
    test_a_stopped_controller_resumes_and_suspects_no_other },
  { "a suspicion is extended for a controller that was stopped",
    test_a_suspicion_is_extended_for_a_stopped_controller },
  { "a region cut for an hour heals by itself", test_a_region_cut_for_an_hour_heals_by_itself },
  { "leaving is known to all within two seconds", test_leaving_is_known_to_all_within_two_seconds },
  { "the cost of a member does not grow with their number",
    test_the_cost_of_a_member_does_not_grow_with_their_number },
  { "an entry follows the controllers that vouch for it",
    test_an_entry_follows_the_controllers_that_vouch_for_it },
  { "endpoints follow the list and what they advertise",
    test_endpoints_follow_the_list_and_what_they_advertise },
  { "observers and full updates", test_observers_and_full_updates },
};

SUITE_MAIN ("member", cases)
