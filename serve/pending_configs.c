#include "serve/pending_configs.h"

#include <string.h>

/* A configuration that the store lost is written again within seconds. One that no peer has
 * reported for this long, or that the store was seen to lack for this long, counts as lost for
 * good, and keys that it withdrew are valid again. */
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
  if (version <= MAX (own, self->lost))
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

gboolean
sv_pending_configs_note_confirmed (SvPendingConfigs *self, SvPosition own, KnlTime now)
{
  if (sv_pending_configs_since (self, own.version, now) == KNL_NEVER)
    {
      self->confirmed = (SvPosition){ 0 };
      return FALSE;
    }
  /* Another era may have begun with another copy. */
  if (self->confirmed.era != own.era || self->confirmed.version != own.version)
    {
      self->confirmed = own;
      self->refuted_since = now;
    }
  if (now - self->refuted_since <= PENDING_TTL)
    return FALSE;
  self->lost = self->rows[self->n - 1].version;
  self->n = 0;
  return TRUE;
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
