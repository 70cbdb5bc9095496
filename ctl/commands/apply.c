#include "ctl/command.h"
#include "ctl/file.h"

typedef struct
{
  ClCommand command;
  GPtrArray *changes;
  gboolean dry_run;
} Apply;

static void
apply_destroy (ClCommand *command)
{
  Apply *apply = (Apply *)command;

  g_ptr_array_unref (apply->changes);
  g_free (apply);
}

static ClCommand *
apply_parse (ClParser *parser)
{
  const ClToken *path = cl_parser_expect_text (parser, "a file, or -");
  Apply *apply;
  char *text;
  char *problem = NULL;

  if (path == NULL)
    return NULL;
  text = parser->loader->load (parser->loader, path->text, &problem);
  if (text == NULL)
    {
      cl_parser_finding (parser, path, "can't read %s: %s", path->text, problem);
      g_free (problem);
      return NULL;
    }
  apply = g_new0 (Apply, 1);
  apply->command.klass = &cl_command_apply;
  apply->changes = cl_file_parse (text, path->text, parser->findings);
  g_free (text);
  if (cl_parser_accept_word (parser, "dry"))
    {
      apply->dry_run = TRUE;
      if (!cl_parser_accept_word (parser, "run"))
        cl_parser_finding (parser, cl_parser_peek (parser), "\"run\" was expected after \"dry\"");
    }
  return &apply->command;
}

static ClResult *
apply_run (ClCommand *command, ClSession *session)
{
  Apply *apply = (Apply *)command;
  guint count = apply->changes->len;
  ClResult *result;

  if (count == 0)
    return cl_result_new (CL_DONE, "the file contains no changes");
  result = cl_session_apply (session, apply->changes, apply->dry_run);
  if (result->status == CL_DONE && apply->dry_run)
    {
      g_free (result->message);
      result->message =
          g_strdup_printf ("%u changes would be accepted; nothing was applied", count);
    }
  return result;
}

static gboolean
has_finding_at_same_field (const CmFindings *findings, const CmFinding *finding)
{
  for (guint i = 0; i < cm_findings_count (findings); i++)
    {
      if (g_strcmp0 (cm_findings_get (findings, i)->where, finding->where) == 0)
        return TRUE;
    }
  return FALSE;
}

/* TRUE when the finding concerns a field that the file sets. Other fields may be missing only
 * because of a syntax error in the file. */
static gboolean
concerns_set_field (const Apply *apply, const CmFinding *finding)
{
  for (guint i = 0; i < apply->changes->len; i++)
    {
      const ClChange *change = g_ptr_array_index (apply->changes, i);
      char *prefix = g_strdup_printf ("%s %s.", change->kind->name, change->name);
      gboolean matches = g_str_has_prefix (finding->where, prefix)
                         && cl_change_find_field (change, finding->where) != NULL;

      g_free (prefix);
      if (matches)
        return TRUE;
    }
  return FALSE;
}

/* Only the controller knows whether referenced objects exist. A dry run of the changes that could
 * be parsed reports dangling references together with the parser's findings. */
static void
apply_review (ClCommand *command, ClSession *session, CmFindings *findings)
{
  Apply *apply = (Apply *)command;
  ClResult *result;

  if (apply->changes->len == 0 || session->addresses[0] == NULL)
    return;
  result = cl_session_apply (session, apply->changes, TRUE);
  for (guint i = 0; i < cm_findings_count (&result->findings); i++)
    {
      const CmFinding *finding = cm_findings_get (&result->findings, i);

      if (finding->where != NULL && concerns_set_field (apply, finding)
          && !has_finding_at_same_field (findings, finding))
        cm_findings_add (findings, finding->source, finding->line, finding->column, finding->where,
                         "%s", finding->text);
    }
  cl_result_free (result);
}

const ClCommandClass cl_command_apply = {
  .name = "apply",
  .usage = "apply FILE [dry run]",
  .help = "Makes all changes of a file (- for standard input) in one transaction, or none.\n"
          "KIND NAME { FIELD = VALUE ... } replaces an object; remove KIND NAME removes it.\n",
  .parse = apply_parse,
  .run = apply_run,
  .review = apply_review,
  .destroy = apply_destroy,
};
