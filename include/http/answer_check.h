#pragma once

/**
 * Checks the head of an answer that evhttp reads. evhttp takes heads for answers that aren't: any
 * number for a status, field names with blanks or control bytes, and several framing fields. This
 * reads the same bytes by the rules of HtReader.
 */

#include <event2/buffer.h>
#include <glib.h>

typedef struct HtAnswerCheck HtAnswerCheck;

/** Reads what `input`, of a connection that is used for one request, receives from now on. */
HtAnswerCheck *ht_answer_check_new (struct evbuffer *input);

/** To be called before `input` is freed; NULL is allowed. */
void ht_answer_check_free (HtAnswerCheck *check);

/** Whether the whole head of an answer has been received, behind interim ones if any. */
gboolean ht_answer_check_has_passed (const HtAnswerCheck *check);
