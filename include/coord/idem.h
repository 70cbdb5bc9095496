#pragma once

/**
 * Durable idempotency records, as the holder of a key's shard keeps them.
 *
 * A record is written before the endpoint is contacted; records of many
 * requests go into one transaction. Each transaction checks the shard's fence
 * row, so that a former holder that was paused can't write, and the rows'
 * versions, so that nothing is overwritten unseen. A record moves forward only,
 * and one whose outcome can't be known is never run again.
 */

#include "coord/idem_record.h"
#include "coord/lease.h"

typedef struct CoIdem CoIdem;

/** TRUE when the process that made this request id has surely ended. A wrong answer is safe. */
typedef gboolean (*CoAttemptGoneFunc) (const char *attempt, gpointer data);

typedef struct
{
  KnlKernel *kernel;
  TbTable *platform;
  CoLeases *leases;
  KnlTime batch_delay;   /**< that a write waits for others to go with */
  KnlTime begin_limit;   /**< a begin without a durable record by then is refused */
  KnlTime finish_limit;  /**< a finish not durable by then is answered so */
  KnlTime attempt_limit; /**< a record begun so long ago becomes unknown */
  gsize answer_bytes;    /**< longer answers are not kept */
  guint cache_limit;     /**< records kept in memory */
  CoAttemptGoneFunc attempt_gone;
  gpointer data;
} CoIdemOptions;

/** May be called inside co_idem_begin(); `reply` is valid during the call. */
typedef void (*CoIdemReplyFunc) (const Alderturn__IdemReply *reply, gpointer data);

/** `durable`: recorded, or there is nothing to record any more. */
typedef void (*CoIdemFinishFunc) (gboolean durable, gpointer data);

CoIdem *co_idem_new (const CoIdemOptions *options);

/** Requests under way are dropped with their callbacks. */
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

/** The present epoch of the retention clock, which new records carry. */
void co_idem_set_epoch (CoIdem *idem, guint64 epoch);

/** Records in memory, and transactions sent so far. */
guint co_idem_cached (const CoIdem *idem);
guint64 co_idem_batches (const CoIdem *idem);
