#pragma once

/**
 * Brings a replica to the table's revision: from the change rows after its own
 * revision, or from a snapshot of the object rows when the replica is empty or the
 * change rows that it needs have been compacted.
 */

#include "coord/config.h"
#include "table/table.h"

typedef struct CoConfigPull CoConfigPull;

/** Called when a pull has ended, also after a failure; see the replica's revision. */
typedef void (*CoConfigPullFunc) (gpointer data);

CoConfigPull *
co_config_pull_new (TbTable *platform, CoConfig *replica, CoConfigPullFunc ended, gpointer data);
void co_config_pull_free (CoConfigPull *pull);

/** Starts a pull unless one is running. */
void co_config_pull_start (CoConfigPull *pull);
