/** Sessions over a fake channel: each protocol violation of a peer, and how it is logged. */

#include "common/log.h"
#include "kernel/paused.h"
#include "suite.h"
#include "wire/frame.h"
#include "wire/framing.h"
#include "wire/handshake.h"
#include "wire/session.h"

#include <jansson.h>
#include <string.h>

#define PEER "10.0.0.9:4000"

typedef struct
{
  WrChannel base;
  GByteArray *written;
  gsize unsent;
  gboolean closed;
} RawChannel;

/* A process that has accepted one connection; the test plays the peer. */
typedef struct
{
  KnlPausedClock *clock;
  KnlRuntime *runtime;
  KnlKernel *kernel;
  WrIdentity identity;
  guint64 revision;
  WrSessionHost host;
  RawChannel channel;
  WrSession *session;
  guint8 nonce[WR_NONCE_BYTES]; /* the peer's */
  guint opened;
  guint closed;
  WrCloseReason reason;
  GPtrArray *lines; /* json_t */
} Fixture;

static void
raw_write (WrChannel *channel, const guint8 *bytes, gsize count)
{
  g_byte_array_append (((RawChannel *)channel)->written, bytes, (guint)count);
}

static gsize
raw_unsent (WrChannel *channel)
{
  return ((RawChannel *)channel)->unsent;
}

static void
raw_close (WrChannel *channel)
{
  ((RawChannel *)channel)->closed = TRUE;
}

static const WrChannelClass raw_class = {
  .write = raw_write,
  .unsent = raw_unsent,
  .close = raw_close,
};

static void
on_closed (WrLink *link, WrCloseReason reason, gpointer data)
{
  Fixture *fixture = data;

  fixture->closed++;
  fixture->reason = reason;
  fixture->session = NULL;
}

static const WrLinkEvents events = { .on_closed = on_closed };

static void
on_accept (WrLink *link, const Alderturn__Hello *peer, gpointer data)
{
  Fixture *fixture = data;

  fixture->opened++;
  wr_link_set_events (link, &events, fixture);
}

