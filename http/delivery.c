#include "http/delivery.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

gboolean
ht_delivery_is_complete (const HtDelivery *self)
{
  return self->in_flight == 0 && self->waiting == 0;
}

guint
ht_delivery_timeout_ms (const HtDelivery *self)
{
  gboolean is_window_closed = self->waiting > 0 && self->in_flight == 0;

  if (!is_window_closed || self->since_ack_ms >= self->since_sent_ms)
    return HT_UNACKNOWLEDGED_TIMEOUT_MS;
  return HT_UNACKNOWLEDGED_TIMEOUT_MS + self->since_sent_ms - self->since_ack_ms;
}

guint
ht_delivery_known_timeout_ms (const HtDelivery *self, gsize unsent)
{
  if (self != NULL && (unsent == 0 || !ht_delivery_is_complete (self)))
    return ht_delivery_timeout_ms (self);
  return unsent > 0 ? HT_SLOW_READER_TIMEOUT_MS : HT_UNACKNOWLEDGED_TIMEOUT_MS;
}

gboolean
ht_delivery_read (evutil_socket_t fd, HtDelivery *delivery)
{
  struct tcp_info info = { 0 };
  socklen_t length = sizeof info;

  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0
      || length < G_STRUCT_OFFSET (struct tcp_info, tcpi_min_rtt))
    return FALSE;
  *delivery = (HtDelivery){ .in_flight = info.tcpi_unacked,
                            .waiting = info.tcpi_notsent_bytes,
                            .since_sent_ms = info.tcpi_last_data_sent,
                            .since_ack_ms = info.tcpi_last_ack_recv };
  return TRUE;
}

void
ht_delivery_set_timeout (evutil_socket_t fd, guint timeout_ms)
{
  const int timeout = (int)MIN (timeout_ms, G_MAXINT);

  /* An error is ignored: without the option only the time that it saves is lost. */
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}
