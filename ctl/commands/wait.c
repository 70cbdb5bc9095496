#include "ctl/command.h"
#include "ctl/value.h"

#define DEFAULT_SECONDS 30.0
#define MAX_SECONDS     86400.0

/* Longest time that one request waits at a controller. After it the request is repeated, at another
 * controller if this one fails. */
#define POLL_TIMEOUT  (2 * KNL_SEC)
#define POLL_INTERVAL (200 * KNL_MSEC)

typedef struct
{
  ClCommand command;
  guint64 revision;
  double seconds;
} Wait;

static void
wait_destroy (ClCommand *command)
{
  g_free (command);
}

static void
seconds_parse (ClParser *parser, double *seconds)
{
  const ClToken *token = cl_parser_expect_text (parser, "a number of seconds");

  if (token != NULL
      && (!cl_number_parse (token->text, seconds) || *seconds < 0 || *seconds > MAX_SECONDS))
    cl_parser_finding (parser, token, "\"%s\" is not a number of seconds from 0 to %.0f",
                       token->text, MAX_SECONDS);
}

static ClCommand *
wait_parse (ClParser *parser)
{
  guint findings_before = cm_findings_count (parser->findings);
  Wait *wait = g_new0 (Wait, 1);

  wait->command.klass = &cl_command_wait;
  wait->seconds = DEFAULT_SECONDS;
  if (cl_parser_expect_revision (parser, &wait->revision) && cl_parser_accept_word (parser, "for"))
    seconds_parse (parser, &wait->seconds);
  if (cm_findings_count (parser->findings) == findings_before)
    return &wait->command;
  g_free (wait);
  return NULL;
}

static ClResult *
result_lagging (const Wait *wait, json_t *answer)
{
  static const char *const columns[] = { "instance", "revision", NULL };
  ClResult *result = cl_result_new (
      CL_NOT_IN_FORCE, "revision %" G_GUINT64_FORMAT " is not in force yet", wait->revision);
  json_t *lagging = json_object_get (answer, "lagging");

  result->columns = g_strdupv ((char **)columns);
  result->rows = json_is_array (lagging) ? json_incref (lagging) : json_array ();
  return result;
}

static ClResult *
wait_poll (const Wait *wait, ClSession *session, KnlTime time)
{
  char *path =
      g_strdup_printf ("/v1/revision?wait=%" G_GUINT64_FORMAT "&timeout_ms=%" G_GINT64_FORMAT,
                       wait->revision, time / KNL_MSEC);
  ClResult *result = NULL;
  json_t *answer = cl_session_get (session, path, time, &result);

  g_free (path);
  if (answer == NULL)
    return result;
  if (json_is_true (json_object_get (answer, "in_force")))
    result = cl_result_new (CL_DONE, "revision %" G_GUINT64_FORMAT " is in force everywhere",
                            wait->revision);
  else
    result = result_lagging (wait, answer);
  json_decref (answer);
  return result;
}

static ClResult *
wait_run (ClCommand *command, ClSession *session)
{
  const Wait *wait = (const Wait *)command;
  ClTransport *transport = session->transport;
  KnlTime deadline = transport->klass->now (transport) + (KnlTime)(wait->seconds * (double)KNL_SEC);
  ClResult *result = NULL;

  for (;;)
    {
      KnlTime left = deadline - transport->klass->now (transport);

      cl_result_free (result);
      result = wait_poll (wait, session, CLAMP (left, 0, POLL_TIMEOUT));
      left = deadline - transport->klass->now (transport);
      if (result->status == CL_DONE || result->status == CL_REFUSED || result->status == CL_BAD
          || left <= 0)
        return result;
      /* Avoids a tight loop when controllers answer or fail at once. */
      transport->klass->pause (transport, MIN (left, POLL_INTERVAL));
    }
}

const ClCommandClass cl_command_wait = {
  .name = "wait",
  .usage = "wait revision N [for SECONDS]",
  .help = "Waits until a revision of the configuration is in force everywhere, 30 seconds unless\n"
          "said otherwise; else shows the instances that lag.\n",
  .parse = wait_parse,
  .run = wait_run,
  .destroy = wait_destroy,
};
