#include "policies.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "kernel/paused.h"
#include "serve/engine_model.h"
#include "serve/pace.h"
#include "serve/queue.h"
#include "serve/room.h"
#include "tests/fakes/pass_engine.h"

/* Time after the last arrival, for the answers to end. */
#define DRAIN_TIME (30 * KNL_SEC)

/* The load alternates between many short and many long prompts in phases of this length. */
#define PHASE_DURATION (10 * KNL_SEC)

/* Callers leave when they have waited for this many times the objective. */
#define PATIENCE 4

typedef struct Sim Sim;

/** A kind of request, as the users specified it. */
typedef struct
{
  const char *name;
  const char *prefix;
  double per_second;
  double phases[2];  /* factors of per_second in the phases of many short and many long prompts */
  double prompt;     /* mean tokens */
  double spread;     /* standard deviation of the prompt tokens divided by their mean */
  double events;     /* mean number of events */
  KnlTime objective; /* time to the first event */
  KnlTime gap;       /* objective of the longest gap between two events */
} Kind;

static const Kind kinds[BENCH_KINDS] = {
  { "short", "/s/", 36.8, { 2.4, 0.36 }, 4960, 0.9, 33, 300 * KNL_MSEC, 250 * KNL_MSEC },
  { "middle", "/m/", 1.87, { 0.5, 1.3 }, 45000, 0.5, 20, 1500 * KNL_MSEC, 600 * KNL_MSEC },
  { "long", "/l/", 1.13, { 0.05, 2.9 }, 154000, 0.55, 16, 3 * KNL_SEC, KNL_SEC },
};

const char *const bench_kind_names[BENCH_KINDS] = { "short", "middle", "long" };

static const SvEngineSpec spec = {
  .slots = 16,
  .memory_tokens = 315000,
  .stride = 51,
  .step_ms = 0.85,
  .stream_step_ms = 0.00425,
  .context_ms_per_k = 0.00285,
  .prefill_tokens_per_ms = 177,
  .pair_ms_per_m = 0.184,
  .chunk = 2048,
  .mean_prompt_tokens = 11000,
  .mean_answer_tokens = 1600,
};

typedef struct
{
  Sim *sim;
  SvFleet *fleet;
  guint32 id;
} Instance;

typedef struct
{
  Sim *sim;
  Instance *instance;
  const Kind *kind;
  guint64 number;
  guint64 prompt_tokens;
  guint events;
  KnlTime submitted_at;
  KnlTime first_at;
  KnlTime last_at;
  KnlTime longest_gap;
  gboolean in_prefill;
  SvPaceStream pace;
  SvPlacement placement;
} Request;

typedef struct BenchPolicy BenchPolicy;

struct BenchPolicy
{
  const char *name;
  /** Fills the request's placement; returns the delay until the next try, or 0 to send it now. */
  KnlTime (*place) (Request *request, const SvDemand *demand);
};

struct Sim
{
  const BenchPolicyOptions *options;
  const BenchPolicy *policy;
  BenchPolicyResult *result;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  SvConfig *config;
  const SvService *service;
  GRand *rand;
  Instance *instances;
  GPtrArray *engines; /* FkPassEngine, indexed by the number that is its endpoint's id */
  guint64 next;
  guint submitted;
  guint in_time;
};

static KnlTime
now_of (const Sim *self)
{
  return knl_kernel_now (self->kernel);
}

/* An update of load and prefill state that one instance sends to another. */
typedef struct
{
  Instance *to;
  guint32 from;
  guint64 endpoint;
  SvLoad load;
  PolPaceReport pace; /* without samples: none */
  SvPrefill prefill;
  guint n;
  guint64 keys[SV_MAX_HELPERS + 1];
} LoadUpdate;

static void
on_word (gpointer data)
{
  LoadUpdate *update = data;
  SvEndpoint *endpoint = sv_fleet_by_key (update->to->fleet, update->endpoint);

  if (endpoint != NULL)
    {
      sv_endpoint_set_peer (endpoint, update->from, &update->load);
      if (update->pace.estimate.samples > 0)
        sv_pace_note_report (endpoint, &update->pace, now_of (update->to->sim));
    }
  if (update->prefill.prompt != 0 && update->n > 0)
    sv_fleet_add_prefill (update->to->fleet, &update->prefill, update->keys, update->n);
  else if (update->prefill.prompt != 0)
    sv_fleet_end_prefill (update->to->fleet, update->prefill.prompt);
  g_free (update);
}

