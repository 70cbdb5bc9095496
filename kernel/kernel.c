#include "kernel/kernel.h"

/* The loop has stalled if a timer is overdue, or a run took, by more than this. */
#define STALL_THRESHOLD (150 * KNL_MSEC)

/* After a stall, sockets may still hold what arrived during it for this long, or for the second
 * time if further stalls follow. */
#define SETTLE_TIME     (500 * KNL_MSEC)
#define MAX_SETTLE_TIME (2 * KNL_SEC)

typedef struct
{
  KnlTime deadline;
  guint64 order;
  KnlTimerId id;
  KnlTimerFunc func;
  gpointer data;
  const char *name;
} Timer;

typedef struct
{
  KnlJobId id; /* 0: stopped while its slice was running */
  KnlJobFunc func;
  gpointer data;
  const char *name;
} Job;

typedef struct
{
  KnlTaskId to;
  KnlMessage *message;
} Delivery;

struct KnlKernel
{
  KnlRuntime *runtime;
  GRand *rand;
  GTree *timers;           /* Timer, by deadline, then by order of start */
  GHashTable *timer_by_id; /* KnlTimerId -> Timer, not owned */
  GHashTable *tasks;       /* KnlTaskId -> KnlTask */
  GHashTable *services;    /* name -> KnlTaskId */
  GQueue mailbox;          /* Delivery */
  GArray *stopping;        /* KnlTaskId */
  GQueue jobs;             /* Job; the head runs next */
  Job *job;                /* the job whose slice is running, or NULL */
  KnlMeterFunc meter;
  gpointer meter_data;
  guint64 last_id;
  gboolean running;
  KnlTime last_run_at;   /* start of the last run of what was due */
  KnlTime waiting_since; /* time from which sockets weren't read, as the loop had stalled */
  KnlTime stalled_until; /* end of that stall */
  KnlTime settled_at;    /* time from which nothing of it waits any more */
};

static gint
timer_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const Timer *x = a;
  const Timer *y = b;

  if (x->deadline != y->deadline)
    return x->deadline < y->deadline ? -1 : 1;
  if (x->order != y->order)
    return x->order < y->order ? -1 : 1;
  return 0;
}

static void
message_free (KnlMessage *message)
{
  if (message->destroy != NULL)
    message->destroy (message);
  else
    g_free (message);
}

static Timer *
first_timer (KnlKernel *kernel)
{
  GTreeNode *node = g_tree_node_first (kernel->timers);

  return node != NULL ? g_tree_node_key (node) : NULL;
}

static void
update_wake (KnlKernel *kernel)
{
  Timer *timer;
  KnlTime deadline = KNL_NEVER;

  if (kernel->running)
    return;
  timer = first_timer (kernel);
  if (!g_queue_is_empty (&kernel->mailbox) || kernel->stopping->len > 0
      || !g_queue_is_empty (&kernel->jobs))
    deadline = knl_kernel_now (kernel);
  else if (timer != NULL)
    deadline = timer->deadline;
  kernel->runtime->klass->wake_at (kernel->runtime, deadline);
}

KnlKernel *
knl_kernel_new (KnlRuntime *runtime, guint32 seed)
{
  KnlKernel *kernel = g_new0 (KnlKernel, 1);

  kernel->runtime = runtime;
  kernel->rand = g_rand_new_with_seed (seed);
  kernel->timers = g_tree_new_full (timer_compare, NULL, g_free, NULL);
  kernel->timer_by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  kernel->tasks = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  kernel->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  kernel->stopping = g_array_new (FALSE, FALSE, sizeof (KnlTaskId));
  g_queue_init (&kernel->mailbox);
  g_queue_init (&kernel->jobs);
  runtime->klass->attach (runtime, kernel);
  kernel->last_run_at = knl_kernel_now (kernel);
  return kernel;
}

static gboolean
service_is_of_task (gpointer key, gpointer value, gpointer data)
{
  return *(KnlTaskId *)value == *(KnlTaskId *)data;
}

static void
destroy_task (KnlKernel *kernel, KnlTaskId id)
{
  KnlTask *task = knl_task_find (kernel, id);

  if (task == NULL)
    return;
  g_hash_table_remove (kernel->tasks, &id);
  g_hash_table_foreach_remove (kernel->services, service_is_of_task, &id);
  task->klass->destroy (task);
}

static void
destroy_stopped_tasks (KnlKernel *kernel)
{
  while (kernel->stopping->len > 0)
    {
      KnlTaskId id = g_array_index (kernel->stopping, KnlTaskId, 0);

      g_array_remove_index (kernel->stopping, 0);
      destroy_task (kernel, id);
    }
}

