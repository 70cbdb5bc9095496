#pragma once

/** What the ways to place a request share; nothing outside of them includes this. */

#include "serve/router.h"

/* Prompts that take longer to read, in ms, are read in parts by several endpoints; shorter ones
 * stretch a pass by less than its own length. */
#define SV_SPLIT_MS 60.0

/* Slots of an endpoint that packing leaves free for what other instances send meanwhile. */
#define SV_PACK_SPARE_SLOTS 3

/* What an endpoint is for at the moment, by its place in the order. */
typedef enum
{
  SV_ROLE_READ,   /* it reads parts of long prompts */
  SV_ROLE_WRITE,  /* it runs them, and reads its own part */
  SV_ROLE_PACKED, /* streams with short pauses are kept here */
} SvRole;

typedef struct
{
  SvEndpoint *endpoint;
  SvLoad load;
  double read_left; /* ms */
  double pass;      /* ms, without reading */
  double order;     /* ms, see stream_order_ms */
  SvRole role;
  gboolean can_help; /* it may read parts of what others run */
} SvCandidate;

/* One choice, and what it goes by. */
typedef struct
{
  const SvDemand *demand;
  const SvEngineSpec *spec;
  GArray *candidates; /* SvCandidate */
  double read_ms;     /* of the whole prompt */
  double packed_mean; /* streams with short pauses on each packed endpoint */
} SvChoice;

/* candidates.c */

/** Usable endpoints of the service; with none, those that may be tried as a last resort. Free with
 * g_array_unref. */
GArray *sv_candidates_collect (const SvFleet *fleet, const SvDemand *demand, KnlTime now);

/** Whether the endpoint has failed the request already. */
gboolean sv_demand_excludes (const SvDemand *demand, const SvEndpoint *endpoint);

/** Gives each candidate its role, from the load and the order of their keys. */
void sv_candidates_assign_roles (SvChoice *choice);

SvCandidate *sv_candidate_at (const SvChoice *choice, guint index);

/** Whether it has room for all of the prompt and its answer. */
gboolean sv_candidate_has_memory (const SvChoice *choice, const SvCandidate *candidate);

/** Tokens of context that it has room for. */
double sv_candidate_room (const SvChoice *choice, const SvCandidate *candidate);

/* place_short.c */

/** A prompt that is read within a pass or in few parts, where streams like its own are. */
void sv_place_short (const SvChoice *choice, SvPlacement *placement);

/* place_long.c */

/** A prompt that is read in parts, apart from streams with short pauses. */
void sv_place_long (const SvChoice *choice, SvPlacement *placement);
