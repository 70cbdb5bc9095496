/** Subsets of engines: size, balance over engines, and changes when members are added. */

#include "coord/subset.h"
#include "suite.h"

#include <string.h>

#define ZONES 3

typedef struct
{
  guint n_entries;
  guint n_engines;
  CoNode *entries;
  CoNode *engines;
  CoSubsetKind *kinds; /* n_entries rows of n_engines */
} Fleet;

static CoNode *
nodes_new (const char *prefix, guint count)
{
  static const char *const zones[ZONES] = { "a", "b", "c" };
  CoNode *nodes = g_new0 (CoNode, count);

  for (guint i = 0; i < count; i++)
    {
      nodes[i].name = g_strdup_printf ("%s-%u", prefix, i);
      nodes[i].zone = zones[i % ZONES];
    }
  return nodes;
}

static void
nodes_free (CoNode *nodes, guint count)
{
  for (guint i = 0; i < count; i++)
    g_free ((char *)nodes[i].name);
  g_free (nodes);
}

static CoSubsetKind *
row_of (const Fleet *fleet, guint entry)
{
  return fleet->kinds + (gsize)entry * fleet->n_engines;
}

static void
fleet_init (Fleet *fleet, guint n_entries, guint n_engines)
{
  fleet->n_entries = n_entries;
  fleet->n_engines = n_engines;
  fleet->entries = nodes_new ("entry", n_entries);
  fleet->engines = nodes_new ("engine", n_engines);
  fleet->kinds = g_malloc0_n ((gsize)n_entries * n_engines, sizeof (CoSubsetKind));
  for (guint i = 0; i < n_entries; i++)
    co_subset_choose (&fleet->entries[i], fleet->entries, n_entries, fleet->engines, n_engines,
                      CO_SUBSET_SIZE, row_of (fleet, i));
}

static void
fleet_clear (Fleet *fleet)
{
  nodes_free (fleet->entries, fleet->n_entries);
  nodes_free (fleet->engines, fleet->n_engines);
  g_free (fleet->kinds);
}

typedef struct
{
  guint min;
  guint max;
  double mean;
} Spread;

static void
spread_add (Spread *spread, guint value, guint count)
{
  spread->min = MIN (spread->min, value);
  spread->max = MAX (spread->max, value);
  spread->mean += (double)value / count;
}

/** Measures the number of engines per entry and of entries per engine. */
static void
measure (const Fleet *fleet, Spread *by_entry, Spread *by_engine)
{
  *by_entry = *by_engine = (Spread){ .min = G_MAXUINT };
  for (guint i = 0; i < fleet->n_entries; i++)
    {
      guint count = 0;

      for (guint j = 0; j < fleet->n_engines; j++)
        count += row_of (fleet, i)[j] != CO_SUBSET_NONE;
      spread_add (by_entry, count, fleet->n_entries);
    }
  for (guint j = 0; j < fleet->n_engines; j++)
    {
      guint count = 0;

      for (guint i = 0; i < fleet->n_entries; i++)
        count += row_of (fleet, i)[j] != CO_SUBSET_NONE;
      spread_add (by_engine, count, fleet->n_engines);
    }
}

typedef struct
{
  guint entries;
  guint engines;
  guint min_by_entry; /* minimum number of engines per entry */
  guint max_by_entry;
  guint min_by_engine; /* minimum number of entries per engine */
} SizeCase;

static const SizeCase size_cases[] = {
  { 1, 3, 3, 3, 1 },       { 9, 20, 20, 20, 9 },     { 9, 40, 40, 40, 9 },     { 9, 90, 25, 65, 3 },
  { 120, 700, 15, 75, 5 }, { 600, 3500, 15, 80, 5 }, { 2, 1000, 350, 850, 1 },
};