static void
destroy_all_tasks (KnlKernel *kernel)
{
  GHashTableIter iter;
  gpointer key;

  while (g_hash_table_size (kernel->tasks) > 0)
    {
      g_hash_table_iter_init (&iter, kernel->tasks);
      if (!g_hash_table_iter_next (&iter, &key, NULL))
        break;
      destroy_task (kernel, *(KnlTaskId *)key);
    }
}

void
knl_kernel_free (KnlKernel *kernel)
{
  Delivery *delivery;

  if (kernel == NULL)
    return;
  kernel->running = TRUE;
  destroy_all_tasks (kernel);
  while ((delivery = g_queue_pop_head (&kernel->mailbox)) != NULL)
    {
      message_free (delivery->message);
      g_free (delivery);
    }
  g_queue_clear_full (&kernel->jobs, g_free);
  kernel->runtime->klass->wake_at (kernel->runtime, KNL_NEVER);
  kernel->runtime->klass->attach (kernel->runtime, NULL);
  g_hash_table_unref (kernel->timer_by_id);
  g_tree_unref (kernel->timers);
  g_hash_table_unref (kernel->services);
  g_hash_table_unref (kernel->tasks);
  g_array_unref (kernel->stopping);
  g_rand_free (kernel->rand);
  g_free (kernel);
}

KnlTime
knl_kernel_now (KnlKernel *kernel)
{
  return kernel->runtime->klass->now (kernel->runtime);
}

GRand *
knl_kernel_rand (KnlKernel *kernel)
{
  return kernel->rand;
}

static KnlTime
span_begin (KnlKernel *kernel)
{
  return kernel->meter != NULL ? knl_kernel_now (kernel) : 0;
}

void
knl_span_end (KnlKernel *kernel, KnlTime started_at, const char *name)
{
  if (kernel->meter != NULL)
    kernel->meter (name, knl_kernel_now (kernel) - started_at, kernel->meter_data);
}

void
knl_kernel_set_meter (KnlKernel *kernel, KnlMeterFunc meter, gpointer data)
{
  kernel->meter = meter;
  kernel->meter_data = data;
}

static void
deliver_to (KnlKernel *kernel, KnlTask *task, KnlMessage *message)
{
  const char *name = task->klass->name;
  KnlTime started_at = span_begin (kernel);

  task->klass->receive (task, message);
  knl_span_end (kernel, started_at, name);
}

static gboolean
deliver_next (KnlKernel *kernel)
{
  Delivery *delivery = g_queue_pop_head (&kernel->mailbox);
  KnlTask *task;

  if (delivery == NULL)
    return FALSE;
  task = knl_task_find (kernel, delivery->to);
  if (task != NULL)
    deliver_to (kernel, task, delivery->message);
  message_free (delivery->message);
  g_free (delivery);
  destroy_stopped_tasks (kernel);
  return TRUE;
}

static gboolean
fire_next (KnlKernel *kernel)
{
  Timer *timer = first_timer (kernel);
  KnlTimerFunc func;
  gpointer data;
  const char *name;
  KnlTime started_at;

  if (timer == NULL || timer->deadline > knl_kernel_now (kernel))
    return FALSE;
  func = timer->func;
  data = timer->data;
  name = timer->name;
  g_hash_table_remove (kernel->timer_by_id, &timer->id);
  g_tree_remove (kernel->timers, timer);
  started_at = span_begin (kernel);
  func (data);
  knl_span_end (kernel, started_at, name);
  return TRUE;
}

/* Runs one slice per iteration: with more, sockets would wait for all of them. */
static void
run_job (KnlKernel *kernel)
{
  Job *job = g_queue_pop_head (&kernel->jobs);
  const char *name;
  KnlTime started_at;
  gboolean more;

  if (job == NULL)
    return;
  name = job->name;
  kernel->job = job;
  started_at = span_begin (kernel);
  more = job->func (job->data);
  knl_span_end (kernel, started_at, name);
  kernel->job = NULL;
  if (more && job->id != 0)
    g_queue_push_tail (&kernel->jobs, job);
  else
    g_free (job);
}

static gboolean
is_overdue (KnlKernel *kernel, KnlTime now)
{
  const Timer *timer = first_timer (kernel);

  return timer != NULL && now - timer->deadline > STALL_THRESHOLD;
}

static void
note_stall (KnlKernel *kernel, KnlTime now)
{
  if (now >= kernel->settled_at || now - kernel->stalled_until > MAX_SETTLE_TIME)
    {
      kernel->waiting_since = kernel->last_run_at;
      kernel->stalled_until = now;
    }
  kernel->settled_at = now + SETTLE_TIME;
}

