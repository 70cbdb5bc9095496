/** Requests that are placed but wait here before they are sent, see serve/defer.h. */

#include "serve/core_internal.h"
#include "serve/defer.h"

/* Prompts deferred at all instances wait for the same engines, and would be sent at the same
 * moment. A random delay of up to this fraction of the objective spreads them; a placement by one
 * instance is known to the others after about 5 ms. */
#define DEFER_JITTER_FRACTION 0.025

static SvDeferCase
defer_case (const SvRequest *self)
{
  KnlTime now = sv_request_now (self);

  return (SvDeferCase){
    .placement = &self->placement,
    .objective = self->route->objective,
    .waited = now - self->begun_at,
    .left = self->deadline != KNL_NEVER ? self->deadline - now : KNL_NEVER,
    .is_first_try = sv_request_is_first_try (self),
    .has_run = self->runs > 0 || self->params.last_event != NULL,
  };
}

static void
on_defer_due (gpointer data)
{
  SvRequest *self = data;

  self->defer_timer = 0;
  sv_request_send (self);
}

gboolean
sv_request_defer (SvRequest *self)
{
  KnlKernel *kernel = self->core->parts.kernel;
  SvDeferCase due = defer_case (self);
  KnlTime wait = sv_defer_decide (&due);

  if (wait == 0)
    return FALSE;
  wait += (KnlTime)(DEFER_JITTER_FRACTION * (double)self->route->objective
                    * g_rand_double (knl_kernel_rand (kernel)));
  self->defer_timer = knl_timer_start (kernel, wait, on_defer_due, self);
  return TRUE;
}

const char *
sv_request_wait_refusal (const SvRequest *self)
{
  SvDeferCase due = defer_case (self);

  return sv_defer_refusal (&due);
}
