/** Placement of prompts: short streams are packed, long prompts are split over other endpoints. */

#include "kernel/paused.h"
#include "serve/engine_model.h"
#include "serve/router.h"
#include "suite.h"

#define ENGINES 12

static const SvEngineSpec spec = {
  .slots = 16,
  .memory_tokens = 300000,
  .stride = 50,
  .step_ms = 1,
  .stream_step_ms = 0.004,
  .context_ms_per_k = 0.003,
  .prefill_tokens_per_ms = 180,
  .pair_ms_per_m = 0.18,
  .chunk = 2048,
  .mean_prompt_tokens = 10000,
  .mean_answer_tokens = 1500,
};

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  SvFleet *fleet;
  SvConfig *config;
  const SvService *service;
} Fixture;

static void
add_gap_route (SvConfig *config, const char *prefix, KnlTime gap)
{
  SvRoute *route = sv_route_new ();

  route->host = g_strdup ("h");
  route->prefix = g_strdup (prefix);
  route->kind = SV_STREAM;
  route->gap_objective = gap;
  sv_route_add_split (route, "llm", 1);
  sv_config_add_route (config, route);
}

static void
fixture_open (Fixture *self, guint engines)
{
  SvService *service;

  self->clock = knl_paused_clock_new ();
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 3);
  self->fleet = sv_fleet_new (self->kernel, KNL_SEC);
  self->config = sv_config_new (1);
  service = sv_config_add_service (self->config, "llm");
  service->engine = spec;
  self->service = service;
  add_gap_route (self->config, "/short/", 250 * KNL_MSEC);
  add_gap_route (self->config, "/long/", 1000 * KNL_MSEC);
  for (guint i = 0; i < engines; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", i);
      g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", 100 + i);
      SvEndpointEntry entry = {
        .id = id, .service = "llm", .address = address, .zone = "a", .slots = 16
      };

      sv_fleet_update (self->fleet, &entry);
    }
}

static void
fixture_close (Fixture *self)
{
  sv_fleet_free (self->fleet);
  sv_config_unref (self->config);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
}

static SvPlacement
place (Fixture *self, guint64 tokens, KnlTime gap, KnlTime objective)
{
  SvPlacement placement;
  SvDemand demand = {
    .config = self->config,
    .service = self->service,
    .zone = "a",
    .prompt_tokens = tokens,
    .answer_tokens = 1500,
    .event_left = objective,
    .gap_objective = gap,
  };

  CU_ASSERT_TRUE (
      sv_router_place (self->fleet, &demand, knl_kernel_now (self->kernel), &placement));
  return placement;
}

static SvPlacement
place_short (Fixture *self)
{
  return place (self, 4000, 250 * KNL_MSEC, 300 * KNL_MSEC);
}

static SvPlacement
place_long (Fixture *self, guint64 tokens)
{
  return place (self, tokens, 1000 * KNL_MSEC, 3 * KNL_SEC);
}

static void
add_prefill (Fixture *self, const SvPlacement *placement, guint64 prompt)
{
  guint64 keys[SV_MAX_HELPERS + 1];
  guint n = sv_placement_prefill_keys (placement, keys);
  SvPrefill prefill = { .prompt = prompt,
                        .length = placement->prefill,
                        .until_ended = placement->is_split };

  sv_fleet_add_prefill (self->fleet, &prefill, keys, n);
}

/* Starts the request: its load and its prefill count from now on. */
static void
start (Fixture *self, const SvPlacement *placement)
{
  static guint64 prompt = 1000;

  add_prefill (self, placement, prompt++);
  sv_endpoint_charge (placement->first, &placement->load, 1);
}

static guint
engines_with_tight (const Fixture *self)
{
  const GPtrArray *all = sv_fleet_all (self->fleet);
  guint n = 0;

  for (guint i = 0; i < all->len; i++)
    n += ((SvEndpoint *)g_ptr_array_index (all, i))->own.decoding_streams[SV_GAP_TIGHT] > 0;
  return n;
}

/*
 * Guards against short streams that stall for as long as a long prompt is prefilled, because they
 * are spread over all engines. A pass of an engine produces the next event of all its streams, and
 * prefill lengthens the pass.
 */
static void
test_short_streams_leave_engines_free (void)
{
  Fixture fixture;

  fixture_open (&fixture, ENGINES);
  for (guint i = 0; i < 36; i++)
    {
      SvPlacement placement = place_short (&fixture);

      CU_ASSERT_EQUAL (placement.n_helpers, 0);
      start (&fixture, &placement);
      knl_paused_clock_advance (fixture.clock, 60 * KNL_MSEC);
    }
  CU_ASSERT (engines_with_tight (&fixture) <= 4);
  fixture_close (&fixture);
}

