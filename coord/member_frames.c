#include "coord/member_private.h"
#include "wire/frame.h"

#include <math.h>

/** Queued records on one probe or ack, besides those of the sender and the recipient. */
#define GOSSIP_PER_FRAME 24

/** Each change is sent this many times the binary logarithm of the number of controllers. */
#define GOSSIP_FACTOR 3

/** Minimum time between two full syncs started by this member. */
#define MIN_SYNC_INTERVAL (10 * KNL_SEC)

/** The sync interval grows by this for each record, so that the cost over time stays constant. */
#define SYNC_INTERVAL_PER_RECORD (20 * KNL_MSEC)

/** Periods between two removals of expired tombstones. */
#define PURGE_PERIODS 64

/** Urgent updates: recipients of one burst, delay to batch updates, minimum time between bursts. */
#define URGENT_FANOUT   3
#define URGENT_DELAY    (20 * KNL_MSEC)
#define URGENT_INTERVAL (200 * KNL_MSEC)

#define LIVE    ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE
#define SUSPECT ALDERTURN__MEMBER_STATE__MEMBER_STATE_SUSPECT
#define LEAVING ALDERTURN__MEMBER_STATE__MEMBER_STATE_LEAVING
#define DEAD    ALDERTURN__MEMBER_STATE__MEMBER_STATE_DEAD

#define CONTROLLER ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER

static KnlTime
now_of (CoMembers *members)
{
  return knl_kernel_now (members->kernel);
}

typedef struct
{
  CoMembers *members;
  GPtrArray *list; /* Alderturn__Member, owned by the records */
} GossipList;

static void
add_gossip (Alderturn__MemberKind kind, const char *name, gpointer data)
{
  GossipList *gossip = data;
  CoMemberRecord *record = co_member_table_find (gossip->members->table, kind, name);

  if (record != NULL)
    g_ptr_array_add (gossip->list, &record->member);
}

/**
 * The records to send to `to`: this member's own, that of `to` unless it is
 * live, queued updates.
 */
static GPtrArray *
gossip_for (CoMembers *members, const CoMemberRecord *to)
{
  GossipList gossip = { members, g_ptr_array_new () };
  guint max_sends = GOSSIP_FACTOR * (guint)ceil (log2 ((double)members->controllers + 1));

  g_ptr_array_add (gossip.list, &members->self->member);
  if (to->member.state != LIVE)
    g_ptr_array_add (gossip.list, (gpointer)&to->member);
  co_gossip_pick (members->gossip, GOSSIP_PER_FRAME, max_sends, add_gossip, &gossip);
  return gossip.list;
}

static void
send_probe (const char *to, guint64 sequence, const char *target, gpointer data)
{
  CoMembers *members = data;
  CoMemberRecord *record = co_member_table_find (members->table, CONTROLLER, to);
  Alderturn__Probe probe = ALDERTURN__PROBE__INIT;
  GPtrArray *gossip;

  if (record == NULL)
    return;
  gossip = gossip_for (members, record);
  probe.sequence = sequence;
  probe.target = (char *)target;
  probe.gossip = (Alderturn__Member **)gossip->pdata;
  probe.n_gossip = gossip->len;
  members->send (&record->member, WR_FRAME (PROBE, probe, &probe), members->data);
  g_ptr_array_unref (gossip);
}

static void
send_ack (const char *to, guint64 sequence, const char *target, gpointer data)
{
  CoMembers *members = data;
  CoMemberRecord *record = co_member_table_find (members->table, CONTROLLER, to);
  Alderturn__ProbeAck ack = ALDERTURN__PROBE_ACK__INIT;
  GPtrArray *gossip;

  if (record == NULL)
    return;
  gossip = gossip_for (members, record);
  ack.sequence = sequence;
  ack.target = (char *)target;
  ack.gossip = (Alderturn__Member **)gossip->pdata;
  ack.n_gossip = gossip->len;
  members->send (&record->member, WR_FRAME (PROBE_ACK, probe_ack, &ack), members->data);
  g_ptr_array_unref (gossip);
}

static void
send_update (CoMembers *members, CoMemberRecord *to, GPtrArray *list, gboolean full)
{
  Alderturn__MemberUpdate update = ALDERTURN__MEMBER_UPDATE__INIT;

  update.members = (Alderturn__Member **)list->pdata;
  update.n_members = list->len;
  update.full = full;
  members->send (&to->member, WR_FRAME (MEMBER_UPDATE, member_update, &update), members->data);
}

