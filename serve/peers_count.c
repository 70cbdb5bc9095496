/** The number of instances by which allowances that all of them share are divided. Taken for too
 * low, as by an instance that has just started and has found few others, it makes each part too
 * large. */

#include "common/log.h"
#include "peers_internal.h"

/* A lower number counts only after this time, or up to twice as long: those that are gone may have
 * used their parts until then. Longer than the window of any allowance. */
#define COUNT_PERIOD (30 * KNL_SEC)

static guint
known_now (const SvPeers *self)
{
  return MAX (sv_peers_n_known (self), sv_join_told_instances (self));
}

void
sv_count_init (SvPeers *self)
{
  self->count = (InstanceCount){
    .known_since = KNL_NEVER,
    .begun_at = knl_kernel_now (self->kernel),
  };
}

/* The others have counted out an instance that was paused for so long, and have divided its part:
 * it begins again as one that has just started. */
static KnlTime
known_since (const SvPeers *self)
{
  KnlTime now = knl_kernel_now (self->kernel);

  if (self->count.known_since == KNL_NEVER
      || now - knl_kernel_earliest_arrival (self->kernel) < COUNT_PERIOD)
    return self->count.known_since;
  return now;
}

void
sv_count_update (SvPeers *self)
{
  InstanceCount *count = &self->count;
  KnlTime now = knl_kernel_now (self->kernel);

  count->known_since = known_since (self);

  if (now - count->begun_at >= COUNT_PERIOD)
    {
      count->most_before = count->most;
      count->most = 0;
      count->begun_at = now;
    }
  count->most = MAX (count->most, known_now (self));
}

guint
sv_count_most (const SvPeers *self)
{
  return MAX (MAX (self->count.most, self->count.most_before), known_now (self));
}

guint
sv_count_told (const SvPeers *self)
{
  return self->count.known_since != KNL_NEVER ? sv_peers_n_known (self) : 0;
}

void
sv_peers_note_counted (SvPeers *self)
{
  if (self->count.known_since != KNL_NEVER)
    return;
  self->count.known_since = knl_kernel_now (self->kernel);
  cm_log (CM_LOG_NOTICE, "instances-counted", "i", "instances", (gint64)known_now (self), "i",
          "heard", (gint64)sv_peers_n_alive (self) + 1);
  sv_peers_update_members (self);
}

/* Parts of a fleet that don't hear each other may each know too few instances. */
SvShare
sv_count_share (const SvPeers *self)
{
  return (SvShare){
    .instances = sv_count_most (self),
    .known_since = sv_peers_is_parted (self) ? KNL_NEVER : known_since (self),
  };
}
