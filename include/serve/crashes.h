#pragma once

/**
 * Endpoints that ended while they ran a request, by the request's fingerprint.
 *
 * A request may crash every endpoint that runs it, and its caller sends it again. An instance sees
 * only that a connection ended or fell silent, which has many other causes, and each instance sees
 * only some of the crashes. So each records which endpoint was lost under which request, and all
 * instances exchange the records. A record counts only for as long as no instance has heard from
 * that endpoint since; an endpoint that answers has not crashed. A request that an endpoint answers
 * clears all earlier records of it.
 *
 * Records are sets: the same one may arrive any number of times, from any instance.
 */

#include "serve/fleet.h"

typedef struct SvCrashes SvCrashes;
typedef struct SvQuarantine SvQuarantine;

/** An endpoint was lost under a request. */
typedef struct
{
  guint64 fingerprint; /**< of the request: its path, caller and body */
  guint64 endpoint;    /**< key of the endpoint, see SvEndpoint */
  KnlTime lost_at;     /**< on this instance's clock */
} SvCrash;

/** A request was answered by an endpoint, after at least one was lost under it. */
typedef struct
{
  guint64 fingerprint;
  KnlTime answered_at; /**< on this instance's clock */
} SvAcquittal;

/** Whom records are to be sent to. */
typedef enum
{
  SV_CRASHES_FOR_CELL,  /**< the other instances of this cell */
  SV_CRASHES_FOR_CELLS, /**< other cells; only a relay sends to them */
  SV_CRASHES_N_AUDIENCES,
} SvCrashAudience;

/** Who has seen what is recorded. */
typedef enum
{
  SV_CRASH_OWN,           /**< this instance */
  SV_CRASH_OF_CELL,       /**< a peer of its cell */
  SV_CRASH_OF_OTHER_CELL, /**< an instance of another cell, whose relay tells all cells */
} SvCrashOrigin;

SvCrashes *sv_crashes_new (KnlKernel *kernel, SvFleet *fleet);
void sv_crashes_free (SvCrashes *crashes);

/** Whether the endpoint has been heard from after that loss, here or at a peer. One whose process
 * was replaced, or whose row lapsed, is no longer in the fleet under this key. */
gboolean sv_crash_is_survived (const SvFleet *fleet, guint64 endpoint, KnlTime lost_at);

/** Whether it is also certain that this was the process which the loss was of, and not its next one
 * under the same id. What stands isn't ended by less. */
gboolean sv_crash_is_refuted (const SvFleet *fleet, guint64 endpoint, KnlTime lost_at);

/** Sets where requests that crash endpoints are quarantined; losses that a quarantined segment
 * explains don't count. NULL: nowhere. */
void sv_crashes_set_quarantine (SvCrashes *crashes, SvQuarantine *quarantine);

/** Records a loss. FALSE: it was known, or comes before an answer to the request. */
gboolean sv_crashes_note_loss (SvCrashes *crashes, const SvCrash *crash, SvCrashOrigin origin);

/** Records that the request was answered, and drops earlier losses of it. FALSE: there were none.
 */
gboolean
sv_crashes_note_answer (SvCrashes *crashes, const SvAcquittal *acquittal, SvCrashOrigin origin);

/** Number of endpoints that were lost under the request and not heard from since, for no other
 * known cause. */
guint sv_crashes_count (const SvCrashes *crashes, guint64 fingerprint);

/** Whether the request has ended so many endpoints that it isn't run. FALSE also if it is
 * quarantined, see sv_quarantine_check(). `is_test` is set if it is let through to find out. */
gboolean sv_crashes_is_refused (SvCrashes *crashes, guint64 fingerprint, gboolean *is_test);

/** Number of requests that records are kept of. */
guint sv_crashes_n_requests (const SvCrashes *crashes);

/** To be called several times a second: drops expired records, and quarantines requests that are
 * certain to have ended so many endpoints. TRUE: there is something to be sent to others. */
gboolean sv_crashes_tick (SvCrashes *crashes);

/** Marks for sending again the losses of requests that have two or more: this instance's own ones,
 * or with `all` also those that others have seen. FALSE: there are none. */
gboolean sv_crashes_repeat (SvCrashes *crashes, gboolean all);

/** Fills in the recent losses of requests that have two or more and aren't quarantined, whoever has
 * seen them. Returns their number, at most `max`. */
guint sv_crashes_list (const SvCrashes *crashes, SvCrash *losses, guint max);

/** Fills in losses, or acquittals, that the audience has not been sent; they then count as sent.
 * Returns their number.
 */
guint sv_crashes_take_losses (SvCrashes *crashes,
                              SvCrashAudience audience,
                              SvCrash *losses,
                              guint max_losses);
guint sv_crashes_take_acquittals (SvCrashes *crashes,
                                  SvCrashAudience audience,
                                  SvAcquittal *acquittals,
                                  guint max_acquittals);
