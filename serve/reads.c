#include "serve/reads.h"

typedef struct
{
  SvRead read;
  KnlTime left;
  KnlTime expires;
} Row;

void
sv_reads_init (SvReads *self)
{
  self->rows = g_array_new (FALSE, FALSE, sizeof (Row));
  self->at = 0;
}

void
sv_reads_clear (SvReads *self)
{
  g_array_unref (self->rows);
  self->rows = NULL;
}

static Row *
row_at (const SvReads *self, guint index)
{
  return &g_array_index (self->rows, Row, index);
}

/* Deducts the time since the last call from the prefill times left, newest first. */
static void
advance (SvReads *self, KnlTime now)
{
  KnlTime passed = MAX (now - self->at, 0);

  self->at = MAX (self->at, now);
  for (guint i = self->rows->len; i > 0; i--)
    {
      Row *row = row_at (self, i - 1);
      KnlTime done = MIN (passed, row->left);

      row->left -= done;
      passed -= done;
      if ((row->left == 0 && !row->read.until_told) || row->expires <= now)
        g_array_remove_index (self->rows, i - 1);
    }
}

void
sv_reads_add (SvReads *self, const SvRead *read, KnlTime now)
{
  Row row = { .read = *read, .left = read->length, .expires = now + SV_READ_LIFE };

  advance (self, now);
  g_array_append_val (self->rows, row);
}

void
sv_reads_end (SvReads *self, guint64 prompt, KnlTime now)
{
  advance (self, now);
  for (guint i = self->rows->len; i > 0; i--)
    {
      if (row_at (self, i - 1)->read.prompt == prompt)
        g_array_remove_index (self->rows, i - 1);
    }
}

gboolean
sv_reads_find (SvReads *self, guint64 prompt, KnlTime now, SvRead *read)
{
  advance (self, now);
  for (guint i = 0; i < self->rows->len; i++)
    {
      const Row *row = row_at (self, i);

      if (row->read.prompt != prompt)
        continue;
      *read = row->read;
      read->length = row->left;
      return TRUE;
    }
  return FALSE;
}

guint
sv_reads_n_parts (const SvReads *self)
{
  guint n = 0;

  for (guint i = 0; i < self->rows->len; i++)
    n += row_at (self, i)->read.until_told;
  return n;
}

KnlTime
sv_reads_left (SvReads *self, KnlTime now)
{
  KnlTime left = 0;

  advance (self, now);
  for (guint i = 0; i < self->rows->len; i++)
    left += row_at (self, i)->left;
  return left;
}
