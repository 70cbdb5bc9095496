#pragma once

/** The core's counters and histograms, per workspace and route class. */

#include "common/metrics.h"
#include "kernel/kernel.h"

typedef struct SvMeters SvMeters;

/** A request that has ended. Times are in microseconds. */
typedef struct
{
  const char *workspace;
  const char *route_class; /**< "idempotent", "at-most-once", "none", or by prompt length */
  const char *outcome;
  KnlTime first; /**< from the request to the first event or the answer; 0: there was none */
  KnlTime total; /**< from the request to its end */
} SvRequestMeasures;

SvMeters *sv_meters_new (CmMetrics *metrics);
void sv_meters_free (SvMeters *meters);

void sv_meters_note_request (SvMeters *meters, const SvRequestMeasures *measured);

/** Counts a send to an endpoint by its result. */
void sv_meters_note_send (SvMeters *meters, const char *service, const char *result);

/** Counts a send to an endpoint that advertises a limit. */
void sv_meters_note_limited_send (SvMeters *meters, const char *service);

/** Counts a send to an endpoint that is cold. */
void sv_meters_note_cold_send (SvMeters *meters, const char *service);

/** Counts an endpoint that was lost under a request. */
void sv_meters_note_crash (SvMeters *meters, const char *service);

/** Sets the number of quarantined segments. */
void sv_meters_set_quarantined (SvMeters *meters, guint n);

/** Counts a request passed on, `direction` "to-peer" or "from-peer", by its result. */
void sv_meters_note_pass (SvMeters *meters, const char *direction, const char *result);

/** Records the error of the model's estimate of the time from the send to the first event. */
void sv_meters_note_prediction (SvMeters *meters, KnlTime expected, KnlTime actual);

/** Sets the number of the service's endpoints that count as slow. */
void sv_meters_set_slow_endpoints (SvMeters *meters, const char *service, guint n);

/** Counts a call that asked an endpoint how slow it is, by its result. */
void sv_meters_note_pace_report (SvMeters *meters, const char *service, const char *result);
