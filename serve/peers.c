#include "serve/peers.h"

#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "common/log.h"
#include "peers_internal.h"

/* Interval of the heartbeats to the peers of the cell. It grows with the number of peers, so that
 * the heartbeats that an instance receives per second stay bounded. */
#define HEARTBEAT_INTERVAL          (400 * KNL_MSEC)
#define HEARTBEAT_INTERVAL_PER_PEER (8 * KNL_MSEC)

/* One of this many heartbeats is a full datagram, with the identity and all load in flight, which
 * repairs state after lost datagrams; the others are short and only show that the instance is
 * alive. */
#define HEARTBEATS_PER_FULL 4

/* Consecutive heartbeats that may be lost before a peer counts as dead. */
#define MAX_MISSED_HEARTBEATS 3

/* Instances of a cell that stand in for its relay. */
#define MAX_SUBSTITUTES 3

/* A peer that was silent for this long is removed; its row in the store adds it again. */
#define PEER_TTL (30 * KNL_SEC)

/* Datagrams handled in one callback, so that connections of callers and endpoints aren't delayed;
 * the socket stays readable if there are more. */
#define MAX_DATAGRAMS_PER_CALLBACK 64

static void
peer_free (gpointer data)
{
  Peer *self = data;

  g_free (self->name);
  g_free (self->link_address);
  g_free (self->callers_address);
  g_free (self->zone);
  g_free (self);
}

static guint32
id_of (const char *name)
{
  return (guint32)XXH64 (name, strlen (name), 0);
}

void
sv_peer_set_zone (SvPeers *self, Peer *peer, const char *zone)
{
  if (g_strcmp0 (peer->zone, zone) == 0)
    return;
  g_free (peer->zone);
  peer->zone = g_strdup (zone);
  peer->is_in_cell = strcmp (zone, self->self.zone) == 0;
  sv_cells_note_changed (self);
}

guint
sv_peers_n_in_zone (const SvPeers *self, const char *zone)
{
  GHashTableIter iter;
  gpointer peer;
  guint n = 0;

  g_hash_table_iter_init (&iter, self->peers);
  while (g_hash_table_iter_next (&iter, NULL, &peer))
    n += g_strcmp0 (((const Peer *)peer)->zone, zone) == 0;
  return n;
}

guint
sv_peers_n_known (const SvPeers *self)
{
  return 1 + sv_peers_n_in_zone (self, self->self.zone) + sv_cells_n_instances (self);
}

static KnlTime
heartbeat_interval (const SvPeers *self)
{
  return MAX (HEARTBEAT_INTERVAL, (KnlTime)self->n_in_cell * HEARTBEAT_INTERVAL_PER_PEER);
}

KnlTime
sv_peers_detection_time (const SvPeers *self)
{
  return (MAX_MISSED_HEARTBEATS + 1) * heartbeat_interval (self);
}

KnlTime
sv_peer_alive_until (const SvPeers *self, const Peer *peer)
{
  return peer->last_seen_at + MAX_MISSED_HEARTBEATS * heartbeat_interval (self);
}

gboolean
sv_peer_is_alive (const SvPeers *self, const Peer *peer)
{
  return peer->last_seen_at > 0 && knl_kernel_now (self->kernel) < sv_peer_alive_until (self, peer);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  SvPeers *self = data;
  Peer *peer = value;

  if (knl_kernel_now (self->kernel) - MAX (peer->last_seen_at, peer->discovered_at) <= PEER_TTL)
    return FALSE;
  /* An instance that moved keeps its name, and so its id, at its new address. */
  if (g_hash_table_lookup (self->by_id, GUINT_TO_POINTER (peer->id)) == peer)
    g_hash_table_remove (self->by_id, GUINT_TO_POINTER (peer->id));
  return TRUE;
}

