/**
 * Raw bytes sent to the entry's HTTP front: which requests are refused, with which
 * answers, and which time limits apply.
 */

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <string.h>
#include <sys/socket.h>

#include "endpoint/http.h"
#include "entry/front.h"
#include "kernel/paused.h"
#include "suite.h"
#include "tests/unit/en_test_uplink.h"

/* Ends a test that hangs; in real time. */
#define TEST_TIMEOUT_S 20

#define MAX_BODY 1000
#define MAX_HEAD 2000

typedef struct
{
  struct event_base *base;
  struct event *test_timeout;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  EnTestUplink uplink;
  EpClient *client;
  CoConfig *config;
  EnCore *core;
  EnFront *front;
  struct bufferevent *caller;
  GString *received;
  gboolean ended; /* the front has closed its side */
  gboolean reset;
} Fixture;

static void
on_test_timeout (evutil_socket_t fd, short what, void *data)
{
  g_error ("no data was received for %d s", TEST_TIMEOUT_S);
}

static void
on_read (struct bufferevent *stream, void *data)
{
  struct evbuffer *input = bufferevent_get_input (stream);
  gsize length = evbuffer_get_length (input);

  g_string_append_len (((Fixture *)data)->received, (const char *)evbuffer_pullup (input, -1),
                       (gssize)length);
  evbuffer_drain (input, length);
}

static void
on_event (struct bufferevent *stream, short what, void *data)
{
  Fixture *self = data;

  self->ended |= (what & BEV_EVENT_EOF) != 0;
  self->reset |= (what & BEV_EVENT_ERROR) != 0;
}

