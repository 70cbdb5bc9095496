#pragma once

/** Splits a text/event-stream into complete events, however its bytes are chunked. */

#include <glib.h>

typedef struct
{
  GString *text; /**< bytes of an incomplete event */
} SvEvents;

/** A complete event: its bytes, including the empty line that ends it, and its id. */
typedef struct
{
  const char *bytes;
  gsize length;
  gint64 id; /**< -1: none, or not a number */
} SvEvent;

typedef void (*SvEventFunc) (const SvEvent *event, gpointer data);

void sv_events_init (SvEvents *events);
void sv_events_clear (SvEvents *events);

/** Drops the bytes of an incomplete event. */
void sv_events_reset (SvEvents *events);

/** Adds bytes and calls `func` for each event that they complete. */
void
sv_events_feed (SvEvents *events, const char *bytes, gsize length, SvEventFunc func, gpointer data);

/** Whether there are bytes of an incomplete event. */
gboolean sv_events_is_incomplete (const SvEvents *events);
