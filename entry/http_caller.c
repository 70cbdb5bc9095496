#include "entry/http_caller.h"

#include <stdlib.h>
#include <string.h>

#define EVENT_STREAM "text/event-stream"

struct EnHttpCaller
{
  EnCaller base;
  EnHttpCallers *owner;
  HtCall *call;
  EnAnswerForm form;
  guint64 number; /* the core's number of the request; 0: not submitted yet */
  GString *text;  /* collected tokens of an EN_ANSWER_JSON answer, else NULL */
};

/* Omits a value with a line end, which could inject further header lines. */
static void
add_field (GString *fields, const char *name, const char *value)
{
  if (strpbrk (value, "\r\n") == NULL)
    g_string_append_printf (fields, "%s: %s\r\n", name, value);
}

static void
answer_json (HtCall *call, int status, GString *fields, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  add_field (fields, "Content-Type", "application/json");
  ht_call_answer (call, (guint)status, fields->str, text, strlen (text));
  free (text);
  json_decref (json);
}

void
en_http_reply_json (HtCall *call, int status, json_t *json)
{
  GString *fields = g_string_new (NULL);

  answer_json (call, status, fields, json);
  g_string_free (fields, TRUE);
}

static json_t *
error_json (const EnError *error, const char *id)
{
  json_t *body =
      json_pack ("{s:s, s:s, s:s, s:s*}", "code", en_error_name (error->code), "message",
                 error->message, "outcome", en_outcome_name (error->outcome), "request", id);

  if (error->retry_after > 0)
    json_object_set_new (
        body, "retry_after_ms",
        json_integer ((json_int_t)((error->retry_after + KNL_MSEC - 1) / KNL_MSEC)));
  return json_pack ("{s:o}", "error", body);
}

static void
add_error_fields (GString *fields, const EnError *error)
{
  add_field (fields, "Alderturn-Outcome", en_outcome_name (error->outcome));
  if (error->retry_after > 0)
    g_string_append_printf (fields, "Retry-After: %" G_GINT64_FORMAT "\r\n",
                            (error->retry_after + KNL_SEC - 1) / KNL_SEC);
}

void
en_http_refuse (HtCall *call, const EnError *error)
{
  GString *fields = g_string_new (NULL);

  add_error_fields (fields, error);
  answer_json (call, en_error_status (error->code), fields, error_json (error, NULL));
  g_string_free (fields, TRUE);
}

GString *
en_http_refusal (const EnError *error, GString *fields)
{
  json_t *json = error_json (error, NULL);
  char *text = json_dumps (json, JSON_COMPACT);
  GString *body = g_string_new (text);

  add_error_fields (fields, error);
  add_field (fields, "Content-Type", "application/json");
  free (text);
  json_decref (json);
  return body;
}

static void
caller_free (EnHttpCaller *self)
{
  if (self->text != NULL)
    g_string_free (self->text, TRUE);
  g_free (self);
}

void
en_http_caller_disconnected (EnHttpCaller *self)
{
  if (self == NULL)
    return;
  en_core_caller_disconnected (self->owner->core, self->number);
  caller_free (self);
}

static void
send_event (EnHttpCaller *self, const char *event, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  GString *chunk = g_string_new (NULL);

  if (event != NULL)
    g_string_append_printf (chunk, "event: %s\n", event);
  g_string_append_printf (chunk, "data: %s\n\n", text);
  ht_call_send (self->call, chunk->str, chunk->len);
  g_string_free (chunk, TRUE);
  free (text);
  json_decref (json);
}

/* Sends the last event of a stream and ends the answer. */
static void
end_stream (EnHttpCaller *self, const char *event, json_t *json)
{
  send_event (self, event, json);
  ht_call_end (self->call);
}

static void
caller_begin (EnCaller *caller, const char *request)
{
  EnHttpCaller *self = (EnHttpCaller *)caller;
  GString *fields;

  if (self->form != EN_ANSWER_STREAM)
    return;
  fields = g_string_new (NULL);
  add_field (fields, "Content-Type", EVENT_STREAM);
  add_field (fields, "Cache-Control", "no-store");
  add_field (fields, "Alderturn-Request-Id", request);
  ht_call_begin (self->call, 200, fields->str);
  g_string_free (fields, TRUE);
}

