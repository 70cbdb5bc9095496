/** Quarantined segments in the row of the cell, so that they outlive a restart of all instances:
 * each would have to crash several endpoints again. */

#include "gateway.h"

/* Quarantined segments in a cell's row. */
#define MAX_WRITTEN 16

/* Age that segments in the row are taken to have. A quarantine that has just ended isn't begun
 * again by an instance which reads the row before that is written. */
#define ROW_AGE (10 * KNL_SEC)

void
gateway_adopt_quarantined (Gateway *self)
{
  KnlTime since = knl_kernel_now (self->process.kernel) - ROW_AGE;
  SvQuarantined quarantined[MAX_WRITTEN];
  guint n = pl_decode_quarantined (self->cell_row, quarantined, MAX_WRITTEN);

  for (guint i = 0; i < n; i++)
    {
      quarantined[i].since = since;
      for (guint j = 0; j < quarantined[i].n_losses; j++)
        quarantined[i].losses[j].lost_at = since;
      sv_quarantine_adopt (sv_core_quarantine (self->core), &quarantined[i], SV_CRASH_OWN);
    }
}

void
gateway_note_quarantined (Gateway *self)
{
  guint n = sv_quarantine_n (sv_core_quarantine (self->core));

  if (n == self->n_quarantined)
    return;
  self->n_quarantined = n;
  gateway_review_soon (self);
}

static gboolean
contains (const SvQuarantined *list, guint n, const SvQuarantined *wanted)
{
  for (guint i = 0; i < n; i++)
    {
      if (list[i].segment == wanted->segment && list[i].service == wanted->service)
        return list[i].tests >= wanted->tests;
    }
  return FALSE;
}

gboolean
gateway_is_quarantine_unwritten (const Gateway *self)
{
  SvQuarantined written[MAX_WRITTEN];
  SvQuarantined known[MAX_WRITTEN];
  guint n_written = pl_decode_quarantined (self->cell_row, written, MAX_WRITTEN);
  guint n_known = sv_quarantine_list (sv_core_quarantine (self->core), known, MAX_WRITTEN);

  if (n_written != n_known)
    return TRUE;
  for (guint i = 0; i < n_known; i++)
    {
      if (!contains (written, n_written, &known[i]))
        return TRUE;
    }
  return FALSE;
}

void
gateway_encode_quarantined (const Gateway *self, json_t *row)
{
  SvQuarantined known[MAX_WRITTEN];

  pl_encode_quarantined (row, known,
                         sv_quarantine_list (sv_core_quarantine (self->core), known, MAX_WRITTEN));
}
