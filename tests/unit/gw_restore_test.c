/** Instances that start right after the store has come back from an older copy. */

#include <string.h>

#include "suite.h"
#include "tests/fakes/gateway_fleet.h"
#include "tests/fakes/scripted_endpoint.h"

#define SETTLE_TIME (3 * KNL_SEC)

/* After this time no instance may take a key that was withdrawn. */
#define WITHDRAWAL_TIME (5 * KNL_SEC)

/* Time after its return until the store has the newest configuration again. */
#define WRITTEN_AGAIN_AFTER (1 * KNL_SEC)

#define ASK_INTERVAL (10 * KNL_MSEC)

/* Time within which an instance that starts serves callers. */
#define START_TIME (1 * KNL_SEC)

/* The same where an instance would wait for others that could know of lost configurations. */
#define LONE_START_TIME (3 * KNL_SEC)

/* By then instances have noticed that the store was restored, and written what they know. */
#define REWRITE_TIME (3 * KNL_SEC)

static const ScriptedAnswer good = { "HTTP/1.1 200 OK\r\nX-Attempt-Id: %ID\r\nX-Server-Stamp: s\r\n"
                                     "Content-Length: 4\r\n\r\ngood",
                                     FALSE };

typedef struct
{
  GfFleet fleet;
  HtClient *client;
  ScriptedEndpoint *endpoint;
  guint n_asked;
  guint n_served;
} Fixture;

static HtHeadVerdict
on_head (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  return HT_HEAD_ACCEPT;
}

static void
on_done (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  ((Fixture *)data)->n_served += answer->status == 200;
}

static void
on_failed (HtExchange *exchange, HtFailure failure, gpointer data)
{
}

static const HtExchangeEvents ask_events = { .head = on_head,
                                             .done = on_done,
                                             .failed = on_failed };

static void
ask (Fixture *self, guint instance, const char *key)
{
  g_autofree char *head = g_strdup_printf ("GET /a/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a%u\r\n"
                                           "X-Deadline-Ms: 2000\r\nAuthorization: Bearer %s\r\n",
                                           ++self->n_asked, key);
  HtExchangeRequest request = {
    .address = self->fleet.instances[instance].gateway.boot->callers_address,
    .head = head,
    .connect_timeout = KNL_SEC,
  };

  ht_client_send (self->client, &request, &ask_events, self);
}

/* Sends requests with the key to the instances from `first` on. Returns how many were served. */
static guint
run (Fixture *self, guint first, const char *key, KnlTime time)
{
  self->n_served = 0;
  for (KnlTime passed = 0; passed < time; passed += ASK_INTERVAL)
    {
      for (guint i = first; i < self->fleet.size.n_instances; i++)
        {
          if (self->fleet.instances[i].is_running)
            ask (self, i, key);
        }
      gf_fleet_advance (&self->fleet, ASK_INTERVAL);
    }
  return self->n_served;
}

/* No instance runs yet. */
static void
fixture_open (Fixture *self, const GfSize *size)
{
  static const HtLimits limits = { 16384, 1 << 20 };
  g_autofree char *row = NULL;

  *self = (Fixture){ 0 };
  gf_fleet_open (&self->fleet, size);
  row_store_set_era (self->fleet.store, 0);
  self->client = ht_client_new (self->fleet.kernel, self->fleet.base, &limits, KNL_SEC);
  self->endpoint = scripted_endpoint_new (self->fleet.base, &good, 1);
  row = g_strdup_printf ("{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z0\","
                         "\"state\":\"ready\",\"slots\":100}",
                         scripted_endpoint_address (self->endpoint));
  row_store_put_in (self->fleet.store, PL_ENDPOINT_TABLE, "i-0", row);
  gf_fleet_put_config (&self->fleet, 3, "withdrawn");
}

/* Starts the first `n` instances. */
static void
start (Fixture *self, guint n)
{
  for (guint i = 0; i < n; i++)
    gf_fleet_start (&self->fleet, i);
  gf_fleet_settle (&self->fleet, SETTLE_TIME);
  gf_fleet_advance (&self->fleet, SETTLE_TIME);
}

static void
kill_from (Fixture *self, guint first)
{
  for (guint i = first; i < self->fleet.size.n_instances; i++)
    {
      if (self->fleet.instances[i].is_running)
        gf_fleet_kill (&self->fleet, i);
    }
}

