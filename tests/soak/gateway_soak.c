/**
 * Real gateways under faults from outside: signals that overlap, a store that
 * refuses, drops and says nothing, a proxy before an endpoint that delays,
 * resets and silences, settings read again, keys withdrawn. The promises are
 * checked by what callers and endpoints see.
 *
 * gateway_soak FIRST COUNT SECONDS: seeds FIRST to FIRST + COUNT - 1. A seed that
 * fails prints itself and what was broken.
 */

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "http/client.h"
#include "http/server.h"
#include "tests/fakes/row_store.h"
#include "tests/faults/harness.h"
#include "tests/unit/suite.h"

#define GATEWAYS 3
#define DESKS    3

/* Requests are sent so many at a time. */
#define AT_ONCE      4
#define STEP         (20 * KNL_MSEC)
#define LIMIT        (2 * KNL_SEC)
#define FAULT_EVERY  (300 * KNL_MSEC)
#define REVOKE       (3 * KNL_SEC)
#define ANSWER_SLACK (2 * KNL_SEC)

/* One seed in so many leaves the gateways' processes and the store alone. */
#define CALM_SEEDS 3

/* What the last endpoint names from a third of the run on, and what it may get of that in a span:
 * half as much again and some, from gateways that were told and whose processes were left alone for
 * a while. */
#define RATE_LEAST  2
#define RATE_MOST   7
#define LIMIT_SPAN  (4 * KNL_SEC)
#define LIMIT_KNOWN (500 * KNL_MSEC)
#define LIMIT_GRACE (3 * KNL_SEC)

/* A copy of the store is of this many steps before at most, and what is lost is written again
 * within this. */
#define COPY_STEPS        150
#define WRITTEN_WITHIN_MS 1000

/* All instances that reach the store run the newest configuration within this. */
#define SETTLED (4 * KNL_SEC)

/* How long a caller's key may work after it was withdrawn, with the time that a request takes. */
#define KEY_LIMIT (REVOKE + LIMIT)

#define SETTINGS_FORMAT                                                                            \
  "{\"nodeName\":\"n%u\",\"zone\":\"a\",\"region\":\"r\",\"ip\":\"%s\","                           \
  "\"portRange\":[%s,%s],\"listen\":{\"front\":\"%s\",\"ready\":\"%s\",\"directory\":\"%s\"},"     \
  "\"limits\":{\"maxFds\":1000,\"cpuShare\":0.25,\"cores\":1,\"linkMbps\":200},\"platform\":{"     \
  "\"address\":\"%s\",\"readsPerS\":100},"                                                         \
  "\"bounds\":{\"strictRevoke\":true,\"revokeMs\":3000,\"configApplyMs\":2000,\"stall_ms\":1500,"  \
  "\"graceS\":4,\"freeMs\":4000,\"retryBudgetRatio\":0.2,\"retrySlack\":100,\"budgetWindowS\":10," \
  "\"drainMs\":2000,\"ttl_max_s\":5}}"

#define CONFIG_FORMAT                                                                              \
  "{\"version\":%u,\"routes\":[{\"name\":\"once\",\"hostname\":\"h\",\"prefix\":\"/once/\","       \
  "\"routeKind\":\"unsafe\",\"maxAttempts\":2,\"timeoutMs\":2000,\"targetLatencyMs\":100,"         \
  "\"service\":\"s\"},{\"name\":\"again\",\"hostname\":\"h\",\"prefix\":\"/again/\","              \
  "\"routeKind\":\"safe\",\"maxAttempts\":2,\"timeoutMs\":2000,\"targetLatencyMs\":100,"           \
  "\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}],"                                           \
  "\"tenants\":[{\"name\":\"w\",\"apiKeys\":[\"key\",\"key-%u\"]}]}"

typedef struct Soak Soak;

typedef struct
{
  const char *callers;
  const char *ready;
  const char *directory;
  const char *link;
  char *settings;
  HnProcess *process;
  KnlTime faulted_at; /* last signal to it */
  KnlTime told_at;    /* when this process was first told of the endpoint's limit; 0: not yet */
} Gateway;

