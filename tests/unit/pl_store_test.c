/** Feeds of the store: changes, failures of the store, truncated history, eras. */

#include <string.h>

#include "kernel/paused.h"
#include "platform/store.h"
#include "suite.h"
#include "tests/fakes/row_store.h"

#define WAIT           (1 * KNL_SEC)
#define TEST_TIMEOUT_S 20

/* After changes the next poll is sent after this delay. */
#define COALESCE_DELAY     (200 * KNL_MSEC)
#define MAX_COALESCE_DELAY (600 * KNL_MSEC)

typedef struct
{
  struct event_base *base;
  struct event *test_timeout;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  HtClient *client;
  RowStore *rows;
  PlStore *store;
  PlFeed *feed;

  GHashTable *seen; /* key -> value as text */
  gboolean in_pieces;
  GString *pieces;         /* of the value being delivered */
  guint n_begun;           /* number of values begun */
  KnlTime processing_time; /* time that processing each row takes */
  guint n_confirmed;
  KnlTime confirmed_at;
} Fixture;

static void
on_test_timeout (evutil_socket_t fd, short what, void *data)
{
  g_error ("the test makes no progress");
}

static void
on_begin_list (gpointer data)
{
  Fixture *self = data;

  g_hash_table_remove_all (self->seen);
}

static void
on_end_list (gpointer data)
{
}

static void
on_row (const PlRow *row, gpointer data)
{
  Fixture *self = data;

  if (self->processing_time > 0)
    knl_paused_clock_advance (self->clock, self->processing_time);
  if (row->removed)
    g_hash_table_remove (self->seen, row->key);
  else
    g_hash_table_insert (self->seen, g_strdup (row->key),
                         g_strdup (json_string_value (json_object_get (row->value, "v"))));
}

static void
on_begin_value (const char *key, gpointer data)
{
  Fixture *self = data;

  self->n_begun++;
  g_string_truncate (self->pieces, 0);
}

static void
on_value (const char *text, gsize length, gpointer data)
{
  Fixture *self = data;

  g_string_append_len (self->pieces, text, (gssize)length);
}

static void
on_row_in_pieces (const PlRow *row, gpointer data)
{
  Fixture *self = data;

  CU_ASSERT_PTR_NULL (row->value);
  g_hash_table_insert (self->seen, g_strdup (row->key), g_strdup (self->pieces->str));
}

static void
on_confirmed (KnlTime at, gpointer data)
{
  Fixture *self = data;

  self->n_confirmed++;
  self->confirmed_at = at;
}

static const PlFeedEvents feed_events = {
  .begin_list = on_begin_list,
  .end_list = on_end_list,
  .row = on_row,
  .confirmed = on_confirmed,
};

static const PlFeedEvents piece_events = {
  .begin_list = on_begin_list,
  .end_list = on_end_list,
  .row = on_row_in_pieces,
  .begin_value = on_begin_value,
  .value = on_value,
  .confirmed = on_confirmed,
};

static void
open_feed (Fixture *self, const PlFeedEvents *events)
{
  static const PlFeedPace pace = { .wait = WAIT,
                                   .coalesce_delay = COALESCE_DELAY,
                                   .max_coalesce_delay = MAX_COALESCE_DELAY };
  static const HtLimits limits = { 16384, 4 << 20 };
  struct timeval timeout = { .tv_sec = TEST_TIMEOUT_S };

  *self = (Fixture){ .base = event_base_new (), .clock = knl_paused_clock_new () };
  self->test_timeout = evtimer_new (self->base, on_test_timeout, NULL);
  evtimer_add (self->test_timeout, &timeout);
  knl_paused_clock_advance (self->clock, 10 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 5);
  self->client = ht_client_new (self->kernel, self->base, &limits, 60 * KNL_SEC);
  self->rows = row_store_new (self->kernel, self->base);
  self->store = pl_store_new (self->kernel, self->client, row_store_address (self->rows));
  self->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  row_store_put (self->rows, "a", "{\"v\":\"1\"}");
  self->pieces = g_string_new (NULL);
  self->feed = pl_feed_new (self->store, "t", &pace, events, self);
}

