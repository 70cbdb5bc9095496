/** Feeds of the configuration and the endpoint list. */

#include <string.h>

#include "common/log.h"
#include "gateway.h"

/* How long the store holds an answer back when nothing changes. Each answer confirms that the data
 * is current, so the wait for the configuration is a fraction of the time for which keys may go
 * unconfirmed. With many instances the wait grows up to MAX_CONFIG_WAIT, which bounds the rate of
 * all their calls together, or up to what the largest age of confirmations allows. */
#define CONFIG_WAIT     (1200 * KNL_MSEC)
#define MAX_CONFIG_WAIT (2500 * KNL_MSEC)

/* The wait where peers confirm the configuration, so that only changes are of interest. If the
 * store drops the query without an answer, peers that announce a newer configuration reveal it. */
#define CONFIG_WAIT_SHARED (8 * KNL_SEC)

/* The fraction of the read calls allowed to all instances together that configuration feeds may
 * use. Once the allowance is exceeded, the store refuses calls of all instances, and that would
 * happen just when lists must be read again. */
#define CONFIG_READS_FRACTION 0.5

/* Delays that coalesce consecutive changes into one answer: when the whole system starts, endpoints
 * register one by one, and each registration would cost a call of each instance. The delay is
 * shorter for the configuration, since callers wait for it, whereas a leaving endpoint may still be
 * sent requests for seconds. */
#define CONFIG_COALESCE_DELAY (100 * KNL_MSEC)
/* The fraction of the time in which a configuration must be in force that may be spent on
 * coalescing consecutive changes; fetching and applying it must fit into the remainder. */
#define CONFIG_COALESCE_FRACTION 0.25
#define ENDPOINTS_COALESCE_DELAY (400 * KNL_MSEC)

/* The fields asked-us, first-byte-us and received-us are the ages of the query and of the first and
 * the last byte of its answer. */
static void
log_decoded (const Gateway *self, const SvConfig *config)
{
  PlFeedAnswer answer = pl_feed_last_answer (self->config_feed);
  KnlTime now = knl_kernel_now (self->process.kernel);

  cm_log (CM_LOG_INFO, "configuration-decoded", "i", "version", (gint64)config->version, "i",
          "routes-decoded", (gint64)pl_config_decoder_n_decoded (self->config_decoder), "s",
          "source", answer.source, "i", "bytes", (gint64)answer.transfer.bytes, "i", "asked-us",
          now - answer.requested_at, "i", "first-byte-us", now - answer.transfer.head_at, "i",
          "received-us", now - answer.received_at);
}

static void
on_config_row (const PlRow *row, gpointer data)
{
  Gateway *self = data;
  SvConfig *config;

  if (gateway_take_evacuation (self, row) || strcmp (row->key, PL_CONFIG_KEY) != 0 || row->removed)
    return;
  config = pl_config_decoder_end (self->config_decoder);
  if (config == NULL)
    {
      cm_log (CM_LOG_ERR, "configuration-unreadable", "i", "row-version", (gint64)row->version);
      return;
    }
  log_decoded (self, config);
  if (sv_core_set_config (self->core, config))
    gateway_apply_limits (self);
  sv_config_unref (config);
}

static void
on_begin_config_list (gpointer data)
{
  gateway_begin_evacuations (data);
}

static void
on_end_config_list (gpointer data)
{
  gateway_end_evacuations (data);
}

static void
on_begin_config (const char *key, gpointer data)
{
  Gateway *self = data;

  self->is_receiving_config = strcmp (key, PL_CONFIG_KEY) == 0;
  if (self->is_receiving_config)
    pl_config_decoder_begin (self->config_decoder);
}

static void
on_config_value (const char *text, gsize length, gpointer data)
{
  Gateway *self = data;

  if (self->is_receiving_config)
    pl_config_decoder_feed (self->config_decoder, text, length);
}

static void
on_rows_received (gpointer data)
{
  pl_mirror_notify (((Gateway *)data)->mirror);
}

