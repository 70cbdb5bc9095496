#pragma once

/**
 * A complete deployment in one process on a paused clock: instances with an entry
 * and a controller each, engines and plain services, the platform and the
 * network between them. Each daemon has its own kernel, so that it can be killed,
 * restarted, frozen and drained independently.
 */

#include "controller/controller.h"
#include "entry/core.h"
#include "tests/fakes/memory_engine.h"
#include "tests/fakes/memory_network.h"
#include "tests/fakes/memory_platform.h"

typedef struct FkDeployment FkDeployment;

typedef enum
{
  FK_ENTRY,
  FK_CONTROLLER,
  FK_DAEMONS,
} FkDaemonKind;

typedef struct
{
  guint instances;       /**< assigned to the zones a, b and c in rotation */
  guint engines;         /**< label "gpu" */
  guint services;        /**< plain services, label "desk" */
  KnlTime between_zones; /**< one-way network delay between zones; 0: 1 ms */
  guint32 seed;
  SdEngineSettings engine;             /**< settings of each engine */
  const char *router;                  /**< router of the entries; NULL: their default */
  const char *const *controller_flags; /**< extra command-line flags, NULL-terminated; or NULL */
} FkDeploymentOptions;

/** Starts all daemons; they run only while the clock is advanced. */
FkDeployment *fk_deployment_new (const FkDeploymentOptions *options);
void fk_deployment_free (FkDeployment *deployment);

KnlPausedClock *fk_deployment_clock (FkDeployment *deployment);
FkNetwork *fk_deployment_network (FkDeployment *deployment);
FkFleet *fk_deployment_fleet (FkDeployment *deployment);
FkStore *fk_deployment_store (FkDeployment *deployment);

/** Starts a daemon that is down, with a higher incarnation. */
void fk_deployment_start (FkDeployment *deployment, guint instance, FkDaemonKind kind);

/** Stops a daemon at once, as SIGKILL does; its links close. */
void fk_deployment_kill (FkDeployment *deployment, guint instance, FkDaemonKind kind);

/** Starts a graceful shutdown, as SIGTERM does; the daemon is down once that has finished. */
void fk_deployment_drain (FkDeployment *deployment, guint instance, FkDaemonKind kind);

void fk_deployment_set_frozen (FkDeployment *deployment,
                               guint instance,
                               FkDaemonKind kind,
                               gboolean frozen);
gboolean fk_deployment_is_up (const FkDeployment *deployment, guint instance, FkDaemonKind kind);

/** The entry's core, NULL while it is down. */
EnCore *fk_deployment_core (FkDeployment *deployment, guint instance);
CtController *fk_deployment_controller (FkDeployment *deployment, guint instance);
TbTable *fk_deployment_platform (FkDeployment *deployment, guint instance);

/** The revision in force at a daemon; 0 while it is down. */
guint64 fk_deployment_revision (const FkDeployment *deployment, guint instance, FkDaemonKind kind);

/** "IP:PORT" of an engine or plain service. */
const char *fk_deployment_engine_address (FkDeployment *deployment, guint engine);
const char *fk_deployment_service_address (FkDeployment *deployment, guint service);

/** Sets an engine's state ("live", "leaving") in the platform's instance list; NULL removes it. */
void fk_deployment_list_engine (FkDeployment *deployment, guint engine, const char *state);

/** Called with the answer to an operator's request. `body` is valid until it returns. */
typedef void (*FkOperatorFunc) (int status, const char *body, gpointer data);

/** Sends an operator's request to a controller; if it is down, `done` gets status 0, no body. */
void fk_deployment_operator_call (FkDeployment *deployment,
                                  guint instance,
                                  const char *method,
                                  const char *path,
                                  const char *query,
                                  const char *body,
                                  FkOperatorFunc done,
                                  gpointer data);

/**
 * Applies `changes` (a JSON list) through controller 0 and advances the clock
 * until they are in force at each daemon that is up. Waits at most 30 s for the
 * controller to be ready, and 30 s for the changes. FALSE if they were refused or
 * aren't in force by then.
 */
gboolean fk_deployment_apply (FkDeployment *deployment, const char *changes);

/** The operator token of all controllers. */
#define FK_OPERATOR_TOKEN "operator-token"

/**
 * The changes (a JSON list, owned by the caller) for a configuration with model "m7", services
 * "letters" and "desk", and workspaces "w0" to "wN" with N = `workspaces` - 1.
 */
char *fk_deployment_default_changes (guint workspaces);