static void
fixture_open (Fixture *self)
{
  open_feed (self, &feed_events);
}

static void
fixture_close (Fixture *self)
{
  pl_feed_free (self->feed);
  pl_store_free (self->store);
  ht_client_free (self->client);
  row_store_free (self->rows);
  g_hash_table_unref (self->seen);
  g_string_free (self->pieces, TRUE);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
  event_free (self->test_timeout);
  event_base_free (self->base);
}

static void
iterate (Fixture *self)
{
  /* Not EVLOOP_ONCE, which would wait for a socket while a job has slices left. */
  event_base_loop (self->base, EVLOOP_NONBLOCK);
  knl_kernel_run_due (self->kernel);
}

static void
wait_value (Fixture *self, const char *key, const char *value)
{
  while (g_strcmp0 (g_hash_table_lookup (self->seen, key), value) != 0)
    iterate (self);
}

static void
wait_feeds (Fixture *self, guint n)
{
  while (row_store_n_feeds (self->rows) < n)
    iterate (self);
}

static void
test_changes_arrive (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  wait_value (&fixture, "a", "1");
  wait_feeds (&fixture, 1);
  row_store_put (fixture.rows, "b", "{\"v\":\"2\"}");
  wait_value (&fixture, "b", "2");
  knl_paused_clock_advance (fixture.clock, COALESCE_DELAY + KNL_MSEC);
  wait_feeds (&fixture, 2);
  row_store_put (fixture.rows, "a", NULL);
  wait_value (&fixture, "a", NULL);
  CU_ASSERT_EQUAL (row_store_n_lists (fixture.rows), 1);
  fixture_close (&fixture);
}

/*
 * A confirmation is valid for the time of the request. If the store has waited longer than 1.2 s
 * without a change, it is valid for the end of that wait less 1.2 s.
 */
static void
test_confirmed_for_request_time (void)
{
  Fixture fixture;
  KnlTime requested_at;
  guint before;

  fixture_open (&fixture);
  wait_feeds (&fixture, 1);
  requested_at = knl_kernel_now (fixture.kernel);
  before = fixture.n_confirmed;
  knl_paused_clock_advance (fixture.clock, WAIT);
  while (fixture.n_confirmed == before)
    iterate (&fixture);
  CU_ASSERT_EQUAL (fixture.confirmed_at, requested_at);
  wait_feeds (&fixture, 2);
  pl_feed_set_wait (fixture.feed, 5 * KNL_SEC);
  pl_feed_poll_now (fixture.feed);
  wait_feeds (&fixture, 3);
  requested_at = knl_kernel_now (fixture.kernel);
  before = fixture.n_confirmed;
  knl_paused_clock_advance (fixture.clock, 5 * KNL_SEC);
  while (fixture.n_confirmed == before)
    iterate (&fixture);
  CU_ASSERT_EQUAL (fixture.confirmed_at, requested_at + 3800 * KNL_MSEC);
  fixture_close (&fixture);
}

/*
 * Guards against an instance that uses a stale list for minutes: the store dropped its history
 * while changes were made, and the feed continued at the newest version without reading the table
 * again.
 */
static void
test_truncated_history (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  wait_feeds (&fixture, 1);
  row_store_set_mode (fixture.rows, ROW_STORE_DROPS);
  row_store_put (fixture.rows, "b", "{\"v\":\"2\"}");
  row_store_put (fixture.rows, "a", NULL);
  row_store_truncate_history (fixture.rows);
  row_store_set_mode (fixture.rows, ROW_STORE_SERVES);
  while (row_store_n_lists (fixture.rows) < 2)
    {
      knl_paused_clock_advance (fixture.clock, 50 * KNL_MSEC);
      event_base_loop (fixture.base, EVLOOP_NONBLOCK);
    }
  wait_value (&fixture, "a", NULL);
  CU_ASSERT_STRING_EQUAL (g_hash_table_lookup (fixture.seen, "b"), "2");
  fixture_close (&fixture);
}

