/** Mirror: its answers when rows change, when it has older rows than its clients, and when it must
 * not answer. */

#include <string.h>

#include "kernel/paused.h"
#include "platform/mirror.h"
#include "platform/rows.h"
#include "suite.h"
#include "tests/fakes/row_store.h"

#define WAIT           (2 * KNL_SEC)
#define COALESCE_DELAY (100 * KNL_MSEC)
#define STEP           (10 * KNL_MSEC)
#define TEST_TIMEOUT_S 20

/* Length of a large value. Its answer is less than twice as long as text, and more than half as
 * long when packed. */
#define LARGE_BYTES ((gsize)256 << 10)

/* Time within which a change reaches the second follower, which follows the mirror. */
#define PROPAGATION_TIME (3 * COALESCE_DELAY)

/** A feed and the rows that it has delivered. */
typedef struct
{
  PlFeed *feed;
  GHashTable *seen; /* key -> value as text */
  PlMirror *mirror; /* notified of changes; NULL: none */
  guint n_lists;
  guint n_unavailable;
} Follower;

typedef struct
{
  struct event_base *base;
  struct event *test_timeout;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  HtClient *client;
  RowStore *rows;
  PlStore *store;
  PlStore *peer;  /* client of the mirror */
  PlStore *plain; /* client of the mirror that doesn't accept packed answers */
  PlMirror *mirror;
  Follower first;  /* follows the store */
  Follower second; /* follows the mirror */
} Fixture;

static void
on_test_timeout (evutil_socket_t fd, short what, void *data)
{
  g_error ("the test makes no progress");
}

static void
on_begin_list (gpointer data)
{
  Follower *self = data;

  self->n_lists++;
  g_hash_table_remove_all (self->seen);
}

static void
on_end_list (gpointer data)
{
}

static void
on_row (const PlRow *row, gpointer data)
{
  Follower *self = data;

  if (row->removed)
    g_hash_table_remove (self->seen, row->key);
  else
    g_hash_table_insert (self->seen, g_strdup (row->key),
                         g_strdup (json_string_value (json_object_get (row->value, "v"))));
}

static void
on_confirmed (KnlTime at, gpointer data)
{
  Follower *self = data;

  if (self->mirror != NULL)
    pl_mirror_notify (self->mirror);
}

static void
on_unavailable (gpointer data)
{
  ((Follower *)data)->n_unavailable++;
}

static const PlFeedEvents events = {
  .begin_list = on_begin_list,
  .end_list = on_end_list,
  .row = on_row,
  .confirmed = on_confirmed,
  .unavailable = on_unavailable,
};

static const PlFeedPace pace = { .wait = WAIT, .coalesce_delay = COALESCE_DELAY };

static void
follower_open (Follower *self, PlStore *store)
{
  self->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->feed = pl_feed_new (store, "t", &pace, &events, self);
}

static void
fixture_open (Fixture *self)
{
  static const HtLimits limits = { 16384, 1 << 20 };
  static guint port = 27000;
  struct timeval timeout = { .tv_sec = TEST_TIMEOUT_S };
  g_autofree char *address = NULL;

  *self = (Fixture){ .base = event_base_new (), .clock = knl_paused_clock_new () };
  self->test_timeout = evtimer_new (self->base, on_test_timeout, NULL);
  evtimer_add (self->test_timeout, &timeout);
  knl_paused_clock_advance (self->clock, 10 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 5);
  self->client = ht_client_new (self->kernel, self->base, &limits, 60 * KNL_SEC);
  self->rows = row_store_new (self->kernel, self->base);
  self->store = pl_store_new (self->kernel, self->client, row_store_address (self->rows));
  row_store_put (self->rows, "a", "{\"v\":\"1\"}");
  row_store_put (self->rows, "b", "{\"v\":\"1\"}");
  while (self->mirror == NULL)
    {
      g_free (address);
      address = g_strdup_printf ("127.0.0.1:%u", port++);
      self->mirror = pl_mirror_new (self->kernel, self->base, address);
    }
  self->peer = pl_store_new_peer (self->kernel, self->client, address);
  self->plain = pl_store_new (self->kernel, self->client, address);
  self->first.mirror = self->mirror;
  follower_open (&self->first, self->store);
  pl_mirror_add (self->mirror, "t", self->first.feed);
  follower_open (&self->second, self->peer);
}

