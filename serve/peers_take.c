/** Handling of datagrams that other instances send. */

#include <math.h>
#include <string.h>

#include "peers_internal.h"

/* Losses that a peer may report within the window and still be accepted: this number, or this
 * fraction of all endpoints if it is larger. */
#define LOSS_REPORT_WINDOW       (2 * KNL_SEC)
#define MIN_ACCEPTED_LOSSES      4U
#define ACCEPTED_LOSSES_FRACTION 0.25

static void
replace_text (char **field, const char *text)
{
  if (g_strcmp0 (*field, text) == 0)
    return;
  g_free (*field);
  *field = g_strdup (text);
}

/* Updates the sender's identity. A new peer of our cell gets a full datagram at once, so that it
 * needn't wait for the next periodic one. */
static Peer *
update_member (SvPeers *self, const Alderturn__Datagram *datagram)
{
  const Alderturn__Sender *member = datagram->from;
  Peer *peer;
  gboolean is_new;

  if (datagram->sender == self->id || strcmp (member->link_address, self->self.link_address) == 0)
    return NULL;
  peer = g_hash_table_lookup (self->peers, member->link_address);
  is_new = peer == NULL || peer->last_seen_at < 0 || peer->incarnation != datagram->incarnation;
  if (peer == NULL)
    peer = sv_peers_add (self, member->link_address);
  if (peer == NULL)
    return NULL;
  peer->id = datagram->sender;
  g_hash_table_insert (self->by_id, GUINT_TO_POINTER (peer->id), peer);
  replace_text (&peer->name, member->name);
  replace_text (&peer->callers_address, member->callers_address);
  sv_peer_set_zone (self, peer, member->zone);
  if (is_new || peer->strength != member->strength)
    sv_cells_note_changed (self);
  peer->strength = member->strength;
  if (!is_new)
    return peer;
  cm_log (CM_LOG_NOTICE, "peer-found", "s", "peer", peer->name, "s", "address", peer->link_address,
          "s", "zone", peer->zone);
  if (peer->is_in_cell)
    {
      sv_peers_send_full (self, peer);
      sv_relay_send_snapshot (self, peer);
    }
  sv_peers_send_known_crashes (self, peer);
  return peer;
}

/* Datagrams carry ages instead of times, so that only this instance's own clock is relied on. */
static void
update_last_seen (const SvPeers *self, SvEndpoint *endpoint, const Alderturn__EndpointLoad *row)
{
  KnlTime silent = (KnlTime)(row->silent_ms - 1) * KNL_MSEC;

  if (row->silent_ms == 0)
    return;
  endpoint->last_seen_at = MAX (endpoint->last_seen_at, knl_kernel_now (self->kernel) - silent);
  sv_signs_note_told (&endpoint->signs, self->sent_at - silent);
  if (row->proven_ms > 0)
    sv_signs_note_proof (&endpoint->signs,
                         self->sent_at - (KnlTime)(row->proven_ms - 1) * KNL_MSEC);
}

/* A peer that loses requests at many endpoints at once is probably cut off or faulty itself. If its
 * reports were accepted, two such peers would make all instances avoid healthy endpoints. */
static gboolean
accepts_losses (SvPeers *self, Peer *peer, gsize n_lost)
{
  KnlTime now = knl_kernel_now (self->kernel);
  guint max_losses = MAX (MIN_ACCEPTED_LOSSES,
                          (guint)(ACCEPTED_LOSSES_FRACTION * sv_fleet_all (self->fleet)->len));

  if (now - peer->losses_since > LOSS_REPORT_WINDOW)
    {
      peer->losses_since = now;
      peer->n_reported_losses = 0;
    }
  peer->n_reported_losses += (guint)n_lost;
  return peer->n_reported_losses <= max_losses;
}

static void
handle_loss (SvPeers *self, guint64 key, guint32 reporter)
{
  SvEndpoint *endpoint = sv_fleet_by_key (self->fleet, key);

  if (endpoint != NULL)
    sv_endpoint_note_reported_loss (endpoint, reporter, knl_kernel_now (self->kernel));
}

