#pragma once

/**
 * Exponential backoff with jitter.
 */

#include "kernel/kernel.h"

/** State of one sequence of attempts; the caller sets `first` and `limit`, all else is zero. */
typedef struct
{
  KnlTime first; /**< delay before the first retry */
  KnlTime limit; /**< maximum delay */
  guint retries; /**< number of delays returned so far */
} CmBackoff;

/** The delay before the next retry: doubled each time, less a random reduction of up to half. */
KnlTime cm_backoff_next (CmBackoff *backoff, KnlKernel *kernel);

/** Call after a success: the next delay is based on `first` again. */
void cm_backoff_reset (CmBackoff *backoff);
