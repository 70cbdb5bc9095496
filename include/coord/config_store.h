#pragma once

/**
 * The declared configuration in the platform's table: applies changes, and follows
 * the changes that others have applied.
 *
 * An apply is one conditional transaction: it checks the row of the global
 * revision, so that accepted changes have one order, and writes the objects,
 * a row for each change, and a row for the operation. The operation's row shows
 * whether an apply took effect when its answer was lost.
 *
 * Rows: "config/revision", "config/object/KIND/NAME", "config/change/%020llu",
 * "config/operation/ID". A removed object's row stays as a tombstone until its
 * change is compacted.
 */

#include <jansson.h>

#include "common/findings.h"
#include "coord/config.h"
#include "table/table.h"

typedef struct CoConfigStore CoConfigStore;

typedef enum
{
  CO_APPLY_DONE,
  CO_APPLY_CONFLICT, /**< an object isn't at its expected revision */
  CO_APPLY_FINDINGS, /**< the changes are invalid */
  CO_APPLY_NOT_RUN,  /**< the table couldn't be reached; nothing was changed */
  CO_APPLY_UNKNOWN,  /**< a write's answer was lost, and its effect couldn't be read back in time */
} CoApplyStatus;

/** The object that isn't at its expected revision, and its last change; strings may be NULL. */
typedef struct
{
  const char *kind;
  const char *name;
  guint64 expected;
  guint64 found;         /**< 0: the object doesn't exist */
  const char *operation; /**< that changed the object last */
  const char *by;        /**< operator who sent it */
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

/** An operator's request. `changes` is the JSON list described in CONTROL.md. */
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
  KnlTime poll_interval; /**< between polls by readers and by processes that aren't ready */
  KnlTime idle_interval; /**< between polls by all other processes */
  KnlTime apply_timeout; /**< an apply is abandoned after this time */
  void (*on_ready) (gpointer data); /**< called once, when the replica becomes ready; or NULL */
  gpointer data;
} CoConfigStoreOptions;

CoConfigStore *co_config_store_new (const CoConfigStoreOptions *options);

/** Pending applies end without their callback. */
void co_config_store_free (CoConfigStore *store);

/** Starts an apply. `done` is called exactly once, never inside this call. */
void
co_config_store_apply (CoConfigStore *store, const CoApply *apply, CoApplyFunc done, gpointer data);

/** Sets whether this process is a reader: one of the few that poll the revision often. */
void co_config_store_set_reader (CoConfigStore *store, gboolean reader);

/** Notes a revision that another process has: the replica isn't ready below it. */
void co_config_store_note_revision (CoConfigStore *store, guint64 revision);

/** Notes that a peer which was itself ready has sent its configuration. */
void co_config_store_note_peer_sync (CoConfigStore *store);

/**
 * TRUE when the replica has been compared with the table or with a ready peer, and
 * is at the highest known revision. It stays TRUE from then on.
 */
gboolean co_config_store_ready (const CoConfigStore *store);

/** The highest known revision. */
guint64 co_config_store_highest (const CoConfigStore *store);

/** Polls the table's revision now. */
void co_config_store_poll (CoConfigStore *store);
