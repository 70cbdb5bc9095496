#include "entry/error.h"

typedef struct
{
  const char *name;
  int status;
} ErrorRow;

static const char *const outcome_names[] = {
  [EN_OUTCOME_NOT_RUN] = "not-run",
  [EN_OUTCOME_DONE] = "done",
  [EN_OUTCOME_FAILED] = "failed",
  [EN_OUTCOME_UNKNOWN] = "unknown",
};

static const ErrorRow error_rows[] = {
  [EN_ERROR_BAD_REQUEST] = { "bad-request", 400 },
  [EN_ERROR_UNAUTHORIZED] = { "unauthorized", 401 },
  [EN_ERROR_FORBIDDEN] = { "forbidden", 403 },
  [EN_ERROR_NOT_FOUND] = { "not-found", 404 },
  [EN_ERROR_TOO_LARGE] = { "too-large", 413 },
  [EN_ERROR_KEY_IN_USE] = { "key-in-use", 409 },
  [EN_ERROR_KEY_MISMATCH] = { "key-mismatch", 422 },
  [EN_ERROR_QUARANTINED] = { "quarantined", 422 },
  [EN_ERROR_OVERLOADED] = { "overloaded", 429 },
  [EN_ERROR_DRAINING] = { "draining", 503 },
  [EN_ERROR_UNAVAILABLE] = { "unavailable", 503 },
  [EN_ERROR_TIMEOUT] = { "timeout", 504 },
  [EN_ERROR_ENDPOINT_FAILED] = { "endpoint-failed", 502 },
  [EN_ERROR_CUT] = { "cut", 502 },
};

const char *
en_outcome_name (EnOutcome outcome)
{
  return outcome_names[outcome];
}

const char *
en_error_name (EnErrorCode code)
{
  return error_rows[code].name;
}

int
en_error_status (EnErrorCode code)
{
  return error_rows[code].status;
}
