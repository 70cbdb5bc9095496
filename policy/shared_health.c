#include "policy/shared_health.h"

#include "policy/health.h"

static void
add_report (PolSharedHealth *self, guint32 reporter, KnlTime now)
{
  PolLossReport *oldest = &self->report[0];

  for (guint i = 0; i < POL_SHARED_HEALTH_MAX_REPORTERS; i++)
    {
      PolLossReport *report = &self->report[i];

      if (report->reported_at > 0 && report->reporter == reporter)
        {
          report->reported_at = now;
          return;
        }
      if (report->reported_at < oldest->reported_at)
        oldest = report;
    }
  *oldest = (PolLossReport){ .reporter = reporter, .reported_at = now };
}

static guint
count_reporters (const PolSharedHealth *self, KnlTime since)
{
  guint n = 0;

  for (guint i = 0; i < POL_SHARED_HEALTH_MAX_REPORTERS; i++)
    n += self->report[i].reported_at > 0 && self->report[i].reported_at >= since;
  return n;
}

gboolean
pol_shared_health_note_loss (PolSharedHealth *self,
                             const PolSharedHealthRule *rule,
                             guint32 reporter,
                             KnlTime now)
{
  /* After a backoff the endpoint is tried again; one more loss then shows that it is still down. */
  guint needed = self->backoffs > 0 ? 1 : rule->min_reporters;

  if (pol_shared_health_is_suspended (self, now))
    return FALSE;
  add_report (self, reporter, now);
  if (count_reporters (self, now - rule->window) < needed)
    return FALSE;
  for (guint i = 0; i < POL_SHARED_HEALTH_MAX_REPORTERS; i++)
    self->report[i].reported_at = 0;
  self->backoffs++;
  self->suspended_until = now + pol_health_backoff (rule->first, rule->limit, self->backoffs);
  return TRUE;
}

void
pol_shared_health_note_success (PolSharedHealth *self)
{
  *self = (PolSharedHealth){ 0 };
}

gboolean
pol_shared_health_has_reports (const PolSharedHealth *self)
{
  return self->backoffs > 0 || count_reporters (self, 1) > 0;
}

gboolean
pol_shared_health_is_suspended (const PolSharedHealth *self, KnlTime now)
{
  return now < self->suspended_until;
}
