#pragma once

/**
 * The controller: membership, configuration, leases and the decisions based on
 * them, on a kernel, a transport and a platform supplied by the caller. It reads
 * no clock, opens no socket and handles no signal itself, so that a test can run
 * several controllers on a paused clock.
 */

#include "common/metrics.h"
#include "controller/settings.h"
#include "coord/config.h"
#include "endpoint/endpoint.h"
#include "table/table.h"
#include "wire/link.h"

typedef struct CtController CtController;

/** All pointers must outlive the controller. */
typedef struct
{
  KnlKernel *kernel;
  WrTransport *transport; /**< its heartbeats announce the revision of `config` */
  const WrIdentity *identity;
  TbTable *platform;
  EpClient *endpoints;
  CoConfig *config; /**< empty at first; filled by the controller */
  CmMetrics *metrics;
  const CtSettings *settings;
} CtControllerOptions;

/**
 * Returns NULL if it can't listen on the identity's address. Operators' requests are handled by the
 * service "operators".
 */
CtController *ct_controller_new (const CtControllerOptions *options);

/** Stops at once, without releasing leases: they expire. */
void ct_controller_free (CtController *controller);

/**
 * Shuts down gracefully: releases the leases, waits until the relay has answered its pending
 * requests or the drain time has passed, and says goodbye to the peers. Then calls `done` once;
 * the caller frees the controller.
 */
void ct_controller_drain (CtController *controller, void (*done) (gpointer data), gpointer data);

gboolean ct_controller_ready (const CtController *controller);