static void
fixture_close (Fixture *self)
{
  ht_client_free (self->client);
  scripted_endpoint_free (self->endpoint);
  gf_fleet_close (&self->fleet);
}

/* The key is withdrawn. Returns the version of the store before. */
static guint64
withdraw (Fixture *self)
{
  guint64 copy = row_store_version (self->fleet.store);

  gf_fleet_put_config (&self->fleet, 5, "key");
  gf_fleet_advance (&self->fleet, WITHDRAWAL_TIME);
  return copy;
}

typedef struct
{
  GfSize size;
  guint n_late;                /* the last instances, which start after the restoration */
  gboolean are_added;          /* these never ran before; else they were killed */
  guint n_further;             /* restorations that follow the first */
  KnlTime start_after;         /* the store's return */
  KnlTime away;                /* time for which the store still refuses when they start */
  KnlTime written_again_after; /* their start; 0: WRITTEN_AGAIN_AFTER */
} Row;

static const Row rows[] = {
  { { .n_instances = 2, .n_zones = 1 }, .n_late = 1 },
  { { .n_instances = 3, .n_zones = 3 }, .n_late = 1 },
  { { .n_instances = 12, .n_zones = 2 }, .n_late = 1 },
  { { .n_instances = 4, .n_zones = 1 }, .n_late = 2 },
  { { .n_instances = 9, .n_zones = 3 }, .n_late = 5 },
  { { .n_instances = 3, .n_zones = 3 }, .n_late = 1, .are_added = TRUE },
  { { .n_instances = 4, .n_zones = 3 }, .n_late = 1, .are_added = TRUE },
  { { .n_instances = 14, .n_zones = 2 }, .n_late = 2, .are_added = TRUE },
  { { .n_instances = 11, .n_zones = 3 }, .n_late = 5, .are_added = TRUE },
  { { .n_instances = 8, .n_zones = 3, .is_first_start = TRUE }, .n_late = 2, .are_added = TRUE },
  { { .n_instances = 8, .n_zones = 3 }, .n_late = 2, .n_further = 1 },
  { { .n_instances = 8, .n_zones = 3 }, .n_late = 2, .away = 300 * KNL_MSEC },
  { { .n_instances = 8, .n_zones = 3 }, .n_late = 2, .away = 1500 * KNL_MSEC },
  { { .n_instances = 8, .n_zones = 3 }, .n_late = 2, .start_after = 600 * KNL_MSEC },
  { { .n_instances = 8, .n_zones = 3 }, .n_late = 2, .start_after = 2 * KNL_SEC },
  { { .n_instances = 8, .n_zones = 3 }, .n_late = 2, .written_again_after = 6 * KNL_SEC },
  { { .n_instances = 3, .n_zones = 3 }, .n_late = 1, .written_again_after = 6 * KNL_SEC },
};

static void
restore (Fixture *self, const Row *row, guint64 copy)
{
  row_store_restore (self->fleet.store, copy);
  for (guint i = 0; i < row->n_further; i++)
    {
      gf_fleet_advance (&self->fleet, 300 * KNL_MSEC);
      row_store_restore (self->fleet.store, copy);
    }
}

static void
start_late (Fixture *self, const Row *row)
{
  guint first = row->size.n_instances - row->n_late;

  if (row->away > 0)
    row_store_set_mode (self->fleet.store, ROW_STORE_REFUSES);
  gf_fleet_advance (&self->fleet, row->start_after);
  for (guint i = first; i < row->size.n_instances; i++)
    gf_fleet_start (&self->fleet, i);
  CU_ASSERT_EQUAL (run (self, first, "withdrawn", row->away), 0);
  row_store_set_mode (self->fleet.store, ROW_STORE_SERVES);
}

static void
play (const Row *row)
{
  guint first = row->size.n_instances - row->n_late;
  KnlTime lost_for = row->written_again_after > 0 ? row->written_again_after : WRITTEN_AGAIN_AFTER;
  Fixture fixture;
  guint64 copy;

  fixture_open (&fixture, &row->size);
  start (&fixture, row->are_added ? first : row->size.n_instances);
  kill_from (&fixture, first);
  copy = withdraw (&fixture);
  restore (&fixture, row, copy);
  start_late (&fixture, row);
  CU_ASSERT_EQUAL (run (&fixture, first, "withdrawn", lost_for), 0);
  gf_fleet_put_config (&fixture.fleet, 5, "key");
  CU_ASSERT_EQUAL (run (&fixture, first, "withdrawn", WRITTEN_AGAIN_AFTER), 0);
  CU_ASSERT (run (&fixture, row->size.n_instances - 1, "key", START_TIME) > 0);
  fixture_close (&fixture);
}

