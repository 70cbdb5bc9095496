#pragma once

/** The common base of the daemons: a libevent base, a kernel on it, and signal handlers. */

#include <event2/event.h>

#include "kernel/kernel.h"

/** Number of signals handled: SIGTERM and SIGINT. */
#define KNL_PROCESS_SIGNALS 2

typedef struct
{
  struct event_base *base;
  KnlRuntime *runtime;
  KnlKernel *kernel;
  struct event *signals[KNL_PROCESS_SIGNALS];
} KnlProcess;

/** Creates base, runtime and kernel; `seed`: see knl_kernel_new(). */
void knl_process_open (KnlProcess *process, guint32 seed);

/** To be called first: SIGTERM, SIGINT and SIGHUP wait until knl_process_catch_signals(). Until
 * there are handlers, each of them would end the process without a word. */
void knl_process_hold_signals (void);

/** Has `on_signal` called from the event loop for SIGTERM and SIGINT; a handler of SIGHUP must be
 * set before. Signals that have waited are handled, too. */
void knl_process_catch_signals (KnlProcess *process, event_callback_fn on_signal, gpointer data);

/** Frees all of it; users of the kernel or the base must be freed before. */
void knl_process_close (KnlProcess *process);
