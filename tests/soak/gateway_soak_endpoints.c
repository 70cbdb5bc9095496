/** The endpoints of the gateway soak: they fail at random and ask for backoff by Retry-After, one
 * finally advertises that it is leaving, and the last one advertises a rate limit. */

#include <CUnit/CUnit.h>
#include <string.h>

#include "gateway_soak_internal.h"

/* Range of the rate limit, in requests a second, that the last endpoint advertises from a third of
 * the run on, and the span in which its arrivals are checked against it (see gs_check_limit()). A
 * gateway's requests count LIMIT_KNOWN after it received the limit, and LIMIT_GRACE after the last
 * signal to its process and after the limit was set. */
#define RATE_LEAST  2
#define RATE_MOST   7
#define LIMIT_SPAN  (4 * KNL_SEC)
#define LIMIT_KNOWN (500 * KNL_MSEC)
#define LIMIT_GRACE (3 * KNL_SEC)

/* Fraction of the refusals that carry Retry-After, its value, the time after which a gateway must
 * honour it, and the number of requests that a gateway without a signal since may still send until
 * it expires. */
#define REST_PART    0.1
#define REST_SECONDS 2
#define REST         (REST_SECONDS * KNL_SEC)
#define REST_KNOWN   (500 * KNL_MSEC)
#define REST_MOST    2

/* No request that a caller sends later than this after a gateway received the leaving signal may
 * reach the endpoint through that gateway. */
#define LEAVING_BOUND (2 * KNL_SEC)

typedef struct
{
  HtCall *call;
  Desk *desk;
  Gateway *gateway;
  char *id;
  KnlTimerId timer;
} Work;

static void
work_free (Work *self)
{
  knl_timer_stop (self->desk->soak->harness->kernel, &self->timer);
  g_free (self->id);
  g_free (self);
}

static Heard *
heard_by (Desk *self, const Gateway *gateway)
{
  return &self->heard[gateway - self->soak->gateways];
}

/* The header fields that advertise this endpoint's state to the gateway; records when they were
 * first sent. */
static char *
say_words (Desk *self, Gateway *gateway)
{
  Heard *heard = heard_by (self, gateway);

  if (self->is_leaving)
    {
      if (heard->leaving_at <= gateway->faulted_at)
        heard->leaving_at = gs_now (self->soak);
      return g_strdup ("Server-Leaving: 1\r\n");
    }
  if (self->rate == 0)
    return g_strdup ("");
  if (gateway->told_at == 0)
    gateway->told_at = gs_now (self->soak);
  return g_strdup_printf ("Server-Limit: %u\r\n", self->rate);
}

/* Checks that a gateway honours the leaving signal and Retry-After. Those that it received before
 * the last signal to its process don't count, as it may have lost them. */
static void
check_words (Desk *self, const Request *request)
{
  const Gateway *gateway = request->gateway;
  Heard *heard = heard_by (self, gateway);
  KnlTime now = gs_now (self->soak);

  if (heard->leaving_at > gateway->faulted_at
      && request->sent_at > heard->leaving_at + LEAVING_BOUND)
    {
      self->soak->broken++;
      fprintf (stderr, "broken: request %s reached an endpoint that had advertised leaving\n",
               request->id);
    }
  if (heard->rest_at <= gateway->faulted_at || now < heard->rest_at + REST_KNOWN
      || now >= heard->rest_at + REST)
    return;
  if (++heard->n_in_rest <= REST_MOST)
    return;
  self->soak->broken++;
  fprintf (stderr, "broken: request %s is number %u to an endpoint during its Retry-After\n",
           request->id, heard->n_in_rest);
}

/* Not the first endpoint: the proxy in front of it may delay requests that were sent before its
 * Retry-After. */
static gboolean
asks_for_rest (const Desk *self)
{
  return self != &self->soak->desks[0] && g_rand_double (self->soak->rand) < REST_PART;
}

static void
turn_away (Desk *self, Gateway *gateway, HtCall *call, const char *id)
{
  g_autofree char *words = say_words (self, gateway);
  gboolean rests = asks_for_rest (self);
  g_autofree char *fields =
      g_strdup_printf ("X-Attempt-Id: %s\r\nX-Not-Run: 1\r\n%s%s", id, words,
                       rests ? "Retry-After: " G_STRINGIFY (REST_SECONDS) "\r\n" : "");

  if (rests)
    {
      *heard_by (self, gateway) = (Heard){ .rest_at = gs_now (self->soak),
                                           .leaving_at = heard_by (self, gateway)->leaving_at };
      self->soak->rests++;
    }
  ht_call_answer (call, 503, fields, NULL, 0);
}

