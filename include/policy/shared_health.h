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

/** Maximum number of reporters that are kept between two backoffs. */
#define POL_SHARED_HEALTH_MAX_REPORTERS 4

typedef struct
{
  guint min_reporters; /**< reporters needed to begin the first backoff */
  KnlTime window;      /**< time within which their reports count together */
  KnlTime first;       /**< length of the first backoff; doubled with each further one */
  KnlTime limit;       /**< longest backoff */
} PolSharedHealthRule;

typedef struct
{
  guint32 reporter;
  KnlTime reported_at;
} PolLossReport;

typedef struct
{
  PolLossReport report[POL_SHARED_HEALTH_MAX_REPORTERS];
  guint backoffs;          /**< consecutive backoffs; reset by an answer */
  KnlTime suspended_until; /**< end of the backoff */
} PolSharedHealth;

/** The instance `reporter` has lost a request at the endpoint; TRUE: this begins a backoff. */
gboolean pol_shared_health_note_loss (PolSharedHealth *shared_health,
                                      const PolSharedHealthRule *rule,
                                      guint32 reporter,
                                      KnlTime now);

/** The endpoint has answered a request of any instance: drops all reports and ends the backoff. */
void pol_shared_health_note_success (PolSharedHealth *shared_health);

/** Whether any loss was reported since the last answer; if so, peers need to know of the next
 * answer. */
gboolean pol_shared_health_has_reports (const PolSharedHealth *shared_health);

gboolean pol_shared_health_is_suspended (const PolSharedHealth *shared_health, KnlTime now);
