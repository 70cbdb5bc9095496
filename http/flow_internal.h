#pragma once

/**
 * Back-pressure from a caller to the endpoint that answers it: while a call has many unsent bytes,
 * its source isn't read, and the endpoint's bytes stay in the sockets' buffers. Included by the
 * files in http/ only.
 */

#include <event2/bufferevent.h>

#include "http/server.h"

typedef struct HtFlow HtFlow;
typedef struct HtSource HtSource;

/** What a call's answer is read from; part of a client's connection. */
struct HtSource
{
  HtFlow *flow; /* NULL: none */
  gboolean is_paused;
  /** Stops to read, or reads on. */
  void (*set_paused) (HtSource *source, gboolean paused);
};

/** Part of a call. */
struct HtFlow
{
  struct bufferevent *stream; /* the caller's */
  HtSource *source;           /* NULL: none */
};

/** The flow of a call; defined in server.c. */
HtFlow *ht_call_flow (HtCall *call);

/** Connects the two; what they were connected to before is disconnected. */
void ht_flow_connect (HtFlow *flow, HtSource *source);

/** A source that was paused is read again. */
void ht_flow_disconnect (HtFlow *flow);

/** Pauses or resumes the source, after bytes were written to the caller or sent. */
void ht_flow_update (HtFlow *flow);
