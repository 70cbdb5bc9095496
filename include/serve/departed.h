#pragma once

/**
 * Endpoints that advertised that they are leaving, and that were dropped since. The row of one may
 * be back after that: a restored store has older rows, and rows that lapsed while the store was
 * unavailable are written again by endpoints that live. It would look like a new endpoint.
 */

#include "kernel/kernel.h"

typedef struct SvDeparted SvDeparted;

SvDeparted *sv_departed_new (KnlKernel *kernel);
void sv_departed_free (SvDeparted *departed);

/** The endpoint with this key was dropped; it advertised at `advertised_at`. */
void sv_departed_note (SvDeparted *departed, guint64 endpoint, KnlTime advertised_at);

/** When the endpoint advertised that it is leaving; 0: it isn't known to have. */
KnlTime sv_departed_time (const SvDeparted *departed, guint64 endpoint);
