/** Placement is stable and matches the declared numbers; only the lease holder sends orders. */

#include "controller/order.h"
#include "daemons.h"
#include "suite.h"
#include "tests/fakes/memory_engine.h"

#include <string.h>

#define MAX_ENGINES 64

typedef struct
{
  CoConfig *config;
  GPtrArray *view;
  Alderturn__Member members[MAX_ENGINES];
  char names[MAX_ENGINES][16];
} Fleet;

static void
set_service (CoConfig *config, guint64 revision, const char *name, const char *fields)
{
  Alderturn__ConfigChange change = ALDERTURN__CONFIG_CHANGE__INIT;
  Alderturn__ConfigChange *changes[] = { &change };
  Alderturn__ConfigPush push = ALDERTURN__CONFIG_PUSH__INIT;

  change.revision = revision;
  change.kind = "service";
  change.name = (char *)name;
  change.fields = (char *)fields;
  push.from_revision = revision - 1;
  push.revision = revision;
  push.changes = changes;
  push.n_changes = 1;
  co_config_apply (config, &push);
}

static void
fleet_init (Fleet *fleet, guint n)
{
  fleet->config = co_config_new ();
  fleet->view = g_ptr_array_new ();
  for (guint i = 0; i < n; i++)
    {
      g_snprintf (fleet->names[i], sizeof (fleet->names[i]), "engine-%02u", i);
      alderturn__member__init (&fleet->members[i]);
      fleet->members[i].name = fleet->names[i];
      fleet->members[i].kind = ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE;
      fleet->members[i].service = "gpu";
      fleet->members[i].state = ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE;
      g_ptr_array_add (fleet->view, &fleet->members[i]);
    }
}

static void
fleet_clear (Fleet *fleet)
{
  g_ptr_array_free (fleet->view, TRUE);
  co_config_free (fleet->config);
}

/* The number of engines placed for `service` in `role`; NULL: in any role. */
static guint
count_placed (GHashTable *placed, const char *service, const char *role)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, placed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CtPlaced *placed_engine = value;

      if (strcmp (placed_engine->service, service) == 0
          && (role == NULL || strcmp (placed_engine->role, role) == 0))
        count++;
    }
  return count;
}

#define SERVICE(model, engines, long_share)                                                        \
  "{\"kind\":\"model\",\"endpoints\":\"gpu\",\"model\":\"" model "\",\"engines\":" engines         \
  ",\"long-share\":" long_share "}"

