/** Tests of the sums of offered load, from own counts and from reports of other instances. */

#include "kernel/paused.h"
#include "serve/engine_model.h"
#include "serve/offered.h"
#include "suite.h"

#define SERVICE 7

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  SvOffered *offered;
} Fixture;

static void
fixture_open (Fixture *self)
{
  self->clock = knl_paused_clock_new ();
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 1);
  knl_paused_clock_advance (self->clock, 10 * KNL_SEC);
  self->offered = sv_offered_new (self->kernel);
}

static void
fixture_close (Fixture *self)
{
  sv_offered_free (self->offered);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
}

static void
report (Fixture *self, guint32 source, guint64 load, KnlTime age)
{
  SvOfferedSource from = { .id = source, .instances = 1 };
  SvOfferedReport message = {
    .service = SERVICE, .age = age, .n_rows = 1, .rows = { { 0, 5, 1, load } }
  };

  sv_offered_note_report (self->offered, &from, &message);
}

static void
report_cell (Fixture *self, guint32 source, guint instances, guint64 load)
{
  SvOfferedSource from = { .id = source, .is_cell = TRUE, .instances = instances };
  SvOfferedReport message = { .service = SERVICE, .n_rows = 1, .rows = { { 0, 5, 1, load } } };

  sv_offered_note_report (self->offered, &from, &message);
}

static guint64
sum_of_rows (const PolOfferedRow *rows, guint n)
{
  guint64 sum = 0;

  for (guint i = 0; i < n; i++)
    sum += rows[i].load;
  return sum;
}

/* The sum of what `known` instances offer; sets `heard` to how many of them are known of. */
static guint64
total (Fixture *self, guint known, guint *heard)
{
  SvOfferedTotals totals = sv_offered_totals (self->offered, SERVICE, known);
  guint64 sum = sum_of_rows ((const PolOfferedRow *)(gpointer)totals.rows->data, totals.rows->len);

  if (heard != NULL)
    *heard = totals.heard;
  sv_offered_totals_clear (&totals);
  return sum;
}

/* Guards against own load that is counted for longer or shorter than a second. */
static void
test_own_load_is_of_one_second (void)
{
  Fixture self;

  fixture_open (&self);
  for (guint i = 0; i < 300; i++)
    {
      sv_offered_note_request (self.offered, SERVICE, 0, 5, 1000);
      knl_paused_clock_advance (self.clock, 10 * KNL_MSEC);
    }
  CU_ASSERT_DOUBLE_EQUAL ((double)total (&self, 1, NULL), 100 * 1000, 2000);
  knl_paused_clock_advance (self.clock, 500 * KNL_MSEC);
  CU_ASSERT_DOUBLE_EQUAL ((double)total (&self, 1, NULL), 50 * 1000, 2000);
  knl_paused_clock_advance (self.clock, 600 * KNL_MSEC);
  CU_ASSERT_EQUAL (total (&self, 1, NULL), 0);
  /* A slot that is used again must not keep what it counted before. */
  knl_paused_clock_advance (self.clock, 50 * KNL_SEC);
  sv_offered_note_request (self.offered, SERVICE, 0, 5, 1000);
  CU_ASSERT_EQUAL (total (&self, 1, NULL), 1000);
  fixture_close (&self);
}

/* Guards against sums that repeated, late or lost reports, or a restarted peer, make wrong. */
static void
test_reports_replace_each_other (void)
{
  Fixture self;
  guint heard;

  fixture_open (&self);
  sv_offered_note_request (self.offered, SERVICE, 0, 5, 1000);
  report (&self, 1, 2000, 0);
  report (&self, 1, 2000, 0);
  report (&self, 2, 4000, 0);
  CU_ASSERT (total (&self, 3, &heard) == 7000 && heard == 3);
  /* One that was under way for long doesn't replace a newer one. */
  knl_paused_clock_advance (self.clock, 200 * KNL_MSEC);
  report (&self, 1, 9000, 300 * KNL_MSEC);
  CU_ASSERT_EQUAL (total (&self, 3, NULL), 7000);
  /* A restarted peer has the same id, and reports what it has received since. */
  report (&self, 1, 0, 0);
  CU_ASSERT_EQUAL (total (&self, 3, NULL), 5000);
  /* Reports of peer 2 are lost: what it said counts for two seconds. */
  knl_paused_clock_advance (self.clock, 1700 * KNL_MSEC);
  sv_offered_note_request (self.offered, SERVICE, 0, 5, 1000);
  report (&self, 1, 2000, 0);
  CU_ASSERT (total (&self, 3, &heard) == 7000 && heard == 3);
  knl_paused_clock_advance (self.clock, 200 * KNL_MSEC);
  CU_ASSERT (total (&self, 3, &heard) == 3000 * 3 / 2 && heard == 2);
  fixture_close (&self);
}

