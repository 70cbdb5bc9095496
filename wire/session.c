#include "wire/session.h"

#include "common/log.h"
#include "wire/framing.h"
#include "wire/handshake.h"
#include "wire/heartbeat.h"

typedef enum
{
  STATE_CONNECTING, /* waits for the channel to connect */
  STATE_HELLO_SENT, /* connecting side: waits for HelloReply */
  STATE_ACCEPTING,  /* accepting side: waits for Hello */
  STATE_REPLY_SENT, /* accepting side: waits for HelloProof */
  STATE_OPEN,
  STATE_FAILED, /* channel closed, on_closed still to be called */
  STATE_CLOSED, /* freed when the last running call returns */
} State;

struct WrSession
{
  WrLink base;
  WrSessionHost *host;
  WrChannel *channel;
  State state;
  gint64 number;       /* key in the host's table */
  guint running_calls; /* nested calls running on the session */
  char *address;
  const WrLinkEvents *events;
  gpointer data;
  WrAcceptFunc accept;
  gpointer accept_data;
  Alderturn__Frame *peer_frame; /* owns `peer` */
  const Alderturn__Hello *peer;
  guint8 nonce[WR_NONCE_BYTES];
  WrFraming framing;
  WrHeartbeat heartbeat;
  KnlTimerId timer;
  WrCloseReason reason; /* in STATE_FAILED */
};

static const char *const reason_names[] = {
  [WR_CLOSED_BY_USER] = "by-user",         [WR_CLOSED_BY_PEER] = "by-peer",
  [WR_CLOSED_UNREACHABLE] = "unreachable", [WR_CLOSED_SILENT] = "silent",
  [WR_CLOSED_BAD_FRAME] = "bad-frame",     [WR_CLOSED_BAD_SECRET] = "bad-secret",
  [WR_CLOSED_BAD_VERSION] = "bad-version", [WR_CLOSED_SLOW_PEER] = "slow-peer",
};

const char *
wr_close_reason_name (WrCloseReason reason)
{
  return reason_names[reason];
}

static void
session_free (WrSession *session)
{
  if (session->peer_frame != NULL)
    alderturn__frame__free_unpacked (session->peer_frame, NULL);
  wr_framing_clear (&session->framing);
  g_free (session->address);
  g_free (session);
}

static void
begin_call (WrSession *session)
{
  session->running_calls++;
}

static void
end_call (WrSession *session)
{
  session->running_calls--;
  if (session->state == STATE_CLOSED && session->running_calls == 0)
    session_free (session);
}

static void
close_channel (WrSession *session)
{
  WrChannel *channel = session->channel;

  session->channel = NULL;
  if (channel != NULL)
    channel->klass->close (channel);
}

/** Ends the session; its memory is freed when the last running call on it returns. */
static void
end_session (WrSession *session)
{
  knl_timer_stop (session->host->kernel, &session->timer);
  close_channel (session);
  session->state = STATE_CLOSED;
  g_hash_table_remove (session->host->sessions, &session->number);
}

static void
tell_closed (gpointer data)
{
  WrSession *session = data;

  begin_call (session);
  session->timer = 0;
  end_session (session);
  if (session->events != NULL && session->events->on_closed != NULL)
    session->events->on_closed (&session->base, session->reason, session->data);
  end_call (session);
}

static gboolean
is_alive (const WrSession *session)
{
  return session->state != STATE_FAILED && session->state != STATE_CLOSED;
}

static CmLogSeverity
reason_severity (WrCloseReason reason)
{
  return reason == WR_CLOSED_BY_PEER || reason == WR_CLOSED_UNREACHABLE ? CM_LOG_INFO
                                                                        : CM_LOG_WARNING;
}

/**
 * Closes the channel now, but calls on_closed in a later iteration of the loop:
 * a link can fail inside wr_link_send(), whose caller may be iterating over its
 * links.
 */
