/** The core between a caller and endpoints that fail, over loopback, with the clock paused. */

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "kernel/paused.h"
#include "platform/dialect.h"
#include "tests/fakes/scripted_endpoint.h"
#include "serve/core.h"
#include "suite.h"

#define SIGNED         "X-Attempt-Id: %ID\r\nX-Server-Stamp: s\r\n"
#define ENDPOINTS_MOST 3

/* No event for this long means that the test has failed, not that the machine is slow. */
#define STUCK_S 20

typedef struct
{
  struct event_base *base;
  struct event *stuck;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  HtClient *client;
  SvDialect *dialect;
  SvFleet *fleet;
  CmMetrics *metrics;
  SvCore *core;
  HtServer *front;
  char *address;
  ScriptedEndpoint *endpoints[ENDPOINTS_MOST];
  guint n_endpoints;

  struct bufferevent *caller;
  GString *got;
  gboolean ended;
} Fixture;

static void
link_read_placed (SvPeerLink *link, const SvPlacement *placement, gint sign)
{
}

static void
link_load_changed (SvPeerLink *link)
{
}

static void
link_suspect (SvPeerLink *link, guint64 fingerprint)
{
}

static guint
link_n_instances (const SvPeerLink *link)
{
  return 1;
}

static const SvPeerLinkClass link_class = {
  .read_placed = link_read_placed,
  .load_changed = link_load_changed,
  .suspect = link_suspect,
  .n_instances = link_n_instances,
};

static SvPeerLink alone = { &link_class };

static void
on_stuck (evutil_socket_t fd, short what, void *data)
{
  g_error ("nothing happens any more");
}

static void
on_request (HtCall *call, gpointer data)
{
  sv_core_take (((Fixture *)data)->core, call);
}

static void
on_gone (HtCall *call, gpointer data)
{
  sv_core_gone (((Fixture *)data)->core, call);
}

static const HtServerEvents front_events = { .request = on_request, .gone = on_gone };

static void
add_route (SvConfig *config, const char *prefix, SvRouteKind kind, guint attempts)
{
  SvRoute *route = sv_route_new ();

  route->name = g_strdup (prefix);
  route->host = g_strdup ("h");
  route->prefix = g_strdup (prefix);
  route->kind = kind;
  route->resumable = kind == SV_STREAM;
  route->max_attempts = attempts;
  route->timeout = 5 * KNL_SEC;
  route->objective = 100 * KNL_MSEC;
  route->gap_objective = 250 * KNL_MSEC;
  sv_route_add_split (route, "s", 1);
  sv_config_add_route (config, route);
}

static void
use_config (Fixture *self, guint64 version, const char *key)
{
  g_autoptr (SvConfig) config = sv_config_new (version);

  sv_config_add_service (config, "s");
  add_route (config, "/once/", SV_AT_MOST_ONCE, 1);
  add_route (config, "/once-of-two/", SV_AT_MOST_ONCE, 2);
  add_route (config, "/again/", SV_IDEMPOTENT, 2);
  add_route (config, "/stream/", SV_STREAM, 2);
  config->has_workspaces = TRUE;
  sv_config_add_key (config, sv_config_add_workspace (config, "w"), key);
  sv_config_seal (config);
  sv_core_set_config (self->core, config);
  sv_core_confirm (self->core, knl_kernel_now (self->kernel));
}

