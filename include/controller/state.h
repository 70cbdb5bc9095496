#pragma once

/** State shared by the modules of a controller; included by files of controller/ only. */

#include "controller/controller.h"
#include "controller/engines.h"
#include "controller/gather.h"
#include "controller/links.h"
#include "controller/members.h"
#include "controller/relay.h"
#include "coord/config_compact.h"
#include "coord/config_store.h"
#include "coord/idem.h"
#include "coord/idem_sweep.h"
#include "coord/lease.h"
#include "coord/share.h"
#include "coord/suspect.h"

/**
 * Controllers that are not among the readers of their zone poll the configuration's revision less
 * often by this factor.
 */
#define CT_IDLE_POLL_FACTOR 15

/** Number of controllers per zone that poll the configuration's revision at the short interval. */
#define CT_READERS_PER_ZONE 2

/** Timeout of an operator's apply. */
#define CT_APPLY_TIMEOUT (5 * KNL_SEC)

struct CtController
{
  CtControllerOptions options;
  KnlKernel *kernel;
  const CtSettings *settings;
  TbTable *platform; /* options.platform, wrapped to record metrics */
  CoConfig *config;
  CoConfigStore *store;
  CtLinks *links;
  CtMembers *members;
  CoLeases *leases;
  CoIdem *idem;
  CoConfigCompact *compact;
  CoIdemSweep *sweep;
  CoSuspects *suspects;
  CoShares *shares;
  CtEngines *engines;
  CtRelay *relay;
  CtGather *gather;
  KnlTaskId operators;
  KnlTime drain_deadline;
  gboolean draining;
  gboolean ending; /* being freed */
  KnlTimerId drain_timer;
  void (*drained) (gpointer data);
  gpointer drained_data;
};

/** Creates the modules; on return all pointers above are set. */
void ct_controller_create_modules (CtController *controller);

/** Handlers of links that open or close, and of frames received. */
extern const CtLinksEvents ct_controller_link_events;

/** Exchange of the configuration with peers. */
void ct_config_send (CtController *controller, CtPeer *peer, guint64 have);
void ct_config_on_changed (CoConfig *config, guint64 before, gpointer controller);
void ct_config_on_ready (gpointer controller);
void ct_config_handle_revision (CtController *controller, CtPeer *peer, guint64 revision);
void ct_config_handle_push (CtController *controller,
                            const CtPeer *peer,
                            const Alderturn__ConfigPush *push);

/** Called after the member view has changed. */
void ct_controller_on_members_changed (CtMembers *members, gpointer controller);

/** Called when the crash count of a suspect has risen: sends the update to all peers. */
void ct_controller_on_suspects_changed (const Alderturn__SuspectUpdate *update,
                                        gpointer controller);

/** Sets the metrics of /metrics to the present values. */
void ct_controller_update_metrics (CtController *controller);

/** The rows of `show leases`; a new reference. */
json_t *ct_show_leases (const CtController *controller);

/** Starts the service "operators", which handles CtOperatorCall messages. */
KnlTaskId ct_operators_start (CtController *controller);

/** Called before the controller is freed: answers pending and later calls with status 503. */
void ct_operators_detach (KnlKernel *kernel, KnlTaskId operators);

/** Rows of `table` that only this controller has; see controller/gather.h. A new reference. */
json_t *ct_show_own_rows (const char *table, gpointer controller);

/** Rows of the declared objects of `kind`, with secret fields masked; a new reference. */
json_t *ct_show_objects (const CoConfig *config, const char *kind);

/** Rows of the members in the view, completed from the `gathered` rows; a new reference. */
json_t *ct_show_instances (const CtController *controller, const json_t *gathered);
json_t *ct_show_engines (const CtController *controller, const json_t *gathered);

/** The JSON answer to an apply, freed with free(), and its HTTP status. */
char *ct_apply_answer (const CoApplyResult *result, int *status);
