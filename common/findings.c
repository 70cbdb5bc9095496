#include "common/findings.h"

#include <stdarg.h>
#include <stdio.h>

static void
finding_free (gpointer data)
{
  CmFinding *finding = data;

  g_free (finding->source);
  g_free (finding->where);
  g_free (finding->text);
  g_free (finding);
}

void
cm_findings_init (CmFindings *findings)
{
  findings->items = g_ptr_array_new_with_free_func (finding_free);
}

void
cm_findings_clear (CmFindings *findings)
{
  g_clear_pointer (&findings->items, g_ptr_array_unref);
}

void
cm_findings_add (CmFindings *findings,
                 const char *source,
                 guint line,
                 guint column,
                 const char *where,
                 const char *format,
                 ...)
{
  CmFinding *finding = g_new0 (CmFinding, 1);
  va_list args;

  finding->source = g_strdup (source);
  finding->line = line;
  finding->column = column;
  finding->where = g_strdup (where);
  va_start (args, format);
  finding->text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (findings->items, finding);
}

guint
cm_findings_count (const CmFindings *findings)
{
  return findings->items->len;
}

const CmFinding *
cm_findings_get (const CmFindings *findings, guint index)
{
  return g_ptr_array_index (findings->items, index);
}

char *
cm_finding_to_string (const CmFinding *finding)
{
  GString *text = g_string_new (finding->source);

  if (finding->line > 0)
    g_string_append_printf (text, ":%u", finding->line);
  if (finding->column > 0)
    g_string_append_printf (text, ":%u", finding->column);
  if (finding->where != NULL)
    g_string_append_printf (text, ": %s", finding->where);
  g_string_append_printf (text, ": %s", finding->text);
  return g_string_free (text, FALSE);
}

char *
cm_findings_to_string (const CmFindings *findings)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < findings->items->len; i++)
    {
      char *line = cm_finding_to_string (cm_findings_get (findings, i));

      g_string_append_printf (text, "%s\n", line);
      g_free (line);
    }
  return g_string_free (text, FALSE);
}

gboolean
cm_findings_report (const CmFindings *findings)
{
  char *text = cm_findings_to_string (findings);

  fputs (text, stderr);
  g_free (text);
  return cm_findings_count (findings) > 0;
}
