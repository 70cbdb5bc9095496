/** The micro-kernel on a paused clock: timers, tasks, names, jobs, frozen kernels, meter. */

#include <signal.h>
#include <unistd.h>

#include "kernel/kernel.h"
#include "kernel/paused.h"
#include "kernel/process.h"
#include "suite.h"

typedef struct
{
  GString *text;
  char letter;
} Mark;

static void
append_mark (gpointer data)
{
  Mark *mark = data;

  g_string_append_c (mark->text, mark->letter);
}

static void
test_timers_fire_in_order_of_deadline_then_start (void)
{
  g_autoptr (KnlPausedClock) clock = knl_paused_clock_new ();
  g_autoptr (KnlKernel) kernel = knl_kernel_new (knl_paused_clock_runtime (clock), 1);
  g_autoptr (GString) text = g_string_new (NULL);
  Mark marks[] = { { text, 'a' }, { text, 'b' }, { text, 'c' } };
  KnlTimerId stopped;

  knl_timer_start (kernel, 20 * KNL_MSEC, append_mark, &marks[2]);
  knl_timer_start (kernel, 10 * KNL_MSEC, append_mark, &marks[0]);
  knl_timer_start (kernel, 10 * KNL_MSEC, append_mark, &marks[1]);
  stopped = knl_timer_start (kernel, 5 * KNL_MSEC, append_mark, &marks[2]);
  knl_timer_stop (kernel, &stopped);
  knl_paused_clock_advance (clock, 10 * KNL_MSEC);
  CU_ASSERT_STRING_EQUAL (text->str, "ab");
  knl_paused_clock_advance (clock, 10 * KNL_MSEC);
  CU_ASSERT_STRING_EQUAL (text->str, "abc");
  CU_ASSERT_EQUAL (stopped, 0);
}

typedef struct
{
  KnlTask base;
  guint *received;
  gboolean *destroyed;
} CountingTask;

static void
counting_receive (KnlTask *task, KnlMessage *message)
{
  (*((CountingTask *)task)->received)++;
  if (message->type == 9)
    knl_task_stop (task->kernel, task->id);
}

static void
counting_destroy (KnlTask *task)
{
  *((CountingTask *)task)->destroyed = TRUE;
  g_free (task);
}

static const KnlTaskClass counting_class = {
  .name = "counting",
  .receive = counting_receive,
  .destroy = counting_destroy,
};

static KnlMessage *
message_new (guint type)
{
  KnlMessage *message = g_new0 (KnlMessage, 1);

  message->type = type;
  return message;
}

static void
test_a_stopped_task_gets_no_more_messages_and_loses_its_name (void)
{
  g_autoptr (KnlPausedClock) clock = knl_paused_clock_new ();
  g_autoptr (KnlKernel) kernel = knl_kernel_new (knl_paused_clock_runtime (clock), 1);
  CountingTask *task = g_new0 (CountingTask, 1);
  guint received = 0;
  gboolean destroyed = FALSE;
  KnlTaskId id;

  task->base.klass = &counting_class;
  task->received = &received;
  task->destroyed = &destroyed;
  id = knl_task_start (kernel, &task->base, "counter");
  CU_ASSERT_EQUAL (knl_registry_find (kernel, "counter"), id);
  CU_ASSERT_TRUE (knl_post (kernel, id, message_new (1)));
  CU_ASSERT_TRUE (knl_post (kernel, id, message_new (9)));
  CU_ASSERT_TRUE (knl_post (kernel, id, message_new (2)));
  CU_ASSERT_EQUAL (received, 0);
  knl_paused_clock_advance (clock, 0);
  CU_ASSERT_EQUAL (received, 2);
  CU_ASSERT_TRUE (destroyed);
  CU_ASSERT_EQUAL (knl_registry_find (kernel, "counter"), 0);
  CU_ASSERT_FALSE (knl_post (kernel, id, message_new (3)));
}

/*
 * Guards against a resumed process that still acts on an expired lease: its clock
 * must include the time for which it was stopped. The kernel is frozen past a
 * timer's deadline; the timer must fire late, with the current time.
 */
