/** Tests of an instance that has lost its links to endpoints, and of requests passed on to a peer.
 */

#include <string.h>

#include "suite.h"
#include "sv_fixture.h"

/* Nothing listens there: connections are refused. */
#define UNREACHABLE "127.0.0.1:1"

#define STEP (10 * KNL_MSEC)

static const ScriptedAnswer good = { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood",
                                     FALSE };

typedef struct
{
  SvFixture core;
  ScriptedEndpoint *peer;
} Fixture;

static void
fixture_open (Fixture *self, const ScriptedAnswer *peer_script, guint n)
{
  static const char *const ids[] = { "i-0", "i-1", "i-2", "i-3" };

  sv_fixture_open (&self->core);
  sv_fixture_use_config (&self->core, 1, "key");
  for (guint i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      SvEndpointEntry entry = {
        .id = ids[i], .service = "s", .address = UNREACHABLE, .zone = "a", .slots = 4
      };

      sv_fleet_update (self->core.fleet, &entry);
    }
  self->peer = scripted_endpoint_new (self->core.base, peer_script, n);
  sv_fixture_set_peer (scripted_endpoint_address (self->peer));
}

static void
fixture_close (Fixture *self)
{
  sv_fixture_close (&self->core);
  scripted_endpoint_free (self->peer);
}

/* Peers hear from all endpoints. */
static void
note_seen_by_peers (Fixture *self)
{
  const GPtrArray *endpoints = sv_fleet_all (self->core.fleet);

  for (guint i = 0; i < endpoints->len; i++)
    ((SvEndpoint *)g_ptr_array_index (endpoints, i))->last_seen_at =
        knl_kernel_now (self->core.kernel);
}

/* Runs the loop while time passes, and peers hear from all endpoints. */
static void
advance (Fixture *self, KnlTime time)
{
  for (KnlTime passed = 0; passed < time; passed += STEP)
    {
      knl_paused_clock_advance (self->core.clock, STEP);
      note_seen_by_peers (self);
      sv_core_confirm (self->core.core, knl_kernel_now (self->core.kernel));
      for (guint i = 0; i < 10; i++)
        {
          event_base_loop (self->core.base, EVLOOP_NONBLOCK);
          knl_kernel_run_due (self->core.kernel);
        }
    }
}

/* The instance notices that it has lost its links, by a request of its own. */
static void
lose_links (Fixture *self)
{
  sv_fixture_request (&self->core, "/again/first");
  advance (self, 2 * KNL_SEC);
}

/* Guards against callers that are refused by an instance that reaches no endpoint while its peers
 * reach all. */
static void
test_callers_are_served_through_a_peer (void)
{
  static const char *const paths[] = { "/again/1", "/once/1", "/stream/1" };

  for (guint i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      Fixture fixture;

      fixture_open (&fixture, &good, 1);
      lose_links (&fixture);
      sv_fixture_request (&fixture.core, paths[i]);
      advance (&fixture, 200 * KNL_MSEC);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, "HTTP/1.1 200"));
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.core.received->str, "good"));
      fixture_close (&fixture);
    }
}

static const SuiteCase cases[] = {
  { "callers are served through a peer", test_callers_are_served_through_a_peer },
};

SUITE_MAIN ("sv_pass", cases)