static void
fail (WrSession *session, WrCloseReason reason, const char *detail)
{
  if (!is_alive (session))
    return;
  cm_log (reason_severity (reason), "link-closed", "s", "peer",
          session->peer != NULL ? session->peer->instance : NULL, "s", "address", session->address,
          "s", "reason", wr_close_reason_name (reason), "s", "detail", detail);
  close_channel (session);
  session->state = STATE_FAILED;
  session->reason = reason;
  knl_timer_stop (session->host->kernel, &session->timer);
  session->timer = knl_timer_start (session->host->kernel, 0, tell_closed, session);
}

static void
write_frame (WrSession *session, const Alderturn__Frame *frame)
{
  GByteArray *bytes = g_byte_array_new ();

  if (!wr_framing_encode (frame, WR_MAX_FRAME_BYTES, bytes))
    fail (session, WR_CLOSED_BAD_FRAME, "own frame too long");
  else if (session->channel->klass->unsent (session->channel) + bytes->len > WR_MAX_UNSENT_BYTES)
    fail (session, WR_CLOSED_SLOW_PEER, "too many bytes wait to be sent");
  else
    session->channel->klass->write (session->channel, bytes->data, bytes->len);
  g_byte_array_unref (bytes);
}

/** Refuses the peer and sends it the reason's name, so that the peer can log it too. */
static void
refuse (WrSession *session, WrCloseReason reason, const char *detail)
{
  Alderturn__Goodbye goodbye = ALDERTURN__GOODBYE__INIT;
  Alderturn__Frame frame = ALDERTURN__FRAME__INIT;

  goodbye.reason = (char *)wr_close_reason_name (reason);
  frame.body_case = ALDERTURN__FRAME__BODY_GOODBYE;
  frame.goodbye = &goodbye;
  write_frame (session, &frame);
  fail (session, reason, detail);
}

static void
send_heartbeat (WrSession *session, guint64 sequence, gboolean reply)
{
  Alderturn__Heartbeat heartbeat = ALDERTURN__HEARTBEAT__INIT;
  Alderturn__Frame frame = ALDERTURN__FRAME__INIT;
  const guint64 *revision = session->host->config_revision;

  heartbeat.sequence = sequence;
  heartbeat.reply = reply;
  heartbeat.config_revision = revision != NULL ? *revision : 0;
  frame.body_case = ALDERTURN__FRAME__BODY_HEARTBEAT;
  frame.heartbeat = &heartbeat;
  write_frame (session, &frame);
}

/*
 * A connection can stop working while both ends keep it open, for example when a
 * firewall or NAT in between drops its state: TCP then reports no error, and
 * requests never end. Each side therefore requires answers to its own heartbeats,
 * which detects a failure in either direction.
 */
static void
on_heartbeat_due (gpointer data)
{
  WrSession *session = data;
  KnlKernel *kernel = session->host->kernel;

  session->timer = 0;
  if (!wr_heartbeat_check (&session->heartbeat, knl_kernel_now (kernel)))
    {
      fail (session, WR_CLOSED_SILENT, "heartbeats not answered");
      return;
    }
  session->timer = knl_timer_start (kernel, WR_HEARTBEAT_INTERVAL, on_heartbeat_due, session);
  send_heartbeat (session, session->heartbeat.sequence, FALSE);
}

static void
open_session (WrSession *session)
{
  KnlKernel *kernel = session->host->kernel;

  session->state = STATE_OPEN;
  session->framing.limit = WR_MAX_FRAME_BYTES;
  wr_heartbeat_start (&session->heartbeat, knl_kernel_now (kernel), WR_HEARTBEAT_INTERVAL,
                      WR_HEARTBEAT_TIMEOUT);
  knl_timer_stop (kernel, &session->timer);
  session->timer = knl_timer_start (kernel, WR_HEARTBEAT_INTERVAL, on_heartbeat_due, session);
}

