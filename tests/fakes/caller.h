#pragma once

/**
 * A caller in memory: submits one request to an entry's core, checks that the
 * tokens it receives are those of its own answer, in order, and records the
 * request's outcome and times.
 */

#include "entry/core.h"
#include "entry/length_class.h"
#include "kernel/paused.h"

typedef struct
{
  EnCaller base;
  KnlPausedClock *clock;
  guint64 number; /**< of the request in the core; 0: it ended during the submission */
  guint64 prompt_hash;
  guint64 received; /**< tokens */
  guint64 max_tokens;
  char *request;
  char *key; /**< Idempotency-Key, or NULL */
  EnLengthClass length_class;
  guint workspace;
  guint entry;
  guint64 entry_incarnation;
  KnlTime submitted_at;
  KnlTime first_at; /**< when the first tokens were received; 0: none yet */
  KnlTime ended_at; /**< 0: not yet */
  KnlTime limit;
  guint ends; /**< how often an end was reported; correct is 1 */
  gboolean failed;
  gboolean wrong; /**< tokens of another request, out of order, or of a wrong count */
  EnOutcome outcome;
  EnErrorCode code;
  KnlTime retry_after;
} FkCaller;

/** Submits a completion with a prompt of `prompt_tokens` tokens that starts with `unique`. */
FkCaller *fk_caller_complete (KnlPausedClock *clock,
                              EnCore *core,
                              guint workspace,
                              const char *unique,
                              guint64 prompt_tokens,
                              guint64 max_tokens,
                              KnlTime limit);

/** Submits a non-idempotent call to the plain service "desk" under `key`. */
FkCaller *fk_caller_confirm (KnlPausedClock *clock,
                             EnCore *core,
                             guint workspace,
                             const char *key,
                             KnlTime limit);

/** The core must not refer to it any longer: the request has ended, the caller was reported as
 * disconnected, or the core is freed. */
void fk_caller_free (FkCaller *caller);
