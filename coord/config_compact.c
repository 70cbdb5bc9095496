#include "coord/config_compact.h"

#include <jansson.h>
#include <string.h>

#include "coord/config_rows.h"
#include "coord/shard.h"

#define SHARD_KEY "config/history"

/* Larger than the maximum number of changes per operation, so that a page always contains the end
   of an operation. */
#define PAGE_ROWS 600

struct CoConfigCompact
{
  CoConfigCompactOptions options;
  guint shard;
  KnlTimerId timer;
  TbCallId call;
  guint64 revision_version; /* of the revision's row, read at the replica's revision */
  GPtrArray *deletions;     /* keys of the rows to delete */
};

static void look (gpointer data);

CoConfigCompact *
co_config_compact_new (const CoConfigCompactOptions *options)
{
  CoConfigCompact *compact = g_new0 (CoConfigCompact, 1);

  compact->options = *options;
  compact->shard = co_shard_of (SHARD_KEY, co_leases_count (options->leases));
  compact->deletions = g_ptr_array_new_with_free_func (g_free);
  compact->timer = knl_timer_start (options->kernel, options->interval, look, compact);
  return compact;
}

void
co_config_compact_free (CoConfigCompact *compact)
{
  if (compact == NULL)
    return;
  tb_call_cancel (compact->options.platform, &compact->call);
  knl_timer_stop (compact->options.kernel, &compact->timer);
  g_ptr_array_free (compact->deletions, TRUE);
  g_free (compact);
}

static char *
operation_of (const TbRow *row)
{
  json_t *value = json_loads (row->value, 0, NULL);
  char *operation = g_strdup (json_string_value (json_object_get (value, "operation")));

  json_decref (value);
  return operation;
}

static gboolean
is_same_operation (const TbRow *a, const TbRow *b)
{
  char *x = operation_of (a);
  char *y = operation_of (b);
  gboolean same = g_strcmp0 (x, y) == 0;

  g_free (x);
  g_free (y);
  return same;
}

/* Number of rows to delete: those beyond `keep`, and of each operation all rows or none. */
static guint
count_expired (const CoConfigCompact *compact, const TbRow *rows, guint n_rows, gboolean more)
{
  guint64 revision = *co_config_revision (compact->options.replica);
  guint n = 0;

  while (n < n_rows && co_row_revision (rows[n].value) + compact->options.keep <= revision)
    n++;
  if (n == n_rows && more)
    n--;
  while (n > 0 && n < n_rows && is_same_operation (&rows[n - 1], &rows[n]))
    n--;
  return n;
}

static void
add_deletions (CoConfigCompact *compact, const TbRow *row)
{
  Alderturn__ConfigChange *change = co_row_to_change (row);
  char *operation = operation_of (row);
  char *operation_key = co_operation_key (operation != NULL ? operation : "");
  guint last = compact->deletions->len;

  g_ptr_array_add (compact->deletions, g_strdup (row->key));
  /* The tombstone of a removed object, unless the object has been created again. */
  if (change->removed
      && co_config_find (compact->options.replica, change->kind, change->name) == NULL)
    g_ptr_array_add (compact->deletions, co_object_key (change->kind, change->name));
  if (last == 0 || strcmp (g_ptr_array_index (compact->deletions, last - 1), operation_key) != 0)
    g_ptr_array_add (compact->deletions, g_strdup (operation_key));
  g_free (operation_key);
  g_free (operation);
  alderturn__config_change__free_unpacked (change, NULL);
}

static void
on_deleted (TbStatus status, guint64 version, gpointer data)
{
  ((CoConfigCompact *)data)->call = 0;
}

/* The check of the revision's row ensures that the replica equals the table's state. */
static void
send_deletions (CoConfigCompact *compact)
{
  TbWrite *writes = g_new0 (TbWrite, compact->deletions->len);
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  TbCheck checks[] = {
    { .key = CO_REVISION_ROW, .version = compact->revision_version },
    co_lease_check (compact->options.leases, compact->shard),
  };
  TbTransaction transaction = { .checks = checks,
                                .n_checks = G_N_ELEMENTS (checks),
                                .writes = writes };

  for (guint i = 0; i < compact->deletions->len; i++)
    {
      if (g_hash_table_add (seen, g_ptr_array_index (compact->deletions, i)))
        writes[transaction.n_writes++].key = g_ptr_array_index (compact->deletions, i);
    }
  if (transaction.n_writes > 0 && co_lease_valid (compact->options.leases, compact->shard, NULL))
    compact->call = tb_transact (compact->options.platform, &transaction, on_deleted, compact);
  g_hash_table_destroy (seen);
  g_free (writes);
}

static void
on_changes (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  CoConfigCompact *compact = data;
  guint n_expired;

  compact->call = 0;
  if (status != TB_OK)
    return;
  n_expired = count_expired (compact, rows, n_rows, more);
  g_ptr_array_set_size (compact->deletions, 0);
  for (guint i = 0; i < n_expired; i++)
    add_deletions (compact, &rows[i]);
  send_deletions (compact);
}

static void
on_revision (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  CoConfigCompact *compact = data;

  compact->call = 0;
  if (status != TB_OK || n_rows == 0
      || co_row_revision (rows[0].value) != *co_config_revision (compact->options.replica))
    return;
  compact->revision_version = rows[0].version;
  compact->call =
      tb_scan (compact->options.platform, CO_CHANGE_PREFIX, NULL, PAGE_ROWS, on_changes, compact);
}

static void
look (gpointer data)
{
  CoConfigCompact *compact = data;

  compact->timer =
      knl_timer_start (compact->options.kernel, compact->options.interval, look, compact);
  if (compact->call == 0 && *co_config_revision (compact->options.replica) > compact->options.keep
      && co_lease_valid (compact->options.leases, compact->shard, NULL))
    compact->call = tb_read (compact->options.platform, CO_REVISION_ROW, on_revision, compact);
}
