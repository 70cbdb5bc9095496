#include "coord/suspect.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define ROW_PREFIX "suspect/"

/* Number of crashes that quarantine a fingerprint. */
#define QUARANTINE_CRASHES 2

#define PAGE_ROWS      500
#define MAX_WRITE_ROWS 64

/* Delay before a write, to batch several rows, and before a failed write is retried. */
#define WRITE_DELAY (20 * KNL_MSEC)
#define RETRY_DELAY (2 * KNL_SEC)

typedef struct
{
  guint64 fingerprint;
  char *crashes[QUARANTINE_CRASHES]; /* "ENDPOINT~INCARNATION" of each known crash; NULL: unused */
  guint count;                       /* crashes, including those known by their number only */
  KnlTime expires;
  guint64 version;   /* of the row as last seen; 0: no row */
  gboolean dirty;    /* the row must be written or deleted */
  guint64 seen_scan; /* scan that last found the row, or the current one when it was written */
} Suspect;

struct CoSuspects
{
  CoSuspectOptions options;
  GHashTable *by_fingerprint; /* fingerprint -> Suspect */
  TbCallId scan;
  TbCallId write;
  GArray *written;     /* fingerprints */
  char *after;         /* key of the last row scanned; NULL: start */
  guint64 scan_number; /* number of the current scan */
  KnlTimerId scan_timer;
  KnlTimerId write_timer;
};

static void scan_page (gpointer data);
static void write_dirty (gpointer data);

static void
suspect_free (gpointer data)
{
  Suspect *suspect = data;

  for (guint i = 0; i < QUARANTINE_CRASHES; i++)
    g_free (suspect->crashes[i]);
  g_free (suspect);
}

CoSuspects *
co_suspects_new (const CoSuspectOptions *options)
{
  CoSuspects *suspects = g_new0 (CoSuspects, 1);

  suspects->options = *options;
  suspects->by_fingerprint =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, suspect_free);
  suspects->written = g_array_new (FALSE, FALSE, sizeof (guint64));
  suspects->scan_timer = knl_timer_start (options->kernel, 0, scan_page, suspects);
  return suspects;
}

void
co_suspects_free (CoSuspects *suspects)
{
  if (suspects == NULL)
    return;
  tb_call_cancel (suspects->options.platform, &suspects->scan);
  tb_call_cancel (suspects->options.platform, &suspects->write);
  knl_timer_stop (suspects->options.kernel, &suspects->scan_timer);
  knl_timer_stop (suspects->options.kernel, &suspects->write_timer);
  g_hash_table_destroy (suspects->by_fingerprint);
  g_array_free (suspects->written, TRUE);
  g_free (suspects->after);
  g_free (suspects);
}

static void
fill_entry (const CoSuspects *suspects, const Suspect *suspect, Alderturn__SuspectEntry *entry)
{
  KnlTime left = suspect->expires - knl_kernel_now (suspects->options.kernel);

  alderturn__suspect_entry__init (entry);
  entry->fingerprint = suspect->fingerprint;
  entry->crashes = suspect->count;
  entry->quarantined = suspect->count >= QUARANTINE_CRASHES;
  entry->ttl_ms = (guint32)(MAX (left, 0) / KNL_MSEC);
}

static void
notify_changed (const CoSuspects *suspects, const Suspect *suspect)
{
  Alderturn__SuspectUpdate update = ALDERTURN__SUSPECT_UPDATE__INIT;
  Alderturn__SuspectEntry entry;
  Alderturn__SuspectEntry *entries[] = { &entry };

  fill_entry (suspects, suspect, &entry);
  update.entries = entries;
  update.n_entries = 1;
  suspects->options.changed (&update, suspects->options.data);
}

/*
 * Evicts a suspect when the list is full, so that a flood of crashing requests
 * can't exhaust the memory. The suspect with the fewest crashes is evicted, since
 * quarantined ones are the most important; of several, the one that expires first.
 */
static void
evict_if_full (CoSuspects *suspects)
{
  GHashTableIter iter;
  gpointer value;
  const Suspect *victim = NULL;

  if (g_hash_table_size (suspects->by_fingerprint) < suspects->options.max_suspects)
    return;
  g_hash_table_iter_init (&iter, suspects->by_fingerprint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Suspect *suspect = value;

      if (victim == NULL || suspect->count < victim->count
          || (suspect->count == victim->count && suspect->expires < victim->expires))
        victim = suspect;
    }
  if (victim != NULL)
    g_hash_table_remove (suspects->by_fingerprint, &victim->fingerprint);
}

static Suspect *
find_or_add (CoSuspects *suspects, guint64 fingerprint)
{
  Suspect *suspect = g_hash_table_lookup (suspects->by_fingerprint, &fingerprint);

  if (suspect != NULL)
    return suspect;
  evict_if_full (suspects);
  suspect = g_new0 (Suspect, 1);
  suspect->fingerprint = fingerprint;
  g_hash_table_insert (suspects->by_fingerprint, &suspect->fingerprint, suspect);
  return suspect;
}

