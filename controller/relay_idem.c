#include "controller/relay_idem.h"

#include "wire/frame.h"

/* Delay before a request that no holder accepted is tried again. */
#define RETRY_DELAY (100 * KNL_MSEC)

/* Timeout of another controller's answer, after which the request is sent again. */
#define ANSWER_TIMEOUT (2500 * KNL_MSEC)

#define MAX_PENDING 20000

struct CtRelayIdem
{
  CtRelayOptions options;
  guint64 last_call;
  GHashTable *pending;   /* call -> Pending */
  GHashTable *forwarded; /* set of `ForwardedRequest`, owned */
};

/* An entry's request that hasn't been answered yet. */
typedef struct
{
  CtRelayIdem *relay;
  guint64 call;      /* number chosen by this relay, which other controllers' answers repeat */
  guint64 peer;      /* id of the entry's link; 0: no entry waits for the answer */
  guint64 peer_call; /* number chosen by the entry */
  Alderturn__Frame *frame;
  KnlTime deadline;
  KnlTimerId timer;
  gboolean local; /* being processed by this controller's CoIdem */
  gboolean sent;  /* a holder may have begun the record */
} Pending;

/* A request forwarded by another controller, being processed here. */
typedef struct
{
  CtRelayIdem *relay;
  guint64 peer;
  guint64 peer_call;
} ForwardedRequest;

static void try_holder (gpointer data);

static void
pending_free (gpointer data)
{
  Pending *pending = data;

  knl_timer_stop (pending->relay->options.kernel, &pending->timer);
  alderturn__frame__free_unpacked (pending->frame, NULL);
  g_free (pending);
}

CtRelayIdem *
ct_relay_idem_new (const CtRelayOptions *options)
{
  CtRelayIdem *relay = g_new0 (CtRelayIdem, 1);

  relay->options = *options;
  relay->pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, pending_free);
  relay->forwarded = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  return relay;
}

void
ct_relay_idem_free (CtRelayIdem *relay)
{
  if (relay == NULL)
    return;
  g_hash_table_destroy (relay->pending);
  g_hash_table_destroy (relay->forwarded);
  g_free (relay);
}

static gboolean
is_begin (const Pending *pending)
{
  return pending->frame->body_case == ALDERTURN__FRAME__BODY_IDEM_BEGIN;
}

static void
send_reply (CtRelayIdem *relay, guint64 peer_id, guint64 call, const Alderturn__IdemReply *reply)
{
  CtPeer *peer = ct_links_find_id (relay->options.links, peer_id);
  Alderturn__IdemReply copy = *reply;

  if (peer == NULL)
    return;
  copy.call = call;
  ct_peer_send (peer, WR_FRAME (IDEM_REPLY, idem_reply, &copy));
}

static void
send_finished (CtRelayIdem *relay, guint64 peer_id, guint64 call, gboolean durable)
{
  CtPeer *peer = ct_links_find_id (relay->options.links, peer_id);
  Alderturn__IdemFinishReply reply = ALDERTURN__IDEM_FINISH_REPLY__INIT;

  if (peer == NULL)
    return;
  reply.call = call;
  reply.durable = durable;
  ct_peer_send (peer, WR_FRAME (IDEM_FINISH_REPLY, idem_finish_reply, &reply));
}

static guint
shard_of (const Pending *pending)
{
  guint n = co_leases_count (pending->relay->options.leases);

  if (is_begin (pending))
    return co_idem_shard (pending->frame->idem_begin->workspace, pending->frame->idem_begin->key,
                          n);
  return co_idem_shard (pending->frame->idem_finish->workspace, pending->frame->idem_finish->key,
                        n);
}

/* A deep copy, by packing and unpacking. `call` remains that of the original. */
static Alderturn__Frame *
frame_copy (const Alderturn__Frame *frame)
{
  gsize bytes = alderturn__frame__get_packed_size (frame);
  guint8 *packed = g_malloc (bytes);
  Alderturn__Frame *copy;

  alderturn__frame__pack (frame, packed);
  copy = alderturn__frame__unpack (NULL, bytes, packed);
  g_free (packed);
  return copy;
}

