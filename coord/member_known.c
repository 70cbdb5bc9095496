#include "coord/member_private.h"

#define LIVE    ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE
#define SUSPECT ALDERTURN__MEMBER_STATE__MEMBER_STATE_SUSPECT
#define LEAVING ALDERTURN__MEMBER_STATE__MEMBER_STATE_LEAVING
#define DEAD    ALDERTURN__MEMBER_STATE__MEMBER_STATE_DEAD

#define ENTRY ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENTRY

static gboolean
is_endpoint (Alderturn__MemberKind kind)
{
  return kind == ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE
         || kind == ALDERTURN__MEMBER_KIND__MEMBER_KIND_SERVICE;
}

void
co_members_vouch (CoMembers *members, const Alderturn__Member *entry, gboolean leaving)
{
  CoMemberRecord *record = co_member_table_find (members->table, ENTRY, entry->name);
  Alderturn__Member update = *entry;

  update.kind = ENTRY;
  update.voucher = members->self->member.name;
  update.state = leaving ? LEAVING : LIVE;
  if (record != NULL && co_member_is_vouched (record) && record->member.state == update.state)
    return;
  if (record != NULL && !co_member_is_newer (&update, &record->member))
    update.incarnation = record->member.incarnation + 1;
  record = co_members_merge (members, &update);
  record->vouched = update.incarnation;
}

void
co_members_unvouch (CoMembers *members, const char *name)
{
  CoMemberRecord *record = co_member_table_find (members->table, ENTRY, name);

  if (record == NULL || !co_member_is_vouched (record))
    return;
  record->vouched = 0;
  co_members_set_state (members, record, record->member.incarnation,
                        record->member.state == LIVE ? SUSPECT : DEAD);
}

void
co_members_leave (CoMembers *members)
{
  co_members_set_state (members, members->self, members->self->member.incarnation, LEAVING);
}

void
co_members_note_endpoint (CoMembers *members,
                          Alderturn__MemberKind kind,
                          const char *name,
                          guint64 incarnation,
                          gboolean leaving)
{
  CoMemberRecord *record = co_member_table_find (members->table, kind, name);
  Alderturn__MemberState state;

  if (record == NULL || record->member.state == DEAD)
    return;
  state = leaving || record->listed_leaving ? LEAVING : LIVE;
  if (record->member.incarnation == 0)
    state = MAX (state, record->member.state);
  co_members_set_state (members, record, MAX (incarnation, record->member.incarnation), state);
}

void
co_members_mark_leaving (CoMembers *members, Alderturn__MemberKind kind, const char *name)
{
  CoMemberRecord *record = co_member_table_find (members->table, kind, name);

  if (record != NULL)
    co_members_set_state (members, record, record->member.incarnation, LEAVING);
}

/** Applies the platform's listing of one endpoint. */
static void
seed_endpoint (CoMembers *members, const Alderturn__Member *listed)
{
  CoMemberRecord *record = co_member_table_find (members->table, listed->kind, listed->name);
  gboolean leaving = listed->state == LEAVING;
  Alderturn__Member update = *listed;
  gboolean address_changed;

  update.state = leaving ? LEAVING : LIVE;
  update.incarnation = 0;
  if (record == NULL)
    {
      record = co_members_merge (members, &update);
    }
  else
    {
      address_changed = record->listed_address != NULL
                        && g_strcmp0 (record->listed_address, listed->address) != 0;
      if ((record->member.state == DEAD && !record->listed) || address_changed
          || (record->listed_leaving && !leaving))
        {
          update.incarnation = record->member.incarnation + 1;
          co_members_merge (members, &update);
        }
      else if (leaving && record->member.state == LIVE)
        {
          co_members_set_state (members, record, record->member.incarnation, LEAVING);
        }
    }
  record->listed = TRUE;
  record->listed_leaving = leaving;
  record->listed_at = knl_kernel_now (members->kernel);
  g_free (record->listed_address);
  record->listed_address = g_strdup (listed->address);
}

/**
 * Declares endpoints dead that have been missing from the list for longer than
 * the grace period.
 */
static void
expire_unlisted (CoMembers *members)
{
  GPtrArray *records = co_member_table_records (members->table);
  KnlTime now = knl_kernel_now (members->kernel);

  for (guint i = 0; i < records->len; i++)
    {
      CoMemberRecord *record = g_ptr_array_index (records, i);

      if (!is_endpoint (record->member.kind) || record->listed_at == now)
        continue;
      record->listed = FALSE;
      if (record->member.state != DEAD
          && now - MAX (record->listed_at, record->changed) >= members->times.list_grace)
        co_members_set_state (members, record, record->member.incarnation, DEAD);
    }
  g_ptr_array_unref (records);
}

void
co_members_seed (CoMembers *members, Alderturn__Member *const *list, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      if (is_endpoint (list[i]->kind))
        seed_endpoint (members, list[i]);
      else if (co_member_table_find (members->table, list[i]->kind, list[i]->name) == NULL)
        co_members_handle_record (members, list[i]);
    }
  expire_unlisted (members);
}