/*
 * Guards against a feed that receives no changes after an outage in which calls were refused,
 * answers were lost or the connection went silent: it waits indefinitely for an answer, or stops
 * retrying.
 */
static void
test_store_outage (void)
{
  static const RowStoreMode modes[] = { ROW_STORE_REFUSES, ROW_STORE_DROPS, ROW_STORE_SILENT };

  for (guint i = 0; i < G_N_ELEMENTS (modes); i++)
    {
      Fixture fixture;
      guint confirmed;

      fixture_open (&fixture);
      wait_feeds (&fixture, 1);
      row_store_set_mode (fixture.rows, modes[i]);
      row_store_put (fixture.rows, "b", "{\"v\":\"2\"}");
      wait_value (&fixture, "b", "2");
      confirmed = fixture.n_confirmed;
      for (guint round = 0; round < 20; round++)
        {
          knl_paused_clock_advance (fixture.clock, 300 * KNL_MSEC);
          event_base_loop (fixture.base, EVLOOP_NONBLOCK);
        }
      CU_ASSERT_EQUAL (fixture.n_confirmed, confirmed);
      row_store_set_mode (fixture.rows, ROW_STORE_SERVES);
      row_store_put (fixture.rows, "c", "{\"v\":\"3\"}");
      while (g_hash_table_lookup (fixture.seen, "c") == NULL)
        {
          knl_paused_clock_advance (fixture.clock, 100 * KNL_MSEC);
          event_base_loop (fixture.base, EVLOOP_NONBLOCK);
        }
      CU_ASSERT (fixture.n_confirmed > confirmed);
      fixture_close (&fixture);
    }
}

/*
 * Guards against changes that arrive seconds after the store recovered: it had lost a request, and
 * only the request's own timeout, which is as long as the wait, ended it.
 */
static void
test_poll_now (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  wait_feeds (&fixture, 1);
  row_store_set_mode (fixture.rows, ROW_STORE_SILENT);
  row_store_put (fixture.rows, "b", "{\"v\":\"2\"}");
  wait_value (&fixture, "b", "2");
  knl_paused_clock_advance (fixture.clock, COALESCE_DELAY + KNL_MSEC);
  for (guint round = 0; round < 20; round++)
    event_base_loop (fixture.base, EVLOOP_NONBLOCK);
  row_store_set_mode (fixture.rows, ROW_STORE_SERVES);
  row_store_put (fixture.rows, "c", "{\"v\":\"3\"}");
  pl_feed_poll_now (fixture.feed);
  wait_value (&fixture, "c", "3");
  CU_ASSERT_EQUAL (row_store_n_lists (fixture.rows), 1);
  fixture_close (&fixture);
}

/* Polls at each heartbeat of one of many peers; returns how many polls were sent. */
static guint
poll_for (Fixture *self, KnlTime time)
{
  static const KnlTime heartbeat_interval = 10 * KNL_MSEC;
  guint n = 0;

  for (KnlTime passed = 0; passed < time; passed += heartbeat_interval)
    {
      n += pl_feed_poll_now (self->feed);
      knl_paused_clock_advance (self->clock, heartbeat_interval);
      for (guint round = 0; round < 10; round++)
        event_base_loop (self->base, EVLOOP_NONBLOCK);
    }
  return n;
}

/*
 * Guards against a flood of calls to a store that turns this instance away: each heartbeat that
 * announced something newer caused one, so that they grew with the number of instances.
 */
