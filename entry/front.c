#include "entry/front.h"

#include <stdlib.h>
#include <string.h>

#include "entry/http_caller.h"

#define SERVICE_PREFIX "/s/"
#define REQUESTS_PATH  "/v1/operator/requests"
#define BEARER         "Bearer "
#define MAX_KEY_BYTES  256
#define MAX_TIMEOUT_MS 86400000

/* The longest prompts are several MB, over links that may be slow; headers are short. */
#define HEAD_TIMEOUT    (10 * KNL_SEC)
#define REQUEST_TIMEOUT (60 * KNL_SEC)
#define IDLE_TIMEOUT    (60 * KNL_SEC)

#define MAX_CONNECTIONS 65536

struct EnFront
{
  EnFrontSettings settings;
  EnCore *core;
  HtServer *server;
  EnHttpCallers callers;
};

static const char *
bearer_token (HtCall *call)
{
  const char *value = ht_message_get (ht_call_request (call), "authorization");

  if (value == NULL || !g_str_has_prefix (value, BEARER))
    return NULL;
  return value + strlen (BEARER);
}

static void
refuse (HtCall *call, EnErrorCode code, const char *message)
{
  EnError error = { .code = code, .outcome = EN_OUTCOME_NOT_RUN, .message = message };

  en_http_refuse (call, &error);
}

static void
reply_text (HtCall *call, guint status, const char *type, const char *text)
{
  g_autofree char *fields = g_strdup_printf ("Content-Type: %s\r\n", type);

  ht_call_answer (call, status, fields, text, strlen (text));
}

static void
serve_health (EnFront *self, HtCall *call, const char *path)
{
  reply_text (call, 200, "text/plain", "ok\n");
}

