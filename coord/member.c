#include "coord/member_private.h"

#include <math.h>
#include <stdlib.h>

#define LIVE    ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE
#define SUSPECT ALDERTURN__MEMBER_STATE__MEMBER_STATE_SUSPECT
#define LEAVING ALDERTURN__MEMBER_STATE__MEMBER_STATE_LEAVING
#define DEAD    ALDERTURN__MEMBER_STATE__MEMBER_STATE_DEAD

#define ENTRY      ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENTRY
#define CONTROLLER ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER

typedef struct
{
  CoMemberFunc func;
  gpointer data;
} Observer;

static KnlTime
now_of (CoMembers *members)
{
  return knl_kernel_now (members->kernel);
}

static void
set_deadline (CoMembers *members, CoMemberRecord *record, KnlTime deadline)
{
  g_ptr_array_remove (members->suspects, record);
  record->deadline = deadline;
  if (deadline != KNL_NEVER)
    g_ptr_array_add (members->suspects, record);
}

/** Time in which a suspect can refute the suspicion. It grows with the logarithm of the number of
 * controllers, as does the time that an update takes to reach all of them. */
static KnlTime
suspicion_time (CoMembers *members)
{
  double scale = MAX (1.0, log10 ((double)members->controllers));

  return (KnlTime)((double)members->times.suspicion_timeout * scale);
}

static void suspect_entries_of (CoMembers *members, const char *controller);

/** Sets the deadline of a changed record, queues it for gossip and notifies the observers. */
static void
on_changed (CoMembers *members, CoMemberRecord *record)
{
  const Alderturn__Member *member = &record->member;

  set_deadline (members, record,
                member->state == SUSPECT ? now_of (members) + suspicion_time (members) : KNL_NEVER);
  co_gossip_add (members->gossip, member->kind, member->name);
  if (member->state == LEAVING)
    co_members_announce_soon (members);
  for (guint i = 0; i < members->observers->len; i++)
    {
      Observer *observer = &g_array_index (members->observers, Observer, i);

      observer->func (member, observer->data);
    }
  if (member->kind == CONTROLLER && member->state == DEAD)
    suspect_entries_of (members, member->name);
}

CoMemberRecord *
co_members_merge (CoMembers *members, const Alderturn__Member *update)
{
  CoMemberRecord *record = co_member_table_merge (members->table, update, now_of (members));

  if (record != NULL)
    on_changed (members, record);
  return record;
}

void
co_members_set_state (CoMembers *members,
                      CoMemberRecord *record,
                      guint64 incarnation,
                      Alderturn__MemberState state)
{
  Alderturn__Member update = record->member;

  update.incarnation = incarnation;
  update.state = state;
  co_members_merge (members, &update);
}

/*
 * An entry that fails together with the controller that vouched for it would
 * not be detected otherwise: callers would be sent there until it is dropped
 * from the platform's list. Its deadline is twice the suspicion time, so that
 * it can link to another controller, which then vouches for it with a higher
 * incarnation.
 */
static void
suspect_entries_of (CoMembers *members, const char *controller)
{
  GPtrArray *records = co_member_table_records (members->table);

  for (guint i = 0; i < records->len; i++)
    {
      CoMemberRecord *record = g_ptr_array_index (records, i);

      if (record->member.kind != ENTRY || record->member.state == DEAD
          || g_strcmp0 (record->member.voucher, controller) != 0)
        continue;
      co_members_set_state (members, record, record->member.incarnation, SUSPECT);
      set_deadline (members, record, now_of (members) + 2 * suspicion_time (members));
    }
  g_ptr_array_unref (records);
}

/** Handles a record of this member itself; a false one is refuted with a higher incarnation. */
static void
handle_own_record (CoMembers *members, const Alderturn__Member *update)
{
  const Alderturn__Member *self = &members->self->member;

  if (update->incarnation > self->incarnation)
    co_members_set_state (members, members->self, update->incarnation + 1, self->state);
  else if (update->incarnation == self->incarnation && update->state > self->state
           && update->state != LEAVING)
    co_members_set_state (members, members->self, self->incarnation + 1, self->state);
  else if (update->incarnation == self->incarnation)
    co_members_merge (members, update);
}

/** Handles a record of an entry linked to this controller, which refutes a false one for it. */
static void
handle_vouched_record (CoMembers *members, CoMemberRecord *record, const Alderturn__Member *update)
{
  gboolean wrong = update->state == SUSPECT || update->state == DEAD;

  if (!wrong || !co_member_is_newer (update, &record->member)
      || update->incarnation != record->vouched)
    {
      co_members_merge (members, update);
      return;
    }
  record->vouched++;
  co_members_set_state (members, record, record->vouched, record->member.state);
}

void
co_members_handle_record (CoMembers *members, const Alderturn__Member *update)
{
  CoMemberRecord *record;

  if (update->name == NULL || update->name[0] == '\0' || update->kind == 0 || update->state < LIVE
      || update->state > DEAD)
    return;
  record = co_member_table_find (members->table, update->kind, update->name);
  if (record == members->self)
    handle_own_record (members, update);
  else if (record != NULL && co_member_is_vouched (record))
    handle_vouched_record (members, record, update);
  else
    co_members_merge (members, update);
}

