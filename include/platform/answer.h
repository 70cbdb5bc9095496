#pragma once

/**
 * The store's answers about rows, taken apart without decoding the rows' values:
 * those are kept as they came, to be decoded in slices or passed on.
 */

#include <glib.h>

typedef struct PlAnswer PlAnswer;
typedef struct PlAnswerReader PlAnswerReader;

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

/** Takes the text of an answer piece by piece, so that a large one holds nothing else up. */
PlAnswerReader *pl_answer_reader_new (void);
void pl_answer_reader_free (PlAnswerReader *reader);
void pl_answer_reader_feed (PlAnswerReader *reader, const char *text, gsize length);

/** The answer, once; NULL: what was fed is no JSON object. */
PlAnswer *pl_answer_reader_end (PlAnswerReader *reader);

/** All at once. */
PlAnswer *pl_answer_parse (const char *text, gsize length);
void pl_answer_free (PlAnswer *answer);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (PlAnswer, pl_answer_free)
