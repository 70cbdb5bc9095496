/** Whom the feeds of configuration and endpoints ask: the store, or an instance of the same cell
 * that follows it. */

#include <string.h>

#include "common/log.h"
#include "gateway.h"

/* How often the choice is looked at, and how soon after a call that failed: a store and instances
 * that all refuse at once are not asked in turn without a pause. */
#define CHOOSE_EVERY (100 * KNL_MSEC)
#define CHOOSE_AGAIN (50 * KNL_MSEC)

/* The same until the first choice: members are greeted when the list has been read, and answer
 * within some ms. */
#define CHOOSE_FIRST (10 * KNL_MSEC)

/* An instance that can't read the list for this long, or hears nothing of those that follow the
 * store, asks the store itself. All that lose power together are back within 0.3 s of each other.
 */
#define MEMBERS_LIMIT (500 * KNL_MSEC)

/* A store that has not answered for this long has turned this instance away, or is away itself; one
 * call that fails says neither. */
#define CUT_OFF_AFTER (1 * KNL_SEC)

/* One that did not answer is not asked again for this long; it counts as silent by then if it is
 * gone. */
#define AVOID (1500 * KNL_MSEC)

/* How long the store is asked in place of instances that know less than others, and others in place
 * of a store that does not answer. */
#define STORE_SPELL  (2 * KNL_SEC)
#define OTHERS_SPELL (2 * KNL_SEC)

/* Of the time in which a configuration must be in force, for how long the link may be busy with
 * sending it to those who ask this instance. */
#define SEND_PART 0.25

/* `address`: of an instance, NULL: the store is asked. */
static void
use_source (Gateway *self, const char *address)
{
  PlStore *old = self->peer_store;
  char *old_address = self->peer_address;

  cm_log (CM_LOG_NOTICE, "source-chosen", "s", "peer", address != NULL ? address : "", "b",
          "is-store", address == NULL);
  self->peer_address = g_strdup (address);
  self->peer_store = NULL;
  if (address != NULL)
    {
      self->peer_store = pl_store_new_peer (self->process.kernel, self->store_client, address);
      gateway_watch_era (self, self->peer_store);
    }
  /* Whoever is asked has not been silent yet. */
  self->config_heard_at = self->endpoints_heard_at = knl_kernel_now (self->process.kernel);
  gateway_follow (self, address != NULL ? self->peer_store : self->store);
  pl_mirror_set_open (self->mirror, address == NULL);
  pl_store_free (old);
  g_free (old_address);
}

/* An instance of the cell to ask; NULL: the store. */
static const char *
choose (const Gateway *self)
{
  KnlTime now = knl_kernel_now (self->process.kernel);
  const char *avoid = now < self->avoided_until ? self->avoided : NULL;

  if (now < self->store_until)
    return NULL;
  if (sv_peers_follows (self->peers) && now >= self->others_until)
    return NULL;
  if (self->peer_address != NULL && g_strcmp0 (self->peer_address, avoid) != 0
      && sv_peers_is_follower (self->peers, self->peer_address))
    return self->peer_address;
  return sv_peers_follower (self->peers, avoid);
}

static void
limit_mirror (Gateway *self)
{
  double bound = (double)self->boot->bounds.new_config / (double)KNL_SEC;

  pl_mirror_set_limit (self->mirror, (gsize)(SEND_PART * bound * self->boot->link_rate));
}

/* Another source begins at the first byte again. A list of 3,000 endpoints, or a configuration of
 * thousands of routes, takes a weak instance longer than one source is asked for at a time: it
 * would never have the whole of it. */
static gboolean
is_receiving (const Gateway *self)
{
  return self->config_feed != NULL
         && (pl_feed_is_receiving (self->config_feed)
             || pl_feed_is_receiving (self->endpoints_feed));
}

static gboolean
may_choose (const Gateway *self)
{
  KnlTime now = knl_kernel_now (self->process.kernel);

  if (is_receiving (self))
    return FALSE;
  if (self->config_feed != NULL || now - self->started_at > MEMBERS_LIMIT)
    return TRUE;
  return self->members_known_at > 0
         && (!sv_peers_follows (self->peers) || !sv_peers_expects_followers (self->peers));
}

static void
on_choose (gpointer data)
{
  Gateway *self = data;
  gboolean may = may_choose (self);
  const char *chosen;

  self->source_timer = knl_timer_start (
      self->process.kernel, may || self->config_feed != NULL ? CHOOSE_EVERY : CHOOSE_FIRST,
      on_choose, self);
  if (!may)
    return;
  limit_mirror (self);
  chosen = choose (self);
  if (self->config_feed == NULL || g_strcmp0 (chosen, self->peer_address) != 0)
    use_source (self, chosen);
}

static void
choose_in (Gateway *self, KnlTime delay)
{
  knl_timer_stop (self->process.kernel, &self->source_timer);
  self->source_timer = knl_timer_start (self->process.kernel, delay, on_choose, self);
}

void
gateway_start_source (Gateway *self)
{
  self->started_at = knl_kernel_now (self->process.kernel);
  choose_in (self, CHOOSE_EVERY);
}

void
gateway_stop_source (Gateway *self)
{
  knl_timer_stop (self->process.kernel, &self->source_timer);
  pl_store_free (self->peer_store);
  g_free (self->peer_address);
  g_free (self->avoided);
}

void
gateway_note_members (Gateway *self)
{
  if (self->members_known_at > 0)
    return;
  self->members_known_at = knl_kernel_now (self->process.kernel);
  choose_in (self, 0);
}

void
gateway_ask_store (Gateway *self)
{
  if (self->peer_address == NULL)
    return;
  cm_log (CM_LOG_NOTICE, "confirmation-old", "s", "peer", self->peer_address);
  self->store_until = knl_kernel_now (self->process.kernel) + STORE_SPELL;
  choose_in (self, 0);
}

void
gateway_note_source_lost (Gateway *self)
{
  KnlTime now = knl_kernel_now (self->process.kernel);

  if (self->peer_address != NULL)
    {
      /* The second one within that time: the store is asked. */
      if (now < self->avoided_until && g_strcmp0 (self->avoided, self->peer_address) != 0)
        self->store_until = now + STORE_SPELL;
      g_free (self->avoided);
      self->avoided = g_strdup (self->peer_address);
      self->avoided_until = now + AVOID;
    }
  else if (self->store_lost_at == 0)
    self->store_lost_at = now;
  else if (now - self->store_lost_at > CUT_OFF_AFTER)
    {
      sv_peers_set_cut_off (self->peers, TRUE);
      self->store_until = 0;
      self->others_until = now + OTHERS_SPELL;
    }
  choose_in (self, CHOOSE_AGAIN);
}

void
gateway_note_source_answers (Gateway *self)
{
  if (self->peer_address != NULL)
    return;
  self->store_lost_at = 0;
  sv_peers_set_cut_off (self->peers, FALSE);
}
