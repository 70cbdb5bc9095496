/** Links between controllers: updates reach all of them in few hops over few links. */

#include "coord/overlay.h"
#include "suite.h"

#include <string.h>

#define MOST 1700

typedef struct
{
  char names[MOST][16];
  CoPlace places[MOST];
  guint n;
  gboolean (*links)[MOST]; /* [a][b]: a keeps a link to b */
} Overlay;

static void
init (Overlay *overlay, guint n, guint zones)
{
  static const char *const zone_names[] = { "a", "b", "c", "d", "e", "f", "g", "h" };

  overlay->n = n;
  overlay->links = g_malloc0_n (MOST, sizeof *overlay->links);
  for (guint i = 0; i < n; i++)
    {
      g_snprintf (overlay->names[i], sizeof overlay->names[i], "instance-%u", i);
      overlay->places[i] = (CoPlace){ overlay->names[i], zone_names[i % zones] };
    }
  for (guint i = 0; i < n; i++)
    co_overlay_choose (&overlay->places[i], overlay->places, n, overlay->links[i]);
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
 * `lost`; G_MAXUINT: it never does.
 */
static guint
hops_to_all (const Overlay *overlay, guint from, const gboolean *lost)
{
  g_autofree gboolean *heard = g_new0 (gboolean, MOST);
  guint count = 1;
  guint alive = 0;

  for (guint i = 0; i < overlay->n; i++)
    alive += lost[i] ? 0 : 1;
  heard[from] = TRUE;
  for (guint hop = 0; hop < 30; hop++)
    {
      g_autofree gboolean *before = g_memdup2 (heard, MOST * sizeof (gboolean));

      if (count == alive)
        return hop;
      for (guint a = 0; a < overlay->n; a++)
        {
          for (guint b = 0; before[a] && b < overlay->n; b++)
            {
              if (heard[b] || lost[b] || !(overlay->links[a][b] || overlay->links[b][a]))
                continue;
              heard[b] = TRUE;
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
test_news_reach_all_over_few_links (void)
{
  static const struct
  {
    guint n;
    guint zones;
    gboolean zone_lost;
    guint most_links;
    guint most_hops;
  } rows[] = {
    { 3, 3, FALSE, 2, 1 },     { 9, 3, FALSE, 8, 1 },    { 12, 3, FALSE, 11, 1 },
    { 13, 3, FALSE, 13, 3 },   { 96, 3, FALSE, 22, 5 },  { 96, 3, TRUE, 22, 6 },
    { 1700, 8, FALSE, 40, 6 }, { 1700, 8, TRUE, 40, 6 },
  };

  for (guint r = 0; r < G_N_ELEMENTS (rows); r++)
    {
      Overlay overlay;
      gboolean lost[MOST] = { FALSE };
      guint most = 0;
      guint hops;

      init (&overlay, rows[r].n, rows[r].zones);
      for (guint i = 0; i < overlay.n; i++)
        {
          most = MAX (most, degree (&overlay, i));
          lost[i] = rows[r].zone_lost && strcmp (overlay.places[i].zone, "b") == 0;
        }
      hops = hops_to_all (&overlay, 0, lost);
      printf ("[%u: %u links, %u hops] ", rows[r].n, most, hops);
      CU_ASSERT (most <= rows[r].most_links);
      CU_ASSERT (hops <= rows[r].most_hops);
      g_free (overlay.links);
    }
}

static const SuiteCase cases[] = {
  { "updates reach all over few links", test_news_reach_all_over_few_links },
};

SUITE_MAIN ("overlay", cases)