/* Drops the load of a silent peer, which may have ended long ago. */
static void
drop_silent (SvPeers *self, Peer *peer)
{
  const GPtrArray *endpoints = sv_fleet_all (self->fleet);

  if (!peer->is_counted || sv_peer_is_alive (self, peer))
    return;
  peer->is_counted = FALSE;
  sv_relay_note_ready (self);
  if (g_hash_table_lookup (self->by_id, GUINT_TO_POINTER (peer->id)) != peer)
    return;
  for (guint i = 0; i < endpoints->len; i++)
    sv_endpoint_drop_peer (g_ptr_array_index (endpoints, i), peer->id);
}

/* Instances that are cut off from each other don't know what the others send. Without this, an
 * endpoint with a limit would get its limit once from each separate group of instances. */
static void
update_instance_counts (SvPeers *self)
{
  sv_count_update (self);
  sv_fleet_set_instances (self->fleet, sv_count_most (self), 1 + sv_peers_n_alive (self));
  sv_peers_update_members (self);
}

static void
on_beat_due (gpointer data)
{
  SvPeers *self = data;
  GHashTableIter iter;
  gpointer peer;

  g_hash_table_iter_init (&iter, self->peers);
  while (g_hash_table_iter_next (&iter, NULL, &peer))
    drop_silent (self, peer);
  g_hash_table_foreach_remove (self->peers, is_expired, self);
  g_hash_table_remove_all (self->answered_unknown);
  self->n_in_cell = sv_peers_n_in_zone (self, self->self.zone);
  sv_cells_note_changed (self);
  update_instance_counts (self);
  sv_peers_tick_quarantine (self);
  if (self->n_heartbeats++ % HEARTBEATS_PER_FULL == 0)
    {
      sv_peers_send_full (self, NULL);
      sv_peers_repeat_crashes (self);
      sv_peers_repeat_quarantine (self);
    }
  else
    sv_peers_send_heartbeat (self);
  sv_relay_on_heartbeat (self);
  self->heartbeat_timer =
      knl_timer_start (self->kernel, heartbeat_interval (self), on_beat_due, self);
}

Peer *
sv_peers_add (SvPeers *self, const char *link_address)
{
  Peer *peer = g_new0 (Peer, 1);

  peer->link_address = g_strdup (link_address);
  peer->socket_address.length = sizeof peer->socket_address.address;
  peer->last_seen_at = -KNL_NEVER;
  peer->known_since = peer->discovered_at = knl_kernel_now (self->kernel);
  if (evutil_parse_sockaddr_port (link_address, (struct sockaddr *)&peer->socket_address.address,
                                  &peer->socket_address.length)
      != 0)
    {
      cm_log (CM_LOG_WARNING, "peer-address-unreadable", "s", "address", link_address);
      peer_free (peer);
      return NULL;
    }
  g_hash_table_insert (self->peers, peer->link_address, peer);
  return peer;
}

void
sv_peers_discover (SvPeers *self, const SvMember *member)
{
  Peer *peer;

  if (strcmp (member->link_address, self->self.link_address) == 0)
    return;
  peer = g_hash_table_lookup (self->peers, member->link_address);
  if (peer != NULL)
    {
      peer->discovered_at = knl_kernel_now (self->kernel);
      /* It has restarted and doesn't know this instance. */
      if (member->incarnation > peer->incarnation && peer->is_in_cell)
        sv_peers_send_full (self, peer);
      return;
    }
  peer = sv_peers_add (self, member->link_address);
  if (peer == NULL)
    return;
  peer->name = g_strdup (member->name);
  sv_peer_set_zone (self, peer, member->zone);
  peer->strength = member->strength;
  peer->id = id_of (member->name);
  if (sv_cells_of_zone (self, member->zone) == NULL)
    sv_peers_send_full (self, peer);
}

