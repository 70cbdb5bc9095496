/**
 * Runs real gateways under external faults: overlapping signals, a store that
 * refuses calls, drops them or doesn't answer, a proxy in front of an endpoint that
 * delays, closes and freezes connections, reloaded settings, withdrawn keys,
 * evacuated zones, cold endpoints, prompts that crash endpoints. The guarantees are checked from
 * the callers' and the endpoints' side.
 *
 * usage: gateway_soak FIRST COUNT SECONDS; runs the seeds FIRST to FIRST + COUNT - 1.
 * A seed that fails is printed with the violations.
 */

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "gateway_soak_internal.h"
#include "tests/unit/suite.h"

/* Requests sent in each step. */
#define REQUESTS_PER_STEP 4

/* Index of the endpoint that advertises from half of the run on that it is leaving. */
#define LEAVING_ENDPOINT 1

#define STEP            (20 * KNL_MSEC)
#define REQUEST_TIMEOUT (2 * KNL_SEC)
#define FAULT_INTERVAL  (300 * KNL_MSEC)
#define REVOKE_TIMEOUT  (3 * KNL_SEC)
#define ANSWER_SLACK    (2 * KNL_SEC)

/* Bounds of evacuations, by turns of the seeds: shorter than that of withdrawn keys, so that many
 * evacuations last longer, and longer, so that requests without confirmation are refused because of
 * the keys first. */
#define SHORT_EVACUATION (2 * KNL_SEC)
#define LONG_EVACUATION  (4 * KNL_SEC)

/* One seed in this many injects no faults into the gateways' processes and the store's service. */
#define CALM_SEEDS 3

/* How long a caller's key may work after it was withdrawn, including the duration of a request. */
#define KEY_TIMEOUT (REVOKE_TIMEOUT + REQUEST_TIMEOUT)

#define SETTINGS_FORMAT                                                                            \
  "{\"nodeName\":\"n%u\",\"zone\":\"a\",\"region\":\"r\",\"ip\":\"%s\","                           \
  "\"portRange\":[%s,%s],\"listen\":{\"front\":\"%s\",\"ready\":\"%s\",\"directory\":\"%s\"},"     \
  "\"limits\":{\"maxFds\":1000,\"cpuShare\":0.25,\"cores\":1,\"linkMbps\":200},\"platform\":{"     \
  "\"address\":\"%s\",\"readsPerS\":100},"                                                         \
  "\"bounds\":{\"strictRevoke\":true,\"revokeMs\":3000,\"configApplyMs\":2000,\"stall_ms\":1500,"  \
  "\"graceS\":4,\"freeMs\":4000,\"retryBudgetRatio\":0.2,\"retrySlack\":100,\"budgetWindowS\":10," \
  "\"drainMs\":2000,\"ttl_max_s\":5,"                                                              \
  "\"evacMs\":%" G_GINT64_FORMAT ",\"coldOverage\":" G_STRINGIFY (                                 \
      GS_COLD_OVERAGE) ",\"coldSlack\":" G_STRINGIFY (GS_COLD_SLACK) "}}"

#define CONFIG_FORMAT                                                                              \
  "{\"version\":%u,\"routes\":[{\"name\":\"once\",\"hostname\":\"h\",\"prefix\":\"/once/\","       \
  "\"routeKind\":\"unsafe\",\"maxAttempts\":2,\"timeoutMs\":2000,\"targetLatencyMs\":100,"         \
  "\"service\":\"s\"},{\"name\":\"again\",\"hostname\":\"h\",\"prefix\":\"/again/\","              \
  "\"routeKind\":\"safe\",\"maxAttempts\":2,\"timeoutMs\":2000,\"targetLatencyMs\":100,"           \
  "\"service\":\"s\"}],\"services\":[{\"name\":\"s\",\"coldStartS\":2,\"coldPerS\":" G_STRINGIFY ( \
      GS_COLD_PER_S) "}],"                                                                         \
                     "\"tenants\":[{\"name\":\"w\",\"apiKeys\":[\"key\",\"key-%u\"]}]}"

/* When the request's key was withdrawn, which the next version of the configuration does; the time
 * of sending if it wasn't. */
static KnlTime
withdrawn_at (const Soak *self, const Request *request)
{
  if (request->key == 0 || request->key >= self->withdrawn_at->len)
    return request->sent_at;
  return g_array_index (self->withdrawn_at, KnlTime, request->key);
}

