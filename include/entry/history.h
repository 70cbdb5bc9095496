#pragma once

/** The most recently ended requests with their events, up to a limit. */

#include <jansson.h>

#include "entry/request.h"

typedef struct EnHistory EnHistory;

EnHistory *en_history_new (guint limit);
void en_history_free (EnHistory *history);

/** Takes ownership of `request`; beyond the limit the oldest one is freed. */
void en_history_add (EnHistory *history, EnRequest *request);

const EnRequest *en_history_find (const EnHistory *history, const char *id);

/** {"request", "state", "events": [{"at_ms","event","detail"}]}; times count from reception. */
json_t *en_history_events (const EnRequest *request);
