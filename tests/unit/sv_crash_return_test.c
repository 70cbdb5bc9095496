/** Tests of requests that crash endpoints and come back after a while. */

#include <string.h>

#include "suite.h"
#include "sv_fixture.h"

#define MINUTE (60 * KNL_SEC)

#define GOOD_BYTES "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood"

static const ScriptedAnswer good = { GOOD_BYTES, FALSE };
static const ScriptedAnswer crashes = { NULL, TRUE };

/* Peers call this several times a second. */
static void
pass (SvFixture *fixture, KnlTime time)
{
  static const KnlTime step = 400 * KNL_MSEC;

  for (KnlTime passed = 0; passed < time; passed += step)
    {
      knl_paused_clock_advance (fixture->clock, step);
      sv_quarantine_tick (sv_core_quarantine (fixture->core));
      sv_crashes_tick (sv_core_crashes (fixture->core));
    }
  sv_core_confirm (fixture->core, knl_kernel_now (fixture->kernel));
}

/* Sends the request on a new connection: an idle one is closed after a while. */
static void
request (SvFixture *fixture)
{
  g_clear_pointer (&fixture->caller, bufferevent_free);
  fixture->ended = FALSE;
  sv_fixture_request (fixture, "/once/crash");
  sv_fixture_wait_for (fixture, "HTTP/1.1 ");
}

/* The endpoint's process is gone for good: its row is removed. */
static void
remove_endpoint (SvFixture *fixture, guint i)
{
  g_autofree char *id = g_strdup_printf ("i-%u", i);

  sv_fleet_remove (fixture->fleet, id);
  pass (fixture, 2 * KNL_SEC);
  sv_fleet_sweep (fixture->fleet);
}

/* The request ends three endpoints, with that time between one and the next. */
static void
crash_three (SvFixture *fixture, KnlTime pause)
{
  for (guint i = 0; i < 3; i++)
    {
      sv_fixture_add_endpoint (fixture, &crashes, 1);
      request (fixture);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture->received->str, "HTTP/1.1 502"));
      remove_endpoint (fixture, i);
      pass (fixture, pause);
    }
  sv_fixture_add_endpoint (fixture, &good, 1);
}

static const struct
{
  const char *name;
  KnlTime pause; /* between two crashes */
  KnlTime away;  /* time after the last until the request comes back */
} returns[] = {
  { "minutes later", 0, 5 * MINUTE },
  { "an hour later", 0, 3600 * KNL_SEC },
  { "rarely each time", 70 * KNL_SEC, 70 * KNL_SEC },
};

/* Guards against a request that is forgotten some time after it has ended three endpoints, and ends
 * as many again. */
static void
test_requests_that_come_back_are_refused (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (returns); i++)
    {
      SvFixture fixture;

      sv_fixture_open (&fixture);
      sv_fixture_use_config (&fixture, 1, "key");
      crash_three (&fixture, returns[i].pause);
      pass (&fixture, returns[i].away);
      request (&fixture);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 503"));
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[3]), 0);
      sv_fixture_close (&fixture);
    }
}

static const SuiteCase cases[] = {
  { "requests that come back are refused", test_requests_that_come_back_are_refused },
};

SUITE_MAIN ("sv_crash_return", cases)
