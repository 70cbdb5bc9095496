#include "ctl/command.h"

#include <string.h>

#include "coord/schema.h"

typedef struct
{
  ClCommand command;
  const ClCommandClass *command_class; /* command to explain; or NULL */
  const CoKind *kind;                  /* kind to explain; or NULL */
} Help;

static void
help_destroy (ClCommand *command)
{
  g_free (command);
}

static ClCommand *
help_parse (ClParser *parser)
{
  const ClCommandClass *command_class = NULL;
  const CoKind *kind = NULL;
  Help *help;

  if (!cl_parser_at_end (parser))
    {
      const ClToken *name = cl_parser_expect_text (parser, "a command or kind");

      if (name == NULL)
        return NULL;
      command_class = cl_command_find (name->text);
      kind = co_schema_kind (name->text);
      if (command_class == NULL && kind == NULL)
        {
          cl_parser_finding (parser, name, "there is no command or kind \"%s\"; see help",
                             name->text);
          return NULL;
        }
    }
  help = g_new0 (Help, 1);
  help->command.klass = &cl_command_help;
  help->command_class = command_class;
  help->kind = kind;
  return &help->command;
}

static void
append_bounds (GString *text, const CoField *field)
{
  static const char *const types[] = {
    [CO_FIELD_STRING] = "text",   [CO_FIELD_INTEGER] = "whole number",
    [CO_FIELD_DOUBLE] = "number", [CO_FIELD_BOOLEAN] = "true or false",
    [CO_FIELD_NAMES] = "list",
  };

  g_string_append (text, types[field->type]);
  if (field->max > field->min)
    g_string_append_printf (text, " from %g to %g", field->min, field->max);
  for (guint i = 0; field->values != NULL && field->values[i] != NULL; i++)
    g_string_append_printf (text, "%s%s", i > 0 ? " or " : " ", field->values[i]);
  if (field->refers_to != NULL)
    g_string_append_printf (text, ", names %s", field->refers_to);
}

static void
append_field (GString *text, const CoField *field)
{
  g_string_append_printf (text, "  %s (", field->name);
  append_bounds (text, field);
  if (field->required)
    g_string_append (text, ", required");
  if (field->fallback != NULL)
    {
      char *plain = g_strdup (field->fallback);

      g_strdelimit (plain, "\"", ' ');
      g_string_append_printf (text, ", default %s",
                              strcmp (plain, "[]") == 0 ? "none" : g_strstrip (plain));
      g_free (plain);
    }
  g_string_append_printf (text, ")\n      %s\n", field->help);
}

static void
append_kind (GString *text, const CoKind *kind)
{
  g_string_append_printf (text, "%s: %s\n", kind->name, kind->help);
  for (const CoField *field = kind->fields; field->name != NULL; field++)
    append_field (text, field);
}

static void
append_overview (GString *text)
{
  for (guint i = 0; cl_commands ()[i] != NULL; i++)
    g_string_append_printf (text, "%s\n", cl_commands ()[i]->usage);
  g_string_append (text, "Kinds: ");
  for (const CoKind *kind = co_schema_kinds (); kind->name != NULL; kind++)
    g_string_append_printf (text, "%s%s", kind->name, kind[1].name != NULL ? ", " : "\n");
}

static ClResult *
help_run (ClCommand *command, ClSession *session)
{
  const Help *help = (const Help *)command;
  GString *text = g_string_new (NULL);
  ClResult *result;

  if (help->command_class != NULL)
    g_string_append_printf (text, "%s\n%s", help->command_class->usage, help->command_class->help);
  if (help->kind != NULL)
    append_kind (text, help->kind);
  if (help->command_class == NULL && help->kind == NULL)
    append_overview (text);
  result = cl_result_new (CL_DONE, "%s", text->str);
  g_string_free (text, TRUE);
  return result;
}

const ClCommandClass cl_command_help = {
  .name = "help",
  .usage = "help [COMMAND or KIND]",
  .help = "Shows the syntax of all commands, one command's help, or the fields of a kind.\n",
  .parse = help_parse,
  .run = help_run,
  .destroy = help_destroy,
};
