/** Endpoints that are cold: what the core sends them, and what callers get. */

#include <string.h>

#include "common/log.h"
#include "suite.h"
#include "sv_fixture.h"

#define ANSWER(fields) "HTTP/1.1 200 OK\r\n" SIGNED fields "Content-Length: 4\r\n\r\ngood"

static const ScriptedAnswer good = { ANSWER (""), FALSE };

static void
use_rate (SvFixture *self, SvConfig *config, double rate)
{
  static const SvBounds bounds = { .cold_overage = 1.5, .cold_slack = 5 };

  sv_config_add_service (config, "s")->cold = (SvColdSpec){ .duration = 3 * KNL_SEC, .rate = rate };
  sv_fleet_set_cold_bounds (self->fleet, &bounds);
  sv_fleet_set_cold_config (self->fleet, config);
}

static void
on_line (const char *line, gpointer data)
{
  g_string_append (data, line);
  g_string_append_c (data, '\n');
}

/* A core with one endpoint of which an answer states, while it serves, that it is cold. */
static void
open_core (SvFixture *self, SvConfig *config, const ScriptedAnswer *script, guint n)
{
  sv_fixture_open (self);
  sv_fixture_use_config (self, 1, "key");
  sv_fixture_add_endpoint (self, script, n);
  use_rate (self, config, 0.5);
  sv_fleet_set_members (self->fleet,
                        &(SvMembers){ .id = 1, .cell = 1, .known = 1, .is_counted = TRUE });
}

/* Guards against an endpoint that becomes cold while it serves and is sent requests as before, also
 * as the last one that is left. */
static void
test_becomes_cold_while_it_serves (void)
{
  static const ScriptedAnswer script[] = { { ANSWER ("X-Cold-Ms: 5000\r\n"), FALSE },
                                           { ANSWER (""), FALSE } };
  g_autoptr (SvConfig) config = sv_config_new (1);
  g_autoptr (GString) lines = g_string_new (NULL);
  g_autoptr (GString) metrics = NULL;
  SvFixture fixture;

  open_core (&fixture, config, script, 2);
  cm_log_init ("test", "n", CM_LOG_INFO);
  cm_log_set_sink (on_line, lines);
  for (guint i = 0; i < 2; i++)
    {
      sv_fixture_request (&fixture, "/again/1");
      sv_fixture_wait_for (&fixture, "good");
    }
  CU_ASSERT_PTR_NOT_NULL (strstr (lines->str, "\"endpoint-cold\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (lines->str, "\"source\":\"answer\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (lines->str, "\"sender\":true"));
  sv_fixture_request (&fixture, "/again/2");
  sv_fixture_wait_for (&fixture, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "503"));
  /* Two seconds until the next token, and up to 0.3 s that spread the callers. */
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "Retry-After: 2."));
  CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), 2);
  knl_paused_clock_advance (fixture.clock, 2001 * KNL_MSEC);
  sv_core_confirm (fixture.core, knl_kernel_now (fixture.kernel));
  sv_fixture_request (&fixture, "/once/3");
  sv_fixture_wait_for (&fixture, "good");
  knl_paused_clock_advance (fixture.clock, 3 * KNL_SEC);
  sv_core_confirm (fixture.core, knl_kernel_now (fixture.kernel));
  for (guint i = 0; i < 3; i++)
    {
      sv_fixture_request (&fixture, "/once/4");
      sv_fixture_wait_for (&fixture, "good");
    }
  cm_log_set_sink (NULL, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (lines->str, "\"endpoint-warm\""));
  metrics = cm_metrics_render (fixture.metrics);
  CU_ASSERT_PTR_NOT_NULL (strstr (metrics->str, "alderturn_cold_sends_total{service=\"s\"} 2\n"));
  sv_fixture_close (&fixture);
}

/* Guards against retries that aren't charged. */
static void
test_retries_are_charged (void)
{
  static const ScriptedAnswer script[] = {
    { "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", FALSE },
  };
  g_autoptr (SvConfig) config = sv_config_new (1);
  SvFixture fixture;

  open_core (&fixture, config, script, 1);
  sv_fixture_add_endpoint (&fixture, script, 1);
  for (guint i = 0; i < 2; i++)
    sv_endpoint_note_cold_answer (g_ptr_array_index (sv_fleet_all (fixture.fleet), i), 9 * KNL_SEC,
                                  knl_kernel_now (fixture.kernel));
  for (guint i = 0; i < 5; i++)
    {
      sv_fixture_request (&fixture, "/again/1");
      sv_fixture_wait_for (&fixture, "\r\n\r\n");
    }
  CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), 2);
  sv_fixture_close (&fixture);
}

