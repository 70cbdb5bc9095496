#include "controller/relay.h"

#include "controller/relay_idem.h"
#include "coord/shard.h"
#include "wire/frame.h"

/* Number of forwarded credit requests whose answers can be matched. Older ones are overwritten and
   their answers dropped, as entries repeat their requests soon. */
#define MAX_FORWARDED_CALLS 1024

/* Maximum number of unanswered share reports forwarded over one link; further ones are dropped. */
#define MAX_FORWARDED_REPORTS 256

typedef struct
{
  guint64 call;
  guint64 peer; /* id of the entry's link */
  guint64 peer_call;
} ForwardedCall;

struct CtRelay
{
  CtRelayOptions options;
  CtRelayIdem *idem;
  guint64 last_call;
  ForwardedCall forwarded[MAX_FORWARDED_CALLS]; /* indexed by call modulo MAX_FORWARDED_CALLS */
  GHashTable *shares; /* controller's link id -> GQueue of entries' link ids, guint64 * */
};

static void
queue_free (gpointer data)
{
  g_queue_free_full (data, g_free);
}

CtRelay *
ct_relay_new (const CtRelayOptions *options)
{
  CtRelay *relay = g_new0 (CtRelay, 1);

  relay->options = *options;
  relay->idem = ct_relay_idem_new (options);
  relay->shares = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, queue_free);
  return relay;
}

void
ct_relay_free (CtRelay *relay)
{
  if (relay == NULL)
    return;
  ct_relay_idem_free (relay->idem);
  g_hash_table_destroy (relay->shares);
  g_free (relay);
}

CtPeer *
ct_relay_connect (const CtRelayOptions *options, const char *controller)
{
  CtPeer *peer = ct_links_find (options->links, ALDERTURN__ROLE__ROLE_CONTROLLER, controller);
  const char *address = peer == NULL ? options->answers.address (controller, options->data) : NULL;

  if (address != NULL)
    ct_links_connect (options->links, controller, address);
  return peer;
}

/* The controller that holds the shard of `kind` and `name`; NULL if unknown or not linked. */
static CtPeer *
remote_holder (const CtRelay *relay, const char *kind, const char *name)
{
  guint shard = co_shard_of_pair (kind, name, co_leases_count (relay->options.leases));
  CoLeaseView view = co_lease_view (relay->options.leases, shard);

  if (view.holder == NULL)
    return NULL;
  return ct_relay_connect (&relay->options, view.holder);
}

static void
append_for_holder (GHashTable *by_holder, CtPeer *holder, gpointer item)
{
  GPtrArray *items;

  if (holder == NULL)
    return;
  items = g_hash_table_lookup (by_holder, holder);
  if (items == NULL)
    {
      items = g_ptr_array_new ();
      g_hash_table_insert (by_holder, holder, items);
    }
  g_ptr_array_add (items, item);
}

static GHashTable *
by_holder_new (void)
{
  return g_hash_table_new_full (NULL, NULL, NULL, (GDestroyNotify)g_ptr_array_unref);
}

static void
send_credit_reply (CtPeer *peer, guint64 call, GPtrArray *grants)
{
  Alderturn__CreditReply reply = ALDERTURN__CREDIT_REPLY__INIT;

  reply.call = call;
  reply.grants = (Alderturn__CreditGrant **)grants->pdata;
  reply.n_grants = grants->len;
  ct_peer_send (peer, WR_FRAME (CREDIT_REPLY, credit_reply, &reply));
}

static void
grant_free (gpointer data)
{
  alderturn__credit_grant__free_unpacked (data, NULL);
}

static void
answer_credit (CtRelay *relay, CtPeer *peer, const Alderturn__CreditRequest *request)
{
  GPtrArray *grants = g_ptr_array_new_with_free_func (grant_free);

  relay->options.answers.credit (request, grants, relay->options.data);
  if (grants->len > 0 || peer->role == ALDERTURN__ROLE__ROLE_CONTROLLER)
    send_credit_reply (peer, request->call, grants);
  g_ptr_array_free (grants, TRUE);
}

static void
forward_credit (CtRelay *relay,
                const CtPeer *peer,
                CtPeer *holder,
                const Alderturn__CreditRequest *request,
                const GPtrArray *wants)
{
  Alderturn__CreditRequest partial = *request;

  partial.call = ++relay->last_call;
  partial.wants = (Alderturn__CreditWant **)wants->pdata;
  partial.n_wants = wants->len;
  relay->forwarded[partial.call % MAX_FORWARDED_CALLS] =
      (ForwardedCall){ .call = partial.call, .peer = peer->id, .peer_call = request->call };
  ct_peer_send (holder, WR_FRAME (CREDIT_REQUEST, credit_request, &partial));
}

static void
on_credit_request (CtRelay *relay, CtPeer *peer, const Alderturn__CreditRequest *request)
{
  GHashTable *by_holder;
  GHashTableIter iter;
  gpointer holder;
  gpointer wants;

  answer_credit (relay, peer, request);
  if (peer->role != ALDERTURN__ROLE__ROLE_ENTRY)
    return;
  by_holder = by_holder_new ();
  for (size_t i = 0; i < request->n_wants; i++)
    append_for_holder (by_holder, remote_holder (relay, "engine", request->wants[i]->endpoint),
                       request->wants[i]);
  g_hash_table_iter_init (&iter, by_holder);
  while (g_hash_table_iter_next (&iter, &holder, &wants))
    forward_credit (relay, peer, holder, request, wants);
  g_hash_table_destroy (by_holder);
}

