#include "entry/subset.h"

#include "coord/subset.h"

/* With many services, an entry still uses at least this many engines of each service and role. */
#define MIN_GROUP_SIZE 6

static gboolean
is_placed_engine (const EnEndpoint *endpoint)
{
  return endpoint->kind == ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE && !endpoint->removed
         && endpoint->service != NULL;
}

static void
group_free (gpointer data)
{
  g_ptr_array_unref (data);
}

/* "SERVICE/ROLE" -> GPtrArray of EnEndpoint */
static GHashTable *
groups_new (const GPtrArray *endpoints)
{
  GHashTable *groups = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, group_free);

  for (guint i = 0; i < endpoints->len; i++)
    {
      EnEndpoint *endpoint = g_ptr_array_index (endpoints, i);
      char *name;
      GPtrArray *group;

      endpoint->other_subset = FALSE;
      if (!is_placed_engine (endpoint))
        continue;
      name = g_strdup_printf ("%s/%d", endpoint->service, (int)endpoint->role);
      group = g_hash_table_lookup (groups, name);
      if (group == NULL)
        {
          group = g_ptr_array_new ();
          g_hash_table_insert (groups, g_strdup (name), group);
        }
      g_ptr_array_add (group, endpoint);
      g_free (name);
    }
  return groups;
}

static CoNode *
entry_nodes_new (const GPtrArray *entries, guint *n)
{
  CoNode *nodes = g_new0 (CoNode, entries->len + 1);

  *n = 0;
  for (guint i = 0; i < entries->len; i++)
    {
      const EnPeer *peer = g_ptr_array_index (entries, i);

      if (peer->state != ALDERTURN__MEMBER_STATE__MEMBER_STATE_DEAD)
        nodes[(*n)++] = (CoNode){ .name = peer->name, .zone = peer->zone };
    }
  return nodes;
}

static void
choose_in_group (const GPtrArray *group,
                 const CoNode *self,
                 const CoNode *entries,
                 guint n_entries,
                 guint size)
{
  CoNode *engines = g_new0 (CoNode, group->len);
  CoSubsetKind *kinds = g_new0 (CoSubsetKind, group->len);

  for (guint i = 0; i < group->len; i++)
    {
      const EnEndpoint *endpoint = g_ptr_array_index (group, i);

      engines[i] = (CoNode){ .name = endpoint->name, .zone = endpoint->zone };
    }
  co_subset_choose (self, entries, n_entries, engines, group->len, size, kinds);
  for (guint i = 0; i < group->len; i++)
    ((EnEndpoint *)g_ptr_array_index (group, i))->other_subset = kinds[i] == CO_SUBSET_NONE;
  g_free (kinds);
  g_free (engines);
}

void
en_subset_update (const GPtrArray *endpoints,
                  const GPtrArray *entries,
                  const char *self,
                  const char *zone)
{
  CoNode own = { .name = self, .zone = zone };
  GHashTable *groups = groups_new (endpoints);
  guint n_entries;
  CoNode *nodes;
  GHashTableIter iter;
  gpointer group;

  if (endpoints->len > CO_SUBSET_SIZE)
    {
      nodes = entry_nodes_new (entries, &n_entries);
      g_hash_table_iter_init (&iter, groups);
      while (g_hash_table_iter_next (&iter, NULL, &group))
        choose_in_group (group, &own, nodes, n_entries,
                         MAX (CO_SUBSET_SIZE / g_hash_table_size (groups), MIN_GROUP_SIZE));
      g_free (nodes);
    }
  g_hash_table_unref (groups);
}
