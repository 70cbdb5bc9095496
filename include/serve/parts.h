#pragma once

/**
 * Parts of a prompt that other prompts may share, such as a system prompt or a document. Each is
 * known by its id alone; the same id stands for the same text.
 */

#include <glib.h>

/** Parts of one prompt that are kept; those after them are ignored. */
#define SV_MAX_PARTS 16

typedef struct
{
  guint64 ids[SV_MAX_PARTS];
  guint n;
} SvParts;

/** Adds a part; no-op if it is listed already, or if there are SV_MAX_PARTS. */
void sv_parts_add (SvParts *parts, guint64 id);

gboolean sv_parts_contain (const SvParts *parts, guint64 id);

/** The part's name in log lines, in hexadecimal. Free with g_free. */
char *sv_part_format (guint64 id);

/** The names of all parts, separated by commas. Free with g_free. */
char *sv_parts_format (const SvParts *parts);
