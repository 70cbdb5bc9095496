#pragma once

/**
 * What several instances together know of an endpoint's health.
 *
 * Where many instances share many endpoints, each sends one of them few
 * requests: judged by its own alone, each finds out by losing some that an
 * endpoint is down. One would see as many losses at it as there are instances,
 * and requests that meet two such endpoints in a row fail. Losses are told, and
 * two tellers are believed; one alone may be cut off or sick itself.
 */

#include "kernel/kernel.h"

/** Tellers that are remembered between two rests. */
#define POL_BELIEF_SOURCES 4

typedef struct
{
  guint sources;  /**< tellers that make a first rest */
  KnlTime window; /**< within this */
  KnlTime first;  /**< rest after that, doubled with each further one */
  KnlTime limit;  /**< rest at most */
} PolBeliefRule;

typedef struct
{
  guint32 teller;
  KnlTime at;
} PolTold;

typedef struct
{
  PolTold told[POL_BELIEF_SOURCES];
  guint rests;             /**< in a row; an answer ends them */
  KnlTime suspended_until; /**< no request before */
} PolBelief;

/** `teller` has lost a request there; TRUE: a rest begins by it. */
gboolean
pol_belief_note_loss (PolBelief *belief, const PolBeliefRule *rule, guint32 teller, KnlTime now);

/** It has answered somebody. */
void pol_belief_note_success (PolBelief *belief);

/** Whether anybody has told anything since the last answer: an answer is worth telling then. */
gboolean pol_belief_is_doubted (const PolBelief *belief);

gboolean pol_belief_is_suspended (const PolBelief *belief, KnlTime now);