static void
test_long_prompts_avoid_short_streams (void)
{
  Fixture fixture;
  SvPlacement placement;

  fixture_open (&fixture, ENGINES);
  for (guint i = 0; i < 12; i++)
    {
      placement = place_short (&fixture);
      start (&fixture, &placement);
      knl_paused_clock_advance (fixture.clock, 60 * KNL_MSEC);
    }
  placement = place_long (&fixture, 150000);
  CU_ASSERT (placement.n_helpers >= 3);
  CU_ASSERT_EQUAL (placement.first->own.decoding_streams[SV_GAP_TIGHT], 0);
  for (guint i = 0; i < placement.n_helpers; i++)
    CU_ASSERT_EQUAL (placement.helpers[i]->own.decoding_streams[SV_GAP_TIGHT], 0);
  /* The parts add up to the full prompt. */
  CU_ASSERT_DOUBLE_EQUAL ((double)placement.part / KNL_MSEC * (placement.n_helpers + 1),
                          sv_model_prefill_ms (&spec, 150000), 1);
  fixture_close (&fixture);
}

/*
 * Guards against stalled short streams on a fleet of small engines while other
 * engines are idle. Engines have 12 slots, nine short streams are packed onto
 * each, and a long prompt arrives. The number of packed engines was computed with
 * more streams per engine than are packed, so that the last of them got the role
 * of running long prompts.
 */
static void
test_engines_with_few_slots (void)
{
  Fixture fixture;
  SvService *service;
  SvPlacement placement;

  fixture_open (&fixture, ENGINES);
  service = sv_config_add_service (fixture.config, "llm");
  service->engine = spec;
  service->engine.slots = 12;
  fixture.service = service;
  for (guint i = 0; i < 42; i++)
    {
      placement = place_short (&fixture);
      start (&fixture, &placement);
      knl_paused_clock_advance (fixture.clock, 60 * KNL_MSEC);
    }
  CU_ASSERT (engines_with_tight (&fixture) >= 5);
  placement = place_long (&fixture, 150000);
  CU_ASSERT_EQUAL (placement.first->own.decoding_streams[SV_GAP_TIGHT], 0);
  for (guint i = 0; i < placement.n_helpers; i++)
    CU_ASSERT_EQUAL (placement.helpers[i]->own.decoding_streams[SV_GAP_TIGHT], 0);
  fixture_close (&fixture);
}

/*
 * Guards against prompts that wait for seconds while engines are idle, because the prefill of a
 * rejected prompt stays in the engines' backlog. It must be removed.
 */
static void
test_rejected_prefill_is_removed (void)
{
  Fixture fixture;
  SvPlacement placement;
  KnlTime now;

  fixture_open (&fixture, ENGINES);
  placement = place_long (&fixture, 250000);
  now = knl_kernel_now (fixture.kernel);
  add_prefill (&fixture, &placement, 7);
  CU_ASSERT (sv_endpoint_prefill_left (placement.first, now) > 0);
  sv_fleet_end_prefill (fixture.fleet, 7);
  CU_ASSERT_EQUAL (sv_endpoint_prefill_left (placement.first, now), 0);
  CU_ASSERT_EQUAL (sv_endpoint_prefill_left (placement.helpers[0], now), 0);
  fixture_close (&fixture);
}

/*
 * Guards against prompts that wait seven seconds for their first event at engines that look idle,
 * while later prompts get theirs at once. Each prompt is placed when the prefill before it should
 * be complete; the engines also decode streams, are slower, and process the newest part first.
 * Prefill was assumed to run at full speed and dropped after its time alone, so that more was
 * placed on top of the unfinished backlog.
 */
static void
test_prefill_counts_until_its_end (void)
{
  static const SvPrefill first = { .prompt = 1, .length = 300, .until_ended = TRUE };
  static const SvPrefill second = { .prompt = 2, .length = 200, .until_ended = TRUE };
  static const SvPrefill unreported = { .prompt = 3, .length = 100 };
  SvPrefills prefills;

  sv_prefills_init (&prefills);
  sv_prefills_add (&prefills, &first, 1000);
  sv_prefills_add (&prefills, &second, 1100);
  CU_ASSERT_EQUAL (sv_prefills_time_left (&prefills, 1100), 400);
  /* The newer one goes first: when it ends, the older one still needs all of its remaining time. */
  sv_prefills_end (&prefills, 2, 1250);
  CU_ASSERT_EQUAL (sv_prefills_time_left (&prefills, 1250), 200);
  sv_prefills_add (&prefills, &unreported, 1250);
  CU_ASSERT_EQUAL (sv_prefills_time_left (&prefills, 1350), 200);
  CU_ASSERT_EQUAL (sv_prefills_time_left (&prefills, 1350 + 500), 0);
  sv_prefills_end (&prefills, 1, 2000);
  sv_prefills_end (&prefills, 1, 2000);
  CU_ASSERT_EQUAL (prefills.rows->len, 0);
  sv_prefills_add (&prefills, &first, 3000);
  CU_ASSERT_EQUAL (sv_prefills_time_left (&prefills, 3000 + SV_PREFILL_TTL), 0);
  CU_ASSERT_EQUAL (prefills.rows->len, 0);
  sv_prefills_clear (&prefills);
}

