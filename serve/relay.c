/** The relay of a cell: announces its cell's sums to other cells, and forwards theirs to its own
 * cell. */

#include <string.h>

#include "peers_internal.h"

/* Minimum interval between announcements to other cells, and between forwards to the peers of our
 * cell; changes in between are sent together. A change is known in all cells after at most two of
 * these intervals, two network delays between zones, and the sender's own delay. */
#define CELL_INTERVAL (5 * KNL_MSEC)

/* Endpoints in each description of a cell, which go through the whole list in turn and repair state
 * after lost datagrams. With 155 endpoints each is announced every 5 s; those in use change, and so
 * are announced, more often. */
#define MAX_DESCRIBED_ENDPOINTS 12

/* Callers' addresses in a description; callers whose own zone has too few instances get them. */
#define MAX_READY_ADDRESSES 8

/* Instances that receive the description if a zone's relay isn't known; they forward it to their
 * relay. */
#define MAX_INTRODUCTIONS 2

/* Maximum bytes of other cells' datagrams that are forwarded in one datagram. */
#define MAX_FORWARDED_BYTES 1400

static const Peer *
relay_of (const SvPeers *self, const Cell *cell)
{
  return g_hash_table_lookup (self->by_id, GUINT_TO_POINTER (cell->relay));
}

/* Sends the description to some instances of a cell whose relay isn't known; they forward it to
 * their relay. */
static void
introduce_to_cell (SvPeers *self, const Cell *cell, const Alderturn__Datagram *datagram)
{
  g_autoptr (GPtrArray) peers = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (g_strcmp0 (((const Peer *)value)->zone, cell->zone) == 0)
        g_ptr_array_add (peers, value);
    }
  for (guint i = 0; i < MAX_INTRODUCTIONS && peers->len > 0; i++)
    {
      gint32 chosen = g_rand_int_range (knl_kernel_rand (self->kernel), 0, (gint32)peers->len);

      sv_peers_send (self, g_ptr_array_index (peers, chosen), datagram);
    }
}

void
sv_relay_send_to_cells (SvPeers *self, const Alderturn__Datagram *datagram)
{
  GHashTableIter iter;
  gpointer cell;

  g_hash_table_iter_init (&iter, self->cells);
  while (g_hash_table_iter_next (&iter, NULL, &cell))
    {
      const Peer *relay = relay_of (self, cell);

      if (relay != NULL && sv_cell_is_alive (self, cell))
        sv_peers_send (self, relay, datagram);
      else if (datagram->cell->described)
        introduce_to_cell (self, cell, datagram);
    }
}

static gboolean
is_same_load (const SvLoad *a, const SvLoad *b)
{
  return a->calls == b->calls && a->tokens == b->tokens
         && memcmp (a->decoding_streams, b->decoding_streams, sizeof a->decoding_streams) == 0;
}

static gboolean
is_announced (const SvPeers *self, const SvEndpoint *endpoint, const SvLoad *sum)
{
  return is_same_load (sum, &endpoint->announced) && sv_peers_has_told_cell_pace (self, endpoint)
         && endpoint->announced_sent == endpoint->sent_in_cell
         && endpoint->announced_rate == endpoint->limit.rate;
}

static void
add_sum (SvPeers *self, Alderturn__Datagram *datagram, Rows *rows, SvEndpoint *endpoint)
{
  SvLoad sum = sv_endpoint_own_cell_load (endpoint);

  rows->endpoints[datagram->n_loads] = endpoint;
  sv_peers_add_load (self, datagram, rows, endpoint, &sum);
  sv_peers_add_limit (self, datagram, rows, endpoint, endpoint->sent_in_cell);
  endpoint->announced = sum;
  endpoint->announced_sent = endpoint->sent_in_cell;
  endpoint->announced_rate = endpoint->limit.rate;
  endpoint->cell_changed = FALSE;
}

static void
add_changed_sums (SvPeers *self, Alderturn__Datagram *datagram, Rows *rows)
{
  const GPtrArray *endpoints = sv_fleet_all (self->fleet);

  for (guint i = 0; i < endpoints->len && !sv_rows_are_full (rows, datagram, MAX_ROWS / 2); i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);
      SvLoad sum;

      if (!endpoint->cell_changed)
        continue;
      sum = sv_endpoint_own_cell_load (endpoint);
      if (is_announced (self, endpoint, &sum))
        endpoint->cell_changed = FALSE;
      else
        add_sum (self, datagram, rows, endpoint);
    }
}

