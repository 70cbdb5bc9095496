#pragma once

/** Helpers for sockets. */

#include <glib.h>

/** The local port of a bound IPv4 or IPv6 socket, in host byte order; 0 on failure. */
guint16 cm_socket_port (int socket);
