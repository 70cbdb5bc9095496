#include "serve/router.h"

#include <string.h>

#include "serve/engine_model.h"

/* Prompts that take longer to read are read in parts by several endpoints; shorter ones stretch a
 * pass by less than its own length. */
#define SPLIT_MS 60.0

/* Part of the first event's objective that a short prompt's expected time may take where streams
 * are packed; the rest is for what is not known: other instances' newest requests, the network. */
#define PACK_PART 0.5

/* Slots of an endpoint that packing leaves free for what other instances send meanwhile. */
#define PACK_SPARE_SLOTS 3

/* Of an endpoint's memory, what is counted on; contexts are known only roughly. */
#define MEMORY_PART 0.9

/* A pause begins to harm at this part of what a stream bears, and harms fully at 1. */
#define HARM_FROM 0.5

/* A first event is in danger from this part of its objective on. */
#define LATE_FROM 0.5

/* What an objective's length of waiting costs against a stream made late: breaks ties. */
#define WAIT_COST 0.3

/* Order in which endpoints are asked to read parts: reading left, and for each stream there: */
static const double stream_order_ms[SV_N_PAUSES] = { 15, 3, 1 };

/* Plain requests: costs in requests in flight a slot. */
#define OTHER_ZONE_COST   0.15
#define FAILURE_RATE_COST 2.0

typedef struct
{
  SvEndpoint *endpoint;
  SvLoad load;
  double read_left; /* ms */
  double pass;      /* ms, without reading */
  double order;
} Candidate;

static gboolean
is_excluded (const SvDemand *demand, const SvEndpoint *endpoint)
{
  return demand->excluded != NULL
         && g_ptr_array_find ((GPtrArray *)demand->excluded, endpoint, NULL);
}

static guint
n_writers (const SvLoad *load)
{
  guint sum = 0;

  for (guint i = 0; i < SV_N_PAUSES; i++)
    sum += load->writers[i];
  return sum;
}

static void
describe (const SvDemand *demand, SvEndpoint *endpoint, KnlTime now, Candidate *candidate)
{
  const SvEngineSpec *spec = &demand->service->engine;

  candidate->endpoint = endpoint;
  candidate->load = sv_endpoint_load (endpoint);
  candidate->read_left = (double)sv_endpoint_read_left (endpoint, now) / KNL_MSEC;
  candidate->pass =
      sv_model_pass_ms (spec, n_writers (&candidate->load), (double)candidate->load.tokens);
  candidate->order = candidate->read_left;
  for (guint i = 0; i < SV_N_PAUSES; i++)
    candidate->order += candidate->load.writers[i] * stream_order_ms[i];
}

/* Usable endpoints; with none, those that may be tried as a last resort. */
static GArray *
collect (const SvFleet *fleet, const SvDemand *demand, KnlTime now)
{
  const GPtrArray *endpoints = sv_fleet_service (fleet, demand->service->name);
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));

  for (guint resort = 0; resort < 2 && candidates->len == 0 && endpoints != NULL; resort++)
    for (guint i = 0; i < endpoints->len; i++)
      {
        SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);
        Candidate candidate;

        if (is_excluded (demand, endpoint))
          continue;
        if (resort == 0 ? !sv_endpoint_usable (endpoint, now)
                        : !sv_endpoint_last_resort (fleet, endpoint))
          continue;
        describe (demand, endpoint, now, &candidate);
        g_array_append_val (candidates, candidate);
      }
  return candidates;
}

static gboolean
has_memory (const SvDemand *demand, const Candidate *candidate)
{
  double need = (double)(demand->prompt_tokens + demand->answer_tokens);

  return (double)candidate->load.tokens + need
         <= MEMORY_PART * (double)demand->service->engine.memory_tokens;
}

/*
 * Short prompts are packed: they go to the first endpoint, in an order that is
 * the same at all instances, that still has room and time. Many streams on one
 * endpoint cost next to nothing, and the endpoints at the other end of the order
 * stay free of them, so that long prompts can be read there without making a
 * stream pause. Where the border lies follows from the load.
 */
static const Candidate *
choose_packed (const SvDemand *demand, const GArray *candidates, double read_ms)
{
  const SvEngineSpec *spec = &demand->service->engine;
  double limit = PACK_PART * (double)demand->objective_left / KNL_MSEC;
  const Candidate *best = NULL;
  double least = G_MAXDOUBLE;

  for (guint i = 0; i < candidates->len; i++)
    {
      const Candidate *candidate = &g_array_index (candidates, Candidate, i);
      double first = candidate->read_left + read_ms + candidate->pass;
      gboolean has_room =
          candidate->load.calls + PACK_SPARE_SLOTS <= spec->slots && has_memory (demand, candidate);

      if (has_room && first <= limit)
        return candidate;
      first += has_room ? 0 : candidate->pass * (1 + candidate->load.calls);
      if (first < least)
        {
          least = first;
          best = candidate;
        }
    }
  return best;
}

static int
compare_order (gconstpointer a, gconstpointer b)
{
  const Candidate *x = a;
  const Candidate *y = b;

  if (x->order != y->order)
    return x->order < y->order ? -1 : 1;
  /* Packed streams fill the order from its begin; reading starts from its end. */
  return x->endpoint->key > y->endpoint->key ? -1 : 1;
}

static double
ramp (double value, double from, double to)
{
  return CLAMP ((value - from) / (to - from), 0, 1);
}

/* Streams, counted as a whole at the full pause, that reading for `stretch` ms makes late. */
static double
harm_of (const SvDemand *demand, const Candidate *candidate, double stretch)
{
  double harm = 0;

  for (guint i = 0; i < SV_N_PAUSES; i++)
    {
      double gap = (double)demand->config->shortest_gaps[i] / KNL_MSEC;

      harm += candidate->load.writers[i] * ramp (stretch, HARM_FROM * gap, gap);
    }
  return harm;
}

