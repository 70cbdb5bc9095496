#include "ctl/command.h"
#include "ctl/entries.h"
#include "ctl/query.h"

typedef struct
{
  ClCommand command;
  ClQuery *query;
} Show;

static void
show_destroy (ClCommand *command)
{
  cl_query_free (((Show *)command)->query);
  g_free (command);
}

static ClCommand *
show_parse (ClParser *parser)
{
  ClQuery *query = cl_query_parse (parser);
  Show *show;

  if (query == NULL)
    return NULL;
  show = g_new0 (Show, 1);
  show->command.klass = &cl_command_show;
  show->query = query;
  return &show->command;
}

static ClResult *
result_from_rows (const ClQuery *query, const json_t *rows)
{
  ClResult *result = cl_result_new (CL_DONE, NULL);

  result->rows = cl_query_run (query, rows);
  result->columns = cl_query_columns (query);
  return result;
}

static ClResult *
show_from_controller (const ClQuery *query, ClSession *session)
{
  ClResult *result = NULL;
  char *path = g_strconcat ("/v1/show/", query->table->name, NULL);
  json_t *answer = cl_session_get (session, path, 0, &result);
  json_t *revision;

  g_free (path);
  if (answer == NULL)
    return result;
  cl_table_fill_defaults (query->table, json_object_get (answer, "rows"));
  result = result_from_rows (query, json_object_get (answer, "rows"));
  revision = json_object_get (answer, "revision");
  if (revision != NULL)
    cl_result_set (result, "revision", json_incref (revision));
  json_decref (answer);
  return result;
}

static ClResult *
show_from_entries (const ClQuery *query, ClSession *session)
{
  json_t *rows = json_array ();
  GPtrArray *unreached = NULL;
  ClResult *result =
      cl_entries_query (session, "/v1/operator/requests", NULL, "rows", rows, &unreached);

  if (result == NULL)
    {
      result = result_from_rows (query, rows);
      cl_entries_note_unreached (result, unreached);
      if (unreached->len > 0)
        result->status = CL_NOT_RUN;
      g_ptr_array_unref (unreached);
    }
  json_decref (rows);
  return result;
}

static ClResult *
show_run (ClCommand *command, ClSession *session)
{
  const ClQuery *query = ((Show *)command)->query;

  if (query->table->source == CL_TABLE_ENTRIES)
    return show_from_entries (query, session);
  return show_from_controller (query, session);
}

const ClCommandClass cl_command_show = {
  .name = "show",
  .usage = "show TABLE [where COND] [columns A, B, ...] [order by COLUMN [desc]] [limit N]",
  .help = "Tables: adapters, configuration, engines, instances, leases, models, requests,\n"
          "services, workspaces. Conditions: COLUMN = != < > <= >= ~ VALUE (~ is a glob),\n"
          "COLUMN in (VALUE, ...), not, and, or, parentheses. Numbers may end in k, M or G.\n",
  .parse = show_parse,
  .run = show_run,
  .destroy = show_destroy,
};
