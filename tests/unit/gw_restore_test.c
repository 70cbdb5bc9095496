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

/* Sends requests with the key to the instance. Returns how many were served. */
static guint
run (Fixture *self, guint instance, const char *key, KnlTime time)
{
  self->n_served = 0;
  for (KnlTime passed = 0; passed < time; passed += ASK_INTERVAL)
    {
      ask (self, instance, key);
      gf_fleet_advance (&self->fleet, ASK_INTERVAL);
    }
  return self->n_served;
}

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
  gf_fleet_start_all (&self->fleet, 0);
  gf_fleet_settle (&self->fleet, SETTLE_TIME);
  gf_fleet_advance (&self->fleet, SETTLE_TIME);
}

static void
fixture_close (Fixture *self)
{
  ht_client_free (self->client);
  scripted_endpoint_free (self->endpoint);
  gf_fleet_close (&self->fleet);
}

/* The key is withdrawn, and the store comes back from a copy of before. */
static void
lose_withdrawal (Fixture *self)
{
  guint64 copy = row_store_version (self->fleet.store);

  gf_fleet_put_config (&self->fleet, 5, "key");
  gf_fleet_advance (&self->fleet, WITHDRAWAL_TIME);
  row_store_restore (self->fleet.store, copy);
}

typedef struct
{
  GfSize size;
  guint n_killed; /* the last ones */
} Row;

static const GfSize sizes[] = {
  { .n_instances = 2, .n_zones = 1 },
  { .n_instances = 3, .n_zones = 3 },
  { .n_instances = 12, .n_zones = 2 },
};

static const Row rows[] = {
  { { .n_instances = 2, .n_zones = 1 }, 1 },  { { .n_instances = 3, .n_zones = 3 }, 1 },
  { { .n_instances = 12, .n_zones = 2 }, 1 }, { { .n_instances = 4, .n_zones = 1 }, 2 },
  { { .n_instances = 9, .n_zones = 3 }, 5 },
};

/* Guards against an instance that starts, finds an older configuration in the store, and takes a
 * key that its peers refuse. */
static void
test_peers_are_asked_at_the_start (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      guint n = rows[i].size.n_instances;
      guint first = n - rows[i].n_killed;
      Fixture fixture;

      fixture_open (&fixture, &rows[i].size);
      for (guint j = first; j < n; j++)
        gf_fleet_kill (&fixture.fleet, j);
      lose_withdrawal (&fixture);
      for (guint j = first; j < n; j++)
        gf_fleet_start (&fixture.fleet, j);
      CU_ASSERT_EQUAL (run (&fixture, first, "withdrawn", WRITTEN_AGAIN_AFTER), 0);
      gf_fleet_put_config (&fixture.fleet, 5, "key");
      CU_ASSERT_EQUAL (run (&fixture, n - 1, "withdrawn", WRITTEN_AGAIN_AFTER), 0);
      CU_ASSERT (run (&fixture, n - 1, "key", START_TIME) > 0);
      fixture_close (&fixture);
    }
}

/* Guards against instances that refuse callers for long after their start, as no peer has anything
 * to tell: all were restarted. */
static void
test_restarted_instances_serve_without_a_word (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      Fixture fixture;

      fixture_open (&fixture, &sizes[i]);
      for (guint j = 0; j < sizes[i].n_instances; j++)
        gf_fleet_kill (&fixture.fleet, j);
      gf_fleet_advance (&fixture.fleet, ASK_INTERVAL);
      gf_fleet_start_all (&fixture.fleet, 0);
      CU_ASSERT (run (&fixture, 0, "withdrawn", START_TIME) > 0);
      fixture_close (&fixture);
    }
}

static const SuiteCase cases[] = {
  { "peers are asked at the start", test_peers_are_asked_at_the_start },
  { "restarted instances serve without a word", test_restarted_instances_serve_without_a_word },
};

SUITE_MAIN ("gw_restore", cases)
