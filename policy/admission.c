#include "policy/admission.h"

#include <stdlib.h>

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

/* Gives the classes the rest of the capacity, in their order. */
static void
give_rest (PolAdmissionClass *classes, guint n_classes, guint64 rest)
{
  for (guint i = 0; i < n_classes; i++)
    {
      guint64 more = MIN (classes[i].offered - classes[i].capacity, rest);

      classes[i].capacity += more;
      rest -= more;
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
