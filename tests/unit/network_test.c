/** Two processes on the in-memory network: handshake, lifetimes of links, and network faults. */

#include "../fakes/memory_network.h"
#include "kernel/paused.h"
#include "suite.h"
#include "wire/frame.h"
#include "wire/session.h"

#define SERVER "10.0.0.1:7000"

typedef enum
{
  CLOSE_NEVER,
  CLOSE_ON_OPEN,
  CLOSE_ON_FRAME,
} CloseWhen;

typedef struct
{
  KnlRuntime *runtime;
  KnlKernel *kernel;
  WrTransport *transport;
  WrIdentity identity;
  guint64 revision;
  WrLink *link;
  CloseWhen close_when;
  gboolean in_connect;
  guint opened;
  guint closed;
  WrCloseReason reason;
  guint64 last; /* `have_revision` of the last pull */
  guint pulls;
  guint64 peer_revision;
} Side;

typedef struct
{
  KnlPausedClock *clock;
  FkNetwork *network;
  Side client;
  Side server;
} Pair;

static void
close_link (Side *side)
{
  wr_link_close (side->link);
  side->link = NULL;
}

static void
on_open (WrLink *link, const Alderturn__Hello *peer, gpointer data)
{
  Side *side = data;

  CU_ASSERT_FALSE (side->in_connect);
  side->opened++;
  if (side->close_when == CLOSE_ON_OPEN)
    close_link (side);
}

static void
on_frame (WrLink *link, const Alderturn__Frame *frame, gpointer data)
{
  Side *side = data;

  if (frame->body_case == ALDERTURN__FRAME__BODY_HEARTBEAT)
    side->peer_revision = frame->heartbeat->config_revision;
  if (frame->body_case != ALDERTURN__FRAME__BODY_CONFIG_PULL)
    return;
  side->pulls++;
  CU_ASSERT_EQUAL (frame->config_pull->have_revision, side->last + 1);
  side->last = frame->config_pull->have_revision;
  if (side->close_when == CLOSE_ON_FRAME)
    close_link (side);
}

static void
on_closed (WrLink *link, WrCloseReason reason, gpointer data)
{
  Side *side = data;

  CU_ASSERT_FALSE (side->in_connect);
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

  side->link = link;
  wr_link_set_events (link, &events, side);
  on_open (link, peer, side);
}

static void
side_start (Pair *pair, Side *side)
{
  side->kernel = knl_kernel_new (side->runtime, 1);
  side->transport =
      fk_network_transport_new (pair->network, side->kernel, &side->identity, &side->revision);
}

static void
side_init (Pair *pair, Side *side, const char *instance, const char *zone, Alderturn__Role role)
{
  side->identity = (WrIdentity){
    .instance = instance, .incarnation = 1, .role = role, .zone = zone, .secret = "shared"
  };
  side->runtime = knl_paused_clock_runtime (pair->clock);
  side_start (pair, side);
}

static void
side_stop (Side *side)
{
  wr_transport_free (side->transport);
  knl_kernel_free (side->kernel);
}

static Pair *
pair_new (void)
{
  Pair *pair = g_new0 (Pair, 1);

  pair->clock = knl_paused_clock_new ();
  pair->network = fk_network_new ();
  side_init (pair, &pair->client, "entry-1", "a", ALDERTURN__ROLE__ROLE_ENTRY);
  side_init (pair, &pair->server, "controller-1", "b", ALDERTURN__ROLE__ROLE_CONTROLLER);
  wr_transport_listen (pair->server.transport, SERVER, on_accept, &pair->server);
  return pair;
}

static void
pair_free (Pair *pair)
{
  side_stop (&pair->client);
  side_stop (&pair->server);
  fk_network_free (pair->network);
  knl_paused_clock_free (pair->clock);
  g_free (pair);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Pair, pair_free)

static void
client_connect (Pair *pair)
{
  pair->client.in_connect = TRUE;
  pair->client.link = wr_transport_connect (pair->client.transport, SERVER, &events, &pair->client);
  pair->client.in_connect = FALSE;
}

