/** Messages exchanged with entries and other controllers. */

#include "controller/state.h"
#include "coord/overlay.h"
#include "coord/shard.h"
#include "wire/frame.h"

#include <string.h>

static void
send_members (CtPeer *peer, gpointer data)
{
  const GPtrArray *view = ct_members_view (((CtController *)data)->members);
  Alderturn__MemberUpdate update = ALDERTURN__MEMBER_UPDATE__INIT;

  update.full = TRUE;
  update.members = (Alderturn__Member **)view->pdata;
  update.n_members = view->len;
  ct_peer_send (peer, WR_FRAME (MEMBER_UPDATE, member_update, &update));
}

static void
send_suspects (CtController *controller, CtPeer *peer)
{
  Alderturn__SuspectUpdate *update = co_suspects_all (controller->suspects);

  ct_peer_send (peer, WR_FRAME (SUSPECT_UPDATE, suspect_update, update));
  alderturn__suspect_update__free_unpacked (update, NULL);
}

void
ct_controller_on_suspects_changed (const Alderturn__SuspectUpdate *update, gpointer data)
{
  CtController *controller = data;

  /* Not all controllers are linked: each forwards only the updates that are new to it. */
  ct_links_broadcast (
      controller->links, ALDERTURN__ROLE__ROLE_UNSPECIFIED,
      WR_FRAME (SUSPECT_UPDATE, suspect_update, (Alderturn__SuspectUpdate *)update));
}

/* `nodes` and `addresses` list all controllers that aren't leaving, this one included. */
static void
keep_links (CtController *controller, const GArray *nodes, const GPtrArray *addresses)
{
  CoNode self = { .name = controller->options.identity->instance,
                  .zone = controller->options.identity->zone };
  g_autofree gboolean *keep = g_new0 (gboolean, nodes->len);
  g_autofree const char **names = g_new0 (const char *, nodes->len);
  g_autofree const char **kept_addresses = g_new0 (const char *, nodes->len);
  guint n = 0;

  co_overlay_choose (&self, (const CoNode *)nodes->data, nodes->len, keep);
  for (guint i = 0; i < nodes->len; i++)
    {
      if (!keep[i])
        continue;
      names[n] = g_array_index (nodes, CoNode, i).name;
      kept_addresses[n++] = g_ptr_array_index (addresses, i);
    }
  ct_links_keep (controller->links, names, kept_addresses, n);
}

/* Updates the links to keep, the controllers that may hold shards, and whether this controller is
   one of the zone's readers of the configuration's revision. */
static void
update_candidates (CtController *controller)
{
  const GPtrArray *view = ct_members_view (controller->members);
  const char *self = controller->options.identity->instance;
  const char *zone = controller->options.identity->zone;
  GPtrArray *all = g_ptr_array_new ();
  GPtrArray *in_zone = g_ptr_array_new ();
  GArray *nodes = g_array_new (FALSE, FALSE, sizeof (CoNode));
  GPtrArray *addresses = g_ptr_array_new ();

  for (guint i = 0; i < view->len; i++)
    {
      const Alderturn__Member *member = g_ptr_array_index (view, i);
      CoNode node;

      if (member->kind != ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER
          || ct_member_is_leaving (member))
        continue;
      node = (CoNode){ .name = member->name, .zone = member->zone };
      g_array_append_val (nodes, node);
      g_ptr_array_add (addresses, member->address);
      g_ptr_array_add (all, member->name);
      if (strcmp (member->zone, zone) == 0)
        g_ptr_array_add (in_zone, member->name);
    }
  keep_links (controller, nodes, addresses);
  if (ct_members_listed (controller->members))
    co_leases_set_candidates (controller->leases, (const char *const *)all->pdata, all->len);
  co_config_store_set_reader (
      controller->store,
      co_rendezvous_rank ((const char *const *)in_zone->pdata, in_zone->len, self, "config-reader")
          < CT_READERS_PER_ZONE);
  g_array_free (nodes, TRUE);
  g_ptr_array_free (addresses, TRUE);
  g_ptr_array_free (all, TRUE);
  g_ptr_array_free (in_zone, TRUE);
}

void
ct_controller_on_members_changed (CtMembers *members, gpointer data)
{
  CtController *controller = data;

  ct_links_foreach (controller->links, ALDERTURN__ROLE__ROLE_ENTRY, send_members, controller);
  update_candidates (controller);
  ct_engines_refresh (controller->engines);
}

