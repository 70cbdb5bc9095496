/** What a request tells of crashes: of itself, and of the segments of its prompt; and whether these
 * keep it from being sent. */

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

static void
note_segments_lost (SvRequest *self)
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
  g_autofree char *id = sv_quarantined_format (quarantined);

  cm_log (CM_LOG_NOTICE, "request-quarantined", "s", "request", self->params.id, "s",
          sv_quarantined_field (quarantined), id, "s", "service", self->service->name, "i",
          "endpoints", (gint64)quarantined->n_losses, "i", "age-us",
          sv_request_now (self) - quarantined->since, "i", "sends", (gint64)self->sends);
}

static const SvQuarantined *
find_quarantined_part (SvRequest *self)
{
  SvCore *core = self->core;
  SvSegments whole = { { self->fingerprint }, 1 };
  const SvQuarantined *quarantined =
      sv_quarantine_check (core->quarantine, SV_QUARANTINE_REQUESTS, &whole, &self->is_test);

  if (quarantined != NULL)
    return quarantined;
  return sv_quarantine_check (core->quarantine, sv_quarantine_service (self->service->name),
                              &self->params.segments, &self->is_test);
}

const char *
sv_request_quarantine_reason (SvRequest *self)
{
  const SvQuarantined *quarantined;

  if (self->is_test)
    return NULL;
  quarantined = find_quarantined_part (self);
  if (self->is_test)
    announce (self->core);
  if (quarantined == NULL)
    return NULL;
  log_refusal (self, quarantined);
  return quarantined->service == SV_QUARANTINE_REQUESTS ? "crashes-endpoints"
                                                        : "segment-quarantined";
}

const char *
sv_request_crash_refusal (SvRequest *self)
{
  if (!self->is_test && !self->is_crash_test
      && sv_crashes_is_refused (self->core->crashes, self->fingerprint, &self->is_crash_test))
    return "crashes-endpoints";
  return sv_request_quarantine_reason (self);
}

/*
 * What shows here is only that the connection ended, or that nothing comes any more. A kept
 * connection that closes may have been idle for too long, or the endpoint may have crashed; an
 * answer of the endpoint to anyone tells them apart, see SvCrashes.
 */
void
sv_request_note_crash (SvRequest *self, const char *fault, gboolean ended)
{
  SvCore *core = self->core;
  const SvEndpoint *endpoint = self->placement.first;
  KnlTime now = sv_request_now (self);
  SvCrash crash = { self->fingerprint, endpoint->key, now };
  g_autofree char *fingerprint = g_strdup_printf ("%016" G_GINT64_MODIFIER "x", self->fingerprint);
  g_autofree char *segments = sv_segments_format (&self->params.segments);

  if (ended)
    note_segments_lost (self);
  if (!sv_crashes_note_loss (core->crashes, &crash, SV_CRASH_OWN))
    return;
  cm_log (CM_LOG_NOTICE, "crash-suspected", "s", "request", self->params.id, "s", "fingerprint",
          fingerprint, "s", "segments", segments, "s", "endpoint", endpoint->id, "s", "fault",
          fault, "i", "since-sent-us", now - self->sent_at, "i", "writing-us",
          self->writing_since > 0 ? now - self->writing_since : (gint64)-1, "i",
          "endpoint-silent-us",
          endpoint->last_seen_at > 0 ? now - endpoint->last_seen_at : (gint64)-1, "i", "crashes",
          (gint64)sv_crashes_count (core->crashes, self->fingerprint));
  sv_meters_note_crash (core->meters, self->service->name);
  announce (core);
}

/* Whether the answer shows that the endpoint has run the request and survived it. One that fails,
 * and an engine that rejects a prompt, may not have begun to. */
static gboolean
shows_survival (const SvRequest *self, const HtMessage *answer)
{
  if (sv_request_is_streaming (self) && sv_request_is_stream_torn (self, answer))
    return FALSE;
  return answer->status < 300 || (answer->status < 500 && self->params.prompt_tokens == 0);
}

static gboolean
note_survived (SvRequest *self, KnlTime at)
{
  SvSegmentSurvival survival = { SV_QUARANTINE_REQUESTS, at, { { self->fingerprint }, 1 } };

  return sv_quarantine_note_survival (self->core->quarantine, &survival, SV_CRASH_OWN);
}

void
sv_request_note_answered (SvRequest *self, const HtMessage *answer)
{
  SvCore *core = self->core;
  SvAcquittal acquittal = { self->fingerprint, knl_kernel_earliest_arrival (core->parts.kernel) };
  gboolean is_news;

  if (!shows_survival (self, answer))
    return;
  is_news = note_survived (self, acquittal.answered_at);
  is_news |= sv_crashes_note_answer (core->crashes, &acquittal, SV_CRASH_OWN);
  if (is_news)
    announce (core);
}

/* A prompt whose answer hasn't begun can still be kept from crashing its endpoint. */
static SvRequest *
find_quarantined (SvCore *self, const char **reason)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, self->requests);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      SvRequest *request = key;

      if (request->exchange == NULL || request->writing_since > 0)
        continue;
      *reason = sv_request_quarantine_reason (request);
      if (*reason != NULL)
        return request;
    }
  return NULL;
}

static void
on_quarantined (gpointer data)
{
  SvCore *self = data;
  SvRequest *request;
  const char *reason;

  self->quarantine_timer = 0;
  while ((request = find_quarantined (self, &reason)) != NULL)
    {
      request->runs += ht_exchange_has_sent (request->exchange);
      sv_request_cancel_send (request);
      sv_request_give_up (request, reason);
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
