#pragma once

/**
 * The engines whose shards this controller holds: reads their reports, grants
 * credits, cancels leaked requests and sends orders. For each engine only the
 * controller that holds its shard does so.
 */

#include "controller/members.h"
#include "controller/order.h"
#include "coord/credit.h"

typedef struct CtEngines CtEngines;

typedef struct
{
  KnlKernel *kernel;
  EpClient *endpoints;
  CoLeases *leases;
  CtMembers *members;
  const CoConfig *config;
  const char *self; /**< this controller's name */
  KnlTime poll_interval;
  KnlTime credit_ttl;
  KnlTime load_interval;
} CtEnginesOptions;

typedef struct
{
  guint64 reports;
  guint64 grants;
  guint64 orders;
  guint64 leaks; /**< cancels sent for leaked requests */
} CtEnginesCounts;

CtEngines *ct_engines_new (const CtEnginesOptions *options);
void ct_engines_free (CtEngines *engines);

/** To be called after a change of the member view or the configuration. */
void ct_engines_refresh (CtEngines *engines);

/** Adds grants (owned pointers) for those engines of `request` whose shard is held here. */
void ct_engines_grant_credit (CtEngines *engines,
                              const Alderturn__CreditRequest *request,
                              GPtrArray *grants);

/** Rows of the engines whose shard is held here, for `show engines`; a new reference. */
json_t *ct_engines_rows (const CtEngines *engines);

CtEnginesCounts ct_engines_counts (const CtEngines *engines);
