#pragma once

/** The runtime of the daemons: a libevent base and the system's boot-time clock. */

#include "kernel/kernel.h"

struct event_base;

/** Creates a runtime on `base`, which must outlive it. */
KnlRuntime *knl_event_runtime_new (struct event_base *base);
void knl_event_runtime_free (KnlRuntime *runtime);

/** The libevent base of `runtime`; meant only for adapters that own sockets. */
struct event_base *knl_event_runtime_base (KnlRuntime *runtime);
