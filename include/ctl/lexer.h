#pragma once

/**
 * Splits commands and configuration files into tokens.
 *
 * Words may contain any character except white space, control characters,
 * quotes, "#" and the symbols = ! < > { } [ ] ( ) , ; they must not start with
 * "~". Names, addresses, globs and request ids therefore need no quotes. "#"
 * starts a comment that extends to the end of the line.
 */

#include <glib.h>

#include "common/findings.h"

typedef enum
{
  CL_TOKEN_WORD,
  CL_TOKEN_STRING, /**< was in quotes; `text` is the content without them, escapes resolved */
  CL_TOKEN_SYMBOL,
  CL_TOKEN_NEWLINE,
  CL_TOKEN_END, /**< the last token of every list */
} ClTokenType;

typedef struct
{
  ClTokenType type;
  char *text;
  guint line;   /**< from 1 */
  guint column; /**< from 1, in characters */
} ClToken;

/** How line ends are treated. */
typedef enum
{
  CL_LEX_COMMANDS, /**< they end a command */
  CL_LEX_FILE,     /**< they are white space */
} ClLexMode;

/**
 * Splits `text` into an array of ClToken; free with g_array_unref. Characters
 * that form no token are added to `findings` under the name `source`; lexing
 * continues after them.
 */
GArray *cl_lex (const char *text, ClLexMode mode, const char *source, CmFindings *findings);
