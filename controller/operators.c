#include "controller/operators.h"

#include <stdlib.h>
#include <string.h>

#include "controller/state.h"
#include "coord/config_rows.h"

#define MAX_WAIT_MS         600000
#define WAIT_POLL_INTERVAL  (100 * KNL_MSEC)
#define MAX_HISTORY_ROWS    200
#define MAX_OPERATION_BYTES 128
#define JSON_CONTENT_TYPE   "application/json"

typedef struct
{
  KnlTask base;
  CtController *controller; /* NULL after ct_operators_detach() */
  GPtrArray *calls;         /* Call, not answered yet */
} Operators;

/* An operator's request that hasn't been answered yet. */
typedef struct
{
  Operators *operators;
  KnlTaskId sender;
  guint64 number;
  TbCallId read;
  KnlTimerId wait_timer;
  char *table;
  guint64 wanted;   /* the revision that the operator waits for */
  KnlTime deadline; /* of that wait */
} Call;

static void
answer_destroy (gpointer data)
{
  CtOperatorAnswer *answer = data;

  g_free (answer->content_type);
  free (answer->body);
  g_free (answer);
}

CtOperatorAnswer *
ct_operator_answer_new (guint64 number, int status, char *body)
{
  CtOperatorAnswer *answer = g_new0 (CtOperatorAnswer, 1);

  answer->base.type = CT_OPERATOR_ANSWER;
  answer->base.destroy = answer_destroy;
  answer->number = number;
  answer->status = status;
  answer->content_type = g_strdup (JSON_CONTENT_TYPE);
  answer->body = body;
  return answer;
}

static void
call_destroy (gpointer data)
{
  CtOperatorCall *call = data;

  g_free (call->method);
  g_free (call->path);
  g_free (call->query);
  g_free (call->token);
  g_free (call->body);
  g_free (call);
}

CtOperatorCall *
ct_operator_call_new (guint64 number, const char *method, const char *path)
{
  CtOperatorCall *call = g_new0 (CtOperatorCall, 1);

  call->base.type = CT_OPERATOR_CALL;
  call->base.destroy = call_destroy;
  call->number = number;
  call->method = g_strdup (method);
  call->path = g_strdup (path);
  return call;
}

static void
call_free (Call *call)
{
  CtController *controller = call->operators->controller;

  g_ptr_array_remove_fast (call->operators->calls, call);
  knl_timer_stop (call->operators->base.kernel, &call->wait_timer);
  if (controller != NULL)
    tb_call_cancel (controller->platform, &call->read);
  g_free (call->table);
  g_free (call);
}

/* Answers and frees the call. Takes ownership of `body`, which is freed with free(). */
static void
answer (Call *call, int status, char *body)
{
  KnlKernel *kernel = call->operators->base.kernel;
  CtOperatorAnswer *message = ct_operator_answer_new (call->number, status, body);

  message->base.sender = call->operators->base.id;
  knl_post (kernel, call->sender, &message->base);
  call_free (call);
}

static void
answer_json (Call *call, int status, json_t *root)
{
  char *body = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  answer (call, status, body);
}

static void
answer_error (Call *call, int status, const char *error)
{
  answer_json (call, status, json_pack ("{s:s}", "error", error));
}

static void
answer_rows (Call *call, json_t *rows)
{
  guint64 revision = *co_config_revision (call->operators->controller->config);

  answer_json (call, 200, json_pack ("{s:I, s:o}", "revision", (json_int_t)revision, "rows", rows));
}

static void
on_gathered (const json_t *gathered, gpointer data)
{
  Call *call = data;
  CtController *controller = call->operators->controller;

  if (strcmp (call->table, "instances") == 0)
    answer_rows (call, ct_show_instances (controller, gathered));
  else
    answer_rows (call, ct_show_engines (controller, gathered));
}

static void
on_history (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  Call *call = data;
  json_t *list;

  call->read = 0;
  if (status != TB_OK)
    {
      answer_error (call, 503, "the platform's table does not answer");
      return;
    }
  list = json_array ();
  for (guint i = 0; i < n_rows; i++)
    {
      json_t *row = json_loads (rows[i].value, 0, NULL);
      gboolean removed = json_is_true (json_object_get (row, "removed"));

      json_object_set_new (row, "change", json_string (removed ? "removed" : "set"));
      json_object_del (row, "removed");
      json_object_del (row, "fields");
      json_array_append_new (list, row);
    }
  answer_rows (call, list);
}

static void
show_history (Call *call)
{
  CtController *controller = call->operators->controller;
  guint64 revision = *co_config_revision (controller->config);
  char *after = co_change_key (revision > MAX_HISTORY_ROWS ? revision - MAX_HISTORY_ROWS : 0);

  call->read = tb_scan (controller->platform, CO_CHANGE_PREFIX, after, MAX_HISTORY_ROWS + 1,
                        on_history, call);
  g_free (after);
}

