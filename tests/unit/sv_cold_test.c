/** Endpoints that are cold: what makes them so, and how requests are placed. */

#include <string.h>

#include "serve/router.h"
#include "suite.h"
#include "sv_fixture.h"

#define COLD_DURATION (3 * KNL_SEC)

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  SvFleet *fleet;
  SvConfig *config;
} Fixture;

static void
set_rate (SvFleet *fleet, SvConfig *config, double rate)
{
  static const SvBounds bounds = { .cold_overage = 1.5, .cold_slack = 5 };

  ((SvService *)sv_config_service (config, "s"))->cold =
      (SvColdSpec){ .duration = COLD_DURATION, .rate = rate };
  sv_fleet_set_cold_bounds (fleet, &bounds);
  sv_fleet_set_cold_config (fleet, config);
}

static void
set_members (SvFleet *fleet, guint known)
{
  sv_fleet_set_members (fleet,
                        &(SvMembers){ .id = 1, .cell = 1, .known = known, .is_counted = TRUE });
}

/* A fleet whose instance is the only one, and has been running for a while. */
static void
fixture_open (Fixture *self, double rate)
{
  self->clock = knl_paused_clock_new ();
  knl_paused_clock_advance (self->clock, 100 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 3);
  self->fleet = sv_fleet_new (self->kernel, KNL_SEC);
  self->config = sv_config_new (1);
  sv_config_add_service (self->config, "s");
  set_rate (self->fleet, self->config, rate);
  knl_paused_clock_advance (self->clock, 10 * KNL_SEC);
  set_members (self->fleet, 1);
}

static void
fixture_close (Fixture *self)
{
  sv_fleet_free (self->fleet);
  sv_config_unref (self->config);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
}

static SvEndpoint *
put_row (SvFleet *fleet, guint i, const SvEndpointEntry *row)
{
  g_autofree char *id = g_strdup_printf ("i-%u", i);
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", 100 + i);
  SvEndpointEntry entry = *row;

  entry.id = id;
  entry.service = "s";
  entry.address = address;
  entry.zone = "a";
  entry.slots = 4;
  sv_fleet_update (fleet, &entry);
  for (guint j = 0; j < sv_fleet_all (fleet)->len; j++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (sv_fleet_all (fleet), j);

      if (strcmp (endpoint->id, id) == 0)
        return endpoint;
    }
  return NULL;
}

static SvPosition
at_version (guint64 version)
{
  return (SvPosition){ .era = 1, .version = version };
}

static KnlTime
cold_left (Fixture *self, SvEndpoint *endpoint)
{
  KnlTime now = knl_kernel_now (self->kernel);

  return sv_endpoint_is_cold (endpoint, now) ? endpoint->cold.until - now : 0;
}

/* A statement, some time after the one before. */
typedef struct
{
  enum
  {
    NONE,
    ROW,
    SAME_ROW,
    OLD_ROW,
    ANSWER,
    RESTORED
  } kind;
  KnlTime after;
  KnlTime left;
} Statement;

#define MS(n) ((n)*KNL_MSEC)

static void
state (Fixture *self, SvEndpoint *endpoint, const Statement *statement, guint64 version)
{
  SvReply reply = { .status = 200, .cold_left = statement->left, .limit = POL_NO_LIMIT };
  SvEndpointEntry row = { .cold_left = statement->left, .revision = at_version (version) };

  knl_paused_clock_advance (self->clock, statement->after);
  if (statement->kind == SAME_ROW)
    row.revision.version--;
  if (statement->kind == OLD_ROW)
    row.revision.version -= 2;
  if (statement->kind == ANSWER)
    sv_reply_note_signals (&reply, endpoint, knl_kernel_now (self->kernel));
  else if (statement->kind == RESTORED)
    sv_fleet_note_zone_restored (self->fleet, "a", at_version (version));
  else if (statement->kind != NONE)
    put_row (self->fleet, 0, &row);
}

/* Guards against an endpoint that is taken for warm too early by an old statement, or for cold
 * after a newer one. */