static void
open_core (Fixture *self)
{
  static const HtLimits limits = { 16384, 1 << 20 };
  static const SvBounds bounds = {
    .key_confirmation = 3 * KNL_SEC,
    .route_confirmation = 1 * KNL_SEC,
    .grace = 8 * KNL_SEC,
    .retries = { .ratio = 0.2, .slack = 100, .window = 10 * KNL_SEC },
  };
  static const HtServerLimits server_limits = {
    .message = { 16384, 1 << 20 },
    .head_timeout = 3 * KNL_SEC,
    .idle_timeout = 15 * KNL_SEC,
    .max_connections = 10,
  };
  SvCoreParts parts;

  self->client = ht_client_new (self->kernel, self->base, &limits, 10 * KNL_SEC);
  self->dialect = pl_dialect_new ();
  self->fleet = sv_fleet_new (self->kernel, KNL_SEC);
  self->metrics = cm_metrics_new ();
  parts = (SvCoreParts){ self->kernel,  self->client, self->dialect, self->fleet, &alone,
                         self->metrics, "a" };
  self->core = sv_core_new (&parts, &bounds);
  for (guint port = 20000; self->front == NULL; port++)
    {
      g_free (self->address);
      self->address = g_strdup_printf ("127.0.0.1:%u", port);
      self->front = ht_server_new (self->kernel, self->base, self->address, &server_limits,
                                   &front_events, self);
    }
}

static void
fixture_open (Fixture *self)
{
  struct timeval limit = { .tv_sec = STUCK_S };

  *self = (Fixture){ .base = event_base_new (), .clock = knl_paused_clock_new () };
  self->stuck = evtimer_new (self->base, on_stuck, NULL);
  evtimer_add (self->stuck, &limit);
  /* The clock's zero is a time at which nothing has happened yet. */
  knl_paused_clock_advance (self->clock, 100 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 5);
  self->got = g_string_new (NULL);
  open_core (self);
}

/* An endpoint in the fleet; the ones added first are chosen first where nothing else decides. */
static void
add_endpoint (Fixture *self, const ScriptedAnswer *script, guint n)
{
  guint i = self->n_endpoints++;
  g_autofree char *id = g_strdup_printf ("i-%u", i);
  SvEndpointEntry entry = { .id = id, .service = "s", .zone = i == 0 ? "a" : "b", .slots = 4 };

  self->endpoints[i] = scripted_endpoint_new (self->base, script, n);
  entry.address = scripted_endpoint_address (self->endpoints[i]);
  sv_fleet_update (self->fleet, &entry);
}

static void
fixture_close (Fixture *self)
{
  if (self->caller != NULL)
    bufferevent_free (self->caller);
  ht_server_free (self->front);
  ht_client_free (self->client);
  sv_core_free (self->core);
  for (guint i = 0; i < self->n_endpoints; i++)
    scripted_endpoint_free (self->endpoints[i]);
  sv_fleet_free (self->fleet);
  pl_dialect_free (self->dialect);
  cm_metrics_free (self->metrics);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
  event_free (self->stuck);
  event_base_free (self->base);
  g_string_free (self->got, TRUE);
  g_free (self->address);
}

static void
on_caller_read (struct bufferevent *stream, void *data)
{
  Fixture *self = data;
  struct evbuffer *input = bufferevent_get_input (stream);
  gsize length = evbuffer_get_length (input);

  g_string_append_len (self->got, (const char *)evbuffer_pullup (input, -1), (gssize)length);
  evbuffer_drain (input, length);
}

static void
on_caller_event (struct bufferevent *stream, short what, void *data)
{
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    ((Fixture *)data)->ended = TRUE;
}

static void
send_bytes (Fixture *self, const char *bytes)
{
  struct sockaddr_storage peer;
  int length = sizeof peer;

  if (self->caller == NULL)
    {
      self->caller = bufferevent_socket_new (self->base, -1, BEV_OPT_CLOSE_ON_FREE);
      bufferevent_setcb (self->caller, on_caller_read, NULL, on_caller_event, self);
      evutil_parse_sockaddr_port (self->address, (struct sockaddr *)&peer, &length);
      bufferevent_socket_connect (self->caller, (struct sockaddr *)&peer, length);
      bufferevent_enable (self->caller, EV_READ | EV_WRITE);
    }
  bufferevent_write (self->caller, bytes, strlen (bytes));
}

static void
ask (Fixture *self, const char *path)
{
  g_autofree char *request =
      g_strdup_printf ("POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 4000\r\n"
                       "Authorization: Bearer key\r\nContent-Length: 2\r\n\r\nhi",
                       path);

  g_string_truncate (self->got, 0);
  send_bytes (self, request);
}

