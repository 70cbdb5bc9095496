#pragma once

/**
 * Judges an endpoint by what it does to requests: after losses it rests, longer
 * each time, and answers bring it back.
 *
 * Without the rests, each request would find out anew that an endpoint is down;
 * one would see a loss for nearly every request that is placed there.
 */

#include "kernel/kernel.h"

typedef struct
{
  KnlTime first; /**< rest after the first loss in a row, doubled with each further one */
  KnlTime limit; /**< rest at most */
  guint errors;  /**< answers that report a failure, in a row, that count as a loss */
} PolHealthRule;

typedef struct
{
  guint losses;            /**< in a row: not reached, broken off, or silent */
  guint errors;            /**< in a row: answers that report a failure */
  KnlTime suspended_until; /**< no request before, but where nothing else is left */
  double failure_rate;     /**< of answers, moving average */
} PolHealth;

/** The rest number `n` in a row, from 1 on: `first`, doubled each time, `limit` at most. */
KnlTime pol_health_rest (KnlTime first, KnlTime limit, guint n);

void pol_health_note_success (PolHealth *health);

/** An answer that reports a failure of the endpoint's own. */
void pol_health_note_error (PolHealth *health, const PolHealthRule *rule, KnlTime now);

/** It could not be reached, broke off, or said nothing. */
void pol_health_note_loss (PolHealth *health, const PolHealthRule *rule, KnlTime now);

gboolean pol_health_is_suspended (const PolHealth *health, KnlTime now);