static void
test_sizes_and_balance (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (size_cases); i++)
    {
      const SizeCase *row = &size_cases[i];
      Fleet fleet;
      Spread by_entry;
      Spread by_engine;

      fleet_init (&fleet, row->entries, row->engines);
      measure (&fleet, &by_entry, &by_engine);
      printf ("\n    %u entries, %u engines: an entry has %u..%u (%.1f), an engine %u..%u (%.1f)",
              row->entries, row->engines, by_entry.min, by_entry.max, by_entry.mean, by_engine.min,
              by_engine.max, by_engine.mean);
      CU_ASSERT_TRUE (by_entry.min >= row->min_by_entry);
      CU_ASSERT_TRUE (by_entry.max <= row->max_by_entry);
      CU_ASSERT_TRUE (by_engine.min >= row->min_by_engine);
      fleet_clear (&fleet);
    }
  printf ("\n    ");
}

/**
 * Returns how many pairs of an entry and an engine of `small` are used in only
 * one of the fleets. `pairs` is set to the number of pairs used in `small`.
 */
static guint
count_moved (const Fleet *small, const Fleet *large, guint *pairs)
{
  guint moved = 0;

  *pairs = 0;
  for (guint i = 0; i < small->n_entries; i++)
    {
      for (guint j = 0; j < small->n_engines; j++)
        {
          gboolean before = row_of (small, i)[j] != CO_SUBSET_NONE;

          *pairs += before;
          moved += before != (row_of (large, i)[j] != CO_SUBSET_NONE);
        }
    }
  return moved;
}

static void
test_little_moves_when_members_change (void)
{
  static const struct
  {
    guint entries;
    guint engines;
  } more[] = { { 1, 0 }, { 0, 1 }, { 3, 0 }, { 0, 3 } };

  for (guint i = 0; i < G_N_ELEMENTS (more); i++)
    {
      Fleet before;
      Fleet after;
      guint pairs;
      guint moved;

      fleet_init (&before, 120, 700);
      fleet_init (&after, 120 + more[i].entries, 700 + more[i].engines);
      moved = count_moved (&before, &after, &pairs);
      printf ("\n    +%u entries, +%u engines: %u of %u pairs move (%.2f%%)", more[i].entries,
              more[i].engines, moved, pairs, 100.0 * moved / pairs);
      CU_ASSERT_TRUE (moved * 20 < pairs);
      fleet_clear (&before);
      fleet_clear (&after);
    }
  printf ("\n    ");
}

/*
 * With a zone without engines, one without entries, and an entry that isn't in
 * the list yet, each entry still has enough engines and each engine is used.
 */
static void
test_lopsided_zones (void)
{
  CoNode *entries = nodes_new ("entry", 60);
  CoNode *engines = nodes_new ("engine", 400);
  CoSubsetKind kinds[400];
  guint used[400] = { 0 };
  double mean[2] = { 0 };

  for (guint i = 0; i < 60; i++)
    entries[i].zone = i % 3 == 0 ? "without-engines" : "a";
  for (guint i = 0; i < 400; i++)
    engines[i].zone = i % 2 == 0 ? "a" : "without-entries";
  for (guint i = 0; i < 60; i++)
    {
      guint count = 0;

      co_subset_choose (&entries[i], entries, 59, engines, 400, CO_SUBSET_SIZE, kinds);
      for (guint j = 0; j < 400; j++)
        {
          count += kinds[j] != CO_SUBSET_NONE;
          used[j] += kinds[j] != CO_SUBSET_NONE;
          CU_ASSERT_TRUE (kinds[j] != CO_SUBSET_HOME
                          || strcmp (engines[j].zone, entries[i].zone) == 0);
        }
      CU_ASSERT_TRUE (count >= CO_SUBSET_SIZE / 2);
      mean[i % 3 == 0] += count / (i % 3 == 0 ? 20.0 : 40.0);
    }
  for (guint j = 0; j < 400; j++)
    CU_ASSERT_TRUE (used[j] >= 2);
  printf ("[%.1f engines, %.1f without any at home] ", mean[0], mean[1]);
  CU_ASSERT_TRUE (mean[0] > 35 && mean[1] > 35);
  nodes_free (entries, 60);
  nodes_free (engines, 400);
}

static const SuiteCase cases[] = {
  { "sizes and balance", test_sizes_and_balance },
  { "little moves when members change", test_little_moves_when_members_change },
  { "lopsided zones", test_lopsided_zones },
};

SUITE_MAIN ("subset", cases)
