/** Membership of the cell: introduces instances that have just started to the others, and repairs
 * what lost datagrams left. */

#include <string.h>

#include "common/log.h"
#include "peers_internal.h"

/* Delay before newcomers are announced to the cell. If many instances start together, they share
 * the datagrams. */
#define SPREAD_DELAY (5 * KNL_MSEC)

/* A count of all instances that a peer told is used for this long; by then all cells have described
 * themselves. */
#define TOLD_COUNT_TTL (5 * KNL_SEC)

/* Unknown senders that are answered in one heartbeat interval. */
#define MAX_ANSWERED_UNKNOWN 1024

static void
add_member (Alderturn__Datagram *datagram, MemberRows *members, const Peer *peer)
{
  Alderturn__CellMember *row = &members->rows[datagram->n_members];

  alderturn__cell_member__init (row);
  row->name = peer->name;
  row->link_address = peer->link_address;
  row->strength = peer->strength;
  row->incarnation = peer->incarnation;
  members->row_pointers[datagram->n_members++] = row;
  datagram->members = members->row_pointers;
}

static void
begin_members (SvPeers *self, Alderturn__Datagram *datagram, Rows *rows)
{
  sv_peers_begin_datagram (self, datagram, rows);
  datagram->instances = sv_count_told (self);
}

/* Tells a newcomer the strongest instances, which relay and follow the store. All others introduce
 * themselves to it when they are told of it. */
static void
send_strongest (SvPeers *self, const Peer *peer)
{
  const GPtrArray *alive = sv_cells_alive (self);
  Alderturn__Datagram datagram;
  MemberRows members;
  Rows rows;

  begin_members (self, &datagram, &rows);
  for (guint i = 0; i < alive->len && datagram.n_members < MAX_MEMBER_ROWS; i++)
    {
      if (g_ptr_array_index (alive, i) != peer)
        add_member (&datagram, &members, g_ptr_array_index (alive, i));
    }
  sv_peers_send (self, peer, &datagram);
}

static void
on_spread_due (gpointer data)
{
  SvPeers *self = data;
  Alderturn__Datagram datagram;
  MemberRows members;
  Rows rows;

  self->spread_timer = 0;
  while (self->newcomers->len > 0)
    {
      guint n = MIN (self->newcomers->len, MAX_MEMBER_ROWS);

      begin_members (self, &datagram, &rows);
      for (guint i = 0; i < n; i++)
        {
          const Peer *peer = g_hash_table_lookup (
              self->by_id, GUINT_TO_POINTER (g_array_index (self->newcomers, guint32, i)));

          if (peer != NULL)
            add_member (&datagram, &members, peer);
        }
      sv_peers_send_to_cell (self, &datagram);
      g_array_remove_range (self->newcomers, 0, n);
    }
}

void
sv_join_introduce (SvPeers *self, Peer *peer)
{
  cm_log (CM_LOG_NOTICE, "peer-introduced", "s", "peer", peer->name, "i", "instances",
          (gint64)self->n_in_cell + 1);
  /* The answer to an earlier request may be lost. */
  sv_peers_send_full (self, peer);
  send_strongest (self, peer);
  g_array_append_val (self->newcomers, peer->id);
  if (self->spread_timer == 0)
    self->spread_timer = knl_timer_start (self->kernel, SPREAD_DELAY, on_spread_due, self);
}

void
sv_join_handle_members (SvPeers *self, const Alderturn__Datagram *datagram)
{
  if (datagram->instances > 0)
    {
      self->told_instances = MIN (datagram->instances, MAX_INSTANCES);
      self->told_at = knl_kernel_now (self->kernel);
      sv_peers_note_counted (self);
    }
  for (guint i = 0; i < datagram->n_members; i++)
    {
      const Alderturn__CellMember *row = datagram->members[i];
      SvMember member = {
        .name = row->name,
        .incarnation = row->incarnation,
        .link_address = row->link_address,
        .zone = self->self.zone,
        .strength = row->strength,
      };

      sv_peers_discover (self, &member);
    }
}

guint
sv_join_told_instances (const SvPeers *self)
{
  if (self->told_instances == 0 || knl_kernel_now (self->kernel) - self->told_at > TOLD_COUNT_TTL)
    return 0;
  return self->told_instances;
}

void
sv_join_add_members (SvPeers *self, Alderturn__Datagram *datagram, MemberRows *members)
{
  const GPtrArray *alive = sv_cells_alive (self);

  if (!sv_peers_is_relay (self))
    return;
  datagram->instances = sv_count_told (self);
  for (guint i = 0; i < MIN (alive->len, MAX_MEMBER_ROWS); i++)
    add_member (datagram, members, g_ptr_array_index (alive, self->next_member++ % alive->len));
}

/* The address that the datagram came from is the only thing known of its sender. */
void
sv_join_answer_unknown (SvPeers *self, guint32 sender)
{
  Alderturn__Datagram datagram;
  Alderturn__Sender identity;
  Rows rows;

  if (self->source.length == 0 || sender == self->id
      || g_hash_table_size (self->answered_unknown) >= MAX_ANSWERED_UNKNOWN
      || !g_hash_table_add (self->answered_unknown, GUINT_TO_POINTER (sender)))
    return;
  sv_peers_begin_datagram (self, &datagram, &rows);
  sv_peers_fill_sender (self, &datagram, &identity);
  sv_peers_send_to (self, &self->source, &datagram);
}

void
sv_peers_join (SvPeers *self, const SvMember *contact)
{
  Alderturn__Datagram datagram;
  Alderturn__Sender identity;
  const Peer *peer;
  Rows rows;

  sv_peers_discover (self, contact);
  peer = g_hash_table_lookup (self->peers, contact->link_address);
  if (peer == NULL)
    return;
  sv_peers_begin_datagram (self, &datagram, &rows);
  sv_peers_fill_sender (self, &datagram, &identity);
  datagram.introduce = TRUE;
  sv_peers_send (self, peer, &datagram);
}

guint
sv_peers_contacts (const SvPeers *self, SvMember *contacts, guint max_contacts)
{
  const GPtrArray *alive = sv_cells_alive (self);
  guint n = 0;

  contacts[n++] = self->self;
  for (guint i = 0; i < alive->len && n < max_contacts; i++)
    {
      const Peer *peer = g_ptr_array_index (alive, i);

      contacts[n++] = (SvMember){
        .name = peer->name,
        .incarnation = peer->incarnation,
        .link_address = peer->link_address,
        .callers_address = peer->callers_address,
        .zone = peer->zone,
        .strength = peer->strength,
      };
    }
  return n;
}

gboolean
sv_peers_has_alive (const SvPeers *self, const char *link_address)
{
  const Peer *peer = g_hash_table_lookup (self->peers, link_address);

  return peer != NULL && sv_peer_is_alive (self, peer);
}

void
sv_join_init (SvPeers *self)
{
  self->newcomers = g_array_new (FALSE, FALSE, sizeof (guint32));
  self->answered_unknown = g_hash_table_new (NULL, NULL);
}

void
sv_join_clear (SvPeers *self)
{
  knl_timer_stop (self->kernel, &self->spread_timer);
  g_array_unref (self->newcomers);
  g_hash_table_unref (self->answered_unknown);
}
