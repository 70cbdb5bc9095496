#include "controller/placement.h"

#include <math.h>
#include <string.h>

#include "coord/shard.h"

typedef struct
{
  const char *name;
  const char *label;
  gboolean assigned;
  guint64 weight; /* rank for the service or role being placed */
} Engine;

typedef struct
{
  GArray *engines; /* Engine */
  GHashTable *placed;
  gboolean use_remaining; /* placing the services that use all remaining engines */
} Placer;

static void
placed_free (gpointer data)
{
  CtPlaced *placed = data;

  g_free (placed->service);
  g_free (placed->model);
  g_free (placed->adapter);
  g_free (placed);
}

static gint
compare_weights (gconstpointer a, gconstpointer b)
{
  const Engine *x = *(const Engine *const *)a;
  const Engine *y = *(const Engine *const *)b;

  if (x->weight != y->weight)
    return x->weight > y->weight ? -1 : 1;
  return strcmp (x->name, y->name);
}

/* Sorts the engines by their rendezvous hashing weight for `key`, highest first. */
static void
rank_engines (GPtrArray *engines, const char *key)
{
  for (guint i = 0; i < engines->len; i++)
    {
      Engine *engine = g_ptr_array_index (engines, i);

      engine->weight = co_rendezvous_weight (engine->name, key);
    }
  g_ptr_array_sort (engines, compare_weights);
}

static GPtrArray *
unassigned_engines (const Placer *placer, const char *label)
{
  GPtrArray *engines = g_ptr_array_new ();

  for (guint i = 0; i < placer->engines->len; i++)
    {
      Engine *engine = &g_array_index (placer->engines, Engine, i);

      if (!engine->assigned && strcmp (engine->label, label) == 0)
        g_ptr_array_add (engines, engine);
    }
  return engines;
}

/* Number of engines for long prompts among `n`. With `long_share` between 0 and 1 and at least two
   engines, either role has at least one engine. */
static guint
long_engines (guint n, double long_share)
{
  guint n_long = (guint)lround ((double)n * long_share);

  if (long_share <= 0 || long_share >= 1 || n < 2)
    return long_share >= 1 ? n : 0;
  return CLAMP (n_long, 1, n - 1);
}

static void
place (Placer *placer, const CoObject *service, GPtrArray *engines)
{
  double long_share = co_object_double (service, "long-share");
  guint n_long = long_engines (engines->len, long_share);
  char *key = g_strconcat ("role/", service->name, NULL);

  rank_engines (engines, key);
  for (guint i = 0; i < engines->len; i++)
    {
      Engine *engine = g_ptr_array_index (engines, i);
      CtPlaced *placed = g_new0 (CtPlaced, 1);

      engine->assigned = TRUE;
      placed->service = g_strdup (service->name);
      placed->model = g_strdup (co_object_string (service, "model"));
      placed->adapter = g_strdup (co_object_string (service, "adapter"));
      placed->role = i < n_long ? "long" : "short";
      if (engines->len == 1 || long_share <= 0)
        placed->role = "any";
      g_hash_table_insert (placer->placed, g_strdup (engine->name), placed);
    }
  g_free (key);
}

static void
place_service (const CoObject *service, gpointer data)
{
  Placer *placer = data;
  guint wanted = (guint)co_object_integer (service, "engines");
  GPtrArray *engines;
  char *key;

  if (strcmp (co_object_string (service, "kind"), "model") != 0
      || placer->use_remaining != (wanted == 0))
    return;
  engines = unassigned_engines (placer, co_object_string (service, "endpoints"));
  key = g_strconcat ("service/", service->name, NULL);
  rank_engines (engines, key);
  if (wanted > 0 && engines->len > wanted)
    g_ptr_array_set_size (engines, (gint)wanted);
  place (placer, service, engines);
  g_ptr_array_free (engines, TRUE);
  g_free (key);
}

GHashTable *
ct_placement_new (const CoConfig *config, const GPtrArray *view)
{
  Placer placer = {
    .engines = g_array_new (FALSE, FALSE, sizeof (Engine)),
    .placed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, placed_free),
  };

  for (guint i = 0; i < view->len; i++)
    {
      const Alderturn__Member *member = g_ptr_array_index (view, i);
      Engine engine = { .name = member->name, .label = member->service };

      if (member->kind == ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE
          && member->state != ALDERTURN__MEMBER_STATE__MEMBER_STATE_LEAVING)
        g_array_append_val (placer.engines, engine);
    }
  /* Services with a fixed number of engines first, then those that use all remaining engines. */
  co_config_foreach (config, "service", place_service, &placer);
  placer.use_remaining = TRUE;
  co_config_foreach (config, "service", place_service, &placer);
  g_array_free (placer.engines, TRUE);
  return placer.placed;
}