/* Guards against a configuration or bounds that the core doesn't pass on to the fleet. */
static void
test_core_sets_the_rules (void)
{
  g_autoptr (SvConfig) config = sv_config_new (2);
  SvFixture fixture;
  SvEndpoint *endpoint;

  sv_fixture_open (&fixture);
  sv_fixture_add_endpoint (&fixture, &good, 1);
  endpoint = g_ptr_array_index (sv_fleet_all (fixture.fleet), 0);
  sv_endpoint_note_cold_answer (endpoint, 9 * KNL_SEC, knl_kernel_now (fixture.kernel));
  sv_config_add_service (config, "s")->cold = (SvColdSpec){ .duration = KNL_SEC, .rate = 17 };
  CU_ASSERT_FALSE (sv_endpoint_is_cold (endpoint, knl_kernel_now (fixture.kernel)));
  CU_ASSERT_TRUE (sv_core_set_config (fixture.core, config));
  CU_ASSERT_TRUE (sv_endpoint_is_cold (endpoint, knl_kernel_now (fixture.kernel)));
  sv_fleet_set_members (fixture.fleet,
                        &(SvMembers){ .id = 1,
                                      .cell = 1,
                                      .is_counted = TRUE,
                                      .cells = &(SvCellSize){ .id = 2, .instances = 83 },
                                      .n_cells = 1,
                                      .known = 84 });
  CU_ASSERT_EQUAL (endpoint->cold.bucket.share.n_senders, 1);
  sv_core_set_bounds (fixture.core, &(SvBounds){ .cold_overage = 1.5, .cold_slack = 5 });
  CU_ASSERT_EQUAL (endpoint->cold.bucket.share.n_senders, 6);
  sv_fixture_close (&fixture);
}

#define ACCEPTED "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"free\":10}"

/* Of three endpoints, the one that runs the prompt and the one that reserves memory for it, as the
 * hashes of their ids decide. */
#define RUNNER 1
#define HOLDER 2

static SvEndpoint *
find_endpoint (const SvFixture *self, guint i)
{
  const GPtrArray *all = sv_fleet_all (self->fleet);
  guint j = 0;

  while (strcmp (((SvEndpoint *)g_ptr_array_index (all, j))->address,
                 scripted_endpoint_address (self->endpoints[i]))
         != 0)
    j++;
  return g_ptr_array_index (all, j);
}

/* Guards against a prompt that is sent although the endpoint that runs it, or one that holds memory
 * for it, has become cold while the memory was being reserved. */
static void
test_becomes_cold_while_memory_is_reserved (void)
{
  static const ScriptedAnswer accepted[] = { { ACCEPTED, FALSE } };
  static const guint cold[] = { RUNNER, HOLDER };

  for (guint i = 0; i < G_N_ELEMENTS (cold); i++)
    {
      g_autoptr (SvConfig) config = sv_config_new (1);
      SvFixture fixture;

      sv_fixture_open (&fixture);
      sv_fixture_use_engines (&fixture, 1, &sv_fixture_small_engine);
      for (guint j = 0; j < 3; j++)
        sv_fixture_add_endpoint (&fixture, accepted, 1);
      use_rate (&fixture, config, 1);
      sv_fixture_request_prompt (&fixture, "/long/1", 120000);
      sv_fixture_wait_requests (&fixture, HOLDER, 1);
      sv_endpoint_note_cold_answer (find_endpoint (&fixture, cold[i]), 3 * KNL_SEC,
                                    knl_kernel_now (fixture.kernel));
      while (strstr (scripted_endpoint_body (fixture.endpoints[HOLDER]), "release") == NULL)
        event_base_loop (fixture.base, EVLOOP_ONCE);
      CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[RUNNER]), 0);
      /* Until the caller has its answer and all reserved memory is released. */
      for (KnlTime passed = 0; passed < 18 * KNL_SEC; passed += 50 * KNL_MSEC)
        {
          knl_paused_clock_advance (fixture.clock, 50 * KNL_MSEC);
          for (guint iteration = 0; iteration < 5; iteration++)
            event_base_loop (fixture.base, EVLOOP_NONBLOCK);
        }
      sv_fixture_close (&fixture);
    }
}

static const SuiteCase cases[] = {
  { "an endpoint becomes cold while it serves", test_becomes_cold_while_it_serves },
  { "retries are charged", test_retries_are_charged },
  { "an endpoint becomes cold while memory is reserved",
    test_becomes_cold_while_memory_is_reserved },
  { "the core sets the rules", test_core_sets_the_rules },
};

SUITE_MAIN ("sv_cold_core", cases)