static void
test_unanswered_polls_become_rare (void)
{
  static const KnlTime outage = 9 * KNL_SEC;
  Fixture fixture;
  guint polls;
  guint calls;

  fixture_open (&fixture);
  wait_feeds (&fixture, 1);
  row_store_set_mode (fixture.rows, ROW_STORE_SILENT);
  calls = row_store_n_calls (fixture.rows);
  polls = poll_for (&fixture, outage);
  CU_ASSERT (polls > 0 && polls <= row_store_n_calls (fixture.rows) - calls);
  CU_ASSERT (row_store_n_calls (fixture.rows) - calls <= 2 * outage / KNL_SEC);
  row_store_set_mode (fixture.rows, ROW_STORE_SERVES);
  row_store_put (fixture.rows, "b", "{\"v\":\"2\"}");
  poll_for (&fixture, 3 * KNL_SEC);
  CU_ASSERT_STRING_EQUAL (g_hash_table_lookup (fixture.seen, "b"), "2");
  fixture_close (&fixture);
}

/*
 * Guards against streams that stall at all instances while configurations follow each other
 * quickly. Each has many routes and takes a slow instance 60 ms to process, and the next one was
 * requested 100 ms later: the delay between polls didn't depend on the processing time.
 */
static void
test_poll_delay_follows_the_processing_time (void)
{
  static const struct
  {
    KnlTime processing_time;
    KnlTime delay;
  } rows[] = {
    { 0, COALESCE_DELAY },
    { 60 * KNL_MSEC, 480 * KNL_MSEC },
    { 500 * KNL_MSEC, MAX_COALESCE_DELAY },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Fixture fixture;

      fixture_open (&fixture);
      wait_feeds (&fixture, 1);
      fixture.processing_time = rows[i].processing_time;
      row_store_put (fixture.rows, "b", "{\"v\":\"2\"}");
      wait_value (&fixture, "b", "2");
      knl_paused_clock_advance (fixture.clock, rows[i].delay - KNL_MSEC);
      for (guint round = 0; round < 20; round++)
        event_base_loop (fixture.base, EVLOOP_NONBLOCK);
      CU_ASSERT_EQUAL (row_store_n_feeds (fixture.rows), 1);
      knl_paused_clock_advance (fixture.clock, 2 * KNL_MSEC);
      wait_feeds (&fixture, 2);
      fixture_close (&fixture);
    }
}

#define LARGE_BYTES 300000

/* JSON that takes many slices. */
static char *
large_value (char mark)
{
  g_autofree char *filler = g_strnfill (LARGE_BYTES, mark);

  return g_strdup_printf ("{\"v\":\"%s\"}", filler);
}

/* Runs the event loop until `n` values have begun. */
static void
wait_until_begun (Fixture *self, guint n)
{
  while (self->n_begun < n)
    event_base_loop (self->base, EVLOOP_ONCE);
}

/*
 * Guards against streams that stall at an instance when it receives a configuration: a row of a few
 * hundred kB was decoded at once, and the event loop served no socket and no timer meanwhile.
 */
static void
test_large_values_come_in_slices (void)
{
  g_autofree char *large = large_value ('x');
  guint n_iterations = 0;
  Fixture fixture;

  open_feed (&fixture, &piece_events);
  wait_value (&fixture, "a", "{\"v\":\"1\"}");
  wait_feeds (&fixture, 1);
  row_store_put (fixture.rows, "b", large);
  wait_until_begun (&fixture, 2);
  while (g_hash_table_lookup (fixture.seen, "b") == NULL)
    {
      gsize before = fixture.pieces->len;

      knl_kernel_run_due (fixture.kernel);
      CU_ASSERT (fixture.pieces->len - before <= 16384);
      n_iterations++;
    }
  CU_ASSERT_STRING_EQUAL (g_hash_table_lookup (fixture.seen, "b"), large);
  CU_ASSERT (n_iterations >= LARGE_BYTES / 16384);
  fixture_close (&fixture);
}

/*
 * Guards against a change that is lost or applied in part: the feed polls again,
 * changes its source or is freed while a value is being delivered and the next
 * version arrives, and the partly delivered value was dropped without being
 * requested again.
 */
