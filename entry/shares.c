#include "entry/shares.h"

#include <math.h>

#define HALF_LIFE  (10 * KNL_SEC)
#define UPDATE_TTL (3 * KNL_SEC)

/*
 * A workspace floods if it sends more than this multiple of the requests of the third most active
 * workspace, so that up to two workspaces can flood at the same time.
 */
#define FLOOD_FACTOR 2.5
#define FLOOD_RANK   2

/* Half-life of the request counts, and the count by weight below which there is no flood. */
#define FLOOD_HALF_LIFE    (20 * KNL_SEC)
#define MIN_FLOOD_REQUESTS 20.0

struct EnShares
{
  KnlKernel *kernel;
  GHashTable *rows; /* workspace -> Row */
};

typedef struct
{
  gint64 weight;
  double own; /* tokens dispatched here, decayed up to `own_at` */
  KnlTime own_at;
  double all;         /* tokens over all entries, from the last update */
  KnlTime all_at;     /* 0: no update yet */
  double requests;    /* requests dispatched here, decayed up to `own_at` */
  guint64 unreported; /* tokens dispatched since the last report */
  guint64 reported;   /* tokens in reports sent since the last update */
} Row;

EnShares *
en_shares_new (KnlKernel *kernel)
{
  EnShares *self = g_new0 (EnShares, 1);

  self->kernel = kernel;
  self->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
en_shares_free (EnShares *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->rows);
  g_free (self);
}

static Row *
find_row (EnShares *self, const char *workspace)
{
  Row *row = g_hash_table_lookup (self->rows, workspace);

  if (row == NULL)
    {
      row = g_new0 (Row, 1);
      row->weight = 1;
      g_hash_table_insert (self->rows, g_strdup (workspace), row);
    }
  return row;
}

static double
decayed (double value, KnlTime age)
{
  return value * exp2 (-(double)age / (double)HALF_LIFE);
}

void
en_shares_set_weight (EnShares *self, const char *workspace, gint64 weight)
{
  find_row (self, workspace)->weight = MAX (weight, 1);
}

gint64
en_shares_weight (EnShares *self, const char *workspace)
{
  return find_row (self, workspace)->weight;
}

static double
requests_of (const Row *row, KnlTime now)
{
  return row->requests * exp2 (-(double)(now - row->own_at) / (double)FLOOD_HALF_LIFE);
}

void
en_shares_note_dispatched (EnShares *self, const char *workspace, guint64 tokens)
{
  Row *row = find_row (self, workspace);
  KnlTime now = knl_kernel_now (self->kernel);

  row->own = decayed (row->own, now - row->own_at) + (double)tokens;
  row->requests = requests_of (row, now) + 1;
  row->own_at = now;
  row->unreported += tokens;
}

double
en_shares_virtual_time (EnShares *self, const char *workspace)
{
  Row *row = find_row (self, workspace);
  KnlTime now = knl_kernel_now (self->kernel);
  double used = decayed (row->own, now - row->own_at);

  if (row->all_at != 0 && now - row->all_at < UPDATE_TTL)
    used = decayed (row->all, now - row->all_at) + (double)(row->unreported + row->reported);
  return used / (double)row->weight;
}

gboolean
en_shares_is_flooding (EnShares *self, const char *workspace)
{
  KnlTime now = knl_kernel_now (self->kernel);
  const Row *own = find_row (self, workspace);
  double used = requests_of (own, now) / (double)own->weight;
  double top[FLOOD_RANK + 1] = { 0 };
  GHashTableIter iter;
  gpointer value;

  if (used < MIN_FLOOD_REQUESTS)
    return FALSE;
  g_hash_table_iter_init (&iter, self->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Row *row = value;
      double other = requests_of (row, now) / (double)row->weight;

      for (guint i = 0; i <= FLOOD_RANK; i++)
        {
          double larger = MAX (top[i], other);

          other = MIN (top[i], other);
          top[i] = larger;
        }
    }
  return top[FLOOD_RANK] > 0 && used > FLOOD_FACTOR * top[FLOOD_RANK];
}

void
en_shares_apply (EnShares *self, const Alderturn__ShareUpdate *update)
{
  for (size_t i = 0; i < update->n_shares; i++)
    {
      Row *row = find_row (self, update->shares[i]->workspace);

      row->all = (double)update->shares[i]->served_tokens;
      row->all_at = knl_kernel_now (self->kernel);
      row->reported = 0;
    }
}

guint64
en_shares_take_unreported (EnShares *self, const char *workspace)
{
  Row *row = find_row (self, workspace);
  guint64 tokens = row->unreported;

  row->reported += tokens;
  row->unreported = 0;
  return tokens;
}
