#include "tests/fakes/config_answer.h"

char *
fk_config_answer (guint n_routes, guint changed)
{
  g_autoptr (GString) text = g_string_new ("");
  g_autofree char *value = NULL;

  g_string_printf (text, "{\"version\":%u,\"routes\":[", changed);
  for (guint i = 0; i < n_routes; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"r-%u\",\"hostname\":\"h%u.example\",\"prefix\":\"/p%u/\","
        "\"routeKind\":\"streaming\",\"timeoutMs\":%u,\"targetLatencyMs\":300,\"priority\":1,"
        "\"service\":\"s\",\"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,"
        "\"gapAimMs\":250}",
        i > 0 ? "," : "", i, i % 7, i, i == n_routes / 2 ? 10000 + changed : 10000);
  g_string_append (text, "],\"services\":[{\"name\":\"s\"}],\"limits\":{},\"tenants\":[]}");
  value = g_base64_encode ((const guchar *)text->str, text->len);
  return g_strdup_printf (
      "{\"rows\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"%s\",\"ver\":9}],"
      "\"ver\":9}",
      value);
}