static void
fixture_close (Fixture *self)
{
  pl_feed_free (self->second.feed);
  pl_mirror_free (self->mirror);
  pl_feed_free (self->first.feed);
  g_hash_table_unref (self->first.seen);
  g_hash_table_unref (self->second.seen);
  pl_store_free (self->peer);
  pl_store_free (self->plain);
  pl_store_free (self->store);
  ht_client_free (self->client);
  row_store_free (self->rows);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
  event_free (self->test_timeout);
  event_base_free (self->base);
}

/* Advances the clock in steps, and delivers everything sent within each step. */
static void
advance (Fixture *self, KnlTime time)
{
  for (KnlTime elapsed = 0; elapsed < time; elapsed += STEP)
    {
      for (guint iteration = 0; iteration < 20; iteration++)
        event_base_loop (self->base, EVLOOP_NONBLOCK);
      knl_paused_clock_advance (self->clock, STEP);
    }
}

static void
check_value (const Follower *self, const char *key, const char *value)
{
  CU_ASSERT_EQUAL (g_strcmp0 (g_hash_table_lookup (self->seen, key), value), 0);
}

/* The first request arrives before the mirror is opened, and waits. */
static void
test_changes_are_forwarded (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  pl_mirror_set_open (fixture.mirror, TRUE);
  advance (&fixture, PROPAGATION_TIME);
  check_value (&fixture.second, "a", "1");
  row_store_put (fixture.rows, "a", "{\"v\":\"2\"}");
  row_store_put (fixture.rows, "b", NULL);
  advance (&fixture, PROPAGATION_TIME);
  check_value (&fixture.second, "a", "2");
  check_value (&fixture.second, "b", NULL);
  /* Only one list was read from the store. */
  advance (&fixture, 3 * WAIT);
  CU_ASSERT_EQUAL (row_store_n_lists (fixture.rows), 1);
  CU_ASSERT_EQUAL (fixture.second.n_unavailable, 0);
  fixture_close (&fixture);
}

/*
 * Guards against all instances of a zone reading complete lists whenever the store no longer
 * retains its history. The instance that follows the store reads the list again; the mirror must
 * derive the changes between the two lists, rows missing in the second one included.
 */
static void
test_a_new_list_is_forwarded_as_changes (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  pl_mirror_set_open (fixture.mirror, TRUE);
  advance (&fixture, PROPAGATION_TIME);
  /* After a change the feed delays its next poll, so it doesn't receive the following changes. */
  row_store_put (fixture.rows, "a", "{\"v\":\"2\"}");
  advance (&fixture, STEP);
  row_store_put (fixture.rows, "b", NULL);
  row_store_put (fixture.rows, "c", "{\"v\":\"3\"}");
  row_store_truncate_history (fixture.rows);
  advance (&fixture, 2 * WAIT);
  CU_ASSERT_EQUAL (fixture.first.n_lists, 2);
  check_value (&fixture.second, "b", NULL);
  check_value (&fixture.second, "c", "3");
  CU_ASSERT_EQUAL (fixture.second.n_lists, 1);
  fixture_close (&fixture);
}

/*
 * Guards against an instance that switches between two mirrors hundreds of times a second: it has
 * an answer from one mirror and turns to another one, whose rows are older. That mirror refused the
 * request, although only later changes were requested.
 */