static void
connect_caller (Fixture *self)
{
  char address[32];
  struct sockaddr_storage peer;
  int length = sizeof peer;

  g_snprintf (address, sizeof address, "127.0.0.1:%u", en_front_port (self->front));
  evutil_parse_sockaddr_port (address, (struct sockaddr *)&peer, &length);
  self->caller = bufferevent_socket_new (self->base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (self->caller, on_read, NULL, on_event, self);
  bufferevent_enable (self->caller, EV_READ | EV_WRITE);
  bufferevent_socket_connect (self->caller, (struct sockaddr *)&peer, length);
}

static Fixture *
fixture_new (void)
{
  static const EnCoreSettings core = { .instance = "e1",
                                       .zone = "a",
                                       .incarnation = 7,
                                       .max_in_flight = 100,
                                       .max_queued = 100,
                                       .max_new_tokens = 1000,
                                       .max_timeout = 60 * KNL_SEC,
                                       .entries_ttl = KNL_SEC };
  static const EnFrontSettings front = {
    .address = "127.0.0.1", .max_body = MAX_BODY, .max_headers = MAX_HEAD, .max_unread = 100000
  };
  struct timeval limit = { .tv_sec = TEST_TIMEOUT_S };
  Fixture *self = g_new0 (Fixture, 1);
  EnCoreParts parts;

  self->base = event_base_new ();
  self->test_timeout = evtimer_new (self->base, on_test_timeout, NULL);
  evtimer_add (self->test_timeout, &limit);
  self->clock = knl_paused_clock_new ();
  knl_paused_clock_advance (self->clock, 100 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 1);
  en_test_uplink_init (&self->uplink, self->kernel);
  self->client = ep_http_client_new (self->kernel, self->base);
  self->config = co_config_new ();
  parts = (EnCoreParts){ self->kernel, self->client, &self->uplink.base, self->config };
  self->core = en_core_new (&parts, &core);
  self->front = en_front_new (self->kernel, self->base, self->core, &front);
  self->received = g_string_new (NULL);
  connect_caller (self);
  return self;
}

static void
fixture_free (Fixture *self)
{
  if (self->caller != NULL)
    bufferevent_free (self->caller);
  en_front_free (self->front);
  en_core_free (self->core);
  ep_client_free (self->client);
  knl_kernel_run_due (self->kernel);
  co_config_free (self->config);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
  en_test_uplink_clear (&self->uplink);
  event_free (self->test_timeout);
  event_base_free (self->base);
  g_string_free (self->received, TRUE);
  g_free (self);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Fixture, fixture_free)

static void
send_bytes (Fixture *self, const char *bytes)
{
  bufferevent_write (self->caller, bytes, strlen (bytes));
}

/* Runs the loop until `text` was received, or the connection has ended. */
static gboolean
wait_for (Fixture *self, const char *text)
{
  while (strstr (self->received->str, text) == NULL && !self->ended && !self->reset)
    event_base_loop (self->base, EVLOOP_ONCE);
  return strstr (self->received->str, text) != NULL;
}

static void
wait_for_end (Fixture *self)
{
  while (!self->ended && !self->reset)
    event_base_loop (self->base, EVLOOP_ONCE);
}

/* Delivers all bytes in transit, without advancing the paused clock. */
static void
settle (Fixture *self)
{
  for (guint i = 0; i < 20; i++)
    event_base_loop (self->base, EVLOOP_NONBLOCK);
}

#define FIFTY "01234567890123456789012345678901234567890123456789"
#define LARGE                                                                                      \
  FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY  \
      FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY    \
          FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY FIFTY      \
              FIFTY FIFTY FIFTY FIFTY FIFTY

typedef struct
{
  const char *name;
  const char *bytes;
  const char *answer;    /* start of the answer */
  const char *body_text; /* text in its body */
} Row;

/*
 * Request smuggling, and error answers that aren't JSON. The front accepted
 * contradictory lengths, header names with a space before the colon, and bare line
 * feeds, so that two servers could split the same bytes into different requests.
 * Malformed or too large requests were answered by the HTTP library in HTML, which
 * callers' JSON parsers reject.
 */
#define NOT_CLEAR "\"message\":\"this is no HTTP request, or its end is not clear\""
#define HEALTHY   "\r\n\r\nok\n"

static const Row rows[] = {
  { "two lengths",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
    "HTTP/1.1 400 ", NOT_CLEAR },
  { "length and chunks",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 400 ", NOT_CLEAR },
  { "space before the colon",
    "GET /healthz HTTP/1.1\r\nHost: x\r\nAuthorization : Bearer t1\r\n\r\n", "HTTP/1.1 400 ",
    NOT_CLEAR },
  { "bare line feeds", "GET /healthz HTTP/1.1\nHost: x\n\n", "HTTP/1.1 400 ", NOT_CLEAR },
  { "one bare line feed", "GET /healthz HTTP/1.1\r\nHost: x\nX: y\r\n\r\n", "HTTP/1.1 400 ",
    NOT_CLEAR },
  { "a bare line feed at the end", "GET /healthz HTTP/1.1\r\nHost: x\r\n\n", "HTTP/1.1 400 ",
    NOT_CLEAR },
  { "a lone carriage return", "GET /healthz HTTP/1.1\r\nHost: x\rX: y\r\n\r\n", "HTTP/1.1 400 ",
    NOT_CLEAR },
  { "spaces in the first line", "GET /healthz  HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 400 ",
    NOT_CLEAR },
  { "no HTTP", "hello\r\n\r\n", "HTTP/1.1 400 ", NOT_CLEAR },
  { "a length that is no number",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: +2\r\n\r\n{}", "HTTP/1.1 400 ",
    NOT_CLEAR },
  { "another encoding",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 400 ", NOT_CLEAR },
  { "a large head", "GET /" LARGE " HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 431 ",
    "\"code\":\"too-large\"" },
  { "a large body", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n",
    "HTTP/1.1 413 ", "\"code\":\"too-large\"" },
  { "a large body in chunks",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    "9c4\r\n" LARGE "\r\n0\r\n\r\n",
    "HTTP/1.1 413 ", "\"code\":\"too-large\"" },
  { "another expectation",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nExpect: a-wonder\r\nContent-Length: 2\r\n\r\n",
    "HTTP/1.1 417 ", "only 100-continue may be expected" },
  { "empty lines before", "\r\n\r\nGET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 200 ",
    HEALTHY },
  { "an absolute URI", "GET http://x/healthz?a=b HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 200 ",
    HEALTHY },
  { "the version before", "GET /healthz HTTP/1.0\r\n\r\n", "HTTP/1.1 200 ", HEALTHY },
  { "another method", "PATCH /s/desk/a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 400 ", "that path has no such method" },
};

static void
test_rows (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const Row *row = &rows[i];
      gboolean is_right;
      g_autoptr (Fixture) fixture = fixture_new ();

      send_bytes (fixture, row->bytes);
      is_right = wait_for (fixture, row->body_text)
                 && g_str_has_prefix (fixture->received->str, row->answer);
      if (!is_right)
        printf ("\n  %s: %s", row->name, fixture->received->str);
      CU_ASSERT_TRUE (is_right);
      CU_ASSERT_EQUAL (strcmp (row->body_text, HEALTHY) != 0,
                       strstr (fixture->received->str, "Content-Type: application/json\r\n")
                           != NULL);
    }
}

#define BEFORE_BODY "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n"

typedef struct
{
  const char *name;
  const char *bytes;  /* sent at once */
  const char *more;   /* sent every second; NULL: nothing */
  guint seconds;      /* time until the connection ends; up to 2 s more pass */
  const char *answer; /* NULL: it ends without an answer */
} SlowRow;

/*
 * Slow callers must not exhaust the connections: a caller that sends a header line
 * or a byte of the body every second, or nothing at all, is disconnected. The fault
 * was that each received byte restarted the time limit.
 */
static const SlowRow slow_rows[] = {
  { "a head", "GET /healthz HTTP/1.1\r\n", "X: y\r\n", 10, "HTTP/1.1 408 " },
  { "a body", BEFORE_BODY, "x", 60, "HTTP/1.1 408 " },
  { "nothing", "", NULL, 60, NULL },
  { "nothing after an answer", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", NULL, 60,
    "HTTP/1.1 200 " },
};

static void
test_slow_callers (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (slow_rows); i++)
    {
      const SlowRow *row = &slow_rows[i];
      guint seconds = 0;
      g_autoptr (Fixture) fixture = fixture_new ();

      send_bytes (fixture, row->bytes);
      settle (fixture);
      while (!fixture->ended && !fixture->reset && seconds < 2 * row->seconds)
        {
          if (row->more != NULL)
            send_bytes (fixture, row->more);
          knl_paused_clock_advance (fixture->clock, KNL_SEC);
          seconds++;
          settle (fixture);
        }
      if (seconds > row->seconds + 2 || seconds < row->seconds)
        printf ("\n  %s: %u s, %s", row->name, seconds, fixture->received->str);
      CU_ASSERT_TRUE (seconds >= row->seconds && seconds <= row->seconds + 2);
      CU_ASSERT_TRUE (
          g_str_has_prefix (fixture->received->str, row->answer != NULL ? row->answer : ""));
      CU_ASSERT_TRUE (row->answer != NULL || fixture->received->len == 0);
    }
}

/*
 * A caller must get the 413 answer although it is still sending the body when its
 * headers are refused. Closing a connection with unread bytes resets it, and the
 * reset can overtake the answer.
 */
static void
test_refusal_with_unread_bytes (void)
{
  g_autofree char *body = g_strnfill (3 << 20, 'x');
  g_autofree char *head = g_strdup_printf (
      "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %u\r\n\r\n", 3 << 20);
  g_autoptr (Fixture) fixture = fixture_new ();

  bufferevent_disable (fixture->caller, EV_READ);
  send_bytes (fixture, head);
  send_bytes (fixture, body);
  while (evbuffer_get_length (bufferevent_get_output (fixture->caller)) > 0)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  bufferevent_enable (fixture->caller, EV_READ);
  wait_for_end (fixture);
  CU_ASSERT_FALSE (fixture->reset);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture->received->str, "HTTP/1.1 413 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture->received->str, "\"code\":\"too-large\""));
}

