#include "policy/limit.h"

/* What is left over while nobody asks, in time at the rate, and in requests at least: one, and what
 * an instance leaves to others. */
#define SAVED_MOST  (250 * KNL_MSEC)
#define SAVED_LEAST 2.0

/* Requests beyond the rate that are made up for, in time at the rate. An instance that has just
 * started may hear of many at once. */
#define DEBT_MOST (4 * KNL_SEC)

/* An endpoint that takes next to nothing gets a request this often: only an answer can tell that it
 * takes more again. */
#define PROBE_INTERVAL (10 * KNL_SEC)

void
pol_limit_init (PolLimit *self)
{
  *self = (PolLimit){ .rate = POL_NO_LIMIT };
}

gboolean
pol_limit_is_named (const PolLimit *self)
{
  return self->rate >= 0;
}

static gboolean
is_same_rate (double a, double b)
{
  return a == b || (a < 0 && b < 0);
}

gboolean
pol_limit_set (PolLimit *self, double rate, KnlTime named_at)
{
  if (named_at < self->named_at)
    return FALSE;
  self->named_at = named_at;
  if (is_same_rate (self->rate, rate))
    return FALSE;
  if (!pol_limit_is_named (self))
    {
      self->room = 0;
      self->filled_at = named_at;
    }
  self->rate = rate;
  self->changed_at = named_at;
  return TRUE;
}

void
pol_limit_take (PolLimit *self, guint n)
{
  self->room -= n;
  self->n_taken += n;
}

static double
in_seconds (KnlTime time)
{
  return (double)time / KNL_SEC;
}

static void
fill (PolLimit *self, double rate, KnlTime now)
{
  double most = MAX (rate * in_seconds (SAVED_MOST), SAVED_LEAST);
  double least = -MAX (rate * in_seconds (DEBT_MOST), 1);

  self->room = CLAMP (self->room, least, most);
  self->room = MIN (self->room + rate * in_seconds (MAX (now - self->filled_at, 0)), most);
  self->filled_at = MAX (now, self->filled_at);
}

KnlTime
pol_limit_wait (PolLimit *self, const PolLimitShare *share, KnlTime now)
{
  double rate = MAX (self->rate * share->part, 1 / in_seconds (PROBE_INTERVAL));
  double lacks;

  if (!pol_limit_is_named (self))
    return 0;
  fill (self, rate, now);
  lacks = 1 + share->spread - self->room;
  return lacks <= 0 ? 0 : (KnlTime)(lacks / rate * KNL_SEC) + 1;
}