static KnlTime
config_wait (const Gateway *self)
{
  guint instances = sv_peers_n_alive (self->peers) + 1;
  double rate = CONFIG_READS_FRACTION * MAX (self->boot->store_reads, 1);
  const SvBounds *bounds = &self->boot->bounds;
  KnlTime max_age =
      MIN (sv_bounds_max_key_staleness (bounds), sv_bounds_max_zone_staleness (bounds));
  KnlTime max_wait = MIN (MAX_CONFIG_WAIT, pl_feed_max_wait (max_age));
  KnlTime min_wait = (KnlTime)((double)instances / rate * (double)KNL_SEC);

  if (!sv_confirm_polls_store (self->confirm))
    return CONFIG_WAIT_SHARED;
  return MIN (MAX (CONFIG_WAIT, min_wait), max_wait);
}

/* Announces the versions in use here to peers, which detect by them what they have missed. */
static void
announce_versions (Gateway *self)
{
  const SvConfig *config = sv_core_config (self->core);
  guint64 era = pl_feed_position (self->config_feed).era;
  SvPosition endpoints = { .era = era };

  if (self->endpoints_revision.era == era)
    endpoints.version = self->endpoints_revision.version;
  sv_peers_set_versions (self->peers, config != NULL ? config->version : 0, endpoints);
}

static void
on_config_confirmed (KnlTime at, gpointer data)
{
  Gateway *self = data;

  self->config_last_seen_at = knl_kernel_now (self->process.kernel);
  gateway_note_source_answered (self);
  announce_versions (self);
  pl_mirror_notify (self->mirror);
  pl_feed_set_wait (self->config_feed, config_wait (self));
  /* Data from a peer may be old; sv_confirm finds out its age. */
  if (self->peer_store == NULL)
    sv_confirm_note_store (self->confirm, at);
  else
    sv_confirm_note_config (self->confirm);
  sv_peers_set_ready (self->peers, gateway_is_ready (self));
}

static void
on_config_unavailable (gpointer data)
{
  gateway_note_source_failed (data);
}

/* A store that was unavailable may have dropped the query of the endpoint feed too. That feed's
 * own timeout is longer, so endpoints that leave would be noticed seconds late. */
static void
on_config_recovered (gpointer data)
{
  pl_feed_poll_now (((Gateway *)data)->endpoints_feed);
}

static const PlFeedEvents config_events = {
  .begin_list = on_begin_config_list,
  .end_list = on_end_config_list,
  .row = on_config_row,
  .begin_value = on_begin_config,
  .value = on_config_value,
  .received = on_rows_received,
  .confirmed = on_config_confirmed,
  .recovered = on_config_recovered,
  .unavailable = on_config_unavailable,
};

static SvPosition
confirm_version (gpointer data)
{
  const Gateway *self = data;
  const SvConfig *config = sv_core_config (self->core);

  if (config == NULL)
    return (SvPosition){ 0 };
  return (SvPosition){ .era = pl_feed_position (self->config_feed).era,
                       .version = config->version };
}

static SvPosition
confirm_config_known (gpointer data)
{
  const Gateway *self = data;

  if (self->config_feed == NULL)
    return (SvPosition){ 0 };
  return pl_feed_position (self->config_feed);
}

static KnlTime
confirm_confirmed_at (gpointer data)
{
  return sv_core_confirmed_at (((Gateway *)data)->core);
}

static void
confirm_note_confirmed (KnlTime at, gpointer data)
{
  sv_core_confirm (((Gateway *)data)->core, at);
}

static void
on_probe (PlStatus status, PlAnswer **answer, gpointer data)
{
  Gateway *self = data;
  gboolean is_same = status == PL_OK && *answer != NULL && (*answer)->rows->len == 0;

  self->probe_call = NULL;
  cm_log (CM_LOG_NOTICE, "confirmation-old", "s", "peer",
          self->peer_address != NULL ? self->peer_address : "", "s", "store",
          pl_status_name (status), "b", "is-confirmed", is_same);
  if (is_same && !sv_confirm_store_lost_config (self->confirm, self->probed_at))
    sv_confirm_note_store (self->confirm, self->probed_at);
  else if (status == PL_OK || status == PL_NOT_RETAINED)
    gateway_query_store (self);
}

/* The answer to a request without a wait is a confirmation for the time of the request. It leaves
 * the feeds with the peer that they follow. */
static void
probe_store (Gateway *self)
{
  SvPosition position = pl_feed_position (self->config_feed);

  if (self->probe_call != NULL || position.version == 0)
    return;
  self->probed_at = knl_kernel_now (self->process.kernel);
  self->probe_call =
      pl_store_get_changes (self->store, PL_CONFIG_TABLE, position.version, on_probe, self);
}

