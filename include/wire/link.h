#pragma once

/**
 * Links: ordered streams of frames between two of alderturn's processes.
 *
 * A transport creates links. The daemons use TCP (wire/tcp.h), tests an
 * in-memory network with faults (tests/fakes/memory_network.h). A link starts
 * with the handshake of docs/WIRE.md and is monitored by heartbeats; both are
 * handled below this interface.
 */

#include "kernel/kernel.h"
#include "wire/alderturn.pb-c.h"

typedef struct WrTransport WrTransport;
typedef struct WrLink WrLink;

/** Maximum frame length in bytes; a longer frame closes the link. */
#define WR_MAX_FRAME_BYTES ((gsize)4 * 1024 * 1024)

/** Version of the protocol; a peer with another version is refused. */
#define WR_VERSION 1

/** Identity that a process presents on all its links. The strings must outlive the transport. */
typedef struct
{
  const char *instance;
  guint64 incarnation; /**< higher after each start of the process */
  Alderturn__Role role;
  const char *zone;
  const char *region;
  const char *address;        /**< where it accepts links, or "" */
  const char *caller_address; /**< an entry's address for callers, or "" */
  const char *secret;         /**< shared by all processes of one deployment */
} WrIdentity;

/** Why a link was closed. */
typedef enum
{
  WR_CLOSED_BY_USER,
  WR_CLOSED_BY_PEER,
  WR_CLOSED_UNREACHABLE,
  WR_CLOSED_SILENT,    /**< heartbeats not answered in time, or handshake timed out */
  WR_CLOSED_BAD_FRAME, /**< undecodable, too long, or not valid in this state */
  WR_CLOSED_BAD_SECRET,
  WR_CLOSED_BAD_VERSION,
  WR_CLOSED_SLOW_PEER, /**< more unsent bytes than allowed */
} WrCloseReason;

const char *wr_close_reason_name (WrCloseReason reason);

/** Events of a link. After on_closed the link is freed and must not be used. */
typedef struct
{
  /** The handshake is complete; `peer` is valid as long as the link. */
  void (*on_open) (WrLink *link, const Alderturn__Hello *peer, gpointer data);
  /** A frame was received; it is freed after the call. */
  void (*on_frame) (WrLink *link, const Alderturn__Frame *frame, gpointer data);
  void (*on_closed) (WrLink *link, WrCloseReason reason, gpointer data);
} WrLinkEvents;

/** Called for an accepted link once its handshake is complete; should set the link's events. */
typedef void (*WrAcceptFunc) (WrLink *link, const Alderturn__Hello *peer, gpointer data);

typedef struct
{
  /** Accepts links at `address` ("IP:PORT"); FALSE if it is invalid or can't be bound. */
  gboolean (*listen) (WrTransport *transport,
                      const char *address,
                      WrAcceptFunc accept,
                      gpointer data);
  /** Starts a link to `address`. The result is reported by on_open or on_closed, never during the
   * call. */
  WrLink *(*connect) (WrTransport *transport,
                      const char *address,
                      const WrLinkEvents *events,
                      gpointer data);
  /** Closes all links without events and frees the transport. */
  void (*free) (WrTransport *transport);
} WrTransportClass;

struct WrTransport
{
  const WrTransportClass *klass;
};

typedef struct
{
  /** Queues a frame; it is encoded before the call returns. No effect if the link isn't open. */
  void (*send) (WrLink *link, const Alderturn__Frame *frame);
  /** Closes and frees the link without an on_closed event; frames queued before are still sent. */
  void (*close) (WrLink *link);
  void (*set_events) (WrLink *link, const WrLinkEvents *events, gpointer data);
} WrLinkClass;

struct WrLink
{
  const WrLinkClass *klass;
};

static inline gboolean
wr_transport_listen (WrTransport *transport,
                     const char *address,
                     WrAcceptFunc accept,
                     gpointer data)
{
  return transport->klass->listen (transport, address, accept, data);
}

static inline WrLink *
wr_transport_connect (WrTransport *transport,
                      const char *address,
                      const WrLinkEvents *events,
                      gpointer data)
{
  return transport->klass->connect (transport, address, events, data);
}

static inline void
wr_transport_free (WrTransport *transport)
{
  transport->klass->free (transport);
}

static inline void
wr_link_send (WrLink *link, const Alderturn__Frame *frame)
{
  link->klass->send (link, frame);
}

static inline void
wr_link_close (WrLink *link)
{
  link->klass->close (link);
}

static inline void
wr_link_set_events (WrLink *link, const WrLinkEvents *events, gpointer data)
{
  link->klass->set_events (link, events, data);
}
