#pragma once

#include <event2/util.h>

/** Gives a socket that isn't read, or the sockets that a listening one accepts, small buffers and
 * segments, so that unread bytes stay with the sender: the kernel sizes its send buffer by the
 * segments, which have 64 kB on loopback. */
void small_buffers_set (evutil_socket_t fd);