static void
handle_health (SvPeers *self, Peer *peer, const Alderturn__Datagram *datagram)
{
  gboolean losses_accepted = accepts_losses (self, peer, datagram->n_lost);
  gboolean has_reporters = datagram->n_lost_by == datagram->n_lost;

  for (guint i = 0; i < datagram->n_lost && losses_accepted; i++)
    handle_loss (self, datagram->lost[i], has_reporters ? datagram->lost_by[i] : peer->id);
  for (guint i = 0; i < datagram->n_answering; i++)
    {
      SvEndpoint *endpoint = sv_fleet_by_key (self->fleet, datagram->answering[i]);

      if (endpoint != NULL)
        sv_endpoint_note_reported_answer (endpoint);
    }
}

/* Returns the endpoint of the row and fills in its load; NULL if the endpoint is unknown here. */
static SvEndpoint *
parse_load_row (SvPeers *self, const Alderturn__EndpointLoad *row, SvLoad *load)
{
  SvEndpoint *endpoint = sv_fleet_by_key (self->fleet, row->endpoint);

  if (endpoint == NULL)
    return NULL;
  update_last_seen (self, endpoint, row);
  *load = (SvLoad){
    .calls = row->calls,
    .decoding_streams = { row->tight, row->medium, row->loose },
    .tokens = row->tokens,
  };
  return endpoint;
}

/* Handles a rate limit that the endpoint advertised to an instance, and the number of requests sent
 * to it since. `reported` identifies the reporter; its `sent` is filled in here. */
static void
handle_limit (SvPeers *self,
              SvEndpoint *endpoint,
              const Alderturn__EndpointLimit *limit,
              SvReportedSends reported)
{
  KnlTime advertised_at = self->sent_at - (KnlTime)limit->age_ms * KNL_MSEC;
  double before = endpoint->limit.rate;

  if (!isfinite (limit->rate))
    return;
  if (sv_endpoint_note_limit (endpoint, limit->rate < 0 ? POL_NO_LIMIT : limit->rate,
                              advertised_at))
    cm_log (CM_LOG_NOTICE, "endpoint-limit", "s", "endpoint", endpoint->id, "i", "reported-by",
            (gint64)reported.reporter, "f", "requests-a-second", endpoint->limit.rate, "f",
            "before", before, "i", "age-us", (gint64)limit->age_ms * KNL_MSEC);
  reported.sent = limit->sent;
  if (pol_limit_is_advertised (&endpoint->limit))
    sv_endpoint_note_reported_sends (endpoint, &reported);
}

/* Applies a snapshot row with another cell's load. The relay sends rows of live cells, so a cell
 * from which nothing was received counts as seen now. */
static void
handle_snapshot_row (SvPeers *self, SvEndpoint *endpoint, guint32 id, const SvLoad *load)
{
  Cell *cell = g_hash_table_lookup (self->cells, GUINT_TO_POINTER (id));

  if (cell == NULL)
    return;
  if (cell->last_seen_at < 0)
    cell->last_seen_at = knl_kernel_now (self->kernel);
  cell->is_counted = TRUE;
  sv_endpoint_set_cell (endpoint, id, load);
}

/* Applies loads that a peer of our cell sent: its own, and in a snapshot those of other cells. */
static void
handle_loads (SvPeers *self, Peer *peer, const Alderturn__Datagram *datagram)
{
  const GPtrArray *endpoints = sv_fleet_all (self->fleet);

  for (guint i = 0; i < endpoints->len && datagram->whole && peer->is_counted; i++)
    sv_endpoint_drop_peer (g_ptr_array_index (endpoints, i), peer->id);
  if (datagram->whole)
    peer->is_counted = FALSE;
  for (guint i = 0; i < datagram->n_loads; i++)
    {
      const Alderturn__EndpointLoad *row = datagram->loads[i];
      SvLoad load;
      SvEndpoint *endpoint = parse_load_row (self, row, &load);

      if (endpoint == NULL)
        continue;
      if (row->cell != 0)
        {
          handle_snapshot_row (self, endpoint, row->cell, &load);
          continue;
        }
      sv_endpoint_set_peer (endpoint, peer->id, &load);
      if (row->limit != NULL)
        handle_limit (self, endpoint, row->limit,
                      (SvReportedSends){ .source = peer->id, .reporter = peer->id });
      if (row->pace != NULL)
        sv_peers_handle_pace (self, endpoint, row->pace, peer->id, FALSE);
      peer->is_counted = TRUE;
    }
}

