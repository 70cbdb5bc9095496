#include "member_cluster.h"

#define LIVE       ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE
#define SUSPECT    ALDERTURN__MEMBER_STATE__MEMBER_STATE_SUSPECT
#define DEAD       ALDERTURN__MEMBER_STATE__MEMBER_STATE_DEAD
#define CONTROLLER ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER

typedef struct
{
  FkNode *from;
  FkNode *to;
  guint8 *bytes;
  gsize count;
} Letter;

static FkNode *
node_named (FkCluster *cluster, const char *name)
{
  for (guint i = 0; i < cluster->count; i++)
    {
      if (g_strcmp0 (cluster->nodes[i].name, name) == 0)
        return &cluster->nodes[i];
    }
  return NULL;
}

static void
deliver (gpointer data)
{
  Letter *letter = data;
  Alderturn__Frame *frame = alderturn__frame__unpack (NULL, letter->count, letter->bytes);
  CoMembers *members = letter->to->members;

  g_assert (frame != NULL);
  if (members != NULL && frame->body_case == ALDERTURN__FRAME__BODY_PROBE)
    co_members_handle_probe (members, letter->from->name, frame->probe);
  else if (members != NULL && frame->body_case == ALDERTURN__FRAME__BODY_PROBE_ACK)
    co_members_handle_ack (members, letter->from->name, frame->probe_ack);
  else if (members != NULL)
    co_members_handle_update (members, letter->from->name, frame->member_update);
  alderturn__frame__free_unpacked (frame, NULL);
  g_free (letter->bytes);
  g_free (letter);
}

static gboolean
path_is_broken (FkCluster *cluster, FkNode *a, FkNode *b)
{
  if (cluster->regions_cut && a->region != b->region)
    return TRUE;
  return ((int)a->index == cluster->broken_from && (int)b->index == cluster->broken_to)
         || ((int)b->index == cluster->broken_from && (int)a->index == cluster->broken_to);
}

static void
send_frame (const Alderturn__Member *to, const Alderturn__Frame *frame, gpointer data)
{
  FkNode *from = data;
  FkNode *receiver = node_named (from->cluster, to->name);
  Letter *letter;

  if (frame->body_case == ALDERTURN__FRAME__BODY_PROBE)
    from->probes++;
  if (receiver == NULL || receiver->members == NULL || receiver->stopped
      || path_is_broken (from->cluster, from, receiver))
    return;
  letter = g_new0 (Letter, 1);
  letter->from = from;
  letter->to = receiver;
  letter->count = alderturn__frame__get_packed_size (frame);
  letter->bytes = g_malloc (letter->count);
  alderturn__frame__pack (frame, letter->bytes);
  from->cluster->frames++;
  from->cluster->bytes += letter->count;
  knl_timer_start (receiver->kernel, FK_CLUSTER_DELAY, deliver, letter);
}

Alderturn__Member
fk_member (Alderturn__MemberKind kind, const char *name, guint64 incarnation)
{
  Alderturn__Member member = ALDERTURN__MEMBER__INIT;

  member.kind = kind;
  member.name = (char *)name;
  member.address = "10.0.0.1:1";
  member.zone = "a";
  member.incarnation = incarnation;
  member.state = LIVE;
  return member;
}

static void
count_blame (const Alderturn__Member *member, gpointer data)
{
  FkNode *node = data;

  node->blamed += member->state == SUSPECT || member->state == DEAD;
  node->buried += member->state == DEAD;
}

void
fk_node_start (FkNode *node, guint64 incarnation)
{
  Alderturn__Member self = fk_member (CONTROLLER, node->name, incarnation);
  Alderturn__Member *list = g_new0 (Alderturn__Member, node->cluster->count);
  Alderturn__Member **pointers = g_new0 (Alderturn__Member *, node->cluster->count);

  node->members = co_members_new (node->kernel, &self, NULL, send_frame, node);
  co_members_observe (node->members, count_blame, node);
  for (guint i = 0; i < node->cluster->count; i++)
    {
      list[i] = fk_member (CONTROLLER, node->cluster->nodes[i].name, 0);
      pointers[i] = &list[i];
    }
  co_members_seed (node->members, pointers, node->cluster->count);
  g_free (pointers);
  g_free (list);
}

void
fk_node_stop (FkNode *node)
{
  co_members_free (node->members);
  node->members = NULL;
}

FkCluster *
fk_cluster_new (guint count)
{
  FkCluster *cluster = g_new0 (FkCluster, 1);

  cluster->count = count;
  cluster->broken_from = -1;
  cluster->broken_to = -1;
  cluster->clock = knl_paused_clock_new ();
  cluster->nodes = g_new0 (FkNode, count);
  for (guint i = 0; i < count; i++)
    {
      FkNode *node = &cluster->nodes[i];

      node->cluster = cluster;
      node->index = i;
      node->region = i < count / 2 ? 0 : 1;
      g_snprintf (node->name, sizeof node->name, "c%u", i);
      node->runtime = knl_paused_clock_runtime (cluster->clock);
      node->kernel = knl_kernel_new (node->runtime, i + 1);
    }
  for (guint i = 0; i < count; i++)
    fk_node_start (&cluster->nodes[i], 100 + i);
  return cluster;
}

void
fk_cluster_free (FkCluster *cluster)
{
  for (guint i = 0; i < cluster->count; i++)
    fk_node_stop (&cluster->nodes[i]);
  knl_paused_clock_advance (cluster->clock, KNL_SEC);
  for (guint i = 0; i < cluster->count; i++)
    knl_kernel_free (cluster->nodes[i].kernel);
  knl_paused_clock_free (cluster->clock);
  g_free (cluster->nodes);
  g_free (cluster);
}

Alderturn__MemberState
fk_node_state (FkNode *node, Alderturn__MemberKind kind, const char *name)
{
  const Alderturn__Member *member = co_members_find (node->members, kind, name);

  return member != NULL ? member->state : 0;
}

/** The awaited condition: every running node has the member `name` in `state`. */
typedef struct
{
  FkCluster *cluster;
  Alderturn__MemberKind kind;
  const char *name;
  Alderturn__MemberState state;
} Wanted;

static gboolean
all_agree (gpointer data)
{
  Wanted *wanted = data;

  for (guint i = 0; i < wanted->cluster->count; i++)
    {
      FkNode *node = &wanted->cluster->nodes[i];

      if (node->members != NULL
          && fk_node_state (node, wanted->kind, wanted->name) != wanted->state)
        return FALSE;
    }
  return TRUE;
}

KnlTime
fk_cluster_agree (FkCluster *cluster,
                  Alderturn__MemberKind kind,
                  const char *name,
                  Alderturn__MemberState state,
                  KnlTime limit)
{
  Wanted wanted = { cluster, kind, name, state };
  KnlTime start = knl_paused_clock_now (cluster->clock);

  if (!knl_paused_clock_advance_until (cluster->clock, limit, all_agree, &wanted))
    return -1;
  return knl_paused_clock_now (cluster->clock) - start;
}

gboolean
fk_cluster_all_live (gpointer data)
{
  FkCluster *cluster = data;

  for (guint i = 0; i < cluster->count; i++)
    {
      Wanted wanted = { cluster, CONTROLLER, cluster->nodes[i].name, LIVE };

      if (!all_agree (&wanted))
        return FALSE;
    }
  return TRUE;
}

void
fk_node_set_stopped (FkNode *node, gboolean stopped)
{
  node->stopped = stopped;
  knl_paused_runtime_set_frozen (node->runtime, stopped);
}
