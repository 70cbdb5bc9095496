#pragma once

/** Calls to the platform's store and on the product's own interface, each to a scripted endpoint of
 * its own, and what they end with. */

#include "ctl/transport.h"
#include "endpoint/exchange.h"
#include "platform/store.h"
#include "table/table.h"
#include "tests/fakes/scripted_endpoint.h"

typedef struct
{
  PlStatus read;
  PlStatus written;
} LinksStoreResult;

/** A read and a write at the platform's store. With more than one row each call gets the last one,
 * on a connection that is kept from an earlier call, which got the first. */
LinksStoreResult links_call_store (const ScriptedAnswer *script, guint n_script, gsize body_length);

typedef struct
{
  EpExchangeEnd end;
  int status; /**< of the exchange's answer */
  TbStatus written;
} LinksOwnInterfaceResult;

/** A call to an endpoint and a write to the table, on the product's own interface. */
LinksOwnInterfaceResult links_call_own_interface (const ScriptedAnswer *script, gsize body_length);

/** A query of alderturnctl that is answered with `bytes`, after which the connection is closed. */
ClReplyState links_call_ctl (const char *bytes);
