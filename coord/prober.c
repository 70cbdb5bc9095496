#include "coord/prober.h"

/** Number of controllers asked to probe a member that does not answer. */
#define HELPERS 3

/** Maximum number of open probes on behalf of other controllers; a new one replaces the oldest. */
#define RELAYS 64

typedef struct
{
  guint64 sequence; /* of the probe sent to the target; 0: unused slot */
  guint64 wanted;   /* of the requester's probe */
  char *requester;
  char *target;
} Relay;

struct CoProber
{
  KnlKernel *kernel;
  char *self;
  KnlTime period;
  KnlTime direct;
  KnlTime dead_probe;
  const CoProberOwner *owner;
  gpointer data;
  guint64 sequence;
  GPtrArray *order; /* names still to probe in this round */
  char *target;     /* currently probed, or NULL */
  guint64 target_sequence;
  KnlTime expected; /* when the next period should begin */
  KnlTime next_dead;
  KnlTimerId period_timer;
  KnlTimerId direct_timer;
  Relay relays[RELAYS];
  guint next_relay;
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

  prober->owner->list (names, prober->data);
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
  for (guint pass = 0; pass < 2; pass++)
    {
      while (prober->order->len > 0)
        {
          char *name = g_ptr_array_steal_index (prober->order, prober->order->len - 1);

          if (prober->owner->is_target (name, prober->data))
            return name;
          g_free (name);
        }
      if (pass == 0)
        {
          g_ptr_array_unref (prober->order);
          prober->order = list_targets (prober);
        }
    }
  return NULL;
}

static void
ask_helpers (gpointer data)
{
  CoProber *prober = data;
  GPtrArray *names;
  guint asked = 0;

  prober->direct_timer = 0;
  if (prober->target == NULL)
    return;
  names = list_targets (prober);
  for (guint i = 0; i < names->len && asked < HELPERS; i++)
    {
      const char *helper = g_ptr_array_index (names, i);

      if (g_str_equal (helper, prober->target))
        continue;
      prober->owner->send_probe (helper, prober->target_sequence, prober->target, prober->data);
      asked++;
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
  prober->direct_timer = knl_timer_start (prober->kernel, prober->direct, ask_helpers, prober);
  prober->owner->send_probe (prober->target, prober->target_sequence, prober->target, prober->data);
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

  if (now < prober->next_dead)
    return;
  prober->next_dead = now + prober->dead_probe;
  name = prober->owner->choose_dead (prober->data);
  if (name != NULL)
    prober->owner->send_probe (name, ++prober->sequence, name, prober->data);
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
  KnlTime late = now - prober->expected;
  char *silent = NULL;

  if (late < prober->period / 2)
    {
      late = 0;
      silent = g_strdup (prober->target);
    }
  end_probe (prober);
  prober->expected = now + prober->period;
  prober->period_timer = knl_timer_start (prober->kernel, prober->period, on_period, prober);
  if (silent != NULL)
    prober->owner->unanswered (silent, prober->data);
  g_free (silent);
  prober->owner->period (late, prober->data);
  probe_next (prober);
  probe_dead (prober);
}

static void
relay_clear (Relay *relay)
{
  g_free (relay->requester);
  g_free (relay->target);
  *relay = (Relay){ 0 };
}

static void
relay_probe (CoProber *prober, const char *from, const Alderturn__Probe *probe)
{
  Relay *relay = &prober->relays[prober->next_relay];

  prober->next_relay = (prober->next_relay + 1) % RELAYS;
  relay_clear (relay);
  *relay = (Relay){ .sequence = ++prober->sequence,
                    .wanted = probe->sequence,
                    .requester = g_strdup (from),
                    .target = g_strdup (probe->target) };
  prober->owner->send_probe (relay->target, relay->sequence, relay->target, prober->data);
}

void
co_prober_handle_probe (CoProber *prober, const char *from, const Alderturn__Probe *probe)
{
  if (probe->target[0] == '\0' || g_str_equal (probe->target, prober->self))
    prober->owner->send_ack (from, probe->sequence, prober->self, prober->data);
  else
    relay_probe (prober, from, probe);
}

void
co_prober_handle_ack (CoProber *prober, const char *from, const Alderturn__ProbeAck *ack)
{
  if (prober->target != NULL && ack->sequence == prober->target_sequence
      && g_str_equal (ack->target, prober->target))
    end_probe (prober);
  for (guint i = 0; i < RELAYS; i++)
    {
      Relay *relay = &prober->relays[i];

      if (relay->sequence == 0 || relay->sequence != ack->sequence
          || !g_str_equal (relay->target, ack->target) || !g_str_equal (relay->target, from))
        continue;
      prober->owner->send_ack (relay->requester, relay->wanted, relay->target, prober->data);
      relay_clear (relay);
    }
}

CoProber *
co_prober_new (KnlKernel *kernel,
               const char *self,
               KnlTime period,
               KnlTime direct,
               KnlTime dead_probe,
               const CoProberOwner *owner,
               gpointer data)
{
  CoProber *prober = g_new0 (CoProber, 1);
  KnlTime first = (KnlTime)(g_rand_double (knl_kernel_rand (kernel)) * (double)period);

  prober->kernel = kernel;
  prober->self = g_strdup (self);
  prober->period = period;
  prober->direct = direct;
  prober->dead_probe = dead_probe;
  prober->owner = owner;
  prober->data = data;
  prober->order = g_ptr_array_new_with_free_func (g_free);
  prober->expected = knl_kernel_now (kernel) + first;
  prober->next_dead = prober->expected + dead_probe;
  prober->period_timer = knl_timer_start (kernel, first, on_period, prober);
  return prober;
}

void
co_prober_free (CoProber *prober)
{
  end_probe (prober);
  knl_timer_stop (prober->kernel, &prober->period_timer);
  for (guint i = 0; i < RELAYS; i++)
    relay_clear (&prober->relays[i]);
  g_ptr_array_unref (prober->order);
  g_free (prober->self);
  g_free (prober);
}
