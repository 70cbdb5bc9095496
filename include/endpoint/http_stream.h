#pragma once

/** One generation over HTTP: sends the request and validates each line of the answer. */

#include "endpoint/endpoint.h"

struct event_base;

/** Called when a stream has ended, so that its owner drops its reference. */
typedef void (*EpStreamEndedFunc) (EpStream *stream, gpointer owner);

EpStream *ep_http_stream_new (KnlKernel *kernel,
                              struct event_base *base,
                              const EpGenerate *generate,
                              const EpStreamEvents *events,
                              gpointer data);

/** Sets the function called once when the stream ends; not called by ep_http_stream_free(). */
void ep_http_stream_set_owner (EpStream *stream, EpStreamEndedFunc on_ended, gpointer owner);

void ep_http_stream_free (EpStream *stream);
