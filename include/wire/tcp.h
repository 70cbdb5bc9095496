#pragma once

/** Links over TCP, on libevent's bufferevents. */

#include "wire/link.h"

struct event_base;

/**
 * Creates a transport with its sockets on `base` and the clock of `kernel`.
 * `identity` and `*config_revision` must outlive it. `*config_revision` is sent
 * with each heartbeat; the pointer may be NULL (0 is sent).
 */
WrTransport *wr_tcp_transport_new (KnlKernel *kernel,
                                   struct event_base *base,
                                   const WrIdentity *identity,
                                   const guint64 *config_revision);

/** The port of the first listener, 0 if there is none; needed for an address without a port, for
 * which the system picks one. */
guint16 wr_tcp_transport_port (WrTransport *transport);