static void
report_violation (Soak *self, const Request *request, const char *guarantee)
{
  self->violations++;
  fprintf (stderr,
           "broken: %s: request %s to gateway-%d, at most once %d, status %u, runs %u, "
           "key of version %u, sent %" G_GINT64_FORMAT " ms and run %" G_GINT64_FORMAT
           " ms after the key was withdrawn\n",
           guarantee, request->id, (int)(request->gateway - self->gateways),
           request->is_at_most_once, request->status, request->runs, request->key,
           (request->sent_at - withdrawn_at (self, request)) / KNL_MSEC,
           (request->ran_at - withdrawn_at (self, request)) / KNL_MSEC);
}

/* Prints the gateways' log lines, except those about single requests that change nothing else. */
static void
print_logs (const Soak *self)
{
  const GPtrArray *processes = self->harness->processes;

  for (guint i = 0; i < processes->len; i++)
    {
      g_auto (GStrv) lines = g_strsplit (hn_output (g_ptr_array_index (processes, i)), "\n", -1);

      for (guint j = 0; lines[j] != NULL; j++)
        {
          if (strstr (lines[j], "\"request\"") == NULL
              || strstr (lines[j], "\"endpoint-leaving\"") != NULL
              || strstr (lines[j], "\"endpoint\":\"i-1") != NULL)
            fprintf (stderr, "%u: %s\n", i, lines[j]);
        }
    }
}

/* Callers */

static HtHeadVerdict
on_head (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  return HT_HEAD_ACCEPT;
}

static void
on_done (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  Request *self = data;

  self->ended_at = gs_now (self->soak);
  self->status = answer->status;
  self->is_own = strcmp (answer->body->str, self->id) == 0;
  self->soak->answered += answer->status == 200;
}

static void
on_failed (HtExchange *exchange, HtFailure failure, gpointer data)
{
  Request *self = data;

  self->ended_at = gs_now (self->soak);
}

static const HtExchangeEvents caller_events = { .head = on_head,
                                                .done = on_done,
                                                .failed = on_failed };

static Request *
add_request (Soak *self, Gateway *gateway)
{
  Request *request = g_new0 (Request, 1);

  request->soak = self;
  request->gateway = gateway;
  request->id = g_strdup_printf ("r%u", self->next++);
  request->sent_at = gs_now (self);
  g_hash_table_insert (self->requests, request->id, request);
  return request;
}

void
gs_send_same_request (Soak *self, Gateway *gateway)
{
  Request *request = add_request (self, gateway);
  g_autofree char *head =
      g_strdup_printf ("POST /again/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\n"
                       "X-Deadline-Ms: 2000\r\nAuthorization: Bearer key\r\n"
                       "Content-Length: 4\r\n",
                       request->id);
  HtExchangeRequest exchange = { .address = gateway->callers,
                                 .head = head,
                                 .body = "same",
                                 .body_length = 4,
                                 .connect_timeout = KNL_SEC,
                                 .max_idle = 2 * KNL_SEC };

  request->is_deadly = request->is_repeat = TRUE;
  ht_client_send (self->client, &exchange, &caller_events, request);
}

