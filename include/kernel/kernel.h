#pragma once

/**
 * The micro-kernel: one event loop's clock, timers, tasks, mailboxes and the
 * registry in which services find each other by name.
 *
 * A kernel holds no global state, so several live in one process. Everything
 * that reads the time or waits does so through a kernel; under a paused
 * runtime (kernel/paused.h) tests therefore decide when time passes.
 *
 * Nothing here is thread-safe: a kernel belongs to the thread that runs it.
 */

#include <glib.h>

/** Microseconds on the kernel's own monotonic clock; never wall time. */
typedef gint64 KnlTime;

#define KNL_USEC  ((KnlTime)1)
#define KNL_MSEC  ((KnlTime)1000)
#define KNL_SEC   ((KnlTime)1000000)
#define KNL_NEVER G_MAXINT64

typedef struct KnlKernel KnlKernel;
typedef struct KnlRuntime KnlRuntime;
typedef struct KnlTask KnlTask;
typedef struct KnlMessage KnlMessage;

/** Handle into the kernel's task table; 0 is no task. A handle of a stopped task stays invalid. */
typedef guint64 KnlTaskId;

/** Handle into the kernel's timer table; 0 is no timer. */
typedef guint64 KnlTimerId;

/** Handle of a job; 0 is no job. */
typedef guint64 KnlJobId;

/** What a kernel needs from beneath: a clock, and to be called when a time has come. */
typedef struct
{
  /** The runtime's clock, in microseconds. It never goes backwards. */
  KnlTime (*now) (KnlRuntime *runtime);
  /** Ask for knl_kernel_run_due() at `deadline`; replaces the last wish. KNL_NEVER: no wish. */
  void (*wake_at) (KnlRuntime *runtime, KnlTime deadline);
  /** Tells the runtime which kernel it drives; NULL when that kernel goes away. */
  void (*attach) (KnlRuntime *runtime, KnlKernel *kernel);
} KnlRuntimeClass;

struct KnlRuntime
{
  const KnlRuntimeClass *klass;
};

/** What a task does; the first member of its instance struct points here. */
typedef struct
{
  const char *name;
  /** Handles one message, which the kernel frees afterwards. */
  void (*receive) (KnlTask *task, KnlMessage *message);
  /** Frees the task and what it owns; called once, outside of receive(). */
  void (*destroy) (KnlTask *task);
} KnlTaskClass;

/** First member of every task. Fields are set by knl_task_start(). */
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
  /** Frees the whole message; NULL stands for g_free(). */
  GDestroyNotify destroy;
};

typedef void (*KnlTimerFunc) (gpointer data);

/** One slice of a job, as short as other work may have to wait for. FALSE: it was the last. */
typedef gboolean (*KnlJobFunc) (gpointer data);

/** Told of each callback that the loop has run: its name, and how long it took on the kernel's
 * clock. */
typedef void (*KnlMeterFunc) (const char *name, KnlTime took, gpointer data);

/**
 * Makes a kernel on `runtime`, which must outlive it. `seed` feeds the
 * kernel's random numbers, so that a run can be repeated.
 */
KnlKernel *knl_kernel_new (KnlRuntime *runtime, guint32 seed);

/** Destroys all tasks, drops all messages and timers, and frees the kernel. */
void knl_kernel_free (KnlKernel *kernel);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KnlKernel, knl_kernel_free)

KnlTime knl_kernel_now (KnlKernel *kernel);

/** The kernel's random numbers; owned by the kernel. */
GRand *knl_kernel_rand (KnlKernel *kernel);

/** Delivers all waiting messages and fires all due timers, also those that these add. */
void knl_kernel_run_due (KnlKernel *kernel);

/** Calls `func` once after `delay` microseconds (at once when negative). */
#define knl_timer_start(kernel, delay, func, data)                                                 \
  knl_timer_start_named (kernel, delay, func, data, __FILE__ ":" #func)

/** The same; `name` is a literal, for the meter. */
KnlTimerId knl_timer_start_named (KnlKernel *kernel,
                                  KnlTime delay,
                                  KnlTimerFunc func,
                                  gpointer data,
                                  const char *name);

/** Stops the timer if it still waits and sets `*timer` to 0; a timer of 0 is ignored. */
void knl_timer_stop (KnlKernel *kernel, KnlTimerId *timer);

/**
 * Calls `func` once a turn of the loop until it says that it is done. Sockets
 * and timers have their turn in between, so work that would hold them up for
 * too long is cut into slices. Jobs take turns.
 */
#define knl_job_start(kernel, func, data)                                                          \
  knl_job_start_named (kernel, func, data, __FILE__ ":" #func)
KnlJobId knl_job_start_named (KnlKernel *kernel, KnlJobFunc func, gpointer data, const char *name);

/** Ends the job if it still runs and sets `*job` to 0; also from inside its function. */
void knl_job_stop (KnlKernel *kernel, KnlJobId *job);

/** Has `meter` told of all timers, messages, job slices and spans; NULL: nobody. */
void knl_kernel_set_meter (KnlKernel *kernel, KnlMeterFunc meter, gpointer data);

/** Meters what a callback outside the kernel does, such as a socket's: begins at `begun`, from
 * knl_kernel_now(); `name` is a literal. */
void knl_span_end (KnlKernel *kernel, KnlTime begun, const char *name);

/**
 * Hands `task`, allocated by the caller, over to the kernel. With a `service`
 * name the task can be found by it; a name is taken once.
 */
KnlTaskId knl_task_start (KnlKernel *kernel, KnlTask *task, const char *service);

/** Destroys the task once the current delivery is over; its messages are dropped. */
void knl_task_stop (KnlKernel *kernel, KnlTaskId id);

/** The task behind a handle, or NULL when it has been stopped. */
KnlTask *knl_task_find (KnlKernel *kernel, KnlTaskId id);

/** The handle registered under `service`, or 0. */
KnlTaskId knl_registry_find (KnlKernel *kernel, const char *service);

/** Queues `message` for task `to`; the kernel takes it over. FALSE: no such task, message freed. */
gboolean knl_post (KnlKernel *kernel, KnlTaskId to, KnlMessage *message);