/* TRUE if the crash was added; FALSE if it is known or `crashes` is full. */
static gboolean
add_crash (Suspect *suspect, const char *crash)
{
  for (guint i = 0; i < QUARANTINE_CRASHES; i++)
    {
      if (suspect->crashes[i] == NULL)
        {
          suspect->crashes[i] = g_strdup (crash);
          suspect->count = MAX (suspect->count, i + 1);
          return TRUE;
        }
      if (strcmp (suspect->crashes[i], crash) == 0)
        return FALSE;
    }
  return FALSE;
}

static void
schedule_write (CoSuspects *suspects, KnlTime delay)
{
  if (suspects->write_timer == 0)
    suspects->write_timer =
        knl_timer_start (suspects->options.kernel, delay, write_dirty, suspects);
}

gboolean
co_suspects_handle_crash (CoSuspects *suspects, const Alderturn__CrashReport *report, gboolean own)
{
  /* A process can crash only once: its crash counts once, however many entries report it. */
  char *crash =
      g_strdup_printf ("%s~%" G_GUINT64_FORMAT, report->endpoint, report->endpoint_incarnation);
  gboolean is_new = FALSE;

  for (size_t i = 0; i < report->n_fingerprints; i++)
    {
      Suspect *suspect = find_or_add (suspects, report->fingerprints[i]);
      guint before = suspect->count;

      if (!add_crash (suspect, crash))
        continue;
      is_new = TRUE;
      suspect->expires = knl_kernel_now (suspects->options.kernel) + suspects->options.ttl;
      suspect->dirty = own;
      if (suspect->count > before)
        notify_changed (suspects, suspect);
    }
  g_free (crash);
  if (own)
    schedule_write (suspects, WRITE_DELAY);
  return is_new;
}

void
co_suspects_handle_update (CoSuspects *suspects, const Alderturn__SuspectUpdate *update)
{
  KnlTime now = knl_kernel_now (suspects->options.kernel);

  for (size_t i = 0; i < update->n_entries; i++)
    {
      const Alderturn__SuspectEntry *entry = update->entries[i];
      KnlTime ttl = MIN ((KnlTime)entry->ttl_ms * KNL_MSEC, suspects->options.ttl);
      Suspect *suspect;

      if (ttl == 0)
        continue;
      suspect = find_or_add (suspects, entry->fingerprint);
      suspect->expires = MAX (suspect->expires, now + ttl);
      if (entry->crashes <= suspect->count)
        continue;
      suspect->count = entry->crashes;
      notify_changed (suspects, suspect);
    }
}

static char *
row_key (guint64 fingerprint)
{
  return g_strdup_printf (ROW_PREFIX "%016" G_GINT64_MODIFIER "x", fingerprint);
}

static void
apply_row (CoSuspects *suspects, const TbRow *row)
{
  guint64 fingerprint = g_ascii_strtoull (row->key + strlen (ROW_PREFIX), NULL, 16);
  Suspect *suspect = find_or_add (suspects, fingerprint);
  json_t *crashes = json_loads (row->value, 0, NULL);
  guint before = suspect->count;
  guint n_known = 0;
  size_t index;
  json_t *crash;

  suspect->seen_scan = suspects->scan_number;
  if (row->version <= suspect->version)
    {
      json_decref (crashes);
      return;
    }
  suspect->version = row->version;
  suspect->expires = knl_kernel_now (suspects->options.kernel) + suspects->options.ttl;
  json_array_foreach (crashes, index, crash)
  {
    if (json_is_string (crash))
      add_crash (suspect, json_string_value (crash));
  }
  for (guint i = 0; i < QUARANTINE_CRASHES; i++)
    n_known += suspect->crashes[i] != NULL ? 1 : 0;
  suspect->dirty = suspect->dirty && n_known > json_array_size (crashes);
  json_decref (crashes);
  if (suspect->count > before)
    notify_changed (suspects, suspect);
}

/*
 * Called at the end of a scan: a row that it did not find was deleted by
 * another controller. Its suspect is marked as having no row, so that expire()
 * does not try to delete the row again.
 */
static void
forget_deleted_rows (CoSuspects *suspects)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, suspects->by_fingerprint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (((Suspect *)value)->seen_scan < suspects->scan_number)
        ((Suspect *)value)->version = 0;
    }
  suspects->scan_number++;
}

/*
 * Removes expired suspects. One that still has a row is marked so that the row
 * is deleted first; the deletion's check fails if another controller has
 * written the row since.
 */
static void
expire (CoSuspects *suspects)
{
  KnlTime now = knl_kernel_now (suspects->options.kernel);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, suspects->by_fingerprint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Suspect *suspect = value;

      if (suspect->expires > now)
        continue;
      if (suspect->version == 0)
        g_hash_table_iter_remove (&iter);
      else
        suspect->dirty = TRUE;
    }
}

static void
schedule_scan (CoSuspects *suspects, KnlTime delay)
{
  knl_timer_stop (suspects->options.kernel, &suspects->scan_timer);
  suspects->scan_timer = knl_timer_start (suspects->options.kernel, delay, scan_page, suspects);
}

