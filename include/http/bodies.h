#pragma once

/** The bytes of request bodies that servers hold: those that are being read, and those of requests
 * that aren't answered yet. Bodies that don't fit below a bound are refused. */

#include <glib.h>

typedef struct HtBodies HtBodies;

/** `bound` in bytes; 0: none. Must outlive the servers that use it. */
HtBodies *ht_bodies_new (gsize bound);

/** NULL is allowed. */
void ht_bodies_free (HtBodies *bodies);

/** Changes what a connection holds. FALSE: it doesn't fit, and nothing has changed; a body that is
 * alone always fits. */
gboolean ht_bodies_change (HtBodies *bodies, gsize before, gsize after);

gsize ht_bodies_bytes (const HtBodies *bodies);

/** Number of bodies that didn't fit. */
guint64 ht_bodies_n_refused (const HtBodies *bodies);
