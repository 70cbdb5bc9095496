/** Datagrams that this instance sends to other instances. */

#include <errno.h>
#include <string.h>

#include "common/log.h"
#include "peers_internal.h"

/* Delays before a change is announced. A change of load waits so that others can share its
 * datagram. A prefill is announced sooner: if another instance placed a second prefill on the same
 * endpoint before it knows of this one, the endpoint's streams would stall. */
#define LOAD_DELAY    (5 * KNL_MSEC)
#define PREFILL_DELAY (2 * KNL_MSEC)

void
sv_outbox_init (Outbox *self)
{
  *self = (Outbox){
    .prefills = g_array_new (FALSE, FALSE, sizeof (PrefillRow)),
    .lost = g_array_new (FALSE, FALSE, sizeof (guint64)),
    .lost_by = g_array_new (FALSE, FALSE, sizeof (guint32)),
    .answering = g_array_new (FALSE, FALSE, sizeof (guint64)),
  };
}

void
sv_outbox_clear (Outbox *self)
{
  g_array_unref (self->prefills);
  g_array_unref (self->lost);
  g_array_unref (self->lost_by);
  g_array_unref (self->answering);
}

void
sv_peers_send_to (SvPeers *self, const SocketAddress *address, const Alderturn__Datagram *datagram)
{
  guint8 bytes[MAX_DATAGRAM_BYTES];
  gsize length = alderturn__datagram__get_packed_size (datagram);

  if (length > sizeof bytes)
    {
      cm_log (CM_LOG_ERR, "datagram-too-large", "i", "bytes", (gint64)length);
      return;
    }
  alderturn__datagram__pack (datagram, bytes);
  self->sent.datagrams++;
  self->sent.bytes += length;
  /* Not sent again: a failed send counts as a lost datagram. */
  if (sendto (self->socket, bytes, length, MSG_DONTWAIT, (const struct sockaddr *)&address->address,
              (socklen_t)address->length)
      < 0)
    cm_log (CM_LOG_DEBUG, "datagram-not-sent", "i", "error", (gint64)errno);
}

void
sv_peers_send (SvPeers *self, const Peer *peer, const Alderturn__Datagram *datagram)
{
  sv_peers_send_to (self, &peer->socket_address, datagram);
}

SvPeerTraffic
sv_peers_sent (const SvPeers *self)
{
  return self->sent;
}

static void
fill_load (Alderturn__EndpointLoad *row,
           const SvEndpoint *endpoint,
           const SvLoad *load,
           KnlTime now)
{
  alderturn__endpoint_load__init (row);
  row->endpoint = endpoint->key;
  row->calls = load->calls;
  row->tight = load->decoding_streams[SV_GAP_TIGHT];
  row->medium = load->decoding_streams[SV_GAP_MEDIUM];
  row->loose = load->decoding_streams[SV_GAP_LOOSE];
  row->tokens = load->tokens;
  if (endpoint->signs.heard_at > 0)
    row->silent_ms = (guint32)MIN ((now - endpoint->signs.heard_at) / KNL_MSEC + 1, G_MAXUINT32);
  if (endpoint->signs.proven_at > 0)
    row->proven_ms = (guint32)MIN ((now - endpoint->signs.proven_at) / KNL_MSEC + 1, G_MAXUINT32);
}

void
sv_peers_begin_datagram (SvPeers *self, Alderturn__Datagram *datagram, Rows *rows)
{
  alderturn__datagram__init (datagram);
  datagram->sender = self->id;
  datagram->incarnation = self->self.incarnation;
  datagram->sequence = ++self->sequence;
  datagram->ready = self->ready;
  datagram->cut_off = self->cut_off;
  rows->n_limits = 0;
  rows->n_paces = 0;
  datagram->loads = rows->load_rows;
  datagram->reads = rows->prefill_rows;
}

gboolean
sv_rows_are_full (const Rows *rows, const Alderturn__Datagram *datagram, guint max_rows)
{
  return datagram->n_loads + rows->n_limits >= max_rows;
}

