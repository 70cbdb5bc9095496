/** Tests of requests that wait for room at an instance: their order, when they are looked at, when
 * room is expected, and what callers get in a burst that makes them come back. */

#include "kernel/paused.h"
#include "serve/queue.h"
#include "suite.h"

#define WORK (100 * KNL_MSEC)

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  SvQueue *queue;
  guint free;    /* room */
  GArray *sent;  /* guint, their numbers */
  guint n_tries; /* that might have sent */
} Fixture;

/* A waiter that takes one unit of room and isn't refused. */
typedef struct
{
  SvWaiter waiter;
  Fixture *fixture;
  guint number;
  guint needs; /* units of room */
} Request;

static gboolean
on_turn (SvWaiter *waiter, KnlTime ahead, gboolean may_send)
{
  Request *self = waiter->request;
  Fixture *fixture = self->fixture;

  fixture->n_tries += may_send;
  if (!may_send || fixture->free < self->needs)
    return TRUE;
  fixture->free -= self->needs;
  g_array_append_val (fixture->sent, self->number);
  sv_queue_note_sent (fixture->queue, waiter);
  sv_queue_remove (fixture->queue, waiter);
  return FALSE;
}

static void
fixture_open (Fixture *self)
{
  static const SvCapacity capacity = { .engines = { 2, 2 }, .turnover = KNL_SEC };

  *self = (Fixture){ .clock = knl_paused_clock_new (),
                     .sent = g_array_new (FALSE, FALSE, sizeof (guint)) };
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 1);
  self->queue = sv_queue_new (self->kernel, on_turn);
  sv_queue_set_capacity (self->queue, &capacity);
}

static void
fixture_close (Fixture *self)
{
  sv_queue_free (self->queue);
  g_array_unref (self->sent);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
}

static void
push (Fixture *self, Request *request, guint number, SvLane lane, guint rank, KnlTime latest)
{
  *request = (Request){ .fixture = self, .number = number, .needs = 1 };
  request->waiter = (SvWaiter){
    .key = { .rank = rank, .latest = latest, .number = sv_queue_next_number (self->queue) },
    .lane = lane,
    .work = WORK,
    .request = request,
  };
  sv_queue_push (self->queue, &request->waiter);
}

/* Guards against an order of arrival in place of rank and time left, and against room that is left
 * free while requests wait. */
static void
test_order (void)
{
  static const guint expected[] = { 3, 1, 2, 0, 4 };
  Request requests[5];
  Fixture self;

  fixture_open (&self);
  push (&self, &requests[0], 0, SV_LANE_SHORT, 1, 1 * KNL_SEC);
  push (&self, &requests[1], 1, SV_LANE_SHORT, 0, 3 * KNL_SEC);
  push (&self, &requests[2], 2, SV_LANE_SHORT, 0, 4 * KNL_SEC);
  push (&self, &requests[3], 3, SV_LANE_SHORT, 0, 2 * KNL_SEC);
  push (&self, &requests[4], 4, SV_LANE_SHORT, 1, 1 * KNL_SEC);
  knl_paused_clock_advance (self.clock, KNL_SEC);
  CU_ASSERT_EQUAL (self.sent->len, 0);
  for (guint i = 0; i < G_N_ELEMENTS (expected); i++)
    {
      self.free = 1;
      knl_paused_clock_advance (self.clock, 20 * KNL_MSEC);
      CU_ASSERT_EQUAL_FATAL (self.sent->len, i + 1);
      CU_ASSERT_EQUAL (g_array_index (self.sent, guint, i), expected[i]);
    }
  CU_ASSERT_EQUAL (sv_queue_length (self.queue, SV_LANE_SHORT), 0);
  fixture_close (&self);
}

/* Guards against short requests that wait for a long one before them, and long ones that need
 * little for one that needs more. */
static void
test_one_without_room_blocks_no_other_kind (void)
{
  Request requests[4];
  Fixture self;

  fixture_open (&self);
  push (&self, &requests[0], 0, SV_LANE_LONG, 0, 1 * KNL_SEC);
  push (&self, &requests[1], 1, SV_LANE_LONG, 0, 2 * KNL_SEC);
  push (&self, &requests[2], 2, SV_LANE_SHORT, 1, 5 * KNL_SEC);
  requests[0].needs = 3;
  self.free = 2;
  knl_paused_clock_advance (self.clock, SV_LONG_LOOK_MAX);
  CU_ASSERT_EQUAL (self.sent->len, 2);
  CU_ASSERT_EQUAL (sv_queue_length (self.queue, SV_LANE_LONG), 1);
  sv_queue_remove (self.queue, &requests[0].waiter);
  sv_queue_remove (self.queue, &requests[0].waiter);
  fixture_close (&self);
}

