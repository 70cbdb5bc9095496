#pragma once

/**
 * The platform's services as alderturn uses them: the transactional table, the
 * object store, and the list of instances. table/http.h talks to the real
 * thing, tests/fakes/memory_platform.h is one in memory.
 *
 * Every call ends by exactly one callback, never inside the call itself, and at
 * the latest when its time is up; tb_call_cancel() drops the callback.
 */

#include "kernel/kernel.h"
#include "wire/alderturn.pb-c.h"

typedef struct TbTable TbTable;

/** Handle of a call that has not ended; 0 is none. */
typedef guint64 TbCallId;

/** How a call ended. */
typedef enum
{
  TB_OK,
  TB_CONFLICT,    /**< a check of the transaction failed; nothing was written */
  TB_UNAVAILABLE, /**< certainly without effect */
  TB_UNKNOWN,     /**< the answer is lost; a write may have taken effect, also later */
} TbStatus;

const char *tb_status_name (TbStatus status);

/** A row of the table. */
typedef struct
{
  char *key;
  char *value;     /**< text, usually JSON */
  guint64 version; /**< of the row: changes with each write, rises; 0: the row is not there */
} TbRow;

/** The row's version must be this one, or the transaction has no effect; 0: it must not be there.
 */
typedef struct
{
  const char *key;
  guint64 version;
} TbCheck;

/** value NULL: delete. */
typedef struct
{
  const char *key;
  const char *value;
} TbWrite;

/** All checks hold and all writes happen at once, or nothing happens. */
typedef struct
{
  const TbCheck *checks;
  guint n_checks;
  const TbWrite *writes;
  guint n_writes;
} TbTransaction;

/** `version` is that of all rows written; 0 unless TB_OK. */
typedef void (*TbTransactFunc) (TbStatus status, guint64 version, gpointer data);

/** Rows in order of key, freed after the call; `more` when the limit cut the answer. */
typedef void (
    *TbRowsFunc) (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data);

/** Members of the instance list (incarnation 0), freed after the call. */
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
  /** One row (`prefix` FALSE), or up to `limit` rows that start with `key` and come after `after`.
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

/** Reads the row `key`; found: one row, else none. */
static inline TbCallId
tb_read (TbTable *platform, const char *key, TbRowsFunc done, gpointer data)
{
  return platform->klass->read (platform, key, FALSE, NULL, 1, done, data);
}

/** Reads rows by prefix, a page at a time; `after` NULL: from the first. */
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

/** Drops the call's callback and sets `*call` to 0; what was asked may still happen. */
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
