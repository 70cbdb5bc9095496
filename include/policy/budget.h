#pragma once

/**
 * Retry budget of a service: how many times its requests may be sent to a
 * further endpoint. The bound applies to all instances together, so each uses
 * its share of it.
 *
 * Without it, retries during a fault that affects every request multiply the
 * load and keep an overloaded service overloaded: endpoints get far more
 * requests than callers send.
 *
 * Endpoints count a request when they read it, which may be long after it was
 * sent: a retry is held from when it is spent until it has certainly arrived, and
 * counts for a window from then on.
 */

#include "kernel/kernel.h"

/** Slices of the window; the counts of a slice leave the window together. */
#define POL_BUDGET_SLICES 20

typedef struct
{
  double ratio;   /**< retries allowed for each caller's request in the window */
  double slack;   /**< further retries allowed in the window, by all instances together */
  KnlTime window; /**< the bound holds for any span of this length */
  /**
   * Fraction of this instance's share that it uses, up to 1. The bound holds for a sliding window,
   * while the window here moves by slices, and requests sent just before its end may arrive within
   * the next one.
   */
  double used_fraction;
  /**
   * Time after `begun_at` for which this process uses `settling_fraction` instead; 0: none. After a
   * whole window, what earlier processes of the instance spent has left the window. It goes on
   * while retries are held: the endpoints that have not read these may hold retries of earlier
   * processes.
   */
  KnlTime settle_time;
  /** Also for any number of processes in one window: their slack grows with their age. */
  double settling_fraction;
} PolBudgetRule;

typedef struct
{
  KnlTime begun_at; /**< start of counting */
  guint32 requests[POL_BUDGET_SLICES];
  guint32 retries[POL_BUDGET_SLICES];
  gint64 slice;        /**< number of the newest slice */
  guint held;          /**< retries that have not certainly arrived */
  gboolean is_settled; /**< see `settle_time` */
} PolBudget;

/** Counts a caller's request for the service. */
void pol_budget_note_request (PolBudget *budget, const PolBudgetRule *rule, KnlTime now);

/** Whether a retry is left, see pol_budget_spend(). */
gboolean
pol_budget_allows (PolBudget *budget, const PolBudgetRule *rule, guint instances, KnlTime now);

/** Spends a retry that arrives at once; FALSE: this instance, one of `instances`, has none left. */
gboolean
pol_budget_spend (PolBudget *budget, const PolBudgetRule *rule, guint instances, KnlTime now);

/** Spends a retry and holds it until pol_budget_note_arrival(); FALSE: none is left. */
gboolean
pol_budget_take (PolBudget *budget, const PolBudgetRule *rule, guint instances, KnlTime now);

/** Holds a retry that nothing was asked for. */
void pol_budget_hold (PolBudget *budget);

/** `n` of the retries that are held have arrived by now. */
void pol_budget_note_arrival (PolBudget *budget, const PolBudgetRule *rule, guint n, KnlTime now);