static void
on_credit_reply (CtRelay *relay, const Alderturn__CreditReply *reply)
{
  const ForwardedCall *forwarded = &relay->forwarded[reply->call % MAX_FORWARDED_CALLS];
  CtPeer *entry = forwarded->call == reply->call
                      ? ct_links_find_id (relay->options.links, forwarded->peer)
                      : NULL;
  Alderturn__CreditReply copy = *reply;

  if (entry == NULL || reply->n_grants == 0)
    return;
  copy.call = forwarded->peer_call;
  ct_peer_send (entry, WR_FRAME (CREDIT_REPLY, credit_reply, &copy));
}

static void
share_free (gpointer data)
{
  Alderturn__ShareUpdate__Share *share = data;

  g_free (share->workspace);
  g_free (share);
}

static void
answer_shares (CtRelay *relay, CtPeer *peer, const Alderturn__ShareReport *report)
{
  GPtrArray *shares = g_ptr_array_new_with_free_func (share_free);
  Alderturn__ShareUpdate update = ALDERTURN__SHARE_UPDATE__INIT;

  relay->options.answers.share (report, shares, relay->options.data);
  update.shares = (Alderturn__ShareUpdate__Share **)shares->pdata;
  update.n_shares = shares->len;
  if (shares->len > 0 || peer->role == ALDERTURN__ROLE__ROLE_CONTROLLER)
    ct_peer_send (peer, WR_FRAME (SHARE_UPDATE, share_update, &update));
  g_ptr_array_free (shares, TRUE);
}

/* Share updates carry no call number. As a link keeps the order of its frames, the answers arrive
   in the order of the reports, and the queue of the link matches them. */
static void
forward_shares (CtRelay *relay,
                const CtPeer *peer,
                CtPeer *holder,
                const Alderturn__ShareReport *report,
                const GPtrArray *demands)
{
  Alderturn__ShareReport partial = *report;
  GQueue *waiting = g_hash_table_lookup (relay->shares, &holder->id);

  if (waiting == NULL)
    {
      waiting = g_queue_new ();
      g_hash_table_insert (relay->shares, g_memdup2 (&holder->id, sizeof (holder->id)), waiting);
    }
  if (waiting->length >= MAX_FORWARDED_REPORTS)
    return;
  g_queue_push_tail (waiting, g_memdup2 (&peer->id, sizeof (peer->id)));
  partial.demands = (Alderturn__ShareReport__Demand **)demands->pdata;
  partial.n_demands = demands->len;
  ct_peer_send (holder, WR_FRAME (SHARE_REPORT, share_report, &partial));
}

static void
on_share_report (CtRelay *relay, CtPeer *peer, const Alderturn__ShareReport *report)
{
  GHashTable *by_holder;
  GHashTableIter iter;
  gpointer holder;
  gpointer demands;

  answer_shares (relay, peer, report);
  if (peer->role != ALDERTURN__ROLE__ROLE_ENTRY)
    return;
  by_holder = by_holder_new ();
  for (size_t i = 0; i < report->n_demands; i++)
    append_for_holder (by_holder, remote_holder (relay, "workspace", report->demands[i]->workspace),
                       report->demands[i]);
  g_hash_table_iter_init (&iter, by_holder);
  while (g_hash_table_iter_next (&iter, &holder, &demands))
    forward_shares (relay, peer, holder, report, demands);
  g_hash_table_destroy (by_holder);
}

static void
on_share_update (CtRelay *relay, const CtPeer *peer, const Alderturn__ShareUpdate *update)
{
  GQueue *waiting = g_hash_table_lookup (relay->shares, &peer->id);
  guint64 *entry_id = waiting != NULL ? g_queue_pop_head (waiting) : NULL;
  CtPeer *entry = entry_id != NULL ? ct_links_find_id (relay->options.links, *entry_id) : NULL;

  g_free (entry_id);
  if (entry == NULL || update->n_shares == 0)
    return;
  ct_peer_send (entry, WR_FRAME (SHARE_UPDATE, share_update, (Alderturn__ShareUpdate *)update));
}

gboolean
ct_relay_handle_frame (CtRelay *relay, CtPeer *peer, const Alderturn__Frame *frame)
{
  switch (frame->body_case)
    {
    case ALDERTURN__FRAME__BODY_CREDIT_REQUEST:
      on_credit_request (relay, peer, frame->credit_request);
      return TRUE;
    case ALDERTURN__FRAME__BODY_CREDIT_REPLY:
      on_credit_reply (relay, frame->credit_reply);
      return TRUE;
    case ALDERTURN__FRAME__BODY_IDEM_BEGIN:
      ct_relay_idem_begin (relay->idem, peer, frame->idem_begin);
      return TRUE;
    case ALDERTURN__FRAME__BODY_IDEM_FINISH:
      ct_relay_idem_finish (relay->idem, peer, frame->idem_finish);
      return TRUE;
    case ALDERTURN__FRAME__BODY_IDEM_REPLY:
      ct_relay_idem_handle_reply (relay->idem, frame->idem_reply);
      return TRUE;
    case ALDERTURN__FRAME__BODY_IDEM_FINISH_REPLY:
      ct_relay_idem_handle_finish_reply (relay->idem, frame->idem_finish_reply);
      return TRUE;
    case ALDERTURN__FRAME__BODY_SHARE_REPORT:
      on_share_report (relay, peer, frame->share_report);
      return TRUE;
    case ALDERTURN__FRAME__BODY_SHARE_UPDATE:
      on_share_update (relay, peer, frame->share_update);
      return TRUE;
    default:
      return FALSE;
    }
}

void
ct_relay_peer_closed (CtRelay *relay, const CtPeer *peer)
{
  g_hash_table_remove (relay->shares, &peer->id);
}

guint
ct_relay_pending (const CtRelay *relay)
{
  return ct_relay_idem_pending (relay->idem);
}
