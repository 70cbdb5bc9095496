#pragma once

/**
 * Which engine should run what, computed from the declared configuration and
 * the engines in the member view. Each controller computes the same result from the
 * same input, without coordination. Adding or removing an engine changes few other
 * assignments, so that engines seldom reload weights.
 */

#include "coord/config.h"
#include "wire/alderturn.pb-c.h"

/** What one engine should run. The strings are owned by the placement. */
typedef struct
{
  char *service;
  char *model;
  char *adapter;    /**< or NULL */
  const char *role; /**< "any", "short", "long" */
} CtPlaced;

/**
 * The wanted state by engine name: a new table of char * -> CtPlaced. `view`
 * holds Alderturn__Member sorted by name. Engines that are leaving and those that
 * no service wants are not in the table.
 */
GHashTable *ct_placement_new (const CoConfig *config, const GPtrArray *view);
