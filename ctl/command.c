#include "ctl/command.h"

#include <string.h>

/* Sorted by name, for bsearch(). */
static const ClCommandClass *const commands[] = {
  &cl_command_apply, &cl_command_drain,   &cl_command_help, &cl_command_remove, &cl_command_set,
  &cl_command_show,  &cl_command_undrain, &cl_command_wait, &cl_command_why,    NULL,
};

const ClCommandClass *const *
cl_commands (void)
{
  return commands;
}

static int
compare_name (const void *key, const void *item)
{
  return strcmp (key, (*(const ClCommandClass *const *)item)->name);
}

const ClCommandClass *
cl_command_find (const char *name)
{
  const ClCommandClass *const *found =
      bsearch (name, commands, G_N_ELEMENTS (commands) - 1, sizeof commands[0], compare_name);

  return found != NULL ? *found : NULL;
}

static void
command_free (gpointer data)
{
  ClCommand *command = data;

  command->klass->destroy (command);
}

static ClCommand *
command_parse (ClParser *parser)
{
  const ClToken *token = cl_parser_expect_text (parser, "a command");
  const ClCommandClass *klass;
  ClCommand *command;

  if (token == NULL)
    return NULL;
  klass = cl_command_find (token->text);
  if (klass == NULL)
    {
      cl_parser_finding (parser, token, "there is no command \"%s\"; see help", token->text);
      return NULL;
    }
  command = klass->parse (parser);
  if (command == NULL)
    return NULL;
  cl_parser_expect_end (parser);
  return command;
}

GPtrArray *
cl_commands_parse (const char *text,
                   const char *source,
                   const ClLoader *loader,
                   CmFindings *findings)
{
  GPtrArray *list = g_ptr_array_new_with_free_func (command_free);
  ClParser parser = { .source = source, .findings = findings, .loader = loader };

  parser.tokens = cl_lex (text, CL_LEX_COMMANDS, source, findings);
  while (cl_parser_peek (&parser)->type != CL_TOKEN_END)
    {
      ClCommand *command;

      if (cl_parser_at_end (&parser))
        {
          cl_parser_next (&parser);
          continue;
        }
      command = command_parse (&parser);
      if (command != NULL)
        g_ptr_array_add (list, command);
      cl_parser_skip_command (&parser);
    }
  if (list->len == 0 && cm_findings_count (findings) == 0)
    cm_findings_add (findings, source, 0, 0, NULL, "no command is given; see help");
  g_array_unref (parser.tokens);
  return list;
}
