#include "coord/prober.h"

/** Number of controllers that are requested to probe a member that does not answer. */
#define INDIRECT_PROBES 3

/** Maximum number of open probes on behalf of other controllers; a new one replaces the oldest. */
#define MAX_RELAYED_PROBES 64

typedef struct
{
  guint64 sequence;           /* of the probe sent to the target; 0: unused slot */
  guint64 requester_sequence; /* of the requester's probe */
  char *requester;
  char *target;
} RelayedProbe;

struct CoProber
{
  KnlKernel *kernel;
  char *self;
  KnlTime period;
  KnlTime direct_timeout;
  KnlTime dead_probe_interval;
  const CoProberCallbacks *callbacks;
  gpointer data;
  guint64 sequence;
  GPtrArray *remaining; /* names still to probe in this round */
  char *target;         /* currently probed, or NULL */
  guint64 target_sequence;
  KnlTime period_due; /* when the next period should begin */
  KnlTime next_dead_probe;
  KnlTimerId period_timer;
  KnlTimerId direct_timer;
  RelayedProbe relayed_probes[MAX_RELAYED_PROBES];
  guint next_relayed;
};

static void
shuffle (GPtrArray *names, GRand *rand)
{
  for (guint i = names->len; i > 1; i--)
    {
      guint j = (guint)g_rand_int_range (rand, 0, (gint32)i);
      gpointer swap = names->pdata[i - 1];

      names->pdata[i - 1] = names->pdata[j];
      names->pdata[j] = swap;
    }
}

/** Returns copies of the names of all current targets, in random order. */
static GPtrArray *
list_targets (CoProber *prober)
{
  GPtrArray *names = g_ptr_array_new ();
  GPtrArray *copies = g_ptr_array_new_with_free_func (g_free);

  prober->callbacks->list (names, prober->data);
  for (guint i = 0; i < names->len; i++)
    g_ptr_array_add (copies, g_strdup (g_ptr_array_index (names, i)));
  g_ptr_array_unref (names);
  shuffle (copies, knl_kernel_rand (prober->kernel));
  return copies;
}

/** Returns the next target of this round, or of a new round when this one is over; NULL if none. */
static char *
next_target (CoProber *prober)
{
  for (guint round = 0; round < 2; round++)
    {
      while (prober->remaining->len > 0)
        {
          char *name = g_ptr_array_steal_index (prober->remaining, prober->remaining->len - 1);

          if (prober->callbacks->is_target (name, prober->data))
            return name;
          g_free (name);
        }
      if (round == 0)
        {
          g_ptr_array_unref (prober->remaining);
          prober->remaining = list_targets (prober);
        }
    }
  return NULL;
}

static void
ask_helpers (gpointer data)
{
  CoProber *prober = data;
  GPtrArray *names;
  guint n_sent = 0;

  prober->direct_timer = 0;
  if (prober->target == NULL)
    return;
  names = list_targets (prober);
  for (guint i = 0; i < names->len && n_sent < INDIRECT_PROBES; i++)
    {
      const char *proxy = g_ptr_array_index (names, i);

      if (g_str_equal (proxy, prober->target))
        continue;
      prober->callbacks->send_probe (proxy, prober->target_sequence, prober->target, prober->data);
      n_sent++;
    }
  g_ptr_array_unref (names);
}

static void
probe_next (CoProber *prober)
{
  prober->target = next_target (prober);
  if (prober->target == NULL)
    return;
  prober->target_sequence = ++prober->sequence;
  prober->direct_timer =
      knl_timer_start (prober->kernel, prober->direct_timeout, ask_helpers, prober);
  prober->callbacks->send_probe (prober->target, prober->target_sequence, prober->target,
                                 prober->data);
}

/*
 * After a long network partition each side has declared the other dead and no
 * longer probes it, so the two halves would stay separate after the network has
 * recovered. Probing a dead member at intervals lets them find each other
 * again.
 */
static void
probe_dead (CoProber *prober)
{
  KnlTime now = knl_kernel_now (prober->kernel);
  const char *name;

  if (now < prober->next_dead_probe)
    return;
  prober->next_dead_probe = now + prober->dead_probe_interval;
  name = prober->callbacks->choose_dead (prober->data);
  if (name != NULL)
    prober->callbacks->send_probe (name, ++prober->sequence, name, prober->data);
}

