#include "coord/idem.h"

#include "coord/idem_private.h"
#include "coord/idem_step.h"
#include "coord/shard.h"

#define KEY_PREFIX "idem"

/* Delay before retrying a failed read, or a write that wasn't carried out. */
#define RETRY_DELAY (50 * KNL_MSEC)

/* Time limit for recording an attempt as not run, after its begin was refused with an unresolved
   write. */
#define CLEANUP_TIMEOUT (60 * KNL_SEC)

/* Requests that may be pending at once; further ones are refused. */
#define MAX_PENDING_OPS 20000

static void process_ops (CoIdemKey *key);

static void
op_free (CoIdemOp *op)
{
  co_idem_record_clear (&op->args);
  g_free (op);
}

void
co_idem_key_free (CoIdemKey *key)
{
  CoIdemOp *op;

  while ((op = g_queue_pop_head (&key->ops)) != NULL)
    op_free (op);
  tb_call_cancel (key->idem->options.platform, &key->call);
  knl_timer_stop (key->idem->options.kernel, &key->retry);
  co_idem_record_clear (&key->record);
  co_idem_record_clear (&key->next);
  g_free (key->name);
  g_free (key);
}

static void
reply_begin (const CoIdemKey *key, const CoIdemOp *op, Alderturn__IdemVerdict verdict)
{
  Alderturn__IdemReply reply = ALDERTURN__IDEM_REPLY__INIT;
  gsize bytes = 0;

  reply.call = op->call;
  reply.verdict = verdict;
  if (key->known && key->record.attempt != NULL)
    reply.attempt = key->record.attempt;
  if (verdict == ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_DONE
      || verdict == ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_FAILED)
    {
      reply.status = key->record.status;
      if (key->record.content_type != NULL)
        reply.content_type = key->record.content_type;
      if (key->record.body != NULL)
        reply.body.data = (guint8 *)g_bytes_get_data (key->record.body, &bytes);
      reply.body.len = bytes;
    }
  if (op->on_begun != NULL)
    op->on_begun (&reply, op->data);
}

/* Ends the key's first request. */
static void
end_op (CoIdemKey *key, Alderturn__IdemVerdict verdict, gboolean durable)
{
  CoIdemOp *op = g_queue_pop_head (&key->ops);

  key->idem->n_ops--;
  if (op->is_begin)
    reply_begin (key, op, verdict);
  else if (op->on_finished != NULL)
    op->on_finished (durable, op->data);
  op_free (op);
}

static void
push_op (CoIdemKey *key, CoIdemOp *op)
{
  key->idem->n_ops++;
  g_queue_push_tail (&key->ops, op);
  if (key->recent != NULL)
    g_queue_delete_link (&key->idem->recent, key->recent);
  key->recent = NULL;
}

/*
 * The reply to a refused begin says that nothing ran, which is true. But the begin's
 * write may still take effect, and would leave a begun record that is never finished:
 * so the attempt is recorded as not run.
 */
static void
record_not_run (CoIdemKey *key, const CoIdemOp *refused)
{
  CoIdemOp *op = g_new0 (CoIdemOp, 1);

  op->args.state = ALDERTURN__IDEM_STATE__IDEM_STATE_NOT_RUN;
  op->args.attempt = g_strdup (refused->args.attempt);
  op->deadline = knl_kernel_now (key->idem->options.kernel) + CLEANUP_TIMEOUT;
  push_op (key, op);
}

static void
fail_op (CoIdemKey *key)
{
  const CoIdemOp *op = g_queue_peek_head (&key->ops);

  if (op->is_begin && key->unresolved && !key->lease_lost)
    record_not_run (key, op);
  end_op (key, ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_REFUSED, FALSE);
}

static void
on_retry (gpointer data)
{
  CoIdemKey *key = data;

  key->retry = 0;
  key->busy = FALSE;
  process_ops (key);
}

static void
retry_later (CoIdemKey *key)
{
  key->busy = TRUE;
  key->retry = knl_timer_start (key->idem->options.kernel, RETRY_DELAY, on_retry, key);
}

static void
on_read (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  CoIdemKey *key = data;

  key->call = 0;
  key->busy = FALSE;
  if (status != TB_OK)
    {
      retry_later (key);
      return;
    }
  co_idem_record_clear (&key->record);
  key->version = n_rows > 0 ? rows[0].version : 0;
  if (n_rows > 0)
    co_idem_record_parse (rows[0].value, &key->record);
  key->known = TRUE;
  key->must_read = FALSE;
  key->begun_at = knl_kernel_now (key->idem->options.kernel);
  process_ops (key);
}