/*
 * Guards against late first events of short prompts, and stalled streams next to them, while other
 * packed endpoints are free. Several prompts arrive within a pass, and for each the same endpoint
 * looks free again: prefill was counted for its own time only, but it ends with the pass.
 */
static void
test_short_prefill_ends_with_its_pass (void)
{
  Fixture fixture;
  SvPlacement placement;

  fixture_open (&fixture, ENGINES);
  placement = place_short (&fixture);
  start (&fixture, &placement);
  knl_paused_clock_advance (fixture.clock, placement.part + 5 * KNL_MSEC);
  CU_ASSERT (sv_endpoint_prefill_left (placement.first, knl_kernel_now (fixture.kernel)) > 0);
  knl_paused_clock_advance (fixture.clock, 60 * KNL_MSEC);
  CU_ASSERT_EQUAL (sv_endpoint_prefill_left (placement.first, knl_kernel_now (fixture.kernel)), 0);
  fixture_close (&fixture);
}

/*
 * Guards against a long prompt that one endpoint prefills for more than a second, stalling all
 * short streams there. Streams remain on every endpoint, as at the end of a load peak. The delay of
 * streams was counted at the helpers but not at the endpoint that runs the prompt, so that one part
 * looked cheaper than many.
 */
static void
test_long_prompt_is_split_among_streams (void)
{
  static const SvLoad streams = { .calls = 4, .decoding_streams = { 4 }, .tokens = 20000 };
  Fixture fixture;
  SvPlacement placement;

  fixture_open (&fixture, ENGINES);
  for (guint i = 0; i < ENGINES; i++)
    sv_endpoint_charge (g_ptr_array_index (sv_fleet_all (fixture.fleet), i), &streams, 1);
  placement = place (&fixture, 88000, KNL_SEC, 6 * KNL_SEC);
  CU_ASSERT (placement.n_helpers > 0);
  CU_ASSERT (placement.part < 200 * KNL_MSEC);
  fixture_close (&fixture);
}

/* A prefill next to streams also takes the time of their passes. */
static void
test_prefill_next_to_streams_takes_longer (void)
{
  Fixture fixture;
  SvPlacement placement;

  fixture_open (&fixture, 1);
  placement = place_long (&fixture, 60000);
  CU_ASSERT_EQUAL (placement.prefill, placement.part);
  placement = place_short (&fixture);
  sv_endpoint_charge (placement.first, &placement.load, 1);
  placement = place_long (&fixture, 60000);
  CU_ASSERT (placement.prefill > placement.part + 40 * KNL_MSEC);
  fixture_close (&fixture);
}

/*
 * Guards against a crash (signal 6) some seconds after an endpoint was removed. A prompt is split;
 * one of its helpers is removed from the list; the prompt is given up and its prefill entries are
 * removed. The placement held a reference to its first endpoint only.
 */
static void
test_endpoints_outlive_the_fleet (void)
{
  Fixture fixture;
  SvPlacement placement;

  fixture_open (&fixture, ENGINES);
  placement = place_long (&fixture, 250000);
  CU_ASSERT (placement.n_helpers > 0);
  add_prefill (&fixture, &placement, 7);
  sv_placement_ref (&placement);
  for (guint round = 0; round < 2; round++)
    {
      sv_fleet_begin_list (fixture.fleet);
      sv_fleet_end_list (fixture.fleet);
      knl_paused_clock_advance (fixture.clock, 2 * KNL_SEC);
    }
  CU_ASSERT_EQUAL (sv_fleet_all (fixture.fleet)->len, 0);
  sv_fleet_end_prefill (fixture.fleet, 7);
  sv_placement_clear (&placement);
  CU_ASSERT_PTR_NULL (placement.first);
  fixture_close (&fixture);
}

static void
test_memory_is_spread (void)
{
  static const struct
  {
    guint64 tokens;
    gboolean needs_holds;
    gboolean lacks;
  } rows[] = {
    { 200000, FALSE, FALSE },
    { 350000, TRUE, FALSE },
    { 700000, TRUE, FALSE },
    { 9000000, TRUE, TRUE },
  };
  Fixture fixture;

  fixture_open (&fixture, ENGINES);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      SvPlacement placement = place_long (&fixture, rows[i].tokens);
      guint64 held = placement.load.tokens;
      gboolean holds = FALSE;

      for (guint j = 0; j < placement.n_helpers; j++)
        {
          held += placement.holds[j];
          holds |= placement.holds[j] > 0;
          CU_ASSERT (placement.holds[j] < spec.memory_tokens);
        }
      CU_ASSERT_EQUAL (holds, rows[i].needs_holds);
      CU_ASSERT_EQUAL (placement.lacks_memory, rows[i].lacks);
      if (!rows[i].lacks)
        CU_ASSERT (held >= rows[i].tokens);
    }
  fixture_close (&fixture);
}

