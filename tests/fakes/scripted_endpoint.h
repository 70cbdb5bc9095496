#pragma once

/**
 * An endpoint on loopback that answers with bytes from a script, so that a test
 * decides on each byte and each end of a connection.
 */

#include <event2/event.h>
#include <glib.h>

typedef struct ScriptedEndpoint ScriptedEndpoint;

/** What becomes of one request. */
typedef struct
{
  /** Sent as it is; %ID is replaced by the request's X-Attempt-Id. NULL: nothing. */
  const char *bytes;
  /** Then the connection ends. */
  gboolean closes;
} ScriptedAnswer;

/** The last answer of `script` is used for all later requests too. */
ScriptedEndpoint *
scripted_endpoint_new (struct event_base *base, const ScriptedAnswer *script, guint n);
void scripted_endpoint_free (ScriptedEndpoint *endpoint);

/** "127.0.0.1:PORT". */
const char *scripted_endpoint_address (const ScriptedEndpoint *endpoint);

/** Whole requests that have come. */
guint scripted_endpoint_n_requests (const ScriptedEndpoint *endpoint);

/** The value of a field of the newest request, or NULL. */
const char *scripted_endpoint_field (const ScriptedEndpoint *endpoint, const char *name);

/** The body of the newest request; "" before the first. */
const char *scripted_endpoint_body (const ScriptedEndpoint *endpoint);

/** Connections that the other side has ended. */
guint scripted_endpoint_n_ended (const ScriptedEndpoint *endpoint);
