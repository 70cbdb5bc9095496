/** What a request tells of the segments of its prompt, and whether they keep it from being sent. */

#include "common/log.h"
#include "serve/core_internal.h"

static SvSegmentUse
use_of (const SvRequest *self)
{
  return (SvSegmentUse){
    .request = self->fingerprint,
    .endpoint = self->placement.first->key,
    .service = sv_quarantine_service (self->service->name),
    .at = sv_request_now (self),
    .segments = self->params.segments,
  };
}

static void
announce (const SvCore *core)
{
  SvPeerLink *link = core->parts.link;

  link->klass->crashes_changed (link);
}

/* An endpoint that has written the answer for a while hasn't ended because of the prompt. */
static gboolean
was_to_begin (const SvRequest *self)
{
  return self->writing_since == 0 || sv_request_now (self) - self->writing_since < SV_CRASH_WINDOW;
}

void
sv_request_note_segments_lost (SvRequest *self)
{
  SvSegmentUse use = use_of (self);

  if (!was_to_begin (self))
    use.segments.n = 0;
  if (sv_quarantine_note_loss (self->core->quarantine, &use, SV_CRASH_OWN))
    announce (self->core);
}

void
sv_request_note_begun (SvRequest *self)
{
  SvSegmentUse use = use_of (self);

  self->writing_since = use.at;
  if (sv_quarantine_note_begun (self->core->quarantine, &use))
    announce (self->core);
}

void
sv_request_forget_begun (SvRequest *self)
{
  if (self->writing_since > 0 && self->params.segments.n > 0)
    sv_quarantine_forget_begun (self->core->quarantine, self->fingerprint,
                                self->placement.first->key);
}

static void
log_refusal (const SvRequest *self, const SvQuarantined *quarantined)
{
  g_autofree char *segment = sv_segment_format (quarantined->segment);

  cm_log (CM_LOG_NOTICE, "request-quarantined", "s", "request", self->params.id, "s", "segment",
          segment, "s", "service", self->service->name, "i", "endpoints",
          (gint64)quarantined->n_losses, "i", "age-us", sv_request_now (self) - quarantined->since,
          "i", "sends", (gint64)self->sends);
}

gboolean
sv_request_is_quarantined (SvRequest *self)
{
  SvCore *core = self->core;
  const SvPeerLink *link = core->parts.link;
  const SvQuarantined *quarantined;

  if (self->is_test)
    return FALSE;
  quarantined =
      sv_quarantine_check (core->quarantine, sv_quarantine_service (self->service->name),
                           &self->params.segments, link->klass->n_instances (link), &self->is_test);
  if (quarantined == NULL)
    return FALSE;
  log_refusal (self, quarantined);
  return TRUE;
}

/* A prompt whose answer hasn't begun can still be kept from crashing its endpoint. */
static SvRequest *
find_quarantined (SvCore *self)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, self->requests);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      SvRequest *request = key;

      if (request->exchange != NULL && request->writing_since == 0
          && sv_request_is_quarantined (request))
        return request;
    }
  return NULL;
}

static void
on_quarantined (gpointer data)
{
  SvCore *self = data;
  SvRequest *request;

  self->quarantine_timer = 0;
  while ((request = find_quarantined (self)) != NULL)
    {
      sv_request_cancel_send (request);
      request->runs++;
      sv_request_give_up (request, "segment-quarantined");
    }
}

void
sv_core_note_quarantine (gpointer data)
{
  SvCore *self = data;

  announce (self);
  sv_meters_set_quarantined (self->meters, sv_quarantine_n (self->quarantine));
  if (self->quarantine_timer == 0)
    self->quarantine_timer = knl_timer_start (self->parts.kernel, 0, on_quarantined, self);
}
