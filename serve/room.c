#include "serve/room.h"

#include "serve/queue.h"

/* A long prompt is sent behind as much prefill as is done until its part arrives and joins a pass.
 * Endpoints read the newest part first: one that comes sooner delays the first event of the prompt
 * that is being read. */
#define ARRIVAL_TIME (30 * KNL_MSEC)

/* A part that takes less than a look delays others by less than waiting for the next one costs its
 * own caller: it is sent up to two looks sooner, before longer ones of other instances. */
#define SHORT_PART (SV_LONG_LOOK_MAX)

/* Running streams of other callers that a long prompt may make pause for longer than they tolerate:
 * not more callers than the one that it serves. */
#define MAX_LATE_STREAMS 1.0

static KnlTime
max_backlog (const SvPlacement *self)
{
  return self->part < SHORT_PART ? 2 * SV_LONG_LOOK_MAX : ARRIVAL_TIME;
}

static gboolean
delays_streams (const SvPlacement *self)
{
  return self->is_split && self->late_streams > MAX_LATE_STREAMS;
}

SvLack
sv_room_lack (const SvPlacement *self)
{
  if (self->lacks_memory)
    return SV_LACK_MEMORY;
  if (self->free_slots == 0)
    return SV_LACK_SLOTS;
  if (self->is_split && self->backlog > max_backlog (self))
    return SV_LACK_PREFILL;
  return delays_streams (self) ? SV_LACK_STREAMS : SV_LACK_NONE;
}

const char *
sv_lack_name (SvLack lack)
{
  static const char *const names[] = {
    [SV_LACK_NONE] = "others-first",           [SV_LACK_MEMORY] = "no-memory",
    [SV_LACK_SLOTS] = "endpoints-full",        [SV_LACK_PREFILL] = "prefill-queued",
    [SV_LACK_STREAMS] = "would-delay-streams",
  };

  return names[lack];
}

/* A prompt that can't wait for the prefill queued at its endpoints waits for it there. */
gboolean
sv_room_is_free (const SvPlacement *self, KnlTime longest)
{
  SvLack lack = sv_room_lack (self);

  if (lack == SV_LACK_PREFILL)
    return longest < self->backlog && !delays_streams (self);
  return lack == SV_LACK_NONE;
}
