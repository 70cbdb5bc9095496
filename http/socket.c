#include "http/socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* Unacknowledged data ends the connection after this, in ms: over two lost packets in a row. */
#define UNACKNOWLEDGED_MS 2000

/* Connections without traffic are probed after this many seconds, each second, twice: one that went
 * silent, as a long wait for changes in the store may, shows within three seconds. */
#define KEEPALIVE_IDLE_S     1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     2

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
    { IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS },
    { SOL_SOCKET, SO_KEEPALIVE, 1 },
    { IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
    { IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S },
    { IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES },
  };

  /* An option that the system lacks costs only the time it would have saved. */
  for (size_t i = 0; i < sizeof options / sizeof options[0]; i++)
    setsockopt (fd, options[i].level, options[i].name, &options[i].value, sizeof options[i].value);
}