/* `version`: that of the configuration whose key is used; 0: the permanent key. */
static Request *
send_to (Soak *self, Gateway *gateway, guint version)
{
  Request *request = add_request (self, gateway);
  g_autofree char *key = NULL;
  g_autofree char *prompt = NULL;
  g_autofree char *head = NULL;
  HtExchangeRequest exchange = { .connect_timeout = KNL_SEC, .max_idle = 2 * KNL_SEC };

  request->is_at_most_once = g_rand_boolean (self->rand);
  request->key = version;
  key = request->key > 0 ? g_strdup_printf ("key-%u", request->key) : g_strdup ("key");
  prompt = gs_prompt_fields (self, request);
  head = g_strdup_printf ("POST /%s/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\n"
                          "X-Deadline-Ms: 2000\r\nAuthorization: Bearer %s\r\n%s"
                          "Content-Length: %zu\r\n",
                          request->is_at_most_once ? "once" : "again", request->id, key, prompt,
                          strlen (request->id));
  exchange.address = request->gateway->callers;
  exchange.head = head;
  exchange.body = request->id;
  exchange.body_length = strlen (request->id);
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

static void
send_some (Soak *self)
{
  for (guint i = 0; i < REQUESTS_PER_STEP; i++)
    send_request (self);
}

/* Gateways and the store */

void
gs_write_settings (Soak *self, guint i)
{
  Gateway *gateway = &self->gateways[i];
  const char *port = strchr (gateway->link, ':') + 1;
  g_autofree char *ip = suite_loopback_ip (i);
  g_autofree char *text = g_strdup_printf (
      SETTINGS_FORMAT, i, ip, port, port, gateway->callers, gateway->ready, gateway->directory,
      row_store_address (self->store), self->evacuation_bound / KNL_MSEC);

  CU_ASSERT_TRUE (g_file_set_contents (gateway->settings, text, -1, NULL));
}

void
gs_start_gateway (Soak *self, guint i)
{
  Gateway *gateway = &self->gateways[i];
  g_autofree char *name = g_strdup_printf ("gateway-%u", i);

  gateway->faulted_at = gs_now (self);
  gateway->limit_advertised_at = 0;
  gateway->process = hn_start (self->harness, name, "gateway/alderturn-gateway",
                               (const char *const[]){ "--boot", gateway->settings, NULL });
}

/* Writes a new version, whose key replaces that of the previous one. */
void
gs_put_config (Soak *self)
{
  g_autofree char *text = NULL;
  KnlTime now = gs_now (self);

  self->version++;
  g_array_append_val (self->withdrawn_at, now);
  text = g_strdup_printf (CONFIG_FORMAT, self->version, self->version);
  g_free (self->config);
  self->config = g_steal_pointer (&text);
  row_store_put_in (self->store, "op", "config", self->config);
}

/* Guarantees */

static void
check_request (Soak *self, const Request *request)
{
  gboolean refused = request->status == 503 || request->status == 429;

  if (request->status == 200 && !request->is_own)
    report_violation (self, request, "each caller receives the answer to its own request");
  if (request->is_at_most_once && request->runs > 1)
    report_violation (self, request, "a request that is not idempotent runs at most once");
  if (request->is_at_most_once && refused && request->runs > 0)
    report_violation (self, request, "a refused request has not run");
  if (request->ended_at == 0 && gs_now (self) - request->sent_at > REQUEST_TIMEOUT + ANSWER_SLACK
      && gs_now (self) - request->gateway->faulted_at > REQUEST_TIMEOUT + ANSWER_SLACK)
    report_violation (self, request, "each request ends within its limit");
  if (request->key > 0 && request->key < self->version && request->runs > 0
      && request->ran_at > withdrawn_at (self, request) + KEY_TIMEOUT)
    report_violation (self, request, "a withdrawn key stops working within its bound");
}

static void
check_all (Soak *self)
{
  GHashTableIter iter;
  gpointer request;

  g_hash_table_iter_init (&iter, self->requests);
  while (g_hash_table_iter_next (&iter, NULL, &request))
    check_request (self, request);
  for (guint i = 0; i < ENDPOINTS; i++)
    gs_check_limit (self, &self->endpoints[i]);
}

static void
send_for (Soak *self, KnlTime time)
{
  KnlTime end = gs_now (self) + time;

  while (gs_now (self) < end)
    {
      send_some (self);
      hn_run_for (self->harness, STEP);
    }
}

/* Checks that the key of the newest configuration works everywhere once the store serves again, and
 * that no zone stays evacuated. All endpoints are cold meanwhile: among the faults, few requests
 * arrive at an endpoint that all instances know to be cold. */
static void
check_settled (Soak *self)
{
  Request *requests[GATEWAYS];
  KnlTime settled_at;

  row_store_set_mode (self->store, ROW_STORE_SERVES);
  gs_set_proxy_fault (self, "{\"mode\":\"none\"}");
  gs_restore_zones (self, KNL_NEVER);
  self->rewrite_at = MIN (self->rewrite_at, gs_now (self));
  gs_rewrite_lost_rows (self);
  gs_make_all_cold (self, GS_SETTLE_TIME + REQUEST_TIMEOUT + ANSWER_SLACK);
  hn_run_for (self->harness, GS_SETTLE_TIME);
  for (guint i = 0; i < GATEWAYS; i++)
    requests[i] = send_to (self, &self->gateways[i], self->version);
  settled_at = gs_now (self);
  send_for (self, ANSWER_SLACK);
  hn_run_for (self->harness, REQUEST_TIMEOUT);
  gs_check_used (self, settled_at);
  for (guint i = 0; i < GATEWAYS; i++)
    {
      if (requests[i]->status == 401 || requests[i]->status == 0)
        report_violation (self, requests[i], "the newest configuration is in force everywhere");
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
                  .is_calm = seed % CALM_SEEDS == 0,
                  .evacuation_bound = seed % 2 == 1 ? SHORT_EVACUATION : LONG_EVACUATION };
  self->requests = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, request_free);
  self->withdrawn_at = g_array_new (FALSE, FALSE, sizeof (KnlTime));
  self->client = ht_client_new (self->harness->kernel, self->harness->base, &limits, 10 * KNL_SEC);
  self->store = row_store_new (self->harness->kernel, self->harness->base);
  row_store_set_era (self->store, 0);
  self->versions = g_array_new (FALSE, FALSE, sizeof (guint64));
  self->repeats.rand = g_rand_new_with_seed (seed);
  gs_put_config (self);
  for (guint i = 0; i < ENDPOINTS; i++)
    gs_start_endpoint (self, i);
  gs_put_rows (self);
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
      gs_write_settings (self, i);
      gs_start_gateway (self, i);
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
  for (guint i = 0; i < ENDPOINTS; i++)
    {
      knl_timer_stop (self->harness->kernel, &self->endpoints[i].restart_timer);
      gs_end_endpoint (&self->endpoints[i]);
      g_hash_table_unref (self->endpoints[i].works);
      g_array_unref (self->endpoints[i].arrivals);
      g_array_unref (self->endpoints[i].cold_arrivals);
    }
  row_store_free (self->store);
  g_array_unref (self->versions);
  g_free (self->config);
  CU_ASSERT_TRUE (hn_harness_free (self->harness));
  g_hash_table_unref (self->requests);
  g_array_unref (self->withdrawn_at);
  g_rand_free (self->rand);
  g_rand_free (self->repeats.rand);
}

