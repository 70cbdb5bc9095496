#pragma once

/**
 * The endpoints that requests can be sent to: their identity, the load that this
 * instance and its peers have in flight there, and their health.
 */

#include <glib.h>

#include "kernel/kernel.h"
#include "policy/shared_health.h"
#include "policy/health.h"
#include "policy/limit.h"
#include "policy/pace.h"
#include "serve/cold.h"
#include "serve/config.h"
#include "serve/evacuations.h"
#include "serve/position.h"
#include "serve/prefills.h"
#include "serve/signs.h"

typedef struct SvFleet SvFleet;

/** Load that one or more instances have in flight at an endpoint. */
typedef struct
{
  guint calls;                              /**< requests sent and not ended */
  guint decoding_streams[SV_N_GAP_CLASSES]; /**< of these, decoding streams by gap class */
  guint64 tokens;                           /**< total context at the end of their answers */
} SvLoad;

/** Load that one peer, or all instances of another cell, have in flight at an endpoint. */
typedef struct
{
  guint32 source; /**< id of the peer or cell */
  gboolean is_cell;
  SvLoad load;
} SvPeerLoad;

/** A reported number of requests sent to an endpoint that advertises a limit. */
typedef struct
{
  guint32 source; /**< as in SvPeerLoad */
  gboolean is_cell;
  guint32 reporter; /**< id of the peer that reported it */
  guint32 sent;     /**< since the limit was advertised, by the last report */
} SvReportedSends;

typedef enum
{
  SV_ENDPOINT_READY,
  SV_ENDPOINT_LEAVING, /**< it advertises that, or its row was removed; a last resort during the
                            leave grace */
} SvEndpointState;

struct SvEndpoint
{
  gint refs;
  char *id;
  guint64 start; /**< when its process started, by its own clock; 0: not known */
  char *service;
  char *address;
  char *zone;
  guint slots;
  guint64 key;         /**< hash of the id and the start, the same at every instance */
  SvPosition revision; /**< of its row as last applied; version 0: unknown */
  SvEndpointState state;
  KnlTime leaving_since;
  KnlTime advertised_leaving_at; /**< when it advertised, in an answer to this instance, that it is
                                leaving; 0: it has not */
  gboolean is_evacuated;         /**< its zone is evacuated: nothing new is sent there */
  gboolean is_unlisted;          /**< its row was removed; it is kept for the leave grace */
  gboolean is_replaced;          /**< its id now belongs to another start, service or address; only
                                      holders of a reference still see it */

  SvLoad own;            /**< load of this instance */
  SvLoad others;         /**< sum of `peers` */
  SvLoad cells;          /**< the part of `others` that belongs to other cells */
  SvLoad announced;      /**< load of this cell as last announced to other cells */
  GArray *peers;         /**< SvPeerLoad */
  SvPrefills prefills;   /**< prefills that any instance has placed there, not yet complete */
  gboolean own_changed;  /**< since the last announcement to peers */
  gboolean cell_changed; /**< since the last announcement to other cells */

  guint reported_calls; /**< running and queued requests, by its own last report */
  KnlTime reported_at;  /**< when it reported them */
  KnlTime last_seen_at; /**< last bytes of any answer, to this instance or a peer; 0: none yet */
  SvSigns signs;        /**< of life */
  KnlTime answered_at;  /**< last complete answer to this instance; 0: none yet */
  PolHealth health;     /**< by this instance's own requests there */
  PolSharedHealth shared_health; /**< by losses reported by all instances */
  PolHealth helper_health;       /**< as a helper for this instance's prompts */
  KnlTime retry_after_until;     /**< end of the Retry-After that it advertised to this instance */
  PolLimit limit;                /**< request rate limit that it advertises */
  guint32 sent;                  /**< requests of this instance since it advertised a limit */
  guint32 sent_in_cell;          /**< the same for all instances of this cell, as far as reported */
  guint32 announced_sent;        /**< `sent_in_cell` as last announced to other cells */
  double announced_rate;         /**< the limit's rate as last announced to other cells */
  GArray *reported_sends;        /**< SvReportedSends */
  PolPace pace;                  /**< how slow it is */
  double logged_factor;          /**< `pace.factor` as last logged */
  double mean_answer;            /**< plain endpoints: mean time to an answer, ms; 0: not known */
  KnlTime mean_answer_at;        /**< when that was last updated */
  guint32 announced_pace;        /**< own estimate in percent as last announced; 0: none was */
  guint32 announced_cell_pace;   /**< the same of this cell to other cells */
  KnlTime announced_cell_statement; /**< time of the endpoint's own statement of its pace that was
                                       last announced to other cells; 0: none was */
  KnlTime pace_asked_at;            /**< when this instance last asked it for its pace; 0: never */
  gboolean is_pace_asked;           /**< such a call is in flight */
  SvEndpointCold cold; /**< whether it is cold, and this instance's share of what it may get */
};

