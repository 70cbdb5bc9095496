#include "policy/limit.h"

/* Allowance that accumulates while no requests are sent: at most as many requests as the rate gives
 * in BURST_WINDOW, but never capped below MIN_BURST: one request, and the one that an instance may
 * leave to others (`spread`). */
#define BURST_WINDOW (250 * KNL_MSEC)
#define MIN_BURST    2.0

/* Requests sent beyond the rate are compensated for up to this time at the rate. An instance that
 * has just started may receive reports of many requests at once. */
#define DEBT_WINDOW (4 * KNL_SEC)

/* An endpoint that advertises a rate close to 0 still gets a request at this interval: only in an
 * answer can it advertise a higher rate. */
#define PROBE_INTERVAL (10 * KNL_SEC)

void
pol_limit_init (PolLimit *self)
{
  *self = (PolLimit){ .rate = POL_NO_LIMIT };
}

gboolean
pol_limit_is_advertised (const PolLimit *self)
{
  return self->rate >= 0;
}

static gboolean
is_same_rate (double a, double b)
{
  return a == b || (a < 0 && b < 0);
}

gboolean
pol_limit_set (PolLimit *self, double rate, KnlTime advertised_at)
{
  if (advertised_at < self->advertised_at)
    return FALSE;
  self->advertised_at = advertised_at;
  if (is_same_rate (self->rate, rate))
    return FALSE;
  if (!pol_limit_is_advertised (self))
    {
      self->allowance = 0;
      self->filled_at = advertised_at;
    }
  self->rate = rate;
  self->changed_at = advertised_at;
  return TRUE;
}

void
pol_limit_charge (PolLimit *self, guint n)
{
  self->allowance -= n;
  self->n_charged += n;
}

static double
in_seconds (KnlTime time)
{
  return (double)time / KNL_SEC;
}

static void
refill (PolLimit *self, double rate, KnlTime now)
{
  double max_allowance = MAX (rate * in_seconds (BURST_WINDOW), MIN_BURST);
  double min_allowance = -MAX (rate * in_seconds (DEBT_WINDOW), 1);

  self->allowance = CLAMP (self->allowance, min_allowance, max_allowance);
  self->allowance =
      MIN (self->allowance + rate * in_seconds (MAX (now - self->filled_at, 0)), max_allowance);
  self->filled_at = MAX (now, self->filled_at);
}

KnlTime
pol_limit_wait (PolLimit *self, const PolLimitShare *share, KnlTime now)
{
  double rate = MAX (self->rate * share->fraction, 1 / in_seconds (PROBE_INTERVAL));
  double missing;

  if (!pol_limit_is_advertised (self))
    return 0;
  refill (self, rate, now);
  missing = 1 + share->spread - self->allowance;
  return missing <= 0 ? 0 : (KnlTime)(missing / rate * KNL_SEC) + 1;
}
