#include "kernel/event_runtime.h"

#include <event2/event.h>
#include <time.h>

typedef struct
{
  KnlRuntime base;
  struct event_base *events;
  struct event *timer;
  KnlKernel *kernel;
} EventRuntime;

/*
 * CLOCK_MONOTONIC stops while a machine is suspended. After a resume, a lease or
 * a confirmation would then look fresh although it has expired for all other
 * processes. CLOCK_BOOTTIME includes the time in suspend.
 */
static KnlTime
event_now (KnlRuntime *runtime)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (KnlTime)now.tv_sec * KNL_SEC + now.tv_nsec / 1000;
}

static void
event_wake_at (KnlRuntime *runtime, KnlTime deadline)
{
  EventRuntime *self = (EventRuntime *)runtime;
  KnlTime delay;
  struct timeval wait;

  if (deadline == KNL_NEVER)
    {
      evtimer_del (self->timer);
      return;
    }
  delay = MAX (deadline - event_now (runtime), 0);
  wait.tv_sec = delay / KNL_SEC;
  wait.tv_usec = delay % KNL_SEC;
  evtimer_add (self->timer, &wait);
}

static void
event_attach (KnlRuntime *runtime, KnlKernel *kernel)
{
  ((EventRuntime *)runtime)->kernel = kernel;
}

static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  EventRuntime *self = data;

  if (self->kernel != NULL)
    knl_kernel_run_due (self->kernel);
}

static const KnlRuntimeClass event_class = {
  .now = event_now,
  .wake_at = event_wake_at,
  .attach = event_attach,
};

KnlRuntime *
knl_event_runtime_new (struct event_base *base)
{
  EventRuntime *self = g_new0 (EventRuntime, 1);

  self->base.klass = &event_class;
  self->events = base;
  self->timer = evtimer_new (base, on_timer, self);
  return &self->base;
}

void
knl_event_runtime_free (KnlRuntime *runtime)
{
  EventRuntime *self = (EventRuntime *)runtime;

  if (self == NULL)
    return;
  event_free (self->timer);
  g_free (self);
}

struct event_base *
knl_event_runtime_base (KnlRuntime *runtime)
{
  return ((EventRuntime *)runtime)->events;
}
