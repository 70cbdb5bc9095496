#include "peers_fixture.h"

#include "suite.h"

#define TEST_TIMEOUT_S 20
#define STRENGTH       100

static void
on_test_timeout (evutil_socket_t fd, short what, void *data)
{
  g_error ("the test timed out");
}

static void
add_endpoint (SvFleet *fleet, guint i)
{
  g_autofree char *id = g_strdup_printf ("i-%u", i);
  SvEndpointEntry entry = {
    .id = id, .service = "s", .address = "127.0.0.1:9", .zone = "a", .slots = 8
  };

  sv_fleet_update (fleet, &entry);
}

static char *
new_address (void)
{
  static guint port = 22000;
  g_autofree char *ip = suite_loopback_ip (0);

  return g_strdup_printf ("%s:%u", ip, port++);
}

static KnlKernel *
kernel_of (PeersFixture *self, guint i)
{
  return self->own_kernel[i] != NULL ? self->own_kernel[i] : self->kernel;
}

static struct event_base *
base_of (PeersFixture *self, guint i)
{
  return self->own_base[i] != NULL ? self->own_base[i] : self->base;
}

void
peers_fixture_start (PeersFixture *self, guint i)
{
  KnlKernel *kernel = kernel_of (self, i);
  g_autofree char *name = g_strdup_printf ("n%u", i);
  g_autofree char *callers = g_strdup_printf ("10.0.0.%u:80", i);

  self->fleets[i] = sv_fleet_new (kernel, KNL_SEC);
  for (guint j = 0; j < self->n_endpoints; j++)
    add_endpoint (self->fleets[i], j);
  while (self->peers[i] == NULL)
    {
      SvMember member = { .name = name,
                          .incarnation = self->incarnation,
                          .callers_address = callers,
                          .zone = self->zones[i],
                          .region = "r",
                          .passing_port = 7341,
                          .strength = self->strength[i] };

      if (self->links[i] == NULL)
        self->links[i] = new_address ();
      member.link_address = self->links[i];
      self->peers[i] = sv_peers_new (kernel, base_of (self, i), self->fleets[i], &member);
      if (self->peers[i] == NULL)
        g_clear_pointer (&self->links[i], g_free);
    }
  self->crashes[i] = sv_crashes_new (kernel, self->fleets[i]);
  sv_peers_set_crashes (self->peers[i], self->crashes[i]);
  self->quarantines[i] = sv_quarantine_new (kernel, self->fleets[i]);
  sv_peers_set_quarantine (self->peers[i], self->quarantines[i]);
  sv_crashes_set_quarantine (self->crashes[i], self->quarantines[i]);
  self->offered[i] = sv_offered_new (kernel);
  sv_peers_set_offered (self->peers[i], self->offered[i]);
}

void
peers_fixture_stop (PeersFixture *self, guint i)
{
  g_clear_pointer (&self->peers[i], sv_peers_free);
  g_clear_pointer (&self->crashes[i], sv_crashes_free);
  g_clear_pointer (&self->quarantines[i], sv_quarantine_free);
  g_clear_pointer (&self->offered[i], sv_offered_free);
  g_clear_pointer (&self->fleets[i], sv_fleet_free);
}

void
peers_fixture_open (PeersFixture *self, const char *const *zones, guint n, guint n_endpoints)
{
  struct timeval limit = { .tv_sec = TEST_TIMEOUT_S };

  *self = (PeersFixture){ .base = event_base_new (),
                          .clock = knl_paused_clock_new (),
                          .n = n,
                          .n_endpoints = n_endpoints,
                          .zones = zones,
                          .incarnation = 9 };
  self->test_timeout = evtimer_new (self->base, on_test_timeout, NULL);
  evtimer_add (self->test_timeout, &limit);
  knl_paused_clock_advance (self->clock, 10 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 5);
  for (guint i = 0; i < n; i++)
    {
      self->strength[i] = STRENGTH;
      peers_fixture_start (self, i);
    }
}

void
peers_fixture_close (PeersFixture *self)
{
  for (guint i = 0; i < self->n; i++)
    {
      peers_fixture_stop (self, i);
      g_clear_pointer (&self->own_kernel[i], knl_kernel_free);
      g_clear_pointer (&self->own_base[i], event_base_free);
      g_free (self->links[i]);
    }
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
  event_free (self->test_timeout);
  event_base_free (self->base);
}

static void
run_loops (PeersFixture *self)
{
  event_base_loop (self->base, EVLOOP_NONBLOCK);
  for (guint i = 0; i < self->n; i++)
    {
      if (self->own_base[i] != NULL && !self->is_frozen[i])
        event_base_loop (self->own_base[i], EVLOOP_NONBLOCK);
    }
}

void
peers_fixture_advance (PeersFixture *self, KnlTime time)
{
  static const KnlTime step = 1 * KNL_MSEC;

  for (KnlTime passed = 0; passed < time; passed += step)
    {
      knl_paused_clock_advance (self->clock, step);
      for (guint iteration = 0; iteration < 2 * self->n; iteration++)
        run_loops (self);
    }
}

void
peers_fixture_separate (PeersFixture *self, guint i)
{
  peers_fixture_stop (self, i);
  self->incarnation++;
  self->own_base[i] = event_base_new ();
  self->own_runtime[i] = knl_paused_clock_runtime (self->clock);
  self->own_kernel[i] = knl_kernel_new (self->own_runtime[i], 5);
  peers_fixture_start (self, i);
}

void
peers_fixture_set_frozen (PeersFixture *self, guint i, gboolean is_frozen)
{
  self->is_frozen[i] = is_frozen;
  if (!is_frozen)
    event_base_loop (self->own_base[i], EVLOOP_NONBLOCK);
  knl_paused_runtime_set_frozen (self->own_runtime[i], is_frozen);
}

void
peers_fixture_discover (PeersFixture *self, guint i, guint j)
{
  g_autofree char *name = g_strdup_printf ("n%u", j);
  SvMember member = { .name = name,
                      .link_address = self->links[j],
                      .zone = self->zones[j],
                      .strength = self->strength[j] };

  sv_peers_discover (self->peers[i], &member);
}

void
peers_fixture_connect (PeersFixture *self)
{
  for (guint i = 1; i < self->n; i++)
    for (guint j = 0; j < i; j++)
      peers_fixture_discover (self, i, j);
  peers_fixture_advance (self, 2 * PEERS_HEARTBEAT_INTERVAL + PEERS_PROPAGATION_TIME);
  for (guint i = 0; i < self->n; i++)
    CU_ASSERT_EQUAL_FATAL (sv_peers_n_alive (self->peers[i]), self->n - 1);
}

SvEndpoint *
peers_fixture_endpoint (PeersFixture *self, guint i)
{
  return g_ptr_array_index (sv_fleet_all (self->fleets[i]), self->n_endpoints - 1);
}

SvLoad
peers_fixture_load (PeersFixture *self, guint i)
{
  return sv_endpoint_load (peers_fixture_endpoint (self, i), knl_kernel_now (self->kernel));
}

void
peers_fixture_call (PeersFixture *self, guint i, gint calls)
{
  SvLoad load = { .calls = (guint)ABS (calls) };
  SvPeerLink *link = sv_peers_link (self->peers[i]);

  sv_endpoint_charge (peers_fixture_endpoint (self, i), &load, calls < 0 ? -1 : 1);
  link->klass->load_changed (link);
}