/** An endpoint's row in the platform's list. */
typedef struct
{
  const char *id;
  const char *service;
  const char *address;
  const char *zone;
  guint slots;
  gboolean draining;
  guint64 start;       /**< see SvEndpoint */
  KnlTime cold_left;   /**< how long the endpoint stays cold, from when the row was written; -1: not
                            stated */
  SvPosition revision; /**< in the store; version 0: unknown */
} SvEndpointEntry;

/** The id of `endpoint` now belongs to another start, service or address of it. */
typedef void (*SvReplacedFunc) (SvEndpoint *endpoint, gpointer data);

/** `leave_grace`: how long a leaving endpoint may still be sent requests as a last resort. */
SvFleet *sv_fleet_new (KnlKernel *kernel, KnlTime leave_grace);

/** Sets how long ago the changes that are applied next may have been made: an endpoint that leaves
 * counts as leaving since then. */
void sv_fleet_set_list_lag (SvFleet *fleet, KnlTime lag);
void sv_fleet_free (SvFleet *fleet);

void sv_fleet_on_replaced (SvFleet *fleet, SvReplacedFunc func, gpointer data);

/** Applies a new or changed row; one that is older than the row applied last is ignored. */
void sv_fleet_update (SvFleet *fleet, const SvEndpointEntry *entry);

/** The endpoint's row was removed; unknown ids are ignored. */
void sv_fleet_remove (SvFleet *fleet, const char *id);

/** The evacuation of the zone has ended, by a change at `revision`: its endpoints count as cold
 * unless newer rows say otherwise. */
void sv_fleet_note_zone_restored (SvFleet *fleet, const char *zone, SvPosition revision);

/** The evacuated zones; owned by the fleet. Changes apply to its endpoints at once. */
SvEvacuations *sv_fleet_evacuations (const SvFleet *fleet);

/** Number of this instance's own requests in flight at endpoints of evacuated zones. */
guint sv_fleet_n_evacuated_requests (const SvFleet *fleet);

/** Drops endpoints whose row was removed more than the leave grace ago. */
void sv_fleet_sweep (SvFleet *fleet);

/** Begins a full list: each row follows by sv_fleet_update(), and sv_fleet_end_list() removes the
 * endpoints that were not in it. */
void sv_fleet_begin_list (SvFleet *fleet);
void sv_fleet_end_list (SvFleet *fleet);

/** Endpoints of the service in ascending order of key; owned by the fleet. NULL: none. */
const GPtrArray *sv_fleet_service (const SvFleet *fleet, const char *service);

SvEndpoint *sv_fleet_by_key (const SvFleet *fleet, guint64 key);

/** NULL: it isn't listed. */
SvEndpoint *sv_fleet_by_id (const SvFleet *fleet, const char *id);

/** Sets how many instances exist and how many of them this one receives messages from, itself
 * included in both; its share of an endpoint's limit follows from them. */
void sv_fleet_set_instances (SvFleet *fleet, guint known, guint reachable);

/** Sets the instances from which those that send to a cold endpoint are chosen. Before it is called
 * this instance sends nothing to cold endpoints. */
void sv_fleet_set_members (SvFleet *fleet, const SvMembers *members);

/** Sets how many requests cold endpoints may get. */
void sv_fleet_set_cold_bounds (SvFleet *fleet, const SvBounds *bounds);

/** Sets the configuration's services, as far as they concern cold endpoints. */
void sv_fleet_set_cold_config (SvFleet *fleet, const SvConfig *config);

/** All endpoints; owned by the fleet. */
const GPtrArray *sv_fleet_all (const SvFleet *fleet);

/** Registers the prefill of a prompt, in equal parts, at the endpoints with these keys; unknown
 * keys are skipped. The length is the one by the declared figures; it counts as longer at slow
 * endpoints. */
void sv_fleet_add_prefill (SvFleet *fleet, const SvPrefill *prefill, const guint64 *keys, guint n);

/** The prefill of the prompt is complete or was abandoned. */
void sv_fleet_end_prefill (SvFleet *fleet, guint64 prompt);

/** A prompt in prefill; its length is the time left for each part. */
typedef void (*SvFleetPrefillFunc) (const SvPrefill *prefill,
                                    const guint64 *keys,
                                    guint n,
                                    gpointer data);

/** Sets the callback for each newly registered prefill, from any instance; NULL: none. */
void sv_fleet_on_prefill (SvFleet *fleet, SvFleetPrefillFunc func, gpointer data);

