#pragma once

/** Platform client over HTTP as in docs/ADAPTERS.md, with evhttp and one connection per call. */

#include "table/table.h"

struct event_base;

/**
 * Creates a client of the platform at `address` ("IP:PORT"). A call without an
 * answer after `timeout` fails: a read with TB_UNAVAILABLE, a transaction with
 * TB_UNKNOWN unless it certainly never reached the table.
 */
TbTable *tb_http_platform_new (KnlKernel *kernel,
                               struct event_base *base,
                               const char *address,
                               KnlTime timeout);
