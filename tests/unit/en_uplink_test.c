/** An entry's link to a controller: fails over from the local one to another, and back. */

#include "entry/uplink.h"
#include "kernel/paused.h"
#include "suite.h"
#include "tests/fakes/memory_network.h"
#include "wire/frame.h"

#define LOCAL "127.0.0.1:1"
#define OTHER "127.0.0.1:2"

typedef struct
{
  WrIdentity identity;
  WrTransport *transport;
  guint frames; /* received */
} Controller;

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  FkNetwork *network;
  Controller controllers[2];
  WrIdentity identity;
  WrTransport *transport;
  EnUplink *uplink;
  guint ups;
  guint downs;
} Fixture;

static void
on_controller_frame (WrLink *link, const Alderturn__Frame *frame, gpointer data)
{
  ((Controller *)data)->frames++;
}

static void
on_controller_closed (WrLink *link, WrCloseReason reason, gpointer data)
{
}

static const WrLinkEvents controller_events = {
  .on_frame = on_controller_frame,
  .on_closed = on_controller_closed,
};

static void
on_accept (WrLink *link, const Alderturn__Hello *peer, gpointer data)
{
  wr_link_set_events (link, &controller_events, data);
}

static void
on_up (gpointer data)
{
  ((Fixture *)data)->ups++;
}

static void
on_down (gpointer data)
{
  ((Fixture *)data)->downs++;
}

static void
on_frame (const Alderturn__Frame *frame, gpointer data)
{
}

static const EnUplinkEvents uplink_events = { on_up, on_down, on_frame };

static WrIdentity
identity_of (const char *instance, Alderturn__Role role, const char *address)
{
  return (WrIdentity){ .instance = instance,
                       .incarnation = 1,
                       .role = role,
                       .zone = "a",
                       .region = "r",
                       .address = address,
                       .caller_address = "",
                       .secret = "s" };
}

static Fixture *
fixture_new (void)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  static const char *const names[] = { "c1", "c2" };
  static const char *const addresses[] = { LOCAL, OTHER, NULL };

  fixture->clock = knl_paused_clock_new ();
  fixture->network = fk_network_new ();
  fixture->kernel = knl_kernel_new (knl_paused_clock_runtime (fixture->clock), 1);
  for (guint i = 0; i < 2; i++)
    {
      Controller *controller = &fixture->controllers[i];

      controller->identity = identity_of (names[i], ALDERTURN__ROLE__ROLE_CONTROLLER, addresses[i]);
      controller->transport =
          fk_network_transport_new (fixture->network, fixture->kernel, &controller->identity, NULL);
      CU_ASSERT_TRUE (
          wr_transport_listen (controller->transport, addresses[i], on_accept, controller));
    }
  fixture->identity = identity_of ("e1", ALDERTURN__ROLE__ROLE_ENTRY, "");
  fixture->transport =
      fk_network_transport_new (fixture->network, fixture->kernel, &fixture->identity, NULL);
  fixture->uplink = en_uplink_new (fixture->kernel, fixture->transport, LOCAL);
  en_uplink_set_events (fixture->uplink, &uplink_events, fixture);
  en_uplink_set_others (fixture->uplink, addresses);
  knl_paused_clock_advance (fixture->clock, KNL_SEC);
  return fixture;
}

static void
fixture_free (Fixture *fixture)
{
  en_uplink_free (fixture->uplink);
  wr_transport_free (fixture->transport);
  for (guint i = 0; i < 2; i++)
    wr_transport_free (fixture->controllers[i].transport);
  knl_kernel_run_due (fixture->kernel);
  knl_kernel_free (fixture->kernel);
  fk_network_free (fixture->network);
  knl_paused_clock_free (fixture->clock);
  g_free (fixture);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Fixture, fixture_free)

/* Sends a frame; returns the index of the controller that received it, or -1. */
static int
receiver_of_frame (Fixture *fixture)
{
  Alderturn__EntryStatus status = ALDERTURN__ENTRY_STATUS__INIT;
  guint before[] = { fixture->controllers[0].frames, fixture->controllers[1].frames };

  en_uplink_send (fixture->uplink, WR_FRAME (ENTRY_STATUS, entry_status, &status));
  knl_paused_clock_advance (fixture->clock, 100 * KNL_MSEC);
  for (int i = 0; i < 2; i++)
    {
      if (fixture->controllers[i].frames > before[i])
        return i;
    }
  return -1;
}

typedef enum
{
  LOSE_REFUSED, /* its process has ended: connections are refused */
  LOSE_SILENT,  /* the link stays silent, and new ones aren't answered either */
  LOSE_FROZEN,  /* the link stays silent, but new ones work */
} Loss;

static void
lose_local (Fixture *fixture, Loss loss, gboolean lost)
{
  if (loss != LOSE_FROZEN)
    fk_network_block (fixture->network, "c1", "e1", lost);
  if (loss == LOSE_REFUSED)
    fk_network_refuse (fixture->network, "c1", lost);
  if (loss == LOSE_FROZEN && lost)
    fk_network_freeze (fixture->network, "c1", "e1");
}

/*
 * An entry must not stay without grants, records and configuration when its local
 * controller fails or becomes silent, and must return to it afterwards. Faults: only
 * the local controller is tried, or the entry stays with the other one.
 */
static void
test_local_controller_lost_and_back (void)
{
  static const Loss losses[] = { LOSE_REFUSED, LOSE_SILENT, LOSE_FROZEN };

  for (guint i = 0; i < G_N_ELEMENTS (losses); i++)
    {
      g_autoptr (Fixture) fixture = fixture_new ();

      CU_ASSERT_EQUAL (receiver_of_frame (fixture), 0);
      lose_local (fixture, losses[i], TRUE);
      knl_paused_clock_advance (fixture->clock, 20 * KNL_SEC);
      CU_ASSERT_TRUE (en_uplink_is_up (fixture->uplink));
      CU_ASSERT_EQUAL (receiver_of_frame (fixture), losses[i] == LOSE_FROZEN ? 0 : 1);
      CU_ASSERT_TRUE (fixture->downs >= 1);
      lose_local (fixture, losses[i], FALSE);
      knl_paused_clock_advance (fixture->clock, 20 * KNL_SEC);
      CU_ASSERT_EQUAL (receiver_of_frame (fixture), 0);
      CU_ASSERT_TRUE (fixture->ups >= 2);
    }
}

static const SuiteCase cases[] = {
  { "the local controller is lost and comes back", test_local_controller_lost_and_back },
};

SUITE_MAIN ("en_uplink", cases)
