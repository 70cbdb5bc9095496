#pragma once

/**
 * Memory of several engines for one prompt that none of them can hold alone.
 *
 * Either all parts are acquired at once or none, so that two entries that want the
 * same engines can't deadlock, each holding what the other waits for. Then all
 * parts except the last are prefilled and held, and the last engine decodes with
 * them as imports.
 */

#include "entry/attempt.h"
#include "entry/credits.h"

typedef struct EnReservation EnReservation;

typedef struct
{
  /**
   * All parts except the last are held. `imports` is a JSON array that names them;
   * NULL: there is only one part. The callee gets ownership of `charge`, the last
   * engine's.
   */
  void (*on_held) (EnReservation *reservation,
                   const char *last_endpoint,
                   EnCharge *charge,
                   const char *imports,
                   gpointer data);
  /** A part was lost; the callee must free the reservation. */
  void (*on_lost) (EnReservation *reservation, const EnLoss *loss, gpointer data);
} EnReservationEvents;

typedef struct
{
  const EnAttemptHost *attempt_host;
  EnCredits *credits;
  const EnReservationEvents *events;
  gpointer data;
} EnReservationHost;

/**
 * Plans parts on the first of `engines` (EnEndpoint, in order of preference) that
 * together have enough for `prefill` prompt tokens and `answer` answer tokens.
 * `max_fraction` is the largest fraction of an engine's memory that a part may use.
 * Returns NULL if all engines together don't have that much.
 */
EnReservation *en_reservation_new (const EnReservationHost *host,
                                   const GPtrArray *engines,
                                   double max_fraction,
                                   guint64 prefill,
                                   guint64 answer);

/** Returns all charges, cancels all attempts, and frees it. */
void en_reservation_free (EnReservation *reservation);

/** Charges all parts if every engine has free capacity for its part; FALSE: charges none. */
gboolean en_reservation_acquire (EnReservation *reservation);

/** Tokens that it has not been able to acquire at `endpoint` yet; 0: none. */
guint64 en_reservation_missing_tokens (const EnReservation *reservation, const char *endpoint);

/** Number of parts, each on another engine; may be 1. */
guint en_reservation_n_parts (const EnReservation *reservation);

/** Time at which it was planned; the caller frees one that has waited too long. */
KnlTime en_reservation_started_at (const EnReservation *reservation);

/**
 * Prefills and holds the parts of an acquired reservation. `start` describes the
 * request as a whole; `next_id` returns the id of an attempt, to be freed with
 * g_free(). With a single part, calls `on_held` immediately, which may free the
 * reservation.
 */
void en_reservation_start (EnReservation *reservation,
                           const EnAttemptStart *start,
                           char *(*next_id) (gpointer data));

/** Whether an attempt of a part runs or is held at `endpoint`. */
gboolean en_reservation_uses (const EnReservation *reservation, const char *endpoint);

/** Notes that an engine has restarted: the part held there is lost. */
void en_reservation_engine_restarted (EnReservation *reservation, const char *endpoint);
