/** Discovery of instances: each has a row in the store. Once discovered, they communicate directly.
 */

#include <string.h>

#include "common/log.h"
#include "gateway.h"

/* The list of members is read at the start. An instance that isn't in it registers itself, and
 * reads the list again after MIN_POLL_DELAY, when instances that started at the same time have
 * registered too: of two instances the later one sees the earlier one and introduces itself. An
 * instance that is still listed from an earlier start is known to all, and becomes ready 0.1 s
 * sooner. After a failed read the delay is multiplied by POLL_BACKOFF_FACTOR, up to MAX_POLL_DELAY.
 * Later only the relay of each cell reads the list, to discover instances of other cells and to
 * remove rows of instances of its own cell that no longer run. */
#define MIN_POLL_DELAY      (40 * KNL_MSEC)
#define MAX_POLL_DELAY      (20 * KNL_SEC)
#define POLL_BACKOFF_FACTOR 8

/* Delay before a failed write of the own row is retried. */
#define REGISTER_RETRY_DELAY (500 * KNL_MSEC)

/* The row of an instance that has sent nothing for this long is removed: either it no longer runs,
 * or it is cut off from here, and registers again when it restarts. */
#define ROW_TTL (60 * KNL_SEC)

/* Rows of the list processed before the event loop serves sockets and timers again. */
#define SLICE_ROWS 32

static void register_instance (gpointer data);
static void look (gpointer data);
static void request_page (Gateway *self, const char *from);

static void
schedule (Gateway *self, KnlTime delay, KnlTimerFunc func)
{
  self->member_timer = knl_timer_start (self->process.kernel, delay, func, self);
}

static void
on_registered (PlStatus status, PlAnswer **answer, gpointer data)
{
  Gateway *self = data;

  self->member_call = NULL;
  if (status != PL_OK)
    {
      cm_log (CM_LOG_WARNING, "member-row-not-written", "s", "status", pl_status_name (status));
      schedule (self, REGISTER_RETRY_DELAY, register_instance);
      return;
    }
  schedule (self, MIN_POLL_DELAY, look);
}

static void
register_instance (gpointer data)
{
  Gateway *self = data;

  self->member_timer = 0;
  self->member_call = pl_store_put (self->store, PL_MEMBER_TABLE, self->member.name,
                                    pl_encode_member (&self->member), on_registered, self);
}

void
gateway_register_again (Gateway *self)
{
  /* A call in progress may return the state from before the change of era. */
  g_clear_pointer (&self->member_call, pl_call_cancel);
  knl_job_stop (self->process.kernel, &self->member_job);
  g_clear_pointer (&self->member_page, pl_answer_free);
  knl_timer_stop (self->process.kernel, &self->member_timer);
  register_instance (self);
}

static void
on_removed (PlStatus status, PlAnswer **answer, gpointer data)
{
  Gateway *self = data;

  self->member_call = NULL;
  if (status != PL_OK && status != PL_CONFLICT)
    cm_log (CM_LOG_NOTICE, "member-row-not-removed", "s", "status", pl_status_name (status));
  schedule (self, self->poll_delay, look);
}

/* Removes the row of an instance that was last seen ROW_TTL ago or earlier, unless the row
 * changes meanwhile. Returns whether the removal was started. */
static gboolean
remove_if_expired (Gateway *self, const PlRow *row, const char *link)
{
  if (sv_peers_silent_time (self->peers, link) < ROW_TTL)
    return FALSE;
  cm_log (CM_LOG_NOTICE, "member-expired", "s", "peer", row->key, "s", "address", link);
  self->member_call =
      pl_store_remove (self->store, PL_MEMBER_TABLE, row->key, row->version, on_removed, self);
  return TRUE;
}

/* Returns TRUE if the row is this instance's own and has its current values. */
static gboolean
apply_row (Gateway *self, const PlAnswerRow *answer)
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
  else if (self->member_call != NULL || !remove_if_expired (self, &row, member.link_address))
    {
      member.name = row.key;
      sv_peers_discover (self->peers, &member);
    }
  json_decref (row.value);
  return is_own;
}

static void
on_list_applied (Gateway *self)
{
  gateway_note_members_read (self);
  self->is_registered = self->is_listed;
  self->poll_delay = MAX_POLL_DELAY;
  if (self->member_call != NULL)
    return;
  if (self->is_registered)
    schedule (self, self->poll_delay, look);
  else
    register_instance (self);
}

static void
on_page_applied (Gateway *self)
{
  g_autoptr (PlAnswer) page = g_steal_pointer (&self->member_page);
  const GPtrArray *rows = page->rows;

  if (!page->more_pages || rows->len == 0 || self->member_call != NULL)
    on_list_applied (self);
  else
    request_page (self, ((PlAnswerRow *)g_ptr_array_index (rows, rows->len - 1))->key);
}

/* Applies the next SLICE_ROWS rows of the current page. Returns whether rows remain. */
static gboolean
take_slice (gpointer data)
{
  Gateway *self = data;
  const GPtrArray *rows = self->member_page->rows;

  for (guint i = 0; i < SLICE_ROWS && self->next_member_row < rows->len; i++)
    self->is_listed |= apply_row (self, g_ptr_array_index (rows, self->next_member_row++));
  if (self->next_member_row < rows->len)
    return TRUE;
  self->member_job = 0;
  on_page_applied (self);
  return FALSE;
}

static void
on_page (PlStatus status, PlAnswer **answer, gpointer data)
{
  Gateway *self = data;

  self->member_call = NULL;
  if (status != PL_OK || *answer == NULL)
    {
      self->poll_delay =
          CLAMP (POLL_BACKOFF_FACTOR * self->poll_delay, MIN_POLL_DELAY, MAX_POLL_DELAY);
      schedule (self, self->poll_delay, look);
      return;
    }
  self->member_page = g_steal_pointer (answer);
  self->next_member_row = 0;
  if (take_slice (self))
    self->member_job = knl_job_start (self->process.kernel, take_slice, self);
}

static void
request_page (Gateway *self, const char *from)
{
  self->member_call = pl_store_get (self->store, PL_MEMBER_TABLE, from, on_page, self);
}

/* Reads the list of members, unless this instance is registered and isn't its cell's relay. */
static void
look (gpointer data)
{
  Gateway *self = data;

  self->member_timer = 0;
  if (self->is_registered && !sv_peers_is_relay (self->peers))
    {
      schedule (self, MAX_POLL_DELAY, look);
      return;
    }
  self->is_listed = FALSE;
  request_page (self, NULL);
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
