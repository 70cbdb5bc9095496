#include "serve/prefills.h"

typedef struct
{
  SvPrefill prefill;
  KnlTime left;
  KnlTime expires;
} Row;

void
sv_prefills_init (SvPrefills *self)
{
  self->rows = g_array_new (FALSE, FALSE, sizeof (Row));
  self->at = 0;
  self->placed = 0;
}

void
sv_prefills_clear (SvPrefills *self)
{
  g_array_unref (self->rows);
  self->rows = NULL;
}

static Row *
row_at (const SvPrefills *self, guint index)
{
  return &g_array_index (self->rows, Row, index);
}

/* Deducts the time since the last call from the prefill times left, newest first. */
static void
advance (SvPrefills *self, KnlTime now)
{
  KnlTime passed = MAX (now - self->at, 0);

  self->at = MAX (self->at, now);
  for (guint i = self->rows->len; i > 0; i--)
    {
      Row *row = row_at (self, i - 1);
      KnlTime done = MIN (passed, row->left);

      row->left -= done;
      passed -= done;
      if ((row->left == 0 && !row->prefill.until_ended) || row->expires <= now)
        g_array_remove_index (self->rows, i - 1);
    }
}

void
sv_prefills_add (SvPrefills *self, const SvPrefill *prefill, KnlTime now)
{
  Row row = { .prefill = *prefill, .left = prefill->length, .expires = now + SV_PREFILL_TTL };

  if (row.prefill.declared == 0)
    row.prefill.declared = prefill->length;
  advance (self, now);
  g_array_append_val (self->rows, row);
  self->placed += row.prefill.declared;
}

void
sv_prefills_end (SvPrefills *self, guint64 prompt, KnlTime now)
{
  advance (self, now);
  for (guint i = self->rows->len; i > 0; i--)
    {
      if (row_at (self, i - 1)->prefill.prompt == prompt)
        g_array_remove_index (self->rows, i - 1);
    }
}

/* The part of the declared time that is left: the engine may have been known to be slower. */
static KnlTime
declared_left (const Row *row)
{
  const SvPrefill *prefill = &row->prefill;

  if (prefill->length == 0)
    return 0;
  return (KnlTime)((double)row->left * (double)prefill->declared / (double)prefill->length);
}

gboolean
sv_prefills_find (SvPrefills *self, guint64 prompt, KnlTime now, SvPrefill *prefill)
{
  advance (self, now);
  for (guint i = 0; i < self->rows->len; i++)
    {
      const Row *row = row_at (self, i);

      if (row->prefill.prompt != prompt)
        continue;
      *prefill = row->prefill;
      prefill->length = row->left;
      prefill->declared = declared_left (row);
      return TRUE;
    }
  return FALSE;
}

guint
sv_prefills_count_parts (const SvPrefills *self)
{
  guint n = 0;

  for (guint i = 0; i < self->rows->len; i++)
    n += row_at (self, i)->prefill.until_ended;
  return n;
}

KnlTime
sv_prefills_time_left (SvPrefills *self, KnlTime now)
{
  KnlTime left = 0;

  advance (self, now);
  for (guint i = 0; i < self->rows->len; i++)
    left += row_at (self, i)->left;
  return left;
}

KnlTime
sv_prefills_declared_left (SvPrefills *self, KnlTime now)
{
  KnlTime left = 0;

  advance (self, now);
  for (guint i = 0; i < self->rows->len; i++)
    left += declared_left (row_at (self, i));
  return left;
}
