#include "policy/health.h"

/* Weight of the newest answer in the moving average of failures, which covers about the last dozen
 * answers. */
#define FAILURE_WEIGHT 0.08

/* Maximum number of doublings of the backoff; more could overflow. */
#define MAX_DOUBLINGS 20

void
pol_health_note_success (PolHealth *self)
{
  self->losses = 0;
  self->errors = 0;
  self->suspended_until = 0;
  self->failure_rate -= FAILURE_WEIGHT * self->failure_rate;
}

KnlTime
pol_health_backoff (KnlTime first, KnlTime limit, guint n)
{
  return MIN (first << MIN (n - 1, MAX_DOUBLINGS), limit);
}

static void
suspend (PolHealth *self, const PolHealthRule *rule, KnlTime now, guint times)
{
  self->suspended_until = now + pol_health_backoff (rule->first, rule->limit, times);
}

void
pol_health_note_error (PolHealth *self, const PolHealthRule *rule, KnlTime now)
{
  self->failure_rate += FAILURE_WEIGHT * (1 - self->failure_rate);
  self->losses = 0;
  if (++self->errors >= rule->errors)
    suspend (self, rule, now, self->errors - rule->errors + 1);
}

void
pol_health_note_loss (PolHealth *self, const PolHealthRule *rule, KnlTime now)
{
  self->failure_rate += FAILURE_WEIGHT * (1 - self->failure_rate);
  self->losses++;
  suspend (self, rule, now, self->losses);
}

gboolean
pol_health_is_suspended (const PolHealth *self, KnlTime now)
{
  return now < self->suspended_until;
}