/** Starts a full sync: sends all records to `to`, which answers with those that are newer there. */
static void
begin_sync (CoMembers *members, CoMemberRecord *to)
{
  GPtrArray *records = co_member_table_records (members->table);

  for (guint i = 0; i < records->len; i++)
    records->pdata[i] = &((CoMemberRecord *)records->pdata[i])->member;
  send_update (members, to, records, TRUE);
  g_ptr_array_unref (records);
  members->last_sync = now_of (members);
  members->next_sync = members->last_sync
                       + MAX (members->times.sync_interval,
                              SYNC_INTERVAL_PER_RECORD * co_member_table_size (members->table));
}

static gboolean
is_probed (CoMembers *members, const CoMemberRecord *record)
{
  return record->member.kind == CONTROLLER && record->member.state != DEAD
         && record != members->self;
}

static void
list_targets (GPtrArray *names, gpointer data)
{
  CoMembers *members = data;
  GPtrArray *records = co_member_table_records (members->table);

  for (guint i = 0; i < records->len; i++)
    {
      CoMemberRecord *record = g_ptr_array_index (records, i);

      if (is_probed (members, record))
        g_ptr_array_add (names, record->member.name);
    }
  g_ptr_array_unref (records);
}

static gboolean
is_target (const char *name, gpointer data)
{
  CoMembers *members = data;
  CoMemberRecord *record = co_member_table_find (members->table, CONTROLLER, name);

  return record != NULL && is_probed (members, record);
}

/** Sends the queued updates to a few controllers, on probes whose acks are ignored. */
static void
tell_now (gpointer data)
{
  CoMembers *members = data;
  GPtrArray *names = g_ptr_array_new ();

  members->urgent_timer = 0;
  members->last_urgent = now_of (members);
  list_targets (names, members);
  for (guint i = 0; i < URGENT_FANOUT && names->len > 0; i++)
    {
      guint index =
          (guint)g_rand_int_range (knl_kernel_rand (members->kernel), 0, (gint32)names->len);
      const char *name = g_ptr_array_index (names, index);

      send_probe (name, 0, name, members);
      g_ptr_array_remove_index_fast (names, index);
    }
  g_ptr_array_unref (names);
}

/*
 * A leaving member must stop receiving new work within seconds, but an update
 * that waits for the next probe needs several periods to reach all controllers.
 * A minimum time between bursts bounds the cost of many updates for each
 * member.
 */
void
co_members_announce_soon (CoMembers *members)
{
  KnlTime delay = URGENT_DELAY;

  if (members->urgent_timer != 0)
    return;
  if (members->last_urgent != 0)
    delay = MAX (delay, members->last_urgent + URGENT_INTERVAL - now_of (members));
  members->urgent_timer = knl_timer_start (members->kernel, delay, tell_now, members);
}

/** Returns a random dead controller if `dead` is set, else a random one that is probed; or NULL. */
static CoMemberRecord *
choose_controller (CoMembers *members, gboolean dead)
{
  GPtrArray *records = co_member_table_records (members->table);
  CoMemberRecord *chosen = NULL;
  guint n_eligible = 0;

  for (guint i = 0; i < records->len; i++)
    {
      CoMemberRecord *record = g_ptr_array_index (records, i);
      gboolean eligible = dead ? record->member.kind == CONTROLLER && record->member.state == DEAD
                               : is_probed (members, record);

      if (eligible
          && g_rand_int_range (knl_kernel_rand (members->kernel), 0, (gint32)++n_eligible) == 0)
        chosen = record;
    }
  g_ptr_array_unref (records);
  return chosen;
}

static const char *
choose_dead (gpointer data)
{
  CoMemberRecord *record = choose_controller (data, TRUE);

  return record != NULL ? record->member.name : NULL;
}

static void
on_unanswered (const char *name, gpointer data)
{
  CoMembers *members = data;
  CoMemberRecord *record = co_member_table_find (members->table, CONTROLLER, name);

  if (record == NULL)
    return;
  if (record->member.state == LIVE)
    co_members_set_state (members, record, record->member.incarnation, SUSPECT);
  else if (record->member.state == LEAVING)
    co_members_set_state (members, record, record->member.incarnation, DEAD);
}

