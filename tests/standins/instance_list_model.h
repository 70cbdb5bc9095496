#pragma once

/** Model of the platform's instance list: readers see changes with a lag. */

#include "kernel/kernel.h"

#include <jansson.h>

typedef struct SdInstanceList SdInstanceList;

typedef struct
{
  const char *name;
  const char *kind; /**< "entry", "controller", "engine", "service" */
  const char *address;
  const char *zone;
  const char *region;
  const char *service; /**< label of an endpoint */
  const char *state;   /**< "live" or "leaving" */
} SdInstance;

/** Creates an empty list; readers see each change after `lag`. */
SdInstanceList *sd_instance_list_new (KnlKernel *kernel, KnlTime lag);
void sd_instance_list_free (SdInstanceList *list);

/** Adds or replaces the instance with this kind and name; other strings may be NULL. Copied. */
void sd_instance_list_put (SdInstanceList *list, const SdInstance *instance);
void sd_instance_list_remove (SdInstanceList *list, const char *kind, const char *name);

/** While the list is frozen, readers see no further changes, not even those older than the lag. */
void sd_instance_list_set_frozen (SdInstanceList *list, gboolean frozen);

/**
 * The list as a reader sees it now, sorted by kind and name, in the format of docs/ADAPTERS.md. A
 * new reference.
 */
json_t *sd_instance_list_visible (SdInstanceList *list);