static Pending *
pending_new (CtRelayIdem *relay, guint64 peer, const Alderturn__Frame *frame, KnlTime timeout)
{
  Pending *pending = g_new0 (Pending, 1);

  pending->relay = relay;
  pending->call = ++relay->last_call;
  pending->peer = peer;
  pending->frame = frame_copy (frame);
  if (is_begin (pending))
    {
      pending->peer_call = pending->frame->idem_begin->call;
      pending->frame->idem_begin->call = pending->call;
    }
  else
    {
      pending->peer_call = pending->frame->idem_finish->call;
      pending->frame->idem_finish->call = pending->call;
    }
  pending->deadline = knl_kernel_now (relay->options.kernel) + timeout;
  g_hash_table_insert (relay->pending, &pending->call, pending);
  return pending;
}

/*
 * A holder may have made the record durable although its answer wasn't received.
 * The entry is answered that the request was refused and won't run it, so the record
 * must become "not run" too; otherwise the key stays in use for a request that never ran.
 */
static void
record_not_run (CtRelayIdem *relay, const Alderturn__IdemBegin *begin)
{
  Alderturn__IdemFinish finish = ALDERTURN__IDEM_FINISH__INIT;

  finish.workspace = begin->workspace;
  finish.key = begin->key;
  finish.attempt = begin->attempt;
  finish.state = ALDERTURN__IDEM_STATE__IDEM_STATE_NOT_RUN;
  try_holder (pending_new (relay, 0, WR_FRAME (IDEM_FINISH, idem_finish, &finish),
                           relay->options.finish_timeout));
}

static void
give_up (Pending *pending)
{
  CtRelayIdem *relay = pending->relay;
  Alderturn__IdemReply reply = ALDERTURN__IDEM_REPLY__INIT;

  reply.verdict = ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_REFUSED;
  if (!is_begin (pending))
    send_finished (relay, pending->peer, pending->peer_call, FALSE);
  else
    {
      send_reply (relay, pending->peer, pending->peer_call, &reply);
      if (pending->sent)
        record_not_run (relay, pending->frame->idem_begin);
    }
  g_hash_table_remove (relay->pending, &pending->call);
}

static void
schedule_retry (Pending *pending, KnlTime delay)
{
  KnlKernel *kernel = pending->relay->options.kernel;

  pending->local = FALSE;
  knl_timer_stop (kernel, &pending->timer);
  pending->timer = knl_timer_start (kernel, delay, try_holder, pending);
}

static void
handle_reply (Pending *pending, const Alderturn__IdemReply *reply)
{
  /* The shard may be moving from one holder to the next: try again. */
  if (reply->verdict == ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_REFUSED
      && knl_kernel_now (pending->relay->options.kernel) < pending->deadline)
    {
      schedule_retry (pending, RETRY_DELAY);
      return;
    }
  send_reply (pending->relay, pending->peer, pending->peer_call, reply);
  g_hash_table_remove (pending->relay->pending, &pending->call);
}

static void
handle_finished (Pending *pending, gboolean durable)
{
  if (!durable && knl_kernel_now (pending->relay->options.kernel) < pending->deadline)
    {
      schedule_retry (pending, RETRY_DELAY);
      return;
    }
  send_finished (pending->relay, pending->peer, pending->peer_call, durable);
  g_hash_table_remove (pending->relay->pending, &pending->call);
}

static void
on_local_reply (const Alderturn__IdemReply *reply, gpointer data)
{
  handle_reply (data, reply);
}

static void
on_local_finished (gboolean durable, gpointer data)
{
  handle_finished (data, durable);
}

static void
query_own_records (Pending *pending)
{
  CoIdem *idem = pending->relay->options.idem;

  pending->local = TRUE;
  if (is_begin (pending))
    co_idem_begin (idem, pending->frame->idem_begin, on_local_reply, pending);
  else
    co_idem_finish (idem, pending->frame->idem_finish, on_local_finished, pending);
}

