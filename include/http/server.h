#pragma once

/**
 * HTTP/1.1 server on libevent's bufferevents. Requests are handled when they are complete, one at a
 * time on a connection.
 *
 * A connection is read while its request is being answered, so that a caller that disconnects is
 * noticed even when bytes of its next request are pending.
 */

#include <event2/event.h>

#include "http/bodies.h"
#include "http/message.h"
#include "http/reader.h"
#include "http/unsent.h"
#include "kernel/kernel.h"

typedef struct HtServer HtServer;
typedef struct HtCall HtCall;

/** Callbacks of a server. */
typedef struct
{
  /** A complete request. The server owns `call` until it is answered or its caller disconnects. */
  void (*request) (HtCall *call, gpointer data);
  /** The caller disconnected before its answer was complete, or left too much of it unread; `call`
   * is freed after this returns. A caller that closes only its sending side counts as
   * disconnected. */
  void (*disconnected) (HtCall *call, gpointer data);
  /** Returns the body of an answer to an invalid, oversized or overdue request; the server frees
   * it. Header lines for the answer are appended to `fields`. NULL: such answers have no body. */
  GString *(*refusal) (guint status, GString *fields, gpointer data);
} HtServerEvents;

/** Value for HtServerLimits.max_unsent where answers are short. */
#define HT_DEFAULT_MAX_UNSENT ((gsize)4 << 20)

typedef struct
{
  HtLimits message;
  KnlTime head_timeout;    /**< from the first byte of a request to the end of its head */
  KnlTime request_timeout; /**< from the first byte of a request to its last */
  KnlTime idle_timeout;    /**< of a connection without a request */
  guint max_connections;
  gsize max_unsent; /**< a connection with more unsent answer bytes is closed, unless they become
                       steadily fewer */
} HtServerLimits;

/** Listens on `address` ("IP:PORT"). Returns NULL, with errno set, if that fails. */
HtServer *ht_server_new (KnlKernel *kernel,
                         struct event_base *base,
                         const char *address,
                         const HtServerLimits *limits,
                         const HtServerEvents *events,
                         gpointer data);

/** Closes the listener and all connections without a callback; NULL is allowed. */
void ht_server_free (HtServer *server);

/** Changes the limits, also for open connections. */
void ht_server_set_limits (HtServer *server, const HtServerLimits *limits);

/** Counts the unsent answer bytes of connections that are accepted from now on; NULL: doesn't. A
 * connection that is ended to keep the sum below its bound counts as disconnected. */
void ht_server_count_unsent (HtServer *server, HtUnsent *unsent);

/** Counts the request bodies that the server holds; one that doesn't fit is refused with 503 before
 * it is read. NULL: doesn't count. */
void ht_server_count_bodies (HtServer *server, HtBodies *bodies);

/** From now on each answer closes its connection. Idle connections stay open: closing them could
 * cross requests that are already in transit. */
void ht_server_drain (HtServer *server);

/** Closes the listener: no new connections are accepted. */
void ht_server_stop_listening (HtServer *server);

/** Accepts no new connections, and leaves requests unread that haven't been received in whole.
 * Those that are being answered go on. */
void ht_server_stop_reading (HtServer *server);

/** The port that the server listens on. */
guint16 ht_server_port (const HtServer *server);

guint ht_server_n_connections (const HtServer *server);

/** Number of connections with an unanswered request, or with answer bytes not sent yet. */
guint ht_server_n_busy (const HtServer *server);

/** Answer bytes not sent yet, over all connections. */
gsize ht_server_unsent (const HtServer *server);

HtMessage *ht_call_request (HtCall *call);
void ht_call_set_data (HtCall *call, gpointer data);
gpointer ht_call_data (HtCall *call);

/** When the first byte of the request was received. */
KnlTime ht_call_begun_at (const HtCall *call);

/**
 * Sends a complete answer and ends the call. `fields`: complete header lines ("Name:
 * value\r\n"...), or NULL.
 */
void
ht_call_answer (HtCall *call, guint status, const char *fields, const char *body, gsize length);

/** Like ht_call_answer(), with a body that several calls share; it isn't copied. */
void ht_call_answer_bytes (HtCall *call, guint status, const char *fields, GBytes *body);

/** Starts an answer of unknown length; it is sent in chunks if the caller's HTTP version allows. */
void ht_call_begin (HtCall *call, guint status, const char *fields);

/** Sends a part of a begun answer. */
void ht_call_send (HtCall *call, const char *bytes, gsize length);

/** Answer bytes not sent to the caller yet. */
gsize ht_call_unsent (const HtCall *call);

/** Whether ht_call_begin() was called. */
gboolean ht_call_has_begun (const HtCall *call);

/** Ends a begun answer and the call. */
void ht_call_end (HtCall *call);

/** Aborts the answer so that it can't appear complete: the connection is reset. */
void ht_call_abort (HtCall *call);