/* What a request counts against one of usual size. */
static double
worth_of (const SvDemand *demand)
{
  const SvEngineSpec *spec = &demand->service->engine;
  double usual = spec->usual_prompt + 10 * spec->usual_answer;

  return usual <= 0 ? 1
                    : ((double)demand->prompt_tokens + 10 * (double)demand->answer_tokens) / usual;
}

/* Cost, in streams made late, of reading in `n` parts at the first n candidates. */
static double
cost_of_width (const SvDemand *demand,
               const GArray *candidates,
               guint n,
               double read_ms,
               double *expected)
{
  double part = read_ms / n;
  double objective = (double)MAX (demand->objective_left, KNL_MSEC) / KNL_MSEC;
  double finish = 0;
  double harm = 0;

  for (guint i = 0; i < n; i++)
    {
      const Candidate *candidate = &g_array_index (candidates, Candidate, i);
      double stretch = candidate->read_left + part + candidate->pass;

      finish = MAX (finish, stretch);
      harm += harm_of (demand, candidate, stretch);
    }
  *expected = finish;
  return harm + worth_of (demand) * ramp (finish, LATE_FROM * objective, objective)
         + WAIT_COST * finish / objective;
}

/* Of the first n candidates, the one to run at: with memory, and where its context, which
 * lengthens each step, meets the fewest tight streams. */
static guint
choose_first (const SvDemand *demand, const GArray *candidates, guint n)
{
  guint best = 0;
  double least = G_MAXDOUBLE;

  for (guint i = 0; i < n; i++)
    {
      const Candidate *candidate = &g_array_index (candidates, Candidate, i);
      double cost =
          (double)candidate->load.tokens / (double)MAX (demand->service->engine.memory_tokens, 1)
          + candidate->load.writers[SV_PAUSE_TIGHT];

      if (!has_memory (demand, candidate))
        cost += 1000;
      if (cost < least)
        {
          least = cost;
          best = i;
        }
    }
  return best;
}

static void
place_split (const SvDemand *demand, GArray *candidates, double read_ms, SvPlacement *placement)
{
  guint widest = MIN (candidates->len, SV_HELPERS + 1);
  guint width = 1;
  double least = G_MAXDOUBLE;
  double expected = 0;
  guint first;

  g_array_sort (candidates, compare_order);
  for (guint n = 1; n <= widest; n++)
    {
      double finish;
      double cost = cost_of_width (demand, candidates, n, read_ms, &finish);

      if (cost < least)
        {
          least = cost;
          width = n;
          expected = finish;
        }
    }
  first = choose_first (demand, candidates, width);
  placement->first = g_array_index (candidates, Candidate, first).endpoint;
  for (guint i = 0; i < width; i++)
    {
      if (i != first)
        placement->helpers[placement->n_helpers++] =
            g_array_index (candidates, Candidate, i).endpoint;
    }
  placement->part = (KnlTime)(read_ms / width * KNL_MSEC);
  placement->expected = (KnlTime)(expected * KNL_MSEC);
}

static void
place_packed (const SvDemand *demand, GArray *candidates, double read_ms, SvPlacement *placement)
{
  const Candidate *chosen = choose_packed (demand, candidates, read_ms);

  placement->first = chosen->endpoint;
  placement->part = (KnlTime)(read_ms * KNL_MSEC);
  placement->expected = (KnlTime)((chosen->read_left + read_ms + chosen->pass) * KNL_MSEC);
}

static double
plain_cost (const SvDemand *demand, const Candidate *candidate)
{
  const SvEndpoint *endpoint = candidate->endpoint;
  double cost = (double)candidate->load.calls / MAX (endpoint->slots, 1);

  if (g_strcmp0 (endpoint->zone, demand->zone) != 0)
    cost += OTHER_ZONE_COST;
  return cost + FAILURE_RATE_COST * endpoint->failure_rate;
}

static void
place_plain (const SvDemand *demand, const GArray *candidates, SvPlacement *placement)
{
  double least = G_MAXDOUBLE;

  for (guint i = 0; i < candidates->len; i++)
    {
      const Candidate *candidate = &g_array_index (candidates, Candidate, i);
      double cost = plain_cost (demand, candidate);

      if (cost < least)
        {
          least = cost;
          placement->first = candidate->endpoint;
        }
    }
}

gboolean
sv_router_place (const SvFleet *fleet, const SvDemand *demand, KnlTime now, SvPlacement *placement)
{
  g_autoptr (GArray) candidates = collect (fleet, demand, now);
  double read_ms = 0;

  *placement = (SvPlacement){ .load = { .calls = 1 } };
  if (candidates->len == 0)
    return FALSE;
  if (!sv_service_is_engine (demand->service) || demand->prompt_tokens == 0)
    {
      place_plain (demand, candidates, placement);
      return TRUE;
    }
  read_ms = sv_model_read_ms (&demand->service->engine, (double)demand->prompt_tokens);
  placement->load.writers[sv_pause_of (demand->gap_objective)] = 1;
  placement->load.tokens = demand->prompt_tokens + demand->answer_tokens;
  if (read_ms > SPLIT_MS)
    place_split (demand, candidates, read_ms, placement);
  else
    place_packed (demand, candidates, read_ms, placement);
  return TRUE;
}

void
sv_placement_note_reads (const SvPlacement *placement, KnlTime now)
{
  sv_endpoint_add_read (placement->first, now, placement->part);
  for (guint i = 0; i < placement->n_helpers; i++)
    sv_endpoint_add_read (placement->helpers[i], now, placement->part);
}
