/** alderturnctl: shows the state of the system and applies changes, for operators and scripts. */

#include <errno.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "common/settings.h"
#include "ctl/command.h"
#include "ctl/output.h"

/* Limits the input read from a file without an end, such as a device. */
#define MAX_INPUT_BYTES ((gsize)16 * 1024 * 1024)

typedef struct
{
  char *controllers;
  char *token;
  char *by;
  char *operation;
  gboolean json;
  gint64 timeout_ms;
  gint64 call_timeout_ms;
} Settings;

static const CmSetting setting_table[] = {
  { .name = "controller-address",
    .type = CM_SETTING_STRING,
    .offset = offsetof (Settings, controllers),
    .optional = TRUE,
    .argument = "IP:PORT[,IP:PORT...]",
    .help = "Controllers' addresses for operators; they are tried in this order" },
  { .name = "operator-token",
    .type = CM_SETTING_STRING,
    .offset = offsetof (Settings, token),
    .optional = TRUE,
    .argument = "TOKEN",
    .help = "What operators authenticate with" },
  { .name = "json",
    .type = CM_SETTING_BOOLEAN,
    .offset = offsetof (Settings, json),
    .fallback = "false",
    .help = "Print one JSON object for each command" },
  { .name = "by",
    .type = CM_SETTING_STRING,
    .offset = offsetof (Settings, by),
    .optional = TRUE,
    .argument = "NAME",
    .help = "Who makes the changes, kept in the history (default: the user's name)" },
  { .name = "operation",
    .type = CM_SETTING_STRING,
    .offset = offsetof (Settings, operation),
    .optional = TRUE,
    .argument = "ID",
    .help = "Id of the change; the same id again never applies it twice (default: random)" },
  { .name = "timeout-ms",
    .type = CM_SETTING_INTEGER,
    .offset = offsetof (Settings, timeout_ms),
    .fallback = "20000",
    .min = 1,
    .max = 3600000,
    .argument = "MS",
    .help = "Time limit of a change with its retries, in milliseconds" },
  { .name = "call-timeout-ms",
    .type = CM_SETTING_INTEGER,
    .offset = offsetof (Settings, call_timeout_ms),
    .fallback = "7000",
    .min = 1,
    .max = 3600000,
    .argument = "MS",
    .help = "Time limit of one call, in milliseconds" },
  { .name = NULL },
};

typedef struct
{
  ClLoader loader;
  gboolean *stdin_consumed;
} FileLoader;

static char *
stream_read (FILE *stream, char **problem)
{
  GString *text = g_string_new (NULL);
  char buffer[4096];
  gsize n_read;

  while ((n_read = fread (buffer, 1, sizeof buffer, stream)) > 0 && text->len <= MAX_INPUT_BYTES)
    g_string_append_len (text, buffer, (gssize)n_read);
  if (ferror (stream))
    *problem = g_strdup (g_strerror (errno));
  else if (text->len > MAX_INPUT_BYTES)
    *problem = g_strdup_printf ("it is longer than %" G_GSIZE_FORMAT " bytes", MAX_INPUT_BYTES);
  else if (strlen (text->str) != text->len)
    *problem = g_strdup ("it has NUL characters");
  return g_string_free (text, *problem != NULL);
}

static char *
file_load (const ClLoader *loader, const char *path, char **problem)
{
  const FileLoader *self = (const FileLoader *)loader;
  FILE *stream;
  char *text;

  if (strcmp (path, "-") == 0)
    {
      if (*self->stdin_consumed)
        {
          *problem = g_strdup ("standard input has been read already");
          return NULL;
        }
      *self->stdin_consumed = TRUE;
      return stream_read (stdin, problem);
    }
  stream = fopen (path, "re");
  if (stream == NULL)
    {
      *problem = g_strdup (g_strerror (errno));
      return NULL;
    }
  text = stream_read (stream, problem);
  fclose (stream);
  return text;
}

static void
print_result (const char *command, const ClResult *result, gboolean json)
{
  char *text = json ? cl_output_json (command, result) : cl_output_text (result);
  char *problems = json ? g_strdup ("") : cl_output_problems (result);

  fputs (text, stdout);
  if (json)
    fputc ('\n', stdout);
  fflush (stdout);
  fputs (problems, stderr);
  g_free (text);
  g_free (problems);
}

static gint
compare_findings (gconstpointer a, gconstpointer b)
{
  const CmFinding *first = *(const CmFinding *const *)a;
  const CmFinding *second = *(const CmFinding *const *)b;
  int order = g_strcmp0 (first->source, second->source);

  if (order == 0)
    order = first->line < second->line ? -1 : first->line > second->line;
  if (order == 0)
    order = first->column < second->column ? -1 : first->column > second->column;
  return order;
}