static void
test_full_endpoints_are_indicated (void)
{
  static const SvLoad sixteen = { .calls = 16 };
  Fixture fixture;

  fixture_open (&fixture, 1);
  CU_ASSERT_FALSE (place_short (&fixture).is_full);
  sv_endpoint_charge (g_ptr_array_index (sv_fleet_all (fixture.fleet), 0), &sixteen, 1);
  CU_ASSERT_TRUE (place_short (&fixture).is_full);
  fixture_close (&fixture);
}

/*
 * Guards against long prompts that are rejected several times within 100 ms without any fault. An
 * engine helps with as many prompts as it has slots, and a further prompt chooses it as helper: the
 * parts placed at an engine weren't counted, and the refusing helper got a backoff for all requests
 * as after a loss.
 */
static void
test_busy_helpers_are_left_out (void)
{
  Fixture fixture;
  SvPlacement placement;
  SvEndpoint *busy;
  SvEndpoint *refusing;
  KnlTime now;

  fixture_open (&fixture, ENGINES);
  placement = place_long (&fixture, 200000);
  CU_ASSERT_FATAL (placement.n_helpers > 2);
  busy = placement.helpers[0];
  refusing = placement.helpers[1];
  now = knl_kernel_now (fixture.kernel);
  for (guint i = 0; i < 14; i++)
    {
      SvPrefill part = { .prompt = 100 + i, .until_ended = TRUE };

      sv_fleet_add_prefill (fixture.fleet, &part, &busy->key, 1);
    }
  CU_ASSERT_FALSE (sv_endpoint_can_help (busy, now));
  sv_endpoint_note_helper_rejection (refusing, now);
  CU_ASSERT_FALSE (sv_endpoint_can_help (refusing, now));
  /* It can still run requests of its own. */
  CU_ASSERT_TRUE (sv_endpoint_is_usable (refusing, now));
  placement = place_long (&fixture, 200000);
  for (guint i = 0; i < placement.n_helpers; i++)
    CU_ASSERT (placement.helpers[i] != busy && placement.helpers[i] != refusing);
  sv_endpoint_note_helper_success (refusing);
  CU_ASSERT_TRUE (sv_endpoint_can_help (refusing, now));
  sv_fleet_end_prefill (fixture.fleet, 100);
  CU_ASSERT_TRUE (sv_endpoint_can_help (busy, now));
  fixture_close (&fixture);
}

/* Guards against parts of a long prompt that engines of an evacuated zone read. */
static void
test_evacuated_engines_neither_run_nor_help (void)
{
  Fixture fixture;
  SvPlacement placement;

  fixture_open (&fixture, ENGINES);
  for (guint i = 0; i < ENGINES / 2; i++)
    ((SvEndpoint *)g_ptr_array_index (sv_fleet_all (fixture.fleet), i))->is_evacuated = TRUE;
  placement = place_long (&fixture, 100000);
  CU_ASSERT_FALSE (placement.first->is_evacuated);
  CU_ASSERT (placement.n_helpers > 0);
  for (guint i = 0; i < placement.n_helpers; i++)
    CU_ASSERT_FALSE (placement.helpers[i]->is_evacuated);
  CU_ASSERT_FALSE (place_short (&fixture).first->is_evacuated);
  fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "evacuated engines neither run nor help", test_evacuated_engines_neither_run_nor_help },
  { "short streams leave engines free", test_short_streams_leave_engines_free },
  { "long prompts avoid short streams", test_long_prompts_avoid_short_streams },
  { "engines with few slots", test_engines_with_few_slots },
  { "a rejected prefill is removed", test_rejected_prefill_is_removed },
  { "prefill counts until its end", test_prefill_counts_until_its_end },
  { "a short prefill ends with its pass", test_short_prefill_ends_with_its_pass },
  { "a long prompt is split among streams", test_long_prompt_is_split_among_streams },
  { "prefill next to streams takes longer", test_prefill_next_to_streams_takes_longer },
  { "endpoints outlive the fleet", test_endpoints_outlive_the_fleet },
  { "memory is spread over engines", test_memory_is_spread },
  { "full endpoints are indicated", test_full_endpoints_are_indicated },
  { "busy helpers are left out", test_busy_helpers_are_left_out },
};

SUITE_MAIN ("sv_router", cases)
