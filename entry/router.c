#include "entry/router.h"

#include <string.h>

#include "common/prefix.h"
#include "coord/shard.h"
#include "entry/length_class.h"

/* Assumed until an engine's rate has been measured, in tokens per second. */
#define DEFAULT_PREFILL_RATE 20000.0

/* Penalties added to an estimate. */
#define OTHER_ZONE_COST (2 * KNL_MSEC)
#define FAILURE_COST    (200 * KNL_MSEC)

/* Prefill time that may be queued at an engine ahead of a short prompt. */
#define MAX_ENGINE_QUEUE_TIME (200 * KNL_MSEC)

/*
 * Tokens of this entry's long prompts that may be in prefill on one engine at once,
 * as a multiple of the largest: more would only queue up in front of short prompts.
 */
#define MAX_PENDING_LONG_TOKENS 400000

static gboolean
is_for (const EnRoute *route, const EnEndpoint *endpoint)
{
  return en_endpoint_is_for (endpoint, route->label, route->service, route->need.is_long);
}

typedef struct
{
  EnEndpoint *endpoint;
  guint64 weight;
} Ranked;

static int
compare_ranked (gconstpointer a, gconstpointer b)
{
  const Ranked *x = a;
  const Ranked *y = b;

  if (x->weight != y->weight)
    return x->weight > y->weight ? -1 : 1;
  return strcmp (x->endpoint->name, y->endpoint->name);
}

GPtrArray *
en_router_long_engines (EnRouter *self,
                        const char *label,
                        const char *service,
                        const char *instance,
                        guint first)
{
  const GPtrArray *endpoints = en_fleet_endpoints (self->fleet);
  GArray *ranked = g_array_new (FALSE, FALSE, sizeof (Ranked));
  GPtrArray *engines = g_ptr_array_new ();

  for (guint i = 0; i < endpoints->len; i++)
    {
      Ranked row = { .endpoint = g_ptr_array_index (endpoints, i) };

      if (!en_endpoint_is_for (row.endpoint, label, service, TRUE)
          || !en_endpoint_usable (row.endpoint, knl_kernel_now (self->kernel)))
        continue;
      row.weight = co_rendezvous_weight (row.endpoint->name, instance);
      g_array_append_val (ranked, row);
    }
  g_array_sort (ranked, compare_ranked);
  for (guint i = 0; i < ranked->len; i++)
    g_ptr_array_add (engines, g_array_index (ranked, Ranked, (i + first) % ranked->len).endpoint);
  g_array_unref (ranked);
  return engines;
}

guint64
en_route_cached_tokens (const EnRoute *route, const EnEndpoint *endpoint)
{
  gsize cached = 0;

  while (cached < route->n_blocks
         && g_hash_table_contains (endpoint->prefixes, &route->blocks[cached]))
    cached++;
  return MIN (cached * (CM_PREFIX_BLOCK / EN_TOKEN_BYTES), route->need.prefill);
}

static double
rate_of (const EnEndpoint *endpoint)
{
  return endpoint->prefill_rate > 0 ? endpoint->prefill_rate : DEFAULT_PREFILL_RATE;
}

static KnlTime
prefill_time (guint64 tokens, const EnEndpoint *endpoint)
{
  return (KnlTime)((double)tokens / rate_of (endpoint) * (double)KNL_SEC);
}

/*
 * A report lags: it lacks what this entry sent after it. The engine runs short prompts before long
 * ones, so pending long prefill doesn't delay a short prompt.
 */
static guint64
tokens_ahead (const EnRoute *route, const EnEndpoint *endpoint)
{
  guint64 ahead =
      MAX (endpoint->load.prefill_backlog + endpoint->recent_tokens, endpoint->pending_prefill);

  if (!route->need.is_long)
    ahead -= MIN (endpoint->pending_long, ahead);
  return ahead;
}

KnlTime
en_route_estimate (const EnRoute *route, const EnEndpoint *endpoint)
{
  guint64 own = route->need.prefill - en_route_cached_tokens (route, endpoint);
  KnlTime cost = (KnlTime)endpoint->health.losses * FAILURE_COST;

  if (g_strcmp0 (endpoint->zone, route->zone) != 0)
    cost += OTHER_ZONE_COST;
  return cost + prefill_time (tokens_ahead (route, endpoint) + own, endpoint);
}

/*
 * Requests queued at an engine can no longer be reordered, refused or sent elsewhere. They
 * therefore wait here, and an engine gets the next one when its pending prefill is nearly done.
 */
static gboolean
has_backlog (const EnRoute *route, const EnEndpoint *endpoint)
{
  return endpoint->pending_prefill > 0
         && prefill_time (tokens_ahead (route, endpoint), endpoint) > MAX_ENGINE_QUEUE_TIME;
}

static gboolean
is_eligible (EnRouter *self, const EnRoute *route, const EnEndpoint *endpoint)
{
  if (!en_endpoint_usable (endpoint, route->now) || endpoint->exclusive)
    return FALSE;
  if (endpoint->held_for != 0 && endpoint->held_for != route->number)
    return FALSE;
  if (route->need.alone && endpoint->used_slots > 0)
    return FALSE;
  if (!route->need.is_long)
    return self->klass->ignores_credits || !has_backlog (route, endpoint);
  return endpoint->pending_long == 0
         || endpoint->pending_long + route->need.prefill <= MAX_PENDING_LONG_TOKENS;
}

