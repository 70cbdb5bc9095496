#pragma once

/**
 * One attempt of a request at one engine, possibly over several connections.
 *
 * A connection that is cut or goes silent is replaced by a new one that resumes
 * at the last offset. The attempt is lost only when the engine has lost the
 * request, or when several consecutive connections to it fail.
 */

#include "entry/cancels.h"
#include "entry/progress.h"
#include "policy/retry.h"

typedef struct EnAttempt EnAttempt;

typedef struct
{
  PolLoss kind;
  gboolean refused;  /**< the engine answered with a refusal */
  gboolean leaving;  /**< the engine accepts no new work */
  gboolean accepted; /**< the engine had accepted the request */
  gboolean crashed;  /**< the engine restarted or can no longer be reached */
  const char *detail;
} EnLoss;

/**
 * on_end and on_lost are final: the attempt is freed after either. With `hold`,
 * on_end means that the engine holds the part, and the attempt stays until it is
 * aborted or lost.
 */
typedef struct
{
  /** The engine has accepted the request. */
  void (*on_accepted) (EnAttempt *attempt, gpointer data);
  /** Tokens that the caller doesn't have yet; the attempt may be aborted in this callback. */
  void (*on_tokens) (EnAttempt *attempt,
                     guint64 offset,
                     guint count,
                     const char *text,
                     gpointer data);
  void (*on_end) (EnAttempt *attempt, guint64 count, const char *finish, gpointer data);
  void (*on_lost) (EnAttempt *attempt, const EnLoss *loss, gpointer data);
} EnAttemptEvents;

/** Dependencies of attempts, which outlive them. */
typedef struct
{
  KnlKernel *kernel;
  EpClient *client;
  EnFleet *fleet;
  EnCancels *cancels;
} EnAttemptHost;

typedef struct
{
  const char *request; /**< id of this attempt at the engine */
  const char *model;
  const char *adapter;
  GBytes *prompt;
  guint64 prompt_tokens;
  guint64 max_tokens;
  int priority;
  gboolean hold;
  const char *imports;
  KnlTime deadline;
  EnProgress *progress; /**< what the caller has received; outlives the attempt */
} EnAttemptStart;

/** Starts at `endpoint`. Owns `charge`, which is returned when the engine's memory is free. */
EnAttempt *en_attempt_new (const EnAttemptHost *host,
                           const EnEndpoint *endpoint,
                           EnCharge *charge,
                           const EnAttemptStart *start,
                           const EnAttemptEvents *events,
                           gpointer data);

/** Ends the attempt without events and cancels it at the engine. May be called in its events. */
void en_attempt_abort (EnAttempt *attempt);

/** The engine was seen to restart: reports the loss at once instead of after a timeout. */
void en_attempt_engine_restarted (EnAttempt *attempt);

const char *en_attempt_endpoint (const EnAttempt *attempt);
const char *en_attempt_request (const EnAttempt *attempt);
