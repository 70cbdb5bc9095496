/** Discovery of other instances. The store has a row for each cell that names some of its instances
 * (contacts), written by the cell's relay. An instance that starts reads the row of its cell and
 * asks the contacts to introduce it. Its calls to the store don't depend on the number of
 * instances. */

#include <string.h>

#include "common/log.h"
#include "gateway.h"

/* Delay of a read or write that is repeated after a failure. It is multiplied by
 * RETRY_BACKOFF_FACTOR with each, up to MAX_RETRY_DELAY. */
#define MIN_RETRY_DELAY      (40 * KNL_MSEC)
#define MAX_RETRY_DELAY      (4 * KNL_SEC)
#define RETRY_BACKOFF_FACTOR 8

/* Interval between checks whether a contact has answered, and between requests to be introduced. */
#define JOIN_CHECK_INTERVAL (10 * KNL_MSEC)
#define JOIN_RETRY_INTERVAL (100 * KNL_MSEC)

/* Contacts that the first request to be introduced goes to; later ones go to all. */
#define FIRST_CONTACTS 2

/* If no contact answers for this long, this instance becomes one. Instances that lose power
 * together are back within 0.3 s of each other. */
#define JOIN_TIMEOUT (600 * KNL_MSEC)

/* In a new cell each instance waits for others that start together with it before it chooses whom
 * it follows: otherwise all of the first ones would read everything from the store. */
#define SETTLE_DELAY (300 * KNL_MSEC)

/* Interval between checks whether this instance is the relay of its cell and the cell's row is up
 * to date, and between reads of all cells' rows. */
#define REVIEW_INTERVAL (1 * KNL_SEC)
#define CELLS_INTERVAL  (20 * KNL_SEC)

/* The latter while this instance hears too few others, which can tell it of their verdicts only
 * through the store. */
#define PARTED_CELLS_INTERVAL (1 * KNL_SEC)

static void read_cell (gpointer data);
static void read_cells (Gateway *self);
static void review (gpointer data);

static void
schedule (Gateway *self, KnlTime delay, KnlTimerFunc func)
{
  self->member_timer = knl_timer_start (self->process.kernel, delay, func, self);
}

static void
schedule_retry (Gateway *self, KnlTimerFunc func)
{
  self->poll_delay =
      CLAMP (RETRY_BACKOFF_FACTOR * self->poll_delay, MIN_RETRY_DELAY, MAX_RETRY_DELAY);
  schedule (self, self->poll_delay, func);
}

/* The cell's row couldn't be read or written. */
static void
retry_read_cell (Gateway *self)
{
  self->is_cell_unread = TRUE;
  schedule_retry (self, read_cell);
}

/* Whether the cell's row has just been created, by this instance or by one that starts together
 * with it. */
static gboolean
is_cell_new (const Gateway *self)
{
  SvMember contacts[GATEWAY_MAX_CONTACTS];

  return gateway_read_contacts (self, contacts) <= 1 && !gateway_is_contact (self);
}

static void
on_settled (gpointer data)
{
  Gateway *self = data;

  self->member_timer = 0;
  self->is_member = TRUE;
  self->poll_delay = 0;
  gateway_note_members_read (self);
  review (self);
}

static void
on_joined (Gateway *self)
{
  cm_log (CM_LOG_NOTICE, "cell-joined", "s", "zone", self->member.zone, "i", "alive",
          (gint64)sv_peers_n_alive_in_cell (self->peers), "i", "after-us",
          knl_kernel_now (self->process.kernel) - self->join_started_at);
  if (is_cell_new (self))
    schedule (self, SETTLE_DELAY, on_settled);
  else
    on_settled (self);
}

static void read_earlier_release (Gateway *self, GBytes *from);

/* Instances of an earlier release don't read the cells' rows: they are discovered by theirs, and
 * learn of this instance from its introduction. */
static void
on_earlier_release (PlStatus status, PlAnswer **answer, gpointer data)
{
  Gateway *self = data;

  self->member_call = NULL;
  if (status != PL_OK)
    cm_log (CM_LOG_WARNING, "earlier-release-not-read", "s", "status", pl_status_name (status));
  for (guint i = 0; status == PL_OK && *answer != NULL && i < (*answer)->rows->len; i++)
    {
      SvMember member;
      PlRow row;

      pl_row_decode (g_ptr_array_index ((*answer)->rows, i), &row);
      if (row.value != NULL && pl_decode_member (row.value, &member))
        {
          member.name = row.key;
          sv_peers_discover (self->peers, &member);
        }
      json_decref (row.value);
    }
  /* A page begins with the last row of the one before. */
  if (status == PL_OK && *answer != NULL && (*answer)->more_pages && (*answer)->rows->len > 1)
    {
      read_earlier_release (self, (*answer)->last_key);
      return;
    }
  on_joined (self);
}

static void
read_earlier_release (Gateway *self, GBytes *from)
{
  self->member_call = pl_store_get (self->store, PL_MEMBER_TABLE, from, on_earlier_release, self);
}

