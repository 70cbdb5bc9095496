#pragma once

/**
 * A declared configuration: routes, services, workspaces, limits. It does not
 * change once it is in use; requests keep the one that they were admitted by.
 */

#include <glib.h>

#include "kernel/kernel.h"

/** Streams by how long a pause between their events they bear. */
typedef enum
{
  SV_PAUSE_TIGHT,  /**< under SV_PAUSE_TIGHT_LIMIT */
  SV_PAUSE_MEDIUM, /**< under SV_PAUSE_MEDIUM_LIMIT */
  SV_PAUSE_LOOSE,
  SV_N_PAUSES,
} SvPause;

#define SV_PAUSE_TIGHT_LIMIT  (400 * KNL_MSEC)
#define SV_PAUSE_MEDIUM_LIMIT (800 * KNL_MSEC)

/** The class of a gap objective; 0, none stated, is loose. */
SvPause sv_pause_of (KnlTime gap_objective);

/** What may happen to a request more than once. */
typedef enum
{
  SV_IDEMPOTENT,   /**< may run more than once */
  SV_AT_MOST_ONCE, /**< runs once or not at all */
  SV_STREAM,       /**< a series of events; idempotent only where it may be resumed */
} SvRouteKind;

/** How a model engine spends its time and memory; all zero: not a model engine. */
typedef struct
{
  guint slots;             /**< requests that it works on at once */
  guint64 memory_tokens;   /**< tokens of context that it can keep */
  guint stride;            /**< token steps in a pass with requests that write */
  double step_ms;          /**< of a token step */
  double writer_ms;        /**< a step, for each request that writes */
  double context_ms_per_k; /**< a step, for each 1,000 tokens of context of a request that writes */
  double read_tokens_per_ms;
  double pair_ms_per_m; /**< reading: a million pairs of a token and an earlier one */
  guint chunk;          /**< prompt tokens read in a step at most */
  double usual_prompt;  /**< tokens, mean */
  double usual_answer;  /**< tokens, mean */
} SvEngineSpec;

typedef struct
{
  char *name;
  SvEngineSpec engine;
} SvService;

typedef struct
{
  char *service;
  double weight;
} SvSplit;

typedef struct
{
  gint refs; /**< configurations share the routes that did not change */
  char *name;
  char *host;
  char *prefix; /**< begins and ends with a slash */
  SvRouteKind kind;
  gboolean resumable;    /**< a broken stream may go on at another endpoint */
  gboolean is_public;    /**< needs no key */
  KnlTime timeout;       /**< longest time from the request to its answer's end */
  KnlTime objective;     /**< time to the answer, or to a stream's first event, for full credit */
  KnlTime gap_objective; /**< streams: longest pause between events for full credit */
  guint max_attempts;    /**< endpoints that one request may be sent to */
  guint priority;        /**< 0 goes first */
  GArray *splits;        /**< SvSplit, at least one */
} SvRoute;

typedef struct
{
  char *name;
  gint priority; /**< -1: the route's */
} SvWorkspace;

/** What callers may send, and how long they may take. */
typedef struct
{
  gsize max_head_bytes;
  gsize max_body_bytes;
  KnlTime head_timeout;
  KnlTime idle_timeout;
} SvCallerLimits;

typedef struct
{
  gint refs;
  guint64 version;
  GHashTable *hosts;       /**< host -> GHashTable of prefix -> SvRoute */
  gsize longest_prefix;    /**< of any route, bytes */
  GHashTable *services;    /**< name -> SvService */
  GHashTable *keys;        /**< API key -> SvWorkspace */
  GPtrArray *workspaces;   /**< SvWorkspace */
  gboolean has_workspaces; /**< keys are asked for */
  SvCallerLimits limits;
  KnlTime shortest_gaps[SV_N_PAUSES]; /**< least gap objective of the routes in each class */
} SvConfig;

SvConfig *sv_config_new (guint64 version);
SvConfig *sv_config_ref (SvConfig *config);
void sv_config_unref (SvConfig *config);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (SvConfig, sv_config_unref)

SvRoute *sv_route_new (void);
SvRoute *sv_route_ref (SvRoute *route);
void sv_route_unref (SvRoute *route);
void sv_route_add_split (SvRoute *route, const char *service, double weight);

/** Takes the reference over; a route of the same host and prefix goes. */
void sv_config_add_route (SvConfig *config, SvRoute *route);

/** A new service of that name, owned by the configuration. */
SvService *sv_config_add_service (SvConfig *config, const char *name);

SvWorkspace *sv_config_add_workspace (SvConfig *config, const char *name);
void sv_config_add_key (SvConfig *config, SvWorkspace *workspace, const char *key);

/** The route of the host with the longest prefix that begins the path, or NULL. */
const SvRoute *sv_config_route (const SvConfig *config, const char *host, const char *path);

const SvService *sv_config_service (const SvConfig *config, const char *name);

/** The workspace that holds the key, or NULL. */
const SvWorkspace *sv_config_workspace (const SvConfig *config, const char *key);

/** The service that a point in [0, 1) falls to by the route's weights. */
const char *sv_route_service (const SvRoute *route, double point);

/** Whether the route's requests may run more than once. */
gboolean sv_route_is_idempotent (const SvRoute *route);

/** Whether the service's endpoints are model engines whose figures are known. */
gboolean sv_service_is_engine (const SvService *service);
