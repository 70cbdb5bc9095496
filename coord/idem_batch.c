/** Group commit of idempotency records: one transaction for many requests. */

#include "coord/idem_private.h"

#include <stdlib.h>
#include <string.h>

#define MAX_BATCH_KEYS  128
#define MAX_BATCH_BYTES ((gsize)512 * 1024)
#define MAX_BATCHES     4

typedef struct
{
  CoIdem *idem;
  GPtrArray *keys; /* CoIdemKey */
  TbCallId call;
} CoIdemBatch;

static void flush_due (gpointer data);

void
co_idem_queue_write (CoIdemKey *key, CoIdemRecord next)
{
  CoIdem *idem = key->idem;

  co_idem_record_clear (&key->next);
  key->next = next;
  key->next.epoch = idem->epoch;
  key->busy = TRUE;
  g_queue_push_tail (&idem->waiting, key);
  if (idem->flush == 0)
    idem->flush =
        knl_timer_start (idem->options.kernel, idem->options.batch_delay, flush_due, idem);
}

static void
on_written (TbStatus status, guint64 version, gpointer data)
{
  CoIdemBatch *batch = data;
  CoIdem *idem = batch->idem;

  idem->batches = g_list_remove (idem->batches, batch);
  for (guint i = 0; i < batch->keys->len; i++)
    co_idem_key_written (g_ptr_array_index (batch->keys, i), status, version);
  g_ptr_array_free (batch->keys, TRUE);
  g_free (batch);
  if (!g_queue_is_empty (&idem->waiting) && idem->flush == 0)
    idem->flush = knl_timer_start (idem->options.kernel, 0, flush_due, idem);
}

/* Adds the check of the fence row of the key's shard, once per batch. */
static void
add_fence_check (const CoIdem *idem,
                 const CoIdemKey *key,
                 TbTransaction *transaction,
                 TbCheck *checks)
{
  TbCheck fence = co_lease_check (idem->options.leases, key->shard);

  for (guint i = 0; i < transaction->n_checks; i++)
    {
      if (strcmp (checks[i].key, fence.key) == 0)
        return;
    }
  checks[transaction->n_checks++] = fence;
}

static void
send_batch (CoIdem *idem, GPtrArray *keys, GPtrArray *values)
{
  TbCheck *checks = g_new0 (TbCheck, 2 * (gsize)keys->len);
  TbWrite *writes = g_new0 (TbWrite, keys->len);
  TbTransaction transaction = { .checks = checks, .writes = writes, .n_writes = keys->len };
  CoIdemBatch *batch = g_new0 (CoIdemBatch, 1);

  batch->idem = idem;
  batch->keys = keys;
  for (guint i = 0; i < keys->len; i++)
    {
      const CoIdemKey *key = g_ptr_array_index (keys, i);

      add_fence_check (idem, key, &transaction, checks);
      writes[i] = (TbWrite){ key->name, g_ptr_array_index (values, i) };
    }
  for (guint i = 0; i < keys->len; i++)
    {
      const CoIdemKey *key = g_ptr_array_index (keys, i);

      checks[transaction.n_checks++] = (TbCheck){ key->name, key->known ? key->version : 0 };
    }
  idem->n_batches++;
  idem->batches = g_list_prepend (idem->batches, batch);
  batch->call = tb_transact (idem->options.platform, &transaction, on_written, batch);
  g_free (checks);
  g_free (writes);
}

/* Dequeues the next keys: one `write_alone` key, or as many others as fit into one transaction. */
static GPtrArray *
dequeue_batch (CoIdem *idem, GPtrArray *values)
{
  GPtrArray *keys = g_ptr_array_new ();
  gsize bytes = 0;
  gboolean alone = FALSE;

  while (!alone && keys->len < MAX_BATCH_KEYS && bytes < MAX_BATCH_BYTES)
    {
      CoIdemKey *key = g_queue_peek_head (&idem->waiting);

      if (key == NULL || (key->write_alone && keys->len > 0))
        break;
      g_queue_pop_head (&idem->waiting);
      alone = key->write_alone;
      /* Checked just before sending: the process may have been paused since the request came. */
      if (key->lease_lost || !co_lease_valid (idem->options.leases, key->shard, NULL))
        {
          co_idem_key_written (key, TB_UNAVAILABLE, 0);
          alone = FALSE;
          continue;
        }
      g_ptr_array_add (keys, key);
      g_ptr_array_add (values, co_idem_record_value (&key->next));
      bytes += strlen (g_ptr_array_index (values, values->len - 1));
    }
  return keys;
}

static void
flush_due (gpointer data)
{
  CoIdem *idem = data;

  idem->flush = 0;
  while (!g_queue_is_empty (&idem->waiting) && g_list_length (idem->batches) < MAX_BATCHES)
    {
      GPtrArray *values = g_ptr_array_new_with_free_func (free);
      GPtrArray *keys = dequeue_batch (idem, values);

      if (keys->len > 0)
        send_batch (idem, keys, values);
      else
        g_ptr_array_free (keys, TRUE);
      g_ptr_array_free (values, TRUE);
    }
}

static void
batch_free (gpointer data)
{
  CoIdemBatch *batch = data;

  tb_call_cancel (batch->idem->options.platform, &batch->call);
  for (guint i = 0; i < batch->keys->len; i++)
    {
      CoIdemKey *key = g_ptr_array_index (batch->keys, i);

      if (key->lease_lost)
        co_idem_key_free (key);
    }
  g_ptr_array_free (batch->keys, TRUE);
  g_free (batch);
}

void
co_idem_batches_clear (CoIdem *idem)
{
  CoIdemKey *key;

  knl_timer_stop (idem->options.kernel, &idem->flush);
  g_list_free_full (idem->batches, batch_free);
  while ((key = g_queue_pop_head (&idem->waiting)) != NULL)
    {
      if (key->lease_lost)
        co_idem_key_free (key);
    }
}
