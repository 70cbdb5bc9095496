#include "policy/suspects.h"

/* From this number of rows on, expired rows are removed before one is added. */
#define SWEEP_THRESHOLD 4096

typedef struct
{
  guint64 fingerprint;
  guint local_crashes; /* crashes counted by this instance, added to the total known then */
  guint total_crashes; /* crashes counted by all instances together, as last reported */
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
ensure_row (PolSuspects *self, guint64 fingerprint)
{
  Row *row = g_hash_table_lookup (self->rows, &fingerprint);

  if (row != NULL)
    return row;
  if (g_hash_table_size (self->rows) >= SWEEP_THRESHOLD)
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
  if (row->is_refused || MAX (row->local_crashes, row->total_crashes) >= self->rule.refuse_at)
    return POL_SUSPICION_REFUSED;
  return POL_SUSPICION_RUN_ALONE;
}

void
pol_suspects_note_crash (PolSuspects *self, guint64 fingerprint)
{
  Row *row = ensure_row (self, fingerprint);

  row->local_crashes = MAX (row->local_crashes, row->total_crashes) + 1;
  row->expires = knl_kernel_now (self->kernel) + self->rule.ttl;
}

void
pol_suspects_note_total (PolSuspects *self,
                         guint64 fingerprint,
                         guint crashes,
                         gboolean is_refused,
                         KnlTime ttl)
{
  Row *row = ensure_row (self, fingerprint);

  row->total_crashes = crashes;
  row->is_refused = is_refused;
  row->expires = knl_kernel_now (self->kernel) + ttl;
}

void
pol_suspects_note_success (PolSuspects *self, guint64 fingerprint)
{
  const Row *row = g_hash_table_lookup (self->rows, &fingerprint);

  if (row != NULL && row->total_crashes == 0 && !row->is_refused)
    g_hash_table_remove (self->rows, &fingerprint);
}
