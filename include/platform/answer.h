#pragma once

/**
 * The store's answers about rows, taken apart without decoding the rows' values:
 * those are kept as they came, to be decoded in slices or passed on.
 */

#include <glib.h>

typedef struct PlAnswer PlAnswer;

/** A row as it came. */
typedef struct
{
  char *key;
  guint64 version;
  gboolean gone;
  GBytes *text; /**< the whole row, as JSON */
  char *value;  /**< its value, in base64; NULL: none */
  gsize value_length;
} PlAnswerRow;

struct PlAnswer
{
  GPtrArray *rows;     /**< PlAnswerRow, those that have a key */
  guint64 version;     /**< the newest that the answer is of; 0: it says none */
  gboolean more_pages; /**< the list goes on after the last row */
};

/** NULL: it is no JSON object. */
PlAnswer *pl_answer_parse (const char *text, gsize length);
void pl_answer_free (PlAnswer *answer);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (PlAnswer, pl_answer_free)
