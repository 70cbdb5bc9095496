#include "coord/lease_row.h"

#include <jansson.h>

static gint64
integer_member (const json_t *root, const char *name)
{
  return json_integer_value (json_object_get (root, name));
}

gboolean
co_lease_row_parse (const char *value, CoLeaseRow *row)
{
  json_t *root = json_loads (value, 0, NULL);
  const char *holder = json_string_value (json_object_get (root, "holder"));

  *row = (CoLeaseRow){
    .holder = g_strdup (holder),
    .incarnation = (guint64)integer_member (root, "incarnation"),
    .fence = (guint64)integer_member (root, "fence"),
    .duration = integer_member (root, "duration_us"),
    .sent = integer_member (root, "sent_us"),
    .released = json_is_true (json_object_get (root, "released")),
  };
  json_decref (root);
  return row->holder != NULL;
}

void
co_lease_row_clear (CoLeaseRow *row)
{
  g_clear_pointer (&row->holder, g_free);
}

char *
co_lease_row_value (const CoLeaseRow *row)
{
  json_t *root = json_pack ("{s:s, s:I, s:I, s:I, s:I, s:b}", "holder", row->holder, "incarnation",
                            (json_int_t)row->incarnation, "fence", (json_int_t)row->fence,
                            "duration_us", (json_int_t)row->duration, "sent_us",
                            (json_int_t)row->sent, "released", row->released);
  char *value = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  return value;
}
