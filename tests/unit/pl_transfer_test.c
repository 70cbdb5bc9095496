/** Feeds whose answers from the store or a mirror take long to arrive. */

#include <signal.h>
#include <string.h>

#include "http/server.h"
#include "kernel/paused.h"
#include "platform/store.h"
#include "suite.h"

#define WAIT           (500 * KNL_MSEC)
#define COALESCE_DELAY (100 * KNL_MSEC)
#define STEP           (20 * KNL_MSEC)
#define TEST_TIMEOUT_S 20

/* Length of a value with many routes, and number of the pieces in which it is sent. */
#define VALUE_BYTES 900000
#define PIECES      30

/* Interval between two pieces. */
#define PIECE_INTERVAL (120 * KNL_MSEC)

/* After this time without a byte the feed must have sent another request. */
#define SILENCE (3 * KNL_SEC)

/** A store whose list is short and whose changes arrive in pieces, as over a narrow link. */
typedef struct
{
  struct event_base *base;
  struct event *test_timeout;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  HtServer *server;
  HtClient *client;
  PlStore *store;
  PlFeed *feed;
  HtCall *call; /* a request for changes without a complete answer */
  char *changes;
  gsize sent;
  guint n_feeds;
  guint n_rows;         /* changed rows delivered */
  guint n_feeds_at_row; /* value of n_feeds when the last of them was delivered */
} Fixture;

static void
on_test_timeout (evutil_socket_t fd, short what, void *data)
{
  g_error ("the test makes no progress");
}

static void
on_request (HtCall *call, gpointer data)
{
  Fixture *self = data;
  static const char list[] = "{\"rows\":[{\"key\":\"a\",\"ver\":1,\"value\":\"MQ==\"}],\"ver\":1}";

  if (g_str_has_prefix (ht_call_request (call)->target, "/rows-get?"))
    {
      ht_call_answer (call, 200, NULL, list, strlen (list));
      return;
    }
  self->n_feeds++;
  self->call = call;
  self->sent = 0;
}

static void
on_disconnected (HtCall *call, gpointer data)
{
  Fixture *self = data;

  if (self->call == call)
    self->call = NULL;
}

static void
ignore (gpointer data)
{
}

static void
on_row (const PlRow *row, gpointer data)
{
  Fixture *self = data;

  if (row->version == 1)
    return;
  self->n_rows++;
  self->n_feeds_at_row = self->n_feeds;
}

static void
on_confirmed (KnlTime at, gpointer data)
{
}

static const PlFeedEvents events = {
  .begin_list = ignore,
  .end_list = ignore,
  .row = on_row,
  .confirmed = on_confirmed,
};

static const PlFeedPace pace = { .wait = WAIT, .coalesce_delay = COALESCE_DELAY };

static void
advance (Fixture *self, KnlTime time)
{
  for (KnlTime elapsed = 0; elapsed < time; elapsed += STEP)
    {
      for (guint iteration = 0; iteration < 30; iteration++)
        event_base_loop (self->base, EVLOOP_NONBLOCK);
      knl_paused_clock_advance (self->clock, STEP);
    }
}

/* A text without repeated parts. */
static char *
make_text (KnlKernel *kernel, gsize length)
{
  GString *text = g_string_new (NULL);

  while (text->len < length)
    g_string_append_printf (text, "{\"route\":\"%08x\"},", g_rand_int (knl_kernel_rand (kernel)));
  return g_string_free (text, FALSE);
}

static char *
encoded_value (KnlKernel *kernel)
{
  g_autofree char *text = make_text (kernel, VALUE_BYTES * 3 / 4);

  return g_base64_encode ((const guchar *)text, strlen (text));
}

/* Returns the address on which the server listens. */
static char *
open_server (Fixture *self)
{
  static const HtServerLimits limits = {
    .message = { 4096, 4096 },
    .head_timeout = KNL_SEC,
    .request_timeout = KNL_SEC,
    .idle_timeout = 60 * KNL_SEC,
    .max_connections = 16,
    .max_unsent = HT_DEFAULT_MAX_UNSENT,
  };
  static const HtServerEvents server_events = { .request = on_request,
                                                .disconnected = on_disconnected };
  static guint port = 29000;
  char *address = NULL;

  while (self->server == NULL)
    {
      g_free (address);
      address = g_strdup_printf ("127.0.0.1:%u", port++);
      self->server =
          ht_server_new (self->kernel, self->base, address, &limits, &server_events, self);
    }
  return address;
}