static void
test_client_with_newer_rows (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  pl_mirror_set_open (fixture.mirror, TRUE);
  advance (&fixture, PROPAGATION_TIME);
  /* Only the second feed receives the change. */
  pl_feed_set_source (fixture.second.feed, fixture.store);
  pl_feed_set_source (fixture.first.feed, fixture.peer);
  pl_mirror_set_open (fixture.mirror, FALSE);
  row_store_put (fixture.rows, "a", "{\"v\":\"2\"}");
  advance (&fixture, PROPAGATION_TIME);
  check_value (&fixture.second, "a", "2");
  check_value (&fixture.first, "a", "1");
  pl_mirror_set_open (fixture.mirror, TRUE);
  row_store_set_mode (fixture.rows, ROW_STORE_SILENT);
  pl_feed_set_source (fixture.first.feed, fixture.store);
  pl_feed_set_source (fixture.second.feed, fixture.peer);
  advance (&fixture, WAIT / 2);
  CU_ASSERT_EQUAL (fixture.second.n_unavailable, 0);
  check_value (&fixture.second, "a", "2");
  fixture_close (&fixture);
}

/*
 * Guards against two instances that follow each other and never receive a change: a mirror answered
 * requests although its own feeds don't follow the store.
 */
static void
test_mirror_not_following_the_store_refuses (void)
{
  Fixture fixture;

  fixture_open (&fixture);
  pl_mirror_set_open (fixture.mirror, TRUE);
  advance (&fixture, PROPAGATION_TIME);
  CU_ASSERT_EQUAL (fixture.second.n_unavailable, 0);
  pl_mirror_set_open (fixture.mirror, FALSE);
  advance (&fixture, STEP);
  /* The waiting request is refused at once too. */
  CU_ASSERT (fixture.second.n_unavailable > 0);
  fixture_close (&fixture);
}

/* Guards against a mirror that serves rows of another era as changes, or omits rows since it
 * compares versions of two eras. */
static void
test_an_era_passes_through_the_mirror (void)
{
  Fixture fixture;
  guint64 version;

  fixture_open (&fixture);
  row_store_set_era (fixture.rows, 1);
  pl_mirror_set_open (fixture.mirror, TRUE);
  advance (&fixture, PROPAGATION_TIME);
  version = row_store_version (fixture.rows);
  row_store_put (fixture.rows, "c", "{\"v\":\"lost\"}");
  advance (&fixture, PROPAGATION_TIME);
  check_value (&fixture.second, "c", "lost");
  row_store_restore (fixture.rows, version);
  row_store_put (fixture.rows, "a", "{\"v\":\"2\"}");
  advance (&fixture, 2 * WAIT);
  check_value (&fixture.second, "c", NULL);
  check_value (&fixture.second, "a", "2");
  CU_ASSERT_EQUAL (pl_feed_position (fixture.second.feed).era, PL_ERA_OFFSET + 2);
  fixture_close (&fixture);
}

/* Guards against an instance that accepts rows of an earlier era as confirmed. */
static void
test_a_mirror_of_an_older_era_answers_nothing (void)
{
  Fixture fixture;
  guint unavailable;

  fixture_open (&fixture);
  row_store_set_era (fixture.rows, 1);
  pl_mirror_set_open (fixture.mirror, TRUE);
  advance (&fixture, PROPAGATION_TIME);
  pl_store_note_era (fixture.peer, PL_ERA_OFFSET + 2);
  unavailable = fixture.second.n_unavailable;
  pl_feed_note_era (fixture.second.feed);
  row_store_put (fixture.rows, "a", "{\"v\":\"2\"}");
  advance (&fixture, 2 * WAIT);
  CU_ASSERT (fixture.second.n_unavailable > unavailable);
  check_value (&fixture.first, "a", "2");
  check_value (&fixture.second, "a", "1");
  fixture_close (&fixture);
}

/* A text that compresses poorly. */
static char *
dense_text (gsize length)
{
  GString *text = g_string_sized_new (length);

  for (guint32 state = 1; text->len < length; state = state * 1664525 + 1013904223)
    g_string_append_c (text, (char)('0' + (state >> 26)));
  for (char *at = text->str; *at != '\0'; at++)
    *at = *at == '\\' ? '/' : *at;
  return g_string_free (text, FALSE);
}

/* Guards against a configuration that the mirror never sends, so that all instances of the cell
 * read it from the store at once; and against one that takes the whole bandwidth of a narrow link.
 */
