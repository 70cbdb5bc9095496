#pragma once

/**
 * The part of a link that doesn't depend on the transport: handshake, heartbeats
 * and bounds of docs/WIRE.md, over a byte channel. A session is the user's
 * WrLink; the transport provides the channel and passes received bytes to it.
 */

#include "wire/link.h"

/** Time between two heartbeats of one side. */
#define WR_HEARTBEAT_INTERVAL (500 * KNL_MSEC)

/** A link whose heartbeats aren't answered for longer than this is closed. */
#define WR_HEARTBEAT_TIMEOUT (3 * KNL_SEC)

/** Maximum time from the start of a link to the end of its handshake. */
#define WR_HANDSHAKE_TIMEOUT (3 * KNL_SEC)

/** Maximum frame length, in bytes, until the peer has proved that it knows the secret. */
#define WR_MAX_HANDSHAKE_FRAME_BYTES 4096

/** Maximum number of unsent bytes of one link. */
#define WR_MAX_UNSENT_BYTES (2 * WR_MAX_FRAME_BYTES)

typedef struct WrSession WrSession;
typedef struct WrChannel WrChannel;

/** An ordered byte stream to and from the peer. A channel reports its events by wr_session_*(). */
typedef struct
{
  /** Queues a copy of the bytes; must not call the session. */
  void (*write) (WrChannel *channel, const guint8 *bytes, gsize count);
  /** Number of bytes written but not yet sent. */
  gsize (*unsent) (WrChannel *channel);
  /** Closes and frees the channel once all written bytes are sent. The channel must not use the
   * session afterwards. */
  void (*close) (WrChannel *channel);
} WrChannelClass;

struct WrChannel
{
  const WrChannelClass *klass;
};

/** State shared by all sessions of a transport; embedded in the transport. */
typedef struct
{
  KnlKernel *kernel;
  const WrIdentity *identity;
  const guint64 *config_revision; /**< may be NULL */
  GHashTable *sessions; /**< number -> WrSession not yet closed; keyed by number for the same order
                           in every run */
  gint64 handshakes;    /**< number started so far; makes each nonce unique */
} WrSessionHost;

void wr_session_host_init (WrSessionHost *host,
                           KnlKernel *kernel,
                           const WrIdentity *identity,
                           const guint64 *config_revision);

/** Closes all sessions without events. */
void wr_session_host_clear (WrSessionHost *host);

/**
 * Creates a session of the connecting side. `channel` NULL: the address is
 * unreachable; on_closed follows in a later iteration of the loop.
 */
WrSession *wr_session_connect (WrSessionHost *host,
                               WrChannel *channel,
                               const char *address,
                               const WrLinkEvents *events,
                               gpointer data);

/** Creates a session of the accepting side; `accept` is called once the handshake is complete. */
WrSession *wr_session_accept (WrSessionHost *host,
                              WrChannel *channel,
                              const char *address,
                              WrAcceptFunc accept,
                              gpointer data);

/** The channel is connected; sends the Hello of the connecting side. */
void wr_session_connected (WrSession *session);

/** Handles received bytes. The call may free the session and close its channel. */
void wr_session_receive (WrSession *session, const guint8 *bytes, gsize count);

/** The channel failed or was closed by the peer. The session closes it; on_closed follows in a
 * later iteration of the loop. */
void wr_session_lost (WrSession *session);
