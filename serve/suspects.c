#include "serve/suspects.h"

/* Losses from which on a request is refused. Two can be the bad luck of a sound request. */
#define LOSSES_REFUSED 3

/* A fingerprint without another loss is forgotten after this. */
#define FORGET_AFTER (60 * KNL_SEC)

/* Fingerprints kept; beyond it the forgotten ones are swept. */
#define SWEEP_SIZE 4096

typedef struct
{
  guint64 fingerprint;
  guint losses;
  KnlTime last;
} Row;

struct SvSuspects
{
  KnlKernel *kernel;
  GHashTable *rows; /* &fingerprint -> Row */
};

SvSuspects *
sv_suspects_new (KnlKernel *kernel)
{
  SvSuspects *self = g_new0 (SvSuspects, 1);

  self->kernel = kernel;
  self->rows = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return self;
}

void
sv_suspects_free (SvSuspects *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->rows);
  g_free (self);
}

static gboolean
is_old (gpointer key, gpointer value, gpointer data)
{
  return knl_kernel_now (data) - ((Row *)value)->last > FORGET_AFTER;
}

void
sv_suspects_note (SvSuspects *self, guint64 fingerprint)
{
  Row *row = g_hash_table_lookup (self->rows, &fingerprint);

  if (row == NULL)
    {
      if (g_hash_table_size (self->rows) >= SWEEP_SIZE)
        g_hash_table_foreach_remove (self->rows, is_old, self->kernel);
      row = g_new0 (Row, 1);
      row->fingerprint = fingerprint;
      g_hash_table_insert (self->rows, &row->fingerprint, row);
    }
  row->losses++;
  row->last = knl_kernel_now (self->kernel);
}

gboolean
sv_suspects_is_refused (SvSuspects *self, guint64 fingerprint)
{
  const Row *row = g_hash_table_lookup (self->rows, &fingerprint);

  return row != NULL && row->losses >= LOSSES_REFUSED
         && knl_kernel_now (self->kernel) - row->last <= FORGET_AFTER;
}
