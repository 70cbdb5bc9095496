#pragma once

/**
 * Parser for the store's answers that contain rows. Values stay encoded, so that
 * they can be decoded in slices or forwarded.
 */

#include <glib.h>

typedef struct PlAnswer PlAnswer;

/** A row in the form in which it was received. */
typedef struct
{
  char *key;
  guint64 version;
  gboolean removed;
  GBytes *text; /**< the complete row, as JSON */
  char *value;  /**< its value, in base64; NULL: none */
  gsize value_length;
} PlAnswerRow;

struct PlAnswer
{
  GPtrArray *rows;     /**< PlAnswerRow; those that no store writes are left out */
  guint n_dropped;     /**< rows that are left out */
  char *dropped_key;   /**< key of the last of these, as far as it is text; NULL: none */
  GBytes *last_key;    /**< of the last row of all, where a list continues; NULL: none */
  guint64 version;     /**< the table's version that the answer covers; 0: not given */
  gint64 now_ms;       /**< the store's steady clock when it answered; 0: not given */
  gboolean more_pages; /**< the list continues after the last row */
};

/** Returns NULL if `text` isn't a JSON object. Free with pl_answer_free(). */
PlAnswer *pl_answer_parse (const char *text, gsize length);
void pl_answer_free (PlAnswer *answer);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (PlAnswer, pl_answer_free)
