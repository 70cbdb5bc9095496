#include "ctl/command.h"
#include "ctl/entries.h"

#include <string.h>

/* A request id is INSTANCE~INCARNATION~NUMBER, INSTANCE being the entry that assigned it. */
#define REQUEST_ID_SEPARATOR '~'

typedef struct
{
  ClCommand command;
  char *request;
} Why;

static void
why_destroy (ClCommand *command)
{
  g_free (((Why *)command)->request);
  g_free (command);
}

static ClCommand *
why_parse (ClParser *parser)
{
  const ClToken *request = cl_parser_expect_text (parser, "a request");
  Why *why;

  if (request == NULL)
    return NULL;
  why = g_new0 (Why, 1);
  why->command.klass = &cl_command_why;
  why->request = g_strdup (request->text);
  return &why->command;
}

static ClResult *
result_from_events (const Why *why, json_t *events, const GPtrArray *unreached)
{
  static const char *const columns[] = { "at_ms", "event", "detail", "entry", NULL };
  ClResult *result;

  if (json_array_size (events) > 0)
    {
      result = cl_result_new (CL_DONE, NULL);
      result->rows = json_incref (events);
      result->columns = g_strdupv ((char **)columns);
    }
  else if (unreached->len > 0)
    result = cl_result_new (CL_NOT_RUN, "no entry that answered knows request %s", why->request);
  else
    result = cl_result_new (CL_REFUSED, "no entry knows request %s (any more)", why->request);
  cl_entries_note_unreached (result, unreached);
  return result;
}

static char *
entry_from_request_id (const char *request)
{
  const char *end = strchr (request, REQUEST_ID_SEPARATOR);

  return end != NULL ? g_strndup (request, (gsize)(end - request)) : NULL;
}

static ClResult *
why_run (ClCommand *command, ClSession *session)
{
  Why *why = (Why *)command;
  char *entry = entry_from_request_id (why->request);
  char *escaped = g_uri_escape_string (why->request, "~", FALSE);
  char *path = g_strconcat ("/v1/operator/requests/", escaped, NULL);
  json_t *events = json_array ();
  GPtrArray *unreached = NULL;
  ClResult *result = cl_entries_query (session, path, entry, "events", events, &unreached);

  if (result == NULL)
    result = result_from_events (why, events, unreached);
  if (unreached != NULL)
    g_ptr_array_unref (unreached);
  json_decref (events);
  g_free (path);
  g_free (escaped);
  g_free (entry);
  return result;
}

const ClCommandClass cl_command_why = {
  .name = "why",
  .usage = "why REQUEST",
  .help = "Shows what happened to a request, also for a while after it has ended.\n",
  .parse = why_parse,
  .run = why_run,
  .destroy = why_destroy,
};
