#pragma once

/**
 * A whole deployment in one process on a paused clock: instances with an entry
 * and a controller each, engines and plain services, the platform and the
 * network between them. Every daemon has a kernel of its own, so each can be
 * killed, started again, frozen and drained alone.
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
  guint instances;       /**< in zones a, b, c by turns */
  guint engines;         /**< label "gpu" */
  guint services;        /**< plain ones, label "desk" */
  KnlTime between_zones; /**< one way; 0: 1 ms */
  guint32 seed;
  SdEngineSettings engine;             /**< of every engine */
  const char *router;                  /**< of the entries; NULL: their default */
  const char *const *controller_flags; /**< further ones, NULL-terminated; or NULL */
} FkDeploymentOptions;

/** Starts everything; nothing has run before the clock is advanced. */
FkDeployment *fk_deployment_new (const FkDeploymentOptions *options);
void fk_deployment_free (FkDeployment *deployment);

KnlPausedClock *fk_deployment_clock (FkDeployment *deployment);
FkNetwork *fk_deployment_network (FkDeployment *deployment);
FkFleet *fk_deployment_fleet (FkDeployment *deployment);
FkStore *fk_deployment_store (FkDeployment *deployment);

/** Starts a daemon that is down, under a higher incarnation. */
void fk_deployment_start (FkDeployment *deployment, guint instance, FkDaemonKind kind);

/** Ends a daemon at once, as SIGKILL does; its links close. */
void fk_deployment_kill (FkDeployment *deployment, guint instance, FkDaemonKind kind);

/** Asks a daemon to end gracefully, as SIGTERM does; it is down when it has. */
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

/** Puts an endpoint's state ("live" or "leaving") into the platform's list; NULL takes it off. */
void fk_deployment_list_engine (FkDeployment *deployment, guint engine, const char *state);

/** The answer to a call to a controller's operators' service. */
typedef void (*FkOperatorFunc) (int status, const char *body, gpointer data);

/** Sends it; without a controller there it is answered by status 0. */
void fk_deployment_operate (FkDeployment *deployment,
                            guint instance,
                            const char *method,
                            const char *path,
                            const char *query,
                            const char *body,
                            FkOperatorFunc done,
                            gpointer data);

/**
 * Applies `changes` (a JSON list) through controller 0 and advances the clock
 * until they are in force at every daemon that is up, 30 s at most.
 */
gboolean fk_deployment_apply (FkDeployment *deployment, const char *changes);

/** Token and changes of a usual configuration: services "letters" and "desk", workspaces 0 to
 * `workspaces` - 1. */
#define FK_OPERATOR_TOKEN "operator-token"
char *fk_deployment_usual_changes (guint workspaces);
