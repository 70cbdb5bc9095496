#include "entry/records.h"

#include "common/log.h"
#include "common/retry.h"
#include "wire/frame.h"

#define MIN_RETRY_DELAY (200 * KNL_MSEC)
#define MAX_RETRY_DELAY (2 * KNL_SEC)

/* If no holder accepts the outcome by then, the record stays begun and later becomes "unknown". */
#define FINISH_TIMEOUT (60 * KNL_SEC)

struct EnRecords
{
  KnlKernel *kernel;
  EnUplink *uplink;
  GHashTable *calls; /* EnRecordCall -> Call */
  EnRecordCall last_call;
  guint finishes;
};

/* A begin or finish that has not been answered. */
typedef struct
{
  EnRecords *owner;
  EnRecordCall id;
  gboolean is_begin;
  EnRecordFinish finish; /* owns its strings; a begin uses only the first three */
  EnRecordBegunFunc begun;
  EnRecordFinishedFunc finished;
  gpointer data;
  KnlTimerId timeout_timer;
  KnlTimerId retry_timer;
  CmBackoff backoff;
  KnlTime started;
} Call;

static void
call_free (gpointer data)
{
  Call *call = data;

  knl_timer_stop (call->owner->kernel, &call->timeout_timer);
  knl_timer_stop (call->owner->kernel, &call->retry_timer);
  if (!call->is_begin)
    call->owner->finishes--;
  g_free ((char *)call->finish.workspace);
  g_free ((char *)call->finish.key);
  g_free ((char *)call->finish.attempt);
  g_free ((char *)call->finish.content_type);
  g_free ((char *)call->finish.body);
  g_free (call);
}

EnRecords *
en_records_new (KnlKernel *kernel, EnUplink *uplink)
{
  EnRecords *self = g_new0 (EnRecords, 1);

  self->kernel = kernel;
  self->uplink = uplink;
  self->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, call_free);
  return self;
}

void
en_records_free (EnRecords *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->calls);
  g_free (self);
}

static Call *
call_new (EnRecords *self, const EnRecordFinish *finish, gpointer data)
{
  Call *call = g_new0 (Call, 1);

  call->owner = self;
  call->id = ++self->last_call;
  call->data = data;
  call->started = knl_kernel_now (self->kernel);
  call->backoff = (CmBackoff){ .first = MIN_RETRY_DELAY, .limit = MAX_RETRY_DELAY };
  call->finish = *finish;
  call->finish.workspace = g_strdup (finish->workspace);
  call->finish.key = g_strdup (finish->key);
  call->finish.attempt = g_strdup (finish->attempt);
  call->finish.content_type = g_strdup (finish->content_type);
  call->finish.body = g_memdup2 (finish->body, finish->body_bytes);
  g_hash_table_insert (self->calls, &call->id, call);
  return call;
}

static void
send_finish (gpointer data)
{
  Call *call = data;
  EnRecords *self = call->owner;
  Alderturn__IdemFinish body = ALDERTURN__IDEM_FINISH__INIT;

  call->retry_timer = 0;
  body.call = call->id;
  body.workspace = (char *)call->finish.workspace;
  body.key = (char *)call->finish.key;
  body.attempt = (char *)call->finish.attempt;
  body.state = call->finish.state;
  body.status = (guint32)call->finish.status;
  body.body.data = (guint8 *)call->finish.body;
  body.body.len = call->finish.body_bytes;
  if (call->finish.content_type != NULL)
    body.content_type = (char *)call->finish.content_type;
  en_uplink_send (self->uplink, WR_FRAME (IDEM_FINISH, idem_finish, &body));
  call->retry_timer = knl_timer_start (self->kernel, cm_backoff_next (&call->backoff, self->kernel),
                                       send_finish, call);
  if (knl_kernel_now (self->kernel) - call->started <= FINISH_TIMEOUT)
    return;
  cm_log (CM_LOG_WARNING, "record-not-finished", "s", "workspace", call->finish.workspace, "s",
          "attempt", call->finish.attempt);
  g_hash_table_remove (self->calls, &call->id);
}

