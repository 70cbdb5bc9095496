#include "coord/share.h"

#include <math.h>

/* An entry that has not reported for this time is no longer counted. */
#define ENTRY_TIMEOUT (30 * KNL_SEC)

/* Tokens served and waiting for one workspace at one entry. */
typedef struct
{
  double served;   /* tokens, decayed up to `updated_at` */
  guint64 waiting; /* tokens */
  KnlTime updated_at;
} Usage;

struct CoShares
{
  KnlKernel *kernel;
  KnlTime half_life;
  GHashTable *workspaces; /* name -> GHashTable of "ENTRY~INCARNATION" -> Usage */
};

CoShares *
co_shares_new (KnlKernel *kernel, KnlTime half_life)
{
  CoShares *shares = g_new0 (CoShares, 1);

  shares->kernel = kernel;
  shares->half_life = half_life;
  shares->workspaces =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_hash_table_unref);
  return shares;
}

void
co_shares_free (CoShares *shares)
{
  if (shares == NULL)
    return;
  g_hash_table_destroy (shares->workspaces);
  g_free (shares);
}

static double
decayed (const CoShares *shares, const Usage *usage)
{
  KnlTime age = knl_kernel_now (shares->kernel) - usage->updated_at;

  return usage->served * exp2 (-(double)age / (double)shares->half_life);
}

static Usage *
find_usage (CoShares *shares, const char *workspace, const char *entry, guint64 incarnation)
{
  GHashTable *usages = g_hash_table_lookup (shares->workspaces, workspace);
  char *name = g_strdup_printf ("%s~%" G_GUINT64_FORMAT, entry, incarnation);
  Usage *usage;

  if (usages == NULL)
    {
      usages = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_hash_table_insert (shares->workspaces, g_strdup (workspace), usages);
    }
  usage = g_hash_table_lookup (usages, name);
  if (usage != NULL)
    {
      g_free (name);
      return usage;
    }
  usage = g_new0 (Usage, 1);
  usage->updated_at = knl_kernel_now (shares->kernel);
  g_hash_table_insert (usages, name, usage);
  return usage;
}

/* Sums up the workspace's use over all entries and removes those that no longer report. */
static void
sum_usages (CoShares *shares, const char *workspace, double *served, double *demand)
{
  GHashTable *usages = g_hash_table_lookup (shares->workspaces, workspace);
  GHashTableIter iter;
  gpointer value;

  *served = 0;
  *demand = 0;
  g_hash_table_iter_init (&iter, usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Usage *usage = value;

      if (knl_kernel_now (shares->kernel) - usage->updated_at > ENTRY_TIMEOUT)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      *served += decayed (shares, usage);
      *demand += decayed (shares, usage) + (double)usage->waiting;
    }
}

void
co_shares_report (CoShares *shares,
                  const char *entry,
                  guint64 incarnation,
                  const Alderturn__ShareReport__Demand *demand,
                  Alderturn__ShareUpdate__Share *share)
{
  Usage *usage = find_usage (shares, demand->workspace, entry, incarnation);
  double all_served;
  double all_demand;
  double own;

  usage->served = decayed (shares, usage) + (double)demand->served_tokens;
  usage->updated_at = knl_kernel_now (shares->kernel);
  usage->waiting = demand->waiting_tokens;
  own = usage->served + (double)usage->waiting;
  sum_usages (shares, demand->workspace, &all_served, &all_demand);
  share->served_tokens = (guint64)all_served;
  share->fraction = all_demand > 0 ? own / all_demand : 1;
}

void
co_shares_forget (CoShares *shares,
                  gboolean (*lost) (const char *workspace, gpointer data),
                  gpointer data)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, shares->workspaces);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      if (lost (key, data))
        g_hash_table_iter_remove (&iter);
    }
}