static void
pair_open (Pair *pair)
{
  client_connect (pair);
  knl_paused_clock_advance (pair->clock, 10 * KNL_MSEC);
  CU_ASSERT_PTR_NOT_NULL_FATAL (pair->server.link);
}

static void
send_pull (WrLink *link, guint64 number)
{
  Alderturn__ConfigPull pull = ALDERTURN__CONFIG_PULL__INIT;

  pull.have_revision = number;
  wr_link_send (link, WR_FRAME (CONFIG_PULL, config_pull, &pull));
}

static void
test_open_links_stay_open_and_carry_revisions (void)
{
  g_autoptr (Pair) pair = pair_new ();

  pair->server.revision = 41;
  pair_open (pair);
  for (guint i = 1; i <= 50; i++)
    send_pull (pair->client.link, i);
  knl_paused_clock_advance (pair->clock, 60 * KNL_SEC);
  CU_ASSERT_EQUAL (pair->server.pulls, 50);
  CU_ASSERT_EQUAL (pair->client.peer_revision, 41);
  CU_ASSERT_EQUAL (pair->client.closed + pair->server.closed, 0);
}

static void
test_links_can_be_closed_inside_their_events (void)
{
  static const struct
  {
    CloseWhen client;
    CloseWhen server;
    gboolean to_server; /* frames are sent to the server, else to the client */
  } rows[] = {
    { CLOSE_ON_OPEN, CLOSE_NEVER, TRUE },   { CLOSE_NEVER, CLOSE_ON_OPEN, FALSE },
    { CLOSE_NEVER, CLOSE_ON_FRAME, TRUE },  { CLOSE_ON_FRAME, CLOSE_NEVER, FALSE },
    { CLOSE_ON_OPEN, CLOSE_ON_OPEN, TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (Pair) pair = pair_new ();

      pair->client.close_when = rows[i].client;
      pair->server.close_when = rows[i].server;
      client_connect (pair);
      knl_paused_clock_advance (pair->clock, 10 * KNL_MSEC);
      if (rows[i].to_server && pair->client.link != NULL)
        {
          send_pull (pair->client.link, 1);
          send_pull (pair->client.link, 2);
        }
      else if (!rows[i].to_server && pair->server.link != NULL)
        {
          send_pull (pair->server.link, 1);
          send_pull (pair->server.link, 2);
        }
      knl_paused_clock_advance (pair->clock, KNL_SEC);
      CU_ASSERT_PTR_NULL (pair->client.link);
      CU_ASSERT_PTR_NULL (pair->server.link);
      CU_ASSERT_TRUE (pair->client.pulls + pair->server.pulls <= 1);
    }
}

typedef struct
{
  const char *name;
  void (*run) (Pair *pair);
  gboolean before_connect; /* the fault occurs before the link is started, else after it is open */
  WrCloseReason client;
  WrCloseReason server; /* checked if the server's side was open; WR_CLOSED_BY_USER: not checked */
} FaultCase;

static void
fault_freeze (Pair *pair)
{
  fk_network_freeze (pair->network, "entry-1", "controller-1");
}

static void
fault_block_to_server (Pair *pair)
{
  fk_network_block (pair->network, "entry-1", "controller-1", TRUE);
}

static void
fault_block_to_client (Pair *pair)
{
  fk_network_block (pair->network, "controller-1", "entry-1", TRUE);
}

static void
fault_cut_off (Pair *pair)
{
  fk_network_cut_off (pair->network, "controller-1", TRUE);
}

static void
fault_refuse (Pair *pair)
{
  fk_network_refuse (pair->network, "controller-1", TRUE);
}

static void
fault_secret (Pair *pair)
{
  pair->client.identity.secret = "guessed";
}

static void
fault_restart (Pair *pair)
{
  side_stop (&pair->server);
  pair->server.link = NULL;
  side_start (pair, &pair->server);
}

/*
 * Guards against a process that waits forever on a dead link. The network fails
 * while the link is open or being opened; each kind of fault of the in-memory
 * network is tested.
 */
static const FaultCase fault_cases[] = {
  { "frozen", fault_freeze, FALSE, WR_CLOSED_SILENT, WR_CLOSED_SILENT },
  { "one way", fault_block_to_server, FALSE, WR_CLOSED_SILENT, WR_CLOSED_SILENT },
  { "other way", fault_block_to_client, FALSE, WR_CLOSED_SILENT, WR_CLOSED_SILENT },
  { "cut off", fault_cut_off, FALSE, WR_CLOSED_SILENT, WR_CLOSED_SILENT },
  { "restart", fault_restart, FALSE, WR_CLOSED_BY_PEER, WR_CLOSED_BY_USER },
  { "cut off before", fault_cut_off, TRUE, WR_CLOSED_UNREACHABLE, WR_CLOSED_BY_USER },
  { "other way before", fault_block_to_client, TRUE, WR_CLOSED_UNREACHABLE, WR_CLOSED_BY_USER },
  { "refused", fault_refuse, TRUE, WR_CLOSED_UNREACHABLE, WR_CLOSED_BY_USER },
  { "wrong secret", fault_secret, TRUE, WR_CLOSED_BAD_SECRET, WR_CLOSED_BY_USER },
};

static void
test_each_fault_of_the_network_is_noticed_in_time (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (fault_cases); i++)
    {
      const FaultCase *row = &fault_cases[i];
      g_autoptr (Pair) pair = pair_new ();

      if (row->before_connect)
        row->run (pair);
      client_connect (pair);
      knl_paused_clock_advance (pair->clock, 10 * KNL_MSEC);
      if (!row->before_connect)
        row->run (pair);
      knl_paused_clock_advance (pair->clock, WR_HEARTBEAT_TIMEOUT + 2 * WR_HEARTBEAT_INTERVAL);
      CU_ASSERT_EQUAL (pair->client.closed, 1);
      CU_ASSERT_EQUAL (pair->client.reason, row->client);
      if (pair->server.opened > 0 && row->server != WR_CLOSED_BY_USER)
        CU_ASSERT_EQUAL (pair->server.reason, row->server);
    }
}