static void
test_answers_beyond_the_send_limit_are_refused (void)
{
  static const struct
  {
    gsize max_unsent;
    guint n_served; /* of the two clients */
  } rows[] = {
    { G_MAXSIZE, 2 }, { 4 * LARGE_BYTES, 2 }, { LARGE_BYTES, 1 }, { LARGE_BYTES / 2, 1 }, { 40, 1 },
  };
  g_autofree char *text = dense_text (LARGE_BYTES);
  g_autofree char *row = g_strdup_printf ("{\"v\":\"%s\"}", text);

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Fixture fixture;
      Follower third = { 0 };

      fixture_open (&fixture);
      follower_open (&third, fixture.peer);
      pl_mirror_set_open (fixture.mirror, TRUE);
      advance (&fixture, PROPAGATION_TIME);
      pl_mirror_set_max_unsent (fixture.mirror, rows[i].max_unsent);
      row_store_put (fixture.rows, "a", row);
      advance (&fixture, PROPAGATION_TIME);
      CU_ASSERT_EQUAL ((fixture.second.n_unavailable == 0) + (third.n_unavailable == 0),
                       rows[i].n_served);
      /* A refused client turns to the store. */
      pl_feed_set_source (fixture.second.feed, fixture.store);
      pl_feed_set_source (third.feed, fixture.store);
      advance (&fixture, PROPAGATION_TIME);
      check_value (&fixture.second, "a", text);
      check_value (&third, "a", text);
      pl_feed_free (third.feed);
      g_hash_table_unref (third.seen);
      fixture_close (&fixture);
    }
}

/* Guards against packed answers to instances of an earlier release, which can't unpack them. */
static void
test_clients_without_packing_get_text (void)
{
  g_autofree char *text = dense_text (LARGE_BYTES);
  g_autofree char *row = g_strdup_printf ("{\"v\":\"%s\"}", text);
  Follower third = { 0 };
  Fixture fixture;

  fixture_open (&fixture);
  follower_open (&third, fixture.plain);
  pl_mirror_set_open (fixture.mirror, TRUE);
  advance (&fixture, PROPAGATION_TIME);
  row_store_put (fixture.rows, "a", row);
  advance (&fixture, PROPAGATION_TIME);
  check_value (&fixture.second, "a", text);
  check_value (&third, "a", text);
  CU_ASSERT (pl_feed_last_answer (fixture.second.feed).transfer.bytes
             < pl_feed_last_answer (third.feed).transfer.bytes);
  pl_feed_free (third.feed);
  g_hash_table_unref (third.seen);
  fixture_close (&fixture);
}

static void
put_row (PlRows *rows, const char *key, guint64 version)
{
  g_autofree char *text = g_strdup_printf ("{\"key\":\"%s\"}", key);
  PlAnswerRow row = { .key = (char *)key,
                      .version = version,
                      .text = g_bytes_new (text, strlen (text)) };

  pl_rows_put (rows, &row);
  g_bytes_unref (row.text);
}

/*
 * Guards against a cell that polls one mirror hundreds of times a second. While
 * the mirror reads a list of several pages again, rows of the first pages were
 * treated as changes to answer with, although rows are served only after the
 * last page.
 */
static void
test_pages_of_a_list (void)
{
  PlRows *rows = pl_rows_new ();

  put_row (rows, "a", 3);
  pl_rows_set_position (rows, (SvPosition){ .version = 3 });
  CU_ASSERT_TRUE (pl_rows_changed (rows, 2));
  pl_rows_begin_list (rows);
  put_row (rows, "b", 9);
  CU_ASSERT_FALSE (pl_rows_changed (rows, 3));
  pl_rows_end_list (rows, (SvPosition){ .version = 9 });
  CU_ASSERT_TRUE (pl_rows_changed (rows, 3));
  CU_ASSERT_FALSE (pl_rows_changed (rows, 9));
  pl_rows_free (rows);
}

