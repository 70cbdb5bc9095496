#pragma once

/**
 * Health of an endpoint as reported by several instances.
 *
 * Where many instances share many endpoints, each sends few requests to any one
 * of them. If each judged by its own requests alone, an endpoint that is down
 * would cause as many losses as there are instances, and requests placed at two
 * such endpoints one after the other would fail. Instances therefore report their
 * losses to each other. Reports are accepted when they come from several
 * instances; a single reporter may be cut off or faulty itself.
 */

#include "kernel/kernel.h"

/** Most reporters that are remembered between two backoffs. */
#define POL_BELIEF_SOURCES 4

typedef struct
{
  guint sources;  /**< reporters needed to begin the first backoff */
  KnlTime window; /**< time within which their reports count together */
  KnlTime first;  /**< length of the first backoff; doubled with each further one */
  KnlTime limit;  /**< longest backoff */
} PolBeliefRule;

typedef struct
{
  guint32 teller;
  KnlTime at;
} PolTold;

typedef struct
{
  PolTold told[POL_BELIEF_SOURCES];
  guint rests;             /**< consecutive backoffs; reset by an answer */
  KnlTime suspended_until; /**< end of the backoff */
} PolBelief;

/** The instance `teller` has lost a request at the endpoint; TRUE: this begins a backoff. */
gboolean
pol_belief_note_loss (PolBelief *belief, const PolBeliefRule *rule, guint32 teller, KnlTime now);

/** The endpoint has answered a request of any instance: drops all reports and ends the backoff. */
void pol_belief_note_success (PolBelief *belief);

/** Whether any loss was reported since the last answer; if so, peers need to know of the next
 * answer. */
gboolean pol_belief_is_doubted (const PolBelief *belief);

gboolean pol_belief_is_suspended (const PolBelief *belief, KnlTime now);