static void
test_a_frozen_kernel_runs_late_and_sees_the_time_that_passed (void)
{
  g_autoptr (KnlPausedClock) clock = knl_paused_clock_new ();
  KnlRuntime *runtime = knl_paused_clock_runtime (clock);
  g_autoptr (KnlKernel) kernel = knl_kernel_new (runtime, 1);
  g_autoptr (GString) text = g_string_new (NULL);
  Mark mark = { text, 'x' };

  knl_timer_start (kernel, KNL_SEC, append_mark, &mark);
  knl_paused_runtime_set_frozen (runtime, TRUE);
  knl_paused_clock_advance (clock, 5 * KNL_SEC);
  CU_ASSERT_STRING_EQUAL (text->str, "");
  knl_paused_runtime_set_frozen (runtime, FALSE);
  knl_paused_clock_advance (clock, 0);
  CU_ASSERT_STRING_EQUAL (text->str, "x");
  CU_ASSERT_EQUAL (knl_kernel_now (kernel), knl_paused_clock_now (clock));
}

/* A job that appends its mark in each slice; with `stops_itself` it stops in its first slice. */
typedef struct
{
  Mark mark;
  KnlKernel *kernel;
  KnlJobId id;
  guint slices_left;
  gboolean stops_itself;
} SliceJob;

static gboolean
take_slice (gpointer data)
{
  SliceJob *self = data;

  append_mark (&self->mark);
  if (self->stops_itself)
    knl_job_stop (self->kernel, &self->id);
  return --self->slices_left > 0;
}

/*
 * Guards against streams that stall while an instance applies a large
 * configuration. The work is split into slices, but if several slices run in one
 * iteration of the loop, sockets and timers still wait for all of them.
 */
static void
test_jobs_run_one_slice_per_iteration (void)
{
  g_autoptr (KnlPausedClock) clock = knl_paused_clock_new ();
  g_autoptr (KnlKernel) kernel = knl_kernel_new (knl_paused_clock_runtime (clock), 1);
  g_autoptr (GString) text = g_string_new (NULL);
  Mark timer = { text, 't' };
  SliceJob first = { .mark = { text, 'a' }, .kernel = kernel, .slices_left = 3 };
  SliceJob second = { .mark = { text, 'b' }, .kernel = kernel, .slices_left = 2 };

  first.id = knl_job_start (kernel, take_slice, &first);
  second.id = knl_job_start (kernel, take_slice, &second);
  knl_kernel_run_due (kernel);
  CU_ASSERT_STRING_EQUAL (text->str, "a");
  knl_timer_start (kernel, 0, append_mark, &timer);
  knl_kernel_run_due (kernel);
  CU_ASSERT_STRING_EQUAL (text->str, "atb");
  knl_paused_clock_advance (clock, 0);
  CU_ASSERT_STRING_EQUAL (text->str, "atbaba");
}

static void
test_jobs_that_are_stopped (void)
{
  g_autoptr (KnlPausedClock) clock = knl_paused_clock_new ();
  g_autoptr (KnlKernel) kernel = knl_kernel_new (knl_paused_clock_runtime (clock), 1);
  g_autoptr (GString) text = g_string_new (NULL);
  SliceJob self_stopping = {
    .mark = { text, 'a' }, .kernel = kernel, .slices_left = 3, .stops_itself = TRUE
  };
  SliceJob other = { .mark = { text, 'b' }, .kernel = kernel, .slices_left = 3 };
  SliceJob unfinished = { .mark = { text, 'c' }, .kernel = kernel, .slices_left = 9 };

  self_stopping.id = knl_job_start (kernel, take_slice, &self_stopping);
  other.id = knl_job_start (kernel, take_slice, &other);
  knl_kernel_run_due (kernel);
  knl_kernel_run_due (kernel);
  CU_ASSERT_STRING_EQUAL (text->str, "ab");
  knl_job_stop (kernel, &other.id);
  CU_ASSERT_EQUAL (self_stopping.id, 0);
  knl_paused_clock_advance (clock, KNL_SEC);
  CU_ASSERT_STRING_EQUAL (text->str, "ab");
  /* A job that isn't done is freed with its kernel. */
  unfinished.id = knl_job_start (kernel, take_slice, &unfinished);
}

static void
take_time (gpointer data)
{
  knl_paused_clock_advance (data, 5 * KNL_MSEC);
}

