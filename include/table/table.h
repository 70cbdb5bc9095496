#pragma once

/**
 * Client interface for the platform's services: the transactional table, the
 * object store, and the list of instances. table/http.h implements it over
 * HTTP, tests/fakes/memory_platform.h in memory.
 *
 * Every call makes exactly one callback, never inside the call itself, and at
 * the latest when it times out; tb_call_cancel() drops the callback.
 */

#include "kernel/kernel.h"
#include "wire/alderturn.pb-c.h"

typedef struct TbTable TbTable;

/** Handle of a call in flight; 0 means none. */
typedef guint64 TbCallId;

/** How a call ended. */
typedef enum
{
  TB_OK,
  TB_CONFLICT,    /**< a check of the transaction failed; nothing was written */
  TB_UNAVAILABLE, /**< failed, certainly without effect */
  TB_UNKNOWN,     /**< the answer was lost; a write may have taken effect, or may do so later */
} TbStatus;

const char *tb_status_name (TbStatus status);

/** A row of the table. */
typedef struct
{
  char *key;
  char *value;     /**< text, usually JSON */
  guint64 version; /**< increases with each write of the row; 0: the row doesn't exist */
} TbRow;

/**
 * Precondition: the transaction has no effect unless the row has this version. 0: the row must not
 * exist.
 */
typedef struct
{
  const char *key;
  guint64 version;
} TbCheck;

/** A write of one row; `value` NULL deletes it. */
typedef struct
{
  const char *key;
  const char *value;
} TbWrite;

/** Atomic: all writes are applied if all checks hold, none otherwise. */
typedef struct
{
  const TbCheck *checks;
  guint n_checks;
  const TbWrite *writes;
  guint n_writes;
} TbTransaction;

/** `version` is the new version of all rows written; 0 unless TB_OK. */
typedef void (*TbTransactFunc) (TbStatus status, guint64 version, gpointer data);

/** Rows sorted by key, freed after the callback; `more`: there are further rows past the limit. */
typedef void (
    *TbRowsFunc) (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data);

/** Members of the instance list (with incarnation 0), freed after the callback. */
typedef void (*TbInstancesFunc) (TbStatus status,
                                 Alderturn__Member *const *members,
                                 guint n_members,
                                 gpointer data);

typedef struct
{
  TbCallId (*transact) (TbTable *platform,
                        const TbTransaction *transaction,
                        TbTransactFunc done,
                        gpointer data);
  /**
   * Reads the row `key` (`prefix` FALSE), or up to `limit` rows whose keys start with `key` and
   * sort after `after` (NULL: from the first).
   */
  TbCallId (*read) (TbTable *platform,
                    const char *key,
                    gboolean prefix,
                    const char *after,
                    guint limit,
                    TbRowsFunc done,
                    gpointer data);
  TbCallId (*instances) (TbTable *platform, TbInstancesFunc done, gpointer data);
  void (*cancel) (TbTable *platform, TbCallId call);
  void (*free) (TbTable *platform);
} TbTableClass;

struct TbTable
{
  const TbTableClass *klass;
};

static inline TbCallId
tb_transact (TbTable *platform,
             const TbTransaction *transaction,
             TbTransactFunc done,
             gpointer data)
{
  return platform->klass->transact (platform, transaction, done, data);
}

/** Reads the row `key`: one row if it exists, otherwise none. */
static inline TbCallId
tb_read (TbTable *platform, const char *key, TbRowsFunc done, gpointer data)
{
  return platform->klass->read (platform, key, FALSE, NULL, 1, done, data);
}

/** Reads one page of the rows whose keys start with `prefix`; `after` NULL: from the first. */
static inline TbCallId
tb_scan (TbTable *platform,
         const char *prefix,
         const char *after,
         guint limit,
         TbRowsFunc done,
         gpointer data)
{
  return platform->klass->read (platform, prefix, TRUE, after, limit, done, data);
}

static inline TbCallId
tb_instances (TbTable *platform, TbInstancesFunc done, gpointer data)
{
  return platform->klass->instances (platform, done, data);
}

/** Drops the call's callback and sets `*call` to 0; the platform may still carry out the call. */
static inline void
tb_call_cancel (TbTable *platform, TbCallId *call)
{
  if (*call != 0)
    platform->klass->cancel (platform, *call);
  *call = 0;
}

static inline void
tb_platform_free (TbTable *platform)
{
  platform->klass->free (platform);
}
