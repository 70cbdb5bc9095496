#include "coord/idem_record.h"

#include <jansson.h>

void
co_idem_record_clear (CoIdemRecord *record)
{
  g_free (record->attempt);
  g_free (record->content_type);
  g_clear_pointer (&record->body, g_bytes_unref);
  *record = (CoIdemRecord){ 0 };
}

CoIdemRecord
co_idem_record_copy (const CoIdemRecord *record)
{
  CoIdemRecord copy = *record;

  copy.attempt = g_strdup (record->attempt);
  copy.content_type = g_strdup (record->content_type);
  copy.body = record->body != NULL ? g_bytes_ref (record->body) : NULL;
  return copy;
}

gboolean
co_idem_record_parse (const char *value, CoIdemRecord *record)
{
  json_t *root = json_loads (value, 0, NULL);
  const char *digest = json_string_value (json_object_get (root, "digest"));
  const char *body = json_string_value (json_object_get (root, "body"));
  gsize bytes = 0;
  guchar *decoded = body != NULL ? g_base64_decode (body, &bytes) : NULL;

  *record = (CoIdemRecord){
    .state = (Alderturn__IdemState)json_integer_value (json_object_get (root, "state")),
    .attempt = g_strdup (json_string_value (json_object_get (root, "attempt"))),
    .digest = digest != NULL ? g_ascii_strtoull (digest, NULL, 16) : 0,
    .status = (guint32)json_integer_value (json_object_get (root, "status")),
    .content_type = g_strdup (json_string_value (json_object_get (root, "type"))),
    .body = decoded != NULL ? g_bytes_new_take (decoded, bytes) : NULL,
    .epoch = (guint64)json_integer_value (json_object_get (root, "epoch")),
  };
  json_decref (root);
  if (record->state != ALDERTURN__IDEM_STATE__IDEM_STATE_UNSPECIFIED && record->attempt != NULL)
    return TRUE;
  co_idem_record_clear (record);
  return FALSE;
}

char *
co_idem_record_value (const CoIdemRecord *record)
{
  char digest[17];
  json_t *root;
  char *value;

  g_snprintf (digest, sizeof (digest), "%016" G_GINT64_MODIFIER "x", record->digest);
  root = json_pack ("{s:i, s:s, s:s, s:I, s:I}", "state", (int)record->state, "attempt",
                    record->attempt, "digest", digest, "status", (json_int_t)record->status,
                    "epoch", (json_int_t)record->epoch);
  if (record->content_type != NULL)
    json_object_set_new (root, "type", json_string (record->content_type));
  if (record->body != NULL)
    {
      gsize bytes;
      const guchar *data = g_bytes_get_data (record->body, &bytes);
      char *body = g_base64_encode (data, bytes);

      json_object_set_new (root, "body", json_string (body));
      g_free (body);
    }
  value = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return value;
}
