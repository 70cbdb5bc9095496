/** Cells (the instances of an availability zone), and the choice of their relay and followers. */

#include <string.h>
#include <xxhash.h>

#include "peers_internal.h"

/* A cell that was silent for this long is considered cut off or down: five consecutive descriptions
 * were lost. */
#define CELL_TIMEOUT (2 * KNL_SEC)

/* Instances of a cell that follow the store for the others; two, since one may fail at any time. */
#define FOLLOWERS 2

/* In a cell with fewer instances than this, each follows the store itself: sharing would save
 * little. */
#define MIN_INSTANCES_TO_SHARE 4

void
sv_cell_free (gpointer data)
{
  Cell *self = data;

  g_free (self->zone);
  g_ptr_array_unref (self->ready);
  g_free (self);
}

Cell *
sv_cells_of_zone (SvPeers *self, const char *zone)
{
  guint32 id = (guint32)XXH64 (zone, strlen (zone), 0);
  Cell *cell = g_hash_table_lookup (self->cells, GUINT_TO_POINTER (id));

  if (id == self->cell || cell != NULL)
    return cell;
  cell = g_new0 (Cell, 1);
  cell->id = id;
  cell->zone = g_strdup (zone);
  cell->last_seen_at = -KNL_NEVER;
  cell->ready = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_insert (self->cells, GUINT_TO_POINTER (id), cell);
  return cell;
}

gboolean
sv_cell_is_alive (const SvPeers *self, const Cell *cell)
{
  return cell->last_seen_at > 0
         && knl_kernel_now (self->kernel) - cell->last_seen_at < CELL_TIMEOUT;
}

guint
sv_cells_n_instances (const SvPeers *self)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, self->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Cell *cell = value;

      /* The number that its relay reported last, or that of its instances with recent rows in the
       * store, whichever is larger. */
      n += MAX (cell->instances, sv_peers_n_in_zone (self, cell->zone));
    }
  return n;
}

gboolean
sv_peer_is_stronger (const Peer *peer, guint strength, guint32 id)
{
  if (peer->strength != strength)
    return peer->strength > strength;
  return peer->id < id;
}

static int
compare_strength (gconstpointer a, gconstpointer b)
{
  const Peer *x = *(const Peer *const *)a;
  const Peer *y = *(const Peer *const *)b;

  if (x->id == y->id)
    return 0;
  return sv_peer_is_stronger (x, y->strength, y->id) ? -1 : 1;
}

gboolean
sv_cells_has_alive (const SvPeers *self, const Peer *peer)
{
  return peer->is_in_cell && sv_peer_is_alive (self, peer);
}

guint
sv_cells_rank (const SvPeers *self)
{
  const GPtrArray *alive = sv_cells_alive (self);
  guint rank = 0;

  while (rank < alive->len
         && sv_peer_is_stronger (g_ptr_array_index (alive, rank), self->self.strength, self->id))
    rank++;
  return rank;
}

const Peer *
sv_cells_relay (const SvPeers *self)
{
  const GPtrArray *alive = sv_cells_alive (self);
  const Peer *strongest = alive->len > 0 ? g_ptr_array_index (alive, 0) : NULL;

  if (strongest == NULL || !sv_peer_is_stronger (strongest, self->self.strength, self->id))
    return NULL;
  return strongest;
}

gboolean
sv_peers_is_relay (const SvPeers *self)
{
  return sv_cells_relay (self) == NULL;
}

AlivePeers *
sv_cells_new_alive (void)
{
  AlivePeers *self = g_new0 (AlivePeers, 1);

  self->peers = g_ptr_array_new ();
  return self;
}

void
sv_cells_free_alive (AlivePeers *self)
{
  g_ptr_array_unref (self->peers);
  g_free (self);
}

void
sv_cells_note_changed (SvPeers *self)
{
  self->alive->valid_until = 0;
}

static void
fill_alive (const SvPeers *self)
{
  AlivePeers *alive = self->alive;
  GHashTableIter iter;
  gpointer value;

  g_ptr_array_set_size (alive->peers, 0);
  alive->valid_until = KNL_NEVER;
  g_hash_table_iter_init (&iter, self->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (!sv_cells_has_alive (self, value))
        continue;
      g_ptr_array_add (alive->peers, value);
      alive->valid_until = MIN (alive->valid_until, sv_peer_alive_until (self, value));
    }
  g_ptr_array_sort (alive->peers, compare_strength);
}

const GPtrArray *
sv_cells_alive (const SvPeers *self)
{
  if (knl_kernel_now (self->kernel) >= self->alive->valid_until)
    fill_alive (self);
  return self->alive->peers;
}

