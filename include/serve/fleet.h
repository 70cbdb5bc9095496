#pragma once

/**
 * The endpoints that requests can be sent to: who they are, what this instance
 * and its peers have in flight there, and how they have behaved.
 */

#include <glib.h>

#include "kernel/kernel.h"
#include "policy/belief.h"
#include "policy/health.h"
#include "policy/limit.h"
#include "serve/config.h"
#include "serve/position.h"
#include "serve/reads.h"

typedef struct SvFleet SvFleet;

/** What one or more instances have in flight at an endpoint. */
typedef struct
{
  guint calls;                /**< requests sent and not ended */
  guint writers[SV_N_PAUSES]; /**< of them, streams */
  guint64 tokens;             /**< context that they will have at their end */
} SvLoad;

/** What one peer, or all instances of another cell, have in flight at an endpoint. */
typedef struct
{
  guint32 source; /**< id of the peer or cell */
  gboolean is_cell;
  SvLoad load;
} SvPeerLoad;

/** What somebody has told of requests that were sent to an endpoint with a limit. */
typedef struct
{
  guint32 source; /**< as in SvPeerLoad */
  gboolean is_cell;
  guint32 teller; /**< id of the peer that speaks for it */
  guint32 sent;   /**< since the limit was named, as told last */
} SvToldSends;

typedef enum
{
  SV_ENDPOINT_READY,
  SV_ENDPOINT_LEAVING, /**< it says so, or its entry is gone; a last resort for a short while */
} SvEndpointState;

typedef struct
{
  gint refs;
  char *id;
  guint64 start; /**< when its process started, on its own clock; 0: it doesn't say */
  char *service;
  char *address;
  char *zone;
  guint slots;
  guint64 key;         /**< hash of the id and the start, the same at every instance */
  SvPosition revision; /**< of the entry that it was last described by; version 0: unknown */
  SvEndpointState state;
  KnlTime leaving_since;
  KnlTime said_leaving_at; /**< it said that it leaves, in an answer to us; 0: it has not */
  gboolean is_unlisted; /**< its entry is gone; it stays for the time that a leaving one serves */
  gboolean is_replaced; /**< another start, service or address has its id; only owners of a
                             reference still see it */

  SvLoad own;
  SvLoad others;         /**< sum of `peers` */
  SvLoad cells;          /**< the part of `others` that is of other cells */
  SvLoad told;           /**< what other cells were last told of ours */
  GArray *peers;         /**< SvPeerLoad */
  SvReads reads;         /**< prompts that anyone has sent there and that have not been read */
  gboolean own_changed;  /**< since peers were told */
  gboolean cell_changed; /**< since other cells were told of ours */

  guint reported_calls; /**< what it last said that it runs or has waiting */
  KnlTime reported_at;  /**< when */
  KnlTime heard_at;     /**< last bytes of any answer, to us or to a peer; 0: none yet */
  KnlTime answered_at;  /**< last whole answer to us; 0: none yet */
  PolHealth health;     /**< by our own requests there */
  PolBelief belief;     /**< by what all instances tell of it */
  PolHealth helping;    /**< by our prompts that it was to read parts of for others */
  KnlTime rests_until;  /**< it wants nothing from this instance before, by its own word */
  PolLimit limit;       /**< by its own word */
  guint32 sent;         /**< requests of this instance since it named a limit */
  guint32 sent_in_cell; /**< the same of all instances of our cell, as far as they have told */
  guint32 told_sent;    /**< what other cells were last told of `sent_in_cell` */
  double told_rate;     /**< what they were last told of the limit */
  GArray *told_sends;   /**< SvToldSends */
} SvEndpoint;

/** What the platform's list says of an endpoint. */
typedef struct
{
  const char *id;
  const char *service;
  const char *address;
  const char *zone;
  guint slots;
  gboolean draining;
  guint64 start;       /**< see SvEndpoint */
  SvPosition revision; /**< in the store; version 0: unknown */
} SvEndpointEntry;

/** The id of `endpoint` names another start of it from now on. */
typedef void (*SvReplacedFunc) (SvEndpoint *endpoint, gpointer data);

/** `leave_grace`: how long a leaving endpoint may still be sent requests. */
SvFleet *sv_fleet_new (KnlKernel *kernel, KnlTime leave_grace);
void sv_fleet_free (SvFleet *fleet);

void sv_fleet_on_replaced (SvFleet *fleet, SvReplacedFunc func, gpointer data);

/** The entry is new or has changed; one that is older than what is known is passed over. */
void sv_fleet_update (SvFleet *fleet, const SvEndpointEntry *entry);

/** The entry is gone. */
void sv_fleet_remove (SvFleet *fleet, const char *id);

/** Drops endpoints whose entry has been gone for long. */
void sv_fleet_sweep (SvFleet *fleet);

/** A whole list follows by sv_fleet_update(), ended by sv_fleet_end_list(), which removes all
 * others. */
void sv_fleet_begin_list (SvFleet *fleet);
void sv_fleet_end_list (SvFleet *fleet);

/** Endpoints of the service by rising key; owned by the fleet, NULL: none. */
const GPtrArray *sv_fleet_service (const SvFleet *fleet, const char *service);

SvEndpoint *sv_fleet_by_key (const SvFleet *fleet, guint64 key);

