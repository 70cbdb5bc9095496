/** The endpoints of the gateway soak: they fail at random, and all except the first send
 * Retry-After. One finally advertises that it is leaving; the last advertises a rate limit. */

#include <CUnit/CUnit.h>
#include <string.h>

#include "gateway_soak_internal.h"

/* Range of the rate limit, in requests a second, that the last endpoint advertises from a third of
 * the run on, and the span in which its arrivals are checked against it (see gs_check_limit()). A
 * gateway's requests count LIMIT_EFFECT_DELAY after it received the limit, and LIMIT_GRACE after
 * the last fault of its process and after the limit was set. */
#define MIN_RATE           2
#define MAX_RATE           7
#define LIMIT_SPAN         (4 * KNL_SEC)
#define LIMIT_EFFECT_DELAY (500 * KNL_MSEC)
#define LIMIT_GRACE        (3 * KNL_SEC)

/* Fraction of the refusals that carry Retry-After, its value, the time after which a gateway must
 * honour it, and the number of requests that a gateway whose process had no fault since may still
 * send until it expires. */
#define RETRY_AFTER_FRACTION     0.1
#define RETRY_AFTER_SECONDS      2
#define RETRY_AFTER              (RETRY_AFTER_SECONDS * KNL_SEC)
#define RETRY_AFTER_EFFECT_DELAY (500 * KNL_MSEC)
#define MAX_DURING_RETRY_AFTER   2

/* No request that a caller sends later than this after a gateway received the leaving signal may
 * reach the endpoint through that gateway. */
#define LEAVING_BOUND (2 * KNL_SEC)

typedef struct
{
  HtCall *call;
  Endpoint *endpoint;
  Gateway *gateway;
  char *id;
  gboolean is_deadly;
  gboolean is_repeat;
  KnlTimerId timer;
} Work;

static void
work_free (Work *self)
{
  g_hash_table_remove (self->endpoint->works, self);
  knl_timer_stop (self->endpoint->soak->harness->kernel, &self->timer);
  g_free (self->id);
  g_free (self);
}

static EndpointSignals *
signals_to (Endpoint *self, const Gateway *gateway)
{
  return &self->signals[gateway - self->soak->gateways];
}

/* The header fields that advertise this endpoint's state to the gateway; records when they were
 * first sent. */
static char *
signal_fields (Endpoint *self, Gateway *gateway)
{
  EndpointSignals *signals = signals_to (self, gateway);

  if (self->is_leaving)
    {
      if (signals->leaving_at <= gateway->faulted_at)
        signals->leaving_at = gs_now (self->soak);
      return g_strdup ("Server-Leaving: 1\r\n");
    }
  if (self->rate == 0)
    return g_strdup ("");
  if (gateway->limit_advertised_at == 0)
    gateway->limit_advertised_at = gs_now (self->soak);
  return g_strdup_printf ("Server-Limit: %u\r\n", self->rate);
}

/* Checks that a gateway honours the leaving signal and Retry-After. Those that it received before
 * the last fault of its process don't count, as it may have lost them. */
static void
check_signals (Endpoint *self, const Request *request)
{
  const Gateway *gateway = request->gateway;
  EndpointSignals *signals = signals_to (self, gateway);
  KnlTime now = gs_now (self->soak);

  if (signals->leaving_at > gateway->faulted_at
      && request->sent_at > signals->leaving_at + LEAVING_BOUND)
    {
      g_autofree char *id = gs_endpoint_id (self);

      self->soak->violations++;
      fprintf (
          stderr,
          "broken: request %s%s to gateway-%d reached endpoint %s, which had advertised leaving, "
          "sent %" G_GINT64_FORMAT " ms and the last fault %" G_GINT64_FORMAT " ms after it had\n",
          request->id, request->is_repeat ? " (repeated)" : "",
          (int)(gateway - self->soak->gateways), id,
          (request->sent_at - signals->leaving_at) / KNL_MSEC,
          (gateway->faulted_at - signals->leaving_at) / KNL_MSEC);
    }
  if (signals->retry_after_at <= gateway->faulted_at
      || now < signals->retry_after_at + RETRY_AFTER_EFFECT_DELAY
      || now >= signals->retry_after_at + RETRY_AFTER)
    return;
  if (++signals->n_during_retry_after <= MAX_DURING_RETRY_AFTER)
    return;
  self->soak->violations++;
  fprintf (stderr, "broken: request %s is number %u to an endpoint during its Retry-After\n",
           request->id, signals->n_during_retry_after);
}

