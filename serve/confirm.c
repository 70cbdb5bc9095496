#include "serve/confirm.h"

#include "common/log.h"
#include "confirm_internal.h"

/* Fractions of the maximum age `max_staleness`: the interval of requests to peers, the age from
 * which they are sent, and the age from which the store is queried as well. A follower's
 * confirmation can be as old as the time that a feed request waits at the store, and must still be
 * younger than `max_staleness` at the instance that requested it. */
#define REQUEST_INTERVAL_FRACTION  0.2
#define REQUEST_THRESHOLD_FRACTION 0.25
#define STORE_THRESHOLD_FRACTION   0.8

/* From this age on peers are queried more often: an instance that follows the store may get an
 * answer at any moment. */
#define URGENT_THRESHOLD_FRACTION 0.45
#define URGENT_INTERVAL_FRACTION  0.05

/* The strongest instances of a cell query the store first. An interval between queries without an
 * answer doubles from the first of these times to the second. */
#define FIRST_STORE_QUERIERS   6
#define MIN_STORE_QUERY_PERIOD (500 * KNL_MSEC)
#define MAX_STORE_QUERY_PERIOD (4 * KNL_SEC)

/* The others query it too, since the store may answer none of the first ones, but rarely: all of a
 * cell together at most once in this time. Otherwise their calls would grow with the cell. */
#define CELL_STORE_QUERY_PERIOD (125 * KNL_MSEC)

/* A feed pauses for less than this after it delivered changes. If it was silent for longer, its
 * request is waiting at the store for changes. */
#define MAX_FEED_PAUSE (600 * KNL_MSEC)

/* A peer's heartbeat may overtake the update itself. If this instance is behind for longer than
 * this, it has missed the update. */
#define MAX_UPDATE_DELAY (300 * KNL_MSEC)

gboolean
sv_confirm_polls_store (const SvConfirm *self)
{
  return sv_peers_follows_store (self->peers);
}

/* Chooses one of the instances that follow the store at random, so that one that is down isn't
 * queried repeatedly. If `is_urgent`, relays of other cells are included: a zone that is cut off
 * from the store is confirmed through other zones. */
static const Peer *
choose_follower (const SvConfirm *self, gboolean is_urgent)
{
  g_autoptr (GPtrArray) found = sv_cells_followers (self->peers);

  if (is_urgent)
    sv_cells_add_relays (self->peers, found);
  if (found->len == 0)
    return NULL;
  return g_ptr_array_index (
      found, g_rand_int_range (knl_kernel_rand (self->kernel), 0, (gint32)found->len));
}

static KnlTime
fraction_of_staleness (const SvConfirm *self, double fraction)
{
  return (KnlTime)(fraction * (double)self->max_staleness);
}

guint64
sv_confirm_new_stamp (const SvConfirm *self)
{
  GRand *rand = knl_kernel_rand (self->kernel);

  return ((guint64)g_rand_int (rand) << 32 | g_rand_int (rand)) | 1;
}

static void
query_peer (SvConfirm *self, gboolean is_urgent)
{
  const Peer *peer = choose_follower (self, is_urgent);
  Alderturn__Confirmation request = ALDERTURN__CONFIRMATION__INIT;

  if (peer == NULL)
    return;
  /* Never repeated, so that an answer can't be mistaken for that to a later request. */
  self->stamp = sv_confirm_new_stamp (self);
  self->requested_at = knl_kernel_now (self->kernel);
  request.stamp = self->stamp;
  sv_peers_send_confirmation (self->peers, peer, &request);
}

/* Sets the time of the next query of the store, at random for all but the first queriers. */
static void
schedule_store_query (SvConfirm *self)
{
  KnlTime now = knl_kernel_now (self->kernel);
  guint n_alive = sv_peers_n_alive_in_cell (self->peers);

  if (sv_cells_rank (self->peers) < FIRST_STORE_QUERIERS)
    {
      self->next_store_query_at = now + self->store_query_period;
      self->store_query_period =
          CLAMP (2 * self->store_query_period, MIN_STORE_QUERY_PERIOD, MAX_STORE_QUERY_PERIOD);
      return;
    }
  self->store_query_period = (n_alive + 1) * CELL_STORE_QUERY_PERIOD;
  self->next_store_query_at = now
                              + (KnlTime)g_rand_double_range (knl_kernel_rand (self->kernel), 0,
                                                              (double)self->store_query_period);
}