static void
count_arrival (Desk *self, const Gateway *gateway)
{
  KnlTime now = gs_now (self->soak);

  if (self->rate > 0 && gateway->told_at > 0 && now - gateway->told_at > LIMIT_KNOWN
      && now - gateway->faulted_at > LIMIT_GRACE && now - self->limited_at > LIMIT_GRACE)
    g_array_append_val (self->arrivals, now);
}

static void
on_worked (gpointer data)
{
  Work *self = data;
  HtCall *call = self->call;
  Soak *soak = self->desk->soak;
  g_autofree char *words = say_words (self->desk, self->gateway);
  g_autofree char *fields =
      g_strdup_printf ("X-Attempt-Id: %s\r\nX-Server-Stamp: s\r\n%s", self->id, words);
  double way = g_rand_double (soak->rand);

  self->timer = 0;
  ht_call_set_data (call, NULL);
  if (way < 0.05)
    ht_call_abort (call);
  else if (way < 0.10)
    ht_call_answer (call, 500, fields, "failed", 6);
  else
    ht_call_answer (call, 200, fields, self->id, strlen (self->id));
  work_free (self);
}

static void
on_desk_request (HtCall *call, gpointer data)
{
  Desk *desk = data;
  Soak *self = desk->soak;
  const char *id = ht_message_get (ht_call_request (call), "x-attempt-id");
  Request *request = id != NULL ? g_hash_table_lookup (self->requests, id) : NULL;
  Work *work;

  if (request == NULL)
    {
      self->broken++;
      fprintf (stderr, "broken: a request that no caller sent reached an endpoint\n");
      ht_call_abort (call);
      return;
    }
  count_arrival (desk, request->gateway);
  check_words (desk, request);
  if (g_rand_double (self->rand) < 0.05)
    {
      turn_away (desk, request->gateway, call, id);
      return;
    }
  request->runs++;
  request->ran_at = gs_now (self);
  work = g_new0 (Work, 1);
  work->call = call;
  work->desk = desk;
  work->gateway = request->gateway;
  work->id = g_strdup (id);
  ht_call_set_data (call, work);
  work->timer = knl_timer_start (self->harness->kernel,
                                 g_rand_int_range (self->rand, 0, 40) * KNL_MSEC, on_worked, work);
}

static void
on_desk_gone (HtCall *call, gpointer data)
{
  if (ht_call_data (call) != NULL)
    work_free (ht_call_data (call));
}

static const HtServerEvents desk_events = { .request = on_desk_request,
                                            .disconnected = on_desk_gone };

void
gs_start_desk (Soak *self, guint i)
{
  static const HtServerLimits limits = {
    .message = { 16384, 1 << 20 },
    .head_timeout = 5 * KNL_SEC,
    .request_timeout = 5 * KNL_SEC,
    .idle_timeout = 20 * KNL_SEC,
    .max_connections = 100,
    .max_unsent = HT_DEFAULT_MAX_UNSENT,
  };
  const char *own = hn_address_new (self->harness);
  const char *listed = own;
  g_autofree char *id = g_strdup_printf ("i-%u", i);
  g_autofree char *entry = NULL;

  self->desks[i] = (Desk){ .soak = self, .arrivals = g_array_new (FALSE, FALSE, sizeof (KnlTime)) };
  self->desks[i].server = ht_server_new (self->harness->kernel, self->harness->base, own, &limits,
                                         &desk_events, &self->desks[i]);
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
  entry = g_strdup_printf ("{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"a\","
                           "\"state\":\"ready\",\"slots\":20}",
                           listed);
  row_store_put_in (self->store, "servers", id, entry);
  self->entries[i] = g_steal_pointer (&entry);
}

/* Checks the span that begins with each arrival: it may contain one and a half times the advertised
 * rate, and five requests more. */
void
gs_check_limit (Soak *self, const Desk *desk)
{
  guint most = (guint)(1.5 * desk->rate * LIMIT_SPAN / KNL_SEC) + 5;
  guint end = 0;

  for (guint i = 0; i < desk->arrivals->len; i++)
    {
      KnlTime from = g_array_index (desk->arrivals, KnlTime, i);

      while (end < desk->arrivals->len
             && g_array_index (desk->arrivals, KnlTime, end) - from < LIMIT_SPAN)
        end++;
      if (end - i <= most)
        continue;
      self->broken++;
      fprintf (stderr,
               "broken: an endpoint with a limit of %u a second received %u requests, allowed %u\n",
               desk->rate, end - i, most);
      return;
    }
}

void
gs_name_limit (Soak *self)
{
  Desk *desk = &self->desks[DESKS - 1];

  desk->rate = (guint)g_rand_int_range (self->rand, RATE_LEAST, RATE_MOST);
  desk->limited_at = gs_now (self);
}