/* Returns FALSE if there was nothing to announce. */
static gboolean
send_sums (SvPeers *self)
{
  Alderturn__Cell cell = ALDERTURN__CELL__INIT;
  Alderturn__Datagram datagram;
  gboolean has_updates;
  Rows rows;

  sv_peers_begin_datagram (self, &datagram, &rows);
  cell.id = self->cell;
  datagram.cell = &cell;
  add_changed_sums (self, &datagram, &rows);
  has_updates = sv_peers_add_outbox (&datagram, &rows, &self->cell_outbox);
  has_updates |= sv_peers_add_crashes (self, &datagram, &rows, SV_CRASHES_FOR_CELLS);
  sv_peers_add_cell_paces (self, &datagram, &rows);
  if (!has_updates && datagram.n_loads == 0)
    return FALSE;
  sv_relay_send_to_cells (self, &datagram);
  sv_outbox_remove_sent (&self->cell_outbox, &datagram);
  return TRUE;
}

static void
on_announce_due (gpointer data)
{
  SvPeers *self = data;

  self->cell_timer = 0;
  self->cell_announced_at = knl_kernel_now (self->kernel);
  while (send_sums (self))
    ;
  while (sv_relay_send_quarantine (self))
    ;
}

/* Runs `func` at once, or CELL_INTERVAL after the last run at `last` (0: never), unless it is
 * scheduled already. */
static void
run_rate_limited (SvPeers *self, KnlTimerId *timer, KnlTime last, KnlTimerFunc func)
{
  KnlTime wait = last > 0 ? last + CELL_INTERVAL - knl_kernel_now (self->kernel) : 0;

  if (*timer != 0)
    return;
  if (wait > 0)
    *timer = knl_timer_start (self->kernel, wait, func, self);
  else
    func (self);
}

void
sv_relay_announce (SvPeers *self)
{
  if (sv_peers_is_relay (self))
    run_rate_limited (self, &self->cell_timer, self->cell_announced_at, on_announce_due);
}

static guint
fill_ready (const SvPeers *self, char **ready)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  if (self->ready)
    ready[n++] = (char *)self->self.callers_address;
  g_hash_table_iter_init (&iter, self->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value) && n < MAX_READY_ADDRESSES)
    {
      const Peer *peer = value;

      if (peer->ready && sv_cells_has_alive (self, peer))
        ready[n++] = peer->callers_address;
    }
  return n;
}

/* Sends the cell's description to other cells: its relay, some addresses for callers, and the sums
 * of some endpoints in turn. */
static void
describe (SvPeers *self)
{
  const GPtrArray *endpoints = sv_fleet_all (self->fleet);
  Alderturn__Cell cell = ALDERTURN__CELL__INIT;
  Alderturn__Datagram datagram;
  Alderturn__Sender sender;
  char *ready[MAX_READY_ADDRESSES];
  Rows rows;

  sv_peers_begin_datagram (self, &datagram, &rows);
  sv_peers_fill_sender (self, &datagram, &sender);
  sv_peers_fill_versions (self, &datagram);
  cell.id = self->cell;
  cell.described = TRUE;
  cell.instances = 1 + sv_peers_n_in_zone (self, self->self.zone);
  cell.heard = 1 + sv_peers_n_alive_in_cell (self);
  cell.ready = ready;
  cell.n_ready = fill_ready (self, ready);
  datagram.cell = &cell;
  for (guint i = 0; i < MIN (endpoints->len, MAX_DESCRIBED_ENDPOINTS); i++)
    add_sum (self, &datagram, &rows,
             g_ptr_array_index (endpoints, self->next_described++ % endpoints->len));
  sv_peers_add_cell_paces (self, &datagram, &rows);
  sv_relay_send_to_cells (self, &datagram);
}

static void
on_describe_due (gpointer data)
{
  SvPeers *self = data;

  self->describe_timer = 0;
  self->described_at = knl_kernel_now (self->kernel);
  describe (self);
}

void
sv_relay_note_ready (SvPeers *self)
{
  if (sv_peers_is_relay (self))
    run_rate_limited (self, &self->describe_timer, self->described_at, on_describe_due);
}

