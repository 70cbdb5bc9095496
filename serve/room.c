#include "serve/room.h"

#include "serve/queue.h"

/* A long prompt is sent behind as much prefill as is done before the next look, so that no endpoint
 * runs dry meanwhile. What comes later waits here, where shorter prompts can go before it. */
#define MAX_BACKLOG SV_LONG_LOOK_MAX

/* Running streams of other callers that a long prompt may make pause for longer than they tolerate:
 * not more callers than the one that it serves. */
#define MAX_LATE_STREAMS 1.0

const char *
sv_room_lack (const SvPlacement *self)
{
  if (self->lacks_memory)
    return "no-memory";
  if (self->free_slots == 0)
    return "endpoints-full";
  return self->is_split && self->late_streams > MAX_LATE_STREAMS ? "would-delay-streams" : NULL;
}

/* A prompt that can't wait for the backlog of its endpoints waits for it there. */
gboolean
sv_room_is_free (const SvPlacement *self, KnlTime longest)
{
  if (sv_room_lack (self) != NULL)
    return FALSE;
  return !self->is_split || self->backlog <= MAX_BACKLOG || longest < self->backlog;
}