static void
on_written (PlStatus status, PlAnswer **answer, gpointer data)
{
  Gateway *self = data;
  gboolean is_first = self->cell_row_version == 0;

  self->member_call = NULL;
  cm_log (CM_LOG_NOTICE, "contacts-written", "s", "status", pl_status_name (status), "i",
          "replaced-version", (gint64)self->cell_row_version);
  if (status != PL_OK && !self->is_member)
    retry_read_cell (self);
  else if (!self->is_member && is_first)
    read_earlier_release (self, NULL);
  else if (!self->is_member)
    on_joined (self);
  else
    {
      if (status != PL_OK)
        self->cells_read_at = 0;
      schedule (self, REVIEW_INTERVAL, review);
    }
}

/* Who stands in for the relay leaves its contacts as they are. */
static json_t *
new_row (const Gateway *self)
{
  SvMember contacts[GATEWAY_MAX_CONTACTS];

  if (self->cell_row != NULL && self->is_member && !sv_peers_is_relay (self->peers))
    return json_deep_copy (self->cell_row);
  return pl_encode_contacts (contacts,
                             sv_peers_contacts (self->peers, contacts, GATEWAY_MAX_CONTACTS));
}

static void
write_contacts (Gateway *self)
{
  json_t *row = new_row (self);

  self->contacts_written_at = knl_kernel_now (self->process.kernel);
  gateway_encode_quarantined (self, row);
  gateway_encode_watermark (self, row);
  self->member_call = pl_store_put (self->store, PL_CELL_TABLE, self->member.zone, row,
                                    self->cell_row_version, on_written, self);
}

/* Returns the number of contacts to which the request was sent. */
static guint
send_join (Gateway *self, guint max_contacts)
{
  SvMember contacts[GATEWAY_MAX_CONTACTS];
  guint n = gateway_read_contacts (self, contacts);
  guint sent = 0;

  for (guint i = 0; i < n && sent < max_contacts; i++)
    {
      if (gateway_is_self (self, &contacts[i]))
        continue;
      sv_peers_join (self->peers, &contacts[i]);
      sent++;
    }
  self->join_sent_at = knl_kernel_now (self->process.kernel);
  return sent;
}

static void
on_join_check (gpointer data)
{
  Gateway *self = data;
  KnlTime now = knl_kernel_now (self->process.kernel);

  self->member_timer = 0;
  if (sv_peers_n_alive_in_cell (self->peers) > 0)
    on_joined (self);
  else if (now - self->join_started_at < JOIN_TIMEOUT)
    {
      if (now - self->join_sent_at >= JOIN_RETRY_INTERVAL)
        send_join (self, GATEWAY_MAX_CONTACTS);
      schedule (self, JOIN_CHECK_INTERVAL, on_join_check);
    }
  else if (gateway_is_contact (self))
    on_joined (self);
  else
    write_contacts (self);
}

static void
join (Gateway *self)
{
  self->join_started_at = knl_kernel_now (self->process.kernel);
  if (send_join (self, FIRST_CONTACTS) == 0)
    on_joined (self);
  else
    schedule (self, JOIN_CHECK_INTERVAL, on_join_check);
}

/* Keeps the row if it is that of this instance's cell. Of one that can't be read the version is
 * kept, with which it is written anew. */
static gboolean
keep_cell_row (Gateway *self, const PlRow *row)
{
  if (strcmp (row->key, self->member.zone) != 0 || row->removed)
    return FALSE;
  self->cell_row_version = row->version;
  if (row->value == NULL)
    return FALSE;
  json_decref (self->cell_row);
  self->cell_row = json_incref (row->value);
  return TRUE;
}

static void
drop_cell_row (Gateway *self)
{
  json_decref (self->cell_row);
  self->cell_row = NULL;
  self->cell_row_version = 0;
}

static void
on_cell (PlStatus status, PlAnswer **answer, gpointer data)
{
  Gateway *self = data;
  gboolean is_found = FALSE;
  gboolean has_watermark = FALSE;

  self->member_call = NULL;
  if (status != PL_OK || *answer == NULL)
    {
      retry_read_cell (self);
      return;
    }
  drop_cell_row (self);
  for (guint i = 0; i < (*answer)->rows->len; i++)
    {
      PlRow row;

      pl_row_decode (g_ptr_array_index ((*answer)->rows, i), &row);
      is_found |= keep_cell_row (self, &row);
      has_watermark |= gateway_note_watermark (self, row.value);
      json_decref (row.value);
    }
  gateway_adopt_quarantined (self, self->cell_row, TRUE);
  if (!has_watermark)
    gateway_note_no_watermark (self);
  if (is_found)
    join (self);
  else
    write_contacts (self);
}

static void
read_cell (gpointer data)
{
  Gateway *self = data;

  self->member_timer = 0;
  self->is_cell_unread = FALSE;
  /* Peers that know this instance from before its restart reach it while the store is away. */
  if (sv_peers_n_alive_in_cell (self->peers) > 0)
    {
      on_settled (self);
      return;
    }
  /* At a first start the table is small, and shows that there are no others. */
  if (self->boot->is_first_start)
    self->member_call = pl_store_get (self->store, PL_CELL_TABLE, NULL, on_cell, self);
  else
    self->member_call =
        pl_store_get_row (self->store, PL_CELL_TABLE, self->member.zone, on_cell, self);
}

