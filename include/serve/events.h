#pragma once

/** Cuts a text/event-stream into whole events, whatever pieces it arrives in. */

#include <glib.h>

typedef struct
{
  GString *text; /**< bytes of an event that is not complete yet */
} SvEvents;

/** A whole event: its bytes with the empty line that ends it, and its id. */
typedef struct
{
  const char *bytes;
  gsize length;
  gint64 id; /**< -1: it has none, or one that is no number */
} SvEvent;

typedef void (*SvEventFunc) (const SvEvent *event, gpointer data);

void sv_events_init (SvEvents *events);
void sv_events_clear (SvEvents *events);

/** Drops the bytes of an incomplete event. */
void sv_events_reset (SvEvents *events);

/** Takes bytes and calls `func` for each event that they complete. */
void
sv_events_feed (SvEvents *events, const char *bytes, gsize length, SvEventFunc func, gpointer data);

/** Whether an event has begun and is not complete. */
gboolean sv_events_is_torn (const SvEvents *events);
