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

void
sv_endpoint_end_free (gpointer data)
{
  EndpointEnd *self = data;

  g_free (self->id);
  g_free (self);
}

/* NULL: there are too many. */
static EndpointEnd *
ensure_end (SvQuarantine *self, guint64 endpoint)
{
  const SvEndpoint *listed = sv_fleet_by_key (self->fleet, endpoint);
  EndpointEnd *end = g_hash_table_lookup (self->ends, &endpoint);

  if (end != NULL || g_hash_table_size (self->ends) >= MAX_ENDS)
    return end;
  end = g_new0 (EndpointEnd, 1);
  end->endpoint = endpoint;
  end->id = listed != NULL ? g_strdup (listed->id) : NULL;
  g_hash_table_insert (self->ends, &end->endpoint, end);
  return end;
}

void
sv_quarantine_note_closed (SvQuarantine *self, guint64 endpoint, guint64 request, KnlTime at)
{
  EndpointEnd *end = ensure_end (self, endpoint);

  if (end == NULL)
    return;
  /* This instance may have lost its connections alone. */
  if (end->has_ended && sv_crash_is_survived (self->fleet, endpoint, end->lost_at))
    end->has_ended = FALSE;
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

const char *
sv_quarantine_endpoint_id (const SvQuarantine *self, guint64 endpoint)
{
  const SvEndpoint *listed = sv_fleet_by_key (self->fleet, endpoint);
  const EndpointEnd *end = g_hash_table_lookup (self->ends, &endpoint);

  if (listed != NULL)
    return listed->id;
  return end != NULL ? end->id : NULL;
}

void
sv_quarantine_drop_old_ends (SvQuarantine *self)
{
  g_hash_table_foreach_remove (self->ends, is_old, self->kernel);
}
