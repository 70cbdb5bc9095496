/** Requests that many instances send to a cold endpoint, each by its own decision. */

#include "policy/cold_start.h"
#include "suite.h"

#define MAX_INSTANCES 985
#define MAX_CELLS     5
#define MAX_EVENTS    8

/* Only the first instances are run: the others come after all senders in their cells. */
#define MAX_RUN 60

#define COLD_TIME (6 * KNL_SEC)
#define WINDOW    KNL_SEC

/* Time of a simulated step; at high rates more than the interval of two requests in one. */
#define STEP      (5 * KNL_MSEC)
#define FINE_STEP (500 * KNL_USEC)

/* Largest rate that the longer step suffices for. */
#define MAX_COARSE_RATE 20

/* A process that has just started isn't a sender for this time. */
#define INTRODUCTION_TIME (1 * KNL_SEC)

/* When instances notice a change, in heartbeats: a loss after three missed ones, counted from the
 * last one received and checked with the next one sent; others with the next one. */
#define MIN_LOSS_HEARTBEATS 2
#define MAX_LOSS_HEARTBEATS 4
#define MAX_GAIN_HEARTBEATS 1

/* The interval of heartbeats grows with the cell. */
#define HEARTBEAT          (400 * KNL_MSEC)
#define HEARTBEAT_PER_PEER (8 * KNL_MSEC)

typedef struct
{
  guint instances;
  guint cells;
  double rate;
  double slack;
  KnlTime heartbeat;
} Setting;

/* The instances from a time on: which are alive, and which of them hear each other. */
typedef struct
{
  KnlTime at;
  gboolean is_loss;
  guint n_late; /* if not 0, that many notice it last, and all others first */
  gboolean dead[MAX_INSTANCES];
  guint side[MAX_INSTANCES];
} Network;

typedef struct
{
  PolColdBucket bucket;
  KnlTime started_at; /* of its process */
  KnlTime noticed_at[MAX_EVENTS];
  guint view; /* index of the network that it sees */
  gboolean is_cold;
  gboolean is_introduced;
} Instance;

typedef struct
{
  Setting setting;
  double bound;
  GRand *rand;
  Network networks[MAX_EVENTS];
  guint n_networks;
  Instance instances[MAX_INSTANCES];
  GArray *sends; /* KnlTime */
} Sim;

static guint
cell_of (const Sim *self, guint i)
{
  return i % self->setting.cells;
}

static KnlTime
heartbeat_of (guint instances, guint cells)
{
  return MAX (HEARTBEAT, instances / cells * HEARTBEAT_PER_PEER);
}

/* All instances have noticed the last event well before the end. */
static KnlTime
duration_of (const Sim *self)
{
  return COLD_TIME + MAX_LOSS_HEARTBEATS * (self->setting.heartbeat - HEARTBEAT);
}

static Network *
add_network (Sim *self, KnlTime at, gboolean is_loss)
{
  Network *network = &self->networks[self->n_networks];

  if (self->n_networks > 0)
    *network = self->networks[self->n_networks - 1];
  network->at = at;
  network->is_loss = is_loss;
  network->n_late = 0;
  self->n_networks++;
  return network;
}

static PolColdShare
share_of (const Sim *self, guint i)
{
  const Network *network = &self->networks[self->instances[i].view];
  PolColdCell cells[MAX_CELLS] = { 0 };
  PolColdView view = { .rate = self->setting.rate,
                       .bound = self->bound,
                       .known = self->setting.instances,
                       .cells = cells,
                       .n_cells = self->setting.cells,
                       .own = cell_of (self, i),
                       .detection_time = MAX_LOSS_HEARTBEATS * self->setting.heartbeat };

  for (guint j = 0; j < self->setting.instances; j++)
    {
      if (j != i && (network->dead[j] || network->side[j] != network->side[i]))
        continue;
      view.heard++;
      cells[cell_of (self, j)].instances++;
      cells[cell_of (self, j)].order = cell_of (self, j);
      view.rank += j < i && cell_of (self, j) == view.own;
    }
  return pol_cold_share (&view);
}

static gboolean
is_introduced (const Instance *instance, KnlTime now)
{
  return now - instance->started_at >= INTRODUCTION_TIME;
}

static void
learn_cold (Sim *self, guint i, KnlTime now)
{
  Instance *instance = &self->instances[i];
  PolColdShare share = { 0 };

  instance->is_cold = TRUE;
  instance->is_introduced = is_introduced (instance, now);
  if (instance->is_introduced)
    share = share_of (self, i);
  pol_cold_bucket_start (&instance->bucket, &share, now);
}

static guint
view_at (const Sim *self, const Instance *instance, KnlTime now)
{
  guint view = 0;

  for (guint k = 1; k < self->n_networks; k++)
    {
      if (now >= instance->noticed_at[k])
        view = k;
    }
  return view;
}

