#pragma once

/**
 * Answers requests in the store's place: other instances of the cell read and
 * follow the tables that this instance follows, by the same requests and with
 * the same client.
 */

#include <event2/event.h>

#include "platform/store.h"

typedef struct PlMirror PlMirror;

/** Listens on `address`. Returns NULL with errno set if that fails. */
PlMirror *pl_mirror_new (KnlKernel *kernel, struct event_base *base, const char *address);
void pl_mirror_free (PlMirror *mirror);

/** Answers requests for `table` from `feed`, which must outlive the mirror. */
void pl_mirror_add (PlMirror *mirror, const char *table, const PlFeed *feed);

/**
 * Whether requests are answered. Must be TRUE only while the feeds follow the
 * store itself: two instances that follow each other would both wait
 * indefinitely.
 */
void pl_mirror_set_open (PlMirror *mirror, gboolean open);

/**
 * Limits the bytes of answers that may be queued for sending at once; a single answer is sent
 * whatever its size. Requests beyond the limit are refused with 503, so that their senders turn to
 * another instance or to the store.
 */
void pl_mirror_set_max_unsent (PlMirror *mirror, gsize bytes);

/** Answers waiting requests for which the tables now have changes. */
void pl_mirror_notify (PlMirror *mirror);
