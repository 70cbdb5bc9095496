/** The command language: the results of parsing commands and files, and all findings with their
 * locations.
 */

#include "ctl/command.h"
#include "ctl/file.h"
#include "ctl/query.h"
#include "ctl/value.h"
#include "suite.h"

#include <string.h>

static char *
load_text (const ClLoader *loader, const char *path, char **problem)
{
  if (strcmp (path, "good") == 0)
    return g_strdup ("model base { }");
  if (strcmp (path, "bad") == 0)
    return g_strdup ("model base { colour = red }");
  *problem = g_strdup ("No such file or directory");
  return NULL;
}

static const ClLoader loader = { .load = load_text };

typedef struct
{
  const char *text;
  const char *findings; /* as printed; "" if the text is valid */
} Row;

static void
check_findings (const Row *row, const CmFindings *findings)
{
  g_autofree char *text = cm_findings_to_string (findings);

  if (strcmp (text, row->findings) != 0)
    printf ("\n%s\ngave\n%swanted\n%s", row->text, text, row->findings);
  CU_ASSERT_STRING_EQUAL (text, row->findings);
}

#define NO_TABLE                                                                                   \
  "there is no table \"x\"; there are adapters, configuration, engines, instances, leases, "       \
  "models, requests, services, workspaces\n"
#define NO_COLUMN                                                                                  \
  "leases have no column \"x\"; there are shard, holder, fence, state, remaining_ms\n"