/* Contacts that don't answer this relay may be a part of the cell that doesn't know of it. */
static void
join_silent_contacts (Gateway *self)
{
  SvMember contacts[GATEWAY_MAX_CONTACTS];
  guint n = gateway_read_contacts (self, contacts);

  for (guint i = 0; i < n; i++)
    {
      if (!gateway_is_self (self, &contacts[i])
          && !sv_peers_has_alive (self->peers, contacts[i].link_address))
        sv_peers_join (self->peers, &contacts[i]);
    }
}

static void
discover_other_cell (Gateway *self, const PlRow *row)
{
  SvMember contacts[GATEWAY_MAX_CONTACTS];
  guint n =
      row->value != NULL ? pl_decode_contacts (row->value, contacts, GATEWAY_MAX_CONTACTS) : 0;

  if (n == 0
      && cm_log_rate_limit_allows (&self->contacts_log_limit,
                                   knl_kernel_now (self->process.kernel)))
    cm_log (CM_LOG_WARNING, "contacts-unreadable", "s", "key", row->key, "i", "row-version",
            (gint64)row->version, "i", "so-far", self->contacts_log_limit.count);
  for (guint i = 0; i < n; i++)
    sv_peers_discover (self->peers, &contacts[i]);
}

/* Instances of a cell that don't hear each other would replace each other's contacts in turn. */
static gboolean
may_replace_contacts (const Gateway *self)
{
  KnlTime now = knl_kernel_now (self->process.kernel);

  if (!sv_peers_is_relay (self->peers) || !gateway_has_outdated_contacts (self))
    return FALSE;
  return !sv_peers_is_parted (self->peers) || self->contacts_written_at == 0
         || now - self->contacts_written_at >= CELLS_INTERVAL;
}

static gboolean
is_row_unwritten (const Gateway *self)
{
  return gateway_is_quarantine_unwritten (self) || gateway_is_watermark_unwritten (self);
}

static void
on_cells (PlStatus status, PlAnswer **answer, gpointer data)
{
  Gateway *self = data;

  self->member_call = NULL;
  if (status != PL_OK || *answer == NULL)
    {
      schedule_retry (self, review);
      return;
    }
  self->poll_delay = 0;
  self->cells_read_at = knl_kernel_now (self->process.kernel);
  drop_cell_row (self);
  for (guint i = 0; i < (*answer)->rows->len; i++)
    {
      PlRow row;

      pl_row_decode (g_ptr_array_index ((*answer)->rows, i), &row);
      if (!keep_cell_row (self, &row))
        discover_other_cell (self, &row);
      gateway_adopt_quarantined (self, row.value, FALSE);
      gateway_note_watermark (self, row.value);
      json_decref (row.value);
    }
  sv_peers_note_counted (self->peers);
  join_silent_contacts (self);
  if (is_row_unwritten (self) || may_replace_contacts (self))
    write_contacts (self);
  else
    schedule (self, REVIEW_INTERVAL, review);
}

static void
read_cells (Gateway *self)
{
  self->member_call = pl_store_get (self->store, PL_CELL_TABLE, NULL, on_cells, self);
}

/* The relay, or who stands in for it, reads the rows of all cells at once, and then periodically.
 */
static void
review (gpointer data)
{
  Gateway *self = data;
  KnlTime now = knl_kernel_now (self->process.kernel);
  KnlTime interval = sv_peers_is_parted (self->peers) ? PARTED_CELLS_INTERVAL : CELLS_INTERVAL;

  self->member_timer = 0;
  if (!sv_peers_is_relay (self->peers) && !sv_peers_is_substitute (self->peers))
    self->cells_read_at = 0;
  else if (self->cells_read_at == 0 || now - self->cells_read_at >= interval
           || is_row_unwritten (self))
    {
      read_cells (self);
      return;
    }
  schedule (self, REVIEW_INTERVAL, review);
}

void
gateway_review_soon (Gateway *self)
{
  /* After a failure the next try waits. */
  if (!self->is_member || self->member_call != NULL || self->poll_delay > 0)
    return;
  knl_timer_stop (self->process.kernel, &self->member_timer);
  review (self);
}

void
gateway_reread_cells (Gateway *self)
{
  if (!self->is_member || !sv_peers_is_relay (self->peers))
    return;
  /* A call in progress may return the state from before the change of era. */
  g_clear_pointer (&self->member_call, pl_call_cancel);
  knl_timer_stop (self->process.kernel, &self->member_timer);
  read_cells (self);
}

void
gateway_note_store_answered (Gateway *self)
{
  if (!self->is_cell_unread)
    return;
  knl_timer_stop (self->process.kernel, &self->member_timer);
  read_cell (self);
}

void
gateway_start_membership (Gateway *self)
{
  self->join_started_at = knl_kernel_now (self->process.kernel);
  read_cell (self);
}

void
gateway_stop_membership (Gateway *self)
{
  g_clear_pointer (&self->member_call, pl_call_cancel);
  knl_timer_stop (self->process.kernel, &self->member_timer);
  drop_cell_row (self);
}
