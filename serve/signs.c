#include "serve/signs.h"

/* Longest time from the start of an endpoint's process until its row says so. */
#define ROW_DELAY (1500 * KNL_MSEC)

static gboolean
is_listed_since (KnlTime at, KnlTime listed_at)
{
  return listed_at > 0 && at + ROW_DELAY <= listed_at;
}

static void
note_heard (SvSigns *self, KnlTime at)
{
  self->heard_at = MAX (self->heard_at, at);
  if (self->unproven_at == 0 && at > self->proven_at)
    self->unproven_at = at;
}

static void
prove (SvSigns *self, KnlTime at)
{
  self->proven_at = MAX (self->proven_at, at);
  if (self->unproven_at <= self->proven_at)
    self->unproven_at = self->heard_at > self->proven_at ? self->heard_at : 0;
}

/* Only one process at a time accepts connections at an address. */
static void
extend (SvSigns *self, KnlTime connected_at, KnlTime at)
{
  if (self->until == 0 || connected_at > self->until)
    self->since = connected_at;
  self->since = MIN (self->since, connected_at);
  self->until = MAX (self->until, at);
}

void
sv_signs_note_bytes (SvSigns *self, KnlTime connected_at, KnlTime at, KnlTime listed_at)
{
  if (connected_at > at)
    {
      note_heard (self, at);
      return;
    }
  extend (self, connected_at, at);
  note_heard (self, at);
  if (is_listed_since (self->since, listed_at))
    prove (self, at);
}

void
sv_signs_note_told (SvSigns *self, KnlTime at)
{
  note_heard (self, at);
}

void
sv_signs_note_proof (SvSigns *self, KnlTime at)
{
  prove (self, at);
}

void
sv_signs_note_listed (SvSigns *self, KnlTime listed_at)
{
  if (is_listed_since (self->heard_at, listed_at))
    prove (self, self->heard_at);
  else if (self->unproven_at > 0 && is_listed_since (self->unproven_at, listed_at))
    prove (self, self->unproven_at);
  if (self->until > 0 && is_listed_since (self->since, listed_at))
    prove (self, self->until);
}

gboolean
sv_signs_prove_life (const SvSigns *self, KnlTime since, KnlTime until)
{
  if (self->proven_at >= until)
    return TRUE;
  return self->until > 0 && self->since < since && self->until >= until;
}

gboolean
sv_signs_show_life (const SvSigns *self, KnlTime until)
{
  return self->heard_at >= until || self->proven_at >= until;
}
