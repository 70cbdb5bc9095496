#pragma once

/**
 * The engines of a service that an entry uses: all if there are few, else about
 * the requested number, most of them in its own zone and some spare ones in
 * other zones. Each entry computes this from the same lists, without
 * coordination.
 */

#include <glib.h>

/** Approximate number of a service's engines that an entry uses, if it has more. */
#define CO_SUBSET_SIZE 40

/** Name and zone of an entry, engine or controller. Strings are not copied. */
typedef struct
{
  const char *name;
  const char *zone;
} CoNode;

typedef enum
{
  CO_SUBSET_NONE,
  CO_SUBSET_HOME,  /**< in the entry's own zone */
  CO_SUBSET_SPARE, /**< in another zone */
} CoSubsetKind;

/**
 * Sets `kinds`, an array with one element for each of `engines`. `entries` are
 * all live entries; `self` is counted even if it isn't among them. `size` is
 * the number of engines to choose, approximately. The order of the lists does
 * not matter.
 */
void co_subset_choose (const CoNode *self,
                       const CoNode *entries,
                       guint n_entries,
                       const CoNode *engines,
                       guint n_engines,
                       guint size,
                       CoSubsetKind *kinds);
