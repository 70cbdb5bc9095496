#include "confirm_fixture.h"

#include <string.h>

#include "suite.h"

#define TEST_TIMEOUT_S 20

static void
on_test_timeout (evutil_socket_t fd, short what, void *data)
{
  g_error ("the test timed out");
}

static SvPosition
version (gpointer data)
{
  const ConfirmInstance *self = data;

  return (SvPosition){ .era = self->era, .version = self->version };
}

static SvPosition
config_known (gpointer data)
{
  const ConfirmInstance *self = data;

  return (SvPosition){ .era = self->era, .version = self->config_known };
}

static KnlTime
confirmed_at (gpointer data)
{
  return ((ConfirmInstance *)data)->confirmed_at;
}

static void
confirm (KnlTime at, gpointer data)
{
  ConfirmInstance *self = data;

  self->confirmed_at = MAX (self->confirmed_at, at);
}

static void
query_store (gpointer data)
{
  ((ConfirmInstance *)data)->n_store_queries++;
}

static SvPosition
endpoints (gpointer data)
{
  const ConfirmInstance *self = data;

  return (SvPosition){ .era = self->era, .version = self->endpoints };
}

static KnlTime
endpoints_last_seen_at (gpointer data)
{
  return ((ConfirmInstance *)data)->endpoints_last_seen_at;
}

static void
query_endpoints (gpointer data)
{
  ((ConfirmInstance *)data)->n_endpoint_queries++;
}

static void
read_watermarks (gpointer data)
{
  ((ConfirmInstance *)data)->n_watermark_reads++;
}

static const SvConfirmEvents confirm_events = {
  .version = version,
  .config_known = config_known,
  .confirmed_at = confirmed_at,
  .confirm = confirm,
  .query_store = query_store,
  .endpoints = endpoints,
  .endpoints_known = endpoints,
  .endpoints_last_seen_at = endpoints_last_seen_at,
  .query_endpoints = query_endpoints,
  .config_last_seen_at = endpoints_last_seen_at,
  .query_config = query_store,
  .read_watermarks = read_watermarks,
};

static const char *
zone_of (const ConfirmFixture *self, guint i)
{
  return i >= INSTANCES - 2 ? self->last_zone : "a";
}

static void
open_instance (ConfirmFixture *self, guint i)
{
  static guint port = 25000;
  g_autofree char *ip = suite_loopback_ip (0);
  ConfirmInstance *instance = &self->instances[i];
  g_autofree char *name = g_strdup_printf ("n%u", i);

  instance->fleet = sv_fleet_new (self->kernel, KNL_SEC);
  while (instance->peers == NULL)
    {
      SvMember member = { .name = name,
                          .incarnation = 9,
                          .callers_address = "",
                          .zone = zone_of (self, i),
                          .strength = 1 };

      g_free (instance->link);
      instance->link = g_strdup_printf ("%s:%u", ip, port++);
      member.link_address = instance->link;
      instance->peers = sv_peers_new (self->kernel, self->base, instance->fleet, &member);
    }
  instance->version = 7;
  instance->confirmed_at = knl_kernel_now (self->kernel);
  instance->endpoints_last_seen_at = instance->confirmed_at;
  instance->confirm =
      sv_confirm_new (self->kernel, instance->peers, MAX_STALENESS, &confirm_events, instance);
}

void
confirm_fixture_run_loop (ConfirmFixture *self)
{
  for (guint i = 0; i < 4 * INSTANCES; i++)
    event_base_loop (self->base, EVLOOP_NONBLOCK);
}

void
confirm_fixture_open_in (ConfirmFixture *self, const char *last_zone)
{
  struct timeval limit = { .tv_sec = TEST_TIMEOUT_S };

  *self = (ConfirmFixture){ .base = event_base_new (),
                            .clock = knl_paused_clock_new (),
                            .last_zone = last_zone };
  self->test_timeout = evtimer_new (self->base, on_test_timeout, NULL);
  evtimer_add (self->test_timeout, &limit);
  knl_paused_clock_advance (self->clock, 100 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 5);
  for (guint i = 0; i < INSTANCES; i++)
    open_instance (self, i);
  for (guint i = 0; i < INSTANCES; i++)
    for (guint j = 0; j < i; j++)
      {
        g_autofree char *name = g_strdup_printf ("n%u", j);
        SvMember member = { .name = name,
                            .link_address = self->instances[j].link,
                            .zone = zone_of (self, j),
                            .strength = 1 };

        sv_peers_discover (self->instances[i].peers, &member);
      }
  for (guint i = 0; i < INSTANCES; i++)
    {
      guint others = 0;

      for (guint j = 0; j < INSTANCES; j++)
        others += j != i && strcmp (zone_of (self, i), zone_of (self, j)) == 0;
      while (sv_peers_n_alive_in_cell (self->instances[i].peers) < others)
        event_base_loop (self->base, EVLOOP_ONCE);
    }
}

void
confirm_fixture_open (ConfirmFixture *self)
{
  confirm_fixture_open_in (self, "a");
}

void
confirm_fixture_close (ConfirmFixture *self)
{
  for (guint i = 0; i < INSTANCES; i++)
    {
      sv_confirm_free (self->instances[i].confirm);
      sv_peers_free (self->instances[i].peers);
      sv_fleet_free (self->instances[i].fleet);
      g_free (self->instances[i].link);
    }
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
  event_free (self->test_timeout);
  event_base_free (self->base);
}

ConfirmInstance *
confirm_fixture_non_follower (ConfirmFixture *self)
{
  ConfirmInstance *other = NULL;

  for (guint i = 0; i < INSTANCES; i++)
    {
      if (!sv_confirm_polls_store (self->instances[i].confirm))
        other = &self->instances[i];
    }
  return other;
}

void
confirm_fixture_confirm_followers (ConfirmFixture *self)
{
  for (guint i = 0; i < INSTANCES; i++)
    {
      if (sv_confirm_polls_store (self->instances[i].confirm))
        self->instances[i].confirmed_at = knl_kernel_now (self->kernel);
    }
}

void
confirm_fixture_advance (ConfirmFixture *self, KnlTime time, gboolean confirmed)
{
  for (KnlTime passed = 0; passed < time; passed += STEP)
    {
      if (confirmed)
        confirm_fixture_confirm_followers (self);
      knl_paused_clock_advance (self->clock, STEP);
      confirm_fixture_run_loop (self);
    }
}

KnlTime
confirm_fixture_age (const ConfirmFixture *self, const ConfirmInstance *instance)
{
  return knl_kernel_now (self->kernel) - instance->confirmed_at;
}
