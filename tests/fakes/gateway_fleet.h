#pragma once

/**
 * Whole gateways in one process on a paused clock, with a fake store. They communicate by sockets
 * on loopback. A program has at most one fleet at a time.
 */

#include "gateway/gateway.h"
#include "kernel/paused.h"
#include "tests/fakes/row_store.h"

/** An instance's address of the store; see row_store_set_door_mode(). */
typedef enum
{
  GF_DOOR_MAIN,
  GF_DOOR_SIDE,
} GfDoor;

typedef struct
{
  guint n_instances;
  guint n_zones;
  guint n_endpoints;
  guint strong_every;      /**< every this many instances one is stronger; 0: none */
  KnlTime evacuation;      /**< bound for evacuations, four times as long for keys; 0: none */
  gboolean is_first_start; /**< as the settings state it */
  guint side_every;        /**< every this many instances one uses GF_DOOR_SIDE; 0: none */
} GfSize;

typedef struct
{
  Gateway gateway;
  KnlRuntime *runtime;
  gboolean is_running;
} GfInstance;

typedef struct
{
  GfSize size;
  struct event_base *base;
  KnlPausedClock *clock;
  KnlKernel *kernel; /* of the store */
  RowStore *store;
  GfInstance *instances;
  HtServer *guard; /* reserves the network of `octet` for this program */
  guint octet;     /* second one of the instances' addresses */
  guint64 incarnation;
} GfFleet;

/** Memory of each instance, in bytes. */
#define GF_MEMORY 16000000

/** Creates the fleet with a filled store; no instance runs yet. */
void gf_fleet_open (GfFleet *fleet, const GfSize *size);
void gf_fleet_close (GfFleet *fleet);

/** Starts an instance, which must not run, as a new process. */
void gf_fleet_start (GfFleet *fleet, guint i);

/** Starts all instances that don't run, spread evenly over `span`. */
void gf_fleet_start_all (GfFleet *fleet, KnlTime span);

/** Ends an instance without warning. */
void gf_fleet_kill (GfFleet *fleet, guint i);

void gf_fleet_advance (GfFleet *fleet, KnlTime time);

/** Advances until all running instances know each other and are ready, by at most `limit`. Returns
 * the time that it took; `limit` if they don't. */
KnlTime gf_fleet_settle (GfFleet *fleet, KnlTime limit);

/** Running instances that don't accept callers. */
guint gf_fleet_n_unready (const GfFleet *fleet);

/** Pairs of running instances of the same zone of which one doesn't take the other for alive. */
guint gf_fleet_n_unknown (const GfFleet *fleet);

/** Writes a configuration with that version, in which the workspace has `key`. */
void gf_fleet_put_config (GfFleet *fleet, guint version, const char *key);

/** Time in which no instance may send requests to an endpoint that leaves. */
#define GF_LEAVING (2 * KNL_SEC)

/** Writes the row of an endpoint with the state "ready" or "draining". */
void gf_fleet_put_endpoint (GfFleet *fleet, guint i, const char *state);

/** Running instances that use an older configuration. */
guint gf_fleet_n_outdated (const GfFleet *fleet, guint version);
