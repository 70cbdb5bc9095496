/** Chooses the source of the configuration feed and the endpoint feed: the store, or an instance of
 * the same cell that follows the store. */

#include <string.h>

#include "common/log.h"
#include "gateway.h"

/* Interval between reviews of the source, and delay of a review after a failed call. The delay
 * keeps a store and peers that all refuse at once from being queried in a tight loop. */
#define CHOOSE_INTERVAL    (100 * KNL_MSEC)
#define CHOOSE_RETRY_DELAY (50 * KNL_MSEC)

/* The interval before the first choice: members are introduced when the list has been read, and
 * answer within a few milliseconds. */
#define INITIAL_CHOOSE_INTERVAL (10 * KNL_MSEC)

/* An instance that hasn't found its cell for this long after its start, or then receives nothing
 * from the followers for this long, queries the store itself. Instances that lose power together
 * are back within 0.3 s of each other. */
#define MEMBERS_TIMEOUT (500 * KNL_MSEC)

/* A store that hasn't answered for this long either refuses this instance or is unavailable; a
 * single failed call proves neither. */
#define CUT_OFF_TIMEOUT (1 * KNL_SEC)

/* A peer that didn't answer isn't queried again for this long; if it no longer runs, it has been
 * detected as silent by then. */
#define AVOID_PERIOD (1500 * KNL_MSEC)

/* How long the store is queried in place of a peer with older data, and peers in place of a store
 * that doesn't answer. */
#define QUERY_STORE_PERIOD (2 * KNL_SEC)
#define QUERY_PEERS_PERIOD (2 * KNL_SEC)

/* The fraction of the time in which a configuration must be in force that the link may spend on
 * sending it to the instances that query this one. */
#define SEND_FRACTION 0.25

/* `address`: link address of a peer; NULL: the store. */
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
  /* The new source hasn't had time to answer: its silence is counted from now. */
  self->config_last_seen_at = self->endpoints_last_seen_at = knl_kernel_now (self->process.kernel);
  gateway_set_feed_source (self, address != NULL ? self->peer_store : self->store);
  pl_mirror_set_open (self->mirror, address == NULL);
  pl_store_free (old);
  g_free (old_address);
}

static gboolean
is_avoided (const char *address, gpointer data)
{
  const Gateway *self = data;
  const KnlTime *until = g_hash_table_lookup (self->avoided, address);

  return until != NULL && knl_kernel_now (self->process.kernel) < *until;
}

static gboolean
is_avoid_over (gpointer key, gpointer value, gpointer data)
{
  return !is_avoided (key, data);
}

static void
avoid_peer (Gateway *self, const char *address)
{
  KnlTime until = knl_kernel_now (self->process.kernel) + AVOID_PERIOD;

  g_hash_table_foreach_remove (self->avoided, is_avoid_over, self);
  g_hash_table_insert (self->avoided, g_strdup (address), g_memdup2 (&until, sizeof until));
}

/* Returns the link address of the peer to query; NULL: the store. */
static const char *
choose_peer (Gateway *self)
{
  KnlTime now = knl_kernel_now (self->process.kernel);

  if (now < self->query_store_until)
    return NULL;
  if (sv_peers_follows_store (self->peers) && now >= self->query_peers_until)
    return NULL;
  if (self->peer_address != NULL && !is_avoided (self->peer_address, self)
      && sv_peers_is_source (self->peers, self->peer_address))
    return self->peer_address;
  return sv_peers_choose_follower (self->peers, is_avoided, self);
}

static void
limit_mirror (Gateway *self)
{
  double bound = (double)self->boot->bounds.new_config / (double)KNL_SEC;

  pl_mirror_set_max_unsent (self->mirror, (gsize)(SEND_FRACTION * bound * self->boot->link_rate));
}

/* A new source starts the transfer from the first byte again. A weak instance may need longer to
 * receive a list of 3,000 endpoints, or a configuration of thousands of routes, than one source is
 * used for at a time: if the source changed during a transfer, it would never complete. */
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
  if (self->config_feed != NULL
      || now - MAX (self->started_at, self->members_read_at) > MEMBERS_TIMEOUT)
    return TRUE;
  return self->members_read_at > 0
         && (!sv_peers_follows_store (self->peers) || !sv_peers_expects_followers (self->peers));
}

static void on_choose (gpointer data);

/* Never makes a review later that is due already: failures may follow each other at any rate. */
static void
schedule_choose (Gateway *self, KnlTime delay)
{
  KnlTime due_at = knl_kernel_now (self->process.kernel) + delay;

  if (self->source_timer != 0 && self->source_due_at <= due_at)
    return;
  knl_timer_stop (self->process.kernel, &self->source_timer);
  self->source_due_at = due_at;
  self->source_timer = knl_timer_start (self->process.kernel, delay, on_choose, self);
}

static void
on_choose (gpointer data)
{
  Gateway *self = data;
  gboolean can_choose = may_choose (self);
  const char *chosen;

  self->source_timer = 0;
  schedule_choose (self, can_choose || self->config_feed != NULL ? CHOOSE_INTERVAL
                                                                 : INITIAL_CHOOSE_INTERVAL);
  if (!can_choose)
    return;
  limit_mirror (self);
  chosen = choose_peer (self);
  if (self->config_feed == NULL || g_strcmp0 (chosen, self->peer_address) != 0)
    use_source (self, chosen);
}

void
gateway_start_source (Gateway *self)
{
  self->started_at = knl_kernel_now (self->process.kernel);
  self->avoided = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  schedule_choose (self, CHOOSE_INTERVAL);
}

void
gateway_stop_source (Gateway *self)
{
  knl_timer_stop (self->process.kernel, &self->source_timer);
  pl_store_free (self->peer_store);
  g_free (self->peer_address);
  g_clear_pointer (&self->avoided, g_hash_table_unref);
}

void
gateway_note_members_read (Gateway *self)
{
  if (self->members_read_at > 0)
    return;
  self->members_read_at = knl_kernel_now (self->process.kernel);
  schedule_choose (self, 0);
}

void
gateway_query_store (Gateway *self)
{
  if (self->peer_address == NULL)
    return;
  cm_log (CM_LOG_NOTICE, "store-is-newer", "s", "peer", self->peer_address);
  self->query_store_until = knl_kernel_now (self->process.kernel) + QUERY_STORE_PERIOD;
  schedule_choose (self, 0);
}

void
gateway_note_source_failed (Gateway *self)
{
  KnlTime now = knl_kernel_now (self->process.kernel);

  if (self->peer_address != NULL)
    avoid_peer (self, self->peer_address);
  else if (self->store_unavailable_since == 0)
    self->store_unavailable_since = now;
  else if (now - self->store_unavailable_since > CUT_OFF_TIMEOUT)
    {
      sv_peers_set_cut_off (self->peers, TRUE);
      self->query_store_until = 0;
      self->query_peers_until = now + QUERY_PEERS_PERIOD;
    }
  schedule_choose (self, CHOOSE_RETRY_DELAY);
}

void
gateway_note_source_answered (Gateway *self)
{
  if (self->peer_address != NULL)
    return;
  self->store_unavailable_since = 0;
  sv_peers_set_cut_off (self->peers, FALSE);
  gateway_note_store_answered (self);
}