static void
test_placement_by_table (void)
{
  static const struct
  {
    guint engines;
    const char *a;
    const char *b;
    guint in_a;
    guint long_a;
    guint in_b;
  } rows[] = {
    { 20, SERVICE ("m", "12", "0.25"), SERVICE ("n", "0", "0"), 12, 3, 8 },
    { 20, SERVICE ("m", "0", "0.3"), SERVICE ("n", "15", "0"), 5, 2, 15 },
    { 4, SERVICE ("m", "9", "0.01"), SERVICE ("n", "9", "0"), 4, 1, 0 },
    { 1, SERVICE ("m", "0", "0.3"), SERVICE ("n", "0", "0"), 1, 0, 0 },
    { 2, SERVICE ("m", "0", "1"), SERVICE ("n", "0", "0"), 2, 2, 0 },
    { 0, SERVICE ("m", "0", "0.3"), SERVICE ("n", "0", "0"), 0, 0, 0 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Fleet fleet;
      GHashTable *placed;

      fleet_init (&fleet, rows[i].engines);
      set_service (fleet.config, 1, "a", rows[i].a);
      set_service (fleet.config, 2, "b", rows[i].b);
      placed = ct_placement_new (fleet.config, fleet.view);
      CU_ASSERT_EQUAL (count_placed (placed, "a", NULL), rows[i].in_a);
      CU_ASSERT_EQUAL (count_placed (placed, "a", "long"), rows[i].long_a);
      CU_ASSERT_EQUAL (count_placed (placed, "b", NULL), rows[i].in_b);
      g_hash_table_destroy (placed);
      fleet_clear (&fleet);
    }
}

static void
test_removing_an_engine_moves_few_others (void)
{
  Fleet fleet;
  GHashTable *before;
  guint moved = 0;

  fleet_init (&fleet, 40);
  set_service (fleet.config, 1, "a", SERVICE ("m", "15", "0.3"));
  set_service (fleet.config, 2, "b", SERVICE ("n", "10", "0.3"));
  set_service (fleet.config, 3, "c", SERVICE ("o", "0", "0.3"));
  before = ct_placement_new (fleet.config, fleet.view);
  for (guint removed = 0; removed < 40; removed++)
    {
      GHashTable *after;

      fleet.members[removed].state = ALDERTURN__MEMBER_STATE__MEMBER_STATE_LEAVING;
      after = ct_placement_new (fleet.config, fleet.view);
      CU_ASSERT_PTR_NULL (g_hash_table_lookup (after, fleet.names[removed]));
      for (guint i = 0; i < 40; i++)
        {
          const CtPlaced *x = g_hash_table_lookup (before, fleet.names[i]);
          const CtPlaced *y = g_hash_table_lookup (after, fleet.names[i]);

          moved += i != removed && strcmp (x->service, y->service) != 0 ? 1 : 0;
        }
      fleet.members[removed].state = ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE;
      g_hash_table_destroy (after);
    }
  /* At most two moves for each of the 15 engines of "a", as an engine of "b" may replace it and be
     replaced by one of "c"; at most one move for each of the 10 engines of "b". */
  CU_ASSERT_TRUE (moved <= 15 * 2 + 10);
  g_hash_table_destroy (before);
  fleet_clear (&fleet);
}

typedef struct
{
  Daemons daemons;
  FkFleet *fleet;
  EpClient *client;
  CoLeases *leases;
  CtOrders orders;
  CtOrder *order;
} Sender;

static void
sender_init (Sender *sender, gboolean checks_fence)
{
  static const char *const names[] = { "c1" };
  SdEngineSettings settings = sd_engine_defaults;
  CoLeasesOptions leases = { .name = "c1", .incarnation = 1, .n_shards = 1 };

  *sender = (Sender){ 0 };
  daemons_init (&sender->daemons, 1, 1);
  sender->fleet = fk_fleet_new (sender->daemons.clock);
  settings.checks_fence = checks_fence;
  fk_fleet_add_engine (sender->fleet, "10.1.0.1:80", &settings);
  sender->client = fk_fleet_client_new (sender->fleet, sender->daemons.kernels[0]);
  leases.kernel = sender->daemons.kernels[0];
  leases.platform = sender->daemons.platforms[0];
  leases.duration = 6 * KNL_SEC;
  sender->leases = co_leases_new (&leases);
  co_leases_set_candidates (sender->leases, names, 1);
  knl_paused_clock_advance (sender->daemons.clock, KNL_SEC);
  sender->orders = (CtOrders){ .kernel = sender->daemons.kernels[0],
                               .endpoints = sender->client,
                               .leases = sender->leases,
                               .load_interval = 2 * KNL_SEC };
  sender->order = ct_order_new (&sender->orders, "engine", 0);
}

static void
sender_clear (Sender *sender)
{
  ct_order_free (sender->order);
  co_leases_free (sender->leases);
  ep_client_free (sender->client);
  fk_fleet_free (sender->fleet);
  daemons_clear (&sender->daemons);
}

/* Steps every half second for `time`. Returns when the first order was sent, or -1 if none was. */
static KnlTime
time_of_first_order (Sender *sender, KnlTime time)
{
  static const CtPlaced wanted = { .service = (char *)"a", .model = (char *)"m", .role = "short" };

  for (KnlTime t = 0; t < time; t += KNL_SEC / 2)
    {
      SdEngine *engine = fk_fleet_engine (sender->fleet, "10.1.0.1:80");

      ct_order_handle_report (sender->order, "10.1.0.1:80", sd_engine_report (engine), &wanted);
      if (sender->orders.sent > 0)
        return t;
      knl_paused_clock_advance (sender->daemons.clock, KNL_SEC / 2);
    }
  return -1;
}

/*
 * Symptom: an engine that doesn't check fencing numbers runs what a former holder ordered.
 * Sequence: the former holder's order is still in flight when the new holder sends its own.
 * Cause: such an engine executes whichever order arrives last, so only waiting prevents it.
 */
static void
test_orders_wait_for_the_former_holders_orders (void)
{
  for (guint checks = 0; checks < 2; checks++)
    {
      Sender sender;

      sender_init (&sender, checks == 1);
      CU_ASSERT_EQUAL (time_of_first_order (&sender, 20 * KNL_SEC), checks == 1 ? 0 : 11 * KNL_SEC);
      sender_clear (&sender);
    }
}

/*
 * Symptom: a controller sends an order without holding the shard.
 * Sequence: the process is paused until its lease has expired, then continues.
 * Cause: the lease isn't checked right before the order is sent.
 */
static void
test_no_order_after_the_lease_has_expired (void)
{
  Sender sender;

  sender_init (&sender, TRUE);
  knl_paused_runtime_set_frozen (sender.daemons.runtimes[0], TRUE);
  knl_paused_clock_advance (sender.daemons.clock, 7 * KNL_SEC);
  CU_ASSERT_EQUAL (time_of_first_order (&sender, KNL_SEC), -1);
  sender_clear (&sender);
}

static const SuiteCase cases[] = {
  { "placement by table", test_placement_by_table },
  { "removing an engine moves few others", test_removing_an_engine_moves_few_others },
  { "orders wait for the former holder's orders", test_orders_wait_for_the_former_holders_orders },
  { "no order after the lease has expired", test_no_order_after_the_lease_has_expired },
};

SUITE_MAIN ("ct_placement", cases)
