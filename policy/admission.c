#include "policy/admission.h"

#include <stdlib.h>
#include <string.h>

#include "policy/fair_share.h"

/* Load of one workspace of the row, rounded up. */
static guint64
load_of_each (const PolOfferedRow *row)
{
  guint64 n = MAX (row->n, 1);

  return (row->load + n - 1) / n;
}

static int
compare_rows (const void *a, const void *b)
{
  const PolOfferedRow *x = a;
  const PolOfferedRow *y = b;
  guint64 load_x = load_of_each (x);
  guint64 load_y = load_of_each (y);

  if (x->class != y->class)
    return x->class < y->class ? -1 : 1;
  return load_x < load_y ? -1 : load_x > load_y;
}

static guint64
sum_of_offered (const PolAdmissionClass *classes, guint n_classes)
{
  guint64 sum = 0;

  for (guint i = 0; i < n_classes; i++)
    sum += classes[i].offered;
  return sum;
}

/* Gives each class its minimum; all of them less, in proportion, where the capacity is exceeded.
 * Returns the rest of the capacity. */
static guint64
give_minimums (PolAdmissionClass *classes, guint n_classes, guint64 capacity)
{
  double wanted = 0;
  double scale;
  guint64 rest = capacity;

  for (guint i = 0; i < n_classes; i++)
    wanted += classes[i].min_fraction * (double)classes[i].offered;
  scale = wanted > (double)capacity ? (double)capacity / wanted : 1;
  for (guint i = 0; i < n_classes; i++)
    {
      double minimum = scale * classes[i].min_fraction * (double)classes[i].offered;

      classes[i].capacity = MIN ((guint64)minimum, MIN (rest, classes[i].offered));
      rest -= classes[i].capacity;
    }
  return rest;
}

/* A class, and what it gets of the capacity of its rank. */
typedef struct
{
  PolAdmissionClass *class;
  guint64 given;
} ClassShare;

static int
compare_offered (const void *a, const void *b)
{
  guint64 x = ((const ClassShare *)a)->class->offered;
  guint64 y = ((const ClassShare *)b)->class->offered;

  return x < y ? -1 : x > y;
}

/* Divides `rest`, and the minimums of the classes, among them in ascending order of what they
 * offer. Returns what is left. */
static guint64
divide (ClassShare *shares, guint n, guint64 rest)
{
  PolFairShare fair = { .remaining = rest, .participants = n };

  for (guint i = 0; i < n; i++)
    fair.remaining += shares[i].class->capacity;
  for (guint i = 0; i < n; i++)
    {
      shares[i].given = MIN (shares[i].class->offered, pol_fair_share_equal (&fair));
      pol_fair_share_meet (&fair, shares[i].given, 1);
    }
  return fair.remaining;
}

/* Removes the first class whose minimum is more than it was given. FALSE: there is none. */
static gboolean
remove_above (ClassShare *shares, guint *n)
{
  for (guint i = 0; i < *n; i++)
    {
      if (shares[i].class->capacity <= shares[i].given)
        continue;
      (*n)--;
      memmove (&shares[i], &shares[i + 1], (*n - i) * sizeof *shares);
      return TRUE;
    }
  return FALSE;
}

/* Divides `rest` among the classes of one rank, max-min fairly with their minimums, and returns
 * what is left. If the first class got all, a surge of short prompts would take the capacity of
 * long ones. */
static guint64
give_rest_to_rank (PolAdmissionClass *classes, guint n, guint64 rest)
{
  ClassShare *shares = g_new (ClassShare, n);
  guint64 left;

  for (guint i = 0; i < n; i++)
    shares[i] = (ClassShare){ .class = &classes[i] };
  qsort (shares, n, sizeof *shares, compare_offered);
  do
    left = divide (shares, n, rest);
  while (remove_above (shares, &n));
  for (guint i = 0; i < n; i++)
    shares[i].class->capacity = shares[i].given;
  g_free (shares);
  return left;
}

static void
give_rest (PolAdmissionClass *classes, guint n_classes, guint64 rest)
{
  guint end;

  for (guint begin = 0; begin < n_classes; begin = end)
    {
      for (end = begin + 1; end < n_classes && classes[end].rank == classes[begin].rank; end++)
        ;
      rest = give_rest_to_rank (&classes[begin], end - begin, rest);
    }
}

/* Sets the class's max-min level; `rows` are its own, in ascending order of load_of_each(). */
static void
set_level (PolAdmissionClass *class, const PolOfferedRow *rows, guint n_rows)
{
  PolFairShare share = { .remaining = class->capacity };

  class->level = POL_NO_LEVEL;
  if (class->capacity >= class->offered)
    return;
  for (guint i = 0; i < n_rows; i++)
    share.participants += MAX (rows[i].n, 1);
  for (guint i = 0; i < n_rows; i++)
    {
      if (!pol_fair_share_meet (&share, load_of_each (&rows[i]), MAX (rows[i].n, 1)))
        break;
    }
  class->level = pol_fair_share_equal (&share);
}

static void
set_levels (PolAdmissionClass *classes, guint n_classes, const PolOfferedRow *rows, guint n_rows)
{
  guint end;

  for (guint i = 0; i < n_classes; i++)
    classes[i].level = POL_NO_LEVEL;
  for (guint begin = 0; begin < n_rows && rows[begin].class < n_classes; begin = end)
    {
      for (end = begin + 1; end < n_rows && rows[end].class == rows[begin].class; end++)
        ;
      set_level (&classes[rows[begin].class], &rows[begin], end - begin);
    }
}

void
pol_admission_plan (guint64 capacity,
                    PolAdmissionClass *classes,
                    guint n_classes,
                    PolOfferedRow *rows,
                    guint n_rows)
{
  guint64 rest;

  for (guint i = 0; i < n_classes; i++)
    classes[i].offered = 0;
  for (guint i = 0; i < n_rows; i++)
    {
      if (rows[i].class < n_classes)
        classes[rows[i].class].offered += rows[i].load;
    }
  if (n_rows > 0)
    qsort (rows, n_rows, sizeof *rows, compare_rows);
  if (sum_of_offered (classes, n_classes) <= capacity)
    {
      for (guint i = 0; i < n_classes; i++)
        {
          classes[i].capacity = classes[i].offered;
          classes[i].level = POL_NO_LEVEL;
        }
      return;
    }
  rest = give_minimums (classes, n_classes, capacity);
  give_rest (classes, n_classes, rest);
  set_levels (classes, n_classes, rows, n_rows);
}

double
pol_admission_fraction (const PolAdmissionClass *self, guint64 load)
{
  if (load <= self->level)
    return 1;
  return (double)self->level / (double)load;
}