static void
handle_show (Call *call, const CtOperatorCall *request)
{
  static const struct
  {
    const char *table;
    const char *kind;
  } objects[] = {
    { "services", "service" },
    { "workspaces", "workspace" },
    { "models", "model" },
    { "adapters", "adapter" },
  };
  CtController *controller = call->operators->controller;
  const char *table = request->path + strlen ("/v1/show/");

  for (guint i = 0; i < G_N_ELEMENTS (objects); i++)
    {
      if (strcmp (objects[i].table, table) != 0)
        continue;
      answer_rows (call, ct_show_objects (controller->config, objects[i].kind));
      return;
    }
  call->table = g_strdup (table);
  if (strcmp (table, "instances") == 0 || strcmp (table, "engines") == 0)
    ct_gather_start (controller->gather, table, on_gathered, call);
  else if (strcmp (table, "leases") == 0)
    answer_rows (call, ct_show_leases (controller));
  else if (strcmp (table, "configuration") == 0)
    show_history (call);
  else
    answer_error (call, 404, "there is no such table");
}

static void
on_applied (const CoApplyResult *result, gpointer data)
{
  Call *call = data;
  int status = 0;
  char *body = ct_apply_answer (result, &status);

  answer (call, status, body);
}

static void
handle_apply (Call *call, const CtOperatorCall *request)
{
  CtController *controller = call->operators->controller;
  json_t *root = json_loads (request->body != NULL ? request->body : "", 0, NULL);
  const char *operation = json_string_value (json_object_get (root, "operation"));
  const char *by = json_string_value (json_object_get (root, "by"));
  CoApply apply = {
    .operation = operation,
    .by = by != NULL ? by : "",
    .changes = json_object_get (root, "changes"),
    .dry_run = json_is_true (json_object_get (root, "dry_run")),
  };

  if (operation == NULL || operation[0] == '\0' || strlen (operation) > MAX_OPERATION_BYTES
      || !json_is_array (apply.changes))
    answer_json (call, 422,
                 json_pack ("{s:[{s:i, s:s, s:s}]}", "findings", "index", 0, "where", "body",
                            "text",
                            "must be JSON with \"operation\" (1 to 128 bytes) and a list "
                            "of \"changes\""));
  else
    co_config_store_apply (controller->store, &apply, on_applied, call);
  json_decref (root);
}

static gint64
query_number (const char *query, const char *name, gint64 fallback)
{
  gint64 number = fallback;
  char **parts = g_strsplit (query != NULL ? query : "", "&", -1);

  for (guint i = 0; parts[i] != NULL; i++)
    {
      gsize length = strlen (name);

      if (strncmp (parts[i], name, length) == 0 && parts[i][length] == '=')
        number = g_ascii_strtoll (parts[i] + length + 1, NULL, 10);
    }
  g_strfreev (parts);
  return number;
}

static json_t *
lagging_instances (const CtController *controller, const json_t *gathered, guint64 wanted)
{
  json_t *lagging = json_array ();
  json_t *rows = ct_show_instances (controller, gathered);
  size_t index;
  json_t *row;

  json_array_foreach (rows, index, row)
  {
    const char *kind = json_string_value (json_object_get (row, "kind"));
    json_t *revision = json_object_get (row, "revision");

    if ((strcmp (kind, "entry") == 0 || strcmp (kind, "controller") == 0)
        && (guint64)json_integer_value (revision) < wanted)
      json_array_append_new (lagging,
                             json_pack ("{s:O, s:O}", "instance", json_object_get (row, "name"),
                                        "revision", revision));
  }
  json_decref (rows);
  return lagging;
}

static void step_wait (gpointer data);

static void
on_revisions (const json_t *gathered, gpointer data)
{
  Call *call = data;
  CtController *controller = call->operators->controller;
  KnlKernel *kernel = call->operators->base.kernel;
  json_t *lagging = lagging_instances (controller, gathered, call->wanted);
  guint64 revision = *co_config_revision (controller->config);
  gboolean in_force = revision >= call->wanted && json_array_size (lagging) == 0;

  if (!in_force && knl_kernel_now (kernel) < call->deadline)
    {
      json_decref (lagging);
      call->wait_timer = knl_timer_start (kernel, WAIT_POLL_INTERVAL, step_wait, call);
      return;
    }
  answer_json (call, 200,
               json_pack ("{s:I, s:b, s:o}", "revision", (json_int_t)revision, "in_force", in_force,
                          "lagging", lagging));
}

static void
step_wait (gpointer data)
{
  Call *call = data;

  call->wait_timer = 0;
  ct_gather_start (call->operators->controller->gather, "instances", on_revisions, call);
}

static void
handle_revision (Call *call, const CtOperatorCall *request)
{
  CtController *controller = call->operators->controller;
  gint64 timeout_ms = query_number (request->query, "timeout_ms", 0);
  gint64 wanted =
      query_number (request->query, "wait", (gint64)*co_config_revision (controller->config));

  call->wanted = (guint64)MAX (wanted, 0);
  call->deadline =
      knl_kernel_now (call->operators->base.kernel) + CLAMP (timeout_ms, 0, MAX_WAIT_MS) * KNL_MSEC;
  step_wait (call);
}

