#include "ctl/lexer.h"

#include <string.h>

typedef struct
{
  const char *cursor;
  guint line;
  guint column;
  ClLexMode mode;
  const char *source;
  CmFindings *findings;
  GArray *tokens;
} Lexer;

static void
token_clear (gpointer data)
{
  g_free (((ClToken *)data)->text);
}

static void
lexer_advance (Lexer *lexer)
{
  if (*lexer->cursor == '\n')
    {
      lexer->line++;
      lexer->column = 1;
    }
  else
    lexer->column++;
  lexer->cursor = g_utf8_next_char (lexer->cursor);
}

/* Takes ownership of `text`. */
static void
lexer_push (Lexer *lexer, ClTokenType type, char *text, guint line, guint column)
{
  ClToken token = { .type = type, .text = text, .line = line, .column = column };

  g_array_append_val (lexer->tokens, token);
}

static void
lexer_skip_comment (Lexer *lexer)
{
  while (*lexer->cursor != '\0' && *lexer->cursor != '\n')
    lexer_advance (lexer);
}

static void
lexer_escape (Lexer *lexer, GString *text)
{
  static const char escape_letters[] = "nt\\\"'";
  static const char escape_values[] = "\n\t\\\"'";
  const char *found;

  if (*lexer->cursor == '\0' || *lexer->cursor == '\n')
    return;
  found = strchr (escape_letters, *lexer->cursor);
  if (found != NULL)
    g_string_append_c (text, escape_values[found - escape_letters]);
  else
    cm_findings_add (lexer->findings, lexer->source, lexer->line, lexer->column, NULL,
                     "there is no such escape; known are \\n \\t \\\\ \\\" \\'");
  lexer_advance (lexer);
}

static void
lexer_string (Lexer *lexer)
{
  char quote = *lexer->cursor;
  guint line = lexer->line;
  guint column = lexer->column;
  GString *text = g_string_new (NULL);

  lexer_advance (lexer);
  while (*lexer->cursor != quote && *lexer->cursor != '\0' && *lexer->cursor != '\n')
    {
      const char *start = lexer->cursor;

      lexer_advance (lexer);
      if (*start == '\\')
        lexer_escape (lexer, text);
      else
        g_string_append_len (text, start, lexer->cursor - start);
    }
  if (*lexer->cursor == quote)
    lexer_advance (lexer);
  else
    cm_findings_add (lexer->findings, lexer->source, line, column, NULL,
                     "the quote is not closed on its line");
  lexer_push (lexer, CL_TOKEN_STRING, g_string_free (text, FALSE), line, column);
}

static gboolean
is_word_character (const char *cursor)
{
  return (guchar)*cursor > ' ' && *cursor != 0x7f && strchr ("\"'#=!<>{}[](),;", *cursor) == NULL;
}

static void
lexer_word (Lexer *lexer)
{
  const char *start = lexer->cursor;
  guint line = lexer->line;
  guint column = lexer->column;

  while (*lexer->cursor != '\0' && is_word_character (lexer->cursor))
    lexer_advance (lexer);
  lexer_push (lexer, CL_TOKEN_WORD, g_strndup (start, (gsize)(lexer->cursor - start)), line,
              column);
}

static gboolean
lexer_symbol (Lexer *lexer)
{
  static const char *const symbols[] = { "!=", "<=", ">=", "=", "<", ">", "~", "{",
                                         "}",  "[",  "]",  "(", ")", ",", ";" };

  for (guint i = 0; i < G_N_ELEMENTS (symbols); i++)
    {
      if (!g_str_has_prefix (lexer->cursor, symbols[i]))
        continue;
      lexer_push (lexer, CL_TOKEN_SYMBOL, g_strdup (symbols[i]), lexer->line, lexer->column);
      for (gsize k = strlen (symbols[i]); k > 0; k--)
        lexer_advance (lexer);
      return TRUE;
    }
  return FALSE;
}

static void
lexer_step (Lexer *lexer)
{
  char c = *lexer->cursor;

  if (c == '\n' && lexer->mode == CL_LEX_COMMANDS)
    lexer_push (lexer, CL_TOKEN_NEWLINE, g_strdup ("\n"), lexer->line, lexer->column);
  if (g_ascii_isspace (c))
    lexer_advance (lexer);
  else if (c == '#')
    lexer_skip_comment (lexer);
  else if (c == '"' || c == '\'')
    lexer_string (lexer);
  else if (lexer_symbol (lexer))
    return;
  else if (is_word_character (lexer->cursor))
    lexer_word (lexer);
  else
    {
      cm_findings_add (lexer->findings, lexer->source, lexer->line, lexer->column, NULL,
                       "a character that means nothing here (0x%02x)", (guchar)c);
      lexer_advance (lexer);
    }
}

GArray *
cl_lex (const char *text, ClLexMode mode, const char *source, CmFindings *findings)
{
  Lexer lexer = { .line = 1, .column = 1, .mode = mode, .source = source, .findings = findings };
  char *valid = g_utf8_make_valid (text, -1);

  lexer.tokens = g_array_new (FALSE, FALSE, sizeof (ClToken));
  g_array_set_clear_func (lexer.tokens, token_clear);
  if (!g_utf8_validate (text, -1, NULL))
    cm_findings_add (findings, source, 0, 0, NULL, "is not UTF-8 throughout");
  lexer.cursor = valid;
  while (*lexer.cursor != '\0')
    lexer_step (&lexer);
  lexer_push (&lexer, CL_TOKEN_END, g_strdup (""), lexer.line, lexer.column);
  g_free (valid);
  return lexer.tokens;
}
