#include "kernel/paused.h"

typedef struct
{
  KnlRuntime base;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  KnlTime wake_deadline;
  gboolean frozen;
} PausedRuntime;

struct KnlPausedClock
{
  KnlTime now;
  GPtrArray *runtimes;
};

static KnlTime
paused_now (KnlRuntime *runtime)
{
  return ((PausedRuntime *)runtime)->clock->now;
}

static void
paused_wake_at (KnlRuntime *runtime, KnlTime deadline)
{
  ((PausedRuntime *)runtime)->wake_deadline = deadline;
}

static void
paused_attach (KnlRuntime *runtime, KnlKernel *kernel)
{
  ((PausedRuntime *)runtime)->kernel = kernel;
}

static const KnlRuntimeClass paused_class = {
  .now = paused_now,
  .wake_at = paused_wake_at,
  .attach = paused_attach,
};

KnlPausedClock *
knl_paused_clock_new (void)
{
  KnlPausedClock *clock = g_new0 (KnlPausedClock, 1);

  clock->now = KNL_SEC;
  clock->runtimes = g_ptr_array_new_with_free_func (g_free);
  return clock;
}

void
knl_paused_clock_free (KnlPausedClock *clock)
{
  if (clock == NULL)
    return;
  g_ptr_array_unref (clock->runtimes);
  g_free (clock);
}

KnlRuntime *
knl_paused_clock_runtime (KnlPausedClock *clock)
{
  PausedRuntime *runtime = g_new0 (PausedRuntime, 1);

  runtime->base.klass = &paused_class;
  runtime->clock = clock;
  runtime->wake_deadline = KNL_NEVER;
  g_ptr_array_add (clock->runtimes, runtime);
  return &runtime->base;
}

KnlTime
knl_paused_clock_now (const KnlPausedClock *clock)
{
  return clock->now;
}

static PausedRuntime *
earliest_runtime (KnlPausedClock *clock)
{
  PausedRuntime *earliest = NULL;

  for (guint i = 0; i < clock->runtimes->len; i++)
    {
      PausedRuntime *runtime = g_ptr_array_index (clock->runtimes, i);

      if (runtime->frozen || runtime->kernel == NULL || runtime->wake_deadline == KNL_NEVER)
        continue;
      if (earliest == NULL || runtime->wake_deadline < earliest->wake_deadline)
        earliest = runtime;
    }
  return earliest;
}

static gboolean
run_next_wake_up (KnlPausedClock *clock, KnlTime limit)
{
  PausedRuntime *runtime = earliest_runtime (clock);

  if (runtime == NULL || runtime->wake_deadline > limit)
    return FALSE;
  clock->now = MAX (clock->now, runtime->wake_deadline);
  runtime->wake_deadline = KNL_NEVER;
  knl_kernel_run_due (runtime->kernel);
  return TRUE;
}

void
knl_paused_clock_advance (KnlPausedClock *clock, KnlTime delta)
{
  KnlTime limit = clock->now + delta;

  while (run_next_wake_up (clock, limit))
    ;
  clock->now = limit;
}

gboolean
knl_paused_clock_advance_until (KnlPausedClock *clock,
                                KnlTime limit,
                                gboolean (*done) (gpointer data),
                                gpointer data)
{
  KnlTime end = clock->now + limit;

  while (!done (data))
    {
      if (!run_next_wake_up (clock, end))
        {
          clock->now = end;
          return done (data);
        }
    }
  return TRUE;
}

void
knl_paused_runtime_set_frozen (KnlRuntime *runtime, gboolean frozen)
{
  ((PausedRuntime *)runtime)->frozen = frozen;
}
