#include "serve/confirm.h"

#include "peers_internal.h"

/* With fewer instances each asks the store itself: there is little to save. */
#define SHARED_FROM 12

/* Of all instances one in so many asks the store, and three at least: each answers some thirty
 * questions a second then, and one that is gone is one of several. */
#define ASKERS_ONE_IN 25
#define ASKERS_LEAST  3

/* As parts of the time for which a confirmation is trusted: how often a peer is asked, from which
 * age on, and from which age on the store is asked after all. An asker's confirmation is 1.2 to 2.4
 * s old, so that one that is passed on is 3.3 s old at most where 4.5 s are trusted. */
#define ASK_EVERY_PART 0.2
#define ASK_FROM_PART  0.25
#define GIVE_UP_PART   0.8

/* A feed rests for less than this after changes; one that said nothing for longer waits for some.
 */
#define FEED_LAG (600 * KNL_MSEC)

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
};

static guint
n_askers (const SvPeers *peers)
{
  return MAX ((sv_peers_n_alive (peers) + 1) / ASKERS_ONE_IN, ASKERS_LEAST);
}

/* Alive peers whose id is below our own. */
static guint
own_rank (const SvPeers *peers)
{
  GHashTableIter iter;
  gpointer value;
  guint rank = 0;

  g_hash_table_iter_init (&iter, peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    rank += sv_peer_is_alive (peers, value) && ((const Peer *)value)->id < peers->id;
  return rank;
}

gboolean
sv_confirm_asks_store (const SvConfirm *self)
{
  if (sv_peers_n_alive (self->peers) + 1 < SHARED_FROM)
    return TRUE;
  return own_rank (self->peers) < n_askers (self->peers);
}

static int
compare_ids (gconstpointer a, gconstpointer b)
{
  const Peer *x = *(const Peer *const *)a;
  const Peer *y = *(const Peer *const *)b;

  return x->id < y->id ? -1 : x->id > y->id;
}

/* One of the instances that ask the store, at random: one that is gone must not be asked again and
 * again. */
static const Peer *
choose_asker (const SvConfirm *self)
{
  g_autoptr (GPtrArray) alive = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  guint n;

  g_hash_table_iter_init (&iter, self->peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (sv_peer_is_alive (self->peers, value))
        g_ptr_array_add (alive, value);
    }
  if (alive->len == 0)
    return NULL;
  g_ptr_array_sort (alive, compare_ids);
  n = MIN (alive->len, n_askers (self->peers));
  return g_ptr_array_index (alive, g_rand_int_range (knl_kernel_rand (self->kernel), 0, (gint32)n));
}

static KnlTime
part_of_trust (const SvConfirm *self, double part)
{
  return (KnlTime)(part * (double)self->trust);
}

static void
ask_peer (SvConfirm *self)
{
  const Peer *peer = choose_asker (self);
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
  KnlTime age = knl_kernel_now (self->kernel) - confirmed_at;

  self->timer =
      knl_timer_start (self->kernel, part_of_trust (self, ASK_EVERY_PART), on_timer, self);
  if (confirmed_at == -KNL_NEVER || sv_confirm_asks_store (self))
    return;
  if (age >= part_of_trust (self, GIVE_UP_PART))
    self->events->ask_store (self->data);
  else if (age >= part_of_trust (self, ASK_FROM_PART))
    ask_peer (self);
}

static void
answer (SvConfirm *self, const Peer *peer, const Alderturn__Confirmation *question)
{
  KnlTime confirmed_at = self->events->confirmed_at (self->data);
  KnlTime age = knl_kernel_now (self->kernel) - confirmed_at;
  Alderturn__Confirmation told = ALDERTURN__CONFIRMATION__INIT;

  if (confirmed_at == -KNL_NEVER || age < 0 || age >= self->trust)
    return;
  told.stamp = question->stamp;
  told.version = self->events->version (self->data);
  told.age_ms = (guint32)(age / KNL_MSEC + 1);
  told.endpoints = self->events->endpoints (self->data);
  if (told.version > 0)
    sv_peers_send_confirmation (self->peers, peer, &told);
}

/*
 * The store may have swallowed our question about endpoints, and its answer is
 * waited for some seconds: one would go on sending requests to an endpoint that
 * leaves. A feed that lives would have told us at the same time as the peer.
 */
static void
compare_endpoints (SvConfirm *self, const Alderturn__Confirmation *told)
{
  KnlTime silence = knl_kernel_now (self->kernel) - self->events->endpoints_heard_at (self->data);

  if (told->endpoints > self->events->endpoints (self->data) && silence > FEED_LAG)
    self->events->ask_endpoints (self->data);
}

static void
take_answer (SvConfirm *self, const Alderturn__Confirmation *told)
{
  guint64 own = self->events->version (self->data);

  if (self->stamp == 0 || told->stamp != self->stamp)
    return;
  self->stamp = 0;
  compare_endpoints (self, told);
  if (told->version == own)
    self->events->confirm (self->asked_at - (KnlTime)told->age_ms * KNL_MSEC, self->data);
  else if (told->version > own)
    self->events->ask_store (self->data);
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
  sv_peers_on_confirmation (peers, on_confirmation, self);
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
  sv_peers_on_confirmation (self->peers, NULL, NULL);
  g_free (self);
}
