/** Tests of what callers get while a service of engines is overloaded. */

#include <stdlib.h>
#include <string.h>

#include "suite.h"
#include "sv_fixture.h"

#define STREAM                                                                                     \
  "HTTP/1.1 200 OK\r\n" SIGNED "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n"     \
  "id: 1\ndata: a\n\n"

#define INTERVAL (100 * KNL_MSEC)

/* A short prompt takes about 36 ms of engine time: this many are twice what one engine can do. */
#define REQUESTS 60

static const ScriptedAnswer good = { STREAM, FALSE };

typedef struct
{
  SvFixture core;
  guint n_requests;
  guint deadline_ms;
} Fixture;

static void
fixture_open (Fixture *self)
{
  *self = (Fixture){ .deadline_ms = 5000 };
  sv_fixture_open (&self->core);
  sv_fixture_use_engines (&self->core, 1, &sv_fixture_small_engine);
  sv_fixture_add_endpoint (&self->core, &good, 1);
}

/* Requests a short prompt with an id of its own and waits for its end. TRUE: it was served. */
static gboolean
request (Fixture *self, const char *fields)
{
  g_autofree char *text = g_strdup_printf (
      "POST /stream/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r%u\r\nX-Deadline-Ms: %u\r\n"
      "X-Token-Counts: 2000,100\r\nAuthorization: Bearer key\r\n%sContent-Length: 2\r\n\r\nhi",
      self->n_requests++, self->deadline_ms, fields);

  sv_core_confirm (self->core.core, knl_kernel_now (self->core.kernel));
  g_string_truncate (self->core.received, 0);
  sv_fixture_send (&self->core, text);
  sv_fixture_wait_for (&self->core, "\r\n\r\n");
  while (sv_core_n_requests (self->core.core) > 0)
    event_base_loop (self->core.base, EVLOOP_ONCE);
  return strstr (self->core.received->str, "HTTP/1.1 200") != NULL;
}

static guint
count_served (Fixture *self, const char *fields)
{
  guint served = 0;

  for (guint i = 0; i < REQUESTS; i++)
    served += request (self, fields);
  return served;
}

/* Another instance places prompts with this prefill time at the engine. */
static void
set_backlog (Fixture *self, KnlTime length)
{
  static guint64 prompt = 1000;
  SvEndpoint *endpoint = g_ptr_array_index (sv_fleet_all (self->core.fleet), 0);
  SvPrefill prefill = { .prompt = prompt++, .length = length };

  sv_fleet_add_prefill (self->core.fleet, &prefill, &endpoint->key, 1);
}

static void
saturate (Fixture *self)
{
  set_backlog (self, KNL_SEC);
  CU_ASSERT_EQUAL (count_served (self, ""), REQUESTS);
  knl_paused_clock_advance (self->core.clock, INTERVAL);
}

/* Guards against refused requests that are sent to an engine, or whose callers aren't told that
 * they haven't run and when to come back. */
static void
test_overload_refuses_at_once (void)
{
  Fixture self;
  guint served;
  guint refused = 0;

  fixture_open (&self);
  saturate (&self);
  served = sv_fixture_all_requests (&self.core);
  for (guint i = 0; i < REQUESTS; i++)
    {
      const char *after;
      double seconds;

      if (request (&self, ""))
        {
          served++;
          continue;
        }
      refused++;
      CU_ASSERT_PTR_NOT_NULL (strstr (self.core.received->str, "HTTP/1.1 503"));
      CU_ASSERT_PTR_NULL (strstr (self.core.received->str, "X-Server-Stamp"));
      after = strstr (self.core.received->str, "Retry-After: ");
      seconds = after != NULL ? atof (after + strlen ("Retry-After: ")) : 0;
      CU_ASSERT (seconds >= 0.16 * 5 && seconds <= 0.32 * 5 + 0.001);
    }
  CU_ASSERT (refused > REQUESTS / 5 && refused < REQUESTS);
  CU_ASSERT_EQUAL (sv_fixture_all_requests (&self.core), served);
  sv_fixture_close (&self.core);
}

/* Guards against refusals of any request while the engine has room, or has had it for two
 * seconds. */
static void
test_no_refusal_without_saturation (void)
{
  Fixture self;

  fixture_open (&self);
  CU_ASSERT_EQUAL (count_served (&self, ""), REQUESTS);
  knl_paused_clock_advance (self.core.clock, INTERVAL);
  CU_ASSERT_EQUAL (count_served (&self, ""), REQUESTS);
  saturate (&self);
  CU_ASSERT (count_served (&self, "") < REQUESTS);
  knl_paused_clock_advance (self.core.clock, 3 * KNL_SEC);
  CU_ASSERT_EQUAL (count_served (&self, ""), REQUESTS);
  sv_fixture_close (&self.core);
}

/* Guards against a broken stream that can't go on because its service has become overloaded. */
static void
test_resumed_streams_are_admitted (void)
{
  Fixture self;

  fixture_open (&self);
  saturate (&self);
  CU_ASSERT_EQUAL (count_served (&self, "Last-Event-Id: 0\r\n"), REQUESTS);
  sv_fixture_close (&self.core);
}

/* Guards against a request that a peer has admitted, and that is refused after it was passed on. */
static void
test_passed_requests_are_admitted (void)
{
  Fixture self;

  fixture_open (&self);
  saturate (&self);
  self.core.is_passed = TRUE;
  CU_ASSERT_EQUAL (count_served (&self, ""), REQUESTS);
  sv_fixture_close (&self.core);
}

/* Guards against a caller that comes back too late to meet its objective, and takes the place of
 * one that can still meet it. */
static void
test_late_callers_come_last (void)
{
  Fixture self;
  guint on_time;
  guint late;

  fixture_open (&self);
  set_backlog (&self, KNL_SEC);
  for (guint i = 0; i < REQUESTS; i++)
    {
      self.deadline_ms = i % 2 == 0 ? 4000 : 5000;
      CU_ASSERT_TRUE (request (&self, ""));
    }
  knl_paused_clock_advance (self.core.clock, INTERVAL);
  self.deadline_ms = 5000;
  on_time = count_served (&self, "");
  self.deadline_ms = 4000;
  late = count_served (&self, "");
  CU_ASSERT (late > 0 && late < 0.7 * on_time);
  sv_fixture_close (&self.core);
}

/* Guards against plain services that are taken for engines, and a service that is no longer one of
 * engines. */
static void
test_only_engines_are_protected (void)
{
  Fixture self;

  fixture_open (&self);
  saturate (&self);
  sv_fixture_use_config (&self.core, 2, "key");
  CU_ASSERT_EQUAL (count_served (&self, ""), REQUESTS);
  sv_fixture_close (&self.core);
}

static const SuiteCase cases[] = {
  { "overload refuses at once", test_overload_refuses_at_once },
  { "no refusal without saturation", test_no_refusal_without_saturation },
  { "resumed streams are admitted", test_resumed_streams_are_admitted },
  { "passed requests are admitted", test_passed_requests_are_admitted },
  { "late callers come last", test_late_callers_come_last },
  { "only engines are protected", test_only_engines_are_protected },
};

SUITE_MAIN ("sv_admission", cases)
