/** The live instances, from which those that send to cold endpoints are chosen. */

#include "peers_internal.h"

static GArray *
live_peer_ids (const SvPeers *self)
{
  const GPtrArray *alive = sv_cells_alive (self);
  GArray *ids = g_array_sized_new (FALSE, FALSE, sizeof (guint32), alive->len);

  for (guint i = 0; i < alive->len; i++)
    g_array_append_val (ids, ((const Peer *)g_ptr_array_index (alive, i))->id);
  return ids;
}

static GArray *
live_cells (const SvPeers *self)
{
  GArray *sizes = g_array_new (FALSE, FALSE, sizeof (SvCellSize));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Cell *cell = value;
      SvCellSize size = { .id = cell->id, .instances = cell->heard };

      if (sv_cell_is_alive (self, cell))
        g_array_append_val (sizes, size);
    }
  return sizes;
}

void
sv_peers_update_members (SvPeers *self)
{
  g_autoptr (GArray) peers = live_peer_ids (self);
  g_autoptr (GArray) cells = live_cells (self);
  SvMembers members = {
    .id = self->id,
    .cell = self->cell,
    .peers = (const guint32 *)peers->data,
    .n_peers = peers->len,
    .known_in_cell = 1 + sv_peers_n_in_zone (self, self->self.zone),
    .cells = (const SvCellSize *)cells->data,
    .n_cells = cells->len,
    .known = sv_count_most (self),
    .is_counted = self->count.known_since != KNL_NEVER,
    .detection_time = sv_peers_detection_time (self),
  };

  sv_fleet_set_members (self->fleet, &members);
}
