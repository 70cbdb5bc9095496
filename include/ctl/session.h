#pragma once

/**
 * The context that commands run in: the controllers' addresses, tried in order,
 * the operator's token and the time limits.
 */

#include "ctl/result.h"
#include "ctl/transport.h"

typedef struct
{
  ClTransport *transport;
  char **addresses;  /**< of controllers, IP:PORT, NULL-terminated; each can serve any request */
  const char *token; /**< operator token; or NULL */
  const char *by;    /**< author of the changes, recorded in the history */
  const char *operation; /**< operation id of the first change, later ones get the suffix ".N";
                            NULL: random ids */
  KnlTime timeout;       /**< for a change including its retries */
  KnlTime call_timeout;  /**< for one call */
  guint changes;         /**< number of transactions attempted so far, including dry runs */
} ClSession;

/**
 * Requests `path` from the controllers in order until one answers with status
 * 200 or refuses. Returns the answer's body, or NULL and `*failure`. `extra_timeout`
 * is added to the time limit of a call, for paths where the controller itself
 * delays its answer.
 */
json_t *
cl_session_get (ClSession *session, const char *path, KnlTime extra_timeout, ClResult **failure);

/**
 * Requests `path` from all addresses. `replies` receives one reply per address, in the same order;
 * free each with cl_reply_free().
 */
void cl_session_get_all (ClSession *session,
                         const char *const *addresses,
                         guint count,
                         const char *path,
                         ClReply **replies);

/**
 * Applies `changes` (an array of ClChange) as one transaction. Retries with the
 * same operation id until an answer gives the outcome or the time limit is reached.
 */
ClResult *cl_session_apply (ClSession *session, const GPtrArray *changes, gboolean dry_run);

/** Converts an unsuccessful reply to a result. */
ClResult *cl_result_from_reply (const char *address, const ClReply *reply);
