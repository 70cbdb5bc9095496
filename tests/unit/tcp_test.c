/** Links over real sockets on the loopback interface. */

#include "kernel/event_runtime.h"
#include "suite.h"
#include "wire/frame.h"
#include "wire/tcp.h"

#include <event2/event.h>

typedef struct
{
  WrTransport *transport;
  WrIdentity identity;
  guint64 revision;
  WrLink *link;
  guint opened;
  guint closed;
  WrCloseReason reason;
  guint frames;
  guint64 peer_revision;
} Side;

typedef struct
{
  struct event_base *base;
  KnlRuntime *runtime;
  KnlKernel *kernel;
  Side client;
  Side server;
  char address[64];
} Pair;

static void
on_open (WrLink *link, const Alderturn__Hello *peer, gpointer data)
{
  ((Side *)data)->opened++;
}

static void
on_frame (WrLink *link, const Alderturn__Frame *frame, gpointer data)
{
  Side *side = data;

  if (frame->body_case == ALDERTURN__FRAME__BODY_HEARTBEAT)
    side->peer_revision = frame->heartbeat->config_revision;
  else
    side->frames++;
}

static void
on_closed (WrLink *link, WrCloseReason reason, gpointer data)
{
  Side *side = data;

  side->closed++;
  side->reason = reason;
  side->link = NULL;
}

static const WrLinkEvents events = {
  .on_open = on_open,
  .on_frame = on_frame,
  .on_closed = on_closed,
};

static void
on_accept (WrLink *link, const Alderturn__Hello *peer, gpointer data)
{
  Side *side = data;

  side->opened++;
  side->link = link;
  wr_link_set_events (link, &events, side);
}

static void
side_init (Pair *pair, Side *side, const char *instance, Alderturn__Role role)
{
  side->identity = (WrIdentity){ .instance = instance,
                                 .incarnation = 7,
                                 .role = role,
                                 .zone = "a",
                                 .region = "local",
                                 .address = "",
                                 .caller_address = "",
                                 .secret = "shared" };
  side->transport =
      wr_tcp_transport_new (pair->kernel, pair->base, &side->identity, &side->revision);
}

static Pair *
pair_new (void)
{
  Pair *pair = g_new0 (Pair, 1);

  pair->base = event_base_new ();
  pair->runtime = knl_event_runtime_new (pair->base);
  pair->kernel = knl_kernel_new (pair->runtime, 1);
  side_init (pair, &pair->client, "entry-1", ALDERTURN__ROLE__ROLE_ENTRY);
  side_init (pair, &pair->server, "controller-1", ALDERTURN__ROLE__ROLE_CONTROLLER);
  CU_ASSERT_TRUE (
      wr_transport_listen (pair->server.transport, "127.0.0.1", on_accept, &pair->server));
  g_snprintf (pair->address, sizeof pair->address, "127.0.0.1:%u",
              wr_tcp_transport_port (pair->server.transport));
  return pair;
}

static void
pair_free (Pair *pair)
{
  wr_transport_free (pair->client.transport);
  wr_transport_free (pair->server.transport);
  knl_kernel_free (pair->kernel);
  knl_event_runtime_free (pair->runtime);
  event_base_free (pair->base);
  g_free (pair);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Pair, pair_free)

/** Runs the event loop until `*counter` is at least `wanted`. */
static void
run_until (Pair *pair, const guint *counter, guint wanted)
{
  while (*counter < wanted)
    CU_ASSERT_EQUAL_FATAL (event_base_loop (pair->base, EVLOOP_ONCE), 0);
}

static void
send_pull (WrLink *link)
{
  Alderturn__ConfigPull pull = ALDERTURN__CONFIG_PULL__INIT;

  wr_link_send (link, WR_FRAME (CONFIG_PULL, config_pull, &pull));
}

static void
send_large (WrLink *link)
{
  Alderturn__IdemReply reply = ALDERTURN__IDEM_REPLY__INIT;

  reply.body.len = WR_MAX_FRAME_BYTES / 2;
  reply.body.data = g_malloc0 (reply.body.len);
  wr_link_send (link, WR_FRAME (IDEM_REPLY, idem_reply, &reply));
  g_free (reply.body.data);
}

static void
test_frames_go_both_ways (void)
{
  g_autoptr (Pair) pair = pair_new ();

  pair->server.revision = 12;
  pair->client.link =
      wr_transport_connect (pair->client.transport, pair->address, &events, &pair->client);
  CU_ASSERT_EQUAL (pair->client.opened, 0);
  run_until (pair, &pair->client.opened, 1);
  run_until (pair, &pair->server.opened, 1);
  send_pull (pair->client.link);
  send_large (pair->server.link);
  run_until (pair, &pair->server.frames, 1);
  run_until (pair, &pair->client.frames, 1);
  while (pair->client.peer_revision != 12)
    CU_ASSERT_EQUAL_FATAL (event_base_loop (pair->base, EVLOOP_ONCE), 0);
}

static void
test_what_was_sent_before_close_arrives (void)
{
  g_autoptr (Pair) pair = pair_new ();

  pair->client.link =
      wr_transport_connect (pair->client.transport, pair->address, &events, &pair->client);
  run_until (pair, &pair->server.opened, 1);
  send_large (pair->server.link);
  send_large (pair->server.link);
  wr_link_close (pair->server.link);
  run_until (pair, &pair->client.closed, 1);
  CU_ASSERT_EQUAL (pair->client.frames, 2);
  CU_ASSERT_EQUAL (pair->client.reason, WR_CLOSED_BY_PEER);
  CU_ASSERT_EQUAL (pair->server.closed, 0);
}

static void
test_unreachable_addresses (void)
{
  static const char *const addresses[] = { "127.0.0.1:1", "nowhere", "" };
  g_autoptr (Pair) pair = pair_new ();

  for (guint i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      wr_transport_connect (pair->client.transport, addresses[i], &events, &pair->client);
      CU_ASSERT_EQUAL (pair->client.closed, i);
      run_until (pair, &pair->client.closed, i + 1);
      CU_ASSERT_EQUAL (pair->client.reason, WR_CLOSED_UNREACHABLE);
    }
  CU_ASSERT_FALSE (wr_transport_listen (pair->client.transport, "nowhere", on_accept, NULL));
  CU_ASSERT_FALSE (wr_transport_listen (pair->client.transport, pair->address, on_accept, NULL));
}

static const SuiteCase cases[] = {
  { "frames go both ways", test_frames_go_both_ways },
  { "what was sent before close arrives", test_what_was_sent_before_close_arrives },
  { "unreachable addresses", test_unreachable_addresses },
};

SUITE_MAIN ("tcp", cases)
