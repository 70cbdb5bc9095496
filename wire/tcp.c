#include "wire/tcp.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "common/socket.h"
#include "wire/session.h"

/** Maximum time to send the queued bytes after a close. */
#define LINGER_TIMEOUT (2 * KNL_SEC)

#define MAX_ADDRESS_BYTES (INET6_ADDRSTRLEN + 16)

typedef struct
{
  WrTransport base;
  WrSessionHost host;
  struct event_base *events;
  GPtrArray *listeners; /* Listener */
  GHashTable *channels; /* set of TcpChannel, including lingering ones */
} TcpTransport;

typedef struct
{
  TcpTransport *transport;
  struct evconnlistener *listener;
  WrAcceptFunc accept;
  gpointer data;
} Listener;

typedef struct
{
  WrChannel base;
  TcpTransport *transport;
  struct bufferevent *socket;
  WrSession *session; /* NULL once the session has closed the channel */
  KnlTimerId linger_timer;
} TcpChannel;

static void
channel_free (gpointer data)
{
  TcpChannel *channel = data;

  knl_timer_stop (channel->transport->host.kernel, &channel->linger_timer);
  bufferevent_free (channel->socket);
  g_free (channel);
}

static void
channel_drop (gpointer data)
{
  TcpChannel *channel = data;

  g_hash_table_remove (channel->transport->channels, channel);
}

static void
channel_write (WrChannel *base, const guint8 *bytes, gsize count)
{
  bufferevent_write (((TcpChannel *)base)->socket, bytes, count);
}

static gsize
channel_unsent (WrChannel *base)
{
  return evbuffer_get_length (bufferevent_get_output (((TcpChannel *)base)->socket));
}

static void
on_output_sent (struct bufferevent *socket, void *data)
{
  channel_drop (data);
}

static void
on_linger_event (struct bufferevent *socket, short what, void *data)
{
  channel_drop (data);
}

static void
channel_close (WrChannel *base)
{
  TcpChannel *channel = (TcpChannel *)base;

  channel->session = NULL;
  if (channel_unsent (base) == 0)
    {
      channel_drop (channel);
      return;
    }
  bufferevent_disable (channel->socket, EV_READ);
  bufferevent_setcb (channel->socket, NULL, on_output_sent, on_linger_event, channel);
  channel->linger_timer =
      knl_timer_start (channel->transport->host.kernel, LINGER_TIMEOUT, channel_drop, channel);
}

static const WrChannelClass channel_class = {
  .write = channel_write,
  .unsent = channel_unsent,
  .close = channel_close,
};

static void
on_read (struct bufferevent *socket, void *data)
{
  TcpChannel *channel = data;
  struct evbuffer *input = bufferevent_get_input (socket);
  gsize count = evbuffer_get_length (input);
  guint8 *bytes = g_malloc (count);

  evbuffer_remove (input, bytes, count);
  wr_session_receive (channel->session, bytes, count);
  g_free (bytes);
}

static void
on_socket_event (struct bufferevent *socket, short what, void *data)
{
  TcpChannel *channel = data;

  if (what & BEV_EVENT_CONNECTED)
    wr_session_connected (channel->session);
  else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
    wr_session_lost (channel->session);
}

