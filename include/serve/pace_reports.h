#pragma once

/**
 * Asks endpoints how slow they are where samples don't tell: an endpoint that only prefills parts
 * of prompts that others run gives none. Each call has a price, so endpoints are asked only if a
 * split prompt was late, and while some endpoint of the service is slow.
 */

#include "http/client.h"
#include "serve/core.h"
#include "serve/dialect.h"
#include "serve/fleet.h"
#include "serve/meters.h"
#include "serve/router.h"

typedef struct SvPaceReports SvPaceReports;

/** Why an endpoint may be asked. */
typedef enum
{
  SV_PACE_LATE_PROMPT, /**< it had a part of a prompt that was late */
  SV_PACE_SLOW_PEERS,  /**< some endpoint of its service is slow */
} SvPaceReason;

typedef struct
{
  KnlKernel *kernel;
  HtClient *client;
  SvDialect *dialect;
  SvFleet *fleet;
  SvPeerLink *link;
  SvMeters *meters;
} SvPaceReportsParts;

/** The parts must outlive it. */
SvPaceReports *sv_pace_reports_new (const SvPaceReportsParts *parts);

/** Cancels the calls in flight. */
void sv_pace_reports_free (SvPaceReports *reports);

/** Whether the prompt was split, and its first event came clearly later than expected. `waited`:
 * time from the send to the first event. */
gboolean sv_pace_reports_is_late (const SvPlacement *placement, KnlTime waited);

/** Whether an endpoint may be asked now and nobody knows how slow it is. */
gboolean sv_pace_reports_is_due (SvEndpoint *endpoint, SvPaceReason reason, KnlTime now);

/** Asks the endpoints that had a part of the late prompt, as far as they are due. */
void sv_pace_reports_ask_suspects (SvPaceReports *reports, const SvPlacement *placement);

/** To be called often while some endpoint of the service is slow: asks endpoints that are due, each
 * with a probability at which all instances together ask it about once. */
void sv_pace_reports_check (SvPaceReports *reports, const char *service);
