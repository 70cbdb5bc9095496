#include "sv_fixture.h"

#include <event2/buffer.h>
#include <signal.h>
#include <string.h>

#include "platform/dialect.h"

/* Time limit of a test, long enough that a slow machine doesn't exceed it. */
#define TEST_TIMEOUT_S 20

static void
link_prefill_placed (SvPeerLink *link, const SvPrefill *prefill, const guint64 *keys, guint n)
{
}

static void
link_prefill_ended (SvPeerLink *link, guint64 prompt)
{
}

static void
link_load_changed (SvPeerLink *link)
{
}

static void
link_crashes_changed (SvPeerLink *link)
{
}

static void
link_health_changed (SvPeerLink *link, const SvEndpoint *endpoint, gboolean lost)
{
}

static const char *peer_address;

static void
link_reach_changed (SvPeerLink *link, gboolean is_lost)
{
}

static char *
link_passing_address (SvPeerLink *link, const char *avoid)
{
  return g_strcmp0 (peer_address, avoid) != 0 ? g_strdup (peer_address) : NULL;
}

void
sv_fixture_set_peer (const char *address)
{
  peer_address = address;
}

static guint
link_n_instances (const SvPeerLink *link)
{
  return 1;
}

static SvShare
link_share (const SvPeerLink *link)
{
  return (SvShare){ .instances = 1 };
}

/* There are others. */
static gboolean
link_is_elected (const SvPeerLink *link, guint64 seed)
{
  return FALSE;
}

static const SvPeerLinkClass link_class = {
  .prefill_placed = link_prefill_placed,
  .prefill_ended = link_prefill_ended,
  .load_changed = link_load_changed,
  .crashes_changed = link_crashes_changed,
  .health_changed = link_health_changed,
  .reach_changed = link_reach_changed,
  .passing_address = link_passing_address,
  .n_instances = link_n_instances,
  .share = link_share,
  .is_elected = link_is_elected,
};

static SvPeerLink peer_link = { &link_class };

const SvEngineSpec sv_fixture_small_engine = {
  .slots = 4,
  .memory_tokens = 100000,
  .stride = 50,
  .step_ms = 1,
  .prefill_tokens_per_ms = 180,
  .pair_ms_per_m = 0.18,
  .chunk = 2048,
  .mean_prompt_tokens = 10000,
  .mean_answer_tokens = 100,
};

static void
on_test_timeout (evutil_socket_t fd, short what, void *data)
{
  g_error ("test did not finish in time");
}

static void
on_request (HtCall *call, gpointer data)
{
  SvFixture *self = data;

  if (self->is_passed)
    sv_core_handle_passed (self->core, call);
  else
    sv_core_handle_request (self->core, call);
}

static void
on_disconnected (HtCall *call, gpointer data)
{
  sv_core_note_disconnect (((SvFixture *)data)->core, call);
}

static const HtServerEvents front_events = { .request = on_request,
                                             .disconnected = on_disconnected };

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
  route->priority = kind == SV_IDEMPOTENT ? 2 : 0;
  route->timeout = 5 * KNL_SEC;
  route->objective = 100 * KNL_MSEC;
  route->gap_objective = 250 * KNL_MSEC;
  sv_route_add_split (route, "s", 1);
  sv_config_add_route (config, route);
}

/* A route for long prompts, whose streams tolerate gaps of up to 1 s. */
static void
add_long_route (SvConfig *config)
{
  SvRoute *route = sv_route_new ();

  route->name = g_strdup ("/long/");
  route->host = g_strdup ("h");
  route->prefix = g_strdup ("/long/");
  route->kind = SV_STREAM;
  route->resumable = TRUE;
  route->max_attempts = 2;
  route->timeout = 15 * KNL_SEC;
  route->objective = 4 * KNL_SEC;
  route->gap_objective = KNL_SEC;
  sv_route_add_split (route, "s", 1);
  sv_config_add_route (config, route);
}

