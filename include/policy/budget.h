#pragma once

/**
 * How many times requests of one service may be sent to a further endpoint.
 * The bound is one for all instances together, so each uses its share of it.
 *
 * Without it, retries of a fault that hits every request multiply the load and
 * keep an overloaded service overloaded; one would see far more arrivals at the
 * endpoints than requests of callers.
 */

#include "kernel/kernel.h"

/** The window in slices; a slice's counts leave it together. */
#define POL_BUDGET_SLICES 20

typedef struct
{
  double ratio;   /**< retries for each request of callers in the window */
  double slack;   /**< retries beyond that in the window, all instances together */
  KnlTime window; /**< any span of this length counts */
  /**
   * Of this instance's share, what is used. Windows of the bound slide and those here move by
   * slices; requests that left just before may arrive within the next window.
   */
  double used_part;
  /**
   * All of the slack counts from this time after the budget's begin on; 0: at once. What this
   * instance spent before a restart is not known after it, and others may not be known yet.
   */
  KnlTime slack_after;
} PolBudgetRule;

typedef struct
{
  KnlTime begun_at; /**< when this instance began to count */
  guint32 requests[POL_BUDGET_SLICES];
  guint32 retries[POL_BUDGET_SLICES];
  gint64 slice; /**< number of the newest */
} PolBudget;

/** A caller's request for the service has come. */
void pol_budget_note_request (PolBudget *budget, const PolBudgetRule *rule, KnlTime now);

/** Whether there is a retry left, see pol_budget_spend(). */
gboolean
pol_budget_allows (PolBudget *budget, const PolBudgetRule *rule, guint instances, KnlTime now);

/** Takes a retry; FALSE: there is none left for this instance, one of `instances`. */
gboolean
pol_budget_spend (PolBudget *budget, const PolBudgetRule *rule, guint instances, KnlTime now);
