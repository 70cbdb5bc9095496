/** Whole instances and endpoints that come back cold. */

#include <string.h>

#include "suite.h"
#include "tests/fakes/gateway_fleet.h"

#define START_TIME (3 * KNL_SEC)
#define STEP       (4 * KNL_MSEC)

/* Requests a second that a cold endpoint takes, and those that it may get in any second. */
#define RATE  17
#define BOUND (1.5 * RATE + 5)

#define COLD_TIME    (4 * KNL_SEC)
#define ROW_INTERVAL (400 * KNL_MSEC)

/* Endpoints of all zones are the same, those of zone z0 are cold. */
#define ENDPOINTS 6
#define ZONES     3

static const GfSize size = { .n_instances = 42, .n_zones = ZONES, .n_endpoints = ENDPOINTS };

typedef struct
{
  GfFleet fleet;
  GArray *sends[ENDPOINTS]; /* KnlTime */
  KnlTime now;              /* since the endpoints are cold */
} Run;

static void
put_config (GfFleet *fleet)
{
  row_store_put_in (
      fleet->store, PL_CONFIG_TABLE, PL_CONFIG_KEY,
      "{\"version\":2,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"prefix\":\"/a/\","
      "\"routeKind\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":100,\"service\":\"s\"}],"
      "\"services\":[{\"name\":\"s\",\"coldStartS\":4,\"coldPerS\":17}],"
      "\"tenants\":[{\"name\":\"w\",\"apiKeys\":[\"k\"]}]}");
}

static gboolean
is_cold_one (guint endpoint)
{
  return endpoint % ZONES == 0;
}

/* A cold endpoint writes its row with each of its heartbeats. */
static void
put_cold_rows (Run *self)
{
  for (guint i = 0; i < ENDPOINTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", i);
      g_autofree char *text = g_strdup_printf (
          "{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z0\",\"state\":\"ready\","
          "\"slots\":8,\"coldLeftMs\":%" G_GINT64_FORMAT "}",
          (COLD_TIME - self->now) / KNL_MSEC);

      if (is_cold_one (i))
        row_store_put_in (self->fleet.store, PL_ENDPOINT_TABLE, id, text);
    }
}

static guint
endpoint_number (const SvEndpoint *endpoint)
{
  return (guint)g_ascii_strtoull (endpoint->id + strlen ("i-"), NULL, 10);
}

/* The instance sends all that it may to endpoints that it knows to be cold. */
static void
send_all (Run *self, const GfInstance *instance)
{
  static const SvLoad one = { .calls = 1 };
  const SvFleet *fleet = instance->gateway.fleet;
  KnlTime now = knl_kernel_now (instance->gateway.process.kernel);

  for (guint i = 0; i < sv_fleet_all (fleet)->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (sv_fleet_all (fleet), i);

      while (sv_endpoint_is_cold (endpoint, now)
             && sv_endpoint_wait_time (fleet, endpoint, now) <= 0)
        {
          sv_endpoint_charge (endpoint, &one, 1);
          g_array_append_val (self->sends[endpoint_number (endpoint)], now);
        }
    }
}

static void
run_until (Run *self, KnlTime until)
{
  for (; self->now < until; self->now += STEP)
    {
      if (self->now % ROW_INTERVAL == 0)
        put_cold_rows (self);
      for (guint i = 0; i < size.n_instances; i++)
        if (self->fleet.instances[i].is_running)
          send_all (self, &self->fleet.instances[i]);
      gf_fleet_advance (&self->fleet, STEP);
    }
}

static void
run_open (Run *self)
{
  memset (self, 0, sizeof *self);
  for (guint i = 0; i < ENDPOINTS; i++)
    self->sends[i] = g_array_new (FALSE, FALSE, sizeof (KnlTime));
  gf_fleet_open (&self->fleet, &size);
  put_config (&self->fleet);
  gf_fleet_start_all (&self->fleet, 0);
  gf_fleet_settle (&self->fleet, START_TIME);
  gf_fleet_advance (&self->fleet, START_TIME);
}

static void
run_close (Run *self)
{
  gf_fleet_close (&self->fleet);
  for (guint i = 0; i < ENDPOINTS; i++)
    g_array_unref (self->sends[i]);
}

static guint
max_in_second (const GArray *sends)
{
  guint max_count = 0;
  guint first = 0;

  for (guint i = 0; i < sends->len; i++)
    {
      while (g_array_index (sends, KnlTime, i) - g_array_index (sends, KnlTime, first) >= KNL_SEC)
        first++;
      max_count = MAX (max_count, i + 1 - first);
    }
  return max_count;
}

static void
check (const Run *self, guint min_count)
{
  for (guint i = 0; i < ENDPOINTS; i++)
    {
      CU_ASSERT (max_in_second (self->sends[i]) <= BOUND);
      CU_ASSERT (self->sends[i]->len >= (is_cold_one (i) ? min_count : 0));
    }
}

/* Guards against instances that all send at once when a zone's endpoints come back cold, and
 * against endpoints that get less than they take although callers wait. */
static void
test_a_zone_comes_back_cold (void)
{
  Run run;

  run_open (&run);
  run_until (&run, COLD_TIME - ROW_INTERVAL);
  check (&run, (guint)(0.85 * RATE * (COLD_TIME - ROW_INTERVAL) / KNL_SEC));
  run_close (&run);
}

/* Guards against instances that start while endpoints are cold and send before they know the
 * others, or as ones that were there before. */
static void
test_instances_restart_while_endpoints_are_cold (void)
{
  Run run;

  run_open (&run);
  for (guint i = 0; i < size.n_instances; i += 2)
    {
      run_until (&run, (KnlTime)(300 + 80 * i) * KNL_MSEC);
      gf_fleet_kill (&run.fleet, i);
      if (i >= 6)
        gf_fleet_start (&run.fleet, i - 6);
    }
  run_until (&run, COLD_TIME - ROW_INTERVAL);
  check (&run, 1);
  run_close (&run);
}

/* Guards against instances that each send all that a cold endpoint takes, as none has found the
 * others: the rows by which they do can't be read. */
static void
test_instances_that_find_nobody_send_nothing (void)
{
  Run run;

  run_open (&run);
  row_store_set_table_mode (run.fleet.store, PL_CELL_TABLE, ROW_STORE_REFUSES);
  for (guint i = 0; i < size.n_instances; i++)
    gf_fleet_kill (&run.fleet, i);
  gf_fleet_start_all (&run.fleet, 0);
  gf_fleet_advance (&run.fleet, START_TIME);
  run_until (&run, COLD_TIME - ROW_INTERVAL);
  check (&run, 0);
  run_close (&run);
}

static const SuiteCase cases[] = {
  { "a zone comes back cold", test_a_zone_comes_back_cold },
  { "instances restart while endpoints are cold", test_instances_restart_while_endpoints_are_cold },
  { "instances that find nobody send nothing", test_instances_that_find_nobody_send_nothing },
};

SUITE_MAIN ("gw_cold", cases)
