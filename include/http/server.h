#pragma once

/**
 * The server side of HTTP/1.1 on libevent's bufferevents: whole requests in,
 * answers out, one request at a time on a connection.
 *
 * The reader of a connection keeps reading while a request is answered, so that
 * a caller that leaves is noticed even when bytes of its next request wait.
 */

#include <event2/event.h>

#include "http/message.h"
#include "http/reader.h"
#include "kernel/kernel.h"

typedef struct HtServer HtServer;
typedef struct HtCall HtCall;

/** What becomes of a server's requests. */
typedef struct
{
  /** A whole request. The server owns `call` until it is answered or its caller has gone. */
  void (*request) (HtCall *call, gpointer data);
  /** The caller left before its answer was complete; `call` is freed after this returns. A caller
   * that closes only its sending side counts as one that has left. */
  void (*gone) (HtCall *call, gpointer data);
  /** The body of an answer to bytes that are no request, or too much of one; `fields` takes its
   * header lines. NULL: such answers have no body. */
  GString *(*refusal) (guint status, GString *fields, gpointer data);
} HtServerEvents;

/** Bound of HtServerLimits.max_unsent where answers are short. */
#define HT_UNSENT_BYTES ((gsize)4 << 20)

typedef struct
{
  HtLimits message;
  KnlTime head_timeout;    /**< from the first byte of a request to the end of its head */
  KnlTime request_timeout; /**< from the first byte of a request to its last */
  KnlTime idle_timeout;    /**< without a request */
  guint max_connections;
  gsize max_unsent; /**< answer bytes that a caller may leave unread before it is given up */
} HtServerLimits;

/** Listens on `address` ("IP:PORT"); NULL: it can't, with errno set. */
HtServer *ht_server_new (KnlKernel *kernel,
                         struct event_base *base,
                         const char *address,
                         const HtServerLimits *limits,
                         const HtServerEvents *events,
                         gpointer data);

/** Closes the listener and all connections without a word. */
void ht_server_free (HtServer *server);

/** For requests that come from now on. */
void ht_server_set_limits (HtServer *server, const HtServerLimits *limits);

/** From now on each answer closes its connection. Idle ones stay: closing them would cross
 * requests on their way. */
void ht_server_drain (HtServer *server);

/** Takes no new connections any more. */
void ht_server_stop_listening (HtServer *server);

/** The port that it listens at. */
guint16 ht_server_port (const HtServer *server);

guint ht_server_n_connections (const HtServer *server);

/** Connections with a request that is not answered, or with answer bytes not yet sent. */
guint ht_server_n_busy (const HtServer *server);

/** Bytes of answers that callers have not taken yet, all together. */
gsize ht_server_unsent (const HtServer *server);

HtMessage *ht_call_request (HtCall *call);
void ht_call_set_data (HtCall *call, gpointer data);
gpointer ht_call_data (HtCall *call);

/** When the first byte of the request was read. */
KnlTime ht_call_begun_at (const HtCall *call);

/**
 * Sends a whole answer and ends the call. `fields` are complete header lines
 * ("Name: value\r\n"...), or NULL.
 */
void
ht_call_answer (HtCall *call, guint status, const char *fields, const char *body, gsize length);

/** The same with a body that several calls share; it is not copied. */
void ht_call_answer_bytes (HtCall *call, guint status, const char *fields, GBytes *body);

/** Starts an answer whose length is not known; it goes out in chunks. */
void ht_call_begin (HtCall *call, guint status, const char *fields);

/** Sends a part of it. */
void ht_call_send (HtCall *call, const char *bytes, gsize length);

/** Bytes of answers that the caller has not taken yet. */
gsize ht_call_unsent (const HtCall *call);

/** Whether ht_call_begin() was called. */
gboolean ht_call_has_begun (const HtCall *call);

/** Ends a begun answer; the call is over. */
void ht_call_end (HtCall *call);

/** Breaks the answer off so that it can't look complete: the connection is reset. */
void ht_call_abort (HtCall *call);
