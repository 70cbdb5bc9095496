#include "serve/bounds.h"

/* A request that was admitted just before takes time to reach its endpoint, and clocks run apart.
 */
#define KEY_PART 0.9

/* A denial is the caller's last word on the matter, so it needs newer knowledge than service. */
#define DENIAL_PART 0.8

/* A peer tells of a configuration when it has it in use, which takes it up to half of the bound. */
#define OUTDATED_PART 0.5

/* The bound counts from when the store heard; we hear it later. */
#define LEAVE_PART 0.85

/* Giving memory back must arrive within the bound too, and one order in three may be lost. */
#define HOLD_PART 0.75

/* An order to give memory back takes time, or is lost. */
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
