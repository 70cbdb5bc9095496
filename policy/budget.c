#include "policy/budget.h"

#include <string.h>

/* Time from the start until the number of instances is known: they are listed in the store, which
 * is read within some hundred milliseconds. */
#define DISCOVERY_WINDOW (1 * KNL_SEC)

/* Fraction of the slack that is allowed until `slack_after`, because restarted instances may spend
 * it a second time: a rule uses three quarters of the bound, and a third of that is the remaining
 * quarter. */
#define EARLY_SLACK_FRACTION (1.0 / 3)

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
 * Many instances that are killed at once restart with empty counts, and each
 * knows only some of the others, so that it computes too large a share. With all
 * of the slack they would spend it a second time: the endpoints would get twice
 * the bound while they are still full of abandoned requests.
 */
static double
allowed_slack (const PolBudget *self, const PolBudgetRule *rule, guint instances, KnlTime now)
{
  double share = rule->slack / (double)MAX (instances, 1);
  KnlTime age = now - self->begun_at;

  if (age >= rule->slack_after)
    return share;
  return age < DISCOVERY_WINDOW ? 0 : EARLY_SLACK_FRACTION * share;
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