/* Guards against a slot that other instances take, as nobody here looks when it has just been left,
 * and against long prompts of several instances that look for the same room at the same moment. */
static void
test_slots_that_are_left_are_used_at_once (void)
{
  Request requests[2];
  Fixture self;

  fixture_open (&self);
  push (&self, &requests[0], 0, SV_LANE_SHORT, 0, KNL_SEC);
  push (&self, &requests[1], 1, SV_LANE_LONG, 0, KNL_SEC);
  self.free = 2;
  sv_queue_wake (self.queue);
  CU_ASSERT_EQUAL (self.sent->len, 0);
  knl_paused_clock_advance (self.clock, 1);
  CU_ASSERT_EQUAL (self.sent->len, 1);
  sv_queue_wake (self.queue);
  fixture_close (&self);
}

/* Guards against a long queue whose requests all look for room each time, which takes the process's
 * time. */
static void
test_looks_are_bounded (void)
{
  static Request requests[100];
  Fixture self;

  fixture_open (&self);
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++)
    push (&self, &requests[i], i, SV_LANE_SHORT, 0, KNL_SEC);
  sv_queue_look (self.queue, SV_LANE_SHORT);
  CU_ASSERT_EQUAL (self.n_tries, 1);
  self.free = 10;
  sv_queue_look (self.queue, SV_LANE_SHORT);
  CU_ASSERT_EQUAL (self.n_tries, 1 + 10 + 1);
  CU_ASSERT_EQUAL (self.sent->len, 10);
  fixture_close (&self);
}

/* Guards against expectations that ignore what the lane gets: they follow the declared figures at
 * first, and then what was measured. */
static void
test_room_is_expected_by_the_rate (void)
{
  static const SvWaiter waiters[] = { { .lane = SV_LANE_SHORT }, { .lane = SV_LANE_LONG } };
  Request requests[2];
  Fixture self;

  fixture_open (&self);
  CU_ASSERT_EQUAL (sv_queue_time_for (self.queue, &waiters[SV_LANE_SHORT], WORK), WORK / 2);
  push (&self, &requests[0], 0, SV_LANE_SHORT, 0, KNL_SEC);
  knl_paused_clock_advance (self.clock, 20 * KNL_SEC);
  CU_ASSERT (sv_queue_time_for (self.queue, &waiters[SV_LANE_SHORT], WORK) > 2 * WORK);
  CU_ASSERT_EQUAL (sv_queue_time_for (self.queue, &waiters[SV_LANE_LONG], WORK), WORK / 2);
  for (guint i = 0; i < 200; i++)
    {
      push (&self, &requests[1], 1, SV_LANE_SHORT, 0, KNL_SEC);
      self.free = 1;
      knl_paused_clock_advance (self.clock, 20 * KNL_MSEC);
    }
  CU_ASSERT (sv_queue_time_for (self.queue, &waiters[SV_LANE_SHORT], WORK) < WORK);
  fixture_close (&self);
}

/* Guards against low ranks that wait in vain for room which goes to higher ranks that come later.
 */
static void
test_higher_ranks_to_come_are_expected (void)
{
  SvWaiter first = { .lane = SV_LANE_SHORT, .work = WORK };
  SvWaiter second = { .key = { .rank = 1 }, .lane = SV_LANE_SHORT, .work = WORK };
  Fixture self;

  fixture_open (&self);
  /* Half of the two engines' time. */
  for (guint i = 0; i < 200; i++)
    {
      sv_queue_note_arrival (self.queue, &first);
      knl_paused_clock_advance (self.clock, WORK);
    }
  CU_ASSERT_EQUAL (sv_queue_time_for (self.queue, &first, WORK), WORK / 2);
  CU_ASSERT_DOUBLE_EQUAL ((double)sv_queue_time_for (self.queue, &second, WORK), WORK, 0.1 * WORK);
  fixture_close (&self);
}

/* Guards against callers that are all told to come back at the same time, or before those that wait
 * have been served. */
