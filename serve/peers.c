#include "serve/peers.h"

#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "common/log.h"
#include "peers_internal.h"

/* Heartbeats: each peer hears one this often, less often when there are many peers so that their
 * number a second stays bounded. */
#define BEAT_INTERVAL (400 * KNL_MSEC)
#define BEAT_PER_PEER (8 * KNL_MSEC)

/* Each of so many heartbeats says who we are and all that we have in flight, which mends what lost
 * datagrams left; the others only that we live. With 91 instances and all of them whole,
 * 0.164 GB went between zones in 73 s, and 0.111 GB so. */
#define BEATS_A_WHOLE 4

/* Heartbeats in a row that may be lost before a peer counts as gone. */
#define SILENT_BEATS 3

/* Losses that a peer may tell within the window and still be believed: so many, or this part of all
 * endpoints. */
#define TOLD_WINDOW (2 * KNL_SEC)
#define TOLD_LEAST  4U
#define TOLD_PART   0.25

/* A peer that was not heard of for this long is forgotten; its row in the store brings it back. */
#define FORGET_AFTER (30 * KNL_SEC)

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

static KnlTime
beat_interval (const SvPeers *self)
{
  return MAX (BEAT_INTERVAL, (KnlTime)g_hash_table_size (self->peers) * BEAT_PER_PEER);
}

gboolean
sv_peer_is_alive (const SvPeers *self, const Peer *peer)
{
  return peer->heard_at > 0
         && knl_kernel_now (self->kernel) - peer->heard_at < SILENT_BEATS * beat_interval (self);
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer data)
{
  SvPeers *self = data;
  Peer *peer = value;

  if (knl_kernel_now (self->kernel) - MAX (peer->heard_at, peer->learned_at) <= FORGET_AFTER)
    return FALSE;
  /* An instance that moved has the same name, and so the same id, at its new address. */
  if (g_hash_table_lookup (self->by_id, GUINT_TO_POINTER (peer->id)) == peer)
    g_hash_table_remove (self->by_id, GUINT_TO_POINTER (peer->id));
  return TRUE;
}

/* What a silent peer has in flight may have ended long ago. */
static void
drop_silent (SvPeers *self, Peer *peer)
{
  const GPtrArray *endpoints = sv_fleet_all (self->fleet);

  if (!peer->is_counted || sv_peer_is_alive (self, peer))
    return;
  peer->is_counted = FALSE;
  if (g_hash_table_lookup (self->by_id, GUINT_TO_POINTER (peer->id)) != peer)
    return;
  for (guint i = 0; i < endpoints->len; i++)
    sv_endpoint_drop_peer (g_ptr_array_index (endpoints, i), peer->id);
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
  g_hash_table_foreach_remove (self->peers, is_forgotten, self);
  if (self->beats++ % BEATS_A_WHOLE == 0)
    sv_peers_send_whole (self, NULL);
  else
    sv_peers_send_beat (self);
  self->beat_timer = knl_timer_start (self->kernel, beat_interval (self), on_beat_due, self);
}

