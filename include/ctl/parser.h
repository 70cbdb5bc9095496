#pragma once

/** A parser's position in a list of tokens, and the helpers that all grammars share. */

#include "ctl/lexer.h"

/** Loads the text of a file; replaced in tests by an implementation without files. */
typedef struct ClLoader ClLoader;

struct ClLoader
{
  /** Returns the file's text, or NULL and the cause in `*problem`; free both with g_free. */
  char *(*load) (const ClLoader *loader, const char *path, char **problem);
};

typedef struct
{
  const char *source; /**< name of the file or command line, for findings */
  GArray *tokens;
  guint position;
  CmFindings *findings;
  const ClLoader *loader;
} ClParser;

/** The next token, without consuming it; the last one is of type CL_TOKEN_END. */
const ClToken *cl_parser_peek (const ClParser *parser);

/** Consumes and returns the next token; CL_TOKEN_END is returned but never consumed. */
const ClToken *cl_parser_next (ClParser *parser);

/** Consumes the next token if it is this symbol or unquoted word; FALSE if it isn't. */
gboolean cl_parser_accept_symbol (ClParser *parser, const char *symbol);
gboolean cl_parser_accept_word (ClParser *parser, const char *word);

/** TRUE when the next token is this symbol or unquoted word. */
gboolean cl_parser_next_is_symbol (const ClParser *parser, const char *symbol);
gboolean cl_parser_next_is_word (const ClParser *parser, const char *word);

/**
 * Consumes and returns a word or quoted text. Otherwise adds a finding, in which `expected`
 * describes the missing element, and returns NULL.
 */
const ClToken *cl_parser_expect_text (ClParser *parser, const char *expected);

/** Consumes the symbol. Otherwise adds a finding and returns FALSE. */
gboolean cl_parser_expect_symbol (ClParser *parser, const char *symbol);

/** TRUE when the next token is a line end, ";" or the end of the text. */
gboolean cl_parser_at_end (const ClParser *parser);

/** Adds a finding if the command doesn't end here, and skips the rest of it. */
void cl_parser_expect_end (ClParser *parser);

/** Consumes all tokens up to the end of the command. */
void cl_parser_skip_command (ClParser *parser);

/** Adds a finding at the location of `token`. */
void cl_parser_finding (ClParser *parser, const ClToken *token, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/** Parses "revision N" with N from 0 to G_MAXINT64. Otherwise adds a finding and returns FALSE. */
gboolean cl_parser_expect_revision (ClParser *parser, guint64 *revision);
