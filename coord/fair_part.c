#include "coord/fair_part.h"

guint64
co_fair_part (const GArray *wants, guint64 own, guint64 capacity, double reserve)
{
  guint64 spread = (guint64)((double)capacity * reserve);
  guint64 left = capacity - spread;
  guint64 level = 0;
  guint n = wants->len;

  /* `wants` is ascending: each demand that does not exceed the equal share is met in turn. */
  for (guint i = 0; i < wants->len; i++)
    {
      guint64 want = g_array_index (wants, guint64, i);
      guint64 even = left / (n - i);

      level = MIN (want, even);
      left -= level;
      if (want > even)
        return MIN (own, even) + spread / n;
    }
  return own + (left + spread) / MAX (n, 1);
}
