#include "ctl/entries.h"

#include <string.h>

#define HTTP_OK        200
#define HTTP_NOT_FOUND 404

static const char *
string_member (const json_t *row, const char *name)
{
  const char *text = json_string_value (json_object_get (row, name));

  return text != NULL ? text : "";
}

static gboolean
is_entry (const json_t *row, const char *only_entry)
{
  return strcmp (string_member (row, "kind"), "entry") == 0
         && string_member (row, "address")[0] != '\0'
         && (only_entry == NULL || strcmp (string_member (row, "name"), only_entry) == 0);
}

static gboolean
has_entry (const json_t *rows, const char *only_entry)
{
  size_t index;
  json_t *row;

  json_array_foreach (rows, index, row)
  {
    if (is_entry (row, only_entry))
      return TRUE;
  }
  return FALSE;
}

static void
add_rows (const char *entry, const json_t *body, const char *array_member, json_t *rows)
{
  size_t index;
  json_t *row;

  json_array_foreach (json_object_get (body, array_member), index, row)
  {
    json_object_set_new (row, "entry", json_string (entry));
    json_array_append (rows, row);
  }
}

/* Handles the reply of the entry in `row`, a row of the instances table. */
static void
reply_handle (const json_t *row,
              const ClReply *reply,
              const char *array_member,
              json_t *rows,
              GPtrArray *unreached)
{
  gboolean answered = reply->state == CL_REPLY_ANSWERED;
  ClResult *failure;

  if (answered && reply->status == HTTP_OK && reply->body != NULL)
    add_rows (string_member (row, "name"), reply->body, array_member, rows);
  else if (!answered || reply->status != HTTP_NOT_FOUND)
    {
      failure = cl_result_from_reply (string_member (row, "address"), reply);
      g_ptr_array_add (unreached,
                       g_strdup_printf ("%s (%s)", string_member (row, "name"), failure->message));
      cl_result_free (failure);
    }
}

/* Queries all entries in `chosen`, rows of the instances table, concurrently. */
static void
entries_query (ClSession *session,
               const GPtrArray *chosen,
               const char *path,
               const char *array_member,
               json_t *rows,
               GPtrArray *unreached)
{
  const char **addresses = g_new0 (const char *, chosen->len + 1);
  ClReply **replies = g_new0 (ClReply *, chosen->len + 1);

  for (guint i = 0; i < chosen->len; i++)
    addresses[i] = string_member (g_ptr_array_index (chosen, i), "address");
  cl_session_get_all (session, addresses, chosen->len, path, replies);
  for (guint i = 0; i < chosen->len; i++)
    {
      reply_handle (g_ptr_array_index (chosen, i), replies[i], array_member, rows, unreached);
      cl_reply_free (replies[i]);
    }
  g_free (replies);
  g_free (addresses);
}

ClResult *
cl_entries_query (ClSession *session,
                  const char *path,
                  const char *only_entry,
                  const char *array_member,
                  json_t *rows,
                  GPtrArray **unreached)
{
  ClResult *failure = NULL;
  json_t *answer = cl_session_get (session, "/v1/show/instances", 0, &failure);
  GPtrArray *chosen;
  json_t *instances;
  size_t index;
  json_t *row;

  if (answer == NULL)
    return failure;
  *unreached = g_ptr_array_new_with_free_func (g_free);
  chosen = g_ptr_array_new ();
  instances = json_object_get (answer, "rows");
  if (only_entry != NULL && !has_entry (instances, only_entry))
    only_entry = NULL;
  json_array_foreach (instances, index, row)
  {
    if (is_entry (row, only_entry))
      g_ptr_array_add (chosen, row);
  }
  entries_query (session, chosen, path, array_member, rows, *unreached);
  g_ptr_array_unref (chosen);
  json_decref (answer);
  return NULL;
}

void
cl_entries_note_unreached (ClResult *result, const GPtrArray *unreached)
{
  for (guint i = 0; i < unreached->len; i++)
    cl_result_note (result, "no answer from entry %s",
                    (const char *)g_ptr_array_index (unreached, i));
}