static void
on_readable (evutil_socket_t fd, short what, void *data)
{
  SvPeers *self = data;
  KnlTime begun = knl_kernel_now (self->kernel);
  guint8 bytes[MAX_DATAGRAM_BYTES];

  for (guint i = 0; i < MAX_DATAGRAMS_PER_CALLBACK; i++)
    {
      socklen_t source_length = sizeof self->source.address;
      ssize_t length = recvfrom (fd, bytes, sizeof bytes, MSG_DONTWAIT,
                                 (struct sockaddr *)&self->source.address, &source_length);

      if (length <= 0)
        break;
      self->source.length = (int)source_length;
      sv_peers_receive_bytes (self, bytes, (gsize)length);
    }
  self->source.length = 0;
  knl_span_end (self->kernel, begun, __FILE__ ":on_readable");
}

static gboolean
open_socket (SvPeers *self, struct event_base *base)
{
  struct sockaddr_storage address;
  int length = sizeof address;

  if (evutil_parse_sockaddr_port (self->self.link_address, (struct sockaddr *)&address, &length)
      != 0)
    return FALSE;
  self->socket = socket (address.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (self->socket < 0 || bind (self->socket, (struct sockaddr *)&address, (socklen_t)length) != 0)
    return FALSE;
  self->readable = event_new (base, self->socket, EV_READ | EV_PERSIST, on_readable, self);
  event_add (self->readable, NULL);
  return TRUE;
}

SvPeers *
sv_peers_new (KnlKernel *kernel, struct event_base *base, SvFleet *fleet, const SvMember *member)
{
  SvPeers *self = g_new0 (SvPeers, 1);

  self->link.klass = &sv_peers_link_class;
  self->kernel = kernel;
  self->fleet = fleet;
  self->socket = -1;
  self->id = id_of (member->name);
  self->self = (SvMember){
    .name = g_strdup (member->name),
    .incarnation = member->incarnation,
    .link_address = g_strdup (member->link_address),
    .callers_address = g_strdup (member->callers_address),
    .zone = g_strdup (member->zone),
    .region = g_strdup (member->region),
    .strength = member->strength,
    .passing_port = member->passing_port,
  };
  self->cell = id_of (member->zone);
  self->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  self->by_id = g_hash_table_new (NULL, NULL);
  self->alive = sv_cells_new_alive ();
  self->cells = g_hash_table_new_full (NULL, NULL, NULL, sv_cell_free);
  self->forward_queue = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  sv_outbox_init (&self->outbox);
  sv_outbox_init (&self->cell_outbox);
  sv_join_init (self);
  sv_count_init (self);
  if (!open_socket (self, base))
    {
      sv_peers_free (self);
      return NULL;
    }
  self->heartbeat_timer = knl_timer_start (kernel, heartbeat_interval (self), on_beat_due, self);
  return self;
}

void
sv_peers_free (SvPeers *self)
{
  if (self == NULL)
    return;
  knl_timer_stop (self->kernel, &self->heartbeat_timer);
  knl_timer_stop (self->kernel, &self->change_timer);
  sv_peers_set_offered (self, NULL);
  if (self->readable != NULL)
    event_free (self->readable);
  if (self->socket >= 0)
    close (self->socket);
  sv_relay_stop (self);
  sv_join_clear (self);
  g_hash_table_unref (self->cells);
  g_hash_table_unref (self->by_id);
  g_hash_table_unref (self->peers);
  sv_cells_free_alive (self->alive);
  g_ptr_array_unref (self->forward_queue);
  sv_outbox_clear (&self->outbox);
  sv_outbox_clear (&self->cell_outbox);
  g_free ((char *)self->self.name);
  g_free ((char *)self->self.link_address);
  g_free ((char *)self->self.callers_address);
  g_free ((char *)self->self.zone);
  g_free ((char *)self->self.region);
  g_free (self);
}

void
sv_peers_set_crashes (SvPeers *self, SvCrashes *crashes)
{
  self->crashes = crashes;
}

SvPeerLink *
sv_peers_link (SvPeers *self)
{
  return &self->link;
}

void
sv_peers_set_ready (SvPeers *self, gboolean ready)
{
  self->accepts = ready;
  sv_peers_update_ready (self);
}

void
sv_peers_set_versions (SvPeers *self, guint64 config, SvPosition endpoints)
{
  self->config_version = config;
  self->endpoints_revision = endpoints;
}

guint64
sv_peers_evacuations (const SvPeers *self, guint64 era)
{
  SvPosition newest = sv_evacuations_newest (sv_fleet_evacuations (self->fleet));

  return newest.era == era ? newest.version : 0;
}

void
sv_peers_fill_versions (const SvPeers *self, Alderturn__Datagram *datagram)
{
  datagram->config_version = self->config_version;
  datagram->endpoints = self->endpoints_revision.version;
  datagram->era = self->endpoints_revision.era;
  datagram->evacuations = sv_peers_evacuations (self, datagram->era);
}

void
sv_peers_set_cut_off (SvPeers *self, gboolean cut_off)
{
  if (self->cut_off == cut_off)
    return;
  self->cut_off = cut_off;
  cm_log (CM_LOG_NOTICE, "follower-changed", "b", "cut-off", cut_off);
  sv_peers_send_heartbeat (self);
}

void
sv_peers_leave (SvPeers *self)
{
  self->self.strength = 0;
  sv_peers_send_full (self, NULL);
}

static void
add_ready_in_cell (const SvPeers *self, GPtrArray *addresses, guint max_addresses)
{
  GHashTableIter iter;
  gpointer value;

  if (self->ready)
    g_ptr_array_add (addresses, g_strdup (self->self.callers_address));
  g_hash_table_iter_init (&iter, self->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value) && addresses->len < max_addresses)
    {
      const Peer *peer = value;

      if (peer->ready && sv_cells_has_alive (self, peer))
        g_ptr_array_add (addresses, g_strdup (peer->callers_address));
    }
}

