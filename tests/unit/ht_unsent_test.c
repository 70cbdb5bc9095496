/** Callers and endpoints that read slowly, over loopback: what is held for them, and who is ended.
 */

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "http/delivery.h"
#include "relay_fixture.h"
#include "suite.h"

#define KB ((gsize)1024)
#define MB (1024 * KB)

/* Turns of the loop in which a stream without back-pressure moves some megabytes. */
#define MANY_TURNS 20

/* Longer than the interval at which a server checks its connections. */
#define SWEEP (300 * KNL_MSEC)

/* Most unsent bytes of one stream: what may be unsent before its source is paused, and what a turn
 * of the loop reads. */
#define STREAM_BYTES (300 * KB)

/* Guards against an innocent connection that is ended for the bytes of another one. */
static void
test_choice (void)
{
  static const struct
  {
    HtHolding holdings[3];
    guint n;
    gsize bound;
    gint chosen;
  } rows[] = {
    { { { 0 } }, 0, 10, -1 },
    { { { 3 }, { 4 }, { 2 } }, 3, 10, -1 },
    { { { 3 }, { 4 }, { 2 } }, 3, 9, 1 },
    { { { 3 }, { 4 }, { 2 } }, 3, 1, 1 },
    { { { 5 }, { 1 }, { 5 } }, 3, 11, 0 },
    { { { 0 }, { 0 }, { 20 } }, 3, 20, 2 },
    { { { 0 }, { 0 }, { 0 } }, 3, 1, -1 },
    { { { G_MAXSIZE / 2 }, { 1 }, { 1 } }, 3, 0, -1 },
    { { { 9, 0 }, { 5, 1 }, { 4, 4 } }, 3, 10, 2 },
    { { { 9, 4 }, { 5, 4 }, { 10, 4 } }, 3, 10, 2 },
    { { { 9, 0 }, { 5, 5 }, { 4, 4 } }, 3, 10, 1 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    CU_ASSERT_EQUAL (ht_unsent_choose (rows[i].holdings, rows[i].n, rows[i].bound), rows[i].chosen);
}

typedef struct
{
  HtHolder holder;
  struct evbuffer *output;
  gboolean has_ended;
} Holder;

static char *
holder_address (HtHolder *holder)
{
  return NULL;
}

static void
holder_end (HtHolder *holder)
{
  ((Holder *)holder)->has_ended = TRUE;
  ht_holder_leave (holder);
}

static const HtHolderClass holder_class = { .address = holder_address, .end = holder_end };

static void
holder_write (Holder *self, gsize length)
{
  static const char zeros[100];

  evbuffer_add (self->output, zeros, length);
}

/* Guards against a caller that reads a fast stream and is ended in place of one that has stopped:
 * for a moment it holds as much. */
static void
test_old_bytes_decide (void)
{
  KnlPausedClock *clock = knl_paused_clock_new ();
  KnlKernel *kernel = knl_kernel_new (knl_paused_clock_runtime (clock), 5);
  HtUnsent *unsent = ht_unsent_new (kernel, 100);
  Holder stopped = { .output = evbuffer_new () };
  Holder reading = { .output = evbuffer_new () };

  ht_holder_join (&stopped.holder, unsent, &holder_class, stopped.output);
  ht_holder_join (&reading.holder, unsent, &holder_class, reading.output);
  holder_write (&stopped, 40);
  holder_write (&reading, 50);
  knl_paused_clock_advance (clock, 2 * SWEEP);
  evbuffer_drain (reading.output, 50);
  holder_write (&reading, 65);
  knl_kernel_run_due (kernel);
  CU_ASSERT_TRUE (stopped.has_ended);
  CU_ASSERT_FALSE (reading.has_ended);
  CU_ASSERT_EQUAL (ht_unsent_bytes (unsent), 65);
  ht_holder_leave (&reading.holder);
  ht_unsent_free (unsent);
  evbuffer_free (stopped.output);
  evbuffer_free (reading.output);
  knl_kernel_free (kernel);
  knl_paused_clock_free (clock);
}

/* Guards against a stream that is read on without bound while its caller doesn't read, and against
 * one that stalls or loses bytes once the caller reads on. */
static void
test_pausing_caller_gets_every_byte (void)
{
  static const struct
  {
    const char *target;
    gsize length;
    const char *version;
  } rows[] = {
    { "/stream/300000", 300000, "1.1" },
    { "/stream/8000000", 8000000, "1.1" },
    { "/stream/8000000", 8000000, "1.0" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      RelayFixture fixture;
      RelayCaller *caller;

      relay_fixture_open (&fixture, 0);
      caller = relay_fixture_call (&fixture, rows[i].target, rows[i].version, 0);
      relay_fixture_turn (&fixture, MANY_TURNS);
      if (rows[i].length > 4 * MB)
        CU_ASSERT (ht_server_unsent (fixture.endpoint) > 0);
      relay_caller_set_reading (caller, TRUE);
      while (!caller->has_ended && caller->length < rows[i].length / 2)
        {
          event_base_loop (fixture.base, EVLOOP_ONCE);
          knl_kernel_run_due (fixture.kernel);
        }
      relay_caller_set_reading (caller, FALSE);
      relay_fixture_turn (&fixture, MANY_TURNS);
      CU_ASSERT_FALSE (caller->complete);
      relay_caller_set_reading (caller, TRUE);
      relay_caller_wait (caller);
      CU_ASSERT_TRUE (caller->complete);
      CU_ASSERT_EQUAL (caller->length, rows[i].length);
      CU_ASSERT_FALSE (caller->differs);
      CU_ASSERT (fixture.peak <= STREAM_BYTES);
      relay_fixture_close (&fixture);
    }
}

/* The server's side of a caller's connection; -1: it isn't open. */
static int
server_side_of (const RelayCaller *caller)
{
  struct sockaddr_in own = { 0 };
  struct sockaddr_in peer = { 0 };
  socklen_t length = sizeof own;

  getsockname (bufferevent_getfd (caller->stream), (struct sockaddr *)&own, &length);
  for (int fd = 0; fd < RELAY_MAX_FD; fd++)
    {
      length = sizeof peer;
      if (getpeername (fd, (struct sockaddr *)&peer, &length) == 0 && peer.sin_port == own.sin_port)
        return fd;
    }
  return -1;
}

/* Its TCP_USER_TIMEOUT, in ms. */
static int
user_timeout_of (const RelayCaller *caller)
{
  int timeout = -1;
  socklen_t length = sizeof timeout;

  getsockopt (server_side_of (caller), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, &length);
  return timeout;
}

/* The caller's kernel has acknowledged a probe of the closed window, which needs no turn of the
 * loop.
 */
static void
wait_for_probe (const RelayCaller *caller)
{
  HtDelivery delivery = { 0 };
  int fd = server_side_of (caller);

  while (delivery.waiting == 0 || delivery.in_flight > 0
         || delivery.since_ack_ms >= delivery.since_sent_ms)
    g_assert_true (ht_delivery_read (fd, &delivery));
}

/* Guards against a caller that pauses for 2 s and is cut off by the kernel, which takes a closed
 * window for a broken connection; and, where no bound on the sum ends such callers, against one
 * that is kept for longer. */
static void
test_pausing_caller_gets_more_time (void)
{
  static const struct
  {
    gsize bound;
    gboolean gets_more;
  } rows[] = { { 64 * MB, TRUE }, { 0, FALSE } };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      RelayFixture fixture;
      RelayCaller *caller;
      int normal;

      relay_fixture_open (&fixture, rows[i].bound);
      fixture.keeps_user_timeouts = TRUE;
      caller = relay_fixture_call (&fixture, "/stream/8000000", "1.1", 0);
      while (ht_server_unsent (fixture.front) == 0)
        relay_fixture_turn (&fixture, 1);
      normal = user_timeout_of (caller);
      CU_ASSERT_EQUAL (normal, HT_UNACKNOWLEDGED_TIMEOUT_MS);
      wait_for_probe (caller);
      knl_paused_clock_advance (fixture.clock, SWEEP);
      CU_ASSERT_EQUAL (user_timeout_of (caller) > normal, rows[i].gets_more);
      relay_caller_set_reading (caller, TRUE);
      relay_caller_wait (caller);
      CU_ASSERT_TRUE (caller->complete);
      knl_paused_clock_advance (fixture.clock, SWEEP);
      CU_ASSERT_EQUAL (user_timeout_of (caller), normal);
      relay_fixture_close (&fixture);
    }
}

/* Guards against a kept connection that is never read again after its last answer was paused. */
static void
test_connection_is_reused_after_a_pause (void)
{
  RelayFixture fixture;
  RelayCaller *caller;

  relay_fixture_open (&fixture, 0);
  caller = relay_fixture_call (&fixture, "/stream/8000000", "1.1", 0);
  relay_fixture_turn (&fixture, MANY_TURNS);
  relay_caller_set_reading (caller, TRUE);
  relay_caller_wait (caller);
  relay_caller_call_again (caller, "/stream/1000");
  relay_caller_wait (caller);
  CU_ASSERT_TRUE (caller->complete);
  CU_ASSERT_EQUAL (caller->length, 1000);
  CU_ASSERT_EQUAL (ht_client_n_opened (fixture.client), 1);
  relay_fixture_close (&fixture);
}

/* Guards against an instance that runs out of memory, or cuts off callers that do read, when many
 * callers stop reading in the middle of their streams. */
static void
test_others_are_served (void)
{
  enum
  {
    N_STALLED = 40, /* a paused stream holds 64 to 272 kB */
    N_READING = 4,
  };
  const gsize bound = 2 * MB;
  RelayFixture fixture;
  RelayCaller *stalled[N_STALLED];
  RelayCaller *reading[N_READING];
  guint n_complete = 0;

  relay_fixture_open (&fixture, bound);
  for (guint i = 0; i < N_STALLED; i++)
    stalled[i] = relay_fixture_call (&fixture, "/stream/2000000", i % 2 == 0 ? "1.1" : "1.0", 0);
  while (fixture.n_ended == 0)
    relay_fixture_turn (&fixture, 1);
  /* The server now knows who doesn't read. */
  knl_paused_clock_advance (fixture.clock, 2 * SWEEP);
  for (guint i = 0; i < N_READING; i++)
    {
      reading[i] = relay_fixture_call (&fixture, "/stream/4000000", "1.1", 0);
      relay_caller_set_reading (reading[i], TRUE);
    }
  for (guint i = 0; i < N_READING; i++)
    {
      relay_caller_wait (reading[i]);
      CU_ASSERT_TRUE (reading[i]->complete);
      CU_ASSERT_EQUAL (reading[i]->length, 4000000);
      CU_ASSERT_FALSE (reading[i]->differs);
    }
  relay_fixture_turn (&fixture, MANY_TURNS);
  CU_ASSERT (fixture.peak < bound);
  CU_ASSERT (fixture.n_ended < N_STALLED);
  for (guint i = 0; i < N_STALLED; i++)
    {
      relay_caller_set_reading (stalled[i], TRUE);
      relay_caller_wait (stalled[i]);
      CU_ASSERT_EQUAL (stalled[i]->complete, stalled[i]->length == 2000000);
      CU_ASSERT_FALSE (stalled[i]->differs);
      n_complete += stalled[i]->complete;
    }
  CU_ASSERT_EQUAL (n_complete, N_STALLED - fixture.n_ended);
  relay_fixture_close (&fixture);
}

/* Guards against small readers that are ended while the one that holds the most goes on; and
 * against an answer that looks complete although its end was dropped. */
static void
test_greediest_is_ended (void)
{
  static const char *const versions[] = { "1.1", "1.0" };

  for (guint i = 0; i < G_N_ELEMENTS (versions); i++)
    {
      RelayFixture fixture;
      RelayCaller *greedy;
      RelayCaller *modest[7]; /* too few to reach the bound without the greedy one */
      g_autofree char *field = NULL;

      relay_fixture_open (&fixture, 2 * MB);
      greedy = relay_fixture_call (&fixture, "/whole/1900000", versions[i], 0);
      while (ht_server_unsent (fixture.front) == 0)
        relay_fixture_turn (&fixture, 1);
      for (guint j = 0; j < G_N_ELEMENTS (modest); j++)
        modest[j] = relay_fixture_call (&fixture, "/stream/8000000", "1.1", 0);
      while (fixture.n_ended == 0)
        relay_fixture_turn (&fixture, 1);
      relay_caller_set_reading (greedy, TRUE);
      relay_caller_wait (greedy);
      CU_ASSERT_FALSE (greedy->complete);
      for (guint j = 0; j < G_N_ELEMENTS (modest); j++)
        {
          relay_caller_set_reading (modest[j], TRUE);
          relay_caller_wait (modest[j]);
          CU_ASSERT_TRUE (modest[j]->complete);
        }
      CU_ASSERT_EQUAL (fixture.n_ended, 1);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.ended->str, "\"address\":\"127.0.0.1:"));
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.ended->str, "\"bytes\":"));
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.ended->str, "\"sum\":"));
      CU_ASSERT (fixture.peak < 2 * MB);
      relay_fixture_close (&fixture);
    }
}

