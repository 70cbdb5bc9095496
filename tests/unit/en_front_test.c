/** The HTTP front and the HTTP client for engines, over loopback, with a scripted engine. */

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <string.h>

#include "endpoint/http.h"
#include "entry/front.h"
#include "kernel/event_runtime.h"
#include "suite.h"
#include "tests/unit/en_test_uplink.h"

/* Ends a test that hangs. */
#define HANG_TIMEOUT (20 * KNL_SEC)

typedef struct
{
  struct event_base *base;
  KnlRuntime *runtime;
  KnlKernel *kernel;
  EnTestUplink uplink;
  EpClient *client;
  CoConfig *config;
  EnCore *core;
  EnFront *front;
  struct evhttp *engine;
  char engine_address[32];
  const char *script; /* the engine's answer, R stands for the request's id; NULL: no answer */
  int engine_status;
  guint cancels;
} Fixture;

static guint16
port_of (struct evhttp_bound_socket *socket)
{
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;

  if (getsockname (evhttp_bound_socket_get_fd (socket), (struct sockaddr *)&address, &length) != 0)
    return 0;
  return ntohs (address.sin_port);
}

static void
send_script (Fixture *fixture, struct evhttp_request *request, const char *id)
{
  char **parts = g_strsplit (fixture->script, "R", -1);
  char *text = g_strjoinv (id, parts);
  struct evbuffer *body = evbuffer_new ();

  evbuffer_add (body, text, strlen (text));
  evhttp_send_reply (request, fixture->engine_status, "x", body);
  evbuffer_free (body);
  g_free (text);
  g_strfreev (parts);
}

static void
on_engine_request (struct evhttp_request *request, void *data)
{
  Fixture *fixture = data;
  const char *uri = evhttp_request_get_uri (request);
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  json_t *body =
      json_loadb ((char *)evbuffer_pullup (input, -1), evbuffer_get_length (input), 0, NULL);

  if (strcmp (uri, "/v1/cancel") == 0)
    fixture->cancels++;
  if (strcmp (uri, "/v1/cancel") == 0)
    evhttp_send_reply (request, 200, "OK", NULL);
  else if (strcmp (uri, "/v1/generate") != 0)
    evhttp_send_reply (request, 404, "x", NULL);
  else if (fixture->script != NULL)
    send_script (fixture, request, json_string_value (json_object_get (body, "request")));
  json_decref (body);
}

static void
add_members (Fixture *fixture)
{
  Alderturn__Member engine = ALDERTURN__MEMBER__INIT;

  en_test_uplink_declare (&fixture->uplink, "model", "m", "{}");
  en_test_uplink_declare (&fixture->uplink, "service", "chat",
                          "{\"kind\":\"model\",\"endpoints\":\"gpu\",\"model\":\"m\"}");
  en_test_uplink_declare (&fixture->uplink, "workspace", "w1", "{\"token\":\"t1\"}");
  engine.name = "engine-1";
  engine.kind = ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE;
  engine.state = ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE;
  engine.address = fixture->engine_address;
  engine.service = "gpu";
  engine.zone = "a";
  engine.incarnation = 1;
  en_test_uplink_member (&fixture->uplink, &engine, TRUE);
}

static Fixture *
fixture_new (void)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  EnCoreSettings core = { .instance = "e1",
                          .zone = "a",
                          .incarnation = 7,
                          .max_in_flight = 100,
                          .max_queued = 100,
                          .max_new_tokens = 1000,
                          .max_timeout = 60 * KNL_SEC,
                          .entries_ttl = KNL_SEC };
  EnFrontSettings front = { .address = "127.0.0.1",
                            .operator_token = "op",
                            .max_body = 1000,
                            .max_headers = 2000,
                            .max_unread = 100000 };
  EnCoreParts parts;

  fixture->engine_status = 200;
  fixture->base = event_base_new ();
  fixture->runtime = knl_event_runtime_new (fixture->base);
  fixture->kernel = knl_kernel_new (fixture->runtime, 1);
  en_test_uplink_init (&fixture->uplink, fixture->kernel);
  fixture->client = ep_http_client_new (fixture->kernel, fixture->base);
  fixture->config = co_config_new ();
  parts = (EnCoreParts){ fixture->kernel, fixture->client, &fixture->uplink.base, fixture->config };
  fixture->core = en_core_new (&parts, &core);
  fixture->front = en_front_new (fixture->kernel, fixture->base, fixture->core, &front);
  fixture->engine = evhttp_new (fixture->base);
  evhttp_set_gencb (fixture->engine, on_engine_request, fixture);
  g_snprintf (fixture->engine_address, sizeof fixture->engine_address, "127.0.0.1:%u",
              port_of (evhttp_bind_socket_with_handle (fixture->engine, "127.0.0.1", 0)));
  add_members (fixture);
  return fixture;
}

