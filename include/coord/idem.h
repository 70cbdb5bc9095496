#pragma once

/**
 * Durable idempotency records, kept by the holder of a key's shard.
 *
 * A record is written before the endpoint is contacted; records of many
 * requests share one transaction. Each transaction checks the shard's fence row,
 * so that a former holder that was paused can't write, and the rows' versions, so
 * that no concurrent change is overwritten. A record's state only moves forward,
 * and a request whose outcome can't be determined never runs again.
 */

#include "coord/idem_record.h"
#include "coord/lease.h"

typedef struct CoIdem CoIdem;

/** TRUE when the process that made this attempt id has certainly ended. A wrong result can't
 * make a request run twice. */
typedef gboolean (*CoAttemptEndedFunc) (const char *attempt, gpointer data);

typedef struct
{
  KnlKernel *kernel;
  TbTable *platform;
  CoLeases *leases;
  KnlTime batch_delay;     /**< time that a write waits for others, to share a transaction */
  KnlTime begin_timeout;   /**< a begin without a durable record after this time is refused */
  KnlTime finish_timeout;  /**< a finish that isn't durable after this time is reported as such */
  KnlTime attempt_timeout; /**< a record that stays begun for this time becomes unknown */
  gsize answer_bytes;      /**< longer answers aren't stored */
  guint max_cached;        /**< records in memory; beyond it, idle ones are evicted */
  CoAttemptEndedFunc attempt_ended;
  gpointer data;
} CoIdemOptions;

/** May be called inside co_idem_begin(); `reply` is valid during the call. */
typedef void (*CoIdemReplyFunc) (const Alderturn__IdemReply *reply, gpointer data);

/** `durable`: the outcome is recorded, or there is nothing left to record. */
typedef void (*CoIdemFinishFunc) (gboolean durable, gpointer data);

CoIdem *co_idem_new (const CoIdemOptions *options);

/** Drops pending requests without calling their callbacks. */
void co_idem_free (CoIdem *idem);

void co_idem_begin (CoIdem *idem,
                    const Alderturn__IdemBegin *begin,
                    CoIdemReplyFunc done,
                    gpointer data);
void co_idem_finish (CoIdem *idem,
                     const Alderturn__IdemFinish *finish,
                     CoIdemFinishFunc done,
                     gpointer data);

/** The shard of a key. */
guint co_idem_shard (const char *workspace, const char *key, guint n_shards);

/** Sets the current epoch of the retention clock, which new records carry; it only rises. */
void co_idem_set_epoch (CoIdem *idem, guint64 epoch);

/** Number of records in memory. */
guint co_idem_cached (const CoIdem *idem);

/** Number of transactions sent so far. */
guint64 co_idem_batches (const CoIdem *idem);
