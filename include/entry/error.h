#pragma once

/** Errors that callers get when a request fails: code, outcome and when to retry. */

#include "kernel/kernel.h"

/** What is known about a request's effect when it ends. */
typedef enum
{
  EN_OUTCOME_NOT_RUN, /**< proven: no endpoint ran any of it */
  EN_OUTCOME_DONE,
  EN_OUTCOME_FAILED, /**< it ran, and the endpoint reported a failure */
  EN_OUTCOME_UNKNOWN,
} EnOutcome;

typedef enum
{
  EN_ERROR_BAD_REQUEST,
  EN_ERROR_UNAUTHORIZED,
  EN_ERROR_FORBIDDEN,
  EN_ERROR_NOT_FOUND,
  EN_ERROR_TOO_LARGE,
  EN_ERROR_KEY_IN_USE,
  EN_ERROR_KEY_MISMATCH,
  EN_ERROR_QUARANTINED,
  EN_ERROR_OVERLOADED,
  EN_ERROR_DRAINING,
  EN_ERROR_UNAVAILABLE,
  EN_ERROR_TIMEOUT,
  EN_ERROR_ENDPOINT_FAILED,
  EN_ERROR_CUT,
} EnErrorCode;

typedef struct
{
  EnErrorCode code;
  EnOutcome outcome;
  const char *message;
  KnlTime retry_after; /**< 0: retrying can't help, or waiting makes no difference */
} EnError;

const char *en_outcome_name (EnOutcome outcome);
const char *en_error_name (EnErrorCode code);

/** The HTTP status of `code`. */
int en_error_status (EnErrorCode code);
