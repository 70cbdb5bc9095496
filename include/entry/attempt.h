#pragma once

/**
 * One attempt of a request at one engine, over as many connections as it takes.
 *
 * A connection that is cut or goes silent is replaced by a fresh one that
 * resumes from the last offset. Only when the engine has lost the request, or
 * can't be reached several times in a row, the attempt is lost.
 */

#include "entry/cancels.h"
#include "entry/progress.h"
#include "policy/retry.h"

typedef struct EnAttempt EnAttempt;

typedef struct
{
  PolLoss kind;
  gboolean refused;  /**< by the engine's own word */
  gboolean leaving;  /**< the engine takes no new work */
  gboolean accepted; /**< the engine had taken it */
  gboolean crashed;  /**< the engine restarted or can't be reached any more */
  const char *detail;
} EnLoss;

/**
 * on_end and on_lost are the last event; the attempt is freed after them. With
 * `hold` on_end says that the part is held, and the attempt lives on until it is
 * aborted or lost.
 */
typedef struct
{
  /** The engine has taken the request. */
  void (*on_accepted) (EnAttempt *attempt, gpointer data);
  /** Tokens that the caller lacks; the attempt may be aborted inside. */
  void (*on_tokens) (EnAttempt *attempt,
                     guint64 offset,
                     guint count,
                     const char *text,
                     gpointer data);
  void (*on_end) (EnAttempt *attempt, guint64 count, const char *finish, gpointer data);
  void (*on_lost) (EnAttempt *attempt, const EnLoss *loss, gpointer data);
} EnAttemptEvents;

/** What attempts work with; outlives them. */
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
  EnProgress *progress; /**< what the caller has; outlives the attempt */
} EnAttemptStart;

/** Starts at `endpoint`; `charge` is taken over and returned when the engine's memory is free. */
EnAttempt *en_attempt_new (const EnAttemptHost *host,
                           const EnEndpoint *endpoint,
                           EnCharge *charge,
                           const EnAttemptStart *start,
                           const EnAttemptEvents *events,
                           gpointer data);

/** Ends it without events: it is cancelled at the engine. Allowed inside its events. */
void en_attempt_abort (EnAttempt *attempt);

/** The engine has restarted, as others learned: reports the loss without waiting for a limit. */
void en_attempt_engine_restarted (EnAttempt *attempt);

const char *en_attempt_endpoint (const EnAttempt *attempt);
const char *en_attempt_request (const EnAttempt *attempt);