static void
fixture_free (Fixture *fixture)
{
  en_front_free (fixture->front);
  en_core_free (fixture->core);
  ep_client_free (fixture->client);
  knl_kernel_run_due (fixture->kernel);
  evhttp_free (fixture->engine);
  co_config_free (fixture->config);
  knl_kernel_free (fixture->kernel);
  en_test_uplink_clear (&fixture->uplink);
  knl_event_runtime_free (fixture->runtime);
  event_base_free (fixture->base);
  g_free (fixture);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Fixture, fixture_free)

/* Runs the loop until `text` was received or, with `text` NULL, `count` is above 0. */
static gboolean
run_until (Fixture *fixture, const GString *received, const char *text, const guint *count)
{
  KnlTime until = knl_kernel_now (fixture->kernel) + HANG_TIMEOUT;

  while (knl_kernel_now (fixture->kernel) < until)
    {
      if (text != NULL ? strstr (received->str, text) != NULL : *count > 0)
        return TRUE;
      event_base_loop (fixture->base, EVLOOP_ONCE);
    }
  return FALSE;
}

static void
on_read (struct bufferevent *stream, void *data)
{
  struct evbuffer *input = bufferevent_get_input (stream);

  g_string_append_len (data, (const char *)evbuffer_pullup (input, -1),
                       (gssize)evbuffer_get_length (input));
  evbuffer_drain (input, evbuffer_get_length (input));
}

static struct bufferevent *
caller_connect (Fixture *fixture, GString *received)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (en_front_port (fixture->front)),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct bufferevent *stream = bufferevent_socket_new (fixture->base, -1, BEV_OPT_CLOSE_ON_FREE);

  bufferevent_setcb (stream, on_read, NULL, NULL, received);
  bufferevent_enable (stream, EV_READ | EV_WRITE);
  bufferevent_socket_connect (stream, (struct sockaddr *)&address, sizeof address);
  return stream;
}

static void
send_request (struct bufferevent *stream, const char *head, const char *body)
{
  evbuffer_add_printf (bufferevent_get_output (stream),
                       "%s HTTP/1.1\r\nHost: x\r\nContent-Length: %u\r\n\r\n%s", head,
                       (guint)strlen (body), body);
}

#define POST         "POST /v1/completions"
#define AUTH         " HTTP/1.1\r\nAuthorization: Bearer t1\r\nX: x"
#define WITH(header) POST " HTTP/1.1\r\n" header "\r\nAuthorization: Bearer t1\r\nX: x"
#define COMPLETION   "{\"service\":\"chat\",\"prompt\":\"p\",\"max_tokens\":3}"
#define AS_OBJECT    "{\"service\":\"chat\",\"prompt\":\"p\",\"max_tokens\":3,\"stream\":false}"

#define ACCEPTED "{\"request\":\"R\",\"accepted\":true}\n"
#define AB       "{\"request\":\"R\",\"offset\":0,\"n\":2,\"text\":\"a b \"}\n"
#define C        "{\"request\":\"R\",\"offset\":2,\"n\":1,\"text\":\"c \"}\n"
#define END      "{\"request\":\"R\",\"end\":true,\"count\":3,\"finish\":\"stop\"}\n"

typedef struct
{
  const char *name;
  const char *head;
  const char *body;
  const char *expected; /* text in the answer */
} AnswerCase;