static void
test_statements (void)
{
  static const struct
  {
    Statement statements[4];
    KnlTime left; /* after all */
  } rows[] = {
    { { { ROW, 0, MS (2000) } }, MS (2000) },
    { { { ROW, 0, -1 } }, 0 },
    { { { ROW, 0, MS (2000) }, { ROW, MS (500), -1 } }, MS (1500) },
    { { { ROW, 0, MS (2000) }, { ROW, MS (500), 0 } }, 0 },
    { { { ROW, 0, MS (2000) }, { SAME_ROW, MS (500), MS (2000) } }, MS (1500) },
    { { { ROW, 0, MS (2000) }, { ROW, MS (10), MS (900) }, { OLD_ROW, 0, MS (9000) } }, MS (900) },
    { { { ANSWER, 0, MS (700) } }, MS (700) },
    { { { ANSWER, 0, MS (700) }, { ANSWER, MS (100), -1 } }, MS (600) },
    { { { ANSWER, 0, MS (700) }, { ANSWER, MS (100), 0 } }, 0 },
    { { { ROW, 0, MS (2000) }, { ANSWER, MS (100), MS (300) } }, MS (300) },
    /* the row may have been written before the answer */
    { { { ANSWER, 0, MS (1900) }, { ROW, MS (100), 0 } }, MS (1800) },
    { { { ANSWER, 0, MS (1900) }, { ROW, MS (1100), 0 } }, 0 },
    { { { RESTORED, 0, 0 } }, COLD_DURATION },
    { { { RESTORED, 0, 0 }, { ROW, MS (500), -1 } }, COLD_DURATION - MS (500) },
    { { { RESTORED, 0, 0 }, { ROW, MS (500), 0 } }, 0 },
    { { { RESTORED, 0, 0 }, { ANSWER, MS (500), 0 } }, COLD_DURATION - MS (500) },
    { { { ROW, 0, MS (9000) }, { RESTORED, MS (100), 0 } }, MS (8900) },
    /* a row from before the restoration that arrives after it */
    { { { ROW, 0, 0 }, { RESTORED, 0, 0 }, { SAME_ROW, MS (100), 0 } }, COLD_DURATION - MS (100) },
    { { { RESTORED, 0, 0 }, { NONE, COLD_DURATION, 0 } }, 0 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Fixture fixture;
      SvEndpoint *endpoint;

      fixture_open (&fixture, 1);
      endpoint = put_row (fixture.fleet, 0, &(SvEndpointEntry){ .cold_left = -1 });
      for (guint j = 0; j < G_N_ELEMENTS (rows[i].statements); j++)
        state (&fixture, endpoint, &rows[i].statements[j], 10 + j);
      if (cold_left (&fixture, endpoint) != rows[i].left)
        g_printerr ("row %u: %" G_GINT64_FORMAT "\n", i, cold_left (&fixture, endpoint));
      CU_ASSERT_EQUAL (cold_left (&fixture, endpoint), rows[i].left);
      fixture_close (&fixture);
    }
}

/* Guards against endpoints that count as warm because the list of endpoints, or the configuration,
 * arrived after the removal of the evacuation. */
static void
test_restored_before_the_list (void)
{
  Fixture fixture;

  fixture_open (&fixture, 0);
  sv_fleet_note_zone_restored (fixture.fleet, "a", at_version (20));
  knl_paused_clock_advance (fixture.clock, KNL_SEC);
  sv_fleet_note_zone_restored (fixture.fleet, "a", at_version (20));
  put_row (fixture.fleet, 0, &(SvEndpointEntry){ .cold_left = 0, .revision = at_version (19) });
  put_row (fixture.fleet, 1, &(SvEndpointEntry){ .cold_left = 0, .revision = at_version (21) });
  set_rate (fixture.fleet, fixture.config, 1);
  CU_ASSERT_EQUAL (cold_left (&fixture, g_ptr_array_index (sv_fleet_all (fixture.fleet), 0)),
                   COLD_DURATION - KNL_SEC);
  CU_ASSERT_EQUAL (cold_left (&fixture, g_ptr_array_index (sv_fleet_all (fixture.fleet), 1)), 0);
  fixture_close (&fixture);
}

/* Guards against services without a rate that are treated differently. */
static void
test_services_without_a_rate (void)
{
  Fixture fixture;
  SvEndpoint *endpoint;
  SvReply reply = { .status = 200, .cold_left = KNL_SEC, .limit = POL_NO_LIMIT };

  fixture_open (&fixture, 0);
  endpoint = put_row (fixture.fleet, 0, &(SvEndpointEntry){ .cold_left = 9 * KNL_SEC });
  sv_fleet_note_zone_restored (fixture.fleet, "a", at_version (20));
  sv_reply_note_signals (&reply, endpoint, knl_kernel_now (fixture.kernel));
  CU_ASSERT_EQUAL (cold_left (&fixture, endpoint), 0);
  CU_ASSERT (sv_endpoint_wait_time (fixture.fleet, endpoint, knl_kernel_now (fixture.kernel)) <= 0);
  fixture_close (&fixture);
}

/* Guards against the statement of another endpoint that now has the address. */
static void
test_misdirected_answers_state_nothing (void)
{
  Fixture fixture;
  SvEndpoint *endpoint;
  SvReply reply = { .status = SV_STATUS_MISDIRECTED, .cold_left = KNL_SEC };

  fixture_open (&fixture, 1);
  endpoint = put_row (fixture.fleet, 0, &(SvEndpointEntry){ .cold_left = -1 });
  sv_reply_note_signals (&reply, endpoint, knl_kernel_now (fixture.kernel));
  CU_ASSERT_EQUAL (cold_left (&fixture, endpoint), 0);
  fixture_close (&fixture);
}

static KnlTime
wait_of (Fixture *self, SvEndpoint *endpoint)
{
  return sv_endpoint_wait_time (self->fleet, endpoint, knl_kernel_now (self->kernel));
}

/* The instance starts again, as a new process. */
static void
restart (Fixture *self)
{
  sv_fleet_free (self->fleet);
  self->fleet = sv_fleet_new (self->kernel, KNL_SEC);
  set_rate (self->fleet, self->config, 1);
}

/* Guards against a token for an instance that may have sent with one just before it restarted. */
static void
test_first_second (void)
{
  Fixture fixture;
  SvEndpoint *endpoint;

  fixture_open (&fixture, 1);
  restart (&fixture);
  set_members (fixture.fleet, 1);
  knl_paused_clock_advance (fixture.clock, 900 * KNL_MSEC);
  endpoint = put_row (fixture.fleet, 0, &(SvEndpointEntry){ .cold_left = 60 * KNL_SEC });
  CU_ASSERT (wait_of (&fixture, endpoint) > 0);
  knl_paused_clock_advance (fixture.clock, 200 * KNL_MSEC);
  endpoint = put_row (fixture.fleet, 1, &(SvEndpointEntry){ .cold_left = 60 * KNL_SEC });
  CU_ASSERT (wait_of (&fixture, endpoint) <= 0);
  fixture_close (&fixture);
}

/* Guards against an instance that starts while endpoints are cold and sends at once, before it
 * knows whether others send. */
static void
test_instance_that_starts (void)
{
  Fixture fixture;
  SvEndpoint *endpoint;

  fixture_open (&fixture, 1);
  restart (&fixture);
  endpoint = put_row (fixture.fleet, 0, &(SvEndpointEntry){ .cold_left = 60 * KNL_SEC });
  knl_paused_clock_advance (fixture.clock, 5 * KNL_SEC);
  CU_ASSERT (wait_of (&fixture, endpoint) > 0);
  set_members (fixture.fleet, 1);
  CU_ASSERT (wait_of (&fixture, endpoint) > 0);
  knl_paused_clock_advance (fixture.clock, 900 * KNL_MSEC);
  CU_ASSERT (wait_of (&fixture, endpoint) > 0);
  knl_paused_clock_advance (fixture.clock, 1200 * KNL_MSEC);
  CU_ASSERT_EQUAL (wait_of (&fixture, endpoint), 0);
  /* It hears one instance of 200. */
  set_members (fixture.fleet, 200);
  CU_ASSERT (wait_of (&fixture, endpoint) > 0);
  knl_paused_clock_advance (fixture.clock, 20 * KNL_SEC);
  CU_ASSERT (wait_of (&fixture, endpoint) > 0);
  fixture_close (&fixture);
}

static gboolean
place (Fixture *self, guint64 tokens, KnlTime gap, SvPlacement *placement)
{
  SvDemand demand = {
    .config = self->config,
    .service = sv_config_service (self->config, "s"),
    .zone = "a",
    .prompt_tokens = tokens,
    .answer_tokens = 100,
    .event_left = 3 * KNL_SEC,
    .gap_objective = gap,
  };

  return sv_router_place (self->fleet, &demand, knl_kernel_now (self->kernel), placement);
}

/* Endpoints 0 to 2 are cold, 3 to 5 are warm. */
static void
add_endpoints (Fixture *self, SvEndpoint *endpoints[6])
{
  for (guint i = 0; i < 6; i++)
    endpoints[i] =
        put_row (self->fleet, i, &(SvEndpointEntry){ .cold_left = i < 3 ? 9 * KNL_SEC : 0 });
}

static void
use_engines (Fixture *self)
{
  ((SvService *)sv_config_service (self->config, "s"))->engine = sv_fixture_small_engine;
}

/* Guards against cold endpoints that are preferred for their idle look, are sent parts of prompts,
 * or are left idle although prompts queue at the others. */
static void
test_slow_start (void)
{
  static const struct
  {
    gboolean is_engine;
    guint64 tokens;
    KnlTime gap;
  } rows[] = { { FALSE, 0, 0 },
               { TRUE, 1000, 250 * KNL_MSEC },
               { TRUE, 1000, 900 * KNL_MSEC },
               { TRUE, 60000, 900 * KNL_MSEC } };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      static const SvLoad one = { .calls = 1, .decoding_streams = { 0, 0, 1 }, .tokens = 1000 };
      static const SvLoad four = { .calls = 4, .decoding_streams = { 0, 0, 4 }, .tokens = 4000 };
      Fixture fixture;
      SvEndpoint *endpoints[6];
      SvPlacement placement;

      fixture_open (&fixture, 1);
      if (rows[i].is_engine)
        use_engines (&fixture);
      add_endpoints (&fixture, endpoints);
      for (guint j = 3; j < 6; j++)
        sv_endpoint_charge (endpoints[j], &one, 1);
      CU_ASSERT_TRUE (place (&fixture, rows[i].tokens, rows[i].gap, &placement));
      CU_ASSERT_FALSE (sv_endpoint_is_cold (placement.first, knl_kernel_now (fixture.kernel)));
      for (guint j = 0; j < placement.n_helpers; j++)
        CU_ASSERT_FALSE (
            sv_endpoint_is_cold (placement.helpers[j], knl_kernel_now (fixture.kernel)));
      for (guint j = 3; j < 6; j++)
        {
          sv_endpoint_charge (endpoints[j], &one, -1);
          sv_endpoint_charge (endpoints[j], &four, 1);
        }
      CU_ASSERT_TRUE (place (&fixture, rows[i].tokens, rows[i].gap, &placement));
      CU_ASSERT_TRUE (sv_endpoint_is_cold (placement.first, knl_kernel_now (fixture.kernel)));
      fixture_close (&fixture);
    }
}

