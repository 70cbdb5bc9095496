#include "ctl/change.h"
#include "ctl/command.h"

typedef struct
{
  ClCommand command;
  GPtrArray *changes;
} Remove;

static void
remove_destroy (ClCommand *command)
{
  g_ptr_array_unref (((Remove *)command)->changes);
  g_free (command);
}

static ClCommand *
remove_parse (ClParser *parser)
{
  ClChange *change = cl_change_parse (parser);
  Remove *remove;

  if (change == NULL)
    return NULL;
  if (!cl_change_parse_expected_revision (change, parser) || change->kind == NULL)
    {
      cl_change_free (change);
      return NULL;
    }
  change->remove = TRUE;
  remove = g_new0 (Remove, 1);
  remove->command.klass = &cl_command_remove;
  remove->changes = g_ptr_array_new_with_free_func ((GDestroyNotify)cl_change_free);
  g_ptr_array_add (remove->changes, change);
  return &remove->command;
}

static ClResult *
remove_run (ClCommand *command, ClSession *session)
{
  return cl_session_apply (session, ((Remove *)command)->changes, FALSE);
}

const ClCommandClass cl_command_remove = {
  .name = "remove",
  .usage = "remove KIND NAME [if revision N]",
  .help = "Removes an object.\n",
  .parse = remove_parse,
  .run = remove_run,
  .destroy = remove_destroy,
};