void
sv_peers_fill_sender (const SvPeers *self, Alderturn__Datagram *datagram, Alderturn__Sender *sender)
{
  alderturn__sender__init (sender);
  sender->name = (char *)self->self.name;
  sender->link_address = (char *)self->self.link_address;
  sender->callers_address = (char *)self->self.callers_address;
  sender->zone = (char *)self->self.zone;
  sender->region = (char *)self->self.region;
  sender->strength = self->self.strength;
  datagram->from = sender;
}

void
sv_peers_add_load (const SvPeers *self,
                   Alderturn__Datagram *datagram,
                   Rows *rows,
                   const SvEndpoint *endpoint,
                   const SvLoad *load)
{
  fill_load (&rows->loads[datagram->n_loads], endpoint, load, knl_kernel_now (self->kernel));
  rows->load_rows[datagram->n_loads] = &rows->loads[datagram->n_loads];
  datagram->n_loads++;
}

void
sv_peers_add_limit (const SvPeers *self,
                    Alderturn__Datagram *datagram,
                    Rows *rows,
                    const SvEndpoint *endpoint,
                    guint32 sent)
{
  KnlTime now = knl_kernel_now (self->kernel);
  gsize last = datagram->n_loads - 1;
  Alderturn__EndpointLimit *limit = &rows->limits[last];

  if (!sv_endpoint_announces_limit (endpoint, now))
    return;
  alderturn__endpoint_limit__init (limit);
  limit->rate = endpoint->limit.rate;
  limit->age_ms =
      (guint32)MIN ((now - endpoint->limit.advertised_at) / KNL_MSEC + 1, (KnlTime)G_MAXUINT32);
  limit->sent = sent;
  rows->loads[last].limit = limit;
  rows->n_limits++;
}

void
sv_peers_add_own_load (const SvPeers *self,
                       Alderturn__Datagram *datagram,
                       Rows *rows,
                       SvEndpoint *endpoint)
{
  rows->endpoints[datagram->n_loads] = endpoint;
  sv_peers_add_load (self, datagram, rows, endpoint, &endpoint->own);
  sv_peers_add_limit (self, datagram, rows, endpoint, endpoint->sent);
  endpoint->own_changed = FALSE;
}

void
sv_peers_send_to_cell (SvPeers *self, const Alderturn__Datagram *datagram)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;

      if (peer->is_in_cell)
        sv_peers_send (self, peer, datagram);
    }
}

static void
fill_full_datagram (SvPeers *self,
                    Alderturn__Datagram *datagram,
                    Alderturn__Sender *member,
                    Rows *rows)
{
  const GPtrArray *endpoints = sv_fleet_all (self->fleet);

  sv_peers_begin_datagram (self, datagram, rows);
  sv_peers_fill_sender (self, datagram, member);
  datagram->whole = TRUE;
  for (guint i = 0; i < endpoints->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (endpoint->own.calls == 0
          && !sv_endpoint_announces_limit (endpoint, knl_kernel_now (self->kernel)))
        continue;
      if (sv_rows_are_full (rows, datagram, MAX_ROWS))
        {
          datagram->whole = FALSE;
          break;
        }
      sv_peers_add_own_load (self, datagram, rows, endpoint);
    }
  sv_peers_add_paces_in_turn (self, datagram, rows);
}

void
sv_peers_send_full (SvPeers *self, const Peer *peer)
{
  Alderturn__Datagram datagram;
  Alderturn__Sender member;
  Rows rows;
  guint first = self->next_paced;

  fill_full_datagram (self, &datagram, &member, &rows);
  /* The others get the same paces with the next one. */
  self->next_paced = peer != NULL ? first : self->next_paced;
  if (peer != NULL)
    sv_peers_send (self, peer, &datagram);
  else
    sv_peers_send_to_cell (self, &datagram);
}

void
sv_peers_send_heartbeat (SvPeers *self)
{
  Alderturn__Datagram datagram;
  MemberRows members;
  Rows rows;

  sv_peers_begin_datagram (self, &datagram, &rows);
  sv_join_add_members (self, &datagram, &members);
  sv_peers_fill_versions (self, &datagram);
  sv_peers_send_to_cell (self, &datagram);
}

