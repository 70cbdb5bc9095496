/** Discovery of instances: each has a row in the store. Once discovered, they communicate directly.
 */

#include <string.h>

#include "common/log.h"
#include "gateway.h"

/* The list of members is read at the start. An instance that isn't in it registers itself, and
 * reads the list again after FIRST_LOOK, when instances that started at the same time have
 * registered too: of two instances the later one sees the earlier one and introduces itself. An
 * instance that is still listed from an earlier start is known to all, and becomes ready 0.1 s
 * sooner. After a failed read the delay grows by LOOK_FACTOR, eight, up to LOOK_LIMIT. Later only
 * the relay of each cell reads the list, to discover instances of other cells and to remove rows
 * of instances of its own cell that no longer run. */
#define FIRST_LOOK  (40 * KNL_MSEC)
#define LOOK_LIMIT  (20 * KNL_SEC)
#define LOOK_FACTOR 8

/* Delay before a failed write of the own row is retried. */
#define ENTER_AGAIN (500 * KNL_MSEC)

/* The row of an instance that has sent nothing for this long is removed: either it no longer runs,
 * or it is cut off from here, and registers again when it restarts. */
#define ROW_EXPIRES (60 * KNL_SEC)

/* Rows of the list processed before the event loop serves sockets and timers again. */
#define SLICE_ROWS 32

static void enter (gpointer data);
static void look (gpointer data);
static void ask_page (Gateway *self, const char *from);

static void
next (Gateway *self, KnlTime delay, KnlTimerFunc func)
{
  self->member_timer = knl_timer_start (self->process.kernel, delay, func, self);
}

static void
on_entered (PlStatus status, PlAnswer **answer, gpointer data)
{
  Gateway *self = data;

  self->member_call = NULL;
  if (status != PL_OK)
    {
      cm_log (CM_LOG_WARNING, "member-row-not-written", "s", "status", pl_status_name (status));
      next (self, ENTER_AGAIN, enter);
      return;
    }
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

void
gateway_enter_again (Gateway *self)
{
  /* A call in progress may return the state from before the change of era. */
  g_clear_pointer (&self->member_call, pl_call_cancel);
  knl_job_stop (self->process.kernel, &self->member_job);
  g_clear_pointer (&self->member_page, pl_answer_free);
  knl_timer_stop (self->process.kernel, &self->member_timer);
  enter (self);
}

static void
on_removed (PlStatus status, PlAnswer **answer, gpointer data)
{
  Gateway *self = data;

  self->member_call = NULL;
  if (status != PL_OK && status != PL_CONFLICT)
    cm_log (CM_LOG_NOTICE, "member-row-not-removed", "s", "status", pl_status_name (status));
  next (self, self->look_delay, look);
}

/* Removes the row of an instance that was last seen ROW_EXPIRES ago or earlier, unless the row
 * changes meanwhile. Returns whether the removal was started. */
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

/* Returns TRUE if the row is this instance's own and has its current values. */
static gboolean
take_row (Gateway *self, const PlAnswerRow *answer)
{
  gboolean is_own = FALSE;
  SvMember member;
  PlRow row;

  pl_row_decode (answer, &row);
  if (!pl_decode_member (row.value, &member))
    cm_log (CM_LOG_WARNING, "member-unreadable", "s", "key", row.key);
  else if (strcmp (row.key, self->member.name) == 0)
    is_own = strcmp (member.link_address, self->member.link_address) == 0
             && strcmp (member.zone, self->member.zone) == 0
             && member.strength == self->member.strength;
  else if (self->member_call != NULL || !remove_if_gone (self, &row, member.link_address))
    {
      member.name = row.key;
      sv_peers_learn (self->peers, &member);
    }
  json_decref (row.value);
  return is_own;
}

static void
on_list_taken_in (Gateway *self)
{
  gateway_note_members (self);
  self->is_entered = self->is_listed;
  self->look_delay = LOOK_LIMIT;
  if (self->member_call != NULL)
    return;
  if (self->is_entered)
    next (self, self->look_delay, look);
  else
    enter (self);
}

static void
on_page_taken_in (Gateway *self)
{
  g_autoptr (PlAnswer) page = g_steal_pointer (&self->member_page);
  const GPtrArray *rows = page->rows;

  if (!page->more_pages || rows->len == 0 || self->member_call != NULL)
    on_list_taken_in (self);
  else
    ask_page (self, ((PlAnswerRow *)g_ptr_array_index (rows, rows->len - 1))->key);
}

static gboolean
take_slice (gpointer data)
{
  Gateway *self = data;
  const GPtrArray *rows = self->member_page->rows;

  for (guint i = 0; i < SLICE_ROWS && self->next_member < rows->len; i++)
    self->is_listed |= take_row (self, g_ptr_array_index (rows, self->next_member++));
  if (self->next_member < rows->len)
    return TRUE;
  self->member_job = 0;
  on_page_taken_in (self);
  return FALSE;
}

static void
on_page (PlStatus status, PlAnswer **answer, gpointer data)
{
  Gateway *self = data;

  self->member_call = NULL;
  if (status != PL_OK || *answer == NULL)
    {
      self->look_delay = CLAMP (LOOK_FACTOR * self->look_delay, FIRST_LOOK, LOOK_LIMIT);
      next (self, self->look_delay, look);
      return;
    }
  self->member_page = g_steal_pointer (answer);
  self->next_member = 0;
  if (take_slice (self))
    self->member_job = knl_job_start (self->process.kernel, take_slice, self);
}

static void
ask_page (Gateway *self, const char *from)
{
  self->member_call = pl_store_get (self->store, PL_MEMBER_TABLE, from, on_page, self);
}

static void
look (gpointer data)
{
  Gateway *self = data;

  self->member_timer = 0;
  if (self->is_entered && !sv_peers_is_relay (self->peers))
    {
      next (self, LOOK_LIMIT, look);
      return;
    }
  self->is_listed = FALSE;
  ask_page (self, NULL);
}

void
gateway_start_membership (Gateway *self)
{
  look (self);
}

void
gateway_stop_membership (Gateway *self)
{
  g_clear_pointer (&self->member_call, pl_call_cancel);
  knl_job_stop (self->process.kernel, &self->member_job);
  g_clear_pointer (&self->member_page, pl_answer_free);
  knl_timer_stop (self->process.kernel, &self->member_timer);
}
