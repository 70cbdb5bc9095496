#include "entry/retry.h"

#define RETRY_AFTER (1 * KNL_SEC)

/* Attempts that ran nothing are cheap; each of the others may have cost an engine's time. */
const PolRetryRule en_retry_rule = { .not_run_attempts = 8, .run_attempts = 3 };

PolEnd
en_end_of (EpFailureKind kind)
{
  switch (kind)
    {
    case EP_NOT_SENT:
      return POL_END_UNSENT;
    case EP_REFUSED:
      return POL_END_PROMISED;
    case EP_FAILED:
      return POL_END_FAILED;
    case EP_CUT:
    case EP_MALFORMED:
      break;
    }
  return POL_END_LOST;
}

EnError
en_retry_error (const PolRetryCase *retry, const char *detail)
{
  EnError error = { .message = detail, .retry_after = RETRY_AFTER };

  switch (retry->kind)
    {
    case POL_LOSS_NOT_RUN:
      error.code = EN_ERROR_UNAVAILABLE;
      error.outcome = retry->may_have_run ? EN_OUTCOME_UNKNOWN : EN_OUTCOME_NOT_RUN;
      break;
    case POL_LOSS_FAILED:
      error.code = EN_ERROR_ENDPOINT_FAILED;
      error.outcome = EN_OUTCOME_FAILED;
      break;
    case POL_LOSS_UNKNOWN:
    case POL_LOSS_MISMATCH:
      error.code = EN_ERROR_CUT;
      error.outcome = EN_OUTCOME_UNKNOWN;
      break;
    }
  if (retry->non_idempotent && error.outcome != EN_OUTCOME_NOT_RUN)
    error.retry_after = 0;
  return error;
}
