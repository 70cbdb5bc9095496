#include "serve/awaited.h"

#include <string.h>

/* A configuration that the store lost is written again within seconds. One that no peer has
 * reported for this long counts as lost for good, and keys that it withdrew are valid again. */
#define KEPT (30 * KNL_SEC)

static gboolean
is_forgotten (const SvAwaited *self, KnlTime now)
{
  return now - self->told_at > KEPT;
}

static void
drop_up_to (SvAwaited *self, guint64 own)
{
  guint n = 0;

  while (n < self->n && self->rows[n].version <= own)
    n++;
  self->n -= n;
  memmove (self->rows, self->rows + n, self->n * sizeof self->rows[0]);
}

void
sv_awaited_note (SvAwaited *self, guint64 own, guint64 version, KnlTime now)
{
  if (version <= own)
    return;
  if (is_forgotten (self, now))
    self->n = 0;
  drop_up_to (self, own);
  if (self->n > 0 && version < self->rows[self->n - 1].version)
    return;
  self->told_at = now;
  if (self->n > 0 && version == self->rows[self->n - 1].version)
    return;
  /* With all rows in use, the newest row covers this version too, with an earlier time than its
   * own. */
  if (self->n == SV_AWAITED_MOST)
    {
      self->rows[self->n - 1].version = version;
      return;
    }
  self->rows[self->n].version = version;
  self->rows[self->n].since = now;
  self->n++;
}

KnlTime
sv_awaited_since (const SvAwaited *self, guint64 own, KnlTime now)
{
  if (is_forgotten (self, now))
    return KNL_NEVER;
  for (guint i = 0; i < self->n; i++)
    {
      if (self->rows[i].version > own)
        return self->rows[i].since;
    }
  return KNL_NEVER;
}
