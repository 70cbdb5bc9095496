#include "tests/standins/table_model.h"

#include <string.h>

typedef struct
{
  double rate; /* calls per second, 0: unlimited */
  double left;
  KnlTime filled_at;
} Bucket;

struct SdTable
{
  KnlKernel *kernel;
  GTree *rows; /* key -> TbRow */
  guint64 version;
  Bucket write_bucket;
  Bucket read_bucket;
  SdTableFault fault;
  KnlTime fault_delay;
  guint fault_count;
  guint64 writes;
  guint64 reads;
};

static gint
key_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}

static void
row_free (gpointer data)
{
  TbRow *row = data;

  g_free (row->key);
  g_free (row->value);
  g_free (row);
}

static Bucket
bucket_full (KnlKernel *kernel, double rate)
{
  return (Bucket){ .rate = rate, .left = rate, .filled_at = knl_kernel_now (kernel) };
}

static gboolean
bucket_take (Bucket *bucket, KnlTime now)
{
  if (bucket->rate <= 0)
    return TRUE;
  bucket->left += bucket->rate * (double)(now - bucket->filled_at) / (double)KNL_SEC;
  bucket->left = MIN (bucket->left, bucket->rate);
  bucket->filled_at = now;
  if (bucket->left < 1)
    return FALSE;
  bucket->left -= 1;
  return TRUE;
}

SdTable *
sd_table_new (KnlKernel *kernel, double writes_per_second, double reads_per_second)
{
  SdTable *table = g_new0 (SdTable, 1);

  table->kernel = kernel;
  table->rows = g_tree_new_full (key_compare, NULL, NULL, row_free);
  table->write_bucket = bucket_full (kernel, writes_per_second);
  table->read_bucket = bucket_full (kernel, reads_per_second);
  return table;
}

void
sd_table_free (SdTable *table)
{
  if (table == NULL)
    return;
  g_tree_unref (table->rows);
  g_free (table);
}

void
sd_table_set_fault (SdTable *table, SdTableFault fault, KnlTime delay, guint count)
{
  table->fault = fault;
  table->fault_delay = delay;
  table->fault_count = count;
}

KnlTime
sd_table_delay (const SdTable *table)
{
  if (table->fault == SD_TABLE_HANG)
    return KNL_NEVER;
  return table->fault == SD_TABLE_SLOW ? table->fault_delay : 0;
}

gboolean
sd_table_refuses (const SdTable *table)
{
  return table->fault == SD_TABLE_OUTAGE || table->fault == SD_TABLE_HANG;
}

static gboolean
loses_answer (SdTable *table)
{
  if (table->fault != SD_TABLE_LOSE_ANSWERS || table->fault_count == 0)
    return FALSE;
  table->fault_count--;
  return TRUE;
}

static const char *
text_of (const json_t *item, const char *name)
{
  return json_string_value (json_object_get (item, name));
}

static const char *
key_of (const json_t *item)
{
  return text_of (item, "key") != NULL ? text_of (item, "key") : "";
}

static void
write_row (SdTable *table, const json_t *write)
{
  TbRow *row;

  if (text_of (write, "value") == NULL)
    {
      g_tree_remove (table->rows, key_of (write));
      return;
    }
  row = g_new0 (TbRow, 1);
  row->key = g_strdup (key_of (write));
  row->value = g_strdup (text_of (write, "value"));
  row->version = table->version;
  g_tree_replace (table->rows, row->key, row);
}

/* The first check that fails, or NULL. */
static const json_t *
failed_check (SdTable *table, const json_t *checks)
{
  size_t i;
  json_t *check;

  json_array_foreach (checks, i, check)
  {
    const TbRow *row = g_tree_lookup (table->rows, key_of (check));
    guint64 version = (guint64)json_integer_value (json_object_get (check, "version"));

    if ((row != NULL ? row->version : 0) != version)
      return check;
  }
  return NULL;
}

TbStatus
sd_table_transact (SdTable *table, const json_t *body, json_t **answer)
{
  const json_t *failed = failed_check (table, json_object_get (body, "checks"));
  size_t i;
  json_t *write;

  *answer = NULL;
  if (sd_table_refuses (table)
      || !bucket_take (&table->write_bucket, knl_kernel_now (table->kernel)))
    return TB_UNAVAILABLE;
  table->writes++;
  if (failed == NULL)
    {
      table->version++;
      json_array_foreach (json_object_get (body, "writes"), i, write) write_row (table, write);
    }
  if (loses_answer (table))
    return TB_UNKNOWN;
  if (failed == NULL)
    *answer = json_pack ("{s:I}", "version", (json_int_t)table->version);
  else
    *answer = json_pack ("{s:[s]}", "failed", key_of (failed));
  return failed == NULL ? TB_OK : TB_CONFLICT;
}

static GTreeNode *
first_node (SdTable *table, const char *key, const char *after)
{
  if (after != NULL && strcmp (after, key) >= 0)
    return g_tree_upper_bound (table->rows, after);
  return g_tree_lower_bound (table->rows, key);
}

static void
append_row (json_t *rows, const TbRow *row)
{
  json_array_append_new (rows, json_pack ("{s:s, s:s, s:I}", "key", row->key, "value", row->value,
                                          "version", (json_int_t)row->version));
}

/* Appends up to `limit` rows; TRUE when there are more. */
static gboolean
scan (SdTable *table, const char *prefix, const char *after, guint limit, json_t *rows)
{
  GTreeNode *node = first_node (table, prefix, after);

  for (; node != NULL; node = g_tree_node_next (node))
    {
      const TbRow *row = g_tree_node_value (node);

      if (!g_str_has_prefix (row->key, prefix))
        return FALSE;
      if (json_array_size (rows) == limit)
        return TRUE;
      append_row (rows, row);
    }
  return FALSE;
}

json_t *
sd_table_read (SdTable *table, const char *key, gboolean prefix, const char *after, guint limit)
{
  json_t *rows;
  const TbRow *row;
  gboolean more = FALSE;

  if (sd_table_refuses (table)
      || !bucket_take (&table->read_bucket, knl_kernel_now (table->kernel)))
    return NULL;
  table->reads++;
  rows = json_array ();
  row = prefix ? NULL : g_tree_lookup (table->rows, key);
  if (prefix)
    more = scan (table, key, after, limit, rows);
  else if (row != NULL)
    append_row (rows, row);
  return json_pack ("{s:o, s:b}", "rows", rows, "more", more);
}

guint64
sd_table_writes (const SdTable *table)
{
  return table->writes;
}

guint64
sd_table_reads (const SdTable *table)
{
  return table->reads;
}
