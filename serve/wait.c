/** Requests for engines wait here until there is room for them, or are refused if there will be
 * none in time; see policy/wait.h and serve/queue.h. */

#include "common/log.h"
#include "serve/core_internal.h"
#include "serve/engine_model.h"
#include "serve/room.h"

typedef enum
{
  TURN_SEND,
  TURN_STAY,
  TURN_ENDED, /* it was refused, and is freed */
} Turn;

static KnlTime
until (KnlTime end, KnlTime now)
{
  return end == KNL_NEVER ? KNL_NEVER : end - now;
}

KnlTime
sv_request_event_left (const SvRequest *self)
{
  KnlTime now = sv_request_now (self);
  KnlTime left = until (self->deadline, now);
  KnlTime since = MAX (self->begun_at, self->last_event_at);

  if (self->route->max_silence == 0)
    return left;
  return MIN (left, since + self->route->max_silence - now);
}

/* A stream that goes on elsewhere has had its room, but needs memory anew. */
static gboolean
needs_room (const SvRequest *self)
{
  gboolean has_run = self->runs > 0 || self->params.last_event != NULL;

  return self->placement.is_prompt && (!has_run || self->placement.lacks_memory);
}

static SvLane
lane_of (const SvRequest *self)
{
  return self->placement.is_split ? SV_LANE_LONG : SV_LANE_SHORT;
}

/* Time of an answer: the usual one, if the service declares it, and not less than that of its own.
 */
static KnlTime
turnover_of (const SvRequest *self)
{
  KnlTime usual = (KnlTime)(sv_model_turnover_ms (&self->service->engine) * KNL_MSEC);
  KnlTime own = self->placement.shortest + self->placement.rest;

  return MAX (MAX (usual, own), KNL_MSEC);
}

/* Time until its endpoints have what they lack. Memory is freed, and streams that it would delay
 * end, within the time of an answer. */
static KnlTime
lack_ends_in (const SvRequest *self)
{
  const SvPlacement *placement = &self->placement;
  SvLack lack = sv_room_lack (placement);

  if (placement->exceeds_memory)
    return KNL_NEVER;
  if (lack == SV_LACK_NONE)
    return 0;
  if (lack == SV_LACK_PREFILL)
    return placement->backlog;
  if (placement->is_split)
    return turnover_of (self);
  return sv_queue_time_for (sv_core_queue (self->core, self->service), &self->waiter,
                            self->waiter.work);
}

static KnlTime
room_in (const SvRequest *self, KnlTime ahead)
{
  KnlTime own = lack_ends_in (self);

  if (own == KNL_NEVER)
    return KNL_NEVER;
  return own + sv_queue_time_for (sv_core_queue (self->core, self->service), &self->waiter, ahead);
}

/* `first`: expected time to the first event. */
static PolWaitCase
wait_case (const SvRequest *self, KnlTime first)
{
  return (PolWaitCase){
    .event_left = sv_request_event_left (self),
    .left = until (self->deadline, sv_request_now (self)),
    .first = first,
    .rest = self->placement.rest,
  };
}

/* How long it can wait for room. */
static KnlTime
longest_wait (const SvRequest *self)
{
  PolWaitCase due = wait_case (self, self->placement.shortest);

  return pol_wait_longest (&due);
}

guint
sv_request_urgency (const SvRequest *self)
{
  PolWaitCase due = wait_case (self, self->placement.expected);

  return pol_wait_urgency (&due, sv_request_priority (self));
}

KnlTime
sv_request_room_age (const SvRequest *self)
{
  const SvEndpoint *endpoint = self->placement.first;

  return endpoint->last_seen_at > 0 ? sv_request_now (self) - endpoint->last_seen_at : -1;
}

static gint64
or_none (KnlTime time)
{
  return time == KNL_NEVER ? -1 : time;
}

/* The inputs of a decision to let it wait or refuse it. */
static void
log_decision (const SvRequest *self, const char *event, const char *reason, const PolWaitCase *due)
{
  const SvPlacement *placement = &self->placement;

  cm_log (CM_LOG_INFO, event, "s", "request", self->params.id, "s", "reason", reason, "i",
          "priority", (gint64)self->waiter.key.rank, "b", "over-share",
          self->waiter.key.is_over_share, "i", "waited-us", sv_request_now (self) - self->begun_at,
          "i", "left-us", or_none (due->left), "i", "event-left-us", or_none (due->event_left), "i",
          "expected-us", due->first, "i", "rest-us", due->rest, "i", "room-in-us", due->room_in,
          "i", "room-age-us", sv_request_room_age (self), "i", "free-slots",
          (gint64)placement->free_slots, "b", "lacks-memory", placement->lacks_memory, "i",
          "backlog-us", placement->backlog, "f", "late-streams", placement->late_streams, "i",
          "waiting",
          (gint64)sv_queue_length (sv_core_queue (self->core, self->service), lane_of (self)));
}

