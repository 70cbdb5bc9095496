#pragma once

/** Endpoint client over HTTP with evhttp; the protocol is described in docs/ADAPTERS.md. */

#include "endpoint/endpoint.h"

struct event_base;

/** Creates a client with its sockets on `base` and its timers on `kernel`; both must outlive it. */
EpClient *ep_http_client_new (KnlKernel *kernel, struct event_base *base);
