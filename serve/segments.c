#include "serve/segments.h"

gboolean
sv_segments_contain (const SvSegments *self, guint64 id)
{
  for (guint i = 0; i < self->n; i++)
    {
      if (self->ids[i] == id)
        return TRUE;
    }
  return FALSE;
}

void
sv_segments_add (SvSegments *self, guint64 id)
{
  if (self->n < SV_MAX_SEGMENTS && !sv_segments_contain (self, id))
    self->ids[self->n++] = id;
}

char *
sv_segment_format (guint64 id)
{
  return g_strdup_printf ("%08" G_GINT64_MODIFIER "x", id);
}

char *
sv_segments_format (const SvSegments *self)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < self->n; i++)
    g_string_append_printf (text, "%s%08" G_GINT64_MODIFIER "x", i > 0 ? "," : "", self->ids[i]);
  return g_string_free (text, FALSE);
}
