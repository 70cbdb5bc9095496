#include "policy/budget.h"

#include <string.h>

static void
advance (PolBudget *self, const PolBudgetRule *rule, KnlTime now)
{
  gint64 slice = now / MAX (rule->window / (POL_BUDGET_SLICES - 1), 1);

  if (slice - self->slice >= POL_BUDGET_SLICES)
    {
      memset (self, 0, sizeof *self);
      self->slice = slice;
    }
  while (self->slice < slice)
    {
      self->slice++;
      self->requests[self->slice % POL_BUDGET_SLICES] = 0;
      self->retries[self->slice % POL_BUDGET_SLICES] = 0;
    }
}

static guint
sum_of (const guint32 *counts)
{
  guint sum = 0;

  for (guint i = 0; i < POL_BUDGET_SLICES; i++)
    sum += counts[i];
  return sum;
}

void
pol_budget_note_request (PolBudget *self, const PolBudgetRule *rule, KnlTime now)
{
  advance (self, rule, now);
  self->requests[self->slice % POL_BUDGET_SLICES]++;
}

gboolean
pol_budget_spend (PolBudget *self, const PolBudgetRule *rule, guint instances, KnlTime now)
{
  double allowed;

  advance (self, rule, now);
  allowed = rule->used_part
            * (rule->ratio * sum_of (self->requests) + rule->slack / (double)MAX (instances, 1));
  if (sum_of (self->retries) + 1 > allowed)
    return FALSE;
  self->retries[self->slice % POL_BUDGET_SLICES]++;
  return TRUE;
}
