#pragma once

/** Converts between the JSON bodies of docs/ADAPTERS.md and the structs of endpoint/endpoint.h. */

#include <jansson.h>

#include "endpoint/endpoint.h"

/** Parses `bytes` bytes of JSON; NULL when they aren't valid JSON. */
json_t *ep_json_parse (const char *text, gsize bytes);

/** The body of a generate request; free with free(). NULL when it can't be encoded. */
char *ep_json_from_generate (const EpGenerate *generate);

/** The body of an order; free with free(). */
char *ep_json_from_order (const EpOrder *order);

/**
 * Fills `report` from the answer to GET /v1/load. Its strings are owned by
 * `json`; free `running` with g_free(). FALSE when required fields are missing.
 */
gboolean ep_json_to_report (json_t *json, EpReport *report);

/**
 * Reads the answer to GET /v1/cache-events into an array of EpCacheEvent, owned by the caller.
 * Sets `last` to the last sequence number that the engine has published.
 */
GArray *ep_json_to_cache_events (json_t *json, guint64 *last);
