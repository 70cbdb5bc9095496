#include "serve/engine_model.h"

#include <math.h>

double
sv_model_prefill_ms (const SvEngineSpec *spec, double tokens)
{
  if (spec->prefill_tokens_per_ms <= 0)
    return 0;
  return tokens / spec->prefill_tokens_per_ms + spec->pair_ms_per_m * tokens * tokens / 2 / 1e6;
}

double
sv_model_pass_ms (const SvEngineSpec *spec, guint n_streams, double context_tokens)
{
  double step = spec->step_ms + n_streams * spec->stream_step_ms
                + context_tokens / 1000 * spec->context_ms_per_k;

  return MAX (spec->stride, 1) * step;
}

double
sv_model_request_ms (const SvEngineSpec *spec, double prompt_tokens, double answer_tokens)
{
  guint slots = MAX (spec->slots, 1);
  double passes = answer_tokens / MAX (spec->stride, 1);
  double context = prompt_tokens + answer_tokens / 2;

  return sv_model_prefill_ms (spec, prompt_tokens)
         + passes * sv_model_pass_ms (spec, slots, slots * context) / slots;
}

double
sv_model_answer_ms (const SvEngineSpec *spec, double answer_tokens, double pass_ms)
{
  double events = ceil (answer_tokens / MAX (spec->stride, 1));

  return MAX (events - 1, 0) * pass_ms;
}

double
sv_model_turnover_ms (const SvEngineSpec *spec)
{
  guint slots = MAX (spec->slots, 1);
  double context = spec->mean_prompt_tokens + spec->mean_answer_tokens / 2;

  return sv_model_prefill_ms (spec, spec->mean_prompt_tokens)
         + spec->mean_answer_tokens / MAX (spec->stride, 1)
               * sv_model_pass_ms (spec, slots, slots * context);
}
