/** Endpoints that name how many requests they take. */

#include <string.h>

#include "common/log.h"
#include "suite.h"
#include "sv_fixture.h"

#define ANSWER(fields) "HTTP/1.1 200 OK\r\n" SIGNED fields "Content-Length: 4\r\n\r\ngood"

static const ScriptedAnswer good = { ANSWER (""), FALSE };
static const ScriptedAnswer limited = { ANSWER ("Server-Limit: 2.0\r\n"), FALSE };

static void
fixture_open (SvFixture *self, const ScriptedAnswer *script, guint n)
{
  sv_fixture_open (self);
  sv_fixture_use_config (self, 1, "key");
  sv_fixture_add_endpoint (self, script, n);
}

static void
on_line (const char *line, gpointer data)
{
  g_string_append (data, line);
  g_string_append_c (data, '\n');
}

/* An operator sees when an endpoint named a limit, when it ended, and which sends knew of it. */
static void
test_limits_are_logged (void)
{
  const ScriptedAnswer script[] = { limited, good };
  g_autoptr (GString) lines = g_string_new (NULL);
  SvFixture fixture;

  fixture_open (&fixture, script, 2);
  cm_log_init ("test", "n", CM_LOG_INFO);
  cm_log_set_sink (on_line, lines);
  sv_fixture_ask (&fixture, "/again/1");
  sv_fixture_wait_for (&fixture, "good");
  CU_ASSERT_PTR_NULL (strstr (lines->str, "\"endpoint-limit\":"));
  CU_ASSERT_PTR_NOT_NULL (strstr (lines->str, "\"requests-a-second\":2"));
  knl_paused_clock_advance (fixture.clock, KNL_SEC);
  sv_fixture_ask (&fixture, "/again/2");
  sv_fixture_wait_for (&fixture, "good");
  cm_log_set_sink (NULL, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (lines->str, "\"endpoint-limit\":\"2.00\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (lines->str, "\"requests-a-second\":-1"));
  sv_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "limits are logged", test_limits_are_logged },
};

SUITE_MAIN ("sv_limit", cases)
