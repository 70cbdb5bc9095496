#pragma once

/** The HTTP front towards callers and operators. */

#include "entry/core.h"

struct event_base;

typedef struct EnFront EnFront;

/** Strings must outlive the front. */
typedef struct
{
  const char *address;        /**< "IP:PORT" to listen at; "IP" alone: any free port */
  const char *operator_token; /**< NULL: operators' views are refused */
  gsize max_body;             /**< bytes of a request's body */
  gsize max_headers;          /**< bytes of a request's first line and headers */
  gsize max_unread;           /**< bytes of an answer that its caller has not read yet */
} EnFrontSettings;

/** Starts to listen; NULL when the address can't be had. */
EnFront *en_front_new (KnlKernel *kernel,
                       struct event_base *base,
                       EnCore *core,
                       const EnFrontSettings *settings);

/** Closes all connections; their callers count as gone. */
void en_front_free (EnFront *front);

/** The port that it listens at. */
guint16 en_front_port (const EnFront *front);

/** Answers that have not been handed to the network in full. */
guint en_front_open_answers (const EnFront *front);
