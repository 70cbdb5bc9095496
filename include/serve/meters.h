#pragma once

/** The core's counters and histograms, per workspace and route class. */

#include "common/metrics.h"
#include "kernel/kernel.h"

typedef struct SvMeters SvMeters;

/** A request that has ended. Times in microseconds; 0: did not come to that. */
typedef struct
{
  const char *workspace;
  const char *route_class; /**< "idempotent", "once", or by prompt length */
  const char *outcome;
  KnlTime first; /**< from the request to the first event or the answer */
  KnlTime total;
} SvMeasured;

SvMeters *sv_meters_new (CmMetrics *metrics);
void sv_meters_free (SvMeters *meters);

void sv_meters_note_request (SvMeters *meters, const SvMeasured *measured);

/** A send to an endpoint, by how it ended. */
void sv_meters_note_send (SvMeters *meters, const char *service, const char *result);

/** A send to an endpoint that names a limit. */
void sv_meters_note_limited_send (SvMeters *meters, const char *service);

/** What the model expected of a first event, and what was seen. */
void sv_meters_note_prediction (SvMeters *meters, KnlTime expected, KnlTime seen);
