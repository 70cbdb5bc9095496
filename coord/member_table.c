#include "coord/member_table.h"

struct CoMemberTable
{
  GTree *records; /* CoMemberRecord -> itself, by kind and name */
};

static gint
compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const Alderturn__Member *x = &((const CoMemberRecord *)a)->member;
  const Alderturn__Member *y = &((const CoMemberRecord *)b)->member;

  if (x->kind != y->kind)
    return x->kind < y->kind ? -1 : 1;
  return g_strcmp0 (x->name, y->name);
}

static void
clear_strings (Alderturn__Member *member)
{
  g_free (member->name);
  g_free (member->address);
  g_free (member->zone);
  g_free (member->region);
  g_free (member->service);
  g_free (member->voucher);
}

static void
copy_member (Alderturn__Member *to, const Alderturn__Member *from)
{
  alderturn__member__init (to);
  to->name = g_strdup (from->name);
  to->kind = from->kind;
  to->address = g_strdup (from->address);
  to->zone = g_strdup (from->zone);
  to->region = g_strdup (from->region);
  to->service = g_strdup (from->service);
  to->voucher = g_strdup (from->voucher);
  to->incarnation = from->incarnation;
  to->state = from->state;
}

static void
record_free (gpointer data)
{
  CoMemberRecord *record = data;

  clear_strings (&record->member);
  g_free (record->listed_address);
  g_free (record);
}

CoMemberTable *
co_member_table_new (void)
{
  CoMemberTable *table = g_new0 (CoMemberTable, 1);

  table->records = g_tree_new_full (compare, NULL, NULL, record_free);
  return table;
}

void
co_member_table_free (CoMemberTable *table)
{
  g_tree_unref (table->records);
  g_free (table);
}

CoMemberRecord *
co_member_table_find (CoMemberTable *table, Alderturn__MemberKind kind, const char *name)
{
  CoMemberRecord key = { .member = { .kind = kind, .name = (char *)name } };

  return g_tree_lookup (table->records, &key);
}

gboolean
co_member_is_newer (const Alderturn__Member *a, const Alderturn__Member *b)
{
  if (a->incarnation != b->incarnation)
    return a->incarnation > b->incarnation;
  return a->state > b->state;
}

gboolean
co_member_is_vouched (const CoMemberRecord *record)
{
  return record->vouched != 0 && record->vouched == record->member.incarnation;
}

static CoMemberRecord *
record_add (CoMemberTable *table, const Alderturn__Member *update)
{
  CoMemberRecord *record = g_new0 (CoMemberRecord, 1);

  copy_member (&record->member, update);
  g_tree_insert (table->records, record, record);
  return record;
}

static void
record_update (CoMemberRecord *record, const Alderturn__Member *update)
{
  Alderturn__Member old = record->member;

  copy_member (&record->member, update);
  clear_strings (&old);
}

CoMemberRecord *
co_member_table_merge (CoMemberTable *table, const Alderturn__Member *update, KnlTime now)
{
  CoMemberRecord *record = co_member_table_find (table, update->kind, update->name);

  if (record == NULL && update->state == ALDERTURN__MEMBER_STATE__MEMBER_STATE_DEAD)
    return NULL;
  if (record != NULL && !co_member_is_newer (update, &record->member))
    return NULL;
  if (record == NULL)
    record = record_add (table, update);
  else
    record_update (record, update);
  record->changed = now;
  record->deadline = KNL_NEVER;
  return record;
}

void
co_member_table_remove (CoMemberTable *table, CoMemberRecord *record)
{
  g_tree_remove (table->records, record);
}

static gboolean
collect (gpointer key, gpointer value, gpointer data)
{
  g_ptr_array_add (data, value);
  return FALSE;
}

GPtrArray *
co_member_table_records (CoMemberTable *table)
{
  GPtrArray *records = g_ptr_array_new ();

  g_tree_foreach (table->records, collect, records);
  return records;
}

guint
co_member_table_size (CoMemberTable *table)
{
  return (guint)g_tree_nnodes (table->records);
}
