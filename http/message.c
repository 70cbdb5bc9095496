#include "http/message.h"

#include <string.h>

HtMessage *
ht_message_new (void)
{
  HtMessage *self = g_new0 (HtMessage, 1);

  self->text = g_string_sized_new (512);
  self->fields = g_array_sized_new (FALSE, FALSE, sizeof (HtField), 16);
  self->body = g_string_new (NULL);
  return self;
}

HtMessage *
ht_message_copy (const HtMessage *self)
{
  HtMessage *copy = ht_message_new ();

  memcpy (copy->method, self->method, sizeof copy->method);
  copy->target = g_strdup (self->target);
  copy->status = self->status;
  copy->keep_alive = self->keep_alive;
  copy->ends_by_close = self->ends_by_close;
  copy->supports_chunked = self->supports_chunked;
  g_string_append_len (copy->text, self->text->str, (gssize)self->text->len);
  g_array_append_vals (copy->fields, self->fields->data, self->fields->len);
  g_string_append_len (copy->body, self->body->str, (gssize)self->body->len);
  return copy;
}

void
ht_message_free (HtMessage *self)
{
  if (self == NULL)
    return;
  g_free (self->target);
  g_string_free (self->text, TRUE);
  g_array_unref (self->fields);
  g_string_free (self->body, TRUE);
  g_free (self);
}

void
ht_message_add (HtMessage *self, const char *name, const char *value)
{
  HtField field = { .name_length = (guint32)strlen (name),
                    .value_length = (guint32)strlen (value) };

  field.name = (guint32)self->text->len;
  g_string_append_len (self->text, name, (gssize)field.name_length + 1);
  field.value = (guint32)self->text->len;
  g_string_append_len (self->text, value, (gssize)field.value_length + 1);
  g_array_append_val (self->fields, field);
}

guint
ht_message_n_fields (const HtMessage *self)
{
  return self->fields->len;
}

const char *
ht_message_field_name (const HtMessage *self, guint index)
{
  return self->text->str + g_array_index (self->fields, HtField, index).name;
}

const char *
ht_message_field_value (const HtMessage *self, guint index)
{
  return self->text->str + g_array_index (self->fields, HtField, index).value;
}

const char *
ht_message_get (const HtMessage *self, const char *name)
{
  for (guint i = 0; i < self->fields->len; i++)
    {
      if (g_ascii_strcasecmp (ht_message_field_name (self, i), name) == 0)
        return ht_message_field_value (self, i);
    }
  return NULL;
}

guint
ht_message_count (const HtMessage *self, const char *name)
{
  guint count = 0;

  for (guint i = 0; i < self->fields->len; i++)
    count += g_ascii_strcasecmp (ht_message_field_name (self, i), name) == 0;
  return count;
}

static gboolean
list_has (const char *list, const char *name)
{
  gsize length = strlen (name);

  while (*list != '\0')
    {
      gsize item;

      list += strspn (list, " \t,");
      item = strcspn (list, " \t,");
      if (item == length && g_ascii_strncasecmp (list, name, length) == 0)
        return TRUE;
      list += item;
    }
  return FALSE;
}

gboolean
ht_message_is_hop_by_hop (const HtMessage *self, guint index)
{
  static const char *const names[] = {
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
  };
  const char *name = ht_message_field_name (self, index);

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (g_ascii_strcasecmp (name, names[i]) == 0)
        return TRUE;
    }
  for (guint i = 0; i < self->fields->len; i++)
    {
      if (g_ascii_strcasecmp (ht_message_field_name (self, i), "connection") == 0
          && list_has (ht_message_field_value (self, i), name))
        return TRUE;
    }
  return FALSE;
}

char *
ht_message_path (const HtMessage *self)
{
  return g_strndup (self->target, strcspn (self->target, "?"));
}

char *
ht_message_query (const HtMessage *self, const char *name)
{
  const char *query = strchr (self->target, '?');
  g_auto (GStrv) pairs = NULL;

  if (query == NULL)
    return NULL;
  pairs = g_strsplit (query + 1, "&", -1);
  for (guint i = 0; pairs[i] != NULL; i++)
    {
      char *equals = strchr (pairs[i], '=');

      if (equals == NULL)
        continue;
      *equals = '\0';
      if (strcmp (pairs[i], name) == 0)
        return g_uri_unescape_string (equals + 1, NULL);
    }
  return NULL;
}
