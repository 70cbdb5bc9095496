#pragma once

/** What the parts of a controller share; only files of controller/ include it. */

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

/** Of the polls of the configuration's revision, one in so many is made by those not its readers.
 */
#define CT_IDLE_POLLS 15

/** Controllers of a zone that read the configuration's revision often. */
#define CT_READERS_PER_ZONE 2

/** Longest time that an operator's apply takes. */
#define CT_APPLY_LIMIT (5 * KNL_SEC)

struct CtController
{
  CtControllerOptions options;
  KnlKernel *kernel;
  const CtSettings *settings;
  TbTable *platform; /* options.platform, metered */
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

/** Starts the parts; on return all pointers above are set. */
void ct_controller_start_parts (CtController *controller);

/** What links bring: peers that come and go, and their frames. */
extern const CtLinksEvents ct_controller_link_events;

/** The configuration towards peers. */
void ct_config_send (CtController *controller, CtPeer *peer, guint64 have);
void ct_config_changed (CoConfig *config, guint64 before, gpointer controller);
void ct_config_ready (gpointer controller);
void ct_config_peer_revision (CtController *controller, CtPeer *peer, guint64 revision);
void
ct_config_push (CtController *controller, const CtPeer *peer, const Alderturn__ConfigPush *push);

/** The view of members has changed. */
void ct_controller_members_changed (CtMembers *members, gpointer controller);

/** Suspects that have become worse: told to the entries. */
void ct_controller_suspects_changed (const Alderturn__SuspectUpdate *update, gpointer controller);

/** Sets the gauges of /metrics to what is now. */
void ct_controller_gauge (CtController *controller);

/** The leases as `show leases` has them. */
json_t *ct_show_leases (const CtController *controller);

/** Starts the service "operators". */
KnlTaskId ct_operators_start (CtController *controller);

/** The controller goes away: calls under way end, later ones are refused. */
void ct_operators_detach (KnlKernel *kernel, KnlTaskId operators);

/** Rows of `table` that this controller alone knows; see controller/gather.h. */
json_t *ct_show_own_rows (const char *table, gpointer controller);

/** Rows of a table of declared objects, secrets hidden. */
json_t *ct_show_objects (const CoConfig *config, const char *kind);

/** Members of the view, with what `gathered` rows tell of them. */
json_t *ct_show_instances (const CtController *controller, const json_t *gathered);
json_t *ct_show_engines (const CtController *controller, const json_t *gathered);

/** The JSON answer to an apply, and its HTTP status. */
char *ct_apply_answer (const CoApplyResult *result, int *status);
