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
  } address = { 0 };
  socklen_t length = sizeof address;

  if (getsockname (socket, &address.any, &length) != 0)
    return 0;
  return ntohs (address.any.sa_family == AF_INET ? address.v4.sin_port : address.v6.sin6_port);
}
