#pragma once

/**
 * Exponential backoff with jitter.
 */

#include "kernel/kernel.h"

/** State of one sequence of attempts; set `first` and `limit`, leave the rest zero. */
typedef struct
{
  KnlTime first; /**< delay before the first retry */
  KnlTime limit; /**< delay at most */
  guint retries; /**< delays given so far */
} CmBackoff;

/** The delay before the next retry: doubled each time, of which a random half is taken off. */
KnlTime cm_backoff_next (CmBackoff *backoff, KnlKernel *kernel);

/** After a success: the next delay is the first one again. */
void cm_backoff_reset (CmBackoff *backoff);
