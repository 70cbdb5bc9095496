#pragma once

/** A caller over HTTP: one call of a server, answered as JSON or as a stream. */

#include "entry/core.h"
#include "http/server.h"

typedef struct EnHttpCaller EnHttpCaller;

/** What all callers of a front share. */
typedef struct
{
  EnCore *core;
  gsize max_unread; /**< bytes of a stream that its caller has not taken yet */
} EnHttpCallers;

typedef enum
{
  EN_ANSWER_STREAM, /**< server-sent events */
  EN_ANSWER_JSON,   /**< one object when all of it is there */
  EN_ANSWER_PASSED, /**< a plain service's answer as it is */
} EnAnswerForm;

/** Submits for the caller behind `call`; the call's data are the caller until it is answered. */
void en_http_caller_submit (EnHttpCallers *callers,
                            HtCall *call,
                            EnAnswerForm form,
                            const EnSubmission *submission);

/** The caller that submitted `call` has left; NULL: it has submitted nothing. */
void en_http_caller_gone (EnHttpCaller *caller);

/** Answers `call` at once with an error that no core has seen. */
void en_http_refuse (HtCall *call, const EnError *error);

/** The same error's JSON text, for a request that could not be read; `fields` takes its header
 * lines. */
GString *en_http_refusal (const EnError *error, GString *fields);

/** Answers `call` with `json`, which is taken over. */
void en_http_reply_json (HtCall *call, int status, json_t *json);
