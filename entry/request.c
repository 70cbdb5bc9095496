#include "entry/request.h"

#include "common/log.h"

/* Beyond this number, a new event replaces the last one. */
#define MAX_EVENTS 64

static const char *const state_names[] = {
  [EN_STATE_RECEIVED] = "received",   [EN_STATE_AUTHENTICATED] = "authenticated",
  [EN_STATE_ADMITTED] = "admitted",   [EN_STATE_RECORDING] = "recording",
  [EN_STATE_QUEUED] = "queued",       [EN_STATE_DISPATCHED] = "dispatched",
  [EN_STATE_STREAMING] = "streaming", [EN_STATE_ENDED] = "ended",
};

const char *
en_state_name (EnState state)
{
  return state_names[state];
}

static void
event_clear (gpointer data)
{
  g_free (((EnRequestEvent *)data)->detail);
}

EnRequest *
en_request_new (EnCore *core, guint64 number, const char *id, KnlTime now)
{
  EnRequest *request = g_new0 (EnRequest, 1);

  request->core = core;
  request->number = number;
  request->id = g_strdup (id);
  request->received_at = now;
  request->events = g_array_new (FALSE, TRUE, sizeof (EnRequestEvent));
  g_array_set_clear_func (request->events, event_clear);
  en_progress_init (&request->progress);
  return request;
}

void
en_request_free (EnRequest *request)
{
  g_free (request->id);
  g_free (request->workspace);
  g_free (request->service);
  g_free (request->model);
  g_free (request->adapter);
  g_free (request->label);
  g_clear_pointer (&request->prompt, g_bytes_unref);
  g_free (request->method);
  g_free (request->path);
  g_free (request->content_type);
  g_clear_pointer (&request->body, g_bytes_unref);
  g_free (request->key);
  g_free (request->blocks);
  g_free (request->endpoint);
  en_progress_clear (&request->progress);
  g_free ((char *)request->pending_answer.finish);
  g_free ((char *)request->pending_answer.content_type);
  g_free ((char *)request->pending_answer.body);
  if (request->answer != NULL)
    g_string_free (request->answer, TRUE);
  g_array_unref (request->events);
  g_free (request);
}

void
en_request_set_state (EnRequest *request, EnState state)
{
  gboolean again = state == EN_STATE_QUEUED && request->state > EN_STATE_QUEUED;

  cm_invariant (request->state != EN_STATE_ENDED, "a request ends once");
  cm_invariant (again || state > request->state, "a request's state moves forward");
  request->state = state;
}

void
en_request_note (EnRequest *request, KnlTime now, const char *event, const char *format, ...)
{
  EnRequestEvent row = { .at = now, .event = event };
  va_list args;

  va_start (args, format);
  if (format != NULL)
    row.detail = g_strdup_vprintf (format, args);
  va_end (args);
  if (request->events->len >= MAX_EVENTS)
    g_array_set_size (request->events, MAX_EVENTS - 1);
  g_array_append_val (request->events, row);
}
