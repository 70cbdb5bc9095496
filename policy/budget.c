#include "policy/budget.h"

#include <string.h>

/* After its start an instance knows how many others there are within this: they are listed in the
 * store, which is read within some hundred milliseconds. */
#define BLIND (1 * KNL_SEC)

/* What may be spent a second time by instances that start again: a rule uses three quarters of the
 * bound, and a third of that is the last quarter. */
#define EARLY_PART (1.0 / 3)

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
 * Many instances that are killed at once start anew with empty counts, and each
 * knows only some of the others: with all of the slack they would spend it a
 * second time, and its parts would be too large. One would see twice the bound
 * at the endpoints, just when they are full of work that nobody waits for.
 */
static double
slack_of (const PolBudget *self, const PolBudgetRule *rule, guint instances, KnlTime now)
{
  double share = rule->slack / (double)MAX (instances, 1);
  KnlTime age = now - self->begun_at;

  if (age >= rule->slack_after)
    return share;
  return age < BLIND ? 0 : EARLY_PART * share;
}

gboolean
pol_budget_allows (PolBudget *self, const PolBudgetRule *rule, guint instances, KnlTime now)
{
  double allowed;

  advance (self, rule, now);
  allowed = rule->used_part
            * (rule->ratio * sum_of (self->requests) + slack_of (self, rule, instances, now));
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
