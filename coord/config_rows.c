#include "coord/config_rows.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

char *
co_object_key (const char *kind, const char *name)
{
  return g_strconcat (CO_OBJECT_PREFIX, kind, "/", name, NULL);
}

char *
co_change_key (guint64 revision)
{
  return g_strdup_printf (CO_CHANGE_PREFIX "%020" G_GUINT64_FORMAT, revision);
}

char *
co_operation_key (const char *operation)
{
  return g_strconcat (CO_OPERATION_PREFIX, operation, NULL);
}

static char *
dump_and_unref (json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);

  json_decref (value);
  return text;
}

char *
co_revision_value (guint64 revision)
{
  return dump_and_unref (json_pack ("{s:I}", "revision", (json_int_t)revision));
}

char *
co_operation_value (guint64 revision, const char *digest)
{
  return dump_and_unref (
      json_pack ("{s:I, s:s}", "revision", (json_int_t)revision, "digest", digest));
}

static json_t *
row_value (const CoPlannedChange *change, guint64 revision, const char *operation, const char *by)
{
  json_t *value = json_pack ("{s:I, s:s, s:s, s:b}", "revision", (json_int_t)revision, "operation",
                             operation, "by", by, "removed", change->fields == NULL);

  if (change->fields != NULL)
    json_object_set_new (value, "fields", json_loads (change->fields, 0, NULL));
  return value;
}

char *
co_object_value (const CoPlannedChange *change,
                 guint64 revision,
                 const char *operation,
                 const char *by)
{
  return dump_and_unref (row_value (change, revision, operation, by));
}

char *
co_change_value (const CoPlannedChange *change,
                 guint64 revision,
                 const char *operation,
                 const char *by)
{
  json_t *value = row_value (change, revision, operation, by);

  json_object_set_new (value, "kind", json_string (change->kind));
  json_object_set_new (value, "name", json_string (change->name));
  return dump_and_unref (value);
}

guint64
co_row_revision (const char *value)
{
  json_t *root = json_loads (value, 0, NULL);
  guint64 revision = (guint64)json_integer_value (json_object_get (root, "revision"));

  json_decref (root);
  return revision;
}

/* An object row has its kind and name in its key only. */
static void
name_from_key (const char *key, Alderturn__ConfigChange *change)
{
  char **parts = g_strsplit (key + strlen (CO_OBJECT_PREFIX), "/", 2);

  change->kind = g_strdup (parts[0]);
  change->name = g_strdup (parts[0] != NULL && parts[1] != NULL ? parts[1] : "");
  g_strfreev (parts);
}

Alderturn__ConfigChange *
co_row_to_change (const TbRow *row)
{
  json_t *root = json_loads (row->value, 0, NULL);
  const json_t *fields = json_object_get (root, "fields");
  Alderturn__ConfigChange *change = g_new (Alderturn__ConfigChange, 1);

  alderturn__config_change__init (change);
  change->revision = (guint64)json_integer_value (json_object_get (root, "revision"));
  change->removed = json_is_true (json_object_get (root, "removed"));
  change->fields =
      fields != NULL ? json_dumps (fields, JSON_COMPACT | JSON_SORT_KEYS) : g_strdup ("");
  if (g_str_has_prefix (row->key, CO_OBJECT_PREFIX))
    name_from_key (row->key, change);
  else
    {
      change->kind = g_strdup (json_string_value (json_object_get (root, "kind")));
      change->name = g_strdup (json_string_value (json_object_get (root, "name")));
    }
  json_decref (root);
  return change;
}

char *
co_changes_digest (const json_t *changes)
{
  char *text = json_dumps (changes, JSON_COMPACT | JSON_SORT_KEYS);
  char *digest =
      g_strdup_printf ("%016" G_GINT64_MODIFIER "x", (guint64)XXH3_64bits (text, strlen (text)));

  free (text);
  return digest;
}
