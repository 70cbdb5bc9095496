#pragma once

/**
 * The core of an entry: handles each request from its reception to its end. It
 * does no I/O itself; callers, endpoints and controllers are reached through
 * EnCaller, EpClient and EnUplink.
 */

#include <jansson.h>

#include "common/metrics.h"
#include "coord/config.h"
#include "endpoint/endpoint.h"
#include "entry/caller.h"
#include "entry/fleet.h"
#include "entry/uplink.h"

typedef struct EnCore EnCore;

/** Strings are copied. */
typedef struct
{
  const char *instance;
  const char *zone;
  guint64 incarnation;
  const char *router;     /**< strategy of en_router_new(); NULL: "credits" */
  guint64 max_in_flight;  /**< limit on all requests at this entry */
  guint64 max_queued;     /**< limit on requests that wait for an engine */
  guint64 max_new_tokens; /**< largest max_tokens that a caller may request */
  KnlTime max_timeout;    /**< longer time limits of callers are reduced to it */
  KnlTime entries_ttl;    /**< how long callers may cache the answer to GET /v1/entries */
} EnCoreSettings;

/**
 * Called once when a drain is complete: nothing runs, and cancellations and outcomes have been
 * acknowledged or given up on.
 */
typedef void (*EnDrainedFunc) (gpointer data);

/** Dependencies of a core, which must outlive it. `config` is empty at first. */
typedef struct
{
  KnlKernel *kernel;
  EpClient *client;
  EnUplink *uplink;
  CoConfig *config;
} EnCoreParts;

EnCore *en_core_new (const EnCoreParts *parts, const EnCoreSettings *settings);

/** Drops all requests without calling their callers. */
void en_core_free (EnCore *core);

/**
 * Submits a request. Returns its number, or 0 if it has already ended. `caller`
 * must stay valid until its `done` or `error` was called or en_core_caller_disconnected().
 */
guint64 en_core_submit (EnCore *core, const EnSubmission *submission, EnCaller *caller);

/**
 * The caller has disconnected and is not called again. The request ends, unless its idempotency
 * record is durable: it then runs on without a caller.
 */
void en_core_caller_disconnected (EnCore *core, guint64 number);

/** Starts a graceful shutdown; a second call changes nothing. */
void en_core_drain (EnCore *core, EnDrainedFunc drained, gpointer data);

/** Whether the token belongs to a workspace. */
gboolean en_core_has_token (const EnCore *core, const char *token);

/** Of a drain that takes too long: refuses new requests, and ends all others with an error that
 * says whether they may have run. */
void en_core_end_requests (EnCore *core);

/** Whether it has a configuration and a full list of members, and isn't draining. */
gboolean en_core_is_ready (const EnCore *core);

/** The answer to GET /v1/entries. */
json_t *en_core_entries (const EnCore *core);

/** A row for each request that hasn't ended, for operators. */
json_t *en_core_requests (const EnCore *core);

/** The events of a running or recently ended request; NULL: unknown id. */
json_t *en_core_request (const EnCore *core, const char *id);

CmMetrics *en_core_metrics (EnCore *core);
EnFleet *en_core_fleet (EnCore *core);
