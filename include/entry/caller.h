#pragma once

/**
 * Interface between the core and a caller, and the request that a caller submits.
 * entry/front.h implements it for HTTP; tests and the soak have implementations of
 * their own.
 *
 * Each submission gets exactly one `done` or `error`, after which the core no
 * longer uses the caller; a caller that has disconnected gets neither. Both may be
 * called from within en_core_submit().
 */

#include "entry/error.h"

typedef struct EnCaller EnCaller;

/** The complete answer of a plain service, or the end of a stream. */
typedef struct
{
  guint64 count;      /**< tokens of a stream */
  const char *finish; /**< why the engine stopped; NULL for a plain service */
  int status;         /**< HTTP status of a plain service */
  const char *content_type;
  const char *body;
  gsize body_bytes;
  EnOutcome outcome; /**< done, or failed if a plain service reported a failure */
} EnAnswer;

typedef struct
{
  /** Called before the first token. */
  void (*begin) (EnCaller *caller, const char *request);
  /** FALSE: the caller has too many unread bytes, and its request is to be ended. */
  gboolean (*tokens) (EnCaller *caller,
                      const char *request,
                      guint64 offset,
                      guint count,
                      const char *text);
  void (*done) (EnCaller *caller, const char *request, const EnAnswer *answer);
  void (*error) (EnCaller *caller, const char *request, const EnError *error);
} EnCallerClass;

struct EnCaller
{
  const EnCallerClass *klass;
};

/** A caller's request. Strings are copied by the core. */
typedef struct
{
  const char *token; /**< the workspace's token, or NULL */
  const char *service;
  const char *key;         /**< Idempotency-Key, or NULL */
  gboolean non_idempotent; /**< the caller declares that it must not run twice */
  KnlTime timeout;         /**< 0: the default of the service */

  const char *prompt; /**< of a completion; NULL: a call to a plain service */
  gsize prompt_bytes;
  guint64 max_tokens;

  const char *method; /**< this and below: of a call to a plain service */
  const char *path;
  const char *content_type;
  const char *body;
  gsize body_bytes;
} EnSubmission;