/** Computes the proof of `side` over both nonces, the connecting side's first. */
static void
make_proof (WrSession *session, WrSide side, guint8 proof[WR_PROOF_BYTES])
{
  const guint8 *peer_nonce = session->peer->nonce.data;
  gboolean connecting = session->accept == NULL;

  wr_handshake_proof (session->host->identity->secret, side,
                      connecting ? session->nonce : peer_nonce,
                      connecting ? peer_nonce : session->nonce, proof);
}

/** Validates `hello`, a part of `*frame`, and takes ownership of the frame; if invalid, refuses the
 * peer and returns FALSE. */
static gboolean
accept_hello (WrSession *session, Alderturn__Frame **frame, const Alderturn__Hello *hello)
{
  const char *fault;

  if (hello == NULL)
    {
      refuse (session, WR_CLOSED_BAD_FRAME, "reply without a hello");
      return FALSE;
    }
  if (hello->version != WR_VERSION)
    {
      refuse (session, WR_CLOSED_BAD_VERSION, "peer speaks another version");
      return FALSE;
    }
  fault = wr_handshake_fault (hello);
  if (fault != NULL)
    {
      refuse (session, WR_CLOSED_BAD_FRAME, fault);
      return FALSE;
    }
  session->peer = hello;
  session->peer_frame = *frame;
  *frame = NULL;
  return TRUE;
}

static void
on_hello (WrSession *session, Alderturn__Frame **frame)
{
  Alderturn__Hello hello;
  Alderturn__HelloReply reply = ALDERTURN__HELLO_REPLY__INIT;
  Alderturn__Frame answer = ALDERTURN__FRAME__INIT;
  guint8 proof[WR_PROOF_BYTES];

  if (!accept_hello (session, frame, (*frame)->hello))
    return;
  make_proof (session, WR_SIDE_ACCEPTING, proof);
  wr_handshake_hello (session->host->identity, session->nonce, &hello);
  reply.hello = &hello;
  reply.proof.data = proof;
  reply.proof.len = sizeof proof;
  answer.body_case = ALDERTURN__FRAME__BODY_HELLO_REPLY;
  answer.hello_reply = &reply;
  session->state = STATE_REPLY_SENT;
  write_frame (session, &answer);
}

static void
on_hello_reply (WrSession *session, Alderturn__Frame **frame)
{
  const Alderturn__HelloReply *reply = (*frame)->hello_reply;
  Alderturn__HelloProof answer = ALDERTURN__HELLO_PROOF__INIT;
  Alderturn__Frame out = ALDERTURN__FRAME__INIT;
  guint8 proof[WR_PROOF_BYTES];

  if (!accept_hello (session, frame, reply->hello))
    return;
  make_proof (session, WR_SIDE_ACCEPTING, proof);
  if (!wr_handshake_equal (proof, &reply->proof))
    {
      refuse (session, WR_CLOSED_BAD_SECRET, "peer does not know the secret");
      return;
    }
  make_proof (session, WR_SIDE_CONNECTING, proof);
  answer.proof.data = proof;
  answer.proof.len = sizeof proof;
  out.body_case = ALDERTURN__FRAME__BODY_HELLO_PROOF;
  out.hello_proof = &answer;
  write_frame (session, &out);
  if (!is_alive (session))
    return;
  open_session (session);
  if (session->events != NULL && session->events->on_open != NULL)
    session->events->on_open (&session->base, session->peer, session->data);
}

static void
on_hello_proof (WrSession *session, Alderturn__Frame **frame)
{
  guint8 proof[WR_PROOF_BYTES];

  make_proof (session, WR_SIDE_CONNECTING, proof);
  if (!wr_handshake_equal (proof, &(*frame)->hello_proof->proof))
    {
      refuse (session, WR_CLOSED_BAD_SECRET, "peer does not know the secret");
      return;
    }
  open_session (session);
  session->accept (&session->base, session->peer, session->accept_data);
}