/** An endpoint. */
typedef struct
{
  Soak *soak;
  HtServer *server;
  guint rate;         /* requests a second that it names; 0: none */
  KnlTime limited_at; /* since when */
  GArray *arrivals;   /* KnlTime, of requests that count against it */
} Desk;

/** What became of one request, as its caller and the endpoints saw it. */
typedef struct
{
  Soak *soak;
  Gateway *gateway;
  char *id;
  gboolean once;
  guint key; /* version whose key it has; 0: the one that stays */
  KnlTime sent_at;
  KnlTime ended_at; /* 0: not yet */
  guint status;     /* 0: no answer */
  gboolean is_own;  /* the answer's body names it */
  guint runs;
  KnlTime ran_at;
} Request;

struct Soak
{
  HnHarness *harness;
  GRand *rand;
  HtClient *client;
  RowStore *store;
  Desk desks[DESKS];
  const char *proxy; /* its control; before desk 0 */
  Gateway gateways[GATEWAYS];
  GHashTable *requests; /* id -> Request */
  GArray *withdrawn_at; /* KnlTime, by version: when its key was taken away */
  char *config;         /* the newest, as the operator has it */
  char *entries[DESKS]; /* of endpoints */
  GArray *versions;     /* guint64, of the store, one a step */
  KnlTime written_at;   /* when operator and endpoints write again what was lost; 0: nothing was */
  gboolean is_calm;     /* no signals */
  guint version;
  guint next;
  guint answered;
  guint broken;
};

static KnlTime
now_of (const Soak *self)
{
  return knl_kernel_now (self->harness->kernel);
}

static void
report (Soak *self, const Request *request, const char *promise)
{
  self->broken++;
  fprintf (stderr, "broken: %s: request %s, once %d, status %u, runs %u\n", promise, request->id,
           request->once, request->status, request->runs);
}

/* Endpoints */

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
    gateway->told_at = now_of (self->soak);
  return g_strdup_printf ("Server-Limit: %u\r\n", self->rate);
}