/* Runs the loop until the caller has got `text`. */
static void
wait_for (Fixture *self, const char *text)
{
  while (strstr (self->got->str, text) == NULL && !self->ended)
    {
      event_base_loop (self->base, EVLOOP_ONCE);
      knl_kernel_run_due (self->kernel);
    }
}

static void
wait_requests (Fixture *self, guint endpoint, guint n)
{
  while (scripted_endpoint_n_requests (self->endpoints[endpoint]) < n)
    event_base_loop (self->base, EVLOOP_ONCE);
}

static guint
all_requests (const Fixture *self)
{
  guint n = 0;

  for (guint i = 0; i < self->n_endpoints; i++)
    n += scripted_endpoint_n_requests (self->endpoints[i]);
  return n;
}

static const ScriptedAnswer good = { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood",
                                     FALSE };
static const ScriptedAnswer rejects = {
  "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", FALSE
};

/* One request to endpoints of which each but the last behaves as `first`, the last as `last`. */
typedef struct
{
  const char *name;
  const char *path;
  guint n_endpoints;
  ScriptedAnswer first;
  ScriptedAnswer last;
  const char *wanted;   /* in what the caller gets */
  const char *unwanted; /* not in it; may be NULL */
  guint requests;       /* that reach endpoints */
} Row;

/*
 * Symptom: a request that may run once has run twice; or one that has run is said not to have run;
 * or one that another endpoint would have answered fails.
 * Sequence: an endpoint breaks off, tears its answer, answers what is no answer, or rejects.
 * Cause: whether a request may have run was judged by something else than what left this instance
 * and what the endpoint said.
 */
static const Row rows[] = {
  { "answered",
    "/once/1",
    1,
    { 0 },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood" },
    "good",
    NULL,
    1 },
  { "closed, once", "/once/1", 2, { NULL, TRUE }, { "never" }, "HTTP/1.1 502", NULL, 1 },
  { "closed, once though two attempts are allowed",
    "/once-of-two/1",
    2,
    { NULL, TRUE },
    { "never" },
    "HTTP/1.1 502",
    NULL,
    1 },
  { "closed, again",
    "/again/1",
    2,
    { NULL, TRUE },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood" },
    "good",
    NULL,
    2 },
  { "torn, once",
    "/once/1",
    2,
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 9\r\n\r\ngood", TRUE },
    { "never" },
    "HTTP/1.1 502",
    "good",
    1 },
  { "torn, again",
    "/again/1",
    2,
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 9\r\n\r\ntorn", TRUE },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood" },
    "good",
    "torn",
    2 },
  { "unsigned",
    "/once/1",
    1,
    { 0 },
    { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake" },
    "HTTP/1.1 502",
    "fake",
    1 },
  { "encoded",
    "/once/1",
    1,
    { 0 },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nfake" },
    "HTTP/1.1 502",
    "fake",
    1 },
  { "no answer of the protocol",
    "/once/1",
    1,
    { 0 },
    { "\x01\x02\x03\r\n\r\n" },
    "HTTP/1.1 502",
    NULL,
    1 },
  { "another request's answer first",
    "/once/1",
    1,
    { 0 },
    { "HTTP/1.1 200 OK\r\nX-Attempt-Id: old\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nother"
      "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood" },
    "good",
    "other",
    1 },
  { "rejected, then run once",
    "/once/1",
    2,
    { "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood" },
    "good",
    NULL,
    2 },
  { "another endpoint has the address",
    "/once/1",
    2,
    { "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n" },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood" },
    "good",
    NULL,
    2 },
  { "rejected by all",
    "/once/1",
    2,
    { "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" },
    { "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" },
    "Retry-After: 0.",
    NULL,
    2 },
  { "503 without the promise, once",
    "/once/1",
    2,
    { "HTTP/1.1 503 Service Unavailable\r\n" SIGNED "Content-Length: 0\r\n\r\n" },
    { "never" },
    "X-Server-Stamp: s",
    NULL,
    1 },
  { "failed, again",
    "/again/1",
    2,
    { "HTTP/1.1 500 E\r\n" SIGNED "Content-Length: 3\r\n\r\nbad" },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood" },
    "good",
    "bad",
    2 },
  { "failed, and no other left",
    "/again/1",
    1,
    { 0 },
    { "HTTP/1.1 500 E\r\n" SIGNED "Content-Length: 3\r\n\r\nbad" },
    "bad",
    "HTTP/1.1 502",
    1 },
  { "no such route", "/none/1", 1, { 0 }, { "never" }, "HTTP/1.1 404", NULL, 0 },
};

