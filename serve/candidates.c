/** Collects the endpoints that a request may be sent to and assigns their roles. */

#include <math.h>

#include "serve/engine_model.h"
#include "serve/router_internal.h"

/* Fraction of the endpoints that is never packed. */
#define UNPACKED_FRACTION 0.12

/* Fraction of their memory that endpoints which run long prompts are meant to fill with contexts;
 * decides how many endpoints get this role. */
#define DECODE_MEMORY_FRACTION 0.8

/* Endpoints are chosen as helpers in order of their prefill backlog plus, for each decoding stream,
 * this time by the stream's gap class. */
static const double stream_cost_ms[SV_N_GAP_CLASSES] = { 40, 10, 3 };

/* Reported losses are ignored if they leave less than this fraction of a service's endpoints. */
#define MIN_HEALTHY_FRACTION 0.5

gboolean
sv_demand_excludes (const SvDemand *demand, const SvEndpoint *endpoint)
{
  return demand->excluded != NULL
         && g_ptr_array_find ((GPtrArray *)demand->excluded, endpoint, NULL);
}

static void
candidate_init (const SvDemand *demand, SvEndpoint *endpoint, KnlTime now, SvCandidate *candidate)
{
  const SvEngineSpec *spec = &demand->service->engine;

  *candidate = (SvCandidate){ .endpoint = endpoint, .load = sv_endpoint_load (endpoint, now) };
  candidate->prefill_left = (double)sv_endpoint_prefill_left (endpoint, now) / KNL_MSEC;
  candidate->pace = endpoint->pace.factor;
  candidate->pass = candidate->pace
                    * sv_model_pass_ms (spec, sv_load_decoding_streams (&candidate->load),
                                        (double)candidate->load.tokens);
  candidate->order = candidate->prefill_left;
  candidate->is_cold = sv_endpoint_is_cold (endpoint, now);
  /* Parts of other prompts would come in addition to the requests that its limit allows, or that it
   * may get while it is cold. */
  candidate->can_help = sv_endpoint_can_help (endpoint, now) && !candidate->is_cold
                        && !pol_limit_is_advertised (&endpoint->limit);
  for (guint i = 0; i < SV_N_GAP_CLASSES; i++)
    candidate->order += candidate->load.decoding_streams[i] * stream_cost_ms[i];
}

/* Which endpoints are accepted as candidates; the first level is tried first. */
typedef enum
{
  LEVEL_HEALTHY, /* usable, and not backed off because of losses reported by peers */
  LEVEL_USABLE,
  LEVEL_LAST_RESORT,
} CandidateLevel;

static gboolean
is_accepted (const SvFleet *fleet, const SvEndpoint *endpoint, CandidateLevel level, KnlTime now)
{
  switch (level)
    {
    case LEVEL_HEALTHY:
      return sv_endpoint_is_usable (endpoint, now)
             && !sv_endpoint_has_shared_backoff (endpoint, now);
    case LEVEL_USABLE:
      return sv_endpoint_is_usable (endpoint, now);
    default:
      return sv_endpoint_is_last_resort (fleet, endpoint);
    }
}

static void
collect_level (const SvFleet *fleet,
               const SvDemand *demand,
               CandidateLevel level,
               KnlTime now,
               GArray *candidates)
{
  const GPtrArray *endpoints = sv_fleet_service (fleet, demand->service->name);

  g_array_set_size (candidates, 0);
  for (guint i = 0; endpoints != NULL && i < endpoints->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);
      SvCandidate candidate;

      if (endpoint->is_evacuated || sv_demand_excludes (demand, endpoint)
          || !is_accepted (fleet, endpoint, level, now)
          || sv_endpoint_wait_time (fleet, endpoint, now) > 0)
        continue;
      candidate_init (demand, endpoint, now, &candidate);
      g_array_append_val (candidates, candidate);
    }
}

static guint
count_not_evacuated (const GPtrArray *endpoints)
{
  guint n = 0;

  for (guint i = 0; endpoints != NULL && i < endpoints->len; i++)
    n += !((const SvEndpoint *)g_ptr_array_index (endpoints, i))->is_evacuated;
  return n;
}

/* Healthy endpoints that are left out only because they are cold: that isn't a reason to ignore the
 * losses of others. */
static guint
count_cold_left_out (const SvFleet *fleet, const SvDemand *demand, KnlTime now)
{
  const GPtrArray *endpoints = sv_fleet_service (fleet, demand->service->name);
  guint n = 0;

  for (guint i = 0; i < endpoints->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      n += !endpoint->is_evacuated && sv_endpoint_cold_wait (endpoint, now) > 0
           && is_accepted (fleet, endpoint, LEVEL_HEALTHY, now);
    }
  return n;
}

