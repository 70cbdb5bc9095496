#include "controller/links.h"

#include <string.h>

#include "common/log.h"

/* A link that isn't kept is closed after this time without use. */
#define IDLE_TIMEOUT (5 * KNL_SEC)

struct CtLinks
{
  KnlKernel *kernel;
  WrTransport *transport;
  const WrIdentity *identity;
  CtLinksEvents events;
  gpointer data;
  guint64 last_id;
  GHashTable *peers;   /* id -> CtPeer, after the handshake */
  GHashTable *dialing; /* name -> CtPeer, outgoing links before the end of the handshake */
  GHashTable *kept;    /* names of the controllers whose links are kept */
  KnlTimerId idle_timer;
};

static void
peer_free (CtPeer *peer)
{
  g_free (peer->name);
  g_free (peer->zone);
  g_free (peer->region);
  g_free (peer->address);
  g_free (peer->caller_address);
  g_free (peer);
}

static void
peer_closed (CtPeer *peer)
{
  CtLinks *links = peer->links;

  g_hash_table_remove (links->peers, &peer->id);
  links->events.closed (peer, links->data);
  peer_free (peer);
}

static CtPeer *
find_by_direction (CtLinks *links, Alderturn__Role role, const char *name, gboolean dialed)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, links->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      CtPeer *peer = value;

      if (peer->role == role && peer->dialed == dialed && strcmp (peer->name, name) == 0)
        return peer;
    }
  return NULL;
}

/*
 * A peer that opens a new link has lost the old one, even if this side hasn't
 * noticed: answers sent over the old link would be lost.
 * Two controllers may connect to each other at the same time. If each closed the
 * other's link as the older one, they would reconnect indefinitely. So a link only
 * replaces one that was opened from the same side.
 */
static void
close_older_link (CtPeer *peer)
{
  CtPeer *older = find_by_direction (peer->links, peer->role, peer->name, peer->dialed);

  if (older == NULL || older == peer)
    return;
  cm_log (CM_LOG_WARNING, "link-closed", "s", "peer", older->name, "s", "reason", "replaced");
  wr_link_close (older->link);
  peer_closed (older);
}

static void
peer_opened (CtPeer *peer, const Alderturn__Hello *hello)
{
  CtLinks *links = peer->links;

  peer->role = hello->role;
  g_free (peer->name);
  peer->name = g_strdup (hello->instance);
  peer->incarnation = hello->incarnation;
  peer->zone = g_strdup (hello->zone);
  peer->region = g_strdup (hello->region);
  peer->address = g_strdup (hello->address);
  peer->caller_address = g_strdup (hello->caller_address);
  peer->id = ++links->last_id;
  peer->last_sent_at = knl_kernel_now (links->kernel);
  close_older_link (peer);
  g_hash_table_insert (links->peers, &peer->id, peer);
  cm_log (CM_LOG_INFO, "link-open", "s", "peer", peer->name, "s", "role",
          peer->role == ALDERTURN__ROLE__ROLE_ENTRY ? "entry" : "controller");
  links->events.opened (peer, links->data);
}

static void
on_open (WrLink *link, const Alderturn__Hello *hello, gpointer data)
{
  CtPeer *peer = data;

  g_hash_table_remove (peer->links->dialing, peer->name);
  peer_opened (peer, hello);
}

static void
on_frame (WrLink *link, const Alderturn__Frame *frame, gpointer data)
{
  CtPeer *peer = data;

  peer->links->events.frame (peer, frame, peer->links->data);
}

static void
on_closed (WrLink *link, WrCloseReason reason, gpointer data)
{
  CtPeer *peer = data;

  if (peer->id == 0)
    {
      g_hash_table_remove (peer->links->dialing, peer->name);
      peer_free (peer);
      return;
    }
  peer_closed (peer);
}

static const WrLinkEvents link_events = {
  .on_open = on_open,
  .on_frame = on_frame,
  .on_closed = on_closed,
};

static void
on_accept (WrLink *link, const Alderturn__Hello *hello, gpointer data)
{
  CtPeer *peer = g_new0 (CtPeer, 1);

  peer->links = data;
  peer->link = link;
  wr_link_set_events (link, &link_events, peer);
  peer_opened (peer, hello);
}

static gboolean
is_idle (const CtLinks *links, const CtPeer *peer)
{
  return peer->role == ALDERTURN__ROLE__ROLE_CONTROLLER && peer->dialed
         && !g_hash_table_contains (links->kept, peer->name)
         && knl_kernel_now (links->kernel) - peer->last_sent_at >= IDLE_TIMEOUT;
}