static void
check_row (const Row *row)
{
  Fixture fixture;

  fixture_open (&fixture);
  use_config (&fixture, 1, "key");
  for (guint i = 0; i < row->n_endpoints; i++)
    add_endpoint (&fixture, i + 1 < row->n_endpoints ? &row->first : &row->last, 1);
  ask (&fixture, row->path);
  wait_for (&fixture, row->wanted);
  if (strstr (fixture.got->str, row->wanted) == NULL || all_requests (&fixture) != row->requests)
    printf ("%s: %u requests, got %s\n", row->name, all_requests (&fixture), fixture.got->str);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.got->str, row->wanted));
  CU_ASSERT_TRUE (row->unwanted == NULL || strstr (fixture.got->str, row->unwanted) == NULL);
  CU_ASSERT_EQUAL (all_requests (&fixture), row->requests);
  CU_ASSERT_EQUAL (sv_core_n_requests (fixture.core), 0);
  fixture_close (&fixture);
}

static void
test_endpoints_that_fail (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    check_row (&rows[i]);
}

/*
 * Symptom: a stream ends early, or has an event twice, though another endpoint could go on.
 * Sequence: an endpoint stops in the middle of its third event.
 * Cause: pieces of events were passed on, or the second run began from the first event.
 */
static void
test_broken_stream_goes_on (void)
{
  static const ScriptedAnswer broken = {
    "HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n"
    "2a\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: \r\n",
    TRUE
  };
  static const ScriptedAnswer rest = {
    "HTTP/1.1 200 OK\r\n" SIGNED
    "Content-Length: 45\r\n\r\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n",
    FALSE
  };
  Fixture fixture;

  fixture_open (&fixture);
  use_config (&fixture, 1, "key");
  add_endpoint (&fixture, &broken, 1);
  add_endpoint (&fixture, &rest, 1);
  ask (&fixture, "/stream/1");
  wait_for (&fixture, "\r\n0\r\n\r\n");
  CU_ASSERT_STRING_EQUAL (scripted_endpoint_field (fixture.endpoints[1], "last-event-id"), "2");
  for (guint i = 1; i <= 4; i++)
    {
      g_autofree char *event = g_strdup_printf ("id: %u\n", i);
      const char *at = strstr (fixture.got->str, event);

      CU_ASSERT_TRUE (at != NULL && strstr (at + 1, event) == NULL);
    }
  fixture_close (&fixture);
}

/*
 * Symptom: a caller finds the head of another answer in the middle of its stream.
 * Sequence: a stream breaks off; the endpoint that is to go on answers something else.
 * Cause: that answer was passed on as if none had begun.
 */
static void
test_broken_stream_is_not_mixed (void)
{
  static const ScriptedAnswer broken = { "HTTP/1.1 200 OK\r\n" SIGNED
                                         "Transfer-Encoding: chunked\r\n\r\n"
                                         "f\r\nid: 1\ndata: a\n\n\r\n",
                                         TRUE };
  static const ScriptedAnswer others[] = {
    { "HTTP/1.1 500 E\r\n" SIGNED "Content-Length: 3\r\n\r\nbad", FALSE },
    { "HTTP/1.1 400 B\r\n" SIGNED "Content-Length: 3\r\n\r\nbad", FALSE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (others); i++)
    {
      Fixture fixture;

      fixture_open (&fixture);
      use_config (&fixture, 1, "key");
      add_endpoint (&fixture, &broken, 1);
      add_endpoint (&fixture, &others[i], 1);
      ask (&fixture, "/stream/1");
      while (!fixture.ended)
        event_base_loop (fixture.base, EVLOOP_ONCE);
      CU_ASSERT_EQUAL (all_requests (&fixture), 2);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.got->str, "id: 1"));
      CU_ASSERT_PTR_NULL (strstr (fixture.got->str, "bad"));
      CU_ASSERT_PTR_NULL (strstr (fixture.got->str, "0\r\n\r\n"));
      fixture_close (&fixture);
    }
}

