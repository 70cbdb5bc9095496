/** What this instance tells the others. */

#include <string.h>

#include "common/log.h"
#include "peers_internal.h"

/* Changes of load wait this long for others to go with them. Reads go at once: another instance
 * that places a read on top of them in the meantime makes streams pause. */
#define LOAD_DELAY (30 * KNL_MSEC)
#define READ_DELAY (2 * KNL_MSEC)

/* Rows in a datagram, so that it stays below the usual packet size. */
#define ROWS_MOST 36

/* The same for endpoints that were lost, and for those that answer again. */
#define HEALTH_MOST 10

/* The same for prompts, each with the endpoints that read it. */
#define READS_MOST 5

static void
send_to (SvPeers *self, const Peer *peer, const Alderturn__Datagram *datagram)
{
  guint8 bytes[DATAGRAM_BYTES];
  gsize length = alderturn__datagram__get_packed_size (datagram);

  if (length > sizeof bytes)
    {
      cm_log (CM_LOG_ERR, "datagram-too-large", "i", "bytes", (gint64)length);
      return;
    }
  alderturn__datagram__pack (datagram, bytes);
  /* A datagram that can't be sent now is a lost one. */
  if (sendto (self->socket, bytes, length, MSG_DONTWAIT,
              (const struct sockaddr *)&peer->socket_address, (socklen_t)peer->socket_length)
      < 0)
    cm_log (CM_LOG_DEBUG, "datagram-not-sent", "s", "peer", peer->link_address);
}

static void
fill_load (Alderturn__EndpointLoad *row, const SvEndpoint *endpoint, KnlTime now)
{
  alderturn__endpoint_load__init (row);
  row->endpoint = endpoint->key;
  row->calls = endpoint->own.calls;
  row->tight = endpoint->own.writers[SV_PAUSE_TIGHT];
  row->medium = endpoint->own.writers[SV_PAUSE_MEDIUM];
  row->loose = endpoint->own.writers[SV_PAUSE_LOOSE];
  row->tokens = endpoint->own.tokens;
  if (endpoint->heard_at > 0)
    row->silent_ms = (guint32)MIN ((now - endpoint->heard_at) / KNL_MSEC + 1, G_MAXUINT32);
}

/* Rows of one kind, with the pointers that protobuf-c wants. */
typedef struct
{
  Alderturn__EndpointLoad loads[ROWS_MOST];
  Alderturn__EndpointLoad *load_rows[ROWS_MOST];
  Alderturn__PlacedRead reads[READS_MOST];
  Alderturn__PlacedRead *read_rows[READS_MOST];
} Rows;

static void
begin_datagram (SvPeers *self, Alderturn__Datagram *datagram, Rows *rows)
{
  alderturn__datagram__init (datagram);
  datagram->sender = self->id;
  datagram->incarnation = self->self.incarnation;
  datagram->sequence = ++self->sequence;
  datagram->ready = self->ready;
  datagram->loads = rows->load_rows;
  datagram->reads = rows->read_rows;
}

static void
add_load_row (const SvPeers *self, Alderturn__Datagram *datagram, Rows *rows, SvEndpoint *endpoint)
{
  fill_load (&rows->loads[datagram->n_loads], endpoint, knl_kernel_now (self->kernel));
  rows->load_rows[datagram->n_loads] = &rows->loads[datagram->n_loads];
  datagram->n_loads++;
  endpoint->own_changed = FALSE;
}

static void
send_to_all (SvPeers *self, const Alderturn__Datagram *datagram)
{
  GHashTableIter iter;
  gpointer peer;

  g_hash_table_iter_init (&iter, self->peers);
  while (g_hash_table_iter_next (&iter, NULL, &peer))
    send_to (self, peer, datagram);
}

static void
fill_whole (SvPeers *self, Alderturn__Datagram *datagram, Alderturn__Sender *member, Rows *rows)
{
  const GPtrArray *endpoints = sv_fleet_all (self->fleet);

  begin_datagram (self, datagram, rows);
  alderturn__sender__init (member);
  member->name = (char *)self->self.name;
  member->link_address = (char *)self->self.link_address;
  member->callers_address = (char *)self->self.callers_address;
  member->zone = (char *)self->self.zone;
  member->region = (char *)self->self.region;
  datagram->from = member;
  datagram->whole = TRUE;
  for (guint i = 0; i < endpoints->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (endpoint->own.calls == 0)
        continue;
      if (datagram->n_loads == ROWS_MOST)
        {
          datagram->whole = FALSE;
          break;
        }
      add_load_row (self, datagram, rows, endpoint);
    }
}

void
sv_peers_send_whole (SvPeers *self, const Peer *peer)
{
  Alderturn__Datagram datagram;
  Alderturn__Sender member;
  Rows rows;

  fill_whole (self, &datagram, &member, &rows);
  if (peer != NULL)
    send_to (self, peer, &datagram);
  else
    send_to_all (self, &datagram);
}

