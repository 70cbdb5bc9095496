#include "coord/subset.h"

#include <string.h>
#include <xxhash.h>

/** One in this many of an entry's engines is in another zone. */
#define SPARE_DIVISOR 4

/* One zone: its number of entries and engines, and how many entries each of its engines accepts. */
typedef struct
{
  const char *name;
  guint entries;
  guint engines;
  guint home;  /* accepted from its own zone */
  guint spare; /* accepted from other zones */
} Zone;

typedef struct
{
  const char *name;
  const Zone *zone;
  guint64 hash;
} Node;

static Zone *
zone_find (GArray *zones, const char *name)
{
  Zone added = { .name = name };

  for (guint i = 0; i < zones->len; i++)
    {
      Zone *zone = &g_array_index (zones, Zone, i);

      if (g_strcmp0 (zone->name, name) == 0)
        return zone;
    }
  g_array_append_val (zones, added);
  return &g_array_index (zones, Zone, zones->len - 1);
}

static guint
divide_round_up (guint64 wanted, guint64 entries, guint64 engines)
{
  return engines == 0 ? 0 : (guint)((wanted * entries + engines - 1) / engines);
}

/**
 * Computes how many entries each engine of a zone accepts, so that an entry
 * gets about `size` engines. Entries of a zone without engines are treated as
 * local in every zone.
 */
static void
compute_quotas (GArray *zones, guint size)
{
  guint spare = size / SPARE_DIVISOR;
  guint entries_without_engines = 0;
  guint entries = 0;
  guint engines = 0;

  for (guint i = 0; i < zones->len; i++)
    {
      const Zone *zone = &g_array_index (zones, Zone, i);

      entries += zone->entries;
      engines += zone->engines;
      entries_without_engines += zone->engines == 0 ? zone->entries : 0;
    }
  for (guint i = 0; i < zones->len; i++)
    {
      Zone *zone = &g_array_index (zones, Zone, i);
      guint others = entries - zone->entries - entries_without_engines;

      zone->home = divide_round_up (size - spare, zone->entries, zone->engines)
                   + divide_round_up (size, entries_without_engines, engines);
      zone->spare = divide_round_up (spare, others, MAX (engines - engines / zones->len, 1));
    }
}

/** Weight of an entry for an engine: MurmurHash3's finalizer applied to both hashes. */
static guint64
weight (const Node *entry, const Node *engine)
{
  guint64 x = entry->hash ^ (engine->hash * 0x9e3779b97f4a7c15ULL);

  x ^= x >> 33;
  x *= 0xff51afd7ed558ccdULL;
  x ^= x >> 33;
  x *= 0xc4ceb9fe1a85ec53ULL;
  return x ^ (x >> 33);
}

static gboolean
is_home (const Node *entry, const Node *engine)
{
  return entry->zone == engine->zone || entry->zone->engines == 0;
}

/**
 * Whether `engine` accepts `self`: it accepts the entries of the highest
 * weights, separately among local entries and those of other zones.
 */
static gboolean
engine_accepts (const Node *engine, const Node *self, const Node *entries, guint n_entries)
{
  gboolean home = is_home (self, engine);
  guint wanted = home ? engine->zone->home : engine->zone->spare;
  guint64 own = weight (self, engine);
  guint n_higher = 0;

  for (guint i = 0; i < n_entries && n_higher < wanted; i++)
    {
      if (is_home (&entries[i], engine) == home && weight (&entries[i], engine) > own)
        n_higher++;
    }
  return n_higher < wanted;
}

static Node *
nodes_new (const CoNode *list, guint count, GArray *zones)
{
  Node *nodes = g_new0 (Node, count + 1);

  for (guint i = 0; i < count; i++)
    {
      nodes[i].name = list[i].name;
      nodes[i].hash = XXH3_64bits (list[i].name, strlen (list[i].name));
      nodes[i].zone = zone_find (zones, list[i].zone);
    }
  return nodes;
}

static gboolean
contains (const CoNode *entries, guint n_entries, const char *name)
{
  for (guint i = 0; i < n_entries; i++)
    {
      if (strcmp (entries[i].name, name) == 0)
        return TRUE;
    }
  return FALSE;
}

/**
 * Counts all zones before any `Node` points into the array, so that it isn't
 * reallocated later.
 */
static GArray *
zones_new (const CoNode *self,
           gboolean count_self,
           const CoNode *entries,
           guint n_entries,
           const CoNode *engines,
           guint n_engines)
{
  GArray *zones = g_array_new (FALSE, FALSE, sizeof (Zone));

  zone_find (zones, self->zone)->entries += count_self;
  for (guint i = 0; i < n_entries; i++)
    zone_find (zones, entries[i].zone)->entries++;
  for (guint i = 0; i < n_engines; i++)
    zone_find (zones, engines[i].zone)->engines++;
  return zones;
}

void
co_subset_choose (const CoNode *self,
                  const CoNode *entries,
                  guint n_entries,
                  const CoNode *engines,
                  guint n_engines,
                  guint size,
                  CoSubsetKind *kinds)
{
  GArray *zones = zones_new (self, !contains (entries, n_entries, self->name), entries, n_entries,
                             engines, n_engines);
  Node *own = nodes_new (self, 1, zones);
  Node *others = nodes_new (entries, n_entries, zones);
  Node *all = nodes_new (engines, n_engines, zones);

  compute_quotas (zones, size);
  for (guint i = 0; i < n_engines; i++)
    {
      kinds[i] = CO_SUBSET_NONE;
      if (n_engines <= size || engine_accepts (&all[i], own, others, n_entries))
        kinds[i] = own->zone == all[i].zone ? CO_SUBSET_HOME : CO_SUBSET_SPARE;
    }
  g_free (all);
  g_free (others);
  g_free (own);
  g_array_unref (zones);
}
