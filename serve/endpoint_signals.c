/** Signals that endpoints advertise in their answers: leaving, Retry-After, that they are cold,
 * limit. */

#include "common/log.h"
#include "serve/dialect.h"

static void
note_leaving (const SvReply *self, SvEndpoint *endpoint, KnlTime at)
{
  if (!self->is_leaving || endpoint->advertised_leaving_at > 0)
    return;
  endpoint->advertised_leaving_at = at;
  sv_endpoint_begin_leaving (endpoint, at);
  cm_log (CM_LOG_NOTICE, "endpoint-leaving", "s", "endpoint", endpoint->id, "s", "request",
          self->id, "i", "status", (gint64)self->status);
}

static void
note_retry_after (const SvReply *self, SvEndpoint *endpoint, KnlTime at)
{
  if (self->retry_after == 0)
    return;
  endpoint->retry_after_until = MAX (endpoint->retry_after_until, at + self->retry_after);
  cm_log (CM_LOG_INFO, "endpoint-rest", "s", "endpoint", endpoint->id, "s", "request", self->id,
          "i", "status", (gint64)self->status, "i", "asked-us", self->retry_after, "i", "until-us",
          endpoint->retry_after_until - at);
}

gboolean
sv_reply_note_signals (const SvReply *self, SvEndpoint *endpoint, KnlTime at)
{
  /* The address now belongs to another endpoint, and the signals are about that one. */
  if (self->status == SV_STATUS_MISDIRECTED)
    return FALSE;
  note_leaving (self, endpoint, at);
  note_retry_after (self, endpoint, at);
  sv_endpoint_note_cold_answer (endpoint, self->cold_left, at);
  return sv_reply_note_limit (self, endpoint, at);
}