static void
count_arrival (Desk *self, const Gateway *gateway)
{
  KnlTime now = now_of (self->soak);

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
  request->ran_at = now_of (self);
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

/* Callers */

static HtHeadVerdict
on_head (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  return HT_HEAD_TAKE;
}

static void
on_done (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  Request *self = data;

  self->ended_at = now_of (self->soak);
  self->status = answer->status;
  self->is_own = strcmp (answer->body->str, self->id) == 0;
  self->soak->answered += answer->status == 200;
}

static void
on_failed (HtExchange *exchange, HtFailure failure, gpointer data)
{
  Request *self = data;

  self->ended_at = now_of (self->soak);
}

static const HtExchangeEvents caller_events = { .head = on_head,
                                                .done = on_done,
                                                .failed = on_failed };

/* `version`: whose key it has; 0: the one that stays. */
static Request *
send_to (Soak *self, Gateway *gateway, guint version)
{
  Request *request = g_new0 (Request, 1);
  g_autofree char *key = NULL;
  g_autofree char *head = NULL;
  HtExchangeRequest exchange = { .connect_timeout = KNL_SEC, .max_idle = 2 * KNL_SEC };

  request->soak = self;
  request->gateway = gateway;
  request->id = g_strdup_printf ("r%u", self->next++);
  request->once = g_rand_boolean (self->rand);
  request->key = version;
  request->sent_at = now_of (self);
  g_hash_table_insert (self->requests, request->id, request);
  key = request->key > 0 ? g_strdup_printf ("key-%u", request->key) : g_strdup ("key");
  head = g_strdup_printf ("GET /%s/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\n"
                          "X-Deadline-Ms: 2000\r\nAuthorization: Bearer %s\r\n",
                          request->once ? "once" : "again", request->id, key);
  exchange.address = request->gateway->callers;
  exchange.head = head;
  ht_client_send (self->client, &exchange, &caller_events, request);
  return request;
}

static void
send_request (Soak *self)
{
  Gateway *gateway = &self->gateways[g_rand_int_range (self->rand, 0, GATEWAYS)];
  guint version = 0;

  if (g_rand_double (self->rand) < 0.3)
    version = MAX (self->version, 2) - (guint)g_rand_int_range (self->rand, 0, 2);
  send_to (self, gateway, version);
}

/* Gateways and the store */

static void
write_settings (Soak *self, guint i)
{
  Gateway *gateway = &self->gateways[i];
  const char *port = strchr (gateway->link, ':') + 1;
  g_autofree char *ip = hn_own_ip (i);
  g_autofree char *text =
      g_strdup_printf (SETTINGS_FORMAT, i, ip, port, port, gateway->callers, gateway->ready,
                       gateway->directory, row_store_address (self->store));

  CU_ASSERT_TRUE (g_file_set_contents (gateway->settings, text, -1, NULL));
}

static void
start_gateway (Soak *self, guint i)
{
  Gateway *gateway = &self->gateways[i];
  g_autofree char *name = g_strdup_printf ("gateway-%u", i);

  gateway->faulted_at = now_of (self);
  gateway->told_at = 0;
  gateway->process = hn_start (self->harness, name, "gateway/alderturn-gateway",
                               (const char *const[]){ "--boot", gateway->settings, NULL });
}

/* A new version, whose key takes the place of the last one's. */
static void
put_config (Soak *self)
{
  g_autofree char *text = NULL;
  KnlTime now = now_of (self);

  self->version++;
  g_array_append_val (self->withdrawn_at, now);
  text = g_strdup_printf (CONFIG_FORMAT, self->version, self->version);
  g_free (self->config);
  self->config = g_steal_pointer (&text);
  row_store_put_in (self->store, "op", "config", self->config);
}

static void
start_desk (Soak *self, guint i)
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

/* Faults */

static void
fault_pause (Soak *self, Gateway *gateway)
{
  hn_signal (gateway->process, SIGSTOP);
}

static void
fault_kill (Soak *self, Gateway *gateway)
{
  hn_kill (gateway->process);
  start_gateway (self, (guint)(gateway - self->gateways));
}

static void
fault_terminate (Soak *self, Gateway *gateway)
{
  hn_signal (gateway->process, SIGCONT);
  hn_signal (gateway->process, SIGTERM);
  if (hn_await_exit (gateway->process, HN_LIMIT) != 0)
    self->broken++;
  start_gateway (self, (guint)(gateway - self->gateways));
}

static void
fault_reload (Soak *self, Gateway *gateway)
{
  write_settings (self, (guint)(gateway - self->gateways));
  hn_signal (gateway->process, SIGHUP);
}

static void
fault_store (Soak *self, Gateway *gateway)
{
  row_store_set_mode (self->store, (RowStoreMode)g_rand_int_range (self->rand, 0, 4));
}

static void
fault_history (Soak *self, Gateway *gateway)
{
  row_store_forget_history (self->store);
}

/* It comes back from a copy of up to three seconds before. */
static void
fault_copy (Soak *self, Gateway *gateway)
{
  guint steps = (guint)g_rand_int_range (self->rand, 1, COPY_STEPS);
  guint64 version = g_array_index (self->versions, guint64,
                                   self->versions->len - MIN (steps, self->versions->len));

  row_store_return_to (self->store, version);
  self->written_at = now_of (self) + g_rand_int_range (self->rand, 0, WRITTEN_WITHIN_MS) * KNL_MSEC;
}

static void
write_again (Soak *self)
{
  if (self->written_at == 0 || now_of (self) < self->written_at)
    return;
  self->written_at = 0;
  for (guint i = 0; i < DESKS; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", i);

      row_store_put_in (self->store, "servers", id, self->entries[i]);
    }
  row_store_put_in (self->store, "op", "config", self->config);
}

static void
fault_config (Soak *self, Gateway *gateway)
{
  put_config (self);
}

static void
fault_proxy (Soak *self, Gateway *gateway)
{
  static const char *const faults[] = {
    "{\"mode\":\"none\"}",
    "{\"mode\":\"cut\"}",
    "{\"mode\":\"cut\",\"after\":40}",
    "{\"mode\":\"freeze\",\"new\":true}",
    "{\"mode\":\"freeze\",\"direction\":\"from-target\"}",
    "{\"mode\":\"delay\",\"ms\":150}",
    "{\"mode\":\"refuse\"}",
  };
  HnRequest request = {
    .address = self->proxy,
    .method = "POST",
    .path = "/fault",
    .body = faults[g_rand_int_range (self->rand, 0, G_N_ELEMENTS (faults))],
  };

  hn_ask (self->harness, &request, NULL);
}

/* The first of the faults leave processes and the store alone, the next one processes. */
#define CALM_FAULTS  5
#define STORE_FAULTS 1

static void
inject (Soak *self)
{
  static void (*const faults[]) (Soak *, Gateway *) = {
    fault_reload, fault_history, fault_config, fault_proxy,     fault_copy,
    fault_store,  fault_pause,   fault_kill,   fault_terminate,
  };
  guint n = self->is_calm ? CALM_FAULTS : G_N_ELEMENTS (faults);
  guint chosen = (guint)g_rand_int_range (self->rand, 0, (gint32)n);
  Gateway *gateway = &self->gateways[g_rand_int_range (self->rand, 0, GATEWAYS)];

  /* What was stopped goes on first, so that at most one stands still. */
  for (guint i = 0; i < GATEWAYS; i++)
    hn_signal (self->gateways[i].process, SIGCONT);
  if (chosen >= CALM_FAULTS + STORE_FAULTS)
    gateway->faulted_at = now_of (self);
  faults[chosen](self, gateway);
}

/* Promises */

static void
check_request (Soak *self, const Request *request)
{
  gboolean refused = request->status == 503 || request->status == 429;

  if (request->status == 200 && !request->is_own)
    report (self, request, "each caller receives the answer to its own request");
  if (request->once && request->runs > 1)
    report (self, request, "a request that is not idempotent runs at most once");
  if (request->once && refused && request->runs > 0)
    report (self, request, "what is refused has not run");
  if (request->ended_at == 0 && now_of (self) - request->sent_at > LIMIT + ANSWER_SLACK
      && now_of (self) - request->gateway->faulted_at > LIMIT + ANSWER_SLACK)
    report (self, request, "each request ends within its limit");
  if (request->key > 0 && request->key < self->version && request->runs > 0)
    {
      /* A version's key is taken away by the version after it. */
      KnlTime withdrawn = g_array_index (self->withdrawn_at, KnlTime, request->key);

      if (request->ran_at > withdrawn + KEY_LIMIT)
        report (self, request, "a withdrawn key is out of use within its bound");
    }
}

/* The span that begins with each arrival. */
static void
check_limit (Soak *self, const Desk *desk)
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

static void
check_all (Soak *self)
{
  GHashTableIter iter;
  gpointer request;

  g_hash_table_iter_init (&iter, self->requests);
  while (g_hash_table_iter_next (&iter, NULL, &request))
    check_request (self, request);
  for (guint i = 0; i < DESKS; i++)
    check_limit (self, &self->desks[i]);
}

/* With the store back, the newest configuration's key works everywhere. */
static void
check_settled (Soak *self)
{
  Request *requests[GATEWAYS];

  row_store_set_mode (self->store, ROW_STORE_SERVES);
  self->written_at = MIN (self->written_at, now_of (self));
  write_again (self);
  hn_pass (self->harness, SETTLED);
  for (guint i = 0; i < GATEWAYS; i++)
    requests[i] = send_to (self, &self->gateways[i], self->version);
  hn_pass (self->harness, LIMIT);
  for (guint i = 0; i < GATEWAYS; i++)
    {
      if (requests[i]->status == 401 || requests[i]->status == 0)
        report (self, requests[i], "the newest configuration is in force everywhere");
    }
}

static void
request_free (gpointer data)
{
  Request *self = data;

  g_free (self->id);
  g_free (self);
}

static void
soak_open (Soak *self, guint32 seed)
{
  static const HtLimits limits = { 16384, 1 << 20 };

  *self = (Soak){ .harness = hn_harness_new (),
                  .rand = g_rand_new_with_seed (seed),
                  .is_calm = seed % CALM_SEEDS == 0 };
  self->requests = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, request_free);
  self->withdrawn_at = g_array_new (FALSE, FALSE, sizeof (KnlTime));
  self->client = ht_client_new (self->harness->kernel, self->harness->base, &limits, 10 * KNL_SEC);
  self->store = row_store_new (self->harness->kernel, self->harness->base);
  row_store_set_era (self->store, 1);
  self->versions = g_array_new (FALSE, FALSE, sizeof (guint64));
  put_config (self);
  for (guint i = 0; i < DESKS; i++)
    start_desk (self, i);
  for (guint i = 0; i < GATEWAYS; i++)
    {
      Gateway *gateway = &self->gateways[i];
      gint file = g_file_open_tmp ("alderturn-XXXXXX", &gateway->settings, NULL);

      g_assert (file >= 0);
      close (file);
      gateway->callers = hn_address_new (self->harness);
      gateway->ready = hn_address_new (self->harness);
      gateway->directory = hn_address_new (self->harness);
      gateway->link = hn_address_new (self->harness);
      write_settings (self, i);
      start_gateway (self, i);
      CU_ASSERT_TRUE (hn_await_status (self->harness, gateway->ready, "/ready", 200));
    }
}