/* Drops the load of a silent cell, which may have ended long ago. */
static void
drop_silent (SvPeers *self, Cell *cell)
{
  const GPtrArray *endpoints = sv_fleet_all (self->fleet);

  if (!cell->is_counted || sv_cell_is_alive (self, cell))
    return;
  cell->is_counted = FALSE;
  cm_log (CM_LOG_NOTICE, "cell-silent", "s", "zone", cell->zone);
  for (guint i = 0; i < endpoints->len; i++)
    sv_endpoint_drop_cell (g_ptr_array_index (endpoints, i), cell->id);
}

/* Called when this instance becomes relay. Other cells hold what the previous relay announced,
 * which isn't known here, so all sums are marked as changed. */
static void
start_as_relay (SvPeers *self)
{
  const GPtrArray *endpoints = sv_fleet_all (self->fleet);

  cm_log (CM_LOG_NOTICE, "relay", "i", "instances", (gint64)self->n_in_cell + 1);
  for (guint i = 0; i < endpoints->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      endpoint->announced.calls = G_MAXUINT;
      endpoint->cell_changed = TRUE;
    }
}

void
sv_relay_on_heartbeat (SvPeers *self)
{
  gboolean is_relay = sv_peers_is_relay (self);
  GHashTableIter iter;
  gpointer cell;

  g_hash_table_iter_init (&iter, self->cells);
  while (g_hash_table_iter_next (&iter, NULL, &cell))
    drop_silent (self, cell);
  if (is_relay && !self->was_relay)
    start_as_relay (self);
  self->was_relay = is_relay;
  if (!is_relay)
    return;
  describe (self);
  sv_relay_announce (self);
}

static guint32
held_ms (const SvPeers *self, KnlTime sent_at)
{
  return (guint32)((knl_kernel_now (self->kernel) - sent_at) / KNL_MSEC + 1);
}

/* Forwards as many of the queued datagrams as fit into one; the others stay queued. */
static void
send_forwarded (SvPeers *self)
{
  ProtobufCBinaryData forwarded[MAX_ROWS];
  Alderturn__Datagram datagram;
  Rows rows;
  gsize bytes = 0;
  guint n = 0;

  sv_peers_begin_datagram (self, &datagram, &rows);
  for (; n < MIN (self->forward_queue->len, MAX_ROWS); n++)
    {
      gsize length;
      gconstpointer content =
          g_bytes_get_data (g_ptr_array_index (self->forward_queue, n), &length);

      if (n > 0 && bytes + length > MAX_FORWARDED_BYTES)
        break;
      forwarded[n] = (ProtobufCBinaryData){ .len = length, .data = (guint8 *)content };
      bytes += length;
    }
  datagram.passed = forwarded;
  datagram.n_passed = n;
  datagram.held_ms = held_ms (self, self->forward_sent_at);
  sv_peers_send_to_cell (self, &datagram);
  g_ptr_array_remove_range (self->forward_queue, 0, n);
}

static void
on_forward_due (gpointer data)
{
  SvPeers *self = data;

  self->forward_timer = 0;
  self->forwarded_at = knl_kernel_now (self->kernel);
  while (self->forward_queue->len > 0)
    send_forwarded (self);
}

static void
forward_to_cell (SvPeers *self, const guint8 *bytes, gsize length)
{
  if (self->forward_queue->len == 0 || self->sent_at < self->forward_sent_at)
    self->forward_sent_at = self->sent_at;
  g_ptr_array_add (self->forward_queue, g_bytes_new (bytes, length));
  run_rate_limited (self, &self->forward_timer, self->forwarded_at, on_forward_due);
}

/* Forwards a datagram from another cell to our relay: its sender doesn't know which instance that
 * is. */
static void
forward_to_relay (SvPeers *self, const Peer *relay, const guint8 *bytes, gsize length)
{
  ProtobufCBinaryData forwarded = { .len = length, .data = (guint8 *)bytes };
  Alderturn__Datagram datagram;
  Rows rows;

  sv_peers_begin_datagram (self, &datagram, &rows);
  datagram.passed = &forwarded;
  datagram.n_passed = 1;
  datagram.to_relay = TRUE;
  datagram.held_ms = held_ms (self, self->sent_at);
  sv_peers_send (self, relay, &datagram);
}

