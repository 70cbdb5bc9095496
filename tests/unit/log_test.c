/** Lines of the log. */

#include <jansson.h>

#include "common/log.h"
#include "suite.h"

static void
count_line (const char *line, gpointer data)
{
  json_t *parsed = json_loads (line, 0, NULL);

  CU_ASSERT_PTR_NOT_NULL (json_object_get (parsed, "request"));
  *(guint *)data += parsed != NULL;
  json_decref (parsed);
}

/* Guards against a request that leaves no line, as its caller has chosen an id that is no text. */
static void
test_values_that_are_no_text (void)
{
  static const char *const values[] = { "plain", "\xff\xfe", "a\xc3", "\"\\\n", "\xed\xa0\x80" };
  guint n_lines = 0;

  cm_log_init ("test", "n", CM_LOG_INFO);
  cm_log_set_sink (count_line, &n_lines);
  for (guint i = 0; i < G_N_ELEMENTS (values); i++)
    cm_log (CM_LOG_NOTICE, "odd", "s", "request", values[i]);
  cm_log_set_sink (NULL, NULL);
  CU_ASSERT_EQUAL (n_lines, G_N_ELEMENTS (values));
}

static const SuiteCase cases[] = {
  { "values that are no text", test_values_that_are_no_text },
};

SUITE_MAIN ("log", cases)
