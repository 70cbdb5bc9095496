#include "coord/config_store.h"

#include "common/log.h"
#include "coord/config_apply.h"
#include "coord/config_pull.h"
#include "coord/config_rows.h"

struct CoConfigStore
{
  CoConfigStoreOptions options;
  CoConfigApplyHost apply_host;
  CoConfigPull *pull;
  GList *applies; /* CoConfigApply */
  gboolean reader;
  gboolean compared; /* with the table or a ready peer */
  gboolean ready;
  guint64 highest;
  TbCallId poll_call;
  KnlTimerId poll_timer;
};

static void poll_revision (gpointer data);

static void
update_ready (CoConfigStore *store)
{
  guint64 have = *co_config_revision (store->options.replica);

  /*
   * An instance that started behind would serve an older configuration than the one
   * in force elsewhere: a workspace's new rights would depend on the instance that
   * its request reaches. So an instance isn't ready below the highest known revision.
   */
  if (!store->ready && store->compared && have >= store->highest)
    {
      store->ready = TRUE;
      cm_log (CM_LOG_INFO, "configuration-ready", "i", "revision", (gint64)have);
      if (store->options.on_ready != NULL)
        store->options.on_ready (store->options.data);
    }
}

static void
on_replica_changed (CoConfig *config, guint64 before, gpointer data)
{
  CoConfigStore *store = data;

  store->highest = MAX (store->highest, *co_config_revision (config));
  update_ready (store);
}

static void
on_pull_ended (gpointer data)
{
  CoConfigStore *store = data;

  for (GList *l = store->applies; l != NULL; l = l->next)
    co_config_apply_resume (l->data);
}

static void
schedule_poll (CoConfigStore *store, KnlTime delay)
{
  knl_timer_stop (store->options.kernel, &store->poll_timer);
  store->poll_timer = knl_timer_start (store->options.kernel, delay, poll_revision, store);
}

static void
on_polled (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  CoConfigStore *store = data;
  guint64 revision = n_rows > 0 ? co_row_revision (rows[0].value) : 0;
  guint64 have = *co_config_revision (store->options.replica);

  store->poll_call = 0;
  schedule_poll (store, store->reader || !store->ready ? store->options.poll_interval
                                                       : store->options.idle_interval);
  if (status != TB_OK)
    return;
  if (revision < have)
    cm_log (CM_LOG_WARNING, "configuration-table-behind", "i", "revision", (gint64)revision, "i",
            "have", (gint64)have);
  store->compared = TRUE;
  co_config_store_note_revision (store, revision);
  if (revision > have)
    co_config_pull_start (store->pull);
}

static void
poll_revision (gpointer data)
{
  CoConfigStore *store = data;

  store->poll_timer = 0;
  if (store->poll_call == 0)
    store->poll_call = tb_read (store->options.platform, CO_REVISION_ROW, on_polled, store);
}

static void
on_pull_requested (gpointer data, guint64 revision)
{
  CoConfigStore *store = data;

  co_config_store_note_revision (store, revision);
  co_config_pull_start (store->pull);
}

static void
on_apply_ended (gpointer data, CoConfigApply *apply)
{
  CoConfigStore *store = data;

  store->applies = g_list_remove (store->applies, apply);
}

CoConfigStore *
co_config_store_new (const CoConfigStoreOptions *options)
{
  CoConfigStore *store = g_new0 (CoConfigStore, 1);

  store->options = *options;
  store->apply_host = (CoConfigApplyHost){
    .kernel = options->kernel,
    .platform = options->platform,
    .replica = options->replica,
    .timeout = options->apply_timeout,
    .request_pull = on_pull_requested,
    .ended = on_apply_ended,
    .store = store,
  };
  store->pull = co_config_pull_new (options->platform, options->replica, on_pull_ended, store);
  co_config_observe (options->replica, on_replica_changed, store);
  poll_revision (store);
  return store;
}

void
co_config_store_free (CoConfigStore *store)
{
  if (store == NULL)
    return;
  while (store->applies != NULL)
    co_config_apply_abandon (store->applies->data);
  co_config_pull_free (store->pull);
  tb_call_cancel (store->options.platform, &store->poll_call);
  knl_timer_stop (store->options.kernel, &store->poll_timer);
  g_free (store);
}

void
co_config_store_apply (CoConfigStore *store, const CoApply *apply, CoApplyFunc done, gpointer data)
{
  store->applies =
      g_list_prepend (store->applies, co_config_apply_new (&store->apply_host, apply, done, data));
}

void
co_config_store_set_reader (CoConfigStore *store, gboolean reader)
{
  if (reader && !store->reader)
    schedule_poll (store, 0);
  store->reader = reader;
}

void
co_config_store_note_revision (CoConfigStore *store, guint64 revision)
{
  store->highest = MAX (store->highest, revision);
  update_ready (store);
}

void
co_config_store_note_peer_sync (CoConfigStore *store)
{
  store->compared = TRUE;
  update_ready (store);
}

gboolean
co_config_store_ready (const CoConfigStore *store)
{
  return store->ready;
}

guint64
co_config_store_highest (const CoConfigStore *store)
{
  return store->highest;
}

void
co_config_store_poll (CoConfigStore *store)
{
  schedule_poll (store, 0);
}
