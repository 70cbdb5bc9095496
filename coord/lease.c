#include "coord/lease.h"

#include <string.h>

#include "common/log.h"
#include "coord/lease_private.h"
#include "coord/shard.h"

#define LEASE_PREFIX "lease/"

/* Intervals as divisors of the lease's duration. */
#define TICKS_PER_LEASE    24
#define SCANS_PER_LEASE    6
#define RENEWALS_PER_LEASE 3

/* A contender waits 1/8 longer than the lease's duration, for clocks that run at unequal rates. */
#define MARGIN_DIVISOR 8

/* Limit on the scans per second of all candidates together; each spaces out its own scans. */
#define MAX_SCANS_PER_SECOND 50

/* A candidate waits this long per candidate ranked before it for the shard, so that those try
   first. */
#define RANK_DELAY (500 * KNL_MSEC)

/*
 * A shard is handed over to its preferred candidate once the candidates have
 * not changed for STABLE_PERIOD; hand-overs are at least HANDOVER_INTERVAL apart.
 */
#define STABLE_PERIOD     (5 * KNL_SEC)
#define HANDOVER_INTERVAL (500 * KNL_MSEC)

/* A shard that returned after a hand-over is not handed over again for this time. */
#define HANDOVER_HOLD_DOWN (60 * KNL_SEC)

/*
 * A shard that was just acquired is not handed over for this time: its
 * preferred candidate may be shutting down.
 */
#define GAINED_HOLD_DOWN (10 * KNL_SEC)

/* Maximum wait for the table to accept the release of all leases. */
#define RELEASE_TIMEOUT (2 * KNL_SEC)

CoLeases *
co_leases_new (const CoLeasesOptions *options)
{
  CoLeases *leases = g_new0 (CoLeases, 1);

  leases->options = *options;
  leases->shards = g_new0 (CoLeaseShard, options->n_shards);
  leases->observers = g_array_new (FALSE, FALSE, sizeof (CoLeaseObserver));
  leases->candidates = g_ptr_array_new_with_free_func (g_free);
  leases->written = g_array_new (FALSE, FALSE, sizeof (guint));
  leases->acquire_batch = options->n_shards;
  leases->scanned_at = -1;
  for (guint i = 0; i < options->n_shards; i++)
    {
      CoLeaseShard *shard = &leases->shards[i];

      shard->number = i;
      shard->key = g_strdup_printf (LEASE_PREFIX "%u", i);
      shard->fence_key = g_strdup_printf ("fence/%u", i);
      shard->hash_key = g_strdup_printf ("shard/%u", i);
      shard->acquirable_since = KNL_NEVER;
    }
  leases->tick = knl_timer_start (options->kernel, 0, co_leases_tick, leases);
  return leases;
}

void
co_leases_free (CoLeases *leases)
{
  if (leases == NULL)
    return;
  tb_call_cancel (leases->options.platform, &leases->scan_call);
  tb_call_cancel (leases->options.platform, &leases->write_call);
  knl_timer_stop (leases->options.kernel, &leases->tick);
  knl_timer_stop (leases->options.kernel, &leases->lapse_timer);
  knl_timer_stop (leases->options.kernel, &leases->release_timer);
  for (guint i = 0; i < leases->options.n_shards; i++)
    {
      g_free (leases->shards[i].key);
      g_free (leases->shards[i].fence_key);
      g_free (leases->shards[i].hash_key);
      co_lease_row_clear (&leases->shards[i].row);
    }
  g_free (leases->shards);
  g_array_free (leases->observers, TRUE);
  g_array_free (leases->written, TRUE);
  g_ptr_array_free (leases->candidates, TRUE);
  g_free (leases);
}

void
co_leases_observe (CoLeases *leases, CoLeaseFunc func, gpointer data)
{
  CoLeaseObserver observer = { .func = func, .data = data };

  g_array_append_val (leases->observers, observer);
}

static void
notify_observers (CoLeases *leases, guint shard, guint64 fence)
{
  for (guint i = 0; i < leases->observers->len; i++)
    {
      CoLeaseObserver observer = g_array_index (leases->observers, CoLeaseObserver, i);

      observer.func (leases, shard, fence, observer.data);
    }
}

