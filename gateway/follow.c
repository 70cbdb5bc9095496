/** Feeds of the configuration and the endpoint list. */

#include <string.h>

#include "common/log.h"
#include "gateway.h"

/* How long the store holds an answer back when nothing changes. Each answer confirms that the data
 * is current, so the wait for the configuration is a fraction of the time for which keys may go
 * unconfirmed. With many instances the wait grows up to CONFIG_WAIT_MOST, which bounds the rate of
 * all their calls together. */
#define CONFIG_WAIT      (1200 * KNL_MSEC)
#define CONFIG_WAIT_MOST (2500 * KNL_MSEC)

/* The wait where peers confirm the configuration, so that only changes are of interest. If the
 * store drops the query without an answer, peers that announce a newer configuration reveal it. */
#define CONFIG_WAIT_SHARED (8 * KNL_SEC)

/* The fraction of the read calls allowed to all instances together that configuration feeds may
 * use. Beyond the allowance the store refuses calls of all instances, just when lists must be read
 * again. */
#define CONFIG_READS_PART 0.5

#define ENDPOINTS_WAIT (8 * KNL_SEC)

/* Consecutive changes are collected into one answer: when everything starts, endpoints register
 * one by one, and each registration would cost a call of each instance. The delay is shorter for
 * the configuration, since callers wait for it; a removed endpoint may be sent requests for
 * seconds. */
#define CONFIG_GATHER (100 * KNL_MSEC)
/* The fraction of the time in which a configuration must be in force that may be spent on
 * collecting consecutive changes; fetching and applying it must fit into the rest. */
#define CONFIG_GATHER_PART 0.25
#define ENDPOINTS_GATHER   (400 * KNL_MSEC)

static void
ignore (gpointer data)
{
}

/* The `-us` fields are ages: of the query, and of the first and the last byte of its answer. */
static void
log_decoded (const Gateway *self, const SvConfig *config)
{
  PlFeedAnswer answer = pl_feed_last_answer (self->config_feed);
  KnlTime now = knl_kernel_now (self->process.kernel);

  cm_log (CM_LOG_INFO, "configuration-decoded", "i", "version", (gint64)config->version, "i",
          "routes-decoded", (gint64)pl_config_decoder_n_decoded (self->config_decoder), "s",
          "source", answer.source, "i", "bytes", (gint64)answer.transfer.bytes, "i", "asked-us",
          now - answer.asked_at, "i", "first-byte-us", now - answer.transfer.first_at, "i",
          "received-us", now - answer.received_at);
}

static void
on_config_row (const PlRow *row, gpointer data)
{
  Gateway *self = data;
  SvConfig *config;

  if (strcmp (row->key, PL_CONFIG_KEY) != 0 || row->gone)
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
on_begin_config (const char *key, gpointer data)
{
  Gateway *self = data;

  self->reads_config = strcmp (key, PL_CONFIG_KEY) == 0;
  if (self->reads_config)
    pl_config_decoder_begin (self->config_decoder);
}

static void
on_config_text (const char *text, gsize length, gpointer data)
{
  Gateway *self = data;

  if (self->reads_config)
    pl_config_decoder_feed (self->config_decoder, text, length);
}

static void
on_rows_arrived (gpointer data)
{
  pl_mirror_tell (((Gateway *)data)->mirror);
}

static KnlTime
config_wait (const Gateway *self)
{
  guint instances = sv_peers_n_alive (self->peers) + 1;
  double rate = CONFIG_READS_PART * MAX (self->boot->store_reads, 1);
  KnlTime least = (KnlTime)((double)instances / rate * (double)KNL_SEC);

  if (!sv_confirm_asks_store (self->confirm))
    return CONFIG_WAIT_SHARED;
  return MIN (MAX (CONFIG_WAIT, least), CONFIG_WAIT_MOST);
}

/* Announces the versions in use here to peers, which detect by them what they have missed. */
static void
note_versions (Gateway *self)
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

  self->config_heard_at = knl_kernel_now (self->process.kernel);
  gateway_note_source_answers (self);
  note_versions (self);
  pl_mirror_tell (self->mirror);
  pl_feed_set_wait (self->config_feed, config_wait (self));
  /* Data from a peer may be old; sv_confirm finds out its age. */
  if (self->peer_store == NULL && !sv_confirm_lacks_config (self->confirm, at))
    sv_core_confirm (self->core, at);
  else if (self->peer_store != NULL)
    sv_confirm_note_config (self->confirm);
  sv_peers_set_ready (self->peers, gateway_is_ready (self));
}

static void
on_lost (gpointer data)
{
  gateway_note_source_lost (data);
}

/* A store that was unavailable may have dropped the query of the endpoint feed too. That feed's
 * own timeout is longer, so endpoints that leave would be noticed seconds late. */
static void
on_config_regained (gpointer data)
{
  pl_feed_ask_again (((Gateway *)data)->endpoints_feed);
}

