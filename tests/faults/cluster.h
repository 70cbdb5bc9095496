#pragma once

/**
 * The standard cluster of the fault tests: a platform, engines, a plain service,
 * and instances with an entry and a controller each, spread over the zones "a",
 * "b" and "c", with a standard configuration applied.
 */

#include "harness.h"

#define HN_ENGINES   8
#define HN_INSTANCES 4

#define HN_TOKEN    "lantern-token"
#define HN_OPERATOR "operator-token"

/** Paths that lead through a proxy; bits of HnClusterOptions.proxies. */
typedef enum
{
  HN_PROXY_LINK = 1 << 0,     /**< each entry to its own controller */
  HN_PROXY_PLATFORM = 1 << 1, /**< each controller to the platform */
  HN_PROXY_ENGINE = 1 << 2,   /**< all connections to each engine */
  HN_PROXY_SERVICE = 1 << 3,  /**< all connections to the plain service */
} HnProxies;

typedef struct
{
  guint engines;   /**< 0: 2 */
  guint instances; /**< 0: 3 */
  HnProxies proxies;
  const char *const *engine_arguments;     /**< additional flags, NULL-terminated, or NULL */
  const char *const *entry_arguments;      /**< likewise */
  const char *const *controller_arguments; /**< likewise */
  const char *configuration;               /**< replaces the standard configuration, or NULL */
} HnClusterOptions;

/** A process, with or without a proxy in front of it. */
typedef struct
{
  HnProcess *process;
  const char *address;
  const char
      *connect_address; /**< where others connect: the proxy's address, or the process's own */
  const char *control;  /**< control address of the proxy, or NULL */
  HnProcess *proxy;
} HnNode;

typedef struct
{
  char name[16];
  const char *zone;
  HnNode entry;          /**< its address is the one for callers */
  HnNode controller;     /**< its address is the one for links */
  HnNode platform;       /**< the platform as this controller reaches it */
  const char *operators; /**< address of the controller's HTTP server for operators */
} HnInstance;

typedef struct
{
  HnHarness *harness;
  HnClusterOptions options;
  HnNode platform;
  HnNode engines[HN_ENGINES];
  HnNode service;
  HnInstance instances[HN_INSTANCES];
} HnCluster;

/** Starts all processes and waits until each entry is ready and serves the configuration. */
HnCluster *hn_cluster_new (const HnClusterOptions *options);

/** Ends all processes; returns the result of hn_harness_free(). */
gboolean hn_cluster_free (HnCluster *cluster);

/** Starts a process again at its previous address; the old process must have ended. */
void hn_cluster_start_entry (HnCluster *cluster, guint index);
void hn_cluster_start_controller (HnCluster *cluster, guint index);
void hn_cluster_start_engine (HnCluster *cluster, guint index);

/** Sets a fault at a node's proxy, or at the node itself if it has none. The formats are those of
 * standin-proxy and docs/ADAPTERS.md. */
void hn_fault (HnCluster *cluster, const HnNode *node, const char *fault);

/** Runs alderturnctl and returns its exit status. Sets `*output` to its standard output, to be
 * freed with g_free(); `output` may be NULL. */
int hn_run_alderturnctl (HnCluster *cluster, const char *command, char **output);

/** Starts standin-load on all entries, for `milliseconds` at `rate` requests a second. */
HnProcess *hn_load_start (HnCluster *cluster, guint rate, guint milliseconds);

/** The result of a load, in requests. */
typedef struct
{
  guint started;
  guint completed;
  guint wrong;
  guint retries;
} HnLoad;

/** Waits until the load ends and returns its result. */
HnLoad hn_load_await (HnProcess *load);
