/** Which endpoints have ended. A connection that closes, or an answer that breaks off, doesn't show
 * it: endpoints that live do both. */

#include "serve/quarantine_internal.h"

/* Endpoints that are kept, and time after their last loss until they are dropped. */
#define MAX_ENDS 1024
#define END_TTL  (60 * KNL_SEC)

static gboolean
is_old (gpointer key, gpointer value, gpointer data)
{
  return ((const EndpointEnd *)value)->lost_at + END_TTL <= knl_kernel_now (data);
}

/* NULL: there are too many. */
static EndpointEnd *
ensure_end (SvQuarantine *self, guint64 endpoint)
{
  EndpointEnd *end = g_hash_table_lookup (self->ends, &endpoint);

  if (end != NULL || g_hash_table_size (self->ends) >= MAX_ENDS)
    return end;
  end = g_new0 (EndpointEnd, 1);
  end->endpoint = endpoint;
  g_hash_table_insert (self->ends, &end->endpoint, end);
  return end;
}

void
sv_quarantine_note_closed (SvQuarantine *self, guint64 endpoint, guint64 request, KnlTime at)
{
  EndpointEnd *end = ensure_end (self, endpoint);

  if (end == NULL)
    return;
  if (end->lost_at > 0 && end->request != request && ABS (at - end->lost_at) < POL_BLAME_MOMENT)
    end->has_ended = TRUE;
  end->request = request;
  end->lost_at = MAX (end->lost_at, at);
}

void
sv_quarantine_note_refused (SvQuarantine *self, guint64 endpoint)
{
  EndpointEnd *end = g_hash_table_lookup (self->ends, &endpoint);

  if (end != NULL)
    end->has_ended = TRUE;
}

gboolean
sv_quarantine_has_ended (const SvQuarantine *self, guint64 endpoint)
{
  const EndpointEnd *end = g_hash_table_lookup (self->ends, &endpoint);

  return (end != NULL && end->has_ended) || sv_fleet_by_key (self->fleet, endpoint) == NULL;
}

void
sv_quarantine_drop_old_ends (SvQuarantine *self)
{
  g_hash_table_foreach_remove (self->ends, is_old, self->kernel);
}