static gboolean
are_mostly_doubted (const SvFleet *fleet,
                    const SvDemand *demand,
                    KnlTime now,
                    const GArray *candidates)
{
  const GPtrArray *endpoints = sv_fleet_service (fleet, demand->service->name);
  guint healthy = candidates->len;

  if (endpoints == NULL || healthy >= MIN_HEALTHY_FRACTION * count_not_evacuated (endpoints))
    return FALSE;
  if (healthy > 0)
    healthy += count_cold_left_out (fleet, demand, now);
  return healthy < MIN_HEALTHY_FRACTION * count_not_evacuated (endpoints);
}

/* Cold endpoints come after all others when roles are assigned: they are slow, and a role that they
 * have only while this instance may send to them would change the roles of the others. */
static void
move_cold_last (GArray *candidates)
{
  guint n = candidates->len;

  for (guint i = 0, seen = 0; seen < n; seen++)
    {
      SvCandidate candidate = g_array_index (candidates, SvCandidate, i);

      if (!candidate.is_cold)
        {
          i++;
          continue;
        }
      g_array_remove_index (candidates, i);
      g_array_append_val (candidates, candidate);
    }
}

/*
 * When losses are reported for most endpoints, the fault is more likely on the
 * reporters' side, and leaving out all of these endpoints would leave none to
 * send requests to.
 */
GArray *
sv_candidates_collect (const SvFleet *fleet, const SvDemand *demand, KnlTime now)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (SvCandidate));

  collect_level (fleet, demand, LEVEL_HEALTHY, now, candidates);
  if (are_mostly_doubted (fleet, demand, now, candidates))
    collect_level (fleet, demand, LEVEL_USABLE, now, candidates);
  if (candidates->len == 0)
    collect_level (fleet, demand, LEVEL_LAST_RESORT, now, candidates);
  move_cold_last (candidates);
  return candidates;
}

SvCandidate *
sv_candidate_at (const SvChoice *choice, guint index)
{
  return &g_array_index (choice->candidates, SvCandidate, index);
}

/* Number of endpoints that are kept free of tight streams regardless of how many there are, so that
 * a long prompt can always be placed where it delays none of them. */
static guint
min_unpacked (const SvChoice *choice)
{
  return (guint)(UNPACKED_FRACTION * choice->candidates->len);
}

/* Streams that are packed onto one endpoint, fewer than an engine has slots. */
static double
max_packed_streams (const SvChoice *choice)
{
  return MAX ((double)choice->spec->slots - SV_PACK_SPARE_SLOTS, 1);
}

/* Gives the roles to the candidates in their order, but to slow ones only after all others. */
static void
assign_in_order (SvChoice *choice, guint packed, guint decoding)
{
  guint n = 0;

  for (guint round = 0; round < 2; round++)
    {
      for (guint i = 0; i < choice->candidates->len && n < packed + decoding; i++)
        {
          SvCandidate *candidate = sv_candidate_at (choice, i);

          if ((candidate->pace > 1) == (round == 1))
            candidate->role = n++ < packed ? SV_ROLE_PACKED : SV_ROLE_DECODE;
        }
    }
}

/*
 * Streams with a tight gap objective are packed onto the first endpoints of an
 * order that is the same at all instances, on as many as they need; long prompts
 * are processed by the others. Many streams on one endpoint cost very little,
 * while a long prompt delays all streams on its endpoint. The number of packed
 * endpoints follows the load.
 */
void
sv_candidates_assign_roles (SvChoice *choice)
{
  double tight = 0;
  double tokens = 0;
  guint packed;
  guint decoding;

  for (guint i = 0; i < choice->candidates->len; i++)
    {
      const SvCandidate *candidate = sv_candidate_at (choice, i);

      tight += candidate->load.decoding_streams[SV_GAP_TIGHT];
      if (candidate->load.decoding_streams[SV_GAP_TIGHT] == 0)
        tokens += (double)candidate->load.tokens;
    }
  packed = (guint)ceil ((tight + 1) / max_packed_streams (choice));
  packed = MIN (packed, choice->candidates->len - min_unpacked (choice));
  decoding =
      (guint)ceil ((tokens + 1) / (DECODE_MEMORY_FRACTION * (double)choice->spec->memory_tokens))
      + 1;
  assign_in_order (choice, packed, decoding);
  choice->packed_mean = tight / packed;
}

gboolean
sv_candidate_misses_gap (const SvChoice *choice, const SvCandidate *candidate)
{
  KnlTime gap = choice->demand->gap_objective;

  return candidate->pace > 1 && gap > 0 && candidate->pass * KNL_MSEC > (double)gap;
}

gboolean
sv_candidate_has_memory (const SvChoice *choice, const SvCandidate *candidate)
{
  guint64 need = choice->demand->prompt_tokens + choice->demand->answer_tokens;

  return (double)(candidate->load.tokens + need)
         <= SV_USABLE_MEMORY_FRACTION * (double)choice->spec->memory_tokens;
}

double
sv_candidate_free_tokens (const SvChoice *choice, const SvCandidate *candidate)
{
  return SV_USABLE_MEMORY_FRACTION * (double)choice->spec->memory_tokens
         - (double)candidate->load.tokens;
}