void
sv_peers_send_beat (SvPeers *self)
{
  Alderturn__Datagram datagram;
  Rows rows;

  begin_datagram (self, &datagram, &rows);
  send_to_all (self, &datagram);
}

void
sv_peers_send_confirmation (SvPeers *self,
                            const Peer *peer,
                            const Alderturn__Confirmation *confirmation)
{
  Alderturn__Datagram datagram;
  Rows rows;

  begin_datagram (self, &datagram, &rows);
  datagram.confirmation = (Alderturn__Confirmation *)confirmation;
  send_to (self, peer, &datagram);
}

static void
fill_reads (SvPeers *self, Alderturn__Datagram *datagram, Rows *rows)
{
  guint n = MIN (self->reads->len, READS_MOST);

  for (guint i = 0; i < n; i++)
    {
      PlacedReadRow *read = &g_array_index (self->reads, PlacedReadRow, i);
      Alderturn__PlacedRead *row = &rows->reads[i];

      alderturn__placed_read__init (row);
      row->prompt = read->prompt;
      row->endpoints = read->keys;
      row->n_endpoints = read->n;
      row->length_us = (guint32)read->length;
      row->until_told = read->until_told;
      rows->read_rows[i] = row;
    }
  datagram->n_reads = n;
}

/* FALSE: there was nothing to tell. */
static gboolean
send_changes (SvPeers *self)
{
  const GPtrArray *endpoints = sv_fleet_all (self->fleet);
  Alderturn__Datagram datagram;
  Rows rows;

  begin_datagram (self, &datagram, &rows);
  for (guint i = 0; i < endpoints->len && datagram.n_loads < ROWS_MOST / 2; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (endpoint->own_changed)
        add_load_row (self, &datagram, &rows, endpoint);
    }
  fill_reads (self, &datagram, &rows);
  datagram.suspects = (guint64 *)(gpointer)self->suspects->data;
  datagram.n_suspects = MIN (self->suspects->len, ROWS_MOST);
  datagram.lost = (guint64 *)(gpointer)self->lost->data;
  datagram.n_lost = MIN (self->lost->len, HEALTH_MOST);
  datagram.answering = (guint64 *)(gpointer)self->answering->data;
  datagram.n_answering = MIN (self->answering->len, HEALTH_MOST);
  if (datagram.n_loads + datagram.n_reads + datagram.n_suspects + datagram.n_lost
          + datagram.n_answering
      == 0)
    return FALSE;
  send_to_all (self, &datagram);
  g_array_remove_range (self->reads, 0, (guint)datagram.n_reads);
  g_array_set_size (self->suspects, 0);
  g_array_set_size (self->lost, 0);
  g_array_set_size (self->answering, 0);
  return TRUE;
}

static void
on_change_due (gpointer data)
{
  SvPeers *self = data;

  self->change_timer = 0;
  while (send_changes (self))
    ;
}

static void
tell_within (SvPeers *self, KnlTime delay)
{
  if (self->change_timer == 0)
    self->change_timer = knl_timer_start (self->kernel, delay, on_change_due, self);
}

static void
tell_read (SvPeers *self, const PlacedReadRow *row)
{
  g_array_append_val (self->reads, *row);
  knl_timer_stop (self->kernel, &self->change_timer);
  tell_within (self, READ_DELAY);
}

static void
link_read_placed (SvPeerLink *link, const SvRead *read, const guint64 *keys, guint n)
{
  PlacedReadRow row = {
    .prompt = read->prompt, .length = read->length, .until_told = read->until_told, .n = n
  };

  memcpy (row.keys, keys, n * sizeof *keys);
  tell_read ((SvPeers *)link, &row);
}

static void
link_read_ended (SvPeerLink *link, guint64 prompt)
{
  PlacedReadRow row = { .prompt = prompt };

  tell_read ((SvPeers *)link, &row);
}

static void
link_load_changed (SvPeerLink *link)
{
  tell_within ((SvPeers *)link, LOAD_DELAY);
}

static void
link_suspect (SvPeerLink *link, guint64 fingerprint)
{
  SvPeers *self = (SvPeers *)link;

  g_array_append_val (self->suspects, fingerprint);
  tell_within (self, READ_DELAY);
}

static void
link_health_changed (SvPeerLink *link, const SvEndpoint *endpoint, gboolean lost)
{
  SvPeers *self = (SvPeers *)link;

  g_array_append_val (lost ? self->lost : self->answering, endpoint->key);
  knl_timer_stop (self->kernel, &self->change_timer);
  tell_within (self, READ_DELAY);
}

static guint
link_n_instances (const SvPeerLink *link)
{
  return g_hash_table_size (((const SvPeers *)link)->peers) + 1;
}

const SvPeerLinkClass sv_peers_link_class = {
  .read_placed = link_read_placed,
  .read_ended = link_read_ended,
  .load_changed = link_load_changed,
  .suspect = link_suspect,
  .health_changed = link_health_changed,
  .n_instances = link_n_instances,
};
