/** How instances find each other: each has a row in the store; what they tell each other after that
 * goes from one to the other. */

#include "common/log.h"
#include "gateway.h"

/* The list is read after the start, when instances that started at the same time have entered
 * themselves: of two the later one sees the other, and greets it. A reading that failed is made
 * again after eight times as long each time up to the limit. After that the relay of each cell
 * reads it, to learn of other cells' instances and to remove those of its own that are gone. */
#define FIRST_LOOK  (40 * KNL_MSEC)
#define LOOK_LIMIT  (20 * KNL_SEC)
#define LOOK_FACTOR 8

/* A row that could not be written is tried again after this. */
#define ENTER_AGAIN (500 * KNL_MSEC)

/* The row of an instance that nothing was heard from for this long is removed: it is gone for good,
 * or cut off from here, and then enters itself again when it starts. */
#define ROW_EXPIRES (60 * KNL_SEC)

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
on_removed (PlStatus status, json_t *body, gpointer data)
{
  Gateway *self = data;

  self->member_call = NULL;
  if (status != PL_OK && status != PL_CONFLICT)
    cm_log (CM_LOG_NOTICE, "member-row-not-removed", "s", "status", pl_status_name (status));
  next (self, self->look_delay, look);
}

/* TRUE: the row's instance is gone, and the row is being removed unless it changes meanwhile. */
static gboolean
remove_if_gone (Gateway *self, const PlRow *row, const char *link)
{
  if (sv_peers_silence (self->peers, link) < ROW_EXPIRES)
    return FALSE;
  cm_log (CM_LOG_NOTICE, "member-expired", "s", "peer", row->key, "s", "address", link);
  self->member_call =
      pl_store_remove (self->store, PL_MEMBER_TABLE, row->key, row->version, on_removed, self);
  return TRUE;
}

static void
take_row (Gateway *self, json_t *item)
{
  SvMember member;
  PlRow row;

  if (!pl_row_decode (item, &row))
    return;
  if (pl_decode_member (row.value, &member)
      && (self->member_call != NULL || !remove_if_gone (self, &row, member.link_address)))
    sv_peers_learn (self->peers, &member);
  json_decref (row.value);
}

static void
on_list (PlStatus status, json_t *body, gpointer data)
{
  Gateway *self = data;
  size_t index;
  json_t *item;

  self->member_call = NULL;
  json_array_foreach (json_object_get (body, "rows"), index, item) take_row (self, item);
  if (status == PL_OK)
    gateway_note_members (self);
  self->look_delay =
      status == PL_OK ? LOOK_LIMIT : MIN (LOOK_FACTOR * self->look_delay, LOOK_LIMIT);
  if (self->member_call == NULL)
    next (self, self->look_delay, look);
}

static void
look (gpointer data)
{
  Gateway *self = data;

  self->member_timer = 0;
  if (self->members_known_at > 0 && !sv_peers_is_relay (self->peers))
    {
      next (self, LOOK_LIMIT, look);
      return;
    }
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