/*
 * Symptom: a request runs whose key was taken away more than the bound before.
 * Sequence: the store is cut off from this instance; the operator takes the key away.
 * Cause: keys were trusted without a bound, or the bound began with the store's answer in place of
 * the question.
 */
static void
test_keys_need_confirmation (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  add_endpoint (&fixture, &good, 1);
  ask (&fixture, "/once/1");
  wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.got->str, "HTTP/1.1 503"));
  use_config (&fixture, 1, "key");
  ask (&fixture, "/once/1");
  wait_for (&fixture, "good");
  knl_paused_clock_advance (fixture.clock, 2900 * KNL_MSEC);
  ask (&fixture, "/once/1");
  wait_for (&fixture, "good");
  knl_paused_clock_advance (fixture.clock, 200 * KNL_MSEC);
  CU_ASSERT_FALSE (sv_core_is_ready (fixture.core));
  ask (&fixture, "/once/1");
  wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.got->str, "HTTP/1.1 503"));
  CU_ASSERT_EQUAL (all_requests (&fixture), 2);
  fixture_close (&fixture);
}

/* A key or route that is not known is denied only while nothing newer can be in force. */
static void
test_denied_only_when_certain (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  add_endpoint (&fixture, &good, 1);
  use_config (&fixture, 1, "other");
  ask (&fixture, "/once/1");
  wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.got->str, "HTTP/1.1 401"));
  knl_paused_clock_advance (fixture.clock, 1100 * KNL_MSEC);
  ask (&fixture, "/once/1");
  wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.got->str, "HTTP/1.1 503"));
  use_config (&fixture, 2, "key");
  ask (&fixture, "/once/1");
  wait_for (&fixture, "good");
  /* An older configuration that comes late changes nothing. */
  use_config (&fixture, 1, "other");
  ask (&fixture, "/once/1");
  wait_for (&fixture, "good");
  fixture_close (&fixture);
}

/*
 * Symptom: endpoints work on for callers that have left.
 * Sequence: a caller sends a request and the begin of its next one, and closes its connection.
 * Cause: reading stopped after the first request, so that the end was not seen.
 */
static void
test_leaving_caller_is_noticed (void)
{
  static const ScriptedAnswer silent = { NULL, FALSE };
  Fixture fixture;

  fixture_open (&fixture);
  use_config (&fixture, 1, "key");
  add_endpoint (&fixture, &silent, 1);
  ask (&fixture, "/once/1");
  send_bytes (&fixture, "POST /once/2 HTTP/1.1\r\nHost:");
  wait_requests (&fixture, 0, 1);
  g_clear_pointer (&fixture.caller, bufferevent_free);
  while (scripted_endpoint_n_ended (fixture.endpoints[0]) == 0)
    event_base_loop (fixture.base, EVLOOP_ONCE);
  CU_ASSERT_EQUAL (sv_core_n_requests (fixture.core), 0);
  fixture_close (&fixture);
}

