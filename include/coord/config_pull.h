#pragma once

/**
 * Brings a replica to the table's revision: by the change rows after its own
 * revision, or by a snapshot of the object rows when it has none or is too far
 * behind.
 */

#include "coord/config.h"
#include "table/table.h"

typedef struct CoConfigPull CoConfigPull;

/** Called when a pull has ended, whatever it achieved; the replica tells. */
typedef void (*CoConfigPullFunc) (gpointer data);

CoConfigPull *
co_config_pull_new (TbTable *platform, CoConfig *replica, CoConfigPullFunc ended, gpointer data);
void co_config_pull_free (CoConfigPull *pull);

/** Starts a pull unless one is under way. */
void co_config_pull_start (CoConfigPull *pull);
