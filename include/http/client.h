#pragma once

/**
 * The client side of HTTP/1.1 on libevent's bufferevents: one request at a time
 * on a connection, with connections kept for the next request to the same
 * address. Every exchange ends by exactly one of done, failed or
 * ht_exchange_cancel(); no callback comes from inside ht_client_send().
 */

#include <event2/event.h>

#include "http/message.h"
#include "http/reader.h"
#include "kernel/kernel.h"

typedef struct HtClient HtClient;
typedef struct HtExchange HtExchange;

typedef enum
{
  HT_FAIL_CONNECT, /**< no connection: no byte of the request left */
  HT_FAIL_CLOSED,  /**< the connection ended before the answer was complete */
  HT_FAIL_BAD,     /**< the bytes were no answer of the protocol */
  HT_FAIL_LARGE,   /**< the answer was over the limits */
} HtFailure;

const char *ht_failure_name (HtFailure failure);

/** What becomes of an answer's head. */
typedef enum
{
  HT_HEAD_TAKE,
  HT_HEAD_SKIP,   /**< it answers another request; this request's answer may follow */
  HT_HEAD_REFUSE, /**< the exchange fails with HT_FAIL_BAD */
} HtHeadVerdict;

typedef struct
{
  HtHeadVerdict (*head) (HtExchange *exchange, HtMessage *answer, gpointer data);
  /** Bytes of the body; NULL: they are collected in the message. */
  void (*body) (HtExchange *exchange, const char *bytes, gsize length, gpointer data);
  /** The answer is complete; the exchange is freed afterwards. */
  void (*done) (HtExchange *exchange, HtMessage *answer, gpointer data);
  void (*failed) (HtExchange *exchange, HtFailure failure, gpointer data);
} HtExchangeEvents;

typedef struct
{
  const char *address; /**< "IP:PORT" */
  const char *head;    /**< start line and fields, without the empty line; copied */
  const char *body;    /**< copied */
  gsize body_length;
  gboolean is_head;        /**< the answer has no body whatever it says */
  KnlTime connect_timeout; /**< for a new connection */
  KnlTime max_idle;        /**< a kept connection must have been used within this; 0: a new one */
} HtExchangeRequest;

/** Connections idle for longer are closed, whatever the peer allows. */
HtClient *ht_client_new (KnlKernel *kernel,
                         struct event_base *base,
                         const HtLimits *limits,
                         KnlTime keep_idle);

/** Drops all exchanges without a callback. */
void ht_client_free (HtClient *client);

HtExchange *ht_client_send (HtClient *client,
                            const HtExchangeRequest *request,
                            const HtExchangeEvents *events,
                            gpointer data);

/** Closes the connection at once; no callback follows. */
void ht_exchange_cancel (HtExchange *exchange);

/** Whether the request went out on a connection that was kept from an earlier one. */
gboolean ht_exchange_is_reused (const HtExchange *exchange);

/** Closes the idle connections to an address. */
void ht_client_forget (HtClient *client, const char *address);

/** Connections opened so far. */
guint64 ht_client_n_opened (const HtClient *client);
