#pragma once

/**
 * A clock for tests that advances only on request. Any number of kernels can run
 * on one clock, each with its own runtime, in a deterministic order.
 */

#include "kernel/kernel.h"

typedef struct KnlPausedClock KnlPausedClock;

KnlPausedClock *knl_paused_clock_new (void);

/** Frees the clock and its runtimes; their kernels must be freed before. NULL is ignored. */
void knl_paused_clock_free (KnlPausedClock *clock);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KnlPausedClock, knl_paused_clock_free)

/** Creates a runtime on this clock; owned by the clock. */
KnlRuntime *knl_paused_clock_runtime (KnlPausedClock *clock);

KnlTime knl_paused_clock_now (const KnlPausedClock *clock);

/** Advances time by `delta` and runs each kernel at its wake-up times on the way. */
void knl_paused_clock_advance (KnlPausedClock *clock, KnlTime delta);

/** Advances from wake-up to wake-up until `done` returns TRUE or `limit` has passed; returns the
 * last result of `done`. */
gboolean knl_paused_clock_advance_until (KnlPausedClock *clock,
                                         KnlTime limit,
                                         gboolean (*done) (gpointer data),
                                         gpointer data);

/**
 * Freezes or thaws one runtime, to simulate a stopped process (SIGSTOP): time
 * passes, but its kernel doesn't run. After thawing, all overdue work runs at the
 * next advance of the clock.
 */
void knl_paused_runtime_set_frozen (KnlRuntime *runtime, gboolean frozen);