static void
announce_load (Request *request, const SvPrefill *prefill, const guint64 *keys, guint n)
{
  Sim *sim = request->sim;
  PolPaceReport pace = { .source = request->instance->id };

  if (!pol_pace_own_report (&request->placement.first->pace, now_of (sim), &pace.estimate))
    pace.estimate.samples = 0;
  for (guint i = 0; i < sim->options->instances; i++)
    {
      LoadUpdate *update;

      if (&sim->instances[i] == request->instance)
        continue;
      update = g_new0 (LoadUpdate, 1);
      update->to = &sim->instances[i];
      update->from = request->instance->id;
      update->endpoint = request->placement.first->key;
      update->load = request->placement.first->own;
      update->pace = pace;
      if (prefill != NULL)
        update->prefill = *prefill;
      update->n = n;
      if (n > 0)
        memcpy (update->keys, keys, n * sizeof *keys);
      knl_timer_start (sim->kernel, sim->options->delay, on_word, update);
    }
}

static SvPrefill
prefill_of (const Request *request)
{
  return (SvPrefill){ .prompt = request->number,
                      .length = request->placement.prefill,
                      .until_ended = request->placement.is_split };
}

static void
end_prefill (Request *request)
{
  SvPrefill prefill = prefill_of (request);

  if (!request->in_prefill)
    return;
  request->in_prefill = FALSE;
  sv_fleet_end_prefill (request->instance->fleet, request->number);
  if (prefill.until_ended)
    announce_load (request, &prefill, NULL, 0);
}

/* As the core does with the events of a stream. */
static void
note_pace (Request *request)
{
  SvEndpoint *endpoint = request->placement.first;
  KnlTime now = now_of (request->sim);

  if (request->sim->options->ignores_pace || sv_placement_needs_reservation (&request->placement)
      || !sv_pace_note_event (&request->pace, endpoint, &spec, now))
    return;
  sv_pace_refresh (request->instance->fleet, "llm", now);
  if (sv_pace_mark_changed (endpoint, now))
    {
      PolPaceEstimate estimate;
      gboolean is_known = pol_pace_own_report (&endpoint->pace, now, &estimate);

      endpoint->announced_pace = sv_pace_percent (is_known, &estimate);
      announce_load (request, NULL, NULL, 0);
    }
}

static void
on_event (gpointer data, guint index)
{
  Request *request = data;
  KnlTime now = now_of (request->sim);

  end_prefill (request);
  note_pace (request);
  if (index == 0)
    request->first_at = now;
  else
    request->longest_gap = MAX (request->longest_gap, now - request->last_at);
  request->last_at = now;
}

static void
on_done (gpointer data)
{
  Request *request = data;
  Sim *sim = request->sim;
  BenchKindResult *kind = &sim->result->kinds[request->kind - kinds];
  KnlTime first = request->first_at - request->submitted_at;
  gboolean in_time =
      first <= request->kind->objective && request->longest_gap <= request->kind->gap;

  sv_endpoint_charge (request->placement.first, &request->placement.load, -1);
  announce_load (request, NULL, NULL, 0);
  cm_histogram_record (&kind->first, (guint64)first);
  cm_histogram_record (&kind->max_gap, (guint64)request->longest_gap);
  kind->in_time += in_time;
  sim->in_time += in_time;
  sv_placement_clear (&request->placement);
  g_free (request);
}

static const FkPassEvents request_events = { .event = on_event, .done = on_done };

static FkPassEngine *
engine_of (const Sim *sim, const SvEndpoint *endpoint)
{
  guint64 number = g_ascii_strtoull (endpoint->id, NULL, 10);

  return g_ptr_array_index (sim->engines, number);
}

static void
launch (Request *request)
{
  Sim *sim = request->sim;
  SvPlacement *placement = &request->placement;
  SvPrefill prefill = prefill_of (request);
  guint64 keys[SV_MAX_HELPERS + 1];
  guint n = sv_placement_prefill_keys (placement, keys);
  FkPassDemand demand = {
    .prompt_tokens = request->prompt_tokens,
    .events = request->events,
    .n_helpers = placement->n_helpers,
  };

  for (guint i = 0; i < placement->n_helpers; i++)
    demand.helpers[i] = engine_of (sim, placement->helpers[i]);
  sv_placement_ref (placement);
  sv_endpoint_charge (placement->first, &placement->load, 1);
  sv_fleet_add_prefill (request->instance->fleet, &prefill, keys, n);
  request->in_prefill = TRUE;
  announce_load (request, &prefill, keys, n);
  fk_pass_engine_submit (engine_of (sim, placement->first), &demand, &request_events, request);
}

static void
place (gpointer data)
{
  Request *request = data;
  Sim *sim = request->sim;
  SvDemand demand = {
    .config = sim->config,
    .service = sim->service,
    .zone = "a",
    .prompt_tokens = request->prompt_tokens,
    .answer_tokens = (guint64)request->events * spec.stride,
    .usual_answer_tokens = (guint64)request->events * spec.stride,
    .event_left = request->submitted_at + PATIENCE * request->kind->objective - now_of (sim),
    .gap_objective = request->kind->gap,
    .seed =
        sim->options->slow_engines > 0 ? XXH64 (&request->number, sizeof request->number, 0) : 0,
  };
  KnlTime wait;

  sv_pace_refresh (request->instance->fleet, "llm", now_of (sim));
  wait = sim->policy->place (request, &demand);

  if (wait > 0)
    knl_timer_start (sim->kernel, wait, place, request);
  else
    launch (request);
}

