#include "serve/budget.h"

#include <string.h>

/* Of the share, what is used: windows of the rule slide, those here move by slices, and requests
 * that left this instance just before may arrive within the next window. */
#define USED_PART 0.75

static void
advance (SvBudget *self, const SvBudgetRule *rule, KnlTime now)
{
  gint64 slice = now / MAX (rule->window / (SV_BUDGET_SLICES - 1), 1);

  if (slice - self->slice >= SV_BUDGET_SLICES)
    {
      memset (self, 0, sizeof *self);
      self->slice = slice;
    }
  while (self->slice < slice)
    {
      self->slice++;
      self->requests[self->slice % SV_BUDGET_SLICES] = 0;
      self->retries[self->slice % SV_BUDGET_SLICES] = 0;
    }
}

static guint
sum_of (const guint32 *counts)
{
  guint sum = 0;

  for (guint i = 0; i < SV_BUDGET_SLICES; i++)
    sum += counts[i];
  return sum;
}

void
sv_budget_note_request (SvBudget *self, const SvBudgetRule *rule, KnlTime now)
{
  advance (self, rule, now);
  self->requests[self->slice % SV_BUDGET_SLICES]++;
}

gboolean
sv_budget_spend (SvBudget *self, const SvBudgetRule *rule, guint instances, KnlTime now)
{
  double allowed;

  advance (self, rule, now);
  allowed = USED_PART
            * (rule->ratio * sum_of (self->requests) + rule->slack / (double)MAX (instances, 1));
  if (sum_of (self->retries) + 1 > allowed)
    return FALSE;
  self->retries[self->slice % SV_BUDGET_SLICES]++;
  return TRUE;
}
