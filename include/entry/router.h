#pragma once

/**
 * Chooses an engine for a request. There are several strategies, so that they can
 * be compared; "credits" is the default.
 */

#include "entry/credits.h"

typedef struct EnRouter EnRouter;

/** A request that an engine is to be chosen for. */
typedef struct
{
  const char *label; /**< label of the service's endpoints */
  const char *service;
  const char *zone; /**< the entry's own zone */
  EnNeed need;
  guint64 number; /**< the request's number, by which an engine may be kept free for it */
  const guint64 *blocks;
  gsize n_blocks;
  KnlTime now;
} EnRoute;

typedef struct
{
  const char *name;
  /** The best of `candidates` (EnEndpoint, at least one, all eligible); never NULL. */
  EnEndpoint *(*choose) (EnRouter *router, const EnRoute *route, const GPtrArray *candidates);
  /** Whether an engine without credits may be a candidate. */
  gboolean ignores_credits;
} EnRouterClass;

struct EnRouter
{
  const EnRouterClass *klass;
  KnlKernel *kernel;
  EnFleet *fleet;
  EnCredits *credits;
  GPtrArray *candidates; /* scratch */
};

/** A router with the strategy "credits", "two-choices" or "lagged"; NULL: unknown name. */
EnRouter *en_router_new (const char *name, KnlKernel *kernel, EnFleet *fleet, EnCredits *credits);

/** Whether there is a strategy of that name. */
gboolean en_router_exists (const char *name);

void en_router_free (EnRouter *router);

/** An engine that can run the request now; NULL: none has the capacity. */
EnEndpoint *en_router_choose (EnRouter *router, const EnRoute *route);

/**
 * The engine to keep free for a request that doesn't fit anywhere, because smaller requests take
 * all memory that is returned. NULL: fewer than two engines could run it alone and aren't kept for
 * others.
 */
EnEndpoint *en_router_choose_to_hold (EnRouter *router, const EnRoute *route);

/**
 * The engines for long prompts of a service that are usable now, in this entry's
 * own order (rendezvous hashing), rotated to begin at index `first`. Entries that
 * request most of an engine thus begin with different ones; if all began with the
 * same, each would be granted a part too small to use. Free the array.
 */
GPtrArray *en_router_long_engines (EnRouter *router,
                                   const char *label,
                                   const char *service,
                                   const char *instance,
                                   guint first);

/** Tokens of the prompt that the engine's prefix cache is expected to hold. */
guint64 en_route_cached_tokens (const EnRoute *route, const EnEndpoint *endpoint);

/** Estimated wait for the first token, from the last report and what was dispatched since. */
KnlTime en_route_estimate (const EnRoute *route, const EnEndpoint *endpoint);
