/** The endpoints of the gateway soak: they fail now and then, and the last one names a limit. */

#include <CUnit/CUnit.h>
#include <string.h>

#include "gateway_soak_internal.h"

/* What the last endpoint names from a third of the run on, and what it may get of that in a span:
 * half as much again and some, from gateways that were told and whose processes were left alone for
 * a while. */
#define RATE_LEAST  2
#define RATE_MOST   7
#define LIMIT_SPAN  (4 * KNL_SEC)
#define LIMIT_KNOWN (500 * KNL_MSEC)
#define LIMIT_GRACE (3 * KNL_SEC)

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

/* The field of an answer to that gateway. */
static char *
name_limit (Desk *self, Gateway *gateway)
{
  if (self->rate == 0)
    return g_strdup ("");
  if (gateway->told_at == 0)
    gateway->told_at = gs_now (self->soak);
  return g_strdup_printf ("Server-Limit: %u\r\n", self->rate);
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
  g_autofree char *limit = name_limit (self->desk, self->gateway);
  g_autofree char *fields =
      g_strdup_printf ("X-Attempt-Id: %s\r\nX-Server-Stamp: s\r\n%s", self->id, limit);
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
  g_autofree char *limit = NULL;
  g_autofree char *fields = NULL;
  Work *work;

  if (request == NULL)
    {
      self->broken++;
      fprintf (stderr, "broken: a request that no caller sent reached an endpoint\n");
      ht_call_abort (call);
      return;
    }
  count_arrival (desk, request->gateway);
  if (g_rand_double (self->rand) < 0.05)
    {
      limit = name_limit (desk, request->gateway);
      fields = g_strdup_printf ("X-Attempt-Id: %s\r\nX-Not-Run: 1\r\n%s", id, limit);
      ht_call_answer (call, 503, fields, NULL, 0);
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

static const HtServerEvents desk_events = { .request = on_desk_request, .gone = on_desk_gone };

void
gs_start_desk (Soak *self, guint i)
{
  static const HtServerLimits limits = {
    .message = { 16384, 1 << 20 },
    .head_timeout = 5 * KNL_SEC,
    .request_timeout = 5 * KNL_SEC,
    .idle_timeout = 20 * KNL_SEC,
    .max_connections = 100,
    .max_unsent = HT_UNSENT_BYTES,
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

/* The span that begins with each arrival. */
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
      fprintf (stderr, "broken: an endpoint that takes %u a second got %u requests, allowed %u\n",
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
