/** The request rate limit that an endpoint advertises, and what peers report of it. */

#include "common/log.h"
#include "serve/dialect.h"

/* How long it is announced that an endpoint's limit was lifted: several full datagrams are sent
 * in that time. */
#define LIFTED_TOLD (5 * KNL_SEC)

gboolean
sv_endpoint_note_limit (SvEndpoint *self, double rate, KnlTime named_at)
{
  gboolean was_named = pol_limit_is_named (&self->limit);

  if (!pol_limit_set (&self->limit, rate, named_at))
    return FALSE;
  self->own_changed = TRUE;
  self->cell_changed = TRUE;
  if (!was_named)
    {
      self->sent = self->sent_in_cell = 0;
      g_array_set_size (self->told_sends, 0);
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

static SvToldSends *
find_told_sends (const SvEndpoint *self, const SvToldSends *told)
{
  for (guint i = 0; i < self->told_sends->len; i++)
    {
      SvToldSends *row = &g_array_index (self->told_sends, SvToldSends, i);

      if (row->source == told->source && row->is_cell == told->is_cell)
        return row;
    }
  return NULL;
}

/* Number of sends that the report adds. A new reporter has counted the same requests from another
 * time on, so its first report adds none; a reporter whose count has fallen has restarted it. */
static guint32
new_sends (const SvToldSends *before, const SvToldSends *told)
{
  if (before == NULL)
    return told->sent;
  if (before->teller != told->teller)
    return 0;
  return told->sent >= before->sent ? told->sent - before->sent : told->sent;
}

void
sv_endpoint_note_told_sends (SvEndpoint *self, const SvToldSends *told)
{
  SvToldSends *before = find_told_sends (self, told);
  guint32 sent = new_sends (before, told);

  if (before != NULL)
    *before = *told;
  else
    g_array_append_val (self->told_sends, *told);
  pol_limit_take (&self->limit, sent);
  if (told->is_cell || sent == 0)
    return;
  self->sent_in_cell += sent;
  self->cell_changed = TRUE;
}

gboolean
sv_endpoint_tells_limit (const SvEndpoint *self, KnlTime now)
{
  const PolLimit *limit = &self->limit;

  return pol_limit_is_named (limit)
         || (limit->changed_at > 0 && now - limit->changed_at < LIFTED_TOLD);
}
