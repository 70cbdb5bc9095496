/** Tests of the division of capacity among classes and workspaces. */

#include "policy/admission.h"
#include "policy/fair_share.h"
#include "suite.h"

#define MAX_CLASSES 4
#define MAX_ROWS    8

/* Class capacities and levels may be rounded down. */
#define ROUNDING 8

typedef struct
{
  const char *name;
  guint64 capacity;
  guint n_classes;
  PolOfferedRow rows[MAX_ROWS];
  guint64 capacities[MAX_CLASSES]; /* expected */
  double fractions[MAX_ROWS];      /* expected, of one workspace of the row */
} Case;

static const Case table[] = {
  { .name = "room for all admits all",
    .capacity = 1000,
    .n_classes = 2,
    .rows = { { 0, 1, 1, 600 }, { 1, 1, 1, 300 }, { 1, 0, 50, 100 } },
    .capacities = { 600, 400 },
    .fractions = { 1, 1, 1 } },
  { .name = "the first class comes first, the second keeps its minimum",
    .capacity = 1000,
    .n_classes = 2,
    .rows = { { 0, 1, 1, 700 }, { 1, 1, 1, 1000 } },
    .capacities = { 700, 300 },
    .fractions = { 1, 0.3 } },
  { .name = "the rest goes on to the next class",
    .capacity = 1000,
    .n_classes = 3,
    .rows = { { 0, 1, 1, 300 }, { 1, 1, 1, 600 }, { 2, 1, 1, 500 } },
    .capacities = { 300, 550, 150 },
    .fractions = { 1, 550.0 / 600, 0.3 } },
  { .name = "minimums above the capacity shrink in proportion",
    .capacity = 300,
    .n_classes = 2,
    .rows = { { 0, 1, 1, 1000 }, { 1, 1, 1, 3000 } },
    .capacities = { 75, 225 },
    .fractions = { 0.075, 0.075 } },
  { .name = "who asks for less than the level gets all",
    .capacity = 1000,
    .n_classes = 1,
    .rows = { { 0, 1, 1, 100 }, { 0, 2, 1, 300 }, { 0, 3, 1, 2000 } },
    .capacities = { 1000 },
    .fractions = { 1, 1, 0.3 } },
  { .name = "35 of 100 requests from one of 24, load 3.5 times the capacity",
    .capacity = 10000,
    .n_classes = 1,
    .rows = { { 0, 1, 1, 12250 }, { 0, 0, 23, 22750 } },
    .capacities = { 10000 },
    .fractions = { 10000.0 / 24 / 12250, 10000.0 / 24 / (22750.0 / 23) } },
  { .name = "the same, where the others ask for less than their share",
    .capacity = 10000,
    .n_classes = 1,
    .rows = { { 0, 1, 1, 30000 }, { 0, 0, 23, 5000 } },
    .capacities = { 10000 },
    .fractions = { 5000.0 / 30000, 1 } },
  { .name = "an unknown class is ignored",
    .capacity = 1000,
    .n_classes = 1,
    .rows = { { 0, 1, 1, 900 }, { 7, 1, 1, 5000 } },
    .capacities = { 900 },
    .fractions = { 1 } },
  { .name = "without capacity nothing is admitted",
    .n_classes = 1,
    .rows = { { 0, 1, 1, 900 } },
    .capacities = { 0 },
    .fractions = { 0 } },
};

static void
run_case (const Case *row)
{
  PolAdmissionClass classes[MAX_CLASSES] = { 0 };
  PolOfferedRow rows[MAX_ROWS];
  guint n_rows = 0;

  for (guint i = 0; i < row->n_classes; i++)
    classes[i] = (PolAdmissionClass){ .min_fraction = 0.3 };
  for (; n_rows < MAX_ROWS && row->rows[n_rows].n > 0; n_rows++)
    rows[n_rows] = row->rows[n_rows];
  pol_admission_plan (row->capacity, classes, row->n_classes, rows, n_rows);
  for (guint i = 0; i < row->n_classes; i++)
    CU_ASSERT (ABS ((gint64)classes[i].capacity - (gint64)row->capacities[i]) <= ROUNDING);
  for (guint i = 0; i < n_rows; i++)
    {
      const PolOfferedRow *offered = &row->rows[i];
      double fraction;

      if (offered->class >= row->n_classes)
        continue;
      fraction = pol_admission_fraction (&classes[offered->class], offered->load / offered->n);
      if (row->fractions[i] == 1)
        CU_ASSERT_EQUAL (fraction, 1)
      else
        CU_ASSERT_DOUBLE_EQUAL (fraction, row->fractions[i], 0.01);
    }
}