static gboolean
is_abandoned (const CoIdemKey *key)
{
  const CoIdemOptions *options = &key->idem->options;

  if (key->record.state != ALDERTURN__IDEM_STATE__IDEM_STATE_BEGUN)
    return FALSE;
  return knl_kernel_now (options->kernel) - key->begun_at >= options->attempt_timeout
         || options->attempt_ended (key->record.attempt, options->data);
}

static CoIdemDecision
decide (const CoIdemKey *key, const CoIdemOp *op)
{
  if (op->is_begin)
    return co_idem_decide_begin (&key->record, op->args.attempt, op->args.digest,
                                 is_abandoned (key));
  return co_idem_decide_finish (&key->record, &op->args);
}

static void
become_idle (CoIdemKey *key)
{
  CoIdem *idem = key->idem;

  if (key->recent != NULL)
    return;
  g_queue_push_head (&idem->recent, key);
  key->recent = idem->recent.head;
  while (g_hash_table_size (idem->keys) > idem->options.max_cached && idem->recent.tail != NULL)
    {
      CoIdemKey *oldest = g_queue_pop_tail (&idem->recent);

      g_hash_table_remove (idem->keys, oldest->name);
      co_idem_key_free (oldest);
    }
}

/* Processes the key's requests until one has to wait. */
static void
process_ops (CoIdemKey *key)
{
  CoIdem *idem = key->idem;
  const CoIdemOp *op;

  while (!key->busy && !key->lease_lost && (op = g_queue_peek_head (&key->ops)) != NULL)
    {
      CoIdemDecision decision;

      if (knl_kernel_now (idem->options.kernel) >= op->deadline)
        {
          fail_op (key);
          continue;
        }
      /* Most keys are new: a begin is written without a read first, on condition that the row
         doesn't exist. */
      if (!key->known && (key->must_read || !op->is_begin))
        {
          key->busy = TRUE;
          key->call = tb_read (idem->options.platform, key->name, on_read, key);
          return;
        }
      decision = decide (key, op);
      if (decision.action == CO_IDEM_WRITE)
        co_idem_queue_write (key, decision.next);
      else
        end_op (key, decision.verdict, TRUE);
    }
  if (!key->busy && !key->lease_lost)
    become_idle (key);
}

static void
fail_key (CoIdemKey *key)
{
  while (!g_queue_is_empty (&key->ops))
    {
      key->lease_lost = TRUE;
      fail_op (key);
    }
  co_idem_key_free (key);
}

static void
adopt_next (CoIdemKey *key, guint64 version)
{
  if (key->next.state == ALDERTURN__IDEM_STATE__IDEM_STATE_BEGUN)
    key->begun_at = knl_kernel_now (key->idem->options.kernel);
  co_idem_record_clear (&key->record);
  key->record = key->next;
  key->next = (CoIdemRecord){ 0 };
  key->version = version;
  key->known = TRUE;
  key->write_alone = FALSE;
  key->unresolved = FALSE;
}

void
co_idem_key_written (CoIdemKey *key, TbStatus status, guint64 version)
{
  key->busy = FALSE;
  if (key->lease_lost)
    {
      fail_key (key);
      return;
    }
  switch (status)
    {
    case TB_OK:
      adopt_next (key, version);
      break;
    case TB_UNAVAILABLE:
      retry_later (key);
      return;
    case TB_UNKNOWN:
      key->unresolved = TRUE;
      G_GNUC_FALLTHROUGH;
    case TB_CONFLICT:
      /*
       * The conflict of a batch may be due to a single key or to the lease; after a
       * lost answer the rows may be written or not. Assuming either could let a request
       * run twice or refuse it wrongly. So each key is read, then written alone.
       */
      key->known = FALSE;
      key->must_read = TRUE;
      key->write_alone = TRUE;
      break;
    }
  process_ops (key);
}

/* Drops a shard's keys when its lease has changed: another holder may write their records. */
static void
on_lease_changed (CoLeases *leases, guint shard, guint64 fence, gpointer data)
{
  CoIdem *idem = data;
  GHashTableIter iter;
  gpointer value;
  GPtrArray *lost = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, idem->keys);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (((CoIdemKey *)value)->shard != shard)
        continue;
      g_hash_table_iter_remove (&iter);
      g_ptr_array_add (lost, value);
    }
  for (guint i = 0; i < lost->len; i++)
    {
      CoIdemKey *key = g_ptr_array_index (lost, i);

      if (key->recent != NULL)
        g_queue_delete_link (&idem->recent, key->recent);
      key->lease_lost = TRUE;
      while (!g_queue_is_empty (&key->ops))
        fail_op (key);
      if (!key->busy || key->call != 0 || key->retry != 0)
        co_idem_key_free (key);
    }
  g_ptr_array_free (lost, TRUE);
}

