/** Sums of offered load, and what of them fits into a report. */

#include "serve/offered_rows.h"

#include <stdlib.h>

PolOfferedRow *
sv_offered_row_at (const GArray *rows, guint index)
{
  return &g_array_index (rows, PolOfferedRow, index);
}

/* Sums of rows by class and workspace. */
typedef struct
{
  guint64 key;
  PolOfferedRow row;
} SumRow;

SvOfferedSum
sv_offered_sum_new (void)
{
  return (SvOfferedSum){ .by_key =
                             g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free) };
}

void
sv_offered_sum_add (SvOfferedSum *self, const PolOfferedRow *row)
{
  guint64 key = sv_offered_row_key (row->class, row->workspace);
  SumRow *sum = g_hash_table_lookup (self->by_key, &key);

  if (sum == NULL)
    {
      sum = g_new0 (SumRow, 1);
      sum->key = key;
      sum->row = *row;
      g_hash_table_insert (self->by_key, &sum->key, sum);
      return;
    }
  sum->row.load += row->load;
  if (row->workspace == 0)
    sum->row.n += row->n;
}

GArray *
sv_offered_sum_end (SvOfferedSum *self)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (PolOfferedRow));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_val (rows, ((SumRow *)value)->row);
  g_hash_table_unref (self->by_key);
  return rows;
}

/* A row, and its part of the load of its class. */
typedef struct
{
  PolOfferedRow row;
  double part;
} RankedRow;

static int
compare_ranked (const void *a, const void *b)
{
  const RankedRow *x = a;
  const RankedRow *y = b;

  if (x->part != y->part)
    return x->part > y->part ? -1 : 1;
  if (x->row.class != y->row.class)
    return x->row.class < y->row.class ? -1 : 1;
  return x->row.workspace < y->row.workspace ? -1 : x->row.workspace > y->row.workspace;
}

static RankedRow *
rank_rows (const GArray *rows)
{
  RankedRow *ranked = g_new0 (RankedRow, rows->len);
  guint64 loads[SV_OFFERED_CLASSES] = { 0 };

  for (guint i = 0; i < rows->len; i++)
    loads[sv_offered_row_at (rows, i)->class] += sv_offered_row_at (rows, i)->load;
  for (guint i = 0; i < rows->len; i++)
    {
      const PolOfferedRow *row = sv_offered_row_at (rows, i);

      ranked[i].row = *row;
      /* Rows of several workspaces come last: they can't be named. */
      ranked[i].part =
          row->workspace != 0 ? (double)row->load / (double)MAX (loads[row->class], 1) : -1;
    }
  if (rows->len > 0)
    qsort (ranked, rows->len, sizeof *ranked, compare_ranked);
  return ranked;
}

void
sv_offered_fill_report (SvOfferedReport *report, const GArray *rows, guint max_named)
{
  g_autofree RankedRow *ranked = rank_rows (rows);
  PolOfferedRow others[SV_OFFERED_CLASSES] = { 0 };
  guint n_named = 0;

  report->n_rows = 0;
  for (guint i = 0; i < rows->len; i++)
    {
      const PolOfferedRow *row = &ranked[i].row;

      if (row->workspace != 0 && n_named < max_named)
        {
          report->rows[report->n_rows++] = *row;
          n_named++;
          continue;
        }
      others[row->class].load += row->load;
      others[row->class].n += row->n;
    }
  for (guint i = 0; i < SV_OFFERED_CLASSES; i++)
    {
      others[i].class = i;
      if (others[i].n > 0)
        report->rows[report->n_rows++] = others[i];
    }
}
