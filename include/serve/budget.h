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
#define SV_BUDGET_SLICES 20

typedef struct
{
  double ratio;   /**< retries for each request of callers in the window */
  double slack;   /**< retries beyond that in the window, all instances together */
  KnlTime window; /**< any span of this length counts */
} SvBudgetRule;

typedef struct
{
  guint32 requests[SV_BUDGET_SLICES];
  guint32 retries[SV_BUDGET_SLICES];
  gint64 slice; /**< number of the newest */
} SvBudget;

/** A caller's request for the service has come. */
void sv_budget_note_request (SvBudget *budget, const SvBudgetRule *rule, KnlTime now);

/** Takes a retry; FALSE: there is none left for this instance, one of `instances`. */
gboolean sv_budget_spend (SvBudget *budget, const SvBudgetRule *rule, guint instances, KnlTime now);