void
sv_peers_send_confirmation (SvPeers *self,
                            const Peer *peer,
                            const Alderturn__Confirmation *confirmation)
{
  Alderturn__Datagram datagram;
  Alderturn__Sender sender;
  Rows rows;

  sv_peers_begin_datagram (self, &datagram, &rows);
  /* Another cell's relay may not know this instance yet. */
  if (!peer->is_in_cell)
    sv_peers_fill_sender (self, &datagram, &sender);
  datagram.confirmation = (Alderturn__Confirmation *)confirmation;
  sv_peers_send (self, peer, &datagram);
}

static void
fill_prefills (Alderturn__Datagram *datagram, Rows *rows, const Outbox *outbox)
{
  guint n = MIN (outbox->prefills->len, MAX_PREFILL_ROWS);

  for (guint i = 0; i < n; i++)
    {
      PrefillRow *prefill = &g_array_index (outbox->prefills, PrefillRow, i);
      Alderturn__PlacedRead *row = &rows->prefills[i];

      alderturn__placed_read__init (row);
      row->prompt = prefill->prompt;
      row->endpoints = prefill->keys;
      row->n_endpoints = prefill->n;
      row->length_us = (guint32)prefill->length;
      row->until_told = prefill->until_ended;
      rows->prefill_rows[i] = row;
    }
  datagram->n_reads = n;
}

gboolean
sv_peers_add_outbox (Alderturn__Datagram *datagram, Rows *rows, Outbox *outbox)
{
  fill_prefills (datagram, rows, outbox);
  datagram->lost = (guint64 *)(gpointer)outbox->lost->data;
  datagram->n_lost = MIN (outbox->lost->len, MAX_HEALTH_ROWS);
  datagram->lost_by = (guint32 *)(gpointer)outbox->lost_by->data;
  datagram->n_lost_by = MIN (outbox->lost_by->len, MAX_HEALTH_ROWS);
  datagram->answering = (guint64 *)(gpointer)outbox->answering->data;
  datagram->n_answering = MIN (outbox->answering->len, MAX_HEALTH_ROWS);
  return datagram->n_reads + datagram->n_lost + datagram->n_answering > 0;
}

void
sv_outbox_remove_sent (Outbox *self, const Alderturn__Datagram *datagram)
{
  g_array_remove_range (self->prefills, 0, (guint)datagram->n_reads);
  g_array_remove_range (self->lost, 0, (guint)datagram->n_lost);
  g_array_remove_range (self->lost_by, 0, (guint)datagram->n_lost_by);
  g_array_remove_range (self->answering, 0, (guint)datagram->n_answering);
}

/* Returns FALSE if there was nothing to announce. */
static gboolean
send_changes (SvPeers *self)
{
  const GPtrArray *endpoints = sv_fleet_all (self->fleet);
  Alderturn__Datagram datagram;
  gboolean has_updates;
  Rows rows;

  sv_peers_begin_datagram (self, &datagram, &rows);
  for (guint i = 0; i < endpoints->len && !sv_rows_are_full (&rows, &datagram, MAX_ROWS / 2); i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (endpoint->own_changed)
        sv_peers_add_own_load (self, &datagram, &rows, endpoint);
    }
  has_updates = sv_peers_add_outbox (&datagram, &rows, &self->outbox);
  has_updates |= sv_peers_add_crashes (self, &datagram, &rows, SV_CRASHES_FOR_CELL);
  sv_peers_add_own_paces (self, &datagram, &rows);
  if (!has_updates && datagram.n_loads == 0)
    return FALSE;
  sv_peers_send_to_cell (self, &datagram);
  if (sv_peers_is_relay (self))
    sv_outbox_append (&self->cell_outbox, &datagram, self->id);
  sv_outbox_remove_sent (&self->outbox, &datagram);
  return TRUE;
}

static void
on_change_due (gpointer data)
{
  SvPeers *self = data;

  self->change_timer = 0;
  while (send_changes (self))
    ;
  while (sv_peers_send_quarantine (self))
    ;
  sv_relay_announce (self);
}