static void
test_commands_by_table (void)
{
  static const Row rows[] = {
    { "show engines where zone = \"b\" and (load > 0.8 or not role ~ pre*) columns name, load "
      "order by load desc limit 3",
      "" },
    { "show requests where engine in (e1, 'e 2')\n# note\n;; wait revision 7 for 1.5", "" },
    { "set workspace a token = t, weight = 2, services = [] if revision 3; remove model m", "" },
    { "why e1~123~7; drain e1; undrain e1; help; help show; help model; apply good dry run", "" },
    { "", "c: no command is given; see help\n" },
    { "frob x", "c:1:1: there is no command \"frob\"; see help\n" },
    { "show x where", "c:1:6: " NO_TABLE "c:1:13: a column is missing\n" },
    { "show leases where x = 1 limit 2 3\nshow leases order fence columns x,",
      "c:1:19: " NO_COLUMN "c:1:33: \"3\" is none of where, columns, order by, limit\n"
      "c:2:19: \"by\" was expected after \"order\"\n"
      "c:2:33: " NO_COLUMN "c:2:35: a column is missing\n" },
    { "show leases limit many limit 2",
      "c:1:19: \"many\" is not a number of rows\nc:1:24: \"limit\" stands twice\n" },
    { "show leases where (fence = 1 and state 3",
      "c:1:40: one of = != < > <= >= ~ in was expected after a column\n" },
    { "set lamp L x = 1",
      "c:1:5: there is no kind \"lamp\"; there are adapter, instance, model, service, workspace\n"
      "c:1:10: \"L\" is no name: 1 to 63 of a-z, 0-9, \"-\", \".\", first a letter or digit\n" },
    { "set workspace a weight = 0, colour = red, weight = 2 if revision x",
      "c:1:17: workspace a.weight: is out of bounds (1 to 1000)\n"
      "c:1:29: workspace a.colour: there is no such field\n"
      "c:1:43: \"weight\" stands twice\nc:1:66: \"x\" is not a revision\n" },
    { "set workspace a token = \"x; drain", "c:1:25: the quote is not closed on its line\n" },
    { "drain E1; drain e1 e2; undrain",
      "c:1:7: \"E1\" is no name of an instance\n"
      "c:1:20: the end of the command was expected before \"e2\"\n"
      "c:1:31: an instance is missing\n" },
    { "apply none; apply bad dry; help frob",
      "c:1:7: can't read none: No such file or directory\n"
      "bad:1:14: model base.colour: there is no such field\n"
      "c:1:26: \"run\" was expected after \"dry\"\n"
      "c:1:33: there is no command or kind \"frob\"; see help\n" },
    { "wait 7; wait revision -1; wait revision 1 for ever",
      "c:1:6: \"revision\" was expected before \"7\"\nc:1:23: \"-1\" is not a revision\n"
      "c:1:47: \"ever\" is not a number of seconds from 0 to 86400\n" },
    { "show leases where state = \"\\q\xc3\xa4\" x \x01",
      "c:1:29: there is no such escape; known are \\n \\t \\\\ \\\" \\'\n"
      "c:1:35: a character that means nothing here (0x01)\n"
      "c:1:33: \"x\" is none of where, columns, order by, limit\n" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_auto (CmFindings) findings;
      GPtrArray *commands;

      cm_findings_init (&findings);
      commands = cl_commands_parse (rows[i].text, "c", &loader, &findings);
      check_findings (&rows[i], &findings);
      g_ptr_array_unref (commands);
    }
}

/*
 * Symptom: alderturnctl crashes on a long command from a script.
 * Sequence: a condition with a very large number of operands, joined or nested.
 * Cause: conditions are parsed recursively, without a limit on the depth.
 */
static void
test_oversized_conditions (void)
{
  static const struct
  {
    const char *operand;
    const char *finding;
  } rows[] = {
    { "fence = 1 and ", "c:1:3613: more than 256 times \"and\"\n" },
    { "fence = 1 or ", "c:1:3357: more than 256 times \"or\"\n" },
    { "not ", "c:1:279: is nested too deeply\n" },
    { "(", "c:1:84: is nested too deeply\n" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (GString) text = g_string_new ("show leases where ");
      Row row = { rows[i].operand, rows[i].finding };
      g_auto (CmFindings) findings;

      for (guint k = 0; k < 100000; k++)
        g_string_append (text, rows[i].operand);
      cm_findings_init (&findings);
      g_ptr_array_unref (cl_commands_parse (text->str, "c", &loader, &findings));
      check_findings (&row, &findings);
    }
}

static void
test_files_by_table (void)
{
  static const Row rows[] = {
    { "# all kinds of value\nworkspace a { token = \"x y\" weight = 2, services = [b, 'c']; }\n"
      "remove model old service s{kind=plain endpoints=e}",
      "" },
    { "workspace a {\n  token x\n  weight = [1\n  colour = 1 }\nmodel m { version = 1 }",
      "f:2:9: \"=\" was expected before \"x\"\nf:4:3: \",\" was expected before \"colour\"\n"
      "f:4:3: workspace a.colour: there is no such field\n" },
    { "workspace a { weight = 2\nmodel m { context-tokens = 1.5 }\nmodel m { }",
      "f:1:13: the block of a is not closed\n"
      "f:1:1: workspace a.token: is required: what its callers authenticate with\n"
      "f:2:11: model m.context-tokens: must be a whole number (1 to 1e+07)\n"
      "f:3:1: model m stands twice, first at line 2\n" },
    { "lamp l { x = 1 }\nmodel\n",
      "f:1:1: there is no kind \"lamp\"; there are adapter, instance, model, service, workspace\n"
      "f:3:1: a name is missing\n" },
    { "= model m { }\nmodel n x = 2 }\nremove model m",
      "f:1:1: a kind was expected before \"=\"\nf:2:9: \"{\" was expected before \"x\"\n"
      "f:3:8: model m stands twice, first at line 1\n" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_auto (CmFindings) findings;
      GPtrArray *changes;

      cm_findings_init (&findings);
      changes = cl_file_parse (rows[i].text, "f", &findings);
      check_findings (&rows[i], &findings);
      g_ptr_array_unref (changes);
    }
}

static void
test_changes_as_json (void)
{
  static const char file[] = "workspace a { token = 12 weight = 1k services = [b] }\n"
                             "service s { idempotent = false long-share = 0.5 kind = plain "
                             "endpoints = \"e\" }\nremove model m";
  static const char expected[] =
      "[{\"op\":\"set\",\"kind\":\"workspace\",\"name\":\"a\",\"fields\":{\"token\":\"12\","
      "\"weight\":1000,\"services\":[\"b\"]},\"replace\":true},{\"op\":\"set\",\"kind\":"
      "\"service\",\"name\":\"s\",\"fields\":{\"idempotent\":false,\"long-share\":0.5,\"kind\":"
      "\"plain\",\"endpoints\":\"e\"},\"replace\":true},{\"op\":\"remove\",\"kind\":\"model\","
      "\"name\":\"m\"}]";
  g_auto (CmFindings) findings;
  GPtrArray *changes;
  json_t *json;
  char *text;

  cm_findings_init (&findings);
  changes = cl_file_parse (file, "f", &findings);
  json = cl_changes_to_json (changes);
  text = json_dumps (json, JSON_COMPACT);
  CU_ASSERT_EQUAL (cm_findings_count (&findings), 0);
  CU_ASSERT_STRING_EQUAL (text, expected);
  free (text);
  json_decref (json);
  g_ptr_array_unref (changes);
}

static void
test_numbers_by_table (void)
{
  static const struct
  {
    const char *text;
    gboolean good;
    double number;
  } rows[] = {
    { "12", TRUE, 12 },    { "-0.5", TRUE, -0.5 }, { "32k", TRUE, 32e3 }, { "1.5M", TRUE, 1.5e6 },
    { "2G", TRUE, 2e9 },   { "1e3", TRUE, 1000 },  { "", FALSE, 0 },      { "k", FALSE, 0 },
    { "1kk", FALSE, 0 },   { "0x10", FALSE, 0 },   { "inf", FALSE, 0 },   { "1e999", FALSE, 0 },
    { "1.2.3", FALSE, 0 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      double number = 0;

      CU_ASSERT_EQUAL (cl_number_parse (rows[i].text, &number), rows[i].good);
      if (rows[i].good)
        CU_ASSERT_EQUAL (number, rows[i].number);
    }
}

static void
test_queries_by_table (void)
{
  static const char data[] =
      "[{\"name\":\"e1\",\"load\":0.9,\"zone\":\"a\",\"waiting\":10,\"role\":null},"
      "{\"name\":\"e2\",\"load\":0.25,\"zone\":\"b\",\"waiting\":9,\"role\":\"long\"},"
      "{\"name\":\"e10\",\"load\":0.5,\"zone\":\"b\",\"waiting\":2000,\"role\":[\"x\",\"y\"]}]";
  static const struct
  {
    const char *query;
    const char *names;
  } rows[] = {
    { "", "e1 e2 e10 " },
    { "where zone = b", "e2 e10 " },
    { "where load > 0.3 and zone = b or name = e1", "e1 e10 " },
    { "where load > 0.3 and (zone = b or name = e1) and not name ~ *0", "e1 " },
    { "where waiting >= 2k", "e10 " },
    { "where waiting < 10", "e2 " },
    { "where name in (e1, e2) order by load", "e2 e1 " },
    { "where role = null", "e1 " },
    { "where role != long", "e1 e10 " },
    { "where role = y", "e10 " },
    { "where role ~ l?ng", "e2 " },
    { "order by waiting desc limit 2", "e10 e1 " },
    { "order by role", "e1 e2 e10 " },
    { "limit 0", "" },
    { "where not not zone = a columns name", "e1 " },
  };
  json_auto_t *engines = json_loads (data, 0, NULL);

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *text = g_strconcat ("engines ", rows[i].query, NULL);
      g_autoptr (GString) names = g_string_new (NULL);
      g_auto (CmFindings) findings;
      ClParser parser = { .source = "c", .findings = &findings };
      ClQuery *query;
      json_t *result;

      cm_findings_init (&findings);
      parser.tokens = cl_lex (text, CL_LEX_COMMANDS, "c", &findings);
      query = cl_query_parse (&parser);
      CU_ASSERT_PTR_NOT_NULL_FATAL (query);
      result = cl_query_run (query, engines);
      for (size_t k = 0; k < json_array_size (result); k++)
        g_string_append_printf (
            names, "%s ", json_string_value (json_object_get (json_array_get (result, k), "name")));
      CU_ASSERT_STRING_EQUAL (names->str, rows[i].names);
      json_decref (result);
      cl_query_free (query);
      g_array_unref (parser.tokens);
    }
}

static const SuiteCase cases[] = {
  { "commands and their findings", test_commands_by_table },
  { "oversized conditions", test_oversized_conditions },
  { "files and their findings", test_files_by_table },
  { "changes as sent to the controller", test_changes_as_json },
  { "numbers", test_numbers_by_table },
  { "queries over rows", test_queries_by_table },
};

SUITE_MAIN ("ctl_parse", cases)
