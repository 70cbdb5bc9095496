/** Watches for endpoints that stay silent, as those that have lost power or their network do, and
 * withdraws idempotent requests from them. */

#include "serve/core_internal.h"

/* A silent endpoint is waited for as long as half of the time that the caller has for what comes
 * next: another endpoint has the other half. */
#define CALLERS_TIME_DIVISOR 2

/* The same if the caller waits without limit. */
#define DEFAULT_TIMEOUT (10 * KNL_SEC)

/* A prompt's first event may come after as many times the expected time. */
#define EXPECTED_FACTOR 2

/* Shortest silence that counts, before the first event and between events: endpoints that are well
 * may fall silent for about a second while they write. */
#define MIN_TIMEOUT     (250 * KNL_MSEC)
#define MIN_GAP_TIMEOUT (1 * KNL_SEC)

/* Delay until the next check of a silent endpoint when no retry was left. By then a slice of the
 * budget's window of ten seconds has passed, or the stream may have continued. */
#define RETRY_DELAY (500 * KNL_MSEC)

/* An endpoint that answered any request within ALIVE_WINDOW is alive, and may have the silent
 * request in its queue; that request then gets up to QUEUED_FACTOR times the timeout. */
#define ALIVE_WINDOW  (600 * KNL_MSEC)
#define QUEUED_FACTOR 4

static void on_watch (gpointer data);

/* What the caller has left for the next event, or the answer, at the time `since`. */
static KnlTime
callers_time (const SvRequest *self, KnlTime since)
{
  KnlTime left = sv_request_event_left (self);

  return left == KNL_NEVER ? KNL_NEVER : left + sv_request_now (self) - since;
}

/* How long the endpoint may be silent that was last heard from, or sent the request, at `since`. */
static KnlTime
timeout (const SvRequest *self, KnlTime since)
{
  KnlTime time = callers_time (self, since);
  KnlTime half = time == KNL_NEVER ? DEFAULT_TIMEOUT : time / CALLERS_TIME_DIVISOR;

  if (self->first_sent_at > 0)
    return MAX (half, MIN_GAP_TIMEOUT);
  return MAX (half, MAX (EXPECTED_FACTOR * self->placement.expected, MIN_TIMEOUT));
}

static void
watch_after (SvRequest *self, KnlTime delay)
{
  self->watch_timer = knl_timer_start (self->core->parts.kernel, delay, on_watch, self);
}

static void
withdraw (SvRequest *self)
{
  sv_endpoint_note_loss (self->placement.first, sv_request_now (self));
  sv_request_note_crash (self, "silent", FALSE);
  sv_reach_note_failure (sv_request_reach (self), self->placement.first);
  sv_request_cancel_send (self);
  sv_request_handle_loss (self, "silent", POL_END_LOST);
}

static void
on_watch (gpointer data)
{
  SvRequest *self = data;
  KnlTime now = sv_request_now (self);
  /* While its answer isn't read, because the caller doesn't read, an endpoint seems silent. */
  KnlTime read_since = MAX (self->sent_at, ht_exchange_resumed_at (self->exchange));
  KnlTime since = MAX (read_since, self->last_received_at);
  KnlTime longest = timeout (self, since);
  KnlTime left = since + longest - now;

  /* Prefills known to be running there explain a gap, and so does a queue: an endpoint that answers
   * other requests is alive. */
  left += sv_endpoint_prefill_left (self->placement.first, now);
  if (left <= 0 && now - since < QUEUED_FACTOR * longest)
    left = self->placement.first->last_seen_at + ALIVE_WINDOW - now;
  self->watch_timer = 0;
  if (left > 0)
    {
      watch_after (self, left);
      return;
    }
  if (self->runs + 1 >= self->route->max_attempts)
    return;
  /* The endpoint may just be slow: its work isn't discarded unless the request can be retried. */
  if (!sv_request_has_retry_left (self) || sv_core_has_stale_zones (self->core))
    watch_after (self, RETRY_DELAY);
  else
    withdraw (self);
}

void
sv_request_watch (SvRequest *self)
{
  watch_after (self, timeout (self, self->sent_at));
}
