#include "ctl/change.h"
#include "ctl/command.h"

typedef struct
{
  ClCommand command;
  GPtrArray *changes;
} Set;

static void
set_destroy (ClCommand *command)
{
  g_ptr_array_unref (((Set *)command)->changes);
  g_free (command);
}

static ClCommand *
set_parse (ClParser *parser)
{
  ClChange *change = cl_change_parse (parser);
  gboolean is_valid;
  Set *set;

  if (change == NULL)
    return NULL;
  do
    is_valid = cl_change_parse_field (change, parser);
  while (is_valid && cl_parser_accept_symbol (parser, ","));
  if (!is_valid || !cl_change_parse_expected_revision (change, parser) || change->kind == NULL)
    {
      cl_change_free (change);
      return NULL;
    }
  set = g_new0 (Set, 1);
  set->command.klass = &cl_command_set;
  set->changes = g_ptr_array_new_with_free_func ((GDestroyNotify)cl_change_free);
  g_ptr_array_add (set->changes, change);
  return &set->command;
}

static ClResult *
set_run (ClCommand *command, ClSession *session)
{
  return cl_session_apply (session, ((Set *)command)->changes, FALSE);
}

const ClCommandClass cl_command_set = {
  .name = "set",
  .usage = "set KIND NAME FIELD = VALUE [, FIELD = VALUE ...] [if revision N]",
  .help = "Sets fields of an object and creates it if it doesn't exist; other fields stay.\n"
          "With a revision, the change is refused if the object's revision differs.\n",
  .parse = set_parse,
  .run = set_run,
  .destroy = set_destroy,
};