static void
close_idle (gpointer data)
{
  CtLinks *links = data;
  GHashTableIter iter;
  gpointer value;
  GPtrArray *idle = g_ptr_array_new ();

  links->idle_timer = knl_timer_start (links->kernel, IDLE_TIMEOUT, close_idle, links);
  g_hash_table_iter_init (&iter, links->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (is_idle (links, value))
        g_ptr_array_add (idle, value);
    }
  for (guint i = 0; i < idle->len; i++)
    {
      CtPeer *peer = g_ptr_array_index (idle, i);

      wr_link_close (peer->link);
      peer_closed (peer);
    }
  g_ptr_array_free (idle, TRUE);
}

CtLinks *
ct_links_new (KnlKernel *kernel,
              WrTransport *transport,
              const WrIdentity *identity,
              const CtLinksEvents *events,
              gpointer data)
{
  CtLinks *links = g_new0 (CtLinks, 1);

  links->kernel = kernel;
  links->transport = transport;
  links->identity = identity;
  links->events = *events;
  links->data = data;
  links->peers = g_hash_table_new (g_int64_hash, g_int64_equal);
  links->dialing = g_hash_table_new (g_str_hash, g_str_equal);
  links->kept = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  links->idle_timer = knl_timer_start (kernel, IDLE_TIMEOUT, close_idle, links);
  return links;
}

gboolean
ct_links_listen (CtLinks *links, const char *address)
{
  return wr_transport_listen (links->transport, address, on_accept, links);
}

void
ct_links_free (CtLinks *links)
{
  GHashTableIter iter;
  gpointer value;

  if (links == NULL)
    return;
  g_hash_table_iter_init (&iter, links->dialing);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      wr_link_close (((CtPeer *)value)->link);
      peer_free (value);
    }
  g_hash_table_iter_init (&iter, links->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      g_hash_table_iter_remove (&iter);
      wr_link_close (((CtPeer *)value)->link);
      links->events.closed (value, links->data);
      peer_free (value);
    }
  g_hash_table_destroy (links->dialing);
  g_hash_table_destroy (links->peers);
  g_hash_table_destroy (links->kept);
  knl_timer_stop (links->kernel, &links->idle_timer);
  g_free (links);
}

void
ct_links_connect (CtLinks *links, const char *name, const char *address)
{
  CtPeer *peer;

  if (strcmp (links->identity->instance, name) == 0)
    return;
  if (g_hash_table_contains (links->dialing, name)
      || ct_links_find (links, ALDERTURN__ROLE__ROLE_CONTROLLER, name) != NULL)
    return;
  peer = g_new0 (CtPeer, 1);
  peer->links = links;
  peer->name = g_strdup (name);
  peer->dialed = TRUE;
  peer->link = wr_transport_connect (links->transport, address, &link_events, peer);
  g_hash_table_insert (links->dialing, peer->name, peer);
}

void
ct_links_keep (CtLinks *links, const char *const *names, const char *const *addresses, guint n)
{
  g_hash_table_remove_all (links->kept);
  for (guint i = 0; i < n; i++)
    {
      g_hash_table_add (links->kept, g_strdup (names[i]));
      ct_links_connect (links, names[i], addresses[i]);
    }
}

CtPeer *
ct_links_find (CtLinks *links, Alderturn__Role role, const char *name)
{
  CtPeer *peer = find_by_direction (links, role, name, TRUE);

  return peer != NULL ? peer : find_by_direction (links, role, name, FALSE);
}

void
ct_peer_send (CtPeer *peer, const Alderturn__Frame *frame)
{
  peer->last_sent_at = knl_kernel_now (peer->links->kernel);
  wr_link_send (peer->link, frame);
}

CtPeer *
ct_links_find_id (CtLinks *links, guint64 id)
{
  return g_hash_table_lookup (links->peers, &id);
}

void
ct_links_foreach (CtLinks *links,
                  Alderturn__Role role,
                  void (*func) (CtPeer *peer, gpointer data),
                  gpointer data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, links->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (role == ALDERTURN__ROLE__ROLE_UNSPECIFIED || ((CtPeer *)value)->role == role)
        func (value, data);
    }
}

static void
send_to_peer (CtPeer *peer, gpointer data)
{
  ct_peer_send (peer, data);
}

void
ct_links_broadcast (CtLinks *links, Alderturn__Role role, const Alderturn__Frame *frame)
{
  ct_links_foreach (links, role, send_to_peer, (gpointer)frame);
}