void
sv_outbox_append (Outbox *self, const Alderturn__Datagram *datagram, guint32 reporter)
{
  for (guint i = 0; i < datagram->n_reads; i++)
    {
      const Alderturn__PlacedRead *prefill = datagram->reads[i];
      PrefillRow row = { .prompt = prefill->prompt,
                         .length = prefill->length_us,
                         .until_ended = prefill->until_told,
                         .n = (guint)MIN (prefill->n_endpoints, G_N_ELEMENTS (row.keys)) };

      if (row.n > 0)
        memcpy (row.keys, prefill->endpoints, row.n * sizeof *row.keys);
      g_array_append_val (self->prefills, row);
    }
  g_array_append_vals (self->answering, datagram->answering, (guint)datagram->n_answering);
  g_array_append_vals (self->lost, datagram->lost, (guint)datagram->n_lost);
  for (guint i = 0; i < datagram->n_lost; i++)
    g_array_append_val (self->lost_by, reporter);
}

static void
announce_within (SvPeers *self, KnlTime delay)
{
  if (self->change_timer == 0)
    self->change_timer = knl_timer_start (self->kernel, delay, on_change_due, self);
}

static void
announce_prefill (SvPeers *self, const PrefillRow *row)
{
  g_array_append_val (self->outbox.prefills, *row);
  knl_timer_stop (self->kernel, &self->change_timer);
  announce_within (self, PREFILL_DELAY);
}

static void
link_prefill_placed (SvPeerLink *link, const SvPrefill *prefill, const guint64 *keys, guint n)
{
  PrefillRow row = { .prompt = prefill->prompt,
                     .length = prefill->length,
                     .until_ended = prefill->until_ended,
                     .n = n };

  memcpy (row.keys, keys, n * sizeof *keys);
  announce_prefill ((SvPeers *)link, &row);
}

static void
link_prefill_ended (SvPeerLink *link, guint64 prompt)
{
  PrefillRow row = { .prompt = prompt };

  announce_prefill ((SvPeers *)link, &row);
}

static void
link_load_changed (SvPeerLink *link)
{
  announce_within ((SvPeers *)link, LOAD_DELAY);
}

static void
link_crashes_changed (SvPeerLink *link)
{
  announce_within ((SvPeers *)link, PREFILL_DELAY);
}

static void
link_health_changed (SvPeerLink *link, const SvEndpoint *endpoint, gboolean lost)
{
  SvPeers *self = (SvPeers *)link;

  g_array_append_val (lost ? self->outbox.lost : self->outbox.answering, endpoint->key);
  knl_timer_stop (self->kernel, &self->change_timer);
  announce_within (self, PREFILL_DELAY);
}

static void
link_reach_changed (SvPeerLink *link, gboolean is_lost)
{
  sv_peers_set_links_lost ((SvPeers *)link, is_lost);
}

static char *
link_passing_address (SvPeerLink *link, const char *avoid)
{
  return sv_peers_passing_address ((SvPeers *)link, avoid);
}

static guint
link_n_instances (const SvPeerLink *link)
{
  const SvPeers *self = (const SvPeers *)link;

  return MAX (sv_peers_n_known (self), sv_join_told_instances (self));
}

static SvShare
link_share (const SvPeerLink *link)
{
  return sv_count_share ((const SvPeers *)link);
}

static gboolean
link_is_elected (const SvPeerLink *link, guint64 seed)
{
  return sv_cells_is_elected ((const SvPeers *)link, seed);
}

const SvPeerLinkClass sv_peers_link_class = {
  .prefill_placed = link_prefill_placed,
  .prefill_ended = link_prefill_ended,
  .load_changed = link_load_changed,
  .crashes_changed = link_crashes_changed,
  .health_changed = link_health_changed,
  .reach_changed = link_reach_changed,
  .passing_address = link_passing_address,
  .n_instances = link_n_instances,
  .share = link_share,
  .is_elected = link_is_elected,
};