static void
test_interrupted_values (void)
{
  g_autofree char *large = large_value ('x');
  g_autofree char *larger = large_value ('y');
  Fixture fixture;

  open_feed (&fixture, &piece_events);
  wait_value (&fixture, "a", "{\"v\":\"1\"}");
  wait_feeds (&fixture, 1);
  row_store_put (fixture.rows, "b", large);
  wait_until_begun (&fixture, 2);
  pl_feed_poll_now (fixture.feed);
  pl_feed_set_source (fixture.feed, fixture.store);
  row_store_put (fixture.rows, "b", larger);
  wait_value (&fixture, "b", large);
  wait_value (&fixture, "b", larger);
  row_store_put (fixture.rows, "b", large);
  knl_paused_clock_advance (fixture.clock, MAX_COALESCE_DELAY);
  wait_until_begun (&fixture, 4);
  fixture_close (&fixture);
}

static void
advance_steps (Fixture *self, guint steps)
{
  for (guint i = 0; i < steps; i++)
    {
      knl_paused_clock_advance (self->clock, 50 * KNL_MSEC);
      for (guint j = 0; j < 10; j++)
        iterate (self);
    }
}

/* Guards against changes that are missed since a restored store assigns the same versions again. */
static void
test_versions_are_assigned_again (void)
{
  Fixture fixture;
  guint64 version;

  fixture_open (&fixture);
  /* The first era that a store states may be any number, 0 included. */
  row_store_set_era (fixture.rows, 0);
  wait_feeds (&fixture, 1);
  version = row_store_version (fixture.rows);
  row_store_put (fixture.rows, "b", "{\"v\":\"lost\"}");
  wait_value (&fixture, "b", "lost");
  row_store_restore (fixture.rows, version);
  row_store_put (fixture.rows, "c", "{\"v\":\"other\"}");
  advance_steps (&fixture, 40);
  /* The lost row is removed, and the row that now has its version is present. */
  CU_ASSERT_FALSE (g_hash_table_contains (fixture.seen, "b"));
  CU_ASSERT_EQUAL (g_strcmp0 (g_hash_table_lookup (fixture.seen, "c"), "other"), 0);
  CU_ASSERT_EQUAL (g_strcmp0 (g_hash_table_lookup (fixture.seen, "a"), "1"), 0);
  fixture_close (&fixture);
}

/* Guards against a list that combines pages of two eras. */
static void
test_an_era_begins_within_a_list (void)
{
  Fixture fixture;
  guint64 version;

  fixture_open (&fixture);
  row_store_set_era (fixture.rows, 1);
  row_store_set_page (fixture.rows, 2);
  version = row_store_version (fixture.rows);
  row_store_put (fixture.rows, "b", "{\"v\":\"lost\"}");
  row_store_put (fixture.rows, "c", "{\"v\":\"lost\"}");
  while (row_store_n_lists (fixture.rows) < 1)
    iterate (&fixture);
  row_store_restore (fixture.rows, version);
  row_store_put (fixture.rows, "d", "{\"v\":\"2\"}");
  advance_steps (&fixture, 40);
  CU_ASSERT_FALSE (g_hash_table_contains (fixture.seen, "b"));
  CU_ASSERT_FALSE (g_hash_table_contains (fixture.seen, "c"));
  CU_ASSERT_EQUAL (g_strcmp0 (g_hash_table_lookup (fixture.seen, "d"), "2"), 0);
  CU_ASSERT_EQUAL (g_strcmp0 (g_hash_table_lookup (fixture.seen, "a"), "1"), 0);
  fixture_close (&fixture);
}

