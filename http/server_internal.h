#pragma once

/** Connections and calls of a server; included by server.c and call.c only. */

#include "common/log.h"
#include "http/flow_internal.h"
#include "http/server.h"

/* Bytes of the next request that are read ahead while one is answered; the rest stays in the
 * socket's receive buffer. Also the unsent answer bytes above which the next request isn't
 * processed. */
#define MAX_READ_AHEAD_BYTES 65536

typedef struct Connection Connection;

struct HtCall
{
  Connection *connection;
  HtFlow flow;
  HtMessage *request;
  KnlTime begun_at;
  gboolean begun;
  gboolean keep_alive;
  gpointer data;
};

struct Connection
{
  HtServer *server;
  HtHolder holder;
  struct bufferevent *stream;
  HtReader *reader;
  HtCall *call;         /* the request being answered */
  gsize body;           /* bytes of a request's body that are counted */
  KnlTime since;        /* start of the current timeout: connection accepted, first byte of
                           a request, end of an answer, or last progress in sending */
  gboolean reading;     /* part of a request has been received */
  gboolean closing;     /* waits only until the answer is sent and the caller has closed its side */
  gboolean half_closed; /* everything is sent, and the sending side is shut down */
  gboolean expect_handled; /* the Expect field of this request has been handled */
  gboolean is_undelivered; /* the last sweep found bytes that weren't acknowledged, or some were
                              written since */
  guint timeout_ms;        /* that the kernel was told last */
  gsize unsent;            /* unsent answer bytes at the last sweep */
};

struct HtServer
{
  KnlKernel *kernel;
  struct event_base *base;
  struct evconnlistener *listener;
  HtServerLimits limits;
  HtUnsent *unsent; /* NULL: its connections aren't counted */
  HtBodies *bodies; /* NULL: bodies aren't counted */
  CmLogRateLimit bodies_log_limit;
  const HtServerEvents *events;
  gpointer data;
  GHashTable *connections; /* set of Connection */
  KnlTimerId sweep_timer;
  gboolean draining;
  gboolean ignores_input; /* no further request is read */
};

/* call.c */

/** Frees its request, too, whose body isn't counted any more. */
void ht_call_free (HtCall *call);

void ht_connection_write (Connection *self, const char *text, gsize length);

/** The connection holds no request body any more. */
void ht_connection_release_body (Connection *self);

/** Answer bytes not sent yet. */
gsize ht_connection_unsent (const Connection *self);

/** Resets the connection when it is closed. */
void ht_connection_set_reset (Connection *self);

/** Shuts down the sending side, once everything is sent. */
void ht_connection_shut_down (Connection *self);

/** Closes the connection once everything is sent. */
void ht_connection_close_after_answer (Connection *self);
