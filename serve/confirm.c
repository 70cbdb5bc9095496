#include "serve/confirm.h"

#include "peers_internal.h"
#include "serve/awaited.h"

/* Fractions of the maximum age `trust`: the interval of requests to peers, the age from which they
 * are sent, and the age from which the store is queried as well. A follower's confirmation can be
 * as old as its feed's wait, and must still be younger than `trust` after it was passed on. */
#define ASK_EVERY_PART 0.2
#define ASK_FROM_PART  0.25
#define GIVE_UP_PART   0.8

/* From this age on peers are queried more often: an instance that follows the store may get an
 * answer at any moment. */
#define HURRY_FROM_PART  0.45
#define HURRY_EVERY_PART 0.05

/* A feed pauses for less than this after it delivered changes. If it was silent for longer, its
 * request is waiting at the store for changes. */
#define FEED_LAG (600 * KNL_MSEC)

/* A peer's heartbeat may overtake the update itself. If this instance is behind for longer than
 * this, it has missed the update. */
#define NEWS_LAG (300 * KNL_MSEC)

/* A position that peers reported and that this instance hasn't reached. */
typedef struct
{
  SvPosition told;
  KnlTime since;
} Behind;

struct SvConfirm
{
  KnlKernel *kernel;
  SvPeers *peers;
  KnlTime trust;
  const SvConfirmEvents *events;
  gpointer data;
  KnlTimerId timer;
  guint64 stamp;    /* of the pending request; 0: none */
  KnlTime asked_at; /* time at which it was sent */
  Behind config;
  Behind endpoints;
  gboolean rechecks; /* the next timer sends a request whatever the age */
  SvPosition proven; /* was the newest at `proven_at`; version 0: none */
  KnlTime proven_at;
  SvAwaited awaited;
};

gboolean
sv_confirm_asks_store (const SvConfirm *self)
{
  return sv_peers_follows (self->peers);
}

static void
add_relays (const SvPeers *peers, GPtrArray *found)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Cell *cell = value;
      Peer *relay = g_hash_table_lookup (peers->by_id, GUINT_TO_POINTER (cell->relay));

      if (relay != NULL && !relay->cut_off && sv_cell_is_alive (peers, cell))
        g_ptr_array_add (found, relay);
    }
}

/* Chooses one of the instances that follow the store at random, so that one that is down isn't
 * queried repeatedly. If `hurries`, relays of other cells are included: a zone that is cut off
 * from the store is confirmed through other zones. */
static const Peer *
choose_follower (const SvConfirm *self, gboolean hurries)
{
  g_autoptr (GPtrArray) found = sv_cells_followers (self->peers);

  if (hurries)
    add_relays (self->peers, found);
  if (found->len == 0)
    return NULL;
  return g_ptr_array_index (
      found, g_rand_int_range (knl_kernel_rand (self->kernel), 0, (gint32)found->len));
}

static KnlTime
part_of_trust (const SvConfirm *self, double part)
{
  return (KnlTime)(part * (double)self->trust);
}

static void
ask_peer (SvConfirm *self, gboolean hurries)
{
  const Peer *peer = choose_follower (self, hurries);
  GRand *rand = knl_kernel_rand (self->kernel);
  Alderturn__Confirmation question = ALDERTURN__CONFIRMATION__INIT;

  if (peer == NULL)
    return;
  /* Never repeated, so that an answer can't be mistaken for that to a later request. */
  self->stamp = ((guint64)g_rand_int (rand) << 32 | g_rand_int (rand)) | 1;
  self->asked_at = knl_kernel_now (self->kernel);
  question.stamp = self->stamp;
  sv_peers_send_confirmation (self->peers, peer, &question);
}

static void
on_timer (gpointer data)
{
  SvConfirm *self = data;
  KnlTime confirmed_at = self->events->confirmed_at (self->data);
  gboolean is_new = confirmed_at == -KNL_NEVER;
  KnlTime age = is_new ? 0 : knl_kernel_now (self->kernel) - confirmed_at;
  gboolean hurries = is_new || age >= part_of_trust (self, HURRY_FROM_PART);

  self->timer = knl_timer_start (self->kernel,
                                 part_of_trust (self, hurries ? HURRY_EVERY_PART : ASK_EVERY_PART),
                                 on_timer, self);
  if (self->events->version (self->data).version == 0
      || (sv_confirm_asks_store (self) && !self->peers->cut_off))
    return;
  if (age >= part_of_trust (self, GIVE_UP_PART))
    self->events->ask_store (self->data);
  if (is_new || self->rechecks || age >= part_of_trust (self, ASK_FROM_PART))
    ask_peer (self, hurries);
  self->rechecks = FALSE;
}

/* A peer has a newer configuration: checks again at the time by which it should have arrived. */
static void
recheck (SvConfirm *self)
{
  if (self->timer == 0)
    return;
  self->rechecks = TRUE;
  knl_timer_stop (self->kernel, &self->timer);
  self->timer = knl_timer_start (self->kernel, NEWS_LAG + KNL_MSEC, on_timer, self);
}

/* A configuration that was the newest at a time, or any newer one, contains every change
 * acknowledged by then. */