static void
add_backlog (Fixture *self, const SvEndpoint *endpoint, KnlTime length)
{
  static guint64 prompt = 1000;
  SvPrefill prefill = { .prompt = prompt++, .length = length, .until_ended = TRUE };

  sv_fleet_add_prefill (self->fleet, &prefill, &endpoint->key, 1);
}

/* Guards against cold endpoints that run prompts because the warm ones, which have room, are busier
 * than they look. */
static void
test_warm_endpoints_with_backlog_are_preferred (void)
{
  static const SvLoad two = { .calls = 2, .decoding_streams = { 0, 0, 2 }, .tokens = 2000 };

  for (guint i = 3; i < 6; i++)
    {
      Fixture fixture;
      SvEndpoint *endpoints[6];
      SvPlacement placement;

      fixture_open (&fixture, 1);
      use_engines (&fixture);
      add_endpoints (&fixture, endpoints);
      for (guint j = 3; j < 6; j++)
        {
          sv_endpoint_charge (endpoints[j], &two, 1);
          add_backlog (&fixture, endpoints[j], i == j ? 0 : 1800 * KNL_MSEC);
        }
      CU_ASSERT_TRUE (place (&fixture, 1000, 900 * KNL_MSEC, &placement));
      CU_ASSERT_FALSE (sv_endpoint_is_cold (placement.first, knl_kernel_now (fixture.kernel)));
      add_backlog (&fixture, endpoints[i], 1800 * KNL_MSEC);
      CU_ASSERT_TRUE (place (&fixture, 60000, 900 * KNL_MSEC, &placement));
      CU_ASSERT_FALSE (sv_endpoint_is_cold (placement.first, knl_kernel_now (fixture.kernel)));
      fixture_close (&fixture);
    }
}

