/** Links between controllers: updates reach all of them in few hops over few links. */

#include "coord/overlay.h"
#include "suite.h"

#include <string.h>

#define MAX_CONTROLLERS 1700

typedef struct
{
  char names[MAX_CONTROLLERS][16];
  CoNode nodes[MAX_CONTROLLERS];
  guint n;
  gboolean (*links)[MAX_CONTROLLERS]; /* [a][b]: a keeps a link to b */
} Overlay;

static void
init (Overlay *overlay, guint n, guint zones)
{
  static const char *const zone_names[] = { "a", "b", "c", "d", "e", "f", "g", "h" };

  overlay->n = n;
  overlay->links = g_malloc0_n (MAX_CONTROLLERS, sizeof *overlay->links);
  for (guint i = 0; i < n; i++)
    {
      g_snprintf (overlay->names[i], sizeof overlay->names[i], "instance-%u", i);
      overlay->nodes[i] = (CoNode){ overlay->names[i], zone_names[i % zones] };
    }
  for (guint i = 0; i < n; i++)
    co_overlay_choose (&overlay->nodes[i], overlay->nodes, n, overlay->links[i]);
}

static guint
degree (const Overlay *overlay, guint self)
{
  guint count = 0;

  for (guint i = 0; i < overlay->n; i++)
    count += overlay->links[self][i] || overlay->links[i][self] ? 1 : 0;
  return count;
}

/*
 * Hops until an update of `from` has reached all controllers except those in
 * `lost`; G_MAXUINT: it doesn't reach all.
 */
static guint
hops_to_all (const Overlay *overlay, guint from, const gboolean *lost)
{
  g_autofree gboolean *reached = g_new0 (gboolean, MAX_CONTROLLERS);
  guint count = 1;
  guint alive = 0;

  for (guint i = 0; i < overlay->n; i++)
    alive += lost[i] ? 0 : 1;
  reached[from] = TRUE;
  for (guint hop = 0; hop < 30; hop++)
    {
      g_autofree gboolean *before = g_memdup2 (reached, MAX_CONTROLLERS * sizeof (gboolean));

      if (count == alive)
        return hop;
      for (guint a = 0; a < overlay->n; a++)
        {
          for (guint b = 0; before[a] && b < overlay->n; b++)
            {
              if (reached[b] || lost[b] || !(overlay->links[a][b] || overlay->links[b][a]))
                continue;
              reached[b] = TRUE;
              count++;
            }
        }
    }
  return G_MAXUINT;
}

/*
 * Guards against a configuration change that never reaches some controllers,
 * and against links that grow in number with the fleet. A change is pushed over
 * the links while a whole zone is down; no part of the fleet may depend on a
 * single controller or zone.
 */
static void
test_updates_reach_all_over_few_links (void)
{
  static const struct
  {
    guint n;
    guint zones;
    gboolean zone_lost;
    guint max_links;
    guint max_hops;
  } rows[] = {
    { 3, 3, FALSE, 2, 1 },     { 9, 3, FALSE, 8, 1 },    { 12, 3, FALSE, 11, 1 },
    { 13, 3, FALSE, 13, 3 },   { 96, 3, FALSE, 22, 5 },  { 96, 3, TRUE, 22, 6 },
    { 1700, 8, FALSE, 40, 6 }, { 1700, 8, TRUE, 40, 6 },
  };

  for (guint r = 0; r < G_N_ELEMENTS (rows); r++)
    {
      Overlay overlay;
      gboolean lost[MAX_CONTROLLERS] = { FALSE };
      guint max_degree = 0;
      guint hops;

      init (&overlay, rows[r].n, rows[r].zones);
      for (guint i = 0; i < overlay.n; i++)
        {
          max_degree = MAX (max_degree, degree (&overlay, i));
          lost[i] = rows[r].zone_lost && strcmp (overlay.nodes[i].zone, "b") == 0;
        }
      hops = hops_to_all (&overlay, 0, lost);
      printf ("[%u: %u links, %u hops] ", rows[r].n, max_degree, hops);
      CU_ASSERT (max_degree <= rows[r].max_links);
      CU_ASSERT (hops <= rows[r].max_hops);
      g_free (overlay.links);
    }
}

static const SuiteCase cases[] = {
  { "updates reach all over few links", test_updates_reach_all_over_few_links },
};

SUITE_MAIN ("overlay", cases)
