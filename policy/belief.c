#include "policy/belief.h"

#include "policy/health.h"

static void
remember (PolBelief *self, guint32 teller, KnlTime now)
{
  PolTold *oldest = &self->told[0];

  for (guint i = 0; i < POL_BELIEF_SOURCES; i++)
    {
      PolTold *told = &self->told[i];

      if (told->at > 0 && told->teller == teller)
        {
          told->at = now;
          return;
        }
      if (told->at < oldest->at)
        oldest = told;
    }
  *oldest = (PolTold){ .teller = teller, .at = now };
}

static guint
count_tellers (const PolBelief *self, KnlTime since)
{
  guint n = 0;

  for (guint i = 0; i < POL_BELIEF_SOURCES; i++)
    n += self->told[i].at > 0 && self->told[i].at >= since;
  return n;
}

gboolean
pol_belief_note_loss (PolBelief *self, const PolBeliefRule *rule, guint32 teller, KnlTime now)
{
  /* After a backoff the endpoint is tried again; one more loss then shows that it is still down. */
  guint needed = self->rests > 0 ? 1 : rule->sources;

  if (pol_belief_is_suspended (self, now))
    return FALSE;
  remember (self, teller, now);
  if (count_tellers (self, now - rule->window) < needed)
    return FALSE;
  for (guint i = 0; i < POL_BELIEF_SOURCES; i++)
    self->told[i].at = 0;
  self->rests++;
  self->suspended_until = now + pol_health_rest (rule->first, rule->limit, self->rests);
  return TRUE;
}

void
pol_belief_note_success (PolBelief *self)
{
  *self = (PolBelief){ 0 };
}

gboolean
pol_belief_is_doubted (const PolBelief *self)
{
  return self->rests > 0 || count_tellers (self, 1) > 0;
}

gboolean
pol_belief_is_suspended (const PolBelief *self, KnlTime now)
{
  return now < self->suspended_until;
}