static void
collect_line (const char *line, gpointer data)
{
  json_t *parsed = json_loads (line, 0, NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (parsed);
  g_ptr_array_add (data, parsed);
}

static void
free_line (gpointer line)
{
  json_decref (line);
}

static void
fixture_init (Fixture *fixture)
{
  *fixture = (Fixture){ 0 };
  fixture->clock = knl_paused_clock_new ();
  fixture->runtime = knl_paused_clock_runtime (fixture->clock);
  fixture->kernel = knl_kernel_new (fixture->runtime, 1);
  fixture->identity = (WrIdentity){ .instance = "controller-1",
                                    .incarnation = 5,
                                    .role = ALDERTURN__ROLE__ROLE_CONTROLLER,
                                    .secret = "shared" };
  wr_session_host_init (&fixture->host, fixture->kernel, &fixture->identity, &fixture->revision);
  fixture->channel = (RawChannel){ .base.klass = &raw_class, .written = g_byte_array_new () };
  fixture->session =
      wr_session_accept (&fixture->host, &fixture->channel.base, PEER, on_accept, fixture);
  memset (fixture->nonce, 7, sizeof fixture->nonce);
  fixture->lines = g_ptr_array_new_with_free_func (free_line);
  cm_log_set_sink (collect_line, fixture->lines);
}

static void
fixture_clear (Fixture *fixture)
{
  wr_session_host_clear (&fixture->host);
  knl_kernel_free (fixture->kernel);
  knl_paused_clock_free (fixture->clock);
  g_byte_array_unref (fixture->channel.written);
  cm_log_set_sink (NULL, NULL);
  g_ptr_array_unref (fixture->lines);
}

static void
feed (Fixture *fixture, const Alderturn__Frame *frame)
{
  g_autoptr (GByteArray) bytes = g_byte_array_new ();

  wr_framing_encode (frame, WR_MAX_FRAME_BYTES, bytes);
  /* One byte at a time: received frames may be split at any position. */
  for (guint i = 0; i < bytes->len && fixture->session != NULL && !fixture->channel.closed; i++)
    wr_session_receive (fixture->session, bytes->data + i, 1);
}

static void
feed_hello (Fixture *fixture,
            guint32 version,
            const char *instance,
            Alderturn__Role role,
            gsize nonce)
{
  Alderturn__Hello hello = ALDERTURN__HELLO__INIT;

  hello.version = version;
  hello.instance = (char *)instance;
  hello.role = role;
  hello.nonce.data = fixture->nonce;
  hello.nonce.len = nonce;
  feed (fixture, WR_FRAME (HELLO, hello, &hello));
}

static void
feed_good_hello (Fixture *fixture)
{
  feed_hello (fixture, WR_VERSION, "entry-1", ALDERTURN__ROLE__ROLE_ENTRY, WR_NONCE_BYTES);
}

static void
feed_proof (Fixture *fixture, const char *secret, WrSide side)
{
  WrFraming framing;
  Alderturn__Frame *reply = NULL;
  Alderturn__HelloProof proof = ALDERTURN__HELLO_PROOF__INIT;
  guint8 bytes[WR_PROOF_BYTES];
  const char *fault;

  wr_framing_init (&framing, WR_MAX_FRAME_BYTES);
  wr_framing_push (&framing, fixture->channel.written->data, fixture->channel.written->len);
  CU_ASSERT_EQUAL_FATAL (wr_framing_next (&framing, &reply, &fault), WR_FRAMING_FRAME);
  CU_ASSERT_EQUAL_FATAL (reply->body_case, ALDERTURN__FRAME__BODY_HELLO_REPLY);
  wr_handshake_proof (secret, side, fixture->nonce, reply->hello_reply->hello->nonce.data, bytes);
  proof.proof.data = bytes;
  proof.proof.len = sizeof bytes;
  feed (fixture, WR_FRAME (HELLO_PROOF, hello_proof, &proof));
  alderturn__frame__free_unpacked (reply, NULL);
  wr_framing_clear (&framing);
}

static void
open_link (Fixture *fixture)
{
  feed_good_hello (fixture);
  feed_proof (fixture, "shared", WR_SIDE_CONNECTING);
  CU_ASSERT_EQUAL (fixture->opened, 1);
}

static void
feed_heartbeat (Fixture *fixture)
{
  Alderturn__Heartbeat heartbeat = ALDERTURN__HEARTBEAT__INIT;

  feed (fixture, WR_FRAME (HEARTBEAT, heartbeat, &heartbeat));
}

static void
break_hello_twice (Fixture *fixture)
{
  feed_good_hello (fixture);
  feed_good_hello (fixture);
}

static void
break_secret (Fixture *fixture)
{
  feed_good_hello (fixture);
  feed_proof (fixture, "guessed", WR_SIDE_CONNECTING);
}

/* Sends the accepting side's kind of proof back, as a peer without the secret could. */
static void
break_reflected_proof (Fixture *fixture)
{
  feed_good_hello (fixture);
  feed_proof (fixture, "shared", WR_SIDE_ACCEPTING);
}

static void
break_handshake_timeout (Fixture *fixture)
{
  feed_good_hello (fixture);
  knl_paused_clock_advance (fixture->clock, WR_HANDSHAKE_TIMEOUT);
}

static void
break_lost (Fixture *fixture)
{
  wr_session_lost (fixture->session);
}

static void
break_hello_when_open (Fixture *fixture)
{
  open_link (fixture);
  feed_good_hello (fixture);
}

/*
 * Guards against unbounded memory: a peer stops reading while frames for it are
 * still queued. Here the channel already has the maximum of unsent bytes.
 */
static void
break_slow (Fixture *fixture)
{
  open_link (fixture);
  fixture->channel.unsent = WR_MAX_UNSENT_BYTES;
  feed_heartbeat (fixture);
}

/*
 * Guards against requests that never end on a dead link: a firewall or NAT drops
 * the connection's state, so nothing arrives and the channel isn't closed. Here
 * the peer sends nothing after the handshake.
 */
static void
break_silent_when_open (Fixture *fixture)
{
  open_link (fixture);
  knl_paused_clock_advance (fixture->clock, WR_HEARTBEAT_TIMEOUT + WR_HEARTBEAT_INTERVAL);
}

/* As above, but only the outgoing direction fails: heartbeats of the peer arrive, answers don't. */
static void
break_unanswered (Fixture *fixture)
{
  open_link (fixture);
  for (guint i = 0; i < 8 && fixture->session != NULL; i++)
    {
      feed_heartbeat (fixture);
      knl_paused_clock_advance (fixture->clock, WR_HEARTBEAT_INTERVAL);
    }
}

/* The peer's action: `run`, a Hello with one invalid field, or raw bytes. */
typedef struct
{
  void (*run) (Fixture *fixture);
  const char *instance; /* in the Hello; NULL: no Hello is sent */
  guint32 version;
  Alderturn__Role role;
  gsize nonce;
  gboolean open; /* the link is opened first */
  const char *bytes;
  gsize count;
  WrCloseReason reason;
  const char *peer; /* field of the log line, as is `detail` */
  const char *detail;
} BreakCase;

#define ENTRY ALDERTURN__ROLE__ROLE_ENTRY
#define HELLO(name, number, kind, length, why, text)                                               \
  {                                                                                                \
    .instance = (name), .version = (number), .role = (kind), .nonce = (length), .reason = (why),   \
    .detail = (text)                                                                               \
  }

#define BYTES(on_open, raw, text)                                                                  \
  {                                                                                                \
    .open = (on_open), .bytes = (raw), .count = sizeof (raw) - 1, .reason = WR_CLOSED_BAD_FRAME,   \
    .peer = (on_open) ? "entry-1" : NULL, .detail = (text)                                         \
  }

/* A Goodbye frame, as raw bytes. */
#define GOODBYE(raw, text)                                                                         \
  {                                                                                                \
    .bytes = (raw), .count = sizeof (raw) - 1, .reason = WR_CLOSED_BY_PEER, .detail = (text)       \
  }

#define RUN(func, why, name, text)                                                                 \
  {                                                                                                \
    .run = (func), .reason = (why), .peer = (name), .detail = (text)                               \
  }

static const BreakCase break_cases[] = {
  BYTES (FALSE, "\xff\xff\xff\xff", "frame too long"),
  BYTES (FALSE, "\0\0\x10\x01", "frame too long"),
  BYTES (FALSE, "\0\0\0\x03\xff\xff\xff", "frame not decodable"),
  BYTES (TRUE, "\0\0\0\0", "frame of unknown type"),
  BYTES (TRUE, "\0\x40\0\x01", "frame too long"),
  HELLO ("entry-1",
         WR_VERSION + 1,
         ENTRY,
         WR_NONCE_BYTES,
         WR_CLOSED_BAD_VERSION,
         "peer speaks another version"),
  HELLO ("", WR_VERSION, ENTRY, WR_NONCE_BYTES, WR_CLOSED_BAD_FRAME, "hello without an instance"),
  HELLO ("\xc3", WR_VERSION, ENTRY, WR_NONCE_BYTES, WR_CLOSED_BAD_FRAME, "hello with a bad name"),
  HELLO ("entry-1", WR_VERSION, 0, WR_NONCE_BYTES, WR_CLOSED_BAD_FRAME, "hello of an unknown role"),
  HELLO ("entry-1",
         WR_VERSION,
         ENTRY,
         WR_NONCE_BYTES - 1,
         WR_CLOSED_BAD_FRAME,
         "hello with a bad nonce"),
  RUN (feed_heartbeat, WR_CLOSED_BAD_FRAME, NULL, "frame out of turn"),
  RUN (break_hello_twice, WR_CLOSED_BAD_FRAME, "entry-1", "frame out of turn"),
  RUN (break_secret, WR_CLOSED_BAD_SECRET, "entry-1", "peer does not know the secret"),
  RUN (break_reflected_proof, WR_CLOSED_BAD_SECRET, "entry-1", "peer does not know the secret"),
  RUN (break_handshake_timeout, WR_CLOSED_SILENT, "entry-1", "handshake took too long"),
  RUN (break_lost, WR_CLOSED_BY_PEER, NULL, NULL),
  GOODBYE ("\0\0\0\x0e\x2a\x0c\x0a\x0a"
           "bad-secret",
           "bad-secret"),
  GOODBYE ("\0\0\0\x07\x2a\x05\x0a\x03\xc3\n\"", "goodbye"),
  RUN (break_hello_when_open, WR_CLOSED_BAD_FRAME, "entry-1", "handshake frame out of turn"),
  RUN (break_slow, WR_CLOSED_SLOW_PEER, "entry-1", "too many bytes wait to be sent"),
  RUN (break_silent_when_open, WR_CLOSED_SILENT, "entry-1", "heartbeats not answered"),
  RUN (break_unanswered, WR_CLOSED_SILENT, "entry-1", "heartbeats not answered"),
};

static void
run_case (Fixture *fixture, const BreakCase *row)
{
  if (row->open)
    open_link (fixture);
  if (row->instance != NULL)
    feed_hello (fixture, row->version, row->instance, row->role, row->nonce);
  if (row->bytes != NULL)
    wr_session_receive (fixture->session, (const guint8 *)row->bytes, row->count);
  if (row->run != NULL)
    row->run (fixture);
}

static void
assert_text (json_t *line, const char *field, const char *wanted)
{
  const char *found = json_string_value (json_object_get (line, field));

  if (g_strcmp0 (found, wanted) != 0)
    g_printerr ("%s: %s, not %s\n", field, found, wanted);
  CU_ASSERT_EQUAL (g_strcmp0 (found, wanted), 0);
}

static void
test_each_fault_closes_its_link_with_one_line (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (break_cases); i++)
    {
      const BreakCase *row = &break_cases[i];
      Fixture fixture;
      json_t *line;

      fixture_init (&fixture);
      run_case (&fixture, row);
      knl_paused_clock_advance (fixture.clock, 0);
      CU_ASSERT_TRUE (fixture.channel.closed);
      CU_ASSERT_EQUAL (fixture.closed, fixture.opened);
      if (fixture.opened > 0)
        CU_ASSERT_EQUAL (fixture.reason, row->reason);
      CU_ASSERT_EQUAL_FATAL (fixture.lines->len, 1);
      line = g_ptr_array_index (fixture.lines, 0);
      assert_text (line, "event", "link-closed");
      assert_text (line, "address", PEER);
      assert_text (line, "peer", row->peer);
      assert_text (line, "reason", wr_close_reason_name (row->reason));
      assert_text (line, "detail", row->detail);
      fixture_clear (&fixture);
    }
}

