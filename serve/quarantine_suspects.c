/** Suspects: segments that endpoints were lost under, and for how long these losses are kept. */

#include "serve/quarantine_internal.h"

/* Suspects that are kept. An outage of many endpoints makes thousands of them, nearly all with one
 * loss each; made-up segments do the same. */
#define MAX_SUSPECTS 4096

/* Age from which a suspect with a single loss makes way for a new one. */
#define LONE_LOSS_TTL (2 * KNL_SEC)

/* Shortest time between two looks at all suspects for some to drop. */
#define SWEEP_INTERVAL (200 * KNL_MSEC)

static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  const Suspect *suspect = value;

  return suspect->n == 0 && suspect->expires <= knl_kernel_now (data);
}

static gboolean
has_lone_loss (gpointer key, gpointer value, gpointer data)
{
  const Suspect *suspect = value;

  return suspect->n == 1 && suspect->losses[0].lost_at + LONE_LOSS_TTL <= knl_kernel_now (data);
}

/* Its losses count only with another one. */
static gboolean
has_no_recent_loss (gpointer key, gpointer value, gpointer data)
{
  const Suspect *suspect = value;
  KnlTime oldest = knl_kernel_now (data) - SUSPECT_LOSS_TTL;

  for (guint i = 0; i < suspect->n; i++)
    {
      if (suspect->losses[i].lost_at > oldest)
        return FALSE;
    }
  return suspect->n > 0;
}

Suspect *
sv_quarantine_find_suspect (const SvQuarantine *self, const SegmentKey *key)
{
  Suspect *suspect = g_hash_table_lookup (self->suspects, key);

  return suspect != NULL && !is_expired (NULL, suspect, self->kernel) ? suspect : NULL;
}

static void
make_room (SvQuarantine *self)
{
  KnlTime now = knl_kernel_now (self->kernel);

  if (g_hash_table_size (self->suspects) < MAX_SUSPECTS || now < self->swept_at + SWEEP_INTERVAL)
    return;
  self->swept_at = now;
  g_hash_table_foreach_remove (self->suspects, is_expired, self->kernel);
  if (g_hash_table_size (self->suspects) >= MAX_SUSPECTS)
    g_hash_table_foreach_remove (self->suspects, has_lone_loss, self->kernel);
  if (g_hash_table_size (self->suspects) >= MAX_SUSPECTS)
    g_hash_table_foreach_remove (self->suspects, has_no_recent_loss, self->kernel);
}

Suspect *
sv_quarantine_ensure_suspect (SvQuarantine *self, const SegmentKey *key)
{
  Suspect *suspect = sv_quarantine_find_suspect (self, key);

  if (suspect != NULL)
    return suspect;
  make_room (self);
  if (g_hash_table_size (self->suspects) >= MAX_SUSPECTS)
    return NULL;
  suspect = g_new0 (Suspect, 1);
  suspect->key = *key;
  g_hash_table_replace (self->suspects, &suspect->key, suspect);
  return suspect;
}

/* An endpoint that has lived on, or is still listed after SUSPECT_LOSS_TTL, may leave later; its
 * loss is no sign of an end then. */
static gboolean
is_to_be_dropped (const SvQuarantine *self, const PolBlameLoss *loss)
{
  KnlTime age = knl_kernel_now (self->kernel) - loss->lost_at;

  if (sv_crash_is_survived (self->fleet, loss->endpoint, loss->lost_at) || age >= SV_QUARANTINE_TTL)
    return TRUE;
  return age >= SUSPECT_LOSS_TTL && sv_fleet_by_key (self->fleet, loss->endpoint) != NULL;
}

void
sv_quarantine_drop_old_suspects (SvQuarantine *self)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_foreach_remove (self->suspects, is_expired, self->kernel);
  g_hash_table_iter_init (&iter, self->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Suspect *suspect = value;
      guint kept = 0;

      for (guint i = 0; i < suspect->n; i++)
        {
          if (!is_to_be_dropped (self, &suspect->losses[i]))
            suspect->losses[kept++] = suspect->losses[i];
        }
      suspect->n = kept;
    }
}