static void
on_heartbeat (WrSession *session, const Alderturn__Heartbeat *heartbeat)
{
  if (heartbeat->reply)
    wr_heartbeat_answered (&session->heartbeat, knl_kernel_now (session->host->kernel),
                           heartbeat->sequence);
  else
    send_heartbeat (session, heartbeat->sequence, TRUE);
}

/** Handles a frame on an open link; frames of the handshake are errors. */
static void
on_open_frame (WrSession *session, Alderturn__Frame **frame)
{
  switch ((*frame)->body_case)
    {
    case ALDERTURN__FRAME__BODY_HELLO:
    case ALDERTURN__FRAME__BODY_HELLO_REPLY:
    case ALDERTURN__FRAME__BODY_HELLO_PROOF:
      fail (session, WR_CLOSED_BAD_FRAME, "handshake frame out of turn");
      return;
    case ALDERTURN__FRAME__BODY__NOT_SET:
      fail (session, WR_CLOSED_BAD_FRAME, "frame of unknown type");
      return;
    case ALDERTURN__FRAME__BODY_HEARTBEAT:
      on_heartbeat (session, (*frame)->heartbeat);
      break;
    default:
      break;
    }
  if (session->state == STATE_OPEN && session->events != NULL && session->events->on_frame != NULL)
    session->events->on_frame (&session->base, *frame, session->data);
}

typedef struct
{
  Alderturn__Frame__BodyCase body;
  void (*handle) (WrSession *session, Alderturn__Frame **frame);
} ExpectedFrame;

static const ExpectedFrame expected_frames[] = {
  [STATE_HELLO_SENT] = { ALDERTURN__FRAME__BODY_HELLO_REPLY, on_hello_reply },
  [STATE_ACCEPTING] = { ALDERTURN__FRAME__BODY_HELLO, on_hello },
  [STATE_REPLY_SENT] = { ALDERTURN__FRAME__BODY_HELLO_PROOF, on_hello_proof },
  [STATE_OPEN] = { ALDERTURN__FRAME__BODY__NOT_SET, on_open_frame },
};

/** Maps the peer's text to a known reason name, as it is written to the log. */
static const char *
goodbye_detail (const Alderturn__Goodbye *goodbye)
{
  for (guint i = 0; i < G_N_ELEMENTS (reason_names); i++)
    {
      if (g_strcmp0 (goodbye->reason, reason_names[i]) == 0)
        return reason_names[i];
    }
  return "goodbye";
}

static void
handle_frame (WrSession *session, Alderturn__Frame **frame)
{
  const ExpectedFrame *expected = &expected_frames[session->state];

  if ((*frame)->body_case == ALDERTURN__FRAME__BODY_GOODBYE)
    fail (session, WR_CLOSED_BY_PEER, goodbye_detail ((*frame)->goodbye));
  else if (expected->handle == NULL
           || (session->state != STATE_OPEN && (*frame)->body_case != expected->body))
    fail (session, WR_CLOSED_BAD_FRAME, "frame out of turn");
  else
    expected->handle (session, frame);
}

void
wr_session_receive (WrSession *session, const guint8 *bytes, gsize count)
{
  WrFramingResult result = WR_FRAMING_MORE;
  Alderturn__Frame *frame;
  const char *fault = NULL;

  if (!is_alive (session))
    return;
  begin_call (session);
  wr_framing_push (&session->framing, bytes, count);
  while (is_alive (session))
    {
      result = wr_framing_next (&session->framing, &frame, &fault);
      if (result != WR_FRAMING_FRAME)
        break;
      handle_frame (session, &frame);
      if (frame != NULL)
        alderturn__frame__free_unpacked (frame, NULL);
    }
  if (result == WR_FRAMING_BAD)
    fail (session, WR_CLOSED_BAD_FRAME, fault);
  end_call (session);
}