static gboolean
caller_tokens (EnCaller *caller, const char *request, guint64 offset, guint count, const char *text)
{
  EnHttpCaller *self = (EnHttpCaller *)caller;

  if (self->form != EN_ANSWER_STREAM)
    {
      g_string_append (self->text, text);
      return TRUE;
    }
  send_event (self, NULL,
              json_pack ("{s:s, s:I, s:i, s:s}", "request", request, "offset", (json_int_t)offset,
                         "n", (int)count, "text", text));
  return ht_call_unsent (self->call) <= self->owner->max_unread;
}

static json_t *
done_json (const char *request, const EnAnswer *answer)
{
  return json_pack ("{s:s, s:I, s:s*, s:s}", "request", request, "count", (json_int_t)answer->count,
                    "finish", answer->finish, "outcome", en_outcome_name (answer->outcome));
}

static void
forward_answer (EnHttpCaller *self, GString *fields, const EnAnswer *answer)
{
  if (answer->content_type != NULL)
    add_field (fields, "Content-Type", answer->content_type);
  ht_call_answer (self->call, (guint)answer->status, fields->str, answer->body, answer->body_bytes);
}

static void
answer_object (EnHttpCaller *self, GString *fields, json_t *json)
{
  json_object_set_new (json, "text", json_stringn_nocheck (self->text->str, self->text->len));
  answer_json (self->call, 200, fields, json);
}

static void
caller_done (EnCaller *caller, const char *request, const EnAnswer *answer)
{
  EnHttpCaller *self = (EnHttpCaller *)caller;
  GString *fields = g_string_new (NULL);

  add_field (fields, "Alderturn-Request-Id", request);
  add_field (fields, "Alderturn-Outcome", en_outcome_name (answer->outcome));
  switch (self->form)
    {
    case EN_ANSWER_STREAM:
      end_stream (self, "done", done_json (request, answer));
      break;
    case EN_ANSWER_FORWARDED:
      forward_answer (self, fields, answer);
      break;
    case EN_ANSWER_JSON:
      answer_object (self, fields, done_json (request, answer));
      break;
    }
  g_string_free (fields, TRUE);
  caller_free (self);
}

static void
add_entries (EnHttpCaller *self, json_t *json)
{
  json_t *entries = en_core_entries (self->owner->core);

  json_object_update (json, entries);
  json_decref (entries);
}

static void
answer_error (EnHttpCaller *self, const char *request, const EnError *error)
{
  GString *fields = g_string_new (NULL);
  json_t *json = error_json (error, request);

  if (error->code == EN_ERROR_DRAINING)
    add_entries (self, json);
  add_field (fields, "Alderturn-Request-Id", request);
  add_error_fields (fields, error);
  answer_json (self->call, en_error_status (error->code), fields, json);
  g_string_free (fields, TRUE);
}

static void
caller_error (EnCaller *caller, const char *request, const EnError *error)
{
  EnHttpCaller *self = (EnHttpCaller *)caller;

  if (ht_call_has_begun (self->call))
    end_stream (self, "error", error_json (error, request));
  else
    answer_error (self, request, error);
  caller_free (self);
}

static const EnCallerClass http_caller_class = {
  .begin = caller_begin,
  .tokens = caller_tokens,
  .done = caller_done,
  .error = caller_error,
};

void
en_http_caller_submit (EnHttpCallers *callers,
                       HtCall *call,
                       EnAnswerForm form,
                       const EnSubmission *submission)
{
  EnHttpCaller *self = g_new0 (EnHttpCaller, 1);
  guint64 number;

  self->base.klass = &http_caller_class;
  self->owner = callers;
  self->call = call;
  self->form = form;
  self->text = form == EN_ANSWER_JSON ? g_string_new (NULL) : NULL;
  ht_call_set_data (call, self);
  number = en_core_submit (callers->core, submission, &self->base);
  /* 0: the request was answered during the call, and `self` has been freed. */
  if (number != 0)
    self->number = number;
}