gboolean
co_lease_is_ours (const CoLeases *leases, const CoLeaseShard *shard)
{
  return shard->version != 0 && !shard->row.released
         && shard->row.incarnation == leases->options.incarnation
         && strcmp (shard->row.holder, leases->options.name) == 0;
}

void
co_lease_gain (CoLeases *leases, CoLeaseShard *shard, guint64 version)
{
  shard->acquiring = FALSE;
  if (leases->releasing)
    return;
  shard->held = TRUE;
  shard->no_handover_until =
      MAX (shard->no_handover_until, co_leases_now (leases) + GAINED_HOLD_DOWN);
  shard->fence_version = version;
  shard->valid_until = shard->row.sent + leases->options.duration;
  cm_log (CM_LOG_INFO, "lease-gained", "i", "shard", (gint64)shard->number, "i", "fence",
          (gint64)shard->row.fence);
  notify_observers (leases, shard->number, shard->row.fence);
}

static void
lose (CoLeases *leases, CoLeaseShard *shard, const char *reason)
{
  if (!shard->held)
    return;
  shard->held = FALSE;
  cm_log (CM_LOG_NOTICE, "lease-lost", "i", "shard", (gint64)shard->number, "i", "fence",
          (gint64)shard->row.fence, "s", "reason", reason);
  notify_observers (leases, shard->number, 0);
}

static void
drop_lapsed (CoLeases *leases)
{
  for (guint i = 0; i < leases->options.n_shards; i++)
    {
      CoLeaseShard *shard = &leases->shards[i];

      if (shard->held && co_leases_now (leases) >= shard->valid_until)
        lose (leases, shard, "lapsed");
    }
}

static void
on_lapse (gpointer data)
{
  CoLeases *leases = data;

  leases->lapse_timer = 0;
  drop_lapsed (leases);
}

gboolean
co_lease_valid (CoLeases *leases, guint number, guint64 *fence)
{
  CoLeaseShard *shard = &leases->shards[number];

  /*
   * This process may have been paused: its timers run late and another process
   * may hold the lease by now. The clock is therefore read here, at the time of
   * the action; otherwise two holders could grant the same memory and send
   * conflicting orders.
   */
  if (!shard->held)
    return FALSE;
  if (co_leases_now (leases) >= shard->valid_until)
    {
      /*
       * Code that iterates over its own tables may call this for each item. Its
       * observer would change those tables, so observers are notified from a
       * timer instead.
       */
      if (leases->lapse_timer == 0)
        leases->lapse_timer = knl_timer_start (leases->options.kernel, 0, on_lapse, leases);
      return FALSE;
    }
  if (fence != NULL)
    *fence = shard->row.fence;
  return TRUE;
}

TbCheck
co_lease_check (const CoLeases *leases, guint number)
{
  const CoLeaseShard *shard = &leases->shards[number];

  return (TbCheck){ .key = shard->fence_key, .version = shard->fence_version };
}

guint
co_leases_count (const CoLeases *leases)
{
  return leases->options.n_shards;
}

guint
co_leases_held (CoLeases *leases)
{
  guint held = 0;

  for (guint i = 0; i < leases->options.n_shards; i++)
    held += co_lease_valid (leases, i, NULL) ? 1 : 0;
  return held;
}

KnlTime
co_leases_duration (const CoLeases *leases)
{
  return leases->options.duration;
}

CoLeaseView
co_lease_view (CoLeases *leases, guint number)
{
  const CoLeaseShard *shard = &leases->shards[number];
  KnlTime now = co_leases_now (leases);
  CoLeaseView view = { .state = CO_LEASE_VACANT, .fence = shard->row.fence };

  if (co_lease_valid (leases, number, NULL))
    {
      view.state = CO_LEASE_HELD;
      view.holder = leases->options.name;
      view.remaining = shard->valid_until - now;
    }
  else if (leases->scanned_at < 0 || now - leases->scanned_at > 2 * leases->options.duration)
    view.state = CO_LEASE_UNKNOWN;
  else if (shard->version != 0 && !shard->row.released && !co_lease_is_ours (leases, shard)
           && now - shard->unchanged_since < shard->row.duration)
    {
      view.state = CO_LEASE_HELD;
      view.holder = shard->row.holder;
      view.remaining = shard->row.duration - (now - shard->unchanged_since);
    }
  return view;
}

