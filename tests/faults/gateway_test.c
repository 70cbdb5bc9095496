/** alderturn-gateway as a process, with fakes of the store and of an endpoint. */

#include <string.h>

#include "tests/faults/harness.h"
#include "http/client.h"
#include "tests/unit/suite.h"
#include "tests/fakes/row_store.h"
#include "tests/fakes/scripted_endpoint.h"

#define SETTINGS_FORMAT                                                                            \
  "{\"nodeName\":\"n1\",\"zone\":\"a\",\"region\":\"r\",\"ip\":\"%s\",\"portRange\":[%s,%"         \
  "s],"                                                                                            \
  "\"listen\":{\"front\":\"%s\",\"ready\":\"%s\",\"directory\":\"%s\"},"                           \
  "\"limits\":{\"maxFds\":1000,\"cpuShare\":0.25,\"cores\":1,\"linkMbps\":200},\"platform\":{"     \
  "\"address\":\"%s\",\"readsPerS\":100},"                                                         \
  "\"bounds\":{\"strictRevoke\":true,\"revokeMs\":%d,\"configApplyMs\":2000,\"stall_ms\":1500,"    \
  "\"graceS\":8,\"freeMs\":4000,\"retryBudgetRatio\":0.2,\"retrySlack\":100,\"budgetWindowS\":10," \
  "\"drainMs\":2000,\"ttl_max_s\":5}}"

#define CONFIG                                                                                     \
  "{\"version\":3,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"prefix\":\"/a/"                 \
  "\",\"routeKind\":\"unsafe\","                                                                   \
  "\"timeoutMs\":20000,\"targetLatencyMs\":100,\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}" \
  "],"                                                                                             \
  "\"tenants\":[{\"name\":\"w\",\"apiKeys\":[\"key\"]}]}"

#define REQUEST_HEAD                                                                               \
  "GET /a/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 20000\r\n"                   \
  "Authorization: Bearer key\r\n"

static const ScriptedAnswer good_answer = {
  "HTTP/1.1 200 OK\r\nX-Attempt-Id: %ID\r\nX-Server-Stamp: s\r\nContent-Length: 4\r\n\r\ngood",
  FALSE
};

typedef struct
{
  HnHarness *harness;
  HtClient *client;
  RowStore *store;
  ScriptedEndpoint *endpoint;
  const char *callers;
  const char *ready;
  const char *directory;
  const char *link;
  char *path; /* path of the settings file */
  HnProcess *process;
  guint status; /* of the last answer; 0: none, or it was incomplete */
  gboolean over;
} Fixture;

static void
write_settings (Fixture *self, const char *text)
{
  CU_ASSERT_TRUE (g_file_set_contents (self->path, text, -1, NULL));
}

static char *
settings_with_bound (Fixture *self, int revoke_ms)
{
  const char *port = strchr (self->link, ':') + 1;
  g_autofree char *ip = suite_loopback_ip (0);

  return g_strdup_printf (SETTINGS_FORMAT, ip, port, port, self->callers, self->ready,
                          self->directory, row_store_address (self->store), revoke_ms);
}

static void
fill_store (Fixture *self)
{
  g_autofree char *entry = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"a\",\"state\":\"ready\",\"slots\":4}",
      scripted_endpoint_address (self->endpoint));

  row_store_put (self->store, "config", CONFIG);
  row_store_put (self->store, "i-1", entry);
}

static void
fixture_open (Fixture *self)
{
  static const HtLimits limits = { 16384, 1 << 20 };
  g_autofree char *text = NULL;
  gint file;

  *self = (Fixture){ .harness = hn_harness_new () };
  self->client = ht_client_new (self->harness->kernel, self->harness->base, &limits, 10 * KNL_SEC);
  self->store = row_store_new (self->harness->kernel, self->harness->base);
  self->endpoint = scripted_endpoint_new (self->harness->base, &good_answer, 1);
  self->callers = hn_address_new (self->harness);
  self->ready = hn_address_new (self->harness);
  self->directory = hn_address_new (self->harness);
  self->link = hn_address_new (self->harness);
  file = g_file_open_tmp ("alderturn-XXXXXX", &self->path, NULL);
  CU_ASSERT (file >= 0);
  close (file);
  text = settings_with_bound (self, 60000);
  write_settings (self, text);
  self->process = hn_start (self->harness, "gateway", "gateway/alderturn-gateway",
                            (const char *const[]){ "--boot", self->path, NULL });
}

