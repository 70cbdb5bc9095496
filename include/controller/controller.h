#pragma once

/**
 * A whole controller: membership, configuration, leases and all that they
 * decide, on a kernel, a transport and a platform given to it. It reads no
 * clock, opens no socket and handles no signal itself, so that a test can run
 * several on a paused clock.
 */

#include "common/metrics.h"
#include "controller/settings.h"
#include "coord/config.h"
#include "endpoint/endpoint.h"
#include "table/table.h"
#include "wire/link.h"

typedef struct CtController CtController;

/** All must outlive the controller. */
typedef struct
{
  KnlKernel *kernel;
  WrTransport *transport; /**< its config_revision is that of `config` */
  const WrIdentity *identity;
  TbTable *platform;
  EpClient *endpoints;
  CoConfig *config; /**< empty; the controller fills it */
  CmMetrics *metrics;
  const CtSettings *settings;
} CtControllerOptions;

/** NULL when the listen address can't be had. Operators' calls go to the service "operators". */
CtController *ct_controller_new (const CtControllerOptions *options);

/** Ends at once; what a graceful end gives back lapses. */
void ct_controller_free (CtController *controller);

/**
 * Ends gracefully: leases are released, peers told. `done` is called once, when
 * that has happened or after the drain time; then free the controller.
 */
void ct_controller_drain (CtController *controller, void (*done) (gpointer data), gpointer data);

gboolean ct_controller_ready (const CtController *controller);
