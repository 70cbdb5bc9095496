#pragma once

/** The platform over HTTP, as docs/ADAPTERS.md gives it: libevent's evhttp, a connection a call. */

#include "table/table.h"

struct event_base;

/**
 * The platform at `address` ("IP:PORT"). A call that has no answer after
 * `limit` ends: a read as TB_UNAVAILABLE, a transaction as TB_UNKNOWN unless
 * it surely never reached the table.
 */
TbTable *tb_http_platform_new (KnlKernel *kernel,
                               struct event_base *base,
                               const char *address,
                               KnlTime limit);
