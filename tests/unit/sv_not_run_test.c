/** What each end of a send proves about its request: only what proves that it has not run lets a
 * request that may run once be sent again, or refused. */

#include <string.h>

#include "suite.h"
#include "sv_fixture.h"

#define PROMISE     "X-Not-Run: 1\r\n"
#define OWN         "X-Attempt-Id: %ID\r\n"
#define EMPTY       "Content-Length: 0\r\n\r\n"
#define GOOD        "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood"
#define FOREIGN     "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 7\r\n\r\nforeign"
#define UNAVAILABLE "HTTP/1.1 503 Service Unavailable\r\n"
#define MISDIRECTED "HTTP/1.1 421 Misdirected Request\r\n"
#define TOO_MANY    "HTTP/1.1 429 Too Many Requests\r\n"
#define BAD_REQUEST "HTTP/1.1 400 Bad Request\r\n"
#define TOO_LATE    "HTTP/1.1 408 Request Timeout\r\n"
#define CLOSING     "Connection: close\r\n"

typedef struct
{
  const char *name;
  ScriptedAnswer answer; /* of the endpoint that is asked first */
  const char *wanted;    /* in what the caller gets */
  guint elsewhere;       /* sends to the other endpoint */
} Row;

/* The connection has carried another request before: an answer that names none may be to that. */
static const Row on_kept_connections[] = {
  { "unnamed 503 with the promise", { UNAVAILABLE PROMISE EMPTY GOOD }, "good", 0 },
  { "unnamed 421", { MISDIRECTED EMPTY GOOD }, "good", 0 },
  { "unnamed 429 with the promise", { TOO_MANY PROMISE EMPTY GOOD }, "good", 0 },
  { "unnamed 400 with the promise", { BAD_REQUEST PROMISE EMPTY GOOD }, "good", 0 },
  { "two unnamed", { UNAVAILABLE PROMISE EMPTY MISDIRECTED EMPTY GOOD }, "good", 0 },
  { "unnamed 503 without the promise", { UNAVAILABLE EMPTY GOOD }, "good", 0 },
  { "unnamed 500", { "HTTP/1.1 500 E\r\n" EMPTY GOOD }, "good", 0 },
  { "unnamed 200", { FOREIGN GOOD }, "good", 0 },
  { "another's 503 with the promise",
    { UNAVAILABLE "X-Attempt-Id: old\r\n" PROMISE EMPTY GOOD },
    "good",
    0 },
  { "unnamed 503 with the promise, then the end",
    { UNAVAILABLE PROMISE EMPTY, TRUE },
    "HTTP/1.1 502",
    0 },
  { "unnamed 421 that ends its connection",
    { MISDIRECTED CLOSING EMPTY, TRUE },
    "HTTP/1.1 502",
    0 },
  { "three unnamed", { MISDIRECTED EMPTY MISDIRECTED EMPTY MISDIRECTED EMPTY }, "HTTP/1.1 502", 0 },
  { "unnamed 200 that ends its connection",
    { "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n" CLOSING EMPTY, TRUE },
    "HTTP/1.1 502",
    0 },
  { "own 503 with the promise", { UNAVAILABLE OWN PROMISE EMPTY }, "elsewhere", 1 },
  { "own 429 with the promise", { TOO_MANY OWN PROMISE EMPTY }, "elsewhere", 1 },
  { "own 400 with the promise", { BAD_REQUEST OWN PROMISE EMPTY }, "elsewhere", 1 },
  { "own 421", { MISDIRECTED OWN EMPTY }, "elsewhere", 1 },
  { "the end", { NULL, TRUE }, "HTTP/1.1 502", 0 },
};

/* The first answer on a connection can only be to its first request. */
static const Row on_new_connections[] = {
  { "unnamed 503 with the promise", { UNAVAILABLE PROMISE EMPTY }, "elsewhere", 1 },
  { "unnamed 400 with the promise", { BAD_REQUEST PROMISE EMPTY }, "elsewhere", 1 },
  { "unnamed 421", { MISDIRECTED EMPTY }, "elsewhere", 1 },
  { "another's answer, then unnamed 421",
    { "HTTP/1.1 200 OK\r\nX-Attempt-Id: old\r\n" EMPTY MISDIRECTED EMPTY GOOD },
    "good",
    0 },
  { "own 503 with the promise", { UNAVAILABLE OWN PROMISE EMPTY }, "elsewhere", 1 },
  { "own 421", { MISDIRECTED OWN EMPTY }, "elsewhere", 1 },
  { "own 503 without the promise", { UNAVAILABLE SIGNED EMPTY }, "HTTP/1.1 502", 0 },
  { "own 429 without the promise", { TOO_MANY SIGNED EMPTY }, "HTTP/1.1 502", 0 },
  { "own 408", { TOO_LATE SIGNED EMPTY }, "HTTP/1.1 502", 0 },
  { "own 500", { "HTTP/1.1 500 E\r\n" SIGNED EMPTY }, "HTTP/1.1 500", 0 },
  { "own 504", { "HTTP/1.1 504 E\r\n" SIGNED EMPTY }, "HTTP/1.1 504", 0 },
  { "an interim answer with the promise",
    { "HTTP/1.1 100 Continue\r\n" OWN PROMISE "\r\n" GOOD },
    "good",
    0 },
  { "bytes that are no answer", { "no answer\r\n\r\n", TRUE }, "HTTP/1.1 502", 0 },
  { "half a head with the promise", { UNAVAILABLE OWN PROMISE, TRUE }, "HTTP/1.1 502", 0 },
  { "half a body with the promise",
    { UNAVAILABLE OWN PROMISE "Content-Length: 9\r\n\r\nhalf", TRUE },
    "HTTP/1.1 502",
    0 },
  { "the end", { NULL, TRUE }, "HTTP/1.1 502", 0 },
};