static void
set_no_delay (evutil_socket_t fd)
{
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/** Creates a channel on `fd`; -1: on a socket that is still to be connected. */
static TcpChannel *
channel_new (TcpTransport *transport, evutil_socket_t fd)
{
  TcpChannel *channel = g_new0 (TcpChannel, 1);
  int options = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;

  channel->base.klass = &channel_class;
  channel->transport = transport;
  channel->socket = bufferevent_socket_new (transport->events, fd, options);
  bufferevent_setcb (channel->socket, on_read, NULL, on_socket_event, channel);
  g_hash_table_add (transport->channels, channel);
  return channel;
}

/** Parses "IP:PORT"; without a port it is 0 (any free port), which works for listening only. */
static gboolean
parse_address (const char *address, struct sockaddr_storage *out, int *length)
{
  memset (out, 0, sizeof *out);
  *length = sizeof *out;
  return evutil_parse_sockaddr_port (address, (struct sockaddr *)out, length) == 0;
}

static WrLink *
tcp_connect (WrTransport *base, const char *address, const WrLinkEvents *events, gpointer data)
{
  TcpTransport *transport = (TcpTransport *)base;
  struct sockaddr_storage to;
  int length;
  TcpChannel *channel;

  if (!parse_address (address, &to, &length))
    return (WrLink *)wr_session_connect (&transport->host, NULL, address, events, data);
  channel = channel_new (transport, -1);
  if (bufferevent_socket_connect (channel->socket, (struct sockaddr *)&to, length) != 0)
    {
      channel_drop (channel);
      return (WrLink *)wr_session_connect (&transport->host, NULL, address, events, data);
    }
  set_no_delay (bufferevent_getfd (channel->socket));
  bufferevent_enable (channel->socket, EV_READ | EV_WRITE);
  channel->session = wr_session_connect (&transport->host, &channel->base, address, events, data);
  return (WrLink *)channel->session;
}

static void
format_address (const struct sockaddr *from, char out[MAX_ADDRESS_BYTES])
{
  char host[INET6_ADDRSTRLEN] = "?";

  if (from->sa_family == AF_INET)
    {
      const struct sockaddr_in *v4 = (const struct sockaddr_in *)from;

      inet_ntop (AF_INET, &v4->sin_addr, host, sizeof host);
      g_snprintf (out, MAX_ADDRESS_BYTES, "%s:%u", host, ntohs (v4->sin_port));
      return;
    }
  if (from->sa_family == AF_INET6)
    {
      const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)from;

      inet_ntop (AF_INET6, &v6->sin6_addr, host, sizeof host);
      g_snprintf (out, MAX_ADDRESS_BYTES, "[%s]:%u", host, ntohs (v6->sin6_port));
      return;
    }
  g_strlcpy (out, host, MAX_ADDRESS_BYTES);
}

static void
on_accept (struct evconnlistener *source,
           evutil_socket_t fd,
           struct sockaddr *from,
           int length,
           void *data)
{
  Listener *listener = data;
  TcpTransport *transport = listener->transport;
  TcpChannel *channel = channel_new (transport, fd);
  char address[MAX_ADDRESS_BYTES];

  format_address (from, address);
  set_no_delay (fd);
  channel->session = wr_session_accept (&transport->host, &channel->base, address, listener->accept,
                                        listener->data);
  bufferevent_enable (channel->socket, EV_READ | EV_WRITE);
}

static gboolean
tcp_listen (WrTransport *base, const char *address, WrAcceptFunc accept, gpointer data)
{
  TcpTransport *transport = (TcpTransport *)base;
  unsigned options = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
  struct sockaddr_storage at = { 0 };
  int length;
  Listener *listener;

  if (!parse_address (address, &at, &length))
    return FALSE;
  listener = g_new0 (Listener, 1);
  listener->transport = transport;
  listener->accept = accept;
  listener->data = data;
  listener->listener = evconnlistener_new_bind (transport->events, on_accept, listener, options, -1,
                                                (struct sockaddr *)&at, length);
  if (listener->listener == NULL)
    {
      g_free (listener);
      return FALSE;
    }
  g_ptr_array_add (transport->listeners, listener);
  return TRUE;
}

static void
listener_free (gpointer data)
{
  Listener *listener = data;

  evconnlistener_free (listener->listener);
  g_free (listener);
}

static void
tcp_free (WrTransport *base)
{
  TcpTransport *transport = (TcpTransport *)base;

  g_ptr_array_unref (transport->listeners);
  wr_session_host_clear (&transport->host);
  g_hash_table_unref (transport->channels);
  g_free (transport);
}

static const WrTransportClass tcp_class = {
  .listen = tcp_listen,
  .connect = tcp_connect,
  .free = tcp_free,
};

WrTransport *
wr_tcp_transport_new (KnlKernel *kernel,
                      struct event_base *base,
                      const WrIdentity *identity,
                      const guint64 *config_revision)
{
  TcpTransport *transport = g_new0 (TcpTransport, 1);

  transport->base.klass = &tcp_class;
  transport->events = base;
  transport->listeners = g_ptr_array_new_with_free_func (listener_free);
  transport->channels = g_hash_table_new_full (NULL, NULL, channel_free, NULL);
  wr_session_host_init (&transport->host, kernel, identity, config_revision);
  return &transport->base;
}

guint16
wr_tcp_transport_port (WrTransport *base)
{
  TcpTransport *transport = (TcpTransport *)base;
  Listener *listener;

  if (transport->listeners->len == 0)
    return 0;
  listener = g_ptr_array_index (transport->listeners, 0);
  return cm_socket_port (evconnlistener_get_fd (listener->listener));
}