/* Guards against answers that are collected whole without counting toward the sum. */
static void
test_collected_answers_count (void)
{
  RelayFixture fixture;
  RelayCaller *large;
  RelayCaller *small;

  relay_fixture_open (&fixture, 1 * MB);
  large = relay_fixture_call (&fixture, "/whole/8000000", "1.1", 0);
  small = relay_fixture_call (&fixture, "/whole/100000", "1.1", 0);
  relay_caller_set_reading (large, TRUE);
  relay_caller_set_reading (small, TRUE);
  relay_caller_wait (large);
  relay_caller_wait (small);
  CU_ASSERT_FALSE (large->complete);
  CU_ASSERT_TRUE (small->complete);
  CU_ASSERT_EQUAL (fixture.n_unsent, 1);
  CU_ASSERT (fixture.peak < 1 * MB);
  relay_fixture_close (&fixture);
}

static void
write_zeros (RelayCaller *caller, gsize length)
{
  char *zeros = g_malloc0 (length);

  bufferevent_write (caller->stream, zeros, length);
  g_free (zeros);
}

/* Guards against a request body that is lost or counted for ever when its endpoint reads slowly,
 * and against a caller whose next request is read meanwhile without bound. */
static void
test_slow_endpoint_gets_every_byte (void)
{
  const gsize length = 2 * MB;
  /* More than the sockets between the caller and the server can buffer. */
  const gsize next_length = 40 * MB;
  RelayFixture fixture;
  RelayCaller *caller;

  relay_fixture_open (&fixture, 0);
  relay_fixture_use_deaf_endpoint (&fixture);
  caller = relay_fixture_call (&fixture, "/whole/1", "1.1", length);
  while (ht_unsent_bytes (fixture.unsent) == 0)
    relay_fixture_turn (&fixture, 1);
  write_zeros (caller, next_length);
  relay_fixture_turn (&fixture, MANY_TURNS);
  CU_ASSERT (ht_unsent_bytes (fixture.unsent) > MB);
  CU_ASSERT (ht_unsent_bytes (fixture.unsent) <= length + 200);
  CU_ASSERT (evbuffer_get_length (bufferevent_get_output (caller->stream)) > 0);
  CU_ASSERT_EQUAL (fixture.n_requests, 0);
  relay_fixture_let_endpoint_read (&fixture);
  relay_caller_set_reading (caller, TRUE);
  relay_caller_wait (caller);
  CU_ASSERT_TRUE (caller->complete);
  CU_ASSERT_EQUAL (fixture.body_length, length);
  CU_ASSERT_EQUAL (ht_unsent_bytes (fixture.unsent), 0);
  relay_fixture_close (&fixture);
}