static void
soak_close (Soak *self)
{
  for (guint i = 0; i < GATEWAYS; i++)
    {
      hn_signal (self->gateways[i].process, SIGCONT);
      unlink (self->gateways[i].settings);
      g_free (self->gateways[i].settings);
    }
  ht_client_free (self->client);
  for (guint i = 0; i < DESKS; i++)
    {
      ht_server_free (self->desks[i].server);
      g_array_unref (self->desks[i].arrivals);
    }
  row_store_free (self->store);
  g_array_unref (self->versions);
  g_free (self->config);
  for (guint i = 0; i < DESKS; i++)
    g_free (self->entries[i]);
  CU_ASSERT_TRUE (hn_harness_free (self->harness));
  g_hash_table_unref (self->requests);
  g_array_unref (self->withdrawn_at);
  g_rand_free (self->rand);
}

static void
name_rate (Soak *self)
{
  Desk *desk = &self->desks[DESKS - 1];

  desk->rate = (guint)g_rand_int_range (self->rand, RATE_LEAST, RATE_MOST);
  desk->limited_at = now_of (self);
}

static void
run_seed (guint32 seed, KnlTime length)
{
  Soak soak;
  guint64 version;
  KnlTime end;
  KnlTime limited;
  KnlTime next_fault;

  soak_open (&soak, seed);
  end = now_of (&soak) + length;
  limited = now_of (&soak) + length / 3;
  next_fault = now_of (&soak) + FAULT_EVERY;
  while (now_of (&soak) < end)
    {
      for (guint i = 0; i < AT_ONCE; i++)
        send_request (&soak);
      hn_pass (soak.harness, STEP);
      version = row_store_version (soak.store);
      g_array_append_val (soak.versions, version);
      write_again (&soak);
      if (now_of (&soak) > limited && soak.desks[DESKS - 1].rate == 0)
        name_rate (&soak);
      if (now_of (&soak) < next_fault)
        continue;
      inject (&soak);
      next_fault = now_of (&soak) + FAULT_EVERY;
    }
  for (guint i = 0; i < GATEWAYS; i++)
    hn_signal (soak.gateways[i].process, SIGCONT);
  hn_pass (soak.harness, LIMIT + ANSWER_SLACK);
  check_all (&soak);
  check_settled (&soak);
  printf ("seed %u: %u requests, %u answered, %u counted against a limit of %u, %u broken\n", seed,
          soak.next, soak.answered, soak.desks[DESKS - 1].arrivals->len, soak.desks[DESKS - 1].rate,
          soak.broken);
  CU_ASSERT_EQUAL (soak.broken, 0);
  CU_ASSERT (soak.answered > 0);
  soak_close (&soak);
}

static guint32 first;
static guint count;
static KnlTime seconds;

static void
test_gateways_keep_their_promises (void)
{
  for (guint32 seed = first; seed < first + count; seed++)
    run_seed (seed, seconds * KNL_SEC);
}

static const SuiteCase cases[] = {
  { "gateways keep their promises under faults", test_gateways_keep_their_promises },
};

int
main (int argc, char **argv)
{
  if (argc != 4)
    return EXIT_FAILURE;
  first = (guint32)strtoul (argv[1], NULL, 10);
  count = (guint)strtoul (argv[2], NULL, 10);
  seconds = (KnlTime)strtoul (argv[3], NULL, 10);
  return suite_run ("gateway_soak", cases, G_N_ELEMENTS (cases));
}
