#pragma once

/** Options that every TCP socket of the data path has. */

#include <event2/util.h>

/** Connections that wait to be accepted; beyond it the kernel drops opening packets, which come
 * again after a second or more. */
#define HT_BACKLOG 1024

/**
 * Turns off Nagle's algorithm, and has a connection end whose peer says nothing:
 * after a partition or a loss of power no packet comes, and without this writes
 * would wait for many minutes.
 */
void ht_socket_tune (evutil_socket_t fd);
