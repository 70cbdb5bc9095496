#pragma once

/**
 * What an answer, or the end of a send, proves about its request. All links ask here: those to
 * endpoints and to peers, and those of the product's own interface. What isn't proof that a request
 * has not run counts as one that may have run.
 */

#include "policy/retry.h"

/** How a send to an endpoint or a peer ended without a usable answer. */
typedef enum
{
  POL_END_UNSENT,   /**< no byte of the request has left this process, and none will */
  POL_END_PROMISED, /**< an answer to this request promises that it has not run and never will */
  POL_END_FAILED,   /**< an answer to this request reports a failure, and promises nothing */
  POL_END_LOST,     /**< the connection ended, fell silent, or gave no usable answer; also if this
                         instance withdrew the request */
} PolEnd;

PolLoss pol_end_loss (PolEnd end);

/** Whether the request may have run. */
gboolean pol_end_may_have_run (PolEnd end);

/** How a send ends that this instance withdraws. */
PolEnd pol_end_of_withdrawn (gboolean has_sent);

/** Which request an answer is to. */
typedef enum
{
  POL_ANSWER_OWN,     /**< the one that waits for an answer on its connection */
  POL_ANSWER_OTHER,   /**< an earlier one, whose answer was given up, or one of somebody else */
  POL_ANSWER_UNNAMED, /**< any of these, or none; it proves nothing about the one that waits */
} PolAnswerOwner;

/** `named`: id of the request that the answer names, NULL: none; `request`: id of the one that
 * waits, NULL: it has none; `is_first`: it is the first answer on a connection that has carried no
 * other request. A name tells requests apart, not the sends of one request: no connection may carry
 * the same request twice. */
PolAnswerOwner pol_answer_owner (const char *named, const char *request, gboolean is_first);

/** Whether callers take an HTTP status for the promise that the request has not run. */
gboolean pol_status_promises_not_run (guint status);