static void
fixture_close (Fixture *self)
{
  unlink (self->path);
  g_free (self->path);
  ht_client_free (self->client);
  row_store_free (self->store);
  scripted_endpoint_free (self->endpoint);
  CU_ASSERT_TRUE (hn_harness_free (self->harness));
}

static gboolean
has_event (gpointer data)
{
  const gpointer *pair = data;

  return strstr (hn_output (pair[0]), pair[1]) != NULL;
}

static void
await_event (Fixture *self, const char *event)
{
  g_autofree char *text = g_strdup_printf ("\"event\":\"%s\"", event);
  gpointer pair[] = { self->process, text };

  CU_ASSERT_TRUE (hn_await (self->harness, HN_TIMEOUT, has_event, pair));
}

static HtHeadVerdict
on_head (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  return HT_HEAD_ACCEPT;
}

static void
on_done (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  Fixture *self = data;

  self->status = answer->status;
  self->over = TRUE;
}

static void
on_failed (HtExchange *exchange, HtFailure failure, gpointer data)
{
  ((Fixture *)data)->over = TRUE;
}

static const HtExchangeEvents events = { .head = on_head, .done = on_done, .failed = on_failed };

static gboolean
is_over (gpointer data)
{
  return ((Fixture *)data)->over;
}

static guint
send_request (Fixture *self)
{
  HtExchangeRequest request = { .address = self->callers,
                                .head = REQUEST_HEAD,
                                .connect_timeout = 5 * KNL_SEC };

  self->over = FALSE;
  self->status = 0;
  ht_client_send (self->client, &request, &events, self);
  CU_ASSERT_TRUE (hn_await (self->harness, HN_TIMEOUT, is_over, self));
  return self->status;
}

/*
 * Guards against processes that crash (signal 11 a second after the start) or route by freed names
 * when the settings file is reloaded: other modules point to names and addresses of the first
 * settings, so a reload must not free these.
 */
static void
test_settings_are_reloaded (void)
{
  Fixture fixture;
  g_autofree char *changed = NULL;

  fixture_open (&fixture);
  CU_ASSERT_TRUE (hn_await_status (fixture.harness, fixture.ready, "/ready", 503));
  CU_ASSERT_EQUAL (send_request (&fixture), 503);
  fill_store (&fixture);
  CU_ASSERT_TRUE (hn_await_status (fixture.harness, fixture.ready, "/ready", 200));
  await_event (&fixture, "endpoint-listed");
  CU_ASSERT_EQUAL (send_request (&fixture), 200);
  write_settings (&fixture, "{\"nodeName\":7}");
  hn_signal (fixture.process, SIGHUP);
  await_event (&fixture, "settings-refused");
  CU_ASSERT_EQUAL (send_request (&fixture), 200);
  changed = settings_with_bound (&fixture, 50000);
  write_settings (&fixture, changed);
  hn_signal (fixture.process, SIGHUP);
  await_event (&fixture, "settings-reloaded");
  CU_ASSERT_EQUAL (send_request (&fixture), 200);
  CU_ASSERT_TRUE (hn_await_status (fixture.harness, fixture.directory, "/resolve?zone=a", 200));
  hn_signal (fixture.process, SIGTERM);
  CU_ASSERT_EQUAL (hn_await_exit (fixture.process, HN_TIMEOUT), 0);
  fixture_close (&fixture);
}

/* A stopping instance is at once not ready and absent from the directory, but still answers the
 * requests that callers send. */
static void
test_stopping (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  fill_store (&fixture);
  CU_ASSERT_TRUE (hn_await_status (fixture.harness, fixture.ready, "/ready", 200));
  await_event (&fixture, "endpoint-listed");
  hn_signal (fixture.process, SIGTERM);
  CU_ASSERT_TRUE (hn_await_status (fixture.harness, fixture.ready, "/ready", 503));
  CU_ASSERT_TRUE (hn_await_status (fixture.harness, fixture.directory, "/resolve?zone=a", 503));
  CU_ASSERT_EQUAL (send_request (&fixture), 200);
  CU_ASSERT_EQUAL (hn_await_exit (fixture.process, HN_TIMEOUT), 0);
  fixture_close (&fixture);
}

/* When requests begin to be sent after the signal, and the interval between them. */
#define LATE_TIME     (5500 * KNL_MSEC)
#define LATE_INTERVAL (25 * KNL_MSEC)
#define N_LATE        100

