#pragma once

/**
 * Decides whether a request is tried again after an attempt was lost. All
 * interfaces use this decision; each passes in what is known of the loss and its
 * own bounds.
 */

#include <glib.h>

/** What is known of an attempt that gave no usable answer. */
typedef enum
{
  POL_LOSS_NOT_RUN,  /**< proven: no part of it ran */
  POL_LOSS_FAILED,   /**< the endpoint ran it and reported a failure */
  POL_LOSS_UNKNOWN,  /**< it may have run, partly or completely */
  POL_LOSS_MISMATCH, /**< the answer differs from what the caller already received */
} PolLoss;

/** An interface's bounds for each request; the attempt just made counts too. */
typedef struct
{
  guint not_run_attempts;   /**< maximum number of attempts that cost an endpoint nothing */
  guint run_attempts;       /**< maximum number of attempts that may have cost an endpoint time */
  gboolean budgets_not_run; /**< retries of attempts that didn't run need retry budget too */
} PolRetryRule;

/** The request and its attempts at the time of a loss. */
typedef struct
{
  PolLoss kind;
  gboolean accepted; /**< the endpoint had accepted it, and may have spent time on it */
  gboolean non_idempotent;
  gboolean may_have_run; /**< by this attempt or an earlier one */
  guint attempts;        /**< made so far, the lost one included */
  guint costly;          /**< attempts that may have cost an endpoint time, this one included */
} PolRetryCase;

typedef enum
{
  POL_RETRY_FREE,   /**< retry: the attempt cost the endpoint nothing */
  POL_RETRY_BUDGET, /**< retry if the service's retry budget allows it */
  POL_RETRY_NEVER,
} PolRetry;

PolRetry pol_retry_decide (const PolRetryRule *rule, const PolRetryCase *retry);
