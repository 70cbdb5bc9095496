#pragma once

/**
 * Requests that wait for an engine.
 *
 * Each service has two lanes, one for short and one for long prompts. A lane
 * serves workspaces by lowest virtual time and, within a workspace, requests by
 * earliest deadline. A blocked lane doesn't block the other.
 */

#include "entry/request.h"
#include "entry/shares.h"

typedef struct EnQueue EnQueue;

typedef enum
{
  EN_LANE_SHORT,
  EN_LANE_LONG,
  EN_LANES,
} EnLane;

/** Tries to dispatch a request; TRUE: it was dispatched or ended, and has left the queue. */
typedef gboolean (*EnQueueTryFunc) (EnRequest *request, gpointer data);

/** Sums over the requests that wait in one lane of one service. */
typedef struct
{
  guint64 tokens;  /**< memory that the requests need */
  guint64 prefill; /**< prompt tokens of the requests */
  guint64 largest; /**< memory that the largest request needs */
  guint count;
} EnWaiting;

/**
 * Prompt tokens of one workspace that wait in a lane with deadlines up to a given
 * one, and the fraction of the lane that the workspace's weight gives it.
 */
typedef struct
{
  guint64 prefill;
  double share;
} EnBacklog;

EnQueue *en_queue_new (EnShares *shares);
void en_queue_free (EnQueue *queue);

void en_queue_push (EnQueue *queue, EnRequest *request);

/** Removes the request; no effect if it isn't queued. */
void en_queue_remove (EnQueue *queue, EnRequest *request);

/** Tries waiting requests in fair order until none can be dispatched. */
void en_queue_run (EnQueue *queue, EnQueueTryFunc try_dispatch, gpointer data);

guint en_queue_length (const EnQueue *queue);
EnWaiting en_queue_waiting (const EnQueue *queue, const char *service, EnLane lane);

EnBacklog en_queue_backlog (const EnQueue *queue,
                            const char *service,
                            EnLane lane,
                            const char *workspace,
                            KnlTime deadline);

/** Memory that the workspace's waiting requests need over all lanes, in tokens. */
guint64 en_queue_workspace_tokens (const EnQueue *queue, const char *workspace);

void en_queue_foreach (const EnQueue *queue,
                       void (*func) (EnRequest *request, gpointer data),
                       gpointer data);
