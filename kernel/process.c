#include "kernel/process.h"

#include <malloc.h>
#include <signal.h>

#include "kernel/event_runtime.h"

/* Blocks from this size on are mapped one by one and go back to the system when they are freed. The
 * allocator raises the size by itself with each large block that is freed; such blocks then stay in
 * its heap, between others, and a process keeps several times what it holds. */
#define MAPPED_BLOCK_BYTES (128 << 10)

void
knl_process_open (KnlProcess *process, guint32 seed)
{
  mallopt (M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
  process->base = event_base_new ();
  process->runtime = knl_event_runtime_new (process->base);
  process->kernel = knl_kernel_new (process->runtime, seed);
}

static void
change_mask (int how)
{
  static const int held[] = { SIGTERM, SIGINT, SIGHUP };
  sigset_t set;

  sigemptyset (&set);
  for (guint i = 0; i < G_N_ELEMENTS (held); i++)
    sigaddset (&set, held[i]);
  sigprocmask (how, &set, NULL);
}

void
knl_process_hold_signals (void)
{
  change_mask (SIG_BLOCK);
}

void
knl_process_catch_signals (KnlProcess *process, event_callback_fn on_signal, gpointer data)
{
  static const int numbers[KNL_PROCESS_SIGNALS] = { SIGTERM, SIGINT };

  for (guint i = 0; i < KNL_PROCESS_SIGNALS; i++)
    {
      process->signals[i] = evsignal_new (process->base, numbers[i], on_signal, data);
      event_add (process->signals[i], NULL);
    }
  change_mask (SIG_UNBLOCK);
}

void
knl_process_close (KnlProcess *process)
{
  for (guint i = 0; i < KNL_PROCESS_SIGNALS; i++)
    g_clear_pointer (&process->signals[i], event_free);
  knl_kernel_free (process->kernel);
  knl_event_runtime_free (process->runtime);
  event_base_free (process->base);
}