/* A protocol violation on one link must not close another link of the process. */
static void
test_a_fault_on_one_link_disturbs_no_other (void)
{
  Fixture fixture;
  RawChannel bad = { .base.klass = &raw_class, .written = g_byte_array_new () };
  WrSession *bad_session;

  fixture_init (&fixture);
  open_link (&fixture);
  bad_session = wr_session_accept (&fixture.host, &bad.base, "10.0.0.8:1", on_accept, &fixture);
  wr_session_receive (bad_session, (const guint8 *)"GET / HTTP/1.1\r\n\r\n", 18);
  knl_paused_clock_advance (fixture.clock, KNL_MSEC);
  CU_ASSERT_TRUE (bad.closed);
  CU_ASSERT_FALSE (fixture.channel.closed);
  CU_ASSERT_EQUAL (fixture.closed, 0);
  feed_heartbeat (&fixture);
  CU_ASSERT_FALSE (fixture.channel.closed);
  g_byte_array_unref (bad.written);
  fixture_clear (&fixture);
}

/*
 * Guards against a resumed process that closes all its links: the heartbeat timers
 * fire before the answers that wait in the sockets are read. The kernel is frozen
 * beyond the heartbeat timeout; the link must stay open after the resume, and
 * close if the peer is then silent for the whole timeout.
 */
