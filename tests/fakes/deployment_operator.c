#include "controller/operators.h"
#include "tests/fakes/deployment_internal.h"

#define APPLY_TIMEOUT (30 * KNL_SEC)

/* The task that receives the answer to one operator's request. */
typedef struct
{
  KnlTask base;
  FkOperatorFunc done;
  gpointer data;
} OperatorTask;

static void
operator_receive (KnlTask *task, KnlMessage *message)
{
  OperatorTask *self = (OperatorTask *)task;
  CtOperatorAnswer *answer = (CtOperatorAnswer *)message;
  FkOperatorFunc done = self->done;

  self->done = NULL;
  knl_task_stop (task->kernel, task->id);
  if (done != NULL)
    done (answer->status, answer->body, self->data);
}

static void
operator_destroy (KnlTask *task)
{
  OperatorTask *self = (OperatorTask *)task;

  if (self->done != NULL)
    self->done (0, NULL, self->data);
  g_free (self);
}

static const KnlTaskClass operator_class = {
  .name = "test-operator",
  .receive = operator_receive,
  .destroy = operator_destroy,
};

void
fk_deployment_operator_call (FkDeployment *deployment,
                             guint instance,
                             const char *method,
                             const char *path,
                             const char *query,
                             const char *body,
                             FkOperatorFunc done,
                             gpointer data)
{
  FkDaemon *daemon = &deployment->instances[instance].daemons[FK_CONTROLLER];
  OperatorTask *task;
  CtOperatorCall *call;

  if (daemon->kernel == NULL)
    {
      done (0, NULL, data);
      return;
    }
  task = g_new0 (OperatorTask, 1);
  task->base.klass = &operator_class;
  task->done = done;
  task->data = data;
  call = ct_operator_call_new (1, method, path);
  call->query = g_strdup (query);
  call->token = g_strdup (FK_OPERATOR_TOKEN);
  call->body = g_strdup (body);
  call->base.sender = knl_task_start (daemon->kernel, &task->base, NULL);
  knl_post (daemon->kernel, knl_registry_find (daemon->kernel, CT_OPERATORS_SERVICE), &call->base);
}

typedef struct
{
  FkDeployment *deployment;
  gboolean answered;
  guint64 revision; /* 0: refused */
} Apply;

static void
on_applied (int status, const char *body, gpointer data)
{
  Apply *apply = data;
  json_auto_t *root = body != NULL ? json_loads (body, 0, NULL) : NULL;

  apply->answered = TRUE;
  if (status == 200)
    apply->revision = (guint64)json_integer_value (json_object_get (root, "revision"));
  else
    g_printerr ("apply: %d %s\n", status, body != NULL ? body : "");
}

static gboolean
is_in_force (gpointer data)
{
  Apply *apply = data;
  FkDeployment *deployment = apply->deployment;

  if (!apply->answered)
    return FALSE;
  for (guint i = 0; i < deployment->options.instances; i++)
    {
      for (FkDaemonKind kind = 0; kind < FK_DAEMONS; kind++)
        {
          if (fk_deployment_is_up (deployment, i, kind)
              && fk_deployment_revision (deployment, i, kind) < apply->revision)
            return FALSE;
        }
    }
  return TRUE;
}

static gboolean
is_ready (gpointer data)
{
  FkDeployment *deployment = data;

  return fk_deployment_controller (deployment, 0) != NULL
         && ct_controller_ready (fk_deployment_controller (deployment, 0));
}

gboolean
fk_deployment_apply (FkDeployment *deployment, const char *changes)
{
  Apply apply = { .deployment = deployment };
  g_autofree char *body = g_strdup_printf ("{\"operation\":\"operation-%" G_GUINT64_FORMAT
                                           "\",\"by\":\"test\",\"changes\":%s}",
                                           ++deployment->last_incarnation, changes);
  gboolean in_force;

  knl_paused_clock_advance_until (deployment->clock, APPLY_TIMEOUT, is_ready, deployment);
  fk_deployment_operator_call (deployment, 0, "POST", "/v1/apply", NULL, body, on_applied, &apply);
  in_force = knl_paused_clock_advance_until (deployment->clock, APPLY_TIMEOUT, is_in_force, &apply);
  return in_force && apply.revision > 0;
}

char *
fk_deployment_default_changes (guint workspaces)
{
  GString *text =
      g_string_new ("[{\"op\":\"set\",\"kind\":\"model\",\"name\":\"m7\",\"fields\":{}},"
                    "{\"op\":\"set\",\"kind\":\"service\",\"name\":\"letters\",\"fields\":"
                    "{\"kind\":\"model\",\"endpoints\":\"gpu\",\"model\":\"m7\"}},"
                    "{\"op\":\"set\",\"kind\":\"service\",\"name\":\"desk\",\"fields\":"
                    "{\"kind\":\"plain\",\"endpoints\":\"desk\",\"idempotent\":false}}");

  for (guint i = 0; i < workspaces; i++)
    g_string_append_printf (text,
                            ",{\"op\":\"set\",\"kind\":\"workspace\",\"name\":\"w%u\","
                            "\"fields\":{\"token\":\"token-%u\"}}",
                            i, i);
  g_string_append (text, "]");
  return g_string_free (text, FALSE);
}
