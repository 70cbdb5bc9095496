/** Orders to engines, the loading of weights, and calls to plain services, with a fake fleet. */

#include "suite.h"

#include "kernel/paused.h"
#include "tests/fakes/memory_engine.h"

#define ADDRESS "127.0.0.1:9001"
#define OTHER   "127.0.0.1:9002"

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  FkFleet *fleet;
  EpClient *client;
  guint failures[5]; /* of service calls, by kind; EP_MALFORMED counts answers */
} Fixture;

static Fixture
fixture_new (void)
{
  Fixture f = { .clock = knl_paused_clock_new () };
  SdEngineSettings settings = sd_engine_defaults;

  settings.model = "m";
  f.kernel = knl_kernel_new (knl_paused_clock_runtime (f.clock), 1);
  f.fleet = fk_fleet_new (f.clock);
  f.client = fk_fleet_client_new (f.fleet, f.kernel);
  fk_fleet_add_engine (f.fleet, ADDRESS, &settings);
  fk_fleet_add_engine (f.fleet, OTHER, &settings);
  return f;
}

static void
fixture_clear (Fixture *f)
{
  ep_client_free (f->client);
  fk_fleet_free (f->fleet);
  knl_kernel_free (f->kernel);
  knl_paused_clock_free (f->clock);
}

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (Fixture, fixture_clear)

static void
test_orders_by_table (void)
{
  static const struct
  {
    gboolean checks;
    guint64 fence;
    gboolean done;
    guint64 after;
  } rows[] = {
    { TRUE, 5, TRUE, 5 },  { TRUE, 4, FALSE, 5 }, { TRUE, 5, TRUE, 5 },
    { FALSE, 5, TRUE, 5 }, { FALSE, 4, TRUE, 4 },
  };
  g_autoptr (KnlPausedClock) clock = knl_paused_clock_new ();
  g_autoptr (KnlKernel) kernel = knl_kernel_new (knl_paused_clock_runtime (clock), 1);
  SdEngineSettings settings = sd_engine_defaults;
  SdEngine *engines[2];

  for (guint i = 0; i < 2; i++)
    {
      settings.checks_fence = i == 1;
      engines[i] = sd_engine_new (kernel, &settings, NULL, NULL);
    }
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      EpOrder order = { .fence = rows[i].fence, .model = "m", .role = "any" };
      guint64 after;

      CU_ASSERT_EQUAL (sd_engine_order (engines[rows[i].checks], &order, &after), rows[i].done);
      CU_ASSERT_EQUAL (after, rows[i].after);
    }
  CU_ASSERT_STRING_EQUAL (sd_engine_report (engines[1])->model, "");
  knl_paused_clock_advance (clock, settings.model_load_time);
  CU_ASSERT_STRING_EQUAL (sd_engine_report (engines[1])->model, "m");
  sd_engine_free (engines[0]);
  sd_engine_free (engines[1]);
}

/*
 * Loading weights must cost time, or tests would miss placements that switch models
 * too often. Two engines get orders at the same time, one of them another a second
 * later: they share the store's rate, and an abandoned download has used its share.
 */
static void
test_weights_share_the_rate_of_the_store (void)
{
  static const struct
  {
    double rate;
    gboolean has_second_order;
    KnlTime ready[2]; /* seconds, one for each engine */
  } rows[] = {
    { 14e9, FALSE, { 5, 5 } }, /* the minimum load time */
    { 2e9, FALSE, { 7, 14 } },
    { 2e9, TRUE, { 21, 14 } },
  };
  static const char *const addresses[] = { ADDRESS, OTHER };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_auto (Fixture) f = fixture_new ();
      EpOrder order = { .fence = 1, .model = "other", .role = "any" };
      guint64 fence;
      fk_fleet_set_weight_rate (f.fleet, rows[i].rate);
      for (guint e = 0; e < 2; e++)
        sd_engine_order (fk_fleet_engine (f.fleet, addresses[e]), &order, &fence);
      knl_paused_clock_advance (f.clock, KNL_SEC);
      order.model = "third";
      if (rows[i].has_second_order)
        sd_engine_order (fk_fleet_engine (f.fleet, ADDRESS), &order, &fence);
      knl_paused_clock_advance (f.clock, sd_engine_defaults.load_lag);
      for (KnlTime second = 1; second <= 22; second++)
        {
          for (guint e = 0; e < 2; e++)
            {
              const char *model = sd_engine_report (fk_fleet_engine (f.fleet, addresses[e]))->model;

              CU_ASSERT_EQUAL (*model != '\0', second >= rows[i].ready[e]);
            }
          knl_paused_clock_advance (f.clock, KNL_SEC);
        }
    }
}

static void
on_service (const EpFailure *failure,
            int status,
            const char *content_type,
            const char *body,
            gsize body_bytes,
            gpointer data)
{
  ((Fixture *)data)->failures[failure != NULL ? failure->kind : EP_MALFORMED]++;
}

static void
test_plain_services_by_table (void)
{
  static const struct
  {
    SdServiceFault fault;
    FkConnectionFault connection;
    guint outcome; /* EpFailureKind; EP_MALFORMED stands for an answer */
    guint runs;
  } rows[] = {
    { SD_SERVICE_NORMAL, FK_CONNECTION_NORMAL, EP_MALFORMED, 1 },
    { SD_SERVICE_HANG, FK_CONNECTION_NORMAL, EP_CUT, 0 },
    { SD_SERVICE_CUT_AFTER_RUN, FK_CONNECTION_NORMAL, EP_CUT, 1 },
    { SD_SERVICE_REFUSE, FK_CONNECTION_NORMAL, EP_REFUSED, 0 },
    { SD_SERVICE_NORMAL, FK_CONNECTION_REFUSED, EP_NOT_SENT, 0 },
    { SD_SERVICE_NORMAL, FK_CONNECTION_SILENT, EP_CUT, 1 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_auto (Fixture) f = fixture_new ();
      EpServiceCall call = { .address = "127.0.0.1:9003",
                             .method = "POST",
                             .path = "/confirm",
                             .idempotency_key = "k",
                             .answer_timeout = KNL_SEC };
      fk_fleet_add_service (f.fleet, call.address);
      fk_fleet_service (f.fleet, call.address)->fault = rows[i].fault;
      fk_fleet_set_fault (f.fleet, call.address, rows[i].connection, 0, 0);
      ep_client_service_call (f.client, &call, on_service, &f);
      knl_paused_clock_advance (f.clock, 2 * KNL_SEC);
      CU_ASSERT_EQUAL (f.failures[rows[i].outcome], 1);
      CU_ASSERT_EQUAL (sd_service_runs (fk_fleet_service (f.fleet, call.address), "k"),
                       rows[i].runs);
    }
}

static const SuiteCase cases[] = {
  { "orders, by table", test_orders_by_table },
  { "weights share the rate of the store", test_weights_share_the_rate_of_the_store },
  { "plain services, by table", test_plain_services_by_table },
};

SUITE_MAIN ("engine_orders", cases)