/* Fills in the placement and its load for a policy that doesn't use the router. */
static void
fill_placement (Request *request, const SvDemand *demand, SvEndpoint *first, guint parts)
{
  SvPlacement *placement = &request->placement;
  const GPtrArray *all = sv_fleet_all (request->instance->fleet);
  GRand *rand = request->sim->rand;
  guint at = (guint)g_rand_int_range (rand, 0, (gint32)all->len);
  double prefill_ms = sv_model_prefill_ms (&spec, (double)demand->prompt_tokens);

  *placement = (SvPlacement){ .first = first, .load = { .calls = 1 } };
  placement->load.decoding_streams[sv_gap_class_of (demand->gap_objective)] = 1;
  placement->load.tokens = demand->prompt_tokens + demand->answer_tokens;
  for (guint i = 0; i < all->len && placement->n_helpers + 1 < parts; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (all, (at + i) % all->len);

      if (endpoint != first)
        placement->helpers[placement->n_helpers++] = endpoint;
    }
  placement->part = (KnlTime)(prefill_ms / (placement->n_helpers + 1) * KNL_MSEC);
  placement->prefill = placement->part;
}

static KnlTime
place_random (Request *request, const SvDemand *demand)
{
  const GPtrArray *all = sv_fleet_all (request->instance->fleet);
  guint at = (guint)g_rand_int_range (request->sim->rand, 0, (gint32)all->len);

  fill_placement (request, demand, g_ptr_array_index (all, at), 1);
  return 0;
}

static SvEndpoint *
fewest_calls (const Request *request)
{
  const GPtrArray *all = sv_fleet_all (request->instance->fleet);
  guint at = (guint)g_rand_int_range (request->sim->rand, 0, (gint32)all->len);
  SvEndpoint *best = NULL;
  guint min_calls = G_MAXUINT;

  for (guint i = 0; i < all->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (all, (at + i) % all->len);
      guint calls = sv_endpoint_load (endpoint, now_of (request->sim)).calls;

      if (calls >= min_calls)
        continue;
      min_calls = calls;
      best = endpoint;
    }
  return best;
}

static KnlTime
place_fewest (Request *request, const SvDemand *demand)
{
  fill_placement (request, demand, fewest_calls (request), 1);
  return 0;
}

/* Uses one helper for each 10,000 prompt tokens. */
static KnlTime
place_wide (Request *request, const SvDemand *demand)
{
  guint parts = 1 + MIN ((guint)(demand->prompt_tokens / 10000), SV_MAX_HELPERS);

  fill_placement (request, demand, fewest_calls (request), parts);
  return 0;
}

static KnlTime
place_routed (Request *request, const SvDemand *demand)
{
  sv_router_place (request->instance->fleet, demand, now_of (request->sim), &request->placement);
  if (sv_room_is_free (&request->placement, KNL_NEVER))
    return 0;
  /* Not the random numbers of the arrivals, which are the same whatever is decided here. */
  return sv_queue_look_delay (request->placement.is_split ? SV_LANE_LONG : SV_LANE_SHORT,
                              knl_kernel_rand (request->sim->kernel));
}

/* Sends by the router's choice at once, without deferring. */
static KnlTime
place_undeferred (Request *request, const SvDemand *demand)
{
  sv_router_place (request->instance->fleet, demand, now_of (request->sim), &request->placement);
  return 0;
}

static const BenchPolicy policies[] = {
  { "random", place_random },         { "fewest", place_fewest }, { "wide", place_wide },
  { "undeferred", place_undeferred }, { "routed", place_routed },
};

const char *const *
bench_policy_names (void)
{
  static const char *names[G_N_ELEMENTS (policies) + 1];

  for (guint i = 0; i < G_N_ELEMENTS (policies); i++)
    names[i] = policies[i].name;
  return names;
}

static const BenchPolicy *
find_policy (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (policies); i++)
    {
      if (strcmp (policies[i].name, name) == 0)
        return &policies[i];
    }
  return NULL;
}

/* Draws from a log-normal distribution with this mean, `spread` being standard deviation / mean. */
static double
draw_log_normal (GRand *rand, double mean, double spread)
{
  double sigma = sqrt (log (1 + spread * spread));
  double u = MAX (g_rand_double (rand), 1e-12);
  double normal = sqrt (-2 * log (u)) * cos (2 * G_PI * g_rand_double (rand));

  return mean * exp (sigma * normal - sigma * sigma / 2);
}

