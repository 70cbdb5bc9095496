#pragma once

/**
 * The entry's side of idempotency records: requests that the holder of a key's
 * shard makes a record durable before an endpoint is contacted, and sends it the
 * outcome afterwards.
 */

#include "entry/uplink.h"

typedef struct EnRecords EnRecords;

/** Handle of a begin or finish that is not answered yet; 0: none. */
typedef guint64 EnRecordCall;

/** The answer to a begin. Strings are valid only during the callback. */
typedef struct
{
  Alderturn__IdemVerdict verdict;
  int status; /**< HTTP status of the stored answer; 0: none was stored */
  const char *content_type;
  const char *body;
  gsize body_bytes;
  const char *attempt; /**< id of the attempt that the record belongs to */
} EnRecordVerdict;

/** Without an answer within the timeout, the verdict is REFUSED: the attempt must not run. */
typedef void (*EnRecordBegunFunc) (const EnRecordVerdict *verdict, gpointer data);

/** `durable` FALSE: not confirmed within the timeout; sending is retried for up to 60 s. */
typedef void (*EnRecordFinishedFunc) (gboolean durable, gpointer data);

/** How an attempt ended. Strings are copied. */
typedef struct
{
  const char *workspace;
  const char *key;
  const char *attempt;
  Alderturn__IdemState state;
  int status;
  const char *content_type;
  const char *body;
  gsize body_bytes;
} EnRecordFinish;

EnRecords *en_records_new (KnlKernel *kernel, EnUplink *uplink);
void en_records_free (EnRecords *records);

EnRecordCall en_records_begin (EnRecords *records,
                               const char *workspace,
                               const char *key,
                               guint64 digest,
                               const char *attempt,
                               KnlTime timeout,
                               EnRecordBegunFunc begun,
                               gpointer data);

/** Records the outcome; `finished` (may be NULL) is called once, after `timeout` at the latest. */
EnRecordCall en_records_finish (EnRecords *records,
                                const EnRecordFinish *finish,
                                KnlTime timeout,
                                EnRecordFinishedFunc finished,
                                gpointer data);

/**
 * Abandons a call and sets it to 0. The attempt of a begin is then recorded as not
 * run; a finish is still sent, but its callback is no longer called.
 */
void en_records_abandon (EnRecords *records, EnRecordCall *call);

void en_records_handle_begun (EnRecords *records, const Alderturn__IdemReply *reply);
void en_records_handle_finished (EnRecords *records, const Alderturn__IdemFinishReply *reply);

/** Number of outcomes that are not confirmed as durable yet. */
guint en_records_pending (const EnRecords *records);
