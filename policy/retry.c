#include "policy/retry.h"

static PolRetry
decide_not_run (const PolRetryRule *rule, const PolRetryCase *retry)
{
  if (retry->attempts - retry->costly >= rule->not_run_attempts)
    return POL_RETRY_NEVER;
  return rule->budgets_not_run ? POL_RETRY_BUDGET : POL_RETRY_FREE;
}

PolRetry
pol_retry_decide (const PolRetryRule *rule, const PolRetryCase *retry)
{
  switch (retry->kind)
    {
    case POL_LOSS_NOT_RUN:
      /* An earlier attempt that may have run a non-idempotent request forbids any later one. */
      if (retry->non_idempotent && retry->may_have_run)
        return POL_RETRY_NEVER;
      if (retry->costly >= rule->run_attempts)
        return POL_RETRY_NEVER;
      return decide_not_run (rule, retry);
    case POL_LOSS_FAILED:
    case POL_LOSS_UNKNOWN:
      if (retry->non_idempotent)
        return POL_RETRY_NEVER;
      if (!retry->accepted)
        return decide_not_run (rule, retry);
      return retry->costly >= rule->run_attempts ? POL_RETRY_NEVER : POL_RETRY_BUDGET;
    case POL_LOSS_MISMATCH:
      break;
    }
  return POL_RETRY_NEVER;
}
