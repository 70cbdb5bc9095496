#include "serve/engine_model.h"

double
sv_model_read_ms (const SvEngineSpec *spec, double tokens)
{
  if (spec->read_tokens_per_ms <= 0)
    return 0;
  return tokens / spec->read_tokens_per_ms + spec->pair_ms_per_m * tokens * tokens / 2 / 1e6;
}

double
sv_model_pass_ms (const SvEngineSpec *spec, guint writers, double context_tokens)
{
  double step =
      spec->step_ms + writers * spec->writer_ms + context_tokens / 1000 * spec->context_ms_per_k;

  return MAX (spec->stride, 1) * step;
}
