#pragma once

/** What is asked of sockets in more than one place. */

#include <glib.h>

/** The port that a bound socket has; 0: it has none. */
guint16 cm_socket_port (int socket);
