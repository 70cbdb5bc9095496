#pragma once

/** Chooses endpoints for a request: which one runs it, and which ones help with its prefill. */

#include "serve/config.h"
#include "serve/fleet.h"

/** Maximum number of helpers of one prompt: endpoints that prefill parts of it besides the one that
 * runs it. */
#define SV_MAX_HELPERS 16

/** Input of a placement decision. */
typedef struct
{
  const SvConfig *config;
  const SvService *service;
  const char *zone;            /**< of this instance */
  guint64 prompt_tokens;       /**< 0: a plain request */
  guint64 answer_tokens;       /**< length of the answer that there must be memory for */
  guint64 usual_answer_tokens; /**< expected length of the answer; 0: not known */
  KnlTime event_left;          /**< how much longer its caller waits for the first event */
  KnlTime gap_objective;       /**< longest gap between events that its caller tolerates */
  guint64 seed;                /**< of the request; decides between endpoints of similar cost */
  const GPtrArray *excluded;   /**< SvEndpoint: those that failed this request; may be NULL */
} SvDemand;

typedef struct
{
  SvEndpoint *first; /**< runs the request */
  SvEndpoint *helpers[SV_MAX_HELPERS];
  guint64 holds[SV_MAX_HELPERS]; /**< tokens of context that each helper reserves; 0: none */
  gboolean is_prompt;            /**< placed by the engine model */
  gboolean is_split;             /**< a long prompt, whose prefill may be split */
  guint free_slots;              /**< prompts: of the endpoint that runs it */
  gboolean is_full;              /**< short prompts: even the best endpoint has no free slot */
  gboolean lacks_memory;         /**< the chosen endpoints together lack free memory for it */
  gboolean exceeds_memory;       /**< as many as may hold it lack the memory even without others */
  guint n_helpers;
  KnlTime part;    /**< prefill time of the part of each endpoint */
  KnlTime prefill; /**< time that each is busy with its part, including the passes that it shares */
  KnlTime expected; /**< time to the first event */
  KnlTime shortest; /**< the same if it is sent once the endpoints have room */
  KnlTime rest;     /**< from there to the end of an answer of expected length */
  KnlTime backlog;  /**< prefill time already queued, at the chosen endpoint with the most of it */
  double late_streams; /**< split prompts: number of running streams that its prefill makes late */
  double engines;      /**< engine time a second of all endpoints that it may be sent to */
  SvLoad load;         /**< that the request adds to the first endpoint */
  gboolean is_evacuated; /**< no endpoint was found, and only evacuated zones have any left */
  KnlTime limit_wait;    /**< no endpoint was found because of rate limits: time until one of them
                           allows a request; 0: limits aren't the reason */
} SvPlacement;

/** Fills in `placement`, without references to its endpoints. FALSE: there is no endpoint that the
 * request may be sent to now; only `limit_wait` and `is_evacuated` are meaningful then. */
gboolean
sv_router_place (const SvFleet *fleet, const SvDemand *demand, KnlTime now, SvPlacement *placement);

/** Takes a reference to each endpoint of the placement; undone by sv_placement_clear(). */
void sv_placement_ref (const SvPlacement *placement);

/** Releases the references to the endpoints. */
void sv_placement_clear (SvPlacement *placement);

/** Writes the keys of all endpoints that prefill the prompt, the key of `first` at index 0, and
 * returns their number. */
guint sv_placement_prefill_keys (const SvPlacement *placement, guint64 keys[SV_MAX_HELPERS + 1]);

/** Whether helpers hold a part of the request's context. */
gboolean sv_placement_needs_reservation (const SvPlacement *placement);