static void
collect_candidates (EnRouter *self, const EnRoute *route)
{
  const GPtrArray *endpoints = en_fleet_endpoints (self->fleet);

  g_ptr_array_set_size (self->candidates, 0);
  for (guint i = 0; i < endpoints->len; i++)
    {
      EnEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (!is_for (route, endpoint) || !is_eligible (self, route, endpoint))
        continue;
      if (!self->klass->ignores_credits
          && !en_credits_has_capacity (self->credits, endpoint, &route->need))
        continue;
      g_ptr_array_add (self->candidates, endpoint);
    }
}

EnEndpoint *
en_router_choose (EnRouter *self, const EnRoute *route)
{
  collect_candidates (self, route);
  if (self->candidates->len == 0)
    return NULL;
  return self->klass->choose (self, route, self->candidates);
}

/* Whether the request would fit if nothing else ran on the engine. */
static gboolean
fits_when_idle (const EnRoute *route, const EnEndpoint *endpoint)
{
  if (!en_endpoint_usable (endpoint, route->now) || endpoint->held_for != 0)
    return FALSE;
  return endpoint->capacity_tokens == 0 || route->need.tokens <= endpoint->capacity_tokens;
}

EnEndpoint *
en_router_choose_to_hold (EnRouter *self, const EnRoute *route)
{
  const GPtrArray *endpoints = en_fleet_endpoints (self->fleet);
  EnEndpoint *best = NULL;
  guint usable = 0;

  for (guint i = 0; i < endpoints->len; i++)
    {
      EnEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (!is_for (route, endpoint) || !fits_when_idle (route, endpoint))
        continue;
      usable++;
      if (best == NULL || endpoint->used_tokens < best->used_tokens)
        best = endpoint;
    }
  /* The only usable engine stays available to other requests. */
  return usable > 1 ? best : NULL;
}

static EnEndpoint *
choose_lowest_estimate (const EnRoute *route, const GPtrArray *candidates)
{
  EnEndpoint *best = g_ptr_array_index (candidates, 0);

  for (guint i = 1; i < candidates->len; i++)
    {
      EnEndpoint *endpoint = g_ptr_array_index (candidates, i);
      KnlTime estimate = en_route_estimate (route, endpoint);
      KnlTime best_estimate = en_route_estimate (route, best);

      if (estimate < best_estimate
          || (estimate == best_estimate && endpoint->used_tokens < best->used_tokens))
        best = endpoint;
    }
  return best;
}

static EnEndpoint *
credits_choose (EnRouter *self, const EnRoute *route, const GPtrArray *candidates)
{
  return choose_lowest_estimate (route, candidates);
}

static const EnRouterClass credits_class = {
  .name = "credits",
  .choose = credits_choose,
};

/* The better of two random engines, by their reports and what was dispatched since. */
static EnEndpoint *
two_choices_choose (EnRouter *self, const EnRoute *route, const GPtrArray *candidates)
{
  GRand *rand = knl_kernel_rand (self->kernel);
  EnEndpoint *first =
      g_ptr_array_index (candidates, g_rand_int_range (rand, 0, (gint32)candidates->len));
  EnEndpoint *second =
      g_ptr_array_index (candidates, g_rand_int_range (rand, 0, (gint32)candidates->len));

  return en_route_estimate (route, second) < en_route_estimate (route, first) ? second : first;
}

static const EnRouterClass two_choices_class = {
  .name = "two-choices",
  .choose = two_choices_choose,
  .ignores_credits = TRUE,
};

/* Baseline for comparisons: the lowest reported load, however stale the report is. */
static EnEndpoint *
lagged_choose (EnRouter *self, const EnRoute *route, const GPtrArray *candidates)
{
  EnEndpoint *best = g_ptr_array_index (candidates, 0);

  for (guint i = 1; i < candidates->len; i++)
    {
      EnEndpoint *endpoint = g_ptr_array_index (candidates, i);

      if (endpoint->load.prefill_backlog < best->load.prefill_backlog
          || (endpoint->load.prefill_backlog == best->load.prefill_backlog
              && endpoint->load.used_tokens < best->load.used_tokens))
        best = endpoint;
    }
  return best;
}

static const EnRouterClass lagged_class = {
  .name = "lagged",
  .choose = lagged_choose,
  .ignores_credits = TRUE,
};

static const EnRouterClass *const classes[] = {
  &credits_class,
  &two_choices_class,
  &lagged_class,
};

static const EnRouterClass *
find_class (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (classes); i++)
    {
      if (strcmp (classes[i]->name, name) == 0)
        return classes[i];
    }
  return NULL;
}

gboolean
en_router_exists (const char *name)
{
  return find_class (name) != NULL;
}

EnRouter *
en_router_new (const char *name, KnlKernel *kernel, EnFleet *fleet, EnCredits *credits)
{
  const EnRouterClass *klass = find_class (name);
  EnRouter *self;

  if (klass == NULL)
    return NULL;
  self = g_new0 (EnRouter, 1);
  self->klass = klass;
  self->kernel = kernel;
  self->fleet = fleet;
  self->credits = credits;
  self->candidates = g_ptr_array_new ();
  return self;
}

void
en_router_free (EnRouter *self)
{
  if (self == NULL)
    return;
  g_ptr_array_unref (self->candidates);
  g_free (self);
}
