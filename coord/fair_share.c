#include "coord/fair_share.h"

#include "policy/fair_share.h"

guint64
co_fair_share (const GArray *wants, guint64 own, guint64 capacity, double reserve)
{
  guint64 reserved = (guint64)((double)capacity * reserve);
  PolFairShare share = { .remaining = capacity - reserved, .participants = wants->len };
  guint n = wants->len;

  for (guint i = 0; i < n; i++)
    {
      if (!pol_fair_share_meet (&share, g_array_index (wants, guint64, i), 1))
        return MIN (own, pol_fair_share_equal (&share)) + reserved / n;
    }
  return own + (share.remaining + reserved) / MAX (n, 1);
}