static void
test_new_links_work_beside_a_frozen_one (void)
{
  g_autoptr (Pair) pair = pair_new ();

  pair_open (pair);
  fault_freeze (pair);
  pair_open (pair);
  send_pull (pair->client.link, 1);
  knl_paused_clock_advance (pair->clock, KNL_SEC);
  CU_ASSERT_EQUAL (pair->server.pulls, 1);
}

static void
test_short_partition_delays_but_loses_no_frames (void)
{
  g_autoptr (Pair) pair = pair_new ();

  pair_open (pair);
  fk_network_cut_off (pair->network, "controller-1", TRUE);
  for (guint i = 1; i <= 10; i++)
    send_pull (pair->client.link, i);
  knl_paused_clock_advance (pair->clock, 2 * KNL_SEC);
  CU_ASSERT_EQUAL (pair->server.pulls, 0);
  fk_network_cut_off (pair->network, "controller-1", FALSE);
  knl_paused_clock_advance (pair->clock, 10 * KNL_SEC);
  CU_ASSERT_EQUAL (pair->server.pulls, 10);
  CU_ASSERT_EQUAL (pair->client.closed, 0);
}

static const SuiteCase cases[] = {
  { "open links stay open and carry revisions", test_open_links_stay_open_and_carry_revisions },
  { "links can be closed inside their events", test_links_can_be_closed_inside_their_events },
  { "each fault of the network is noticed in time",
    test_each_fault_of_the_network_is_noticed_in_time },
  { "new links work beside a frozen one", test_new_links_work_beside_a_frozen_one },
  { "a short network partition delays frames but loses none",
    test_short_partition_delays_but_loses_no_frames },
};

SUITE_MAIN ("network", cases)
