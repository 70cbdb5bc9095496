#pragma once

/**
 * Segments of a prompt that other prompts may share, such as a system prompt or a document. Each is
 * known by its id alone; the same id stands for the same text.
 */

#include <glib.h>

/** Segments of one prompt that are kept; those after them are ignored. */
#define SV_MAX_SEGMENTS 16

typedef struct
{
  guint64 ids[SV_MAX_SEGMENTS];
  guint n;
} SvSegments;

/** Adds a segment; no-op if it is listed already, or if there are SV_MAX_SEGMENTS. */
void sv_segments_add (SvSegments *segments, guint64 id);

gboolean sv_segments_contain (const SvSegments *segments, guint64 id);

/** The segment's name in log lines, in hexadecimal. Free with g_free. */
char *sv_segment_format (guint64 id);

/** The names of all segments, separated by commas. Free with g_free. */
char *sv_segments_format (const SvSegments *segments);
