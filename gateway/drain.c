/** The end of an instance's life: it serves callers that still come, answers what it can't finish,
 * and ends when all answers have been written. */

#include "common/log.h"
#include "gateway.h"

/* After the signal to stop, callers may arrive for as long as they keep old answers of the
 * directory: three times their time to live. */
#define MIN_DRAIN_PERIOD (6500 * KNL_MSEC)

/* Times before the end of the grace period, at which the platform kills the process. New requests
 * are refused, so that those which run have time to end; what still runs then is answered with an
 * error; nothing more is read; the process exits, even if callers haven't read their answers. */
#define DRAIN_REFUSE_MARGIN (1500 * KNL_MSEC)
#define DRAIN_ANSWER_MARGIN (900 * KNL_MSEC)
#define DRAIN_CLOSE_MARGIN  (300 * KNL_MSEC)
#define DRAIN_EXIT_MARGIN   (100 * KNL_MSEC)

/* Time without requests after which a drained process exits before the grace period is over. */
#define QUIET_PERIOD (500 * KNL_MSEC)

/* Interval between checks whether all answers have been written. */
#define FLUSH_INTERVAL (10 * KNL_MSEC)

#define N_SERVERS 5

static void
list_servers (const Gateway *self, HtServer *servers[N_SERVERS])
{
  servers[0] = self->caller_server;
  servers[1] = self->passing_server;
  servers[2] = self->ready_server;
  servers[3] = self->directory_server;
  servers[4] = self->metrics_server;
}

gsize
gateway_unsent_bytes (const Gateway *self)
{
  HtServer *servers[N_SERVERS];
  gsize unsent = 0;

  list_servers (self, servers);
  for (guint i = 0; i < N_SERVERS; i++)
    unsent += servers[i] != NULL ? ht_server_unsent (servers[i]) : 0;
  return unsent;
}

static KnlTime
drained_for (const Gateway *self)
{
  return knl_kernel_now (self->process.kernel) - self->drain_since;
}

/* Whether this time before the end of the grace period has come. */
static gboolean
is_due (const Gateway *self, KnlTime margin)
{
  return drained_for (self) > self->boot->bounds.grace - margin;
}

/* A caller that goes on using its connection is told where to go only while the process runs. */
static gboolean
is_idle (const Gateway *self)
{
  KnlTime quiet = knl_kernel_now (self->process.kernel) - sv_core_last_request_at (self->core);

  return quiet >= QUIET_PERIOD && ht_server_n_busy (self->caller_server) == 0
         && (self->passing_server == NULL || ht_server_n_busy (self->passing_server) == 0);
}

/* An answer that was just queued is written by the event loop later: a loop that ends before would
 * close the connection without it. */
static void
on_flush_due (gpointer data)
{
  Gateway *self = data;

  self->flush_timer = 0;
  if (gateway_unsent_bytes (self) > 0 && !is_due (self, DRAIN_EXIT_MARGIN))
    {
      self->flush_timer =
          knl_timer_start (self->process.kernel, FLUSH_INTERVAL, on_flush_due, self);
      return;
    }
  self->has_ended = TRUE;
  event_base_loopexit (self->process.base, NULL);
}

static void
begin_flush (Gateway *self)
{
  HtServer *servers[N_SERVERS];

  if (self->flush_timer != 0)
    return;
  list_servers (self, servers);
  for (guint i = 0; i < N_SERVERS; i++)
    {
      if (servers[i] != NULL)
        ht_server_stop_reading (servers[i]);
    }
  self->flush_timer = knl_timer_start (self->process.kernel, FLUSH_INTERVAL, on_flush_due, self);
}

void
gateway_review_drain (Gateway *self)
{
  if (drained_for (self) > MIN_DRAIN_PERIOD || is_due (self, DRAIN_REFUSE_MARGIN))
    sv_core_stop_admitting (self->core);
  if (is_due (self, DRAIN_ANSWER_MARGIN))
    sv_core_end_requests (self->core);
  if (is_due (self, DRAIN_CLOSE_MARGIN)
      || (drained_for (self) > MIN_DRAIN_PERIOD && is_idle (self)))
    begin_flush (self);
}

void
gateway_drain (Gateway *self)
{
  if (self->drain_since != 0)
    return;
  self->drain_since = knl_kernel_now (self->process.kernel);
  cm_log (CM_LOG_NOTICE, "stopping", "i", "requests", (gint64)sv_core_n_requests (self->core));
  sv_core_drain (self->core, self->boot->bounds.grace - DRAIN_ANSWER_MARGIN);
  sv_peers_leave (self->peers);
  sv_peers_set_ready (self->peers, FALSE);
  ht_server_drain (self->caller_server);
  if (self->passing_server != NULL)
    ht_server_drain (self->passing_server);
}
