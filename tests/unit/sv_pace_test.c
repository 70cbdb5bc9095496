/** Decisions by how slow endpoints are, and where the samples come from. */

#include <xxhash.h>

#include "kernel/paused.h"
#include "serve/engine_model.h"
#include "serve/pace.h"
#include "serve/router.h"
#include "suite.h"

#define ENGINES 18

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
  const SvService *engines;
  const SvService *plain;
} Fixture;

static void
add_route (SvConfig *config, const char *prefix, KnlTime gap)
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
add_endpoint (Fixture *self, const char *service, guint i)
{
  g_autofree char *id = g_strdup_printf ("%s-%u", service, i);
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", 100 + i);
  SvEndpointEntry entry = {
    .id = id, .service = service, .address = address, .zone = i % 2 ? "b" : "a", .slots = 16
  };

  sv_fleet_update (self->fleet, &entry);
}

static void
fixture_open (Fixture *self)
{
  self->clock = knl_paused_clock_new ();
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 3);
  self->fleet = sv_fleet_new (self->kernel, KNL_SEC);
  self->config = sv_config_new (1);
  sv_config_add_service (self->config, "llm")->engine = spec;
  self->engines = sv_config_service (self->config, "llm");
  self->plain = sv_config_add_service (self->config, "app");
  add_route (self->config, "/short/", 250 * KNL_MSEC);
  add_route (self->config, "/long/", 1000 * KNL_MSEC);
  for (guint i = 0; i < ENGINES; i++)
    {
      add_endpoint (self, "llm", i);
      add_endpoint (self, "app", i);
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

static SvEndpoint *
endpoint_at (const Fixture *self, const char *service, guint i)
{
  return g_ptr_array_index (sv_fleet_service (self->fleet, service), i);
}

static KnlTime
now_of (const Fixture *self)
{
  return knl_kernel_now (self->kernel);
}

/* A prompt, or with 0 tokens a plain request. */
typedef struct
{
  guint64 tokens;
  KnlTime gap;
  KnlTime objective;
} Kind;

static const Kind kinds[] = {
  { 0, 0, 200 * KNL_MSEC },
  { 4000, 250 * KNL_MSEC, 300 * KNL_MSEC },
  { 25000, 250 * KNL_MSEC, 300 * KNL_MSEC },
  { 40000, 600 * KNL_MSEC, 1500 * KNL_MSEC },
  { 150000, KNL_SEC, 3 * KNL_SEC },
  { 600000, KNL_SEC, 6 * KNL_SEC },
};

static gboolean
place (Fixture *self, const Kind *kind, guint64 seed, SvPlacement *placement)
{
  SvDemand demand = {
    .config = self->config,
    .service = kind->tokens > 0 ? self->engines : self->plain,
    .zone = "a",
    .prompt_tokens = kind->tokens,
    .answer_tokens = kind->tokens > 0 ? 1500 : 0,
    .objective_left = kind->objective,
    .gap_objective = kind->gap,
    .seed = seed,
  };

  return sv_router_place (self->fleet, &demand, now_of (self), placement);
}

static void
start (Fixture *self, const SvPlacement *placement, guint64 prompt)
{
  guint64 keys[SV_MAX_HELPERS + 1];
  guint n = sv_placement_prefill_keys (placement, keys);
  SvPrefill prefill = { .prompt = prompt,
                        .length = placement->prefill,
                        .until_ended = placement->is_split };

  if (placement->part > 0)
    sv_fleet_add_prefill (self->fleet, &prefill, keys, n);
  sv_endpoint_charge (placement->first, &placement->load, 1);
}

static guint64
add_to_digest (guint64 digest, const SvPlacement *placement)
{
  guint64 values[8 + 2 * SV_MAX_HELPERS] = {
    digest,
    placement->first->key,
    placement->n_helpers,
    (guint64)placement->part,
    (guint64)placement->prefill,
    (guint64)placement->expected,
    (guint64)placement->backlog,
    placement->load.tokens + placement->is_full + 2 * (guint64)placement->lacks_memory,
  };

  for (guint i = 0; i < placement->n_helpers; i++)
    {
      values[8 + 2 * i] = placement->helpers[i]->key;
      values[9 + 2 * i] = placement->holds[i];
    }
  return XXH64 (values, sizeof values, 0);
}

/* Places prompts on a fleet with random loads; `sampled`: samples at all engines are between 0.9
 * and 1.2 of the expected time. Returns a digest of all placements. */
static guint64
digest_of_placements (guint32 seed, gboolean sampled)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  guint64 digest = 0;
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 400; i++)
    {
      const Kind *kind = &kinds[g_rand_int_range (rand, 0, G_N_ELEMENTS (kinds))];
      SvPlacement placement;

      for (guint j = 0; sampled && j < ENGINES; j++)
        pol_pace_add_sample (&endpoint_at (&fixture, "llm", j)->pace, 0.9 + 0.3 * (j % 2),
                             now_of (&fixture));
      sv_pace_refresh (fixture.fleet, "llm", now_of (&fixture));
      CU_ASSERT_TRUE (place (&fixture, kind, i, &placement));
      digest = add_to_digest (digest, &placement);
      start (&fixture, &placement, i + 1);
      if (g_rand_boolean (rand))
        {
          SvEndpoint *endpoint = endpoint_at (&fixture, kind->tokens > 0 ? "llm" : "app",
                                              (guint)g_rand_int_range (rand, 0, ENGINES));
          SvLoad none = { 0 };

          endpoint->own = none;
        }
      sv_fleet_end_prefill (fixture.fleet, (guint64)g_rand_int_range (rand, 1, (gint32)i + 2));
      knl_paused_clock_advance (fixture.clock, g_rand_int_range (rand, 0, 60 * KNL_MSEC));
    }
  fixture_close (&fixture);
  return digest;
}

/* Guards against decisions that differ although no endpoint is slow. */
static void
test_equal_endpoints_are_placed_as_before (void)
{
  for (guint32 seed = 1; seed <= 50; seed++)
    CU_ASSERT_EQUAL (digest_of_placements (seed, FALSE), digest_of_placements (seed, TRUE));
}

static const SuiteCase cases[] = {
  { "equal endpoints are placed as before", test_equal_endpoints_are_placed_as_before },
};

SUITE_MAIN ("sv_pace", cases)
