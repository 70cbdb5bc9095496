#pragma once

/** Limits on the attempts of a request, and the error when it isn't retried. */

#include "endpoint/endpoint.h"
#include "entry/error.h"
#include "policy/proof.h"

extern const PolRetryRule en_retry_rule;

/** How the attempt ended, by the failure that the endpoint's adapter reports. */
PolEnd en_end_of (EpFailureKind kind);

/** The error for a request that isn't retried. `detail` becomes its message and isn't copied. */
EnError en_retry_error (const PolRetryCase *retry, const char *detail);
