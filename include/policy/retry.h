#pragma once

/**
 * Whether a request whose attempt was lost is tried again. The one decision for
 * all interfaces: they say what is known of the loss and what they bound.
 */

#include <glib.h>

/** What is known of an attempt that gave no answer. */
typedef enum
{
  POL_LOSS_NOT_RUN,  /**< proven: no part of it ran */
  POL_LOSS_FAILED,   /**< the endpoint ran it and said that it failed */
  POL_LOSS_UNKNOWN,  /**< it may have run, in part or whole */
  POL_LOSS_MISMATCH, /**< the endpoint says something else than the caller already has */
} PolLoss;

/** What an interface bounds, per request. */
typedef struct
{
  guint not_run_attempts;   /**< attempts that cost an endpoint nothing, this one included */
  guint run_attempts;       /**< attempts that may have cost an endpoint's time */
  gboolean budgets_not_run; /**< attempts that ran nothing use up the service's budget too */
} PolRetryRule;

/** What is known when an attempt has been lost. */
typedef struct
{
  PolLoss kind;
  gboolean accepted; /**< the endpoint had taken it, and may have spent time on it */
  gboolean non_idempotent;
  gboolean may_have_run; /**< by this attempt or an earlier one */
  guint attempts;        /**< made so far */
  guint costly; /**< of them those that may have cost an endpoint's time, this one included */
} PolRetryCase;

typedef enum
{
  POL_RETRY_FREE,   /**< again: the attempt cost the endpoint nothing */
  POL_RETRY_BUDGET, /**< again, if the service's retry budget allows */
  POL_RETRY_NEVER,
} PolRetry;

PolRetry pol_retry_decide (const PolRetryRule *rule, const PolRetryCase *retry);
