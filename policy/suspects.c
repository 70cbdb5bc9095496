#include "policy/suspects.h"

/* From this number of rows on, expired rows are removed before one is added. */
#define SWEEP_SIZE 4096

typedef struct
{
  guint64 fingerprint;
  guint noted; /* crashes counted by this instance, added to the total known then */
  guint total; /* crashes counted by all instances together, as last reported */
  gboolean is_refused;
  KnlTime expires;
} Row;

struct PolSuspects
{
  KnlKernel *kernel;
  PolSuspectRule rule;
  GHashTable *rows; /* &fingerprint -> Row */
};

PolSuspects *
pol_suspects_new (KnlKernel *kernel, const PolSuspectRule *rule)
{
  PolSuspects *self = g_new0 (PolSuspects, 1);

  self->kernel = kernel;
  self->rule = *rule;
  self->rows = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return self;
}

void
pol_suspects_free (PolSuspects *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->rows);
  g_free (self);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  return ((Row *)value)->expires <= knl_kernel_now (data);
}

static Row *
row_of (PolSuspects *self, guint64 fingerprint)
{
  Row *row = g_hash_table_lookup (self->rows, &fingerprint);

  if (row != NULL)
    return row;
  if (g_hash_table_size (self->rows) >= SWEEP_SIZE)
    g_hash_table_foreach_remove (self->rows, is_expired, self->kernel);
  row = g_new0 (Row, 1);
  row->fingerprint = fingerprint;
  g_hash_table_insert (self->rows, &row->fingerprint, row);
  return row;
}

PolSuspicion
pol_suspects_check (PolSuspects *self, guint64 fingerprint)
{
  const Row *row = g_hash_table_lookup (self->rows, &fingerprint);

  if (row == NULL)
    return POL_SUSPICION_NONE;
  if (row->expires <= knl_kernel_now (self->kernel))
    {
      g_hash_table_remove (self->rows, &fingerprint);
      return POL_SUSPICION_NONE;
    }
  if (row->is_refused || MAX (row->noted, row->total) >= self->rule.refuse_at)
    return POL_SUSPICION_REFUSED;
  return POL_SUSPICION_ALONE;
}

void
pol_suspects_note_crash (PolSuspects *self, guint64 fingerprint)
{
  Row *row = row_of (self, fingerprint);

  row->noted = MAX (row->noted, row->total) + 1;
  row->expires = knl_kernel_now (self->kernel) + self->rule.life;
}

void
pol_suspects_note_total (PolSuspects *self,
                         guint64 fingerprint,
                         guint crashes,
                         gboolean is_refused,
                         KnlTime life)
{
  Row *row = row_of (self, fingerprint);

  row->total = crashes;
  row->is_refused = is_refused;
  row->expires = knl_kernel_now (self->kernel) + life;
}

void
pol_suspects_note_survived (PolSuspects *self, guint64 fingerprint)
{
  const Row *row = g_hash_table_lookup (self->rows, &fingerprint);

  if (row != NULL && row->total == 0 && !row->is_refused)
    g_hash_table_remove (self->rows, &fingerprint);
}
