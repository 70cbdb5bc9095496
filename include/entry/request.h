#pragma once

/** One request: its content, state and events. */

#include "entry/attempt.h"
#include "entry/caller.h"
#include "entry/length_class.h"
#include "entry/records.h"

/**
 * The states in order. A request only moves forward, except back to QUEUED for another attempt, and
 * ends once.
 */
typedef enum
{
  EN_STATE_RECEIVED,
  EN_STATE_AUTHENTICATED,
  EN_STATE_ADMITTED,
  EN_STATE_RECORDING, /**< its idempotency record is being created */
  EN_STATE_QUEUED,
  EN_STATE_DISPATCHED,
  EN_STATE_STREAMING,
  EN_STATE_ENDED,
} EnState;

typedef struct
{
  KnlTime at;
  const char *event; /**< a string constant */
  char *detail;      /**< or NULL */
} EnRequestEvent;

/** What a request needs from an engine. */
typedef struct
{
  guint64 tokens;  /**< memory for the prompt and the answer */
  guint64 prefill; /**< prompt tokens */
  gboolean is_long;
  gboolean alone; /**< a suspect: nothing else may run on the engine */
} EnNeed;

typedef struct EnCore EnCore;
typedef struct EnReservation EnReservation;

typedef struct
{
  EnCore *core;
  guint64 number;
  char *id;
  EnState state;
  EnCaller *caller; /**< NULL: disconnected */
  char *workspace;
  char *service;
  char *model; /**< NULL: a call to a plain service */
  char *adapter;
  char *label; /**< label of the service's endpoints */
  GBytes *prompt;
  guint64 max_tokens;
  EnLengthClass length_class;
  EnNeed need;
  char *method;
  char *path;
  char *content_type;
  GBytes *body;
  gboolean non_idempotent;
  char *key;
  guint64 fingerprint; /**< hash of the service and the content */
  guint64 *blocks;     /**< hashes of its prefix blocks */
  gsize n_blocks;

  KnlTime received_at;
  KnlTime queued_at;
  KnlTime dispatched_at;
  KnlTime last_token_at;
  KnlTime deadline;
  KnlTimerId deadline_timer;
  KnlTimerId retry_timer;

  guint attempts;
  guint costly;             /**< number of attempts that may have cost an endpoint's time */
  gboolean may_have_run;    /**< at least one attempt may have run */
  gboolean recorded;        /**< its idempotency record is durable */
  gboolean record_closed;   /**< its outcome has been sent for recording */
  EnRecordCall record_call; /**< begin or finish in progress; 0: none */
  EnAnswer pending_answer;  /**< the answer, while its outcome is being recorded */
  EnAttempt *attempt;
  GSequenceIter *queue_iter; /**< position in the queue; NULL: not queued */
  EnReservation *reservation;
  gboolean reservation_started; /**< engines may hold its parts */
  guint reserve_attempts;
  KnlTime acquire_timeout; /**< how long the reservation may take to be acquired */
  KnlTime next_reserve_at; /**< earliest time of the next try to reserve */
  EpCallId call;           /**< call to a plain service; 0: none */
  EnCharge *charge;        /**< charge of the call to a plain service */
  char *endpoint;          /**< the endpoint in use, or the last one used */
  guint64 pending_prefill; /**< prompt tokens counted at `endpoint` until the first token */
  guint64 prefill_ahead;   /**< tokens of this entry's other prompts pending there at dispatch */
  guint pending_epoch;     /**< the endpoint's epoch at its dispatch */
  EnProgress progress;
  GString *answer; /**< text for the idempotency record; NULL: none */
  GArray *events;  /**< EnRequestEvent */
} EnRequest;

const char *en_state_name (EnState state);

EnRequest *en_request_new (EnCore *core, guint64 number, const char *id, KnlTime now);
void en_request_free (EnRequest *request);

/** Moves to a later state, or back to QUEUED after a failed attempt. */
void en_request_set_state (EnRequest *request, EnState state);

/** Adds an event. At the limit of kept events, it replaces the last one. */
void en_request_note (EnRequest *request, KnlTime now, const char *event, const char *format, ...)
    G_GNUC_PRINTF (4, 5);
