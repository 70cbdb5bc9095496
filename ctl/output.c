#include "ctl/output.h"

#include "ctl/condition.h"

#define COLUMN_GAP 2

static json_t *
finding_to_json (const CmFinding *finding)
{
  return json_pack ("{s:s?, s:i, s:i, s:s?, s:s}", "source", finding->source, "line",
                    (int)finding->line, "column", (int)finding->column, "where", finding->where,
                    "text", finding->text);
}

char *
cl_output_json (const char *command, const ClResult *result)
{
  json_t *json = json_pack ("{s:s?, s:s, s:i, s:s?}", "command", command, "status",
                            cl_status_name (result->status), "exit", (int)result->status, "message",
                            result->message);
  json_t *findings = json_array ();
  json_t *notes = json_array ();
  char *raw;
  char *text;

  if (result->rows != NULL)
    json_object_set (json, "rows", result->rows);
  for (guint i = 0; i < cm_findings_count (&result->findings); i++)
    json_array_append_new (findings, finding_to_json (cm_findings_get (&result->findings, i)));
  for (guint i = 0; i < result->notes->len; i++)
    json_array_append_new (notes, json_string (g_ptr_array_index (result->notes, i)));
  json_object_set_new (json, "findings", findings);
  json_object_set_new (json, "notes", notes);
  if (result->details != NULL)
    json_object_update (json, result->details);
  raw = json_dumps (json, JSON_COMPACT);
  text = g_strdup (raw);
  free (raw);
  json_decref (json);
  return text;
}

static void
append_cell (GString *text, const char *cell, glong width, gboolean last)
{
  g_string_append (text, cell);
  if (last)
    g_string_append_c (text, '\n');
  else
    {
      for (glong pad = width - g_utf8_strlen (cell, -1) + COLUMN_GAP; pad > 0; pad--)
        g_string_append_c (text, ' ');
    }
}

/* Replaces control characters in names or details, which would garble the terminal, by spaces. */
static char *
printable_cell (const json_t *row, const char *column)
{
  const json_t *cell = json_object_get (row, column);
  char *text = cell != NULL ? cl_cell_to_text (cell) : g_strdup ("-");

  for (char *c = text; *c != '\0'; c++)
    {
      if (g_ascii_iscntrl (*c))
        *c = ' ';
    }
  return text;
}

static void
append_table (GString *text, char *const *columns, const json_t *rows)
{
  guint count = g_strv_length ((char **)columns);
  glong *widths = g_new0 (glong, count);
  size_t index;
  json_t *row;

  for (guint i = 0; i < count; i++)
    widths[i] = g_utf8_strlen (columns[i], -1);
  json_array_foreach (rows, index, row)
  {
    for (guint i = 0; i < count; i++)
      {
        char *cell = printable_cell (row, columns[i]);

        widths[i] = MAX (widths[i], g_utf8_strlen (cell, -1));
        g_free (cell);
      }
  }
  for (guint i = 0; i < count; i++)
    append_cell (text, columns[i], widths[i], i + 1 == count);
  json_array_foreach (rows, index, row)
  {
    for (guint i = 0; i < count; i++)
      {
        char *cell = printable_cell (row, columns[i]);

        append_cell (text, cell, widths[i], i + 1 == count);
        g_free (cell);
      }
  }
  g_free (widths);
}

char *
cl_output_text (const ClResult *result)
{
  GString *text = g_string_new (NULL);

  if (result->rows != NULL && result->columns != NULL)
    append_table (text, result->columns, result->rows);
  if (result->status == CL_DONE && result->message != NULL)
    {
      g_string_append (text, result->message);
      if (!g_str_has_suffix (result->message, "\n"))
        g_string_append_c (text, '\n');
    }
  return g_string_free (text, FALSE);
}

char *
cl_output_problems (const ClResult *result)
{
  GString *text = g_string_new (NULL);
  char *findings = cm_findings_to_string (&result->findings);

  g_string_append (text, findings);
  if (result->status != CL_DONE && result->message != NULL)
    g_string_append_printf (text, "%s\n", result->message);
  for (guint i = 0; i < result->notes->len; i++)
    g_string_append_printf (text, "note: %s\n", (char *)g_ptr_array_index (result->notes, i));
  g_free (findings);
  return g_string_free (text, FALSE);
}