void
co_leases_set_candidates (CoLeases *leases, const char *const *names, guint n_names)
{
  gboolean same = leases->candidates->len == n_names;

  for (guint i = 0; same && i < n_names; i++)
    same = strcmp (g_ptr_array_index (leases->candidates, i), names[i]) == 0;
  if (same)
    return;
  g_ptr_array_set_size (leases->candidates, 0);
  for (guint i = 0; i < n_names; i++)
    g_ptr_array_add (leases->candidates, g_strdup (names[i]));
  leases->stable_since = co_leases_now (leases);
}

guint
co_lease_rank (const CoLeases *leases, const CoLeaseShard *shard)
{
  return co_rendezvous_rank ((const char *const *)leases->candidates->pdata,
                             leases->candidates->len, leases->options.name, shard->hash_key);
}

/* Like co_lease_rank(), but not counting the holder that released the shard. */
static guint
acquire_rank (const CoLeases *leases, const CoLeaseShard *shard)
{
  guint rank = co_lease_rank (leases, shard);
  const char *former = shard->version != 0 && shard->row.released ? shard->row.holder : NULL;

  if (rank == 0 || former == NULL
      || co_rendezvous_weight (former, shard->hash_key)
             <= co_rendezvous_weight (leases->options.name, shard->hash_key))
    return rank;
  return rank - 1;
}

/* TRUE if there is no row, it is released or ours, or it was observed unchanged for long enough. */
static gboolean
is_acquirable (const CoLeases *leases, const CoLeaseShard *shard)
{
  if (shard->version == 0 || shard->row.released || co_lease_is_ours (leases, shard))
    return TRUE;
  /*
   * The holder counts its lease from before it sent the write that was first
   * seen here at `unchanged_since`. With an earlier acquisition two holders
   * could act at the same time.
   */
  return leases->scanned_at - shard->unchanged_since
         >= shard->row.duration + shard->row.duration / MARGIN_DIVISOR;
}

static void
update_acquirable (CoLeases *leases, CoLeaseShard *shard)
{
  if (shard->held || !is_acquirable (leases, shard))
    shard->acquirable_since = KNL_NEVER;
  else if (shard->acquirable_since == KNL_NEVER)
    shard->acquirable_since = co_leases_now (leases);
}

gboolean
co_lease_should_acquire (const CoLeases *leases, const CoLeaseShard *shard)
{
  if (leases->releasing || shard->held || shard->acquirable_since == KNL_NEVER
      || leases->candidates->len == 0)
    return FALSE;
  return co_leases_now (leases) - shard->acquirable_since
         >= acquire_rank (leases, shard) * RANK_DELAY;
}

static void
update_all_acquirable (CoLeases *leases)
{
  for (guint i = 0; i < leases->options.n_shards; i++)
    update_acquirable (leases, &leases->shards[i]);
}

static void
apply_row (CoLeases *leases, CoLeaseShard *shard, guint64 version, const char *value)
{
  CoLeaseRow row;

  /* Ignore versions that aren't newer, such as from a scan sent before our last write. */
  if (version <= shard->version || !co_lease_row_parse (value, &row))
    return;
  co_lease_row_clear (&shard->row);
  shard->row = row;
  shard->version = version;
  shard->unchanged_since = co_leases_now (leases);
  shard->acquirable_since = KNL_NEVER;
  if (!co_lease_is_ours (leases, shard))
    {
      shard->acquiring = FALSE;
      lose (leases, shard, "taken over");
    }
  else if (shard->held)
    shard->valid_until = MAX (shard->valid_until, row.sent + leases->options.duration);
  /*
   * The answer to our acquisition was lost but the write was carried out:
   * without this branch the shard would have no holder until the next
   * acquisition.
   */
  else if (shard->acquiring && row.fence == shard->acquiring_fence
           && co_leases_now (leases) < row.sent + leases->options.duration)
    co_lease_gain (leases, shard, version);
}

static guint64
shard_of_key (const char *key)
{
  return g_ascii_strtoull (key + strlen (LEASE_PREFIX), NULL, 10);
}

