/** Tests of what callers get while a service of engines is overloaded. */

#include <stdlib.h>
#include <string.h>

#include "serve/engine_model.h"
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
  const char *path;
  guint deadline_ms;
  const char *counts; /* of tokens, of the prompt and at most of the answer */
} Fixture;

static void
open_with (Fixture *self, void (*open) (SvFixture *), const SvEngineSpec *spec)
{
  *self = (Fixture){ .path = "/stream/1", .deadline_ms = 5000, .counts = "2000,100" };
  open (&self->core);
  sv_fixture_use_engines (&self->core, 1, spec);
  sv_fixture_add_endpoint (&self->core, &good, 1);
}

static void
fixture_open (Fixture *self)
{
  open_with (self, sv_fixture_open, &sv_fixture_small_engine);
}

/* Requests a short prompt with an id of its own and waits for its end. TRUE: it was served. */
static gboolean
request (Fixture *self, const char *fields)
{
  g_autofree char *text = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r%u\r\nX-Deadline-Ms: %u\r\n"
      "X-Token-Counts: %s\r\nAuthorization: Bearer key\r\n%sContent-Length: 2\r\n\r\nhi",
      self->path, self->n_requests++, self->deadline_ms, self->counts, fields);

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

/* Another instance has this many calls at the engine. */
static void
set_calls (Fixture *self, guint calls)
{
  SvEndpoint *endpoint = g_ptr_array_index (sv_fleet_all (self->core.fleet), 0);
  SvLoad load = { .calls = calls };

  sv_endpoint_set_peer (endpoint, 1, &load);
}

/* All slots are taken at the next measurement, and free again after it. */
static void
pass_saturated_interval (Fixture *self)
{
  set_calls (self, sv_fixture_small_engine.slots);
  knl_paused_clock_advance (self->core.clock, INTERVAL);
  set_calls (self, 0);
}

static void
saturate (Fixture *self)
{
  CU_ASSERT_EQUAL (count_served (self, ""), REQUESTS);
  pass_saturated_interval (self);
}

/* Guards against refusals while the engine has room, just after all its slots were taken. */
static void
test_nobody_is_refused_beside_room (void)
{
  Fixture self;

  fixture_open (&self);
  for (guint i = 0; i < 5; i++)
    {
      saturate (&self);
      CU_ASSERT_EQUAL (count_served (&self, ""), REQUESTS);
    }
  sv_fixture_close (&self.core);
}

/* Guards against refused requests that are sent to an engine, or whose callers aren't told that
 * they haven't run and when to come back. */
