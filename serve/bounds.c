#include "serve/bounds.h"

/* A request admitted just before the end takes time to reach its endpoint, and clocks differ. */
#define KEY_FRACTION 0.9

/* A negative answer is final for the caller, so it needs newer information than serving does. */
#define NEGATIVE_ANSWER_FRACTION 0.8

/* A peer announces a configuration once it is in use there, which takes up to half of the bound. */
#define STALE_CONFIG_FRACTION 0.5

/* A request that is sent just before the end takes time to reach its endpoint, and clocks differ.
 */
#define ZONE_FRACTION 0.9

/* The bound counts from the time when the store is informed; this instance is informed later. */
#define LEAVE_FRACTION 0.85

/* The release must arrive within the bound too, and one order in three may be lost. */
#define HOLD_FRACTION 0.75

/* A release takes time to arrive, or is lost. */
#define LEASE_FRACTION 0.9

static KnlTime
fraction_of (KnlTime bound, double fraction)
{
  return (KnlTime)(fraction * (double)bound);
}

KnlTime
sv_bounds_max_key_staleness (const SvBounds *self)
{
  return self->key_withdrawal > 0 ? fraction_of (self->key_withdrawal, KEY_FRACTION) : KNL_NEVER;
}

KnlTime
sv_bounds_max_negative_staleness (const SvBounds *self)
{
  return fraction_of (self->new_config, NEGATIVE_ANSWER_FRACTION);
}

KnlTime
sv_bounds_max_config_staleness (const SvBounds *self)
{
  return self->new_config > 0 ? fraction_of (self->new_config, STALE_CONFIG_FRACTION) : KNL_NEVER;
}

KnlTime
sv_bounds_max_zone_staleness (const SvBounds *self)
{
  return self->evacuation > 0 ? fraction_of (self->evacuation, ZONE_FRACTION) : KNL_NEVER;
}

KnlTime
sv_bounds_max_confirmation_age (const SvBounds *self)
{
  KnlTime age = sv_bounds_max_key_staleness (self);

  if (age == KNL_NEVER)
    age = sv_bounds_max_negative_staleness (self);
  return MIN (age, sv_bounds_max_zone_staleness (self));
}

KnlTime
sv_bounds_leave_grace (const SvBounds *self)
{
  return fraction_of (self->leaving, LEAVE_FRACTION);
}

KnlTime
sv_bounds_memory_hold (const SvBounds *self)
{
  return self->idle_memory > 0 ? fraction_of (self->idle_memory, HOLD_FRACTION) : KNL_NEVER;
}

KnlTime
sv_bounds_memory_lease (const SvBounds *self)
{
  return fraction_of (self->unused_memory, LEASE_FRACTION);
}
