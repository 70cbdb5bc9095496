#pragma once

/** The HTTP server for operators: evhttp in front of the service "operators". */

#include "kernel/kernel.h"

struct event_base;

/**
 * Starts the server as a task. Returns 0 if it can't listen on `address`. Bodies longer than
 * `body_bytes` are answered with 413.
 */
KnlTaskId
ct_http_start (KnlKernel *kernel, struct event_base *base, const char *address, gsize body_bytes);
