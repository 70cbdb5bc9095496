/** A request of the gateway soak that callers send again and again, and that crashes each endpoint
 * which runs it; and the faults that may make gateways forget it: a pause of all but one, then a
 * restart of all. */

#include <signal.h>

#include "gateway_soak_internal.h"

#define INTERVAL (150 * KNL_MSEC)

/* Crashes after which the gateways must know the request, the time that they have for that, and the
 * sends that may reach endpoints afterwards, from gateways that had no fault within that time. */
#define MAX_CRASHES  3
#define KNOWN_WITHIN (3 * KNL_SEC)
#define MAX_LATE     3

/* Duration of the pause, and time after it until all are killed. */
#define PAUSE      (1200 * KNL_MSEC)
#define KILL_DELAY (1 * KNL_SEC)

/* Time without faults of the store after which what the gateways know is written there. */
#define WRITTEN_WITHIN (2 * KNL_SEC)

void
gs_send_repeat (Soak *self)
{
  Repeats *repeats = &self->repeats;
  guint gateway;

  if (gs_now (self) < repeats->next_at)
    return;
  repeats->next_at = gs_now (self) + INTERVAL;
  gateway = (guint)g_rand_int_range (repeats->rand, 0, GATEWAYS);
  gs_send_same_request (self, &self->gateways[gateway]);
}

void
gs_note_repeat_crash (Soak *self)
{
  if (++self->repeats.n_crashes == MAX_CRASHES)
    self->repeats.known_from = gs_now (self) + KNOWN_WITHIN;
}

/* The proxy in front of the first endpoint may hold requests for any time. */
void
gs_check_repeat (Endpoint *endpoint, const Request *request)
{
  Soak *self = endpoint->soak;
  Repeats *repeats = &self->repeats;
  const Gateway *gateway = request->gateway;

  if (!request->is_repeat || endpoint == self->endpoints || repeats->known_from == 0
      || request->sent_at < repeats->known_from || request->sent_at < self->rows_read_at
      || request->sent_at < MAX (gateway->faulted_at, gateway->resumed_at) + KNOWN_WITHIN)
    return;
  if (++repeats->n_late <= MAX_LATE)
    return;
  self->violations++;
  fprintf (stderr,
           "broken: the repeated request %s to gateway-%d reached endpoint %d, number %u after %u "
           "crashes\n",
           request->id, (int)(gateway - self->gateways), (int)(endpoint - self->endpoints),
           repeats->n_late, repeats->n_crashes);
}

static void
pause_all_but_one (Soak *self)
{
  guint spared = (guint)g_rand_int_range (self->repeats.rand, 0, GATEWAYS);
  KnlTime now = gs_now (self);

  for (guint i = 0; i < GATEWAYS; i++)
    {
      Gateway *gateway = &self->gateways[i];

      if (i == spared)
        continue;
      gateway->faulted_at = gateway->paused_at = now;
      gateway->paused_until = now + PAUSE;
      gateway->is_paused = TRUE;
      hn_signal (gateway->process, SIGSTOP);
    }
}

static void
kill_all (Soak *self)
{
  for (guint i = 0; i < GATEWAYS; i++)
    {
      self->gateways[i].paused_until = 0;
      gs_resume (self, &self->gateways[i]);
      hn_kill (self->gateways[i].process);
    }
  for (guint i = 0; i < GATEWAYS; i++)
    gs_start_gateway (self, i);
}

/* Whether the gateways must know the request, and have written what they know. */
static gboolean
is_written (const Soak *self)
{
  const Repeats *repeats = &self->repeats;
  KnlTime now = gs_now (self);

  return repeats->known_from > 0 && now >= repeats->known_from
         && self->store_mode == ROW_STORE_SERVES && self->rewrite_at == 0
         && now >= self->rows_read_at + WRITTEN_WITHIN;
}

void
gs_disturb_repeats (Soak *self)
{
  Repeats *repeats = &self->repeats;
  KnlTime now = gs_now (self);

  if (self->is_calm || repeats->known_from == 0 || now < repeats->known_from)
    return;
  if (repeats->paused_at == 0)
    {
      repeats->paused_at = now;
      pause_all_but_one (self);
    }
  else if (!repeats->was_killed && now >= repeats->paused_at + PAUSE + KILL_DELAY
           && is_written (self))
    {
      repeats->was_killed = TRUE;
      kill_all (self);
    }
}
