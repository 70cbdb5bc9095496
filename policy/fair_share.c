#include "policy/fair_share.h"

guint64
pol_fair_share_equal (const PolFairShare *self)
{
  return self->participants > 0 ? self->remaining / self->participants : 0;
}

gboolean
pol_fair_share_meet (PolFairShare *self, guint64 each, guint64 n)
{
  if (each > pol_fair_share_equal (self))
    return FALSE;
  self->remaining -= each * n;
  self->participants -= n;
  return TRUE;
}