static const PlFeedEvents config_events = {
  .begin_list = ignore,
  .end_list = ignore,
  .row = on_config_row,
  .begin_value = on_begin_config,
  .value = on_config_text,
  .arrived = on_rows_arrived,
  .confirmed = on_config_confirmed,
  .regained = on_config_regained,
  .lost = on_lost,
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

static KnlTime
confirm_confirmed_at (gpointer data)
{
  return sv_core_confirmed_at (((Gateway *)data)->core);
}

static void
confirm_confirm (KnlTime at, gpointer data)
{
  sv_core_confirm (((Gateway *)data)->core, at);
}

/* Without a wait the store answers at once, and its answer confirms the time of the query. */
static void
confirm_ask_store (gpointer data)
{
  Gateway *self = data;

  if (self->config_feed == NULL)
    return;
  pl_feed_set_wait (self->config_feed, 0);
  if (self->peer_store != NULL)
    gateway_ask_store (self);
  else
    pl_feed_ask_again (self->config_feed);
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
heard_at (const Gateway *self, const PlFeed *feed, KnlTime last_at)
{
  if (feed != NULL && pl_feed_is_receiving (feed))
    return knl_kernel_now (self->process.kernel);
  return last_at;
}

static KnlTime
confirm_endpoints_heard_at (gpointer data)
{
  const Gateway *self = data;

  return heard_at (self, self->endpoints_feed, self->endpoints_heard_at);
}

/* The current source doesn't answer, or has older data than a peer. */
static void
ask_again (Gateway *self, PlFeed *feed)
{
  if (feed == NULL)
    return;
  if (self->peer_store != NULL)
    gateway_note_source_lost (self);
  else
    pl_feed_ask_again (feed);
}

static void
confirm_ask_endpoints (gpointer data)
{
  ask_again (data, ((Gateway *)data)->endpoints_feed);
}

static KnlTime
confirm_config_heard_at (gpointer data)
{
  const Gateway *self = data;

  return heard_at (self, self->config_feed, self->config_heard_at);
}

static void
confirm_ask_config (gpointer data)
{
  ask_again (data, ((Gateway *)data)->config_feed);
}

static const SvConfirmEvents confirm_events = {
  .version = confirm_version,
  .confirmed_at = confirm_confirmed_at,
  .confirm = confirm_confirm,
  .ask_store = confirm_ask_store,
  .endpoints = confirm_endpoints,
  .endpoints_known = confirm_endpoints_known,
  .endpoints_heard_at = confirm_endpoints_heard_at,
  .ask_endpoints = confirm_ask_endpoints,
  .config_heard_at = confirm_config_heard_at,
  .ask_config = confirm_ask_config,
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

/* Rate-limited, as another writer may fill the table. */
static void
log_unreadable (Gateway *self, const PlRow *row)
{
  if (cm_log_limit (&self->unreadable, knl_kernel_now (self->process.kernel)))
    cm_log (CM_LOG_WARNING, "endpoint-unreadable", "s", "endpoint", row->key, "i", "row-version",
            (gint64)row->version, "i", "so-far", self->unreadable.count);
}

static void
on_endpoint_row (const PlRow *row, gpointer data)
{
  Gateway *self = data;
  SvEndpointEntry entry;

  SvPosition revision = { .era = pl_feed_position (self->endpoints_feed).era,
                          .version = row->version };

  self->endpoints_revision = sv_position_newest (revision, self->endpoints_revision);
  if (row->gone)
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
      /* The row wasn't written by an endpoint. It describes none, so the endpoint that it
       * described before is removed too. */
      log_unreadable (self, row);
      sv_fleet_remove (self->fleet, row->key);
    }
}

static void
on_endpoints_confirmed (KnlTime at, gpointer data)
{
  Gateway *self = data;

  self->endpoints_heard_at = knl_kernel_now (self->process.kernel);
  note_versions (self);
  pl_mirror_tell (self->mirror);
}

static const PlFeedEvents endpoint_events = {
  .begin_list = on_begin_endpoints,
  .end_list = on_end_endpoints,
  .row = on_endpoint_row,
  .arrived = on_rows_arrived,
  .confirmed = on_endpoints_confirmed,
};

static KnlTime
outdated_since (gpointer data)
{
  return sv_confirm_outdated_since (((Gateway *)data)->confirm);
}

void
gateway_start_following (Gateway *self)
{
  KnlTime trust = sv_bounds_key_trust (&self->boot->bounds);

  if (trust == KNL_NEVER)
    trust = sv_bounds_denial_trust (&self->boot->bounds);
  self->config_decoder = pl_config_decoder_new ();
  sv_core_set_outdated (self->core, outdated_since, self);
  self->confirm = sv_confirm_new (self->process.kernel, self->peers, trust, &confirm_events, self);
  gateway_start_source (self);
}

static void
make_feeds (Gateway *self, PlStore *store)
{
  PlFeedPace config_pace = {
    .wait = CONFIG_WAIT,
    .gather = CONFIG_GATHER,
    .gather_most = (KnlTime)(CONFIG_GATHER_PART * (double)self->boot->bounds.new_config),
  };
  static const PlFeedPace endpoints_pace = { .wait = ENDPOINTS_WAIT, .gather = ENDPOINTS_GATHER };

  self->config_feed = pl_feed_new (store, PL_CONFIG_TABLE, &config_pace, &config_events, self);
  self->endpoints_feed =
      pl_feed_new (store, PL_ENDPOINT_TABLE, &endpoints_pace, &endpoint_events, self);
  pl_mirror_add (self->mirror, PL_CONFIG_TABLE, self->config_feed);
  pl_mirror_add (self->mirror, PL_ENDPOINT_TABLE, self->endpoints_feed);
}

void
gateway_follow (Gateway *self, PlStore *store)
{
  if (self->config_feed == NULL)
    {
      make_feeds (self, store);
      return;
    }
  pl_feed_set_source (self->config_feed, store);
  pl_feed_set_source (self->endpoints_feed, store);
}

void
gateway_stop_following (Gateway *self)
{
  sv_core_set_outdated (self->core, NULL, NULL);
  sv_confirm_free (self->confirm);
  pl_feed_free (self->config_feed);
  pl_config_decoder_free (self->config_decoder);
  pl_feed_free (self->endpoints_feed);
  gateway_stop_source (self);
}
