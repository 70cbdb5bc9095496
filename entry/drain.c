/**
 * Graceful shutdown. Callers cache the list of entries for a limited time, so an
 * entry first leaves the list and keeps serving until cached lists have expired.
 * Only then does it refuse new requests, finish the running ones, and end.
 */

#include "common/log.h"
#include "entry/core_internal.h"

/* Added to the cache time: clocks differ, and other entries see the change with a delay. */
#define CACHE_TTL_MARGIN (2 * KNL_SEC)

/* Minimum time for which requests are refused, with the new list of entries, if nothing runs. */
#define MIN_REFUSE_TIME (500 * KNL_MSEC)

/*
 * Cancellations that are still unacknowledged by then are left to the engines, which
 * release requests after their own hold time.
 */
#define CANCELS_TIMEOUT (10 * KNL_SEC)

static void
on_over (gpointer data)
{
  EnCore *core = data;

  core->drain_timer = 0;
  en_core_check_drained (core);
}

static gboolean
has_unacknowledged (const EnCore *core)
{
  return en_cancels_pending (core->cancels) > 0 || en_records_pending (core->records) > 0;
}

void
en_core_check_drained (EnCore *core)
{
  KnlTime now = knl_kernel_now (core->kernel);

  if (core->drain != EN_DRAIN_REFUSING || g_hash_table_size (core->requests) > 0)
    return;
  if (now < core->refusing_since + MIN_REFUSE_TIME
      || (has_unacknowledged (core) && now < core->refusing_since + CANCELS_TIMEOUT))
    {
      if (core->drain_timer == 0)
        core->drain_timer = knl_timer_start (core->kernel, MIN_REFUSE_TIME, on_over, core);
      return;
    }
  core->drain = EN_DRAIN_COMPLETE;
  cm_log (CM_LOG_NOTICE, "drained", "i", "cancels_left",
          (gint64)en_cancels_pending (core->cancels));
  if (core->drained != NULL)
    core->drained (core->drained_data);
}

static void
on_lists_expired (gpointer data)
{
  EnCore *core = data;

  knl_timer_stop (core->kernel, &core->drain_timer);
  core->drain = EN_DRAIN_REFUSING;
  core->refusing_since = knl_kernel_now (core->kernel);
  cm_log (CM_LOG_NOTICE, "drain-refusing", "i", "in_flight",
          (gint64)g_hash_table_size (core->requests));
  en_core_send_status (core);
  en_core_check_drained (core);
}

static void
start_leaving (EnCore *core)
{
  if (core->drain != EN_DRAIN_SERVING)
    return;
  core->drain = EN_DRAIN_LEAVING;
  cm_log (CM_LOG_NOTICE, "drain-leaving", "i", "in_flight",
          (gint64)g_hash_table_size (core->requests));
  en_core_send_status (core);
  core->drain_timer = knl_timer_start (core->kernel, core->settings.entries_ttl + CACHE_TTL_MARGIN,
                                       on_lists_expired, core);
}

void
en_core_drain (EnCore *core, EnDrainedFunc drained, gpointer data)
{
  core->drained = drained;
  core->drained_data = data;
  if (core->drain == EN_DRAIN_COMPLETE)
    drained (data);
  else
    start_leaving (core);
}

static void
end_unfinished (EnCore *core, EnRequest *request)
{
  EnOutcome outcome = en_core_outcome_if_ended (request);
  EnError error = {
    .code = outcome == EN_OUTCOME_NOT_RUN ? EN_ERROR_DRAINING : EN_ERROR_CUT,
    .outcome = outcome,
    .message = "the entry is ending",
  };

  en_core_end_error (core, request, &error);
}

void
en_core_end_requests (EnCore *core)
{
  GHashTableIter iter;
  gpointer request;

  if (core->drain == EN_DRAIN_LEAVING)
    on_lists_expired (core);
  for (;;)
    {
      g_hash_table_iter_init (&iter, core->requests);
      if (!g_hash_table_iter_next (&iter, NULL, &request))
        return;
      end_unfinished (core, request);
    }
}

void
en_core_check_declared_state (EnCore *core)
{
  const CoObject *object = co_config_find (core->config, "instance", core->instance);
  gboolean draining =
      object != NULL && g_strcmp0 (co_object_string (object, "state"), "draining") == 0;

  if (draining)
    start_leaving (core);
  else if (core->drained == NULL && core->drain != EN_DRAIN_SERVING)
    {
      /* An operator withdrew the declaration to drain. */
      knl_timer_stop (core->kernel, &core->drain_timer);
      core->drain = EN_DRAIN_SERVING;
      cm_log (CM_LOG_NOTICE, "drain-ended");
      en_core_send_status (core);
    }
}
