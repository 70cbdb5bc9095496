#pragma once

/** Chooses endpoints for a request: where it runs, and which others read parts of its prompt. */

#include "serve/config.h"
#include "serve/fleet.h"

/** Endpoints that read parts of one prompt beside the first one, at most. */
#define SV_HELPERS 16

/** What a choice depends on. */
typedef struct
{
  const SvConfig *config;
  const SvService *service;
  const char *zone;          /**< this instance's own */
  guint64 prompt_tokens;     /**< 0: a plain request */
  guint64 answer_tokens;     /**< expected */
  KnlTime objective_left;    /**< until the first event counts in full */
  KnlTime gap_objective;     /**< longest pause for full credit */
  guint64 seed;              /**< of the request; decides among endpoints that are about equal */
  const GPtrArray *excluded; /**< SvEndpoint that failed this request; may be NULL */
} SvDemand;

typedef struct
{
  SvEndpoint *first;
  SvEndpoint *helpers[SV_HELPERS];
  guint64 holds[SV_HELPERS]; /**< tokens of context that each helper is to set aside; 0: none */
  gboolean is_split;         /**< a long prompt, that may be read in parts */
  gboolean is_full;          /**< all places of the endpoints that it could run at are taken */
  gboolean lacks_memory;     /**< not even all of them have room for it now */
  guint n_helpers;
  KnlTime part;     /**< reading at each of them */
  KnlTime read;     /**< time that each is busy with it, its passes counted */
  KnlTime expected; /**< time to the first event */
  KnlTime backlog;  /**< reading that waits there already, where it is most */
  SvLoad load;      /**< of the first endpoint */
  KnlTime limited;  /**< there is none, but for limits: time until one lets a request through; 0:
                         they are not the reason */
} SvPlacement;

/** FALSE: there is no endpoint to send it to. */
gboolean
sv_router_place (const SvFleet *fleet, const SvDemand *demand, KnlTime now, SvPlacement *placement);

/** Keeps its endpoints for as long as the placement is in use; undone by sv_placement_clear(). */
void sv_placement_ref (const SvPlacement *placement);

/** Lets go of its endpoints. */
void sv_placement_clear (SvPlacement *placement);

/** Keys of the endpoints that read it, the first one's first; their number. */
guint sv_placement_readers (const SvPlacement *placement, guint64 keys[SV_HELPERS + 1]);