/* The deadline ends a request with an answer; the endpoint was told what was left of it. */
static void
test_deadline_is_answered (void)
{
  static const ScriptedAnswer silent = { NULL, FALSE };
  Fixture fixture;

  fixture_open (&fixture);
  use_config (&fixture, 1, "key");
  add_endpoint (&fixture, &silent, 1);
  ask (&fixture, "/once/1");
  wait_requests (&fixture, 0, 1);
  CU_ASSERT_STRING_EQUAL (scripted_endpoint_field (fixture.endpoints[0], "x-deadline-ms"), "4000");
  CU_ASSERT_STRING_EQUAL (scripted_endpoint_field (fixture.endpoints[0], "x-expect-instance"),
                          "i-0");
  CU_ASSERT_STRING_EQUAL (scripted_endpoint_field (fixture.endpoints[0], "x-tenant"), "w");
  CU_ASSERT_PTR_NULL (scripted_endpoint_field (fixture.endpoints[0], "authorization"));
  knl_paused_clock_advance (fixture.clock, 4 * KNL_SEC);
  wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.got->str, "HTTP/1.1 504"));
  fixture_close (&fixture);
}

/* A dark endpoint's request is taken to another one when it may run again. */
static void
test_silent_endpoint_is_left (void)
{
  static const ScriptedAnswer silent = { NULL, FALSE };
  Fixture fixture;

  fixture_open (&fixture);
  use_config (&fixture, 1, "key");
  add_endpoint (&fixture, &silent, 1);
  add_endpoint (&fixture, &good, 1);
  ask (&fixture, "/again/1");
  wait_requests (&fixture, 0, 1);
  knl_paused_clock_advance (fixture.clock, 300 * KNL_MSEC);
  wait_for (&fixture, "good");
  CU_ASSERT_EQUAL (all_requests (&fixture), 2);
  fixture_close (&fixture);
}

/*
 * Symptom: the next caller gets bytes that belong to nobody's request.
 * Sequence: an endpoint sends more after a complete answer; its connection is used again.
 * Cause: connections with bytes left over were kept.
 */
static void
test_left_over_bytes (void)
{
  static const ScriptedAnswer script[] = {
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\n", FALSE },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 5\r\n\r\nagain", FALSE },
  };
  Fixture fixture;

  fixture_open (&fixture);
  use_config (&fixture, 1, "key");
  add_endpoint (&fixture, script, 2);
  ask (&fixture, "/again/1");
  wait_for (&fixture, "good");
  ask (&fixture, "/again/2");
  wait_for (&fixture, "again");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.got->str, "again"));
  CU_ASSERT_EQUAL (ht_client_n_opened (fixture.client), 2);
  fixture_close (&fixture);
}

/* While stopping, what was read is answered, with a word that the connection ends. */
static void
test_stopping (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  use_config (&fixture, 1, "key");
  add_endpoint (&fixture, &good, 1);
  sv_core_drain (fixture.core);
  ht_server_drain (fixture.front);
  CU_ASSERT_FALSE (sv_core_is_ready (fixture.core));
  ask (&fixture, "/once/1");
  wait_for (&fixture, "good");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.got->str, "Connection: close\r\n"));
  fixture_close (&fixture);
}

static void
test_rejections_do_not_stick (void)
{
  static const ScriptedAnswer script[] = {
    { "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", FALSE },
    { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood", FALSE },
  };
  Fixture fixture;

  CU_ASSERT_PTR_NOT_NULL (rejects.bytes);
  fixture_open (&fixture);
  use_config (&fixture, 1, "key");
  add_endpoint (&fixture, script, 2);
  ask (&fixture, "/once/1");
  wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.got->str, "HTTP/1.1 503"));
  ask (&fixture, "/once/2");
  wait_for (&fixture, "good");
  CU_ASSERT_EQUAL (all_requests (&fixture), 2);
  fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "endpoints that fail", test_endpoints_that_fail },
  { "a broken stream goes on", test_broken_stream_goes_on },
  { "a broken stream is not mixed", test_broken_stream_is_not_mixed },
  { "keys need confirmation", test_keys_need_confirmation },
  { "denied only when certain", test_denied_only_when_certain },
  { "a leaving caller is noticed", test_leaving_caller_is_noticed },
  { "the deadline is answered", test_deadline_is_answered },
  { "a silent endpoint is left", test_silent_endpoint_is_left },
  { "left-over bytes", test_left_over_bytes },
  { "stopping", test_stopping },
  { "rejections do not stick", test_rejections_do_not_stick },
};

SUITE_MAIN ("sv_core", cases)
