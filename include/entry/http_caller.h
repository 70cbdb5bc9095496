#pragma once

/** A caller over HTTP: answers one call of the HTTP server as JSON or as a stream. */

#include "entry/core.h"
#include "http/server.h"

typedef struct EnHttpCaller EnHttpCaller;

/** State shared by all callers of one HTTP front. */
typedef struct
{
  EnCore *core;
  gsize max_unread; /**< bytes of a stream that its caller has not read yet, at most */
} EnHttpCallers;

typedef enum
{
  EN_ANSWER_STREAM,    /**< server-sent events */
  EN_ANSWER_JSON,      /**< one JSON object, sent when the answer is complete */
  EN_ANSWER_FORWARDED, /**< a plain service's answer, forwarded unchanged */
} EnAnswerForm;

/** Submits a request for `call`, whose data point to the new caller until it is answered. */
void en_http_caller_submit (EnHttpCallers *callers,
                            HtCall *call,
                            EnAnswerForm form,
                            const EnSubmission *submission);

/** Notes that the caller has disconnected, and frees it; NULL: nothing was submitted. */
void en_http_caller_disconnected (EnHttpCaller *caller);

/** Answers `call` with an error, without submitting it to the core. */
void en_http_refuse (HtCall *call, const EnError *error);

/**
 * Returns an error's JSON text, for a request that could not be parsed, and appends
 * its header lines to `fields`. Free it with g_string_free().
 */
GString *en_http_refusal (const EnError *error, GString *fields);

/** Answers `call` with `json`; takes ownership of `json`. */
void en_http_reply_json (HtCall *call, int status, json_t *json);