static const char *
missing_room (const SvRequest *self)
{
  return sv_lack_name (sv_room_lack (&self->placement));
}

static void
refuse (SvRequest *self, const char *reason, const PolWaitCase *due)
{
  sv_request_leave_queue (self);
  log_decision (self, "request-refused", reason, due);
  sv_request_give_up (self, reason);
}

/* `ahead` and `may_send` as of SvTurnFunc. */
static Turn
take_turn (SvRequest *self, KnlTime ahead, gboolean may_send)
{
  const SvPlacement *placement = &self->placement;
  gboolean has_room = may_send && sv_room_is_free (placement, longest_wait (self));
  PolWaitCase due = wait_case (self, has_room ? placement->expected : placement->shortest);

  due.has_room = has_room;
  due.room_in = room_in (self, ahead);
  switch (pol_wait_decide (&due))
    {
    case POL_WAIT_SEND:
      sv_queue_note_sent (sv_core_queue (self->core, self->service), &self->waiter);
      sv_request_leave_queue (self);
      return TURN_SEND;
    case POL_WAIT_NO_TIME:
      refuse (self, "too-little-time", &due);
      return TURN_ENDED;
    case POL_WAIT_NO_ROOM:
      self->lacks_room = TRUE;
      refuse (self, missing_room (self), &due);
      return TURN_ENDED;
    case POL_WAIT_STAY:
      break;
    }
  if (self->waiter.place == NULL)
    log_decision (self, "request-waits", missing_room (self), &due);
  return TURN_STAY;
}

gboolean
sv_request_on_turn (SvWaiter *waiter, KnlTime ahead, gboolean may_send)
{
  SvRequest *self = waiter->request;

  if (may_send && !sv_request_prepare (self))
    return FALSE;
  switch (take_turn (self, ahead, may_send))
    {
    case TURN_SEND:
      sv_request_dispatch (self);
      return FALSE;
    case TURN_STAY:
      return TRUE;
    default:
      return FALSE;
    }
}

static KnlTime
work_of (const SvRequest *self)
{
  const SvRequestParams *params = &self->params;

  return (KnlTime)(sv_model_request_ms (&self->service->engine, (double)params->prompt_tokens,
                                        (double)sv_request_usual_answer (self))
                   * KNL_MSEC);
}

/* Callers choose instances at random, so that each may expect an equal part of the slots that are
 * left when all are taken. Long prompts are rare, and what others have placed of them is known as
 * queued prefill: one that waits here may expect all the time of the engines after that. */
static void
update_capacity (const SvRequest *self, SvQueue *queue)
{
  SvPeerLink *link = self->core->parts.link;
  double engines = self->placement.engines;
  SvCapacity capacity = {
    .engines = { [SV_LANE_SHORT] = engines / MAX (link->klass->n_instances (link), 1),
                 [SV_LANE_LONG] = engines },
    .turnover = turnover_of (self),
  };

  sv_queue_set_capacity (queue, &capacity);
}

static void
init_waiter (SvRequest *self, SvQueue *queue)
{
  KnlTime longest = longest_wait (self);

  self->waiter = (SvWaiter){
    .key = { .rank = sv_request_priority (self),
             .is_over_share = self->is_over_share,
             .latest = longest == KNL_NEVER ? KNL_NEVER : sv_request_now (self) + longest,
             .number = sv_queue_next_number (queue) },
    .lane = lane_of (self),
    .work = work_of (self),
    .request = self,
  };
}

gboolean
sv_request_take_turn (SvRequest *self)
{
  SvQueue *queue;

  if (!needs_room (self))
    return TRUE;
  queue = sv_core_queue (self->core, self->service);
  update_capacity (self, queue);
  init_waiter (self, queue);
  sv_queue_note_arrival (queue, &self->waiter);
  if (sv_queue_has_before (queue, self->waiter.lane, &self->waiter.key))
    {
      sv_queue_push (queue, &self->waiter);
      sv_queue_look (queue, self->waiter.lane);
      return FALSE;
    }
  switch (take_turn (self, 0, TRUE))
    {
    case TURN_SEND:
      return TRUE;
    case TURN_STAY:
      sv_queue_push (queue, &self->waiter);
      return FALSE;
    default:
      return FALSE;
    }
}

void
sv_request_leave_queue (SvRequest *self)
{
  if (self->waiter.place != NULL)
    sv_queue_remove (sv_core_queue (self->core, self->service), &self->waiter);
}