static void
test_callers_return_one_after_the_other (void)
{
  Request waiting[3];
  Request refused = { .waiter = { .lane = SV_LANE_SHORT, .work = WORK } };
  Fixture self;

  fixture_open (&self);
  for (guint i = 0; i < G_N_ELEMENTS (waiting); i++)
    push (&self, &waiting[i], i, SV_LANE_SHORT, 0, KNL_SEC);
  for (guint i = 1; i <= 4; i++)
    CU_ASSERT_EQUAL (sv_queue_return_time (self.queue, &refused.waiter, KNL_SEC),
                     (G_N_ELEMENTS (waiting) + i) * WORK / 2);
  /* One that comes back sooner keeps no place. */
  CU_ASSERT_EQUAL (sv_queue_return_time (self.queue, &refused.waiter, WORK), WORK);
  CU_ASSERT_EQUAL (sv_queue_return_time (self.queue, &refused.waiter, KNL_SEC),
                   (G_N_ELEMENTS (waiting) + 5) * WORK / 2);
  fixture_close (&self);
}

/* A burst at two instances before three endpoints of four slots. */
#define GATEWAYS    2
#define SLOTS       12
#define SERVICE     (500 * KNL_MSEC)
#define FIRST       (60 * KNL_MSEC)
#define TIME        (5 * KNL_SEC)
#define BURST       (12 * KNL_SEC)
#define MAX_TRIES   8
#define ROOM_PER_S  24.0
#define MAX_CALLERS 800

typedef struct Burst Burst;

typedef struct
{
  Burst *burst;
  SvWaiter waiter;
  guint gateway;
  guint rank;
  KnlTime arrived_at;
  guint tries;
  gboolean is_running;
  gboolean is_served;
} Caller;

struct Burst
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  SvQueue *queues[GATEWAYS];
  Caller callers[MAX_CALLERS];
  guint n_callers;
  guint calls;
  guint n_samples; /* of the burst */
  guint n_idle;    /* slots that were free beside callers, in all of them */
};

static void try_once (gpointer data);

static void
on_served (gpointer data)
{
  Caller *self = data;

  self->burst->calls--;
  self->is_running = FALSE;
  self->is_served = TRUE;
}

static KnlTime
time_left (const Caller *self)
{
  return self->arrived_at + TIME - knl_kernel_now (self->burst->kernel);
}

/* Callers follow Retry-After up to a third of their time. */
static void
come_back (Caller *self)
{
  SvQueue *queue = self->burst->queues[self->gateway];
  KnlTime after = sv_queue_return_time (queue, &self->waiter, time_left (self) / 3);

  if (self->tries < MAX_TRIES && time_left (self) > 0)
    knl_timer_start (self->burst->kernel, after + 1, try_once, self);
}

/* Returns whether it waits. */
static gboolean
decide (Caller *self, KnlTime ahead, gboolean may_send)
{
  Burst *burst = self->burst;
  SvQueue *queue = burst->queues[self->gateway];
  gboolean has_slot = burst->calls < SLOTS;
  PolWaitCase due = {
    .event_left = time_left (self),
    .left = time_left (self),
    .first = FIRST,
    .rest = SERVICE - FIRST,
    .has_room = may_send && has_slot,
    .room_in = sv_queue_time_for (queue, &self->waiter, ahead + self->waiter.work),
  };
  PolWait decision = pol_wait_decide (&due);

  if (decision == POL_WAIT_STAY)
    return TRUE;
  if (decision == POL_WAIT_SEND)
    sv_queue_note_sent (queue, &self->waiter);
  sv_queue_remove (queue, &self->waiter);
  if (decision != POL_WAIT_SEND)
    {
      come_back (self);
      return FALSE;
    }
  burst->calls++;
  self->is_running = TRUE;
  knl_timer_start (burst->kernel, SERVICE, on_served, self);
  return FALSE;
}

static gboolean
on_caller_turn (SvWaiter *waiter, KnlTime ahead, gboolean may_send)
{
  return decide (waiter->request, ahead, may_send);
}

