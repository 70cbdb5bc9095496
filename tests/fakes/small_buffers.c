#include "tests/fakes/small_buffers.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define BUFFER_BYTES  16384
#define SEGMENT_BYTES 2048

void
small_buffers_set (evutil_socket_t fd)
{
  const int buffer = BUFFER_BYTES;
  const int segment = SEGMENT_BYTES;

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
}
