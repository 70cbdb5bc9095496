#include "ctl/result.h"

#include <stdarg.h>

ClResult *
cl_result_new (ClStatus status, const char *format, ...)
{
  ClResult *result = g_new0 (ClResult, 1);
  va_list args;

  result->status = status;
  if (format != NULL)
    {
      va_start (args, format);
      result->message = g_strdup_vprintf (format, args);
      va_end (args);
    }
  cm_findings_init (&result->findings);
  result->notes = g_ptr_array_new_with_free_func (g_free);
  return result;
}

void
cl_result_free (ClResult *result)
{
  if (result == NULL)
    return;
  g_free (result->message);
  g_strfreev (result->columns);
  json_decref (result->rows);
  json_decref (result->details);
  cm_findings_clear (&result->findings);
  g_ptr_array_unref (result->notes);
  g_free (result);
}

void
cl_result_set (ClResult *result, const char *name, json_t *value)
{
  if (result->details == NULL)
    result->details = json_object ();
  json_object_set_new (result->details, name, value);
}

void
cl_result_note (ClResult *result, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_ptr_array_add (result->notes, g_strdup_vprintf (format, args));
  va_end (args);
}

const char *
cl_status_name (ClStatus status)
{
  static const char *const names[] = {
    [CL_DONE] = "done",
    [CL_BAD] = "bad",
    [CL_REFUSED] = "refused",
    [CL_CONFLICT] = "conflict",
    [CL_NOT_IN_FORCE] = "not-in-force",
    [CL_NOT_RUN] = "not-run",
    [CL_UNKNOWN] = "unknown",
  };

  return names[status];
}
