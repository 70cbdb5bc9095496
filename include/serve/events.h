#pragma once

/** Splits a text/event-stream into complete events, however its bytes are chunked. */

#include <glib.h>

/** Bytes of an event stream in which there must be an event with data or an id. Events have some
 * hundred bytes each; an endpoint in trouble may send other bytes without end. */
#define SV_MAX_BYTES_WITHOUT_EVENT ((gsize)256 << 10)

typedef struct
{
  GString *text;     /**< bytes of an incomplete event */
  gsize scanned;     /**< of these, bytes that the end of the event was looked for in */
  gsize line_bytes;  /**< in the current line, without its line end */
  gsize since_event; /**< complete bytes since the last event with data or an id */
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

/** Adds bytes and calls `func` for each event that they complete; drops what is no event. FALSE:
 * there has been no event for SV_MAX_BYTES_WITHOUT_EVENT. */
gboolean
sv_events_feed (SvEvents *events, const char *bytes, gsize length, SvEventFunc func, gpointer data);

/** Whether there are bytes of an incomplete event. */
gboolean sv_events_is_incomplete (const SvEvents *events);