static void
serve_ready (EnFront *self, HtCall *call, const char *path)
{
  gboolean ready = en_core_is_ready (self->core);

  reply_text (call, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
}

static void
serve_metrics (EnFront *self, HtCall *call, const char *path)
{
  GString *text = cm_metrics_render (en_core_metrics (self->core));

  reply_text (call, 200, "text/plain; version=0.0.4", text->str);
  g_string_free (text, TRUE);
}

/*
 * Addresses aren't secret, and callers request them before anything else: no token is
 * required, but a wrong one is refused.
 */
static void
serve_entries (EnFront *self, HtCall *call, const char *path)
{
  const char *token = bearer_token (call);

  if (token != NULL && !en_core_has_token (self->core, token))
    refuse (call, EN_ERROR_UNAUTHORIZED, "unknown workspace token");
  else
    en_http_reply_json (call, 200, en_core_entries (self->core));
}

static gboolean
operator_allowed (EnFront *self, HtCall *call)
{
  const char *token = bearer_token (call);

  if (self->settings.operator_token != NULL
      && g_strcmp0 (token, self->settings.operator_token) == 0)
    return TRUE;
  refuse (call, EN_ERROR_UNAUTHORIZED, "unknown operator token");
  return FALSE;
}

static void
serve_requests (EnFront *self, HtCall *call, const char *path)
{
  if (operator_allowed (self, call))
    en_http_reply_json (call, 200, en_core_requests (self->core));
}

static void
serve_one_request (EnFront *self, HtCall *call, const char *path)
{
  char *id;
  json_t *json;

  if (!operator_allowed (self, call))
    return;
  id = g_uri_unescape_string (path + strlen (REQUESTS_PATH "/"), NULL);
  json = id != NULL ? en_core_request (self->core, id) : NULL;
  if (json != NULL)
    en_http_reply_json (call, 200, json);
  else
    refuse (call, EN_ERROR_NOT_FOUND, "no such request is known here");
  g_free (id);
}

/* Reads the headers common to all submissions. Returns NULL, or an error message. */
static const char *
parse_headers (HtCall *call, EnSubmission *submission)
{
  const HtMessage *request = ht_call_request (call);
  const char *timeout = ht_message_get (request, "alderturn-timeout-ms");
  const char *idempotent = ht_message_get (request, "alderturn-idempotent");

  submission->token = bearer_token (call);
  submission->key = ht_message_get (request, "idempotency-key");
  if (submission->key != NULL
      && (submission->key[0] == '\0' || strlen (submission->key) > MAX_KEY_BYTES))
    return "Idempotency-Key must have 1 to 256 bytes";
  if (timeout != NULL)
    {
      char *end;
      gint64 milliseconds = g_ascii_strtoll (timeout, &end, 10);

      if (*end != '\0' || milliseconds <= 0 || milliseconds > MAX_TIMEOUT_MS)
        return "Alderturn-Timeout-Ms must be 1 to 86400000";
      submission->timeout = milliseconds * KNL_MSEC;
    }
  if (idempotent == NULL || strcmp (idempotent, "true") == 0)
    return NULL;
  submission->non_idempotent = TRUE;
  return strcmp (idempotent, "false") == 0 ? NULL : "Alderturn-Idempotent must be true or false";
}

static const char *
parse_completion (json_t *body, EnSubmission *submission, EnAnswerForm *form)
{
  json_t *prompt = json_object_get (body, "prompt");
  json_t *max_tokens = json_object_get (body, "max_tokens");
  json_t *stream = json_object_get (body, "stream");

  submission->service = json_string_value (json_object_get (body, "service"));
  if (!json_is_object (body))
    return "the body must be a JSON object";
  if (submission->service == NULL)
    return "service must be a text";
  if (!json_is_string (prompt))
    return "prompt must be a text";
  if (!json_is_integer (max_tokens) || json_integer_value (max_tokens) <= 0)
    return "max_tokens must be a whole number above 0";
  if (stream != NULL && !json_is_boolean (stream))
    return "stream must be true or false";
  submission->prompt = json_string_value (prompt);
  submission->prompt_bytes = json_string_length (prompt);
  submission->max_tokens = (guint64)json_integer_value (max_tokens);
  *form = json_is_false (stream) ? EN_ANSWER_JSON : EN_ANSWER_STREAM;
  return NULL;
}

static void
serve_completion (EnFront *self, HtCall *call, const char *path)
{
  const GString *text = ht_call_request (call)->body;
  json_t *body = json_loadb (text->str, text->len, 0, NULL);
  EnSubmission submission = { 0 };
  EnAnswerForm form;
  const char *problem = parse_headers (call, &submission);

  if (problem == NULL)
    problem = parse_completion (body, &submission, &form);
  if (problem != NULL)
    refuse (call, EN_ERROR_BAD_REQUEST, problem);
  else
    en_http_caller_submit (&self->callers, call, form, &submission);
  json_decref (body);
}

/* Returns path and query; the request target may also be an absolute URI. */
static const char *
request_target (const HtMessage *request)
{
  const char *authority = strstr (request->target, "://");
  const char *path;

  if (request->target[0] == '/' || authority == NULL)
    return request->target;
  path = strchr (authority + strlen ("://"), '/');
  return path != NULL ? path : "/";
}

static void
serve_plain (EnFront *self, HtCall *call, const char *path)
{
  const HtMessage *request = ht_call_request (call);
  const char *service_path = request_target (request) + strlen (SERVICE_PREFIX);
  gsize name_length = strcspn (service_path, "/?");
  char *name = g_strndup (service_path, name_length);
  char *target =
      g_strconcat (service_path[name_length] == '/' ? "" : "/", service_path + name_length, NULL);
  EnSubmission submission = {
    .service = name,
    .method = request->method,
    .path = target,
    .content_type = ht_message_get (request, "content-type"),
    .body = request->body->str,
    .body_bytes = request->body->len,
  };
  const char *problem = parse_headers (call, &submission);

  if (problem != NULL)
    refuse (call, EN_ERROR_BAD_REQUEST, problem);
  else
    en_http_caller_submit (&self->callers, call, EN_ANSWER_FORWARDED, &submission);
  g_free (target);
  g_free (name);
}

typedef struct
{
  const char *method; /* NULL: the methods allowed for plain services */
  const char *path;
  gboolean is_prefix;
  void (*serve) (EnFront *front, HtCall *call, const char *path);
} Route;

static const Route routes[] = {
  { "GET", "/healthz", FALSE, serve_health },
  { "GET", "/readyz", FALSE, serve_ready },
  { "GET", "/metrics", FALSE, serve_metrics },
  { "GET", "/v1/entries", FALSE, serve_entries },
  { "POST", "/v1/completions", FALSE, serve_completion },
  { "GET", REQUESTS_PATH, FALSE, serve_requests },
  { "GET", REQUESTS_PATH "/", TRUE, serve_one_request },
  { NULL, SERVICE_PREFIX, TRUE, serve_plain },
};

static gboolean
path_matches (const Route *route, const char *path)
{
  return route->is_prefix ? g_str_has_prefix (path, route->path) : strcmp (path, route->path) == 0;
}

static gboolean
method_matches (const Route *route, const char *method)
{
  static const char *const plain_methods[] = { "GET", "POST", "PUT", "DELETE", NULL };

  return route->method != NULL ? strcmp (route->method, method) == 0
                               : g_strv_contains (plain_methods, method);
}

static void
on_request (HtCall *call, gpointer data)
{
  EnFront *self = data;
  const HtMessage *request = ht_call_request (call);
  const char *target = request_target (request);
  g_autofree char *path = g_strndup (target, strcspn (target, "?#"));

  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      if (!path_matches (&routes[i], path))
        continue;
      if (method_matches (&routes[i], request->method))
        routes[i].serve (self, call, path);
      else
        refuse (call, EN_ERROR_BAD_REQUEST, "that path has no such method");
      return;
    }
  refuse (call, EN_ERROR_NOT_FOUND, "there is no such path");
}

