#include "coord/idem_sweep.h"

#include "coord/shard.h"

#define EPOCH_ROW       "idem-epoch"
#define ROW_PREFIX      "idem/"
#define PAGE_ROWS       50
#define READS_PER_EPOCH 8 /* reads of the epoch's row per `epoch_time` */

struct CoIdemSweep
{
  CoIdemSweepOptions options;
  guint shard;
  KnlTimerId timer;
  KnlTimerId page_timer;
  TbCallId epoch_call;
  TbCallId page_call;
  guint64 epoch;
  guint64 version;         /* of the epoch's row */
  KnlTime unchanged_since; /* when this process first saw this epoch */
  gboolean sweeping;
  char *after; /* key of the last row read */
  guint n_deleting;
  guint64 deleted;
};

static void read_epoch (gpointer data);
static void read_page (gpointer data);

CoIdemSweep *
co_idem_sweep_new (const CoIdemSweepOptions *options)
{
  CoIdemSweep *sweep = g_new0 (CoIdemSweep, 1);

  sweep->options = *options;
  sweep->shard = co_shard_of (EPOCH_ROW, co_leases_count (options->leases));
  sweep->timer = knl_timer_start (options->kernel, 0, read_epoch, sweep);
  return sweep;
}

void
co_idem_sweep_free (CoIdemSweep *sweep)
{
  if (sweep == NULL)
    return;
  tb_call_cancel (sweep->options.platform, &sweep->epoch_call);
  tb_call_cancel (sweep->options.platform, &sweep->page_call);
  knl_timer_stop (sweep->options.kernel, &sweep->timer);
  knl_timer_stop (sweep->options.kernel, &sweep->page_timer);
  g_free (sweep->after);
  g_free (sweep);
}

guint64
co_idem_sweep_deleted (const CoIdemSweep *sweep)
{
  return sweep->deleted;
}

static gboolean
is_holder (const CoIdemSweep *sweep)
{
  return co_lease_valid (sweep->options.leases, sweep->shard, NULL);
}

static void
on_raised (TbStatus status, guint64 version, gpointer data)
{
  /* The next read shows whether the write took effect. */
  ((CoIdemSweep *)data)->epoch_call = 0;
}

static void
raise_epoch (CoIdemSweep *sweep)
{
  char *value = g_strdup_printf ("%" G_GUINT64_FORMAT, sweep->epoch + 1);
  TbCheck checks[] = {
    { .key = EPOCH_ROW, .version = sweep->version },
    co_lease_check (sweep->options.leases, sweep->shard),
  };
  TbWrite write = { .key = EPOCH_ROW, .value = value };
  TbTransaction transaction = { checks, G_N_ELEMENTS (checks), &write, 1 };

  sweep->epoch_call = tb_transact (sweep->options.platform, &transaction, on_raised, sweep);
  g_free (value);
}

static void
start_sweep (CoIdemSweep *sweep)
{
  if (sweep->sweeping || sweep->epoch <= sweep->options.keep)
    return;
  sweep->sweeping = TRUE;
  sweep->page_timer = knl_timer_start (sweep->options.kernel, 0, read_page, sweep);
}

static void
on_epoch (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  CoIdemSweep *sweep = data;
  KnlTime now = knl_kernel_now (sweep->options.kernel);
  guint64 epoch = n_rows > 0 ? g_ascii_strtoull (rows[0].value, NULL, 10) : 0;
  gboolean new_epoch = epoch > sweep->epoch;

  sweep->epoch_call = 0;
  if (status != TB_OK)
    return;
  if (new_epoch || sweep->unchanged_since == 0)
    sweep->unchanged_since = now;
  sweep->epoch = epoch;
  sweep->version = n_rows > 0 ? rows[0].version : 0;
  co_idem_set_epoch (sweep->options.idem, epoch);
  if (!is_holder (sweep))
    return;
  if (epoch == 0 || now - sweep->unchanged_since >= sweep->options.epoch_time)
    raise_epoch (sweep);
  else if (new_epoch)
    start_sweep (sweep);
}

static void
read_epoch (gpointer data)
{
  CoIdemSweep *sweep = data;

  sweep->timer = knl_timer_start (sweep->options.kernel,
                                  sweep->options.epoch_time / READS_PER_EPOCH, read_epoch, sweep);
  if (sweep->epoch_call == 0)
    sweep->epoch_call = tb_read (sweep->options.platform, EPOCH_ROW, on_epoch, sweep);
}

static void
next_page (CoIdemSweep *sweep)
{
  if (sweep->after == NULL)
    sweep->sweeping = FALSE;
  else
    sweep->page_timer =
        knl_timer_start (sweep->options.kernel, sweep->options.page_delay, read_page, sweep);
}

static void
on_deleted (TbStatus status, guint64 version, gpointer data)
{
  CoIdemSweep *sweep = data;

  sweep->page_call = 0;
  /* After a failure the page's rows are left to the next epoch's sweep. */
  if (status == TB_OK)
    sweep->deleted += sweep->n_deleting;
  next_page (sweep);
}

static gboolean
is_expired (const CoIdemSweep *sweep, const TbRow *row)
{
  CoIdemRecord record;
  gboolean old = co_idem_record_parse (row->value, &record)
                 && record.epoch + sweep->options.keep < sweep->epoch;

  co_idem_record_clear (&record);
  return old;
}

static void
on_page (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  CoIdemSweep *sweep = data;
  TbCheck checks[PAGE_ROWS];
  TbWrite writes[PAGE_ROWS];
  TbTransaction transaction = { .checks = checks, .writes = writes };

  sweep->page_call = 0;
  g_clear_pointer (&sweep->after, g_free);
  if (status == TB_OK && more && n_rows > 0)
    sweep->after = g_strdup (rows[n_rows - 1].key);
  for (guint i = 0; i < MIN (n_rows, PAGE_ROWS); i++)
    {
      if (!is_expired (sweep, &rows[i]))
        continue;
      checks[transaction.n_checks++] = (TbCheck){ rows[i].key, rows[i].version };
      writes[transaction.n_writes++] = (TbWrite){ rows[i].key, NULL };
    }
  sweep->n_deleting = transaction.n_writes;
  if (transaction.n_writes > 0 && is_holder (sweep))
    sweep->page_call = tb_transact (sweep->options.platform, &transaction, on_deleted, sweep);
  else
    next_page (sweep);
}

static void
read_page (gpointer data)
{
  CoIdemSweep *sweep = data;

  sweep->page_timer = 0;
  if (!is_holder (sweep))
    {
      g_clear_pointer (&sweep->after, g_free);
      sweep->sweeping = FALSE;
      return;
    }
  sweep->page_call =
      tb_scan (sweep->options.platform, ROW_PREFIX, sweep->after, PAGE_ROWS, on_page, sweep);
}