static void
add_ready_of_cell (const SvPeers *self, const Cell *cell, GPtrArray *addresses, guint max_addresses)
{
  for (guint i = 0; i < cell->ready->len && addresses->len < max_addresses; i++)
    {
      if (sv_cell_is_alive (self, cell))
        g_ptr_array_add (addresses, g_strdup (g_ptr_array_index (cell->ready, i)));
    }
}

GPtrArray *
sv_peers_ready_addresses (const SvPeers *self, const char *zone, guint max_addresses)
{
  GPtrArray *addresses = g_ptr_array_new_with_free_func (g_free);
  gboolean own_zone = g_strcmp0 (self->self.zone, zone) == 0;

  for (guint pass = 0; pass < 2; pass++)
    {
      GHashTableIter iter;
      gpointer value;

      if (own_zone == (pass == 0))
        add_ready_in_cell (self, addresses, max_addresses);
      g_hash_table_iter_init (&iter, self->cells);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          if ((g_strcmp0 (((const Cell *)value)->zone, zone) == 0) == (pass == 0))
            add_ready_of_cell (self, value, addresses, max_addresses);
        }
    }
  return addresses;
}

guint
sv_peers_n_alive_in_cell (const SvPeers *self)
{
  return sv_cells_alive (self)->len;
}

gboolean
sv_peers_is_parted (const SvPeers *self)
{
  return 2 * (1 + sv_peers_n_alive (self)) <= sv_peers_n_known (self)
         && sv_peers_n_known (self) > 1;
}

gboolean
sv_peers_is_substitute (const SvPeers *self)
{
  return sv_peers_is_parted (self) && sv_cells_rank (self) < MAX_SUBSTITUTES;
}

guint
sv_peers_n_alive (const SvPeers *self)
{
  GHashTableIter iter;
  gpointer cell;
  guint alive = sv_peers_n_alive_in_cell (self);

  g_hash_table_iter_init (&iter, self->cells);
  while (g_hash_table_iter_next (&iter, NULL, &cell))
    alive += sv_cell_is_alive (self, cell) ? ((const Cell *)cell)->instances : 0;
  return alive;
}