/* Guards against instances that are cut off, and each take all capacity for their own callers. */
static void
test_heard_instances_stand_for_all (void)
{
  Fixture self;
  guint heard;

  fixture_open (&self);
  sv_offered_note_request (self.offered, SERVICE, 0, 5, 1000);
  CU_ASSERT (total (&self, 84, &heard) == 84000 && heard == 1);
  report_cell (&self, 9, 28, 28000);
  report (&self, 1, 1000, 0);
  CU_ASSERT (total (&self, 60, &heard) == 60000 && heard == 30);
  /* A peer and a cell with the same id are two sources. */
  report (&self, 9, 1000, 0);
  CU_ASSERT (total (&self, 31, &heard) == 31000 && heard == 31);
  fixture_close (&self);
}

/* Guards against a false report that makes sums unbounded, or a number of instances that overflows
 * and leads to a division by zero. */
static void
test_false_reports_are_bounded (void)
{
  Fixture self;
  SvOfferedSource from = { .id = 3, .instances = 1 };
  SvOfferedReport message = { .service = SERVICE,
                              .n_rows = 3,
                              .rows = { { 0, 5, 1, G_MAXUINT64 },
                                        { SV_OFFERED_CLASSES, 5, 1, 1000 },
                                        { 1, 0, G_MAXUINT32, G_MAXUINT64 } } };

  fixture_open (&self);
  sv_offered_note_report (self.offered, &from, &message);
  CU_ASSERT_EQUAL (total (&self, 2, NULL), (guint64)1000 * KNL_SEC);
  report_cell (&self, 4, G_MAXUINT32, 1000);
  CU_ASSERT_EQUAL (total (&self, 2, NULL), (guint64)1000 * KNL_SEC + 1000);
  fixture_close (&self);
}

static const PolOfferedRow *
find_row (const SvOfferedReport *message, guint class, guint32 workspace)
{
  for (guint i = 0; i < message->n_rows; i++)
    {
      if (message->rows[i].class == class && message->rows[i].workspace == workspace)
        return &message->rows[i];
    }
  return NULL;
}

/* Guards against a large workspace that isn't named because 600 others or longer prompts are, and
 * against load that reports leave out. */
