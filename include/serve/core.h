#pragma once

/**
 * The core handles each caller's request from its reception to its answer. It
 * opens no listening socket and parses no message format; HtCall, HtClient,
 * SvDialect and SvPeerLink provide these.
 */

#include "common/metrics.h"
#include "http/client.h"
#include "http/server.h"
#include "serve/bounds.h"
#include "serve/config.h"
#include "serve/crashes.h"
#include "serve/dialect.h"
#include "serve/fleet.h"
#include "serve/offered.h"
#include "serve/quarantine.h"
#include "serve/router.h"

typedef struct SvCore SvCore;
typedef struct SvPeerLink SvPeerLink;

/** An equal part of an allowance that all instances have together. */
typedef struct
{
  guint instances;     /**< the most that were known lately, including this one */
  KnlTime known_since; /**< since when their number is known; KNL_NEVER: it isn't */
} SvShare;

/** How this instance announces its state to other instances. */
typedef struct
{
  /** A prompt was placed for prefill at the endpoints with these keys. */
  void (*prefill_placed) (SvPeerLink *link, const SvPrefill *prefill, const guint64 *keys, guint n);
  /** Its prefill is complete or was abandoned. */
  void (*prefill_ended) (SvPeerLink *link, guint64 prompt);
  /** This instance's load at some endpoint, or an endpoint's advertised limit, has changed. */
  void (*load_changed) (SvPeerLink *link);
  /** The core's records of crashes have changed. */
  void (*crashes_changed) (SvPeerLink *link);
  /** A request was lost at the endpoint (`lost`), or an endpoint with loss reports has answered. */
  void (*health_changed) (SvPeerLink *link, const SvEndpoint *endpoint, gboolean lost);
  /** This instance has lost, or regained, its links to endpoints while peers reach them. */
  void (*reach_changed) (SvPeerLink *link, gboolean is_lost);
  /** Address at which a ready peer takes requests that this instance passes on, other than `avoid`;
   * NULL: there is none. Free with g_free. */
  char *(*passing_address) (SvPeerLink *link, const char *avoid);
  /** Number of instances, including this one. */
  guint (*n_instances) (const SvPeerLink *link);
  /** This instance's share of what all instances together may do. */
  SvShare (*share) (const SvPeerLink *link);
  /** Whether this instance, of all that are alive, does something once for all of them. `seed`
   * stands for what it is, and is the same at all instances. */
  gboolean (*is_elected) (const SvPeerLink *link, guint64 seed);
} SvPeerLinkClass;

struct SvPeerLink
{
  const SvPeerLinkClass *klass;
};

typedef struct
{
  KnlKernel *kernel;
  HtClient *client;
  SvDialect *dialect;
  SvFleet *fleet;
  SvPeerLink *link;
  CmMetrics *metrics;
  const char *zone;
} SvCoreParts;

/** The parts must outlive the core. */
SvCore *sv_core_new (const SvCoreParts *parts, const SvBounds *bounds);

/** Drops requests that have not ended, without answering their callers. Must be called before the
 * server that owns their calls and messages is freed. */
void sv_core_free (SvCore *core);

void sv_core_set_bounds (SvCore *core, const SvBounds *bounds);

/** Applies a configuration, taking a reference. FALSE: ignored, as it isn't newer than the one in
 * use. */
gboolean sv_core_set_config (SvCore *core, SvConfig *config);

/** The configuration in use, or NULL. */
const SvConfig *sv_core_config (const SvCore *core);

/** Records that the configuration in use was the newest at `requested_at`. */
void sv_core_confirm (SvCore *core, KnlTime requested_at);

/** When the configuration was last confirmed to be the newest; -KNL_NEVER: never. */
KnlTime sv_core_confirmed_at (const SvCore *core);

/** When a newer configuration than the one in use was first known to exist; KNL_NEVER: none is
 * known. */
typedef KnlTime (*SvStaleSinceFunc) (gpointer data);

/** Sets the function that returns since when the configuration is stale; callers are refused when
 * that exceeds the staleness bound. */
void sv_core_set_stale_since (SvCore *core, SvStaleSinceFunc since, gpointer data);

/** Handles a new request; its answer is asynchronous. */
void sv_core_handle_request (SvCore *core, HtCall *call);

/** Handles a request that a peer passes on, as that of a caller; it isn't passed on again. */
void sv_core_handle_passed (SvCore *core, HtCall *call);

/** The call's caller has disconnected. */
void sv_core_note_disconnect (SvCore *core, HtCall *call);

/** Starts draining: what still runs after `left` is ended, so requests that can't end by then are
 * refused, and after a part of the grace all new streams. */
void sv_core_drain (SvCore *core, KnlTime left);

/** From now on all new requests are refused as not run: they would not end in the grace period. */
void sv_core_stop_admitting (SvCore *core);

/** When a request was last received; 0: never. */
KnlTime sv_core_last_request_at (const SvCore *core);

/** The process is about to exit: answers or aborts every request that has not ended. */
void sv_core_end_requests (SvCore *core);

/** Whether callers can be served: a recent enough configuration is in use, and this instance isn't
 * draining. */
gboolean sv_core_is_ready (const SvCore *core);

/** The list of endpoints, as last applied, was current at `at`. */
void sv_core_note_listed (SvCore *core, KnlTime at);

/** Number of requests that have not ended. */
guint sv_core_n_requests (const SvCore *core);

/** The endpoint has restarted: its requests in flight are lost, and are retried or ended. */
void sv_core_note_replaced (SvCore *core, const SvEndpoint *endpoint);

/** Endpoints lost under requests, as far as this instance knows; owned by the core. */
SvCrashes *sv_core_crashes (SvCore *core);

/** Segments of prompts that crash endpoints; owned by the core. */
SvQuarantine *sv_core_quarantine (SvCore *core);

/** Load that callers offer, by service; owned by the core. */
SvOffered *sv_core_offered (SvCore *core);
