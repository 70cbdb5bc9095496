#include "serve/era_check.h"

#include "common/log.h"

/* Peers become known one after the other while an instance starts, and datagrams may be lost. */
#define ASK_INTERVAL (50 * KNL_MSEC)

/* Times that peers are asked, for each of which the watermarks are read once. */
#define ASKS_PER_READ 5

/* After the store has come back, relays write their watermarks within 1.2 s of noticing it. If
 * there is none after 2 s, no instance that was confirmed before reaches the store. Counted in
 * intervals, since the answers to a process that was frozen are read after its timers. */
#define MAX_ASKS 40

static const char *const proof_names[] = {
  [SV_ERA_OWN] = "own",
  [SV_ERA_PEER] = "peer",
  [SV_ERA_WATERMARK] = "watermark",
  [SV_ERA_FIRST_START] = "first-start",
  [SV_ERA_TIMEOUT] = "timeout",
};

void
sv_era_check_init (SvEraCheck *self,
                   KnlKernel *kernel,
                   const SvEraCheckEvents *events,
                   gpointer data)
{
  *self = (SvEraCheck){ .kernel = kernel, .events = events, .data = data };
}

void
sv_era_check_clear (SvEraCheck *self)
{
  knl_timer_stop (self->kernel, &self->timer);
}

gboolean
sv_era_check_is_trusted (const SvEraCheck *self, guint64 era)
{
  return era == 0 || era == self->trusted_era;
}

guint64
sv_era_check_pending (const SvEraCheck *self)
{
  return self->timer != 0 ? self->era : 0;
}

static void
on_check_due (gpointer data)
{
  SvEraCheck *self = data;

  self->timer = 0;
  if (self->n_asks >= MAX_ASKS)
    {
      sv_era_check_prove (self, self->era, SV_ERA_TIMEOUT);
      return;
    }
  self->timer = knl_timer_start (self->kernel, ASK_INTERVAL, on_check_due, self);
  self->events->ask_peers (self->data);
  if (self->n_asks++ % ASKS_PER_READ == 0)
    self->events->read_watermarks (self->data);
}

void
sv_era_check_begin (SvEraCheck *self, guint64 era)
{
  if (sv_era_check_is_trusted (self, era) || sv_era_check_pending (self) == era)
    return;
  knl_timer_stop (self->kernel, &self->timer);
  self->era = era;
  self->begun_at = knl_kernel_now (self->kernel);
  self->n_asks = 0;
  on_check_due (self);
}

void
sv_era_check_prove (SvEraCheck *self, guint64 era, SvEraProof proof)
{
  KnlTime waited = self->era == era ? knl_kernel_now (self->kernel) - self->begun_at : 0;

  if (sv_era_check_is_trusted (self, era))
    return;
  cm_log (CM_LOG_NOTICE, "store-era-trusted", "i", "era", (gint64)era, "s", "by",
          proof_names[proof], "i", "after-us", waited);
  knl_timer_stop (self->kernel, &self->timer);
  self->trusted_era = era;
  self->events->trusted (self->data);
}
