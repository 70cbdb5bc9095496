#include "http/socket.h"

#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "http/delivery.h"

/* Connections without traffic are probed after KEEPALIVE_IDLE_S seconds, then twice at an interval
 * of one second. A connection that has become silent, such as a long wait for changes in the
 * store, is detected within three seconds. */
#define KEEPALIVE_IDLE_S     1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     2

/* A buffer frees a piece when all of it is sent: one piece of a whole body would stay until its
 * last byte is. */
#define PIECE_BYTES ((gsize)32 << 10)

void
ht_socket_tune (evutil_socket_t fd)
{
  static const struct
  {
    int level;
    int name;
    int value;
  } options[] = {
    { IPPROTO_TCP, TCP_NODELAY, 1 },
    { IPPROTO_TCP, TCP_USER_TIMEOUT, HT_UNACKNOWLEDGED_TIMEOUT_MS },
    { SOL_SOCKET, SO_KEEPALIVE, 1 },
    { IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
    { IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S },
    { IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES },
  };

  /* Errors are ignored: without an option only the time that it saves is lost. */
  for (size_t i = 0; i < sizeof options / sizeof options[0]; i++)
    setsockopt (fd, options[i].level, options[i].name, &options[i].value, sizeof options[i].value);
}

char *
ht_socket_peer (evutil_socket_t fd)
{
  struct sockaddr_storage address;
  socklen_t length = sizeof address;
  char host[NI_MAXHOST];
  char port[NI_MAXSERV];

  if (getpeername (fd, (struct sockaddr *)&address, &length) != 0
      || getnameinfo ((struct sockaddr *)&address, length, host, sizeof host, port, sizeof port,
                      NI_NUMERICHOST | NI_NUMERICSERV)
             != 0)
    return NULL;
  return g_strdup_printf ("%s:%s", host, port);
}

void
ht_socket_write (struct bufferevent *stream, const char *bytes, gsize length)
{
  for (gsize sent = 0; sent < length; sent += PIECE_BYTES)
    bufferevent_write (stream, bytes + sent, MIN (PIECE_BYTES, length - sent));
}
