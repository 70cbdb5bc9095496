#include "ctl/parser.h"

#include <stdarg.h>
#include <string.h>

const ClToken *
cl_parser_peek (const ClParser *parser)
{
  return &g_array_index (parser->tokens, ClToken, parser->position);
}

const ClToken *
cl_parser_next (ClParser *parser)
{
  const ClToken *token = cl_parser_peek (parser);

  if (token->type != CL_TOKEN_END)
    parser->position++;
  return token;
}

static gboolean
next_is (const ClParser *parser, ClTokenType type, const char *text)
{
  const ClToken *token = cl_parser_peek (parser);

  return token->type == type && strcmp (token->text, text) == 0;
}

gboolean
cl_parser_next_is_symbol (const ClParser *parser, const char *symbol)
{
  return next_is (parser, CL_TOKEN_SYMBOL, symbol);
}

gboolean
cl_parser_next_is_word (const ClParser *parser, const char *word)
{
  return next_is (parser, CL_TOKEN_WORD, word);
}

gboolean
cl_parser_accept_symbol (ClParser *parser, const char *symbol)
{
  if (!cl_parser_next_is_symbol (parser, symbol))
    return FALSE;
  cl_parser_next (parser);
  return TRUE;
}

gboolean
cl_parser_accept_word (ClParser *parser, const char *word)
{
  if (!cl_parser_next_is_word (parser, word))
    return FALSE;
  cl_parser_next (parser);
  return TRUE;
}

static void
finding_expected (ClParser *parser, const char *expected)
{
  const ClToken *token = cl_parser_peek (parser);

  if (token->type == CL_TOKEN_END || token->type == CL_TOKEN_NEWLINE)
    cl_parser_finding (parser, token, "%s is missing", expected);
  else
    cl_parser_finding (parser, token, "%s was expected before \"%s\"", expected, token->text);
}

const ClToken *
cl_parser_expect_text (ClParser *parser, const char *expected)
{
  const ClToken *token = cl_parser_peek (parser);

  if (token->type == CL_TOKEN_WORD || token->type == CL_TOKEN_STRING)
    return cl_parser_next (parser);
  finding_expected (parser, expected);
  return NULL;
}

gboolean
cl_parser_expect_symbol (ClParser *parser, const char *symbol)
{
  char expected[8];

  if (cl_parser_accept_symbol (parser, symbol))
    return TRUE;
  g_snprintf (expected, sizeof expected, "\"%s\"", symbol);
  finding_expected (parser, expected);
  return FALSE;
}

gboolean
cl_parser_at_end (const ClParser *parser)
{
  const ClToken *token = cl_parser_peek (parser);

  return token->type == CL_TOKEN_END || token->type == CL_TOKEN_NEWLINE
         || cl_parser_next_is_symbol (parser, ";");
}

void
cl_parser_expect_end (ClParser *parser)
{
  if (!cl_parser_at_end (parser))
    finding_expected (parser, "the end of the command");
  cl_parser_skip_command (parser);
}

void
cl_parser_skip_command (ClParser *parser)
{
  while (!cl_parser_at_end (parser))
    cl_parser_next (parser);
}

void
cl_parser_finding (ClParser *parser, const ClToken *token, const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  cm_findings_add (parser->findings, parser->source, token->line, token->column, NULL, "%s", text);
  g_free (text);
}

gboolean
cl_parser_expect_revision (ClParser *parser, guint64 *revision)
{
  const ClToken *token;

  if (!cl_parser_accept_word (parser, "revision"))
    {
      finding_expected (parser, "\"revision\"");
      return FALSE;
    }
  token = cl_parser_expect_text (parser, "a revision");
  if (token == NULL)
    return FALSE;
  if (!g_ascii_string_to_unsigned (token->text, 10, 0, G_MAXINT64, revision, NULL))
    {
      cl_parser_finding (parser, token, "\"%s\" is not a revision", token->text);
      return FALSE;
    }
  return TRUE;
}
