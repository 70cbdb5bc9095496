#include "serve/confirm.h"

#include "peers_internal.h"
#include "serve/awaited.h"

/* As parts of the time for which a confirmation is trusted: how often a peer is asked, from which
 * age on, and from which age on the store is asked after all. A follower's confirmation is as
 * old as its feed's wait, and what is passed on must still be younger than what is trusted. */
#define ASK_EVERY_PART 0.2
#define ASK_FROM_PART  0.25
#define GIVE_UP_PART   0.8

/* From this age on it is asked more often: whoever follows the store may be answered again any
 * moment. */
#define HURRY_FROM_PART  0.45
#define HURRY_EVERY_PART 0.05

/* A feed rests for less than this after changes; one that said nothing for longer waits for some.
 */
#define FEED_LAG (600 * KNL_MSEC)

/* A peer's heartbeat may overtake what brings the news; behind for longer than this we have missed
 * it. */
#define NEWS_LAG (300 * KNL_MSEC)

/* What others have told of that has not come. */
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
  guint64 stamp;    /* of the question that is out; 0: none */
  KnlTime asked_at; /* when it was sent */
  Behind config;
  Behind endpoints;
  gboolean rechecks; /* a peer is asked the next time in any case */
  SvPosition proven; /* that was the newest at `proven_at`; version 0: none */
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

/* One of the instances that follow the store, at random: one that is gone must not be asked again
 * and again. A zone that is cut off from the store hears it from other zones. */
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
  /* Never repeated, so that no answer is taken for that to a later question. */
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

/* It was told of news: whether they have come is looked at when they should have. */
static void
recheck (SvConfirm *self)
{
  if (self->timer == 0)
    return;
  self->rechecks = TRUE;
  knl_timer_stop (self->kernel, &self->timer);
  self->timer = knl_timer_start (self->kernel, NEWS_LAG + KNL_MSEC, on_timer, self);
}

/* What was the newest at a time, or anything newer, has all that was acknowledged by then. */
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

/*
 * A question may be swallowed, by the store or on the way, and its answer is
 * waited for some seconds: one would go on sending requests to an endpoint that
 * leaves. A feed that lives would have told us at the same time as the peer.
 */
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

/* TRUE: it was told of long enough ago to have come. */
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

/* What a peer says with its heartbeats. Of other cells only those listen who ask the store: the
 * rest of the cell hears it from them, and does not ask the store all at once. */
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
  /* The same version of another era may be another configuration. */
  if (newest.era == own.era && newest.version >= own.version)
    {
      self->proven = newest;
      self->proven_at = self->asked_at - (KnlTime)told->age_ms * KNL_MSEC;
      use_proof (self);
    }
  /* When versions come in a row, or are large, the newest is on its way here. */
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