GPtrArray *
sv_cells_followers (const SvPeers *self)
{
  const GPtrArray *alive = sv_cells_alive (self);
  GPtrArray *followers = g_ptr_array_new ();

  for (guint i = 0; i < alive->len && followers->len < FOLLOWERS; i++)
    {
      if (!((const Peer *)g_ptr_array_index (alive, i))->cut_off)
        g_ptr_array_add (followers, g_ptr_array_index (alive, i));
    }
  return followers;
}

/* An instance that the store rejects or doesn't answer is skipped; otherwise a whole cell would get
 * no updates although other instances of it reach the store. If the store answers no instance, all
 * of them send requests to it; once it answers one of the strongest, the others stop. */
gboolean
sv_peers_follows_store (const SvPeers *self)
{
  g_autoptr (GPtrArray) followers = sv_cells_followers (self);
  guint stronger = 0;

  if (sv_peers_n_alive_in_cell (self) + 1 < MIN_INSTANCES_TO_SHARE)
    return TRUE;
  for (guint i = 0; i < followers->len; i++)
    stronger +=
        sv_peer_is_stronger (g_ptr_array_index (followers, i), self->self.strength, self->id);
  return stronger < FOLLOWERS;
}

gboolean
sv_peers_is_cut_off_alone (const SvPeers *self)
{
  g_autoptr (GPtrArray) followers = sv_cells_followers (self);

  return self->cut_off && followers->len > 0;
}

gboolean
sv_peers_expects_followers (const SvPeers *self)
{
  GHashTableIter iter;
  gpointer value;
  guint stronger = 0;

  g_hash_table_iter_init (&iter, self->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;

      stronger += peer->is_in_cell && peer->last_seen_at < 0
                  && sv_peer_is_stronger (peer, self->self.strength, self->id);
    }
  return stronger >= FOLLOWERS;
}

void
sv_cells_add_relays (const SvPeers *self, GPtrArray *found)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Cell *cell = value;
      Peer *relay = g_hash_table_lookup (self->by_id, GUINT_TO_POINTER (cell->relay));

      if (relay != NULL && !relay->cut_off && sv_cell_is_alive (self, cell))
        g_ptr_array_add (found, relay);
    }
}

static guint64
weigh_candidate (guint64 seed, guint32 id)
{
  guint64 parts[] = { seed, id };

  return XXH64 (parts, sizeof parts, 0);
}

static gboolean
is_cell_elected (const SvPeers *self, guint64 seed)
{
  guint64 own = weigh_candidate (seed, self->cell);
  GHashTableIter iter;
  gpointer cell;

  g_hash_table_iter_init (&iter, self->cells);
  while (g_hash_table_iter_next (&iter, NULL, &cell))
    {
      if (sv_cell_is_alive (self, cell) && weigh_candidate (seed, ((const Cell *)cell)->id) > own)
        return FALSE;
    }
  return TRUE;
}

gboolean
sv_cells_is_elected (const SvPeers *self, guint64 seed)
{
  guint64 own = weigh_candidate (seed, self->id);
  const GPtrArray *alive = sv_cells_alive (self);

  if (!is_cell_elected (self, seed))
    return FALSE;
  for (guint i = 0; i < alive->len; i++)
    {
      if (weigh_candidate (seed, ((const Peer *)g_ptr_array_index (alive, i))->id) > own)
        return FALSE;
    }
  return TRUE;
}

/* Spreads the requests of the cell's instances evenly over the candidates. */
static const char *
choose_source (const SvPeers *self,
               const GPtrArray *candidates,
               SvPeerAvoidFunc avoid,
               gpointer data)
{
  for (guint i = 0; i < candidates->len; i++)
    {
      const Peer *peer = g_ptr_array_index (candidates, (i + self->id) % candidates->len);

      if (!avoid (peer->link_address, data))
        return peer->link_address;
    }
  return NULL;
}

const char *
sv_peers_choose_follower (const SvPeers *self, SvPeerAvoidFunc avoid, gpointer data)
{
  g_autoptr (GPtrArray) followers = sv_cells_followers (self);
  g_autoptr (GPtrArray) relays = g_ptr_array_new ();
  const char *chosen = choose_source (self, followers, avoid, data);

  if (chosen != NULL)
    return chosen;
  sv_cells_add_relays (self, relays);
  return choose_source (self, relays, avoid, data);
}

gboolean
sv_peers_is_source (const SvPeers *self, const char *link_address)
{
  g_autoptr (GPtrArray) sources = sv_cells_followers (self);

  sv_cells_add_relays (self, sources);
  for (guint i = 0; i < sources->len; i++)
    {
      if (strcmp (((const Peer *)g_ptr_array_index (sources, i))->link_address, link_address) == 0)
        return TRUE;
    }
  return FALSE;
}
