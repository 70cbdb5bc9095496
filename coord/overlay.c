#include "coord/overlay.h"

#include <string.h>

#include "coord/shard.h"

typedef struct
{
  guint index;
  const char *zone;
  guint64 weight;
} Candidate;

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const Candidate *x = a;
  const Candidate *y = b;
  int zone_order = strcmp (x->zone, y->zone);

  if (zone_order != 0)
    return zone_order;
  if (x->weight != y->weight)
    return x->weight > y->weight ? -1 : 1;
  return x->index < y->index ? -1 : 1;
}

/* In each pair, the controller with the lower name opens the only link. */
static void
choose_full_mesh (const CoNode *self,
                  const CoNode *controllers,
                  guint n_controllers,
                  gboolean *keep)
{
  for (guint i = 0; i < n_controllers; i++)
    keep[i] = strcmp (self->name, controllers[i].name) < 0;
}

void
co_overlay_choose (const CoNode *self,
                   const CoNode *controllers,
                   guint n_controllers,
                   gboolean *keep)
{
  GArray *candidates;
  const char *zone = NULL;
  guint n_in_zone = 0;

  if (n_controllers <= CO_OVERLAY_FULL_MESH_MAX)
    {
      choose_full_mesh (self, controllers, n_controllers, keep);
      return;
    }
  candidates = g_array_sized_new (FALSE, FALSE, sizeof (Candidate), n_controllers);
  for (guint i = 0; i < n_controllers; i++)
    {
      Candidate candidate = { .index = i,
                              .zone = controllers[i].zone,
                              .weight = co_rendezvous_weight (controllers[i].name, self->name) };

      keep[i] = FALSE;
      if (strcmp (controllers[i].name, self->name) != 0)
        g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, compare_candidates);
  for (guint i = 0; i < candidates->len; i++)
    {
      const Candidate *candidate = &g_array_index (candidates, Candidate, i);
      gboolean own = strcmp (candidate->zone, self->zone) == 0;

      n_in_zone = zone != NULL && strcmp (zone, candidate->zone) == 0 ? n_in_zone + 1 : 1;
      zone = candidate->zone;
      keep[candidate->index] =
          n_in_zone <= (own ? CO_OVERLAY_OWN_ZONE_LINKS : CO_OVERLAY_OTHER_ZONE_LINKS);
    }
  g_array_free (candidates, TRUE);
}
