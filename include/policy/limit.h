#pragma once

/** How many requests an endpoint takes, by its own word. */

#include "kernel/kernel.h"

/** Rate of an endpoint that names no limit. */
#define POL_NO_LIMIT (-1.0)

typedef struct
{
  double rate;      /**< requests a second from all instances together; POL_NO_LIMIT: any number */
  KnlTime named_at; /**< when the endpoint's newest word was heard; 0: never */
} PolLimit;

void pol_limit_init (PolLimit *limit);

/** The endpoint has named `rate` at `named_at`; an older word than the one known is passed over.
 * TRUE: the rate has changed. */
gboolean pol_limit_set (PolLimit *limit, double rate, KnlTime named_at);

gboolean pol_limit_is_named (const PolLimit *limit);
