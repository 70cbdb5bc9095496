#include "serve/bounds.h"

/* A request admitted just before the end takes time to reach its endpoint, and clocks differ. */
#define KEY_PART 0.9

/* A negative answer is final for the caller, so it needs newer information than serving does. */
#define DENIAL_PART 0.8

/* A peer announces a configuration once it is in use there, which takes up to half of the bound. */
#define OUTDATED_PART 0.5

/* The bound counts from the time when the store is informed; this instance is informed later. */
#define LEAVE_PART 0.85

/* The release must arrive within the bound too, and one order in three may be lost. */
#define HOLD_PART 0.75

/* A release takes time to arrive, or is lost. */
#define LEASE_PART 0.9

static KnlTime
part_of (KnlTime bound, double part)
{
  return (KnlTime)(part * (double)bound);
}

KnlTime
sv_bounds_key_trust (const SvBounds *self)
{
  return self->key_withdrawal > 0 ? part_of (self->key_withdrawal, KEY_PART) : KNL_NEVER;
}

KnlTime
sv_bounds_denial_trust (const SvBounds *self)
{
  return part_of (self->new_config, DENIAL_PART);
}

KnlTime
sv_bounds_outdated (const SvBounds *self)
{
  return self->new_config > 0 ? part_of (self->new_config, OUTDATED_PART) : KNL_NEVER;
}

KnlTime
sv_bounds_leave_grace (const SvBounds *self)
{
  return part_of (self->leaving, LEAVE_PART);
}

KnlTime
sv_bounds_memory_hold (const SvBounds *self)
{
  return self->idle_memory > 0 ? part_of (self->idle_memory, HOLD_PART) : KNL_NEVER;
}

KnlTime
sv_bounds_memory_lease (const SvBounds *self)
{
  return part_of (self->unused_memory, LEASE_PART);
}
