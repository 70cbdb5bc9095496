#pragma once

/**
 * HTTP/1.1 client on libevent's bufferevents: one request at a time on a connection. Idle
 * connections are kept for the next request to the same address. Every exchange ends by exactly one
 * of done, failed or ht_exchange_cancel(); no callback is made from inside ht_client_send().
 */

#include <event2/event.h>

#include "http/message.h"
#include "http/reader.h"
#include "http/server.h"
#include "http/unsent.h"
#include "kernel/kernel.h"

typedef struct HtClient HtClient;
typedef struct HtExchange HtExchange;

typedef enum
{
  HT_FAIL_CONNECT, /**< no connection was established; no byte of the request was sent */
  HT_FAIL_CLOSED,  /**< the connection ended before the answer was complete */
  HT_FAIL_BAD,     /**< the bytes received weren't a valid HTTP answer */
  HT_FAIL_LARGE,   /**< the answer exceeded the limits */
  HT_FAIL_UNSENT,  /**< it held the most when the sum of unsent bytes reached its bound */
} HtFailure;

const char *ht_failure_name (HtFailure failure);

/** What to do with an answer, decided from its head. */
typedef enum
{
  HT_HEAD_ACCEPT,
  HT_HEAD_SKIP,   /**< it answers another request; this request's answer may follow */
  HT_HEAD_REFUSE, /**< the exchange fails with HT_FAIL_BAD */
} HtHeadVerdict;

typedef struct
{
  HtHeadVerdict (*head) (HtExchange *exchange, HtMessage *answer, gpointer data);
  /** Part of the body; NULL: the body is collected in the message. */
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
  gboolean is_head;        /**< HEAD request: no body, even with a Content-Length */
  KnlTime connect_timeout; /**< for establishing a new connection */
  KnlTime max_idle;        /**< reuse a connection only if used within this; 0: don't */
  HtCall *forward_to;      /**< the call that the answer is forwarded to as it arrives; it isn't
                              read while the call has many unsent bytes. NULL: none */
} HtExchangeRequest;

/** Connections idle for longer than `idle_timeout` are closed, even if the peer allows more. */
HtClient *ht_client_new (KnlKernel *kernel,
                         struct event_base *base,
                         const HtLimits *limits,
                         KnlTime idle_timeout);

/** Drops all exchanges without a callback; NULL is allowed. */
void ht_client_free (HtClient *client);

/** Counts what connections opened from now on hold: unsent request bytes, and answers that are
 * collected in the message; NULL: doesn't. */
void ht_client_count_unsent (HtClient *client, HtUnsent *unsent);

HtExchange *ht_client_send (HtClient *client,
                            const HtExchangeRequest *request,
                            const HtExchangeEvents *events,
                            gpointer data);

/** Closes the connection, after the running callback if called from one. No further callback is
 * made, and `exchange` is no longer valid. */
void ht_exchange_cancel (HtExchange *exchange);

typedef struct HtProbe HtProbe;

/** The probe has ended and is freed: whether a connection was established. */
typedef void (*HtProbeFunc) (gboolean connected, gpointer data);

/** Opens a connection to `address` without a request, and closes it once it is established. */
HtProbe *ht_client_probe (HtClient *client,
                          const char *address,
                          KnlTime timeout,
                          HtProbeFunc func,
                          gpointer data);

/** Ends the probe without a callback. */
void ht_probe_cancel (HtProbe *probe);

/** To be called from the body callback of a user that keeps the answer elsewhere than in the
 * message: how many bytes it holds by now. They count among the unsent bytes until the exchange
 * ends. */
void ht_exchange_set_held (HtExchange *exchange, gsize bytes);

/** Whether the request was sent on a connection that an earlier exchange had used. */
gboolean ht_exchange_is_reused (const HtExchange *exchange);

/** When the exchange's connection was established, as far as this process has noticed; KNL_NEVER:
 * not yet. */
KnlTime ht_exchange_connected_at (const HtExchange *exchange);

/** Whether a byte of the request has left this process. Once the exchange has ended none leaves any
 * more. */
gboolean ht_exchange_has_sent (const HtExchange *exchange);

/** Whether the next answer is the first one on its connection, which has carried no other request.
 */
gboolean ht_exchange_awaits_first_answer (const HtExchange *exchange);

/** When the answer was read again after it had not been read because of `forward_to`; now while it
 * isn't read; 0: it has always been read. */
KnlTime ht_exchange_resumed_at (const HtExchange *exchange);

/** Closes the idle connections to an address. */
void ht_client_close_idle (HtClient *client, const char *address);

/** Number of connections opened so far. */
guint64 ht_client_n_opened (const HtClient *client);