static const ScriptedAnswer elsewhere = { "HTTP/1.1 200 OK\r\n" SIGNED
                                          "Content-Length: 9\r\n\r\nelsewhere",
                                          FALSE };

/* Runs the loop until the caller has its answer. */
static void
wait_for_answer (SvFixture *fixture)
{
  sv_fixture_wait_for (fixture, "\r\n\r\n");
  for (guint i = 0; i < 10; i++)
    event_base_loop (fixture->base, EVLOOP_NONBLOCK);
}

static void
check_end (const Row *row, const char *path, gboolean is_kept)
{
  const ScriptedAnswer script[] = { { GOOD, FALSE }, row->answer };
  SvFixture fixture;
  guint sent;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  sv_fixture_add_endpoint (&fixture, is_kept ? script : &script[1], is_kept ? 2 : 1);
  if (is_kept)
    {
      sv_fixture_request (&fixture, "/again/first");
      wait_for_answer (&fixture);
    }
  sv_fixture_add_endpoint (&fixture, &elsewhere, 1);
  sv_fixture_request (&fixture, path);
  wait_for_answer (&fixture);
  sent = scripted_endpoint_n_requests (fixture.endpoints[1]);
  if (strstr (fixture.received->str, row->wanted) == NULL || sent != row->elsewhere)
    fprintf (stderr, "%s, %s: %u sent elsewhere, got %s\n", path, row->name, sent,
             fixture.received->str);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, row->wanted));
  CU_ASSERT_PTR_NULL (strstr (fixture.received->str, "foreign"));
  CU_ASSERT_EQUAL (sent, row->elsewhere);
  sv_fixture_close (&fixture);
}

/* Guards against a request that may run once, and is sent again or refused on the word of an answer
 * that may be to another request. */
static void
test_unnamed_answers_prove_nothing_on_kept_connections (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (on_kept_connections); i++)
    check_end (&on_kept_connections[i], "/once-of-two/1", TRUE);
}

/* Guards against a refusal of a request that may have run, and a real promise that is not believed.
 */
static void
test_ends_on_new_connections (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (on_new_connections); i++)
    check_end (&on_new_connections[i], "/once-of-two/1", FALSE);
}

/* Guards against another caller's answer, against a request that waits in vain for an answer after
 * the promise, and against one that is sent again although its answer is to come. */
