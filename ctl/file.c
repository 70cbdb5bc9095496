#include "ctl/file.h"

#include <string.h>

/* The token `ahead` positions after the next one, or the last token. */
static const ClToken *
peek_ahead (const ClParser *parser, guint ahead)
{
  return &g_array_index (parser->tokens, ClToken,
                         MIN (parser->position + ahead, parser->tokens->len - 1));
}

static gboolean
is_symbol (const ClToken *token, const char *symbol)
{
  return token->type == CL_TOKEN_SYMBOL && strcmp (token->text, symbol) == 0;
}

static gboolean
is_text (const ClToken *token)
{
  return token->type == CL_TOKEN_WORD || token->type == CL_TOKEN_STRING;
}

/* TRUE before "KIND NAME {", or before "remove KIND" with a known kind. */
static gboolean
next_is_object (const ClParser *parser)
{
  const ClToken *first = peek_ahead (parser, 0);
  const ClToken *second = peek_ahead (parser, 1);

  if (first->type != CL_TOKEN_WORD || !is_text (second))
    return FALSE;
  if (is_symbol (peek_ahead (parser, 2), "{"))
    return TRUE;
  return strcmp (first->text, "remove") == 0 && co_schema_kind (second->text) != NULL;
}

static gboolean
next_is_field (const ClParser *parser)
{
  return is_text (peek_ahead (parser, 0)) && is_symbol (peek_ahead (parser, 1), "=");
}

static gboolean
next_is_end (const ClParser *parser)
{
  return cl_parser_peek (parser)->type == CL_TOKEN_END;
}

/* Skips to the next field after an error, so that the rest of the file is still checked. */
static void
skip_to_field (ClParser *parser)
{
  while (!next_is_end (parser) && !cl_parser_next_is_symbol (parser, "}") && !next_is_field (parser)
         && !next_is_object (parser))
    cl_parser_next (parser);
}

static void
skip_to_object (ClParser *parser)
{
  while (!next_is_end (parser) && !next_is_object (parser))
    cl_parser_next (parser);
}

static void
block_parse (ClChange *change, ClParser *parser)
{
  const ClToken *open = cl_parser_peek (parser);

  if (!cl_parser_expect_symbol (parser, "{"))
    {
      skip_to_object (parser);
      return;
    }
  while (!cl_parser_accept_symbol (parser, "}"))
    {
      if (next_is_end (parser) || next_is_object (parser))
        {
          cl_parser_finding (parser, open, "the block of %s is not closed", change->name);
          return;
        }
      if (!cl_change_parse_field (change, parser))
        skip_to_field (parser);
      else if (!cl_parser_accept_symbol (parser, ","))
        cl_parser_accept_symbol (parser, ";");
    }
}

static void
duplicate_check (const ClChange *change, const GPtrArray *changes, CmFindings *findings)
{
  for (guint i = 0; i < changes->len; i++)
    {
      const ClChange *other = g_ptr_array_index (changes, i);

      if (other->kind != change->kind || strcmp (other->name, change->name) != 0)
        continue;
      cm_findings_add (findings, change->source, change->location.line, change->location.column,
                       NULL, "%s %s stands twice, first at line %u", change->kind->name,
                       change->name, other->location.line);
      return;
    }
}

static void
object_parse (ClParser *parser, GPtrArray *changes)
{
  gboolean remove = cl_parser_accept_word (parser, "remove");
  ClChange *change = cl_change_parse (parser);

  if (change == NULL)
    {
      if (!next_is_end (parser))
        cl_parser_next (parser);
      skip_to_object (parser);
      return;
    }
  change->remove = remove;
  change->replace = !remove;
  if (!remove)
    {
      block_parse (change, parser);
      cl_change_check_required (change, parser->findings);
    }
  if (change->kind == NULL)
    {
      cl_change_free (change);
      return;
    }
  duplicate_check (change, changes, parser->findings);
  g_ptr_array_add (changes, change);
}

GPtrArray *
cl_file_parse (const char *text, const char *source, CmFindings *findings)
{
  GPtrArray *changes = g_ptr_array_new_with_free_func ((GDestroyNotify)cl_change_free);
  ClParser parser = { .source = source, .findings = findings };

  parser.tokens = cl_lex (text, CL_LEX_FILE, source, findings);
  while (!next_is_end (&parser))
    {
      object_parse (&parser, changes);
      cl_parser_accept_symbol (&parser, ";");
    }
  g_array_unref (parser.tokens);
  return changes;
}