static void
end_probe (CoProber *prober)
{
  g_clear_pointer (&prober->target, g_free);
  knl_timer_stop (prober->kernel, &prober->direct_timer);
}

/*
 * A process that was stopped could not read the ack of its open probe, and
 * would suspect a healthy member. If this callback runs at least half a period
 * late, the open probe is discarded.
 */
static void
on_period (gpointer data)
{
  CoProber *prober = data;
  KnlTime now = knl_kernel_now (prober->kernel);
  KnlTime stall = now - prober->period_due;
  char *silent = NULL;

  if (stall < prober->period / 2)
    {
      stall = 0;
      silent = g_strdup (prober->target);
    }
  end_probe (prober);
  prober->period_due = now + prober->period;
  prober->period_timer = knl_timer_start (prober->kernel, prober->period, on_period, prober);
  if (silent != NULL)
    prober->callbacks->unanswered (silent, prober->data);
  g_free (silent);
  prober->callbacks->period (stall, prober->data);
  probe_next (prober);
  probe_dead (prober);
}

static void
relayed_probe_clear (RelayedProbe *relayed)
{
  g_free (relayed->requester);
  g_free (relayed->target);
  *relayed = (RelayedProbe){ 0 };
}

static void
relay_probe (CoProber *prober, const char *from, const Alderturn__Probe *probe)
{
  RelayedProbe *relayed = &prober->relayed_probes[prober->next_relayed];

  prober->next_relayed = (prober->next_relayed + 1) % MAX_RELAYED_PROBES;
  relayed_probe_clear (relayed);
  *relayed = (RelayedProbe){ .sequence = ++prober->sequence,
                             .requester_sequence = probe->sequence,
                             .requester = g_strdup (from),
                             .target = g_strdup (probe->target) };
  prober->callbacks->send_probe (relayed->target, relayed->sequence, relayed->target, prober->data);
}

void
co_prober_handle_probe (CoProber *prober, const char *from, const Alderturn__Probe *probe)
{
  if (probe->target[0] == '\0' || g_str_equal (probe->target, prober->self))
    prober->callbacks->send_ack (from, probe->sequence, prober->self, prober->data);
  else
    relay_probe (prober, from, probe);
}

void
co_prober_handle_ack (CoProber *prober, const char *from, const Alderturn__ProbeAck *ack)
{
  if (prober->target != NULL && ack->sequence == prober->target_sequence
      && g_str_equal (ack->target, prober->target))
    end_probe (prober);
  for (guint i = 0; i < MAX_RELAYED_PROBES; i++)
    {
      RelayedProbe *relayed = &prober->relayed_probes[i];

      if (relayed->sequence == 0 || relayed->sequence != ack->sequence
          || !g_str_equal (relayed->target, ack->target) || !g_str_equal (relayed->target, from))
        continue;
      prober->callbacks->send_ack (relayed->requester, relayed->requester_sequence, relayed->target,
                                   prober->data);
      relayed_probe_clear (relayed);
    }
}

CoProber *
co_prober_new (KnlKernel *kernel,
               const char *self,
               KnlTime period,
               KnlTime direct_timeout,
               KnlTime dead_probe_interval,
               const CoProberCallbacks *callbacks,
               gpointer data)
{
  CoProber *prober = g_new0 (CoProber, 1);
  KnlTime first = (KnlTime)(g_rand_double (knl_kernel_rand (kernel)) * (double)period);

  prober->kernel = kernel;
  prober->self = g_strdup (self);
  prober->period = period;
  prober->direct_timeout = direct_timeout;
  prober->dead_probe_interval = dead_probe_interval;
  prober->callbacks = callbacks;
  prober->data = data;
  prober->remaining = g_ptr_array_new_with_free_func (g_free);
  prober->period_due = knl_kernel_now (kernel) + first;
  prober->next_dead_probe = prober->period_due + dead_probe_interval;
  prober->period_timer = knl_timer_start (kernel, first, on_period, prober);
  return prober;
}

void
co_prober_free (CoProber *prober)
{
  end_probe (prober);
  knl_timer_stop (prober->kernel, &prober->period_timer);
  for (guint i = 0; i < MAX_RELAYED_PROBES; i++)
    relayed_probe_clear (&prober->relayed_probes[i]);
  g_ptr_array_unref (prober->remaining);
  g_free (prober->self);
  g_free (prober);
}