static Peer *
add_peer (SvPeers *self, const char *link_address)
{
  Peer *peer = g_new0 (Peer, 1);

  peer->link_address = g_strdup (link_address);
  peer->socket_length = sizeof peer->socket_address;
  peer->heard_at = -KNL_NEVER;
  peer->known_since = peer->learned_at = knl_kernel_now (self->kernel);
  if (evutil_parse_sockaddr_port (link_address, (struct sockaddr *)&peer->socket_address,
                                  &peer->socket_length)
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
sv_peers_learn (SvPeers *self, const char *link_address)
{
  Peer *peer;

  if (strcmp (link_address, self->self.link_address) == 0)
    return;
  peer = g_hash_table_lookup (self->peers, link_address);
  if (peer != NULL)
    {
      peer->learned_at = knl_kernel_now (self->kernel);
      return;
    }
  peer = add_peer (self, link_address);
  if (peer != NULL)
    sv_peers_send_whole (self, peer);
}

KnlTime
sv_peers_silence (const SvPeers *self, const char *link_address)
{
  const Peer *peer = g_hash_table_lookup (self->peers, link_address);

  return peer == NULL ? 0 : knl_kernel_now (self->kernel) - MAX (peer->heard_at, peer->known_since);
}

static void
replace_text (char **field, const char *text)
{
  if (g_strcmp0 (*field, text) == 0)
    return;
  g_free (*field);
  *field = g_strdup (text);
}

/* Who the sender is; a new one is answered, so that it need not wait for our next whole one. */
static Peer *
take_member (SvPeers *self, const Alderturn__Datagram *datagram)
{
  const Alderturn__Sender *member = datagram->from;
  Peer *peer;
  gboolean is_new;

  if (datagram->sender == self->id || strcmp (member->link_address, self->self.link_address) == 0)
    return NULL;
  peer = g_hash_table_lookup (self->peers, member->link_address);
  is_new = peer == NULL || peer->heard_at < 0;
  if (peer == NULL)
    peer = add_peer (self, member->link_address);
  if (peer == NULL)
    return NULL;
  peer->id = datagram->sender;
  g_hash_table_insert (self->by_id, GUINT_TO_POINTER (peer->id), peer);
  replace_text (&peer->name, member->name);
  replace_text (&peer->callers_address, member->callers_address);
  replace_text (&peer->zone, member->zone);
  if (is_new)
    {
      cm_log (CM_LOG_NOTICE, "peer-found", "s", "peer", peer->name, "s", "address",
              peer->link_address);
      sv_peers_send_whole (self, peer);
    }
  return peer;
}

/* Ages are told, not times: nobody's clock is trusted but our own. */
static void
take_silence (const SvPeers *self, SvEndpoint *endpoint, const Alderturn__EndpointLoad *row)
{
  KnlTime heard_at = knl_kernel_now (self->kernel) - (KnlTime)(row->silent_ms - 1) * KNL_MSEC;

  if (row->silent_ms > 0)
    endpoint->heard_at = MAX (endpoint->heard_at, heard_at);
}

/*
 * A peer that loses requests at many endpoints at once is cut off or sick
 * itself; believed, two such ones would take sound endpoints away from all.
 */
static gboolean
is_believed (SvPeers *self, Peer *peer, gsize n_lost)
{
  KnlTime now = knl_kernel_now (self->kernel);
  guint most = MAX (TOLD_LEAST, (guint)(TOLD_PART * sv_fleet_all (self->fleet)->len));

  if (now - peer->told_since > TOLD_WINDOW)
    {
      peer->told_since = now;
      peer->n_told = 0;
    }
  peer->n_told += (guint)n_lost;
  return peer->n_told <= most;
}

static void
take_health (SvPeers *self, Peer *peer, const Alderturn__Datagram *datagram)
{
  gboolean believed = is_believed (self, peer, datagram->n_lost);

  for (guint i = 0; i < datagram->n_lost && believed; i++)
    {
      SvEndpoint *endpoint = sv_fleet_by_key (self->fleet, datagram->lost[i]);

      if (endpoint != NULL)
        sv_endpoint_note_told_loss (endpoint, peer->id, knl_kernel_now (self->kernel));
    }
  for (guint i = 0; i < datagram->n_answering; i++)
    {
      SvEndpoint *endpoint = sv_fleet_by_key (self->fleet, datagram->answering[i]);

      if (endpoint != NULL)
        sv_endpoint_note_told_answer (endpoint);
    }
}

static void
take_loads (SvPeers *self, Peer *peer, const Alderturn__Datagram *datagram)
{
  const GPtrArray *endpoints = sv_fleet_all (self->fleet);

  for (guint i = 0; i < endpoints->len && datagram->whole; i++)
    sv_endpoint_drop_peer (g_ptr_array_index (endpoints, i), peer->id);
  for (guint i = 0; i < datagram->n_loads; i++)
    {
      const Alderturn__EndpointLoad *row = datagram->loads[i];
      SvEndpoint *endpoint = sv_fleet_by_key (self->fleet, row->endpoint);
      SvLoad load = {
        .calls = row->calls,
        .writers = { row->tight, row->medium, row->loose },
        .tokens = row->tokens,
      };

      if (endpoint != NULL)
        {
          sv_endpoint_set_peer (endpoint, peer->id, &load);
          take_silence (self, endpoint, row);
        }
      peer->is_counted = TRUE;
    }
}

static void
take_reads (SvPeers *self, const Alderturn__Datagram *datagram)
{
  for (guint i = 0; i < datagram->n_reads; i++)
    {
      const Alderturn__PlacedRead *row = datagram->reads[i];
      SvRead read = { .prompt = row->prompt,
                      .length = row->length_us,
                      .until_told = row->until_told };

      if (row->n_endpoints > 0)
        sv_fleet_add_read (self->fleet, &read, row->endpoints, (guint)row->n_endpoints);
      else
        sv_fleet_end_read (self->fleet, row->prompt);
    }
}

/*
 * A datagram that was overtaken by a newer one, or of an earlier start, says
 * nothing new. Incarnations are wall time, which may have jumped back before
 * the last start; one that was not heard of for a while is believed.
 */
static gboolean
is_overtaken (const SvPeers *self, const Peer *peer, const Alderturn__Datagram *datagram)
{
  if (datagram->incarnation != peer->incarnation)
    return datagram->incarnation < peer->incarnation && sv_peer_is_alive (self, peer);
  return datagram->sequence <= peer->sequence;
}

static void
take (SvPeers *self, const Alderturn__Datagram *datagram)
{
  Peer *peer = datagram->from != NULL
                   ? take_member (self, datagram)
                   : g_hash_table_lookup (self->by_id, GUINT_TO_POINTER (datagram->sender));

  if (peer == NULL || is_overtaken (self, peer, datagram))
    return;
  peer->incarnation = datagram->incarnation;
  peer->sequence = datagram->sequence;
  peer->ready = datagram->ready;
  peer->heard_at = knl_kernel_now (self->kernel);
  if (datagram->confirmation != NULL && self->on_confirmation != NULL)
    self->on_confirmation (peer, datagram->confirmation, self->on_confirmation_data);
  take_loads (self, peer, datagram);
  take_reads (self, datagram);
  take_health (self, peer, datagram);
  for (guint i = 0; i < datagram->n_suspects && self->on_suspect != NULL; i++)
    self->on_suspect (datagram->suspects[i], self->on_suspect_data);
}

/* Anything may be sent to the port. */
static void
log_unreadable (SvPeers *self, gsize length)
{
  if (cm_log_limit (&self->unreadable, knl_kernel_now (self->kernel)))
    cm_log (CM_LOG_WARNING, "datagram-unreadable", "i", "bytes", (gint64)length, "i", "so-far",
            self->unreadable.count);
}

void
sv_peers_take_bytes (SvPeers *self, const guint8 *bytes, gsize length)
{
  Alderturn__Datagram *datagram = alderturn__datagram__unpack (NULL, length, bytes);

  if (datagram == NULL)
    {
      log_unreadable (self, length);
      return;
    }
  take (self, datagram);
  alderturn__datagram__free_unpacked (datagram, NULL);
}

static void
on_readable (evutil_socket_t fd, short what, void *data)
{
  SvPeers *self = data;
  guint8 bytes[DATAGRAM_BYTES];
  ssize_t length;

  while ((length = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
    sv_peers_take_bytes (self, bytes, (gsize)length);
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
  };
  self->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  self->by_id = g_hash_table_new (NULL, NULL);
  self->reads = g_array_new (FALSE, FALSE, sizeof (PlacedReadRow));
  self->suspects = g_array_new (FALSE, FALSE, sizeof (guint64));
  self->lost = g_array_new (FALSE, FALSE, sizeof (guint64));
  self->answering = g_array_new (FALSE, FALSE, sizeof (guint64));
  if (!open_socket (self, base))
    {
      sv_peers_free (self);
      return NULL;
    }
  self->beat_timer = knl_timer_start (kernel, beat_interval (self), on_beat_due, self);
  return self;
}

void
sv_peers_free (SvPeers *self)
{
  if (self == NULL)
    return;
  knl_timer_stop (self->kernel, &self->beat_timer);
  knl_timer_stop (self->kernel, &self->change_timer);
  if (self->readable != NULL)
    event_free (self->readable);
  if (self->socket >= 0)
    close (self->socket);
  g_hash_table_unref (self->by_id);
  g_hash_table_unref (self->peers);
  g_array_unref (self->reads);
  g_array_unref (self->suspects);
  g_array_unref (self->lost);
  g_array_unref (self->answering);
  g_free ((char *)self->self.name);
  g_free ((char *)self->self.link_address);
  g_free ((char *)self->self.callers_address);
  g_free ((char *)self->self.zone);
  g_free ((char *)self->self.region);
  g_free (self);
}

void
sv_peers_on_suspect (SvPeers *self, SvPeerSuspectFunc func, gpointer data)
{
  self->on_suspect = func;
  self->on_suspect_data = data;
}

void
sv_peers_on_confirmation (SvPeers *self, SvPeerConfirmFunc func, gpointer data)
{
  self->on_confirmation = func;
  self->on_confirmation_data = data;
}

SvPeerLink *
sv_peers_link (SvPeers *self)
{
  return &self->link;
}

void
sv_peers_set_ready (SvPeers *self, gboolean ready)
{
  if (self->ready == ready)
    return;
  self->ready = ready;
  sv_peers_send_whole (self, NULL);
}

static gboolean
is_in_zone (const Peer *peer, const char *zone)
{
  return zone != NULL && g_strcmp0 (peer->zone, zone) == 0;
}

GPtrArray *
sv_peers_ready_addresses (const SvPeers *self, const char *zone, guint limit)
{
  GPtrArray *addresses = g_ptr_array_new_with_free_func (g_free);
  gboolean own_zone = g_strcmp0 (self->self.zone, zone) == 0;

  for (guint pass = 0; pass < 2; pass++)
    {
      GHashTableIter iter;
      gpointer value;

      if (self->ready && own_zone == (pass == 0))
        g_ptr_array_add (addresses, g_strdup (self->self.callers_address));
      g_hash_table_iter_init (&iter, self->peers);
      while (g_hash_table_iter_next (&iter, NULL, &value) && addresses->len < limit)
        {
          const Peer *peer = value;

          if (peer->ready && sv_peer_is_alive (self, peer)
              && is_in_zone (peer, zone) == (pass == 0))
            g_ptr_array_add (addresses, g_strdup (peer->callers_address));
        }
    }
  return addresses;
}

guint
sv_peers_n_alive (const SvPeers *self)
{
  GHashTableIter iter;
  gpointer value;
  guint alive = 0;

  g_hash_table_iter_init (&iter, self->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    alive += sv_peer_is_alive (self, value);
  return alive;
}
