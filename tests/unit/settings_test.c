/** Settings: precedence, and all errors reported in one pass. */

#include "common/settings.h"
#include "suite.h"

#include <stddef.h>

typedef struct
{
  char *listen;
  gint64 limit;
  double share;
  gboolean verbose;
} Values;

static const CmSetting table[] = {
  { .name = "listen-address", .type = CM_SETTING_ADDRESS, .offset = offsetof (Values, listen) },
  { .name = "limit",
    .type = CM_SETTING_INTEGER,
    .offset = offsetof (Values, limit),
    .fallback = "5",
    .min = 1,
    .max = 10 },
  { .name = "share",
    .type = CM_SETTING_DOUBLE,
    .offset = offsetof (Values, share),
    .fallback = "0.5",
    .min = 0,
    .max = 1 },
  { .name = "verbose",
    .type = CM_SETTING_BOOLEAN,
    .offset = offsetof (Values, verbose),
    .fallback = "false" },
  { .name = NULL },
};

typedef struct
{
  const char *title;
  const char *argv[6];
  const char *variable; /* value of ALDERTURN_LIMIT, or NULL */
  guint findings;
  gint64 limit;
} Row;

static void
test_settings_by_table (void)
{
  static const Row rows[] = {
    { "defaults", { "p", "--listen-address=127.0.0.1:80", NULL }, NULL, 0, 5 },
    { "variable", { "p", "--listen-address=127.0.0.1:80", NULL }, "7", 0, 7 },
    { "flag first", { "p", "--listen-address=127.0.0.1:80", "--limit=8", NULL }, "7", 0, 8 },
    { "all at once", { "p", "--limit=80", "--share=x", "--no-such", "extra", NULL }, NULL, 5, 5 },
    { "bad address", { "p", "--listen-address=localhost", NULL }, NULL, 1, 5 },
    { "bad variable", { "p", "--listen-address=[::1]:80", NULL }, "many", 1, 5 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Values values = { 0 };
      g_auto (CmFindings) findings;
      int argc = 0;

      cm_findings_init (&findings);
      g_unsetenv ("ALDERTURN_LIMIT");
      if (rows[i].variable != NULL)
        g_setenv ("ALDERTURN_LIMIT", rows[i].variable, TRUE);
      while (rows[i].argv[argc] != NULL)
        argc++;
      cm_settings_parse (table, "test", argc, (char **)rows[i].argv, &values, NULL, &findings);
      CU_ASSERT_EQUAL (cm_findings_count (&findings), rows[i].findings);
      CU_ASSERT_EQUAL (values.limit, rows[i].limit);
      cm_settings_clear (table, &values);
    }
  g_unsetenv ("ALDERTURN_LIMIT");
}

static const SuiteCase cases[] = {
  { "precedence and findings, by table", test_settings_by_table },
};

SUITE_MAIN ("settings", cases)
