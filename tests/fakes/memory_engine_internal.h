#pragma once

/** Declarations shared by the sources of the fleet in memory; not part of its interface. */

#include "tests/fakes/memory_call.h"
#include "tests/fakes/memory_engine.h"
#include "tests/standins/weight_store_model.h"

typedef struct
{
  FkFleet *fleet;
  char *address;
  KnlRuntime *runtime;
  KnlKernel *kernel;
  SdEngineSettings settings;
  SdEngine *engine;   /* NULL: down, or a plain service */
  SdService *service; /* NULL: an engine */
  gboolean down;
  GHashTable *in_flight; /* set of FkCall, in flight */
  GPtrArray *ran;        /* GArray of SdRan, one for each incarnation of the engine */
  KnlTimerId crash;
  KnlTimerId weights; /* end of the load of model weights */
  FkConnectionFault fault;
  guint fault_frames;
  guint fault_count;
  gboolean fault_counts;
} Endpoint;

struct FkFleet
{
  KnlPausedClock *clock;
  GHashTable *endpoints; /* address -> Endpoint */
  SdWeightStore weights;
};

typedef struct
{
  EpClient base;
  FkFleet *fleet;
  FkCalls calls;
} FleetClient;

Endpoint *fk_fleet_find (FkFleet *fleet, const char *address);

/** The fault of a connection made now; FK_CONNECTION_REFUSED when the endpoint is down or NULL.
 * Sets `*frames` to the number of lines that still arrive. */
FkConnectionFault fk_endpoint_connect (Endpoint *endpoint, guint *frames);

/** A stream's first member is its FkCall. */
EpStream *fk_stream_new (FleetClient *client,
                         const EpGenerate *generate,
                         const EpStreamEvents *events,
                         gpointer data);
