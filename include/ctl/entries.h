#pragma once

/** Sends the same query to all entries, as each entry knows only its own requests. */

#include "ctl/session.h"

/**
 * Requests the entries' addresses from a controller, then `path` from each
 * entry. `only_entry` (or NULL) restricts this to the entry of that name; all entries
 * are queried when it doesn't exist. The objects in the member `array_member` of their
 * answers are appended to the array `rows`, with the entry's name added as
 * "entry". An answer with status 404 counts as an empty list.
 *
 * Returns NULL, or the failed request for the addresses. On success `*unreached`
 * holds a text (char *) with name and cause for each entry that didn't answer or
 * failed; free with g_ptr_array_unref.
 */
ClResult *cl_entries_query (ClSession *session,
                            const char *path,
                            const char *only_entry,
                            const char *array_member,
                            json_t *rows,
                            GPtrArray **unreached);

/** Adds a note to `result` for each entry in `unreached`. */
void cl_entries_note_unreached (ClResult *result, const GPtrArray *unreached);