/* Queries the store if no peer has confirmed in time, and it is this instance's turn. */
static void
query_store (SvConfirm *self, KnlTime age)
{
  if (age < fraction_of_staleness (self, STORE_THRESHOLD_FRACTION))
    {
      self->store_query_period = 0;
      return;
    }
  if (self->store_query_period == 0)
    schedule_store_query (self);
  if (knl_kernel_now (self->kernel) < self->next_store_query_at)
    return;
  schedule_store_query (self);
  self->events->query_store (self->data);
}

/* Whether the store confirms this instance's configuration in time. If it doesn't answer, calls
 * take seconds to time out before the instance counts as cut off. */
static gboolean
is_confirmed_by_store (const SvConfirm *self, KnlTime age)
{
  return sv_confirm_polls_store (self) && !self->peers->cut_off
         && age < fraction_of_staleness (self, STORE_THRESHOLD_FRACTION);
}

static void
on_timer (gpointer data)
{
  SvConfirm *self = data;
  KnlTime confirmed_at = self->events->confirmed_at (self->data);
  gboolean is_new = confirmed_at == -KNL_NEVER;
  KnlTime age = is_new ? 0 : knl_kernel_now (self->kernel) - confirmed_at;
  gboolean is_urgent = is_new || age >= fraction_of_staleness (self, URGENT_THRESHOLD_FRACTION);

  self->timer =
      knl_timer_start (self->kernel,
                       fraction_of_staleness (self, is_urgent ? URGENT_INTERVAL_FRACTION
                                                              : REQUEST_INTERVAL_FRACTION),
                       on_timer, self);
  if (self->events->version (self->data).version == 0 || is_confirmed_by_store (self, age))
    return;
  query_store (self, age);
  if (is_new || self->is_recheck_due
      || age >= fraction_of_staleness (self, REQUEST_THRESHOLD_FRACTION))
    query_peer (self, is_urgent);
  self->is_recheck_due = FALSE;
}

/* A peer has a newer configuration: checks again at the time by which it should have arrived. */
static void
recheck (SvConfirm *self)
{
  if (self->timer == 0)
    return;
  self->is_recheck_due = TRUE;
  knl_timer_stop (self->kernel, &self->timer);
  self->timer = knl_timer_start (self->kernel, MAX_UPDATE_DELAY + KNL_MSEC, on_timer, self);
}

/* Whether all changes of evacuated zones up to that version of the era were applied here. */
static gboolean
has_evacuations (const SvConfirm *self, guint64 era, guint64 version)
{
  SvPosition known = self->events->config_known (self->data);

  return version == 0 || (known.era == era && known.version >= version);
}

/* A configuration that was the newest at a time, or any newer one, contains every change
 * acknowledged by then. Evacuations are rows of their own, so those that the peer had applied must
 * have been applied here, too. */
static void
use_proof (SvConfirm *self)
{
  SvPosition own = self->events->version (self->data);

  if (self->proven.version == 0 || own.era != self->proven.era || own.version < self->proven.version
      || !has_evacuations (self, self->proven.era, self->proven_evacuations))
    return;
  self->proven.version = 0;
  self->events->confirm (self->proven_at, self->data);
}

void
sv_confirm_note_config (SvConfirm *self)
{
  use_proof (self);
  if (self->timer == 0 || self->events->confirmed_at (self->data) != -KNL_NEVER)
    return;
  knl_timer_stop (self->kernel, &self->timer);
  on_timer (self);
}

