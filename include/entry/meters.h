#pragma once

/** The entry's metrics. */

#include "common/metrics.h"
#include "entry/request.h"

typedef struct
{
  CmMetrics *metrics;
  CmMetric *first_token;
  CmMetric *between_tokens;
  CmMetric *queue_wait;
  CmMetric *ended;
  CmMetric *refused;
  CmMetric *retries;
  CmMetric *losses;
  CmMetric *tokens;
  CmSeries *in_flight;
  CmSeries *queued;
  CmSeries *cancels;
  CmSeries *credits_granted;
  CmSeries *credits_used;
  CmSeries *invariants;
} EnMeters;

EnMeters *en_meters_new (void);
void en_meters_free (EnMeters *meters);

/** Records the time of a token; to be called before `last_token_at` is updated. */
void en_meters_token (EnMeters *meters, const EnRequest *request, KnlTime now);

void en_meters_ended (EnMeters *meters, const EnRequest *request, EnOutcome outcome);