/* Guards against streams that move to other warm endpoints whenever this instance may send to a
 * cold one. */
static void
test_tokens_change_no_roles (void)
{
  static const SvLoad one = { .calls = 1 };
  static const SvLoad two = { .calls = 2, .decoding_streams = { 0, 0, 2 }, .tokens = 2000 };
  Fixture fixture;
  const GPtrArray *endpoints;
  SvPlacement without;
  SvPlacement with;

  fixture_open (&fixture, 1);
  use_engines (&fixture);
  for (guint i = 0; i < 6; i++)
    put_row (fixture.fleet, i, &(SvEndpointEntry){ .cold_left = -1 });
  endpoints = sv_fleet_service (fixture.fleet, "s");
  /* The first ones have roles first. */
  for (guint i = 0; i < 3; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      sv_endpoint_note_cold_answer (endpoint, 9 * KNL_SEC, knl_kernel_now (fixture.kernel));
      sv_endpoint_charge (endpoint, &one, 1);
    }
  CU_ASSERT_TRUE (place (&fixture, 1000, 250 * KNL_MSEC, &without));
  sv_endpoint_charge (without.first, &two, 1);
  CU_ASSERT_TRUE (place (&fixture, 1000, 250 * KNL_MSEC, &with));
  CU_ASSERT_PTR_EQUAL (with.first, without.first);
  knl_paused_clock_advance (fixture.clock, 2 * KNL_SEC);
  CU_ASSERT_EQUAL (wait_of (&fixture, g_ptr_array_index (endpoints, 0)), 0);
  CU_ASSERT_TRUE (place (&fixture, 1000, 250 * KNL_MSEC, &with));
  CU_ASSERT_PTR_EQUAL (with.first, without.first);
  fixture_close (&fixture);
}