static void
use_proof (SvConfirm *self)
{
  SvPosition own = self->events->version (self->data);

  if (self->proven.version == 0 || own.era != self->proven.era
      || own.version < self->proven.version)
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
answer (SvConfirm *self, const Peer *peer, const Alderturn__Confirmation *question)
{
  KnlTime confirmed_at = self->events->confirmed_at (self->data);
  SvPosition own = self->events->version (self->data);
  SvPosition endpoints = self->events->endpoints (self->data);
  Alderturn__Confirmation told = ALDERTURN__CONFIRMATION__INIT;
  KnlTime age;

  if (confirmed_at == -KNL_NEVER)
    return;
  age = knl_kernel_now (self->kernel) - confirmed_at;
  if (age < 0 || age >= self->trust)
    return;
  told.stamp = question->stamp;
  told.version = own.version;
  told.era = own.era;
  told.age_ms = (guint32)(age / KNL_MSEC + 1);
  told.endpoints = endpoints.era == own.era ? endpoints.version : 0;
  if (told.version > 0)
    sv_peers_send_confirmation (self->peers, peer, &told);
}

/* Whether a feed is silent for so long that it should have delivered what peers report: a live one
 * receives updates at the same time as they do. Its request may be lost at the store or on the way,
 * and the timeout takes some seconds, in which requests would go to endpoints that are leaving. */
static gboolean
is_deaf (const SvConfirm *self, KnlTime heard_at)
{
  return knl_kernel_now (self->kernel) - heard_at > FEED_LAG;
}

KnlTime
sv_confirm_outdated_since (const SvConfirm *self)
{
  return sv_awaited_since (&self->awaited, self->events->version (self->data).version,
                           knl_kernel_now (self->kernel));
}

gboolean
sv_confirm_lacks_config (const SvConfirm *self, KnlTime at)
{
  return at > sv_confirm_outdated_since (self);
}

/* Returns TRUE if a newer position was reported long enough ago that it should have arrived. */
static gboolean
is_behind (const SvConfirm *self, Behind *behind, SvPosition told, SvPosition known)
{
  KnlTime now = knl_kernel_now (self->kernel);

  if (sv_position_compare (told, known) != SV_POSITION_NEWER)
    return FALSE;
  if (sv_position_compare (behind->told, known) != SV_POSITION_NEWER)
    *behind = (Behind){ .told = told, .since = now };
  return now - behind->since > NEWS_LAG;
}

static void
note_config_told (SvConfirm *self, guint64 version)
{
  sv_awaited_note (&self->awaited, self->events->version (self->data).version, version,
                   knl_kernel_now (self->kernel));
}

/* Handles the versions in a peer's heartbeat. Those of other cells matter only to instances that
 * poll the store: the others learn of them within their cell, and so don't all query the store at
 * once. */
static void
on_versions (const Peer *peer, SvPosition config, SvPosition endpoints, gpointer data)
{
  SvConfirm *self = data;

  note_config_told (self, config.version);
  if (!sv_peer_is_in_cell (self->peers, peer) && !sv_confirm_asks_store (self))
    return;
  if (is_behind (self, &self->endpoints, endpoints, self->events->endpoints_known (self->data))
      && is_deaf (self, self->events->endpoints_heard_at (self->data)))
    self->events->ask_endpoints (self->data);
  if (is_behind (self, &self->config, config, self->events->version (self->data))
      && is_deaf (self, self->events->config_heard_at (self->data)))
    self->events->ask_config (self->data);
}

static void
take_answer (SvConfirm *self, const Alderturn__Confirmation *told)
{
  SvPosition newest = { told->era, told->version };
  SvPosition own = self->events->version (self->data);

  if (self->stamp == 0 || told->stamp != self->stamp)
    return;
  self->stamp = 0;
  note_config_told (self, told->version);
  if (sv_position_compare ((SvPosition){ told->era, told->endpoints },
                           self->events->endpoints_known (self->data))
          == SV_POSITION_NEWER
      && is_deaf (self, self->events->endpoints_heard_at (self->data)))
    self->events->ask_endpoints (self->data);
  /* The same version in another era may be a different configuration. */
  if (newest.era == own.era && newest.version >= own.version)
    {
      self->proven = newest;
      self->proven_at = self->asked_at - (KnlTime)told->age_ms * KNL_MSEC;
      use_proof (self);
    }
  /* If versions follow each other quickly, or are large, the newest is already on its way here. */
  if (is_behind (self, &self->config, newest, own)
      && is_deaf (self, self->events->config_heard_at (self->data)))
    self->events->ask_store (self->data);
  if (sv_position_compare (newest, own) == SV_POSITION_NEWER)
    recheck (self);
}

static void
on_confirmation (const Peer *peer, const Alderturn__Confirmation *confirmation, gpointer data)
{
  if (confirmation->version > 0)
    take_answer (data, confirmation);
  else
    answer (data, peer, confirmation);
}

SvConfirm *
sv_confirm_new (KnlKernel *kernel,
                SvPeers *peers,
                KnlTime trust,
                const SvConfirmEvents *events,
                gpointer data)
{
  SvConfirm *self = g_new0 (SvConfirm, 1);

  self->kernel = kernel;
  self->peers = peers;
  self->trust = trust;
  self->events = events;
  self->data = data;
  sv_peers_on_confirmation (peers, on_confirmation, on_versions, self);
  if (trust != KNL_NEVER)
    self->timer = knl_timer_start (kernel, part_of_trust (self, ASK_EVERY_PART), on_timer, self);
  return self;
}

void
sv_confirm_free (SvConfirm *self)
{
  if (self == NULL)
    return;
  knl_timer_stop (self->kernel, &self->timer);
  sv_peers_on_confirmation (self->peers, NULL, NULL, NULL);
  g_free (self);
}