static void
update_view (Sim *self, guint i, KnlTime now)
{
  Instance *instance = &self->instances[i];
  guint view = view_at (self, instance, now);
  gboolean introduced = is_introduced (instance, now);
  PolColdShare share;

  if (view == instance->view && introduced == instance->is_introduced)
    return;
  instance->view = view;
  instance->is_introduced = introduced;
  if (!introduced)
    return;
  share = share_of (self, i);
  pol_cold_bucket_update (&instance->bucket, &share, now);
}

static const Network *
network_at (const Sim *self, KnlTime now)
{
  guint k = self->n_networks - 1;

  while (self->networks[k].at > now)
    k--;
  return &self->networks[k];
}

/* Callers want more from each instance than it may send. */
static void
run_instance (Sim *self, guint i, KnlTime now)
{
  Instance *instance = &self->instances[i];

  if (network_at (self, now)->dead[i])
    {
      instance->is_cold = FALSE;
      instance->started_at = now;
      return;
    }
  update_view (self, i, now);
  if (!instance->is_cold)
    learn_cold (self, i, now);
  while (pol_cold_bucket_wait (&instance->bucket, now) == 0)
    {
      pol_cold_bucket_charge (&instance->bucket, 1);
      g_array_append_val (self->sends, now);
    }
}

static void
prepare_instance (Sim *self, guint i)
{
  Instance *instance = &self->instances[i];

  *instance = (Instance){ .started_at = -duration_of (self) };
  for (guint k = 1; k < self->n_networks; k++)
    {
      const Network *network = &self->networks[k];
      KnlTime from = network->is_loss ? MIN_LOSS_HEARTBEATS * self->setting.heartbeat : 0;
      KnlTime until =
          (network->is_loss ? MAX_LOSS_HEARTBEATS : MAX_GAIN_HEARTBEATS) * self->setting.heartbeat;

      instance->noticed_at[k] =
          network->at + g_rand_int_range (self->rand, (gint32)from, (gint32)until);
      if (network->n_late > 0)
        instance->noticed_at[k] = network->at + (i < network->n_late ? until : from);
    }
}

static void
run (Sim *self)
{
  KnlTime step = self->setting.rate > MAX_COARSE_RATE ? FINE_STEP : STEP;
  KnlTime duration = duration_of (self);
  guint n = MIN (self->setting.instances, MAX_RUN);

  for (guint i = 0; i < n; i++)
    prepare_instance (self, i);
  for (KnlTime now = 0; now < duration; now += step)
    for (guint i = 0; i < n; i++)
      run_instance (self, i, now);
}

static guint
max_in_window (const Sim *self)
{
  guint max_count = 0;
  guint first = 0;

  for (guint i = 0; i < self->sends->len; i++)
    {
      while (g_array_index (self->sends, KnlTime, i) - g_array_index (self->sends, KnlTime, first)
             >= WINDOW)
        first++;
      max_count = MAX (max_count, i + 1 - first);
    }
  return max_count;
}

typedef void (*PlanFunc) (Sim *sim);

static void
check_setting (const Setting *setting, PlanFunc plan, gboolean uses_all)
{
  g_autofree Sim *sim = g_new0 (Sim, 1);
  guint count;

  sim->setting = *setting;
  sim->bound = 1.5 * setting->rate + setting->slack;
  sim->rand = g_rand_new_with_seed (7);
  sim->sends = g_array_new (FALSE, FALSE, sizeof (KnlTime));
  add_network (sim, -KNL_NEVER, FALSE);
  plan (sim);
  run (sim);
  count = max_in_window (sim);
  /* One request must be allowed, even where the rate is below one a second. */
  if (count > MAX (sim->bound, 1))
    g_printerr ("%u instances, %u cells, rate %g, slack %g, heartbeat %" G_GINT64_FORMAT
                " us: %u in a second\n",
                setting->instances, setting->cells, setting->rate, setting->slack,
                setting->heartbeat, count);
  CU_ASSERT (count <= MAX (sim->bound, 1));
  if (uses_all)
    CU_ASSERT (sim->sends->len >= 0.9 * setting->rate * duration_of (sim) / KNL_SEC);
  g_array_unref (sim->sends);
  g_rand_free (sim->rand);
}

/* With the shortest heartbeats, and with those of cells of that size, except at rates that take
 * long to simulate. */
static void
check_heartbeats (const Setting *setting, PlanFunc plan, gboolean uses_all)
{
  Setting slow = *setting;

  check_setting (setting, plan, uses_all);
  slow.heartbeat = heartbeat_of (setting->instances, setting->cells);
  if (slow.heartbeat > setting->heartbeat && setting->rate <= MAX_COARSE_RATE)
    check_setting (&slow, plan, uses_all);
}

static void
check (PlanFunc plan, gboolean uses_all)
{
  static const guint instances[] = { 1, 6, 84, 328, 985 };
  static const double rates[] = { 0.2, 1, 2, 17, 100 };
  static const double slacks[] = { 0, 5 };

  for (guint i = 0; i < G_N_ELEMENTS (instances); i++)
    for (guint cells = 1; cells <= MIN (instances[i], MAX_CELLS); cells++)
      for (guint r = 0; r < G_N_ELEMENTS (rates); r++)
        for (guint s = 0; s < G_N_ELEMENTS (slacks); s++)
          check_heartbeats (&(Setting){ instances[i], cells, rates[r], slacks[s], HEARTBEAT }, plan,
                            uses_all);
}