static void
try_once (gpointer data)
{
  Caller *self = data;
  Burst *burst = self->burst;
  KnlTime now = knl_kernel_now (burst->kernel);
  SvQueue *queue;

  self->gateway = (guint)g_rand_int_range (knl_kernel_rand (burst->kernel), 0, GATEWAYS);
  self->tries++;
  queue = burst->queues[self->gateway];
  self->waiter = (SvWaiter){
    .key = { .rank = self->rank,
             .latest = now + time_left (self) - SERVICE - FIRST,
             .number = sv_queue_next_number (queue) },
    .work = SERVICE * 3 / SLOTS,
    .request = self,
  };
  sv_queue_note_arrival (queue, &self->waiter);
  if (!sv_queue_has_before (queue, SV_LANE_SHORT, &self->waiter.key) && !decide (self, 0, TRUE))
    return;
  sv_queue_push (queue, &self->waiter);
  sv_queue_look (queue, SV_LANE_SHORT);
}

static gboolean
could_be_served (const Caller *self)
{
  return !self->is_served && !self->is_running && time_left (self) >= SERVICE;
}

/* Slots that are free although a caller could be served, be it one that was told to come back. */
static guint
count_idle_slots (const Burst *self)
{
  for (guint i = 0; i < self->n_callers; i++)
    {
      if (could_be_served (&self->callers[i]))
        return SLOTS - self->calls;
    }
  return 0;
}

static void
play_burst (Burst *self, double load)
{
  static const SvCapacity capacity = { .engines = { 3.0 / GATEWAYS }, .turnover = SERVICE };
  KnlTime step = (KnlTime)(KNL_SEC / (load * ROOM_PER_S));

  *self = (Burst){ .clock = knl_paused_clock_new () };
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 7);
  for (guint i = 0; i < GATEWAYS; i++)
    {
      self->queues[i] = sv_queue_new (self->kernel, on_caller_turn);
      sv_queue_set_capacity (self->queues[i], &capacity);
    }
  for (KnlTime time = 0; time < BURST && self->n_callers < MAX_CALLERS; time += step)
    {
      Caller *caller = &self->callers[self->n_callers];

      *caller = (Caller){ .burst = self,
                          .rank = self->n_callers++ % 2 == 0 ? 0 : 3,
                          .arrived_at = knl_kernel_now (self->kernel) };
      try_once (caller);
      knl_paused_clock_advance (self->clock, step);
      self->n_samples++;
      self->n_idle += count_idle_slots (self);
    }
  knl_paused_clock_advance (self->clock, 2 * TIME);
}

static void
burst_clear (Burst *self)
{
  for (guint i = 0; i < GATEWAYS; i++)
    sv_queue_free (self->queues[i]);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
}

/* Fraction served of the callers from number `from` on, below `to`, of one rank. */
static double
served (const Burst *self, guint from, guint to, guint rank)
{
  guint n = 0;
  guint n_served = 0;

  for (guint i = from; i < to; i++)
    {
      if (self->callers[i].rank != rank)
        continue;
      n++;
      n_served += self->callers[i].is_served;
    }
  return (double)n_served / MAX (n, 1);
}

/* Guards against room that stays empty while callers are refused, a rank without effect, and
 * callers that come back and are worse off than those that come later. */
static void
test_burst_with_callers_that_return (void)
{
  static const double loads[] = { 1.1, 1.5, 2.5 };
  static Burst self;

  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      play_burst (&self, loads[i]);
      CU_ASSERT (self.n_idle < 0.05 * SLOTS * self.n_samples);
      CU_ASSERT (served (&self, 0, self.n_callers, 0) > 0.95);
      CU_ASSERT (served (&self, 0, self.n_callers, 0) >= served (&self, 0, self.n_callers, 3));
      for (guint rank = 0; rank <= 3; rank += 3)
        CU_ASSERT (served (&self, 0, self.n_callers / 2, rank)
                   > served (&self, self.n_callers / 2, self.n_callers, rank) - 0.25);
      burst_clear (&self);
    }
}

static const SuiteCase cases[] = {
  { "order", test_order },
  { "one without room blocks no other kind", test_one_without_room_blocks_no_other_kind },
  { "slots that are left are used at once", test_slots_that_are_left_are_used_at_once },
  { "looks are bounded", test_looks_are_bounded },
  { "room is expected by the rate", test_room_is_expected_by_the_rate },
  { "higher ranks to come are expected", test_higher_ranks_to_come_are_expected },
  { "callers return one after the other", test_callers_return_one_after_the_other },
  { "burst with callers that return", test_burst_with_callers_that_return },
};

SUITE_MAIN ("sv_queue", cases)
