#pragma once

/** Limits on the attempts of a request, and the error when it isn't retried. */

#include "entry/error.h"
#include "policy/retry.h"

extern const PolRetryRule en_retry_rule;

/** The error for a request that isn't retried. `detail` becomes its message and isn't copied. */
EnError en_retry_error (const PolRetryCase *retry, const char *detail);
