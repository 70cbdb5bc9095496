#pragma once

/**
 * Cancellations at engines, repeated until acknowledged.
 *
 * When a caller disconnects, a deadline passes or a connection breaks, the request
 * stays on its engine and keeps its memory until the engine receives a cancellation.
 * If that were lost, the memory would stay in use, and the engine would report used
 * tokens without requests. Until the engine has acknowledged the
 * cancellation or has restarted, the entry counts the memory as used.
 */

#include "endpoint/endpoint.h"
#include "entry/fleet.h"

typedef struct EnCancels EnCancels;

/** Called after a charge was returned, so that waiting requests can use the memory. */
typedef void (*EnCancelsFreed) (gpointer data);

EnCancels *en_cancels_new (KnlKernel *kernel, EpClient *client, EnFleet *fleet);
void en_cancels_free (EnCancels *cancels);

void en_cancels_on_freed (EnCancels *cancels, EnCancelsFreed func, gpointer data);

/**
 * Cancels `request` at `address` and then returns `charge` (ownership is
 * transferred; may be NULL). `repeat`: the request itself may still reach the
 * engine after the cancellation, which is therefore sent a second time later.
 */
void en_cancels_add (EnCancels *cancels,
                     const char *address,
                     const char *request,
                     EnCharge *charge,
                     gboolean repeat);

/** Number of cancellations that are not acknowledged yet. */
guint en_cancels_pending (const EnCancels *cancels);
