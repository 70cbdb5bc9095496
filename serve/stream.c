/** Forwards streams in complete events, so that a broken one can resume at another endpoint. */

#include "serve/core_internal.h"

gboolean
sv_request_is_streaming (const SvRequest *self)
{
  return self->route->kind == SV_STREAM && self->answer != NULL && self->reply.status == 200
         && !self->reply.not_run;
}

gboolean
sv_request_is_stream_torn (const SvRequest *self, const HtMessage *answer)
{
  return sv_events_is_incomplete (&self->events)
         || (answer->ends_by_close && self->writing_since == 0);
}

/* A part at a slow endpoint may be what the first event waited for. */
static void
ask_if_late (const SvRequest *self, KnlTime waited)
{
  if (sv_pace_reports_is_late (&self->placement, waited) && !sv_core_has_stale_zones (self->core))
    sv_pace_reports_ask_suspects (self->core->pace_reports, &self->placement);
}

static void
begin_answer (SvRequest *self)
{
  KnlTime now = knl_kernel_now (self->core->parts.kernel);

  if (ht_call_has_begun (self->call))
    return;
  self->first_sent_at = now;
  sv_meters_note_prediction (self->core->meters, self->placement.expected, now - self->sent_at);
  ask_if_late (self, now - self->sent_at);
  ht_call_begin (self->call, 200, self->fields != NULL ? self->fields->str : NULL);
}

static void
note_gap (SvRequest *self)
{
  KnlTime now = knl_kernel_now (self->core->parts.kernel);

  if (self->last_event_at > 0)
    self->longest_gap = MAX (self->longest_gap, now - self->last_event_at);
  self->last_event_at = now;
}

/* The first event shows that the prefill of all parts is complete. */
static void
note_prefill_complete (SvRequest *self)
{
  if (!self->is_prefilling)
    return;
  for (guint i = 0; i < self->placement.n_helpers; i++)
    sv_endpoint_note_helper_success (self->placement.helpers[i]);
  sv_request_end_prefill (self);
}

/* Of a context that several endpoints hold, the load of the first has only a part. */
static void
note_pace (SvRequest *self)
{
  if (sv_service_is_engine (self->service) && !sv_placement_needs_reservation (&self->placement)
      && sv_pace_note_event (&self->pace, self->placement.first, &self->service->engine,
                             sv_request_now (self)))
    sv_request_note_pace (self);
}

static void
on_event (const SvEvent *event, gpointer data)
{
  SvRequest *self = data;

  self->last_received_at = sv_request_now (self);
  if (self->writing_since == 0)
    sv_request_note_begun (self);
  note_prefill_complete (self);
  note_pace (self);
  /* A second run may repeat events that the first has already sent. */
  if (event->id >= 0 && event->id <= self->last_event)
    return;
  begin_answer (self);
  note_gap (self);
  ht_call_send (self->call, event->bytes, event->length);
  if (event->id >= 0)
    self->last_event = event->id;
}

/* The endpoint sends bytes that are no events; they may have no end. */
static void
give_up_stream (SvRequest *self)
{
  sv_endpoint_note_loss (self->placement.first, sv_request_now (self));
  sv_request_cancel_send (self);
  sv_request_handle_loss (self, "no-events", POL_END_LOST);
}

void
sv_request_handle_bytes (SvRequest *self, const char *bytes, gsize length)
{
  sv_request_note_alive (self);
  if (!sv_events_feed (&self->events, bytes, length, on_event, self))
    give_up_stream (self);
}

void
sv_request_end_stream (SvRequest *self)
{
  begin_answer (self);
  sv_request_complete_stream (self);
}
