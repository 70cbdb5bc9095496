/** Losses and answers that other instances are told of. */

#include "serve/crashes_internal.h"

static gboolean
repeat_losses (SvCrashes *self, Record *record, gboolean all)
{
  KnlTime oldest = knl_kernel_now (self->kernel) - LOSS_TTL;
  gboolean repeated = FALSE;

  for (guint i = 0; i < record->n_losses; i++)
    {
      Loss *loss = &record->losses[i];

      if (sv_crashes_has_survived (self, loss) || loss->lost_at <= oldest
          || !(all || loss->origin == SV_CRASH_OWN))
        continue;
      loss->unsent[SV_CRASHES_FOR_CELL] = TRUE;
      loss->unsent[SV_CRASHES_FOR_CELLS] = loss->origin != SV_CRASH_OF_OTHER_CELL;
      sv_crashes_note_unsent (self->has_unsent_losses, loss->unsent);
      repeated = TRUE;
    }
  return repeated;
}

gboolean
sv_crashes_repeat (SvCrashes *self, gboolean all)
{
  GHashTableIter iter;
  gpointer value;
  gboolean repeated = FALSE;

  g_hash_table_iter_init (&iter, self->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Record *record = value;

      if (!sv_crashes_is_quarantined (self, record->fingerprint)
          && sv_crashes_count (self, record->fingerprint) >= MAX_CRASHES)
        repeated |= repeat_losses (self, record, all);
    }
  return repeated;
}

guint
sv_crashes_list (const SvCrashes *self, SvCrash *losses, guint max)
{
  KnlTime oldest = knl_kernel_now (self->kernel) - LOSS_TTL;
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, self->records);
  while (n < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Record *record = value;

      if (record->n_losses < MAX_CRASHES || sv_crashes_is_quarantined (self, record->fingerprint)
          || sv_crashes_count (self, record->fingerprint) < MAX_CRASHES)
        continue;
      for (guint i = 0; i < record->n_losses && n < max; i++)
        {
          const Loss *loss = &record->losses[i];

          if (sv_crashes_counts (self, loss) && loss->lost_at > oldest)
            losses[n++] = (SvCrash){ record->fingerprint, loss->endpoint, loss->lost_at };
        }
    }
  return n;
}

guint
sv_crashes_take_losses (SvCrashes *self,
                        SvCrashAudience audience,
                        SvCrash *losses,
                        guint max_losses)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  if (!self->has_unsent_losses[audience])
    return 0;
  g_hash_table_iter_init (&iter, self->records);
  while (n < max_losses && g_hash_table_iter_next (&iter, NULL, &value))
    {
      Record *record = value;

      for (guint i = 0; i < record->n_losses && n < max_losses; i++)
        {
          Loss *loss = &record->losses[i];

          if (!loss->unsent[audience])
            continue;
          loss->unsent[audience] = FALSE;
          losses[n++] = (SvCrash){ record->fingerprint, loss->endpoint, loss->lost_at };
        }
    }
  self->has_unsent_losses[audience] = n == max_losses;
  return n;
}

guint
sv_crashes_take_acquittals (SvCrashes *self,
                            SvCrashAudience audience,
                            SvAcquittal *acquittals,
                            guint max_acquittals)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  if (!self->has_unsent_acquittals[audience])
    return 0;
  g_hash_table_iter_init (&iter, self->records);
  while (n < max_acquittals && g_hash_table_iter_next (&iter, NULL, &value))
    {
      Record *record = value;

      if (!record->acquittal_unsent[audience])
        continue;
      record->acquittal_unsent[audience] = FALSE;
      acquittals[n++] = (SvAcquittal){ record->fingerprint, record->answered_at };
    }
  self->has_unsent_acquittals[audience] = n == max_acquittals;
  return n;
}
