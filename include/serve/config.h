#pragma once

/**
 * A configuration: routes, services, workspaces, limits. It is immutable once in
 * use; each request holds a reference to the one it was admitted by.
 */

#include <glib.h>

#include "kernel/kernel.h"

/** Class of a stream by the longest gap between its events that it tolerates. */
typedef enum
{
  SV_GAP_TIGHT,  /**< under SV_GAP_TIGHT_MAX */
  SV_GAP_MEDIUM, /**< under SV_GAP_MEDIUM_MAX */
  SV_GAP_LOOSE,
  SV_N_GAP_CLASSES,
} SvGapClass;

#define SV_GAP_TIGHT_MAX  (400 * KNL_MSEC)
#define SV_GAP_MEDIUM_MAX (800 * KNL_MSEC)

/** The class of a gap objective; 0, none stated, is loose. */
SvGapClass sv_gap_class_of (KnlTime gap_objective);

/** Kind of a route: whether its requests may run more than once, and how they are answered. */
typedef enum
{
  SV_IDEMPOTENT,   /**< may run more than once */
  SV_AT_MOST_ONCE, /**< runs once or not at all */
  SV_STREAM,       /**< a series of events; idempotent only where it may be resumed */
} SvRouteKind;

/** Performance figures of a model engine; all zero: not a model engine. */
typedef struct
{
  guint slots;             /**< requests that it runs concurrently */
  guint64 memory_tokens;   /**< tokens of context that it can hold */
  guint stride;            /**< token steps in a forward pass with decoding streams */
  double step_ms;          /**< time of a token step */
  double stream_step_ms;   /**< added to a step for each decoding stream */
  double context_ms_per_k; /**< added to a step for each 1,000 tokens of context of its decoding
                                streams */
  double prefill_tokens_per_ms; /**< prefill speed */
  double pair_ms_per_m; /**< prefill: time for a million pairs of a token and an earlier one */
  guint chunk;          /**< maximum number of prompt tokens prefilled in a step */
  double mean_prompt_tokens;
  double mean_answer_tokens;
} SvEngineSpec;

/** What endpoints of a service bear while they are cold: after their start, and whenever they
 * report it. */
typedef struct
{
  KnlTime duration; /**< how long an endpoint is cold after its start */
  double rate;      /**< requests a second that a cold one tolerates; 0: not limited */
} SvColdSpec;

typedef struct
{
  char *name;
  SvEngineSpec engine;
  SvColdSpec cold;
} SvService;

typedef struct
{
  char *service;
  double weight;
} SvSplit;

typedef struct
{
  gint refs; /**< unchanged routes are shared between configurations */
  char *name;
  char *host;
  char *prefix; /**< begins and ends with a slash */
  SvRouteKind kind;
  gboolean resumable; /**< a broken stream may resume at another endpoint */
  gboolean is_public; /**< needs no key */
  KnlTime timeout;    /**< longest time from the request to the end of its answer; 0: none */
  KnlTime objective;  /**< time within which callers want the answer, or a stream's first event */
  KnlTime gap_objective; /**< streams: longest gap between events that callers tolerate; 0: none */
  KnlTime max_silence;   /**< streams: callers leave after a gap this long, before the first event
                              too; 0: they wait */
  guint max_attempts;    /**< sends of one request that may run */
  guint priority;        /**< 0: most urgent */
  GArray *splits;        /**< SvSplit, at least one */
} SvRoute;

typedef struct
{
  char *name;
  gint priority; /**< -1: that of the route */
} SvWorkspace;

/** Limits for what callers send: sizes and times. */
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
  gboolean has_workspaces; /**< keys are required, except on public routes */
  SvCallerLimits limits;
  KnlTime shortest_gaps[SV_N_GAP_CLASSES]; /**< smallest of the routes, by class */
} SvConfig;

SvConfig *sv_config_new (guint64 version);
SvConfig *sv_config_ref (SvConfig *config);
void sv_config_unref (SvConfig *config);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (SvConfig, sv_config_unref)

SvRoute *sv_route_new (void);
SvRoute *sv_route_ref (SvRoute *route);
void sv_route_unref (SvRoute *route);
void sv_route_add_split (SvRoute *route, const char *service, double weight);

/** Takes ownership of the reference; replaces a route with the same host and prefix. */
void sv_config_add_route (SvConfig *config, SvRoute *route);

/** Adds a service of that name; owned by the configuration. */
SvService *sv_config_add_service (SvConfig *config, const char *name);

SvWorkspace *sv_config_add_workspace (SvConfig *config, const char *name);
void sv_config_add_key (SvConfig *config, SvWorkspace *workspace, const char *key);

/** The host's route with the longest prefix of the path, or NULL. A port in `host` is ignored. */
const SvRoute *sv_config_route (const SvConfig *config, const char *host, const char *path);

const SvService *sv_config_service (const SvConfig *config, const char *name);

/** The workspace that holds the key, or NULL. */
const SvWorkspace *sv_config_workspace (const SvConfig *config, const char *key);

/** The service that a point in [0, 1) selects by the weights of the route's splits. */
const char *sv_route_service (const SvRoute *route, double point);

/** Whether the route's requests may run more than once. */
gboolean sv_route_is_idempotent (const SvRoute *route);

/** Whether the service's endpoints are model engines with known figures; FALSE for NULL. */
gboolean sv_service_is_engine (const SvService *service);