static void
test_a_pause_of_this_side_is_not_the_peers_silence (void)
{
  Fixture fixture;

  fixture_init (&fixture);
  open_link (&fixture);
  knl_paused_clock_advance (fixture.clock, WR_HEARTBEAT_INTERVAL);
  knl_paused_runtime_set_frozen (fixture.runtime, TRUE);
  knl_paused_clock_advance (fixture.clock, 10 * WR_HEARTBEAT_TIMEOUT);
  knl_paused_runtime_set_frozen (fixture.runtime, FALSE);
  knl_paused_clock_advance (fixture.clock, 0);
  CU_ASSERT_FALSE (fixture.channel.closed);
  knl_paused_clock_advance (fixture.clock, WR_HEARTBEAT_TIMEOUT + WR_HEARTBEAT_INTERVAL);
  CU_ASSERT_TRUE (fixture.channel.closed);
  fixture_clear (&fixture);
}

static void
test_nonces_and_proofs_differ (void)
{
  WrIdentity one = { .instance = "a", .incarnation = 1, .secret = "s" };
  WrIdentity later = { .instance = "a", .incarnation = 2, .secret = "s" };
  guint8 nonces[3][WR_NONCE_BYTES];
  guint8 proofs[3][WR_PROOF_BYTES];

  wr_handshake_nonce (&one, 1, nonces[0]);
  wr_handshake_nonce (&one, 2, nonces[1]);
  wr_handshake_nonce (&later, 1, nonces[2]);
  wr_handshake_proof ("s", WR_SIDE_ACCEPTING, nonces[0], nonces[1], proofs[0]);
  wr_handshake_proof ("s", WR_SIDE_CONNECTING, nonces[0], nonces[1], proofs[1]);
  wr_handshake_proof ("t", WR_SIDE_ACCEPTING, nonces[0], nonces[1], proofs[2]);
  for (guint i = 0; i < 3; i++)
    {
      guint j = (i + 1) % 3;

      CU_ASSERT_NOT_EQUAL (memcmp (nonces[i], nonces[j], WR_NONCE_BYTES), 0);
      CU_ASSERT_NOT_EQUAL (memcmp (proofs[i], proofs[j], WR_PROOF_BYTES), 0);
    }
}

static const SuiteCase cases[] = {
  { "each fault closes its link with one line", test_each_fault_closes_its_link_with_one_line },
  { "a fault on one link disturbs no other", test_a_fault_on_one_link_disturbs_no_other },
  { "a pause of this side is not the peer's silence",
    test_a_pause_of_this_side_is_not_the_peers_silence },
  { "nonces and proofs differ", test_nonces_and_proofs_differ },
};

SUITE_MAIN ("session", cases)