void
sv_relay_receive (SvPeers *self,
                  const Alderturn__Datagram *datagram,
                  const guint8 *bytes,
                  gsize length)
{
  const Peer *relay = sv_cells_relay (self);

  if (relay != NULL)
    {
      forward_to_relay (self, relay, bytes, length);
      return;
    }
  sv_peers_handle_cell (self, datagram);
  forward_to_cell (self, bytes, length);
}

void
sv_relay_handle_forwarded (SvPeers *self, const Alderturn__Datagram *datagram)
{
  self->sent_at -= (KnlTime)datagram->held_ms * KNL_MSEC;
  for (guint i = 0; i < datagram->n_passed; i++)
    {
      const ProtobufCBinaryData *bytes = &datagram->passed[i];
      Alderturn__Datagram *forwarded = alderturn__datagram__unpack (NULL, bytes->len, bytes->data);

      if (forwarded == NULL)
        continue;
      if (forwarded->cell != NULL && forwarded->cell->id != self->cell)
        sv_peers_handle_cell (self, forwarded);
      /* Not forwarded to a relay again: two instances that each consider the other the relay would
       * do so forever. */
      if (datagram->to_relay)
        forward_to_cell (self, bytes->data, bytes->len);
      alderturn__datagram__free_unpacked (forwarded, NULL);
    }
}

/* State while a snapshot is sent: the datagram being filled, and its receiver. */
typedef struct
{
  SvPeers *peers;
  const Peer *peer;
  Alderturn__Datagram datagram;
  Rows rows;
  Outbox outbox;
} Snapshot;

static void
send_snapshot (Snapshot *self)
{
  sv_peers_add_outbox (&self->datagram, &self->rows, &self->outbox);
  if (self->datagram.n_loads + self->datagram.n_reads > 0)
    sv_peers_send (self->peers, self->peer, &self->datagram);
  sv_outbox_remove_sent (&self->outbox, &self->datagram);
  sv_peers_begin_datagram (self->peers, &self->datagram, &self->rows);
}

static void
snapshot_add_prefill (const SvPrefill *prefill, const guint64 *keys, guint n, gpointer data)
{
  Snapshot *self = data;
  PrefillRow row = {
    .prompt = prefill->prompt, .length = prefill->length, .until_ended = TRUE, .n = n
  };

  memcpy (row.keys, keys, n * sizeof *keys);
  g_array_append_val (self->outbox.prefills, row);
  if (self->outbox.prefills->len == MAX_PREFILL_ROWS)
    send_snapshot (self);
}

static void
snapshot_add_endpoint (Snapshot *self, const SvEndpoint *endpoint)
{
  for (guint i = 0; i < endpoint->peers->len; i++)
    {
      const SvPeerLoad *row = &g_array_index (endpoint->peers, SvPeerLoad, i);

      if (!row->is_cell || row->load.calls == 0)
        continue;
      sv_peers_add_load (self->peers, &self->datagram, &self->rows, endpoint, &row->load);
      self->rows.loads[self->datagram.n_loads - 1].cell = row->source;
      if (self->datagram.n_loads == MAX_ROWS)
        send_snapshot (self);
    }
}

/* To an instance that has just started, every endpoint looks idle. If many start together, they
 * send their first requests to the same few endpoints, and for seconds some engines have full
 * queues next to idle ones. */
void
sv_relay_send_snapshot (SvPeers *self, const Peer *peer)
{
  const GPtrArray *endpoints = sv_fleet_all (self->fleet);
  Snapshot snapshot = { .peers = self, .peer = peer };

  if (!sv_peers_is_relay (self))
    return;
  sv_outbox_init (&snapshot.outbox);
  sv_peers_begin_datagram (self, &snapshot.datagram, &snapshot.rows);
  for (guint i = 0; i < endpoints->len; i++)
    snapshot_add_endpoint (&snapshot, g_ptr_array_index (endpoints, i));
  sv_fleet_each_prefill (self->fleet, snapshot_add_prefill, &snapshot);
  send_snapshot (&snapshot);
  sv_outbox_clear (&snapshot.outbox);
}

void
sv_relay_stop (SvPeers *self)
{
  knl_timer_stop (self->kernel, &self->cell_timer);
  knl_timer_stop (self->kernel, &self->forward_timer);
  knl_timer_stop (self->kernel, &self->describe_timer);
}