static void
test_600_workspaces_fit_into_a_report (void)
{
  static const guint short_class = 0;
  static const guint long_class = 2;
  SvOfferedReport own;
  SvOfferedReport cell;
  const PolOfferedRow *others;
  Fixture self;

  fixture_open (&self);
  for (guint32 i = 1; i <= 600; i++)
    {
      sv_offered_note_request (self.offered, SERVICE, short_class, i, i == 300 ? 200000 : 1000);
      if (i <= 24)
        sv_offered_note_request (self.offered, SERVICE, long_class, i, 3000000);
    }
  sv_offered_report_own (self.offered, SERVICE, &own);
  CU_ASSERT_EQUAL (own.n_rows, SV_OFFERED_OWN_ROWS + 2);
  CU_ASSERT_EQUAL (sum_of_rows (own.rows, own.n_rows), 799000 + 72000000);
  CU_ASSERT_PTR_NOT_NULL (find_row (&own, short_class, 300));
  others = find_row (&own, short_class, 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (others);
  CU_ASSERT_EQUAL (others->load / others->n, 1000);
  report (&self, 1, 5000, 0);
  sv_offered_report_cell (self.offered, SERVICE, 2, &cell);
  CU_ASSERT (cell.n_rows <= SV_OFFERED_CELL_ROWS + 2);
  CU_ASSERT_EQUAL (sum_of_rows (cell.rows, cell.n_rows), 804000 + 72000000);
  CU_ASSERT_PTR_NOT_NULL (find_row (&cell, short_class, 300));
  fixture_close (&self);
}

/* Guards against state that grows with every workspace name that callers use. */
static void
test_state_is_bounded (void)
{
  SvOfferedReport report_of_all;
  Fixture self;
  guint n = 0;

  fixture_open (&self);
  for (guint32 i = 1; i <= 5000; i++)
    sv_offered_note_request (self.offered, SERVICE, 0, i, 1000);
  CU_ASSERT_EQUAL (total (&self, 1, NULL), 5000000);
  sv_offered_report_own (self.offered, SERVICE, &report_of_all);
  for (guint i = 0; i < report_of_all.n_rows; i++)
    n += report_of_all.rows[i].n;
  CU_ASSERT (n > 600 && n < 1100);
  knl_paused_clock_advance (self.clock, 2 * KNL_SEC);
  for (guint32 i = 10001; i <= 10010; i++)
    sv_offered_note_request (self.offered, SERVICE, 0, i, 1000);
  CU_ASSERT_EQUAL (total (&self, 1, NULL), 10000);
  fixture_close (&self);
}

static void
count_call (gpointer data)
{
  (*(guint *)data)++;
}

/* Guards against reports that are sent although nothing has been saturated for a while. */
static void
test_reports_end_after_saturation (void)
{
  Fixture self;
  guint calls = 0;

  fixture_open (&self);
  sv_offered_on_saturated (self.offered, count_call, &calls);
  for (guint i = 0; i < 60; i++)
    {
      g_autoptr (GArray) services = NULL;

      if (i >= 5 && i < 10)
        sv_offered_note_saturated (self.offered, SERVICE);
      services = sv_offered_reported_services (self.offered);
      CU_ASSERT_EQUAL (services->len, i >= 5 && i < 59);
      knl_paused_clock_advance (self.clock, 100 * KNL_MSEC);
    }
  CU_ASSERT_EQUAL (calls, 1);
  fixture_close (&self);
}

/* Guards against classes whose order puts less urgent requests first, or longer ones. */
static void
test_classes_are_in_order (void)
{
  static const SvOfferedClass order[] = {
    { 0, SV_PREFILL_SHORT }, { 0, SV_PREFILL_MEDIUM }, { 0, SV_PREFILL_LONG },
    { 1, SV_PREFILL_SHORT }, { 3, SV_PREFILL_LONG },   { 99, SV_PREFILL_SHORT },
    { 99, SV_PREFILL_LONG },
  };
  guint last = sv_offered_class_index (&order[G_N_ELEMENTS (order) - 1]);
  g_autofree char *name = sv_offered_class_name (last);

  for (guint i = 1; i < G_N_ELEMENTS (order); i++)
    CU_ASSERT (sv_offered_class_index (&order[i - 1]) < sv_offered_class_index (&order[i]));
  CU_ASSERT_EQUAL (last, SV_OFFERED_CLASSES - 1);
  CU_ASSERT_STRING_EQUAL (name, "priority-4-long");
  CU_ASSERT (sv_offered_workspace_id (NULL) != 0);
}

/* Guards against a cost that leaves out the prefill, the passes, or the slots that share them. */
static void
test_cost_of_a_request (void)
{
  static const SvEngineSpec spec = {
    .slots = 4, .stride = 50, .step_ms = 1, .stream_step_ms = 0.1, .prefill_tokens_per_ms = 100
  };

  /* 100 ms of prefill, and 2 passes of 50 steps of 1.4 ms that 4 streams share. */
  CU_ASSERT_DOUBLE_EQUAL (sv_model_request_ms (&spec, 10000, 100), 100 + 2 * 70.0 / 4, 0.001);
  CU_ASSERT_DOUBLE_EQUAL (sv_model_request_ms (&spec, 0, 0), 0, 0.001);
}

static const SuiteCase cases[] = {
  { "own load is of one second", test_own_load_is_of_one_second },
  { "reports replace each other", test_reports_replace_each_other },
  { "heard instances stand for all", test_heard_instances_stand_for_all },
  { "false reports are bounded", test_false_reports_are_bounded },
  { "600 workspaces fit into a report", test_600_workspaces_fit_into_a_report },
  { "state is bounded", test_state_is_bounded },
  { "reports end after saturation", test_reports_end_after_saturation },
  { "classes are in order", test_classes_are_in_order },
  { "the cost of a request", test_cost_of_a_request },
};

SUITE_MAIN ("sv_offered", cases)