/* A connection may close without an answer this soon after the request's last byte: they cross. */
#define CROSSING_TIME (200 * KNL_MSEC)

typedef struct
{
  KnlKernel *kernel;
  KnlTime sent_at;
  gboolean is_answered;
  gboolean is_lost;
} Late;

static void
on_late_done (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  ((Late *)data)->is_answered = TRUE;
}

static void
on_late_failed (HtExchange *exchange, HtFailure failure, gpointer data)
{
  Late *self = data;

  self->is_lost =
      failure != HT_FAIL_CONNECT && knl_kernel_now (self->kernel) - self->sent_at > CROSSING_TIME;
}

static const HtExchangeEvents late_events = { .head = on_head,
                                              .done = on_late_done,
                                              .failed = on_late_failed };

static void
send_late (Fixture *self, Late *late)
{
  HtExchangeRequest request = { .address = self->callers,
                                .head = REQUEST_HEAD,
                                .connect_timeout = 5 * KNL_SEC };

  *late =
      (Late){ .kernel = self->harness->kernel, .sent_at = knl_kernel_now (self->harness->kernel) };
  ht_client_send (self->client, &request, &late_events, late);
  hn_run_for (self->harness, LATE_INTERVAL);
}

/* Guards against requests that an endpoint works on when the process exits, and whose callers get
 * no answer, as it is queued when the event loop ends. */
static void
test_requests_at_the_exit_are_answered (void)
{
  static const ScriptedAnswer silence = { NULL, FALSE };
  g_autofree Late *late = g_new0 (Late, N_LATE);
  guint n_answered = 0;
  guint n_lost = 0;
  Fixture fixture;

  fixture_open (&fixture);
  scripted_endpoint_free (fixture.endpoint);
  fixture.endpoint = scripted_endpoint_new (fixture.harness->base, &silence, 1);
  fill_store (&fixture);
  CU_ASSERT_TRUE (hn_await_status (fixture.harness, fixture.ready, "/ready", 200));
  await_event (&fixture, "endpoint-listed");
  hn_signal (fixture.process, SIGTERM);
  hn_run_for (fixture.harness, LATE_TIME);
  for (guint i = 0; i < N_LATE; i++)
    send_late (&fixture, &late[i]);
  CU_ASSERT_EQUAL (hn_await_exit (fixture.process, HN_TIMEOUT), 0);
  hn_run_for (fixture.harness, LATE_INTERVAL);
  for (guint i = 0; i < N_LATE; i++)
    {
      n_answered += late[i].is_answered;
      n_lost += late[i].is_lost;
    }
  CU_ASSERT (n_answered > N_LATE / 2);
  CU_ASSERT_EQUAL (n_lost, 0);
  fixture_close (&fixture);
}

/* Shorter than the interval at which relays read the rows of cells, and notice that their own is
 * missing. */
#define REGISTER_TIMEOUT (15 * KNL_SEC)

static gboolean
is_registered (gpointer data)
{
  return row_store_has (((Fixture *)data)->store, "cells", "a");
}

/* Guards against a cell that starting instances can no longer discover because the store has lost
 * its row in a restoration. */
static void
test_a_lost_row_is_written_again (void)
{
  Fixture fixture;
  guint64 version;

  fixture_open (&fixture);
  row_store_set_era (fixture.store, 0);
  version = row_store_version (fixture.store);
  fill_store (&fixture);
  CU_ASSERT_TRUE (hn_await (fixture.harness, HN_TIMEOUT, is_registered, &fixture));
  CU_ASSERT_TRUE (hn_await_status (fixture.harness, fixture.ready, "/ready", 200));
  row_store_restore (fixture.store, version);
  CU_ASSERT_FALSE (is_registered (&fixture));
  fill_store (&fixture);
  CU_ASSERT_TRUE (hn_await (fixture.harness, REGISTER_TIMEOUT, is_registered, &fixture));
  CU_ASSERT_TRUE (hn_await_status (fixture.harness, fixture.ready, "/ready", 200));
  CU_ASSERT_EQUAL (send_request (&fixture), 200);
  fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "settings are read again", test_settings_are_reloaded },
  { "stopping", test_stopping },
  { "requests at the exit are answered", test_requests_at_the_exit_are_answered },
  { "a lost row is written again", test_a_lost_row_is_written_again },
};

SUITE_MAIN ("gateway-faults", cases)
