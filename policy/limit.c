#include "policy/limit.h"

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
  self->rate = rate;
  return TRUE;
}