static void
use_config (SvFixture *self, guint64 version, const char *key, const SvEngineSpec *spec)
{
  g_autoptr (SvConfig) config = sv_config_new (version);
  SvService *service = sv_config_add_service (config, "s");

  if (spec != NULL)
    service->engine = *spec;
  add_route (config, "/once/", SV_AT_MOST_ONCE, 1);
  add_route (config, "/once-of-two/", SV_AT_MOST_ONCE, 2);
  add_route (config, "/again/", SV_IDEMPOTENT, 2);
  add_route (config, "/stream/", SV_STREAM, 2);
  add_long_route (config);
  config->has_workspaces = TRUE;
  sv_config_add_key (config, sv_config_add_workspace (config, "w"), key);
  sv_core_set_config (self->core, config);
  sv_core_confirm (self->core, knl_kernel_now (self->kernel));
}

static void
open_core (SvFixture *self, gboolean sheds_load)
{
  static const HtLimits limits = { 32768, 64 << 20 };
  SvBounds bounds = {
    .key_withdrawal = 3400 * KNL_MSEC,
    .new_config = 1250 * KNL_MSEC,
    .unused_memory = 4 * KNL_SEC,
    .idle_memory = 9 * KNL_SEC,
    .grace = 8 * KNL_SEC,
    .retries = { .ratio = 0.2, .slack = 100, .window = 10 * KNL_SEC },
    .sheds_load = sheds_load,
  };
  static const HtServerLimits server_limits = {
    .message = { 16384, 1 << 20 },
    .head_timeout = 3 * KNL_SEC,
    .request_timeout = 3 * KNL_SEC,
    .idle_timeout = 15 * KNL_SEC,
    .max_connections = 10,
    .max_unsent = HT_DEFAULT_MAX_UNSENT,
  };
  SvCoreParts parts;

  self->client = ht_client_new (self->kernel, self->base, &limits, 10 * KNL_SEC);
  self->dialect = pl_dialect_new ();
  self->fleet = sv_fleet_new (self->kernel, KNL_SEC);
  self->metrics = cm_metrics_new ();
  parts = (SvCoreParts){ self->kernel,  self->client, self->dialect, self->fleet, &peer_link,
                         self->metrics, "a" };
  self->core = sv_core_new (&parts, &bounds);
  /* A new instance has no slack in its retry budget yet; it has after one window. */
  knl_paused_clock_advance (self->clock, bounds.retries.window);
  for (guint port = 20000; self->front == NULL; port++)
    {
      g_free (self->address);
      self->address = g_strdup_printf ("127.0.0.1:%u", port);
      self->front = ht_server_new (self->kernel, self->base, self->address, &server_limits,
                                   &front_events, self);
    }
}

static void
open_fixture (SvFixture *self, gboolean sheds_load)
{
  struct timeval limit = { .tv_sec = TEST_TIMEOUT_S };

  signal (SIGPIPE, SIG_IGN);
  *self = (SvFixture){ .base = event_base_new (), .clock = knl_paused_clock_new () };
  self->test_timeout = evtimer_new (self->base, on_test_timeout, NULL);
  evtimer_add (self->test_timeout, &limit);
  /* Time 0 means "never" in many fields, so the test starts later. */
  knl_paused_clock_advance (self->clock, 100 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 5);
  self->received = g_string_new (NULL);
  open_core (self, sheds_load);
}

void
sv_fixture_open (SvFixture *self)
{
  open_fixture (self, TRUE);
}

void
sv_fixture_open_without_shedding (SvFixture *self)
{
  open_fixture (self, FALSE);
}

void
sv_fixture_bound_unsent (SvFixture *self, gsize bound)
{
  self->unsent = ht_unsent_new (self->kernel, bound);
  ht_client_count_unsent (self->client, self->unsent);
}

void
sv_fixture_use_config (SvFixture *self, guint64 version, const char *key)
{
  use_config (self, version, key, NULL);
}

void
sv_fixture_use_engines (SvFixture *self, guint64 version, const SvEngineSpec *spec)
{
  use_config (self, version, "key", spec);
}

void
sv_fixture_add_endpoint (SvFixture *self, const ScriptedAnswer *script, guint n)
{
  guint i = self->n_endpoints++;
  g_autofree char *id = g_strdup_printf ("i-%u", i);
  SvEndpointEntry entry = { .id = id, .service = "s", .zone = i == 0 ? "a" : "b", .slots = 4 };

  self->endpoints[i] = scripted_endpoint_new (self->base, script, n);
  entry.address = scripted_endpoint_address (self->endpoints[i]);
  sv_fleet_update (self->fleet, &entry);
}

