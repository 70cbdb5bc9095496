#pragma once

/** Requests one completion from an entry like a caller and checks each token of the stream. */

#include "tests/standins/http_server.h"

typedef struct
{
  const char *address; /**< of the entry */
  const char *token;   /**< of the workspace */
  const char *service;
  const char *prompt;
  guint64 max_tokens;
  gint64 timeout_ms;
} SdCompletion;

/** Result of a completion. Strings are valid until the callback returns. */
typedef struct
{
  gboolean unreachable; /**< could not connect, so the request certainly did not run */
  const char *request;  /**< alderturn's request id, or "" */
  const char *outcome;  /**< "done", "not-run", "failed", "unknown"; if none was received: "cut",
                             or "unreachable" */
  const char *code;     /**< of the error, or "" */
  guint64 tokens;
  gboolean complete;   /**< outcome "done", and exactly the expected tokens were received */
  gboolean wrong;      /**< received a token that isn't part of the answer to this prompt */
  KnlTime first_token; /**< time from the start to the first token; -1: none */
  KnlTime total;
} SdCompletionResult;

typedef void (*SdCompletionFunc) (const SdCompletionResult *result, gpointer data);

/** Starts a completion; strings are copied. */
void sd_completion_start (SdServer *server,
                          const SdCompletion *completion,
                          SdCompletionFunc done,
                          gpointer data);

/** Generates a prompt of `tokens` tokens from `seed`; free with g_free(). */
char *sd_prompt_new (guint64 tokens, guint32 seed);
