#pragma once

/**
 * The core: what becomes of each caller's request from its reception to its
 * answer. It opens no listening socket and reads no format; those come from
 * outside through HtCall, HtClient, SvDialect and SvPeerLink.
 */

#include "common/metrics.h"
#include "http/client.h"
#include "http/server.h"
#include "serve/bounds.h"
#include "serve/config.h"
#include "serve/dialect.h"
#include "serve/fleet.h"
#include "serve/router.h"

typedef struct SvCore SvCore;
typedef struct SvPeerLink SvPeerLink;

/** How other instances hear of what this one does. */
typedef struct
{
  /** A prompt was placed for reading at the endpoints with these keys. */
  void (*read_placed) (SvPeerLink *link, const SvRead *read, const guint64 *keys, guint n);
  /** It has been read, or will not be. */
  void (*read_ended) (SvPeerLink *link, guint64 prompt);
  /** What this instance has in flight has changed somewhere. */
  void (*load_changed) (SvPeerLink *link);
  /** A request with this fingerprint ended the connection of the endpoint that ran it. */
  void (*suspect) (SvPeerLink *link, guint64 fingerprint);
  /** A request was lost at the endpoint (`lost`), or one that was doubted has answered. */
  void (*health_changed) (SvPeerLink *link, const SvEndpoint *endpoint, gboolean lost);
  /** How many instances there are, this one counted. */
  guint (*n_instances) (const SvPeerLink *link);
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

/** The parts outlive the core. */
SvCore *sv_core_new (const SvCoreParts *parts, const SvBounds *bounds);

/** Drops the requests that have not ended, without a word to their callers. To be called while the
 * server of their calls lives, which owns their messages. */
void sv_core_free (SvCore *core);

void sv_core_set_bounds (SvCore *core, const SvBounds *bounds);

/** A configuration; one that is not newer than that in use is ignored (FALSE). */
gboolean sv_core_set_config (SvCore *core, SvConfig *config);

/** The configuration in use, or NULL. */
const SvConfig *sv_core_config (const SvCore *core);

/** At `asked_at` the configuration in use was the newest. */
void sv_core_confirm (SvCore *core, KnlTime asked_at);

/** When the configuration was last known to be the newest; -KNL_NEVER: never. */
KnlTime sv_core_confirmed_at (const SvCore *core);

/** When it was first known that there is a newer configuration than that in use; KNL_NEVER: it is
 * not. */
typedef KnlTime (*SvOutdatedFunc) (gpointer data);

/** Callers are refused when a newer configuration has been missing for too long. */
void sv_core_set_outdated (SvCore *core, SvOutdatedFunc since, gpointer data);

/** Takes a request; it is answered by and by. */
void sv_core_take (SvCore *core, HtCall *call);

/** Its caller has left. */
void sv_core_gone (SvCore *core, HtCall *call);

/** From now on long work is refused, so that what runs can end within the grace. */
void sv_core_drain (SvCore *core);

/** The process is about to end: every request that has not ended gets an answer now. */
void sv_core_end_all (SvCore *core);

/** Whether callers can be served: there is a configuration, recent enough, and no drain. */
gboolean sv_core_is_ready (const SvCore *core);

/** Requests that have not ended. */
guint sv_core_n_requests (const SvCore *core);

/** The endpoint has started again and knows nothing of before: what it had in flight is lost. */
void sv_core_note_replaced (SvCore *core, const SvEndpoint *endpoint);

/** Another instance reports a suspect, see SvPeerLinkClass. */
void sv_core_note_suspect (SvCore *core, guint64 fingerprint);
