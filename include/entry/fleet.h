#pragma once

/**
 * What the entry knows of the endpoints and of the other entries: from
 * members, from granted load reports and from its own work on them.
 *
 * Endpoints are referred to by name over time; a pointer is valid until the
 * next en_fleet_apply_members().
 */

#include "coord/config.h"
#include "entry/error.h"
#include "policy/health.h"
#include "wire/alderturn.pb-c.h"

/** What lengths of prompts an engine is for, as placement has it. */
typedef enum
{
  EN_ROLE_ANY,
  EN_ROLE_SHORT, /**< refuses long ones */
  EN_ROLE_LONG,  /**< takes both */
} EnRole;

/** A grant of part of an engine's memory and batch slots to this entry. */
typedef struct
{
  guint64 tokens;
  guint slots;
  KnlTime expires; /**< 0: there never was one */
  guint64 fence;
  guint64 call; /**< of the request that it answers */
} EnGrant;

/** An engine's load by its last report that reached us. */
typedef struct
{
  guint64 used_tokens;
  guint waiting;
  guint64 prefill_backlog;
  KnlTime at; /**< when the engine made the report; 0: none */
} EnLoad;

typedef struct
{
  char *name;
  char *address;
  char *zone;
  char *label; /**< matched by a service's "endpoints" */
  Alderturn__MemberKind kind;
  Alderturn__MemberState state;
  gboolean placed; /**< placement has been worked out with it */
  char *service;   /**< that placement gives it to; NULL: none */
  EnRole role;
  guint64 incarnation;   /**< 0: not known */
  guint epoch;           /**< rises when it restarts */
  gboolean gone;         /**< members have it no more */
  gboolean drained;      /**< declared so by an operator */
  gboolean other_subset; /**< one of many engines, left to other entries */
  KnlTime leaving_until; /**< it said that it takes no new work; believed for a while */

  EnGrant grant;
  guint64 capacity_tokens; /**< 0: not known */
  guint capacity_slots;
  EnLoad load;
  KnlTime known_since;
  KnlTime asked_at; /**< when credits for it were last asked for */

  guint64 used_tokens; /**< charged by our own requests */
  guint used_slots;
  guint64 pending_prefill; /**< our tokens there whose first token has not come */
  guint64 pending_long;    /**< the part of it that is of long prompts */
  guint64 recent_tokens;   /**< dispatched by us after `load.at` */
  double prefill_rate;     /**< tokens a second; 0: not known */
  guint crash_reported;    /**< epochs up to it, exclusively, have had their crash reported */
  PolHealth health;        /**< by our own requests there */
  gboolean unproven;       /**< an engine that was lost and has not answered since */
  guint64 held_for;        /**< number of the request that it is kept free for; 0: none */
  gboolean exclusive;      /**< runs a suspect alone */
  GHashTable *prefixes;    /**< set of prefix block hashes that its cache should hold */
  guint64 cache_sequence;
} EnEndpoint;

/** A part of an endpoint in use by one attempt; returned once. */
typedef struct
{
  char *endpoint;
  guint epoch; /**< of the endpoint when it was charged */
  guint64 tokens;
  guint slots;
} EnCharge;

typedef struct
{
  char *name;
  char *address; /**< for callers */
  char *zone;
  Alderturn__MemberState state;
  gboolean drained;
} EnPeer;

typedef struct EnFleet EnFleet;

/** Called with the endpoint when its incarnation rose; `before` is the old one. */
typedef void (*EnRestartFunc) (EnEndpoint *endpoint, guint64 before, gpointer data);

EnFleet *en_fleet_new (KnlKernel *kernel);

/** This entry's own name and zone, by which it finds its part of many engines; copied. */
void en_fleet_set_self (EnFleet *fleet, const char *name, const char *zone);
void en_fleet_free (EnFleet *fleet);

void en_fleet_on_restart (EnFleet *fleet, EnRestartFunc func, gpointer data);

void en_fleet_apply_members (EnFleet *fleet, const Alderturn__MemberUpdate *update);

/** Takes the states that operators declared for instances, and works out which engine is for what.
 */
void en_fleet_apply_config (EnFleet *fleet, const CoConfig *config);

/** Learns an endpoint's incarnation from the endpoint itself. */
void en_fleet_saw_incarnation (EnFleet *fleet, const char *name, guint64 incarnation);

/** The endpoint, or NULL; a NULL name has none. */
EnEndpoint *en_fleet_find (EnFleet *fleet, const char *name);

/** All endpoints in order of name, as EnEndpoint; owned by the fleet. */
const GPtrArray *en_fleet_endpoints (const EnFleet *fleet);

/** All entries in order of name, as EnPeer; owned by the fleet. */
const GPtrArray *en_fleet_entries (const EnFleet *fleet);

/** Addresses of the live controllers; free with g_strfreev. */
char **en_fleet_controllers (const EnFleet *fleet);

/** Whether it is an engine for prompts of this service, long ones where `is_long`. */
gboolean en_endpoint_is_for (const EnEndpoint *endpoint,
                             const char *label,
                             const char *service,
                             gboolean is_long);

/** Whether new work may go to it: live, not leaving, not drained, not just failed. */
gboolean en_endpoint_usable (const EnEndpoint *endpoint, KnlTime now);

/** It said that it takes no new work. */
void en_endpoint_leaves (EnEndpoint *endpoint, KnlTime now);

/** An engine was lost: it gets nothing new before it has answered a report. */
void en_endpoint_lost (EnEndpoint *endpoint);

/** Notes a failure to reach it or its refusal: it is left alone for a while, longer each time. */
void en_endpoint_failed (EnEndpoint *endpoint, KnlTime now);

void en_endpoint_worked (EnEndpoint *endpoint);

/** Takes `tokens` and `slots` of `endpoint`. */
EnCharge *en_charge_new (EnEndpoint *endpoint, guint64 tokens, guint slots);

/** Whether the memory behind a charge may still be taken: its endpoint has not restarted. */
gboolean en_charge_valid (const EnCharge *charge, EnFleet *fleet);

/** Gives them back, unless the endpoint has restarted meanwhile, and frees the charge. */
void en_charge_return (EnCharge *charge, EnFleet *fleet);
