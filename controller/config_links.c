/** Exchange of the configuration with peers: pushed on change, pulled by a peer that is behind. */

#include "controller/state.h"
#include "wire/frame.h"

/* Minimum time between two requests for the configuration of one peer. */
#define PULL_INTERVAL (200 * KNL_MSEC)

void
ct_config_send (CtController *controller, CtPeer *peer, guint64 have)
{
  Alderturn__ConfigPush *push;

  /* Until the store is ready, this configuration may be older than one that the peer has already
     had in force. */
  if (!co_config_store_ready (controller->store))
    return;
  push = co_config_push_since (controller->config, have);
  ct_peer_send (peer, WR_FRAME (CONFIG_PUSH, config_push, push));
  alderturn__config_push__free_unpacked (push, NULL);
}

static void
send_snapshot (CtPeer *peer, gpointer controller)
{
  ct_config_send (controller, peer, 0);
}

void
ct_config_on_changed (CoConfig *config, guint64 before, gpointer data)
{
  CtController *controller = data;
  Alderturn__ConfigPush *push = co_config_push_since (config, before);

  if (co_config_store_ready (controller->store))
    ct_links_broadcast (controller->links, ALDERTURN__ROLE__ROLE_UNSPECIFIED,
                        WR_FRAME (CONFIG_PUSH, config_push, push));
  alderturn__config_push__free_unpacked (push, NULL);
  ct_members_refresh (controller->members);
  ct_engines_refresh (controller->engines);
}

void
ct_config_on_ready (gpointer data)
{
  CtController *controller = data;

  ct_links_foreach (controller->links, ALDERTURN__ROLE__ROLE_UNSPECIFIED, send_snapshot,
                    controller);
}

/* Handles the revision in force at a peer, which heartbeats carry: if it is higher than the one
   here, requests the peer's configuration. */
void
ct_config_handle_revision (CtController *controller, CtPeer *peer, guint64 revision)
{
  Alderturn__ConfigPull pull = ALDERTURN__CONFIG_PULL__INIT;
  guint64 have = *co_config_revision (controller->config);
  KnlTime now = knl_kernel_now (controller->kernel);

  peer->revision = revision;
  co_config_store_note_revision (controller->store, revision);
  if (revision <= have
      || (peer->config_requested_at != 0 && now - peer->config_requested_at < PULL_INTERVAL))
    return;
  peer->config_requested_at = now;
  pull.have_revision = have;
  ct_peer_send (peer, WR_FRAME (CONFIG_PULL, config_pull, &pull));
}

void
ct_config_handle_push (CtController *controller,
                       const CtPeer *peer,
                       const Alderturn__ConfigPush *push)
{
  co_config_store_note_revision (controller->store, push->revision);
  co_config_apply (controller->config, push);
  if (peer->role == ALDERTURN__ROLE__ROLE_CONTROLLER)
    co_config_store_note_peer_sync (controller->store);
}
