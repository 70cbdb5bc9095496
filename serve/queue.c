#include "serve/queue.h"

#include <math.h>

/* Time from one look at a lane to the next, and a random part of it. Other instances look for the
 * same room; what one of them takes is known to the others after some 5 ms. */
static const struct
{
  KnlTime delay;
  KnlTime spread;
} looks[SV_N_LANES] = {
  [SV_LANE_SHORT] = { 10 * KNL_MSEC, 10 * KNL_MSEC },
  [SV_LANE_LONG] = { 30 * KNL_MSEC, SV_LONG_LOOK_MAX - 30 * KNL_MSEC },
};

/* Requests that may look for room in vain in one look: short prompts all need the same, a slot; of
 * long ones one that needs less memory may fit. */
static const guint max_tries[SV_N_LANES] = { 1, 4 };

/* Half-life of the lanes' rates, in times of an answer: within some of them the load of the engines
 * has changed, and in less there are too few answers. */
#define HALF_LIFE_TURNOVERS 4.0

/* Ranks whose arrivals are told apart; less urgent ones count as the last. */
#define RANKS 5

/* Part of the lane's rate that a request may count on, however much precedes it. */
#define MIN_RATE_FRACTION 0.01

typedef struct
{
  SvQueue *queue;
  SvLane index;
  GSequence *waiters; /* SvWaiter, in their order */
  KnlTimerId timer;
  gboolean is_looking;
  KnlTime work; /* of all waiters */

  /* decayed up to `measured_at` */
  double served;         /* engine time of the requests that were sent while some waited */
  double busy;           /* time in which some waited */
  double arrived[RANKS]; /* engine time of all requests that came */
  KnlTime measured_at;

  KnlTime booked_until; /* when those that were told to come back have had their turns */
} Lane;

struct SvQueue
{
  KnlKernel *kernel;
  SvTurnFunc func;
  SvCapacity capacity;
  guint64 n_arrivals;
  guint64 n_looks;
  Lane lanes[SV_N_LANES];
};

SvQueue *
sv_queue_new (KnlKernel *kernel, SvTurnFunc func)
{
  SvQueue *self = g_new0 (SvQueue, 1);

  self->kernel = kernel;
  self->func = func;
  self->capacity = (SvCapacity){ .engines = { 1, 1 }, .turnover = KNL_SEC };
  for (guint i = 0; i < SV_N_LANES; i++)
    self->lanes[i] = (Lane){ .queue = self, .index = i, .waiters = g_sequence_new (NULL) };
  return self;
}

void
sv_queue_free (SvQueue *self)
{
  if (self == NULL)
    return;
  for (guint i = 0; i < SV_N_LANES; i++)
    {
      knl_timer_stop (self->kernel, &self->lanes[i].timer);
      g_sequence_free (self->lanes[i].waiters);
    }
  g_free (self);
}

void
sv_queue_set_capacity (SvQueue *self, const SvCapacity *capacity)
{
  self->capacity = *capacity;
}

static gint
compare_waiters (gconstpointer a, gconstpointer b, gpointer data)
{
  return pol_wait_compare (&((const SvWaiter *)a)->key, &((const SvWaiter *)b)->key);
}

static gboolean
is_empty (const Lane *self)
{
  return g_sequence_is_empty (self->waiters);
}

static double
half_life (const Lane *self)
{
  return HALF_LIFE_TURNOVERS * (double)self->queue->capacity.turnover;
}

static void
update (Lane *self)
{
  KnlTime now = knl_kernel_now (self->queue->kernel);
  KnlTime passed = now - self->measured_at;
  double kept = exp2 (-(double)passed / half_life (self));

  self->served *= kept;
  self->busy *= kept;
  for (guint i = 0; i < RANKS; i++)
    self->arrived[i] *= kept;
  if (!is_empty (self))
    self->busy += (double)passed;
  self->measured_at = now;
}

/* Engine time that the lane gets in a unit of time. The declared figures count as much as what is
 * measured in the time of an answer, or in that of the request: less says nothing of it. */
static double
rate_of (Lane *self, KnlTime work)
{
  double engines = self->queue->capacity.engines[self->index];
  double weight = MAX ((double)self->queue->capacity.turnover, (double)work / engines);

  update (self);
  return (self->served + engines * weight) / (self->busy + weight);
}

/* The same, less what goes to requests of higher ranks that are still to come. */
static double
rate_for (Lane *self, const SvWaiter *waiter)
{
  double rate = rate_of (self, waiter->work);
  double preceding = 0;

  for (guint i = 0; i < MIN (waiter->key.rank, RANKS); i++)
    preceding += self->arrived[i] * G_LN2 / half_life (self);
  return MAX (rate - preceding, MIN_RATE_FRACTION * rate);
}

