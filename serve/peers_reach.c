/** Peers that take the requests of an instance which has lost its links to endpoints. */

#include <string.h>

#include "peers_internal.h"

/* Peers among which the taker of a request is drawn. */
#define MAX_CANDIDATES 64

static void
add_candidate (const SvPeers *self,
               GPtrArray *found,
               const char *callers_address,
               const char *avoid)
{
  const char *port = strrchr (callers_address, ':');
  g_autofree char *address = NULL;

  if (port == NULL || strcmp (callers_address, self->self.callers_address) == 0)
    return;
  /* All instances take requests of peers at the same port. */
  address = g_strdup_printf ("%.*s:%u", (int)(port - callers_address), callers_address,
                             self->self.passing_port);
  if (g_strcmp0 (address, avoid) != 0)
    g_ptr_array_add (found, g_steal_pointer (&address));
}

static void
add_in_cell (const SvPeers *self, GPtrArray *found, const char *avoid)
{
  const GPtrArray *alive = sv_cells_alive (self);

  for (guint i = 0; i < alive->len && found->len < MAX_CANDIDATES; i++)
    {
      const Peer *peer = g_ptr_array_index (alive, i);

      if (peer->ready)
        add_candidate (self, found, peer->callers_address, avoid);
    }
}

static void
add_in_other_cells (const SvPeers *self, GPtrArray *found, const char *avoid)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Cell *cell = value;

      for (guint i = 0; i < cell->ready->len && found->len < MAX_CANDIDATES; i++)
        {
          if (sv_cell_is_alive (self, cell))
            add_candidate (self, found, g_ptr_array_index (cell->ready, i), avoid);
        }
    }
}

/* Ready peers, those of this cell before all others. Free with g_ptr_array_unref. */
static GPtrArray *
find_candidates (const SvPeers *self, const char *avoid)
{
  GPtrArray *found = g_ptr_array_new_with_free_func (g_free);

  add_in_cell (self, found, avoid);
  if (found->len == 0)
    add_in_other_cells (self, found, avoid);
  return found;
}

char *
sv_peers_passing_address (SvPeers *self, const char *avoid)
{
  g_autoptr (GPtrArray) found = NULL;
  guint i;

  if (self->self.passing_port == 0)
    return NULL;
  found = find_candidates (self, avoid);
  if (found->len == 0)
    return NULL;
  i = (guint)g_rand_int_range (knl_kernel_rand (self->kernel), 0, (gint32)found->len);
  return g_strdup (g_ptr_array_index (found, i));
}

static gboolean
has_other_ready (const SvPeers *self)
{
  g_autoptr (GPtrArray) found = find_candidates (self, NULL);

  return found->len > 0;
}

void
sv_peers_update_ready (SvPeers *self)
{
  gboolean ready = self->accepts && !(self->links_lost && has_other_ready (self));

  if (self->ready == ready)
    return;
  self->ready = ready;
  cm_log (CM_LOG_NOTICE, "ready-changed", "b", "ready", ready, "b", "links-lost", self->links_lost);
  sv_peers_send_full (self, NULL);
  sv_relay_note_ready (self);
}

void
sv_peers_set_links_lost (SvPeers *self, gboolean is_lost)
{
  self->links_lost = is_lost;
  sv_peers_update_ready (self);
}
