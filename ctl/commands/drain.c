#include "ctl/drain.h"

#include "ctl/change.h"

typedef struct
{
  ClCommand command;
  GPtrArray *changes;
} Drain;

ClCommand *
cl_drain_parse (ClParser *parser, const ClCommandClass *klass, const char *state)
{
  const ClToken *name = cl_parser_expect_text (parser, "an instance");
  ClChange *change;
  Drain *drain;

  if (name == NULL)
    return NULL;
  if (!co_schema_name_valid (name->text))
    {
      cl_parser_finding (parser, name, "\"%s\" is no name of an instance", name->text);
      return NULL;
    }
  change = cl_change_new (co_schema_kind ("instance"), name->text, parser->source,
                          (ClLocation){ name->line, name->column });
  json_object_set_new (change->fields, "state", json_string (state));
  drain = g_new0 (Drain, 1);
  drain->command.klass = klass;
  drain->changes = g_ptr_array_new_with_free_func ((GDestroyNotify)cl_change_free);
  g_ptr_array_add (drain->changes, change);
  return &drain->command;
}

ClResult *
cl_drain_run (ClCommand *command, ClSession *session)
{
  return cl_session_apply (session, ((Drain *)command)->changes, FALSE);
}

void
cl_drain_destroy (ClCommand *command)
{
  g_ptr_array_unref (((Drain *)command)->changes);
  g_free (command);
}

static ClCommand *
drain_parse (ClParser *parser)
{
  return cl_drain_parse (parser, &cl_command_drain, "draining");
}

const ClCommandClass cl_command_drain = {
  .name = "drain",
  .usage = "drain INSTANCE",
  .help = "Drains an instance: it gets no new work and finishes the work that it has.\n",
  .parse = drain_parse,
  .run = cl_drain_run,
  .destroy = cl_drain_destroy,
};
