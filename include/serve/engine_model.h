#pragma once

/**
 * How long a model engine takes, from the figures that its service declares.
 *
 * An engine works in passes. A pass with requests that write makes `stride`
 * token steps and brings each of them one event. The same steps read prompts,
 * and reading makes them longer; a long prompt therefore stretches the pauses
 * of every stream on that engine.
 */

#include "serve/config.h"

/** Time to read a prompt of `tokens` alone, in ms: linear, and with the pairs of its tokens. */
double sv_model_read_ms (const SvEngineSpec *spec, double tokens);

/** A pass without reading, in ms, with so many requests writing and so much context in all. */
double sv_model_pass_ms (const SvEngineSpec *spec, guint writers, double context_tokens);
