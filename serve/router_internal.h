#pragma once

/** Shared by the placement strategies; only they include this. */

#include "serve/router.h"

/* Prompts with a longer prefill, in ms, are split over several endpoints. Shorter ones lengthen a
 * pass by less than its own length. */
#define SV_SPLIT_MS 60.0

/* Usable fraction of an endpoint's memory; the lengths of contexts are known only roughly. */
#define SV_USABLE_MEMORY_FRACTION 0.9

/* Slots of an endpoint that packing leaves free for requests that other instances send at the same
 * time. */
#define SV_PACK_SPARE_SLOTS 3

/* Current role of an endpoint, from its position in an order of keys that all instances share. */
typedef enum
{
  SV_ROLE_PREFILL, /* helps with the prefill of long prompts */
  SV_ROLE_DECODE,  /* runs long prompts: prefills its own part and decodes */
  SV_ROLE_PACKED,  /* streams with a tight gap objective are packed onto it */
} SvRole;

typedef struct
{
  SvEndpoint *endpoint;
  SvLoad load;
  double prefill_left; /* prefill backlog, ms */
  double pace;         /* times that its passes and prefills are slower; 1: not slow */
  double pass;         /* duration of a pass without prefill at its pace, ms */
  double order;        /* sort key, ms; see stream_cost_ms and cost_of_packing */
  SvRole role;
  gboolean is_cold;  /* slower than it looks at first */
  gboolean can_help; /* may prefill parts of prompts that other endpoints run */
} SvCandidate;

/* State of one placement decision. */
typedef struct
{
  const SvDemand *demand;
  const SvEngineSpec *spec;
  GArray *candidates; /* SvCandidate */
  KnlTime now;
  double prefill_ms;  /* prefill time of the full prompt */
  double packed_mean; /* mean number of tight streams on a packed endpoint */
} SvChoice;

/* candidates.c */

/** Returns the usable endpoints of the service; if there are none, those that may be tried as a
 * last resort. Free with g_array_unref(). */
GArray *sv_candidates_collect (const SvFleet *fleet, const SvDemand *demand, KnlTime now);

/** Whether the endpoint has already failed the request. */
gboolean sv_demand_excludes (const SvDemand *demand, const SvEndpoint *endpoint);

/** Assigns a role to each candidate, from the load and the order of the endpoints' keys. */
void sv_candidates_assign_roles (SvChoice *choice);

SvCandidate *sv_candidate_at (const SvChoice *choice, guint index);

/** Whether the candidate is so slow that its passes alone exceed the stream's gap objective. */
gboolean sv_candidate_misses_gap (const SvChoice *choice, const SvCandidate *candidate);

/** Whether the candidate has free memory for the full prompt and its answer. */
gboolean sv_candidate_has_memory (const SvChoice *choice, const SvCandidate *candidate);

/** Tokens of context that the candidate has free memory for; may be negative. */
double sv_candidate_free_tokens (const SvChoice *choice, const SvCandidate *candidate);

/* place_short.c */

/** Places a prompt with a short prefill, or one whose stream has a tight gap objective. */
void sv_place_short (const SvChoice *choice, SvPlacement *placement);

/* place_long.c */

/** Places a prompt whose prefill is split, away from streams with a tight gap objective. */
void sv_place_long (const SvChoice *choice, SvPlacement *placement);