/* Guards against request bodies that fill the memory while their endpoint reads slowly. */
static void
test_request_bodies_count (void)
{
  enum
  {
    N_CALLERS = 8,
  };
  const gsize bound = 4 * MB;
  RelayFixture fixture;
  guint n_complete = 0;

  relay_fixture_open (&fixture, bound);
  relay_fixture_use_deaf_endpoint (&fixture);
  for (guint i = 0; i < N_CALLERS; i++)
    relay_fixture_call (&fixture, "/whole/1", "1.1", MB);
  while (fixture.n_ended == 0)
    relay_fixture_turn (&fixture, 1);
  relay_fixture_turn (&fixture, MANY_TURNS);
  CU_ASSERT (fixture.peak < bound);
  relay_fixture_let_endpoint_read (&fixture);
  for (guint i = 0; i < N_CALLERS; i++)
    {
      relay_caller_set_reading (&fixture.callers[i], TRUE);
      relay_caller_wait (&fixture.callers[i]);
      n_complete += fixture.callers[i].complete;
    }
  CU_ASSERT_EQUAL (fixture.n_unsent, fixture.n_ended);
  CU_ASSERT_EQUAL (n_complete, N_CALLERS - fixture.n_ended);
  CU_ASSERT (n_complete > 0);
  relay_fixture_close (&fixture);
}

