#include "common/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"

#define VARIABLE_PREFIX "ALDERTURN_"

/* Read by the log module and accepted by every program; not a setting. */
#define VARIABLE_INVARIANTS "ALDERTURN_INVARIANTS"

static char *
setting_variable (const CmSetting *setting)
{
  char *upper = g_ascii_strup (setting->name, -1);
  char *variable;

  g_strdelimit (upper, "-", '_');
  variable = g_strconcat (VARIABLE_PREFIX, upper, NULL);
  g_free (upper);
  return variable;
}

gboolean
cm_address_parse (const char *address, char **host, guint16 *port)
{
  const char *colon = strrchr (address, ':');
  char *name;
  char *end;
  gulong number;
  unsigned char scratch[sizeof (struct in6_addr)];

  if (colon == NULL || colon == address || colon[1] == '\0')
    return FALSE;
  number = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || number == 0 || number > G_MAXUINT16)
    return FALSE;
  name = g_strndup (address, (gsize)(colon - address));
  if (name[0] == '[' && name[strlen (name) - 1] == ']')
    {
      memmove (name, name + 1, strlen (name));
      name[strlen (name) - 1] = '\0';
    }
  if (inet_pton (AF_INET, name, scratch) != 1 && inet_pton (AF_INET6, name, scratch) != 1)
    {
      g_free (name);
      return FALSE;
    }
  *port = (guint16)number;
  if (host != NULL)
    *host = name;
  else
    g_free (name);
  return TRUE;
}

static void
store_integer (const CmSetting *setting,
               const char *text,
               gint64 *field,
               const char *source,
               const char *where,
               CmFindings *findings)
{
  char *end;
  gint64 number;

  errno = 0;
  number = g_ascii_strtoll (text, &end, 10);
  if (errno != 0 || end == text || *end != '\0')
    cm_findings_add (findings, source, 0, 0, where, "\"%s\" is not a whole number", text);
  else if ((double)number < setting->min || (double)number > setting->max)
    cm_findings_add (findings, source, 0, 0, where, "%s is not between %.0f and %.0f", text,
                     setting->min, setting->max);
  else
    *field = number;
}

static void
store_double (const CmSetting *setting,
              const char *text,
              double *field,
              const char *source,
              const char *where,
              CmFindings *findings)
{
  char *end;
  double number = g_ascii_strtod (text, &end);

  if (end == text || *end != '\0')
    cm_findings_add (findings, source, 0, 0, where, "\"%s\" is not a number", text);
  else if (number < setting->min || number > setting->max)
    cm_findings_add (findings, source, 0, 0, where, "%s is not between %g and %g", text,
                     setting->min, setting->max);
  else
    *field = number;
}

static void
store_boolean (const char *text,
               gboolean *field,
               const char *source,
               const char *where,
               CmFindings *findings)
{
  if (strcmp (text, "true") == 0)
    *field = TRUE;
  else if (strcmp (text, "false") == 0)
    *field = FALSE;
  else
    cm_findings_add (findings, source, 0, 0, where, "\"%s\" is neither true nor false", text);
}

static void
store_string (const CmSetting *setting,
              const char *text,
              char **field,
              const char *source,
              const char *where,
              CmFindings *findings)
{
  guint16 port;

  if (setting->type == CM_SETTING_ADDRESS && !cm_address_parse (text, NULL, &port))
    {
      cm_findings_add (findings, source, 0, 0, where, "\"%s\" is not of the form IP:PORT", text);
      return;
    }
  g_free (*field);
  *field = g_strdup (text);
}

static void
store_value (const CmSetting *setting,
             const char *text,
             gpointer values,
             const char *source,
             const char *where,
             CmFindings *findings)
{
  gpointer field = (char *)values + setting->offset;

  switch (setting->type)
    {
    case CM_SETTING_STRING:
    case CM_SETTING_ADDRESS:
      store_string (setting, text, field, source, where, findings);
      break;
    case CM_SETTING_INTEGER:
      store_integer (setting, text, field, source, where, findings);
      break;
    case CM_SETTING_DOUBLE:
      store_double (setting, text, field, source, where, findings);
      break;
    case CM_SETTING_BOOLEAN:
      store_boolean (text, field, source, where, findings);
      break;
    }
}

typedef struct
{
  char *text;     /* value of the flag; NULL if not given */
  gboolean given; /* for flags without a value */
} FlagValue;

/* The option parser is set to leave unknown flags in argv, so that all of them are reported, not
 * only the first. */
static void
collect_unknown_flags (char **argv, char ***positional, CmFindings *findings)
{
  GPtrArray *arguments = g_ptr_array_new ();
  gboolean flags = TRUE;

  for (guint i = 1; argv[i] != NULL; i++)
    {
      if (flags && strcmp (argv[i], "--") == 0)
        flags = FALSE;
      else if (flags && argv[i][0] == '-' && argv[i][1] != '\0')
        cm_findings_add (findings, "flag", 0, 0, argv[i], "there is no such flag");
      else if (positional != NULL)
        g_ptr_array_add (arguments, g_strdup (argv[i]));
      else
        cm_findings_add (findings, "flag", 0, 0, argv[i], "an argument is not expected here");
    }
  g_ptr_array_add (arguments, NULL);
  if (positional != NULL)
    *positional = (char **)g_ptr_array_free (arguments, FALSE);
  else
    g_ptr_array_free (arguments, TRUE);
}