/** How many instances there are, and how many of them this one hears, itself counted: what
 * endpoints take from all together is divided by that. */
void sv_fleet_set_instances (SvFleet *fleet, guint known, guint heard);

/** All endpoints. */
const GPtrArray *sv_fleet_all (const SvFleet *fleet);

/** A prompt is read in equal parts by the endpoints with these keys; unknown ones are left out. */
void sv_fleet_add_read (SvFleet *fleet, const SvRead *read, const guint64 *keys, guint n);

/** The prompt has been read, or will not be. */
void sv_fleet_end_read (SvFleet *fleet, guint64 prompt);

/** A prompt that is being read; `read->length` is what is left of each part. */
typedef void (*SvFleetReadFunc) (const SvRead *read, const guint64 *keys, guint n, gpointer data);

/** Has `func` told of each prompt that is to be read, by whoever placed it; NULL: nobody. */
void sv_fleet_on_read (SvFleet *fleet, SvFleetReadFunc func, gpointer data);

/** Names all prompts that are being read and whose end will be told. */
void sv_fleet_each_read (SvFleet *fleet, SvFleetReadFunc func, gpointer data);

/** Streams of all kinds. */
guint sv_load_writers (const SvLoad *load);

SvEndpoint *sv_endpoint_ref (SvEndpoint *endpoint);
void sv_endpoint_unref (SvEndpoint *endpoint);

/** Whether requests may go there now. */
gboolean sv_endpoint_usable (const SvEndpoint *endpoint, KnlTime now);

/** It is about to end; one that is leaving already has been since then. */
void sv_endpoint_begin_leaving (SvEndpoint *endpoint, KnlTime now);

/** Whether it may be sent requests when no usable one is left. */
gboolean sv_endpoint_last_resort (const SvFleet *fleet, const SvEndpoint *endpoint);

/** Whether it counts as leaving for too long to be sent anything. */
gboolean sv_endpoint_is_gone (const SvFleet *fleet, const SvEndpoint *endpoint);

/** Adds to (or with `sign` -1 takes from) what this instance has in flight there. */
void sv_endpoint_charge (SvEndpoint *endpoint, const SvLoad *load, gint sign);

/** Time until all that was placed there has been read. */
KnlTime sv_endpoint_read_left (SvEndpoint *endpoint, KnlTime now);

/** A peer has `load` in flight there. */
void sv_endpoint_set_peer (SvEndpoint *endpoint, guint32 peer, const SvLoad *load);

/** Nothing is known of the peer any more. */
void sv_endpoint_drop_peer (SvEndpoint *endpoint, guint32 peer);

/** The same for all instances of another cell together. */
void sv_endpoint_set_cell (SvEndpoint *endpoint, guint32 cell, const SvLoad *load);
void sv_endpoint_drop_cell (SvEndpoint *endpoint, guint32 cell);

/** What this instance and the peers of its cell have in flight there. */
SvLoad sv_endpoint_own_cell (const SvEndpoint *endpoint);

/** The endpoint has just said that it has so many calls. */
void sv_endpoint_note_report (SvEndpoint *endpoint, guint calls, KnlTime now);

/** All that is in flight there, as far as is known. */
SvLoad sv_endpoint_load (const SvEndpoint *endpoint, KnlTime now);

/** TRUE: it was doubted, so that peers want to know. */
gboolean sv_endpoint_note_success (SvEndpoint *endpoint, KnlTime now);

/** An instance (0: this one) has lost a request there. */
void sv_endpoint_note_told_loss (SvEndpoint *endpoint, guint32 teller, KnlTime now);

/** A peer that doubted it has had an answer. */
void sv_endpoint_note_told_answer (SvEndpoint *endpoint);

/** Whether it rests by what instances tell each other. */
gboolean sv_endpoint_is_doubted (const SvEndpoint *endpoint, KnlTime now);

/** Whether it may be asked to read a part of a prompt that another endpoint runs. */
gboolean sv_endpoint_can_help (const SvEndpoint *endpoint, KnlTime now);

/** It was named as the reason why a prompt was rejected that it was to read a part of. */
void sv_endpoint_note_no_help (SvEndpoint *endpoint, KnlTime now);

/** It has read its part of a prompt. */
void sv_endpoint_note_help (SvEndpoint *endpoint);

/** It has named at `named_at` how many requests a second it takes from all instances; POL_NO_LIMIT:
 * any number. TRUE: that has changed. */
gboolean sv_endpoint_note_limit (SvEndpoint *endpoint, double rate, KnlTime named_at);

/** Somebody tells how many requests were sent there since it named a limit. */
void sv_endpoint_note_told_sends (SvEndpoint *endpoint, const SvToldSends *told);

/** Whether peers are to be told of its limit, or that it has none any more. */
gboolean sv_endpoint_tells_limit (const SvEndpoint *endpoint, KnlTime now);

/** How long until it takes a request from this instance, by its own word: until it has rested, and
 * its limit lets one through; 0: now. */
KnlTime sv_endpoint_wait (const SvFleet *fleet, SvEndpoint *endpoint, KnlTime now);

/** An answer that reports a failure of the endpoint's own. */
void sv_endpoint_note_error (SvEndpoint *endpoint, KnlTime now);

/** It could not be reached, broke off, or said nothing. */
void sv_endpoint_note_loss (SvEndpoint *endpoint, KnlTime now);
