/** The rows of the gateway soak's store: evacuated zones and cold endpoints, which come and go at
 * random, and what endpoints may receive because of them. */

#include "gateway_soak_internal.h"

/* Durations of an evacuation: short ones may end before all instances have learned of them, long
 * ones last for the bound and this much longer. */
#define MIN_SHORT_MS  50
#define MAX_SHORT_MS  1000
#define MIN_BEYOND_MS 500
#define MAX_BEYOND_MS 2500

/* Zones that may be evacuated at the same time, so that one zone still takes requests. */
#define MAX_EVACUATED 2

/* Probabilities that a zone is evacuated and that an endpoint becomes cold, at each change. */
#define EVACUATION_FRACTION 0.4
#define COLD_FRACTION       0.5

/* Time for which an endpoint is cold. */
#define MIN_COLD_MS 3000
#define MAX_COLD_MS 6000

/* Requests that a cold endpoint may receive in any second. */
#define MAX_PER_SECOND ((guint)(GS_COLD_PER_S * GS_COLD_OVERAGE + GS_COLD_SLACK))

/* Time between the moment at which an instance sends a request and its arrival, on a busy machine.
 */
#define ARRIVAL_DELAY (250 * KNL_MSEC)

static Zone *
zone_of (Endpoint *self)
{
  return &self->soak->zones[(self - self->soak->endpoints) % ZONES];
}

static void
put_zone (Soak *self, guint i)
{
  g_autofree char *key = g_strdup_printf ("evacuate/z%u", i);

  row_store_put_in (self->store, "op", key, self->zones[i].evacuated_at > 0 ? "{}" : NULL);
  self->zones[i].written_at = gs_now (self);
}

static char *
id_of_process (const Endpoint *self, guint generation)
{
  guint i = (guint)(self - self->soak->endpoints);

  return generation > 0 ? g_strdup_printf ("i-%u-%u", i, generation) : g_strdup_printf ("i-%u", i);
}

char *
gs_endpoint_id (const Endpoint *self)
{
  return id_of_process (self, self->generation);
}

static void
put_endpoint (Soak *self, guint i)
{
  const Endpoint *endpoint = &self->endpoints[i];
  KnlTime left = endpoint->cold_until - gs_now (self);
  g_autofree char *id = gs_endpoint_id (endpoint);
  g_autofree char *cold =
      left > 0 ? g_strdup_printf (",\"coldLeftMs\":%" G_GINT64_FORMAT, left / KNL_MSEC)
               : g_strdup ("");
  g_autofree char *entry =
      g_strdup_printf ("{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z%u\","
                       "\"state\":\"ready\",\"slots\":20%s}",
                       endpoint->listed_address, i % ZONES, cold);

  row_store_put_in (self->store, "servers", id, entry);
}

/* A store that was restored may have those of earlier processes again. */
static void
remove_old_rows (Soak *self, guint i)
{
  for (guint generation = 0; generation < self->endpoints[i].generation; generation++)
    {
      g_autofree char *id = id_of_process (&self->endpoints[i], generation);

      if (row_store_has (self->store, "servers", id))
        row_store_put_in (self->store, "servers", id, NULL);
    }
}

void
gs_replace_endpoint_row (Soak *self, guint i)
{
  self->endpoints[i].generation++;
  remove_old_rows (self, i);
  put_endpoint (self, i);
}

void
gs_put_rows (Soak *self)
{
  for (guint i = 0; i < ENDPOINTS; i++)
    {
      remove_old_rows (self, i);
      put_endpoint (self, i);
    }
  row_store_put_in (self->store, "op", "config", self->config);
  for (guint i = 0; i < ZONES; i++)
    put_zone (self, i);
}

static void
evacuate (Soak *self, guint i)
{
  Zone *zone = &self->zones[i];
  KnlTime duration =
      g_rand_boolean (self->rand)
          ? g_rand_int_range (self->rand, MIN_SHORT_MS, MAX_SHORT_MS) * KNL_MSEC
          : self->evacuation_bound
                + g_rand_int_range (self->rand, MIN_BEYOND_MS, MAX_BEYOND_MS) * KNL_MSEC;

  zone->evacuated_at = gs_now (self);
  zone->restore_at = zone->evacuated_at + duration;
  zone->was_evacuated = TRUE;
  self->n_evacuations++;
  put_zone (self, i);
}

static guint
n_evacuated (const Soak *self)
{
  guint n = 0;

  for (guint i = 0; i < ZONES; i++)
    n += self->zones[i].evacuated_at > 0;
  return n;
}

/* From when the arrivals at an endpoint count that becomes cold now. */
static KnlTime
known_from (const Soak *self)
{
  return MAX (gs_now (self) + GS_ROW_TIME, self->rows_read_at);
}

static void
make_cold (Soak *self, guint i, KnlTime duration)
{
  Endpoint *endpoint = &self->endpoints[i];

  endpoint->cold_until = gs_now (self) + duration;
  endpoint->cold_from = known_from (self);
  g_array_set_size (endpoint->cold_arrivals, 0);
  put_endpoint (self, i);
}

