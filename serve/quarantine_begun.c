/** Answers that have begun: whether their endpoints survive them shows later. */

#include "serve/quarantine_internal.h"

/* Answers that have begun and may still crash their endpoints, and how long each waits for a sign
 * that its endpoint lives: one without requests isn't heard from. */
#define MAX_BEGUN 1024
#define BEGUN_TTL (10 * KNL_SEC)

void
sv_quarantine_forget_begun (SvQuarantine *self, guint64 request, guint64 endpoint)
{
  for (GList *link = self->begun->head; link != NULL; link = link->next)
    {
      SvSegmentUse *use = link->data;

      if (use->request != request || use->endpoint != endpoint)
        continue;
      g_free (use);
      g_queue_delete_link (self->begun, link);
      return;
    }
}

void
sv_quarantine_forget_begun_at (SvQuarantine *self, guint64 endpoint)
{
  GList *next;

  for (GList *link = self->begun->head; link != NULL; link = next)
    {
      SvSegmentUse *use = link->data;

      next = link->next;
      if (use->endpoint != endpoint)
        continue;
      g_free (use);
      g_queue_delete_link (self->begun, link);
    }
}

/* Whether it has shown that the endpoint survives the answer, or never will. */
static gboolean
is_settled (const SvQuarantine *self, const SvSegmentUse *use, gboolean *survived)
{
  const SvEndpoint *endpoint = sv_fleet_by_key (self->fleet, use->endpoint);

  *survived = endpoint != NULL
              && sv_signs_prove_life (&endpoint->signs, use->at, use->at + SV_CRASH_WINDOW);
  return *survived || endpoint == NULL || use->at + BEGUN_TTL <= knl_kernel_now (self->kernel);
}

gboolean
sv_quarantine_note_survivors (SvQuarantine *self)
{
  KnlTime newest = knl_kernel_now (self->kernel) - SV_CRASH_WINDOW;
  gboolean cleared = FALSE;
  GList *next;

  for (GList *link = self->begun->head; link != NULL; link = next)
    {
      SvSegmentUse *use = link->data;
      SvSegmentSurvival survival = { use->service, use->at + SV_CRASH_WINDOW, use->segments };
      gboolean survived;

      next = link->next;
      if (use->at > newest)
        break;
      if (!is_settled (self, use, &survived))
        continue;
      if (survived)
        cleared |= sv_quarantine_note_survival (self, &survival, SV_CRASH_OWN);
      g_free (use);
      g_queue_delete_link (self->begun, link);
    }
  return cleared;
}

gboolean
sv_quarantine_note_begun (SvQuarantine *self, const SvSegmentUse *use)
{
  gboolean cleared = sv_quarantine_note_survivors (self);

  if (use->segments.n == 0)
    return cleared;
  if (g_queue_get_length (self->begun) >= MAX_BEGUN)
    g_free (g_queue_pop_head (self->begun));
  g_queue_push_tail (self->begun, g_memdup2 (use, sizeof *use));
  return cleared;
}