static void
test_what_has_no_room_in_time_is_refused (void)
{
  Fixture self;
  guint served;

  fixture_open (&self);
  saturate (&self);
  served = sv_fixture_all_requests (&self.core);
  set_calls (&self, sv_fixture_small_engine.slots);
  /* 61 ms to the first event, 50 ms to the second: no time to wait for 36 ms of work. */
  self.deadline_ms = 180;
  for (guint i = 0; i < REQUESTS; i++)
    {
      const char *after;
      double seconds;

      CU_ASSERT_FALSE (request (&self, ""));
      CU_ASSERT_PTR_NOT_NULL (strstr (self.core.received->str, "HTTP/1.1 503"));
      CU_ASSERT_PTR_NULL (strstr (self.core.received->str, "X-Server-Stamp"));
      after = strstr (self.core.received->str, "Retry-After: ");
      seconds = after != NULL ? atof (after + strlen ("Retry-After: ")) : 0;
      CU_ASSERT (seconds >= 0.036 && seconds <= 0.180 / 3 + 0.001);
    }
  CU_ASSERT_EQUAL (sv_fixture_all_requests (&self.core), served);
  set_calls (&self, 0);
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

/* Guards against a caller that has another share because it has less time than its route allows, as
 * after a refusal. */
static void
test_callers_with_less_time_have_the_same_share (void)
{
  static const guint deadlines[] = { 5000, 4000, 300 };
  SvOfferedReport report;
  Fixture self;

  fixture_open (&self);
  for (guint i = 0; i < G_N_ELEMENTS (deadlines); i++)
    {
      self.deadline_ms = deadlines[i];
      CU_ASSERT_TRUE (request (&self, ""));
      sv_offered_report_own (sv_core_offered (self.core.core), sv_offered_service_id ("s"),
                             &report);
      CU_ASSERT_EQUAL_FATAL (report.n_rows, 1);
      CU_ASSERT_EQUAL (report.rows[0].class, 0);
    }
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

static double
offered_load (const Fixture *self)
{
  CmMetricDef def = { .name = "alderturn_offered_load" };
  CmMetric *metric = cm_metrics_add (self->core.metrics, &def);

  return cm_series_value (cm_metric_series (metric, "s", NULL, NULL));
}

/* Guards against answers whose length isn't known and that count with the longest that the caller
 * allows, so that more load is counted than is offered. */
static void
test_answers_count_with_their_expected_length (void)
{
  static const struct
  {
    const char *counts;
    const char *fields;
    double mean;
    double expected;
  } rows[] = {
    { "2000,1000", "", 100, 100 },
    { "2000,50", "", 100, 50 },
    { "2000,1000", "X-Length-Hint: 300\r\n", 100, 300 },
    { "2000,200", "X-Length-Hint: 300\r\n", 100, 200 },
    { "2000,1000", "", 0, 1000 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      SvEngineSpec spec = sv_fixture_small_engine;
      Fixture self;

      spec.mean_answer_tokens = rows[i].mean;
      open_with (&self, sv_fixture_open, &spec);
      self.counts = rows[i].counts;
      CU_ASSERT_EQUAL (count_served (&self, rows[i].fields), REQUESTS);
      pass_saturated_interval (&self);
      CU_ASSERT_DOUBLE_EQUAL (offered_load (&self) * 1000,
                              REQUESTS * sv_model_request_ms (&spec, 2000, rows[i].expected), 1);
      sv_fixture_close (&self.core);
    }
}

/* Guards against a route's gap objective that isn't considered: the same prompt is short where it
 * is tight, and not where it is wide. */
static void
test_tight_gaps_make_prompts_short (void)
{
  static const struct
  {
    const char *path;
    SvPrefillLength length;
  } rows[] = {
    { "/stream/1", SV_PREFILL_SHORT },
    { "/long/1", SV_PREFILL_MEDIUM },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      SvOfferedClass class = { .length = rows[i].length };
      SvOfferedReport report;
      Fixture self;

      fixture_open (&self);
      self.path = rows[i].path;
      self.deadline_ms = 15000; /* the first attempt, on both routes */
      self.counts = "20000,100";
      CU_ASSERT_TRUE (request (&self, ""));
      sv_offered_report_own (sv_core_offered (self.core.core), sv_offered_service_id ("s"),
                             &report);
      CU_ASSERT_EQUAL_FATAL (report.n_rows, 1);
      CU_ASSERT_EQUAL (report.rows[0].class, sv_offered_class_index (&class));
      sv_fixture_close (&self.core);
    }
}

/* Guards against refusals, and reports to peers, where the settings don't ask for load shedding. */
static void
test_load_is_shed_only_where_asked_for (void)
{
  guint32 service = sv_offered_service_id ("s");
  SvOfferedReport report;
  Fixture self;

  open_with (&self, sv_fixture_open_without_shedding, &sv_fixture_small_engine);
  for (guint i = 0; i < 3; i++)
    {
      saturate (&self);
      sv_offered_report_own (sv_core_offered (self.core.core), service, &report);
      CU_ASSERT_EQUAL (report.n_rows, 0);
    }
  CU_ASSERT_EQUAL (offered_load (&self), 0);
  sv_fixture_close (&self.core);
}

static const SuiteCase cases[] = {
  { "nobody is refused beside room", test_nobody_is_refused_beside_room },
  { "what has no room in time is refused", test_what_has_no_room_in_time_is_refused },
  { "resumed streams are admitted", test_resumed_streams_are_admitted },
  { "passed requests are admitted", test_passed_requests_are_admitted },
  { "callers with less time have the same share", test_callers_with_less_time_have_the_same_share },
  { "only engines are protected", test_only_engines_are_protected },
  { "answers count with their expected length", test_answers_count_with_their_expected_length },
  { "tight gaps make prompts short", test_tight_gaps_make_prompts_short },
  { "load is shed only where asked for", test_load_is_shed_only_where_asked_for },
};

SUITE_MAIN ("sv_admission", cases)