/* Guards against an instance that starts, finds an older configuration in the store, and takes a
 * key that its peers refuse. */
static void
test_peers_are_asked_at_the_start (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    play (&rows[i]);
}

/* Guards against an instance that hears no peer, and takes a key that the others refuse. */
static void
test_watermarks_reach_those_that_hear_nobody (void)
{
  static const GfSize sizes[] = {
    { .n_instances = 3, .n_zones = 1 },
    { .n_instances = 4, .n_zones = 4 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      guint last = sizes[i].n_instances - 1;
      Fixture fixture;
      guint64 copy;

      fixture_open (&fixture, &sizes[i]);
      start (&fixture, last);
      copy = withdraw (&fixture);
      row_store_restore (fixture.fleet.store, copy);
      gf_fleet_advance (&fixture.fleet, REWRITE_TIME);
      kill_from (&fixture, 0);
      gf_fleet_start (&fixture.fleet, last);
      CU_ASSERT_EQUAL (run (&fixture, last, "withdrawn", 2 * LONE_START_TIME), 0);
      gf_fleet_put_config (&fixture.fleet, 5, "key");
      CU_ASSERT (run (&fixture, last, "key", START_TIME) > 0);
      fixture_close (&fixture);
    }
}

typedef struct
{
  GfSize size;
  guint n_restorations;
  KnlTime limit; /* within which all serve that were killed at once */
} RestartRow;

static const RestartRow restart_rows[] = {
  { { .n_instances = 1, .n_zones = 1 }, 0, START_TIME },
  { { .n_instances = 2, .n_zones = 1 }, 0, START_TIME },
  { { .n_instances = 3, .n_zones = 3 }, 0, START_TIME },
  { { .n_instances = 12, .n_zones = 2 }, 0, START_TIME },
  { { .n_instances = 1, .n_zones = 1 }, 1, LONE_START_TIME },
  { { .n_instances = 3, .n_zones = 3 }, 1, LONE_START_TIME },
  { { .n_instances = 12, .n_zones = 2 }, 1, LONE_START_TIME },
};

/* Guards against instances that refuse callers for long after their start, as no peer has anything
 * to tell: all were restarted. */
static void
test_restarted_instances_serve_without_a_word (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (restart_rows); i++)
    {
      const RestartRow *row = &restart_rows[i];
      Fixture fixture;

      fixture_open (&fixture, &row->size);
      start (&fixture, row->size.n_instances);
      kill_from (&fixture, 0);
      gf_fleet_advance (&fixture.fleet, ASK_INTERVAL);
      for (guint j = 0; j < row->n_restorations; j++)
        row_store_restore (fixture.fleet.store, row_store_version (fixture.fleet.store));
      gf_fleet_start_all (&fixture.fleet, 0);
      gf_fleet_advance (&fixture.fleet, row->limit);
      CU_ASSERT_EQUAL (gf_fleet_n_unready (&fixture.fleet), 0);
      CU_ASSERT (run (&fixture, 0, "withdrawn", ASK_INTERVAL) > 0);
      fixture_close (&fixture);
    }
}

/* Guards against a system that serves late when it starts for the first time, as its instances wait
 * for others that could know more. */
static void
test_first_start (void)
{
  static const GfSize sizes[] = {
    { .n_instances = 1, .n_zones = 1, .is_first_start = TRUE },
    { .n_instances = 3, .n_zones = 3, .is_first_start = TRUE },
    { .n_instances = 12, .n_zones = 2, .is_first_start = TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      Fixture fixture;

      fixture_open (&fixture, &sizes[i]);
      gf_fleet_start_all (&fixture.fleet, 0);
      gf_fleet_advance (&fixture.fleet, START_TIME);
      CU_ASSERT_EQUAL (gf_fleet_n_unready (&fixture.fleet), 0);
      fixture_close (&fixture);
    }
}

static const SuiteCase cases[] = {
  { "peers are asked at the start", test_peers_are_asked_at_the_start },
  { "watermarks reach those that hear nobody", test_watermarks_reach_those_that_hear_nobody },
  { "restarted instances serve without a word", test_restarted_instances_serve_without_a_word },
  { "first start", test_first_start },
};

SUITE_MAIN ("gw_restore", cases)
