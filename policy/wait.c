#include "policy/wait.h"

/* Ranks that urgencies tell apart: each has two. */
#define URGENCY_RANKS ((POL_URGENCY_LAST - POL_URGENCY_FIRST + 1) / 2)

/* What is left of `time` after `used`; no limit stays none. */
static KnlTime
left_of (KnlTime time, KnlTime used)
{
  return time == KNL_NEVER ? KNL_NEVER : time - used;
}

KnlTime
pol_wait_spare (const PolWaitCase *self)
{
  KnlTime event = left_of (self->event_left, self->first);
  KnlTime end = left_of (self->left, self->first + self->rest);

  return MIN (event, end);
}

/* Other instances send at the same time, so that a first event may come after twice the time; a
 * caller who has left by then was served for nothing. */
KnlTime
pol_wait_longest (const PolWaitCase *self)
{
  return left_of (pol_wait_spare (self), self->first);
}

PolWait
pol_wait_decide (const PolWaitCase *self)
{
  if (pol_wait_spare (self) < 0)
    return POL_WAIT_NO_TIME;
  if (self->has_room)
    return POL_WAIT_SEND;
  if (self->room_in == KNL_NEVER || self->room_in > pol_wait_longest (self))
    return POL_WAIT_NO_ROOM;
  return POL_WAIT_STAY;
}

gint
pol_wait_compare (const PolWaitKey *a, const PolWaitKey *b)
{
  if (a->rank != b->rank)
    return a->rank < b->rank ? -1 : 1;
  if (a->is_over_share != b->is_over_share)
    return a->is_over_share ? 1 : -1;
  if (a->latest != b->latest)
    return a->latest < b->latest ? -1 : 1;
  return a->number < b->number ? -1 : a->number > b->number;
}

guint
pol_wait_urgency (const PolWaitCase *self, guint rank)
{
  gboolean is_pressing = pol_wait_spare (self) < self->first + self->rest;

  return POL_URGENCY_FIRST + 2 * MIN (rank, URGENCY_RANKS - 1) + !is_pressing;
}