static void
on_look_due (gpointer data)
{
  Lane *self = data;

  self->timer = 0;
  sv_queue_look (self->queue, self->index);
}

static void
look_after (Lane *self, KnlTime delay)
{
  KnlKernel *kernel = self->queue->kernel;

  knl_timer_stop (kernel, &self->timer);
  self->timer = knl_timer_start (kernel, delay, on_look_due, self);
}

KnlTime
sv_queue_look_delay (SvLane lane, GRand *rand)
{
  return looks[lane].delay + g_rand_int_range (rand, 0, (gint32)looks[lane].spread);
}

static void
schedule (Lane *self)
{
  GRand *rand = knl_kernel_rand (self->queue->kernel);

  if (self->timer == 0 && !is_empty (self))
    look_after (self, sv_queue_look_delay (self->index, rand));
}

gboolean
sv_queue_has_before (const SvQueue *self, SvLane lane, const PolWaitKey *key)
{
  GSequenceIter *first = g_sequence_get_begin_iter (self->lanes[lane].waiters);

  return !g_sequence_iter_is_end (first)
         && pol_wait_compare (&((const SvWaiter *)g_sequence_get (first))->key, key) < 0;
}

void
sv_queue_push (SvQueue *self, SvWaiter *waiter)
{
  Lane *lane = &self->lanes[waiter->lane];

  update (lane);
  waiter->look = 0;
  waiter->place = g_sequence_insert_sorted (lane->waiters, waiter, compare_waiters, NULL);
  lane->work += waiter->work;
  schedule (lane);
}

void
sv_queue_remove (SvQueue *self, SvWaiter *waiter)
{
  Lane *lane = &self->lanes[waiter->lane];

  if (waiter->place == NULL)
    return;
  update (lane);
  g_sequence_remove (waiter->place);
  waiter->place = NULL;
  lane->work -= waiter->work;
}

guint
sv_queue_length (const SvQueue *self, SvLane lane)
{
  return (guint)g_sequence_get_length (self->lanes[lane].waiters);
}

guint64
sv_queue_next_number (SvQueue *self)
{
  return ++self->n_arrivals;
}

/* The first that hasn't had its turn in this look; `ahead`: engine time of those before it. The
 * list may have changed in any way since the last turn. */
static SvWaiter *
next_waiter (const Lane *self, guint64 look, KnlTime *ahead)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (self->waiters);

  *ahead = 0;
  for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    {
      SvWaiter *waiter = g_sequence_get (iter);

      if (waiter->look != look)
        return waiter;
      *ahead += waiter->work;
    }
  return NULL;
}

void
sv_queue_look (SvQueue *self, SvLane lane_index)
{
  Lane *lane = &self->lanes[lane_index];
  guint64 look = ++self->n_looks;
  guint tries = 0;
  SvWaiter *waiter;
  KnlTime ahead;

  /* The look that goes on reaches those that have come meanwhile, too. */
  if (lane->is_looking)
    return;
  lane->is_looking = TRUE;
  while ((waiter = next_waiter (lane, look, &ahead)) != NULL)
    {
      waiter->look = look;
      tries += self->func (waiter, ahead, tries < max_tries[lane_index]);
    }
  lane->is_looking = FALSE;
  schedule (lane);
}

void
sv_queue_wake (SvQueue *self)
{
  Lane *lane = &self->lanes[SV_LANE_SHORT];

  if (!is_empty (lane))
    look_after (lane, 0);
}

void
sv_queue_note_arrival (SvQueue *self, const SvWaiter *waiter)
{
  Lane *lane = &self->lanes[waiter->lane];

  update (lane);
  lane->arrived[MIN (waiter->key.rank, RANKS - 1)] += (double)waiter->work;
}

void
sv_queue_note_sent (SvQueue *self, const SvWaiter *waiter)
{
  Lane *lane = &self->lanes[waiter->lane];

  update (lane);
  if (waiter->place != NULL || !is_empty (lane))
    lane->served += (double)waiter->work;
}

KnlTime
sv_queue_time_for (SvQueue *self, const SvWaiter *waiter, KnlTime work)
{
  return (KnlTime)((double)work / rate_for (&self->lanes[waiter->lane], waiter));
}

KnlTime
sv_queue_return_time (SvQueue *self, const SvWaiter *waiter, KnlTime longest)
{
  Lane *lane = &self->lanes[waiter->lane];
  KnlTime now = knl_kernel_now (self->kernel);
  KnlTime begin = MAX (lane->booked_until, now + sv_queue_time_for (self, waiter, lane->work));
  KnlTime end = begin + sv_queue_time_for (self, waiter, waiter->work);

  if (end - now > longest)
    return longest;
  lane->booked_until = end;
  return end - now;
}
