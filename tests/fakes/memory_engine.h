#pragma once

/**
 * Endpoints in memory, for tests under a paused clock: one fleet of engine
 * models and plain services, and an EpClient for each daemon's kernel.
 *
 * Each endpoint runs on a kernel of its own, so that it can be frozen like a
 * stopped process: calls sent to it meanwhile are executed when it resumes.
 */

#include "endpoint/endpoint.h"
#include "kernel/paused.h"
#include "tests/standins/engine_model.h"
#include "tests/standins/service_model.h"

typedef struct FkFleet FkFleet;

/** Fault of the connections that are made while it is set. */
typedef enum
{
  FK_CONNECTION_NORMAL,
  FK_CONNECTION_REFUSED,    /**< no process listens at the address */
  FK_CONNECTION_NO_CONNECT, /**< the connection is never established */
  FK_CONNECTION_NO_REQUEST, /**< silent from the start: the request never arrives */
  FK_CONNECTION_SILENT,     /**< silent after some frames; the engine doesn't notice */
  FK_CONNECTION_CUT,        /**< closed at both ends after some frames */
} FkConnectionFault;

/** Value of `frames`: all lines of the stream except the last. */
#define FK_ALL_BUT_LAST G_MAXUINT

/** Called for each request that any engine has run, including those before a crash. */
typedef void (*FkRanFunc) (const char *address, const SdRan *ran, gpointer data);

FkFleet *fk_fleet_new (KnlPausedClock *clock);

/** To be called after all clients and before the clock are freed. */
void fk_fleet_free (FkFleet *fleet);

void fk_fleet_add_engine (FkFleet *fleet, const char *address, const SdEngineSettings *settings);
void fk_fleet_add_service (FkFleet *fleet, const char *address);

/** NULL while it is down. */
SdEngine *fk_fleet_engine (FkFleet *fleet, const char *address);
SdService *fk_fleet_service (FkFleet *fleet, const char *address);

/**
 * Ends the endpoint's process: connections are closed, new ones are refused, an
 * engine's memory is lost. A plain service's record of executed calls is kept, for
 * tests.
 */
void fk_fleet_crash (FkFleet *fleet, const char *address);

/** Restarts the endpoint's process, an engine's under a higher incarnation. */
void fk_fleet_restart (FkFleet *fleet, const char *address);

/** Rate of the store from which all engines load their models, in bytes a second (default 10e9). */
void fk_fleet_set_weight_rate (FkFleet *fleet, double rate);

void fk_fleet_set_frozen (FkFleet *fleet, const char *address, gboolean frozen);

/**
 * Sets the fault of the next `count` connections to `address`; 0: of all from now
 * on. `frames` is the number of lines of a stream that still arrive, including the
 * acceptance. Under FK_CONNECTION_SILENT and FK_CONNECTION_CUT, calls other than
 * streams take effect but aren't answered.
 */
void fk_fleet_set_fault (FkFleet *fleet,
                         const char *address,
                         FkConnectionFault fault,
                         guint frames,
                         guint count);

void fk_fleet_foreach_ran (FkFleet *fleet, FkRanFunc func, gpointer data);

/** A client for the daemon on `kernel`, with a one-way latency of 1 ms; free with ep_client_free().
 */
EpClient *fk_fleet_client_new (FkFleet *fleet, KnlKernel *kernel);
