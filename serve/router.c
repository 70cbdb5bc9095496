#include "serve/router.h"

#include "policy/plain.h"
#include "serve/engine_model.h"
#include "serve/router_internal.h"

/* Cost of a cold endpoint of a plain service in requests in flight per slot: it is slower at first
 * than its load says, and is chosen when others have no free slot. */
#define COLD_PLAIN_COST 0.8

static double
cost_of_plain (const SvDemand *demand, const SvCandidate *candidate)
{
  const SvEndpoint *endpoint = candidate->endpoint;
  PolPlainCandidate plain = {
    .calls = candidate->load.calls,
    .slots = endpoint->slots,
    .is_other_zone = g_strcmp0 (endpoint->zone, demand->zone) != 0,
    .pace = candidate->pace,
    .health = &endpoint->health,
  };

  return pol_plain_cost (&plain) + (candidate->is_cold ? COLD_PLAIN_COST : 0);
}

static void
place_plain (const SvChoice *choice, SvPlacement *placement)
{
  double min_cost = G_MAXDOUBLE;

  for (guint i = 0; i < choice->candidates->len; i++)
    {
      const SvCandidate *candidate = sv_candidate_at (choice, i);
      double cost = cost_of_plain (choice->demand, candidate);

      if (cost < min_cost)
        {
          min_cost = cost;
          placement->first = candidate->endpoint;
        }
    }
}

/* Adds what follows from the endpoint that was chosen, which is the first candidate. */
static void
note_chosen (const SvChoice *choice, SvPlacement *placement)
{
  const SvCandidate *first = sv_candidate_at (choice, 0);
  guint streams = sv_load_decoding_streams (&first->load) + 1;
  double tokens = (double)(first->load.tokens + choice->demand->prompt_tokens);
  double pass = first->pace * sv_model_pass_ms (choice->spec, streams, tokens);
  double answer = (double)choice->demand->usual_answer_tokens;

  placement->free_slots = choice->spec->slots - MIN (first->load.calls, choice->spec->slots);
  placement->rest = (KnlTime)(sv_model_answer_ms (choice->spec, answer, pass) * KNL_MSEC);
  for (guint i = 0; i < choice->candidates->len; i++)
    placement->engines += 1 / sv_candidate_at (choice, i)->pace;
}

/* Time until a rate limit allows a request; 0: limits aren't the reason for the missing placement.
 * Endpoints that are down aren't waited for. One that only this request excludes counts, since it
 * accepts the request when the caller sends it again. */
static KnlTime
min_limit_wait (const SvFleet *fleet, const SvDemand *demand, KnlTime now)
{
  const GPtrArray *endpoints = sv_fleet_service (fleet, demand->service->name);
  KnlTime min_wait = 0;

  for (guint i = 0; endpoints != NULL && i < endpoints->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);
      KnlTime wait = sv_endpoint_wait_time (fleet, endpoint, now);

      if (endpoint->is_evacuated || !sv_endpoint_is_usable (endpoint, now))
        continue;
      if (wait == 0)
        return 0;
      min_wait = min_wait == 0 ? wait : MIN (min_wait, wait);
    }
  return min_wait;
}

/* Whether, of the endpoints that the request could still be sent to, all are in evacuated zones. */
static gboolean
has_only_evacuated (const SvFleet *fleet, const SvDemand *demand)
{
  const GPtrArray *endpoints = sv_fleet_service (fleet, demand->service->name);
  gboolean has_evacuated = FALSE;

  for (guint i = 0; endpoints != NULL && i < endpoints->len; i++)
    {
      const SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (sv_demand_excludes (demand, endpoint) || sv_endpoint_has_left (fleet, endpoint))
        continue;
      if (!endpoint->is_evacuated)
        return FALSE;
      has_evacuated = TRUE;
    }
  return has_evacuated;
}

gboolean
sv_router_place (const SvFleet *fleet, const SvDemand *demand, KnlTime now, SvPlacement *placement)
{
  g_autoptr (GArray) candidates = sv_candidates_collect (fleet, demand, now);
  SvChoice choice = {
    .demand = demand,
    .spec = &demand->service->engine,
    .candidates = candidates,
    .now = now,
  };

  *placement = (SvPlacement){ .load = { .calls = 1 } };
  if (candidates->len == 0)
    {
      placement->limit_wait = min_limit_wait (fleet, demand, now);
      placement->is_evacuated = has_only_evacuated (fleet, demand);
      return FALSE;
    }
  if (!sv_service_is_engine (demand->service) || demand->prompt_tokens == 0)
    {
      place_plain (&choice, placement);
      return TRUE;
    }
  placement->is_prompt = TRUE;
  choice.prefill_ms = sv_model_prefill_ms (choice.spec, (double)demand->prompt_tokens);
  placement->load.decoding_streams[sv_gap_class_of (demand->gap_objective)] = 1;
  placement->load.tokens = demand->prompt_tokens + demand->answer_tokens;
  sv_candidates_assign_roles (&choice);
  if (choice.prefill_ms > SV_SPLIT_MS && sv_gap_class_of (demand->gap_objective) != SV_GAP_TIGHT)
    sv_place_long (&choice, placement);
  else
    sv_place_short (&choice, placement);
  note_chosen (&choice, placement);
  return TRUE;
}

/*
 * An endpoint may leave the fleet while a part of a prompt is still on its way to
 * it or being processed. Its prefill entry is removed later, or its address is
 * sent to another endpoint; without a reference both would access freed memory.
 */
void
sv_placement_ref (const SvPlacement *self)
{
  sv_endpoint_ref (self->first);
  for (guint i = 0; i < self->n_helpers; i++)
    sv_endpoint_ref (self->helpers[i]);
}

void
sv_placement_clear (SvPlacement *self)
{
  sv_endpoint_unref (self->first);
  for (guint i = 0; i < self->n_helpers; i++)
    sv_endpoint_unref (self->helpers[i]);
  *self = (SvPlacement){ 0 };
}

guint
sv_placement_prefill_keys (const SvPlacement *self, guint64 keys[SV_MAX_HELPERS + 1])
{
  guint n = 0;

  keys[n++] = self->first->key;
  for (guint i = 0; i < self->n_helpers; i++)
    keys[n++] = self->helpers[i]->key;
  return n;
}

gboolean
sv_placement_needs_reservation (const SvPlacement *self)
{
  for (guint i = 0; i < self->n_helpers; i++)
    {
      if (self->holds[i] > 0)
        return TRUE;
    }
  return FALSE;
}