/*
 * Expect: 100-continue must be answered. Without that the caller waits, and each
 * long prompt is sent a second late.
 */
static void
test_expect_continue (void)
{
  g_autoptr (Fixture) fixture = fixture_new ();

  send_bytes (fixture, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
                       "Content-Length: 2\r\n\r\n");
  CU_ASSERT_TRUE (wait_for (fixture, "HTTP/1.1 100 Continue\r\n\r\n"));
  send_bytes (fixture, "{}");
  CU_ASSERT_TRUE (wait_for (fixture, "service must be a text"));
  CU_ASSERT_STRING_EQUAL (strrchr (fixture->received->str, '}'), "}");
  send_bytes (fixture, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT_TRUE (wait_for (fixture, "\r\n\r\nok\n"));
}

/*
 * A caller that closes only its sending side counts as disconnected, as the server
 * can't distinguish this from a full close.
 */
static void
test_half_closed (void)
{
  g_autoptr (Fixture) fixture = fixture_new ();

  send_bytes (fixture, BEFORE_BODY);
  settle (fixture);
  CU_ASSERT_EQUAL (en_front_open_answers (fixture->front), 1);
  shutdown (bufferevent_getfd (fixture->caller), SHUT_WR);
  wait_for_end (fixture);
  CU_ASSERT_EQUAL (en_front_open_answers (fixture->front), 0);
  CU_ASSERT_EQUAL (fixture->received->len, 0);
}

static const SuiteCase cases[] = {
  { "raw requests", test_rows },
  { "slow callers", test_slow_callers },
  { "a refusal with unread bytes", test_refusal_with_unread_bytes },
  { "a body that waits for 100 Continue", test_expect_continue },
  { "a half-closed connection", test_half_closed },
};

SUITE_MAIN ("en_framing", cases)
