#pragma once

/** Kernels of several daemons on one paused clock; their platform clients share one store. */

#include "kernel/paused.h"
#include "tests/fakes/memory_platform.h"

#define MAX_DAEMONS 8

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *store_kernel;
  FkStore *store;
  guint n;
  KnlRuntime *runtimes[MAX_DAEMONS];
  KnlKernel *kernels[MAX_DAEMONS];
  TbTable *platforms[MAX_DAEMONS];
} Daemons;

static inline void
daemons_add (Daemons *daemons, guint32 seed)
{
  guint i = daemons->n++;

  daemons->runtimes[i] = knl_paused_clock_runtime (daemons->clock);
  daemons->kernels[i] = knl_kernel_new (daemons->runtimes[i], seed + i);
  daemons->platforms[i] = fk_memory_platform_new (daemons->store, daemons->kernels[i]);
}

static inline void
daemons_init (Daemons *daemons, guint n, guint32 seed)
{
  *daemons = (Daemons){ .clock = knl_paused_clock_new () };
  daemons->store_kernel = knl_kernel_new (knl_paused_clock_runtime (daemons->clock), seed);
  daemons->store = fk_store_new (daemons->store_kernel, 0);
  for (guint i = 0; i < n; i++)
    daemons_add (daemons, seed);
}

static inline void
daemons_clear (Daemons *daemons)
{
  for (guint i = 0; i < daemons->n; i++)
    {
      tb_platform_free (daemons->platforms[i]);
      knl_kernel_free (daemons->kernels[i]);
    }
  fk_store_free (daemons->store);
  knl_kernel_free (daemons->store_kernel);
  knl_paused_clock_free (daemons->clock);
}
