#pragma once

/**
 * Reserves memory at several endpoints, all or nothing, for one prompt that is
 * too large for one endpoint.
 *
 * A reservation is a lease: it is renewed while the prompt runs and released
 * afterwards. An order whose answer is lost may be carried out late, after the
 * release. Without a short lease that memory would stay reserved, and the
 * endpoint would refuse prompts while little runs there.
 */

#include "serve/core.h"

typedef struct SvReservation SvReservation;

/** `ready`: the memory is reserved at all endpoints. Otherwise all of it is being released, and the
 * caller must not use the reservation again. */
typedef void (*SvReservationFunc) (gboolean ready, gpointer data);

typedef struct
{
  KnlKernel *kernel;
  HtClient *client;
  SvDialect *dialect;
  KnlTime hold; /**< length of the lease */
} SvReservationParts;

/** Begins to reserve `tokens[i]` at `endpoints[i]` for the request `name`. References to the
 * endpoints are held until the memory is released. `func` is called once, unless
 * sv_reservation_release() comes first. */
SvReservation *sv_reservation_new (const SvReservationParts *parts,
                                   const char *name,
                                   SvEndpoint *const *endpoints,
                                   const guint64 *tokens,
                                   guint n,
                                   SvReservationFunc func,
                                   gpointer data);

/** Id of the reservation at the endpoint; NULL: none there. Owned by `reservation`. */
const char *sv_reservation_id (const SvReservation *reservation, const SvEndpoint *endpoint);

/** Releases the memory at all endpoints, including memory that an order still on its way may
 * reserve later. No callback follows. Takes ownership; NULL is allowed. */
void sv_reservation_release (SvReservation *reservation);
