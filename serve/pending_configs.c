#include "serve/pending_configs.h"

#include <string.h>

/* A configuration that the store lost is written again within seconds. One that no peer has
 * reported for this long counts as lost for good, and keys that it withdrew are valid again. */
#define PENDING_TTL (30 * KNL_SEC)

static gboolean
is_expired (const SvPendingConfigs *self, KnlTime now)
{
  return now - self->reported_at > PENDING_TTL;
}

static void
drop_up_to (SvPendingConfigs *self, guint64 own)
{
  guint n = 0;

  while (n < self->n && self->rows[n].version <= own)
    n++;
  self->n -= n;
  memmove (self->rows, self->rows + n, self->n * sizeof self->rows[0]);
}

void
sv_pending_configs_note (SvPendingConfigs *self, guint64 own, guint64 version, KnlTime now)
{
  if (version <= own)
    return;
  if (is_expired (self, now))
    self->n = 0;
  drop_up_to (self, own);
  if (self->n > 0 && version < self->rows[self->n - 1].version)
    return;
  self->reported_at = now;
  if (self->n > 0 && version == self->rows[self->n - 1].version)
    return;
  /* With all rows in use, the newest row covers this version too, with an earlier time than its
   * own. */
  if (self->n == SV_PENDING_CONFIGS_MAX)
    {
      self->rows[self->n - 1].version = version;
      return;
    }
  self->rows[self->n].version = version;
  self->rows[self->n].since = now;
  self->n++;
}

KnlTime
sv_pending_configs_since (const SvPendingConfigs *self, guint64 own, KnlTime now)
{
  if (is_expired (self, now))
    return KNL_NEVER;
  for (guint i = 0; i < self->n; i++)
    {
      if (self->rows[i].version > own)
        return self->rows[i].since;
    }
  return KNL_NEVER;
}
