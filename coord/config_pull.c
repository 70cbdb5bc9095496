#include "coord/config_pull.h"

#include "coord/config_rows.h"

#define PAGE_ROWS 200

/* Maximum reads of a snapshot, which is read again if the configuration changed meanwhile. */
#define MAX_SNAPSHOT_TRIES 5

struct CoConfigPull
{
  TbTable *platform;
  CoConfig *replica;
  CoConfigPullFunc ended;
  gpointer data;
  TbCallId call;
  char *after;        /* key of the last row read */
  GPtrArray *changes; /* Alderturn__ConfigChange, read but not applied yet */
  guint64 revision;   /* at the start of the snapshot */
  guint tries;
};

static void read_snapshot_start (CoConfigPull *pull);
static void read_snapshot_page (CoConfigPull *pull);
static void read_changes_page (CoConfigPull *pull);

static void
change_free (gpointer data)
{
  alderturn__config_change__free_unpacked (data, NULL);
}

CoConfigPull *
co_config_pull_new (TbTable *platform, CoConfig *replica, CoConfigPullFunc ended, gpointer data)
{
  CoConfigPull *pull = g_new0 (CoConfigPull, 1);

  pull->platform = platform;
  pull->replica = replica;
  pull->ended = ended;
  pull->data = data;
  pull->changes = g_ptr_array_new_with_free_func (change_free);
  return pull;
}

void
co_config_pull_free (CoConfigPull *pull)
{
  if (pull == NULL)
    return;
  tb_call_cancel (pull->platform, &pull->call);
  g_ptr_array_free (pull->changes, TRUE);
  g_free (pull->after);
  g_free (pull);
}

static void
end (CoConfigPull *pull)
{
  pull->call = 0;
  g_ptr_array_set_size (pull->changes, 0);
  g_clear_pointer (&pull->after, g_free);
  pull->ended (pull->data);
}

static void
apply (CoConfigPull *pull, guint64 from, guint64 revision)
{
  Alderturn__ConfigPush push = ALDERTURN__CONFIG_PUSH__INIT;

  push.from_revision = from;
  push.revision = revision;
  push.changes = (Alderturn__ConfigChange **)pull->changes->pdata;
  push.n_changes = pull->changes->len;
  co_config_apply (pull->replica, &push);
  g_ptr_array_set_size (pull->changes, 0);
}

static void
save_last_key (CoConfigPull *pull, const TbRow *rows, guint n_rows)
{
  g_free (pull->after);
  pull->after = g_strdup (rows[n_rows - 1].key);
}

static void
on_snapshot_end (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  CoConfigPull *pull = data;
  guint64 now = n_rows > 0 ? co_row_revision (rows[0].value) : 0;

  pull->call = 0;
  /* Objects read while the revision changed may belong to different revisions: read them again. */
  if (status == TB_OK && now != pull->revision && ++pull->tries < MAX_SNAPSHOT_TRIES)
    {
      read_snapshot_start (pull);
      return;
    }
  if (status == TB_OK && now == pull->revision)
    apply (pull, 0, now);
  end (pull);
}

static void
on_snapshot_page (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  CoConfigPull *pull = data;

  pull->call = 0;
  if (status != TB_OK)
    {
      end (pull);
      return;
    }
  for (guint i = 0; i < n_rows; i++)
    {
      Alderturn__ConfigChange *change = co_row_to_change (&rows[i]);

      if (change->removed)
        change_free (change);
      else
        g_ptr_array_add (pull->changes, change);
    }
  if (more && n_rows > 0)
    {
      save_last_key (pull, rows, n_rows);
      read_snapshot_page (pull);
      return;
    }
  pull->call = tb_read (pull->platform, CO_REVISION_ROW, on_snapshot_end, pull);
}

static void
read_snapshot_page (CoConfigPull *pull)
{
  pull->call =
      tb_scan (pull->platform, CO_OBJECT_PREFIX, pull->after, PAGE_ROWS, on_snapshot_page, pull);
}

static void
on_snapshot_start (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  CoConfigPull *pull = data;

  pull->call = 0;
  if (status != TB_OK || n_rows == 0)
    {
      end (pull);
      return;
    }
  pull->revision = co_row_revision (rows[0].value);
  read_snapshot_page (pull);
}

static void
read_snapshot_start (CoConfigPull *pull)
{
  g_clear_pointer (&pull->after, g_free);
  g_ptr_array_set_size (pull->changes, 0);
  pull->call = tb_read (pull->platform, CO_REVISION_ROW, on_snapshot_start, pull);
}

static void
on_changes_page (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  CoConfigPull *pull = data;
  guint64 have = *co_config_revision (pull->replica);
  guint64 last = have;

  pull->call = 0;
  /* A peer's push may have been applied meanwhile: skip rows up to the replica's revision. */
  for (guint i = 0; i < n_rows; i++)
    {
      Alderturn__ConfigChange *change = co_row_to_change (&rows[i]);

      if (change->revision != last + 1)
        {
          change_free (change);
          continue;
        }
      last++;
      g_ptr_array_add (pull->changes, change);
    }
  /* The rows that the replica needs next have been compacted. */
  if (status == TB_OK && last == have)
    {
      read_snapshot_start (pull);
      return;
    }
  if (last > have)
    apply (pull, have, last);
  if (status != TB_OK || !more)
    {
      end (pull);
      return;
    }
  save_last_key (pull, rows, n_rows);
  read_changes_page (pull);
}

static void
read_changes_page (CoConfigPull *pull)
{
  pull->call =
      tb_scan (pull->platform, CO_CHANGE_PREFIX, pull->after, PAGE_ROWS, on_changes_page, pull);
}

void
co_config_pull_start (CoConfigPull *pull)
{
  guint64 have = *co_config_revision (pull->replica);

  if (pull->call != 0)
    return;
  pull->tries = 0;
  if (have == 0)
    {
      read_snapshot_start (pull);
      return;
    }
  pull->after = co_change_key (have);
  read_changes_page (pull);
}
