#pragma once

/** Internals of the deployment, shared by deployment.c and deployment_operator.c. */

#include "tests/fakes/deployment.h"

/* An entry or controller process. */
typedef struct
{
  FkDeployment *deployment;
  guint instance;
  FkDaemonKind kind;
  KnlRuntime *runtime;
  KnlKernel *kernel; /* NULL while the daemon is down */
  WrIdentity identity;
  CoConfig *config;
  WrTransport *transport;
  EpClient *client;
  EnUplink *uplink;
  EnCore *core;
  TbTable *platform;
  CmMetrics *metrics;
  CtController *controller;
  gboolean drained;
} FkDaemon;

typedef struct
{
  char name[32];
  char zone[2];
  char link_address[32];
  char caller_address[32];
  char operator_address[32];
  CtSettings settings;
  FkDaemon daemons[FK_DAEMONS];
} FkInstance;

struct FkDeployment
{
  FkDeploymentOptions options;
  KnlPausedClock *clock;
  KnlRuntime *control_runtime;
  KnlKernel *control_kernel;
  KnlKernel *store_kernel;
  FkStore *store;
  FkNetwork *network;
  FkFleet *fleet;
  guint64 last_incarnation;
  FkInstance *instances;
  GPtrArray *engines;  /* addresses of the engines, char * */
  GPtrArray *services; /* addresses of the plain services, char * */
};
