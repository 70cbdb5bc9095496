#pragma once

/**
 * One HTTP request and its answer on a dedicated connection.
 *
 * Connections are never shared or reused: a late answer to an abandoned request
 * can't be mistaken for the answer to the next one, and a connection that went
 * silent doesn't affect the retry.
 */

#include <event2/event.h>
#include <event2/http.h>

#include "kernel/kernel.h"

typedef struct EpExchange EpExchange;

typedef enum
{
  EP_EXCHANGE_COMPLETE, /**< the complete answer was received */
  EP_EXCHANGE_NOT_SENT, /**< failed before any byte was handed to the connection */
  EP_EXCHANGE_CUT,      /**< failed or timed out after bytes were handed to the connection */
} EpExchangeEnd;

typedef struct
{
  /** A piece of the answer's body. What the callee leaves in `data` is discarded. */
  void (*on_data) (EpExchange *exchange, struct evbuffer *data, gpointer user);
  /** The last event; the exchange is freed after it. `detail` is a static string. */
  void (*on_end) (EpExchange *exchange, EpExchangeEnd end, const char *detail, gpointer user);
} EpExchangeEvents;

/** The request to send. Strings and the body are copied. */
typedef struct
{
  const char *address; /**< "IP:PORT" */
  const char *method;  /**< GET, POST, PUT or DELETE */
  const char *path;
  const char *content_type;
  const char *idempotency_key; /**< or NULL */
  const char *request;         /**< sent as Alderturn-Request-Id; or NULL */
  const char *body;
  gsize body_bytes;
  gsize max_answer_bytes; /**< maximum size of the answer's body in bytes; 0: unlimited */
  KnlTime connect_timeout;
  KnlTime first_byte_timeout; /**< timeout from sending to the first byte of the body */
  KnlTime idle_timeout;       /**< timeout between later bytes */
} EpExchangeStart;

/** Starts an exchange; no event is emitted inside the call. */
EpExchange *ep_exchange_start (KnlKernel *kernel,
                               struct event_base *base,
                               const EpExchangeStart *start,
                               const EpExchangeEvents *events,
                               gpointer user);

/** Closes the exchange without further events; may be called inside its own events. */
void ep_exchange_close (EpExchange *exchange);

/** The status of the answer; 0 until its head has been received. */
int ep_exchange_status (const EpExchange *exchange);

/** A header of the answer, or NULL. */
const char *ep_exchange_header (const EpExchange *exchange, const char *name);
