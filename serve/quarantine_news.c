/** What is to be sent to other instances of quarantined segments. */

#include "serve/quarantine_internal.h"

/* Losses, and survivals, that wait for being sent; the oldest make way for new ones. */
#define MAX_QUEUED 256

/* What has waited for longer isn't sent any more: only a relay sends to other cells, and an
 * instance that becomes one has old rows. */
#define NEWS_TTL (10 * KNL_SEC)

static void
queue (GQueue *rows, gconstpointer row, gsize size)
{
  if (g_queue_get_length (rows) >= MAX_QUEUED)
    g_free (g_queue_pop_head (rows));
  g_queue_push_tail (rows, g_memdup2 (row, size));
}

void
sv_quarantine_queue_loss (SvQuarantine *self, const SvSegmentUse *use, SvCrashOrigin origin)
{
  for (guint i = 0; i < SV_CRASHES_N_AUDIENCES; i++)
    {
      if (sv_quarantine_is_for (i, origin))
        queue (self->losses[i], use, sizeof *use);
    }
}

void
sv_quarantine_queue_survival (SvQuarantine *self,
                              const SvSegmentSurvival *survival,
                              SvCrashOrigin origin)
{
  for (guint i = 0; i < SV_CRASHES_N_AUDIENCES; i++)
    {
      if (sv_quarantine_is_for (i, origin))
        queue (self->survivals[i], survival, sizeof *survival);
    }
}

static void
take_losses (SvQuarantine *self, SvCrashAudience audience, SvQuarantineNews *news)
{
  KnlTime oldest = knl_kernel_now (self->kernel) - NEWS_TTL;
  SvSegmentUse *use;

  while (news->n_losses < G_N_ELEMENTS (news->losses)
         && (use = g_queue_pop_head (self->losses[audience])) != NULL)
    {
      if (use->at > oldest)
        news->losses[news->n_losses++] = *use;
      g_free (use);
    }
}

static void
take_survivals (SvQuarantine *self, SvCrashAudience audience, SvQuarantineNews *news)
{
  SvSegmentSurvival *survival;

  while (news->n_survivals < G_N_ELEMENTS (news->survivals)
         && (survival = g_queue_pop_head (self->survivals[audience])) != NULL)
    {
      news->survivals[news->n_survivals++] = *survival;
      g_free (survival);
    }
}

static void
take_entries (SvQuarantine *self, SvCrashAudience audience, SvQuarantineNews *news)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->entries);
  while (news->n_entries < G_N_ELEMENTS (news->entries)
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;

      if (!entry->unsent[audience])
        continue;
      entry->unsent[audience] = FALSE;
      news->entries[news->n_entries++] = entry->told;
    }
}

gboolean
sv_quarantine_take_news (SvQuarantine *self, SvCrashAudience audience, SvQuarantineNews *news)
{
  news->n_losses = news->n_survivals = news->n_entries = 0;
  take_losses (self, audience, news);
  take_survivals (self, audience, news);
  take_entries (self, audience, news);
  return news->n_losses + news->n_survivals + news->n_entries > 0;
}

gboolean
sv_quarantine_repeat (SvQuarantine *self)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      for (guint i = 0; i < SV_CRASHES_N_AUDIENCES; i++)
        ((Entry *)value)->unsent[i] = TRUE;
    }
  return g_hash_table_size (self->entries) > 0;
}