static void
record_callback (const char *name, KnlTime duration, gpointer data)
{
  g_string_append_printf (data, "%s %d;", strrchr (name, ':'), (int)(duration / KNL_MSEC));
}

static void
test_meter_reports_names_and_durations (void)
{
  g_autoptr (KnlPausedClock) clock = knl_paused_clock_new ();
  g_autoptr (KnlKernel) kernel = knl_kernel_new (knl_paused_clock_runtime (clock), 1);
  g_autoptr (GString) text = g_string_new (NULL);

  knl_kernel_set_meter (kernel, record_callback, text);
  knl_timer_start (kernel, KNL_MSEC, take_time, clock);
  knl_paused_clock_advance (clock, KNL_MSEC);
  CU_ASSERT_STRING_EQUAL (text->str, ":take_time 5;");
}

static void
do_nothing (gpointer data)
{
}

/* Guards against what a paused process reads after its pause counting as just arrived. */
static void
test_earliest_arrival (void)
{
  g_autoptr (KnlPausedClock) clock = knl_paused_clock_new ();
  KnlRuntime *runtime = knl_paused_clock_runtime (clock);
  g_autoptr (KnlKernel) kernel = knl_kernel_new (runtime, 1);
  KnlTime paused_at;

  knl_timer_start (kernel, KNL_SEC, do_nothing, NULL);
  knl_paused_clock_advance (clock, KNL_SEC);
  paused_at = knl_kernel_now (kernel);
  CU_ASSERT_EQUAL (knl_kernel_earliest_arrival (kernel), paused_at);
  knl_timer_start (kernel, 100 * KNL_MSEC, do_nothing, NULL);
  knl_paused_runtime_set_frozen (runtime, TRUE);
  knl_paused_clock_advance (clock, 3 * KNL_SEC);
  knl_paused_runtime_set_frozen (runtime, FALSE);
  CU_ASSERT_EQUAL (knl_kernel_earliest_arrival (kernel), paused_at);
  /* More may wait in the sockets than is read at once. */
  knl_paused_clock_advance (clock, 100 * KNL_MSEC);
  CU_ASSERT_EQUAL (knl_kernel_earliest_arrival (kernel), paused_at);
  knl_paused_clock_advance (clock, KNL_SEC);
  CU_ASSERT_EQUAL (knl_kernel_earliest_arrival (kernel), knl_kernel_now (kernel));
}

static void
count_signal (evutil_socket_t number, short what, void *data)
{
  (*(guint *)data)++;
}

/* Guards against a process that is ended without a word by a signal that comes while it starts. */
static void
test_signals_in_the_start_are_handled (void)
{
  static const int numbers[] = { SIGTERM, SIGINT };

  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      KnlProcess process = { 0 };
      guint n_handled = 0;

      knl_process_hold_signals ();
      kill (getpid (), numbers[i]);
      knl_process_open (&process, 1);
      kill (getpid (), numbers[i]);
      knl_process_catch_signals (&process, count_signal, &n_handled);
      while (n_handled == 0)
        event_base_loop (process.base, EVLOOP_ONCE);
      kill (getpid (), numbers[i]);
      while (n_handled == 1)
        event_base_loop (process.base, EVLOOP_ONCE);
      CU_ASSERT_EQUAL (n_handled, 2);
      knl_process_close (&process);
    }
}

static const SuiteCase cases[] = {
  { "timers fire in order of deadline, then of start",
    test_timers_fire_in_order_of_deadline_then_start },
  { "a stopped task gets no more messages and loses its name",
    test_a_stopped_task_gets_no_more_messages_and_loses_its_name },
  { "a frozen kernel runs late and sees the time that passed",
    test_a_frozen_kernel_runs_late_and_sees_the_time_that_passed },
  { "jobs run one slice per loop iteration", test_jobs_run_one_slice_per_iteration },
  { "jobs that are stopped", test_jobs_that_are_stopped },
  { "the meter reports the name and duration of a callback",
    test_meter_reports_names_and_durations },
  { "earliest arrival", test_earliest_arrival },
  { "signals in the start are handled", test_signals_in_the_start_are_handled },
};

SUITE_MAIN ("kernel", cases)
