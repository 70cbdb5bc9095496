#pragma once

/**
 * Requests for one service that wait at this instance until endpoints have room for them.
 *
 * At full endpoints they could no longer be reordered, refused or sent elsewhere. They wait in two
 * lanes, as they need different room: short prompts a slot, long ones also time to be read, so that
 * a short prompt never waits for a long one that goes before it. In each lane they are looked at
 * one after the other, in the order of pol_wait_compare().
 *
 * How soon there is room follows from the engine time that the requests before it take and from
 * the rate at which the lane gets engine time: as measured while requests waited, and by the
 * engines' declared figures as long as little was measured. Requests of higher ranks go on coming
 * at the rate at which they have come.
 */

#include "policy/wait.h"

typedef struct SvQueue SvQueue;

typedef enum
{
  SV_LANE_SHORT,
  SV_LANE_LONG,
  SV_N_LANES,
} SvLane;

/** Longest time between two looks at the long lane. */
#define SV_LONG_LOOK_MAX (90 * KNL_MSEC)

/** A request in the queue; a member of it. */
typedef struct
{
  PolWaitKey key;
  SvLane lane;
  KnlTime work; /**< engine time that it takes */
  gpointer request;
  GSequenceIter *place; /**< NULL: it doesn't wait */
  guint64 look;         /**< the last look at its lane in which it had its turn */
} SvWaiter;

/** Its turn has come: if there is room for it, it is to be sent, and if there will be none in time,
 * it is to be refused; in both cases it is removed from the queue. Returns whether it still waits.
 *
 * `ahead`: engine time of those before it, which stay. `may_send`: it may use the room that there
 * is; otherwise one before it that needs the same found none. */
typedef gboolean (*SvTurnFunc) (SvWaiter *waiter, KnlTime ahead, gboolean may_send);

/** What is declared of the service's engines. */
typedef struct
{
  double engines[SV_N_LANES]; /**< engine time a second that this instance may expect */
  KnlTime turnover;           /**< time of an answer: in it the load of the engines is renewed */
} SvCapacity;

/** Time from one look at the lane to the next. */
KnlTime sv_queue_look_delay (SvLane lane, GRand *rand);

SvQueue *sv_queue_new (KnlKernel *kernel, SvTurnFunc func);
void sv_queue_free (SvQueue *queue);

void sv_queue_set_capacity (SvQueue *queue, const SvCapacity *capacity);

/** Whether any request in the lane goes before one with this key. */
gboolean sv_queue_has_before (const SvQueue *queue, SvLane lane, const PolWaitKey *key);

void sv_queue_push (SvQueue *queue, SvWaiter *waiter);

/** No-op if it doesn't wait. */
void sv_queue_remove (SvQueue *queue, SvWaiter *waiter);

guint sv_queue_length (const SvQueue *queue, SvLane lane);

/** Number of the next arrival. */
guint64 sv_queue_next_number (SvQueue *queue);

/** Gives all requests in the lane their turn now. */
void sv_queue_look (SvQueue *queue, SvLane lane);

/** A slot is free: the short lane is looked at once the current events are handled. */
void sv_queue_wake (SvQueue *queue);

/** A request has come that goes through the lane, whether it waits or not. */
void sv_queue_note_arrival (SvQueue *queue, const SvWaiter *waiter);

/** A request of the lane is sent; counted while others wait there. */
void sv_queue_note_sent (SvQueue *queue, const SvWaiter *waiter);

/** Time in which requests that go as early as this one get so much engine time. */
KnlTime sv_queue_time_for (SvQueue *queue, const SvWaiter *waiter, KnlTime work);

/** When a request that is refused now would have its turn after those that wait and those that were
 * told to come back before it; at most `longest`, beyond which nothing is kept in mind. */
KnlTime sv_queue_return_time (SvQueue *queue, const SvWaiter *waiter, KnlTime longest);
