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
  if (now - self->begun_at < rule->settle_time)
    self->is_settled = FALSE;
  else if (self->held == 0)
    self->is_settled = TRUE;
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
 * What earlier processes of this instance spent isn't known here, and may be all
 * that a settled one uses. What is left of the bound is for the processes that
 * start within a window. It must not depend on their number: each retry is earned
 * by a request, or by time, of this process.
 */
static double
allowed_settling (const PolBudgetRule *rule, double earned, double share, KnlTime age)
{
  return rule->settling_fraction
         * (earned + share * (double)CLAMP (age, 0, rule->settle_time) / (double)rule->settle_time);
}

static double
allowed_retries (const PolBudget *self, const PolBudgetRule *rule, guint instances, KnlTime now)
{
  double earned = rule->ratio * sum_of (self->requests);
  double share = rule->slack / (double)MAX (instances, 1);
  KnlTime age = now - self->begun_at;

  if (!self->is_settled)
    return allowed_settling (rule, earned, share, age);
  return rule->used_fraction * (earned + share);
}

gboolean
pol_budget_allows (PolBudget *self, const PolBudgetRule *rule, guint instances, KnlTime now)
{
  advance (self, rule, now);
  return sum_of (self->retries) + self->held + 1 <= allowed_retries (self, rule, instances, now);
}

gboolean
pol_budget_spend (PolBudget *self, const PolBudgetRule *rule, guint instances, KnlTime now)
{
  if (!pol_budget_allows (self, rule, instances, now))
    return FALSE;
  self->retries[self->slice % POL_BUDGET_SLICES]++;
  return TRUE;
}

gboolean
pol_budget_take (PolBudget *self, const PolBudgetRule *rule, guint instances, KnlTime now)
{
  if (!pol_budget_allows (self, rule, instances, now))
    return FALSE;
  self->held++;
  return TRUE;
}

void
pol_budget_hold (PolBudget *self)
{
  self->held++;
}

void
pol_budget_note_arrival (PolBudget *self, const PolBudgetRule *rule, guint n, KnlTime now)
{
  advance (self, rule, now);
  self->held -= MIN (self->held, n);
  self->retries[self->slice % POL_BUDGET_SLICES] += n;
}