/* The first endpoint never sends Retry-After: the proxy in front of it may delay requests that were
 * sent before the gateway received it. */
static gboolean
sends_retry_after (const Endpoint *self)
{
  return self != &self->soak->endpoints[0]
         && g_rand_double (self->soak->rand) < RETRY_AFTER_FRACTION;
}

static void
refuse_request (Endpoint *self, Gateway *gateway, HtCall *call, const char *id)
{
  g_autofree char *advertised_fields = signal_fields (self, gateway);
  gboolean with_retry_after = sends_retry_after (self);
  g_autofree char *fields = g_strdup_printf (
      "X-Attempt-Id: %s\r\nX-Not-Run: 1\r\n%s%s", id, advertised_fields,
      with_retry_after ? "Retry-After: " G_STRINGIFY (RETRY_AFTER_SECONDS) "\r\n" : "");

  if (with_retry_after)
    {
      *signals_to (self, gateway) =
          (EndpointSignals){ .retry_after_at = gs_now (self->soak),
                             .leaving_at = signals_to (self, gateway)->leaving_at };
      self->soak->n_retry_after++;
    }
  ht_call_answer (call, 503, fields, NULL, 0);
}

static void
count_arrival (Endpoint *self, const Gateway *gateway)
{
  KnlTime now = gs_now (self->soak);

  if (self->rate > 0 && gateway->limit_advertised_at > 0
      && now - gateway->limit_advertised_at > LIMIT_EFFECT_DELAY
      && now - gateway->faulted_at > LIMIT_GRACE && now - self->limited_at > LIMIT_GRACE)
    g_array_append_val (self->arrivals, now);
}

static void
on_worked (gpointer data)
{
  Work *self = data;
  HtCall *call = self->call;
  Soak *soak = self->endpoint->soak;
  g_autofree char *advertised_fields = NULL;
  g_autofree char *fields = NULL;
  double draw = g_rand_double (soak->rand);

  self->timer = 0;
  if (self->is_deadly)
    {
      gs_crash_endpoint (self->endpoint, self->is_repeat);
      return;
    }
  ht_call_set_data (call, NULL);
  if (draw < 0.05)
    {
      ht_call_abort (call);
      work_free (self);
      return;
    }
  advertised_fields = signal_fields (self->endpoint, self->gateway);
  fields =
      g_strdup_printf ("X-Attempt-Id: %s\r\nX-Server-Stamp: s\r\n%s", self->id, advertised_fields);
  if (draw < 0.10)
    ht_call_answer (call, 500, fields, "failed", 6);
  else
    ht_call_answer (call, 200, fields, self->id, strlen (self->id));
  work_free (self);
}

/* Whether it is sent to an earlier process of the endpoint, at the same address. */
static gboolean
is_for_other (const Endpoint *self, HtCall *call)
{
  g_autofree char *id = gs_endpoint_id (self);

  return g_strcmp0 (ht_message_get (ht_call_request (call), "x-expect-instance"), id) != 0;
}

static void
on_endpoint_request (HtCall *call, gpointer data)
{
  Endpoint *endpoint = data;
  Soak *self = endpoint->soak;
  const char *id = ht_message_get (ht_call_request (call), "x-attempt-id");
  Request *request = id != NULL ? g_hash_table_lookup (self->requests, id) : NULL;
  Work *work;

  if (request == NULL)
    {
      self->violations++;
      fprintf (stderr, "broken: a request that no caller sent reached an endpoint\n");
      ht_call_abort (call);
      return;
    }
  if (is_for_other (endpoint, call))
    {
      g_autofree char *fields = g_strdup_printf ("X-Attempt-Id: %s\r\n", id);

      ht_call_answer (call, 421, fields, NULL, 0);
      return;
    }
  count_arrival (endpoint, request->gateway);
  check_signals (endpoint, request);
  gs_check_rows (endpoint, request);
  gs_check_deadly (endpoint, request);
  gs_check_repeat (endpoint, request);
  if (g_rand_double (self->rand) < 0.05)
    {
      refuse_request (endpoint, request->gateway, call, id);
      return;
    }
  request->runs++;
  request->ran_at = gs_now (self);
  work = g_new0 (Work, 1);
  work->call = call;
  work->endpoint = endpoint;
  work->gateway = request->gateway;
  work->id = g_strdup (id);
  work->is_deadly = request->is_deadly;
  work->is_repeat = request->is_repeat;
  g_hash_table_add (endpoint->works, work);
  ht_call_set_data (call, work);
  work->timer = knl_timer_start (self->harness->kernel,
                                 g_rand_int_range (self->rand, 0, 40) * KNL_MSEC, on_worked, work);
}