void
wr_session_lost (WrSession *session)
{
  gboolean reached = session->state != STATE_CONNECTING;

  fail (session, reached ? WR_CLOSED_BY_PEER : WR_CLOSED_UNREACHABLE, NULL);
}

void
wr_session_connected (WrSession *session)
{
  Alderturn__Hello hello;
  Alderturn__Frame frame = ALDERTURN__FRAME__INIT;

  if (session->state != STATE_CONNECTING)
    return;
  wr_handshake_hello (session->host->identity, session->nonce, &hello);
  frame.body_case = ALDERTURN__FRAME__BODY_HELLO;
  frame.hello = &hello;
  session->state = STATE_HELLO_SENT;
  write_frame (session, &frame);
}

static void
on_handshake_late (gpointer data)
{
  WrSession *session = data;
  gboolean reached = session->state != STATE_CONNECTING;

  session->timer = 0;
  fail (session, reached ? WR_CLOSED_SILENT : WR_CLOSED_UNREACHABLE, "handshake took too long");
}

static void
link_send (WrLink *link, const Alderturn__Frame *frame)
{
  WrSession *session = (WrSession *)link;

  if (session->state == STATE_OPEN)
    write_frame (session, frame);
}

static void
link_close (WrLink *link)
{
  WrSession *session = (WrSession *)link;

  if (session->state == STATE_CLOSED)
    return;
  begin_call (session);
  end_session (session);
  end_call (session);
}

static void
link_set_events (WrLink *link, const WrLinkEvents *events, gpointer data)
{
  WrSession *session = (WrSession *)link;

  session->events = events;
  session->data = data;
}

static const WrLinkClass session_class = {
  .send = link_send,
  .close = link_close,
  .set_events = link_set_events,
};

static WrSession *
session_new (WrSessionHost *host, WrChannel *channel, const char *address, State state)
{
  WrSession *session = g_new0 (WrSession, 1);

  session->base.klass = &session_class;
  session->host = host;
  session->channel = channel;
  session->state = state;
  session->address = g_strdup (address);
  wr_framing_init (&session->framing, WR_MAX_HANDSHAKE_FRAME_BYTES);
  session->number = ++host->handshakes;
  wr_handshake_nonce (host->identity, (guint64)session->number, session->nonce);
  g_hash_table_insert (host->sessions, &session->number, session);
  session->timer = knl_timer_start (host->kernel, WR_HANDSHAKE_TIMEOUT, on_handshake_late, session);
  return session;
}

WrSession *
wr_session_connect (WrSessionHost *host,
                    WrChannel *channel,
                    const char *address,
                    const WrLinkEvents *events,
                    gpointer data)
{
  WrSession *session = session_new (host, channel, address, STATE_CONNECTING);

  session->events = events;
  session->data = data;
  if (channel == NULL)
    fail (session, WR_CLOSED_UNREACHABLE, "unable to reach this address");
  return session;
}

WrSession *
wr_session_accept (WrSessionHost *host,
                   WrChannel *channel,
                   const char *address,
                   WrAcceptFunc accept,
                   gpointer data)
{
  WrSession *session = session_new (host, channel, address, STATE_ACCEPTING);

  session->accept = accept;
  session->accept_data = data;
  return session;
}

void
wr_session_host_init (WrSessionHost *host,
                      KnlKernel *kernel,
                      const WrIdentity *identity,
                      const guint64 *config_revision)
{
  host->kernel = kernel;
  host->identity = identity;
  host->config_revision = config_revision;
  host->sessions = g_hash_table_new (g_int64_hash, g_int64_equal);
  host->handshakes = 0;
}

void
wr_session_host_clear (WrSessionHost *host)
{
  GHashTableIter iter;
  gpointer session;

  while (g_hash_table_size (host->sessions) > 0)
    {
      g_hash_table_iter_init (&iter, host->sessions);
      if (!g_hash_table_iter_next (&iter, NULL, &session))
        break;
      link_close (session);
    }
  g_hash_table_unref (host->sessions);
}
