/** Collects the endpoints that a request may be sent to and assigns their roles. */

#include <math.h>

#include "serve/engine_model.h"
#include "serve/router_internal.h"

/* Fraction of the endpoints that is never packed. */
#define UNPACKED_PART 0.12

/* Fraction of their memory that endpoints which run long prompts are meant to fill with contexts;
 * decides how many endpoints get this role. */
#define WRITE_PART 0.8

/* Usable fraction of an endpoint's memory; the lengths of contexts are known only roughly. */
#define MEMORY_PART 0.9

/* Endpoints are chosen as helpers in order of their prefill backlog plus, for each decoding stream,
 * this time by the stream's gap class. */
static const double stream_order_ms[SV_N_PAUSES] = { 40, 10, 3 };

/* Fraction of a service's endpoints that must remain for reported losses to be taken into
 * account. */
#define BELIEVED_PART 0.5

gboolean
sv_demand_excludes (const SvDemand *demand, const SvEndpoint *endpoint)
{
  return demand->excluded != NULL
         && g_ptr_array_find ((GPtrArray *)demand->excluded, endpoint, NULL);
}

static void
describe (const SvDemand *demand, SvEndpoint *endpoint, KnlTime now, SvCandidate *candidate)
{
  const SvEngineSpec *spec = &demand->service->engine;

  *candidate = (SvCandidate){ .endpoint = endpoint, .load = sv_endpoint_load (endpoint, now) };
  candidate->read_left = (double)sv_endpoint_read_left (endpoint, now) / KNL_MSEC;
  candidate->pass =
      sv_model_pass_ms (spec, sv_load_writers (&candidate->load), (double)candidate->load.tokens);
  candidate->order = candidate->read_left;
  /* Parts of other prompts would come in addition to the requests that its limit allows. */
  candidate->can_help =
      sv_endpoint_can_help (endpoint, now) && !pol_limit_is_named (&endpoint->limit);
  for (guint i = 0; i < SV_N_PAUSES; i++)
    candidate->order += candidate->load.writers[i] * stream_order_ms[i];
}

/* Which endpoints are accepted as candidates; the first level is tried first. */
typedef enum
{
  TAKE_BELIEVED, /* usable, and not in doubt because of losses reported by peers */
  TAKE_USABLE,
  TAKE_LAST_RESORT,
} Take;

static gboolean
is_taken (const SvFleet *fleet, const SvEndpoint *endpoint, Take take, KnlTime now)
{
  switch (take)
    {
    case TAKE_BELIEVED:
      return sv_endpoint_usable (endpoint, now) && !sv_endpoint_is_doubted (endpoint, now);
    case TAKE_USABLE:
      return sv_endpoint_usable (endpoint, now);
    default:
      return sv_endpoint_last_resort (fleet, endpoint);
    }
}

static void
take_candidates (const SvFleet *fleet,
                 const SvDemand *demand,
                 Take take,
                 KnlTime now,
                 GArray *candidates)
{
  const GPtrArray *endpoints = sv_fleet_service (fleet, demand->service->name);

  g_array_set_size (candidates, 0);
  for (guint i = 0; endpoints != NULL && i < endpoints->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);
      SvCandidate candidate;

      if (sv_demand_excludes (demand, endpoint) || !is_taken (fleet, endpoint, take, now)
          || sv_endpoint_wait (fleet, endpoint, now) > 0)
        continue;
      describe (demand, endpoint, now, &candidate);
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
  const GPtrArray *endpoints = sv_fleet_service (fleet, demand->service->name);
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (SvCandidate));

  take_candidates (fleet, demand, TAKE_BELIEVED, now, candidates);
  if (endpoints != NULL && candidates->len < BELIEVED_PART * endpoints->len)
    take_candidates (fleet, demand, TAKE_USABLE, now, candidates);
  if (candidates->len == 0)
    take_candidates (fleet, demand, TAKE_LAST_RESORT, now, candidates);
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
unpacked_least (const SvChoice *choice)
{
  return (guint)(UNPACKED_PART * choice->candidates->len);
}

/* Streams that are packed onto one endpoint, fewer than an engine has slots. */
static double
packed_streams (const SvChoice *choice)
{
  return MAX ((double)choice->spec->slots - SV_PACK_SPARE_SLOTS, 1);
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
  guint writing;

  for (guint i = 0; i < choice->candidates->len; i++)
    {
      const SvCandidate *candidate = sv_candidate_at (choice, i);

      tight += candidate->load.writers[SV_PAUSE_TIGHT];
      if (candidate->load.writers[SV_PAUSE_TIGHT] == 0)
        tokens += (double)candidate->load.tokens;
    }
  packed = (guint)ceil ((tight + 1) / packed_streams (choice));
  packed = MIN (packed, choice->candidates->len - unpacked_least (choice));
  writing = (guint)ceil ((tokens + 1) / (WRITE_PART * (double)choice->spec->memory_tokens)) + 1;
  for (guint i = 0; i < choice->candidates->len && i < packed + writing; i++)
    sv_candidate_at (choice, i)->role = i < packed ? SV_ROLE_PACKED : SV_ROLE_WRITE;
  choice->packed_mean = tight / packed;
}

gboolean
sv_candidate_has_memory (const SvChoice *choice, const SvCandidate *candidate)
{
  guint64 need = choice->demand->prompt_tokens + choice->demand->answer_tokens;

  return (double)(candidate->load.tokens + need)
         <= MEMORY_PART * (double)choice->spec->memory_tokens;
}

double
sv_candidate_room (const SvChoice *choice, const SvCandidate *candidate)
{
  return MEMORY_PART * (double)choice->spec->memory_tokens - (double)candidate->load.tokens;
}