static void
arrive (Sim *self, const Kind *kind)
{
  Request *request = g_new0 (Request, 1);

  request->sim = self;
  request->kind = kind;
  request->number = ++self->next;
  request->instance =
      &self->instances[g_rand_int_range (self->rand, 0, (gint32)self->options->instances)];
  request->prompt_tokens =
      (guint64)CLAMP (draw_log_normal (self->rand, kind->prompt, kind->spread), 400, 300000);
  request->events =
      (guint)CLAMP (draw_log_normal (self->rand, kind->events, 0.6), 2, 2.5 * kind->events);
  request->submitted_at = now_of (self);
  self->result->kinds[kind - kinds].submitted++;
  self->submitted++;
  place (request);
}

/* Draws the arrivals of one millisecond. */
static void
offer_load (Sim *self)
{
  guint phase = (guint)(now_of (self) / PHASE_DURATION) % 2;

  for (guint i = 0; i < BENCH_KINDS; i++)
    {
      double rate = kinds[i].per_second * kinds[i].phases[phase] * self->options->load;

      if (g_rand_double (self->rand) < rate / 1000)
        arrive (self, &kinds[i]);
    }
}

static void
add_routes (Sim *self)
{
  SvService *service;

  self->config = sv_config_new (1);
  service = sv_config_add_service (self->config, "llm");
  service->engine = spec;
  self->service = service;
  for (guint i = 0; i < BENCH_KINDS; i++)
    {
      SvRoute *route = sv_route_new ();

      route->host = g_strdup ("h");
      route->prefix = g_strdup (kinds[i].prefix);
      route->kind = SV_STREAM;
      route->gap_objective = kinds[i].gap;
      sv_route_add_split (route, "llm", 1);
      sv_config_add_route (self->config, route);
    }
}

static void
add_engines (Sim *self, SvFleet *fleet)
{
  for (guint i = 0; i < self->options->engines; i++)
    {
      g_autofree char *id = g_strdup_printf ("%u", i);
      SvEndpointEntry entry = {
        .id = id, .service = "llm", .address = "127.0.0.1:9", .zone = "a", .slots = spec.slots
      };

      sv_fleet_update (fleet, &entry);
    }
}

static void
sim_open (Sim *self)
{
  self->clock = knl_paused_clock_new ();
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), self->options->seed);
  self->rand = g_rand_new_with_seed (self->options->seed);
  add_routes (self);
  self->engines = g_ptr_array_new_with_free_func ((GDestroyNotify)fk_pass_engine_free);
  for (guint i = 0; i < self->options->engines; i++)
    {
      FkPassEngine *engine = fk_pass_engine_new (self->kernel, &spec);

      if (i < self->options->slow_engines)
        fk_pass_engine_set_slowdown (engine, self->options->slowdown);
      g_ptr_array_add (self->engines, engine);
    }
  self->instances = g_new0 (Instance, self->options->instances);
  for (guint i = 0; i < self->options->instances; i++)
    {
      Instance *instance = &self->instances[i];

      instance->sim = self;
      instance->id = i + 1;
      instance->fleet = sv_fleet_new (self->kernel, KNL_SEC);
      add_engines (self, instance->fleet);
    }
}

static void
sim_close (Sim *self)
{
  g_ptr_array_unref (self->engines);
  for (guint i = 0; i < self->options->instances; i++)
    sv_fleet_free (self->instances[i].fleet);
  g_free (self->instances);
  g_rand_free (self->rand);
  sv_config_unref (self->config);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
}

gboolean
bench_policy_run (const BenchPolicyOptions *options, BenchPolicyResult *result)
{
  Sim sim = { .options = options, .policy = find_policy (options->policy), .result = result };
  double prefill = 0;

  if (sim.policy == NULL)
    return FALSE;
  memset (result, 0, sizeof *result);
  sim_open (&sim);
  for (guint i = 0; i < options->seconds * 1000; i++)
    {
      offer_load (&sim);
      knl_paused_clock_advance (sim.clock, KNL_MSEC);
    }
  for (guint i = 0; i < sim.engines->len; i++)
    prefill += fk_pass_engine_prefill_ms (g_ptr_array_index (sim.engines, i));
  result->busy = prefill / 1000 / options->seconds / options->engines;
  knl_paused_clock_advance (sim.clock, DRAIN_TIME);
  result->in_time = sim.submitted > 0 ? (double)sim.in_time / sim.submitted : 0;
  sim_close (&sim);
  return TRUE;
}

void
bench_policy_result_clear (BenchPolicyResult *self)
{
  for (guint i = 0; i < BENCH_KINDS; i++)
    {
      cm_histogram_clear (&self->kinds[i].first);
      cm_histogram_clear (&self->kinds[i].max_gap);
    }
}