static void
confirm_query_store (gpointer data)
{
  Gateway *self = data;

  if (self->config_feed == NULL)
    return;
  if (self->peer_store != NULL)
    {
      probe_store (self);
      return;
    }
  pl_feed_set_wait (self->config_feed, 0);
  pl_feed_poll_now (self->config_feed);
}

static SvPosition
confirm_endpoints (gpointer data)
{
  return ((Gateway *)data)->endpoints_revision;
}

static SvPosition
confirm_endpoints_known (gpointer data)
{
  const Gateway *self = data;

  if (self->endpoints_feed == NULL)
    return (SvPosition){ 0 };
  return pl_feed_position (self->endpoints_feed);
}

/* While an answer is being received, its source counts as last seen now. */
static KnlTime
feed_last_seen_at (const Gateway *self, const PlFeed *feed, KnlTime last_at)
{
  if (feed != NULL && pl_feed_is_receiving (feed))
    return knl_kernel_now (self->process.kernel);
  return last_at;
}

static KnlTime
confirm_endpoints_last_seen_at (gpointer data)
{
  const Gateway *self = data;

  return feed_last_seen_at (self, self->endpoints_feed, self->endpoints_last_seen_at);
}

/* The current source doesn't answer, or has older data than a peer. Returns whether the store is
 * queried again. */
static gboolean
retry_query (Gateway *self, PlFeed *feed)
{
  if (feed == NULL)
    return FALSE;
  if (self->peer_store == NULL)
    return pl_feed_poll_now (feed);
  gateway_note_source_failed (self);
  return FALSE;
}

static void
confirm_query_endpoints (gpointer data)
{
  retry_query (data, ((Gateway *)data)->endpoints_feed);
}

static KnlTime
confirm_config_last_seen_at (gpointer data)
{
  const Gateway *self = data;

  return feed_last_seen_at (self, self->config_feed, self->config_last_seen_at);
}

static void
confirm_query_config (gpointer data)
{
  Gateway *self = data;

  /* The query restarts the timeout of the one without an answer, which would show that the store
   * doesn't answer. Peers report newer data more often than queries are sent. */
  if (retry_query (self, self->config_feed))
    gateway_note_source_failed (self);
}

static const SvConfirmEvents confirm_events = {
  .version = confirm_version,
  .config_known = confirm_config_known,
  .confirmed_at = confirm_confirmed_at,
  .confirm = confirm_note_confirmed,
  .query_store = confirm_query_store,
  .endpoints = confirm_endpoints,
  .endpoints_known = confirm_endpoints_known,
  .endpoints_last_seen_at = confirm_endpoints_last_seen_at,
  .query_endpoints = confirm_query_endpoints,
  .config_last_seen_at = confirm_config_last_seen_at,
  .query_config = confirm_query_config,
  .read_watermarks = gateway_read_watermarks,
};

static void
on_begin_endpoints (gpointer data)
{
  sv_fleet_begin_list (((Gateway *)data)->fleet);
}

static void
on_end_endpoints (gpointer data)
{
  sv_fleet_end_list (((Gateway *)data)->fleet);
}

/* Rate-limited, since a faulty writer may fill the table with such rows. */
static void
log_unreadable (Gateway *self, const PlRow *row)
{
  if (cm_log_rate_limit_allows (&self->unreadable_log_limit, knl_kernel_now (self->process.kernel)))
    cm_log (CM_LOG_WARNING, "endpoint-unreadable", "s", "endpoint", row->key, "i", "row-version",
            (gint64)row->version, "i", "so-far", self->unreadable_log_limit.count);
}

static void
on_endpoint_row (const PlRow *row, gpointer data)
{
  Gateway *self = data;
  SvEndpointEntry entry;

  SvPosition revision = { .era = pl_feed_position (self->endpoints_feed).era,
                          .version = row->version };

  self->endpoints_revision = sv_position_newest (revision, self->endpoints_revision);
  if (row->removed)
    {
      cm_log (CM_LOG_INFO, "endpoint-unlisted", "s", "endpoint", row->key, "i", "row-version",
              (gint64)row->version);
      sv_fleet_remove (self->fleet, row->key);
    }
  else if (pl_decode_endpoint (row->key, row->value, &entry))
    {
      cm_log (CM_LOG_INFO, "endpoint-listed", "s", "endpoint", row->key, "s", "service",
              entry.service, "s", "address", entry.address, "b", "draining", entry.draining, "i",
              "start", (gint64)entry.start, "i", "row-version", (gint64)row->version);
      entry.revision = revision;
      sv_fleet_update (self->fleet, &entry);
    }
  else
    {
      /* The row wasn't written by an endpoint. The endpoint that an earlier version of the row
       * described is removed. */
      log_unreadable (self, row);
      sv_fleet_remove (self->fleet, row->key);
    }
}

