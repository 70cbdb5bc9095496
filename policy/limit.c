#include "policy/limit.h"

/* Allowance that accumulates while no requests are sent: at most as many requests as the rate gives
 * in SAVED_MOST, but never capped below SAVED_LEAST: one request, and the one that an instance may
 * leave to others (`spread`). */
#define SAVED_MOST  (250 * KNL_MSEC)
#define SAVED_LEAST 2.0

/* Requests sent beyond the rate are compensated for up to this time at the rate. An instance that
 * has just started may receive reports of many requests at once. */
#define DEBT_MOST (4 * KNL_SEC)

/* An endpoint that advertises a rate close to 0 still gets a request at this interval: only in an
 * answer can it advertise a higher rate. */
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
