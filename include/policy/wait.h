#pragma once

/**
 * Decides whether a request is sent, waits for room, or is refused, and which of those that wait
 * goes first: from the time that its caller has, the work that is left, its rank, and the room that
 * there is and that is expected.
 *
 * Nothing else enters, so that requests which are alike in these are treated alike, whether their
 * callers have been refused before or not. All times are relative to the decision.
 */

#include "kernel/kernel.h"

typedef struct
{
  KnlTime event_left; /**< how much longer its caller waits for the first event, */
  KnlTime left;       /**< and for the end of the answer; KNL_NEVER: as long as it takes */
  KnlTime first;      /**< expected time from a send now to the first event, */
  KnlTime rest;       /**< and from there to the end of the answer */
  gboolean has_room;  /**< there is room for it now, and nobody who precedes it can use that */
  KnlTime room_in;    /**< expected time until there is room for it, those before it served;
                           KNL_NEVER: there won't be */
} PolWaitCase;

typedef enum
{
  POL_WAIT_SEND,
  POL_WAIT_STAY,    /**< it waits: there will be room in time */
  POL_WAIT_NO_TIME, /**< it is refused: its caller would leave before it is served */
  POL_WAIT_NO_ROOM, /**< it is refused: there won't be room in time */
} PolWait;

/** Time that its caller has beside what the request takes when it is sent now; negative: it can't
 * be served in time. KNL_NEVER: there is no limit. */
KnlTime pol_wait_spare (const PolWaitCase *self);

/** How long it can wait and still be served, also if its first event comes as late after the send
 * as estimates may be off. KNL_NEVER: there is no limit. */
KnlTime pol_wait_longest (const PolWaitCase *self);

PolWait pol_wait_decide (const PolWaitCase *self);

/** Place of a request among those that wait. */
typedef struct
{
  guint rank;             /**< configured priority, 0 goes first */
  gboolean is_over_share; /**< its workspace has had its share: it goes after those that haven't */
  KnlTime latest;         /**< last moment at which it can be sent, the earliest goes first */
  guint64 number;         /**< of its arrival */
} PolWaitKey;

/** Below 0: `a` goes first. */
gint pol_wait_compare (const PolWaitKey *a, const PolWaitKey *b);

/** How the most urgent requests are marked, and the least urgent ones. */
#define POL_URGENCY_FIRST 0
#define POL_URGENCY_LAST  9

/** Urgency of a request that is sent: by its rank, and within a rank those first that would be lost
 * if they took twice as long as expected. */
guint pol_wait_urgency (const PolWaitCase *self, guint rank);