/* The request no longer waits for the confirmation; the outcome is sent until it is durable. */
static void
on_finish_limit (gpointer data)
{
  Call *call = data;
  EnRecordFinishedFunc finished = call->finished;

  call->timeout_timer = 0;
  call->finished = NULL;
  if (finished != NULL)
    finished (FALSE, call->data);
}

EnRecordCall
en_records_finish (EnRecords *self,
                   const EnRecordFinish *finish,
                   KnlTime timeout,
                   EnRecordFinishedFunc finished,
                   gpointer data)
{
  Call *call = call_new (self, finish, data);

  self->finishes++;
  call->finished = finished;
  if (finished != NULL)
    call->timeout_timer = knl_timer_start (self->kernel, timeout, on_finish_limit, call);
  send_finish (call);
  return call->id;
}

/*
 * The begin may have become durable although its answer was lost. As nothing ran,
 * "not run" is recorded; otherwise the key couldn't be used again, and the caller
 * would get "outcome unknown" for a request that never ran.
 */
static void
record_not_run (EnRecords *self, const Call *begin)
{
  EnRecordFinish finish = begin->finish;

  finish.state = ALDERTURN__IDEM_STATE__IDEM_STATE_NOT_RUN;
  en_records_finish (self, &finish, 0, NULL, NULL);
}

static void
on_begin_limit (gpointer data)
{
  Call *call = data;
  EnRecords *self = call->owner;
  EnRecordVerdict verdict = { .verdict = ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_REFUSED };

  call->timeout_timer = 0;
  g_hash_table_steal (self->calls, &call->id);
  record_not_run (self, call);
  call->begun (&verdict, call->data);
  call_free (call);
}

EnRecordCall
en_records_begin (EnRecords *self,
                  const char *workspace,
                  const char *key,
                  guint64 digest,
                  const char *attempt,
                  KnlTime timeout,
                  EnRecordBegunFunc begun,
                  gpointer data)
{
  EnRecordFinish names = { .workspace = workspace, .key = key, .attempt = attempt };
  Call *call = call_new (self, &names, data);
  Alderturn__IdemBegin body = ALDERTURN__IDEM_BEGIN__INIT;

  call->is_begin = TRUE;
  call->begun = begun;
  call->timeout_timer = knl_timer_start (self->kernel, timeout, on_begin_limit, call);
  body.call = call->id;
  body.workspace = (char *)workspace;
  body.key = (char *)key;
  body.digest = digest;
  body.attempt = (char *)attempt;
  en_uplink_send (self->uplink, WR_FRAME (IDEM_BEGIN, idem_begin, &body));
  return call->id;
}

void
en_records_abandon (EnRecords *self, EnRecordCall *id)
{
  Call *call = g_hash_table_lookup (self->calls, id);

  *id = 0;
  if (call == NULL)
    return;
  if (!call->is_begin)
    {
      call->finished = NULL;
      return;
    }
  g_hash_table_steal (self->calls, &call->id);
  record_not_run (self, call);
  call_free (call);
}

/* For a verdict after the timeout there is no call: the attempt was recorded as not run. */
void
en_records_handle_begun (EnRecords *self, const Alderturn__IdemReply *reply)
{
  Call *call = g_hash_table_lookup (self->calls, &reply->call);
  EnRecordVerdict verdict = {
    .verdict = reply->verdict,
    .status = (int)reply->status,
    .content_type = reply->content_type,
    .body = (const char *)reply->body.data,
    .body_bytes = reply->body.len,
    .attempt = reply->attempt,
  };

  if (call == NULL || !call->is_begin)
    return;
  g_hash_table_steal (self->calls, &call->id);
  call->begun (&verdict, call->data);
  call_free (call);
}

void
en_records_handle_finished (EnRecords *self, const Alderturn__IdemFinishReply *reply)
{
  Call *call = g_hash_table_lookup (self->calls, &reply->call);

  /* Not durable yet: the outcome is sent again by the retry timer. */
  if (call == NULL || call->is_begin || !reply->durable)
    return;
  g_hash_table_steal (self->calls, &call->id);
  if (call->finished != NULL)
    call->finished (TRUE, call->data);
  call_free (call);
}

guint
en_records_pending (const EnRecords *self)
{
  return self->finishes;
}
