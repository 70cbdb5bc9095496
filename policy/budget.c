#include "policy/budget.h"

#include <string.h>

static void
advance (PolBudget *self, const PolBudgetRule *rule, KnlTime now)
{
  gint64 slice = now / MAX (rule->window / (POL_BUDGET_SLICES - 1), 1);

  if (slice - self->slice >= POL_BUDGET_SLICES)
    {
      memset (self->requests, 0, sizeof self->requests);
      memset (self->retries, 0, sizeof self->retries);
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

/*
 * What earlier processes of this instance spent isn't known here. Any slack that
 * each process may use at once is spent as many times as the instance is restarted
 * within a window; retries that requests of this process allow are not.
 */
static double
allowed_slack (const PolBudget *self, const PolBudgetRule *rule, guint instances, KnlTime now)
{
  if (now - self->begun_at < rule->slack_after)
    return 0;
  return rule->slack / (double)MAX (instances, 1);
}

gboolean
pol_budget_allows (PolBudget *self, const PolBudgetRule *rule, guint instances, KnlTime now)
{
  double allowed;

  advance (self, rule, now);
  allowed = rule->used_fraction
            * (rule->ratio * sum_of (self->requests) + allowed_slack (self, rule, instances, now));
  return sum_of (self->retries) + 1 <= allowed;
}

gboolean
pol_budget_spend (PolBudget *self, const PolBudgetRule *rule, guint instances, KnlTime now)
{
  if (!pol_budget_allows (self, rule, instances, now))
    return FALSE;
  self->retries[self->slice % POL_BUDGET_SLICES]++;
  return TRUE;
}