/* A caller of an answer of 12 MB, which the server holds. */
static RelayCaller *
call_for_large_answer (RelayFixture *fixture, gsize bound)
{
  RelayCaller *caller;

  relay_fixture_open (fixture, bound);
  caller = relay_fixture_call (fixture, "/whole/12000000", "1.1", 0);
  while (ht_server_unsent (fixture->front) < 8 * MB)
    relay_fixture_turn (fixture, 1);
  return caller;
}

/* Guards against a large answer that is cut off while its caller reads it steadily. */
static void
test_large_answers_are_read_steadily (void)
{
  static const gsize bounds[] = { 0, 64 * MB };
  const gsize read_per_sweep = MB / 2;

  for (guint i = 0; i < G_N_ELEMENTS (bounds); i++)
    {
      RelayFixture fixture;
      RelayCaller *caller = call_for_large_answer (&fixture, bounds[i]);

      while (!caller->complete && !caller->has_ended)
        {
          gsize before = ht_server_unsent (fixture.front);

          knl_paused_clock_advance (fixture.clock, SWEEP);
          relay_caller_set_reading (caller, TRUE);
          while (!caller->complete && !caller->has_ended && before > 0
                 && ht_server_unsent (fixture.front) + read_per_sweep > before)
            relay_fixture_turn (&fixture, 1);
          relay_caller_set_reading (caller, before == 0);
          relay_fixture_turn (&fixture, 1);
        }
      CU_ASSERT_TRUE (caller->complete);
      CU_ASSERT_EQUAL (caller->length, 12000000);
      CU_ASSERT_FALSE (caller->differs);
      relay_fixture_close (&fixture);
    }
}