/* Guards against a division that starves a class or workspace, or refuses one that asks for less
 * than its share. */
static void
test_capacity_is_divided (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (table); i++)
    run_case (&table[i]);
}

static guint64
admitted_load (const PolAdmissionClass *class, const PolOfferedRow *rows, guint n)
{
  double sum = 0;

  for (guint i = 0; i < n; i++)
    sum += (double)rows[i].load * pol_admission_fraction (class, rows[i].load);
  return (guint64)sum;
}

/* Guards against capacity that is left idle, or is exceeded, when 600 workspaces ask for more. */
static void
test_600_workspaces_use_all_capacity (void)
{
  PolOfferedRow rows[600];
  PolAdmissionClass class = { .min_fraction = 0.3 };
  guint64 capacity = 40000000;
  guint64 admitted;

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    rows[i] = (PolOfferedRow){ .workspace = i + 1, .n = 1, .load = (guint64)i * i * 2 };
  pol_admission_plan (capacity, &class, 1, rows, G_N_ELEMENTS (rows));
  admitted = admitted_load (&class, rows, G_N_ELEMENTS (rows));
  CU_ASSERT (admitted <= capacity + 1000 && admitted >= capacity - 1000);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    CU_ASSERT ((pol_admission_fraction (&class, rows[i].load) == 1)
               == (rows[i].load <= class.level));
}

/* Guards against a class that gets less than its minimum, or a sum above the capacity, at any load
 * of the classes. */
static void
test_classes_keep_their_minimum (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (7);

  for (guint run = 0; run < 1000; run++)
    {
      PolAdmissionClass classes[MAX_CLASSES];
      PolOfferedRow rows[MAX_CLASSES];
      guint64 capacity = (guint64)g_rand_int_range (rand, 1, 1000000);
      guint64 offered = 0;
      guint64 given = 0;
      double scale;

      for (guint i = 0; i < MAX_CLASSES; i++)
        {
          classes[i] = (PolAdmissionClass){ .min_fraction = 0.3 };
          rows[i] = (PolOfferedRow){ i, 1, 1, (guint64)g_rand_int_range (rand, 0, 1000000) };
          offered += rows[i].load;
        }
      pol_admission_plan (capacity, classes, MAX_CLASSES, rows, MAX_CLASSES);
      scale = MIN (1, (double)capacity / (0.3 * (double)MAX (offered, 1)));
      for (guint i = 0; i < MAX_CLASSES; i++)
        {
          given += classes[i].capacity;
          CU_ASSERT ((double)classes[i].capacity + ROUNDING
                     >= 0.3 * scale * (double)classes[i].offered);
        }
      CU_ASSERT (given <= capacity && given + ROUNDING >= MIN (capacity, offered));
    }
}

/* Guards against a division that grants participants more than there is. */
static void
test_fair_share_stops_at_the_equal_share (void)
{
  PolFairShare share = { .remaining = 100, .participants = 4 };

  CU_ASSERT_TRUE (pol_fair_share_meet (&share, 10, 2));
  CU_ASSERT_EQUAL (pol_fair_share_equal (&share), 40);
  CU_ASSERT_FALSE (pol_fair_share_meet (&share, 41, 1));
  CU_ASSERT_TRUE (pol_fair_share_meet (&share, 40, 2));
  CU_ASSERT (share.remaining == 0 && pol_fair_share_equal (&share) == 0);
}

static const SuiteCase cases[] = {
  { "capacity is divided", test_capacity_is_divided },
  { "600 workspaces use all capacity", test_600_workspaces_use_all_capacity },
  { "classes keep their minimum", test_classes_keep_their_minimum },
  { "the fair share stops at the equal share", test_fair_share_stops_at_the_equal_share },
};

SUITE_MAIN ("pol_admission", cases)