static void
collect_unknown_variables (const CmSetting *table, CmFindings *findings)
{
  char **names = g_listenv ();

  for (guint i = 0; names[i] != NULL; i++)
    {
      gboolean known = strcmp (names[i], VARIABLE_INVARIANTS) == 0;

      if (!g_str_has_prefix (names[i], VARIABLE_PREFIX))
        continue;
      for (const CmSetting *s = table; s->name != NULL && !known; s++)
        {
          char *variable = setting_variable (s);

          known = strcmp (variable, names[i]) == 0;
          g_free (variable);
        }
      if (!known)
        cm_findings_add (findings, "environment", 0, 0, names[i], "there is no such setting");
    }
  g_strfreev (names);
}

/* The text of a setting in --help; free with g_free. */
static char *
setting_description (const CmSetting *setting)
{
  if (setting->type == CM_SETTING_BOOLEAN || setting->fallback == NULL)
    return g_strdup (setting->help);
  return g_strdup_printf ("%s (default %s)", setting->help, setting->fallback);
}

/* `descriptions` receives strings that the context refers to, so it must outlive the context. */
static GOptionContext *
build_context (const CmSetting *table,
               const char *summary,
               GPtrArray *descriptions,
               FlagValue *flags,
               gboolean *check,
               gboolean *version)
{
  GOptionContext *context = g_option_context_new (NULL);
  GArray *entries = g_array_new (TRUE, TRUE, sizeof (GOptionEntry));
  GOptionEntry check_entry = {
    "check", 0, 0, G_OPTION_ARG_NONE, check, "Check the settings and exit", NULL
  };
  GOptionEntry version_entry = {
    "version", 0, 0, G_OPTION_ARG_NONE, version, "Print the version and exit", NULL
  };

  for (guint i = 0; table[i].name != NULL; i++)
    {
      gboolean bare = table[i].type == CM_SETTING_BOOLEAN;
      GOptionEntry entry = {
        .long_name = table[i].name,
        .arg = bare ? G_OPTION_ARG_NONE : G_OPTION_ARG_STRING,
        .arg_data = bare ? (gpointer)&flags[i].given : (gpointer)&flags[i].text,
        .arg_description = table[i].argument,
      };

      entry.description = setting_description (&table[i]);
      g_ptr_array_add (descriptions, (gpointer)entry.description);
      g_array_append_val (entries, entry);
    }
  g_array_append_val (entries, check_entry);
  g_array_append_val (entries, version_entry);
  g_option_context_add_main_entries (context, (GOptionEntry *)entries->data, NULL);
  g_option_context_set_summary (context, summary);
  g_option_context_set_description (
      context, "Each flag has an environment variable: --some-name is ALDERTURN_SOME_NAME.\n");
  g_option_context_set_ignore_unknown_options (context, TRUE);
  g_array_free (entries, TRUE);
  return context;
}

static void
resolve_setting (const CmSetting *setting,
                 const FlagValue *flag,
                 gpointer values,
                 CmFindings *findings)
{
  char *variable = setting_variable (setting);
  char *name = g_strconcat ("--", setting->name, NULL);
  const char *from_environment = g_getenv (variable);

  if (setting->fallback != NULL)
    store_value (setting, setting->fallback, values, "default", name, findings);
  if (flag->text != NULL)
    store_value (setting, flag->text, values, "flag", name, findings);
  else if (flag->given)
    store_value (setting, "true", values, "flag", name, findings);
  else if (from_environment != NULL)
    store_value (setting, from_environment, values, "environment", variable, findings);
  else if (setting->fallback == NULL && !setting->optional)
    cm_findings_add (findings, "flag", 0, 0, name, "is required (or %s in the environment)",
                     variable);
  g_free (name);
  g_free (variable);
}

CmSettingsAction
cm_settings_parse (const CmSetting *table,
                   const char *summary,
                   int argc,
                   char **argv,
                   gpointer values,
                   char ***positional,
                   CmFindings *findings)
{
  guint count = 0;
  FlagValue *flags;
  gboolean check = FALSE;
  gboolean version = FALSE;
  GOptionContext *context;
  GError *error = NULL;
  char **args = g_new0 (char *, (gsize)argc + 1);
  GPtrArray *descriptions = g_ptr_array_new_with_free_func (g_free);

  while (table[count].name != NULL)
    count++;
  flags = g_new0 (FlagValue, count + 1);
  for (int i = 0; i < argc; i++)
    args[i] = argv[i];
  context = build_context (table, summary, descriptions, flags, &check, &version);
  if (!g_option_context_parse (context, &argc, &args, &error))
    cm_findings_add (findings, "flag", 0, 0, NULL, "%s", error->message);
  g_clear_error (&error);
  if (!version)
    {
      for (guint i = 0; i < count; i++)
        resolve_setting (&table[i], &flags[i], values, findings);
      collect_unknown_variables (table, findings);
      collect_unknown_flags (args, positional, findings);
    }
  else
    printf ("%s %s\n", g_get_prgname () != NULL ? g_get_prgname () : "alderturn",
            ALDERTURN_VERSION);
  g_option_context_free (context);
  g_ptr_array_unref (descriptions);
  for (guint i = 0; i < count; i++)
    g_free (flags[i].text);
  g_free (flags);
  g_free (args);
  if (version)
    return CM_SETTINGS_EXIT;
  return check ? CM_SETTINGS_CHECK : CM_SETTINGS_RUN;
}

void
cm_settings_clear (const CmSetting *table, gpointer values)
{
  for (const CmSetting *s = table; s->name != NULL; s++)
    {
      if (s->type == CM_SETTING_STRING || s->type == CM_SETTING_ADDRESS)
        g_clear_pointer ((char **)((char *)values + s->offset), g_free);
    }
}