void
sv_fixture_close (SvFixture *self)
{
  sv_fixture_set_peer (NULL);
  if (self->caller != NULL)
    bufferevent_free (self->caller);
  sv_core_free (self->core);
  ht_server_free (self->front);
  ht_client_free (self->client);
  ht_unsent_free (self->unsent);
  for (guint i = 0; i < self->n_endpoints; i++)
    scripted_endpoint_free (self->endpoints[i]);
  sv_fleet_free (self->fleet);
  pl_dialect_free (self->dialect);
  cm_metrics_free (self->metrics);
  /* Connections with a pending callback are freed by the loop. */
  event_base_loop (self->base, EVLOOP_NONBLOCK);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
  event_free (self->test_timeout);
  event_base_free (self->base);
  g_string_free (self->received, TRUE);
  g_free (self->address);
}

static void
on_caller_read (struct bufferevent *stream, void *data)
{
  SvFixture *self = data;
  struct evbuffer *input = bufferevent_get_input (stream);
  gsize length = evbuffer_get_length (input);

  g_string_append_len (self->received, (const char *)evbuffer_pullup (input, -1), (gssize)length);
  evbuffer_drain (input, length);
}

static void
on_caller_event (struct bufferevent *stream, short what, void *data)
{
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    ((SvFixture *)data)->ended = TRUE;
}

void
sv_fixture_send (SvFixture *self, const char *bytes)
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

void
sv_fixture_request (SvFixture *self, const char *path)
{
  sv_fixture_request_upload (self, path, 2);
}

void
sv_fixture_request_upload (SvFixture *self, const char *path, gsize length)
{
  g_autofree char *body = g_strnfill (length - 1, 'i');
  g_autofree char *request = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 4000\r\n"
      "Authorization: Bearer key\r\nContent-Length: %" G_GSIZE_FORMAT "\r\n\r\nh%s",
      path, length, body);

  g_string_truncate (self->received, 0);
  sv_fixture_send (self, request);
}

void
sv_fixture_request_prompt (SvFixture *self, const char *path, guint64 tokens)
{
  g_autofree char *request =
      g_strdup_printf ("POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 15000\r\n"
                       "X-Token-Counts: %" G_GUINT64_FORMAT ",100\r\n"
                       "Authorization: Bearer key\r\nContent-Length: 2\r\n\r\nhi",
                       path, tokens);

  g_string_truncate (self->received, 0);
  sv_fixture_send (self, request);
}

void
sv_fixture_wait_for (SvFixture *self, const char *text)
{
  while (strstr (self->received->str, text) == NULL && !self->ended)
    {
      event_base_loop (self->base, EVLOOP_ONCE);
      knl_kernel_run_due (self->kernel);
    }
}

static gboolean
has_answer (const SvFixture *self)
{
  static const HtLimits limits = { 32768, 1 << 20 };
  static const HtReaderEvents no_events = { 0 };
  HtReader *reader = ht_reader_new (TRUE, &limits, &no_events, NULL);
  gsize consumed;
  gboolean is_whole = ht_reader_feed (reader, self->received->str, self->received->len, &consumed)
                      == HT_READ_COMPLETE;

  ht_reader_free (reader);
  return is_whole;
}

void
sv_fixture_wait_answer (SvFixture *self)
{
  while (!self->ended && !has_answer (self))
    {
      event_base_loop (self->base, EVLOOP_ONCE);
      knl_kernel_run_due (self->kernel);
    }
}

void
sv_fixture_wait_requests (SvFixture *self, guint endpoint, guint n)
{
  while (scripted_endpoint_n_requests (self->endpoints[endpoint]) < n)
    event_base_loop (self->base, EVLOOP_ONCE);
}

guint
sv_fixture_all_requests (const SvFixture *self)
{
  guint n = 0;

  for (guint i = 0; i < self->n_endpoints; i++)
    n += scripted_endpoint_n_requests (self->endpoints[i]);
  return n;
}
