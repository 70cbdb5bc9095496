#include "http/bodies.h"

struct HtBodies
{
  gsize bound;
  gsize bytes;
  guint64 n_refused;
};

HtBodies *
ht_bodies_new (gsize bound)
{
  HtBodies *self = g_new0 (HtBodies, 1);

  self->bound = bound;
  return self;
}

void
ht_bodies_free (HtBodies *self)
{
  g_free (self);
}

gboolean
ht_bodies_change (HtBodies *self, gsize before, gsize after)
{
  gsize others = self->bytes - before;

  if (self->bound > 0 && after > before && others > 0 && others + after > self->bound)
    {
      self->n_refused++;
      return FALSE;
    }
  self->bytes = others + after;
  return TRUE;
}

gsize
ht_bodies_bytes (const HtBodies *self)
{
  return self->bytes;
}

guint64
ht_bodies_n_refused (const HtBodies *self)
{
  return self->n_refused;
}