static void
handle_cell_loads (SvPeers *self, Cell *cell, const Alderturn__Datagram *datagram)
{
  SvReportedSends reported = { .source = cell->id, .is_cell = TRUE, .reporter = datagram->sender };

  for (guint i = 0; i < datagram->n_loads; i++)
    {
      const Alderturn__EndpointLoad *row = datagram->loads[i];
      SvLoad load;
      SvEndpoint *endpoint = parse_load_row (self, row, &load);

      if (endpoint == NULL)
        continue;
      sv_endpoint_set_cell (endpoint, cell->id, &load);
      cell->is_counted = TRUE;
      if (row->limit != NULL)
        handle_limit (self, endpoint, row->limit, reported);
      if (row->pace != NULL)
        sv_peers_handle_pace (self, endpoint, row->pace, cell->id, TRUE);
    }
}

static void
handle_prefills (SvPeers *self, const Alderturn__Datagram *datagram)
{
  for (guint i = 0; i < datagram->n_reads; i++)
    {
      const Alderturn__PlacedRead *row = datagram->reads[i];
      SvPrefill prefill = { .prompt = row->prompt,
                            .length = row->length_us,
                            .until_ended = row->until_told };

      if (row->n_endpoints > 0)
        sv_fleet_add_prefill (self->fleet, &prefill, row->endpoints, (guint)row->n_endpoints);
      else
        sv_fleet_end_prefill (self->fleet, row->prompt);
    }
}

/* Whether the datagram is older than what is known, because a newer one overtook it or the peer has
 * restarted since. Incarnations are wall-clock times, and the clock may have jumped back before the
 * last start, so a lower incarnation is accepted from a peer that was silent for a while. */
static gboolean
is_superseded (const SvPeers *self, const Peer *peer, const Alderturn__Datagram *datagram)
{
  if (datagram->incarnation != peer->incarnation)
    return datagram->incarnation < peer->incarnation && sv_peer_is_alive (self, peer);
  return datagram->sequence <= peer->sequence;
}

/* Updates and returns the peer that sent the datagram; NULL if the peer is unknown or the datagram
 * is older than what is known. */
static Peer *
handle_sender (SvPeers *self, const Alderturn__Datagram *datagram)
{
  Peer *peer = datagram->from != NULL
                   ? update_member (self, datagram)
                   : g_hash_table_lookup (self->by_id, GUINT_TO_POINTER (datagram->sender));

  if (peer == NULL || is_superseded (self, peer, datagram))
    return NULL;
  peer->incarnation = datagram->incarnation;
  peer->sequence = datagram->sequence;
  if (peer->ready != datagram->ready && peer->is_in_cell)
    sv_relay_note_ready (self);
  peer->ready = datagram->ready;
  peer->cut_off = datagram->cut_off;
  if (!sv_peer_is_alive (self, peer))
    sv_cells_note_changed (self);
  peer->last_seen_at = knl_kernel_now (self->kernel);
  if (datagram->config_version > 0 && self->on_versions != NULL)
    self->on_versions (peer, (SvPosition){ datagram->era, datagram->config_version },
                       (SvPosition){ datagram->era, datagram->endpoints },
                       (SvPosition){ datagram->era, datagram->evacuations },
                       self->on_confirmation_data);
  return peer;
}

static void
handle_datagram (SvPeers *self, const Alderturn__Datagram *datagram)
{
  Peer *peer;

  if (sv_peers_is_quarantine_news (datagram))
    {
      sv_peers_handle_quarantine (self, datagram, SV_CRASH_OF_CELL);
      sv_relay_announce (self);
      return;
    }
  peer = handle_sender (self, datagram);
  if (peer == NULL)
    {
      if (datagram->from == NULL
          && !g_hash_table_contains (self->by_id, GUINT_TO_POINTER (datagram->sender)))
        sv_join_answer_unknown (self, datagram->sender);
      return;
    }
  if (datagram->confirmation != NULL && self->on_confirmation != NULL)
    self->on_confirmation (peer, datagram->confirmation, self->on_confirmation_data);
  if (!peer->is_in_cell)
    return;
  sv_join_handle_members (self, datagram);
  if (datagram->introduce)
    sv_join_introduce (self, peer);
  handle_loads (self, peer, datagram);
  handle_prefills (self, datagram);
  handle_health (self, peer, datagram);
  sv_peers_handle_crashes (self, peer, datagram, SV_CRASH_OF_CELL);
  sv_peers_handle_offered (self, &(SvOfferedSource){ .id = peer->id, .instances = 1 }, datagram);
  if (sv_peers_is_relay (self))
    sv_outbox_append (&self->cell_outbox, datagram, peer->id);
  sv_relay_announce (self);
}