static void
on_period (KnlTime stall, gpointer data)
{
  CoMembers *members = data;
  CoMemberRecord *other;

  members->controllers = co_members_count (members, CONTROLLER);
  co_members_expire_suspects (members, stall);
  if (++members->periods % PURGE_PERIODS == 0)
    co_members_purge (members);
  if (now_of (members) < members->next_sync)
    return;
  other = choose_controller (members, FALSE);
  if (other != NULL)
    begin_sync (members, other);
}

const CoProberCallbacks co_members_prober_callbacks = {
  .list = list_targets,
  .is_target = is_target,
  .choose_dead = choose_dead,
  .send_probe = send_probe,
  .send_ack = send_ack,
  .unanswered = on_unanswered,
  .period = on_period,
};

static void
handle_records (CoMembers *members, Alderturn__Member *const *list, gsize count)
{
  for (gsize i = 0; i < count; i++)
    co_members_handle_record (members, list[i]);
}

static gboolean
is_known_live (CoMembers *members, const char *controller)
{
  CoMemberRecord *record = co_member_table_find (members->table, CONTROLLER, controller);

  return record != NULL && record->member.state != DEAD && record->member.incarnation > 0;
}

/*
 * Each update is sent a limited number of times, so a member that could not be
 * reached during that time would never receive it, and the two members' records
 * would stay different. A controller seen for the first time, or again after it
 * was dead, therefore gets a full sync.
 */
static void
sync_if_new (CoMembers *members, const char *from, gboolean was_live)
{
  CoMemberRecord *record = co_member_table_find (members->table, CONTROLLER, from);
  KnlTime now = now_of (members);

  if (was_live || record == NULL || record->member.state == DEAD)
    return;
  if (members->last_sync != 0 && now - members->last_sync < MIN_SYNC_INTERVAL)
    {
      members->next_sync = MIN (members->next_sync, members->last_sync + MIN_SYNC_INTERVAL);
      return;
    }
  begin_sync (members, record);
}

void
co_members_handle_probe (CoMembers *members, const char *from, const Alderturn__Probe *probe)
{
  gboolean was_live = is_known_live (members, from);

  handle_records (members, probe->gossip, probe->n_gossip);
  co_prober_handle_probe (members->prober, from, probe);
  sync_if_new (members, from, was_live);
}

void
co_members_handle_ack (CoMembers *members, const char *from, const Alderturn__ProbeAck *ack)
{
  gboolean was_live = is_known_live (members, from);

  handle_records (members, ack->gossip, ack->n_gossip);
  co_prober_handle_ack (members->prober, from, ack);
  sync_if_new (members, from, was_live);
}

static char *
key_of (const Alderturn__Member *member)
{
  return g_strdup_printf ("%d/%s", (int)member->kind, member->name);
}

/** Returns the records that the sender of `update` lacks or has in an older version. */
static GPtrArray *
newer_records (CoMembers *members, const Alderturn__MemberUpdate *update)
{
  GHashTable *theirs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GPtrArray *records = co_member_table_records (members->table);
  GPtrArray *newer = g_ptr_array_new ();

  for (gsize i = 0; i < update->n_members; i++)
    g_hash_table_insert (theirs, key_of (update->members[i]), update->members[i]);
  for (guint i = 0; i < records->len; i++)
    {
      CoMemberRecord *record = g_ptr_array_index (records, i);
      char *key = key_of (&record->member);
      const Alderturn__Member *other = g_hash_table_lookup (theirs, key);

      if (other != NULL ? co_member_is_newer (&record->member, other)
                        : record->member.state != DEAD)
        g_ptr_array_add (newer, &record->member);
      g_free (key);
    }
  g_ptr_array_unref (records);
  g_hash_table_unref (theirs);
  return newer;
}

void
co_members_handle_update (CoMembers *members,
                          const char *from,
                          const Alderturn__MemberUpdate *update)
{
  CoMemberRecord *sender;
  GPtrArray *newer;

  handle_records (members, update->members, update->n_members);
  sender = co_member_table_find (members->table, CONTROLLER, from);
  if (!update->full || sender == NULL)
    return;
  newer = newer_records (members, update);
  if (newer->len > 0)
    send_update (members, sender, newer, FALSE);
  g_ptr_array_unref (newer);
}