static void
plan_nothing (Sim *sim)
{
}

/* Guards against instances that all send at once to an endpoint that has become cold, and against
 * senders that use only a part of what it takes. */
static void
test_equal_knowledge (void)
{
  check (plan_nothing, TRUE);
}

/* Cells are cut off from each other, or, if `n_sides` isn't 0, each is cut through into that many
 * sides. */
static void
cut (Sim *sim, guint n_sides)
{
  Network *network = add_network (sim, 500 * KNL_MSEC, TRUE);

  for (guint i = 0; i < sim->setting.instances; i++)
    network->side[i] = n_sides > 0 ? i / sim->setting.cells % n_sides : cell_of (sim, i);
  network = add_network (sim, 3500 * KNL_MSEC, FALSE);
  for (guint i = 0; i < sim->setting.instances; i++)
    network->side[i] = 0;
}

static void
plan_partition (Sim *sim)
{
  cut (sim, 0);
}

static void
plan_old_partition (Sim *sim)
{
  plan_partition (sim);
  sim->networks[1].at = -10 * KNL_SEC - MAX_LOSS_HEARTBEATS * sim->setting.heartbeat;
}

/* Guards against cells that are cut off from each other and each send the whole rate. */
static void
test_partition_into_cells (void)
{
  check (plan_partition, FALSE);
  check (plan_old_partition, FALSE);
}

static void
plan_halves (Sim *sim)
{
  cut (sim, 2);
}

static void
plan_thirds (Sim *sim)
{
  cut (sim, 3);
}

static void
plan_old_halves (Sim *sim)
{
  cut (sim, 2);
  sim->networks[1].at = -10 * KNL_SEC - MAX_LOSS_HEARTBEATS * sim->setting.heartbeat;
}

/* Guards against sides of a partition through all cells that together send more than the bound. */
static void
test_partition_through_cells (void)
{
  check (plan_halves, FALSE);
  check (plan_thirds, FALSE);
  check (plan_old_halves, FALSE);
}

/* The first of each cell are its senders. */
static void
isolate (Sim *sim, guint n)
{
  Network *network = add_network (sim, 500 * KNL_MSEC, TRUE);

  for (guint i = 0; i < MIN (sim->setting.instances, n); i++)
    network->side[i] = i + 1;
}

static void
plan_isolated (Sim *sim)
{
  isolate (sim, 10);
}

static void
plan_all_senders_isolated (Sim *sim)
{
  isolate (sim, 30);
  sim->networks[1].n_late = 30;
}

static void
plan_old_isolation (Sim *sim)
{
  plan_isolated (sim);
  sim->networks[1].at = -10 * KNL_SEC - MAX_LOSS_HEARTBEATS * sim->setting.heartbeat;
}

/* Guards against isolated instances that each take themselves for the only sender. */
static void
test_isolated_instances (void)
{
  check (plan_isolated, FALSE);
  check (plan_old_isolation, FALSE);
}

/* Guards against other senders that begin at once while the isolated ones have not noticed. */
static void
test_all_senders_isolated (void)
{
  check (plan_all_senders_isolated, FALSE);
}

static void
plan_restarts (Sim *sim)
{
  for (guint k = 0; k < 3; k++)
    {
      KnlTime at = (KnlTime)(300 + 1500 * k) * KNL_MSEC;
      Network *network = add_network (sim, at, TRUE);

      for (guint i = 0; i < MIN (sim->setting.instances, 3 + 4 * k); i++)
        network->dead[i] = TRUE;
      network = add_network (sim, at + 200 * KNL_MSEC, FALSE);
      for (guint i = 0; i < sim->setting.instances; i++)
        network->dead[i] = FALSE;
    }
}

/* Guards against senders that start again with a token that they have sent already. */
static void
test_restarts_of_senders (void)
{
  check (plan_restarts, FALSE);
}

static void
plan_changes (Sim *sim)
{
  for (guint k = 0; k < MAX_EVENTS - 1; k++)
    {
      Network *network = add_network (sim, (KnlTime)(200 + 700 * k) * KNL_MSEC, k % 3 != 2);

      for (guint i = 0; i < sim->setting.instances; i++)
        network->dead[i] = cell_of (sim, i) == 0 && i > 0 && (i + k) % 3 == 0;
    }
}

/* Guards against senders of a changing cell that replace each other and all send within a second.
 */
static void
test_changing_cell (void)
{
  check (plan_changes, FALSE);
}

static const SuiteCase cases[] = {
  { "equal knowledge", test_equal_knowledge },
  { "partition into cells", test_partition_into_cells },
  { "partition through cells", test_partition_through_cells },
  { "isolated instances", test_isolated_instances },
  { "all senders are isolated", test_all_senders_isolated },
  { "restarts of senders", test_restarts_of_senders },
  { "a changing cell", test_changing_cell },
};

SUITE_MAIN ("pol_cold", cases)