/* Guards against memory that is held for a caller which doesn't read a large answer, or hardly. */
static void
test_large_answers_that_are_not_read_are_ended (void)
{
  RelayFixture fixture;

  call_for_large_answer (&fixture, 0);
  knl_paused_clock_advance (fixture.clock, 3 * SWEEP);
  CU_ASSERT_EQUAL (ht_server_unsent (fixture.front), 0);
  CU_ASSERT_EQUAL (ht_server_n_connections (fixture.front), 0);
  relay_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "which connection is ended", test_choice },
  { "bytes held for a while decide", test_old_bytes_decide },
  { "a caller that pauses gets every byte", test_pausing_caller_gets_every_byte },
  { "a caller that pauses gets more time", test_pausing_caller_gets_more_time },
  { "a connection is reused after a pause", test_connection_is_reused_after_a_pause },
  { "others are served while many don't read", test_others_are_served },
  { "the connection that holds the most is ended", test_greediest_is_ended },
  { "collected answers count", test_collected_answers_count },
  { "a slow endpoint gets every byte", test_slow_endpoint_gets_every_byte },
  { "request bodies count", test_request_bodies_count },
  { "large answers are read steadily", test_large_answers_are_read_steadily },
  { "large answers that are not read are ended", test_large_answers_that_are_not_read_are_ended },
};

SUITE_MAIN ("ht_unsent", cases)