static void
on_disconnected (HtCall *call, gpointer data)
{
  if (ht_call_data (call) != NULL)
    work_free (ht_call_data (call));
}

static const HtServerEvents endpoint_events = { .request = on_endpoint_request,
                                                .disconnected = on_disconnected };

static HtServer *
listen_at (Soak *self, const char *address, Endpoint *endpoint)
{
  static const HtServerLimits limits = {
    .message = { 16384, 1 << 20 },
    .head_timeout = 5 * KNL_SEC,
    .request_timeout = 5 * KNL_SEC,
    .idle_timeout = 20 * KNL_SEC,
    .max_connections = 100,
    .max_unsent = HT_DEFAULT_MAX_UNSENT,
  };

  return ht_server_new (self->harness->kernel, self->harness->base, address, &limits,
                        &endpoint_events, endpoint);
}

void
gs_end_endpoint (Endpoint *self)
{
  g_autoptr (GList) works = g_hash_table_get_keys (self->works);

  for (GList *link = works; link != NULL; link = link->next)
    work_free (link->data);
  g_clear_pointer (&self->server, ht_server_free);
}

void
gs_restart_endpoint (Soak *self, guint i)
{
  Endpoint *endpoint = &self->endpoints[i];

  endpoint->server = listen_at (self, endpoint->own_address, endpoint);
  CU_ASSERT_PTR_NOT_NULL_FATAL (endpoint->server);
  memset (endpoint->signals, 0, sizeof endpoint->signals);
  g_array_set_size (endpoint->arrivals, 0);
  endpoint->cold_until = 0;
  gs_replace_endpoint_row (self, i);
}

void
gs_start_endpoint (Soak *self, guint i)
{
  const char *own = hn_address_new (self->harness);
  const char *listed = own;

  self->endpoints[i] = (Endpoint){ .soak = self,
                                   .arrivals = g_array_new (FALSE, FALSE, sizeof (KnlTime)),
                                   .cold_arrivals = g_array_new (FALSE, FALSE, sizeof (KnlTime)),
                                   .works = g_hash_table_new (NULL, NULL) };
  self->endpoints[i].own_address = own;
  self->endpoints[i].server = listen_at (self, own, &self->endpoints[i]);
  if (i == 0)
    {
      const char *arguments[] = { "--listen-address",
                                  hn_address_new (self->harness),
                                  "--target-address",
                                  own,
                                  "--control-address",
                                  hn_address_new (self->harness),
                                  NULL };
      HnProcess *proxy =
          hn_start (self->harness, "proxy", "tests/standins/standin-proxy", arguments);

      CU_ASSERT_TRUE (hn_await_count (proxy, "ready", NULL, NULL, 1));
      listed = arguments[1];
      self->proxy = arguments[5];
    }
  self->endpoints[i].listed_address = listed;
}

/* Checks the span that begins with each arrival: it may contain one and a half times the advertised
 * rate, and five requests more. */
void
gs_check_limit (Soak *self, const Endpoint *endpoint)
{
  guint max_arrivals = (guint)(1.5 * endpoint->rate * LIMIT_SPAN / KNL_SEC) + 5;
  guint end = 0;

  for (guint i = 0; i < endpoint->arrivals->len; i++)
    {
      KnlTime from = g_array_index (endpoint->arrivals, KnlTime, i);

      while (end < endpoint->arrivals->len
             && g_array_index (endpoint->arrivals, KnlTime, end) - from < LIMIT_SPAN)
        end++;
      if (end - i <= max_arrivals)
        continue;
      self->violations++;
      fprintf (stderr,
               "broken: an endpoint with a limit of %u a second received %u requests, allowed %u\n",
               endpoint->rate, end - i, max_arrivals);
      return;
    }
}

void
gs_advertise_limit (Soak *self)
{
  Endpoint *endpoint = &self->endpoints[ENDPOINTS - 1];

  endpoint->rate = (guint)g_rand_int_range (self->rand, MIN_RATE, MAX_RATE);
  endpoint->limited_at = gs_now (self);
}
