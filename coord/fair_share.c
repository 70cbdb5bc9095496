#include "coord/fair_share.h"

guint64
co_fair_share (const GArray *wants, guint64 own, guint64 capacity, double reserve)
{
  guint64 reserved = (guint64)((double)capacity * reserve);
  guint64 remaining = capacity - reserved;
  guint64 granted = 0;
  guint n = wants->len;

  /* `wants` is ascending: each demand that does not exceed the equal share is met in turn. */
  for (guint i = 0; i < wants->len; i++)
    {
      guint64 want = g_array_index (wants, guint64, i);
      guint64 equal_share = remaining / (n - i);

      granted = MIN (want, equal_share);
      remaining -= granted;
      if (want > equal_share)
        return MIN (own, equal_share) + reserved / n;
    }
  return own + (remaining + reserved) / MAX (n, 1);
}
