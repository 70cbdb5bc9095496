#pragma once

/**
 * The declared configuration in the platform's table: applying changes, and
 * following what others have applied.
 *
 * An apply is one conditional transaction: it checks the row of the global
 * revision, so that accepted changes have one order, and writes the objects,
 * a row for each change, and a row for the operation. That last row tells what
 * became of an apply whose answer was lost.
 *
 * Rows: "config/revision", "config/object/KIND/NAME", "config/change/%020llu",
 * "config/operation/ID". A removed object's row stays, marked, until its change
 * is compacted.
 */

#include <jansson.h>

#include "common/findings.h"
#include "coord/config.h"
#include "table/table.h"

typedef struct CoConfigStore CoConfigStore;

typedef enum
{
  CO_APPLY_DONE,
  CO_APPLY_CONFLICT, /**< an expected revision was not found */
  CO_APPLY_FINDINGS, /**< the changes are wrong */
  CO_APPLY_NOT_RUN,  /**< the table could not be reached; surely without effect */
  CO_APPLY_UNKNOWN,  /**< a write's answer is lost and could not be read back in time */
} CoApplyStatus;

/** The object whose revision was not the expected one, and who changed it; strings may be NULL. */
typedef struct
{
  const char *kind;
  const char *name;
  guint64 expected;
  guint64 found; /**< 0: it is not there */
  const char *operation;
  const char *by;
} CoApplyConflict;

/** Valid during the callback. */
typedef struct
{
  CoApplyStatus status;
  guint64 revision; /**< of the last change, when done */
  CoApplyConflict conflict;
  const CmFindings *findings; /**< `line` is the index of the change, from 1 */
} CoApplyResult;

typedef void (*CoApplyFunc) (const CoApplyResult *result, gpointer data);

/** What an operator asks for. `changes` is the JSON list that CONTROL.md describes. */
typedef struct
{
  const char *operation;
  const char *by;
  json_t *changes; /**< borrowed: a reference is taken */
  gboolean dry_run;
} CoApply;

typedef struct
{
  KnlKernel *kernel;
  TbTable *platform;
  CoConfig *replica;
  KnlTime poll_interval;            /**< between reads of the revision by a reader of the zone */
  KnlTime idle_interval;            /**< the same, by the others */
  KnlTime apply_limit;              /**< longest time that an apply takes */
  void (*on_ready) (gpointer data); /**< called once, when the replica has become ready; or NULL */
  gpointer data;
} CoConfigStoreOptions;

CoConfigStore *co_config_store_new (const CoConfigStoreOptions *options);

/** Pending applies end without their callback. */
void co_config_store_free (CoConfigStore *store);

/** Ends by one callback, never inside the call. */
void
co_config_store_apply (CoConfigStore *store, const CoApply *apply, CoApplyFunc done, gpointer data);

/** Whether this process is one of the few that read the revision often. */
void co_config_store_set_reader (CoConfigStore *store, gboolean reader);

/** Tells of a revision that exists somewhere: the replica is not ready below it. */
void co_config_store_heard (CoConfigStore *store, guint64 revision);

/** A peer that was itself ready has sent its configuration. */
void co_config_store_synced_by_peer (CoConfigStore *store);

/**
 * TRUE when the replica has been compared with the table or a ready peer and
 * is at the highest revision heard of. Once ready it stays so.
 */
gboolean co_config_store_ready (const CoConfigStore *store);

/** The highest revision heard of. */
guint64 co_config_store_highest (const CoConfigStore *store);

/** Reads the table's revision now rather than at the next poll. */
void co_config_store_poll (CoConfigStore *store);
