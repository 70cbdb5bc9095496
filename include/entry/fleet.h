#pragma once

/**
 * The entry's view of the endpoints and of the other entries: built from member
 * updates, from load reports that come with grants, and from the entry's own
 * requests.
 *
 * Pointers to endpoints are valid until the next en_fleet_apply_members(); code
 * that runs later looks the endpoint up by its name.
 */

#include "coord/config.h"
#include "entry/error.h"
#include "policy/health.h"
#include "wire/alderturn.pb-c.h"

/** Prompt lengths that placement assigns to an engine. */
typedef enum
{
  EN_ROLE_ANY,
  EN_ROLE_SHORT, /**< short prompts only */
  EN_ROLE_LONG,  /**< long and short prompts */
} EnRole;

/** A grant of part of an engine's memory and batch slots to this entry. */
typedef struct
{
  guint64 tokens;
  guint slots;
  KnlTime expires; /**< 0: nothing was ever granted */
  guint64 fence;
  guint64 call; /**< number of the credit request that it answers */
} EnGrant;

/** An engine's load by the newest report that this entry received. */
typedef struct
{
  guint64 used_tokens;
  guint waiting;
  guint64 prefill_backlog;
  KnlTime at; /**< time at which the engine made the report; 0: no report yet */
} EnLoad;

typedef struct
{
  char *name;
  char *address;
  char *zone;
  char *label; /**< matched by a service's "endpoints" */
  Alderturn__MemberKind kind;
  Alderturn__MemberState state;
  gboolean placed; /**< placement was computed since it was added */
  char *service;   /**< service that placement assigns it to; NULL: none */
  EnRole role;
  guint64 incarnation;   /**< 0: unknown */
  guint epoch;           /**< rises when it restarts */
  gboolean removed;      /**< no longer among the members */
  gboolean drained;      /**< an operator declared it draining */
  gboolean other_subset; /**< not in this entry's subset of the engines */
  KnlTime leaving_until; /**< it advertised that it is leaving; gets no new work until then */

  EnGrant grant;
  guint64 capacity_tokens; /**< 0: unknown */
  guint capacity_slots;
  EnLoad load;
  KnlTime known_since;
  KnlTime requested_at; /**< time of the last credit request for it */

  guint64 used_tokens; /**< charged by our own requests */
  guint used_slots;
  guint64 pending_prefill; /**< prompt tokens of own requests there without a first token */
  guint64 pending_long;    /**< the share of long prompts in `pending_prefill` */
  guint64 recent_tokens;   /**< tokens that this entry dispatched since `load` was received */
  double prefill_rate;     /**< tokens a second; 0: unknown */
  guint crash_reported;    /**< crashes in epochs below this one have been reported */
  PolHealth health;        /**< from this entry's own requests */
  gboolean needs_answer;   /**< an attempt there was lost and it has not answered since */
  guint64 held_for;        /**< number of the request that it is kept free for; 0: none */
  gboolean exclusive;      /**< runs a suspect request and gets no other one */
  GHashTable *prefixes;    /**< set of hashes of prefix blocks expected in its cache */
  guint64 cache_sequence;
} EnEndpoint;

/** Memory and slots of an endpoint in use by one attempt; returned exactly once. */
typedef struct
{
  char *endpoint;
  guint epoch; /**< the endpoint's epoch at the time of the charge */
  guint64 tokens;
  guint slots;
} EnCharge;

typedef struct
{
  char *name;
  char *address; /**< where callers connect */
  char *zone;
  Alderturn__MemberState state;
  gboolean drained;
} EnPeer;

typedef struct EnFleet EnFleet;

/** Called when an endpoint's incarnation has risen; `before` is the previous one. */
typedef void (*EnRestartFunc) (EnEndpoint *endpoint, guint64 before, gpointer data);

EnFleet *en_fleet_new (KnlKernel *kernel);

/** Sets this entry's own name and zone, which determine its subset of the engines; copied. */
void en_fleet_set_self (EnFleet *fleet, const char *name, const char *zone);
void en_fleet_free (EnFleet *fleet);

void en_fleet_on_restart (EnFleet *fleet, EnRestartFunc func, gpointer data);

void en_fleet_apply_members (EnFleet *fleet, const Alderturn__MemberUpdate *update);

/** Applies the states that operators declared for instances, and recomputes placement. */
void en_fleet_apply_config (EnFleet *fleet, const CoConfig *config);

/** Notes an incarnation that the endpoint itself reported. */
void en_fleet_note_incarnation (EnFleet *fleet, const char *name, guint64 incarnation);

/** Returns the endpoint, or NULL if it is unknown or `name` is NULL. */
EnEndpoint *en_fleet_find (EnFleet *fleet, const char *name);

/** Returns all endpoints (EnEndpoint) sorted by name; owned by the fleet. */
const GPtrArray *en_fleet_endpoints (const EnFleet *fleet);

/** Returns all entries (EnPeer) sorted by name; owned by the fleet. */
const GPtrArray *en_fleet_entries (const EnFleet *fleet);

/** Returns the addresses of the live controllers; free with g_strfreev(). */
char **en_fleet_controllers (const EnFleet *fleet);

/** Whether the endpoint is an engine for prompts of this service; with `is_long`, for long ones. */
gboolean en_endpoint_is_for (const EnEndpoint *endpoint,
                             const char *label,
                             const char *service,
                             gboolean is_long);

/** Whether it can get new requests: it is live, neither leaving nor drained, and not in backoff. */
gboolean en_endpoint_usable (const EnEndpoint *endpoint, KnlTime now);

/** Notes that the endpoint advertised that it is leaving and takes no new work. */
void en_endpoint_note_leaving (EnEndpoint *endpoint, KnlTime now);

/** Notes a lost attempt: an engine gets no new work until it has answered again. */
void en_endpoint_note_loss (EnEndpoint *endpoint);

/** Notes that it was unreachable or refused: starts a backoff that grows with each failure. */
void en_endpoint_note_failure (EnEndpoint *endpoint, KnlTime now);

/** Notes that the endpoint accepted a request; ends its backoff. */
void en_endpoint_note_success (EnEndpoint *endpoint);

/** Charges `tokens` and `slots` to `endpoint`. */
EnCharge *en_charge_new (EnEndpoint *endpoint, guint64 tokens, guint slots);

/** Whether the charged memory may still be in use: the endpoint is known and hasn't restarted. */
gboolean en_charge_valid (const EnCharge *charge, EnFleet *fleet);

/** Returns tokens and slots, unless the endpoint has restarted meanwhile, and frees the charge. */
void en_charge_return (EnCharge *charge, EnFleet *fleet);