static void
test_unnamed_answers_to_idempotent_requests (void)
{
  static const Row rows[] = {
    { "unnamed 503 with the promise", { UNAVAILABLE PROMISE EMPTY }, "elsewhere", 1 },
    { "unnamed 421", { MISDIRECTED EMPTY }, "elsewhere", 1 },
    { "unnamed 429 with the promise", { TOO_MANY PROMISE EMPTY GOOD }, "elsewhere", 1 },
    { "unnamed 400 with the promise", { BAD_REQUEST PROMISE EMPTY }, "elsewhere", 1 },
    { "unnamed 503 without the promise", { UNAVAILABLE EMPTY GOOD }, "good", 0 },
    { "unnamed 500", { "HTTP/1.1 500 E\r\n" EMPTY GOOD }, "good", 0 },
    { "unnamed 200", { FOREIGN GOOD }, "good", 0 },
    { "own 503 with the promise", { UNAVAILABLE OWN PROMISE EMPTY }, "elsewhere", 1 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    check_end (&rows[i], "/again/1", TRUE);
}

/* Guards against an endpoint that is left, or limited, on the word of an answer that may be to
 * another request, or of bytes that are none. */
static void
test_unnamed_answers_tell_nothing_of_the_endpoint (void)
{
  static const ScriptedAnswer script[] = {
    { GOOD, FALSE },
    { UNAVAILABLE PROMISE "Retry-After: 9\r\nServer-Leaving: 1\r\nServer-Limit: 1\r\n" EMPTY GOOD,
      FALSE },
  };
  const SvEndpoint *endpoint;
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  sv_fixture_add_endpoint (&fixture, script, 2);
  sv_fixture_request (&fixture, "/again/first");
  wait_for_answer (&fixture);
  sv_fixture_request (&fixture, "/once/1");
  wait_for_answer (&fixture);
  endpoint = g_ptr_array_index (sv_fleet_all (fixture.fleet), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "good"));
  CU_ASSERT_EQUAL (endpoint->health.losses, 0);
  CU_ASSERT_EQUAL (endpoint->advertised_leaving_at, 0);
  CU_ASSERT_FALSE (pol_limit_is_advertised (&endpoint->limit));
  sv_fixture_close (&fixture);
}

/* The rows of an endpoint's last two processes, which have one address. */
static void
add_restarted_endpoint (SvFixture *fixture, const ScriptedAnswer *script, guint n)
{
  SvEndpointEntry next = { .id = "i-next", .service = "s", .zone = "a", .slots = 4 };

  sv_fixture_add_endpoint (fixture, script, n);
  next.address = scripted_endpoint_address (fixture->endpoints[0]);
  sv_fleet_update (fixture->fleet, &next);
}

/* Guards against a second answer to an earlier send, which names the request, and is taken for the
 * answer to its next send to that address. */
static void
test_late_answers_to_an_earlier_send_prove_nothing (void)
{
  static const struct
  {
    const char *name;
    const char *path;
    const char *answer; /* to the first send, and once more to the next on its connection */
  } rows[] = {
    { "421", "/once-of-two/1", MISDIRECTED OWN EMPTY },
    { "503 with the promise", "/once-of-two/1", UNAVAILABLE OWN PROMISE EMPTY },
    { "429 with the promise", "/once-of-two/1", TOO_MANY OWN PROMISE EMPTY },
    { "421, may run again", "/again/1", MISDIRECTED OWN EMPTY },
    { "503 with the promise, may run again", "/again/1", UNAVAILABLE OWN PROMISE EMPTY },
    { "500, may run again", "/again/1", "HTTP/1.1 500 E\r\n" SIGNED EMPTY },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const ScriptedAnswer script[] = { { GOOD },
                                        { rows[i].answer, .late = rows[i].answer },
                                        { GOOD } };
      SvFixture fixture;

      sv_fixture_open (&fixture);
      sv_fixture_use_config (&fixture, 1, "key");
      add_restarted_endpoint (&fixture, script, 3);
      sv_fixture_request (&fixture, "/again/first");
      wait_for_answer (&fixture);
      sv_fixture_add_endpoint (&fixture, &elsewhere, 1);
      sv_fixture_request (&fixture, rows[i].path);
      wait_for_answer (&fixture);
      if (strstr (fixture.received->str, "good") == NULL)
        fprintf (stderr, "%s: got %s\n", rows[i].name, fixture.received->str);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "good"));
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[0]), 3);
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[1]), 0);
      sv_fixture_close (&fixture);
    }
}

static HtHeadVerdict
on_head (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  return HT_HEAD_ACCEPT;
}

static void
on_done (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  *(gboolean *)data = TRUE;
}

static void
on_failed (HtExchange *exchange, HtFailure failure, gpointer data)
{
  *(gboolean *)data = TRUE;
}

/* Guards against a request that counts as unsent, or as withdrawn before it left, and reaches its
 * endpoint. */
static void
test_what_counts_as_unsent_never_leaves (void)
{
  static const ScriptedAnswer script[] = { { GOOD, FALSE }, { NULL, FALSE } };
  static const HtExchangeEvents events = { .head = on_head, .done = on_done, .failed = on_failed };
  HtExchangeRequest request = { .head = "GET / HTTP/1.1\r\nX-Attempt-Id: a\r\n",
                                .connect_timeout = KNL_SEC,
                                .max_idle = KNL_SEC };
  gboolean ended = FALSE;
  HtExchange *exchange;
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_add_endpoint (&fixture, script, 2);
  request.address = scripted_endpoint_address (fixture.endpoints[0]);
  exchange = ht_client_send (fixture.client, &request, &events, &ended);
  CU_ASSERT_FALSE (ht_exchange_has_sent (exchange));
  ht_exchange_cancel (exchange);
  for (guint i = 0; i < 10; i++)
    event_base_loop (fixture.base, EVLOOP_NONBLOCK);
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[0]), 0);
  ht_client_send (fixture.client, &request, &events, &ended);
  while (!ended)
    event_base_loop (fixture.base, EVLOOP_ONCE);
  /* The same on a connection that has sent a request before. */
  exchange = ht_client_send (fixture.client, &request, &events, &ended);
  CU_ASSERT_TRUE (ht_exchange_is_reused (exchange));
  CU_ASSERT_FALSE (ht_exchange_has_sent (exchange));
  sv_fixture_wait_requests (&fixture, 0, 2);
  CU_ASSERT_TRUE (ht_exchange_has_sent (exchange));
  ht_exchange_cancel (exchange);
  sv_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "unnamed answers prove nothing on kept connections",
    test_unnamed_answers_prove_nothing_on_kept_connections },
  { "ends on new connections", test_ends_on_new_connections },
  { "unnamed answers to idempotent requests", test_unnamed_answers_to_idempotent_requests },
  { "unnamed answers tell nothing of the endpoint",
    test_unnamed_answers_tell_nothing_of_the_endpoint },
  { "late answers to an earlier send prove nothing",
    test_late_answers_to_an_earlier_send_prove_nothing },
  { "what counts as unsent never leaves", test_what_counts_as_unsent_never_leaves },
};

SUITE_MAIN ("sv_not_run", cases)
