#include "coord/request_id.h"

#include <string.h>

gboolean
co_request_parse (const char *request, char **instance, guint64 *incarnation)
{
  const char *first = strchr (request, '~');
  const char *second = first != NULL ? strchr (first + 1, '~') : NULL;

  if (second == NULL || first == request)
    return FALSE;
  *instance = g_strndup (request, (gsize)(first - request));
  *incarnation = g_ascii_strtoull (first + 1, NULL, 10);
  return TRUE;
}