CoIdem *
co_idem_new (const CoIdemOptions *options)
{
  CoIdem *idem = g_new0 (CoIdem, 1);

  idem->options = *options;
  idem->keys = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&idem->recent);
  g_queue_init (&idem->waiting);
  co_leases_observe (options->leases, on_lease_changed, idem);
  return idem;
}

void
co_idem_free (CoIdem *idem)
{
  GHashTableIter iter;
  gpointer value;

  if (idem == NULL)
    return;
  co_idem_batches_clear (idem);
  g_queue_clear (&idem->recent);
  g_hash_table_iter_init (&iter, idem->keys);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    co_idem_key_free (value);
  g_hash_table_destroy (idem->keys);
  g_free (idem);
}

guint
co_idem_shard (const char *workspace, const char *key, guint n_shards)
{
  char *name = g_strconcat (KEY_PREFIX "/", workspace, "/", key, NULL);
  guint shard = co_shard_of (name, n_shards);

  g_free (name);
  return shard;
}

/* The key, created if needed; NULL when this process doesn't hold its shard or is overloaded. */
static CoIdemKey *
find_key (CoIdem *idem, const char *workspace, const char *name)
{
  char *row = g_strconcat (KEY_PREFIX "/", workspace, "/", name, NULL);
  guint shard = co_shard_of (row, co_leases_count (idem->options.leases));
  CoIdemKey *key = NULL;

  if (co_lease_valid (idem->options.leases, shard, NULL) && idem->n_ops < MAX_PENDING_OPS)
    {
      key = g_hash_table_lookup (idem->keys, row);
      if (key == NULL)
        {
          key = g_new0 (CoIdemKey, 1);
          key->idem = idem;
          key->name = g_strdup (row);
          key->shard = shard;
          g_queue_init (&key->ops);
          g_hash_table_insert (idem->keys, key->name, key);
        }
    }
  g_free (row);
  return key;
}

void
co_idem_begin (CoIdem *idem, const Alderturn__IdemBegin *begin, CoIdemReplyFunc done, gpointer data)
{
  CoIdemKey *key = find_key (idem, begin->workspace, begin->key);
  CoIdemOp *op;

  if (key == NULL)
    {
      Alderturn__IdemReply reply = ALDERTURN__IDEM_REPLY__INIT;

      reply.call = begin->call;
      reply.verdict = ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_REFUSED;
      done (&reply, data);
      return;
    }
  op = g_new0 (CoIdemOp, 1);
  op->is_begin = TRUE;
  op->args.attempt = g_strdup (begin->attempt);
  op->args.digest = begin->digest;
  op->call = begin->call;
  op->deadline = knl_kernel_now (idem->options.kernel) + idem->options.begin_timeout;
  op->on_begun = done;
  op->data = data;
  push_op (key, op);
  process_ops (key);
}

void
co_idem_finish (CoIdem *idem,
                const Alderturn__IdemFinish *finish,
                CoIdemFinishFunc done,
                gpointer data)
{
  CoIdemKey *key = find_key (idem, finish->workspace, finish->key);
  gboolean keep = finish->body.len <= idem->options.answer_bytes;
  CoIdemOp *op;

  if (key == NULL || finish->state <= ALDERTURN__IDEM_STATE__IDEM_STATE_BEGUN
      || finish->state > ALDERTURN__IDEM_STATE__IDEM_STATE_DONE)
    {
      done (FALSE, data);
      return;
    }
  op = g_new0 (CoIdemOp, 1);
  op->args.state = finish->state;
  op->args.attempt = g_strdup (finish->attempt);
  op->args.status = keep ? finish->status : 0;
  op->args.content_type = keep ? g_strdup (finish->content_type) : NULL;
  op->args.body = keep ? g_bytes_new (finish->body.data, finish->body.len) : NULL;
  op->call = finish->call;
  op->deadline = knl_kernel_now (idem->options.kernel) + idem->options.finish_timeout;
  op->on_finished = done;
  op->data = data;
  push_op (key, op);
  process_ops (key);
}

void
co_idem_set_epoch (CoIdem *idem, guint64 epoch)
{
  idem->epoch = MAX (idem->epoch, epoch);
}

guint
co_idem_cached (const CoIdem *idem)
{
  return g_hash_table_size (idem->keys);
}

guint64
co_idem_batches (const CoIdem *idem)
{
  return idem->n_batches;
}
