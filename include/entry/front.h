#pragma once

/** The HTTP server for callers and operators. */

#include "entry/core.h"

struct event_base;

typedef struct EnFront EnFront;

/** Strings must outlive the front. */
typedef struct
{
  const char *address;        /**< "IP:PORT" to listen on; "IP" alone: any free port */
  const char *operator_token; /**< NULL: operators' requests are refused */
  gsize max_body;             /**< bytes of a request's body, at most */
  gsize max_headers;          /**< bytes of a request line and its headers, at most */
  gsize max_unread;           /**< bytes of an answer not yet read by its caller, at most */
} EnFrontSettings;

/** Starts to listen; returns NULL if it can't listen on the address. */
EnFront *en_front_new (KnlKernel *kernel,
                       struct event_base *base,
                       EnCore *core,
                       const EnFrontSettings *settings);

/** Closes all connections; their callers count as disconnected. */
void en_front_free (EnFront *front);

/** The port that it listens on. */
guint16 en_front_port (const EnFront *front);

/** Number of answers that have not been completely written to the network. */
guint en_front_open_answers (const EnFront *front);