static void
handle_health (Call *call, const CtOperatorCall *request)
{
  answer_json (call, 200, json_pack ("{s:s}", "status", "ok"));
}

static void
handle_ready (Call *call, const CtOperatorCall *request)
{
  const CtController *controller = call->operators->controller;
  gboolean ready = ct_controller_ready (controller);

  answer_json (call, ready ? 200 : 503,
               json_pack ("{s:b, s:b, s:I, s:I}", "ready", ready, "draining", controller->draining,
                          "revision", (json_int_t)*co_config_revision (controller->config),
                          "highest", (json_int_t)co_config_store_highest (controller->store)));
}

static void
handle_metrics (Call *call, const CtOperatorCall *request)
{
  GString *text;
  CtOperatorAnswer *message;

  ct_controller_update_metrics (call->operators->controller);
  text = cm_metrics_render (call->operators->controller->options.metrics);
  message = ct_operator_answer_new (call->number, 200, g_string_free (text, FALSE));
  g_free (message->content_type);
  message->content_type = g_strdup ("text/plain; version=0.0.4");
  message->base.sender = call->operators->base.id;
  knl_post (call->operators->base.kernel, call->sender, &message->base);
  call_free (call);
}

typedef struct
{
  const char *method;
  const char *path; /* a prefix if it ends in "/" */
  gboolean open;    /* requires no operator token */
  void (*handle) (Call *call, const CtOperatorCall *request);
} Route;

static const Route routes[] = {
  { "GET", "/healthz", TRUE, handle_health }, { "GET", "/metrics", TRUE, handle_metrics },
  { "GET", "/readyz", TRUE, handle_ready },   { "GET", "/v1/revision", FALSE, handle_revision },
  { "GET", "/v1/show/", FALSE, handle_show }, { "POST", "/v1/apply", FALSE, handle_apply },
};

static const Route *
find_route (const CtOperatorCall *request)
{
  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      gsize length = strlen (routes[i].path);

      if (strcmp (routes[i].method, request->method) != 0)
        continue;
      if (strcmp (routes[i].path, request->path) == 0
          || (routes[i].path[length - 1] == '/'
              && strncmp (routes[i].path, request->path, length) == 0))
        return &routes[i];
    }
  return NULL;
}

/* Compares in constant time, so that a token can't be guessed byte by byte. */
static gboolean
token_equal (const char *given, const char *token)
{
  gsize length = strlen (token);
  guint difference = 0;

  if (given == NULL || strlen (given) != length)
    return FALSE;
  for (gsize i = 0; i < length; i++)
    difference |= (guint)((guchar)given[i] ^ (guchar)token[i]);
  return difference == 0;
}

static void
operators_receive (KnlTask *task, KnlMessage *message)
{
  Operators *operators = (Operators *)task;
  const CtOperatorCall *request = (const CtOperatorCall *)message;
  const Route *route = find_route (request);
  Call *call = g_new0 (Call, 1);

  call->operators = operators;
  call->sender = message->sender;
  call->number = request->number;
  g_ptr_array_add (operators->calls, call);
  if (operators->controller == NULL)
    answer_error (call, 503, "the controller is ending");
  else if (route == NULL || !route->open)
    {
      if (!token_equal (request->token, operators->controller->settings->operator_token))
        answer_error (call, 401, "wrong or missing operator token");
      else if (route == NULL)
        answer_error (call, 404, "there is nothing at this path by this method");
      else
        route->handle (call, request);
    }
  else
    route->handle (call, request);
}

static void
operators_destroy (KnlTask *task)
{
  Operators *operators = (Operators *)task;

  while (operators->calls->len > 0)
    call_free (g_ptr_array_steal_index_fast (operators->calls, 0));
  g_ptr_array_unref (operators->calls);
  g_free (operators);
}

static const KnlTaskClass operators_class = {
  .name = "operators",
  .receive = operators_receive,
  .destroy = operators_destroy,
};

KnlTaskId
ct_operators_start (CtController *controller)
{
  Operators *operators = g_new0 (Operators, 1);

  operators->base.klass = &operators_class;
  operators->controller = controller;
  operators->calls = g_ptr_array_new ();
  return knl_task_start (controller->kernel, &operators->base, CT_OPERATORS_SERVICE);
}

void
ct_operators_detach (KnlKernel *kernel, KnlTaskId id)
{
  Operators *operators = (Operators *)knl_task_find (kernel, id);

  if (operators == NULL)
    return;
  while (operators->calls->len > 0)
    answer_error (g_ptr_array_steal_index_fast (operators->calls, 0), 503,
                  "the controller is ending");
  operators->controller = NULL;
  knl_task_stop (kernel, id);
}
