#include "entry/history.h"

#include <string.h>

struct EnHistory
{
  guint limit;
  GQueue requests; /* EnRequest, newest first */
};

EnHistory *
en_history_new (guint limit)
{
  EnHistory *self = g_new0 (EnHistory, 1);

  self->limit = limit;
  g_queue_init (&self->requests);
  return self;
}

void
en_history_free (EnHistory *self)
{
  if (self == NULL)
    return;
  g_queue_clear_full (&self->requests, (GDestroyNotify)en_request_free);
  g_free (self);
}

/* Prompts are large and may be private, so only the events are kept. */
static void
drop_content (EnRequest *request)
{
  g_clear_pointer (&request->prompt, g_bytes_unref);
  g_clear_pointer (&request->body, g_bytes_unref);
  g_clear_pointer (&request->blocks, g_free);
  if (request->answer != NULL)
    g_string_free (request->answer, TRUE);
  request->answer = NULL;
}

void
en_history_add (EnHistory *self, EnRequest *request)
{
  drop_content (request);
  g_queue_push_head (&self->requests, request);
  if (self->requests.length > self->limit)
    en_request_free (g_queue_pop_tail (&self->requests));
}

const EnRequest *
en_history_find (const EnHistory *self, const char *id)
{
  for (GList *link = self->requests.head; link != NULL; link = link->next)
    {
      if (strcmp (((EnRequest *)link->data)->id, id) == 0)
        return link->data;
    }
  return NULL;
}

json_t *
en_history_events (const EnRequest *request)
{
  json_t *events = json_array ();

  for (guint i = 0; i < request->events->len; i++)
    {
      const EnRequestEvent *event = &g_array_index (request->events, EnRequestEvent, i);

      json_array_append_new (events,
                             json_pack ("{s:I, s:s, s:s*}", "at_ms",
                                        (json_int_t)((event->at - request->received_at) / KNL_MSEC),
                                        "event", event->event, "detail", event->detail));
    }
  return json_pack ("{s:s, s:s, s:o}", "request", request->id, "state",
                    en_state_name (request->state), "events", events);
}