static void
answer (SvConfirm *self, const Peer *peer, const Alderturn__Confirmation *request)
{
  KnlTime confirmed_at = self->events->confirmed_at (self->data);
  SvPosition own = self->events->version (self->data);
  SvPosition endpoints = self->events->endpoints (self->data);
  EvacuationRows rows;
  Alderturn__Confirmation confirmation = ALDERTURN__CONFIRMATION__INIT;
  KnlTime age;

  if (confirmed_at == -KNL_NEVER)
    return;
  age = knl_kernel_now (self->kernel) - confirmed_at;
  if (age < 0 || age >= self->max_staleness)
    return;
  confirmation.stamp = request->stamp;
  confirmation.version = own.version;
  confirmation.era = own.era;
  confirmation.age_ms = (guint32)(age / KNL_MSEC + 1);
  confirmation.endpoints = endpoints.era == own.era ? endpoints.version : 0;
  confirmation.evacuations = sv_peers_evacuations (self->peers, own.era);
  sv_confirm_add_evacuations (self, &confirmation, &rows);
  if (confirmation.version > 0)
    sv_peers_send_confirmation (self->peers, peer, &confirmation);
}

/* Whether a feed is silent for so long that it should have delivered what peers report: a live one
 * receives updates at the same time as they do. Its request may be lost at the store or on the way,
 * and the timeout takes some seconds, in which requests would go to endpoints that are leaving. */
static gboolean
is_feed_silent (const SvConfirm *self, KnlTime last_seen_at)
{
  return knl_kernel_now (self->kernel) - last_seen_at > MAX_FEED_PAUSE;
}

KnlTime
sv_confirm_stale_since (const SvConfirm *self)
{
  return sv_pending_configs_since (&self->pending_configs,
                                   self->events->version (self->data).version,
                                   knl_kernel_now (self->kernel));
}

gboolean
sv_confirm_store_lost_config (const SvConfirm *self, KnlTime at)
{
  return at > sv_confirm_stale_since (self);
}

/* Returns TRUE if a newer position was reported long enough ago that it should have arrived. */
static gboolean
is_behind (const SvConfirm *self, UnreachedPosition *behind, SvPosition reported, SvPosition known)
{
  KnlTime now = knl_kernel_now (self->kernel);

  if (sv_position_compare (reported, known) != SV_POSITION_NEWER)
    return FALSE;
  if (sv_position_compare (behind->reported, known) != SV_POSITION_NEWER)
    *behind = (UnreachedPosition){ .reported = reported, .since = now };
  return now - behind->since > MAX_UPDATE_DELAY;
}

/* The same for the configuration and the evacuated zones, which are in one table. */
static gboolean
is_config_behind (SvConfirm *self, SvPosition config, SvPosition evacuations)
{
  gboolean behind = is_behind (self, &self->config, config, self->events->version (self->data));

  behind |=
      is_behind (self, &self->evacuations, evacuations, self->events->config_known (self->data));
  return behind && is_feed_silent (self, self->events->config_last_seen_at (self->data));
}

void
sv_confirm_note_reported (SvConfirm *self, const char *source, guint64 version)
{
  guint64 own = self->events->version (self->data).version;
  gboolean was_behind = sv_confirm_stale_since (self) != KNL_NEVER;

  sv_pending_configs_note (&self->pending_configs, own, version, knl_kernel_now (self->kernel));
  if (!was_behind && sv_confirm_stale_since (self) != KNL_NEVER)
    cm_log (CM_LOG_NOTICE, "newer-configuration-reported", "s", "source", source, "i", "version",
            (gint64)version, "i", "own", (gint64)own);
}

void
sv_confirm_note_newest (SvConfirm *self, KnlTime at)
{
  SvPosition own = self->events->version (self->data);

  /* A configuration may have been written after that. */
  if (sv_confirm_stale_since (self) != KNL_NEVER && !sv_confirm_store_lost_config (self, at))
    return;
  if (sv_pending_configs_note_confirmed (&self->pending_configs, own,
                                         knl_kernel_now (self->kernel)))
    cm_log (CM_LOG_WARNING, "newer-configuration-lost", "i", "version",
            (gint64)self->pending_configs.lost, "i", "own", (gint64)own.version);
}

