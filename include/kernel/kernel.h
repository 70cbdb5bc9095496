#pragma once

/**
 * The micro-kernel: clock, timers, tasks, message queue and jobs of one event
 * loop, and a registry in which tasks find each other by service name.
 *
 * A kernel has no global state, so a process can have several. All code that
 * reads the time or waits does so through a kernel, so that tests control the
 * passing of time with a paused runtime (kernel/paused.h).
 *
 * Not thread-safe: a kernel belongs to the thread that runs it.
 */

#include <glib.h>

/** Microseconds on the kernel's monotonic clock; never wall-clock time. */
typedef gint64 KnlTime;

#define KNL_USEC  ((KnlTime)1)
#define KNL_MSEC  ((KnlTime)1000)
#define KNL_SEC   ((KnlTime)1000000)
#define KNL_NEVER G_MAXINT64

typedef struct KnlKernel KnlKernel;
typedef struct KnlRuntime KnlRuntime;
typedef struct KnlTask KnlTask;
typedef struct KnlMessage KnlMessage;

/** Handle of a task; 0 is no task. Handles are never reused. */
typedef guint64 KnlTaskId;

/** Handle of a timer; 0 is no timer. */
typedef guint64 KnlTimerId;

/** Handle of a job; 0 is no job. */
typedef guint64 KnlJobId;

/** What a kernel needs from its environment: a clock and a wake-up timer. */
typedef struct
{
  /** Returns the time; it never goes backwards. */
  KnlTime (*now) (KnlRuntime *runtime);
  /** Requests knl_kernel_run_due() at `deadline`, in place of any earlier request; KNL_NEVER
   * cancels it. */
  void (*wake_at) (KnlRuntime *runtime, KnlTime deadline);
  /** Sets the kernel that the runtime drives; NULL when the kernel is freed. */
  void (*attach) (KnlRuntime *runtime, KnlKernel *kernel);
} KnlRuntimeClass;

struct KnlRuntime
{
  const KnlRuntimeClass *klass;
};

/** Virtual functions of a kind of task. */
typedef struct
{
  const char *name;
  /** Handles one message; the kernel frees it afterwards. */
  void (*receive) (KnlTask *task, KnlMessage *message);
  /** Frees the task and all that it owns; called once, never inside receive(). */
  void (*destroy) (KnlTask *task);
} KnlTaskClass;

/** First member of every task. The owner sets `klass`, knl_task_start() the other fields. */
struct KnlTask
{
  const KnlTaskClass *klass;
  KnlKernel *kernel;
  KnlTaskId id;
};

/** First member of every message. `type` is an enum of the receiving module. */
struct KnlMessage
{
  guint type;
  KnlTaskId sender;
  /** Frees the whole message; NULL: g_free(). */
  GDestroyNotify destroy;
};

typedef void (*KnlTimerFunc) (gpointer data);

/** Runs one slice of a job; all other work waits meanwhile. FALSE: the job is done. */
typedef gboolean (*KnlJobFunc) (gpointer data);

/** Called after each callback that the loop has run; `duration`: its duration on the kernel's
 * clock. */
typedef void (*KnlMeterFunc) (const char *name, KnlTime duration, gpointer data);

/**
 * Creates a kernel on `runtime`, which must outlive it. `seed` seeds the
 * kernel's random numbers, so that a run can be reproduced.
 */
KnlKernel *knl_kernel_new (KnlRuntime *runtime, guint32 seed);

/** Destroys all tasks, drops all messages, timers and jobs, frees the kernel. NULL is ignored. */
void knl_kernel_free (KnlKernel *kernel);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KnlKernel, knl_kernel_free)

KnlTime knl_kernel_now (KnlKernel *kernel);

/** Earliest time at which what a socket delivers now may have arrived: now, but for a while after
 * the loop has stalled, as in a process that was paused, the start of the stall. */
KnlTime knl_kernel_earliest_arrival (KnlKernel *kernel);

/** The kernel's random number generator; owned by the kernel. */
GRand *knl_kernel_rand (KnlKernel *kernel);

/** Delivers all queued messages and fires all due timers, including those added meanwhile; then
 * runs one slice of one job. */
void knl_kernel_run_due (KnlKernel *kernel);

/** Calls `func` once after `delay` microseconds, from the loop; a negative delay is 0. */
#define knl_timer_start(kernel, delay, func, data)                                                 \
  knl_timer_start_named (kernel, delay, func, data, __FILE__ ":" #func)

/** Like knl_timer_start(); `name`, a string literal, is passed to the meter. */
KnlTimerId knl_timer_start_named (KnlKernel *kernel,
                                  KnlTime delay,
                                  KnlTimerFunc func,
                                  gpointer data,
                                  const char *name);

/** Stops the timer if it is pending and sets `*timer` to 0; a timer of 0 is ignored. */
void knl_timer_stop (KnlKernel *kernel, KnlTimerId *timer);

/**
 * Calls `func` until it returns FALSE, at most one job per iteration of the loop,
 * round robin. Sockets and timers are served in between, so work that would delay
 * them for too long is split into slices.
 */
#define knl_job_start(kernel, func, data)                                                          \
  knl_job_start_named (kernel, func, data, __FILE__ ":" #func)
KnlJobId knl_job_start_named (KnlKernel *kernel, KnlJobFunc func, gpointer data, const char *name);

/** Stops the job if it isn't done and sets `*job` to 0; may be called from the job's function. */
void knl_job_stop (KnlKernel *kernel, KnlJobId *job);

/** Has `meter` called after each timer, message, job slice and span; NULL: none. */
void knl_kernel_set_meter (KnlKernel *kernel, KnlMeterFunc meter, gpointer data);

/** Reports to the meter a callback that the kernel didn't run, such as a socket's. `started_at`:
 * its start, from knl_kernel_now(); `name`: a string literal. */
void knl_span_end (KnlKernel *kernel, KnlTime started_at, const char *name);

/**
 * Passes ownership of `task`, allocated by the caller, to the kernel. `service`,
 * if not NULL, registers the task under that name; the name must not be in use.
 */
KnlTaskId knl_task_start (KnlKernel *kernel, KnlTask *task, const char *service);

/** Destroys the task after the current delivery or iteration; its queued messages are dropped. */
void knl_task_stop (KnlKernel *kernel, KnlTaskId id);

/** The task of a handle, or NULL if it has been destroyed. */
KnlTask *knl_task_find (KnlKernel *kernel, KnlTaskId id);

/** The handle registered under `service`, or 0. */
KnlTaskId knl_registry_find (KnlKernel *kernel, const char *service);

/** Queues `message` for task `to`; the kernel takes ownership. FALSE: no such task; the message is
 * freed. */
gboolean knl_post (KnlKernel *kernel, KnlTaskId to, KnlMessage *message);
