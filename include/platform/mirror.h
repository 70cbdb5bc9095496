#pragma once

/**
 * Answers for the store: other instances of the cell read and follow the tables
 * that this one follows, in the same way and by the same client.
 */

#include <event2/event.h>

#include "platform/store.h"

typedef struct PlMirror PlMirror;

/** Listens on `address`; NULL: it can't, with errno set. */
PlMirror *pl_mirror_new (KnlKernel *kernel, struct event_base *base, const char *address);
void pl_mirror_free (PlMirror *mirror);

/** `table` is answered from `feed`, which outlives the mirror. */
void pl_mirror_add (PlMirror *mirror, const char *table, const PlFeed *feed);

/**
 * Whether others are answered: only while the feeds ask the store itself. Two
 * instances that asked each other would both wait for ever.
 */
void pl_mirror_set_open (PlMirror *mirror, gboolean open);

/**
 * Bytes of answers that are sent at the same time; one is in any case. Those who ask beyond it are
 * refused, and ask another instance or the store.
 */
void pl_mirror_set_limit (PlMirror *mirror, gsize bytes);

/** Changes have come: those who wait for them are answered. */
void pl_mirror_tell (PlMirror *mirror);
