#pragma once

/**
 * Estimates of a request's wait in the queue, by which requests that can't be
 * served in time are refused at once.
 *
 * They use the measured rate at which a lane's prompts were served while some
 * waited. A lane without such a measurement counts as free.
 */

#include "entry/queue.h"

typedef struct EnEstimates EnEstimates;

EnEstimates *en_estimates_new (KnlKernel *kernel, EnQueue *queue);
void en_estimates_free (EnEstimates *estimates);

/** To be called whenever a lane's queue may have become empty or non-empty. */
void en_estimates_note_waiting (EnEstimates *estimates, const char *service, EnLane lane);

/** A prompt of `prefill` tokens of this lane got its first token. */
void en_estimates_note_served (EnEstimates *estimates,
                               const char *service,
                               EnLane lane,
                               guint64 prefill);

/** Time that a new request of `workspace` would wait in the queue; 0 without a measurement. */
KnlTime en_estimates_wait (EnEstimates *estimates,
                           const char *service,
                           EnLane lane,
                           const char *workspace,
                           KnlTime deadline);
