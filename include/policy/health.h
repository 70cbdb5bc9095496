#pragma once

/**
 * Health of an endpoint, judged by this instance's own requests: a loss begins a
 * backoff, longer each time, and an answer ends it.
 *
 * Without the backoff, nearly every request placed at an endpoint that is down
 * would be lost.
 */

#include "kernel/kernel.h"

typedef struct
{
  KnlTime first; /**< backoff after the first loss; doubled with each consecutive one */
  KnlTime limit; /**< longest backoff */
  guint errors;  /**< consecutive failed answers that begin a backoff as a loss does */
} PolHealthRule;

typedef struct
{
  guint losses;            /**< consecutive attempts without a complete answer */
  guint errors;            /**< consecutive failed answers */
  KnlTime suspended_until; /**< end of the backoff; used before only if no other endpoint is left */
  double failure_rate;     /**< moving average of losses and failed answers, 0 to 1 */
} PolHealth;

/** The length of the `n`th consecutive backoff, from 1 on: `first`, doubled each time, at most
 * `limit`. */
KnlTime pol_health_backoff (KnlTime first, KnlTime limit, guint n);

void pol_health_note_success (PolHealth *health);

/** Notes an answer that reports a failure of the endpoint itself. */
void pol_health_note_error (PolHealth *health, const PolHealthRule *rule, KnlTime now);

/** The endpoint couldn't be reached, broke off its answer, or didn't answer at all. */
void pol_health_note_loss (PolHealth *health, const PolHealthRule *rule, KnlTime now);

gboolean pol_health_is_suspended (const PolHealth *health, KnlTime now);
