/** Quarantined segments in the rows of the cells, so that they outlive a restart of all instances,
 * and reach those that hear no others: each would have to crash several endpoints again. */

#include "gateway.h"

/* Quarantined segments in a cell's row. */
#define MAX_WRITTEN SV_MAX_QUARANTINED

/* Age that a segment in the row is taken to have whose time isn't known, at the start. A quarantine
 * that has just ended isn't begun again by an instance which reads the row before that is written.
 */
#define ROW_AGE (10 * KNL_SEC)

/* Wait for changes of the list of endpoints while signs of life need proof by it. An answer without
 * changes confirms the list as of more than a second before. */
#define ENDPOINTS_WAIT_IN_DOUBT (3 * KNL_SEC)

/* FALSE: the row is of an earlier release, or the store's clock isn't known. */
static gboolean
read_since (const Gateway *self, SvQuarantined *quarantined)
{
  KnlTime offset;

  if (quarantined->since <= 0 || !pl_store_clock_offset (self->store, &offset))
    return FALSE;
  quarantined->since = MIN (quarantined->since - offset, knl_kernel_now (self->process.kernel));
  return TRUE;
}

static void
adopt (Gateway *self, SvQuarantined *quarantined)
{
  for (guint i = 0; i < quarantined->n_losses; i++)
    quarantined->losses[i].lost_at = quarantined->since;
  sv_quarantine_adopt (sv_core_quarantine (self->core), quarantined, SV_CRASH_OWN);
}

void
gateway_adopt_quarantined (Gateway *self, json_t *row, gboolean is_start)
{
  SvQuarantined quarantined[MAX_WRITTEN];
  guint n = pl_decode_quarantined (row, quarantined, MAX_WRITTEN);

  for (guint i = 0; i < n; i++)
    {
      gboolean is_known = read_since (self, &quarantined[i]);

      /* Of one that has ended here a row without times would begin it again. */
      if (!is_known && !is_start)
        continue;
      if (!is_known)
        quarantined[i].since = knl_kernel_now (self->process.kernel) - ROW_AGE;
      adopt (self, &quarantined[i]);
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

void
gateway_note_doubt (Gateway *self)
{
  gboolean has_doubt = sv_quarantine_has_doubt (sv_core_quarantine (self->core));

  if (has_doubt == self->has_doubt || self->endpoints_feed == NULL)
    return;
  self->has_doubt = has_doubt;
  pl_feed_set_wait (self->endpoints_feed,
                    has_doubt ? ENDPOINTS_WAIT_IN_DOUBT : GATEWAY_ENDPOINTS_WAIT);
  if (has_doubt)
    pl_feed_poll_now (self->endpoints_feed);
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
  guint n = sv_quarantine_list (sv_core_quarantine (self->core), known, MAX_WRITTEN);
  KnlTime offset;

  for (guint i = 0; i < n; i++)
    known[i].since = pl_store_clock_offset (self->store, &offset) ? known[i].since + offset : 0;
  pl_encode_quarantined (row, known, n);
}