/** Calls `func` for each prompt in prefill whose end will be announced. */
void sv_fleet_each_prefill (SvFleet *fleet, SvFleetPrefillFunc func, gpointer data);

/** Number of decoding streams of all gap classes. */
guint sv_load_decoding_streams (const SvLoad *load);

SvEndpoint *sv_endpoint_ref (SvEndpoint *endpoint);
void sv_endpoint_unref (SvEndpoint *endpoint);

/** Whether requests may be sent there now: it isn't leaving nor backed off, and after a loss this
 * instance has no other request in flight there. */
gboolean sv_endpoint_is_usable (const SvEndpoint *endpoint, KnlTime now);

/** Marks the endpoint as leaving; no-op if it is already. */
void sv_endpoint_begin_leaving (SvEndpoint *endpoint, KnlTime now);

/** Whether it may be sent requests when no endpoint is usable. */
gboolean sv_endpoint_is_last_resort (const SvFleet *fleet, const SvEndpoint *endpoint);

/** Whether its leave grace has passed, so that it is sent nothing. */
gboolean sv_endpoint_has_left (const SvFleet *fleet, const SvEndpoint *endpoint);

/** Adds `load` to (or with `sign` -1 subtracts it from) this instance's load there. */
void sv_endpoint_charge (SvEndpoint *endpoint, const SvLoad *load, gint sign);

/** Time until all prefills placed there are expected to be complete. */
KnlTime sv_endpoint_prefill_left (SvEndpoint *endpoint, KnlTime now);

/** Sets the load that a peer has in flight there. */
void sv_endpoint_set_peer (SvEndpoint *endpoint, guint32 peer, const SvLoad *load);

/** Drops the load of a peer that is no longer known. */
void sv_endpoint_drop_peer (SvEndpoint *endpoint, guint32 peer);

/** The same for all instances of another cell together. */
void sv_endpoint_set_cell (SvEndpoint *endpoint, guint32 cell, const SvLoad *load);
void sv_endpoint_drop_cell (SvEndpoint *endpoint, guint32 cell);

/** Load that this instance and the peers of its cell have in flight there. */
SvLoad sv_endpoint_own_cell_load (const SvEndpoint *endpoint);

/** The endpoint has just reported this number of running and queued requests. */
void sv_endpoint_note_report (SvEndpoint *endpoint, guint calls, KnlTime now);

/** All load in flight there, as far as known. */
SvLoad sv_endpoint_load (const SvEndpoint *endpoint, KnlTime now);

/** Records a complete answer. TRUE: it had loss reports, so the answer is to be announced. */
gboolean sv_endpoint_note_success (SvEndpoint *endpoint, KnlTime now);

/** Records a loss reported by an instance (`reporter` 0: this one). */
void sv_endpoint_note_reported_loss (SvEndpoint *endpoint, guint32 reporter, KnlTime now);

/** A peer reports an answer from an endpoint that had loss reports. */
void sv_endpoint_note_reported_answer (SvEndpoint *endpoint);

/** Whether it is backed off because of losses that instances have reported. */
gboolean sv_endpoint_has_shared_backoff (const SvEndpoint *endpoint, KnlTime now);

/** Whether it may be a helper for a prompt that another endpoint runs. */
gboolean sv_endpoint_can_help (const SvEndpoint *endpoint, KnlTime now);

/** A prompt was rejected, and the answer named this helper as the cause. */
void sv_endpoint_note_helper_rejection (SvEndpoint *endpoint, KnlTime now);

/** It has completed its part of a prompt as a helper. */
void sv_endpoint_note_helper_success (SvEndpoint *endpoint);

/** The endpoint advertised at `advertised_at` that it accepts `rate` requests per second from all
 * instances together; POL_NO_LIMIT: any number. TRUE: that has changed. */
gboolean sv_endpoint_note_limit (SvEndpoint *endpoint, double rate, KnlTime advertised_at);

/** Handles a report of how many requests were sent there since it advertised a limit. */
void sv_endpoint_note_reported_sends (SvEndpoint *endpoint, const SvReportedSends *reported);

/** Whether its limit, or that it was lifted recently, is to be announced to peers. */
gboolean sv_endpoint_announces_limit (const SvEndpoint *endpoint, KnlTime now);

/** Time until its advertised Retry-After and limit, and that it is cold, permit a request of this
 * instance; 0: now. */
KnlTime sv_endpoint_wait_time (const SvFleet *fleet, SvEndpoint *endpoint, KnlTime now);

/** Records an answer that reports a failure of the endpoint itself. */
void sv_endpoint_note_error (SvEndpoint *endpoint, KnlTime now);

/** Records that it could not be reached, closed the connection, or was silent for too long. */
void sv_endpoint_note_loss (SvEndpoint *endpoint, KnlTime now);