/* Guards against answers without an era, or of an earlier one, that are accepted as current. */
static void
test_answers_of_unknown_or_earlier_era (void)
{
  static const gint64 eras[] = { -1, 1 };

  for (guint i = 0; i < G_N_ELEMENTS (eras); i++)
    {
      Fixture fixture;
      guint confirmed;

      fixture_open (&fixture);
      row_store_set_era (fixture.rows, 2);
      wait_feeds (&fixture, 1);
      row_store_set_era (fixture.rows, eras[i]);
      row_store_put (fixture.rows, "a", "{\"v\":\"2\"}");
      confirmed = fixture.n_confirmed;
      advance_steps (&fixture, 40);
      CU_ASSERT_EQUAL (fixture.n_confirmed, confirmed);
      CU_ASSERT_EQUAL (g_strcmp0 (g_hash_table_lookup (fixture.seen, "a"), "1"), 0);
      row_store_set_era (fixture.rows, 2);
      advance_steps (&fixture, 40);
      CU_ASSERT_EQUAL (g_strcmp0 (g_hash_table_lookup (fixture.seen, "a"), "2"), 0);
      fixture_close (&fixture);
    }
}

static void
on_status (PlStatus status, PlAnswer **answer, gpointer data)
{
  *(PlStatus *)data = status;
}

/* Guards against a refusal that counts as an answer of an earlier era, since it states none. */
static void
test_refusals_need_no_era (void)
{
  PlStatus status = PL_OK;
  Fixture fixture;

  fixture_open (&fixture);
  row_store_set_era (fixture.rows, 2);
  wait_feeds (&fixture, 1);
  row_store_set_era (fixture.rows, -1);
  row_store_set_mode (fixture.rows, ROW_STORE_REFUSES);
  pl_store_get (fixture.store, "t", NULL, on_status, &status);
  advance_steps (&fixture, 2);
  CU_ASSERT_EQUAL (status, PL_REFUSED);
  fixture_close (&fixture);
}

/* Guards against an era that is missed since another one follows at once. */
static void
test_consecutive_eras (void)
{
  Fixture fixture;
  guint64 version;

  fixture_open (&fixture);
  row_store_set_era (fixture.rows, 1);
  wait_feeds (&fixture, 1);
  version = row_store_version (fixture.rows);
  for (guint i = 0; i < 4; i++)
    {
      row_store_put (fixture.rows, "b", "{\"v\":\"lost\"}");
      row_store_restore (fixture.rows, version);
      row_store_put (fixture.rows, "c", "{\"v\":\"2\"}");
      row_store_set_mode (fixture.rows, i % 2 == 0 ? ROW_STORE_DROPS : ROW_STORE_SERVES);
      advance_steps (&fixture, 2);
    }
  row_store_set_mode (fixture.rows, ROW_STORE_SERVES);
  row_store_put (fixture.rows, "c", "{\"v\":\"3\"}");
  advance_steps (&fixture, 40);
  CU_ASSERT_FALSE (g_hash_table_contains (fixture.seen, "b"));
  CU_ASSERT_EQUAL (g_strcmp0 (g_hash_table_lookup (fixture.seen, "c"), "3"), 0);
  CU_ASSERT_EQUAL (pl_feed_position (fixture.feed).era, PL_ERA_OFFSET + 5);
  fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "changes arrive", test_changes_arrive },
  { "confirmed for the time of the request", test_confirmed_for_request_time },
  { "truncated history", test_truncated_history },
  { "the store is unavailable", test_store_outage },
  { "a poll replaces a waiting request", test_poll_now },
  { "unanswered polls become rare", test_unanswered_polls_become_rare },
  { "large values come in slices", test_large_values_come_in_slices },
  { "interrupted values", test_interrupted_values },
  { "the poll delay follows the processing time", test_poll_delay_follows_the_processing_time },
  { "a restored store assigns the same versions", test_versions_are_assigned_again },
  { "an era begins within a list", test_an_era_begins_within_a_list },
  { "answers of an unknown or earlier era", test_answers_of_unknown_or_earlier_era },
  { "consecutive eras", test_consecutive_eras },
  { "refusals need no era", test_refusals_need_no_era },
};

SUITE_MAIN ("pl_store", cases)