static void
run_seed (guint32 seed, KnlTime length)
{
  Soak soak;
  guint64 version;
  KnlTime end;
  KnlTime limit_starts_at;
  KnlTime leaving_starts_at;
  KnlTime deadly_starts_at;
  KnlTime next_fault;

  soak_open (&soak, seed);
  end = gs_now (&soak) + length;
  limit_starts_at = gs_now (&soak) + length / 3;
  leaving_starts_at = gs_now (&soak) + length / 2;
  deadly_starts_at = gs_now (&soak) + length / 5;
  next_fault = gs_now (&soak) + FAULT_INTERVAL;
  while (gs_now (&soak) < end)
    {
      send_some (&soak);
      hn_run_for (soak.harness, STEP);
      version = row_store_version (soak.store);
      g_array_append_val (soak.versions, version);
      gs_rewrite_lost_rows (&soak);
      gs_restore_zones (&soak, gs_now (&soak));
      if (soak.store_mode != ROW_STORE_SERVES)
        gs_note_store_fault (&soak, gs_now (&soak) + GS_SETTLE_TIME);
      if (gs_now (&soak) > limit_starts_at && soak.endpoints[ENDPOINTS - 1].rate == 0)
        gs_advertise_limit (&soak);
      soak.endpoints[LEAVING_ENDPOINT].is_leaving = gs_now (&soak) > leaving_starts_at;
      soak.sends_deadly = gs_now (&soak) > deadly_starts_at;
      gs_send_repeat (&soak);
      gs_disturb_repeats (&soak);
      if (gs_now (&soak) < next_fault)
        continue;
      gs_inject (&soak);
      gs_change_rows (&soak);
      next_fault = gs_now (&soak) + FAULT_INTERVAL;
    }
  for (guint i = 0; i < GATEWAYS; i++)
    {
      soak.gateways[i].paused_until = 0;
      gs_resume (&soak, &soak.gateways[i]);
    }
  hn_run_for (soak.harness, REQUEST_TIMEOUT + ANSWER_SLACK);
  check_all (&soak);
  check_settled (&soak);
  gs_check_quarantined (&soak);
  printf ("seed %u: %u requests, %u answered, %u counted against a limit of %u, "
          "%u answers with Retry-After, %u evacuations, %u requests to cold endpoints, "
          "%u crashes, quarantined %u times and wrongly %u times, %u crashes by repeats%s, "
          "%u violations\n",
          seed, soak.next, soak.answered, soak.endpoints[ENDPOINTS - 1].arrivals->len,
          soak.endpoints[ENDPOINTS - 1].rate, soak.n_retry_after, soak.n_evacuations,
          soak.n_cold_arrivals, soak.n_crashes, soak.n_quarantined, soak.n_wrong,
          soak.repeats.n_crashes, soak.repeats.was_killed ? " and a restart of all" : "",
          soak.violations);
  if (soak.violations > 0)
    print_logs (&soak);
  CU_ASSERT_EQUAL (soak.violations, 0);
  CU_ASSERT (soak.answered > 0);
  soak_close (&soak);
}

static guint32 first;
static guint count;
static KnlTime seconds;

static void
test_gateways_keep_their_guarantees (void)
{
  for (guint32 seed = first; seed < first + count; seed++)
    run_seed (seed, seconds * KNL_SEC);
}

static const SuiteCase cases[] = {
  { "gateways keep their promises under faults", test_gateways_keep_their_guarantees },
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