static void
replace_ready (Cell *cell, const Alderturn__Cell *reported)
{
  g_ptr_array_set_size (cell->ready, 0);
  for (guint i = 0; i < reported->n_ready; i++)
    g_ptr_array_add (cell->ready, g_strdup (reported->ready[i]));
}

/* Whether to accept the peer as relay of the cell. If two instances are cut off from each other,
 * both act as relay; of those the stronger is accepted. */
static gboolean
accept_relay (SvPeers *self, const Peer *peer, Cell *cell)
{
  const Peer *current = g_hash_table_lookup (self->by_id, GUINT_TO_POINTER (cell->relay));

  if (current != NULL && current != peer && sv_peer_is_alive (self, current)
      && sv_peer_is_stronger (current, peer->strength, peer->id))
    return FALSE;
  if (cell->relay != peer->id)
    cm_log (CM_LOG_NOTICE, "relay-of-cell", "s", "zone", cell->zone, "s", "peer", peer->name, "s",
            "replaces", current != NULL ? current->name : "");
  cell->relay = peer->id;
  return TRUE;
}

void
sv_peers_handle_cell (SvPeers *self, const Alderturn__Datagram *datagram)
{
  Peer *peer;
  Cell *cell;

  if (sv_peers_is_quarantine_news (datagram))
    {
      sv_peers_handle_quarantine (self, datagram, SV_CRASH_OF_OTHER_CELL);
      return;
    }
  peer = handle_sender (self, datagram);
  cell = peer != NULL ? sv_cells_of_zone (self, peer->zone) : NULL;
  if (cell == NULL || cell->id != datagram->cell->id || !accept_relay (self, peer, cell))
    return;
  cell->last_seen_at = knl_kernel_now (self->kernel);
  if (datagram->cell->described)
    {
      cell->instances = MIN (datagram->cell->instances, MAX_INSTANCES);
      cell->heard = datagram->cell->heard > 0 ? datagram->cell->heard : cell->instances;
      replace_ready (cell, datagram->cell);
    }
  handle_cell_loads (self, cell, datagram);
  handle_prefills (self, datagram);
  handle_health (self, peer, datagram);
  sv_peers_handle_crashes (self, peer, datagram, SV_CRASH_OF_OTHER_CELL);
  sv_peers_handle_offered (
      self, &(SvOfferedSource){ .id = cell->id, .is_cell = TRUE, .instances = cell->instances },
      datagram);
}

static void
dispatch_datagram (SvPeers *self,
                   const Alderturn__Datagram *datagram,
                   const guint8 *bytes,
                   gsize length)
{
  if (datagram->cell != NULL)
    {
      if (datagram->sender != self->id && datagram->cell->id != self->cell)
        sv_relay_receive (self, datagram, bytes, length);
      return;
    }
  handle_datagram (self, datagram);
  sv_relay_handle_forwarded (self, datagram);
}

/* The port is open, so any bytes may arrive; the log is rate-limited. */
static void
log_unreadable (SvPeers *self, gsize length)
{
  if (cm_log_rate_limit_allows (&self->unreadable, knl_kernel_now (self->kernel)))
    cm_log (CM_LOG_WARNING, "datagram-unreadable", "i", "bytes", (gint64)length, "i", "so-far",
            self->unreadable.count);
}

void
sv_peers_receive_bytes (SvPeers *self, const guint8 *bytes, gsize length)
{
  Alderturn__Datagram *datagram = alderturn__datagram__unpack (NULL, length, bytes);

  if (datagram == NULL)
    {
      log_unreadable (self, length);
      return;
    }
  self->sent_at = knl_kernel_earliest_arrival (self->kernel);
  dispatch_datagram (self, datagram, bytes, length);
  alderturn__datagram__free_unpacked (datagram, NULL);
}

void
sv_peers_on_confirmation (SvPeers *self,
                          SvPeerConfirmFunc on_confirmation,
                          SvPeerVersionsFunc on_versions,
                          gpointer data)
{
  self->on_confirmation = on_confirmation;
  self->on_versions = on_versions;
  self->on_confirmation_data = data;
}