static void
fixture_open (Fixture *self)
{
  static const HtLimits limits = { 16384, 4 << 20 };
  struct timeval timeout = { .tv_sec = TEST_TIMEOUT_S };
  g_autofree char *address = NULL;
  g_autofree char *value = NULL;

  signal (SIGPIPE, SIG_IGN);
  *self = (Fixture){ .base = event_base_new (), .clock = knl_paused_clock_new () };
  self->test_timeout = evtimer_new (self->base, on_test_timeout, NULL);
  evtimer_add (self->test_timeout, &timeout);
  knl_paused_clock_advance (self->clock, 10 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 5);
  address = open_server (self);
  self->client = ht_client_new (self->kernel, self->base, &limits, 60 * KNL_SEC);
  self->store = pl_store_new (self->kernel, self->client, address);
  value = encoded_value (self->kernel);
  self->changes =
      g_strdup_printf ("{\"rows\":[{\"key\":\"a\",\"ver\":2,\"value\":\"%s\"}],\"ver\":2}", value);
  self->feed = pl_feed_new (self->store, "t", &pace, &events, self);
  while (self->call == NULL)
    advance (self, STEP);
}

static void
fixture_close (Fixture *self)
{
  pl_feed_free (self->feed);
  pl_store_free (self->store);
  ht_client_free (self->client);
  ht_server_free (self->server);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
  event_free (self->test_timeout);
  event_base_free (self->base);
  g_free (self->changes);
}

static void
send_piece (Fixture *self)
{
  gsize length = strlen (self->changes);
  gsize piece = MIN (length / PIECES + 1, length - self->sent);

  if (self->call == NULL)
    return;
  if (!ht_call_has_begun (self->call))
    ht_call_begin (self->call, 200, NULL);
  ht_call_send (self->call, self->changes + self->sent, piece);
  self->sent += piece;
  if (self->sent < length)
    return;
  ht_call_end (self->call);
  self->call = NULL;
}

static void
send_pieces (Fixture *self, guint pieces)
{
  for (guint i = 0; i < pieces; i++)
    {
      send_piece (self);
      advance (self, PIECE_INTERVAL);
    }
}

/* Guards against configurations that never arrive since the timeout for short answers ends their
 * transfer. */
static void
test_a_progressing_answer_is_not_cancelled (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  send_pieces (&fixture, PIECES);
  CU_ASSERT_EQUAL (fixture.n_rows, 1);
  CU_ASSERT_EQUAL (fixture.n_feeds_at_row, 1);
  fixture_close (&fixture);
}

/* Guards against instances that request the same configuration again and again, and apply none. */
static void
test_an_answer_being_received_is_not_requested_again (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < PIECES; i++)
    {
      send_pieces (&fixture, 1);
      pl_feed_poll_now (fixture.feed);
    }
  advance (&fixture, KNL_SEC);
  CU_ASSERT_EQUAL (fixture.n_rows, 1);
  CU_ASSERT_EQUAL (fixture.n_feeds_at_row, 1);
  fixture_close (&fixture);
}

/* Guards against a feed that waits indefinitely after the connection goes silent within an answer.
 */
static void
test_a_stalled_answer_is_requested_again (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  send_pieces (&fixture, PIECES / 2);
  CU_ASSERT_EQUAL (fixture.n_feeds, 1);
  advance (&fixture, SILENCE);
  CU_ASSERT (fixture.n_feeds > 1);
  CU_ASSERT_EQUAL (fixture.n_rows, 0);
  fixture_close (&fixture);
}

/* Guards against a feed that waits indefinitely for a source that sends a single byte now and then.
 */
static void
test_a_trickling_answer_is_requested_again (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  send_pieces (&fixture, PIECES / 2);
  for (KnlTime elapsed = 0; elapsed < SILENCE; elapsed += PIECE_INTERVAL)
    {
      if (fixture.call != NULL && ht_call_has_begun (fixture.call))
        ht_call_send (fixture.call, " ", 1);
      advance (&fixture, PIECE_INTERVAL);
    }
  CU_ASSERT (fixture.n_feeds > 1);
  fixture_close (&fixture);
}

/* Guards against a feed that doesn't poll again since its source sent the head of an answer at
 * once, before there were changes to send. */
static void
test_a_head_alone_is_not_receiving (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  ht_call_begin (fixture.call, 200, NULL);
  advance (&fixture, PIECE_INTERVAL);
  CU_ASSERT_FALSE (pl_feed_is_receiving (fixture.feed));
  pl_feed_poll_now (fixture.feed);
  advance (&fixture, PIECE_INTERVAL);
  CU_ASSERT_EQUAL (fixture.n_feeds, 2);
  fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "an answer that makes progress is not cancelled", test_a_progressing_answer_is_not_cancelled },
  { "an answer being received is not requested again",
    test_an_answer_being_received_is_not_requested_again },
  { "an answer that stalls is requested again", test_a_stalled_answer_is_requested_again },
  { "an answer that trickles is requested again", test_a_trickling_answer_is_requested_again },
  { "a head alone does not count as receiving", test_a_head_alone_is_not_receiving },
};

SUITE_MAIN ("pl_transfer", cases)
