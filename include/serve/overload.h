#pragma once

/**
 * Shares of workspaces while a service of model engines is overloaded.
 *
 * Saturation is measured every 100 ms from loads that all instances know alike, and adjusts the
 * planned utilisation of the engines. While the service was saturated within the last 2 s and more
 * is offered than planned, each class and workspace has a share of it (see policy/admission.h); of
 * its requests, as many are within it, and the others go after those of the same rank that are. At
 * all other times every request is within its share. None is refused for it: that follows from time
 * and room alone, see policy/wait.h.
 */

#include "common/metrics.h"
#include "serve/fleet.h"
#include "serve/offered.h"

typedef struct SvOverload SvOverload;

/** Number of all instances, this one included. */
typedef guint (*SvInstancesFunc) (gpointer data);

typedef struct
{
  KnlKernel *kernel;
  SvFleet *fleet;
  SvOffered *offered;
  CmMetrics *metrics;
  SvInstancesFunc n_instances;
  gpointer data;
} SvOverloadParts;

/** A request whose workspace may have had its share. */
typedef struct
{
  const char *id;
  const char *workspace; /**< NULL: none */
  guint64 prompt_tokens;
  guint64 answer_tokens; /**< expected length of the answer */
  guint priority;
  KnlTime gap_objective; /**< longest gap between events of a stream; 0: none */
  gboolean is_exempt;    /**< it is counted, but always within the share */
} SvOverloadRequest;

/** The parts must outlive it. */
SvOverload *
sv_overload_new (const SvOverloadParts *parts, const char *service, const SvEngineSpec *spec);
void sv_overload_free (SvOverload *overload);

/** Sets new figures for the service's engines. */
void sv_overload_set_spec (SvOverload *overload, const SvEngineSpec *spec);

/** Counts the request as offered, and decides whether it is within its share; if not, it is logged.
 */
gboolean sv_overload_is_in_share (SvOverload *overload, const SvOverloadRequest *request);

/** Whether the service was saturated recently, so that shares are in force. */
gboolean sv_overload_is_saturated (const SvOverload *overload);

/** Planned utilisation of the engines. */
double sv_overload_utilisation (const SvOverload *overload);
