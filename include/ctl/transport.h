#pragma once

/** HTTP calls to controllers and entries; replaced in tests by answers from memory. */

#include <jansson.h>

#include "kernel/kernel.h"

typedef struct
{
  const char *address; /**< IP:PORT */
  const char *path;    /**< including the query string */
  const char *body;    /**< JSON text to POST; NULL: send a GET */
  const char *token;   /**< operator token; or NULL */
  KnlTime timeout;
} ClCall;

typedef enum
{
  CL_REPLY_ANSWERED,
  CL_REPLY_NOT_SENT, /**< no connection was established: the server received nothing */
  CL_REPLY_LOST,     /**< possibly sent, but no complete answer was received */
} ClReplyState;

typedef struct
{
  ClReplyState state;
  int status;    /**< HTTP status if answered */
  json_t *body;  /**< JSON body if answered; or NULL */
  char *problem; /**< cause, if not answered; else NULL */
} ClReply;

typedef struct ClTransport ClTransport;

typedef struct
{
  /**
   * Makes all calls, several concurrently, and waits for all replies: one for each
   * call, in the same order, never NULL; free each with cl_reply_free().
   */
  void (*call) (ClTransport *transport, const ClCall *calls, guint count, ClReply **replies);
  /** Blocks for `time`. */
  void (*pause) (ClTransport *transport, KnlTime time);
  KnlTime (*now) (ClTransport *transport);
  void (*destroy) (ClTransport *transport);
} ClTransportClass;

/** First member of every transport. */
struct ClTransport
{
  const ClTransportClass *klass;
};

void cl_reply_free (ClReply *reply);

/** Creates an HTTP transport with its own event loop. */
ClTransport *cl_http_new (void);