void
co_members_expire_suspects (CoMembers *members, KnlTime stall)
{
  GPtrArray *suspects = g_ptr_array_copy (members->suspects, NULL, NULL);
  KnlTime now = now_of (members);

  for (guint i = 0; i < suspects->len; i++)
    {
      CoMemberRecord *record = g_ptr_array_index (suspects, i);

      if (record->deadline == KNL_NEVER)
        continue;
      record->deadline += stall;
      if (record->deadline <= now)
        co_members_set_state (members, record, record->member.incarnation, DEAD);
    }
  g_ptr_array_unref (suspects);
}

void
co_members_purge (CoMembers *members)
{
  GPtrArray *records = co_member_table_records (members->table);
  KnlTime cutoff = now_of (members) - members->times.tombstone_ttl;

  for (guint i = 0; i < records->len; i++)
    {
      CoMemberRecord *record = g_ptr_array_index (records, i);

      if (record->member.state == DEAD && record->changed < cutoff)
        co_member_table_remove (members->table, record);
    }
  g_ptr_array_unref (records);
}

const Alderturn__Member *
co_members_find (CoMembers *members, Alderturn__MemberKind kind, const char *name)
{
  CoMemberRecord *record = co_member_table_find (members->table, kind, name);

  return record != NULL ? &record->member : NULL;
}

const Alderturn__Member *
co_members_self (CoMembers *members)
{
  return &members->self->member;
}

void
co_members_foreach (CoMembers *members,
                    Alderturn__MemberKind kind,
                    CoMemberFunc func,
                    gpointer data)
{
  GPtrArray *records = co_member_table_records (members->table);

  for (guint i = 0; i < records->len; i++)
    {
      CoMemberRecord *record = g_ptr_array_index (records, i);

      if (record->member.state != DEAD && (kind == 0 || record->member.kind == kind))
        func (&record->member, data);
    }
  g_ptr_array_unref (records);
}

static void
count_one (const Alderturn__Member *member, gpointer data)
{
  (*(guint *)data)++;
}

guint
co_members_count (CoMembers *members, Alderturn__MemberKind kind)
{
  guint count = 0;

  co_members_foreach (members, kind, count_one, &count);
  return count;
}

static void
add_copy (const Alderturn__Member *member, gpointer data)
{
  gsize size = alderturn__member__get_packed_size (member);
  guint8 *bytes = g_malloc (size);

  alderturn__member__pack (member, bytes);
  g_ptr_array_add (data, alderturn__member__unpack (NULL, size, bytes));
  g_free (bytes);
}

Alderturn__MemberUpdate *
co_members_update_new (CoMembers *members)
{
  Alderturn__MemberUpdate *update = malloc (sizeof *update);
  GPtrArray *list = g_ptr_array_new ();

  alderturn__member_update__init (update);
  co_members_foreach (members, 0, add_copy, list);
  update->full = TRUE;
  update->n_members = list->len;
  update->members = (Alderturn__Member **)g_ptr_array_free (list, FALSE);
  return update;
}

void
co_members_observe (CoMembers *members, CoMemberFunc func, gpointer data)
{
  Observer observer = { func, data };

  g_array_append_val (members->observers, observer);
}

static KnlTime
time_or_default (KnlTime given, KnlTime fallback)
{
  return given > 0 ? given : fallback;
}

static CoMemberTimes
times_with_defaults (const CoMemberTimes *given)
{
  static const CoMemberTimes none = { 0 };
  const CoMemberTimes *times = given != NULL ? given : &none;

  return (CoMemberTimes){
    .period = time_or_default (times->period, KNL_SEC),
    .direct_timeout = time_or_default (times->direct_timeout, 400 * KNL_MSEC),
    .suspicion_timeout = time_or_default (times->suspicion_timeout, 3 * KNL_SEC),
    .dead_probe_interval = time_or_default (times->dead_probe_interval, 5 * KNL_SEC),
    .tombstone_ttl = time_or_default (times->tombstone_ttl, 7200 * KNL_SEC),
    .sync_interval = time_or_default (times->sync_interval, 30 * KNL_SEC),
    .list_grace = time_or_default (times->list_grace, 15 * KNL_SEC),
  };
}

CoMembers *
co_members_new (KnlKernel *kernel,
                const Alderturn__Member *self,
                const CoMemberTimes *times,
                CoMemberSendFunc send,
                gpointer data)
{
  CoMembers *members = g_new0 (CoMembers, 1);
  Alderturn__Member own = *self;

  own.kind = CONTROLLER;
  own.state = LIVE;
  members->kernel = kernel;
  members->times = times_with_defaults (times);
  members->send = send;
  members->data = data;
  members->table = co_member_table_new ();
  members->gossip = co_gossip_new ();
  members->observers = g_array_new (FALSE, FALSE, sizeof (Observer));
  members->suspects = g_ptr_array_new ();
  members->controllers = 1;
  members->self = co_members_merge (members, &own);
  members->next_sync = now_of (members) + members->times.sync_interval;
  members->prober =
      co_prober_new (kernel, own.name, members->times.period, members->times.direct_timeout,
                     members->times.dead_probe_interval, &co_members_prober_callbacks, members);
  return members;
}

void
co_members_free (CoMembers *members)
{
  if (members == NULL)
    return;
  knl_timer_stop (members->kernel, &members->urgent_timer);
  co_prober_free (members->prober);
  co_gossip_free (members->gossip);
  co_member_table_free (members->table);
  g_array_unref (members->observers);
  g_ptr_array_unref (members->suspects);
  g_free (members);
}
