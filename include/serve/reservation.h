#pragma once

/**
 * Memory set aside at several endpoints for one prompt that is larger than what
 * one endpoint holds: all of it or none.
 *
 * What is set aside is a lease: it is renewed while the prompt runs and given
 * back afterwards. An order whose answer is lost may be carried out late, after
 * the memory was given back; without a short lease that memory would stay taken,
 * and one would see an endpoint refuse prompts while little runs there.
 */

#include "serve/core.h"

typedef struct SvReservation SvReservation;

/** `ready`: all of it is set aside; else nothing is kept and the reservation is gone. */
typedef void (*SvReservationFunc) (gboolean ready, gpointer data);

typedef struct
{
  KnlKernel *kernel;
  HtClient *client;
  SvDialect *dialect;
  KnlTime hold; /**< length of the lease */
} SvReservationParts;

/** Begins to set `tokens[i]` aside at `endpoints[i]` for the request `name`. */
SvReservation *sv_reservation_new (const SvReservationParts *parts,
                                   const char *name,
                                   SvEndpoint *const *endpoints,
                                   const guint64 *tokens,
                                   guint n,
                                   SvReservationFunc func,
                                   gpointer data);

/** Id of what is set aside at the endpoint, or NULL. */
const char *sv_reservation_id (const SvReservation *reservation, const SvEndpoint *endpoint);

/** Gives all of it back, also what may be set aside only later; no callback follows. */
void sv_reservation_release (SvReservation *reservation);
