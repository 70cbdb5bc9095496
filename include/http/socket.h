#pragma once

/** Socket options of every TCP connection of the data path, and writing to it. */

#include <event2/bufferevent.h>
#include <event2/util.h>
#include <glib.h>

/** Length of the queue of connections waiting to be accepted. Beyond it the kernel drops SYN
 * packets, which are sent again only after a second or more. */
#define HT_BACKLOG 1024

/**
 * Disables Nagle's algorithm, and makes a connection fail if its peer stops responding: after a
 * network partition or a power loss no packet arrives, and writes would otherwise wait for many
 * minutes.
 */
void ht_socket_tune (evutil_socket_t fd);

/** The remote address, "IP:PORT"; NULL if there is none any more. Free with g_free. */
char *ht_socket_peer (evutil_socket_t fd);

/** Queues a copy of `bytes` in pieces, each of which is freed once it is sent. */
void ht_socket_write (struct bufferevent *stream, const char *bytes, gsize length);
