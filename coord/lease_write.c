/** Writes of coord/lease.h and the handling of their answers: renewals, acquisitions, releases. */

#include "coord/lease_private.h"

#include <stdlib.h>

#include "common/log.h"

/* Delay before the rows are read again after a conflict. */
#define CONFLICT_DELAY (10 * KNL_MSEC)

static CoLeaseRow
row_to_write (const CoLeases *leases, const CoLeaseShard *shard, CoLeaseWrite kind)
{
  return (CoLeaseRow){
    .holder = (char *)leases->options.name,
    .incarnation = leases->options.incarnation,
    .fence = shard->row.fence + (kind == CO_LEASE_ACQUIRE ? 1 : 0),
    .duration = leases->options.duration,
    .sent = leases->write_sent_at,
    .released = kind == CO_LEASE_RELEASE,
  };
}

static void
apply_written (CoLeases *leases, CoLeaseShard *shard, guint64 version)
{
  CoLeaseRow row = row_to_write (leases, shard, leases->write_kind);

  row.holder = g_strdup (row.holder);
  co_lease_row_clear (&shard->row);
  shard->row = row;
  shard->version = version;
  shard->unchanged_since = co_leases_now (leases);
  shard->acquirable_since = KNL_NEVER;
  if (leases->write_kind == CO_LEASE_RENEW && shard->held)
    shard->valid_until = row.sent + leases->options.duration;
  else if (leases->write_kind == CO_LEASE_ACQUIRE)
    {
      cm_invariant (row.fence > 0, "fence-rises");
      co_lease_gain (leases, shard, version);
    }
}

static void
on_written (TbStatus status, guint64 version, gpointer data)
{
  CoLeases *leases = data;

  leases->write_call = 0;
  for (guint i = 0; i < leases->written->len; i++)
    {
      CoLeaseShard *shard = &leases->shards[g_array_index (leases->written, guint, i)];

      if (status == TB_OK && version > shard->version)
        apply_written (leases, shard, version);
      else if (status != TB_UNKNOWN)
        shard->acquiring = FALSE;
    }
  /*
   * The rows' versions are unknown now: without a scan first, the next write
   * would only conflict.
   */
  if (status == TB_CONFLICT || status == TB_UNKNOWN)
    leases->blocked_until = co_leases_now (leases);
  if (status == TB_CONFLICT && leases->write_kind == CO_LEASE_ACQUIRE)
    leases->acquire_batch = MAX (1, leases->acquire_batch / 4);
  if (status == TB_OK)
    leases->acquire_batch = MIN (leases->options.n_shards, leases->acquire_batch * 2);
  if (status != TB_OK && leases->write_kind == CO_LEASE_RENEW)
    leases->renewed_at = 0;
  if (status == TB_UNAVAILABLE)
    return;
  knl_timer_stop (leases->options.kernel, &leases->tick);
  leases->tick = knl_timer_start (leases->options.kernel, status == TB_OK ? 0 : CONFLICT_DELAY,
                                  co_leases_tick, leases);
}

/*
 * Sends one transaction for all collected shards, so that the number of
 * renewals does not depend on how many shards this process holds.
 */
static void
send_write (CoLeases *leases, CoLeaseWrite kind)
{
  guint n = leases->written->len;
  TbCheck *checks = g_new0 (TbCheck, n);
  TbWrite *writes = g_new0 (TbWrite, 2 * n);
  GPtrArray *values = g_ptr_array_new_with_free_func (free);
  TbTransaction transaction = { .checks = checks, .writes = writes };

  leases->write_kind = kind;
  leases->write_sent_at = co_leases_now (leases);
  for (guint i = 0; i < n; i++)
    {
      CoLeaseShard *shard = &leases->shards[g_array_index (leases->written, guint, i)];
      CoLeaseRow row = row_to_write (leases, shard, kind);
      char *value = co_lease_row_value (&row);

      g_ptr_array_add (values, value);
      checks[transaction.n_checks++] = (TbCheck){ shard->key, shard->version };
      writes[transaction.n_writes++] = (TbWrite){ shard->key, value };
      if (kind != CO_LEASE_ACQUIRE)
        continue;
      writes[transaction.n_writes++] = (TbWrite){ shard->fence_key, value };
      shard->acquiring = TRUE;
      shard->acquiring_fence = row.fence;
    }
  leases->write_call = tb_transact (leases->options.platform, &transaction, on_written, leases);
  g_ptr_array_free (values, TRUE);
  g_free (checks);
  g_free (writes);
}

static gboolean
needs_release (const CoLeases *leases, const CoLeaseShard *shard)
{
  return !shard->held && co_lease_is_ours (leases, shard)
         && (leases->releasing || co_lease_rank (leases, shard) > 0);
}

static gboolean
needs_write (const CoLeases *leases, const CoLeaseShard *shard, CoLeaseWrite kind)
{
  switch (kind)
    {
    case CO_LEASE_RENEW:
      return shard->held;
    case CO_LEASE_ACQUIRE:
      return co_lease_should_acquire (leases, shard) && !needs_release (leases, shard);
    case CO_LEASE_RELEASE:
      return needs_release (leases, shard);
    }
  return FALSE;
}

void
co_leases_write (CoLeases *leases, CoLeaseWrite kind)
{
  guint limit = kind == CO_LEASE_ACQUIRE ? leases->acquire_batch : leases->options.n_shards;

  if (leases->write_call != 0 || leases->scanned_at < leases->blocked_until)
    return;
  g_array_set_size (leases->written, 0);
  for (guint i = 0; i < leases->options.n_shards && leases->written->len < limit; i++)
    {
      if (needs_write (leases, &leases->shards[i], kind))
        g_array_append_val (leases->written, i);
    }
  if (leases->written->len > 0)
    send_write (leases, kind);
}