KnlTime
knl_kernel_earliest_arrival (KnlKernel *kernel)
{
  KnlTime now = knl_kernel_now (kernel);

  if (now < kernel->settled_at)
    return kernel->waiting_since;
  return is_overdue (kernel, now) ? kernel->last_run_at : now;
}

static void
begin_run (KnlKernel *kernel)
{
  KnlTime now = knl_kernel_now (kernel);

  if (is_overdue (kernel, now))
    note_stall (kernel, now);
  kernel->last_run_at = now;
  kernel->running = TRUE;
}

static void
end_run (KnlKernel *kernel)
{
  KnlTime now = knl_kernel_now (kernel);

  if (now - kernel->last_run_at > STALL_THRESHOLD)
    note_stall (kernel, now);
  kernel->running = FALSE;
}

void
knl_kernel_run_due (KnlKernel *kernel)
{
  if (kernel->running)
    return;
  begin_run (kernel);
  destroy_stopped_tasks (kernel);
  while (deliver_next (kernel) || fire_next (kernel))
    ;
  run_job (kernel);
  destroy_stopped_tasks (kernel);
  end_run (kernel);
  update_wake (kernel);
}

KnlTimerId
knl_timer_start_named (KnlKernel *kernel,
                       KnlTime delay,
                       KnlTimerFunc func,
                       gpointer data,
                       const char *name)
{
  Timer *timer = g_new0 (Timer, 1);

  timer->id = ++kernel->last_id;
  timer->order = timer->id;
  timer->deadline = knl_kernel_now (kernel) + MAX (delay, 0);
  timer->func = func;
  timer->data = data;
  timer->name = name;
  g_tree_insert (kernel->timers, timer, timer);
  g_hash_table_insert (kernel->timer_by_id, &timer->id, timer);
  update_wake (kernel);
  return timer->id;
}

void
knl_timer_stop (KnlKernel *kernel, KnlTimerId *id)
{
  Timer *timer;

  if (*id == 0)
    return;
  timer = g_hash_table_lookup (kernel->timer_by_id, id);
  *id = 0;
  if (timer == NULL)
    return;
  g_hash_table_remove (kernel->timer_by_id, &timer->id);
  g_tree_remove (kernel->timers, timer);
  update_wake (kernel);
}

KnlJobId
knl_job_start_named (KnlKernel *kernel, KnlJobFunc func, gpointer data, const char *name)
{
  Job *job = g_new0 (Job, 1);

  *job = (Job){ .id = ++kernel->last_id, .func = func, .data = data, .name = name };
  g_queue_push_tail (&kernel->jobs, job);
  update_wake (kernel);
  return job->id;
}

void
knl_job_stop (KnlKernel *kernel, KnlJobId *id)
{
  if (*id == 0)
    return;
  if (kernel->job != NULL && kernel->job->id == *id)
    kernel->job->id = 0;
  for (GList *link = kernel->jobs.head; link != NULL; link = link->next)
    {
      if (((Job *)link->data)->id != *id)
        continue;
      g_free (link->data);
      g_queue_delete_link (&kernel->jobs, link);
      break;
    }
  *id = 0;
  update_wake (kernel);
}

KnlTaskId
knl_task_start (KnlKernel *kernel, KnlTask *task, const char *service)
{
  KnlTaskId *key = g_new (KnlTaskId, 1);

  *key = ++kernel->last_id;
  task->kernel = kernel;
  task->id = *key;
  g_hash_table_insert (kernel->tasks, key, task);
  if (service != NULL)
    {
      KnlTaskId *value = g_new (KnlTaskId, 1);

      g_assert (knl_registry_find (kernel, service) == 0);
      *value = task->id;
      g_hash_table_insert (kernel->services, g_strdup (service), value);
    }
  return task->id;
}

void
knl_task_stop (KnlKernel *kernel, KnlTaskId id)
{
  g_array_append_val (kernel->stopping, id);
  update_wake (kernel);
}

KnlTask *
knl_task_find (KnlKernel *kernel, KnlTaskId id)
{
  return g_hash_table_lookup (kernel->tasks, &id);
}

KnlTaskId
knl_registry_find (KnlKernel *kernel, const char *service)
{
  KnlTaskId *id = g_hash_table_lookup (kernel->services, service);

  return id != NULL ? *id : 0;
}

gboolean
knl_post (KnlKernel *kernel, KnlTaskId to, KnlMessage *message)
{
  Delivery *delivery;

  if (knl_task_find (kernel, to) == NULL)
    {
      message_free (message);
      return FALSE;
    }
  delivery = g_new0 (Delivery, 1);
  delivery->to = to;
  delivery->message = message;
  g_queue_push_tail (&kernel->mailbox, delivery);
  update_wake (kernel);
  return TRUE;
}