static void
on_endpoints_confirmed (KnlTime at, gpointer data)
{
  Gateway *self = data;

  self->endpoints_last_seen_at = knl_kernel_now (self->process.kernel);
  /* The age of what a peer has read isn't known. */
  if (self->peer_store == NULL)
    sv_core_note_listed (self->core, at);
  announce_versions (self);
  pl_mirror_notify (self->mirror);
}

/* A change that was made while the feed paused between two requests has waited in the store since.
 * A peer's feed pauses, too. */
static void
on_endpoints_received (gpointer data)
{
  Gateway *self = data;
  KnlTime pause =
      pl_feed_last_answer (self->endpoints_feed).requested_at - self->endpoints_last_seen_at;
  KnlTime lag = CLAMP (pause, 0, ENDPOINTS_COALESCE_DELAY);

  if (self->peer_store != NULL)
    lag += ENDPOINTS_COALESCE_DELAY;
  sv_fleet_set_list_lag (self->fleet, lag);
  on_rows_received (data);
}

static const PlFeedEvents endpoint_events = {
  .begin_list = on_begin_endpoints,
  .end_list = on_end_endpoints,
  .row = on_endpoint_row,
  .received = on_endpoints_received,
  .confirmed = on_endpoints_confirmed,
};

static KnlTime
config_stale_since (gpointer data)
{
  return sv_confirm_stale_since (((Gateway *)data)->confirm);
}

void
gateway_start_following (Gateway *self)
{
  self->config_decoder = pl_config_decoder_new ();
  sv_core_set_stale_since (self->core, config_stale_since, self);
  self->confirm =
      sv_confirm_new (self->process.kernel, self->peers,
                      sv_bounds_max_confirmation_age (&self->boot->bounds), &confirm_events, self);
  gateway_start_source (self);
}

static void
create_feeds (Gateway *self, PlStore *store)
{
  PlFeedPace config_pace = {
    .wait = config_wait (self),
    .coalesce_delay = CONFIG_COALESCE_DELAY,
    .max_coalesce_delay =
        (KnlTime)(CONFIG_COALESCE_FRACTION * (double)self->boot->bounds.new_config),
  };
  static const PlFeedPace endpoints_pace = { .wait = GATEWAY_ENDPOINTS_WAIT,
                                             .coalesce_delay = ENDPOINTS_COALESCE_DELAY };

  self->config_feed = pl_feed_new (store, PL_CONFIG_TABLE, &config_pace, &config_events, self);
  self->endpoints_feed =
      pl_feed_new (store, PL_ENDPOINT_TABLE, &endpoints_pace, &endpoint_events, self);
  pl_mirror_add (self->mirror, PL_CONFIG_TABLE, self->config_feed);
  pl_mirror_add (self->mirror, PL_ENDPOINT_TABLE, self->endpoints_feed);
}

void
gateway_set_feed_source (Gateway *self, PlStore *store)
{
  if (self->config_feed == NULL)
    {
      create_feeds (self, store);
      return;
    }
  /* The longer wait of an instance that asked a peer would leave it unconfirmed for seconds. */
  pl_feed_set_wait (self->config_feed, config_wait (self));
  pl_feed_set_source (self->config_feed, store);
  pl_feed_set_source (self->endpoints_feed, store);
}

void
gateway_stop_following (Gateway *self)
{
  sv_core_set_stale_since (self->core, NULL, NULL);
  sv_confirm_free (self->confirm);
  g_clear_pointer (&self->probe_call, pl_call_cancel);
  pl_feed_free (self->config_feed);
  pl_config_decoder_free (self->config_decoder);
  pl_feed_free (self->endpoints_feed);
  gateway_stop_source (self);
}
