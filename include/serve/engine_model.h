#pragma once

/**
 * Estimates how long a model engine takes, from the figures that its service
 * declares.
 *
 * An engine works in forward passes. A pass with decoding streams makes `stride`
 * token steps and produces one event for each stream. The same steps also prefill
 * prompts, which makes them longer; a long prompt therefore lengthens the gaps of
 * every stream on that engine.
 */

#include "serve/config.h"

/** Time to prefill a prompt of `tokens` without other work, in ms: a term linear in the tokens and
 * one in the pairs of tokens. */
double sv_model_prefill_ms (const SvEngineSpec *spec, double tokens);

/** Duration in ms of a pass without prefill, with `n_streams` decoding streams that have
 * `context_tokens` of context in total. */
double sv_model_pass_ms (const SvEngineSpec *spec, guint n_streams, double context_tokens);

/** Time in ms from the first event of an answer to its last, in passes of `pass_ms`. */
double sv_model_answer_ms (const SvEngineSpec *spec, double answer_tokens, double pass_ms);

/** Time in ms that a request of usual size stays at an engine whose slots are all taken; 0: the
 * service declares no usual size. */
double sv_model_turnover_ms (const SvEngineSpec *spec);

/** Engine time in ms that a request takes: its prefill, and its part of the passes that generate
 * its answer, at an engine whose slots all run requests like it. */
double sv_model_request_ms (const SvEngineSpec *spec, double prompt_tokens, double answer_tokens);