static void
on_opened (CtPeer *peer, gpointer data)
{
  CtController *controller = data;

  ct_config_send (controller, peer, 0);
  send_suspects (controller, peer);
  if (peer->role != ALDERTURN__ROLE__ROLE_ENTRY)
    {
      ct_gather_on_peer_opened (controller->gather, peer);
      return;
    }
  ct_members_update_entry (controller->members, peer);
  send_members (peer, controller);
}

static void
on_closed (CtPeer *peer, gpointer data)
{
  CtController *controller = data;

  if (controller->ending)
    return;
  ct_relay_peer_closed (controller->relay, peer);
  if (peer->role == ALDERTURN__ROLE__ROLE_ENTRY)
    ct_members_remove_entry (controller->members, peer);
}

static void
on_entry_status (CtController *controller, CtPeer *peer, const Alderturn__EntryStatus *status)
{
  peer->ready = status->ready;
  peer->in_flight = status->in_flight;
  ct_config_handle_revision (controller, peer, status->config_revision);
  if (peer->draining == (gboolean)status->draining)
    return;
  peer->draining = status->draining;
  ct_members_update_entry (controller->members, peer);
}

/*
 * The controller that receives a crash report from an entry writes it to the table.
 * All controllers need the identity of the crashed endpoints, not only their number,
 * so that a crash reported to several of them counts once. So each forwards reports
 * that are new to it.
 */
static void
on_crash_report (CtController *controller, const CtPeer *peer, const Alderturn__Frame *frame)
{
  gboolean own = peer->role == ALDERTURN__ROLE__ROLE_ENTRY;

  if (co_suspects_handle_crash (controller->suspects, frame->crash_report, own))
    ct_links_broadcast (controller->links, ALDERTURN__ROLE__ROLE_CONTROLLER, frame);
}

static gboolean
handle_controller_frame (CtController *controller,
                         const CtPeer *peer,
                         const Alderturn__Frame *frame)
{
  CoMembers *members = ct_members_membership (controller->members);

  if (peer->role != ALDERTURN__ROLE__ROLE_CONTROLLER)
    return FALSE;
  switch (frame->body_case)
    {
    case ALDERTURN__FRAME__BODY_PROBE:
      co_members_handle_probe (members, peer->name, frame->probe);
      return TRUE;
    case ALDERTURN__FRAME__BODY_PROBE_ACK:
      co_members_handle_ack (members, peer->name, frame->probe_ack);
      return TRUE;
    case ALDERTURN__FRAME__BODY_MEMBER_UPDATE:
      co_members_handle_update (members, peer->name, frame->member_update);
      return TRUE;
    case ALDERTURN__FRAME__BODY_SUSPECT_UPDATE:
      co_suspects_handle_update (controller->suspects, frame->suspect_update);
      return TRUE;
    case ALDERTURN__FRAME__BODY_QUERY:
      ct_gather_handle_query (controller->gather, (CtPeer *)peer, frame->query);
      return TRUE;
    case ALDERTURN__FRAME__BODY_QUERY_REPLY:
      ct_gather_handle_reply (controller->gather, frame->query_reply);
      return TRUE;
    case ALDERTURN__FRAME__BODY_CONFIG_PUSH:
      ct_config_handle_push (controller, peer, frame->config_push);
      return TRUE;
    default:
      return FALSE;
    }
}

static void
on_frame (CtPeer *peer, const Alderturn__Frame *frame, gpointer data)
{
  CtController *controller = data;

  if (ct_relay_handle_frame (controller->relay, peer, frame)
      || handle_controller_frame (controller, peer, frame))
    return;
  switch (frame->body_case)
    {
    case ALDERTURN__FRAME__BODY_HEARTBEAT:
      ct_config_handle_revision (controller, peer, frame->heartbeat->config_revision);
      break;
    case ALDERTURN__FRAME__BODY_CONFIG_PULL:
      ct_config_send (controller, peer, frame->config_pull->have_revision);
      break;
    case ALDERTURN__FRAME__BODY_ENTRY_STATUS:
      on_entry_status (controller, peer, frame->entry_status);
      break;
    case ALDERTURN__FRAME__BODY_CRASH_REPORT:
      on_crash_report (controller, peer, frame);
      break;
    default:
      break;
    }
}

const CtLinksEvents ct_controller_link_events = {
  .opened = on_opened,
  .frame = on_frame,
  .closed = on_closed,
};