static void
on_scanned (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  CoSuspects *suspects = data;
  KnlTime delay = suspects->options.scan_interval;

  suspects->scan = 0;
  for (guint i = 0; i < n_rows; i++)
    apply_row (suspects, &rows[i]);
  g_clear_pointer (&suspects->after, g_free);
  if (status == TB_OK && more && n_rows > 0)
    {
      suspects->after = g_strdup (rows[n_rows - 1].key);
      delay = 0;
    }
  else if (status == TB_OK)
    forget_deleted_rows (suspects);
  schedule_scan (suspects, delay);
  expire (suspects);
  schedule_write (suspects, WRITE_DELAY);
}

static void
scan_page (gpointer data)
{
  CoSuspects *suspects = data;

  suspects->scan_timer = 0;
  if (suspects->scan == 0)
    suspects->scan = tb_scan (suspects->options.platform, ROW_PREFIX, suspects->after, PAGE_ROWS,
                              on_scanned, suspects);
}

static gboolean
is_expired (const CoSuspects *suspects, const Suspect *suspect)
{
  return suspect->expires <= knl_kernel_now (suspects->options.kernel);
}

static void
apply_written (CoSuspects *suspects, guint64 version)
{
  for (guint i = 0; i < suspects->written->len; i++)
    {
      Suspect *suspect = g_hash_table_lookup (suspects->by_fingerprint,
                                              &g_array_index (suspects->written, guint64, i));

      if (suspect == NULL)
        continue;
      suspect->dirty = FALSE;
      suspect->version = version;
      suspect->seen_scan = suspects->scan_number;
      if (is_expired (suspects, suspect))
        g_hash_table_remove (suspects->by_fingerprint, &suspect->fingerprint);
    }
}

static void
on_written (TbStatus status, guint64 version, gpointer data)
{
  CoSuspects *suspects = data;

  suspects->write = 0;
  if (status == TB_OK)
    {
      apply_written (suspects, version);
      schedule_write (suspects, WRITE_DELAY);
      return;
    }
  /* Others may have changed the rows, or this write may have succeeded: scan them, then retry. */
  if (status != TB_UNAVAILABLE)
    schedule_scan (suspects, 0);
  schedule_write (suspects, RETRY_DELAY);
}

static char *
row_value (const Suspect *suspect)
{
  json_t *crashes = json_array ();
  char *value;

  for (guint i = 0; i < QUARANTINE_CRASHES; i++)
    {
      if (suspect->crashes[i] != NULL)
        json_array_append_new (crashes, json_string (suspect->crashes[i]));
    }
  value = json_dumps (crashes, JSON_COMPACT);
  json_decref (crashes);
  return value;
}

static void
write_dirty (gpointer data)
{
  CoSuspects *suspects = data;
  TbCheck checks[MAX_WRITE_ROWS];
  TbWrite writes[MAX_WRITE_ROWS];
  TbTransaction transaction = { .checks = checks, .writes = writes };
  GHashTableIter iter;
  gpointer value;

  suspects->write_timer = 0;
  if (suspects->write != 0)
    return;
  g_array_set_size (suspects->written, 0);
  g_hash_table_iter_init (&iter, suspects->by_fingerprint);
  while (transaction.n_writes < MAX_WRITE_ROWS && g_hash_table_iter_next (&iter, NULL, &value))
    {
      Suspect *suspect = value;
      char *key;

      if (!suspect->dirty)
        continue;
      key = row_key (suspect->fingerprint);
      checks[transaction.n_checks++] = (TbCheck){ key, suspect->version };
      writes[transaction.n_writes++] =
          (TbWrite){ key, is_expired (suspects, suspect) ? NULL : row_value (suspect) };
      g_array_append_val (suspects->written, suspect->fingerprint);
    }
  if (transaction.n_writes > 0)
    suspects->write = tb_transact (suspects->options.platform, &transaction, on_written, suspects);
  for (guint i = 0; i < transaction.n_writes; i++)
    {
      g_free ((char *)writes[i].key);
      free ((char *)writes[i].value);
    }
}

Alderturn__SuspectUpdate *
co_suspects_all (CoSuspects *suspects)
{
  Alderturn__SuspectUpdate *update = g_new (Alderturn__SuspectUpdate, 1);
  GHashTableIter iter;
  gpointer value;

  alderturn__suspect_update__init (update);
  update->entries =
      g_new0 (Alderturn__SuspectEntry *, g_hash_table_size (suspects->by_fingerprint) + 1);
  g_hash_table_iter_init (&iter, suspects->by_fingerprint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Alderturn__SuspectEntry *entry = g_new (Alderturn__SuspectEntry, 1);

      fill_entry (suspects, value, entry);
      update->entries[update->n_entries++] = entry;
    }
  return update;
}

guint
co_suspects_count (const CoSuspects *suspects)
{
  return g_hash_table_size (suspects->by_fingerprint);
}
