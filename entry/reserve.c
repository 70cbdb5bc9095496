/**
 * Prompts that need more than one engine's memory: moves them from the queue to a
 * reservation, and from there to an attempt.
 */

#include <string.h>

#include "entry/core_internal.h"

/*
 * Two entries that request most of one engine are each granted half of it as long
 * as both request it. The time for which an entry tries, and the delay before it
 * tries again, are random, so that one of them remains and is granted everything.
 */
#define MIN_ACQUIRE_TIMEOUT     (3 * KNL_SEC)
#define MAX_ACQUIRE_TIMEOUT     (15 * KNL_SEC)
#define MAX_ACQUIRE_RETRY_DELAY (4 * KNL_SEC)

/* The engines in this entry's order of preference; each retry starts with another one. */
static GPtrArray *
engines_for (EnCore *core, const EnRequest *request)
{
  return en_router_long_engines (core->router, request->label, request->service, core->instance,
                                 request->reserve_attempts);
}

gboolean
en_core_needs_reservation (EnCore *core, const EnRequest *request)
{
  GPtrArray *engines = engines_for (core, request);
  guint64 largest = 0;
  gboolean several;

  for (guint i = 0; i < engines->len; i++)
    largest = MAX (largest, ((EnEndpoint *)g_ptr_array_index (engines, i))->capacity_tokens);
  several = engines->len > 1;
  g_ptr_array_unref (engines);
  if (largest == 0 || !request->need.is_long)
    return FALSE;
  return request->need.tokens
         > (several ? (guint64)((double)largest * EN_ENGINE_FRACTION) : largest);
}

static char *
next_id (gpointer data)
{
  return en_core_next_id (((EnRequest *)data)->core);
}

static void
on_held (EnReservation *reservation,
         const char *last_endpoint,
         EnCharge *charge,
         const char *imports,
         gpointer data)
{
  EnRequest *request = data;
  EnCore *core = request->core;
  EnEndpoint *endpoint = en_fleet_find (core->fleet, last_endpoint);
  EnLoss engine_loss = { .kind = POL_LOSS_UNKNOWN, .detail = "the last engine is gone" };

  if (imports != NULL)
    en_request_note (request, knl_kernel_now (core->kernel), "parts-held", "%s", imports);
  if (endpoint != NULL)
    {
      en_core_start_attempt (core, request, endpoint, charge, imports);
      return;
    }
  en_charge_return (charge, core->fleet);
  en_core_handle_loss (core, request, &engine_loss);
}

static void
on_lost (EnReservation *reservation, const EnLoss *loss, gpointer data)
{
  EnRequest *request = data;

  en_core_handle_loss (request->core, request, loss);
}

static const EnReservationEvents reservation_events = {
  .on_held = on_held,
  .on_lost = on_lost,
};

/*
 * Fractions of an engine's memory, tried from the smallest: two entries that want
 * the same engine can both be granted a small one.
 */
static const double part_fractions[] = { 0.25, 0.5, 0.8 };

static EnReservation *
plan_reservation (EnCore *core, EnRequest *request)
{
  EnReservationHost host = {
    .attempt_host = &core->host,
    .credits = core->credits,
    .events = &reservation_events,
    .data = request,
  };
  GPtrArray *engines = engines_for (core, request);
  EnReservation *reservation = NULL;

  for (guint i = 0; i < G_N_ELEMENTS (part_fractions) && reservation == NULL; i++)
    reservation = en_reservation_new (&host, engines, part_fractions[i], request->need.prefill,
                                      request->max_tokens);
  g_ptr_array_unref (engines);
  return reservation;
}

static void
abandon_reservation (EnCore *core, EnRequest *request, KnlTime now)
{
  en_reservation_free (request->reservation);
  request->reservation = NULL;
  core->acquiring = 0;
  request->reserve_attempts++;
  request->next_reserve_at =
      now + g_rand_int_range (knl_kernel_rand (core->kernel), 0, MAX_ACQUIRE_RETRY_DELAY);
  en_request_note (request, now, "reservation-given-back", NULL);
}

static void
start_reservation (EnCore *core, EnRequest *request)
{
  EnAttemptStart request_start = {
    .model = request->model,
    .adapter = request->adapter,
    .prompt = request->prompt,
    .deadline = request->deadline,
  };
  guint count = en_reservation_n_parts (request->reservation);

  en_core_dequeue (core, request);
  en_request_note (request, knl_kernel_now (core->kernel), "reserved", "parts: %u", count);
  request->may_have_run = request->may_have_run || count > 1;
  request->reservation_started = TRUE;
  en_reservation_start (request->reservation, &request_start, next_id);
}

/*
 * An entry acquires one reservation at a time: several would each be granted a
 * share of the same engines, and none of them enough.
 */
EnReserve
en_core_reserve (EnCore *core, EnRequest *request)
{
  KnlTime now = knl_kernel_now (core->kernel);

  if (now < request->next_reserve_at
      || (core->acquiring != 0 && core->acquiring != request->number))
    return EN_RESERVE_WAITS;
  if (request->reservation == NULL)
    {
      request->reservation = plan_reservation (core, request);
      request->acquire_timeout = g_rand_int_range (knl_kernel_rand (core->kernel),
                                                   MIN_ACQUIRE_TIMEOUT, MAX_ACQUIRE_TIMEOUT);
    }
  if (request->reservation == NULL)
    return EN_RESERVE_IMPOSSIBLE;
  core->acquiring = request->number;
  if (en_reservation_acquire (request->reservation))
    {
      core->acquiring = 0;
      start_reservation (core, request);
      return EN_RESERVE_STARTED;
    }
  if (now - en_reservation_started_at (request->reservation) > request->acquire_timeout)
    abandon_reservation (core, request, now);
  return EN_RESERVE_WAITS;
}
