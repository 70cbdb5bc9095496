#pragma once

/**
 * An endpoint on loopback that answers with bytes from a script, so that a test
 * controls each byte and the close of each connection.
 */

#include <event2/event.h>
#include <glib.h>

typedef struct ScriptedEndpoint ScriptedEndpoint;

/** The scripted answer to one request. */
typedef struct
{
  /** Sent unchanged, except that %ID is replaced by the request's X-Attempt-Id, and %NUL by a NUL.
   * NULL: nothing. */
  const char *bytes;
  /** The connection is closed afterwards. */
  gboolean closes;
  /** A second answer, sent when the next request arrives on the connection, before the answer to
   * that; %ID as above. NULL: none. */
  const char *late;
  /** Sent as soon as the request's head has come; nothing more is read. */
  gboolean is_early;
  /** The connection is reset some turns of the loop later. Without it, and with `closes`, only the
   * sending side of an early answer is shut down then. */
  gboolean resets;
} ScriptedAnswer;

/** The bytes that are sent for the `bytes` of a ScriptedAnswer; NULL is allowed for both. */
GString *scripted_answer_bytes (const char *template, const char *id);

/** Answers from `script` of `n` rows, which must outlive the endpoint; the last row is repeated for
 * all later requests. */
ScriptedEndpoint *
scripted_endpoint_new (struct event_base *base, const ScriptedAnswer *script, guint n);
void scripted_endpoint_free (ScriptedEndpoint *endpoint);

/** "127.0.0.1:PORT". */
const char *scripted_endpoint_address (const ScriptedEndpoint *endpoint);

/** Number of complete requests received. */
guint scripted_endpoint_n_requests (const ScriptedEndpoint *endpoint);

/** The value of a header field of the newest request, or NULL. */
const char *scripted_endpoint_field (const ScriptedEndpoint *endpoint, const char *name);

/** The body of the newest request; "" before the first. */
const char *scripted_endpoint_body (const ScriptedEndpoint *endpoint);

/** Number of connections that the other side has closed. */
guint scripted_endpoint_n_closed_by_peer (const ScriptedEndpoint *endpoint);
