#pragma once

/**
 * How many requests an endpoint takes, by its own word, and how much of that is
 * left: a token bucket that all instances' requests are taken from, as far as
 * this one has heard of them.
 */

#include "kernel/kernel.h"

/** Rate of an endpoint that names no limit. */
#define POL_NO_LIMIT (-1.0)

typedef struct
{
  double rate;      /**< requests a second from all instances together; POL_NO_LIMIT: any number */
  KnlTime named_at; /**< when the endpoint's newest word was heard; 0: never */
  KnlTime changed_at; /**< when the word that named this rate first was heard; 0: never */
  double room;        /**< requests that it may be sent now; below 0: too many were sent */
  KnlTime filled_at;  /**< when `room` was brought up to date */
  guint n_taken;      /**< requests that `room` was taken for so far */
} PolLimit;

/** How an instance shares a limit with others. */
typedef struct
{
  double part;   /**< of the rate, what it and those that it hears may use; above 0 and up to 1 */
  double spread; /**< room beyond that for one request that it leaves to others, 0 to 1: instances
                      that all take the same room know of each other too late */
} PolLimitShare;

void pol_limit_init (PolLimit *limit);

/** The endpoint has named `rate` at `named_at`; an older word than the one known is passed over.
 * TRUE: the rate has changed. */
gboolean pol_limit_set (PolLimit *limit, double rate, KnlTime named_at);

gboolean pol_limit_is_named (const PolLimit *limit);

/** Some instance has sent it so many requests. */
void pol_limit_take (PolLimit *limit, guint n);

/** How long until a request may be sent; 0: now. */
KnlTime pol_limit_wait (PolLimit *limit, const PolLimitShare *share, KnlTime now);
