#pragma once

/**
 * Failure detection among controllers: one is probed each period, in a shuffled
 * order that visits all of them. If it does not answer in time, a few others
 * are asked to probe it, so that one broken network path is not mistaken for a
 * failed member.
 */

#include "kernel/kernel.h"
#include "wire/alderturn.pb-c.h"

typedef struct CoProber CoProber;

/** Callbacks of the prober. */
typedef struct
{
  /** Adds the names of all members to probe; they are copied. */
  void (*list) (GPtrArray *names, gpointer data);
  /** Whether that member should still be probed. */
  gboolean (*is_target) (const char *name, gpointer data);
  /** Returns the name of a random dead member, or NULL. */
  const char *(*choose_dead) (gpointer data);
  void (*send_probe) (const char *to, guint64 sequence, const char *target, gpointer data);
  void (*send_ack) (const char *to, guint64 sequence, const char *target, gpointer data);
  /** Called when neither a direct nor an indirect probe of the member was acknowledged. */
  void (*unanswered) (const char *name, gpointer data);
  /**
   * Called once each period; `stall` is how long this process failed to run (it
   * was stopped), or 0.
   */
  void (*period) (KnlTime stall, gpointer data);
} CoProberCallbacks;

CoProber *co_prober_new (KnlKernel *kernel,
                         const char *self,
                         KnlTime period,
                         KnlTime direct_timeout,
                         KnlTime dead_probe_interval,
                         const CoProberCallbacks *callbacks,
                         gpointer data);
void co_prober_free (CoProber *prober);

void co_prober_handle_probe (CoProber *prober, const char *from, const Alderturn__Probe *probe);
void co_prober_handle_ack (CoProber *prober, const char *from, const Alderturn__ProbeAck *ack);