static const AnswerCase answer_cases[] = {
  { "stream", POST AUTH, COMPLETION, "event: done\ndata: {\"request\":\"e1~7~1\",\"count\":3" },
  { "object", POST AUTH, AS_OBJECT, "\"text\":\"a b c \"" },
  { "no token", POST, COMPLETION, " 401 " },
  { "wrong token", "GET /v1/entries HTTP/1.1\r\nAuthorization: Bearer x\r\nX: x", "", " 401 " },
  { "entries", "GET /v1/entries", "", "\"keep_ms\":1000" },
  { "no JSON", POST AUTH, "{", " 400 " },
  { "no prompt", POST AUTH, "{\"service\":\"chat\",\"max_tokens\":3}", "prompt must be" },
  { "bad timeout", WITH ("Alderturn-Timeout-Ms: 0"), COMPLETION, "Alderturn-Timeout-Ms must" },
  { "bad idempotence", WITH ("Alderturn-Idempotent: no"), COMPLETION, "must be true or false" },
  { "no key", WITH ("Alderturn-Idempotent: false"), COMPLETION, "needs an Idempotency-Key" },
  { "no path", "GET /nowhere", "", " 404 " },
  { "wrong method", "GET /v1/completions", "", "no such method" },
  { "no operator", "GET /v1/operator/requests" AUTH, "", " 401 " },
  { "ready", "GET /readyz", "", " 200 " },
  { "metrics", "GET /metrics", "", "alderturn_requests_in_flight" },
};

static void
test_answers (void)
{
  g_autofree char *large = g_strnfill (1500, ' ');
  g_autofree char *larger = g_strnfill (2500, ' ');
  g_autofree char *long_head = g_strdup_printf ("GET /%s", larger);
  const AnswerCase bounds[] = {
    { "body over the bound", POST AUTH, large, "\"too-large\"" },
    { "body far over it", POST AUTH, larger, " 413 " },
    { "head over the bound", long_head, "", " 400 " },
  };

  for (guint i = 0; i < G_N_ELEMENTS (answer_cases) + G_N_ELEMENTS (bounds); i++)
    {
      const AnswerCase *c = i < G_N_ELEMENTS (answer_cases)
                                ? &answer_cases[i]
                                : &bounds[i - G_N_ELEMENTS (answer_cases)];
      g_autoptr (GString) received = g_string_new (NULL);
      struct bufferevent *stream;
      g_autoptr (Fixture) fixture = fixture_new ();

      fixture->script = ACCEPTED AB C END;
      stream = caller_connect (fixture, received);
      send_request (stream, c->head, c->body);
      if (!run_until (fixture, received, c->expected, NULL))
        printf ("\n  %s: %s", c->name, received->str);
      CU_ASSERT_PTR_NOT_NULL (strstr (received->str, c->expected));
      bufferevent_free (stream);
    }
}

/*
 * An engine must not keep running a request whose caller has closed the connection
 * before the engine answered. A server that stops reading once it has the request
 * doesn't notice the close.
 */
static void
test_caller_disconnects (void)
{
  g_autoptr (GString) received = g_string_new (NULL);
  struct bufferevent *stream;
  guint begun = 0;
  json_t *view;
  g_autoptr (Fixture) fixture = fixture_new ();

  stream = caller_connect (fixture, received);
  send_request (stream, POST AUTH, COMPLETION);
  while (begun == 0)
    {
      const GPtrArray *endpoints = en_fleet_endpoints (en_core_fleet (fixture->core));

      event_base_loop (fixture->base, EVLOOP_ONCE);
      begun = ((EnEndpoint *)g_ptr_array_index (endpoints, 0))->used_slots;
    }
  bufferevent_free (stream);
  CU_ASSERT_TRUE (run_until (fixture, received, NULL, &fixture->cancels));
  view = en_core_request (fixture->core, "e1~7~1");
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (view, "state")), "ended");
  json_decref (view);
}

/*
 * A caller that sends its next request before the first one is answered must not
 * crash the process. The fault was a parser that didn't expect bytes while an answer
 * was being written.
 */
static void
test_pipelined_requests (void)
{
  g_autoptr (GString) received = g_string_new (NULL);
  struct bufferevent *stream;
  g_autoptr (Fixture) fixture = fixture_new ();

  fixture->script = ACCEPTED AB C END;
  stream = caller_connect (fixture, received);
  send_request (stream, POST AUTH, COMPLETION);
  while (en_front_open_answers (fixture->front) == 0)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  send_request (stream, POST AUTH, AS_OBJECT);
  CU_ASSERT_TRUE (run_until (fixture, received, "\"text\":\"a b c \"", NULL));
  CU_ASSERT_PTR_NOT_NULL (strstr (received->str, "event: done"));
  bufferevent_free (stream);
}

typedef struct
{
  const char *name;
  int status;
  const char *script;
  EpFailureKind kind;
  gboolean leaving;
  guint64 tokens; /* received before the failure */
} StreamCase;