static void
on_scanned (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  CoLeases *leases = data;

  leases->scan_call = 0;
  if (status != TB_OK)
    return;
  leases->scanned_at = leases->scan_sent_at;
  for (guint i = 0; i < n_rows; i++)
    {
      guint64 number = shard_of_key (rows[i].key);

      if (number < leases->options.n_shards)
        apply_row (leases, &leases->shards[number], rows[i].version, rows[i].value);
    }
  update_all_acquirable (leases);
  knl_timer_stop (leases->options.kernel, &leases->tick);
  leases->tick = knl_timer_start (leases->options.kernel, 0, co_leases_tick, leases);
}

static KnlTime
scan_interval (const CoLeases *leases)
{
  KnlTime interval = leases->options.duration / SCANS_PER_LEASE;

  return MAX (interval, leases->candidates->len * (KNL_SEC / MAX_SCANS_PER_SECOND));
}

static void
scan_if_due (CoLeases *leases)
{
  KnlTime now = co_leases_now (leases);
  gboolean scan_needed = leases->scanned_at < leases->blocked_until;

  if (leases->scan_call != 0
      || (!scan_needed && leases->scanned_at >= 0
          && now - leases->scan_sent_at < scan_interval (leases)))
    return;
  leases->scan_sent_at = now;
  leases->scan_call = tb_scan (leases->options.platform, LEASE_PREFIX, NULL,
                               leases->options.n_shards, on_scanned, leases);
}

static void
finish_release (gpointer data)
{
  CoLeases *leases = data;

  knl_timer_stop (leases->options.kernel, &leases->release_timer);
  if (leases->released == NULL)
    return;
  leases->released (leases->released_data);
  leases->released = NULL;
}

/*
 * Hands over a shard that has a preferred candidate other than this process.
 * Without this, processes that started first would keep all shards, and those
 * that start later would get none.
 */
static void
hand_over_if_due (CoLeases *leases)
{
  KnlTime now = co_leases_now (leases);

  if (now - leases->stable_since < STABLE_PERIOD || now - leases->handed_over_at < HANDOVER_INTERVAL
      || leases->write_call != 0)
    return;
  for (guint i = 0; i < leases->options.n_shards; i++)
    {
      CoLeaseShard *shard = &leases->shards[i];

      if (!shard->held || now < shard->no_handover_until || co_lease_rank (leases, shard) == 0)
        continue;
      leases->handed_over_at = now;
      shard->no_handover_until = now + HANDOVER_HOLD_DOWN;
      lose (leases, shard, "handed over");
      return;
    }
}

static gboolean
owns_any_row (const CoLeases *leases)
{
  for (guint i = 0; i < leases->options.n_shards; i++)
    {
      if (co_lease_is_ours (leases, &leases->shards[i]))
        return TRUE;
    }
  return FALSE;
}

void
co_leases_tick (gpointer data)
{
  CoLeases *leases = data;
  KnlTime now = co_leases_now (leases);

  leases->tick = knl_timer_start (
      leases->options.kernel, leases->options.duration / TICKS_PER_LEASE, co_leases_tick, leases);
  drop_lapsed (leases);
  scan_if_due (leases);
  if (leases->scanned_at < 0)
    return;
  if (!leases->releasing
      && now - leases->renewed_at >= leases->options.duration / RENEWALS_PER_LEASE)
    {
      co_leases_write (leases, CO_LEASE_RENEW);
      if (leases->write_call != 0)
        leases->renewed_at = now;
    }
  hand_over_if_due (leases);
  co_leases_write (leases, CO_LEASE_RELEASE);
  co_leases_write (leases, CO_LEASE_ACQUIRE);
  if (leases->releasing && leases->write_call == 0 && !owns_any_row (leases))
    finish_release (leases);
}

void
co_leases_release (CoLeases *leases, void (*done) (gpointer data), gpointer data)
{
  gboolean has_work = leases->write_call != 0;

  leases->releasing = TRUE;
  leases->released = done;
  leases->released_data = data;
  for (guint i = 0; i < leases->options.n_shards; i++)
    {
      has_work = has_work || leases->shards[i].held;
      lose (leases, &leases->shards[i], "released");
    }
  leases->release_timer = knl_timer_start (leases->options.kernel, has_work ? RELEASE_TIMEOUT : 0,
                                           finish_release, leases);
  co_leases_write (leases, CO_LEASE_RELEASE);
}
