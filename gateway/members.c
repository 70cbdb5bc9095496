/** How instances find each other: each has a row in the store; what they tell each other after that
 * goes from one to the other. */

#include "common/log.h"
#include "gateway.h"

/* The list is read at once after the start, then after twice as long each time up to the limit. The
 * others may have just started too, and an instance that does not know them sends its first
 * requests where theirs go; later a new one greets all that it finds, so that reading often gains
 * little. */
#define FIRST_LOOK (40 * KNL_MSEC)
#define LOOK_LIMIT (20 * KNL_SEC)

/* A row that could not be written is tried again after this. */
#define ENTER_AGAIN (500 * KNL_MSEC)

/* Rows whose instance was not seen to renew them for this long are removed. */
#define ROW_EXPIRES (60 * KNL_SEC)

typedef struct
{
  guint64 version;
  KnlTime seen_at;
} MemberSeen;

static void enter (gpointer data);
static void look (gpointer data);

static void
next (Gateway *self, KnlTime delay, KnlTimerFunc func)
{
  self->member_timer = knl_timer_start (self->process.kernel, delay, func, self);
}

static void
on_entered (PlStatus status, json_t *body, gpointer data)
{
  Gateway *self = data;

  self->member_call = NULL;
  if (status != PL_OK)
    {
      cm_log (CM_LOG_WARNING, "member-row-not-written", "s", "status", pl_status_name (status));
      next (self, ENTER_AGAIN, enter);
      return;
    }
  self->look_delay = FIRST_LOOK;
  next (self, FIRST_LOOK, look);
}

static void
enter (gpointer data)
{
  Gateway *self = data;

  self->member_timer = 0;
  self->member_call = pl_store_put (self->store, PL_MEMBER_TABLE, self->member.name,
                                    pl_encode_member (&self->member), on_entered, self);
}

static void
note_row (Gateway *self, const PlRow *row)
{
  MemberSeen *seen = g_hash_table_lookup (self->member_versions, row->key);

  if (seen == NULL)
    {
      seen = g_new0 (MemberSeen, 1);
      g_hash_table_insert (self->member_versions, g_strdup (row->key), seen);
    }
  if (seen->version != row->version)
    *seen = (MemberSeen){ row->version, knl_kernel_now (self->process.kernel) };
}

static void
take_row (Gateway *self, const PlRow *row)
{
  const char *link = pl_decode_member (row->value);

  note_row (self, row);
  if (link != NULL)
    sv_peers_learn (self->peers, link);
}

static void
on_list (PlStatus status, json_t *body, gpointer data)
{
  Gateway *self = data;
  size_t index;
  json_t *item;

  self->member_call = NULL;
  json_array_foreach (json_object_get (body, "rows"), index, item)
  {
    PlRow row;

    if (!pl_row_decode (item, &row))
      continue;
    take_row (self, &row);
    json_decref (row.value);
  }
  self->look_delay = MIN (2 * self->look_delay, LOOK_LIMIT);
  next (self, self->look_delay, look);
}

static void
look (gpointer data)
{
  Gateway *self = data;

  self->member_timer = 0;
  self->member_call = pl_store_get (self->store, PL_MEMBER_TABLE, NULL, on_list, self);
}

static void
on_left (PlStatus status, json_t *body, gpointer data)
{
  Gateway *self = data;

  self->member_call = NULL;
  if (status != PL_OK)
    cm_log (CM_LOG_NOTICE, "member-row-not-removed", "s", "status", pl_status_name (status));
}

void
gateway_start_membership (Gateway *self)
{
  self->member_versions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  enter (self);
}

void
gateway_leave (Gateway *self)
{
  gateway_stop_membership (self);
  self->member_call =
      pl_store_remove (self->store, PL_MEMBER_TABLE, self->member.name, 0, on_left, self);
}

void
gateway_stop_membership (Gateway *self)
{
  g_clear_pointer (&self->member_call, pl_call_cancel);
  knl_timer_stop (self->process.kernel, &self->member_timer);
}