/* Guards against requests to endpoints that others have lost requests at, only because many of the
 * remaining ones are cold. */
static void
test_cold_endpoints_are_no_reason_to_ignore_losses (void)
{
  static const SvLoad one = { .calls = 1 };
  Fixture fixture;
  SvEndpoint *endpoints[6];
  SvPlacement placement;
  KnlTime now;

  fixture_open (&fixture, 1);
  add_endpoints (&fixture, endpoints);
  now = knl_kernel_now (fixture.kernel);
  for (guint i = 0; i < 3; i++)
    sv_endpoint_charge (endpoints[i], &one, 1);
  for (guint i = 3; i < 5; i++)
    for (guint32 reporter = 1; reporter <= 2; reporter++)
      sv_endpoint_note_reported_loss (endpoints[i], reporter, now);
  for (guint i = 0; i < 8; i++)
    {
      CU_ASSERT_TRUE (place (&fixture, 0, 0, &placement));
      CU_ASSERT_PTR_EQUAL (placement.first, endpoints[5]);
      sv_endpoint_charge (placement.first, &placement.load, 1);
    }
  /* Without any other, they are used all the same. */
  sv_fleet_remove (fixture.fleet, "i-5");
  CU_ASSERT_TRUE (place (&fixture, 0, 0, &placement));
  fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "statements", test_statements },
  { "a zone is restored before the list arrives", test_restored_before_the_list },
  { "services without a rate", test_services_without_a_rate },
  { "misdirected answers state nothing", test_misdirected_answers_state_nothing },
  { "an instance that starts", test_instance_that_starts },
  { "the first second", test_first_second },
  { "slow start", test_slow_start },
  { "warm endpoints with backlog are preferred", test_warm_endpoints_with_backlog_are_preferred },
  { "tokens change no roles", test_tokens_change_no_roles },
  { "cold endpoints are no reason to ignore losses",
    test_cold_endpoints_are_no_reason_to_ignore_losses },
};

SUITE_MAIN ("sv_cold", cases)
