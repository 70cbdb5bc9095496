#include "common/socket.h"

#include <netinet/in.h>
#include <sys/socket.h>

guint16
cm_socket_port (int socket)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in v4;
    struct sockaddr_in6 v6;
  } at = { 0 };
  socklen_t length = sizeof at;

  if (getsockname (socket, &at.any, &length) != 0)
    return 0;
  return ntohs (at.any.sa_family == AF_INET ? at.v4.sin_port : at.v6.sin6_port);
}
