#include "table/codec.h"

#include <string.h>

char *
tb_codec_transaction (const TbTransaction *transaction)
{
  json_t *root = json_object ();
  json_t *checks = json_array ();
  json_t *writes = json_array ();
  char *text;

  for (guint i = 0; i < transaction->n_checks; i++)
    {
      const TbCheck *check = &transaction->checks[i];

      json_array_append_new (checks, json_pack ("{s:s, s:I}", "key", check->key, "version",
                                                (json_int_t)check->version));
    }
  for (guint i = 0; i < transaction->n_writes; i++)
    {
      const TbWrite *write = &transaction->writes[i];

      json_array_append_new (writes,
                             json_pack ("{s:s, s:s?}", "key", write->key, "value", write->value));
    }
  json_object_set_new (root, "checks", checks);
  json_object_set_new (root, "writes", writes);
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

gboolean
tb_codec_parse_version (const char *body, gsize bytes, guint64 *version)
{
  json_t *root = json_loadb (body, bytes, 0, NULL);
  json_int_t number = json_integer_value (json_object_get (root, "version"));

  json_decref (root);
  *version = (guint64)number;
  return number > 0;
}

static void
row_clear (gpointer data)
{
  TbRow *row = data;

  g_free (row->key);
  g_free (row->value);
}

GArray *
tb_codec_parse_rows (const char *body, gsize bytes, gboolean *more)
{
  json_t *root = json_loadb (body, bytes, 0, NULL);
  const json_t *list = json_object_get (root, "rows");
  GArray *rows = NULL;
  size_t index;
  json_t *item;

  if (!json_is_array (list))
    goto out;
  rows = g_array_new (FALSE, FALSE, sizeof (TbRow));
  g_array_set_clear_func (rows, row_clear);
  json_array_foreach (list, index, item)
  {
    TbRow row = {
      .key = g_strdup (json_string_value (json_object_get (item, "key"))),
      .value = g_strdup (json_string_value (json_object_get (item, "value"))),
      .version = (guint64)json_integer_value (json_object_get (item, "version")),
    };

    if (row.key != NULL && row.value != NULL)
      g_array_append_val (rows, row);
    else
      row_clear (&row);
  }
  *more = json_is_true (json_object_get (root, "more"));
out:
  json_decref (root);
  return rows;
}

void
tb_codec_rows_free (GArray *rows)
{
  g_array_free (rows, TRUE);
}

static const char *
text_member (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text != NULL ? text : "";
}

static Alderturn__MemberKind
parse_kind (const char *name)
{
  static const struct
  {
    const char *name;
    Alderturn__MemberKind kind;
  } kinds[] = {
    { "entry", ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENTRY },
    { "controller", ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER },
    { "engine", ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE },
    { "service", ALDERTURN__MEMBER_KIND__MEMBER_KIND_SERVICE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      if (strcmp (kinds[i].name, name) == 0)
        return kinds[i].kind;
    }
  return ALDERTURN__MEMBER_KIND__MEMBER_KIND_UNSPECIFIED;
}

static void
member_free (gpointer data)
{
  alderturn__member__free_unpacked (data, NULL);
}

static Alderturn__Member *
parse_member (const json_t *item)
{
  Alderturn__Member *member = g_new (Alderturn__Member, 1);

  alderturn__member__init (member);
  member->name = g_strdup (text_member (item, "name"));
  member->kind = parse_kind (text_member (item, "kind"));
  member->address = g_strdup (text_member (item, "address"));
  member->zone = g_strdup (text_member (item, "zone"));
  member->region = g_strdup (text_member (item, "region"));
  member->service = g_strdup (text_member (item, "service"));
  member->state = strcmp (text_member (item, "state"), "leaving") == 0
                      ? ALDERTURN__MEMBER_STATE__MEMBER_STATE_LEAVING
                      : ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE;
  return member;
}

GPtrArray *
tb_codec_parse_instances (const char *body, gsize bytes)
{
  json_t *root = json_loadb (body, bytes, 0, NULL);
  const json_t *list = json_object_get (root, "instances");
  GPtrArray *members = NULL;
  size_t index;
  json_t *item;

  if (!json_is_array (list))
    goto out;
  members = g_ptr_array_new_with_free_func (member_free);
  json_array_foreach (list, index, item)
  {
    Alderturn__Member *member = parse_member (item);

    if (member->name[0] != '\0' && member->kind != 0)
      g_ptr_array_add (members, member);
    else
      member_free (member);
  }
out:
  json_decref (root);
  return members;
}