static const StreamCase stream_cases[] = {
  { "busy", 503, "{\"error\":\"busy\"}", EP_REFUSED, FALSE, 0 },
  { "leaving", 503, "{\"error\":\"leaving\"}", EP_REFUSED, TRUE, 0 },
  { "wrong model", 404, "{\"error\":\"model\"}", EP_REFUSED, FALSE, 0 },
  { "duplicate", 409, "{\"error\":\"duplicate\"}", EP_REFUSED, FALSE, 0 },
  { "another status", 500, "{}", EP_CUT, FALSE, 0 },
  { "no last line", 200, ACCEPTED AB, EP_CUT, FALSE, 2 },
  { "no answer", 200, NULL, EP_CUT, FALSE, 0 },
  { "no JSON", 200, ACCEPTED "x\n", EP_MALFORMED, FALSE, 0 },
  { "another request", 200, ACCEPTED "{\"request\":\"x\",\"offset\":0,\"n\":1,\"text\":\"y\"}\n",
    EP_MALFORMED, FALSE, 0 },
  { "doubled", 200, ACCEPTED AB AB, EP_MALFORMED, FALSE, 2 },
  { "a gap", 200, ACCEPTED C, EP_MALFORMED, FALSE, 0 },
  { "a short count", 200, ACCEPTED AB END, EP_MALFORMED, FALSE, 2 },
  { "failed", 200, ACCEPTED AB "{\"request\":\"R\",\"error\":\"out-of-memory\"}\n", EP_FAILED,
    FALSE, 2 },
};

typedef struct
{
  guint ended;
  EpFailure failure;
  guint64 tokens;
} StreamResult;

static void
on_accepted (EpStream *stream, gpointer data)
{
}

static void
on_tokens (EpStream *stream, guint64 offset, guint count, const char *text, gpointer data)
{
  ((StreamResult *)data)->tokens += count;
}

static void
on_end (EpStream *stream, guint64 count, const char *finish, gpointer data)
{
  ((StreamResult *)data)->ended = 100;
}

static void
on_failed (EpStream *stream, const EpFailure *failure, gpointer data)
{
  ((StreamResult *)data)->failure = *failure;
  ((StreamResult *)data)->ended++;
}

static const EpStreamEvents stream_events = { on_accepted, on_tokens, on_end, on_failed };

/*
 * The client must classify failed streams correctly: an attempt that ran must not
 * be reported as not run, nor a partial answer as complete, when the engine
 * refuses, breaks off or violates the protocol.
 */
static void
test_streams_that_fail (void)
{
  for (guint i = 0; i <= G_N_ELEMENTS (stream_cases); i++)
    {
      static const StreamCase no_listener = { "no listener", 0, NULL, EP_NOT_SENT, FALSE, 0 };
      const StreamCase *c = i < G_N_ELEMENTS (stream_cases) ? &stream_cases[i] : &no_listener;
      StreamResult result = { 0 };
      EpGenerate generate = { .request = "R~1~1",
                              .model = "m",
                              .prompt = "p",
                              .prompt_bytes = 1,
                              .connect_timeout = HANG_TIMEOUT,
                              .first_byte_timeout = 100 * KNL_MSEC,
                              .idle_timeout = HANG_TIMEOUT };
      g_autoptr (Fixture) fixture = fixture_new ();

      fixture->script = c->script;
      fixture->engine_status = c->status;
      generate.address = c->status != 0 ? fixture->engine_address : "127.0.0.1:1";
      generate.first_byte_timeout = c->script == NULL ? 100 * KNL_MSEC : HANG_TIMEOUT;
      ep_client_generate (fixture->client, &generate, &stream_events, &result);
      CU_ASSERT_EQUAL (result.ended, 0);
      CU_ASSERT_TRUE (run_until (fixture, NULL, NULL, &result.ended));
      if (result.failure.kind != c->kind || result.ended != 1)
        printf ("\n  %s: kind %d, ended %u", c->name, result.failure.kind, result.ended);
      CU_ASSERT_EQUAL (result.ended, 1);
      CU_ASSERT_EQUAL (result.failure.kind, c->kind);
      CU_ASSERT_EQUAL (result.failure.leaving, c->leaving);
      CU_ASSERT_EQUAL (result.tokens, c->tokens);
    }
}

static const SuiteCase cases[] = {
  { "answers by HTTP", test_answers },
  { "a disconnect of the caller is noticed", test_caller_disconnects },
  { "a caller that does not wait for its answer", test_pipelined_requests },
  { "an engine's streams that fail", test_streams_that_fail },
};

SUITE_MAIN ("en_front", cases)