static void
on_disconnected (HtCall *call, gpointer data)
{
  en_http_caller_disconnected (ht_call_data (call));
}

static GString *
write_refusal (guint status, GString *fields, gpointer data)
{
  static const struct
  {
    guint status;
    EnErrorCode code;
    const char *message;
  } refusals[] = {
    { 408, EN_ERROR_BAD_REQUEST, "the request took too long to come" },
    { 413, EN_ERROR_TOO_LARGE, "the body is too large" },
    { 417, EN_ERROR_BAD_REQUEST, "only 100-continue may be expected" },
    { 431, EN_ERROR_TOO_LARGE, "the head is too large" },
  };
  EnError error = { .code = EN_ERROR_BAD_REQUEST,
                    .outcome = EN_OUTCOME_NOT_RUN,
                    .message = "this is no HTTP request, or its end is not clear" };

  for (guint i = 0; i < G_N_ELEMENTS (refusals); i++)
    {
      if (refusals[i].status != status)
        continue;
      error.code = refusals[i].code;
      error.message = refusals[i].message;
    }
  return en_http_refusal (&error, fields);
}

static const HtServerEvents server_events = {
  .request = on_request,
  .disconnected = on_disconnected,
  .refusal = write_refusal,
};

guint16
en_front_port (const EnFront *self)
{
  return ht_server_port (self->server);
}

EnFront *
en_front_new (KnlKernel *kernel,
              struct event_base *base,
              EnCore *core,
              const EnFrontSettings *settings)
{
  EnFront *self = g_new0 (EnFront, 1);
  HtServerLimits limits = {
    .message = { settings->max_headers, settings->max_body },
    .head_timeout = HEAD_TIMEOUT,
    .request_timeout = REQUEST_TIMEOUT,
    .idle_timeout = IDLE_TIMEOUT,
    .max_connections = MAX_CONNECTIONS,
    .max_unsent =
        G_MAXSIZE, /* max_unread bounds streams, and other answers are sent one at a time */
  };

  self->settings = *settings;
  self->core = core;
  self->callers = (EnHttpCallers){ .core = core, .max_unread = settings->max_unread };
  self->server = ht_server_new (kernel, base, settings->address, &limits, &server_events, self);
  if (self->server != NULL)
    return self;
  en_front_free (self);
  return NULL;
}

void
en_front_free (EnFront *self)
{
  if (self == NULL)
    return;
  ht_server_free (self->server);
  g_free (self);
}

guint
en_front_open_answers (const EnFront *self)
{
  return ht_server_n_busy (self->server);
}