/* Handles the versions in a peer's heartbeat. Those of other cells matter only to instances that
 * poll the store: the others learn of them within their cell, and so don't all query the store at
 * once. */
static void
on_versions (const Peer *peer,
             SvPosition config,
             SvPosition endpoints,
             SvPosition evacuations,
             gpointer data)
{
  SvConfirm *self = data;

  sv_confirm_note_reported (self, peer->name, config.version);
  if (!peer->is_in_cell && !sv_confirm_polls_store (self))
    return;
  if (is_behind (self, &self->endpoints, endpoints, self->events->endpoints_known (self->data))
      && is_feed_silent (self, self->events->endpoints_last_seen_at (self->data)))
    self->events->query_endpoints (self->data);
  if (is_config_behind (self, config, evacuations))
    self->events->query_config (self->data);
}

static void
handle_answer (SvConfirm *self, const Peer *peer, const Alderturn__Confirmation *reported)
{
  SvPosition newest = { reported->era, reported->version };
  SvPosition evacuations = { reported->era, reported->evacuations };
  SvPosition own = self->events->version (self->data);

  if (self->stamp == 0 || reported->stamp != self->stamp)
    return;
  self->stamp = 0;
  sv_confirm_note_reported (self, peer->name, reported->version);
  sv_confirm_note_evacuations (self, peer, reported);
  if (sv_position_compare ((SvPosition){ reported->era, reported->endpoints },
                           self->events->endpoints_known (self->data))
          == SV_POSITION_NEWER
      && is_feed_silent (self, self->events->endpoints_last_seen_at (self->data)))
    self->events->query_endpoints (self->data);
  /* The same version in another era may be a different configuration. */
  if (newest.era == own.era && newest.version >= own.version)
    {
      if (newest.version == own.version)
        sv_confirm_note_newest (self, self->requested_at - (KnlTime)reported->age_ms * KNL_MSEC);
      self->proven = newest;
      self->proven_evacuations = reported->evacuations;
      self->proven_at = self->requested_at - (KnlTime)reported->age_ms * KNL_MSEC;
      use_proof (self);
    }
  /* If versions follow each other quickly, or are large, the newest is already on its way here. */
  if (is_config_behind (self, newest, evacuations))
    self->events->query_config (self->data);
  if (sv_position_compare (newest, own) == SV_POSITION_NEWER
      || sv_position_compare (evacuations, self->events->config_known (self->data))
             == SV_POSITION_NEWER)
    recheck (self);
}

static void
on_confirmation (const Peer *peer, const Alderturn__Confirmation *confirmation, gpointer data)
{
  if (confirmation->version == 0)
    answer (data, peer, confirmation);
  else if (!sv_confirm_handle_check_answer (data, peer, confirmation))
    handle_answer (data, peer, confirmation);
}

void
sv_confirm_set_max_staleness (SvConfirm *self, KnlTime max_staleness)
{
  if (max_staleness == self->max_staleness)
    return;
  self->max_staleness = max_staleness;
  knl_timer_stop (self->kernel, &self->timer);
  if (max_staleness != KNL_NEVER)
    self->timer = knl_timer_start (
        self->kernel, fraction_of_staleness (self, REQUEST_INTERVAL_FRACTION), on_timer, self);
}

SvConfirm *
sv_confirm_new (KnlKernel *kernel,
                SvPeers *peers,
                KnlTime max_staleness,
                const SvConfirmEvents *events,
                gpointer data)
{
  SvConfirm *self = g_new0 (SvConfirm, 1);

  self->kernel = kernel;
  self->peers = peers;
  self->events = events;
  self->data = data;
  sv_confirm_init_store (self);
  sv_peers_on_confirmation (peers, on_confirmation, on_versions, self);
  sv_confirm_set_max_staleness (self, max_staleness);
  return self;
}

void
sv_confirm_free (SvConfirm *self)
{
  if (self == NULL)
    return;
  knl_timer_stop (self->kernel, &self->timer);
  sv_confirm_clear_store (self);
  sv_peers_on_confirmation (self->peers, NULL, NULL, NULL);
  g_free (self);
}