/* Number of kinds of steps, such as a write or an outage, and length of the sequences of steps. All
 * possible sequences are tried. */
#define WALK_EVENTS 6
#define WALK_STEPS  4

typedef struct
{
  Fixture fixture;
  guint64 copy; /* version to which the store is restored */
  guint n_written;
  gboolean is_unavailable;
} Walk;

static void
walk_write (Walk *self)
{
  g_autofree char *json = g_strdup_printf ("{\"v\":\"w%u\"}", self->n_written++);

  row_store_put (self->fixture.rows, "a", json);
}

static void
walk_remove (Walk *self)
{
  row_store_put (self->fixture.rows, "b", NULL);
}

static void
walk_copy (Walk *self)
{
  self->copy = row_store_version (self->fixture.rows);
}

static void
walk_restore (Walk *self)
{
  row_store_restore (self->fixture.rows, self->copy);
}

static void
walk_toggle_outage (Walk *self)
{
  self->is_unavailable = !self->is_unavailable;
  row_store_set_mode (self->fixture.rows,
                      self->is_unavailable ? ROW_STORE_DROPS : ROW_STORE_SERVES);
}

static void
walk_wait (Walk *self)
{
  advance (&self->fixture, 30 * STEP);
}

static void
check_follower (const Walk *self, const Follower *follower, const char *key)
{
  const char *json = row_store_value (self->fixture.rows, key);
  const char *seen = g_hash_table_lookup (follower->seen, key);
  g_autofree char *expected = seen != NULL ? g_strdup_printf ("{\"v\":\"%s\"}", seen) : NULL;

  CU_ASSERT_EQUAL (g_strcmp0 (json, expected), 0);
}

static void
walk (guint order)
{
  static void (*const steps[WALK_EVENTS]) (Walk *) = {
    walk_write, walk_remove, walk_copy, walk_restore, walk_toggle_outage, walk_wait,
  };
  Walk self = { 0 };

  fixture_open (&self.fixture);
  row_store_set_era (self.fixture.rows, 1);
  pl_mirror_set_open (self.fixture.mirror, TRUE);
  advance (&self.fixture, PROPAGATION_TIME);
  self.copy = row_store_version (self.fixture.rows);
  for (guint i = 0; i < WALK_STEPS; i++)
    {
      steps[order % WALK_EVENTS](&self);
      advance (&self.fixture, STEP);
      order /= WALK_EVENTS;
    }
  row_store_set_mode (self.fixture.rows, ROW_STORE_SERVES);
  advance (&self.fixture, 2 * WAIT);
  check_follower (&self, &self.fixture.first, "a");
  check_follower (&self, &self.fixture.first, "b");
  check_follower (&self, &self.fixture.second, "a");
  check_follower (&self, &self.fixture.second, "b");
  fixture_close (&self.fixture);
}

/* Guards against an order of writes, copies, restorations and outages after which the followers'
 * rows differ from the store's. */
static void
test_any_order_of_events (void)
{
  guint orders = 1;

  for (guint i = 0; i < WALK_STEPS; i++)
    orders *= WALK_EVENTS;
  for (guint order = 0; order < orders; order++)
    walk (order);
}

static const SuiteCase cases[] = {
  { "pages of a list", test_pages_of_a_list },
  { "changes are forwarded", test_changes_are_forwarded },
  { "a new list is forwarded as changes", test_a_new_list_is_forwarded_as_changes },
  { "a client may have newer rows than the mirror", test_client_with_newer_rows },
  { "a mirror that does not follow the store refuses requests",
    test_mirror_not_following_the_store_refuses },
  { "answers beyond the send limit are refused", test_answers_beyond_the_send_limit_are_refused },
  { "clients that accept no packing get text", test_clients_without_packing_get_text },
  { "an era passes through the mirror", test_an_era_passes_through_the_mirror },
  { "a mirror of an older era answers nothing", test_a_mirror_of_an_older_era_answers_nothing },
  { "rows are equal after any order of events", test_any_order_of_events },
};

SUITE_MAIN ("pl_mirror", cases)