static void
try_holder (gpointer data)
{
  Pending *pending = data;
  CtRelayIdem *relay = pending->relay;
  guint shard = shard_of (pending);
  CoLeaseView view;
  CtPeer *holder = NULL;

  pending->timer = 0;
  if (knl_kernel_now (relay->options.kernel) >= pending->deadline)
    {
      give_up (pending);
      return;
    }
  if (co_lease_valid (relay->options.leases, shard, NULL))
    {
      pending->sent = TRUE;
      query_own_records (pending);
      return;
    }
  view = co_lease_view (relay->options.leases, shard);
  if (view.holder != NULL)
    holder = ct_relay_connect (&relay->options, view.holder);
  if (holder == NULL)
    {
      schedule_retry (pending, RETRY_DELAY);
      return;
    }
  pending->sent = TRUE;
  ct_peer_send (holder, pending->frame);
  schedule_retry (pending, ANSWER_TIMEOUT);
}

static void
on_forwarded_reply (const Alderturn__IdemReply *reply, gpointer data)
{
  ForwardedRequest *forwarded = data;

  send_reply (forwarded->relay, forwarded->peer, forwarded->peer_call, reply);
  g_hash_table_remove (forwarded->relay->forwarded, forwarded);
}

static void
on_forwarded_finished (gboolean durable, gpointer data)
{
  ForwardedRequest *forwarded = data;

  send_finished (forwarded->relay, forwarded->peer, forwarded->peer_call, durable);
  g_hash_table_remove (forwarded->relay->forwarded, forwarded);
}

static ForwardedRequest *
forwarded_new (CtRelayIdem *relay, const CtPeer *peer, guint64 call)
{
  ForwardedRequest *forwarded = g_new0 (ForwardedRequest, 1);

  forwarded->relay = relay;
  forwarded->peer = peer->id;
  forwarded->peer_call = call;
  g_hash_table_add (relay->forwarded, forwarded);
  return forwarded;
}

void
ct_relay_idem_begin (CtRelayIdem *relay, CtPeer *peer, const Alderturn__IdemBegin *begin)
{
  if (peer->role == ALDERTURN__ROLE__ROLE_CONTROLLER)
    {
      co_idem_begin (relay->options.idem, begin, on_forwarded_reply,
                     forwarded_new (relay, peer, begin->call));
      return;
    }
  if (g_hash_table_size (relay->pending) >= MAX_PENDING)
    {
      Alderturn__IdemReply reply = ALDERTURN__IDEM_REPLY__INIT;

      reply.verdict = ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_REFUSED;
      send_reply (relay, peer->id, begin->call, &reply);
      return;
    }
  try_holder (pending_new (relay, peer->id,
                           WR_FRAME (IDEM_BEGIN, idem_begin, (Alderturn__IdemBegin *)begin),
                           relay->options.begin_timeout));
}

void
ct_relay_idem_finish (CtRelayIdem *relay, CtPeer *peer, const Alderturn__IdemFinish *finish)
{
  if (peer->role == ALDERTURN__ROLE__ROLE_CONTROLLER)
    {
      co_idem_finish (relay->options.idem, finish, on_forwarded_finished,
                      forwarded_new (relay, peer, finish->call));
      return;
    }
  if (g_hash_table_size (relay->pending) >= MAX_PENDING)
    {
      send_finished (relay, peer->id, finish->call, FALSE);
      return;
    }
  try_holder (pending_new (relay, peer->id,
                           WR_FRAME (IDEM_FINISH, idem_finish, (Alderturn__IdemFinish *)finish),
                           relay->options.finish_timeout));
}

void
ct_relay_idem_handle_reply (CtRelayIdem *relay, const Alderturn__IdemReply *reply)
{
  Pending *pending = g_hash_table_lookup (relay->pending, &reply->call);

  if (pending != NULL && is_begin (pending) && !pending->local)
    handle_reply (pending, reply);
}

void
ct_relay_idem_handle_finish_reply (CtRelayIdem *relay, const Alderturn__IdemFinishReply *reply)
{
  Pending *pending = g_hash_table_lookup (relay->pending, &reply->call);

  if (pending != NULL && !is_begin (pending) && !pending->local)
    handle_finished (pending, reply->durable);
}

guint
ct_relay_idem_pending (const CtRelayIdem *relay)
{
  return g_hash_table_size (relay->pending);
}
