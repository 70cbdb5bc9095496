#pragma once

/** What entries bound of the attempts of a request, and how it ends when it is not tried again. */

#include "entry/error.h"
#include "policy/retry.h"

extern const PolRetryRule en_retry_rule;

/** The error that the request ends with when it is not tried again. */
EnError en_retry_error (const PolRetryCase *retry, const char *detail);