void
gs_change_rows (Soak *self)
{
  guint zone = (guint)g_rand_int_range (self->rand, 0, ZONES);
  guint endpoint = (guint)g_rand_int_range (self->rand, 0, ENDPOINTS);

  if (g_rand_double (self->rand) < EVACUATION_FRACTION && self->zones[zone].evacuated_at == 0
      && n_evacuated (self) < MAX_EVACUATED)
    evacuate (self, zone);
  if (g_rand_double (self->rand) < COLD_FRACTION
      && self->endpoints[endpoint].cold_until < gs_now (self))
    make_cold (self, endpoint, g_rand_int_range (self->rand, MIN_COLD_MS, MAX_COLD_MS) * KNL_MSEC);
}

void
gs_make_all_cold (Soak *self, KnlTime duration)
{
  for (guint i = 0; i < ENDPOINTS; i++)
    make_cold (self, i, duration);
}

static void
restore_zone (Soak *self, guint i)
{
  self->zones[i].evacuated_at = 0;
  put_zone (self, i);
}

void
gs_restore_zones (Soak *self, KnlTime until)
{
  for (guint i = 0; i < ZONES; i++)
    {
      if (self->zones[i].evacuated_at > 0 && self->zones[i].restore_at <= until)
        restore_zone (self, i);
    }
}

void
gs_note_store_fault (Soak *self, KnlTime rows_read_at)
{
  self->rows_read_at = MAX (self->rows_read_at, rows_read_at);
  for (guint i = 0; i < ENDPOINTS; i++)
    {
      Endpoint *endpoint = &self->endpoints[i];

      /* Where the endpoint has crashed, the store has the row of its last process again until then.
       */
      if (gs_now (self) < endpoint->cold_from || endpoint->generation > 0)
        endpoint->cold_from = MAX (endpoint->cold_from, rows_read_at);
    }
}

/* The proxy in front of the first endpoint may hold requests for any time, so that those count from
 * when the caller sent them. An instance that has started since the row was written, and before a
 * restored store had it again, learns of it only then. */
static void
check_evacuation (Endpoint *self, const Request *request)
{
  const Soak *soak = self->soak;
  const Zone *zone = zone_of (self);
  KnlTime sent_at = self == soak->endpoints ? request->sent_at : gs_now (soak) - ARRIVAL_DELAY;
  KnlTime from =
      request->gateway->faulted_at > zone->evacuated_at ? zone->written_at : zone->evacuated_at;

  if (zone->evacuated_at == 0 || sent_at <= from + soak->evacuation_bound)
    return;
  self->soak->violations++;
  fprintf (stderr,
           "broken: request %s to gateway-%d reached endpoint %d, %" G_GINT64_FORMAT
           " ms after its zone was evacuated; sent %" G_GINT64_FORMAT
           " ms, last fault of the gateway %" G_GINT64_FORMAT
           " ms, rows read by all %" G_GINT64_FORMAT " ms after that\n",
           request->id, (int)(request->gateway - soak->gateways), (int)(self - soak->endpoints),
           (gs_now (soak) - zone->evacuated_at) / KNL_MSEC,
           (request->sent_at - zone->evacuated_at) / KNL_MSEC,
           (request->gateway->faulted_at - zone->evacuated_at) / KNL_MSEC,
           (soak->rows_read_at - zone->evacuated_at) / KNL_MSEC);
}

/* Whether the instance may not have read that the endpoint is cold: it was stopped before all
 * others knew, or has started while the store didn't serve or lacked the row. */
static gboolean
is_late (const Soak *self, const Gateway *gateway, const Endpoint *endpoint)
{
  KnlTime now = gs_now (self);

  if (gateway->paused_at < endpoint->cold_from && now < gateway->resumed_at + GS_SETTLE_TIME)
    return TRUE;
  return gateway->faulted_at > endpoint->cold_from && now < self->rows_read_at;
}

static guint
count_since (const GArray *arrivals, KnlTime from)
{
  guint n = 0;

  while (n < arrivals->len && g_array_index (arrivals, KnlTime, arrivals->len - n - 1) > from)
    n++;
  return n;
}

static void
check_cold (Endpoint *self, const Request *request)
{
  Soak *soak = self->soak;
  KnlTime now = gs_now (soak);
  guint n;

  /* The proxy in front of the first endpoint may release many requests at once. */
  if (self == soak->endpoints || now < self->cold_from || now >= self->cold_until
      || is_late (soak, request->gateway, self))
    return;
  g_array_append_val (self->cold_arrivals, now);
  soak->n_cold_arrivals++;
  n = count_since (self->cold_arrivals, now - KNL_SEC);
  if (n <= MAX_PER_SECOND)
    return;
  soak->violations++;
  fprintf (stderr,
           "broken: request %s to gateway-%d is number %u within a second at endpoint %d, which is "
           "cold and may receive %u; counted for %" G_GINT64_FORMAT " ms\n",
           request->id, (int)(request->gateway - soak->gateways), n, (int)(self - soak->endpoints),
           MAX_PER_SECOND, (now - self->cold_from) / KNL_MSEC);
}

void
gs_check_rows (Endpoint *self, const Request *request)
{
  self->used_at = gs_now (self->soak);
  check_evacuation (self, request);
  check_cold (self, request);
}

void
gs_check_used (Soak *self, KnlTime since)
{
  for (guint i = 0; i < ENDPOINTS; i++)
    {
      Endpoint *endpoint = &self->endpoints[i];

      if (!zone_of (endpoint)->was_evacuated || endpoint->is_leaving || endpoint->used_at > since)
        continue;
      self->violations++;
      fprintf (stderr, "broken: endpoint %u isn't used after the evacuation of its zone\n", i);
    }
}
