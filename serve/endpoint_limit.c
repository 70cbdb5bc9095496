/** The request rate limit that an endpoint advertises, and what peers report of it. */

#include "common/log.h"
#include "serve/dialect.h"

/* How long it is announced that an endpoint's limit was lifted: several full datagrams are sent
 * in that time. */
#define LIFTED_ANNOUNCE_PERIOD (5 * KNL_SEC)

gboolean
sv_endpoint_note_limit (SvEndpoint *self, double rate, KnlTime advertised_at)
{
  gboolean was_advertised = pol_limit_is_advertised (&self->limit);

  if (!pol_limit_set (&self->limit, rate, advertised_at))
    return FALSE;
  self->own_changed = TRUE;
  self->cell_changed = TRUE;
  if (!was_advertised)
    {
      self->sent = self->sent_in_cell = 0;
      g_array_set_size (self->reported_sends, 0);
    }
  return TRUE;
}

/* An answer without a limit lifts it only if the endpoint has signed the answer. */
gboolean
sv_reply_note_limit (const SvReply *self, SvEndpoint *endpoint, KnlTime at)
{
  double before = endpoint->limit.rate;

  if (self->limit < 0 && !self->is_signed)
    return FALSE;
  if (!sv_endpoint_note_limit (endpoint, self->limit, at))
    return FALSE;
  cm_log (CM_LOG_NOTICE, "endpoint-limit", "s", "endpoint", endpoint->id, "s", "request", self->id,
          "i", "status", (gint64)self->status, "f", "requests-a-second", endpoint->limit.rate, "f",
          "before", before);
  return TRUE;
}

static SvReportedSends *
find_reported_sends (const SvEndpoint *self, const SvReportedSends *reported)
{
  for (guint i = 0; i < self->reported_sends->len; i++)
    {
      SvReportedSends *row = &g_array_index (self->reported_sends, SvReportedSends, i);

      if (row->source == reported->source && row->is_cell == reported->is_cell)
        return row;
    }
  return NULL;
}

/* Number of sends that the report adds. A new reporter has counted the same requests from another
 * time on, so its first report adds none; a reporter whose count has fallen has restarted it. */
static guint32
added_sends (const SvReportedSends *before, const SvReportedSends *reported)
{
  if (before == NULL)
    return reported->sent;
  if (before->reporter != reported->reporter)
    return 0;
  return reported->sent >= before->sent ? reported->sent - before->sent : reported->sent;
}

void
sv_endpoint_note_reported_sends (SvEndpoint *self, const SvReportedSends *reported)
{
  SvReportedSends *before = find_reported_sends (self, reported);
  guint32 sent = added_sends (before, reported);

  if (before != NULL)
    *before = *reported;
  else
    g_array_append_val (self->reported_sends, *reported);
  pol_limit_charge (&self->limit, sent);
  if (reported->is_cell || sent == 0)
    return;
  self->sent_in_cell += sent;
  self->cell_changed = TRUE;
}

gboolean
sv_endpoint_announces_limit (const SvEndpoint *self, KnlTime now)
{
  const PolLimit *limit = &self->limit;

  return pol_limit_is_advertised (limit)
         || (limit->changed_at > 0 && now - limit->changed_at < LIFTED_ANNOUNCE_PERIOD);
}