static int
print_findings (CmFindings *findings, gboolean json)
{
  ClResult *result = cl_result_new (CL_BAD, "nothing was done");

  cm_findings_clear (&result->findings);
  result->findings.items = g_ptr_array_ref (findings->items);
  g_ptr_array_sort (result->findings.items, compare_findings);
  print_result (NULL, result, json);
  cl_result_free (result);
  return CL_BAD;
}

static void
review_commands (const GPtrArray *commands, ClSession *session, CmFindings *findings)
{
  for (guint i = 0; i < commands->len; i++)
    {
      ClCommand *command = g_ptr_array_index (commands, i);

      if (command->klass->review != NULL)
        command->klass->review (command, session, findings);
    }
}

/* Stops at the first command that doesn't succeed, as the following ones may depend on it. */
static int
run_commands (const GPtrArray *commands, ClSession *session, gboolean json)
{
  int status = CL_DONE;

  for (guint i = 0; i < commands->len && status == CL_DONE; i++)
    {
      ClCommand *command = g_ptr_array_index (commands, i);
      ClResult *result = command->klass->run (command, session);

      print_result (command->klass->name, result, json);
      status = (int)result->status;
      cl_result_free (result);
    }
  return status;
}

static char **
controllers_split (const char *list, CmFindings *findings)
{
  char **addresses = g_strsplit (list != NULL ? list : "", ",", -1);
  guint16 port;

  for (guint i = 0; addresses[i] != NULL; i++)
    {
      if (!cm_address_parse (addresses[i], NULL, &port))
        cm_findings_add (findings, "flag", 0, 0, "--controller-address",
                         "\"%s\" is not of the form IP:PORT", addresses[i]);
    }
  return addresses;
}

static int
run (const Settings *settings, char **arguments, gboolean check, CmFindings *findings)
{
  gboolean from_stdin =
      arguments[0] != NULL && arguments[1] == NULL && strcmp (arguments[0], "-") == 0;
  gboolean stdin_consumed = from_stdin;
  FileLoader loader = { .loader.load = file_load, .stdin_consumed = &stdin_consumed };
  ClSession session = {
    .token = settings->token,
    .by = settings->by != NULL ? settings->by : g_get_user_name (),
    .operation = settings->operation,
    .timeout = settings->timeout_ms * KNL_MSEC,
    .call_timeout = settings->call_timeout_ms * KNL_MSEC,
  };
  char *problem = NULL;
  char *text = from_stdin ? stream_read (stdin, &problem) : g_strjoinv (" ", arguments);
  GPtrArray *commands;
  int status;

  if (text == NULL)
    {
      cm_findings_add (findings, "standard input", 0, 0, NULL, "%s", problem);
      g_free (problem);
      return print_findings (findings, settings->json);
    }
  session.addresses = controllers_split (settings->controllers, findings);
  session.transport = cl_http_new ();
  commands = cl_commands_parse (text, from_stdin ? "stdin" : "command", &loader.loader, findings);
  if (cm_findings_count (findings) > 0)
    {
      if (!check)
        review_commands (commands, &session, findings);
      status = print_findings (findings, settings->json);
    }
  else if (check)
    status = CL_DONE;
  else
    status = run_commands (commands, &session, settings->json);
  g_ptr_array_unref (commands);
  session.transport->klass->destroy (session.transport);
  g_strfreev (session.addresses);
  g_free (text);
  return status;
}

int
main (int argc, char **argv)
{
  Settings settings = { 0 };
  char **arguments = NULL;
  CmFindings findings;
  CmSettingsAction action;
  int status = CL_DONE;

  /* Otherwise writing to a connection that the controller has closed would kill the program without
   * a message. */
  signal (SIGPIPE, SIG_IGN);
  cm_findings_init (&findings);
  action =
      cm_settings_parse (setting_table,
                         "COMMAND [; COMMAND ...], or - to read commands, one a line.\n"
                         "Commands: apply, drain, help, remove, set, show, undrain, wait, why.",
                         argc, argv, &settings, &arguments, &findings);
  if (cm_findings_count (&findings) > 0)
    status = print_findings (&findings, settings.json);
  else if (action == CM_SETTINGS_RUN || (action == CM_SETTINGS_CHECK && arguments[0] != NULL))
    status = run (&settings, arguments, action == CM_SETTINGS_CHECK, &findings);
  cm_settings_clear (setting_table, &settings);
  cm_findings_clear (&findings);
  g_strfreev (arguments);
  return status;
}
